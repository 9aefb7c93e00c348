//! A run is checked against its bounds and against earlier runs, and the record contains the results.

use std::collections::BTreeMap;

use quillpoint_testbed::record::{Bound, Line, Mode, Sizes, read};
use quillpoint_testbed::scale::report::RunReport;

fn run(databases: usize, bytes: f64) -> Line {
    let figures = [("router_bytes_in_s", bytes), ("router_bytes_out_s", 100.0)];
    Line::Run {
        axis: None,
        fault: None,
        program: None,
        sizes: Sizes {
            mode: Mode::Feed,
            routers: 200,
            real: 16,
            hollow_processes: 9,
            control: 4,
            databases,
            connections: 0,
            statements: 0.0,
            changes: 1.0,
            period_s: 0.15,
            seed: 1,
            seconds: 8.0,
        },
        figures: figures.map(|(name, value)| (name.to_string(), value)).into(),
        bounds: Vec::new(),
    }
}

fn bounds(line: &Line) -> BTreeMap<&str, &Bound> {
    match line {
        Line::Run { bounds, .. } => bounds.iter().map(|bound| (bound.figure.as_str(), bound)).collect(),
        Line::Fit(_) => BTreeMap::new(),
    }
}

/// Guards against a bound between two runs, or a tightened bound, that is checked but missing in the record.
#[test]
fn a_bound_between_two_runs_is_recorded_with_the_later_run() {
    let path = std::env::temp_dir().join(format!("quillpoint-report-{}.jsonl", std::process::id()));
    _ = std::fs::remove_file(&path);
    let extra_bounds = [("router_bytes_in_s".to_string(), 3500.0)];
    let mut played =
        RunReport { lines: Vec::new(), extra_bounds: &extra_bounds, record: Some(&path), quiet: true };
    for line in [run(250, 3400.0), run(500, 4800.0), run(2000, 9000.0)] {
        played.add_run(line).expect("the record can be written");
    }
    let written = read(&path).expect("the record can be read");
    _ = std::fs::remove_file(&path);
    assert_eq!(written, played.lines);
    let name = "bytes_at_twice_the_databases";
    let growth: Vec<Option<(f64, bool)>> =
        written.iter().map(|line| Some((bounds(line).get(name)?.value, bounds(line)[name].held))).collect();
    // 4,900 bytes compared with 3,500; there is no run at half of 2,000 databases.
    assert_eq!(growth, [None, Some((1.4, false)), None]);
    assert!(written.iter().all(|line| bounds(line).contains_key("router_bytes_in_s")));
    assert!(bounds(&written[0])["router_bytes_in_s"].held && !bounds(&written[1])["router_bytes_in_s"].held);
}
