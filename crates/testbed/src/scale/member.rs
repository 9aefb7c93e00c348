//! The real processes of a run, which run the program as it ships: routers and control instances, each with
//! its configuration files.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::Value as Json;

use crate::process::{CapturedStream, Process};
use crate::record::{Mode, Sizes};
use crate::routers::{PlatformConfig, platform_json};
use crate::scale::counters::Counters;
use crate::scale::hollow::region;
use crate::scale::partition::PartitionRelays;

/// How long to wait for a log line before giving up.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Peers listed in each router's file: one that answers is enough to discover the others.
const SEED_PEERS: usize = 5;

/// The kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A router with a control side.
    Router,
    /// A router without quillpoint.conf and so without a control side: the baseline cost of the same load.
    Baseline,
    /// A control instance.
    Control,
}

/// The addresses of a process.
#[derive(Clone, Copy, Debug)]
pub struct Address {
    /// Where it accepts clients.
    pub clients: SocketAddr,
    /// Where it listens for the datagrams of its fleet, or as a subscriber.
    pub datagrams: SocketAddr,
    /// Where a control instance serves its feed.
    pub feed: SocketAddr,
}

/// What the configuration files of a run are written from.
pub struct Files<'a> {
    /// Where the files are written.
    pub folder: &'a Path,
    /// The sizes of the run.
    pub sizes: &'a Sizes,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The datagram addresses of all routers.
    pub routers: &'a [SocketAddr],
    /// The addresses of all control instances.
    pub control: &'a [Address],
    /// The relays of a run with a partition.
    pub partition: Option<&'a PartitionRelays>,
}

/// A real process of a run.
pub struct Member {
    /// Its kind.
    pub kind: Kind,
    /// Its name in the fleet, and that of its files.
    pub name: String,
    /// Its addresses.
    pub address: Address,
    files: [PathBuf; 2],
    /// Whether it is started with its quillpoint.conf.
    with_conf: bool,
    program: PathBuf,
    process: Option<Process>,
    paused: bool,
}

impl Files<'_> {
    /// Writes the keys of the fleet and of the feed.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn write_keys(&self) -> std::io::Result<()> {
        fs::create_dir_all(self.folder)?;
        for (name, byte) in [("fleet.keys", "5c"), ("feed.keys", "a3")] {
            let path = self.folder.join(name);
            fs::write(&path, format!("# generated for this run\n{}\n", byte.repeat(32)))?;
            fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        }
        Ok(())
    }

    /// Writes the platform file and quillpoint.conf of a process, and returns their paths in that order.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn write(
        &self,
        kind: Kind,
        name: &str,
        address: Address,
        index: usize,
    ) -> std::io::Result<[PathBuf; 2]> {
        let sizes = self.sizes;
        let of_clients = if kind == Kind::Control { 0 } else { sizes.connections };
        let json = platform_json(&PlatformConfig {
            name: name.to_string(),
            listen: address.clients,
            discovery: self.discovery,
            seed: sizes.seed.wrapping_mul(1000).wrapping_add(index as u64),
            sockets: 256 + sizes.databases + of_clients,
            memory_mb: 192 + of_clients / 10,
            // Without a control side it would make the health checks that others make for a router with one,
            // which is not part of the same load.
            may_probe: kind != Kind::Baseline,
            known_endpoints: Json::Null,
        });
        let files = [self.folder.join(format!("{name}.json")), self.folder.join(format!("{name}.conf"))];
        fs::write(&files[0], json.to_string())?;
        fs::write(&files[1], self.conf(kind, address))?;
        Ok(files)
    }

    /// The address at which the fleet reaches the member that listens at `address`.
    fn fleet_address(&self, address: SocketAddr) -> SocketAddr {
        self.partition.map_or(address, |partition| partition.fleet_address(address))
    }

    fn conf(&self, kind: Kind, address: Address) -> String {
        let mut text = "log json\n".to_string();
        let fleet = self.sizes.mode == Mode::Shared || kind == Kind::Control;
        if fleet {
            let (listen, every) = (address.datagrams, (self.sizes.period_s * 1000.0).round());
            let advertise = self.fleet_address(listen);
            // Twice the probe rate of all databases, in case all other members are gone, as a control
            // instance computes it by default. A smaller budget would limit the probes, and the run would
            // measure the budget.
            let work = (2.0 * self.sizes.databases as f64 / self.sizes.period_s).ceil().clamp(2000.0, 1e6);
            let budget = match kind {
                Kind::Control => String::new(),
                Kind::Router | Kind::Baseline => format!("    work-budget {work}\n"),
            };
            text += &format!(
                "fleet {{\n    listen {listen}\n    advertise {advertise}\n    keys fleet.keys\n{budget}}}\n"
            );
            text += &format!("duty probe {{\n    every {every}ms\n}}\n");
            let fleet_address = |address: &Address| self.fleet_address(address.datagrams);
            let control: Vec<SocketAddr> = self.control.iter().map(fleet_address).collect();
            let peers = if kind == Kind::Control { &control[..] } else { self.routers };
            for (index, peer) in peers.iter().take(SEED_PEERS).enumerate() {
                text += &format!("peer p{index} {{\n    address {peer}\n}}\n");
            }
        }
        if kind == Kind::Control {
            text += &format!("publish {{\n    listen {}\n    keys feed.keys\n}}\n", address.feed);
        } else if self.sizes.mode == Mode::Feed {
            let (listen, own_region) = (address.datagrams, region(address.datagrams));
            text += &format!(
                "subscribe {{\n    listen {listen}\n    keys feed.keys\n    region {own_region}\n}}\n"
            );
            for (index, control) in self.control.iter().enumerate() {
                let at = self
                    .partition
                    .map_or(control.feed, |partition| partition.feed_address(listen, control.feed));
                let region = region(control.feed);
                text += &format!("control c{index} {{\n    address {at}\n    region {region}\n}}\n");
            }
        }
        text
    }
}

impl Member {
    /// Writes the files of a process without starting it.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn new(
        (kind, index): (Kind, usize),
        address: Address,
        files: &Files<'_>,
        program: &Path,
    ) -> std::io::Result<Self> {
        let name = match kind {
            Kind::Router => format!("r{index}"),
            Kind::Baseline => format!("u{index}"),
            Kind::Control => format!("c{index}"),
        };
        let paths = files.write(kind, &name, address, index)?;
        let with_conf = kind == Kind::Control || (kind == Kind::Router && files.sizes.mode != Mode::Off);
        let program = program.to_path_buf();
        Ok(Self { kind, name, address, files: paths, with_conf, program, process: None, paused: false })
    }

    /// Starts the process without waiting until it serves.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(&mut self) -> std::io::Result<()> {
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&self.files[0]).env_clear();
        command.current_dir(self.files[0].parent().unwrap_or(Path::new(".")));
        if self.with_conf {
            command.arg("--conf").arg(&self.files[1]);
        }
        self.process = Some(Process::start(command, CapturedStream::Stderr)?);
        Ok(())
    }

    /// Waits until the process serves clients.
    ///
    /// # Errors
    /// It does not serve in time.
    pub fn await_serving(&self) -> std::io::Result<()> {
        let serves =
            self.process.as_ref().is_some_and(|process| process.wait_for_line("serves at", WAIT_TIMEOUT));
        let lines = || self.process.as_ref().map(Process::lines).unwrap_or_default();
        if serves {
            Ok(())
        } else {
            Err(self.error(&format!("did not start serving in time; its log: {:?}", lines())))
        }
    }

    fn error(&self, what: &str) -> std::io::Error {
        std::io::Error::other(format!("{} {what}", self.name))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Sends a signal, named as for `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
        }
    }

    /// Pauses the process by SIGSTOP, or continues it.
    pub fn set_paused(&mut self, paused: bool) {
        self.signal(if paused { "-STOP" } else { "-CONT" });
        self.paused = paused;
    }

    /// Whether the process has been started and not killed; it may be paused.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Whether it can report its counters: a process that is starting does not handle the signal yet.
    pub fn is_answering(&self) -> bool {
        let serves = |process: &Process| process.wait_for_line("serves at", Duration::ZERO);
        !self.paused && self.process.as_ref().is_some_and(serves)
    }

    /// Resident memory in bytes, and processor time since the start.
    pub fn usage(&self) -> Option<(u64, Duration)> {
        self.process.as_ref()?.usage()
    }

    /// Requests a report of the counters in the log. Returns the index of the log line from which to look for
    /// it.
    pub fn request_counters(&self) -> usize {
        let index = self.process.as_ref().map_or(0, Process::line_count);
        self.signal("-HUP");
        index
    }

    /// Waits for the requested counters, from the log line at `index` on, and sums them over all sockets.
    ///
    /// # Errors
    /// The process does not report them in time.
    pub fn counters(&self, index: usize, mode: Mode) -> std::io::Result<Counters> {
        let events: &[&str] = match (self.kind, mode) {
            (Kind::Control, _) => &["fleet_counts", "feed_counts"],
            (Kind::Router, Mode::Shared) => &["fleet_counts"],
            (Kind::Router, Mode::Feed) => &["feed_counts"],
            (Kind::Router, Mode::Off) | (Kind::Baseline, _) => &[],
        };
        let mut all = Counters::default();
        for event in events {
            let find = |line: &str| Counters::from_log_line(line, event);
            let found =
                self.process.as_ref().and_then(|process| process.wait_for_match(index, WAIT_TIMEOUT, find));
            all = all.plus(found.ok_or_else(|| self.error(&format!("logged no {event} event in time")))?);
        }
        Ok(all)
    }

    /// The times, in microseconds of Unix time, at which the process logged how its fleet shares tasks, and
    /// the number of routers that share them.
    pub fn task_shares(&self) -> Vec<(u64, u64)> {
        let lines = self.process.as_ref().map(Process::lines).unwrap_or_default();
        let share = |line: &String| {
            let line: Json = line.contains("fleet_tasks").then(|| serde_json::from_str(line).ok())??;
            Some((line["time_us"].as_u64()?, line["routers"].as_u64()?))
        };
        lines.iter().filter_map(share).collect()
    }
}
