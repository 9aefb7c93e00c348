//! The log of a child process that has ended.

use std::process::Command;

use quillpoint_testbed::process::{Kept, Process};

/// A reader may still be behind the child when it exits: what the child wrote last lies in the pipe.
#[test]
fn the_log_of_a_process_that_has_ended_is_complete() {
    const LINES: usize = 5_000;
    for _ in 0..20 {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("seq {LINES} >&2")]);
        let mut process = Process::start(command, Kept::Errors).expect("a shell starts");
        assert!(process.ended());
        assert_eq!(process.count(), LINES);
    }
}
