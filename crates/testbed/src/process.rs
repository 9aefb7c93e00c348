//! A child process: its lines kept, its use of the machine read, ended with its owner.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

type Lines = Arc<(Mutex<Vec<String>>, Condvar)>;

/// Which of its streams is kept line by line. The other one of the two goes nowhere, or to this process's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapturedStream {
    /// A log, as routers write it.
    Stderr,
    /// Reports, as stand-ins write them; they also take orders.
    Stdout,
}

pub struct Process {
    child: Child,
    orders: Option<ChildStdin>,
    lines: Lines,
    /// Reads the lines, until the child has closed its stream. `None` once it has been joined.
    reader: Option<JoinHandle<()>>,
}

impl Process {
    /// # Errors
    /// The program cannot be started.
    pub fn start(mut command: Command, kept: CapturedStream) -> std::io::Result<Self> {
        match kept {
            CapturedStream::Stderr => {
                command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped())
            }
            CapturedStream::Stdout => {
                command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit())
            }
        };
        let mut child = command.spawn()?;
        let stream: Option<Box<dyn Read + Send>> = match kept {
            CapturedStream::Stderr => {
                child.stderr.take().map(|stream| Box::new(stream) as Box<dyn Read + Send>)
            }
            CapturedStream::Stdout => {
                child.stdout.take().map(|stream| Box::new(stream) as Box<dyn Read + Send>)
            }
        };
        let orders = child.stdin.take();
        let lines = Lines::default();
        let stream = stream.ok_or_else(|| std::io::Error::other("a stream is not piped"))?;
        let read = Arc::clone(&lines);
        let reader = thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                read.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                read.1.notify_all();
            }
        });
        Ok(Self { child, orders, lines, reader: Some(reader) })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Writes it a line.
    ///
    /// # Errors
    /// It takes no orders, or has ended.
    pub fn send_line(&mut self, line: &str) -> std::io::Result<()> {
        let orders = self.orders.as_mut().ok_or_else(|| std::io::Error::other("it takes no orders"))?;
        orders.write_all(line.as_bytes())?;
        orders.write_all(b"\n")?;
        orders.flush()
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How many lines there are by now.
    pub fn line_count(&self) -> usize {
        self.lines.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// The first line from this place on in which something is found; `None` where none comes in time.
    pub fn wait_for_match<T>(
        &self,
        place: usize,
        most: Duration,
        mut find: impl FnMut(&str) -> Option<T>,
    ) -> Option<T> {
        let (mut found, mut looked_at) = (None, place);
        let missing = |lines: &mut Vec<String>| {
            while found.is_none() && looked_at < lines.len() {
                found = find(&lines[looked_at]);
                looked_at += 1;
            }
            found.is_none()
        };
        let guard = self.lines.0.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.lines.1.wait_timeout_while(guard, most, missing));
        found
    }

    /// Waits until a line with this in it has come.
    pub fn wait_for_line(&self, part: &str, most: Duration) -> bool {
        self.wait_for_match(0, most, |line| line.contains(part).then_some(())).is_some()
    }

    /// As by SIGKILL.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// A signal by its name, as `-STOP`.
    pub fn signal(&self, name: &str) {
        _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }

    /// Waits until it has ended by itself and all that it wrote has been read. Whether it ended well.
    pub fn wait_for_exit(&mut self) -> bool {
        let ended_well = self.child.wait().is_ok_and(|status| status.success());
        if let Some(reader) = self.reader.take() {
            _ = reader.join();
        }
        ended_well
    }

    /// Its resident memory in bytes, and its processor time so far, as the system counts them.
    pub fn usage(&self) -> Option<(u64, Duration)> {
        let id = self.child.id();
        Some((resident_bytes(id)?, cpu_time(id)?))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The resident memory of a process in bytes.
pub fn resident_bytes(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(resident.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}

/// The processor time of a process so far, of all threads that it has. The scheduler counts it in nanoseconds; the ticks
/// of `/proc/PID/stat` are 10 ms each, a third of what a control side takes in eight seconds. Nothing that is measured
/// here has threads that end; the time of one that did would be missing.
pub fn cpu_time(id: u32) -> Option<Duration> {
    let of = |thread: io::Result<fs::DirEntry>| {
        let told = fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        told.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    };
    // A thread that has just ended cannot be read any more.
    let times: Vec<Duration> = fs::read_dir(format!("/proc/{id}/task")).ok()?.filter_map(of).collect();
    // Of a system that does not count, nothing is known.
    (!times.is_empty()).then(|| times.iter().sum())
}
