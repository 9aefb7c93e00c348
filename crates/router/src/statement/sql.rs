//! Minimal parsing of a statement's SQL.

use super::StatementError;

/// Whether the statement is a write.
///
/// # Errors
/// There is more than one statement, of which the second would run too, or the command is not supported.
pub fn writes(sql: &[u8]) -> Result<bool, StatementError> {
    check_is_one_statement(sql)?;
    let verb = sql.trim_ascii_start();
    let length = verb.iter().take_while(|byte| byte.is_ascii_alphabetic()).count();
    match verb[..length].to_ascii_uppercase().as_slice() {
        b"SELECT" => Ok(false),
        b"INSERT" | b"UPDATE" | b"DELETE" => Ok(true),
        _ => Err(StatementError::UnsupportedVerb),
    }
}

/// Each byte is looked at a fixed number of times, however many semicolons and quotes there are.
fn check_is_one_statement(sql: &[u8]) -> Result<(), StatementError> {
    let mut rest = sql;
    while let Some(first) = rest.first() {
        if *first == b';' {
            return check_ends_statement(rest);
        }
        rest = &rest[token_length(rest)?..];
    }
    Ok(())
}

/// Returns the length of the first token of `rest`: a quoted literal or identifier, a comment, or a single
/// byte.
fn token_length(rest: &[u8]) -> Result<usize, StatementError> {
    let position = |end: &[u8]| rest[1..].windows(end.len()).position(|bytes| bytes == end);
    Ok(match rest[0] {
        quote @ (b'\'' | b'"') => 2 + position(&[quote]).ok_or(StatementError::NotOneStatement)?,
        _ if rest.starts_with(b"/*") => 3 + position(b"*/").ok_or(StatementError::NotOneStatement)?,
        _ if rest.starts_with(b"--") => 2 + position(b"\n").unwrap_or(rest.len() - 2),
        _ => 1,
    })
}

/// Checks that only whitespace and semicolons follow the first semicolon outside of quotes and comments.
fn check_ends_statement(rest: &[u8]) -> Result<(), StatementError> {
    match rest.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
        true => Ok(()),
        false => Err(StatementError::NotOneStatement),
    }
}

/// Returns the first literal in single quotes. In both statement forms that clients send it is the session's
/// key.
pub fn first_literal(sql: &[u8]) -> Option<&[u8]> {
    let start = sql.iter().position(|byte| *byte == b'\'')? + 1;
    let length = sql[start..].iter().position(|byte| *byte == b'\'')?;
    Some(&sql[start..start + length])
}
