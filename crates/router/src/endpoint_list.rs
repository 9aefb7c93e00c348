//! Parses the endpoint list that discovery sends as JSON, and converts its entries to endpoints for the
//! decision module.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quillpoint::host::{Endpoint, EndpointStatus, NodeId, ReplicaSetId, ZoneId};
use serde::Deserialize;
use serde_json::Value as Json;

use crate::deployment::Deployment;

/// A response from discovery: a snapshot of the endpoint list, or a delta.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether the entries are the whole list, or only those that have changed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries. They are parsed one by one, so that an invalid entry does not invalidate the others.
    #[serde(rename = "targets")]
    pub entries: Vec<Json>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    /// Identifies the machine, which may come back at another address.
    uid: String,
    #[serde(rename = "endpoint")]
    address: SocketAddr,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "model")]
    kind: String,
    #[serde(default, rename = "pod_group")]
    replica_set: u64,
    #[serde(rename = "state")]
    status: Status,
    #[serde(default, rename = "boot_ms")]
    started_ms: f64,
    #[serde(default)]
    role: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum Status {
    #[serde(rename = "in_service")]
    InService,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

impl EndpointList {
    /// Parses a list from JSON.
    ///
    /// # Errors
    /// The version, the snapshot flag or the entries are missing or of the wrong type.
    pub fn from_json(json: &Json) -> Result<Self, serde_json::Error> {
        Self::deserialize(json)
    }
}

/// Converts endpoint lists to endpoints. It keeps the last endpoint of each machine.
pub struct EndpointParser {
    zones: Vec<String>,
    machine_types: Vec<String>,
    by_uid: BTreeMap<String, Endpoint>,
}

impl EndpointParser {
    /// Creates a parser without machines, for the zones and machine types of the deployment.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            zones: deployment.zones.clone(),
            machine_types: deployment.machine_types.clone(),
            by_uid: BTreeMap::new(),
        }
    }

    /// Applies a list and returns its endpoints. Entries that cannot be parsed are logged and skipped.
    pub fn apply(&mut self, list: &EndpointList) -> Vec<Endpoint> {
        let mut endpoints = Vec::with_capacity(list.entries.len());
        let before = if list.is_snapshot { std::mem::take(&mut self.by_uid) } else { BTreeMap::new() };
        for entry in list.entries.iter().filter_map(parse_entry) {
            let endpoint = self.endpoint(&entry);
            let previous = match endpoint.status {
                EndpointStatus::Removed => self.by_uid.remove(&entry.uid),
                _ => self.by_uid.insert(entry.uid.clone(), endpoint.clone()),
            };
            // The machine has another address now: its old node is removed, and a new one is added.
            if let Some(previous) = previous.or_else(|| before.get(&entry.uid).cloned())
                && previous.node != endpoint.node
            {
                endpoints.push(Endpoint { status: EndpointStatus::Removed, ..previous });
            }
            endpoints.push(endpoint);
        }
        endpoints
    }

    /// Returns the endpoints of a list that are draining or removed, without applying the list.
    pub fn draining_or_removed(&self, list: &EndpointList) -> Vec<Endpoint> {
        let endpoints = list.entries.iter().filter_map(parse_entry).map(|entry| self.endpoint(&entry));
        endpoints.filter(|endpoint| endpoint.status != EndpointStatus::InService).collect()
    }

    fn endpoint(&self, entry: &Entry) -> Endpoint {
        let index =
            |names: &[String], name: &str| names.iter().position(|candidate| candidate == name).unwrap_or(0);
        Endpoint {
            node: NodeId(entry.address),
            replica_set: ReplicaSetId(entry.replica_set),
            zone: ZoneId(index(&self.zones, &entry.zone)),
            machine_type: index(&self.machine_types, &entry.kind),
            primary: entry.role == "primary",
            status: match entry.status {
                Status::InService => EndpointStatus::InService,
                Status::Draining => EndpointStatus::Draining,
                Status::Removed => EndpointStatus::Removed,
            },
            started: Some(entry.started_ms).filter(|ms| *ms > 0.0).map(quillpoint_settings::duration_from_ms),
        }
    }
}

fn parse_entry(entry: &Json) -> Option<Entry> {
    let parsed = Entry::deserialize(entry);
    parsed
        .inspect_err(|error| log::warn!("skipped an unreadable endpoint list entry ({error}): {entry}"))
        .ok()
}
