//! Reads a file and its includes against the table of directives. All faults are found, not only the first.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::directives::{self, Default, Directive, Holds, Titles};
use crate::grammar::{self, Line, Word};
use crate::value::Value;

/// Includes within includes, and all files together.
const DEEPEST: usize = 8;
const MOST_FILES: usize = 64;
/// No configuration is larger.
const LONGEST_FILE: u64 = 1 << 20;
/// More faults tell nothing new.
const MOST_FAULTS: usize = 50;

/// A place in a file, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub file: PathBuf,
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file.display(), self.line, self.column)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {subject}: expected {expected}, found {found}")]
pub struct Fault {
    pub place: Place,
    /// The directive or section at fault.
    pub subject: String,
    pub expected: String,
    pub found: String,
}

/// Which directive of which section: the section's name and title, and the directive's name.
type Key = (&'static str, String, &'static str);

/// A configuration that is in order, defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Conf {
    values: BTreeMap<Key, Value>,
    /// The sections that stand, by name and title.
    sections: Vec<(&'static str, String)>,
}

impl Conf {
    pub fn has_section(&self, name: &str) -> bool {
        self.sections.iter().any(|(known, _)| *known == name)
    }

    /// Titles of the sections of this name, in the order in which they stand.
    pub fn titles<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.sections.iter().filter(move |(known, _)| *known == name).map(|(_, title)| title.as_str())
    }

    fn find(&self, section: &str, title: &str, name: &str) -> Option<&Value> {
        let directive = directives::directive(section, name);
        // A name that is not in the table is a fault of the program, which its tests find.
        let directive = directive.unwrap_or_else(|| panic!("no directive {section} {name}"));
        self.values.get(&(directive.section, title.to_string(), directive.name))
    }

    pub fn span(&self, section: &str, title: &str, name: &str) -> Option<Duration> {
        match self.find(section, title, name)? {
            Value::Span(span) => Some(*span),
            _ => None,
        }
    }

    /// A number, or a size in bytes.
    pub fn count(&self, section: &str, title: &str, name: &str) -> Option<u64> {
        match self.find(section, title, name)? {
            Value::Count(number) | Value::Size(number) => Some(*number),
            _ => None,
        }
    }

    pub fn address(&self, section: &str, title: &str, name: &str) -> Option<SocketAddr> {
        match self.find(section, title, name)? {
            Value::Address(address) => Some(*address),
            _ => None,
        }
    }

    pub fn path(&self, section: &str, title: &str, name: &str) -> Option<&Path> {
        match self.find(section, title, name)? {
            Value::Path(path) => Some(path),
            _ => None,
        }
    }

    pub fn word(&self, section: &str, title: &str, name: &str) -> Option<&str> {
        match self.find(section, title, name)? {
            Value::Word(word) => Some(word),
            _ => None,
        }
    }

    /// What differs in the other and holds only from the next start on, as `section title directive`.
    pub fn held_back(&self, other: &Self) -> Vec<String> {
        let keys = self.values.keys().chain(other.values.keys());
        let waits = |(section, _, name): &&Key| {
            directives::directive(section, name).is_some_and(|directive| directive.holds == Holds::Start)
        };
        let mut differ: Vec<String> = keys
            .filter(waits)
            .filter(|key| self.values.get(*key) != other.values.get(*key))
            .map(|(section, title, name)| {
                format!("{section} {title} {name}").split_whitespace().collect::<Vec<_>>().join(" ")
            })
            .collect();
        let parts = directives::SECTIONS.iter().filter(|section| section.titles == Titles::Untitled);
        let comes_or_goes = |section: &&directives::Section| {
            self.has_section(section.name) != other.has_section(section.name)
        };
        differ.extend(parts.filter(comes_or_goes).map(|section| section.name.to_string()));
        differ.sort();
        differ.dedup();
        differ
    }

    fn lines(&self, section: &str, title: &str, indent: &str) -> String {
        let line = |directive: &Directive| {
            let value = self.values.get(&(directive.section, title.to_string(), directive.name))?;
            Some(format!("{indent}{} {}\n", directive.name, word(&value.to_string())))
        };
        directives::of(section).filter_map(line).collect()
    }

    /// The whole as a file that says the same, defaults included.
    pub fn written(&self) -> String {
        let mut text = self.lines("", "", "");
        for (section, title) in &self.sections {
            let head = [section, title.as_str()].join(" ");
            text.push_str(&format!("{} {{\n{}}}\n", head.trim_end(), self.lines(section, title, "    ")));
        }
        text
    }
}

/// In quotes where it needs them.
fn word(text: &str) -> String {
    let plain = |letter: char| !letter.is_whitespace() && !"\"\\{}#".contains(letter);
    if !text.is_empty() && text.chars().all(plain) {
        return text.to_string();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Reads the file at this path, and what it includes.
///
/// # Errors
/// Every fault that was found, in the order of the lines; at least one.
pub fn read(path: &Path) -> Result<Conf, Vec<Fault>> {
    let read = |path: &Path| {
        let length = std::fs::metadata(path)?.len();
        if length > LONGEST_FILE {
            return Err(std::io::Error::other(format!("{length} bytes, where {LONGEST_FILE} are the most")));
        }
        std::fs::read_to_string(path)
    };
    read_with(path, read)
}

/// The same from any source of texts.
///
/// # Errors
/// As [`read`].
pub fn read_with(path: &Path, load: impl Fn(&Path) -> std::io::Result<String>) -> Result<Conf, Vec<Fault>> {
    let mut reader = Reader {
        load: &load,
        faults: Vec::new(),
        said: BTreeMap::new(),
        spoilt: BTreeSet::new(),
        sections: Vec::new(),
        files: 0,
    };
    let top = Place { file: path.to_path_buf(), line: 0, column: 0 };
    reader.file(path, 0, &top);
    reader.finish(path)
}

struct Reader<'a> {
    load: &'a dyn Fn(&Path) -> std::io::Result<String>,
    faults: Vec<Fault>,
    said: BTreeMap<Key, (Value, Place)>,
    /// Said, but at fault: that it is missing would be one fault too many.
    spoilt: BTreeSet<Key>,
    sections: Vec<(&'static str, String, Place)>,
    files: usize,
}

/// The section that a line stands in; one that is at fault itself has no name, and what stands in it is passed over.
struct Open {
    section: Option<(&'static str, String)>,
    place: Place,
}

impl Reader<'_> {
    fn fault(&mut self, place: &Place, subject: &str, expected: impl Into<String>, found: impl Into<String>) {
        if self.faults.len() < MOST_FAULTS {
            let (subject, expected, found) = (subject.to_string(), expected.into(), found.into());
            self.faults.push(Fault { place: place.clone(), subject, expected, found });
        }
    }

    fn file(&mut self, path: &Path, depth: usize, from: &Place) {
        self.files += 1;
        if depth > DEEPEST || self.files > MOST_FILES {
            let expected = format!("no more than {DEEPEST} files within each other and {MOST_FILES} in all");
            return self.fault(from, "include", expected, path.display().to_string());
        }
        let text = match (self.load)(path) {
            Ok(text) => text,
            Err(error) => {
                let place = if depth == 0 {
                    Place { file: path.to_path_buf(), line: 0, column: 0 }
                } else {
                    from.clone()
                };
                return self.fault(&place, "file", format!("to read {}", path.display()), error.to_string());
            }
        };
        let mut open: Option<Open> = None;
        for (number, line) in (1..).zip(text.lines()) {
            let place = |column: usize| Place { file: path.to_path_buf(), line: number, column };
            match grammar::line(line) {
                Ok(Line::Empty) => {}
                Err(column) => {
                    self.fault(&place(column), "line", "words, one brace, a comment", rest(line, column))
                }
                Ok(Line::Closes { column }) => {
                    if open.take().is_none() {
                        self.fault(&place(column), "section", "an opening brace before", "}");
                    }
                }
                Ok(Line::Words { words, opens: true }) => {
                    let at = place(words[0].column);
                    if let Some(Open { place: before, .. }) = &open {
                        let expected = format!("a closing brace for the section of line {}", before.line);
                        self.fault(&at, &words[0].text, expected, "another section");
                    }
                    let section = self.section(&words, &at);
                    open = Some(Open { section, place: at });
                }
                Ok(Line::Words { words, opens: false }) if words[0].text == "include" => {
                    let at = place(words[0].column);
                    match &words[1..] {
                        [_] if open.is_some() => {
                            self.fault(&at, "include", "to stand outside of sections", "a section")
                        }
                        [name] => self.file(&beside(path, &name.text), depth + 1, &at),
                        words => self.fault(&at, "include", "one path", format!("{} words", words.len())),
                    }
                }
                Ok(Line::Words { words, opens: false }) => {
                    let (section, title) = match &open {
                        None => ("", String::new()),
                        Some(Open { section: Some((name, title)), .. }) => (*name, title.clone()),
                        Some(Open { section: None, .. }) => continue,
                    };
                    self.directive(section, title, &words, path, &place);
                }
            }
        }
        if let Some(Open { place, .. }) = open {
            self.fault(&place, "section", "a closing brace before the end of the file", "none");
        }
    }

    fn section(&mut self, words: &[Word], place: &Place) -> Option<(&'static str, String)> {
        let Some(section) = directives::section(&words[0].text) else {
            let known: Vec<&str> = directives::SECTIONS.iter().map(|section| section.name).collect();
            self.fault(place, "section", format!("one of: {}", known.join(", ")), words[0].text.clone());
            return None;
        };
        let title = match (section.titles, &words[1..]) {
            (Titles::Untitled, []) => String::new(),
            (Titles::Of(titles), [title]) if titles.contains(&title.text.as_str()) => title.text.clone(),
            (Titles::Names, [title]) if (1..=64).contains(&title.text.chars().count()) => title.text.clone(),
            (titles, found) => {
                let expected = match titles {
                    Titles::Untitled => "no title".to_string(),
                    Titles::Of(titles) => format!("one of: {}", titles.join(", ")),
                    Titles::Names => "one name of 1 to 64 letters".to_string(),
                };
                let found: Vec<&str> = found.iter().map(|word| word.text.as_str()).collect();
                self.fault(
                    place,
                    section.name,
                    expected,
                    if found.is_empty() { "none".into() } else { found.join(" ") },
                );
                return None;
            }
        };
        let before = self.sections.iter().find(|(name, known, _)| *name == section.name && *known == title);
        if let Some((_, _, before)) = before {
            let expected = format!("it once, and it stands at {before}");
            self.fault(place, section.name, expected, title);
            return None;
        }
        if self.sections.iter().filter(|(name, _, _)| *name == section.name).count() >= section.most {
            self.fault(place, section.name, format!("no more than {}", section.most), title);
            return None;
        }
        self.sections.push((section.name, title.clone(), place.clone()));
        Some((section.name, title))
    }

    fn directive(
        &mut self,
        section: &'static str,
        title: String,
        words: &[Word],
        path: &Path,
        place: &dyn Fn(usize) -> Place,
    ) {
        let at = place(words[0].column);
        let Some(directive) = directives::directive(section, &words[0].text) else {
            let known: Vec<&str> = directives::of(section).map(|directive| directive.name).collect();
            let here = if section.is_empty() { "outside of sections" } else { section };
            return self.fault(
                &at,
                &words[0].text,
                format!("a directive known {here}: {}", known.join(", ")),
                "another",
            );
        };
        let key = (directive.section, title, directive.name);
        self.spoilt.insert(key.clone());
        let [_, word] = words else {
            return self.fault(
                &at,
                directive.name,
                directive.kind.wanted(),
                format!("{} words", words.len() - 1),
            );
        };
        let Some(mut value) = directive.kind.value(&word.text) else {
            return self.fault(
                &place(word.column),
                directive.name,
                directive.kind.wanted(),
                word.text.clone(),
            );
        };
        if let Value::Path(name) = &value {
            value = Value::Path(beside(path, name));
        }
        if let Some((_, before)) = self.said.get(&key) {
            let expected = format!("it once, and it stands at {before}");
            return self.fault(&at, directive.name, expected, word.text.clone());
        }
        self.spoilt.remove(&key);
        self.said.insert(key, (value, at));
    }

    /// Fills in defaults, and asks for what must be said.
    fn finish(mut self, path: &Path) -> Result<Conf, Vec<Fault>> {
        for section in directives::SECTIONS {
            let Titles::Of(titles) = section.titles else { continue };
            for title in titles {
                if !self.sections.iter().any(|(name, known, _)| *name == section.name && known == title) {
                    let place = Place { file: path.to_path_buf(), line: 0, column: 0 };
                    self.sections.push((section.name, (*title).to_string(), place));
                }
            }
        }
        self.beside();
        let outside = ("", String::new(), Place { file: path.to_path_buf(), line: 0, column: 0 });
        let places: Vec<_> = [outside].into_iter().chain(self.sections.iter().cloned()).collect();
        for (section, title, place) in places {
            for directive in directives::of(section) {
                self.fill(directive, &title, &place);
            }
        }
        let values = self.said.into_iter().map(|(key, (value, _))| (key, value)).collect();
        let sections = self.sections.into_iter().map(|(name, title, _)| (name, title)).collect();
        if self.faults.is_empty() { Ok(Conf { values, sections }) } else { Err(self.faults) }
    }

    /// Which sections may stand beside which.
    fn beside(&mut self) {
        for (name, _, place) in self.sections.clone() {
            let Some(section) = directives::section(name) else { continue };
            let stands = |other: &&&str| self.sections.iter().any(|(known, _, _)| *known == **other);
            let missing = section.needs.iter().find(|other| !stands(other)).copied();
            let excluded = section.excludes.iter().find(|other| stands(other)).copied();
            if let Some(other) = missing {
                self.fault(&place, name, format!("a section {other} beside it"), "none");
            }
            if let Some(other) = excluded {
                self.fault(&place, name, format!("no section {other} beside it"), "both");
            }
        }
    }

    fn fill(&mut self, directive: &Directive, title: &str, place: &Place) {
        let key = (directive.section, title.to_string(), directive.name);
        if self.said.contains_key(&key) || self.spoilt.contains(&key) {
            return;
        }
        match directive.default {
            Default::None => {}
            Default::Needed => self.fault(place, directive.name, directive.kind.wanted(), "nothing"),
            Default::Is(word) => {
                // The table's own tests see to it that each default is of its kind.
                if let Some(value) = directive.kind.value(word) {
                    self.said.insert(key, (value, place.clone()));
                }
            }
        }
    }
}

/// A path said in a file is relative to that file.
fn beside(file: &Path, name: impl AsRef<Path>) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(name)
}

fn rest(line: &str, column: usize) -> String {
    line.chars().skip(column - 1).take(20).collect()
}
