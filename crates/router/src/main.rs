//! The `quillpoint` binary. [`quillpoint_router::command`] parses the command line and runs it.

use std::process::ExitCode;

fn main() -> ExitCode {
    quillpoint_router::command::run(lexopt::Parser::from_env())
}
