//! What is known of a directive: its section, kind, bounds, default, and when a change takes effect.

use crate::value::Kind;

pub use crate::table::{DIRECTIVES, SECTIONS};

/// When a change of a directive takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// On SIGHUP.
    OnReload,
    /// At the next start of the process.
    OnRestart,
}

/// What holds where a directive is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultValue {
    /// The value that this word stands for.
    Text(&'static str),
    /// Nothing: the directive must be written in each of its sections.
    Required,
    /// Nothing, and the directive has no value.
    Optional,
}

/// One directive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Directive {
    /// Empty for what stands outside of sections.
    pub section: &'static str,
    /// The word that begins its line.
    pub name: &'static str,
    /// What its value has to be.
    pub kind: Kind,
    /// What holds where it is not written.
    pub default: DefaultValue,
    /// When a change of it takes effect.
    pub takes_effect: TakesEffect,
    /// What it sets, for the operators' page.
    pub description: &'static str,
}

/// What a section's title may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TitleRule {
    /// It has none, and may stand once.
    Untitled,
    /// One of these, each once; those that are not written have the defaults of their directives.
    OneOf(&'static [&'static str]),
    /// Any name, each once.
    AnyName,
}

/// One section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Section {
    /// The word that begins it.
    pub name: &'static str,
    /// What may follow the name.
    pub title: TitleRule,
    /// How many of this name a configuration may have.
    pub max_count: usize,
    /// Sections without which it may not stand.
    pub requires: &'static [&'static str],
    /// Sections beside which it may not stand.
    pub conflicts: &'static [&'static str],
    /// What it is for, for the operators' page.
    pub description: &'static str,
}

/// The section of this name, if there is one.
pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.name == name)
}

/// The directive of this name in this section, if there is one.
pub fn directive(section: &str, name: &str) -> Option<&'static Directive> {
    DIRECTIVES.iter().find(|directive| directive.section == section && directive.name == name)
}

/// All directives of a section, in the order of the table.
pub fn directives_of(section: &str) -> impl Iterator<Item = &'static Directive> {
    DIRECTIVES.iter().filter(move |directive| directive.section == section)
}
