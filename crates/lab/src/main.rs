//! `quillpoint-lab`: see [`quillpoint_lab::command`].

use std::process::ExitCode;

fn main() -> ExitCode {
    quillpoint_lab::command::run(lexopt::Parser::from_env())
}
