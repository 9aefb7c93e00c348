//! Reads batches of events from standard input, passes each to the router instance it is for, and writes the
//! replies to standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use quillpoint_adapter::{BatchProcessor, WireError};

/// Why the program stops early.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("line {line_number}: {error}")]
    Line { line_number: u64, error: WireError },
    #[error("after line {line_number}: {error}")]
    EndOfInput { line_number: u64, error: WireError },
}

fn main() -> ExitCode {
    // A panic is reported in the reply, as the last line of its instance; the default message would only
    // repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillpoint-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), ServeError> {
    let mut batches = BatchProcessor::default();
    let mut line = String::new();
    let mut line_number = 0;
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return batches.end_of_input().map_err(|error| ServeError::EndOfInput { line_number, error });
        }
        line_number += 1;
        let text = line.trim_end_matches(['\n', '\r']);
        let reply = batches.process_line(text).map_err(|error| ServeError::Line { line_number, error })?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}
