//! Parses the leading comment of a statement: comma-separated `name=value` fields.

use std::ops::Range;
use std::time::Duration;

use quillpoint::host::ReplicaSetId;

use super::StatementError;

/// The longest id that clients use.
const MAX_ID_BYTES: usize = 64;
/// Exclusive upper bound for times in milliseconds; beyond any time that a clock can represent.
const TIME_LIMIT_MS: f64 = 1e14;

/// The parsed fields of a leading comment.
pub struct Comment {
    pub id: String,
    pub method: String,
    pub remaining: Duration,
    /// The position of the value of `d` in the text.
    pub remaining_range: Range<usize>,
    pub replica_set: ReplicaSetId,
    pub last_write: Option<Duration>,
    pub is_retry: bool,
    /// The position right after the comment.
    pub end: usize,
}

impl Comment {
    pub fn parse(text: &[u8]) -> Result<Self, StatementError> {
        let content_range = find_content(text).ok_or(StatementError::NoComment)?;
        let content = str::from_utf8(&text[content_range.clone()]).map_err(|_| StatementError::NoComment)?;
        let mut fields = Fields::default();
        let mut offset = content_range.start;
        for pair in content.split(',') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = value.trim();
            let value_end = offset + pair.trim_end().len();
            fields.set(name.trim(), value, value_end - value.len()..value_end)?;
            offset += pair.len() + 1;
        }
        fields.into_comment(content_range.end + COMMENT_END.len())
    }
}

const COMMENT_START: &[u8] = b"/*";
const COMMENT_END: &[u8] = b"*/";

/// Finds the text between the comment delimiters.
fn find_content(text: &[u8]) -> Option<Range<usize>> {
    let comment_start = text.iter().position(|byte| !byte.is_ascii_whitespace())?;
    let content = text[comment_start..].strip_prefix(COMMENT_START)?;
    let length = content.windows(COMMENT_END.len()).position(|bytes| bytes == COMMENT_END)?;
    let start = comment_start + COMMENT_START.len();
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
    is_retry: Option<bool>,
}

impl Fields {
    /// Sets a field. Ignores fields with other names, which are meant for the nodes.
    fn set(&mut self, name: &str, value: &str, value_range: Range<usize>) -> Result<(), StatementError> {
        match name {
            "id" => set_once("id", &mut self.id, parse_id(value)?),
            "c" => set_once("c", &mut self.method, value.to_string()),
            "d" => set_once("d", &mut self.remaining, (parse_remaining(value)?, value_range)),
            "cluster" => set_once("cluster", &mut self.replica_set, parse_replica_set(value)?),
            "after" => set_once("after", &mut self.last_write, parse_ms("after", value)?),
            "r" => set_once("r", &mut self.is_retry, value == "1"),
            _ => Ok(()),
        }
    }

    fn into_comment(self, end: usize) -> Result<Comment, StatementError> {
        let id = self.id.ok_or(StatementError::MissingField("id"))?;
        let method = self.method.ok_or(StatementError::MissingField("c"))?;
        let (remaining, remaining_range) = self.remaining.ok_or(StatementError::MissingField("d"))?;
        let replica_set = self.replica_set.ok_or(StatementError::MissingField("cluster"))?;
        let last_write = self.last_write.filter(|at| !at.is_zero());
        let is_retry = self.is_retry.unwrap_or(false);
        Ok(Comment { id, method, remaining, remaining_range, replica_set, last_write, is_retry, end })
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
        return Err(StatementError::invalid_field("id", value));
    }
    Ok(value.to_string())
}

fn parse_remaining(value: &str) -> Result<Duration, StatementError> {
    let remaining = parse_ms("d", value)?;
    if remaining.is_zero() {
        return Err(StatementError::invalid_field("d", value));
    }
    Ok(remaining)
}

fn parse_replica_set(value: &str) -> Result<ReplicaSetId, StatementError> {
    let invalid = |_| StatementError::invalid_field("cluster", value);
    value.parse().map(ReplicaSetId).map_err(invalid)
}

/// Parses a time in milliseconds, and rounds it to a microsecond.
fn parse_ms(name: &'static str, value: &str) -> Result<Duration, StatementError> {
    let ms = value.parse().ok().filter(|ms: &f64| (0.0..TIME_LIMIT_MS).contains(ms));
    let ms = ms.ok_or_else(|| StatementError::invalid_field(name, value))?;
    Ok(Duration::from_micros((ms * 1000.0).round() as u64))
}
