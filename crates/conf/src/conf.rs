//! A valid configuration and the access to its values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::directives::{self, Directive, SECTIONS, TakesEffect, TitleRule};
use crate::value::Value;

/// One section of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SectionId {
    /// Empty for directives outside of sections.
    pub name: &'static str,
    /// Empty if the section has no title.
    pub title: String,
}

impl SectionId {
    /// The id under which directives outside of sections are stored.
    pub fn outside() -> Self {
        Self { name: "", title: String::new() }
    }

    pub fn key(&self, directive: &Directive) -> DirectiveKey {
        DirectiveKey { section: self.clone(), directive: directive.name }
    }
}

/// A directive in a section of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DirectiveKey {
    pub section: SectionId,
    pub directive: &'static str,
}

impl DirectiveKey {
    /// The names as `section title directive`, without those that are empty.
    fn path(&self) -> String {
        let names = [self.section.name, &self.section.title, self.directive];
        names.into_iter().flat_map(str::split_whitespace).collect::<Vec<_>>().join(" ")
    }

    fn takes_effect_on_restart(&self) -> bool {
        directives::directive(self.section.name, self.directive)
            .is_some_and(|directive| directive.takes_effect == TakesEffect::OnRestart)
    }
}

/// A valid configuration, including defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Conf {
    values: BTreeMap<DirectiveKey, Value>,
    /// The sections in the order of the file.
    sections: Vec<SectionId>,
}

/// Values are looked up by the name and title of the section, which are both empty outside of sections, and
/// by the name of the directive. The result is `None` if the directive is not configured and has no default.
///
/// # Panics
/// The methods panic if the table does not have the directive.
impl Conf {
    pub(crate) fn new(values: BTreeMap<DirectiveKey, Value>, sections: Vec<SectionId>) -> Self {
        Self { values, sections }
    }

    /// Whether the configuration has a section of this name.
    pub fn has_section(&self, name: &str) -> bool {
        self.sections.iter().any(|section| section.name == name)
    }

    /// The titles of the sections of this name, in the order of the file.
    pub fn titles<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.sections.iter().filter(move |section| section.name == name).map(|section| section.title.as_str())
    }

    /// The value of a directive that takes a duration.
    pub fn duration(&self, section: &str, title: &str, name: &str) -> Option<Duration> {
        match self.find(section, title, name)? {
            Value::Duration(duration) => Some(*duration),
            _ => None,
        }
    }

    /// The value of a directive that takes a number or a size; a size is in bytes.
    pub fn count(&self, section: &str, title: &str, name: &str) -> Option<u64> {
        match self.find(section, title, name)? {
            Value::Count(number) | Value::Size(number) => Some(*number),
            _ => None,
        }
    }

    /// The value of a directive that takes an address and a port.
    pub fn address(&self, section: &str, title: &str, name: &str) -> Option<SocketAddr> {
        match self.find(section, title, name)? {
            Value::Address(address) => Some(*address),
            _ => None,
        }
    }

    /// The value of a directive that takes a path. The path is absolute, or relative to the working
    /// directory.
    pub fn path(&self, section: &str, title: &str, name: &str) -> Option<&Path> {
        match self.find(section, title, name)? {
            Value::Path(path) => Some(path),
            _ => None,
        }
    }

    /// The value of a directive that takes a name or one of a set of words.
    pub fn text(&self, section: &str, title: &str, name: &str) -> Option<&str> {
        match self.find(section, title, name)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    fn find(&self, section: &str, title: &str, name: &str) -> Option<&Value> {
        let directive = directives::directive(section, name);
        // A name that is not in the table is a bug of the program, which its tests find.
        let directive = directive
            .unwrap_or_else(|| panic!("expected a directive of the table, found {section:?} {name:?}"));
        let section = SectionId { name: directive.section, title: title.to_string() };
        self.values.get(&section.key(directive))
    }

    /// The differences from `other` that take effect only after a restart: directives as `section title
    /// directive`, and untitled sections that were added or removed, by their name.
    pub fn restart_required(&self, other: &Self) -> Vec<String> {
        let keys = self.values.keys().chain(other.values.keys());
        let mut changes: Vec<String> = keys
            .filter(|key| key.takes_effect_on_restart())
            .filter(|key| self.values.get(*key) != other.values.get(*key))
            .map(DirectiveKey::path)
            .collect();
        let untitled = SECTIONS.iter().filter(|section| section.title == TitleRule::Untitled);
        let added_or_removed =
            untitled.filter(|section| self.has_section(section.name) != other.has_section(section.name));
        changes.extend(added_or_removed.map(|section| section.name.to_string()));
        changes.sort();
        changes.dedup();
        changes
    }

    /// The configuration as the text of a file that has the same values, with defaults written out.
    pub fn to_text(&self) -> String {
        let mut text = self.lines(&SectionId::outside(), "");
        for section in &self.sections {
            let header = [section.name, &section.title].join(" ");
            text.push_str(&format!("{} {{\n{}}}\n", header.trim_end(), self.lines(section, "    ")));
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
    let is_plain = |character: char| !character.is_whitespace() && !"\"\\{}#".contains(character);
    if !text.is_empty() && text.chars().all(is_plain) {
        return text.to_string();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
