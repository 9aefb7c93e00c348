//! What is wrong with a statement.

/// A statement that is not taken. Its text goes to the client.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// No comment at the start, or one that is not closed or not UTF-8.
    #[error("the statement does not begin with a comment that says what it is")]
    NoComment,
    /// The comment lacks this field.
    #[error("the comment lacks {0}")]
    MissingField(&'static str),
    /// A field of the comment, and a value that it cannot have.
    #[error("the comment's {0} cannot be {1:?}")]
    InvalidField(&'static str, String),
    /// A field that stands twice, and could mean either.
    #[error("the comment says {0} twice")]
    DuplicateField(&'static str),
    /// A statement of another kind.
    #[error("only SELECT, INSERT, UPDATE and DELETE are taken here")]
    UnsupportedVerb,
    /// More than one statement, or a quote or comment that is not closed.
    #[error("a query is one statement, with its quotes closed")]
    NotOneStatement,
}

impl StatementError {
    /// The SQLSTATE that tells a client of it.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::NoComment | Self::MissingField(_) | Self::NotOneStatement => "42601",
            Self::InvalidField(..) | Self::DuplicateField(_) => "22023",
            Self::UnsupportedVerb => "0A000",
        }
    }
}
