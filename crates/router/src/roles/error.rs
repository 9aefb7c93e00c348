//! Errors in the configuration of roles that the syntax check of quillpoint.conf cannot find.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quillpoint_datagram::keys::KeyFileError;
use quillpoint_membership::ids::InvalidPeerName;

/// The reason why a role cannot be configured.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// A key file cannot be read.
    #[error("{section} keys {}: {error}", file.display())]
    KeyFileUnreadable {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// The I/O error.
        error: io::Error,
    },
    /// A key file is accessible to other users than its owner.
    #[error("{section} keys {}: expected a file accessible only to its owner (chmod 600), found mode {mode:o}", file.display())]
    KeyFileExposed {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A file is too long to be a key file.
    #[error("{section} keys {}: expected a key file of at most {max_bytes} bytes, found {found_bytes}", file.display())]
    KeyFileTooLong {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// The maximum length.
        max_bytes: u64,
        /// The length found.
        found_bytes: u64,
    },
    /// The content of a key file is invalid.
    #[error("{section} keys {}: {error}", file.display())]
    InvalidKeys {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The key file.
        file: PathBuf,
        /// The error in the key file.
        error: KeyFileError,
    },
    /// The configured zone is not one of the deployment's.
    #[error("fleet zone: expected one of the deployment's zones ({known}), found {found}")]
    UnknownZone {
        /// The deployment's zones, separated by commas.
        known: String,
        /// The configured zone.
        found: String,
    },
    /// The router's name is not a valid name in a fleet or a feed.
    #[error("name (used in the fleet or the feed): {0}")]
    InvalidName(#[from] InvalidPeerName),
    /// The name of a control instance is invalid.
    #[error("control {name}: {error}")]
    InvalidControlName {
        /// The configured name.
        name: String,
        /// The error in the name.
        error: InvalidPeerName,
    },
    /// The fleet and the feed have the same listen address.
    #[error("publish listen: expected an address other than the fleet's, found {0} for both")]
    SameAddress(SocketAddr),
    /// A directive has neither a value nor a default. The directive tables of `quillpoint-conf` prevent this.
    #[error("{section} {directive}: expected a value")]
    Missing {
        /// The section of quillpoint.conf.
        section: &'static str,
        /// The directive.
        directive: &'static str,
    },
}
