//! Reads batches of events on standard input, lets a router decide for each instance, and replies.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use quillpoint_adapter::Bench;

fn main() -> ExitCode {
    // A panic is told on the wire, as its instance's last word; the default message would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("quillpoint-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut bench = Bench::default();
    let (mut line, mut number) = (String::new(), 0u64);
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return bench.end_of_input().map_err(|fault| format!("after line {number}: {fault}").into());
        }
        number += 1;
        let text = line.trim_end_matches(['\n', '\r']);
        if let Some(reply) = bench.line(text).map_err(|fault| format!("line {number}: {fault}"))? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}
