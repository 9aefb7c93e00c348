//! Verifies and decodes incoming datagrams.

use std::marker::PhantomData;

use quillpoint_membership::membership::MAX_PEERS;
use quillpoint_membership::{GossipMessage, Incarnation};
use quillpoint_observation_feed::Envelope;

use crate::header::{HASH_BYTES, HEADER_BYTES, Header, MAGIC, MAX_DATAGRAM_BYTES, VERSION};
use crate::keys::{KeyId, Keyring};
use crate::payload::Payload;
use crate::senders::Senders;

/// The kinds of datagram that exist, one for each type of payload.
const KINDS: [u8; 2] = [GossipMessage::KIND, Envelope::KIND];
/// The number of senders for which a fleet member keeps replay windows: twice its maximum number of peers.
const MAX_FLEET_SENDERS: usize = 2 * MAX_PEERS;

/// Why a datagram was rejected. The log counts rejections by the names of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OpenError {
    /// Shorter than a header and a hash.
    #[error("shorter than a header and a hash")]
    Truncated,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The first two bytes are not those of this protocol.
    #[error("expected the magic byte and a known kind, found other bytes")]
    Foreign,
    /// The kind is known, but belongs on another socket.
    #[error("of a kind that is received on another socket")]
    OtherKind,
    /// The version of the format is not supported.
    #[error("unsupported version of the datagram format")]
    Version,
    /// The header names a key that is not in the key ring.
    #[error("sealed with a key that is not in the key ring")]
    UnknownKey,
    /// The hash does not match: the datagram was altered in transit, or its sender does not have the key.
    #[error("hash mismatch: altered in transit, or sealed without the key")]
    Forged,
    /// The receiver is another incarnation of this process, or is left open although the payload must name
    /// it.
    #[error("addressed to another incarnation of this process, or to none")]
    OtherSession,
    /// The hash matches, but the payload cannot be decoded.
    #[error("authentic, but its payload cannot be decoded")]
    Garbled,
    /// The sequence number was accepted before, or is older than the replay window.
    #[error("replayed, or older than the replay window")]
    Replayed,
}

/// Opens datagrams of one kind and accepts each of them once.
pub struct Opener<P = GossipMessage> {
    senders: Senders,
    payload: PhantomData<P>,
}

impl Default for Opener<GossipMessage> {
    fn default() -> Self {
        Self::new(MAX_FLEET_SENDERS)
    }
}

impl<P: Payload> Opener<P> {
    /// An opener with replay windows for up to `max_senders` senders. When another one appears, the sender
    /// that has been silent longest is dropped.
    pub fn new(max_senders: usize) -> Self {
        Self { senders: Senders::new(max_senders), payload: PhantomData }
    }

    /// Verifies a datagram that arrived at the process whose incarnation is `own`, and returns its payload.
    ///
    /// # Errors
    /// The datagram is rejected. The state does not change then, except that a replay counts as activity of
    /// its sender: it is not the one that has been silent longest.
    pub fn open(&mut self, keys: &Keyring, own: Incarnation, bytes: &[u8]) -> Result<P, OpenError> {
        check_framing(bytes)?;
        let (authenticated, hash) = bytes.split_at(bytes.len() - HASH_BYTES);
        let header = Header::parse(authenticated);
        if header.kind != P::KIND {
            return Err(OpenError::OtherKind);
        }
        if header.version != VERSION {
            return Err(OpenError::Version);
        }
        verify(keys, header.key_id, authenticated, hash)?;
        let names_this_process = header.receiver == own;
        if !names_this_process && header.receiver != Incarnation::default() {
            return Err(OpenError::OtherSession);
        }
        let payload: P = decode(&authenticated[HEADER_BYTES..])?;
        if !names_this_process && !payload.may_omit_receiver() {
            return Err(OpenError::OtherSession);
        }
        if !self.senders.accept(&payload, header.sequence) {
            return Err(OpenError::Replayed);
        }
        Ok(payload)
    }
}

/// The checks that need no hash. They come first, so that a flood of foreign datagrams costs almost no CPU.
fn check_framing(bytes: &[u8]) -> Result<(), OpenError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(OpenError::TooLong);
    }
    let is_foreign = match bytes {
        [] => false,
        [magic] => *magic != MAGIC,
        [magic, kind, ..] => *magic != MAGIC || !KINDS.contains(kind),
    };
    if is_foreign {
        return Err(OpenError::Foreign);
    }
    if bytes.len() < HEADER_BYTES + HASH_BYTES {
        return Err(OpenError::Truncated);
    }
    Ok(())
}

fn verify(keys: &Keyring, id: KeyId, authenticated: &[u8], hash: &[u8]) -> Result<(), OpenError> {
    let key = keys.find(id).ok_or(OpenError::UnknownKey)?;
    // Hashes are compared in constant time, so that the timing does not reveal where they differ.
    let matches = <[u8; HASH_BYTES]>::try_from(hash).is_ok_and(|hash| key.hash(authenticated) == hash);
    if matches { Ok(()) } else { Err(OpenError::Forged) }
}

/// Decodes a payload that fills `bytes` exactly. The memory it allocates is bounded by the datagram's length.
fn decode<P: Payload>(bytes: &[u8]) -> Result<P, OpenError> {
    match postcard::take_from_bytes(bytes) {
        Ok((payload, [])) => Ok(payload),
        Ok(_) | Err(_) => Err(OpenError::Garbled),
    }
}
