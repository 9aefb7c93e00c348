//! Letters between routers as datagrams: versioned, bounded, authenticated, each taken once.
//!
//! A datagram is a head, the letter in postcard's format, and a keyed BLAKE3 hash over both:
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `QP` |
//! | 1 | version, 1 |
//! | 4 | which key |
//! | 8 | the receiver's start, as the sender knows it; 0 where it does not |
//! | 8 | number of the datagram at its sender, growing |
//! | .. | the letter |
//! | 32 | the hash |
//!
//! Numbers are in network order. A datagram is taken only by the process it was sent to: its head names that
//! process's start, so what was recorded before a restart is worth nothing after it. Only a hello, which does no
//! more than ask, may leave the start open. Of one sender's start each number is taken once.

pub mod keys;
mod window;

use std::collections::BTreeMap;

use quillpoint_fleet::{Body, Incarnation, Letter, PeerName};

use crate::keys::{KeyId, Keyring};
use crate::window::Window;

/// No datagram is longer: it fits the least maximum transmission unit of IPv6 with its headers.
pub const LONGEST: usize = 1200;
const MAGIC: [u8; 2] = *b"QP";
const VERSION: u8 = 1;
const HEAD: usize = 2 + 1 + 4 + 8 + 8;
const HASH: usize = blake3::OUT_LEN;
/// Windows are kept of so many senders; with more, the one that has been silent longest is forgotten.
const MOST_WINDOWS: usize = 512;

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    #[error("shorter than a head and a hash")]
    Truncated,
    #[error("longer than {LONGEST} bytes")]
    TooLong,
    #[error("not one of ours")]
    Foreign,
    #[error("of another version")]
    Version,
    #[error("under a key that is not known here")]
    UnknownKey,
    #[error("its hash is wrong")]
    Forged,
    #[error("for another start of this router")]
    OtherSession,
    #[error("its letter cannot be read")]
    Garbled,
    #[error("taken before, or too old to tell")]
    Replayed,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the letter would fill {0} bytes, more than a datagram has")]
pub struct TooLong(pub usize);

/// Closes letters for others.
#[derive(Default)]
pub struct Sealer {
    number: u64,
}

impl Sealer {
    /// # Errors
    /// A letter that does not fit a datagram.
    pub fn seal(
        &mut self,
        keys: &Keyring,
        session: Option<Incarnation>,
        letter: &Letter,
    ) -> Result<Vec<u8>, TooLong> {
        self.number += 1;
        let (id, key) = keys.newest();
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.extend(id.0);
        bytes.extend(session.unwrap_or_default().0.to_be_bytes());
        bytes.extend(self.number.to_be_bytes());
        // Writing to a vector cannot fail, and the types have no form that postcard refuses.
        let mut bytes = postcard::to_extend(letter, bytes).map_err(|_| TooLong(0))?;
        bytes.extend(blake3::keyed_hash(key, &bytes).as_bytes());
        if bytes.len() > LONGEST { Err(TooLong(bytes.len())) } else { Ok(bytes) }
    }
}

/// Opens what arrives, and takes nothing twice.
#[derive(Default)]
pub struct Opener {
    windows: BTreeMap<PeerName, (Incarnation, Window, u64)>,
    taken: u64,
}

impl Opener {
    /// `own` is the start of this process.
    ///
    /// # Errors
    /// Why it is not taken. Nothing is changed then.
    pub fn open(&mut self, keys: &Keyring, own: Incarnation, bytes: &[u8]) -> Result<Letter, Refusal> {
        if bytes.len() > LONGEST {
            return Err(Refusal::TooLong);
        }
        // The cheapest look first: a flood of what is not ours costs next to nothing.
        if !bytes.starts_with(&MAGIC[..bytes.len().min(2)]) {
            return Err(Refusal::Foreign);
        }
        if bytes.len() < HEAD + HASH {
            return Err(Refusal::Truncated);
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
        let (letter, rest) =
            postcard::take_from_bytes::<Letter>(&body[HEAD..]).map_err(|_| Refusal::Garbled)?;
        if !rest.is_empty() {
            return Err(Refusal::Garbled);
        }
        if session != own && letter.body != Body::Hello {
            return Err(Refusal::OtherSession);
        }
        self.note(&letter, number(15))?;
        Ok(letter)
    }

    fn note(&mut self, letter: &Letter, number: u64) -> Result<(), Refusal> {
        let (name, start) = (&letter.from.name, letter.from.life.incarnation);
        self.taken += 1;
        let taken = self.taken;
        if let Some((known, window, at)) = self.windows.get_mut(name)
            && *known == start
        {
            *at = taken;
            return window.take(number).then_some(()).ok_or(Refusal::Replayed);
        }
        if self.windows.get(name).is_some_and(|(known, _, _)| *known > start) {
            // Of an earlier start: no window is turned back for it, and membership drops all but a hello.
            return if letter.body == Body::Hello { Ok(()) } else { Err(Refusal::Replayed) };
        }
        if self.windows.len() >= MOST_WINDOWS && !self.windows.contains_key(name) {
            let silent = self.windows.iter().min_by_key(|(_, (_, _, at))| *at).map(|(name, _)| name.clone());
            silent.and_then(|silent| self.windows.remove(&silent));
        }
        self.windows.insert(name.clone(), (start, Window::starting_at(number), taken));
        Ok(())
    }
}
