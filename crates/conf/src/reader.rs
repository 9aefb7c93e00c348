//! Files and their includes, line by line. All errors are found, not only the first.

use std::io;
use std::path::{Path, PathBuf};

use crate::conf::{Conf, SectionId};
use crate::draft::{Draft, Subject};
use crate::error::{ConfError, Location};
use crate::grammar::{Line, SyntaxError, Word, parse_line};

/// Files within each other by includes.
const MAX_INCLUDE_DEPTH: usize = 8;
/// All files together.
const MAX_FILES: usize = 64;
const MAX_FILE_BYTES: u64 = 1 << 20;
/// What an error shows of a line that cannot be read.
const SHOWN_LETTERS: usize = 20;

/// Reads the file at this path, and what it includes.
///
/// # Errors
/// Every error that was found, in the order of the lines; at least one, and no more than 50.
pub fn read(path: &Path) -> Result<Conf, Vec<ConfError>> {
    read_with(path, load_file)
}

/// The same from any source of texts.
///
/// # Errors
/// As [`read`].
pub fn read_with(path: &Path, load: impl Fn(&Path) -> io::Result<String>) -> Result<Conf, Vec<ConfError>> {
    let mut reader = Reader { load: &load, draft: Draft::default(), files_read: 0 };
    let top = Location::of_file(path);
    reader.read_file(path, 0, &top);
    reader.draft.finish(path)
}

/// A file that is longer than any configuration.
#[derive(Debug, thiserror::Error)]
#[error("{bytes} bytes, where {MAX_FILE_BYTES} are the most")]
struct FileTooLong {
    bytes: u64,
}

fn load_file(path: &Path) -> io::Result<String> {
    let bytes = std::fs::metadata(path)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(io::Error::other(FileTooLong { bytes }));
    }
    std::fs::read_to_string(path)
}

/// A line of a file that is being read.
pub(crate) struct SourceLine<'a> {
    file: &'a Path,
    number: usize,
}

impl SourceLine<'_> {
    pub fn at(&self, column: usize) -> Location {
        Location { file: self.file.to_path_buf(), line: self.number, column }
    }

    /// A path that is written in a file is relative to that file.
    pub fn resolve(&self, name: impl AsRef<Path>) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).join(name)
    }
}

/// The section that a line stands in.
struct OpenSection {
    /// `None` for a section that is at fault itself: what stands in it is passed over.
    id: Option<SectionId>,
    location: Location,
}

struct Reader<'a> {
    load: &'a dyn Fn(&Path) -> io::Result<String>,
    draft: Draft,
    files_read: usize,
}

impl Reader<'_> {
    /// `included_at` is where the file is named.
    fn read_file(&mut self, path: &Path, depth: usize, included_at: &Location) {
        self.files_read += 1;
        if depth > MAX_INCLUDE_DEPTH || self.files_read > MAX_FILES {
            let expected =
                format!("no more than {MAX_INCLUDE_DEPTH} files within each other and {MAX_FILES} in all");
            let found = path.display().to_string();
            return self.draft.report(Subject::new(included_at, "include"), expected, found);
        }
        let text = match (self.load)(path) {
            Ok(text) => text,
            Err(error) => {
                let expected = format!("to read {}", path.display());
                return self.draft.report(Subject::new(included_at, "file"), expected, error.to_string());
            }
        };
        let mut open = None;
        for (number, text) in (1..).zip(text.lines()) {
            self.read_line(&SourceLine { file: path, number }, text, depth, &mut open);
        }
        if let Some(OpenSection { location, .. }) = open {
            let expected = "a closing brace before the end of the file";
            self.draft.report(Subject::new(&location, "section"), expected, "none");
        }
    }

    fn read_line(&mut self, line: &SourceLine, text: &str, depth: usize, open: &mut Option<OpenSection>) {
        match parse_line(text) {
            Ok(Line::Empty) => {}
            Ok(Line::SectionStart { name, titles }) => {
                *open = Some(self.start_section(&name, &titles, line.at(name.column), open.as_ref()));
            }
            Ok(Line::SectionEnd { column }) => {
                if open.take().is_none() {
                    let subject = Subject::new(&line.at(column), "section");
                    self.draft.report(subject, "an opening brace before", "}");
                }
            }
            Ok(Line::Directive { name, arguments }) if name.text == "include" => {
                self.include(line, &name, &arguments, depth, open.is_some());
            }
            Ok(Line::Directive { name, arguments }) => match open {
                None => self.draft.set(&SectionId::outside(), &name, &arguments, line),
                Some(OpenSection { id: Some(id), .. }) => self.draft.set(id, &name, &arguments, line),
                Some(OpenSection { id: None, .. }) => {}
            },
            Err(SyntaxError { column }) => {
                let found: String = text.chars().skip(column - 1).take(SHOWN_LETTERS).collect();
                let subject = Subject::new(&line.at(column), "line");
                self.draft.report(subject, "words, one brace, a comment", found);
            }
        }
    }

    fn start_section(
        &mut self,
        name: &Word,
        titles: &[Word],
        location: Location,
        open: Option<&OpenSection>,
    ) -> OpenSection {
        if let Some(OpenSection { location: before, .. }) = open {
            let expected = format!("a closing brace for the section of line {}", before.line);
            self.draft.report(Subject::new(&location, &name.text), expected, "another section");
        }
        let id = self.draft.add_section(name, titles, &location);
        OpenSection { id, location }
    }

    fn include(
        &mut self,
        line: &SourceLine,
        name: &Word,
        arguments: &[Word],
        depth: usize,
        is_in_section: bool,
    ) {
        let location = line.at(name.column);
        let subject = Subject::new(&location, "include");
        match arguments {
            [_] if is_in_section => {
                self.draft.report(subject, "to stand outside of sections", "a section");
            }
            [path] => self.read_file(&line.resolve(&path.text), depth + 1, &location),
            others => self.draft.report(subject, "one path", format!("{} words", others.len())),
        }
    }
}
