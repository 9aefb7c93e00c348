//! Errors in the platform's configuration.

use std::fmt::Display;

/// An error in the platform's configuration: names the environment variable, file or key, and what was
/// expected there.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor GW_CONFIG names a file.
    #[error("GW_CONFIG: expected the path of a configuration file because --config is not given")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {error}")]
    UnreadableFile {
        /// The file's path.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("{path}: expected a JSON object: {error}")]
    InvalidJson {
        /// The file's path.
        path: String,
        /// The syntax error and its position.
        error: serde_json::Error,
    },
    /// A key or environment variable has an invalid value, or a required one is missing.
    #[error("{key}: expected {expected}, found {found}")]
    InvalidValue {
        /// The key or environment variable; for a setting, `settings` with the setting's name in parentheses.
        key: String,
        /// A description of the valid values.
        expected: &'static str,
        /// The value found.
        found: String,
    },
}

impl ConfigError {
    /// An invalid value of a key or environment variable.
    pub fn invalid(key: &str, expected: &'static str, found: impl Display) -> Self {
        Self::InvalidValue { key: key.to_string(), expected, found: found.to_string() }
    }

    /// An invalid value of a setting; `name` is its key in [`crate::deployment::Deployment::settings`].
    pub fn invalid_setting(name: &str, expected: &'static str, found: impl Display) -> Self {
        Self::invalid(&format!("settings ({name})"), expected, found)
    }
}
