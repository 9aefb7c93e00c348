//! The captured log of a child process that has exited.

use std::process::Command;

use quillpoint_testbed::process::{CapturedStream, Process};

/// Guards against a truncated log: when the child exits, its last lines may still be in the pipe, so waiting
/// for the exit must also wait for the reader.
#[test]
fn the_log_of_a_process_that_has_exited_is_complete() {
    const LINES: usize = 5_000;
    for _ in 0..20 {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("seq {LINES} >&2")]);
        let mut process = Process::start(command, CapturedStream::Stderr).expect("sh can be started");
        assert!(process.wait_for_exit());
        assert_eq!(process.line_count(), LINES);
    }
}
