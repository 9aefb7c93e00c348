//! Experiment files: validation with the location of the error, determinism, and the records of runs.

use std::path::Path;

use quillpoint_simulator::experiment::Experiment;
use quillpoint_simulator::record::{self, Run};

const SMALL_EXPERIMENT: &str = r#"{"name": "small", "routers": [2, 3], "nodes": [4], "shared": [true, false], "seeds": [7, 8],
    "network": {"loss": 0.1, "doubled": 0.1, "most_ms": 20.0}, "period_ms": 150, "grace_ms": 150, "floor_ms": 150,
    "warm_up_s": 1, "span_s": 4, "kills": {"every_s": 1.0, "down_s": 0.3},
    "faults": [{"at_s": 0.5, "what": {"lose": {"from": 0, "to": 1, "part": 1.0}}}, {"at_s": 1.5, "what": "heal"},
        {"at_s": 2.0, "what": {"node_down": 1}}, {"at_s": 2.5, "what": {"part": [[0], [1]]}}]}"#;

fn small_experiment() -> Experiment {
    Experiment::parse("small.json", SMALL_EXPERIMENT).unwrap()
}

fn parse_error_after_replacing(original: &str, replacement: &str) -> String {
    assert!(SMALL_EXPERIMENT.contains(original));
    Experiment::parse("small.json", &SMALL_EXPERIMENT.replacen(original, replacement, 1))
        .unwrap_err()
        .to_string()
}

#[test]
fn every_combination_of_parameters_is_a_run() {
    let runs = small_experiment().runs();
    assert_eq!(runs.len(), 2 * 2 * 2);
    assert!(runs.iter().all(|run| run.nodes == 4 && run.zones == 2));
}

/// Guards against non-determinism: with the same seed, everything but the measured CPU time must be the same.
#[test]
fn a_seed_determines_everything_except_cpu_time() {
    let experiment = small_experiment();
    for params in experiment.runs() {
        let without_cpu_time = |run: Run| Run { cpu_part: 0.0, ..run };
        assert_eq!(
            without_cpu_time(experiment.simulate(&params)),
            without_cpu_time(experiment.simulate(&params))
        );
    }
    let runs = experiment.runs();
    let seed_dependent_figures =
        |run: Run| (run.probes_per_node_s, run.gap_max_s, run.datagrams_per_router_s);
    assert_ne!(
        seed_dependent_figures(experiment.simulate(&runs[0])),
        seed_dependent_figures(experiment.simulate(&runs[1])),
        "expected different results for different seeds"
    );
}

/// Guards against errors that do not say where in the file the invalid value is.
#[test]
fn an_invalid_value_is_reported_with_its_location() {
    assert!(
        parse_error_after_replacing("\"routers\": [2, 3]", "\"routers\": [2, 0]").contains("at /routers/1")
    );
    assert!(parse_error_after_replacing("\"loss\": 0.1", "\"loss\": 1.5").contains("at /network/loss"));
    assert!(parse_error_after_replacing("\"span_s\": 4", "\"span_s\": \"long\"").contains("at /span_s"));
    assert!(parse_error_after_replacing("\"nodes\": [4], ", "").contains("nodes"));
    assert!(parse_error_after_replacing("\"name\"", "\"nmae\": 1, \"name\"").contains("nmae"));
    assert!(parse_error_after_replacing("\"heal\"", "\"heel\"").contains("at /faults/1/what"));
    assert!(Experiment::parse("x", "{").unwrap_err().to_string().starts_with("x: "));
}

/// Guards against a change of the format that leaves the repository's own experiment files invalid.
#[test]
fn all_experiment_files_of_the_repository_are_valid() {
    let experiments_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files: Vec<_> =
        std::fs::read_dir(experiments_dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() >= 3);
    files.iter().for_each(|file| _ = Experiment::read(file).unwrap());
}

/// Guards against records that lose values when written, and against errors that do not name the invalid
/// line.
#[test]
fn records_round_trip_and_an_invalid_line_is_reported_with_its_number() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("record.jsonl");
    _ = std::fs::remove_file(&path);
    let experiment = small_experiment();
    let runs: Vec<Run> = experiment.runs().iter().take(2).map(|params| experiment.simulate(params)).collect();
    runs.iter().for_each(|run| record::append(&path, run).unwrap());
    assert_eq!(record::read(&path).unwrap(), runs);
    std::fs::write(&path, "{}\n").unwrap();
    assert!(record::read(&path).unwrap_err().to_string().contains("record.jsonl:1"));
}
