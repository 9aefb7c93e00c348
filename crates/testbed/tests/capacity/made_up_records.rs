//! Made-up records for tests, and pages generated from them.

use std::collections::BTreeMap;
use std::path::PathBuf;

use quillpoint_testbed::capacity::asks::{MEASURED_RECORD, TARGET_CONNECTIONS};
use quillpoint_testbed::capacity::fill_page;
use quillpoint_testbed::fit::fit_all;
use quillpoint_testbed::record::{Line, Mode, Sizes, write};

use crate::page_checker::{page, parse_rows};

/// A temporary folder that is removed when the value is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("quillpoint-capacity-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder can be created");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns one run with these sizes and figures.
pub fn run(
    mode: Mode,
    routers: usize,
    databases: usize,
    fault: Option<&str>,
    figures: &[(&str, f64)],
) -> Line {
    Line::Run {
        axis: None,
        fault: fault.map(str::to_string),
        program: None,
        sizes: Sizes {
            mode,
            routers,
            real: 16,
            hollow_processes: 4,
            control: 2,
            databases,
            connections: 1000,
            statements: 100.0,
            changes: 0.2,
            period_s: 0.15,
            seed: 1,
            seconds: 10.0,
        },
        figures: figures.iter().map(|(name, value)| ((*name).to_string(), *value)).collect(),
        bounds: Vec::new(),
    }
}

/// The sizes of the runs on either axis.
pub const SIZES: [usize; 5] = [250, 500, 1000, 2000, 4000];

/// Returns runs in which the bytes of a router grow with databases under all-to-all sharing but hardly with
/// the feed, the bytes of a control instance grow with routers times databases, and the memory of a router
/// was measured at the target number of databases.
pub fn made_up_lines() -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add = |routers: usize, databases: usize| {
        let (n, m) = (routers as f64, databases as f64);
        let shared =
            [("router_bytes_in_s", 900.0 + 104.0 * m), ("router_bytes_out_s", 10.0 * n.ln() + 104.0 * m)];
        lines.push(run(Mode::Shared, routers, databases, None, &shared));
        let feed = [
            ("router_bytes_in_s", 4321.0 + 0.01 * m),
            ("router_bytes_out_s", 100.0),
            ("router_cpu_part", 0.001 + 1e-6 * m),
            ("router_memory_bytes", 1e6 + 300.0 * m),
            ("router_state_bytes", if n > 3000.0 { 9e6 } else { 1e6 }),
            ("age_p99_s", 0.3 - 0.01 * n.ln()),
            ("control_bytes_in_s", 500.0),
            ("control_bytes_out_s", 2000.0 + 0.004 * n * m),
        ];
        lines.push(run(Mode::Feed, routers, databases, None, &feed));
    };
    SIZES.iter().for_each(|routers| add(*routers, 500));
    SIZES.iter().filter(|databases| **databases != 500).for_each(|databases| add(500, *databases));
    add(500, 18_000);
    let peaks = [("peak_control_bytes_s", 9e6), ("follow_max_s", 2.51)];
    lines.push(run(Mode::Feed, 4000, 500, Some("restart"), &peaks));
    lines.push(run(Mode::Feed, 2000, 500, Some("restart"), &[("peak_control_bytes_s", 1e9)]));
    for connections in [1000, 2000, 4000, TARGET_CONNECTIONS as usize] {
        let mut line = run(Mode::Feed, 500, 500, None, &[("connection_memory_bytes", 5000.0)]);
        if let Line::Run { sizes, .. } = &mut line {
            sizes.connections = connections;
        }
        lines.push(line);
    }
    lines
}

/// Appends the fits of the runs.
pub fn with_fits(mut lines: Vec<Line>) -> Vec<Line> {
    lines.extend(fit_all(&lines).into_iter().map(Line::Fit));
    lines
}

/// Generates a page from these runs. Returns the folder of the record and the page.
pub fn generated_page(name: &str, lines: Vec<Line>) -> (TempFolder, String) {
    let folder = TempFolder::new(name);
    write(&folder.0.join(MEASURED_RECORD), &with_fits(lines)).expect("the record can be written");
    let page = fill_page(&page(), &folder.0).expect("the page can be generated");
    (folder, page)
}

/// Returns the row with this role and quantity whose citation ends with `record`.
pub fn find_row(page: &str, role: &str, what: &str, record: &str) -> BTreeMap<String, String> {
    let mut rows = parse_rows(page).into_iter();
    let found =
        rows.find(|row| row["role"] == role && row["what"] == what && row["record"].ends_with(record));
    found.unwrap_or_else(|| {
        panic!("the page has no row with role {role}, quantity {what} and record {record}")
    })
}

/// Returns the runs as those of a program version with this name.
pub fn by_program(name: &str, mut lines: Vec<Line>) -> Vec<Line> {
    for line in &mut lines {
        if let Line::Run { program, .. } = line {
            *program = Some(name.to_string());
        }
    }
    lines
}

/// Returns the page with one cell of a row replaced.
pub fn with_cell(page: &str, row: &BTreeMap<String, String>, cell: &str, to: &str) -> String {
    let columns =
        ["role", "what", "at", "sum", "figure", "budget", "ratio", "basis", "error", "record", "mechanism"];
    let line =
        |row: &BTreeMap<String, String>| format!("| {} |", columns.map(|name| row[name].clone()).join(" | "));
    let old = line(row);
    assert!(page.contains(&old), "the page lacks the row {old}");
    let mut row = row.clone();
    row.insert(cell.to_string(), to.to_string());
    page.replace(&old, &line(&row))
}
