//! Which configurations are accepted, which errors with which locations the others cause, and that no input
//! makes the reader panic.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use quillpoint_conf::directives::{DIRECTIVES, DefaultValue, SECTIONS, section};
use quillpoint_conf::{Conf, ConfError, read_with, reference};

fn read(files: &[(&str, &str)]) -> Result<Conf, Vec<ConfError>> {
    let files: BTreeMap<PathBuf, String> =
        files.iter().map(|(path, text)| (PathBuf::from(path), (*text).to_string())).collect();
    let missing = || std::io::Error::new(std::io::ErrorKind::NotFound, "no such file");
    read_with(Path::new("/etc/q/top.conf"), |path| files.get(path).cloned().ok_or_else(missing))
}

/// Reads a configuration that consists of one file.
fn read_text(text: &str) -> Result<Conf, Vec<ConfError>> {
    read(&[("/etc/q/top.conf", text)])
}

/// The messages of all errors in a configuration that consists of one file.
fn errors(text: &str) -> Vec<String> {
    read_text(text).unwrap_err().iter().map(ToString::to_string).collect()
}

const FLEET: &str = "fleet {\n    listen 127.0.0.1:7400\n    keys fleet.keys\n}\n";

#[test]
fn an_empty_file_yields_defaults_and_no_fleet() {
    let conf = read_text("# nothing\n\n").unwrap();
    assert!(!conf.has_section("fleet"));
    assert_eq!(conf.text("", "", "log"), Some("text"));
    assert_eq!(conf.duration("duty", "probe", "longest"), Some(Duration::from_secs(2)));
    assert_eq!(conf.duration("duty", "probe", "every"), None, "follows from the platform's settings");
    assert_eq!(conf.path("", "", "platform"), None);
}

#[test]
fn values_are_typed_and_paths_are_relative_to_the_file_they_are_written_in() {
    let text = "platform \"my router.json\" # in quotes\nlog json\ninclude sub/fleet.conf\npeer n2 { \n address [::1]:7402\n}\n\
                duty probe {\n every 1s\n}";
    let conf = read(&[("/etc/q/top.conf", text), ("/etc/q/sub/fleet.conf", FLEET)]).unwrap();
    assert_eq!(conf.path("", "", "platform"), Some(Path::new("/etc/q/my router.json")));
    assert_eq!(conf.path("fleet", "", "keys"), Some(Path::new("/etc/q/sub/fleet.keys")));
    assert_eq!(conf.titles("peer").collect::<Vec<_>>(), ["n2"]);
    assert_eq!(conf.address("peer", "n2", "address"), Some("[::1]:7402".parse().unwrap()));
    assert_eq!(conf.duration("duty", "probe", "every"), Some(Duration::from_secs(1)));
    assert_eq!(conf.count("fleet", "", "news-budget"), Some(2 << 20));
}

#[test]
fn each_error_names_file_line_and_column() {
    let cases = [
        (
            "lgo json",
            "/etc/q/top.conf:1:1: lgo: expected a directive of the top level: platform, log, found an unknown one",
        ),
        ("\n  log  loud", "/etc/q/top.conf:2:8: log: expected one of: text, json, found loud"),
        ("log", "/etc/q/top.conf:1:1: log: expected one of: text, json, found 0 values"),
        ("log text json", "/etc/q/top.conf:1:1: log: expected one of: text, json, found 2 values"),
        (
            "log text\nlog json",
            "/etc/q/top.conf:2:1: log: expected it only once (first at /etc/q/top.conf:1:1), found json",
        ),
        ("log \"text", "/etc/q/top.conf:1:5: line: expected a directive, a brace or a comment, found \"text"),
        ("}", "/etc/q/top.conf:1:1: section: expected an opening brace before it, found }"),
        (
            "fleets {\n}",
            "/etc/q/top.conf:1:1: section: expected one of: fleet, peer, duty, publish, subscribe, control, found fleets",
        ),
        ("duty dig {\n}", "/etc/q/top.conf:1:1: duty: expected one of: probe, found dig"),
        (
            "duty probe {\n every 5\n}",
            "/etc/q/top.conf:2:8: every: expected a duration from 20ms to 1h, such as 250ms, found 5",
        ),
        (
            "duty probe {\n every 5ms\n}",
            "/etc/q/top.conf:2:8: every: expected a duration from 20ms to 1h, such as 250ms, found 5ms",
        ),
        (
            "duty probe {\n",
            "/etc/q/top.conf:1:1: section: expected a closing brace before the end of the file, found none",
        ),
        (
            "peer a {\n address here\n}",
            "/etc/q/top.conf:2:10: address: expected an address and a port, such as 127.0.0.1:7400, found here",
        ),
        (
            "peer a {\n}",
            "/etc/q/top.conf:1:1: address: expected an address and a port, such as 127.0.0.1:7400, found nothing",
        ),
        (
            "include none.conf",
            "/etc/q/top.conf:1:1: file: expected a readable file /etc/q/none.conf, found no such file",
        ),
    ];
    for (text, error) in cases {
        assert_eq!(errors(text), [error], "{text:?}");
    }
}

#[test]
fn all_errors_of_a_configuration_are_reported_at_once() {
    let errors = errors("lgo json\nfleet {\n listen x\n zone a b\n}\nduty probe {\n cost 0\n}");
    assert_eq!(errors.len(), 5, "expected an unknown name, three values and the missing keys: {errors:#?}");
}

#[test]
fn a_file_that_includes_itself_is_rejected_instead_of_being_read_forever() {
    let errors = errors("include top.conf");
    assert!(errors.iter().any(|error| error.contains("at most 8 levels of includes")), "{errors:?}");
}

#[test]
fn a_configuration_written_as_text_is_read_back_unchanged() {
    let conf =
        read_text(&format!("{FLEET}platform \"a b \\\" \\\\ # {{\"\npeer n1 {{\n address 127.0.0.1:1\n}}"))
            .unwrap();
    assert_eq!(read_text(&conf.to_text()).unwrap(), conf);
}

#[test]
fn changes_that_require_a_restart_are_listed() {
    let before = read_text(&format!("{FLEET}peer a {{\n address 127.0.0.1:1\n}}")).unwrap();
    let after = read_text(&format!(
        "{FLEET}peer a {{\n address 127.0.0.1:2\n}}\nduty probe {{\n every 1s\n}}\nlog json"
    ))
    .unwrap();
    assert_eq!(before.restart_required(&after), ["duty probe every", "log"], "peers are reloaded");
    assert_eq!(before.restart_required(&read_text("").unwrap()).last().unwrap(), "fleet work-budget");
}

const PUBLISH: &str = "publish {\n    listen 127.0.0.1:7500\n    keys feed.keys\n}\n";
const SUBSCRIBE: &str = "subscribe {\n    listen 127.0.0.1:0\n    keys feed.keys\n}\n";
const CONTROL: &str = "control c1 {\n    address 127.0.0.1:7500\n}\n";

#[test]
fn the_sections_of_a_control_instance_and_of_a_router_that_follows_it_are_read() {
    let control = read_text(&[FLEET, PUBLISH].concat()).unwrap();
    assert_eq!(control.count("publish", "", "subscribers"), Some(10_000));
    assert_eq!(control.count("publish", "", "copy-budget"), Some(8 << 20));
    let router = read_text(&[SUBSCRIBE, CONTROL].concat()).unwrap();
    assert!(!router.has_section("fleet") && !router.has_section("publish"));
    assert_eq!(router.address("control", "c1", "address"), Some("127.0.0.1:7500".parse().unwrap()));
    assert_eq!(router.text("subscribe", "", "region"), None);
    // The addresses of control instances and the keys are reloaded. Only subscribing at all requires a
    // restart.
    let moved = read_text(
        &[SUBSCRIBE, &CONTROL.replace("7500", "7501"), "control c2 {\n address 127.0.0.1:1\n}"].concat(),
    );
    assert_eq!(router.restart_required(&moved.unwrap()), Vec::<String>::new());
    assert!(router.restart_required(&read_text("").unwrap()).contains(&"subscribe".to_string()));
}

#[test]
fn missing_and_conflicting_sections_are_reported_at_the_section_concerned() {
    let cases = [
        (
            [PUBLISH, "", ""],
            "/etc/q/top.conf:1:1: publish: expected a section fleet in the same configuration, found none",
        ),
        (
            [SUBSCRIBE, "", ""],
            "/etc/q/top.conf:1:1: subscribe: expected a section control in the same configuration, found none",
        ),
        (
            [CONTROL, "", ""],
            "/etc/q/top.conf:1:1: control: expected a section subscribe in the same configuration, found none",
        ),
        (
            [CONTROL, FLEET, SUBSCRIBE],
            "/etc/q/top.conf:8:1: subscribe: expected no section fleet in the same configuration, found both",
        ),
    ];
    for (text, error) in cases {
        assert_eq!(errors(&text.concat()), [error], "{text:?}");
    }
    let both_roles = errors(&[FLEET, PUBLISH, SUBSCRIBE, CONTROL].concat());
    assert_eq!(both_roles.len(), 2, "a process cannot both publish and subscribe: {both_roles:?}");
}

#[test]
fn feed_directives_out_of_bounds_are_rejected() {
    let cases = [
        ("publish", "subscribers 0", "a whole number from 1 to 100000"),
        ("publish", "subscribers 100001", "a whole number from 1 to 100000"),
        ("publish", "copy-budget 1KiB", "a size from 4KiB to 1GiB"),
        ("publish", "copy-budget 8", "a size from 4KiB to 1GiB"),
        ("subscribe", "region \"\"", "a name of 1 to 64 characters"),
        ("control c1", "address c1:7500", "an address and a port"),
    ];
    for (section, line, expected) in cases {
        let errors = errors(&format!("{section} {{\n{line}\n}}"));
        let is_expected =
            |error: &String| error.starts_with("/etc/q/top.conf:2:") && error.contains(expected);
        assert!(errors.iter().any(is_expected), "{line}: expected {expected}, found {errors:?}");
    }
    let many: String = (0..65).map(|index| CONTROL.replace("c1", &format!("c{index}"))).collect();
    assert_eq!(
        errors(&[SUBSCRIBE, &many].concat()),
        ["/etc/q/top.conf:197:1: control: expected at most 64 sections of this name, found c64"]
    );
}

#[test]
fn every_default_is_a_valid_value_and_every_directive_is_in_a_known_section() {
    for directive in DIRECTIVES {
        if let DefaultValue::Text(text) = directive.default {
            let value = directive
                .kind
                .parse(text)
                .unwrap_or_else(|| panic!("{}: expected a valid default, found {text}", directive.name));
            assert_eq!(value.to_string(), text, "{}", directive.name);
        }
        assert!(
            directive.section.is_empty() || section(directive.section).is_some(),
            "{}",
            directive.section
        );
    }
    assert!(
        SECTIONS.iter().all(|section| DIRECTIVES.iter().any(|directive| directive.section == section.name))
    );
}

#[test]
fn the_operators_page_is_up_to_date_with_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/conf.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, reference::markdown(), "regenerate it: quillpoint reference > docs/operators/conf.md");
}

#[test]
fn the_example_configurations_are_valid_and_fit_together() {
    let read = |name: &str| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name);
        quillpoint_conf::read(&path).unwrap_or_else(|errors| panic!("{name}: {errors:?}"))
    };
    let (member, control, router) = (read("fleet.conf"), read("feed-control.conf"), read("feed-router.conf"));
    assert!(member.has_section("fleet") && !member.has_section("publish"));
    assert!(control.has_section("fleet") && control.has_section("publish"));
    assert!(router.has_section("subscribe") && !router.has_section("fleet"));
    assert_eq!(router.address("control", "c1", "address"), control.address("publish", "", "listen"));
    assert_ne!(control.address("publish", "", "listen"), control.address("fleet", "", "listen"));
}

#[test]
fn no_input_causes_a_panic_or_more_than_the_maximum_number_of_errors() {
    fn any_text(text: String) -> bool {
        read_text(&text).err().is_none_or(|errors| (1..=50).contains(&errors.len()))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2000)
        .quickcheck(any_text as fn(String) -> bool);
    // Texts made of words and symbols of the grammar, which get past the parser more often.
    fn text_of_known_words(picks: Vec<u8>) -> bool {
        let parts = [
            "fleet", "peer", " ", "{", "}", "\n", "\"", "\\", "#", "log", "text", "a", "listen", "every",
            "5s", "é",
        ];
        let text: String = picks.iter().map(|pick| parts[*pick as usize % parts.len()]).collect();
        any_text(text)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 4))
        .tests(5000)
        .quickcheck(text_of_known_words as fn(Vec<u8>) -> bool);
}
