//! A router's part in its fleet, as quillpoint.conf says it.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use quillpoint_conf::Conf;
use quillpoint_control::Part;
use quillpoint_datagram::keys::{BadKeys, Keyring};
use quillpoint_fleet::PeerName;
use quillpoint_fleet::Plans;
use quillpoint_fleet::duties::Plan;
use quillpoint_fleet::ids::{BadName, KindId};
use quillpoint_fleet::scheduler::Priority;

use crate::config::Launch;

/// How often nodes are probed where no bound on the age of reads asks for more.
const UNBOUND: Duration = Duration::from_millis(500);
/// No key file is longer.
const LONGEST_KEYS: u64 = 64 << 10;

#[derive(Debug, thiserror::Error)]
pub enum BadPart {
    #[error("fleet keys {}: {error}", file.display())]
    Unreadable { file: PathBuf, error: std::io::Error },
    #[error("fleet keys {}: expected a file that only its owner has rights to (chmod 600), found mode {mode:o}", file.display())]
    Open { file: PathBuf, mode: u32 },
    #[error("fleet keys {}: {fault}", file.display())]
    Keys { file: PathBuf, fault: BadKeys },
    #[error("fleet zone: expected one of the deployment's zones ({known}), found {found}")]
    Zone { known: String, found: String },
    #[error("name: to be in a fleet, {0}")]
    Name(#[from] BadName),
    /// The tables of `quillpoint-conf` see to it that this never comes.
    #[error("fleet {0}: expected a value")]
    Missing(&'static str),
}

/// Nothing, where the configuration puts the router in no fleet.
///
/// # Errors
/// What is at fault beyond the form of the configuration: the key file, the zone, the router's name.
pub fn of(conf: &Conf, launch: &Launch) -> Result<Option<Part>, BadPart> {
    if !conf.has_section("fleet") {
        return Ok(None);
    }
    let count = |name| conf.count("fleet", "", name).ok_or(BadPart::Missing(name));
    let listen = conf.address("fleet", "", "listen").ok_or(BadPart::Missing("listen"))?;
    let zones = &launch.deployment.zones;
    let zone = match conf.word("fleet", "", "zone") {
        None => 0,
        Some(zone) => zones
            .iter()
            .position(|known| known == zone)
            .ok_or_else(|| BadPart::Zone { known: zones.join(", "), found: zone.to_string() })?,
    };
    let rate = count("work-budget")? as f64;
    Ok(Some(Part {
        name: PeerName::new(&launch.name)?,
        listen,
        advertise: conf.address("fleet", "", "advertise").unwrap_or(listen),
        zone: zone as u16,
        weight: count("weight")? as u8,
        keys: keys(conf.path("fleet", "", "keys").ok_or(BadPart::Missing("keys"))?)?,
        seeds: conf.titles("peer").filter_map(|peer| conf.address("peer", peer, "address")).collect(),
        plans: Plans {
            probe: plan(conf, "probe", KindId(0), launch.deployment.tightest.map_or(UNBOUND, |at| at / 2))?,
            work_rate: rate,
            // A tenth of a second's work may come at once.
            work_burst: (rate / 10.0).max(1.0),
            news_rate: count("news-budget")? as f64,
        },
        letters: count("letters")?,
    }))
}

/// `usual` is how often it is done where the configuration does not say.
fn plan(conf: &Conf, title: &str, kind: KindId, usual: Duration) -> Result<Plan, BadPart> {
    let span = |name| conf.span("duty", title, name);
    let period = span("every").unwrap_or(usual);
    let count = |name| conf.count("duty", title, name).ok_or(BadPart::Missing(name));
    Ok(Plan {
        kind,
        period,
        grace: span("grace").unwrap_or(period),
        floor: span("floor").unwrap_or(period),
        longest: span("longest").ok_or(BadPart::Missing("longest"))?,
        priority: Priority(count("priority")? as u8),
        cost: count("cost")? as f64,
    })
}

fn keys(file: &Path) -> Result<Keyring, BadPart> {
    let unreadable = |error| BadPart::Unreadable { file: file.to_path_buf(), error };
    let about = std::fs::metadata(file).map_err(unreadable)?;
    let mode = about.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(BadPart::Open { file: file.to_path_buf(), mode });
    }
    if about.len() > LONGEST_KEYS {
        return Err(unreadable(std::io::Error::other("far too long for a key file")));
    }
    let text = std::fs::read_to_string(file).map_err(unreadable)?;
    Keyring::parse(&text).map_err(|fault| BadPart::Keys { file: file.to_path_buf(), fault })
}
