//! `quillpoint-lab`: see [`quillpoint_lab::command`].

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::SUCCESS
}
