//! What is taken, what is refused and where, and that no text makes the reader panic.

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

fn one(text: &str) -> Result<Conf, Vec<ConfError>> {
    read(&[("/etc/q/top.conf", text)])
}

/// The errors of a text, each as people see it.
fn errors(text: &str) -> Vec<String> {
    one(text).unwrap_err().iter().map(ToString::to_string).collect()
}

const FLEET: &str = "fleet {\n    listen 127.0.0.1:7400\n    keys fleet.keys\n}\n";

#[test]
fn an_empty_file_holds_defaults_and_no_fleet() {
    let conf = one("# nothing\n\n").unwrap();
    assert!(!conf.has_section("fleet"));
    assert_eq!(conf.text("", "", "log"), Some("text"));
    assert_eq!(conf.duration("duty", "probe", "longest"), Some(Duration::from_secs(2)));
    assert_eq!(conf.duration("duty", "probe", "every"), None, "the deployment decides");
    assert_eq!(conf.path("", "", "platform"), None);
}

#[test]
fn values_are_typed_and_paths_are_relative_to_their_file() {
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
fn each_fault_names_file_line_and_column() {
    let cases = [
        (
            "lgo json",
            "/etc/q/top.conf:1:1: lgo: expected a directive known outside of sections: platform, log, found another",
        ),
        ("\n  log  loud", "/etc/q/top.conf:2:8: log: expected one of: text, json, found loud"),
        ("log", "/etc/q/top.conf:1:1: log: expected one of: text, json, found 0 words"),
        ("log text json", "/etc/q/top.conf:1:1: log: expected one of: text, json, found 2 words"),
        (
            "log text\nlog json",
            "/etc/q/top.conf:2:1: log: expected it once, and it stands at /etc/q/top.conf:1:1, found json",
        ),
        ("log \"text", "/etc/q/top.conf:1:5: line: expected words, one brace, a comment, found \"text"),
        ("}", "/etc/q/top.conf:1:1: section: expected an opening brace before, found }"),
        (
            "fleets {\n}",
            "/etc/q/top.conf:1:1: section: expected one of: fleet, peer, duty, publish, subscribe, control, found fleets",
        ),
        ("duty dig {\n}", "/etc/q/top.conf:1:1: duty: expected one of: probe, found dig"),
        (
            "duty probe {\n every 5\n}",
            "/etc/q/top.conf:2:8: every: expected a time from 20ms to 1h, as 250ms, found 5",
        ),
        (
            "duty probe {\n every 5ms\n}",
            "/etc/q/top.conf:2:8: every: expected a time from 20ms to 1h, as 250ms, found 5ms",
        ),
        (
            "duty probe {\n",
            "/etc/q/top.conf:1:1: section: expected a closing brace before the end of the file, found none",
        ),
        (
            "peer a {\n address here\n}",
            "/etc/q/top.conf:2:10: address: expected an address and a port, as 127.0.0.1:7400, found here",
        ),
        (
            "peer a {\n}",
            "/etc/q/top.conf:1:1: address: expected an address and a port, as 127.0.0.1:7400, found nothing",
        ),
        (
            "include none.conf",
            "/etc/q/top.conf:1:1: file: expected to read /etc/q/none.conf, found no such file",
        ),
    ];
    for (text, error) in cases {
        assert_eq!(errors(text), [error], "{text:?}");
    }
}

#[test]
fn all_faults_are_told_at_once() {
    let told = errors("lgo json\nfleet {\n listen x\n zone a b\n}\nduty probe {\n cost 0\n}");
    assert_eq!(told.len(), 5, "the wrong name, three values, and the keys that are missing: {told:#?}");
}

#[test]
fn a_file_that_includes_itself_ends() {
    let told = errors("include top.conf");
    assert!(told.iter().any(|error| error.contains("no more than 8 files")), "{told:?}");
}

#[test]
fn what_is_written_reads_as_the_same() {
    let conf = one(&format!("{FLEET}platform \"a b \\\" \\\\ # {{\"\npeer n1 {{\n address 127.0.0.1:1\n}}"))
        .unwrap();
    assert_eq!(one(&conf.to_text()).unwrap(), conf);
}

#[test]
fn what_holds_only_from_the_next_start_on_is_named() {
    let before = one(&format!("{FLEET}peer a {{\n address 127.0.0.1:1\n}}")).unwrap();
    let after =
        one(&format!("{FLEET}peer a {{\n address 127.0.0.1:2\n}}\nduty probe {{\n every 1s\n}}\nlog json"))
            .unwrap();
    assert_eq!(before.restart_required(&after), ["duty probe every", "log"], "peers hold at once");
    assert_eq!(before.restart_required(&one("").unwrap()).last().unwrap(), "fleet work-budget");
}

const PUBLISH: &str = "publish {\n    listen 127.0.0.1:7500\n    keys feed.keys\n}\n";
const SUBSCRIBE: &str = "subscribe {\n    listen 127.0.0.1:0\n    keys feed.keys\n}\n";
const CONTROL: &str = "control c1 {\n    address 127.0.0.1:7500\n}\n";

#[test]
fn a_control_instance_and_a_router_that_follows_it_are_read() {
    let control = one(&[FLEET, PUBLISH].concat()).unwrap();
    assert_eq!(control.count("publish", "", "subscribers"), Some(10_000));
    assert_eq!(control.count("publish", "", "copy-budget"), Some(8 << 20));
    let router = one(&[SUBSCRIBE, CONTROL].concat()).unwrap();
    assert!(!router.has_section("fleet") && !router.has_section("publish"));
    assert_eq!(router.address("control", "c1", "address"), Some("127.0.0.1:7500".parse().unwrap()));
    assert_eq!(router.text("subscribe", "", "region"), None);
    // Where control instances are, and the keys, hold at once; whether it follows any, from the next start on.
    let elsewhere =
        one(&[SUBSCRIBE, &CONTROL.replace("7500", "7501"), "control c2 {\n address 127.0.0.1:1\n}"].concat());
    assert_eq!(router.restart_required(&elsewhere.unwrap()), Vec::<String>::new());
    assert!(router.restart_required(&one("").unwrap()).contains(&"subscribe".to_string()));
}

#[test]
fn sections_that_cannot_stand_alone_or_side_by_side_are_faults_at_their_place() {
    let cases = [
        ([PUBLISH, "", ""], "/etc/q/top.conf:1:1: publish: expected a section fleet beside it, found none"),
        (
            [SUBSCRIBE, "", ""],
            "/etc/q/top.conf:1:1: subscribe: expected a section control beside it, found none",
        ),
        (
            [CONTROL, "", ""],
            "/etc/q/top.conf:1:1: control: expected a section subscribe beside it, found none",
        ),
        (
            [CONTROL, FLEET, SUBSCRIBE],
            "/etc/q/top.conf:8:1: subscribe: expected no section fleet beside it, found both",
        ),
    ];
    for (text, error) in cases {
        assert_eq!(errors(&text.concat()), [error], "{text:?}");
    }
    let all = errors(&[FLEET, PUBLISH, SUBSCRIBE, CONTROL].concat());
    assert_eq!(all.len(), 2, "neither end of the feed is the other: {all:?}");
}

#[test]
fn values_of_the_feed_are_within_bounds() {
    let cases = [
        ("publish", "subscribers 0", "a whole number from 1 to 100000"),
        ("publish", "subscribers 100001", "a whole number from 1 to 100000"),
        ("publish", "copy-budget 1KiB", "a size from 4KiB to 1GiB"),
        ("publish", "copy-budget 8", "a size from 4KiB to 1GiB"),
        ("subscribe", "region \"\"", "a name of 1 to 64 letters"),
        ("control c1", "address c1:7500", "an address and a port"),
    ];
    for (section, line, expected) in cases {
        let told = errors(&format!("{section} {{\n{line}\n}}"));
        let at = |error: &String| error.starts_with("/etc/q/top.conf:2:") && error.contains(expected);
        assert!(told.iter().any(at), "{line}: {told:?}");
    }
    let many: String = (0..65).map(|place| CONTROL.replace("c1", &format!("c{place}"))).collect();
    assert_eq!(
        errors(&[SUBSCRIBE, &many].concat()),
        ["/etc/q/top.conf:197:1: control: expected no more than 64, found c64"]
    );
}

#[test]
fn every_default_is_of_its_kind_and_every_section_is_known() {
    for directive in DIRECTIVES {
        if let DefaultValue::Text(word) = directive.default {
            let value = directive.kind.parse(word).unwrap_or_else(|| panic!("{}: {word}", directive.name));
            assert_eq!(value.to_string(), word, "{}", directive.name);
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
fn the_operators_page_is_what_the_table_says() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/conf.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, reference::markdown(), "print it anew: quillpoint reference > docs/operators/conf.md");
}

#[test]
fn the_examples_are_in_order_and_say_what_differs_between_their_kinds() {
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
fn no_text_makes_it_panic_and_faults_stay_within_a_bound() {
    fn any(text: String) -> bool {
        one(&text).err().is_none_or(|errors| (1..=50).contains(&errors.len()))
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 3)).tests(2000).quickcheck(any as fn(String) -> bool);
    // Texts of the right letters, which get further.
    fn likely(picks: Vec<u8>) -> bool {
        let parts = [
            "fleet", "peer", " ", "{", "}", "\n", "\"", "\\", "#", "log", "text", "a", "listen", "every",
            "5s", "é",
        ];
        let text: String = picks.iter().map(|pick| parts[*pick as usize % parts.len()]).collect();
        any(text)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 4))
        .tests(5000)
        .quickcheck(likely as fn(Vec<u8>) -> bool);
}
