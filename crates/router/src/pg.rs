//! Messages of PostgreSQL's protocol, version 3: bytes to small typed values and back. No sockets.

mod backend;
mod framing;
mod frontend;
mod response;
mod violation;

pub use backend::{
    BackendMessage, Column, decode_backend_message, encode_empty_query_response, encode_error,
    encode_ready_for_query, encode_result, encode_session_start,
};
pub use frontend::{
    CancelKey, FrontendMessage, StartupPacket, decode_frontend_message, decode_startup_packet, encode_query,
    encode_startup, query_message,
};
pub use response::{QueryResult, Response, ResponseReader};
pub use violation::ProtocolViolation;

/// What a decoder makes of the bytes that have arrived so far: a message and how many bytes it takes, so that the
/// caller's buffer stays the only one, or `None` while the message is not complete.
pub type Decoded<T> = Result<Option<(T, usize)>, ProtocolViolation>;

/// The longest message that only says something in words.
const MAX_TEXT_MESSAGE_BYTES: usize = 8_192;
