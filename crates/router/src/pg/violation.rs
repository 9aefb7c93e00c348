//! What breaks the protocol.

/// Bytes that are no message which has a place here.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// The message's length field, in bytes, is above the limit for its type.
    #[error("a message of {0} bytes is longer than any that is taken here")]
    MessageTooLong(usize),
    /// The length field is less than the bytes that every message of its type has.
    #[error("a message with a length of {0} cannot be")]
    InvalidLength(usize),
    /// A startup packet of another version: the major one in the upper half, the minor one in the lower.
    #[error("protocol {}.{} is not spoken here", .0 >> 16, .0 & 0xffff)]
    UnsupportedVersion(u32),
    /// The fields of a message of this type do not fill its body, or go beyond it.
    #[error("a message of type {0:?} and its fields do not fit")]
    InvalidFields(char),
    /// A message type that the protocol lacks, or that the other side may not send.
    #[error("a message of type {0:?} has no place here")]
    UnexpectedType(char),
    /// A response of another form than one row of one column, or an error.
    #[error("its messages come in no order that makes an answer of one value")]
    UnexpectedOrder,
}

impl ProtocolViolation {
    /// The SQLSTATE that tells a client of it.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::MessageTooLong(_) => "54000",
            Self::UnsupportedVersion(_) => "0A000",
            _ => "08P01",
        }
    }
}
