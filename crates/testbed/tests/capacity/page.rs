//! docs/CAPACITY.md as it stands: made anew it is the same, and each row holds by itself.

use quillpoint_testbed::capacity::asks::{
    MEASURED_RECORD, SECTIONS, SIMULATED_RECORD, Source, TARGET_ROUTERS, requirements,
};
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::capacity::numbers::{format_number, round_up};
use quillpoint_testbed::record::{Axis, Line, read};

use crate::made_up_records::{Folder, made, made_up};
use crate::page_checker::{
    Run, by, cited, failed_beyond, faults, instances, is_below, number, of_program, of_run, page, repository,
    rows,
};

#[test]
fn the_page_is_what_its_records_say() {
    let made = fill_page(&page(), &repository().join("docs/measurements")).expect("the page can be made");
    assert!(made == page(), "measure/capacity writes another page; run it");
}

#[test]
fn each_row_of_the_page_holds_by_itself() {
    let faults = faults(&page(), &repository().join("docs/measurements"));
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Calm runs and runs of a record with a fault: whether there is one, its mode, its changes, and its figures.
fn lines_of(file: &str) -> Vec<Line> {
    read(&repository().join("docs/measurements").join(file)).expect("a record")
}

#[test]
fn a_fault_row_asks_for_nothing_that_is_counted_before_the_fault() {
    for (section, _) in SECTIONS {
        for ask in requirements(section) {
            let Source::FaultRuns { fault, figure: name } = ask.source else { continue };
            for file in [MEASURED_RECORD, SIMULATED_RECORD] {
                let lines = lines_of(file);
                let struck: Vec<Run<'_>> =
                    lines.iter().filter_map(of_run).filter(|(is, ..)| *is == Some(fault)).collect();
                for (.., sizes, (figures, _)) in struck.iter().filter(|(.., (all, _))| all.contains_key(name))
                {
                    // What a calm run of the same kind has too is of the calm seconds with which each run begins.
                    let is_calm = lines.iter().filter_map(of_run).any(|(is, calm, (all, _))| {
                        is.is_none()
                            && (calm.mode, calm.changes) == (sizes.mode, sizes.changes)
                            && all.contains_key(name)
                    });
                    assert!(
                        !is_calm,
                        "{}, {fault}: {name} {} is of the calm seconds",
                        ask.quantity, figures[name]
                    );
                }
            }
        }
    }
}

#[test]
fn no_ratio_stands_where_anything_is_held_below_the_target() {
    let found: Vec<String> = rows(&page())
        .iter()
        .filter(|row| is_below(row) && number(&row["ratio"]).is_some())
        .map(|row| format!("{}, {}: {}", row["what"], row["at"], row["ratio"]))
        .collect();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn a_region_alone_and_a_machine_lost_bear_all_databases() {
    for (section, left) in [("region", 4.0), ("control-lost", 7.0)] {
        let part = page();
        let part = part
            .split(&format!("<!-- begin {section} -->"))
            .nth(1)
            .and_then(|rest| rest.split("<!-- end").next());
        let rows = rows(part.expect("the section"));
        for what in ["bytes in and out a second", "processor time, cores"] {
            let of: Vec<_> = rows.iter().filter(|row| row["what"].starts_with(what)).collect();
            assert!(
                of.iter().any(|row| row["at"].ends_with(" and 18,000 databases")),
                "{section}: {what} is not looked at with all databases"
            );
            for row in of.iter().filter(|row| number(&row["ratio"]).is_some_and(|ratio| ratio <= 1.0)) {
                assert_eq!(instances(row), Some(left), "{section}: {what}, {}", row["at"]);
            }
        }
    }
}

#[test]
fn nothing_is_predicted_beyond_where_calibration_failed() {
    let lines = lines_of(MEASURED_RECORD);
    for row in rows(&page()).iter().filter(|row| row["basis"].starts_with("predicted")) {
        let (_, name, mode, place) = cited(&row["record"]).expect("a record");
        let axis =
            Axis::ALL.into_iter().find(|axis| place == format!("over {}", axis.name())).expect("an axis");
        let failed = failed_beyond(&of_program(lines.clone(), by(&row["record"])), axis, mode, name);
        assert!(failed.is_none(), "{} at {}: calibration failed at {failed:?}", row["what"], row["at"]);
    }
}

#[test]
fn what_processes_did_not_play_of_a_fault_is_said_beside_what_the_lab_did() {
    let all = rows(&page());
    for row in all.iter().filter(|row| row["basis"].starts_with("simulated below the target")) {
        let played = row["record"].replace(SIMULATED_RECORD, MEASURED_RECORD);
        let of_any =
            |record: &str| record.split_once(", by ").map_or(record.to_string(), |(of, _)| of.to_string());
        assert!(
            all.iter().any(|other| of_any(&other["record"]) == played && other["what"] == row["what"]),
            "{}: {played}",
            row["what"]
        );
    }
}

#[test]
fn the_most_that_thousands_alone_may_ask_of_one_database_in_a_second_is_said() {
    let all = rows(&page());
    let most = all.iter().find(|row| {
        row["role"] == "database"
            && row["what"].starts_with("probes in one second, no control instance left, the most")
    });
    let most = most.and_then(|row| number(&row["figure"])).expect("a row");
    // None of them waits for another: their first looks may fall into one second.
    assert!(most >= TARGET_ROUTERS, "{most}");
}

#[test]
fn every_role_has_a_row_on_every_occasion() {
    let page = page();
    for (marker, ..) in
        SECTIONS.iter().filter(|(marker, _)| ["restarts", "zone", "region", "burst"].contains(marker))
    {
        let part = page
            .split(&format!("<!-- begin {marker} -->"))
            .nth(1)
            .and_then(|rest| rest.split("<!-- end").next());
        let rows = rows(part.expect("the section"));
        for role in ["router", "control machine", "discovery", "database", "client connection"] {
            assert!(rows.iter().any(|row| row["role"] == role), "{marker}: {role}");
        }
    }
    for role in ["router", "control machine", "discovery", "database", "client connection"] {
        for what in ["state", "messages", "bytes", "processor time", "memory"] {
            let has = rows(&page).iter().any(|row| row["role"] == role && row["what"].contains(what));
            // What passes between discovery, databases or clients and the rest are calls, probes and statements.
            let has = has
                || what == "messages"
                    && rows(&page).iter().any(|row| {
                        row["role"] == role
                            && ["calls", "probes", "statements"]
                                .iter()
                                .any(|word| row["what"].starts_with(word))
                    });
            assert!(has, "{role}: {what}");
        }
    }
}

#[test]
fn the_page_names_every_role_and_every_occasion() {
    let rows = rows(&page());
    for role in ["router", "control machine", "discovery", "database", "client connection"] {
        assert!(rows.iter().any(|row| row["role"] == role), "{role}");
    }
    for marker in
        ["calm-shared", "calm-feed", "restarts", "zone", "region", "burst", "missing-today", "later"]
    {
        assert!(page().contains(&format!("<!-- begin {marker} -->")), "{marker}");
    }
}

#[test]
fn what_the_page_links_to_is_drawn() {
    let (folder, page) = made("drawn", made_up());
    let drawn = quillpoint_testbed::capacity::draw_plots(&folder.0).expect("drawn");
    assert!(drawn.contains(&"scale-router-bytes-databases.svg".to_string()), "{drawn:?}");
    for file in &drawn {
        assert!(page.contains(&format!("](measurements/{file})")), "{file}");
        assert!(std::fs::read_to_string(folder.0.join(file)).expect("it").contains("feed, played"), "{file}");
    }
    assert_eq!(page.matches("](measurements/").count(), drawn.len());
}

#[test]
fn each_drawing_of_the_page_is_there() {
    for link in page().split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
        assert!(repository().join("docs").join(link).is_file(), "{link}");
    }
}

#[test]
fn each_mechanism_is_a_package_or_none() {
    for row in rows(&page()) {
        let by = row["mechanism"].split(':').next().unwrap_or_default();
        let names = by.split(", ").map(|name| name.split(' ').next().unwrap_or_default());
        for name in names {
            let is_package = repository().join("crates").join(name).join("Cargo.toml").is_file();
            assert!(name == "none" || is_package, "{}: {}", row["what"], row["mechanism"]);
        }
    }
}

#[test]
fn a_page_with_a_marker_too_few_or_unknown_is_refused() {
    let folder = Folder::new("markers");
    let told = |page: &str| fill_page(page, &folder.0).expect_err("refused").to_string();
    let whole = page();
    assert!(told(&whole.replace("<!-- begin zone -->", "")).contains("no marker zone"));
    assert!(
        told(&whole.replace("<!-- begin zone -->", "<!-- begin zones -->")).contains("zones is not known")
    );
    assert!(told("<!-- begin zone -->").contains("zone has no end"));
}

#[test]
fn numbers_are_rounded_toward_more_and_shown_in_full() {
    for (is, digits, shown) in [
        (1234.0, 3, "1,240"),
        (1230.0, 3, "1,230"),
        (0.1 + 0.2, 3, "0.3"),
        (0.000_012_341, 3, "0.0000124"),
        (3_744_000.0, 6, "3,744,000"),
        (-1234.9, 3, "−1,230"),
        (0.0, 3, "0"),
        (999.5, 3, "1,000"),
        (4.0e-13, 2, "0.0000000000004"),
    ] {
        assert_eq!(format_number(round_up(is, digits)), shown);
    }
}
