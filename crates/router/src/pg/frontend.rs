//! Messages sent by clients (frontend messages): startup packets, and messages within a session.

use super::framing::{
    FieldReader, decode_length, decode_message, encode_message, encode_text, encode_with_length,
};
use super::{Decoded, MAX_TEXT_MESSAGE_BYTES, ProtocolViolation};

/// The longest message that a client may send: a statement with a value of 64 KiB in hex, plus its comment.
pub const MAX_MESSAGE_BYTES: usize = 2 * 65_536 + MAX_TEXT_MESSAGE_BYTES;
/// The same limit for startup packets as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
const MIN_STARTUP_BYTES: usize = 8;

const PROTOCOL_VERSION_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;

/// A packet that a client sends before a session is open.
#[derive(Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// Opens a session.
    Startup,
    /// Requests TLS or GSSAPI encryption.
    EncryptionRequest,
    /// Requests cancellation of the running statement of the session with this key.
    CancelRequest(CancelKey),
}

/// The BackendKeyData of a session. A cancel request with this key cancels a statement of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CancelKey(pub u64);

/// A message from a client within its session.
#[derive(Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    /// A simple query, without the terminating zero byte.
    Query(Vec<u8>),
    /// A message of the extended query protocol, which is not supported.
    ExtendedQuery,
    /// Ends an extended query.
    Sync,
    /// Ends the session.
    Terminate,
}

/// The kinds of messages from a client within its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendKind {
    /// A simple query.
    Query,
    /// A message of the extended query protocol.
    ExtendedQuery,
    /// Ends an extended query.
    Sync,
    /// Ends the session.
    Terminate,
}

impl FrontendKind {
    /// The kind of messages with this type byte.
    ///
    /// # Errors
    /// Clients must not send messages of this type.
    pub fn from_type(type_byte: u8) -> Result<Self, ProtocolViolation> {
        match type_byte {
            b'Q' => Ok(Self::Query),
            b'P' | b'B' | b'D' | b'E' | b'C' | b'F' | b'H' => Ok(Self::ExtendedQuery),
            b'S' => Ok(Self::Sync),
            b'X' => Ok(Self::Terminate),
            other => Err(ProtocolViolation::UnexpectedType(char::from(other))),
        }
    }
}

/// Decodes the startup packet at the start of `bytes`.
///
/// # Errors
/// The length is invalid, or the protocol version is not supported.
pub fn decode_startup_packet(bytes: &[u8]) -> Decoded<StartupPacket> {
    let Some(length) = decode_length(bytes, MAX_STARTUP_BYTES)? else { return Ok(None) };
    if length < MIN_STARTUP_BYTES {
        return Err(ProtocolViolation::InvalidLength(length));
    }
    let Some(body) = bytes.get(4..length) else { return Ok(None) };
    let mut body = FieldReader::new('\0', body);
    let packet = match body.u32()? {
        version if version & 0xffff_0000 == PROTOCOL_VERSION_3 => StartupPacket::Startup,
        CANCEL_REQUEST => StartupPacket::CancelRequest(CancelKey(body.u64()?)),
        SSL_REQUEST | GSSENC_REQUEST => StartupPacket::EncryptionRequest,
        other => return Err(ProtocolViolation::UnsupportedVersion(other)),
    };
    Ok(Some((packet, length)))
}

/// Decodes the message at the start of `bytes`.
///
/// # Errors
/// A message that clients must not send, or whose fields do not match its length.
pub fn decode_frontend_message(bytes: &[u8]) -> Decoded<FrontendMessage> {
    let Some((mut body, taken)) = decode_message(bytes, max_length)? else { return Ok(None) };
    let message = match FrontendKind::from_type(bytes[0])? {
        FrontendKind::Query => {
            let text = body.zero_terminated()?.to_vec();
            body.expect_end()?;
            FrontendMessage::Query(text)
        }
        FrontendKind::ExtendedQuery => FrontendMessage::ExtendedQuery,
        FrontendKind::Sync => FrontendMessage::Sync,
        FrontendKind::Terminate => FrontendMessage::Terminate,
    };
    Ok(Some((message, taken)))
}

fn max_length(message_type: u8) -> Option<usize> {
    FrontendKind::from_type(message_type).is_ok().then_some(MAX_MESSAGE_BYTES)
}

/// Appends the startup packet that opens a session.
pub fn encode_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    encode_with_length(out, |out| {
        out.extend(PROTOCOL_VERSION_3.to_be_bytes());
        for text in ["user", user, "database", database] {
            encode_text(out, text.as_bytes());
        }
        out.push(0);
    });
}

/// Appends a simple query.
pub fn encode_query(out: &mut Vec<u8>, text: &[u8]) {
    encode_message(out, b'Q', |out| encode_text(out, text));
}

/// Encodes a simple query as a new message.
pub fn query_message(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    encode_query(&mut out, text);
    out
}
