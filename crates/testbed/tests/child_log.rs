//! The log of a child process that has ended.

use std::process::Command;

use quillpoint_testbed::process::{CapturedStream, Process};

/// A reader may still be behind the child when it exits: what the child wrote last lies in the pipe.
#[test]
fn the_log_of_a_process_that_has_ended_is_complete() {
    const LINES: usize = 5_000;
    for _ in 0..20 {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("seq {LINES} >&2")]);
        let mut process = Process::start(command, CapturedStream::Stderr).expect("a shell starts");
        assert!(process.wait_for_exit());
        assert_eq!(process.line_count(), LINES);
    }
}
