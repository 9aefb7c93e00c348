//! Tests of the current docs/CAPACITY.md: generating it again changes nothing, and each row is correct by
//! itself.

use quillpoint_testbed::capacity::asks::{
    MEASURED_RECORD, SECTIONS, SIMULATED_RECORD, Source, TARGET_ROUTERS, requirements,
};
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::capacity::numbers::{format_number, round_up};
use quillpoint_testbed::record::{Axis, Line, read};

use crate::made_up_records::{TempFolder, generated_page, made_up_lines};
use crate::page_checker::{
    Run, cited_program, first_uncalibrated_beyond, instance_count, is_below_target, lines_of_program, page,
    parse_citation, parse_number, parse_rows, repository, row_errors, run_parts,
};

#[test]
fn the_page_agrees_with_its_records() {
    let generated =
        fill_page(&page(), &repository().join("docs/measurements")).expect("the page can be generated");
    assert!(generated == page(), "docs/CAPACITY.md differs from its records; run measure/capacity");
}

#[test]
fn each_row_of_the_page_is_correct_by_itself() {
    let errors = row_errors(&page(), &repository().join("docs/measurements"));
    assert!(errors.is_empty(), "incorrect rows:\n{}", errors.join("\n"));
}

/// Returns the lines of a record under docs/measurements.
fn record_lines(file: &str) -> Vec<Line> {
    read(&repository().join("docs/measurements").join(file)).expect("a record")
}

/// Guards against a row of a fault that shows the calm operation before the fault: each run with a fault
/// starts with calm seconds and contains their figures too.
#[test]
fn a_fault_row_uses_no_figure_from_before_the_fault() {
    for (section, _) in SECTIONS {
        for ask in requirements(section) {
            let Source::FaultRuns { fault, figure: name } = ask.source else { continue };
            for file in [MEASURED_RECORD, SIMULATED_RECORD] {
                let lines = record_lines(file);
                let fault_runs: Vec<Run<'_>> = lines
                    .iter()
                    .filter_map(run_parts)
                    .filter(|(run_fault, ..)| *run_fault == Some(fault))
                    .collect();
                for (.., sizes, (figures, _)) in
                    fault_runs.iter().filter(|(.., (all, _))| all.contains_key(name))
                {
                    // A figure that calm runs of the same kind contain too is from the calm seconds at the
                    // start.
                    let is_calm = lines.iter().filter_map(run_parts).any(|(run_fault, calm, (all, _))| {
                        run_fault.is_none()
                            && (calm.mode, calm.changes) == (sizes.mode, sizes.changes)
                            && all.contains_key(name)
                    });
                    assert!(
                        !is_calm,
                        "{}, {fault}: the figure {name} ({}) is from the calm seconds before the fault",
                        ask.quantity, figures[name]
                    );
                }
            }
        }
    }
}

#[test]
fn no_row_with_sizes_below_the_target_has_a_plain_ratio() {
    let found: Vec<String> = parse_rows(&page())
        .iter()
        .filter(|row| is_below_target(row) && parse_number(&row["ratio"]).is_some())
        .map(|row| format!("{}, {}: {}", row["what"], row["at"], row["ratio"]))
        .collect();
    assert!(found.is_empty(), "rows below the target with a ratio:\n{}", found.join("\n"));
}

#[test]
fn rows_of_an_isolated_region_and_of_a_lost_machine_include_all_databases() {
    for (section, left) in [("region", 4.0), ("control-lost", 7.0)] {
        let part = page();
        let part = part
            .split(&format!("<!-- begin {section} -->"))
            .nth(1)
            .and_then(|rest| rest.split("<!-- end").next());
        let rows = parse_rows(part.expect("the section"));
        for what in ["bytes in and out a second", "processor time, cores"] {
            let matching: Vec<_> = rows.iter().filter(|row| row["what"].starts_with(what)).collect();
            assert!(
                matching.iter().any(|row| row["at"].ends_with(" and 18,000 databases")),
                "{section}: {what} has no row with all databases"
            );
            for row in
                matching.iter().filter(|row| parse_number(&row["ratio"]).is_some_and(|ratio| ratio <= 1.0))
            {
                assert_eq!(instance_count(row), Some(left), "{section}: {what}, {}", row["at"]);
            }
        }
    }
}

#[test]
fn nothing_is_predicted_beyond_a_size_where_calibration_failed() {
    let lines = record_lines(MEASURED_RECORD);
    for row in parse_rows(&page()).iter().filter(|row| row["basis"].starts_with("predicted")) {
        let (_, name, mode, place) = parse_citation(&row["record"]).expect("a record");
        let axis =
            Axis::ALL.into_iter().find(|axis| place == format!("over {}", axis.name())).expect("an axis");
        let failed = first_uncalibrated_beyond(
            &lines_of_program(lines.clone(), cited_program(&row["record"])),
            axis,
            mode,
            name,
        );
        assert!(failed.is_none(), "{} at {}: calibration failed at {failed:?}", row["what"], row["at"]);
    }
}

#[test]
fn a_simulated_fault_row_is_accompanied_by_a_row_of_processes() {
    let all = parse_rows(&page());
    for row in all.iter().filter(|row| row["basis"].starts_with("simulated below the target")) {
        let played = row["record"].replace(SIMULATED_RECORD, MEASURED_RECORD);
        let without_program = |record: &str| {
            record.split_once(", by ").map_or(record.to_string(), |(citation, _)| citation.to_string())
        };
        assert!(
            all.iter()
                .any(|other| without_program(&other["record"]) == played && other["what"] == row["what"]),
            "{}: {played}",
            row["what"]
        );
    }
}

#[test]
fn the_page_lists_the_most_probes_that_isolated_routers_may_send_one_database_in_a_second() {
    let all = parse_rows(&page());
    let most = all.iter().find(|row| {
        row["role"] == "database"
            && row["what"].starts_with("probes in one second, no control instance left, the most")
    });
    let most = most.and_then(|row| parse_number(&row["figure"])).expect("a row with a figure");
    // Isolated routers do not coordinate, so all of their first probes may fall into the same second.
    assert!(most >= TARGET_ROUTERS, "expected at least {TARGET_ROUTERS} probes, found {most}");
}

#[test]
fn every_role_has_a_row_in_every_section_and_for_every_resource() {
    let page = page();
    for (marker, ..) in
        SECTIONS.iter().filter(|(marker, _)| ["restarts", "zone", "region", "burst"].contains(marker))
    {
        let part = page
            .split(&format!("<!-- begin {marker} -->"))
            .nth(1)
            .and_then(|rest| rest.split("<!-- end").next());
        let rows = parse_rows(part.expect("the section"));
        for role in ["router", "control machine", "discovery", "database", "client connection"] {
            assert!(rows.iter().any(|row| row["role"] == role), "section {marker} has no row for {role}");
        }
    }
    for role in ["router", "control machine", "discovery", "database", "client connection"] {
        for what in ["state", "messages", "bytes", "processor time", "memory"] {
            let has = parse_rows(&page).iter().any(|row| row["role"] == role && row["what"].contains(what));
            // The messages of discovery, databases and clients are calls, probes and statements.
            let has = has
                || what == "messages"
                    && parse_rows(&page).iter().any(|row| {
                        row["role"] == role
                            && ["calls", "probes", "statements"]
                                .iter()
                                .any(|word| row["what"].starts_with(word))
                    });
            assert!(has, "no row for {role} and {what}");
        }
    }
}

#[test]
fn the_page_contains_every_role_and_every_section() {
    let rows = parse_rows(&page());
    for role in ["router", "control machine", "discovery", "database", "client connection"] {
        assert!(rows.iter().any(|row| row["role"] == role), "the page has no row for {role}");
    }
    for marker in
        ["calm-shared", "calm-feed", "restarts", "zone", "region", "burst", "missing-today", "later"]
    {
        assert!(page().contains(&format!("<!-- begin {marker} -->")), "the page has no section {marker}");
    }
}

#[test]
fn every_linked_plot_is_written() {
    let (folder, page) = generated_page("drawn", made_up_lines());
    let drawn = quillpoint_testbed::capacity::draw_plots(&folder.0).expect("the plots can be written");
    assert!(drawn.contains(&"scale-router-bytes-databases.svg".to_string()), "{drawn:?}");
    for file in &drawn {
        assert!(page.contains(&format!("](measurements/{file})")), "{file}");
        assert!(
            std::fs::read_to_string(folder.0.join(file))
                .expect("the plot can be read")
                .contains("feed, played"),
            "{file}"
        );
    }
    assert_eq!(page.matches("](measurements/").count(), drawn.len());
}

#[test]
fn every_linked_file_exists() {
    for link in page().split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
        assert!(repository().join("docs").join(link).is_file(), "{link}");
    }
}

#[test]
fn each_mechanism_is_a_package_or_none() {
    for row in parse_rows(&page()) {
        let packages = row["mechanism"].split(':').next().unwrap_or_default();
        let names = packages.split(", ").map(|name| name.split(' ').next().unwrap_or_default());
        for name in names {
            let is_package = repository().join("crates").join(name).join("Cargo.toml").is_file();
            assert!(name == "none" || is_package, "{}: {} names no package", row["what"], row["mechanism"]);
        }
    }
}

#[test]
fn a_page_with_a_missing_or_unknown_marker_is_rejected() {
    let folder = TempFolder::new("markers");
    let error_text = |page: &str| fill_page(page, &folder.0).expect_err("an invalid page").to_string();
    let whole = page();
    assert!(error_text(&whole.replace("<!-- begin zone -->", "")).contains("no marker zone"));
    assert!(
        error_text(&whole.replace("<!-- begin zone -->", "<!-- begin zones -->"))
            .contains("zones is not known")
    );
    assert!(error_text("<!-- begin zone -->").contains("zone has no end"));
}

#[test]
fn numbers_are_rounded_up_and_written_without_an_exponent() {
    for (value, digits, shown) in [
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
        assert_eq!(format_number(round_up(value, digits)), shown);
    }
}
