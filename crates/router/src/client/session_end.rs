//! The reasons for which a session ends.

use std::io;

use crate::budget::ReservationRejected;
use crate::pg::ProtocolViolation;
use crate::receive_buffer::ReceiveError;

/// The result of a step of a session, or of the whole session: `Ok` if the step succeeded or the session
/// ended in the regular way, or else the reason for which the session ends.
pub(super) type SessionResult = Result<(), SessionEnd>;

/// Why a session ended. The text is logged, and is sent to the client if [`Self::code`] gives the reason a
/// SQLSTATE.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionEnd {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    ProtocolViolation(#[from] ProtocolViolation),
    #[error("the client disconnected")]
    ClientDisconnected,
    /// By the router: it is draining, or the connection's descriptor is needed elsewhere.
    #[error("closed while idle")]
    ClosedWhileIdle,
    /// The process is about to exit.
    #[error("the router is stopping")]
    RouterStopping,
    /// In the regular way: the client has ended the session, or has only sent a cancel request.
    #[error("finished")]
    Finished,
    /// A message did not arrive in time.
    #[error("a message did not arrive whole in time")]
    TimedOut,
    /// The client did not read a response in time. Nothing may be sent behind the part that was written: a
    /// client that reads on would take it for the rest.
    #[error("a response was not read in time")]
    ResponseNotRead,
    #[error("{0}")]
    OutOfMemory(#[from] ReservationRejected),
    #[error("too many statements in a row that cannot be used")]
    TooManyUnusableStatements,
}

/// How a session ends once its requests have been answered.
pub(super) struct Ending {
    pub(super) result: SessionResult,
    /// Whether the statements that have arrived by then are rejected, since the close would leave them without
    /// an answer. Otherwise nothing that follows can be answered.
    pub(super) rejects_arrived: bool,
}

impl Ending {
    /// Ends the session after all messages that have arrived.
    pub(super) fn after_arrived(result: SessionResult) -> Self {
        Self { result, rejects_arrived: true }
    }

    /// Ends the session without any further message.
    pub(super) fn immediate(result: SessionResult) -> Self {
        Self { result, rejects_arrived: false }
    }
}

impl SessionEnd {
    /// The SQLSTATE of the error that is sent to the client, or `None` if none is sent.
    pub(super) fn code(&self) -> Option<&'static str> {
        match self {
            Self::ProtocolViolation(violation) => Some(violation.sqlstate()),
            Self::TimedOut => Some("57014"),
            Self::OutOfMemory(_) => Some("53200"),
            Self::TooManyUnusableStatements => Some("08P01"),
            Self::Io(_)
            | Self::ClientDisconnected
            | Self::ClosedWhileIdle
            | Self::ResponseNotRead
            | Self::RouterStopping
            | Self::Finished => None,
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
