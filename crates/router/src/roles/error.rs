//! What can be wrong with a process's roles beyond the form of quillpoint.conf.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quillpoint_datagram::keys::KeyFileError;
use quillpoint_membership::ids::InvalidPeerName;

/// Why a role cannot be taken.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// A key file cannot be read.
    #[error("{section} keys {}: {error}", file.display())]
    KeyFileUnreadable {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// Others than its owner have rights to a key file.
    #[error("{section} keys {}: expected a file accessible only to its owner (chmod 600), found mode {mode:o}", file.display())]
    KeyFileExposed {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A key file is longer than any that holds keys.
    #[error("{section} keys {}: expected a key file of at most {max_bytes} bytes, found {found_bytes}", file.display())]
    KeyFileTooLong {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// The bound.
        max_bytes: u64,
        /// Its length.
        found_bytes: u64,
    },
    /// A key file has no valid keys.
    #[error("{section} keys {}: {error}", file.display())]
    InvalidKeys {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// What is wrong with it.
        error: KeyFileError,
    },
    /// The zone is none of the deployment's.
    #[error("fleet zone: expected one of the deployment's zones ({known}), found {found}")]
    UnknownZone {
        /// The deployment's zones, separated by commas.
        known: String,
        /// The configured one.
        found: String,
    },
    /// The router's name cannot be a member's.
    #[error("name: to be in a fleet, or told by control instances, {0}")]
    InvalidName(#[from] InvalidPeerName),
    /// The name of a control instance cannot be a member's.
    #[error("control {name}: {error}")]
    InvalidControlName {
        /// The configured name.
        name: String,
        /// What is wrong with it.
        error: InvalidPeerName,
    },
    /// Fleet and feed would share a socket.
    #[error("publish listen: expected an address other than the fleet's, found {0} for both")]
    SameAddress(SocketAddr),
    /// A directive has neither a value nor a default; the tables of `quillpoint-conf` rule this out.
    #[error("{section} {directive}: expected a value")]
    Missing {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The directive.
        directive: &'static str,
    },
}
