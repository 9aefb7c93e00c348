//! The `quillpoint-simulator` program; its commands are in [`quillpoint_simulator::command`].

use std::process::ExitCode;

fn main() -> ExitCode {
    quillpoint_simulator::command::run(lexopt::Parser::from_env())
}
