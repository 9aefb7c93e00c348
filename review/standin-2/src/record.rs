//! The record of a case: one line for each event, in the order of the calls.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Writes to the file that `RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
        match File::create(&path) {
            Ok(file) => Self {
                started: Instant::now(),
                file: Arc::new(Mutex::new(BufWriter::new(file))),
                broken: Arc::default(),
            },
            Err(error) => crate::cannot_run(&format!("{path}: {error}")),
        }
    }

    /// Milliseconds since the record was begun.
    pub fn at_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        _ = writeln!(file, "{:9.1} ms  {text}", self.at_ms());
    }

    /// Notes that the rule is broken. The case goes on.
    pub fn broken(&self, text: &str) {
        self.line(&format!("BROKEN {text}"));
        self.broken.lock().unwrap_or_else(PoisonError::into_inner).push(text.to_string());
    }

    pub fn broken_count(&self) -> usize {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Writes the verdict, and returns the exit status: 1 if the rule was broken, otherwise 0.
    pub fn verdict(&self) -> i32 {
        let broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let verdict = match broken.len() {
            0 => "verdict: the rule held".to_string(),
            count => format!("verdict: the rule was broken, {count} times; first: {}", broken[0]),
        };
        self.line(&verdict);
        println!("{verdict}");
        _ = self.file.lock().unwrap_or_else(PoisonError::into_inner).flush();
        i32::from(!broken.is_empty())
    }
}
