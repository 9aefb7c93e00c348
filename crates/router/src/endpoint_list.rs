//! Parses the endpoint list that discovery sends as JSON, and converts its entries to endpoints for the
//! decision module.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

use futures_lite::future;
use quillpoint::host::{Endpoint, EndpointStatus, NodeId, ReplicaSetId, ZoneId};
use serde::Deserialize;
use serde_json::Value as Json;
use serde_json::value::RawValue;

use crate::deployment::Deployment;

/// How many entries are parsed before other tasks get a turn.
const ENTRIES_PER_STEP: usize = 256;
/// How many unreadable entries of a list are logged, and how many characters of each.
const MAX_LOGGED_ENTRIES: usize = 8;
const MAX_LOGGED_ENTRY_CHARS: usize = 500;

/// A response from discovery: a snapshot of the endpoint list, or a delta.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether the entries are the whole list, or only those that have changed.
    pub is_snapshot: bool,
    /// The entries that could be parsed.
    pub entries: Vec<EndpointEntry>,
    /// The number of entries that could not be parsed, which have been logged and left out.
    pub unreadable_entries: usize,
}

/// The form of a list in JSON. The entries are parsed one by one, so that an invalid entry does not invalidate
/// the others.
#[derive(Deserialize)]
struct ListFields<Entries> {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    entries: Entries,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
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
        let fields = ListFields::<Vec<Json>>::deserialize(json)?;
        let mut list = Self::without_entries(&fields);
        fields.entries.iter().for_each(|entry| list.push(EndpointEntry::deserialize(entry), entry));
        Ok(list)
    }

    /// Parses a list from the text of its JSON. Other tasks get a turn after some entries, since a list may
    /// have thousands.
    ///
    /// # Errors
    /// As [`Self::from_json`].
    pub async fn from_text(text: &[u8]) -> Result<Self, serde_json::Error> {
        let fields: ListFields<Vec<&RawValue>> = serde_json::from_slice(text)?;
        let mut list = Self::without_entries(&fields);
        list.entries.reserve_exact(fields.entries.len());
        for entries in fields.entries.chunks(ENTRIES_PER_STEP) {
            entries.iter().for_each(|entry| list.push(serde_json::from_str(entry.get()), entry));
            future::yield_now().await;
        }
        Ok(list)
    }

    fn without_entries<Entries>(fields: &ListFields<Entries>) -> Self {
        let ListFields { version, is_snapshot, .. } = *fields;
        Self { version, is_snapshot, entries: Vec::new(), unreadable_entries: 0 }
    }

    /// Adds an entry. One that could not be parsed is logged and counted.
    fn push(&mut self, parsed: Result<EndpointEntry, serde_json::Error>, text: impl Display) {
        match parsed {
            Ok(entry) => self.entries.push(entry),
            Err(error) => {
                self.unreadable_entries += 1;
                if self.unreadable_entries <= MAX_LOGGED_ENTRIES {
                    let text: String = text.to_string().chars().take(MAX_LOGGED_ENTRY_CHARS).collect();
                    log::warn!("skipped an unreadable endpoint list entry ({error}): {text}");
                }
            }
        }
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

    /// Applies a list and returns its endpoints.
    pub fn apply(&mut self, list: &EndpointList) -> Vec<Endpoint> {
        let mut endpoints = Vec::with_capacity(list.entries.len());
        let before = if list.is_snapshot { std::mem::take(&mut self.by_uid) } else { BTreeMap::new() };
        for entry in &list.entries {
            let endpoint = self.endpoint(entry);
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
        let endpoints = list.entries.iter().map(|entry| self.endpoint(entry));
        endpoints.filter(|endpoint| endpoint.status != EndpointStatus::InService).collect()
    }

    fn endpoint(&self, entry: &EndpointEntry) -> Endpoint {
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
