//! The list of nodes in discovery's form: its pages to lines for the module.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quillpoint::host::{Endpoint, EndpointStatus, NodeId, ReplicaSetId, ZoneId};
use serde::Deserialize;
use serde_json::Value as Json;

use crate::deployment::Deployment;

/// One answer of discovery.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Page {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Json>,
}

#[derive(Debug, Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u64,
    state: State,
    #[serde(default)]
    boot_ms: f64,
    #[serde(default)]
    role: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    InService,
    Terminating,
    Terminated,
}

impl Page {
    pub fn of(tree: &Json) -> Result<Self, serde_json::Error> {
        Self::deserialize(tree)
    }
}

/// Turns pages to lines for the module. It remembers which endpoint each `uid` had.
pub struct Reader {
    zones: Vec<String>,
    kinds: Vec<String>,
    endpoints: BTreeMap<String, Endpoint>,
}

impl Reader {
    pub fn new(deployment: &Deployment) -> Self {
        let (zones, kinds) = (deployment.zones.clone(), deployment.kinds.clone());
        Self { zones, kinds, endpoints: BTreeMap::new() }
    }

    pub fn lines(&mut self, page: &Page) -> Vec<Endpoint> {
        let mut lines = Vec::with_capacity(page.targets.len());
        let before = if page.all { std::mem::take(&mut self.endpoints) } else { BTreeMap::new() };
        for target in page.targets.iter().filter_map(read) {
            let line = self.line(&target);
            let old = match line.status {
                EndpointStatus::Removed => self.endpoints.remove(&target.uid),
                _ => self.endpoints.insert(target.uid.clone(), line.clone()),
            };
            // A machine that shows up elsewhere: the old node is gone, and a new one has come.
            if let Some(old) = old.or_else(|| before.get(&target.uid).cloned())
                && old.node != line.node
            {
                lines.push(Endpoint { status: EndpointStatus::Removed, ..old });
            }
            lines.push(line);
        }
        lines
    }

    /// The entries of a page that say that a node drains or is gone. Nothing of the page is remembered.
    pub fn stops(&self, page: &Page) -> Vec<Endpoint> {
        let lines = page.targets.iter().filter_map(read).map(|target| self.line(&target));
        lines.filter(|line| line.status != EndpointStatus::InService).collect()
    }

    fn line(&self, target: &Target) -> Endpoint {
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        Endpoint {
            node: NodeId(target.endpoint),
            replica_set: ReplicaSetId(target.pod_group),
            zone: ZoneId(place(&self.zones, &target.az).unwrap_or(0)),
            kind: place(&self.kinds, &target.model).unwrap_or(0),
            primary: target.role == "primary",
            status: match target.state {
                State::InService => EndpointStatus::InService,
                State::Terminating => EndpointStatus::Draining,
                State::Terminated => EndpointStatus::Removed,
            },
            started: Some(target.boot_ms).filter(|ms| *ms > 0.0).map(quillpoint_settings::duration_from_ms),
        }
    }
}

fn read(entry: &Json) -> Option<Target> {
    let target = Target::deserialize(entry);
    target.inspect_err(|error| log::warn!("list entry skipped, {error}: {entry}")).ok()
}
