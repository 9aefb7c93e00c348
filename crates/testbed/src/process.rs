//! Child processes whose output is captured line by line and whose resource usage can be read.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

type Lines = Arc<(Mutex<Vec<String>>, Condvar)>;

/// Which output stream of the child is captured line by line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapturedStream {
    /// The log of a router. Its stdout is discarded.
    Stderr,
    /// The reports of a stand-in, which also reads orders from stdin. Its stderr is inherited.
    Stdout,
}

/// A child process. It is killed when this value is dropped.
pub struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    lines: Lines,
    /// Reads lines until the child closes its stream. `None` once it has been joined.
    reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program and captures one of its output streams.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(mut command: Command, captured: CapturedStream) -> std::io::Result<Self> {
        match captured {
            CapturedStream::Stderr => {
                command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped())
            }
            CapturedStream::Stdout => {
                command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit())
            }
        };
        let mut child = command.spawn()?;
        let stream: Option<Box<dyn Read + Send>> = match captured {
            CapturedStream::Stderr => {
                child.stderr.take().map(|stream| Box::new(stream) as Box<dyn Read + Send>)
            }
            CapturedStream::Stdout => {
                child.stdout.take().map(|stream| Box::new(stream) as Box<dyn Read + Send>)
            }
        };
        let stdin = child.stdin.take();
        let lines = Lines::default();
        let stream = stream.ok_or_else(|| {
            std::io::Error::other("expected a piped output stream of the child process, found none")
        })?;
        let captured_lines = Arc::clone(&lines);
        let reader = thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                captured_lines.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                captured_lines.1.notify_all();
            }
        });
        Ok(Self { child, stdin, lines, reader: Some(reader) })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Writes a line to stdin of the child.
    ///
    /// # Errors
    /// Stdin is not piped, or the child has ended.
    pub fn send_line(&mut self, line: &str) -> std::io::Result<()> {
        let stdin = self
            .stdin
            .as_mut()
            .ok_or_else(|| std::io::Error::other("stdin of the child process is not piped"))?;
        stdin.write_all(line.as_bytes())?;
        stdin.write_all(b"\n")?;
        stdin.flush()
    }

    /// Returns the lines captured so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of lines captured so far.
    pub fn line_count(&self) -> usize {
        self.lines.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Waits until `find` returns a value for a line from index `start` on, and returns that value. Returns
    /// `None` on timeout.
    pub fn wait_for_match<T>(
        &self,
        start: usize,
        timeout: Duration,
        mut find: impl FnMut(&str) -> Option<T>,
    ) -> Option<T> {
        let (mut value, mut next_line) = (None, start);
        let is_missing = |lines: &mut Vec<String>| {
            while value.is_none() && next_line < lines.len() {
                value = find(&lines[next_line]);
                next_line += 1;
            }
            value.is_none()
        };
        let lines = self.lines.0.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.lines.1.wait_timeout_while(lines, timeout, is_missing));
        value
    }

    /// Waits until a captured line contains `part`. Returns whether one did before the timeout.
    pub fn wait_for_line(&self, part: &str, timeout: Duration) -> bool {
        self.wait_for_match(0, timeout, |line| line.contains(part).then_some(())).is_some()
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, name: &str) {
        _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }

    /// Waits until the process has exited by itself and all of its output has been read. Returns whether it
    /// exited successfully.
    pub fn wait_for_exit(&mut self) -> bool {
        let succeeded = self.child.wait().is_ok_and(|status| status.success());
        if let Some(reader) = self.reader.take() {
            _ = reader.join();
        }
        succeeded
    }

    /// Returns the resident memory in bytes and the CPU time so far, as counted by the kernel.
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

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(resident.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}

/// Returns the CPU time of a process so far, summed over its living threads. It is read from `schedstat`,
/// which counts nanoseconds: the ticks of `/proc/PID/stat` are 10 ms each, a third of what a control instance
/// uses in eight seconds. The time of threads that have ended is missing, but no process measured here ends
/// threads.
pub fn cpu_time(id: u32) -> Option<Duration> {
    let of = |thread: io::Result<fs::DirEntry>| {
        let schedstat = fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        schedstat.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    };
    // A thread that has just ended cannot be read and is left out.
    let times: Vec<Duration> = fs::read_dir(format!("/proc/{id}/task")).ok()?.filter_map(of).collect();
    // Without schedstat support there is no CPU time to return.
    (!times.is_empty()).then(|| times.iter().sum())
}
