//! A process's part in its fleet and its end of the feed, as quillpoint.conf says it.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;

use quillpoint_conf::Conf;
use quillpoint_control_plane::{MemberConfig, PublisherConfig, SubscriberConfig};
use quillpoint_datagram::keys::{KeyFileError, Keyring};
use quillpoint_membership::FleetParams;
use quillpoint_membership::PeerName;
use quillpoint_membership::ids::{InvalidPeerName, TaskKind};
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_observation_feed::{ControlInstance, publisher, subscriber};

use crate::config::StartupOptions;

/// How often nodes are probed where no bound on the age of reads asks for more.
const UNBOUND: Duration = Duration::from_millis(500);
/// The time between two digests of a control instance.
const DIGESTS: Duration = Duration::from_millis(100);
/// So many datagrams of the feed are looked at a second: four times what thousands of routers say, or what copies
/// bring at their largest.
const LETTERS: u64 = 20_000;
/// No key file is longer.
const LONGEST_KEYS: u64 = 64 << 10;

#[derive(Debug, thiserror::Error)]
pub enum BadPart {
    #[error("{section} keys {}: {error}", file.display())]
    Unreadable { section: &'static str, file: PathBuf, error: std::io::Error },
    #[error("{section} keys {}: expected a file that only its owner has rights to (chmod 600), found mode {mode:o}", file.display())]
    Open { section: &'static str, file: PathBuf, mode: u32 },
    #[error("{section} keys {}: {fault}", file.display())]
    Keys { section: &'static str, file: PathBuf, fault: KeyFileError },
    #[error("fleet zone: expected one of the deployment's zones ({known}), found {found}")]
    Zone { known: String, found: String },
    #[error("name: to be in a fleet, or told by control instances, {0}")]
    Name(#[from] InvalidPeerName),
    #[error("control {name}: {fault}")]
    Control { name: String, fault: InvalidPeerName },
    #[error("publish listen: expected another address than the fleet's, found {0} at both")]
    SameAddress(SocketAddr),
    /// The tables of `quillpoint-conf` see to it that this never comes.
    #[error("{0} {1}: expected a value")]
    Missing(&'static str, &'static str),
}

/// What ties a process to others; nothing of it where the configuration has no such section.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    pub fleet: Option<MemberConfig>,
    pub publish: Option<PublisherConfig>,
    pub subscribe: Option<SubscriberConfig>,
}

impl Parts {
    /// # Errors
    /// What is at fault beyond the form of the configuration: a key file, the zone, a name, an address.
    pub fn of(conf: &Conf, startup: &StartupOptions) -> Result<Self, BadPart> {
        let fleet = fleet(conf, startup)?;
        let publish = fleet.as_ref().map(|part| publish(conf, part)).transpose()?.flatten();
        Ok(Self { fleet, publish, subscribe: subscribe(conf, startup)? })
    }
}

fn fleet(conf: &Conf, startup: &StartupOptions) -> Result<Option<MemberConfig>, BadPart> {
    if !conf.has_section("fleet") {
        return Ok(None);
    }
    let count = |name| conf.count("fleet", "", name).ok_or(BadPart::Missing("fleet", name));
    let listen = conf.address("fleet", "", "listen").ok_or(BadPart::Missing("fleet", "listen"))?;
    let zones = &startup.deployment.zones;
    let zone = match conf.word("fleet", "", "zone") {
        None => 0,
        Some(zone) => zones
            .iter()
            .position(|known| known == zone)
            .ok_or_else(|| BadPart::Zone { known: zones.join(", "), found: zone.to_string() })?,
    };
    let rate = count("work-budget")? as f64;
    Ok(Some(MemberConfig {
        name: PeerName::new(&startup.name)?,
        listen,
        advertise: conf.address("fleet", "", "advertise").unwrap_or(listen),
        zone: zone as u16,
        weight: count("weight")? as u8,
        keys: keys(conf, "fleet")?,
        seeds: conf.titles("peer").filter_map(|peer| conf.address("peer", peer, "address")).collect(),
        plans: FleetParams {
            health_check: plan(conf, "probe", TaskKind(0), usual(startup))?,
            work_rate: rate,
            // A tenth of a second's work may come at once.
            work_burst: (rate / 10.0).max(1.0),
            gossip_bytes_per_second: count("news-budget")? as f64,
            budgets_grow_with_nodes: conf.has_section("publish"),
        },
        letters: count("letters")?,
    }))
}

/// A control instance's end of the feed; its fleet's plan says how often databases are probed.
fn publish(conf: &Conf, fleet: &MemberConfig) -> Result<Option<PublisherConfig>, BadPart> {
    if !conf.has_section("publish") {
        return Ok(None);
    }
    let count = |name| conf.count("publish", "", name).ok_or(BadPart::Missing("publish", name));
    let listen = conf.address("publish", "", "listen").ok_or(BadPart::Missing("publish", "listen"))?;
    if listen == fleet.listen && listen.port() != 0 {
        return Err(BadPart::SameAddress(listen));
    }
    Ok(Some(PublisherConfig {
        name: fleet.name.clone(),
        listen,
        keys: keys(conf, "publish")?,
        plan: publisher::PublisherParams {
            health_check_period: fleet.plans.health_check.period,
            digest_interval: DIGESTS,
            snapshot_bytes_per_second: count("copy-budget")? as f64,
            max_subscribers: count("subscribers")? as usize,
        },
        letters: LETTERS,
    }))
}

/// A router's end of the feed.
fn subscribe(conf: &Conf, startup: &StartupOptions) -> Result<Option<SubscriberConfig>, BadPart> {
    if !conf.has_section("subscribe") {
        return Ok(None);
    }
    let listen = conf.address("subscribe", "", "listen").ok_or(BadPart::Missing("subscribe", "listen"))?;
    let control = |name: &str| -> Result<ControlInstance, BadPart> {
        let address =
            conf.address("control", name, "address").ok_or(BadPart::Missing("control", "address"))?;
        let region = conf.word("control", name, "region").map(str::to_string);
        let fault = |fault| BadPart::Control { name: name.to_string(), fault };
        Ok(ControlInstance { name: PeerName::new(name).map_err(fault)?, address, region })
    };
    Ok(Some(SubscriberConfig {
        name: PeerName::new(&startup.name)?,
        listen,
        keys: keys(conf, "subscribe")?,
        plan: subscriber::SubscriberParams {
            region: conf.word("subscribe", "", "region").map(str::to_string),
            digest_interval: DIGESTS,
            health_check_period: usual(startup),
            router_count: startup.deployment.values.number("routers").unwrap_or(1.0).max(1.0) as u32,
        },
        control: conf.titles("control").map(control).collect::<Result<_, _>>()?,
        letters: LETTERS,
    }))
}

/// How often nodes are probed where the configuration does not say.
fn usual(startup: &StartupOptions) -> Duration {
    startup.deployment.tightest_staleness_bound.map_or(UNBOUND, |at| at / 2)
}

/// `usual` is how often it is done where the configuration does not say.
fn plan(conf: &Conf, title: &str, kind: TaskKind, usual: Duration) -> Result<TaskParams, BadPart> {
    let span = |name| conf.duration("duty", title, name);
    let period = span("every").unwrap_or(usual);
    let count = |name| conf.count("duty", title, name).ok_or(BadPart::Missing("duty", name));
    Ok(TaskParams {
        kind,
        period,
        takeover_delay: span("grace").unwrap_or(period),
        min_interval: span("floor").unwrap_or(period),
        max_duration: span("longest").ok_or(BadPart::Missing("duty", "longest"))?,
        priority: Priority(count("priority")? as u8),
        cost: count("cost")? as f64,
    })
}

fn keys(conf: &Conf, section: &'static str) -> Result<Keyring, BadPart> {
    let file = conf.path(section, "", "keys").ok_or(BadPart::Missing(section, "keys"))?;
    let unreadable = |error| BadPart::Unreadable { section, file: file.to_path_buf(), error };
    let about = std::fs::metadata(file).map_err(unreadable)?;
    let mode = about.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(BadPart::Open { section, file: file.to_path_buf(), mode });
    }
    if about.len() > LONGEST_KEYS {
        return Err(unreadable(std::io::Error::other("far too long for a key file")));
    }
    let text = std::fs::read_to_string(file).map_err(unreadable)?;
    Keyring::parse(&text).map_err(|fault| BadPart::Keys { section, file: file.to_path_buf(), fault })
}
