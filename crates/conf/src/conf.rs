//! A configuration that is in order, and what can be asked of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::directives::{self, Directive, SECTIONS, TakesEffect, TitleRule};
use crate::value::Value;

/// One section of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SectionId {
    /// Empty for what stands outside of sections.
    pub name: &'static str,
    /// Empty where the section has none.
    pub title: String,
}

impl SectionId {
    pub fn outside() -> Self {
        Self { name: "", title: String::new() }
    }

    pub fn key(&self, directive: &Directive) -> DirectiveKey {
        DirectiveKey { section: self.clone(), directive: directive.name }
    }
}

/// One directive of one section of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DirectiveKey {
    pub section: SectionId,
    pub directive: &'static str,
}

impl DirectiveKey {
    /// The words that are not empty: `section title directive`.
    fn words(&self) -> String {
        let words = [self.section.name, &self.section.title, self.directive];
        words.into_iter().flat_map(str::split_whitespace).collect::<Vec<_>>().join(" ")
    }

    fn takes_effect_on_restart(&self) -> bool {
        directives::directive(self.section.name, self.directive)
            .is_some_and(|directive| directive.takes_effect == TakesEffect::OnRestart)
    }
}

/// A configuration that is in order, defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Conf {
    values: BTreeMap<DirectiveKey, Value>,
    /// In the order in which they stand.
    sections: Vec<SectionId>,
}

/// A value is found by its section's name and title, both empty outside of sections, and its directive's name. It is
/// `None` where the directive is not written and has no default.
///
/// # Panics
/// The methods panic for a directive that the table does not have.
impl Conf {
    pub(crate) fn new(values: BTreeMap<DirectiveKey, Value>, sections: Vec<SectionId>) -> Self {
        Self { values, sections }
    }

    /// Whether a section of this name stands.
    pub fn has_section(&self, name: &str) -> bool {
        self.sections.iter().any(|section| section.name == name)
    }

    /// Titles of the sections of this name, in the order in which they stand.
    pub fn titles<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.sections.iter().filter(move |section| section.name == name).map(|section| section.title.as_str())
    }

    /// A directive that takes a time.
    pub fn duration(&self, section: &str, title: &str, name: &str) -> Option<Duration> {
        match self.find(section, title, name)? {
            Value::Duration(duration) => Some(*duration),
            _ => None,
        }
    }

    /// A directive that takes a number, or a size in bytes.
    pub fn count(&self, section: &str, title: &str, name: &str) -> Option<u64> {
        match self.find(section, title, name)? {
            Value::Count(number) | Value::Size(number) => Some(*number),
            _ => None,
        }
    }

    /// A directive that takes an address and a port.
    pub fn address(&self, section: &str, title: &str, name: &str) -> Option<SocketAddr> {
        match self.find(section, title, name)? {
            Value::Address(address) => Some(*address),
            _ => None,
        }
    }

    /// A directive that takes a path, which is relative to the working directory or absolute.
    pub fn path(&self, section: &str, title: &str, name: &str) -> Option<&Path> {
        match self.find(section, title, name)? {
            Value::Path(path) => Some(path),
            _ => None,
        }
    }

    /// A directive that takes one of a few words, or a name.
    pub fn text(&self, section: &str, title: &str, name: &str) -> Option<&str> {
        match self.find(section, title, name)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    fn find(&self, section: &str, title: &str, name: &str) -> Option<&Value> {
        let directive = directives::directive(section, name);
        // A name that is not in the table is a fault of the program, which its tests find.
        let directive = directive.unwrap_or_else(|| panic!("no directive {section} {name}"));
        let section = SectionId { name: directive.section, title: title.to_string() };
        self.values.get(&section.key(directive))
    }

    /// What differs in the other and takes effect only on a restart, as `section title directive`.
    pub fn restart_required(&self, other: &Self) -> Vec<String> {
        let keys = self.values.keys().chain(other.values.keys());
        let mut changes: Vec<String> = keys
            .filter(|key| key.takes_effect_on_restart())
            .filter(|key| self.values.get(*key) != other.values.get(*key))
            .map(DirectiveKey::words)
            .collect();
        let untitled = SECTIONS.iter().filter(|section| section.title == TitleRule::Untitled);
        let added_or_removed =
            untitled.filter(|section| self.has_section(section.name) != other.has_section(section.name));
        changes.extend(added_or_removed.map(|section| section.name.to_string()));
        changes.sort();
        changes.dedup();
        changes
    }

    /// The text of a file that says the same, defaults included.
    pub fn to_text(&self) -> String {
        let mut text = self.lines(&SectionId::outside(), "");
        for section in &self.sections {
            let head = [section.name, &section.title].join(" ");
            text.push_str(&format!("{} {{\n{}}}\n", head.trim_end(), self.lines(section, "    ")));
        }
        text
    }

    fn lines(&self, section: &SectionId, indent: &str) -> String {
        let line = |directive: &Directive| {
            let value = self.values.get(&section.key(directive))?;
            Some(format!("{indent}{} {}\n", directive.name, quoted_if_needed(&value.to_string())))
        };
        directives::directives_of(section.name).filter_map(line).collect()
    }
}

fn quoted_if_needed(text: &str) -> String {
    let is_plain = |letter: char| !letter.is_whitespace() && !"\"\\{}#".contains(letter);
    if !text.is_empty() && text.chars().all(is_plain) {
        return text.to_string();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
