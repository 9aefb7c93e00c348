//! Payloads to datagrams.

use quillpoint_membership::Incarnation;

use crate::header::{Header, MAX_DATAGRAM_BYTES, VERSION};
use crate::keys::Keyring;
use crate::payload::Payload;

/// Why a payload cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// The payload does not fit [`MAX_DATAGRAM_BYTES`].
    #[error("it would fill {bytes} bytes, more than a datagram has")]
    TooLong {
        /// The length of the datagram that it would take.
        bytes: usize,
    },
    /// The payload has a form that postcard does not write.
    #[error("its payload cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Seals payloads for others. Its datagrams have a sequence of their own, so each socket has its own sealer.
#[derive(Default)]
pub struct Sealer {
    last_sequence: u64,
}

impl Sealer {
    /// The datagram for a process with this incarnation; `None` where the incarnation is not known.
    ///
    /// # Errors
    /// A payload that does not fit a datagram.
    pub fn seal<P: Payload>(
        &mut self,
        keys: &Keyring,
        receiver: Option<Incarnation>,
        payload: &P,
    ) -> Result<Vec<u8>, SealError> {
        self.last_sequence += 1;
        let key = keys.newest();
        let header = Header {
            kind: P::KIND,
            version: VERSION,
            key: key.id,
            receiver: receiver.unwrap_or_default(),
            sequence: self.last_sequence,
        };
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        header.append_to(&mut bytes);
        let mut bytes = postcard::to_extend(payload, bytes)?;
        bytes.extend(key.hash(&bytes).as_bytes());
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(SealError::TooLong { bytes: bytes.len() });
        }
        Ok(bytes)
    }
}
