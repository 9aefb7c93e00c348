//! The secret keys that the processes of one installation share.
//!
//! A key file has one key per line, written as 64 hexadecimal digits; `#` starts a comment. Datagrams are
//! sealed with the first key and opened with any key in the file. Two keys allow rotation without downtime:
//! add the new key as the second line on all processes, then swap the lines on all of them, then remove the
//! old key.

use std::fmt;

/// The maximum number of keys in a key file.
pub const MAX_KEYS: usize = 2;
/// The length of a secret key in bytes.
pub const KEY_BYTES: usize = blake3::KEY_LEN;

/// Identifies a key on the wire. It is derived from the key, which it does not reveal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyId(pub [u8; 4]);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Why a key file was rejected. Lines are numbered from 1. The content of a line is never included, as it may
/// be a secret.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// A line is neither a key, nor empty, nor a comment.
    #[error("line {line}: expected a key of 64 hexadecimal digits")]
    InvalidKey {
        /// The number of that line.
        line: usize,
    },
    /// A key repeats that of an earlier line.
    #[error("line {line}: expected each key once, found a key that an earlier line has")]
    DuplicateKey {
        /// The number of the later line.
        line: usize,
    },
    /// The file has more than [`MAX_KEYS`] keys.
    #[error("line {line}: expected at most {MAX_KEYS} keys, found another")]
    TooManyKeys {
        /// The number of the line with the first key beyond the limit.
        line: usize,
    },
    /// The file has no key.
    #[error("expected at least one key, found none")]
    NoKey,
}

/// A secret key and its public id.
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

/// The keys that seal and open datagrams; there is at least one. `Debug` prints only the key ids, never a
/// secret.
#[derive(Clone, PartialEq)]
pub struct Keyring(Vec<Key>);

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.ids()).finish()
    }
}

impl Keyring {
    /// Parses the content of a key file.
    ///
    /// # Errors
    /// Returns the first invalid line's number and what was expected there, but never its content.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        let mut keys: Vec<Key> = Vec::new();
        for (line, content) in (1..).zip(text.lines()) {
            let digits = content.split('#').next().unwrap_or_default().trim();
            if digits.is_empty() {
                continue;
            }
            let secret = blake3::Hash::from_hex(digits).map_err(|_| KeyFileError::InvalidKey { line })?;
            if keys.iter().any(|other| other.secret == *secret.as_bytes()) {
                return Err(KeyFileError::DuplicateKey { line });
            }
            if keys.len() == MAX_KEYS {
                return Err(KeyFileError::TooManyKeys { line });
            }
            keys.push(Key::new(*secret.as_bytes()));
        }
        if keys.is_empty() { Err(KeyFileError::NoKey) } else { Ok(Self(keys)) }
    }

    /// The ids of the keys, in the order of the file: the sealing key is the first.
    pub fn ids(&self) -> impl Iterator<Item = KeyId> {
        self.0.iter().map(|key| key.id)
    }

    pub(crate) fn sealing_key(&self) -> &Key {
        &self.0[0]
    }

    pub(crate) fn find(&self, id: KeyId) -> Option<&Key> {
        self.0.iter().find(|key| key.id == id)
    }
}
