//! Starts routers as separate processes, writes their configuration files and reads their logs.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use super::{Client, Discovery, Node, WAIT_TIMEOUT, targets};

/// A router in its own process, killed on drop.
pub struct RouterProcess {
    pub child: Child,
    pub address: SocketAddr,
    /// The configuration file.
    pub path: PathBuf,
    /// The lines logged after the one with the address; the condition variable signals each new line.
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// The configuration of a router that polls the endpoint list at `discovery`. Until the first poll it uses
/// `targets`, the list cached in the configuration. `sockets` is its limit of file descriptors.
pub fn configuration(discovery: SocketAddr, targets: &str, sockets: usize) -> String {
    let method = |name: &str, semantics: &str| {
        format!(
            r#"{{"Name":"{name}","GiveUpMs":9000.0,"GoalTimeMs":9000.0,"LateValue":0.5,"Value":1.0,
            "Semantics":"{semantics}","Group":"all","WindowMs":5000.0}}"#
        )
    };
    let methods =
        [method("look", "free"), method("enter", "single_shot"), method("recent", "free")].join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"92094eb940cf389a",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"rev":0,"all":true,"targets":{targets}}},
        "settings":{{"Allowed":{{"ConnIdleMs":30000.0,"ConnectTimeoutMs":5000.0,"MaxAttempts":6,"Probes":true,
            "MaxRetryAfterMs":1000.0,"MayDuplicate":true,"MostHeld":20000}},"Balancers":1,"Classes":[{methods}],
            "Discovery":"subscribe","Extra":{{"Checks":"none","ClassBoundMs":[0,0,300],
            "NeedsByClass":["loose","update","recent"],"WriteMarks":"router"}},"FailureDomains":["a"],
            "Feedback":{{"Fields":["x0","x1"],"Source":"answers"}},"Invariants":{{"AskEveryMs":20000.0,
            "ColdFrom":0.3,"ColdMs":1000.0,"DrainGraceMs":1000.0,"FallMultiple":3.0,"OverloadForMs":1000.0}},
            "Skus":["m"],"StepMs":2.0,"Tariffs":{{"Probe":0.001}}}}}}"#
    )
}

pub fn write_config_file(text: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

pub fn router_command(arguments: &[&str], variables: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpoint"));
    command.args(arguments).env_clear().envs(variables.iter().copied());
    command
}

impl RouterProcess {
    pub fn start(configuration: &str) -> Self {
        Self::start_with(configuration, &[])
    }

    pub fn start_with(configuration: &str, variables: &[(&str, &str)]) -> Self {
        let path = write_config_file(configuration);
        let mut command = router_command(&["serve", "--config", path.to_str().unwrap()], variables);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let address = loop {
            let line = lines.next().expect("the router exited without logging its address").unwrap();
            if let Some((_, rest)) = line.split_once("serves at ") {
                break rest.split(',').next().unwrap().parse().unwrap();
            }
        };
        let log = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let collected = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                collected.0.lock().unwrap().push(line);
                collected.1.notify_all();
            }
        });
        Self { child, address, path, log }
    }

    /// Waits until a line that contains `part` has been logged; one that was logged earlier counts.
    pub fn await_log_line(&self, part: &str) {
        self.log_line(part);
    }

    /// Waits for a line that contains `part`, and returns the first one since the router logged its address.
    pub fn log_line(&self, part: &str) -> String {
        let lines = self.log.0.lock().unwrap();
        let missing = |lines: &mut Vec<String>| !lines.iter().any(|line| line.contains(part));
        let (lines, wait) = self.log.1.wait_timeout_while(lines, WAIT_TIMEOUT, missing).unwrap();
        assert!(!wait.timed_out(), "no log line contains {part:?}: {lines:?}");
        lines.iter().find(|line| line.contains(part)).unwrap().clone()
    }

    /// All lines logged so far, from the one after the address on.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.0.lock().unwrap().clone()
    }

    /// Starts a discovery service that lists these nodes, given as `(node, role)`, and a router that has them
    /// in its cached list and polls that service.
    pub fn start_with_nodes(nodes: &[(&Node, &str)]) -> (Self, Discovery) {
        let all: Vec<_> = nodes.iter().map(|(node, role)| (*node, *role, "in_service")).collect();
        let discovery = Discovery::start(targets(&all));
        (Self::start(&configuration(discovery.address, &targets(&all), 200)), discovery)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn signal(&self, name: &str) {
        self.try_signal(name).unwrap();
    }

    /// # Errors
    /// The signal cannot be sent: the process has exited and its exit status has been collected.
    pub fn try_signal(&self, name: &str) -> std::io::Result<()> {
        use rustix::process::{Pid, Signal, kill_process};
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            other => panic!("unsupported signal: {other}"),
        };
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
