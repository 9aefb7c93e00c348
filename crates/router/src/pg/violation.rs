//! Protocol violations.

/// Bytes that are not a valid or supported message. The text of a client's violation is sent to the client.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// The message's length, in bytes, exceeds the limit for its type.
    #[error("a message of {0} bytes is longer than any that is taken here")]
    MessageTooLong(usize),
    /// The length field is smaller than the shortest message of its type.
    #[error("a message with a length of {0} cannot be")]
    InvalidLength(usize),
    /// The startup packet has another protocol version: major in the upper 16 bits, minor in the lower ones.
    #[error("protocol {}.{} is not spoken here", .0 >> 16, .0 & 0xffff)]
    UnsupportedVersion(u32),
    /// The fields of a message of this type are shorter or longer than its body, or have invalid values.
    #[error("a message of type {0:?} and its fields do not fit")]
    InvalidFields(char),
    /// The message type does not exist, or the peer must not send it.
    #[error("a message of type {0:?} has no place here")]
    UnexpectedType(char),
    /// The response is neither a row with one column nor an error.
    #[error("its messages come in no order that makes an answer of one value")]
    UnexpectedOrder,
}

impl ProtocolViolation {
    /// Returns the SQLSTATE to send to the client.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::MessageTooLong(_) => "54000",
            Self::UnsupportedVersion(_) => "0A000",
            _ => "08P01",
        }
    }
}
