//! The operators' page of all directives, from the table itself.

use crate::directives::{self, DIRECTIVES, DefaultValue, SECTIONS, Section, TakesEffect, TitleRule};

/// The page as Markdown.
pub fn markdown() -> String {
    let mut page = String::from(
        "# quillpoint.conf\n\n\
         This page is printed by `quillpoint reference`. A directive and its words stand on a line; `#` begins a comment; \
         words with blanks stand in double quotes. `include PATH` puts another file in its place. Paths are relative to \
         the file that says them. `quillpoint check --conf FILE` names every fault with its file, line and column, and \
         prints what holds.\n",
    );
    push_heading(&mut page, "Outside of sections", "");
    push_table(&mut page, "");
    for section in SECTIONS {
        push_heading(&mut page, &format!("Section `{}`", form(section)), &description(section));
        push_table(&mut page, section.name);
    }
    debug_assert!(
        DIRECTIVES
            .iter()
            .all(|known| known.section.is_empty() || directives::section(known.section).is_some())
    );
    page
}

/// How a section is written.
fn form(section: &Section) -> String {
    match section.title {
        TitleRule::Untitled => format!("{} {{ .. }}", section.name),
        TitleRule::OneOf(titles) => format!("{} {} {{ .. }}", section.name, titles.join("|")),
        TitleRule::AnyName => format!("{} NAME {{ .. }}", section.name),
    }
}

fn description(section: &Section) -> String {
    let requires = combination("only", section.requires);
    let conflicts = combination("never", section.conflicts);
    [section.description, &requires, &conflicts].concat()
}

fn combination(how: &str, others: &[&str]) -> String {
    match others {
        [] => String::new(),
        others => format!(" Stands {how} beside a section `{}`.", others.join("`, `")),
    }
}

fn push_heading(page: &mut String, title: &str, description: &str) {
    page.push_str(&format!("\n## {title}\n\n"));
    if !description.is_empty() {
        page.push_str(&format!("{description}\n\n"));
    }
}

fn push_table(page: &mut String, section: &str) {
    page.push_str(
        "| directive | takes | default | a change holds | what it is |\n| --- | --- | --- | --- | --- |\n",
    );
    for directive in directives::directives_of(section) {
        let default = match directive.default {
            DefaultValue::Text(word) => format!("`{word}`"),
            DefaultValue::Required => "must be said".to_string(),
            DefaultValue::Optional => "none".to_string(),
        };
        let takes_effect = match directive.takes_effect {
            TakesEffect::OnReload => "on SIGHUP",
            TakesEffect::OnRestart => "from the next start on",
        };
        page.push_str(&format!(
            "| `{}` | {} | {default} | {takes_effect} | {} |\n",
            directive.name,
            directive.kind.expected(),
            directive.description
        ));
    }
}
