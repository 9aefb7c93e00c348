//! What is wrong with the input.

use quillpoint_settings::SettingsError;

/// A line of the input that breaks the wire's format, or names what has not been set up.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line's first word names no message.
    #[error("'{0}' is not a message of the wire")]
    UnknownMessage(String),
    /// A message of the wire in a place where another is due.
    #[error("'{found}' stands where {expected} is due")]
    UnexpectedMessage {
        /// The message that was found.
        found: String,
        /// What the format wants in its place.
        expected: &'static str,
    },
    /// A message without a field that it must have.
    #[error("{message} lacks the field {field}")]
    MissingField {
        /// The message.
        message: String,
        /// The field that is absent.
        field: &'static str,
    },
    /// A field whose value is not of its type.
    #[error("the field {field}={value} cannot be read")]
    InvalidField {
        /// The field's name.
        field: String,
        /// Its value as it was found.
        value: String,
    },
    /// A part of a line that is no field.
    #[error("'{0}' is not of the form name=value")]
    InvalidFieldSyntax(String),
    /// The settings of an instance that starts.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event for an instance that is not running.
    #[error("instance {0} has not been started")]
    UnknownInstance(u64),
    /// An event that names an endpoint list which no earlier line has defined.
    #[error("list {0} has not been set up")]
    UnknownList(u64),
    /// The input ended after a batch's first line and before its last.
    #[error("the input ends inside a batch")]
    Truncated,
}
