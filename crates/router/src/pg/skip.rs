//! Finds the ends of a client's messages without storing or decoding their bodies, for a session that rejects
//! whatever has arrived.

use super::ProtocolViolation;
use super::framing::{LENGTH_BYTES, TYPE_BYTES, decode_length};
use super::frontend::{FrontendKind, MAX_MESSAGE_BYTES};

const HEAD_BYTES: usize = TYPE_BYTES + LENGTH_BYTES;

/// The message whose body is being skipped.
struct Skipped {
    kind: FrontendKind,
    missing_bytes: usize,
}

/// Skips messages that arrive in pieces of any size.
#[derive(Default)]
pub struct FrontendSkipper {
    /// The type and length of the next message, as far as they have arrived.
    head: Vec<u8>,
    message: Option<Skipped>,
}

impl FrontendSkipper {
    /// Takes bytes from the start of `bytes`, up to the end of a message. Returns the kind of that message, or
    /// `None` if `bytes` has no more ends.
    ///
    /// # Errors
    /// A type that clients must not send, or an invalid length.
    pub fn next_end(&mut self, bytes: &mut &[u8]) -> Result<Option<FrontendKind>, ProtocolViolation> {
        let message = match self.message.take() {
            Some(message) => message,
            None => match self.take_head(bytes)? {
                Some(message) => message,
                None => return Ok(None),
            },
        };
        let Skipped { kind, missing_bytes } = message;
        let skipped = missing_bytes.min(bytes.len());
        *bytes = &bytes[skipped..];
        if skipped < missing_bytes {
            self.message = Some(Skipped { kind, missing_bytes: missing_bytes - skipped });
            return Ok(None);
        }
        Ok(Some(kind))
    }

    /// Whether all bytes that were taken belong to whole messages.
    pub fn is_between_messages(&self) -> bool {
        self.head.is_empty() && self.message.is_none()
    }

    /// Takes the type and length of the next message, or what there is of them.
    fn take_head(&mut self, bytes: &mut &[u8]) -> Result<Option<Skipped>, ProtocolViolation> {
        let (head, rest) = bytes.split_at(bytes.len().min(HEAD_BYTES - self.head.len()));
        self.head.extend(head);
        *bytes = rest;
        let Some((type_byte, length)) = self.head.split_first() else { return Ok(None) };
        let kind = FrontendKind::from_type(*type_byte)?;
        let Some(length) = decode_length(length, MAX_MESSAGE_BYTES)? else { return Ok(None) };
        self.head.clear();
        Ok(Some(Skipped { kind, missing_bytes: length - LENGTH_BYTES }))
    }
}
