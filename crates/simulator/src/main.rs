//! `quillpoint-simulator`: see [`quillpoint_simulator::command`].

use std::process::ExitCode;

fn main() -> ExitCode {
    quillpoint_simulator::command::run(lexopt::Parser::from_env())
}
