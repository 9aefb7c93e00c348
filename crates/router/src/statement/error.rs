//! Errors in a client's statement.

/// Why a statement is rejected. The text is sent to the client.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// There is no leading comment, or it is not closed or not UTF-8.
    #[error("the statement does not begin with a comment that says what it is")]
    NoComment,
    /// A required field is missing from the comment.
    #[error("the comment lacks {0}")]
    MissingField(&'static str),
    /// A field of the comment has an invalid value.
    #[error("the comment's {0} cannot be {1:?}")]
    InvalidField(&'static str, String),
    /// A field occurs twice in the comment, so its value is ambiguous.
    #[error("the comment says {0} twice")]
    DuplicateField(&'static str),
    /// The SQL command is not supported.
    #[error("only SELECT, INSERT, UPDATE and DELETE are taken here")]
    UnsupportedVerb,
    /// There is more than one statement, or a quote or comment is not closed.
    #[error("a query is one statement, with its quotes closed")]
    NotOneStatement,
}

/// The most characters of a client's text that an error message repeats: it is escaped, and so may become
/// several times as long.
const MAX_QUOTED_CHARS: usize = 64;

/// The beginning of a client's text, for an error message.
pub fn quoted_part(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

impl StatementError {
    /// The error for a field with this value, of which the message repeats the beginning.
    pub(super) fn invalid_field(name: &'static str, value: &str) -> Self {
        Self::InvalidField(name, quoted_part(value))
    }

    /// Returns the SQLSTATE to send to the client.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::NoComment | Self::MissingField(_) | Self::NotOneStatement => "42601",
            Self::InvalidField(..) | Self::DuplicateField(_) => "22023",
            Self::UnsupportedVerb => "0A000",
        }
    }
}
