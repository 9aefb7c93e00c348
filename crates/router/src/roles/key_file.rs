//! Reads key files. Rejects files that other users can access, and files that are too long.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use quillpoint_conf::Conf;
use quillpoint_datagram::keys::Keyring;

use super::RoleError;

/// Longer files are rejected: they cannot be key files.
const MAX_KEY_FILE_BYTES: u64 = 64 << 10;

/// Reads the key file named in a section.
pub(super) fn read(conf: &Conf, section: &'static str) -> Result<Keyring, RoleError> {
    let path = conf.path(section, "", "keys").ok_or(RoleError::Missing { section, directive: "keys" })?;
    let file = || PathBuf::from(path);
    check(path, section)?;
    let text = std::fs::read_to_string(path).map_err(|error| RoleError::KeyFileUnreadable {
        section,
        file: file(),
        error,
    })?;
    Keyring::parse(&text).map_err(|error| RoleError::InvalidKeys { section, file: file(), error })
}

fn check(path: &Path, section: &'static str) -> Result<(), RoleError> {
    let file = || PathBuf::from(path);
    let metadata = std::fs::metadata(path).map_err(|error| RoleError::KeyFileUnreadable {
        section,
        file: file(),
        error,
    })?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(RoleError::KeyFileExposed { section, file: file(), mode });
    }
    let (max_bytes, found_bytes) = (MAX_KEY_FILE_BYTES, metadata.len());
    if found_bytes > max_bytes {
        return Err(RoleError::KeyFileTooLong { section, file: file(), max_bytes, found_bytes });
    }
    Ok(())
}
