//! The roles of a process, as configured in quillpoint.conf: member of a fleet, publisher of the feed (a
//! control instance), subscriber to the feed (a router).

mod error;
mod key_file;

use std::time::Duration;

use quillpoint_conf::Conf;
use quillpoint_control_plane::{MemberConfig, PublisherConfig, SubscriberConfig};
use quillpoint_membership::ids::TaskKind;
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_membership::{FleetParams, PeerName};
use quillpoint_observation_feed::ControlInstance;
use quillpoint_observation_feed::publisher::PublisherParams;
use quillpoint_observation_feed::subscriber::SubscriberParams;

pub use self::error::RoleError;
use crate::config::StartupOptions;

/// How often nodes are health-checked if no staleness bound requires more frequent checks.
const DEFAULT_HEALTH_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// The interval between the digests of a control instance.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the feed datagrams read per second: four times the rate at which thousands of routers send to a
/// control instance, or at which the largest snapshots arrive at a router.
const MAX_FEED_DATAGRAMS_PER_SECOND: u64 = 20_000;
/// The burst of the work budget is 1/10 of the budget per second.
const WORK_BURST_DIVISOR: f64 = 10.0;

/// The configured roles; `None` if quillpoint.conf has no section for the role.
#[derive(Clone, Debug, Default)]
pub struct Roles {
    /// Member of a fleet (section `fleet`).
    pub fleet_member: Option<MemberConfig>,
    /// Publisher of the feed (section `publish`), which has to be a member of a fleet as well.
    pub publisher: Option<PublisherConfig>,
    /// Subscriber to the feed (section `subscribe`).
    pub subscriber: Option<SubscriberConfig>,
}

impl Roles {
    /// Reads the roles from quillpoint.conf, whose syntax has been checked already.
    ///
    /// # Errors
    /// A key file, the zone, a name or an address is invalid.
    pub fn from_conf(conf: &Conf, startup: &StartupOptions) -> Result<Self, RoleError> {
        let fleet_member = fleet_member(conf, startup)?;
        let publisher = match &fleet_member {
            Some(member) => publisher(conf, member)?,
            None => None,
        };
        let subscriber = subscriber(conf, startup)?;
        Ok(Self { fleet_member, publisher, subscriber })
    }
}

fn fleet_member(conf: &Conf, startup: &StartupOptions) -> Result<Option<MemberConfig>, RoleError> {
    let section = "fleet";
    if !conf.has_section(section) {
        return Ok(None);
    }
    let count =
        |directive| conf.count(section, "", directive).ok_or(RoleError::Missing { section, directive });
    let listen =
        conf.address(section, "", "listen").ok_or(RoleError::Missing { section, directive: "listen" })?;
    let zone = zone_index(conf, startup)?;
    let work_rate = count("work-budget")? as f64;
    Ok(Some(MemberConfig {
        name: PeerName::new(&startup.name)?,
        listen,
        advertise: conf.address(section, "", "advertise").unwrap_or(listen),
        zone: zone as u16,
        weight: count("weight")? as u8,
        keys: key_file::read(conf, section)?,
        seeds: conf.titles("peer").filter_map(|peer| conf.address("peer", peer, "address")).collect(),
        fleet_params: FleetParams {
            health_check: task_params(conf, "probe", TaskKind(0), default_health_check_period(startup))?,
            work_rate,
            work_burst: (work_rate / WORK_BURST_DIVISOR).max(1.0),
            gossip_bytes_per_second: count("news-budget")? as f64,
            budgets_grow_with_nodes: conf.has_section("publish"),
        },
        max_datagrams_per_second: count("letters")?,
    }))
}

/// The index of the configured zone in the deployment's list of zones, or the first one if none is
/// configured.
fn zone_index(conf: &Conf, startup: &StartupOptions) -> Result<usize, RoleError> {
    let zones = &startup.deployment.zones;
    let Some(configured) = conf.text("fleet", "", "zone") else { return Ok(0) };
    zones
        .iter()
        .position(|name| name == configured)
        .ok_or_else(|| RoleError::UnknownZone { known: zones.join(", "), found: configured.to_string() })
}

/// Takes the health check period from the fleet's configuration.
fn publisher(conf: &Conf, member: &MemberConfig) -> Result<Option<PublisherConfig>, RoleError> {
    let section = "publish";
    if !conf.has_section(section) {
        return Ok(None);
    }
    let count =
        |directive| conf.count(section, "", directive).ok_or(RoleError::Missing { section, directive });
    let listen =
        conf.address(section, "", "listen").ok_or(RoleError::Missing { section, directive: "listen" })?;
    if listen == member.listen && listen.port() != 0 {
        return Err(RoleError::SameAddress(listen));
    }
    Ok(Some(PublisherConfig {
        name: member.name.clone(),
        listen,
        keys: key_file::read(conf, section)?,
        params: PublisherParams {
            health_check_period: member.fleet_params.health_check.period,
            digest_interval: DIGEST_INTERVAL,
            snapshot_bytes_per_second: count("copy-budget")? as f64,
            max_subscribers: count("subscribers")? as usize,
        },
        max_datagrams_per_second: MAX_FEED_DATAGRAMS_PER_SECOND,
    }))
}

fn subscriber(conf: &Conf, startup: &StartupOptions) -> Result<Option<SubscriberConfig>, RoleError> {
    let section = "subscribe";
    if !conf.has_section(section) {
        return Ok(None);
    }
    let listen =
        conf.address(section, "", "listen").ok_or(RoleError::Missing { section, directive: "listen" })?;
    let routers = startup.deployment.settings.number("routers").unwrap_or(1.0).max(1.0);
    Ok(Some(SubscriberConfig {
        name: PeerName::new(&startup.name)?,
        listen,
        keys: key_file::read(conf, section)?,
        params: SubscriberParams {
            region: conf.text(section, "", "region").map(str::to_string),
            digest_interval: DIGEST_INTERVAL,
            health_check_period: default_health_check_period(startup),
            router_count: routers as u32,
        },
        control_instances: conf
            .titles("control")
            .map(|name| control_instance(conf, name))
            .collect::<Result<_, _>>()?,
        max_datagrams_per_second: MAX_FEED_DATAGRAMS_PER_SECOND,
    }))
}

fn control_instance(conf: &Conf, name: &str) -> Result<ControlInstance, RoleError> {
    let section = "control";
    let address =
        conf.address(section, name, "address").ok_or(RoleError::Missing { section, directive: "address" })?;
    let region = conf.text(section, name, "region").map(str::to_string);
    let name = PeerName::new(name)
        .map_err(|error| RoleError::InvalidControlName { name: name.to_string(), error })?;
    Ok(ControlInstance { name, address, region })
}

/// How often nodes are health-checked if the configuration does not set it: twice within the tightest
/// staleness bound.
fn default_health_check_period(startup: &StartupOptions) -> Duration {
    startup.deployment.tightest_staleness_bound.map_or(DEFAULT_HEALTH_CHECK_PERIOD, |bound| bound / 2)
}

/// The parameters of a kind of task; `default_period` applies if the configuration does not set the period.
fn task_params(
    conf: &Conf,
    title: &str,
    kind: TaskKind,
    default_period: Duration,
) -> Result<TaskParams, RoleError> {
    let section = "duty";
    let duration = |directive| conf.duration(section, title, directive);
    let count =
        |directive| conf.count(section, title, directive).ok_or(RoleError::Missing { section, directive });
    let period = duration("every").unwrap_or(default_period);
    Ok(TaskParams {
        kind,
        period,
        takeover_delay: duration("grace").unwrap_or(period),
        min_interval: duration("floor").unwrap_or(period),
        max_duration: duration("longest").ok_or(RoleError::Missing { section, directive: "longest" })?,
        priority: Priority(count("priority")? as u8),
        cost: count("cost")? as f64,
    })
}
