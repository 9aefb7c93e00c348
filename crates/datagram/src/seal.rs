//! Encodes and authenticates outgoing datagrams.

use quillpoint_membership::Incarnation;

use crate::header::{Header, MAX_DATAGRAM_BYTES, VERSION};
use crate::keys::Keyring;
use crate::payload::Payload;

/// Why a payload cannot be sent as a datagram.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// With this payload the datagram would exceed [`MAX_DATAGRAM_BYTES`].
    #[error("expected a datagram of at most {MAX_DATAGRAM_BYTES} bytes, found {bytes} bytes")]
    TooLong {
        /// The length that the datagram would have.
        bytes: usize,
    },
    /// Postcard cannot encode the payload.
    #[error("cannot encode the payload: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Seals payloads for other processes. It numbers the datagrams that it seals, so each socket needs its own
/// sealer.
#[derive(Default)]
pub struct Sealer {
    last_sequence: u64,
}

impl Sealer {
    /// Builds the datagram for the process whose incarnation is `receiver`, or for one whose incarnation is
    /// not known yet if `None`.
    ///
    /// # Errors
    /// The payload cannot be encoded or does not fit into a datagram.
    pub fn seal<P: Payload>(
        &mut self,
        keys: &Keyring,
        receiver: Option<Incarnation>,
        payload: &P,
    ) -> Result<Vec<u8>, SealError> {
        self.last_sequence += 1;
        let key = keys.sealing_key();
        let header = Header {
            kind: P::KIND,
            version: VERSION,
            key_id: key.id,
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
