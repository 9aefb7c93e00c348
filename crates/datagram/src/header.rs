//! The header of a datagram and the sizes of its parts.

use quillpoint_membership::Incarnation;

use crate::keys::KeyId;

/// The maximum length of a datagram. With its IP and UDP headers it fits the minimum MTU of IPv6, so that it
/// is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
pub const MAGIC: u8 = b'Q';
pub const VERSION: u8 = 1;
pub const HEADER_BYTES: usize = 2 + 1 + 4 + 8 + 8;
pub const HASH_BYTES: usize = blake3::OUT_LEN;

/// The header fields between [`MAGIC`] and the payload.
pub struct Header {
    pub kind: u8,
    pub version: u8,
    pub key_id: KeyId,
    /// The receiver's incarnation, or zero if the sender does not know it.
    pub receiver: Incarnation,
    pub sequence: u64,
}

impl Header {
    pub fn append_to(&self, bytes: &mut Vec<u8>) {
        bytes.extend([MAGIC, self.kind, self.version]);
        bytes.extend(self.key_id.0);
        bytes.extend(self.receiver.0.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
    }

    /// Parses the header at the start of `bytes`, which must be at least [`HEADER_BYTES`] long.
    pub fn parse(bytes: &[u8]) -> Self {
        let u64_at = |offset: usize| u64::from_be_bytes(std::array::from_fn(|index| bytes[offset + index]));
        Self {
            kind: bytes[1],
            version: bytes[2],
            key_id: KeyId(std::array::from_fn(|index| bytes[3 + index])),
            receiver: Incarnation(u64_at(7)),
            sequence: u64_at(15),
        }
    }
}
