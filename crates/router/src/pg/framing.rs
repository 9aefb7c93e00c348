//! Framing that is common to all messages: a type byte, a length that includes itself, and a body of fields.

use super::{Decoded, ProtocolViolation};

pub const LENGTH_BYTES: usize = 4;
pub const TYPE_BYTES: usize = 1;

/// How many bytes at the start of a message are enough to find its length and, where the decoders check an
/// incomplete message, what they check.
pub const MESSAGE_HEAD_BYTES: usize = 11;

/// How messages are delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Startup packets, which begin with their length.
    Startup,
    /// All other messages, which begin with a type byte and their length.
    Typed,
}

impl Framing {
    /// The length in bytes that the message at the start of `bytes` announces, or `None` if there are too few
    /// bytes. It is not checked.
    pub fn message_bytes(self, bytes: &[u8]) -> Option<usize> {
        let prefix_bytes = match self {
            Self::Startup => 0,
            Self::Typed => TYPE_BYTES,
        };
        let length = bytes.get(prefix_bytes..)?.first_chunk()?;
        Some(prefix_bytes + u32::from_be_bytes(*length) as usize)
    }
}

/// Reads the fields of a message body.
pub struct FieldReader<'a> {
    pub message_type: char,
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    pub fn new(message_type: char, body: &'a [u8]) -> Self {
        Self { message_type, rest: body }
    }

    pub fn invalid_fields(&self) -> ProtocolViolation {
        ProtocolViolation::InvalidFields(self.message_type)
    }

    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], ProtocolViolation> {
        let (taken, rest) = self.rest.split_at_checked(count).ok_or_else(|| self.invalid_fields())?;
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], ProtocolViolation> {
        let (taken, rest) = self.rest.split_first_chunk().ok_or_else(|| self.invalid_fields())?;
        self.rest = rest;
        Ok(*taken)
    }

    pub fn u16(&mut self) -> Result<u16, ProtocolViolation> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, ProtocolViolation> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, ProtocolViolation> {
        self.array().map(u64::from_be_bytes)
    }

    /// Reads up to the next zero byte and skips it.
    pub fn zero_terminated(&mut self) -> Result<&'a [u8], ProtocolViolation> {
        let end = self.rest.iter().position(|byte| *byte == 0).ok_or_else(|| self.invalid_fields())?;
        let taken = self.bytes(end + 1)?;
        Ok(&taken[..end])
    }

    /// Reads a zero-terminated string, replacing invalid UTF-8.
    pub fn text(&mut self) -> Result<String, ProtocolViolation> {
        Ok(String::from_utf8_lossy(self.zero_terminated()?).into_owned())
    }

    /// Reads a column or field count, which must be one.
    pub fn expect_count_of_one(&mut self) -> Result<(), ProtocolViolation> {
        if self.u16()? == 1 { Ok(()) } else { Err(self.invalid_fields()) }
    }

    /// Checks that no bytes are left after the last field.
    pub fn expect_end(&self) -> Result<(), ProtocolViolation> {
        if self.rest.is_empty() { Ok(()) } else { Err(self.invalid_fields()) }
    }
}

/// Decodes the length field at the start of `bytes`, or returns `None` if it is not complete yet.
pub fn decode_length(bytes: &[u8], max_length: usize) -> Result<Option<usize>, ProtocolViolation> {
    let Some(field) = bytes.first_chunk() else { return Ok(None) };
    match u32::from_be_bytes(*field) as usize {
        length if length < LENGTH_BYTES => Err(ProtocolViolation::InvalidLength(length)),
        // Rejected before any memory is allocated for the message.
        length if length > max_length => Err(ProtocolViolation::MessageTooLong(length)),
        length => Ok(Some(length)),
    }
}

/// Decodes a message with a type byte. Returns a reader for its body and the message's length in bytes.
///
/// `max_length` returns `None` for a type that is not accepted. An invalid type is detected from the first
/// byte, an invalid length from the first five.
pub fn decode_message(bytes: &[u8], max_length: impl Fn(u8) -> Option<usize>) -> Decoded<FieldReader<'_>> {
    let Some((type_byte, rest)) = bytes.split_first() else { return Ok(None) };
    let message_type = char::from(*type_byte);
    let max_length = max_length(*type_byte).ok_or(ProtocolViolation::UnexpectedType(message_type))?;
    let Some(length) = decode_length(rest, max_length)? else { return Ok(None) };
    let Some(body) = rest.get(LENGTH_BYTES..length) else { return Ok(None) };
    Ok(Some((FieldReader::new(message_type, body), TYPE_BYTES + length)))
}

/// Appends a message: its type, its length, and the body that `append_body` appends.
pub fn encode_message(out: &mut Vec<u8>, message_type: u8, append_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(message_type);
    encode_with_length(out, append_body);
}

/// Appends a length field and the body that `append_body` appends.
pub fn encode_with_length(out: &mut Vec<u8>, append_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    append_body(out);
    let length = (out.len() - start) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string, leaving out zero bytes within `text`.
pub fn encode_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend(text.iter().filter(|byte| **byte != 0));
    out.push(0);
}
