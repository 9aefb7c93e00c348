//! The reasons for which a session ends.

use std::io;

use crate::budget::ReservationRejected;
use crate::pg::ProtocolViolation;
use crate::receive_buffer::ReceiveError;

/// `Ok` if the client ended its session in the regular way, or else the reason for its end.
pub(super) type SessionResult = Result<(), SessionEnd>;

/// Why a session ended. The text of a reason with a SQLSTATE is sent to the client.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionEnd {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    ProtocolViolation(#[from] ProtocolViolation),
    #[error("the client disconnected")]
    ClientDisconnected,
    #[error("closed while idle")]
    ClosedWhileIdle,
    #[error("finished")]
    Finished,
    #[error("a message did not arrive whole in time")]
    TimedOut,
    #[error("{0}")]
    OutOfMemory(#[from] ReservationRejected),
    #[error("too many statements in a row that cannot be used")]
    TooManyUnusableStatements,
}

impl SessionEnd {
    /// The SQLSTATE of the error to send, or `None` if no error is sent to the client.
    pub(super) fn code(&self) -> Option<&'static str> {
        match self {
            Self::ProtocolViolation(violation) => Some(violation.sqlstate()),
            Self::TimedOut => Some("57014"),
            Self::OutOfMemory(_) => Some("53200"),
            Self::TooManyUnusableStatements => Some("08P01"),
            Self::Io(_) | Self::ClientDisconnected | Self::ClosedWhileIdle | Self::Finished => None,
        }
    }
}

impl From<ReceiveError> for SessionEnd {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::Io(error) => Self::Io(error),
            ReceiveError::OutOfMemory(rejected) => Self::OutOfMemory(rejected),
            ReceiveError::Closed => Self::ClientDisconnected,
        }
    }
}
