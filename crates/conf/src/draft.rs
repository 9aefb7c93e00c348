//! Collects sections and values while the files are read, and checks them against the table of directives.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use crate::conf::{Conf, DirectiveKey, SectionId};
use crate::directives::{self, DefaultValue, Directive, SECTIONS, Section, TitleRule};
use crate::error::{ConfError, Location};
use crate::grammar::Word;
use crate::reader::SourceLine;
use crate::value::{Value, is_name};

/// The maximum number of errors that are reported; further ones are unlikely to help.
const MAX_ERRORS: usize = 50;

/// The directive or section that an error is about.
pub(crate) struct Subject {
    location: Location,
    name: String,
}

impl Subject {
    pub fn new(location: &Location, name: &str) -> Self {
        Self { location: location.clone(), name: name.to_string() }
    }
}

struct WrittenValue {
    value: Value,
    location: Location,
}

#[derive(Clone)]
struct WrittenSection {
    id: SectionId,
    location: Location,
}

/// The sections and values that have been read, and the errors found in them.
#[derive(Default)]
pub(crate) struct Draft {
    errors: Vec<ConfError>,
    values: BTreeMap<DirectiveKey, WrittenValue>,
    /// Directives whose values were reported as invalid. They must not be reported as missing as well.
    invalid: BTreeSet<DirectiveKey>,
    /// In the order of the lines.
    sections: Vec<WrittenSection>,
}

impl Draft {
    pub fn report(&mut self, subject: Subject, expected: impl Into<String>, found: impl Into<String>) {
        if self.errors.len() < MAX_ERRORS {
            let Subject { location, name } = subject;
            let (expected, found) = (expected.into(), found.into());
            self.errors.push(ConfError { location, subject: name, expected, found });
        }
    }

    /// Adds a section. `None` if it is invalid, which is reported.
    pub fn add_section(&mut self, name: &Word, titles: &[Word], location: &Location) -> Option<SectionId> {
        let Some(section) = directives::section(&name.text) else {
            let known: Vec<&str> = SECTIONS.iter().map(|section| section.name).collect();
            let expected = format!("one of: {}", known.join(", "));
            self.report(Subject::new(location, "section"), expected, &name.text);
            return None;
        };
        let subject = Subject::new(location, section.name);
        let Some(title) = title_of(section, titles) else {
            let found: Vec<&str> = titles.iter().map(|word| word.text.as_str()).collect();
            let found = if found.is_empty() { "none".to_string() } else { found.join(" ") };
            self.report(subject, expected_title(section), found);
            return None;
        };
        let id = SectionId { name: section.name, title };
        if let Some(first) = self.sections.iter().find(|written| written.id == id) {
            let expected = format!("it only once (first at {})", first.location);
            self.report(subject, expected, id.title);
            return None;
        }
        if self.sections.iter().filter(|written| written.id.name == id.name).count() >= section.max_count {
            self.report(subject, format!("at most {} sections of this name", section.max_count), id.title);
            return None;
        }
        self.sections.push(WrittenSection { id: id.clone(), location: location.clone() });
        Some(id)
    }

    /// Sets the value of a directive in a valid section or outside of sections. An error is reported.
    pub fn set(&mut self, section: &SectionId, name: &Word, arguments: &[Word], line: &SourceLine) {
        let location = line.at(name.column);
        let Some(directive) = directives::directive(section.name, &name.text) else {
            let subject = Subject::new(&location, &name.text);
            return self.report(subject, known_directives(section), "an unknown one");
        };
        let key = section.key(directive);
        self.invalid.insert(key.clone());
        let subject = Subject::new(&location, directive.name);
        let [argument] = arguments else {
            let found = format!("{} values", arguments.len());
            return self.report(subject, directive.kind.expected(), found);
        };
        let Some(mut value) = directive.kind.parse(&argument.text) else {
            let subject = Subject::new(&line.at(argument.column), directive.name);
            return self.report(subject, directive.kind.expected(), &argument.text);
        };
        if let Value::Path(path) = &value {
            value = Value::Path(line.resolve(path));
        }
        if let Some(first) = self.values.get(&key) {
            let expected = format!("it only once (first at {})", first.location);
            return self.report(subject, expected, &argument.text);
        }
        self.invalid.remove(&key);
        self.values.insert(key, WrittenValue { value, location });
    }

    /// Applies defaults, checks that all required directives are configured, and returns the configuration.
    ///
    /// # Errors
    /// All errors that were reported.
    pub fn finish(mut self, path: &Path) -> Result<Conf, Vec<ConfError>> {
        self.add_implied_sections(path);
        self.check_combinations();
        let outside = WrittenSection { id: SectionId::outside(), location: Location::of_file(path) };
        for section in [outside].into_iter().chain(self.sections.clone()) {
            for directive in directives::directives_of(section.id.name) {
                self.apply_default(directive, &section);
            }
        }
        if !self.errors.is_empty() {
            return Err(self.errors);
        }
        let values = self.values.into_iter().map(|(key, written)| (key, written.value)).collect();
        let sections = self.sections.into_iter().map(|section| section.id).collect();
        Ok(Conf::new(values, sections))
    }

    /// Adds the sections with titles of a fixed set that are not written, so that their directives get
    /// defaults.
    fn add_implied_sections(&mut self, path: &Path) {
        for section in SECTIONS {
            let TitleRule::OneOf(titles) = section.title else { continue };
            for title in titles {
                let id = SectionId { name: section.name, title: (*title).to_string() };
                if !self.sections.iter().any(|written| written.id == id) {
                    self.sections.push(WrittenSection { id, location: Location::of_file(path) });
                }
            }
        }
    }

    /// Reports sections that lack a section they require, or that conflict with another section.
    fn check_combinations(&mut self) {
        for written in self.sections.clone() {
            let Some(section) = directives::section(written.id.name) else { continue };
            let is_present = |name: &str| self.sections.iter().any(|other| other.id.name == name);
            let missing = section.requires.iter().find(|other| !is_present(other));
            let conflicting = section.conflicts.iter().find(|other| is_present(other));
            if let Some(other) = missing {
                let subject = Subject::new(&written.location, section.name);
                self.report(subject, format!("a section {other} in the same configuration"), "none");
            }
            if let Some(other) = conflicting {
                let subject = Subject::new(&written.location, section.name);
                self.report(subject, format!("no section {other} in the same configuration"), "both");
            }
        }
    }

    fn apply_default(&mut self, directive: &Directive, section: &WrittenSection) {
        let key = section.id.key(directive);
        if self.values.contains_key(&key) || self.invalid.contains(&key) {
            return;
        }
        match directive.default {
            DefaultValue::Optional => {}
            DefaultValue::Required => {
                let subject = Subject::new(&section.location, directive.name);
                self.report(subject, directive.kind.expected(), "nothing");
            }
            DefaultValue::Text(text) => {
                // A test checks that each default in the table parses.
                if let Some(value) = directive.kind.parse(text) {
                    self.values.insert(key, WrittenValue { value, location: section.location.clone() });
                }
            }
        }
    }
}

/// The title of a section, or `None` if it may not have this title.
fn title_of(section: &Section, titles: &[Word]) -> Option<String> {
    match (section.title, titles) {
        (TitleRule::Untitled, []) => Some(String::new()),
        (TitleRule::OneOf(known), [title]) if known.contains(&title.text.as_str()) => {
            Some(title.text.clone())
        }
        (TitleRule::AnyName, [title]) if is_name(&title.text) => Some(title.text.clone()),
        _ => None,
    }
}

fn expected_title(section: &Section) -> String {
    match section.title {
        TitleRule::Untitled => "no title".to_string(),
        TitleRule::OneOf(titles) => format!("one of: {}", titles.join(", ")),
        TitleRule::AnyName => "one name of 1 to 64 characters".to_string(),
    }
}

fn known_directives(section: &SectionId) -> String {
    let known: Vec<&str> = directives::directives_of(section.name).map(|directive| directive.name).collect();
    let place = if section.name.is_empty() { "the top level" } else { section.name };
    format!("a directive of {place}: {}", known.join(", "))
}
