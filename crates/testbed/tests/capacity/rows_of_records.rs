//! The rows that a record gives.

use quillpoint_testbed::capacity::asks::{MEASURED_RECORD, SIMULATED_RECORD};
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::record::{Bound, Line, Mode, write};

use crate::made_up_records::{
    SIZES, TempFolder, by_program, find_row, generated_page, made_up_lines, run, with_cell, with_fits,
};
use crate::page_checker::{page, parse_number, parse_rows, parse_tables, row_errors, run_parts};

#[test]
fn rows_show_what_the_records_support_and_no_more() {
    let (folder, page) = generated_page("whole", made_up_lines());
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let bytes = "bytes in and out a second";
    let shared = find_row(&page, "router", bytes, "shared, over databases");
    assert_eq!((shared["basis"].as_str(), shared["figure"].as_str()), ("measured", "3,750,000"));
    assert_eq!(shared["ratio"], "289");
    let memory = find_row(&page, "router", "memory of control, bytes", "feed, over databases");
    assert_eq!((memory["basis"].as_str(), memory["figure"].as_str()), ("measured", "6,400,000"));
    // Only 500 routers were run, so the measured figure has no ratio to the budget.
    assert_eq!((memory["budget"].as_str(), memory["ratio"].as_str()), ("64,000,000", "–"));
    // A constant over routers, predicted at a size that was not run.
    let feed = find_row(&page, "router", bytes, "feed, over routers");
    assert_eq!(
        (feed["basis"].as_str(), feed["sum"].as_str(), feed["figure"].as_str()),
        ("predicted", "4,426", "4,430")
    );
    // The runs had two instances. With as many followers as one of eight machines has, these serve 1,975
    // routers.
    let control = find_row(&page, "control machine", bytes, "feed, over routers");
    assert!(control["at"].starts_with("1,975 routers, 18,000 databases"), "{control:?}");
    assert!(control["sum"].ends_with("× 1,975 × 18,000"), "{control:?}");
    // A figure that falls with size is held at the largest measurement.
    let age = find_row(&page, "router", "age of what is known, p99, s", "feed, over routers");
    assert!(age["error"].ends_with("; held at the most played") && !age["sum"].contains('×'), "{age:?}");
    // A figure that jumps at the largest size is not predicted.
    let state = find_row(&page, "router", "state of control, bytes", "feed, over routers");
    assert_eq!((state["basis"].as_str(), state["figure"].as_str()), ("not measured", "–"));
    assert_eq!(state["error"], "under by 0.889 at 4,000: the form is wrong");
    // The fault at the largest size, with a budget of five times the calm figure of that size.
    let peak = find_row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    assert_eq!((peak["basis"].as_str(), peak["figure"].as_str()), ("measured below the target", "9,000,000"));
    assert_eq!((peak["budget"].as_str(), peak["ratio"].as_str()), ("52,500", "at least 172"));
    assert!(peak["at"].starts_with("4,000 routers, 500 databases"));
    let connection = find_row(&page, "client connection", "memory of one, bytes", "feed, over connections");
    assert_eq!((connection["basis"].as_str(), connection["figure"].as_str()), ("measured", "5,000"));
    // Without control instances, the bytes under sharing exceed their budget by the largest ratio.
    let order =
        parse_tables(&page).into_iter().find(|table| table[0][0] == "ratio").expect("the table of ratios");
    assert_eq!(&order[1][1..3], ["router", bytes]);
    let ratio =
        |row: &[String]| parse_number(row[0].trim_start_matches("at least ")).expect("a numeric ratio");
    assert!(order.windows(2).skip(1).all(|pair| ratio(&pair[0]) >= ratio(&pair[1])));
    assert!(page.contains(&format!("First: router, {bytes} (calm): ")));
}

/// Guards against an isolated region that looks too cheap. Its four machines probe a quarter of the databases
/// each, so runs with eight instances do not show its cost, even if they are newer.
#[test]
fn runs_with_as_many_instances_as_machines_take_precedence_over_newer_runs() {
    let runs_with = |instances: usize, cost: f64, program: Option<&str>| {
        let sizes =
            SIZES.map(|routers| (routers, 500)).into_iter().chain(SIZES.map(|databases| (500, databases)));
        let mut lines: Vec<Line> = sizes
            .map(|(routers, databases)| {
                let cpu = 0.01 + cost * databases as f64 + 1e-6 * routers as f64;
                run(Mode::Feed, routers, databases, None, &[("control_cpu_part", cpu)])
            })
            .collect();
        for line in &mut lines {
            if let Line::Run { sizes, program: name, .. } = line {
                (sizes.control, *name) = (instances, program.map(str::to_string));
            }
        }
        lines
    };
    let both = |first: Vec<Line>, then: Vec<Line>| {
        generated_page("instances", first.into_iter().chain(then).collect())
    };
    let what = "processor time, cores";
    let alone = "processor time, cores, 4 machines before 3,950 routers";
    let (folder, page) = both(runs_with(4, 5e-5, None), runs_with(8, 2e-5, Some("new")));
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let calm = find_row(&page, "control machine", what, "feed, over routers and databases, by new");
    assert!(parse_number(&calm["figure"]).is_some_and(|figure| figure < 0.8), "{calm:?}");
    let region = find_row(&page, "control machine", alone, "feed, over routers and databases");
    assert!(parse_number(&region["figure"]).is_some_and(|figure| figure > 0.9), "{region:?}");
    // Without runs of that many instances, the newest runs are used.
    let lost =
        find_row(&page, "control machine", "processor time, cores, 7 machines left", "databases, by new");
    assert!(parse_number(&lost["figure"]).is_some_and(|figure| figure < 0.5), "{lost:?}");
    // Among runs of that many instances, the newer ones are used.
    let (_, page) = both(runs_with(8, 5e-5, None), runs_with(8, 2e-5, Some("new")));
    find_row(&page, "control machine", what, "feed, over routers and databases, by new");
}

#[test]
fn a_figure_that_failed_calibration_is_not_used() {
    let mut lines = made_up_lines();
    for line in &mut lines {
        if let Line::Run { sizes, bounds, fault: None, .. } = line
            && (sizes.mode, sizes.databases) == (Mode::Feed, 18_000)
        {
            let figure = "calibration_memory_bytes".to_string();
            bounds.push(Bound { figure, value: 0.2, limit: 0.1, held: false });
        }
    }
    let (folder, page) = generated_page("calibration", lines);
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let memory = find_row(&page, "router", "memory of control, bytes", "feed, over databases");
    // The largest size is left out, so it is unknown how the figure grows from there on.
    assert_eq!((memory["basis"].as_str(), memory["figure"].as_str()), ("not measured", "–"));
    assert!(
        memory["error"].ends_with("; calibration failed at 18,000, and nothing is known beyond"),
        "{memory:?}"
    );
    let bytes = find_row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!(bytes["basis"], "measured");
    assert!(page.contains("calibration_memory_bytes 0.2 for 0.1 at 500 × 18,000"));
}

#[test]
fn runs_of_a_newer_program_get_rows_of_their_own() {
    let bytes = "bytes in and out a second";
    let control = |routers: usize, databases: usize, slope: f64| {
        let (n, m) = (routers as f64, databases as f64);
        let value = [("control_bytes_in_s", 500.0), ("control_bytes_out_s", 2000.0 + 300.0 * n + slope * m)];
        run(Mode::Feed, routers, databases, None, &value)
    };
    let databases = |slope: f64| SIZES.map(|databases| control(500, databases + 1, slope));
    let mut lines: Vec<Line> = SIZES.iter().map(|routers| control(*routers, 501, 300.0)).collect();
    lines.extend(databases(300.0));
    // A cheaper version that was run over databases only.
    let lean = by_program("a lean one", databases(30.0).to_vec());
    lines.extend(lean.clone());
    let (folder, page) = generated_page("programs", lines.clone());
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let of = |page: &str| -> Vec<(String, String)> {
        let rows = parse_rows(page).into_iter();
        let rows = rows.filter(|row| row["role"] == "control machine" && row["what"] == bytes);
        rows.map(|row| (row["record"].split(", ").skip(2).collect::<Vec<_>>().join(", "), row["sum"].clone()))
            .collect()
    };
    let found = of(&page);
    let places: Vec<&str> = found.iter().map(|(place, _)| place.as_str()).collect();
    assert_eq!(
        places,
        ["over databases, by a lean one", "over routers", "over databases", "over routers and databases"]
    );
    assert!(found[0].1.ends_with("+ 30 × 18,000") && found[2].1.ends_with("+ 300 × 18,000"), "{found:?}");
    // A row that cites the wrong program version is reported.
    let row = parse_rows(&page)
        .into_iter()
        .find(|row| row["record"].ends_with("databases, by a lean one"))
        .expect("the row");
    let wrong = row["record"].replace(", by a lean one", "");
    let found = row_errors(&with_cell(&page, &row, "record", &wrong), &folder.0);
    assert!(
        found
            .iter()
            .any(|error| error
                .ends_with("the prediction is less than a measurement at a size that is not larger")),
        "{found:?}"
    );
    // Once the newer version has runs over routers too, the first version has no rows any more.
    lines
        .extend(by_program("a lean one", SIZES.iter().map(|routers| control(*routers, 501, 30.0)).collect()));
    let (folder, page) = generated_page("newest", lines);
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let places: Vec<String> = of(&page).into_iter().map(|(place, _)| place).collect();
    assert!(places.len() == 3 && places.iter().all(|place| place.ends_with(", by a lean one")), "{places:?}");
    assert!(page.contains("| scale.jsonl | a lean one | feed | calm | 10 |"));
}

#[test]
fn a_fault_row_uses_the_newest_program_and_cuts_that_include_control_instances() {
    let cut =
        |databases: usize, figures: &[(&str, f64)]| run(Mode::Feed, 2000, databases, Some("cut"), figures);
    let peak = |value: f64| ("peak_control_bytes_s", value);
    let what = "peak, bytes a second, at healing";
    let mut lines = vec![cut(500, &[peak(9e6)]), cut(500, &[peak(8e6)])];
    let shown = |name: &str, lines: &[Line]| {
        let folder = TempFolder::new(name);
        write(&folder.0.join(MEASURED_RECORD), lines).expect("the record can be written");
        let page = fill_page(&page(), &folder.0).expect("the page can be generated");
        assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
        let row = parse_rows(&page).into_iter().find(|row| row["what"] == what).expect("the row");
        (
            row["at"].split("; ").nth(1).unwrap_or_default().to_string(),
            row["figure"].clone(),
            row["record"].clone(),
        )
    };
    let expected = |at: &str, figure: &str, by: &str| {
        let record = format!("{MEASURED_RECORD}: peak_control_bytes_s, feed, cut{by}");
        (at.to_string(), figure.to_string(), record)
    };
    let routers_alone = "the instances not cut";
    assert_eq!(shown("cut-once", &lines), expected(routers_alone, "9,000,000", ""));
    // The newest version is used at the same size, but not its run at a smaller size.
    lines.extend(by_program("lean", vec![cut(500, &[peak(7e6)]), cut(250, &[peak(1e7)])]));
    assert_eq!(shown("cut-newer", &lines), expected(routers_alone, "7,000,000", ", by lean"));
    // A cut that also separates the control instances takes precedence.
    lines.push(cut(500, &[peak(6e6), ("agree_max_s", 1.0)]));
    assert_eq!(shown("cut-whole", &lines), expected("", "6,000,000", ""));
}

#[test]
fn a_figure_at_another_probe_period_has_no_ratio() {
    let mut lines = made_up_lines();
    for line in &mut lines {
        if let Line::Run { sizes, figures, .. } = line {
            sizes.period_s = 2.0;
            figures.extend((sizes.mode == Mode::Feed).then(|| ("database_probes_s".to_string(), 0.5)));
        }
    }
    let (folder, page) = generated_page("period", lines);
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let probes = find_row(&page, "database", "probes a second", "feed, over databases");
    assert_eq!((probes["basis"].as_str(), probes["ratio"].as_str()), ("measured at another period", "–"));
    let age = find_row(&page, "router", "age of what is known, p99, s", "feed, over routers");
    assert_eq!((age["basis"].as_str(), age["ratio"].as_str()), ("predicted at another period", "–"));
    // The bytes that the feed sends to a router do not depend on the probe period.
    let bytes = find_row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!(bytes["basis"], "measured");
    let peak = find_row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    assert_eq!(peak["basis"], "measured below the target at another period");
    let found = row_errors(&with_cell(&page, &probes, "basis", "measured"), &folder.0);
    assert!(
        found
            .iter()
            .any(|error| error.ends_with("the basis does not agree with the probe period of the runs")),
        "{found:?}"
    );
}

#[test]
fn without_records_nothing_is_measured() {
    let folder = TempFolder::new("none");
    let page = fill_page(&page(), &folder.0).expect("the page can be generated");
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let rows = parse_rows(&page);
    assert!(rows.iter().all(|row| matches!(row["basis"].as_str(), "not measured" | "computed")));
    assert!(rows.iter().any(|row| row["error"] == "no run"));
    // Three sizes are not enough for a fit either.
    let few = made_up_lines()
        .into_iter()
        .filter(|line| run_parts(line).is_some_and(|(_, sizes, _)| sizes.routers <= 1000));
    let few = few.filter(|line| run_parts(line).is_some_and(|(_, sizes, _)| sizes.databases <= 1000));
    let (folder, page) = generated_page("few", few.collect());
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let bytes = find_row(&page, "router", "bytes in and out a second", "feed, over routers");
    assert_eq!(
        (bytes["basis"].as_str(), bytes["error"].as_str()),
        ("not measured", "sizes played: 3, needed: 4")
    );
}

#[test]
fn runs_without_processes_are_marked_as_simulated() {
    let folder = TempFolder::new("simulated");
    let mut lines = Vec::new();
    for (routers, nodes) in [(50, 250), (50, 500), (50, 1000), (50, 2000), (25, 250), (100, 250), (200, 250)]
    {
        let bytes = 23_000.0 + 208.0 * nodes as f64 + 100.0 * routers as f64;
        let mut line = run(Mode::Shared, routers, nodes, None, &[("router_bytes_out_s", bytes)]);
        if let Line::Run { sizes, .. } = &mut line {
            (sizes.real, sizes.hollow_processes, sizes.control) = (0, 0, 0);
        }
        lines.push(line);
    }
    write(&folder.0.join(SIMULATED_RECORD), &with_fits(lines)).expect("the record can be written");
    let page = fill_page(&page(), &folder.0).expect("the page can be generated");
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let sent = "bytes sent a second";
    let one = find_row(&page, "router", sent, "shared, over databases");
    assert_eq!(
        (one["basis"].as_str(), one["sum"].as_str()),
        ("simulated: predicted", "28,000 + 208 × 18,000")
    );
    assert_eq!((one["figure"].as_str(), one["ratio"].as_str()), ("3,780,000", "at least 291"));
    let both = find_row(&page, "router", sent, "shared, over routers and databases");
    assert_eq!(
        (both["basis"].as_str(), both["sum"].as_str()),
        ("simulated: computed", "101,000 + 3,780,000 + 1,491,000 − 80,000")
    );
    let found = row_errors(&with_cell(&page, &one, "basis", "predicted"), &folder.0);
    assert!(
        found.len() == 1 && found[0].ends_with("the basis confuses measured and simulated runs"),
        "{found:?}"
    );
    let found =
        row_errors(&with_cell(&page, &both, "sum", "100,000 + 3,780,000 + 1,491,000 − 80,000"), &folder.0);
    assert!(found.len() == 1, "{found:?}");
}

#[test]
fn simulated_feed_rows_are_listed_with_those_of_processes() {
    let folder = TempFolder::new("both");
    let simulate = |mut line: Line| {
        if let Line::Run { sizes, .. } = &mut line {
            (sizes.real, sizes.hollow_processes) = (0, 0);
        }
        line
    };
    let peaks = [("follow_max_s", 1.25)];
    let lines = vec![
        run(Mode::Feed, 7900, 18_000, None, &[("router_bytes_in_s", 9000.0), ("router_bytes_out_s", 50.0)]),
        run(Mode::Feed, 7900, 18_000, Some("restart"), &peaks),
    ];
    write(&folder.0.join(SIMULATED_RECORD), &lines.into_iter().map(simulate).collect::<Vec<_>>())
        .expect("the record can be written");
    write(&folder.0.join(MEASURED_RECORD), &[run(Mode::Feed, 400, 400, Some("restart"), &peaks)])
        .expect("the record can be written");
    let page = fill_page(&page(), &folder.0).expect("the page can be generated");
    assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
    let bytes = find_row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!((bytes["basis"].as_str(), bytes["figure"].as_str()), ("simulated", "9,050"));
    let bases: Vec<String> = parse_rows(&page)
        .into_iter()
        .filter(|row| row["what"] == "time until all follow again, a sixth restarted, s")
        .map(|row| row["basis"].clone())
        .collect();
    assert_eq!(bases, ["measured below the target", "simulated"]);
}

#[test]
fn runs_off_both_axes_confirm_or_refute_a_combination_of_axes() {
    let what = "processor time of control, cores";
    let crossing = |name: &str, off: &[(usize, usize, f64)]| {
        let mut lines = Vec::new();
        // Linear over either axis, with a part that grows with both and a part that does not.
        let figure_at = |n: f64, m: f64| 0.001 + 1e-6 * n + 3e-6 * m + 1e-9 * n * m;
        for routers in SIZES {
            lines.push((routers, 500));
            lines.push((500, routers + 1));
        }
        let mut lines: Vec<Line> = lines
            .into_iter()
            .map(|(n, m)| run(Mode::Feed, n, m, None, &[("router_cpu_part", figure_at(n as f64, m as f64))]))
            .collect();
        lines.extend(
            off.iter().map(|(n, m, value)| run(Mode::Feed, *n, *m, None, &[("router_cpu_part", *value)])),
        );
        let (folder, page) = generated_page(name, lines);
        assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
        let row = find_row(&page, "router", what, "feed, over routers and databases");
        (folder, page, row)
    };
    let (_, _, alone) = crossing("crossing", &[]);
    assert_eq!((alone["basis"].as_str(), alone["error"].as_str()), ("computed", "–"));
    // The figure is at least the true one at the target.
    assert!(parse_number(&alone["figure"]) >= Some(0.001 + 0.0079 + 0.054 + 0.1422), "{alone:?}");
    let (folder, page, confirmed) = crossing("borne-out", &[(2000, 2000, 0.013)]);
    assert_eq!(confirmed["figure"], alone["figure"]);
    assert!(confirmed["error"].ends_with(" at 2,000 routers and 2,000 databases"), "{confirmed:?}");
    let found = row_errors(&with_cell(&page, &confirmed, "error", "–"), &folder.0);
    assert!(
        found.len() == 1 && found[0].ends_with("the error is not that of the runs off both axes"),
        "{found:?}"
    );
    // The smaller run shows how much grows with both, and the larger one whether that holds.
    let both = [(1000, 1000, 0.006), (2000, 2000, 0.013)];
    let (folder, page, shared) = crossing("shared", &both);
    assert_eq!(
        shared["error"],
        "over by 0.001 at 2,000 routers and 2,000 databases; both at 0.334 of the most"
    );
    assert!(parse_number(&shared["figure"]) >= Some(0.001 + 0.0079 + 0.054 + 0.1422), "{shared:?}");
    assert!(parse_number(&shared["figure"]) < parse_number(&alone["figure"]));
    let less = shared["error"].replace("0.334", "0.3");
    let found = row_errors(&with_cell(&page, &shared, "error", &less), &folder.0);
    assert!(found.len() == 1 && found[0].ends_with("shows a larger part that grows with both"), "{found:?}");
    let (_, _, refuted) = crossing("too-much", &[(1000, 1000, 0.006), (2000, 2000, 0.02)]);
    assert_eq!((refuted["basis"].as_str(), refuted["figure"].as_str()), ("not measured", "–"));
    let (_, _, refuted) = crossing("refuted", &[(2000, 2000, 0.03)]);
    assert_eq!((refuted["basis"].as_str(), refuted["figure"].as_str()), ("not measured", "–"));
    assert!(refuted["error"].ends_with(": the crossing is wrong"), "{refuted:?}");
}

#[test]
fn a_completion_time_is_not_shown_if_some_routers_did_not_finish() {
    let restart = |routers: usize, missing: f64| {
        run(Mode::Feed, routers, 500, Some("restart"), &[("follow_max_s", 0.5), ("follow_missing", missing)])
    };
    let shown = |name: &str, lines: &[Line]| {
        let folder = TempFolder::new(name);
        write(&folder.0.join(MEASURED_RECORD), lines).expect("the record can be written");
        let page = fill_page(&page(), &folder.0).expect("the page can be generated");
        assert_eq!(row_errors(&page, &folder.0), Vec::<String>::new());
        find_row(&page, "router", "time until all follow again, a sixth restarted, s", "feed, restart")
    };
    let all = shown("all-follow", &[restart(1000, 0.0), restart(2000, 0.0)]);
    assert_eq!((all["figure"].as_str(), all["basis"].as_str()), ("0.5", "measured below the target"));
    // Neither the smaller run in which all finished nor another run of the same size replaces the one in
    // which three did not.
    let some = shown("some-follow", &[restart(1000, 0.0), restart(2000, 0.0), restart(2000, 3.0)]);
    assert_eq!((some["figure"].as_str(), some["basis"].as_str()), ("–", "not measured"));
    assert_eq!(some["error"], "3 had not when the run ended");
    assert!(some["at"].starts_with("2,000 routers"), "{some:?}");
}
