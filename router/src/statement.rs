//! The comment ahead of a statement, which says what RPC it is.
//!
//! The statement goes on to a node as the client wrote it, but for the number of `d`.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

use quillpoint::host::{GroupId, SessionKey};

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("the statement does not begin with a comment that says what it is")]
    NoComment,
    #[error("the comment lacks {0}")]
    Missing(&'static str),
    #[error("the comment's {0} cannot be {1:?}")]
    Field(&'static str, String),
}

impl Unreadable {
    /// The SQLSTATE that tells a client of it.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NoComment | Self::Missing(_) => "42601",
            Self::Field(..) => "22023",
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// Where the number of `d` stands in the text.
    wait_at: Range<usize>,
    pub method: String,
    pub wait: Duration,
    pub group: GroupId,
    /// When the session's last write was committed, in Unix time, where clients carry that.
    pub after: Option<Duration>,
    pub retried: bool,
    pub session: Option<SessionKey>,
}

impl Statement {
    pub fn parse(text: Vec<u8>) -> Result<Self, Unreadable> {
        let (start, end) = comment(&text).ok_or(Unreadable::NoComment)?;
        let words = str::from_utf8(&text[start..end]).map_err(|_| Unreadable::NoComment)?;
        let (mut has_id, mut method, mut wait, mut group) = (false, None, None, None);
        let (mut after, mut retried) = (None, false);
        let mut at = start;
        for pair in words.split(',') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (name, value) = (name.trim(), value.trim());
            match name {
                "id" if value.is_empty() => return Err(Unreadable::Field("id", String::new())),
                "id" => has_id = true,
                "c" => method = Some(value.to_string()),
                "d" => {
                    let end = at + pair.trim_end().len();
                    wait = Some((span("d", value)?, end - value.len()..end));
                }
                "cluster" => {
                    let number =
                        value.parse().map_err(|_| Unreadable::Field("cluster", value.to_string()))?;
                    group = Some(GroupId(number));
                }
                "after" => after = Some(span("after", value)?).filter(|at| !at.is_zero()),
                "r" => retried = value == "1",
                _ => {}
            }
            at += pair.len() + 1;
        }
        if !has_id {
            return Err(Unreadable::Missing("id"));
        }
        let method = method.ok_or(Unreadable::Missing("c"))?;
        let (wait, wait_at) = wait.ok_or(Unreadable::Missing("d"))?;
        let group = group.ok_or(Unreadable::Missing("cluster"))?;
        let session = quoted(&text[end..]).map(|key| {
            // Only whether two keys are the same matters; the hasher's keys are fixed.
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            SessionKey(hasher.finish())
        });
        Ok(Self { text, wait_at, method, wait, group, after, retried, session })
    }

    /// The memory that it takes.
    pub fn size(&self) -> usize {
        self.text.len()
    }

    /// The statement for a node, which is told how long its answer is waited for.
    pub fn with_wait(&self, wait: Duration) -> Vec<u8> {
        let (before, after) = (&self.text[..self.wait_at.start], &self.text[self.wait_at.end..]);
        [before, wait.as_millis().max(1).to_string().as_bytes(), after].concat()
    }
}

/// Where the words of the leading comment start and end.
fn comment(text: &[u8]) -> Option<(usize, usize)> {
    let start = text.iter().position(|byte| !byte.is_ascii_whitespace())?;
    let words = text[start..].strip_prefix(b"/*")?;
    let length = words.windows(2).position(|pair| pair == b"*/")?;
    Some((start + 2, start + 2 + length))
}

/// Milliseconds, to the microsecond. What no clock can hold is no span.
fn span(name: &'static str, value: &str) -> Result<Duration, Unreadable> {
    let number = value.parse().ok().filter(|ms: &f64| (0.0..1e14).contains(ms));
    let ms = number.ok_or_else(|| Unreadable::Field(name, value.to_string()))?;
    Ok(Duration::from_micros((ms * 1000.0).round() as u64))
}

/// The first quoted literal: the key, in both forms that clients send.
fn quoted(text: &[u8]) -> Option<&[u8]> {
    let start = text.iter().position(|byte| *byte == b'\'')? + 1;
    let length = text[start..].iter().position(|byte| *byte == b'\'')?;
    Some(&text[start..start + length])
}
