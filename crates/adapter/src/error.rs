//! Errors in the input.

use quillpoint_settings::SettingsError;

/// A line of the input violates the protocol, or refers to an instance or list that does not exist.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The first word of the line is not the name of a message.
    #[error("expected the name of a message, found '{0}'")]
    UnknownMessage(String),
    /// A message at a position where the protocol requires another one.
    #[error("expected {expected}, found '{found}'")]
    UnexpectedMessage {
        /// The name of the message that was found.
        found: String,
        /// The message that the protocol requires.
        expected: &'static str,
    },
    /// A required field is missing.
    #[error("{message} lacks the field {field}")]
    MissingField {
        /// The name of the message.
        message: String,
        /// The name of the missing field.
        field: &'static str,
    },
    /// The value of a field is not of the field's type.
    #[error("the field {field} has the invalid value '{value}'")]
    InvalidField {
        /// The name of the field.
        field: String,
        /// The invalid value.
        value: String,
    },
    /// A part of the line is not a field.
    #[error("expected name=value, found '{0}'")]
    InvalidFieldSyntax(String),
    /// The settings of an instance to be started are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event for an instance that is not running.
    #[error("instance {0} has not been started")]
    UnknownInstance(u64),
    /// An event refers to an endpoint list that no earlier line has defined.
    #[error("endpoint list {0} has not been defined")]
    UnknownList(u64),
    /// The input ended within a batch.
    #[error("expected FLUSH, found the end of the input inside a batch")]
    Truncated,
}
