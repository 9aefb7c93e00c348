//! Router processes that a test starts, kills, stops and continues. Each has its own files and loopback
//! address.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use serde_json::{Value as Json, json};

use crate::listing::DiscoveryServer;
use crate::process::{CapturedStream, Process};
use crate::relay::Relay;

/// Much longer than a router takes to start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether the routers of a run form a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMode {
    /// All routers are peers: they share periodic tasks and their observations.
    Shared,
    /// Each router has the fleet section without any peer, and does all periodic tasks by itself.
    Separate,
    /// Routers run without quillpoint.conf.
    Disabled,
}

/// One router process and its relay.
pub struct Router {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where the process receives datagrams.
    datagram_address: SocketAddr,
    /// The relay through which the other routers send datagrams to it.
    pub relay: Relay,
    /// The platform JSON and quillpoint.conf.
    files: Vec<PathBuf>,
    fleet_mode: FleetMode,
    process: Option<Process>,
}

/// The router processes of a run.
pub struct Routers {
    /// The routers, by index.
    pub all: Vec<Router>,
    program: PathBuf,
    directory: PathBuf,
}

/// Configuration that all routers of a run share.
pub struct RoutersConfig<'a> {
    /// The router program.
    pub program: &'a Path,
    /// Where the configuration files are written.
    pub directory: &'a Path,
    /// The discovery server.
    pub discovery: &'a DiscoveryServer,
    /// The endpoints that routers know at their start.
    pub endpoints: &'a Json,
    /// Whether the routers form a fleet.
    pub fleet_mode: FleetMode,
    /// Seed of the routers and of the loss of datagrams.
    pub seed: u64,
    /// Further directives for quillpoint.conf.
    pub extra_directives: &'a str,
}

/// Returns a loopback address that depends on the process id, so that test processes running at the same time
/// on this machine do not use the same ones.
fn unique_address(index: usize) -> Ipv4Addr {
    let process_id = std::process::id();
    let last = ((process_id & 15) << 4) as u8 | (index as u8 + 1) & 15;
    Ipv4Addr::new(127, 64 + ((process_id >> 12) & 127) as u8, (process_id >> 4) as u8, last)
}

/// Number of the next fleet of this process. It selects the ports, because several fleets may run at the same
/// time.
static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

impl Routers {
    /// Prepares the files and relays of `count` routers without starting them.
    ///
    /// # Errors
    /// A file cannot be written or a relay cannot be started.
    pub fn new(count: usize, config: &RoutersConfig<'_>) -> std::io::Result<Self> {
        fs::create_dir_all(config.directory)?;
        let keys = config.directory.join("fleet.keys");
        fs::write(&keys, format!("# of this run alone\n{}\n", "5c".repeat(32)))?;
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600))?;
        let mut all = Vec::new();
        let fleet = NEXT_FLEET.fetch_add(1, Ordering::SeqCst);
        for index in 0..count {
            let datagram_address = SocketAddr::from((unique_address(index), 7400 + fleet));
            let relay = Relay::start(datagram_address, config.seed ^ index as u64)?;
            let address = SocketAddr::from((unique_address(index), 6432 + fleet));
            all.push(Router {
                address,
                datagram_address,
                relay,
                files: Vec::new(),
                fleet_mode: config.fleet_mode,
                process: None,
            });
        }
        let peers: Vec<SocketAddr> = all.iter().map(|router| router.relay.address).collect();
        for (index, router) in all.iter_mut().enumerate() {
            let platform = config.directory.join(format!("router-{index}.json"));
            fs::write(&platform, router_platform_json(index, router.address, config).to_string())?;
            let conf = config.directory.join(format!("router-{index}.conf"));
            fs::write(&conf, conf_text(router, &peers, config))?;
            router.files = vec![platform, conf];
        }
        Ok(Self { all, program: config.program.to_path_buf(), directory: config.directory.to_path_buf() })
    }

    /// Starts a router and waits until it serves.
    ///
    /// # Errors
    /// The program cannot be started, or does not serve in time; the error contains its log.
    pub fn start(&mut self, index: usize) -> std::io::Result<()> {
        let router = &mut self.all[index];
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&router.files[0]).env_clear().current_dir(&self.directory);
        if router.fleet_mode != FleetMode::Disabled {
            command.arg("--conf").arg(&router.files[1]);
        }
        router.process = Some(Process::start(command, CapturedStream::Stderr)?);
        if !self.wait_for_line(index, "serves at", STARTUP_TIMEOUT) {
            return Err(std::io::Error::other(format!(
                "router {index} does not serve; its log: {:?}",
                self.log_lines(index)
            )));
        }
        Ok(())
    }

    /// Starts all routers, one after the other.
    ///
    /// # Errors
    /// A router does not start.
    pub fn start_all(&mut self) -> std::io::Result<()> {
        (0..self.all.len()).try_for_each(|index| self.start(index))
    }

    /// Kills a router with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(process) = &mut self.all[index].process {
            process.kill();
        }
    }

    /// Sends a signal to a router, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(process) = &self.all[index].process {
            process.signal(name);
        }
    }

    /// Waits until a router has exited by itself. Returns whether it exited successfully.
    pub fn wait_for_exit(&mut self, index: usize) -> bool {
        self.all[index].process.as_mut().is_some_and(Process::wait_for_exit)
    }

    /// Drops this part (0 to 1) of the datagrams from one router to another from now on.
    pub fn set_loss(&self, from: usize, to: usize, part: f64) {
        self.all[to].relay.set_loss(self.all[from].datagram_address, part);
    }

    /// Drops no datagrams from now on.
    pub fn clear_losses(&self) {
        self.all.iter().for_each(|router| router.relay.clear_losses());
    }

    /// Returns the log lines since the last start.
    pub fn log_lines(&self, index: usize) -> Vec<String> {
        self.all[index].process.as_ref().map(Process::lines).unwrap_or_default()
    }

    /// Waits until a log line since the last start contains `part`. Returns whether one did before the
    /// timeout.
    pub fn wait_for_line(&self, index: usize, part: &str, timeout: Duration) -> bool {
        self.all[index].process.as_ref().is_some_and(|process| process.wait_for_line(part, timeout))
    }

    /// Returns the path of the quillpoint.conf of a router. The file may be changed while the router runs.
    pub fn conf_path(&self, index: usize) -> &Path {
        &self.all[index].files[1]
    }

    /// Returns where the process itself receives datagrams, without its relay.
    pub fn datagram_address(&self, index: usize) -> SocketAddr {
        self.all[index].datagram_address
    }

    /// Returns the resident memory in bytes and the CPU time so far, as counted by the kernel.
    pub fn usage(&self, index: usize) -> Option<(u64, Duration)> {
        self.all[index].process.as_ref()?.usage()
    }
}

fn conf_text(router: &Router, peers: &[SocketAddr], config: &RoutersConfig<'_>) -> String {
    let mut text = format!(
        "log json\nfleet {{\n    listen {}\n    advertise {}\n    keys fleet.keys\n}}\n{}\n",
        router.datagram_address, router.relay.address, config.extra_directives
    );
    if router.fleet_mode == FleetMode::Shared {
        for (index, peer) in peers.iter().enumerate() {
            text.push_str(&format!("peer r{index} {{\n    address {peer}\n}}\n"));
        }
    }
    text
}

fn router_platform_json(index: usize, address: SocketAddr, config: &RoutersConfig<'_>) -> Json {
    let known_endpoints = json!({"rev": 0, "all": true, "targets": config.endpoints});
    platform_json(&PlatformConfig {
        name: format!("r{index}"),
        listen: address,
        discovery: config.discovery.address,
        seed: config.seed.wrapping_add(index as u64),
        sockets: 512,
        memory_mb: 192,
        may_probe: true,
        known_endpoints,
    })
}

/// The values of the platform JSON that differ from router to router.
pub struct PlatformConfig {
    /// Name of the router.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Seed of the router.
    pub seed: u64,
    /// Most sockets that the router may use.
    pub sockets: usize,
    /// Memory budget in MB.
    pub memory_mb: usize,
    /// Whether the router may send probes of its own.
    pub may_probe: bool,
    /// The endpoint list as last known, or null.
    pub known_endpoints: Json,
}

/// Returns the platform JSON. Its methods are `look` (reads of any staleness), `recent` (reads at most 300 ms
/// stale) and `enter` (writes).
pub fn platform_json(platform: &PlatformConfig) -> Json {
    let method = |name: &str, semantics: &str, deadline_ms: f64| json!({"Name": name, "GiveUpMs": deadline_ms, "GoalTimeMs": 150.0, "LateValue": 0.5, "Value": 1.0, "Semantics": semantics});
    json!({
        "name": platform.name, "listen": platform.listen, "discovery": platform.discovery,
        "seed": format!("{:x}", platform.seed),
        "limits": {"cores": 1.0, "memory_mb": platform.memory_mb, "sockets": platform.sockets},
        "known": platform.known_endpoints,
        "settings": {
            "Allowed": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6, "Probes": platform.may_probe,
                "MaxRetryAfterMs": 1000.0, "MayDuplicate": true, "MostHeld": 20000},
            "Balancers": 3,
            "Classes": [method("look", "free", 1500.0), method("enter", "single_shot", 2000.0), method("recent", "free", 1500.0)],
            "Discovery": "subscribe",
            "Extra": {"Checks": "none", "ClassBoundMs": [0, 0, 300], "NeedsByClass": ["loose", "update", "recent"],
                "WriteMarks": "router"},
            "FailureDomains": ["a"], "Feedback": {"Fields": ["x0", "x1"], "Source": "answers"},
            "Invariants": {"AskEveryMs": 10000.0, "ColdFrom": 0.25, "ColdMs": 10000.0, "DrainGraceMs": 2000.0,
                "FallMultiple": 3.0, "OverloadForMs": 1000.0},
            "Skus": ["m"], "StepMs": 2.0, "Tariffs": {"Probe": 0.001},
        },
    })
}
