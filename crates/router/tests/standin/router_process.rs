//! A router as a process of its own, and its configuration.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use super::{Client, Discovery, NEVER, Node, targets};

/// A router as a process of its own.
pub struct RouterProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub path: PathBuf,
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// A configuration for a router that asks for its list there. `targets` is the list that it had last.
pub fn configuration(discovery: SocketAddr, targets: &str, sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","GiveUpMs":9000.0,"GoalTimeMs":9000.0,"LateValue":0.5,"Value":1.0,
            "Semantics":"{effect}","Group":"all","WindowMs":5000.0}}"#
        )
    };
    let classes = [class("look", "free"), class("enter", "single_shot"), class("recent", "free")].join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"92094eb940cf389a",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"rev":0,"all":true,"targets":{targets}}},
        "settings":{{"Allowed":{{"ConnIdleMs":30000.0,"ConnectTimeoutMs":5000.0,"MaxAttempts":6,"Probes":true,
            "MaxRetryAfterMs":1000.0,"MayDuplicate":true,"MostHeld":20000}},"Balancers":1,"Classes":[{classes}],
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
            let line = lines.next().expect("a line says where it serves").unwrap();
            if let Some((_, rest)) = line.split_once("serves at ") {
                break rest.split(',').next().unwrap().parse().unwrap();
            }
        };
        let log = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.0.lock().unwrap().push(line);
                kept.1.notify_all();
            }
        });
        Self { child, address, path, log }
    }

    /// Until a line with this in it has been logged since the start.
    pub fn await_log_line(&self, part: &str) {
        self.log_line(part);
    }

    /// The first line with this in it that has been logged since the start, once there is one.
    pub fn log_line(&self, part: &str) -> String {
        let lines = self.log.0.lock().unwrap();
        let missing = |lines: &mut Vec<String>| !lines.iter().any(|line| line.contains(part));
        let (lines, wait) = self.log.1.wait_timeout_while(lines, NEVER, missing).unwrap();
        assert!(!wait.timed_out(), "no line has {part:?}: {lines:?}");
        lines.iter().find(|line| line.contains(part)).unwrap().clone()
    }

    /// All that it has logged since the start.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.0.lock().unwrap().clone()
    }

    /// Nodes as `(node, role)`, a list that names them, and a router that knows it.
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
    /// It has ended.
    pub fn try_signal(&self, name: &str) -> std::io::Result<()> {
        use rustix::process::{Pid, Signal, kill_process};
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            other => panic!("{other}"),
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
