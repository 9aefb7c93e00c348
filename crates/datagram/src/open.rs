//! Datagrams to payloads.

use std::marker::PhantomData;

use quillpoint_membership::membership::MAX_PEERS;
use quillpoint_membership::{GossipMessage, Incarnation};
use quillpoint_observation_feed::Envelope;

use crate::header::{HASH_BYTES, HEADER_BYTES, Header, MAGIC, MAX_DATAGRAM_BYTES, VERSION};
use crate::keys::{KeyId, Keyring};
use crate::payload::Payload;
use crate::senders::Senders;

/// All that may stand in the place of the kind.
const KINDS: [u8; 2] = [GossipMessage::KIND, Envelope::KIND];
/// A member of a fleet keeps windows of so many others, twice as many as it keeps peers.
const MAX_FLEET_SENDERS: usize = 2 * MAX_PEERS;

/// Why a datagram was not taken. The names of the variants are the kinds that the log counts by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OpenError {
    /// Too short to be a datagram of ours.
    #[error("shorter than a head and a hash")]
    Truncated,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// It does not begin as a datagram of ours.
    #[error("not one of ours")]
    Foreign,
    /// Of a kind that belongs on another socket.
    #[error("of another kind, for another socket of ours")]
    OtherKind,
    /// In another version of the format.
    #[error("of another version")]
    Version,
    /// Its key is not in the keyring.
    #[error("under a key that is not known here")]
    UnknownKey,
    /// The hash does not match: changed on the way, or by someone without the key.
    #[error("its hash is wrong")]
    Forged,
    /// For another incarnation of this process, or for any where its payload has to name one.
    #[error("for another start of this router")]
    OtherSession,
    /// Its hash is right, and its payload is of no known form.
    #[error("its payload cannot be read")]
    Garbled,
    /// Its sequence number was taken before, or lies behind the replay window.
    #[error("taken before, or too old to tell")]
    Replayed,
}

/// Opens what arrives of one kind, and takes nothing twice.
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
    /// Replay windows are kept of so many senders; with more, the one that has been silent longest is forgotten.
    pub fn new(max_senders: usize) -> Self {
        Self { senders: Senders::new(max_senders), payload: PhantomData }
    }

    /// The payload of a datagram that arrived at the process whose incarnation is `own`.
    ///
    /// # Errors
    /// Why it is not taken. Nothing is changed then, but for a replay, which counts as a sign of life of its sender.
    pub fn open(&mut self, keys: &Keyring, own: Incarnation, bytes: &[u8]) -> Result<P, OpenError> {
        check_first_bytes(bytes)?;
        let (signed, hash) = bytes.split_at(bytes.len() - HASH_BYTES);
        let header = Header::parse(signed);
        if header.kind != P::KIND {
            return Err(OpenError::OtherKind);
        }
        if header.version != VERSION {
            return Err(OpenError::Version);
        }
        verify(keys, header.key, signed, hash)?;
        let names_receiver = header.receiver == own;
        if !names_receiver && header.receiver != Incarnation::default() {
            return Err(OpenError::OtherSession);
        }
        let payload: P = decode(&signed[HEADER_BYTES..])?;
        if !names_receiver && !payload.may_omit_receiver() {
            return Err(OpenError::OtherSession);
        }
        if !self.senders.accept(&payload, header.sequence) {
            return Err(OpenError::Replayed);
        }
        Ok(payload)
    }
}

/// The cheapest checks first: a flood of what is not ours costs next to nothing.
fn check_first_bytes(bytes: &[u8]) -> Result<(), OpenError> {
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

fn verify(keys: &Keyring, id: KeyId, signed: &[u8], hash: &[u8]) -> Result<(), OpenError> {
    let key = keys.find(id).ok_or(OpenError::UnknownKey)?;
    // The comparison of hashes takes the same time wherever they differ.
    let matches = <[u8; HASH_BYTES]>::try_from(hash).is_ok_and(|hash| key.hash(signed) == hash);
    if matches { Ok(()) } else { Err(OpenError::Forged) }
}

/// What is allocated is bounded by the datagram's length.
fn decode<P: Payload>(bytes: &[u8]) -> Result<P, OpenError> {
    match postcard::take_from_bytes(bytes) {
        Ok((payload, [])) => Ok(payload),
        Ok(_) | Err(_) => Err(OpenError::Garbled),
    }
}
