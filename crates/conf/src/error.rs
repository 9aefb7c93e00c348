//! What is wrong with a configuration, and where.

use std::fmt;
use std::path::{Path, PathBuf};

/// A place in a file, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file, by the path under which it was read.
    pub file: PathBuf,
    /// Counts from 1; 0 stands for the whole file.
    pub line: usize,
    /// Counts characters from 1; 0 stands for the whole line.
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

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {subject}: expected {expected}, found {found}")]
pub struct ConfError {
    /// Where it was found.
    pub location: Location,
    /// The directive or section at fault.
    pub subject: String,
    /// What may stand there, in words.
    pub expected: String,
    /// What stands there.
    pub found: String,
}
