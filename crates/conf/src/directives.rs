//! The properties of directives and sections: kind of value, bounds, default, and when a change takes effect.

use crate::value::Kind;

pub use crate::table::{DIRECTIVES, SECTIONS};

/// When a change of a directive takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// On a reload, which SIGHUP triggers.
    OnReload,
    /// Only after a restart of the process.
    OnRestart,
}

/// What applies if a directive is not configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultValue {
    /// A default value, in the form in which it would be written in the file.
    Text(&'static str),
    /// There is no default: the directive must be configured in each of its sections.
    Required,
    /// There is no default, and the directive can be without a value.
    Optional,
}

/// The definition of a directive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Directive {
    /// The name of its section, or empty for a directive outside of sections.
    pub section: &'static str,
    /// The first word of its line.
    pub name: &'static str,
    /// The kind of value that it takes.
    pub kind: Kind,
    /// What applies if it is not configured.
    pub default: DefaultValue,
    /// When a change of its value takes effect.
    pub takes_effect: TakesEffect,
    /// The description on the operators' page.
    pub description: &'static str,
}

/// The titles that a section may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TitleRule {
    /// The section has no title and may occur once.
    Untitled,
    /// One of these titles, each at most once. For a title that does not occur, the defaults of the
    /// directives apply.
    OneOf(&'static [&'static str]),
    /// Any name, each at most once.
    AnyName,
}

/// The definition of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Section {
    /// The first word of its opening line.
    pub name: &'static str,
    /// The titles that may follow the name.
    pub title: TitleRule,
    /// The maximum number of sections of this name in a configuration.
    pub max_count: usize,
    /// The names of sections that the configuration must have as well.
    pub requires: &'static [&'static str],
    /// The names of sections that the configuration must not have as well.
    pub conflicts: &'static [&'static str],
    /// The description on the operators' page.
    pub description: &'static str,
}

/// Looks up the definition of a section by its name.
pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.name == name)
}

/// Looks up the definition of a directive by the names of its section and of itself.
pub fn directive(section: &str, name: &str) -> Option<&'static Directive> {
    DIRECTIVES.iter().find(|directive| directive.section == section && directive.name == name)
}

/// The definitions of all directives of a section, in the order of the table.
pub fn directives_of(section: &str) -> impl Iterator<Item = &'static Directive> {
    DIRECTIVES.iter().filter(move |directive| directive.section == section)
}
