//! The layout of a datagram.

use quillpoint_membership::Incarnation;

use crate::keys::KeyId;

/// No datagram is longer: it fits the least maximum transmission unit of IPv6 with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
pub const MAGIC: u8 = b'Q';
pub const VERSION: u8 = 1;
pub const HEADER_BYTES: usize = 2 + 1 + 4 + 8 + 8;
pub const HASH_BYTES: usize = blake3::OUT_LEN;

/// What stands ahead of the payload, behind [`MAGIC`].
pub struct Header {
    pub kind: u8,
    pub version: u8,
    pub key: KeyId,
    /// Zero where the sender does not know it.
    pub receiver: Incarnation,
    pub sequence: u64,
}

impl Header {
    pub fn append_to(&self, bytes: &mut Vec<u8>) {
        bytes.extend([MAGIC, self.kind, self.version]);
        bytes.extend(self.key.0);
        bytes.extend(self.receiver.0.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
    }

    /// `bytes` begin with a whole header.
    pub fn parse(bytes: &[u8]) -> Self {
        let number = |at: usize| u64::from_be_bytes(std::array::from_fn(|place| bytes[at + place]));
        Self {
            kind: bytes[1],
            version: bytes[2],
            key: KeyId(std::array::from_fn(|place| bytes[3 + place])),
            receiver: Incarnation(number(7)),
            sequence: number(15),
        }
    }
}
