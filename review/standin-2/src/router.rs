//! A router as the deploy file starts it, with a configuration in a temporary folder.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::client::{Client, Reply};
use crate::discovery::Discovery;
use crate::record::Record;

/// What the configuration says. The settings are those of a small deployment.
pub struct Configuration {
    pub discovery: SocketAddr,
    /// The known list, as JSON.
    pub targets: String,
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The classes of the deployment hive-weights-ke.
const CLASSES: &str = r#"[
 {"Name":"latest-weight","Semantics":"free","GoalTimeMs":150.0,"GiveUpMs":600.0,"Value":1.0,"LateValue":0.0},
 {"Name":"season-history","Semantics":"free","GoalTimeMs":150.0,"GiveUpMs":500.0,"Value":1.0,"LateValue":0.2},
 {"Name":"harvest-entry","Semantics":"single_shot","GoalTimeMs":300.0,"GiveUpMs":3000.0,"Value":6.0,"LateValue":0.3}]"#;

/// What the data must be there: latest-weight 300 ms old at most, season-history any, harvest-entry a write.
const EXTRA: &str = r#"{"NeedsByClass":["recent","loose","update"],"ClassBoundMs":[300.0,0.0,0.0],
 "Checks":"none","RoleListed":"delayed","Stamps":true,"WriteMarks":"router"}"#;

/// The limits of the deployment hive-weights-ke.
const INVARIANTS: &str = r#"{"AskEveryMs":10000.0,"DrainGraceMs":2000.0,"ColdFrom":0.24,"ColdMs":18000.0,
 "FallMultiple":3.0,"OverloadForMs":1000.0}"#;

impl Configuration {
    pub fn hive(discovery: &Discovery) -> Self {
        Self {
            discovery: discovery.address,
            targets: discovery.targets.clone(),
            memory_mb: 192,
            sockets: 1024,
        }
    }

    fn json(&self, listen: SocketAddr) -> String {
        let Self { discovery, targets, memory_mb, sockets } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"rev":1,"all":true,"targets":{targets}}},
"settings":{{"Balancers":1,"StepMs":2.0,"Discovery":"subscribe","FailureDomains":["a"],"Skus":["std"],
"Allowed":{{"MaxAttempts":8,"MostHeld":20000,"ConnectTimeoutMs":250.0,"ConnIdleMs":30000.0,
"MaxRetryAfterMs":1000.0,"Probes":true,"MayDuplicate":true,"RetryAfter":true}},
"Classes":{CLASSES},"Extra":{EXTRA},
"Feedback":{{"Source":"answers","Fields":["x0","x1","queue"]}},
"Invariants":{INVARIANTS},"Tariffs":{{"Probe":0.023}}}}}}"#
        )
    }
}

/// A router process, killed on drop; its folder is removed.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    record: Record,
}

/// The project's root: `ROOT`, or the current folder.
fn root() -> PathBuf {
    std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

/// The value of a line of the deploy file, without its comment.
fn deploy_line(name: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find(|line| line.split('=').next().map(str::trim) == Some(name));
    match line.and_then(|line| line.split('"').nth(1)) {
        Some(value) => value.to_string(),
        None => crate::cannot_run(&format!("deploy/balancer.toml has no {name}")),
    }
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    listener.unwrap_or_else(|error| crate::cannot_run(&error.to_string()))
}

impl Router {
    /// Starts a router and waits until it answers an empty query.
    pub fn start(record: &Record, configuration: &Configuration) -> Self {
        let folder = std::env::temp_dir().join(format!("quillpoint-review-{}", std::process::id()));
        let log = fs::create_dir_all(&folder).and_then(|()| fs::File::create(folder.join("log.txt")));
        let log = log.unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let address = free_port();
        let config = folder.join("config.json");
        if let Err(error) = fs::write(&config, configuration.json(address)) {
            crate::cannot_run(&error.to_string());
        }
        let spawned = Command::new("/bin/sh")
            .args(["-c", &deploy_line("run")])
            .current_dir(root())
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", address.to_string())
            .env("GW_DISCOVERY", configuration.discovery.to_string())
            .env("GW_CONFIG", &config)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_string()))
            .env("RUST_BACKTRACE", "0")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = spawned.unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        record.line(&format!("router: started as process {} at {address}", child.id()));
        let router = Self { child, address, folder, record: record.clone() };
        let is_ready = || {
            let client = Client::connect(address, Duration::from_millis(500));
            client.is_ok_and(|mut client| client.ask("") == Reply::Empty)
        };
        if !crate::wait_until(Duration::from_secs(10), is_ready) {
            let log = router.log();
            drop(router);
            crate::cannot_run(&format!("the router is not ready: {log}"));
        }
        record.line("router: ready");
        router
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    /// The memory in kB that is the process's own: resident, and not that of files.
    pub fn own_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(Path::new("/proc").join(self.pid().to_string()).join("status"));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Sends a signal by its name, such as TERM, STOP or CONT.
    pub fn signal(&self, name: &str) {
        self.record.line(&format!("router: SIG{name}"));
        _ = Command::new("/bin/kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(12)..] {
            self.record.line(&format!("router's log: {line}"));
        }
        _ = fs::remove_dir_all(&self.folder);
    }
}
