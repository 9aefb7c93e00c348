//! Experiments as files: what is refused and where, and that a seed decides all.

use std::path::Path;

use quillpoint_simulator::experiment::Experiment;
use quillpoint_simulator::record::{self, Run};

const SMALL: &str = r#"{"name": "small", "routers": [2, 3], "nodes": [4], "shared": [true, false], "seeds": [7, 8],
    "network": {"loss": 0.1, "doubled": 0.1, "most_ms": 20.0}, "period_ms": 150, "grace_ms": 150, "floor_ms": 150,
    "warm_up_s": 1, "span_s": 4, "kills": {"every_s": 1.0, "down_s": 0.3},
    "faults": [{"at_s": 0.5, "what": {"lose": {"from": 0, "to": 1, "part": 1.0}}}, {"at_s": 1.5, "what": "heal"},
        {"at_s": 2.0, "what": {"node_down": 1}}, {"at_s": 2.5, "what": {"part": [[0], [1]]}}]}"#;

fn small() -> Experiment {
    Experiment::parse("small.json", SMALL).unwrap()
}

fn fault(of: &str, by: &str) -> String {
    assert!(SMALL.contains(of));
    Experiment::parse("small.json", &SMALL.replacen(of, by, 1)).unwrap_err().to_string()
}

#[test]
fn every_combination_is_a_run() {
    let runs = small().runs();
    assert_eq!(runs.len(), 2 * 2 * 2);
    assert!(runs.iter().all(|run| run.nodes == 4 && run.zones == 2));
}

#[test]
fn a_seed_decides_all_but_the_machines_own_time() {
    let experiment = small();
    for shape in experiment.runs() {
        let timeless = |run: Run| Run { cpu_part: 0.0, ..run };
        assert_eq!(timeless(experiment.simulate(&shape)), timeless(experiment.simulate(&shape)));
    }
    let runs = experiment.runs();
    let differ = |run: Run| (run.probes_per_node_s, run.gap_max_s, run.datagrams_per_router_s);
    assert_ne!(
        differ(experiment.simulate(&runs[0])),
        differ(experiment.simulate(&runs[1])),
        "another seed, another run"
    );
}

#[test]
fn a_fault_of_the_file_names_its_place() {
    assert!(fault("\"routers\": [2, 3]", "\"routers\": [2, 0]").contains("at /routers/1"));
    assert!(fault("\"loss\": 0.1", "\"loss\": 1.5").contains("at /network/loss"));
    assert!(fault("\"span_s\": 4", "\"span_s\": \"long\"").contains("at /span_s"));
    assert!(fault("\"nodes\": [4], ", "").contains("nodes"));
    assert!(fault("\"name\"", "\"nmae\": 1, \"name\"").contains("nmae"));
    assert!(fault("\"heal\"", "\"heel\"").contains("at /faults/1/what"));
    assert!(Experiment::parse("x", "{").unwrap_err().to_string().starts_with("x: "));
}

#[test]
fn the_experiments_of_this_repository_are_in_order() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() >= 3);
    files.iter().for_each(|file| _ = Experiment::read(file).unwrap());
}

#[test]
fn a_record_reads_as_it_was_written_and_a_bad_line_is_named() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("record.jsonl");
    _ = std::fs::remove_file(&path);
    let experiment = small();
    let runs: Vec<Run> = experiment.runs().iter().take(2).map(|shape| experiment.simulate(shape)).collect();
    runs.iter().for_each(|run| record::append(&path, run).unwrap());
    assert_eq!(record::read(&path).unwrap(), runs);
    std::fs::write(&path, "{}\n").unwrap();
    assert!(record::read(&path).unwrap_err().to_string().contains("record.jsonl:1"));
}
