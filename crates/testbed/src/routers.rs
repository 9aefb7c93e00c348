//! Router processes: started, killed, stopped and continued, each with its files, on addresses of its own.

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

/// Far longer than anything here takes: what is awaited for so long never comes.
const NEVER: Duration = Duration::from_secs(30);

/// What routers are to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMode {
    /// They share duties and what they find.
    Shared,
    /// Each has the same periodic duty, and does it alone.
    Separate,
    /// As without quillpoint.conf.
    Disabled,
}

pub struct Router {
    pub address: SocketAddr,
    datagrams: SocketAddr,
    pub relay: Relay,
    files: Vec<PathBuf>,
    bond: FleetMode,
    process: Option<Process>,
}

pub struct Routers {
    pub all: Vec<Router>,
    program: PathBuf,
    folder: PathBuf,
}

/// What all routers of a run are told.
pub struct RoutersConfig<'a> {
    pub program: &'a Path,
    /// Files are written here.
    pub directory: &'a Path,
    pub discovery: &'a DiscoveryServer,
    pub endpoints: &'a Json,
    pub fleet_mode: FleetMode,
    pub seed: u64,
    /// Directives besides the usual ones.
    pub extra_directives: &'a str,
}

/// An address that no other process on this machine uses, by process id: the loopback range is wide enough.
fn own_address(place: usize) -> Ipv4Addr {
    let id = std::process::id();
    let last = ((id & 15) << 4) as u8 | (place as u8 + 1) & 15;
    Ipv4Addr::new(127, 64 + ((id >> 12) & 127) as u8, (id >> 4) as u8, last)
}

/// Several fleets may run within one process.
static NEXT: AtomicU16 = AtomicU16::new(0);

impl Routers {
    /// So many, not yet started.
    pub fn new(count: usize, setting: &RoutersConfig<'_>) -> std::io::Result<Self> {
        fs::create_dir_all(setting.directory)?;
        let keys = setting.directory.join("fleet.keys");
        fs::write(&keys, format!("# of this run alone\n{}\n", "5c".repeat(32)))?;
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600))?;
        let mut all = Vec::new();
        let fleet = NEXT.fetch_add(1, Ordering::SeqCst);
        for place in 0..count {
            let datagrams = SocketAddr::from((own_address(place), 7400 + fleet));
            let relay = Relay::start(datagrams, setting.seed ^ place as u64)?;
            let address = SocketAddr::from((own_address(place), 6432 + fleet));
            all.push(Router {
                address,
                datagrams,
                relay,
                files: Vec::new(),
                bond: setting.fleet_mode,
                process: None,
            });
        }
        let peers: Vec<SocketAddr> = all.iter().map(|router| router.relay.address).collect();
        for (place, router) in all.iter_mut().enumerate() {
            let platform = setting.directory.join(format!("router-{place}.json"));
            fs::write(&platform, router_platform_json(place, router.address, setting).to_string())?;
            let conf = setting.directory.join(format!("router-{place}.conf"));
            fs::write(&conf, conf_text(router, &peers, setting))?;
            router.files = vec![platform, conf];
        }
        Ok(Self { all, program: setting.program.to_path_buf(), folder: setting.directory.to_path_buf() })
    }

    /// Starts it and waits until it serves.
    pub fn start(&mut self, place: usize) -> std::io::Result<()> {
        let router = &mut self.all[place];
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&router.files[0]).env_clear().current_dir(&self.folder);
        if router.bond != FleetMode::Disabled {
            command.arg("--conf").arg(&router.files[1]);
        }
        router.process = Some(Process::start(command, CapturedStream::Stderr)?);
        if !self.wait_for_line(place, "serves at", NEVER) {
            return Err(std::io::Error::other(format!(
                "router {place} does not serve: {:?}",
                self.log_lines(place)
            )));
        }
        Ok(())
    }

    pub fn start_all(&mut self) -> std::io::Result<()> {
        (0..self.all.len()).try_for_each(|place| self.start(place))
    }

    /// As by SIGKILL.
    pub fn kill(&mut self, place: usize) {
        if let Some(process) = &mut self.all[place].process {
            process.kill();
        }
    }

    /// A signal by its name, as `-STOP`.
    pub fn signal(&self, place: usize, name: &str) {
        if let Some(process) = &self.all[place].process {
            process.signal(name);
        }
    }

    /// Waits until the process has ended by itself. Whether it ended well.
    pub fn wait_for_exit(&mut self, place: usize) -> bool {
        self.all[place].process.as_mut().is_some_and(Process::wait_for_exit)
    }

    /// Datagrams from the one to the other are lost to this part from now on.
    pub fn set_loss(&self, from: usize, to: usize, part: f64) {
        self.all[to].relay.set_loss(self.all[from].datagrams, part);
    }

    pub fn clear_losses(&self) {
        self.all.iter().for_each(|router| router.relay.clear_losses());
    }

    /// The log since the last start.
    pub fn log_lines(&self, place: usize) -> Vec<String> {
        self.all[place].process.as_ref().map(Process::lines).unwrap_or_default()
    }

    /// Waits until a line with this in it has been logged since the last start.
    pub fn wait_for_line(&self, place: usize, part: &str, most: Duration) -> bool {
        self.all[place].process.as_ref().is_some_and(|process| process.wait_for_line(part, most))
    }

    /// Its quillpoint.conf, which may be changed while it runs.
    pub fn conf_path(&self, place: usize) -> &Path {
        &self.all[place].files[1]
    }

    /// Where the process listens for datagrams, past its relay.
    pub fn datagram_address(&self, place: usize) -> SocketAddr {
        self.all[place].datagrams
    }

    /// The resident memory of the process in bytes, and its processor time so far, as the system counts them.
    pub fn usage(&self, place: usize) -> Option<(u64, Duration)> {
        self.all[place].process.as_ref()?.usage()
    }
}

fn conf_text(router: &Router, peers: &[SocketAddr], setting: &RoutersConfig<'_>) -> String {
    let mut text = format!(
        "log json\nfleet {{\n    listen {}\n    advertise {}\n    keys fleet.keys\n}}\n{}\n",
        router.datagrams, router.relay.address, setting.extra_directives
    );
    if router.bond == FleetMode::Shared {
        for (place, peer) in peers.iter().enumerate() {
            text.push_str(&format!("peer r{place} {{\n    address {peer}\n}}\n"));
        }
    }
    text
}

fn router_platform_json(place: usize, address: SocketAddr, setting: &RoutersConfig<'_>) -> Json {
    let known_endpoints = json!({"rev": 0, "all": true, "targets": setting.endpoints});
    platform_json(&PlatformConfig {
        name: format!("r{place}"),
        listen: address,
        discovery: setting.discovery.address,
        seed: setting.seed.wrapping_add(place as u64),
        sockets: 512,
        memory_mb: 192,
        may_probe: true,
        known_endpoints,
    })
}

/// What of the platform's JSON differs from router to router.
pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    /// Whether the router may probe by itself.
    pub may_probe: bool,
    /// The list as it was last known, or null.
    pub known_endpoints: Json,
}

/// The platform's JSON: reads of any age, reads at most 300 ms old, and writes.
pub fn platform_json(platform: &PlatformConfig) -> Json {
    let class = |name: &str, effect: &str, deadline: f64| json!({"Name": name, "GiveUpMs": deadline, "GoalTimeMs": 150.0, "LateValue": 0.5, "Value": 1.0, "Semantics": effect});
    json!({
        "name": platform.name, "listen": platform.listen, "discovery": platform.discovery,
        "seed": format!("{:x}", platform.seed),
        "limits": {"cores": 1.0, "memory_mb": platform.memory_mb, "sockets": platform.sockets},
        "known": platform.known_endpoints,
        "settings": {
            "Allowed": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 6, "Probes": platform.may_probe,
                "MaxRetryAfterMs": 1000.0, "MayDuplicate": true, "MostHeld": 20000},
            "Balancers": 3,
            "Classes": [class("look", "free", 1500.0), class("enter", "single_shot", 2000.0), class("recent", "free", 1500.0)],
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
