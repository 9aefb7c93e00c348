//! `quillpoint`: see [`quillpoint_router::command`].

use std::process::ExitCode;

fn main() -> ExitCode {
    quillpoint_router::command::run(lexopt::Parser::from_env())
}
