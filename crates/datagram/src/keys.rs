//! The keys that processes of one installation share.
//!
//! A key file has one key a line, as 64 hexadecimal digits; `#` begins a comment. The first key seals datagrams,
//! any opens them. Two at once serve a change of keys: add the new one below on all processes, then swap the lines on
//! all, then drop the old one.

use std::fmt;

/// A key file may have so many keys at once.
pub const MAX_KEYS: usize = 2;
/// The length of a key.
pub const KEY_BYTES: usize = blake3::KEY_LEN;

/// Names a key on the wire without giving it away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyId(pub [u8; 4]);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// What is wrong with a key file. Lines count from 1.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// A line that is neither a key nor empty.
    #[error("line {line}: expected a key of 64 hexadecimal digits")]
    InvalidKey {
        /// The line at fault.
        line: usize,
    },
    /// A key that an earlier line has.
    #[error("line {line}: this key stands here twice")]
    DuplicateKey {
        /// The second of the two lines.
        line: usize,
    },
    /// More than [`MAX_KEYS`].
    #[error("line {line}: expected no more than {MAX_KEYS} keys")]
    TooManyKeys {
        /// The first line too many.
        line: usize,
    },
    /// No key at all.
    #[error("expected at least one key")]
    NoKey,
}

/// A secret and its name.
#[derive(Clone, PartialEq)]
pub(crate) struct Key {
    pub id: KeyId,
    secret: [u8; KEY_BYTES],
}

impl Key {
    fn new(secret: [u8; KEY_BYTES]) -> Self {
        let derived = blake3::derive_key("quillpoint 2026 fleet key id v1", &secret);
        let id = KeyId([derived[0], derived[1], derived[2], derived[3]]);
        Self { id, secret }
    }

    pub fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.secret, bytes)
    }
}

/// What seals and opens datagrams: at least one key. It is never printed.
#[derive(Clone, PartialEq)]
pub struct Keyring(Vec<Key>);

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.ids()).finish()
    }
}

impl Keyring {
    /// Reads the content of a key file.
    ///
    /// # Errors
    /// The line at fault, and what was expected there; never its content.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        let mut keys: Vec<Key> = Vec::new();
        for (line, content) in (1..).zip(text.lines()) {
            let digits = content.split('#').next().unwrap_or_default().trim();
            if digits.is_empty() {
                continue;
            }
            let secret = blake3::Hash::from_hex(digits).map_err(|_| KeyFileError::InvalidKey { line })?;
            if keys.iter().any(|known| known.secret == *secret.as_bytes()) {
                return Err(KeyFileError::DuplicateKey { line });
            }
            if keys.len() == MAX_KEYS {
                return Err(KeyFileError::TooManyKeys { line });
            }
            keys.push(Key::new(*secret.as_bytes()));
        }
        if keys.is_empty() { Err(KeyFileError::NoKey) } else { Ok(Self(keys)) }
    }

    /// The keys' names, the one that seals first.
    pub fn ids(&self) -> impl Iterator<Item = KeyId> {
        self.0.iter().map(|key| key.id)
    }

    pub(crate) fn newest(&self) -> &Key {
        &self.0[0]
    }

    pub(crate) fn find(&self, id: KeyId) -> Option<&Key> {
        self.0.iter().find(|key| key.id == id)
    }
}
