//! Real processes of a run, the program as it ships: routers and control instances, each with its files.

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
use crate::scale::border::Border;
use crate::scale::counters::Sums;
use crate::scale::hollow::region;

/// What is awaited for so long never comes.
const NEVER: Duration = Duration::from_secs(30);
/// Addresses of so many routers stand in each router's file: who has any of them finds all.
const SEEDS: usize = 5;

/// Whether a process is a router, one without a control side, or a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Router,
    /// It is told nothing of quillpoint.conf: what the same load costs without control.
    Untied,
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
    pub border: Option<&'a Border>,
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
    stands_still: bool,
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
        place: usize,
    ) -> std::io::Result<[PathBuf; 2]> {
        let sizes = self.sizes;
        let of_clients = if kind == Kind::Control { 0 } else { sizes.connections };
        let tree = platform_json(&PlatformConfig {
            name: name.to_string(),
            listen: address.clients,
            discovery: self.discovery,
            seed: sizes.seed.wrapping_mul(1000).wrapping_add(place as u64),
            sockets: 256 + sizes.databases + of_clients,
            memory_mb: 192 + of_clients / 10,
            // Without control it would probe by itself what control spares it: that is no part of the same load.
            may_probe: kind != Kind::Untied,
            known_endpoints: Json::Null,
        });
        let files = [self.folder.join(format!("{name}.json")), self.folder.join(format!("{name}.conf"))];
        fs::write(&files[0], tree.to_string())?;
        fs::write(&files[1], self.conf(kind, address))?;
        Ok(files)
    }

    /// Where a member's fleet reaches it.
    fn of_fleet(&self, listens: SocketAddr) -> SocketAddr {
        self.border.map_or(listens, |border| border.of_fleet(listens))
    }

    fn conf(&self, kind: Kind, address: Address) -> String {
        let mut text = "log json\n".to_string();
        let fleet = self.sizes.mode == Mode::Shared || kind == Kind::Control;
        if fleet {
            let (listen, every) = (address.datagrams, (self.sizes.period_s * 1000.0).round());
            let advertise = self.of_fleet(listen);
            // All of them twice over, should the others be gone, as a control instance reckons by itself: a budget
            // that is short would be measured instead.
            let work = (2.0 * self.sizes.databases as f64 / self.sizes.period_s).ceil().clamp(2000.0, 1e6);
            let budget = match kind {
                Kind::Control => String::new(),
                Kind::Router | Kind::Untied => format!("    work-budget {work}\n"),
            };
            text += &format!(
                "fleet {{\n    listen {listen}\n    advertise {advertise}\n    keys fleet.keys\n{budget}}}\n"
            );
            text += &format!("duty probe {{\n    every {every}ms\n}}\n");
            let of_fleet = |address: &Address| self.of_fleet(address.datagrams);
            let control: Vec<SocketAddr> = self.control.iter().map(of_fleet).collect();
            let peers = if kind == Kind::Control { &control[..] } else { self.routers };
            for (place, peer) in peers.iter().take(SEEDS).enumerate() {
                text += &format!("peer p{place} {{\n    address {peer}\n}}\n");
            }
        }
        if kind == Kind::Control {
            text += &format!("publish {{\n    listen {}\n    keys feed.keys\n}}\n", address.feed);
        } else if self.sizes.mode == Mode::Feed {
            let (listen, near) = (address.datagrams, region(address.datagrams));
            text +=
                &format!("subscribe {{\n    listen {listen}\n    keys feed.keys\n    region {near}\n}}\n");
            for (place, control) in self.control.iter().enumerate() {
                let at = self.border.map_or(control.feed, |border| border.of_feed(listen, control.feed));
                let region = region(control.feed);
                text += &format!("control c{place} {{\n    address {at}\n    region {region}\n}}\n");
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
        (kind, place): (Kind, usize),
        address: Address,
        files: &Files<'_>,
        program: &Path,
    ) -> std::io::Result<Self> {
        let name = match kind {
            Kind::Router => format!("r{place}"),
            Kind::Untied => format!("u{place}"),
            Kind::Control => format!("c{place}"),
        };
        let written = files.write(kind, &name, address, place)?;
        let with_conf = kind == Kind::Control || (kind == Kind::Router && files.sizes.mode != Mode::Off);
        let program = program.to_path_buf();
        Ok(Self {
            kind,
            name,
            address,
            files: written,
            with_conf,
            program,
            process: None,
            stands_still: false,
        })
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
        self.process = Some(Process::start(command, CapturedStream::Stderr)?);
        Ok(())
    }

    /// # Errors
    /// It does not serve in time.
    pub fn await_serving(&self) -> std::io::Result<()> {
        let serves = self.process.as_ref().is_some_and(|process| process.wait_for_line("serves at", NEVER));
        let lines = || self.process.as_ref().map(Process::lines).unwrap_or_default();
        if serves { Ok(()) } else { Err(self.fault(&format!("does not serve: {:?}", lines()))) }
    }

    fn fault(&self, what: &str) -> std::io::Error {
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
    pub fn stand_still(&mut self, stands_still: bool) {
        self.signal(if stands_still { "-STOP" } else { "-CONT" });
        self.stands_still = stands_still;
    }

    pub fn runs(&self) -> bool {
        self.process.is_some()
    }

    /// Whether it tells its counts when it is asked: one that starts does not take the signal yet.
    pub fn answers(&self) -> bool {
        let serves = |process: &Process| process.wait_for_line("serves at", Duration::ZERO);
        !self.stands_still && self.process.as_ref().is_some_and(serves)
    }

    /// The resident memory in bytes, and the processor time so far.
    pub fn usage(&self) -> Option<(u64, Duration)> {
        self.process.as_ref()?.usage()
    }

    /// Asks for the counts, of which each event is one; where they will stand in its log.
    pub fn ask(&self) -> usize {
        let place = self.process.as_ref().map_or(0, Process::line_count);
        self.signal("-HUP");
        place
    }

    /// What was asked for: the sums of all its sockets.
    ///
    /// # Errors
    /// Nothing is told in time.
    pub fn told(&self, place: usize, mode: Mode) -> std::io::Result<Sums> {
        let events: &[&str] = match (self.kind, mode) {
            (Kind::Control, _) => &["fleet_counts", "feed_counts"],
            (Kind::Router, Mode::Shared) => &["fleet_counts"],
            (Kind::Router, Mode::Feed) => &["feed_counts"],
            (Kind::Router, Mode::Off) | (Kind::Untied, _) => &[],
        };
        let mut all = Sums::default();
        for event in events {
            let find = |line: &str| Sums::of(line, event);
            let found = self.process.as_ref().and_then(|process| process.wait_for_match(place, NEVER, find));
            all = all.plus(found.ok_or_else(|| self.fault(&format!("tells no {event}")))?);
        }
        Ok(all)
    }

    /// Among how many it has said that it shares duties, and when: microseconds of Unix time, and their number.
    pub fn duties(&self) -> Vec<(u64, u64)> {
        let lines = self.process.as_ref().map(Process::lines).unwrap_or_default();
        let told = |line: &String| {
            let line: Json = line.contains("fleet_tasks").then(|| serde_json::from_str(line).ok())??;
            Some((line["time_us"].as_u64()?, line["routers"].as_u64()?))
        };
        lines.iter().filter_map(told).collect()
    }
}
