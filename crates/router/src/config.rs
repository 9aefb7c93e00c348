//! What a router is told at its start: the one place where it is read, checked and given defaults.
//!
//! Each fault names the variable or key at fault and what was expected there.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use serde_json::Value as Json;

use crate::deployment::{Deployment, Fault, fault};
use crate::endpoint_list::EndpointList;

/// Descriptors that are no sockets of peers: the standard streams, the reactor's own, the signal pipe.
const RESERVED: usize = 16;
/// Fewer than these leave no room for a client, a node and discovery at once.
const FEWEST_SOCKETS: usize = 32;

/// All that a router is told.
#[derive(Debug)]
pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// How many sockets the router may hold at once.
    pub sockets: usize,
    /// How many bytes the router may take in all.
    pub memory: u64,
    /// The list of nodes as this router had it last.
    pub known: EndpointList,
    pub deployment: Deployment,
}

impl Launch {
    /// Variables win over the file. `file` wins over GW_CONFIG.
    pub fn read(file: Option<&Path>, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Fault> {
        let variable = |name: &str| variable(name).filter(|text| !text.is_empty());
        let path = file.map(|path| path.to_string_lossy().into_owned()).or_else(|| variable("GW_CONFIG"));
        let path = path.ok_or(Fault::NoFile)?;
        let text = std::fs::read_to_string(&path).map_err(|error| Fault::Unreadable(path.clone(), error))?;
        let tree: Json = serde_json::from_str(&text).map_err(|error| Fault::NoJson(path.clone(), error))?;
        Self::from_tree(&tree, variable)
    }

    /// What a running router is told on SIGHUP. Its variables are as old as the process, so the file's word on
    /// where discovery is wins; name and address are the process's own and stay.
    pub fn reread(file: Option<&Path>, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Fault> {
        Self::read(file, |name| variable(name).filter(|_| name != "GW_DISCOVERY"))
    }

    /// The keys in which the other differs and which are not taken over while the router runs.
    pub fn held_back(&self, other: &Self) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits.sockets", self.sockets != other.sockets),
            ("limits.memory_mb", self.memory != other.memory),
            ("settings", self.deployment.values.0 != other.deployment.values.0),
        ];
        changed.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect()
    }

    pub fn from_tree(tree: &Json, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Fault> {
        let text = |name: &str, key: &str| match (variable(name), &tree[key]) {
            (Some(text), _) => (name.to_string(), Some(text)),
            (None, Json::String(text)) => (key.to_string(), Some(text.clone())),
            (None, Json::Null) => (key.to_string(), None),
            (None, other) => (key.to_string(), Some(other.to_string())),
        };
        let (key, name) = text("GW_NAME", "name");
        let name = name.ok_or_else(|| fault(&key, "the router's name", "nothing"))?;
        let seed = match &tree["seed"] {
            Json::String(digits) => u64::from_str_radix(digits, 16).ok(),
            other => other.as_u64(),
        };
        let seed = seed.ok_or_else(|| fault("seed", "a number of up to 16 hex digits", &tree["seed"]))?;
        let sockets = &tree["limits"]["sockets"];
        let sockets = sockets
            .as_u64()
            .filter(|count| *count as usize >= FEWEST_SOCKETS)
            .ok_or_else(|| fault("limits.sockets", "a number of descriptors, 32 or more", sockets))?;
        let memory = match &tree["limits"]["memory_mb"] {
            Json::Null => u64::MAX,
            mb => mb.as_f64().filter(|mb| *mb >= 1.0).map(|mb| (mb * 1024.0 * 1024.0) as u64).ok_or_else(
                || fault("limits.memory_mb", "megabytes, 1 or more, or nothing for no limit", mb),
            )?,
        };
        let settings = &tree["settings"];
        if !settings.is_object() {
            return Err(fault("settings", "the deployment's settings as an object", settings));
        }
        let deployment = Deployment::of(quillpoint_settings::flat_tree(settings))?;
        let known = match &tree["known"] {
            Json::Null => EndpointList::default(),
            page => EndpointList::from_json(page)
                .map_err(|error| fault("known", "a list of nodes in discovery's form", error))?,
        };
        Ok(Self {
            name,
            listen: address(text("GW_LISTEN", "listen"))?,
            discovery: address(text("GW_DISCOVERY", "discovery"))?,
            seed,
            sockets: sockets as usize - RESERVED,
            memory,
            known,
            deployment,
        })
    }
}

fn address((key, found): (String, Option<String>)) -> Result<SocketAddr, Fault> {
    let found = found.unwrap_or_else(|| "nothing".to_string());
    SocketAddr::from_str(&found).map_err(|_| fault(&key, "an address and a port", found))
}
