//! Real processes of a run, the program as it ships: routers and control instances, each with its files.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::Value as Json;

use crate::process::{Kept, Process};
use crate::record::{Mode, Sizes};
use crate::routers::{Platform, platform};
use crate::scale::counters::Counters;
use crate::scale::hollow::region;
use crate::scale::partition::PartitionRelays;

/// What is awaited for so long never comes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Addresses of so many routers stand in each router's file: who has any of them finds all.
const SEED_PEERS: usize = 5;

/// Whether a process is a router, one without a control side, or a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Router,
    /// It is told nothing of quillpoint.conf: what the same load costs without control.
    Baseline,
    Control,
}

/// Where a process is: for clients, for its fleet's datagrams, and for the feed's.
#[derive(Clone, Copy, Debug)]
pub struct Address {
    pub clients: SocketAddr,
    pub datagrams: SocketAddr,
    pub feed: SocketAddr,
}

/// The files of a run and what all of them say.
pub struct Files<'a> {
    pub folder: &'a Path,
    pub sizes: &'a Sizes,
    pub discovery: SocketAddr,
    /// All routers' addresses, the real ones' first, and all control instances'.
    pub routers: &'a [SocketAddr],
    pub control: &'a [Address],
    /// Between the halves of a fleet that are to be cut from each other.
    pub partition: Option<&'a PartitionRelays>,
}

pub struct Member {
    pub kind: Kind,
    pub name: String,
    pub address: Address,
    files: [PathBuf; 2],
    /// Whether it is told of quillpoint.conf.
    with_conf: bool,
    program: PathBuf,
    process: Option<Process>,
    paused: bool,
}

impl Files<'_> {
    /// The keys of the fleet and of the feed.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn write_keys(&self) -> std::io::Result<()> {
        fs::create_dir_all(self.folder)?;
        for (name, byte) in [("fleet.keys", "5c"), ("feed.keys", "a3")] {
            let path = self.folder.join(name);
            fs::write(&path, format!("# of this run alone\n{}\n", byte.repeat(32)))?;
            fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        }
        Ok(())
    }

    /// A process's platform and quillpoint.conf, in that order.
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
        let json = platform(&Platform {
            name: name.to_string(),
            listen: address.clients,
            discovery: self.discovery,
            seed: sizes.seed.wrapping_mul(1000).wrapping_add(index as u64),
            sockets: 256 + sizes.databases + of_clients,
            memory_mb: 192 + of_clients / 10,
            // Without control it would probe by itself what control spares it: that is no part of the same load.
            probes: kind != Kind::Baseline,
            known: Json::Null,
        });
        let files = [self.folder.join(format!("{name}.json")), self.folder.join(format!("{name}.conf"))];
        fs::write(&files[0], json.to_string())?;
        fs::write(&files[1], self.conf(kind, address))?;
        Ok(files)
    }

    /// Where a member's fleet reaches it.
    fn fleet_address(&self, address: SocketAddr) -> SocketAddr {
        self.partition.map_or(address, |partition| partition.fleet_address(address))
    }

    fn conf(&self, kind: Kind, address: Address) -> String {
        let mut text = "log json\n".to_string();
        let fleet = self.sizes.mode == Mode::Shared || kind == Kind::Control;
        if fleet {
            let (listen, every) = (address.datagrams, (self.sizes.period_s * 1000.0).round());
            let advertise = self.fleet_address(listen);
            // All of them twice over, should the others be gone, as a control instance reckons by itself: a budget
            // that is short would be measured instead.
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
            let (listen, near) = (address.datagrams, region(address.datagrams));
            text +=
                &format!("subscribe {{\n    listen {listen}\n    keys feed.keys\n    region {near}\n}}\n");
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
    /// Not yet started.
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

    /// Starts it, which takes a while.
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
        self.process = Some(Process::start(command, Kept::Errors)?);
        Ok(())
    }

    /// # Errors
    /// It does not serve in time.
    pub fn await_serving(&self) -> std::io::Result<()> {
        let serves =
            self.process.as_ref().is_some_and(|process| process.await_line("serves at", WAIT_TIMEOUT));
        let lines = || self.process.as_ref().map(Process::lines).unwrap_or_default();
        if serves { Ok(()) } else { Err(self.error(&format!("does not serve: {:?}", lines()))) }
    }

    fn error(&self, what: &str) -> std::io::Error {
        std::io::Error::other(format!("{} {what}", self.name))
    }

    pub fn kill(&mut self) {
        self.process = None;
    }

    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
        }
    }

    /// Stopped as it is, or continued.
    pub fn set_paused(&mut self, paused: bool) {
        self.signal(if paused { "-STOP" } else { "-CONT" });
        self.paused = paused;
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Whether it tells its counts when it is asked: one that starts does not take the signal yet.
    pub fn is_answering(&self) -> bool {
        let serves = |process: &Process| process.await_line("serves at", Duration::ZERO);
        !self.paused && self.process.as_ref().is_some_and(serves)
    }

    /// The resident memory in bytes, and the processor time so far.
    pub fn usage(&self) -> Option<(u64, Duration)> {
        self.process.as_ref()?.usage()
    }

    /// Asks for the counts, of which each event is one; where they will stand in its log.
    pub fn request_counters(&self) -> usize {
        let index = self.process.as_ref().map_or(0, Process::count);
        self.signal("-HUP");
        index
    }

    /// What was asked for: the sums of all its sockets.
    ///
    /// # Errors
    /// Nothing is told in time.
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
                self.process.as_ref().and_then(|process| process.await_from(index, WAIT_TIMEOUT, find));
            all = all.plus(found.ok_or_else(|| self.error(&format!("tells no {event}")))?);
        }
        Ok(all)
    }

    /// Among how many it has said that it shares duties, and when: microseconds of Unix time, and their number.
    pub fn task_shares(&self) -> Vec<(u64, u64)> {
        let lines = self.process.as_ref().map(Process::lines).unwrap_or_default();
        let share = |line: &String| {
            let line: Json = line.contains("fleet_tasks").then(|| serde_json::from_str(line).ok())??;
            Some((line["time_us"].as_u64()?, line["routers"].as_u64()?))
        };
        lines.iter().filter_map(share).collect()
    }
}
