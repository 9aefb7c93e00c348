//! The keys that routers of one installation share.
//!
//! A key file has one key a line, as 64 hexadecimal digits; `#` begins a comment. The first key closes letters,
//! any opens them. Two at once serve a change of keys: add the new one below on all routers, then swap the lines on
//! all, then drop the old one.

use std::fmt;

/// So many at once.
pub const MOST_KEYS: usize = 2;
pub const KEY_BYTES: usize = blake3::KEY_LEN;

/// Names a key on the wire without giving it away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyId(pub [u8; 4]);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKeys {
    #[error("line {line}: expected a key of 64 hexadecimal digits")]
    NoKey { line: usize },
    #[error("line {line}: this key stands here twice")]
    Twice { line: usize },
    #[error("line {line}: expected no more than {MOST_KEYS} keys")]
    TooMany { line: usize },
    #[error("expected at least one key")]
    None,
}

/// What closes and opens letters. It is never printed.
#[derive(Clone, PartialEq)]
pub struct Keyring(Vec<(KeyId, [u8; KEY_BYTES])>);

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.ids()).finish()
    }
}

impl Keyring {
    /// # Errors
    /// The line at fault, and what was expected there; never its content.
    pub fn parse(text: &str) -> Result<Self, BadKeys> {
        let mut keys: Vec<(KeyId, [u8; KEY_BYTES])> = Vec::new();
        for (line, words) in (1..).zip(text.lines()) {
            let words = words.split('#').next().unwrap_or_default().trim();
            if words.is_empty() {
                continue;
            }
            let key = blake3::Hash::from_hex(words).map_err(|_| BadKeys::NoKey { line })?;
            if keys.iter().any(|(_, known)| known == key.as_bytes()) {
                return Err(BadKeys::Twice { line });
            }
            if keys.len() == MOST_KEYS {
                return Err(BadKeys::TooMany { line });
            }
            keys.push((id_of(key.as_bytes()), *key.as_bytes()));
        }
        if keys.is_empty() { Err(BadKeys::None) } else { Ok(Self(keys)) }
    }

    pub fn ids(&self) -> impl Iterator<Item = KeyId> {
        self.0.iter().map(|(id, _)| *id)
    }

    pub(crate) fn newest(&self) -> (KeyId, &[u8; KEY_BYTES]) {
        (self.0[0].0, &self.0[0].1)
    }

    pub(crate) fn find(&self, id: KeyId) -> Option<&[u8; KEY_BYTES]> {
        self.0.iter().find(|(known, _)| *known == id).map(|(_, key)| key)
    }
}

fn id_of(key: &[u8; KEY_BYTES]) -> KeyId {
    let derived = blake3::derive_key("quillpoint 2026 fleet key id v1", key);
    KeyId([derived[0], derived[1], derived[2], derived[3]])
}
