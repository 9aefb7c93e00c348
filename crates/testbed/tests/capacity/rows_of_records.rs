//! Which row a record gives.

use quillpoint_testbed::capacity::asks::{MEASURED_RECORD, SIMULATED_RECORD};
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::record::{Bound, Line, Mode, write};

use crate::made_up_records::{Folder, SIZES, by_program, changed, made, made_up, row, run, with_fits};
use crate::page_checker::{faults, number, of_run, page, rows, tables};

#[test]
fn rows_are_made_of_the_records_as_far_as_they_go() {
    let (folder, page) = made("whole", made_up());
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let bytes = "bytes in and out a second";
    let shared = row(&page, "router", bytes, "shared, over databases");
    assert_eq!((shared["basis"].as_str(), shared["figure"].as_str()), ("measured", "3,750,000"));
    assert_eq!(shared["ratio"], "289");
    let memory = row(&page, "router", "memory of control, bytes", "feed, over databases");
    assert_eq!((memory["basis"].as_str(), memory["figure"].as_str()), ("measured", "6,400,000"));
    // 500 routers were held: that says nothing of the budget, though it was played.
    assert_eq!((memory["budget"].as_str(), memory["ratio"].as_str()), ("64,000,000", "–"));
    // A constant over routers, at a size that was not played.
    let feed = row(&page, "router", bytes, "feed, over routers");
    assert_eq!(
        (feed["basis"].as_str(), feed["sum"].as_str(), feed["figure"].as_str()),
        ("predicted", "4,426", "4,430")
    );
    // Two instances were played: the followers of one of eight machines are those of 1,975 routers there.
    let control = row(&page, "control machine", bytes, "feed, over routers");
    assert!(control["at"].starts_with("1,975 routers, 18,000 databases"), "{control:?}");
    assert!(control["sum"].ends_with("× 1,975 × 18,000"), "{control:?}");
    // What falls with size is held.
    let age = row(&page, "router", "age of what is known, p99, s", "feed, over routers");
    assert!(age["error"].ends_with("; held at the most played") && !age["sum"].contains('×'), "{age:?}");
    // A jump at the largest size.
    let state = row(&page, "router", "state of control, bytes", "feed, over routers");
    assert_eq!((state["basis"].as_str(), state["figure"].as_str()), ("not measured", "–"));
    assert_eq!(state["error"], "under by 0.889 at 4,000: the form is wrong");
    // The largest fault played, beside five times the calm of that size.
    let peak = row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    assert_eq!((peak["basis"].as_str(), peak["figure"].as_str()), ("measured below the target", "9,000,000"));
    assert_eq!((peak["budget"].as_str(), peak["ratio"].as_str()), ("52,500", "at least 172"));
    assert!(peak["at"].starts_with("4,000 routers, 500 databases"));
    let connection = row(&page, "client connection", "memory of one, bytes", "feed, over connections");
    assert_eq!((connection["basis"].as_str(), connection["figure"].as_str()), ("measured", "5,000"));
    // Bytes under sharing lead what is missing without control instances.
    let order = tables(&page).into_iter().find(|table| table[0][0] == "ratio").expect("the order");
    assert_eq!(&order[1][1..3], ["router", bytes]);
    let ratio = |row: &[String]| number(row[0].trim_start_matches("at least ")).expect("a ratio");
    assert!(order.windows(2).skip(1).all(|pair| ratio(&pair[0]) >= ratio(&pair[1])));
    assert!(page.contains(&format!("First: router, {bytes} (calm): ")));
}

/// Guards against a region alone, whose four machines probe a quarter of the databases each, that passes for as cheap as
/// four of eight, since runs of eight are newer.
#[test]
fn runs_of_as_many_instances_as_there_are_machines_come_before_newer_ones_of_others() {
    let played = |instances: usize, cost: f64, program: Option<&str>| {
        let sizes =
            SIZES.map(|routers| (routers, 500)).into_iter().chain(SIZES.map(|databases| (500, databases)));
        let mut lines: Vec<Line> = sizes
            .map(|(routers, databases)| {
                let cpu = 0.01 + cost * databases as f64 + 1e-6 * routers as f64;
                run(Mode::Feed, routers, databases, None, &[("control_cpu_part", cpu)])
            })
            .collect();
        for line in &mut lines {
            if let Line::Run { sizes, program: by, .. } = line {
                (sizes.control, *by) = (instances, program.map(str::to_string));
            }
        }
        lines
    };
    let both = |first: Vec<Line>, then: Vec<Line>| made("instances", first.into_iter().chain(then).collect());
    let what = "processor time, cores";
    let alone = "processor time, cores, 4 machines before 3,950 routers";
    let (folder, page) = both(played(4, 5e-5, None), played(8, 2e-5, Some("new")));
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let calm = row(&page, "control machine", what, "feed, over routers and databases, by new");
    assert!(number(&calm["figure"]).is_some_and(|is| is < 0.8), "{calm:?}");
    let region = row(&page, "control machine", alone, "feed, over routers and databases");
    assert!(number(&region["figure"]).is_some_and(|is| is > 0.9), "{region:?}");
    // Where there are none of as many, the newest.
    let lost = row(&page, "control machine", "processor time, cores, 7 machines left", "databases, by new");
    assert!(number(&lost["figure"]).is_some_and(|is| is < 0.5), "{lost:?}");
    // Of as many, the newer.
    let (_, page) = both(played(8, 5e-5, None), played(8, 2e-5, Some("new")));
    row(&page, "control machine", what, "feed, over routers and databases, by new");
}

#[test]
fn a_figure_on_which_calibration_failed_counts_for_nothing() {
    let mut lines = made_up();
    for line in &mut lines {
        if let Line::Run { sizes, bounds, fault: None, .. } = line
            && (sizes.mode, sizes.databases) == (Mode::Feed, 18_000)
        {
            let figure = "calibration_memory_bytes".to_string();
            bounds.push(Bound { figure, value: 0.2, limit: 0.1, held: false });
        }
    }
    let (folder, page) = made("calibration", lines);
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let memory = row(&page, "router", "memory of control, bytes", "feed, over databases");
    // What was left out is the largest size: how the figure grows from there on nobody knows.
    assert_eq!((memory["basis"].as_str(), memory["figure"].as_str()), ("not measured", "–"));
    assert!(
        memory["error"].ends_with("; calibration failed at 18,000, and nothing is known beyond"),
        "{memory:?}"
    );
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!(bytes["basis"], "measured");
    assert!(page.contains("calibration_memory_bytes 0.2 for 0.1 at 500 × 18,000"));
}

#[test]
fn a_newer_programs_runs_stand_beside_the_older_ones_and_never_among_them() {
    let bytes = "bytes in and out a second";
    let control = |routers: usize, databases: usize, slope: f64| {
        let (n, m) = (routers as f64, databases as f64);
        let is = [("control_bytes_in_s", 500.0), ("control_bytes_out_s", 2000.0 + 300.0 * n + slope * m)];
        run(Mode::Feed, routers, databases, None, &is)
    };
    let databases = |slope: f64| SIZES.map(|databases| control(500, databases + 1, slope));
    let mut lines: Vec<Line> = SIZES.iter().map(|routers| control(*routers, 501, 300.0)).collect();
    lines.extend(databases(300.0));
    // Cheaper, and played over databases alone.
    let lean = by_program("a lean one", databases(30.0).to_vec());
    lines.extend(lean.clone());
    let (folder, page) = made("programs", lines.clone());
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let of = |page: &str| -> Vec<(String, String)> {
        let rows = rows(page).into_iter();
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
    // What the first program had is not told as the newer one's, nor the other way round.
    let row =
        rows(&page).into_iter().find(|row| row["record"].ends_with("databases, by a lean one")).expect("it");
    let wrong = row["record"].replace(", by a lean one", "");
    let found = faults(&changed(&page, &row, "record", &wrong), &folder.0);
    assert!(
        found.iter().any(|fault| fault.ends_with("the prediction is less than what was played")),
        "{found:?}"
    );
    // Once it was played over routers too, the first is history.
    lines
        .extend(by_program("a lean one", SIZES.iter().map(|routers| control(*routers, 501, 30.0)).collect()));
    let (folder, page) = made("newest", lines);
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let places: Vec<String> = of(&page).into_iter().map(|(place, _)| place).collect();
    assert!(places.len() == 3 && places.iter().all(|place| place.ends_with(", by a lean one")), "{places:?}");
    assert!(page.contains("| scale.jsonl | a lean one | feed | calm | 10 |"));
}

#[test]
fn a_fault_is_shown_as_the_newest_program_and_the_whole_cut_left_it() {
    let cut =
        |databases: usize, figures: &[(&str, f64)]| run(Mode::Feed, 2000, databases, Some("cut"), figures);
    let peak = |is: f64| ("peak_control_bytes_s", is);
    let what = "peak, bytes a second, at healing";
    let mut lines = vec![cut(500, &[peak(9e6)]), cut(500, &[peak(8e6)])];
    let shown = |name: &str, lines: &[Line]| {
        let folder = Folder::new(name);
        write(&folder.0.join(MEASURED_RECORD), lines).expect("written");
        let page = fill_page(&page(), &folder.0).expect("made");
        assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
        let row = rows(&page).into_iter().find(|row| row["what"] == what).expect("it");
        (
            row["at"].split("; ").nth(1).unwrap_or_default().to_string(),
            row["figure"].clone(),
            row["record"].clone(),
        )
    };
    let told = |at: &str, figure: &str, by: &str| {
        let record = format!("{MEASURED_RECORD}: peak_control_bytes_s, feed, cut{by}");
        (at.to_string(), figure.to_string(), record)
    };
    let routers_alone = "the instances not cut";
    assert_eq!(shown("cut-once", &lines), told(routers_alone, "9,000,000", ""));
    // At the same size the newest counts, at a smaller one not.
    lines.extend(by_program("lean", vec![cut(500, &[peak(7e6)]), cut(250, &[peak(1e7)])]));
    assert_eq!(shown("cut-newer", &lines), told(routers_alone, "7,000,000", ", by lean"));
    // A cut that parts the control instances too is the one that is asked for.
    lines.push(cut(500, &[peak(6e6), ("agree_max_s", 1.0)]));
    assert_eq!(shown("cut-whole", &lines), told("", "6,000,000", ""));
}

#[test]
fn what_was_played_at_another_period_is_beside_no_budget() {
    let mut lines = made_up();
    for line in &mut lines {
        if let Line::Run { sizes, figures, .. } = line {
            sizes.period_s = 2.0;
            figures.extend((sizes.mode == Mode::Feed).then(|| ("database_probes_s".to_string(), 0.5)));
        }
    }
    let (folder, page) = made("period", lines);
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let probes = row(&page, "database", "probes a second", "feed, over databases");
    assert_eq!((probes["basis"].as_str(), probes["ratio"].as_str()), ("measured at another period", "–"));
    let age = row(&page, "router", "age of what is known, p99, s", "feed, over routers");
    assert_eq!((age["basis"].as_str(), age["ratio"].as_str()), ("predicted at another period", "–"));
    // What a router is sent by the feed is not told by probes.
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!(bytes["basis"], "measured");
    let peak = row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    assert_eq!(peak["basis"], "measured below the target at another period");
    let found = faults(&changed(&page, &probes, "basis", "measured"), &folder.0);
    assert!(found.iter().any(|fault| fault.ends_with("a figure of another period")), "{found:?}");
}

#[test]
fn without_records_nothing_is_measured() {
    let folder = Folder::new("none");
    let page = fill_page(&page(), &folder.0).expect("made");
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let rows = rows(&page);
    assert!(rows.iter().all(|row| matches!(row["basis"].as_str(), "not measured" | "computed")));
    assert!(rows.iter().any(|row| row["error"] == "no run"));
    // Three sizes are none either.
    let few =
        made_up().into_iter().filter(|line| of_run(line).is_some_and(|(_, sizes, _)| sizes.routers <= 1000));
    let few = few.filter(|line| of_run(line).is_some_and(|(_, sizes, _)| sizes.databases <= 1000));
    let (folder, page) = made("few", few.collect());
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over routers");
    assert_eq!(
        (bytes["basis"].as_str(), bytes["error"].as_str()),
        ("not measured", "sizes played: 3, needed: 4")
    );
}

#[test]
fn runs_without_processes_are_called_simulated() {
    let folder = Folder::new("simulated");
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
    write(&folder.0.join(SIMULATED_RECORD), &with_fits(lines)).expect("written");
    let page = fill_page(&page(), &folder.0).expect("made");
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let sent = "bytes sent a second";
    let one = row(&page, "router", sent, "shared, over databases");
    assert_eq!(
        (one["basis"].as_str(), one["sum"].as_str()),
        ("simulated: predicted", "28,000 + 208 × 18,000")
    );
    assert_eq!((one["figure"].as_str(), one["ratio"].as_str()), ("3,780,000", "at least 291"));
    let both = row(&page, "router", sent, "shared, over routers and databases");
    assert_eq!(
        (both["basis"].as_str(), both["sum"].as_str()),
        ("simulated: computed", "101,000 + 3,780,000 + 1,491,000 − 80,000")
    );
    let found = faults(&changed(&page, &one, "basis", "predicted"), &folder.0);
    assert!(found.len() == 1 && found[0].ends_with("measured and simulated are mistaken"), "{found:?}");
    let found = faults(&changed(&page, &both, "sum", "100,000 + 3,780,000 + 1,491,000 − 80,000"), &folder.0);
    assert!(found.len() == 1, "{found:?}");
}

#[test]
fn what_the_lab_played_of_the_feed_stands_beside_what_processes_did() {
    let folder = Folder::new("both");
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
        .expect("written");
    write(&folder.0.join(MEASURED_RECORD), &[run(Mode::Feed, 400, 400, Some("restart"), &peaks)])
        .expect("written");
    let page = fill_page(&page(), &folder.0).expect("made");
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!((bytes["basis"].as_str(), bytes["figure"].as_str()), ("simulated", "9,050"));
    let bases: Vec<String> = rows(&page)
        .into_iter()
        .filter(|row| row["what"] == "time until all follow again, a sixth restarted, s")
        .map(|row| row["basis"].clone())
        .collect();
    assert_eq!(bases, ["measured below the target", "simulated"]);
}

#[test]
fn runs_off_both_axes_bear_a_crossing_out_or_refute_it() {
    let what = "processor time of control, cores";
    let crossing = |name: &str, off: &[(usize, usize, f64)]| {
        let mut lines = Vec::new();
        // A line over either, with a part that grows with both and one that does not.
        let truth = |n: f64, m: f64| 0.001 + 1e-6 * n + 3e-6 * m + 1e-9 * n * m;
        for routers in SIZES {
            lines.push((routers, 500));
            lines.push((500, routers + 1));
        }
        let mut lines: Vec<Line> = lines
            .into_iter()
            .map(|(n, m)| run(Mode::Feed, n, m, None, &[("router_cpu_part", truth(n as f64, m as f64))]))
            .collect();
        lines.extend(off.iter().map(|(n, m, is)| run(Mode::Feed, *n, *m, None, &[("router_cpu_part", *is)])));
        let (folder, page) = made(name, lines);
        assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
        let row = row(&page, "router", what, "feed, over routers and databases");
        (folder, page, row)
    };
    let (_, _, alone) = crossing("crossing", &[]);
    assert_eq!((alone["basis"].as_str(), alone["error"].as_str()), ("computed", "–"));
    // No less than the truth at the target.
    assert!(number(&alone["figure"]) >= Some(0.001 + 0.0079 + 0.054 + 0.1422), "{alone:?}");
    let (folder, page, borne_out) = crossing("borne-out", &[(2000, 2000, 0.013)]);
    assert_eq!(borne_out["figure"], alone["figure"]);
    assert!(borne_out["error"].ends_with(" at 2,000 routers and 2,000 databases"), "{borne_out:?}");
    let found = faults(&changed(&page, &borne_out, "error", "–"), &folder.0);
    assert!(
        found.len() == 1 && found[0].ends_with("its error is not that of runs off both axes"),
        "{found:?}"
    );
    // Two of them tell how much grows with both, and the larger one whether that holds.
    let both = [(1000, 1000, 0.006), (2000, 2000, 0.013)];
    let (folder, page, shared) = crossing("shared", &both);
    assert_eq!(
        shared["error"],
        "over by 0.001 at 2,000 routers and 2,000 databases; both at 0.334 of the most"
    );
    assert!(number(&shared["figure"]) >= Some(0.001 + 0.0079 + 0.054 + 0.1422), "{shared:?}");
    assert!(number(&shared["figure"]) < number(&alone["figure"]));
    let less = shared["error"].replace("0.334", "0.3");
    let found = faults(&changed(&page, &shared, "error", &less), &folder.0);
    assert!(found.len() == 1 && found[0].ends_with("shows more that grows with both"), "{found:?}");
    let (_, _, refuted) = crossing("too-much", &[(1000, 1000, 0.006), (2000, 2000, 0.02)]);
    assert_eq!((refuted["basis"].as_str(), refuted["figure"].as_str()), ("not measured", "–"));
    let (_, _, refuted) = crossing("refuted", &[(2000, 2000, 0.03)]);
    assert_eq!((refuted["basis"].as_str(), refuted["figure"].as_str()), ("not measured", "–"));
    assert!(refuted["error"].ends_with(": the crossing is wrong"), "{refuted:?}");
}

#[test]
fn a_time_until_all_have_is_none_where_some_had_not() {
    let restart = |routers: usize, missing: f64| {
        run(Mode::Feed, routers, 500, Some("restart"), &[("follow_max_s", 0.5), ("follow_missing", missing)])
    };
    let shown = |name: &str, lines: &[Line]| {
        let folder = Folder::new(name);
        write(&folder.0.join(MEASURED_RECORD), lines).expect("written");
        let page = fill_page(&page(), &folder.0).expect("made");
        assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
        row(&page, "router", "time until all follow again, a sixth restarted, s", "feed, restart")
    };
    let all = shown("all-follow", &[restart(1000, 0.0), restart(2000, 0.0)]);
    assert_eq!((all["figure"].as_str(), all["basis"].as_str()), ("0.5", "measured below the target"));
    // The smaller run in which all did, or another of the same size, does not stand for the one in which three did not.
    let some = shown("some-follow", &[restart(1000, 0.0), restart(2000, 0.0), restart(2000, 3.0)]);
    assert_eq!((some["figure"].as_str(), some["basis"].as_str()), ("–", "not measured"));
    assert_eq!(some["error"], "3 had not when the run ended");
    assert!(some["at"].starts_with("2,000 routers"), "{some:?}");
}
