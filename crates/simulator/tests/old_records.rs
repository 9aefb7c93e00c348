//! Records that earlier versions wrote are read as they stand, and written again with the same names and values.

use std::path::{Path, PathBuf};

use quillpoint_simulator::record::{self, Run};
use serde_json::Value as Json;

fn measurements() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/measurements")
}

fn lines(path: &Path) -> Vec<Json> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn runs_of_experiments_are_written_as_they_were_read() {
    for name in ["duties-kills.jsonl", "duties-large.jsonl", "duties-size.jsonl"] {
        let path = measurements().join(name);
        let runs: Vec<Run> = record::read(&path).unwrap();
        let written: Vec<Json> = runs.iter().map(|run| serde_json::to_value(run).unwrap()).collect();
        assert!(!written.is_empty(), "{name}");
        assert_eq!(written, lines(&path), "{name}");
    }
}

#[test]
fn comparisons_of_detectors_keep_the_names_of_their_figures() {
    let old = lines(&measurements().join("detectors.jsonl"));
    let rows = quillpoint_simulator::detectors::compare(3, 0.0, 1);
    let written: Vec<Json> = rows.iter().map(|row| serde_json::to_value(row).unwrap()).collect();
    assert!(!written.is_empty());
    for row in &written {
        let names = |row: &Json| row.as_object().unwrap().keys().cloned().collect::<Vec<_>>();
        let same_way = old.iter().find(|line| line["way"] == row["way"]);
        let same_way = same_way.unwrap_or_else(|| panic!("no way {} in the record", row["way"]));
        assert_eq!(names(row), names(same_way));
    }
}
