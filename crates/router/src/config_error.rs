//! What is wrong with the platform's configuration.

use std::fmt::Display;

/// Each variant names the variable, file or key at fault and what was expected there.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor a variable names a file.
    #[error("GW_CONFIG: expected the path of a configuration file, as no --config is given")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {error}")]
    UnreadableFile {
        /// The file's path.
        path: String,
        /// Why not.
        error: std::io::Error,
    },
    /// The file is no JSON.
    #[error("{path}: expected a JSON object, {error}")]
    InvalidJson {
        /// The file's path.
        path: String,
        /// What is wrong with it, and in which line.
        error: serde_json::Error,
    },
    /// A key or variable has a value that it cannot have, or none where it needs one.
    #[error("{key}: expected {expected}, found {found}")]
    InvalidValue {
        /// The key or variable; of a setting, the term for it in parentheses.
        key: String,
        /// What its value may be, in words.
        expected: &'static str,
        /// Its value.
        found: String,
    },
}

impl ConfigError {
    /// A key or variable at fault.
    pub fn invalid(key: &str, expected: &'static str, found: impl Display) -> Self {
        Self::InvalidValue { key: key.to_string(), expected, found: found.to_string() }
    }

    /// A setting at fault, by its name among [`crate::deployment::Deployment::settings`].
    pub fn invalid_setting(name: &str, expected: &'static str, found: impl Display) -> Self {
        Self::invalid(&format!("settings ({name})"), expected, found)
    }
}
