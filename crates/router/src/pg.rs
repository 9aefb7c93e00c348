//! Encoding and decoding of messages of the PostgreSQL protocol, version 3. Does no I/O.

mod backend;
mod framing;
mod frontend;
mod response;
mod skip;
mod violation;

pub use backend::{
    BackendMessage, Column, decode_backend_message, encode_empty_query_response, encode_error,
    encode_extended_query_error, encode_ready_for_query, encode_result, encode_session_start,
};
pub use framing::{Framing, MESSAGE_HEAD_BYTES};
pub use frontend::{
    CancelKey, FrontendKind, FrontendMessage, StartupPacket, decode_frontend_message, decode_startup_packet,
    encode_query, encode_startup, query_message,
};
pub use response::{QueryResult, Response, ResponseReader};
pub use skip::FrontendSkipper;
pub use violation::ProtocolViolation;

/// The result of a decoder: a message and its length in bytes, or `None` if the message is not complete yet.
/// The caller removes the bytes from its buffer, so the decoder needs none of its own.
pub type Decoded<T> = Result<Option<(T, usize)>, ProtocolViolation>;

/// The longest message that contains only text, such as an error or a parameter.
const MAX_TEXT_MESSAGE_BYTES: usize = 8_192;
