//! Reads files and their includes line by line. Reading continues after an error, so that all errors are
//! reported at once.

use std::io;
use std::path::{Path, PathBuf};

use crate::conf::{Conf, SectionId};
use crate::draft::{Draft, Subject};
use crate::error::{ConfError, Location};
use crate::grammar::{Line, SyntaxError, Word, parse_line};

/// The maximum nesting depth of includes. It also stops files that include themselves.
const MAX_INCLUDE_DEPTH: usize = 8;
/// The maximum number of files that are read, including repeated ones.
const MAX_FILES: usize = 64;
const MAX_FILE_BYTES: u64 = 1 << 20;
/// The length of the excerpt, in characters, that an error shows of an invalid line.
const EXCERPT_CHARACTERS: usize = 20;

/// Reads the configuration file at this path and the files that it includes.
///
/// # Errors
/// Returns from 1 to 50 errors: those of lines in their order, then those of the configuration as a whole.
pub fn read(path: &Path) -> Result<Conf, Vec<ConfError>> {
    read_with(path, load_file)
}

/// Like [`read`], but gets the content of files from `load`.
///
/// # Errors
/// The same as [`read`].
pub fn read_with(path: &Path, load: impl Fn(&Path) -> io::Result<String>) -> Result<Conf, Vec<ConfError>> {
    let mut reader = Reader { load: &load, draft: Draft::default(), files_read: 0 };
    let top = Location::of_file(path);
    reader.read_file(path, 0, &top);
    reader.draft.finish(path)
}

/// The file is longer than any plausible configuration.
#[derive(Debug, thiserror::Error)]
#[error("a file of {bytes} bytes, which is more than {MAX_FILE_BYTES}")]
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

/// The position of a line: its file and its number from 1.
pub(crate) struct SourceLine<'a> {
    file: &'a Path,
    number: usize,
}

impl SourceLine<'_> {
    pub fn at(&self, column: usize) -> Location {
        Location { file: self.file.to_path_buf(), line: self.number, column }
    }

    /// Resolves a path that is written in this line relative to the directory of the file.
    pub fn resolve(&self, name: impl AsRef<Path>) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).join(name)
    }
}

/// The section whose closing brace has not been read yet.
struct OpenSection {
    /// `None` for an invalid section, whose directives are skipped.
    id: Option<SectionId>,
    location: Location,
}

struct Reader<'a> {
    load: &'a dyn Fn(&Path) -> io::Result<String>,
    draft: Draft,
    files_read: usize,
}

impl Reader<'_> {
    /// Reads a file that is included at nesting depth `depth`. `included_at` is the location of the include
    /// directive.
    fn read_file(&mut self, path: &Path, depth: usize, included_at: &Location) {
        self.files_read += 1;
        if depth > MAX_INCLUDE_DEPTH || self.files_read > MAX_FILES {
            let expected =
                format!("at most {MAX_INCLUDE_DEPTH} levels of includes and {MAX_FILES} files in total");
            let found = path.display().to_string();
            return self.draft.report(Subject::new(included_at, "include"), expected, found);
        }
        let text = match (self.load)(path) {
            Ok(text) => text,
            Err(error) => {
                let expected = format!("a readable file {}", path.display());
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
                    self.draft.report(subject, "an opening brace before it", "}");
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
                let found: String = text.chars().skip(column - 1).take(EXCERPT_CHARACTERS).collect();
                let subject = Subject::new(&line.at(column), "line");
                self.draft.report(subject, "a directive, a brace or a comment", found);
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
        if let Some(OpenSection { location: outer, .. }) = open {
            let expected = format!("a closing brace for the section that starts at line {}", outer.line);
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
                self.draft.report(subject, "an include outside of sections", "one inside a section");
            }
            [path] => self.read_file(&line.resolve(&path.text), depth + 1, &location),
            others => self.draft.report(subject, "one path", format!("{} values", others.len())),
        }
    }
}
