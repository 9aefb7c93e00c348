//! The comment ahead of a statement: fields of the form `name=value`, separated by commas.

use std::ops::Range;
use std::time::Duration;

use quillpoint::host::ReplicaSetId;

use super::StatementError;

/// No id that a client makes up is longer.
const MAX_ID_BYTES: usize = 64;
/// More milliseconds than any clock can hold.
const MS_BOUND: f64 = 1e14;

/// What the comment says.
pub struct Comment {
    pub id: String,
    pub method: String,
    pub remaining: Duration,
    /// Where in the text the number of `d` stands.
    pub remaining_at: Range<usize>,
    pub replica_set: ReplicaSetId,
    pub last_write: Option<Duration>,
    pub retried: bool,
    /// Where in the text what follows the comment starts.
    pub end: usize,
}

impl Comment {
    pub fn parse(text: &[u8]) -> Result<Self, StatementError> {
        let content_at = content_range(text).ok_or(StatementError::NoComment)?;
        let content = str::from_utf8(&text[content_at.clone()]).map_err(|_| StatementError::NoComment)?;
        let mut fields = Fields::default();
        let mut offset = content_at.start;
        for pair in content.split(',') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = value.trim();
            let value_end = offset + pair.trim_end().len();
            fields.set(name.trim(), value, value_end - value.len()..value_end)?;
            offset += pair.len() + 1;
        }
        fields.complete(content_at.end + COMMENT_END.len())
    }
}

const COMMENT_START: &[u8] = b"/*";
const COMMENT_END: &[u8] = b"*/";

/// Where the text between the comment's marks stands.
fn content_range(text: &[u8]) -> Option<Range<usize>> {
    let comment = text.iter().position(|byte| !byte.is_ascii_whitespace())?;
    let content = text[comment..].strip_prefix(COMMENT_START)?;
    let length = content.windows(COMMENT_END.len()).position(|bytes| bytes == COMMENT_END)?;
    let start = comment + COMMENT_START.len();
    Some(start..start + length)
}

/// The fields that have been read so far.
#[derive(Default)]
struct Fields {
    id: Option<String>,
    method: Option<String>,
    remaining: Option<(Duration, Range<usize>)>,
    replica_set: Option<ReplicaSetId>,
    last_write: Option<Duration>,
    retried: Option<bool>,
}

impl Fields {
    /// Fields of other names are for the nodes.
    fn set(&mut self, name: &str, value: &str, value_at: Range<usize>) -> Result<(), StatementError> {
        match name {
            "id" => set_once("id", &mut self.id, parse_id(value)?),
            "c" => set_once("c", &mut self.method, value.to_string()),
            "d" => set_once("d", &mut self.remaining, (parse_remaining(value)?, value_at)),
            "cluster" => set_once("cluster", &mut self.replica_set, parse_replica_set(value)?),
            "after" => set_once("after", &mut self.last_write, parse_ms("after", value)?),
            "r" => set_once("r", &mut self.retried, value == "1"),
            _ => Ok(()),
        }
    }

    fn complete(self, end: usize) -> Result<Comment, StatementError> {
        let id = self.id.ok_or(StatementError::MissingField("id"))?;
        let method = self.method.ok_or(StatementError::MissingField("c"))?;
        let (remaining, remaining_at) = self.remaining.ok_or(StatementError::MissingField("d"))?;
        let replica_set = self.replica_set.ok_or(StatementError::MissingField("cluster"))?;
        let last_write = self.last_write.filter(|at| !at.is_zero());
        let retried = self.retried.unwrap_or(false);
        Ok(Comment { id, method, remaining, remaining_at, replica_set, last_write, retried, end })
    }
}

fn set_once<T>(name: &'static str, field: &mut Option<T>, value: T) -> Result<(), StatementError> {
    match field.replace(value) {
        None => Ok(()),
        Some(_) => Err(StatementError::DuplicateField(name)),
    }
}

fn parse_id(value: &str) -> Result<String, StatementError> {
    if value.is_empty() || value.len() > MAX_ID_BYTES {
        return Err(StatementError::InvalidField("id", value.chars().take(MAX_ID_BYTES).collect()));
    }
    Ok(value.to_string())
}

fn parse_remaining(value: &str) -> Result<Duration, StatementError> {
    let remaining = parse_ms("d", value)?;
    if remaining.is_zero() {
        return Err(StatementError::InvalidField("d", value.to_string()));
    }
    Ok(remaining)
}

fn parse_replica_set(value: &str) -> Result<ReplicaSetId, StatementError> {
    let invalid = |_| StatementError::InvalidField("cluster", value.to_string());
    value.parse().map(ReplicaSetId).map_err(invalid)
}

/// Milliseconds, to the microsecond.
fn parse_ms(name: &'static str, value: &str) -> Result<Duration, StatementError> {
    let ms = value.parse().ok().filter(|ms: &f64| (0.0..MS_BOUND).contains(ms));
    let ms = ms.ok_or_else(|| StatementError::InvalidField(name, value.to_string()))?;
    Ok(Duration::from_micros((ms * 1000.0).round() as u64))
}
