//! A page or a record that is changed is found out, so that the checks can fail.

use std::collections::BTreeMap;

use quillpoint_testbed::capacity::asks::MEASURED_RECORD;
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::capacity::numbers::{format_number, round_up};
use quillpoint_testbed::record::{Line, Mode, read, write};

use crate::made_up_records::{changed, made, made_up, row, with_fits};
use crate::page_checker::{faults, number};

#[test]
fn what_a_page_claims_wrongly_is_found() {
    let (folder, page) = made("wrong", made_up());
    let bytes = "bytes in and out a second";
    let predicted = row(&page, "router", bytes, "feed, over routers");
    let linear = row(&page, "router", "processor time of control, cores", "feed, over databases");
    assert_eq!(linear["basis"], "measured");
    let product = row(&page, "control machine", bytes, "feed, over routers");
    let peak = row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    let unknown = row(&page, "router", "state of control, bytes", "feed, over routers");
    let list = row(&page, "discovery", "bytes of lists to all that come back", "listing.rs");
    let told = |page: &str, row: &BTreeMap<String, String>, cell: &str, to: &str, fault: &str| {
        let faults = faults(&changed(page, row, cell, to), &folder.0);
        // A row of both axes that rests on this one falls with it.
        let first = faults.first().map_or("", String::as_str);
        assert!(faults.len() <= 2 && first.ends_with(fault), "{cell} {to}: {faults:?}");
    };
    let less = |text: &str, by: f64| format_number(number(text).expect("a number") - by);
    // A figure changed by one.
    told(&page, &predicted, "figure", "4,425", "the figure is not its sum, rounded up");
    told(&page, &list, "figure", &less(&list["figure"], 1e7), "the figure is not its sum, rounded up");
    told(&page, &peak, "figure", "8,999,999", "the figure is not what was played");
    // A ratio rounded down.
    let down = less(&list["ratio"], 0.1);
    told(&page, &list, "ratio", &down, "the ratio is not figure over budget, rounded up");
    // Two instances were played, and there are eight machines.
    told(&page, &product, "ratio", "0.0113", "a ratio of other instances than there are");
    told(&page, &peak, "ratio", "at least 171", "the ratio is not figure over budget, rounded up");
    // A ratio where something was held below the target, and none where it is over its budget all the same.
    told(&page, &predicted, "ratio", "0.341", "a ratio of what was held below the target");
    told(
        &page,
        &predicted,
        "ratio",
        "at least 0.341",
        "what is within its budget below the target is no more than that",
    );
    told(&page, &peak, "ratio", "172", "a ratio of what was held below the target");
    told(&page, &peak, "ratio", "–", "what is over its budget below the target is not said to be");
    // A slope, an offset or a form that is not the record's.
    let (offset, slope) = product["sum"].split_once(" + ").expect("a sum");
    let (slope, sizes) = slope.split_once(" × ").expect("a product");
    let other = format!(
        "{offset} + {} × {sizes}",
        format_number(round_up(number(slope).expect("a slope") * 0.9999, 6))
    );
    told(&page, &product, "sum", &other, "the slope is not the record's");
    told(&page, &predicted, "sum", "4,425.9", "the offset is not the record's");
    told(&page, &predicted, "sum", "4,426 + 0 × 7,900", "the form is not the record's");
    // Claims beyond the record.
    told(&page, &predicted, "basis", "measured", "its record did not play that size");
    told(&page, &predicted, "basis", "simulated: predicted", "measured and simulated are mistaken");
    told(&page, &peak, "basis", "measured", "it is not said whether this is the target's size");
    told(
        &page,
        &peak,
        "at",
        "7,900 routers, 500 databases, 2 instances, period 0.15 s",
        "that fault was not played at that size",
    );
    told(&page, &unknown, "figure", "9,000,000", "a figure of what nobody has measured");
    told(&page, &predicted, "error", "–", "no error of the prediction");
    told(&page, &list, "mechanism", "", "a mechanism, or none, must be named");
    let elsewhere = predicted["record"].replace(MEASURED_RECORD, "other.jsonl");
    let found = faults(&changed(&page, &predicted, "record", &elsewhere), &folder.0);
    assert!(found.len() == 1 && found[0].contains("the record cannot be read"), "{found:?}");
    told(
        &page,
        &predicted,
        "record",
        &predicted["record"].replace("bytes_in", "beats_in"),
        "the record has no such figure",
    );
}

#[test]
fn what_a_record_does_not_bear_out_is_found() {
    let (folder, page) = made("changed", made_up());
    let path = folder.0.join(MEASURED_RECORD);
    let lines = read(&path).expect("read");
    // A run changed: its fits are old, for the generator and for the row.
    let mut other = lines.clone();
    if let Some(Line::Run { figures, .. }) =
        other.iter_mut().find(|line| matches!(line, Line::Run { sizes, .. } if sizes.mode == Mode::Feed))
    {
        figures.insert("router_bytes_in_s".to_string(), 4400.0);
    }
    write(&path, &other).expect("written");
    let error = fill_page(&page, &folder.0).expect_err("old fits").to_string();
    assert!(error.contains("run measure/fit"), "{error}");
    assert!(
        faults(&page, &folder.0)
            .iter()
            .any(|fault| fault.ends_with("the record's fit is not that of its runs"))
    );
    // The same with new fits: the page is of yesterday.
    let runs = |lines: &[Line]| {
        lines.iter().filter(|line| matches!(line, Line::Run { .. })).cloned().collect::<Vec<_>>()
    };
    write(&path, &with_fits(runs(&other))).expect("written");
    assert_ne!(fill_page(&page, &folder.0).expect("made"), page);
    assert!(!faults(&page, &folder.0).is_empty());
    // A largest size that says the form is wrong: a row that still predicts is found.
    let mut other = runs(&lines);
    for line in &mut other {
        if let Line::Run { sizes, figures, fault: None, .. } = line
            && (sizes.mode, sizes.routers) == (Mode::Feed, 4000)
        {
            figures.insert("router_bytes_in_s".to_string(), 9000.0);
        }
    }
    write(&path, &with_fits(other)).expect("written");
    let found = faults(&page, &folder.0);
    assert!(
        found.iter().any(|fault| fault.ends_with("the prediction rests on a form that is wrong")),
        "{found:?}"
    );
    let page = fill_page(&page, &folder.0).expect("made");
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over routers");
    assert_eq!((bytes["basis"].as_str(), bytes["ratio"].as_str()), ("not measured", "–"));
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    // No record at all.
    std::fs::remove_file(&path).expect("removed");
    assert!(faults(&page, &folder.0).iter().any(|fault| fault.contains("the record cannot be read")));
}
