//! Records written by earlier versions must be readable without changes, and be written with the same names
//! and values.

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

/// Guards against renamed or lost fields in the records of experiments.
#[test]
fn records_of_experiments_round_trip_unchanged() {
    for name in ["duties-kills.jsonl", "duties-large.jsonl", "duties-size.jsonl"] {
        let path = measurements().join(name);
        let runs: Vec<Run> = record::read(&path).unwrap();
        let written: Vec<Json> = runs.iter().map(|run| serde_json::to_value(run).unwrap()).collect();
        assert!(!written.is_empty(), "{name}");
        assert_eq!(written, lines(&path), "{name}");
    }
}

/// Guards against renamed or lost fields in the records of detector comparisons.
#[test]
fn records_of_detector_comparisons_keep_their_field_names() {
    let old_rows = lines(&measurements().join("detectors.jsonl"));
    let rows = quillpoint_simulator::detectors::compare(3, 0.0, 1);
    let written: Vec<Json> = rows.iter().map(|row| serde_json::to_value(row).unwrap()).collect();
    assert!(!written.is_empty());
    for row in &written {
        let field_names = |row: &Json| row.as_object().unwrap().keys().cloned().collect::<Vec<_>>();
        let old_row = old_rows.iter().find(|line| line["way"] == row["way"]);
        let old_row = old_row.unwrap_or_else(|| {
            panic!("detectors.jsonl: expected a line with way {}, found none", row["way"])
        });
        assert_eq!(field_names(row), field_names(old_row));
    }
}
