//! The operators' page of all directives, from the table itself.

use crate::directives::{self, DIRECTIVES, Default, Holds, SECTIONS, Section, Titles};

/// The page as Markdown.
pub fn reference() -> String {
    let mut page = String::from(
        "# quillpoint.conf\n\n\
         This page is printed by `quillpoint reference`. A directive and its words stand on a line; `#` begins a comment; \
         words with blanks stand in double quotes. `include PATH` puts another file in its place. Paths are relative to \
         the file that says them. `quillpoint check --conf FILE` names every fault with its file, line and column, and \
         prints what holds.\n",
    );
    table(&mut page, "Outside of sections", String::new(), "");
    for section in SECTIONS {
        table(&mut page, &format!("Section `{}`", head(section)), about(section), section.name);
    }
    debug_assert!(
        DIRECTIVES
            .iter()
            .all(|known| known.section.is_empty() || directives::section(known.section).is_some())
    );
    page
}

fn head(section: &Section) -> String {
    match section.titles {
        Titles::Untitled => format!("{} {{ .. }}", section.name),
        Titles::Of(titles) => format!("{} {} {{ .. }}", section.name, titles.join("|")),
        Titles::Names => format!("{} NAME {{ .. }}", section.name),
    }
}

fn about(section: &Section) -> String {
    let said = |word: &str, others: &[&str]| match others {
        [] => String::new(),
        others => format!(" Stands {word} beside a section `{}`.", others.join("`, `")),
    };
    [section.about, &said("only", section.needs), &said("never", section.excludes)].concat()
}

fn table(page: &mut String, title: &str, about: String, section: &str) {
    page.push_str(&format!("\n## {title}\n\n"));
    if !about.is_empty() {
        page.push_str(&format!("{about}\n\n"));
    }
    page.push_str(
        "| directive | takes | default | a change holds | what it is |\n| --- | --- | --- | --- | --- |\n",
    );
    for directive in directives::of(section) {
        let default = match directive.default {
            Default::Is(word) => format!("`{word}`"),
            Default::Needed => "must be said".to_string(),
            Default::None => "none".to_string(),
        };
        let holds = match directive.holds {
            Holds::Live => "on SIGHUP",
            Holds::Start => "from the next start on",
        };
        let (name, wanted, about) = (directive.name, directive.kind.wanted(), directive.about);
        page.push_str(&format!("| `{name}` | {wanted} | {default} | {holds} | {about} |\n"));
    }
}
