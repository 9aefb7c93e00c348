//! The comment ahead of a statement, which says what RPC it is.
//!
//! The statement goes on to a node as the client wrote it, but for the number of `d`.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

use quillpoint::host::{ReplicaSetId, SessionKey};

use crate::active_request_ids::ActiveRequestId;
use crate::budget::Reservation;
use crate::socket_liveness::ClientLiveness;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("the statement does not begin with a comment that says what it is")]
    NoComment,
    #[error("the comment lacks {0}")]
    Missing(&'static str),
    #[error("the comment's {0} cannot be {1:?}")]
    Field(&'static str, String),
    #[error("the comment says {0} twice")]
    Twice(&'static str),
    #[error("only SELECT, INSERT, UPDATE and DELETE are taken here")]
    Verb,
    #[error("a query is one statement, with its quotes closed")]
    NotOne,
}

impl Unreadable {
    /// The SQLSTATE that tells a client of it.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NoComment | Self::Missing(_) | Self::NotOne => "42601",
            Self::Field(..) | Self::Twice(_) => "22023",
            Self::Verb => "0A000",
        }
    }
}

/// No id that a client makes up is longer.
const LONGEST_ID: usize = 64;

#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// Where the number of `d` stands in the text.
    wait_at: Range<usize>,
    pub id: String,
    pub method: String,
    /// Whether it changes anything.
    pub writes: bool,
    pub wait: Duration,
    pub group: ReplicaSetId,
    /// When the session's last write was committed, in Unix time, where clients carry that.
    pub after: Option<Duration>,
    pub retried: bool,
    pub session: Option<SessionKey>,
}

/// A statement under way, with whom it is for and what it takes up: memory, and its id.
pub struct Kept {
    pub statement: Statement,
    pub client: ClientLiveness,
    pub _memory: Reservation,
    pub _open: ActiveRequestId,
}

impl Statement {
    pub fn parse(text: Vec<u8>) -> Result<Self, Unreadable> {
        let (start, end) = comment(&text).ok_or(Unreadable::NoComment)?;
        let words = str::from_utf8(&text[start..end]).map_err(|_| Unreadable::NoComment)?;
        let (mut id, mut method, mut wait, mut group) = (None, None, None, None);
        let (mut after, mut retried) = (None, None);
        let mut at = start;
        for pair in words.split(',') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (name, value) = (name.trim(), value.trim());
            match name {
                "id" if value.is_empty() || value.len() > LONGEST_ID => {
                    return Err(Unreadable::Field("id", value.chars().take(LONGEST_ID).collect()));
                }
                "id" => once("id", &mut id, value.to_string())?,
                "c" => once("c", &mut method, value.to_string())?,
                "d" => {
                    let end = at + pair.trim_end().len();
                    let span = span("d", value)?;
                    if span.is_zero() {
                        return Err(Unreadable::Field("d", value.to_string()));
                    }
                    once("d", &mut wait, (span, end - value.len()..end))?;
                }
                "cluster" => {
                    let number = value.parse();
                    let number = number.map_err(|_| Unreadable::Field("cluster", value.to_string()))?;
                    once("cluster", &mut group, ReplicaSetId(number))?;
                }
                "after" => once("after", &mut after, span("after", value)?)?,
                "r" => once("r", &mut retried, value == "1")?,
                _ => {}
            }
            at += pair.len() + 1;
        }
        let id = id.ok_or(Unreadable::Missing("id"))?;
        let method = method.ok_or(Unreadable::Missing("c"))?;
        let (wait, wait_at) = wait.ok_or(Unreadable::Missing("d"))?;
        let group = group.ok_or(Unreadable::Missing("cluster"))?;
        let writes = writes(&text[end + 2..])?;
        let (after, retried) = (after.filter(|at| !at.is_zero()), retried.unwrap_or(false));
        let session = quoted(&text[end..]).map(|key| {
            // Only whether two keys are the same matters; the hasher's keys are fixed.
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            SessionKey(hasher.finish())
        });
        Ok(Self { text, wait_at, id, method, writes, wait, group, after, retried, session })
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

/// A word that came twice could mean either.
fn once<T>(name: &'static str, slot: &mut Option<T>, value: T) -> Result<(), Unreadable> {
    match slot.replace(value) {
        None => Ok(()),
        Some(_) => Err(Unreadable::Twice(name)),
    }
}

/// Whether what follows the comment changes anything. It is one statement, for a second one would run as well.
fn writes(text: &[u8]) -> Result<bool, Unreadable> {
    let mut at = 0;
    while at < text.len() {
        let rest = &text[at..];
        let past = |end: &[u8]| rest[1..].windows(end.len()).position(|part| part == end);
        at += match rest[0] {
            quote @ (b'\'' | b'"') => 2 + past(&[quote]).ok_or(Unreadable::NotOne)?,
            _ if rest.starts_with(b"/*") => 3 + past(b"*/").ok_or(Unreadable::NotOne)?,
            _ if rest.starts_with(b"--") => 2 + past(b"\n").unwrap_or(rest.len()),
            b';' if rest.iter().any(|byte| !byte.is_ascii_whitespace() && *byte != b';') => {
                return Err(Unreadable::NotOne);
            }
            _ => 1,
        };
    }
    let words = text.trim_ascii_start();
    let length = words.iter().take_while(|byte| byte.is_ascii_alphabetic()).count();
    match words[..length].to_ascii_uppercase().as_slice() {
        b"SELECT" => Ok(false),
        b"INSERT" | b"UPDATE" | b"DELETE" => Ok(true),
        _ => Err(Unreadable::Verb),
    }
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
