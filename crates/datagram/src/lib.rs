//! What processes of an installation tell each other, as datagrams: versioned, bounded, authenticated, each taken once.
//!
//! A datagram is a head, the [`Payload`] in postcard's format, and a keyed BLAKE3 hash over both:
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | `Q` |
//! | 1 | the kind: `P` for a letter between members of a fleet, `F` for an envelope of the feed |
//! | 1 | version, 1 |
//! | 4 | which key |
//! | 8 | the receiver's start, as the sender knows it; 0 where it does not |
//! | 8 | number of the datagram at its sender, growing |
//! | .. | the payload |
//! | 32 | the hash |
//!
//! Numbers are in network order. A datagram is taken only by the process it was sent to: its head names that
//! process's start, so what was recorded before a restart is worth nothing after it. Only a hello, or a wish to
//! subscribe, which do no more than ask, may leave the start open. Of one sender's start each number is taken once.

pub mod keys;
pub mod payload;
mod window;

use std::collections::BTreeMap;
use std::marker::PhantomData;

use quillpoint_membership::{GossipMessage, Incarnation, PeerName};

use crate::keys::{KeyId, Keyring};
pub use crate::payload::Payload;
use crate::window::Window;

/// No datagram is longer: it fits the least maximum transmission unit of IPv6 with its headers.
pub const LONGEST: usize = 1200;
const MAGIC: u8 = b'Q';
/// All that may stand in the place of the kind.
const KINDS: [u8; 2] = [GossipMessage::KIND, quillpoint_observation_feed::Envelope::KIND];
const VERSION: u8 = 1;
const HEAD: usize = 2 + 1 + 4 + 8 + 8;
const HASH: usize = blake3::OUT_LEN;
/// A member of a fleet keeps windows of so many others, twice as many as it keeps peers.
const MOST_PEERS: usize = 512;

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    #[error("shorter than a head and a hash")]
    Truncated,
    #[error("longer than {LONGEST} bytes")]
    TooLong,
    #[error("not one of ours")]
    Foreign,
    #[error("of another kind, for another socket of ours")]
    OtherKind,
    #[error("of another version")]
    Version,
    #[error("under a key that is not known here")]
    UnknownKey,
    #[error("its hash is wrong")]
    Forged,
    #[error("for another start of this router")]
    OtherSession,
    #[error("its payload cannot be read")]
    Garbled,
    #[error("taken before, or too old to tell")]
    Replayed,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("it would fill {0} bytes, more than a datagram has")]
pub struct TooLong(pub usize);

/// Closes payloads for others. Its datagrams are numbered alone, so each socket has one of its own.
#[derive(Default)]
pub struct Sealer {
    number: u64,
}

impl Sealer {
    /// # Errors
    /// A payload that does not fit a datagram.
    pub fn seal<P: Payload>(
        &mut self,
        keys: &Keyring,
        session: Option<Incarnation>,
        payload: &P,
    ) -> Result<Vec<u8>, TooLong> {
        self.number += 1;
        let (id, key) = keys.newest();
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.extend([MAGIC, P::KIND, VERSION]);
        bytes.extend(id.0);
        bytes.extend(session.unwrap_or_default().0.to_be_bytes());
        bytes.extend(self.number.to_be_bytes());
        // Writing to a vector cannot fail, and the types have no form that postcard refuses.
        let mut bytes = postcard::to_extend(payload, bytes).map_err(|_| TooLong(0))?;
        bytes.extend(blake3::keyed_hash(key, &bytes).as_bytes());
        if bytes.len() > LONGEST { Err(TooLong(bytes.len())) } else { Ok(bytes) }
    }
}

/// Opens what arrives of one kind, and takes nothing twice.
pub struct Opener<P = GossipMessage> {
    /// By sender and start; when each was last of use, as a count of what was taken.
    windows: BTreeMap<(PeerName, Incarnation), (Window, u64)>,
    most: usize,
    taken: u64,
    kind: PhantomData<P>,
}

impl Default for Opener<GossipMessage> {
    fn default() -> Self {
        Self::of(MOST_PEERS)
    }
}

impl<P: Payload> Opener<P> {
    /// Windows are kept of so many senders; with more, the one that has been silent longest is forgotten.
    pub fn of(most: usize) -> Self {
        Self { windows: BTreeMap::new(), most: most.max(1), taken: 0, kind: PhantomData }
    }

    /// `own` is the start of this process.
    ///
    /// # Errors
    /// Why it is not taken. Nothing is changed then.
    pub fn open(&mut self, keys: &Keyring, own: Incarnation, bytes: &[u8]) -> Result<P, Refusal> {
        if bytes.len() > LONGEST {
            return Err(Refusal::TooLong);
        }
        // The cheapest look first: a flood of what is not ours costs next to nothing.
        if !bytes.iter().take(1).all(|byte| *byte == MAGIC)
            || !bytes.iter().skip(1).take(1).all(|byte| KINDS.contains(byte))
        {
            return Err(Refusal::Foreign);
        }
        if bytes.len() < HEAD + HASH {
            return Err(Refusal::Truncated);
        }
        if bytes[1] != P::KIND {
            return Err(Refusal::OtherKind);
        }
        if bytes[2] != VERSION {
            return Err(Refusal::Version);
        }
        let (body, hash) = bytes.split_at(bytes.len() - HASH);
        let number = |at: usize| u64::from_be_bytes(std::array::from_fn(|place| body[at + place]));
        let key = keys.find(KeyId(std::array::from_fn(|place| body[3 + place])));
        let key = key.ok_or(Refusal::UnknownKey)?;
        // Compares in constant time.
        let good = <[u8; HASH]>::try_from(hash).is_ok_and(|hash| blake3::keyed_hash(key, body) == hash);
        if !good {
            return Err(Refusal::Forged);
        }
        let session = Incarnation(number(7));
        if session != own && session != Incarnation::default() {
            return Err(Refusal::OtherSession);
        }
        // It borrows from the datagram, whose length bounds what is allocated.
        let (payload, rest) = postcard::take_from_bytes::<P>(&body[HEAD..]).map_err(|_| Refusal::Garbled)?;
        if !rest.is_empty() {
            return Err(Refusal::Garbled);
        }
        if session != own && !payload.only_asks() {
            return Err(Refusal::OtherSession);
        }
        self.note(&payload, number(15))?;
        Ok(payload)
    }

    fn note(&mut self, payload: &P, number: u64) -> Result<(), Refusal> {
        let (name, start) = payload.sender();
        let key = (name.clone(), start);
        self.taken += 1;
        if let Some((window, at)) = self.windows.get_mut(&key) {
            *at = self.taken;
            return window.take(number).then_some(()).ok_or(Refusal::Replayed);
        }
        if P::LATEST_START_ONLY {
            let starts = (name.clone(), Incarnation(0))..=(name.clone(), Incarnation(u64::MAX));
            let known = self.windows.range(starts).next().map(|(key, _)| key.clone());
            if known.as_ref().is_some_and(|(_, known)| *known > start) {
                // No window is turned back for it, and membership drops all but a hello.
                return if payload.only_asks() { Ok(()) } else { Err(Refusal::Replayed) };
            }
            known.and_then(|known| self.windows.remove(&known));
        }
        if self.windows.len() >= self.most {
            let silent = self.windows.iter().min_by_key(|(_, (_, at))| *at).map(|(key, _)| key.clone());
            silent.and_then(|silent| self.windows.remove(&silent));
        }
        self.windows.insert(key, (Window::starting_at(number), self.taken));
        Ok(())
    }
}
