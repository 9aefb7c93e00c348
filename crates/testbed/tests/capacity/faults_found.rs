//! The row checks find a changed page and a changed record.

use std::collections::BTreeMap;

use quillpoint_testbed::capacity::asks::MEASURED_RECORD;
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::capacity::numbers::{format_number, round_up};
use quillpoint_testbed::record::{Line, Mode, read, write};

use crate::made_up_records::{find_row, generated_page, made_up_lines, with_cell, with_fits};
use crate::page_checker::{parse_number, row_errors};

#[test]
fn a_changed_cell_is_reported_with_its_error() {
    let (folder, page) = generated_page("wrong", made_up_lines());
    let bytes = "bytes in and out a second";
    let predicted = find_row(&page, "router", bytes, "feed, over routers");
    let linear = find_row(&page, "router", "processor time of control, cores", "feed, over databases");
    assert_eq!(linear["basis"], "measured");
    let product = find_row(&page, "control machine", bytes, "feed, over routers");
    let peak = find_row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    let unknown = find_row(&page, "router", "state of control, bytes", "feed, over routers");
    let list = find_row(&page, "discovery", "bytes of lists to all that come back", "listing.rs");
    let assert_reported =
        |page: &str, row: &BTreeMap<String, String>, cell: &str, to: &str, expected: &str| {
            let errors = row_errors(&with_cell(page, row, cell, to), &folder.0);
            // A row of both axes that is computed from this one is reported as well.
            let first = errors.first().map_or("", String::as_str);
            assert!(
                errors.len() <= 2 && first.ends_with(expected),
                "with {cell} set to {to}, expected an error that ends with {expected:?}, found {errors:?}"
            );
        };
    let less = |text: &str, by: f64| format_number(parse_number(text).expect("a number") - by);
    // A figure that is changed by one.
    assert_reported(&page, &predicted, "figure", "4,425", "the figure is not its sum rounded up");
    assert_reported(
        &page,
        &list,
        "figure",
        &less(&list["figure"], 1e7),
        "the figure is not its sum rounded up",
    );
    assert_reported(&page, &peak, "figure", "8,999,999", "the figure is not the measured one");
    // A ratio that is rounded down.
    let down = less(&list["ratio"], 0.1);
    assert_reported(&page, &list, "ratio", &down, "the ratio is not figure divided by budget, rounded up");
    // The runs had two instances, and there are eight machines.
    assert_reported(
        &page,
        &product,
        "ratio",
        "0.0113",
        "the ratio is for another number of instances than there are machines",
    );
    assert_reported(
        &page,
        &peak,
        "ratio",
        "at least 171",
        "the ratio is not figure divided by budget, rounded up",
    );
    // A ratio although sizes were held below the target, and a missing ratio although the figure exceeds its
    // budget even there.
    assert_reported(&page, &predicted, "ratio", "0.341", "the ratio is for sizes below the target");
    assert_reported(
        &page,
        &predicted,
        "ratio",
        "at least 0.341",
        "a figure within its budget below the target has a ratio",
    );
    assert_reported(&page, &peak, "ratio", "172", "the ratio is for sizes below the target");
    assert_reported(&page, &peak, "ratio", "–", "a figure over its budget below the target has no ratio");
    // A slope, an offset or a form that differs from the record.
    let (offset, slope) = product["sum"].split_once(" + ").expect("a sum");
    let (slope, sizes) = slope.split_once(" × ").expect("a product");
    let changed_sum = format!(
        "{offset} + {} × {sizes}",
        format_number(round_up(parse_number(slope).expect("a slope") * 0.9999, 6))
    );
    assert_reported(&page, &product, "sum", &changed_sum, "the slope differs from the record");
    assert_reported(&page, &predicted, "sum", "4,425.9", "the offset differs from the record");
    assert_reported(&page, &predicted, "sum", "4,426 + 0 × 7,900", "the form differs from the record");
    // Claims that the record does not support.
    assert_reported(&page, &predicted, "basis", "measured", "the record has no run at that size");
    assert_reported(
        &page,
        &predicted,
        "basis",
        "simulated: predicted",
        "the basis confuses measured and simulated runs",
    );
    assert_reported(
        &page,
        &peak,
        "basis",
        "measured",
        "the basis does not say whether the size is below the target",
    );
    assert_reported(
        &page,
        &peak,
        "at",
        "7,900 routers, 500 databases, 2 instances, period 0.15 s",
        "the record has no run with that fault at that size",
    );
    assert_reported(&page, &unknown, "figure", "9,000,000", "a row that is not measured has a figure");
    assert_reported(&page, &predicted, "error", "–", "the prediction has no error");
    assert_reported(&page, &list, "mechanism", "", "the mechanism is missing");
    let elsewhere = predicted["record"].replace(MEASURED_RECORD, "other.jsonl");
    let found = row_errors(&with_cell(&page, &predicted, "record", &elsewhere), &folder.0);
    assert!(found.len() == 1 && found[0].contains("the record cannot be read"), "{found:?}");
    assert_reported(
        &page,
        &predicted,
        "record",
        &predicted["record"].replace("bytes_in", "beats_in"),
        "the record has no such figure",
    );
}

#[test]
fn a_page_that_disagrees_with_a_changed_record_is_reported() {
    let (folder, page) = generated_page("changed", made_up_lines());
    let path = folder.0.join(MEASURED_RECORD);
    let lines = read(&path).expect("the record can be read");
    // A run is changed: both the generator and the row check reject the old fits.
    let mut changed_lines = lines.clone();
    if let Some(Line::Run { figures, .. }) = changed_lines
        .iter_mut()
        .find(|line| matches!(line, Line::Run { sizes, .. } if sizes.mode == Mode::Feed))
    {
        figures.insert("router_bytes_in_s".to_string(), 4400.0);
    }
    write(&path, &changed_lines).expect("the record can be written");
    let error = fill_page(&page, &folder.0).expect_err("a record with old fits").to_string();
    assert!(error.contains("run measure/fit"), "{error}");
    assert!(
        row_errors(&page, &folder.0)
            .iter()
            .any(|error| error.ends_with("the record lacks the fit of its runs"))
    );
    // The changed runs with new fits: the page is out of date.
    let runs = |lines: &[Line]| {
        lines.iter().filter(|line| matches!(line, Line::Run { .. })).cloned().collect::<Vec<_>>()
    };
    write(&path, &with_fits(runs(&changed_lines))).expect("the record can be written");
    assert_ne!(fill_page(&page, &folder.0).expect("the page can be generated"), page);
    assert!(!row_errors(&page, &folder.0).is_empty());
    // The largest size refutes the form: a row that still predicts is reported.
    let mut changed_lines = runs(&lines);
    for line in &mut changed_lines {
        if let Line::Run { sizes, figures, fault: None, .. } = line
            && (sizes.mode, sizes.routers) == (Mode::Feed, 4000)
        {
            figures.insert("router_bytes_in_s".to_string(), 9000.0);
        }
    }
    write(&path, &with_fits(changed_lines)).expect("the record can be written");
    let found = row_errors(&page, &folder.0);
    assert!(
        found.iter().any(|error| error.ends_with("the prediction uses a form that the largest size refutes")),
        "{found:?}"
    );
    let page = fill_page(&page, &folder.0).expect("the page can be generated");
    let bytes = find_row(&page, "router", "bytes in and out a second", "feed, over routers");
    assert_eq!((bytes["basis"].as_str(), bytes["ratio"].as_str()), ("not measured", "–"));
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    // The record is missing.
    std::fs::remove_file(&path).expect("the record can be removed");
    assert!(row_errors(&page, &folder.0).iter().any(|error| error.contains("the record cannot be read")));
}
