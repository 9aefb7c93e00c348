//! Errors in a configuration, with their locations.

use std::fmt;
use std::path::{Path, PathBuf};

/// A position in a file. It is displayed as `file:line:column`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The path by which the file was read.
    pub file: PathBuf,
    /// The line number from 1, or 0 for the file as a whole.
    pub line: usize,
    /// The column in characters from 1, or 0 for the line as a whole.
    pub column: usize,
}

impl Location {
    pub(crate) fn of_file(file: &Path) -> Self {
        Self { file: file.to_path_buf(), line: 0, column: 0 }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file.display(), self.line, self.column)
    }
}

/// One error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {subject}: expected {expected}, found {found}")]
pub struct ConfError {
    /// The location of the error.
    pub location: Location,
    /// The invalid directive or section.
    pub subject: String,
    /// A description of what is valid at the location.
    pub expected: String,
    /// What was found instead.
    pub found: String,
}
