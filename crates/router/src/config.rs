//! The platform's configuration: the one place where it is read, checked and given defaults.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value as Json;

use crate::config_error::ConfigError;
use crate::deployment::Deployment;
use crate::endpoint_list::EndpointList;

/// Descriptors that are no sockets of peers: the standard streams, the reactor's own, the signal pipe.
const RESERVED_DESCRIPTORS: usize = 16;
/// Fewer than these leave no room for a client, a node and discovery at once.
const MIN_DESCRIPTORS: usize = 32;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// All that the platform tells a router at its start.
#[derive(Debug)]
pub struct StartupOptions {
    /// The router's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// How many sockets the router may hold at once.
    pub max_sockets: usize,
    /// How many bytes the router may take in all.
    pub memory_bytes: u64,
    /// The endpoint list as this router had it last.
    pub cached_endpoints: EndpointList,
    /// What holds for all routers.
    pub deployment: Deployment,
}

impl StartupOptions {
    /// Reads the file at this path, or else the one that GW_CONFIG names. Variables win over the file.
    ///
    /// # Errors
    /// The file, key or variable at fault.
    pub fn read(file: Option<&Path>, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let variable = |name: &str| variable(name).filter(|text| !text.is_empty());
        let path = file.map(|path| path.to_string_lossy().into_owned()).or_else(|| variable("GW_CONFIG"));
        let path = path.ok_or(ConfigError::NoFile)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::UnreadableFile { path, error }),
        };
        match serde_json::from_str(&text) {
            Ok(json) => Self::from_json(&json, variable),
            Err(error) => Err(ConfigError::InvalidJson { path, error }),
        }
    }

    /// What a running router is told on SIGHUP. Its variables are as old as the process, so the file's word on
    /// where discovery is wins; name and address are the process's own and stay.
    ///
    /// # Errors
    /// As [`StartupOptions::read`].
    pub fn reread(
        file: Option<&Path>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        Self::read(file, |name| variable(name).filter(|_| name != "GW_DISCOVERY"))
    }

    /// The keys in which the other differs and which take effect only on a restart.
    pub fn restart_required(&self, other: &Self) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits.sockets", self.max_sockets != other.max_sockets),
            ("limits.memory_mb", self.memory_bytes != other.memory_bytes),
            ("settings", self.deployment.settings.0 != other.deployment.settings.0),
        ];
        changed.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// Reads the platform's JSON object. Variables win over its keys.
    ///
    /// # Errors
    /// The key or variable at fault.
    pub fn from_json(json: &Json, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let text = |variable_name, key| TextOption::read(json, key, variable_name, &variable);
        let name = text("GW_NAME", "name").required("the router's name")?;
        let seed = seed(&json["seed"])?;
        let descriptors = descriptors(&json["limits"]["sockets"])?;
        let memory_bytes = memory_bytes(&json["limits"]["memory_mb"])?;
        let deployment = deployment(&json["settings"])?;
        let cached_endpoints = cached_endpoints(&json["known"])?;
        Ok(Self {
            name,
            listen: text("GW_LISTEN", "listen").address()?,
            discovery: text("GW_DISCOVERY", "discovery").address()?,
            seed,
            max_sockets: descriptors - RESERVED_DESCRIPTORS,
            memory_bytes,
            cached_endpoints,
            deployment,
        })
    }
}

/// A text from a variable or a key of the JSON, whichever has it.
struct TextOption {
    /// The variable or key that it is from.
    source: &'static str,
    value: Option<String>,
}

impl TextOption {
    fn read(
        json: &Json,
        key: &'static str,
        variable_name: &'static str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Self {
        if let Some(text) = variable(variable_name) {
            return Self { source: variable_name, value: Some(text) };
        }
        let value = match &json[key] {
            Json::String(text) => Some(text.clone()),
            Json::Null => None,
            other => Some(other.to_string()),
        };
        Self { source: key, value }
    }

    fn required(self, expected: &'static str) -> Result<String, ConfigError> {
        self.value.ok_or_else(|| ConfigError::invalid(self.source, expected, "nothing"))
    }

    fn address(self) -> Result<SocketAddr, ConfigError> {
        let found = self.value.unwrap_or_else(|| "nothing".to_string());
        found.parse().map_err(|_| ConfigError::invalid(self.source, "an address and a port", found))
    }
}

fn seed(json: &Json) -> Result<u64, ConfigError> {
    let seed = match json {
        Json::String(digits) => u64::from_str_radix(digits, 16).ok(),
        other => other.as_u64(),
    };
    seed.ok_or_else(|| ConfigError::invalid("seed", "a number of up to 16 hex digits", json))
}

fn descriptors(json: &Json) -> Result<usize, ConfigError> {
    let count = json.as_u64().map(|count| count as usize).filter(|count| *count >= MIN_DESCRIPTORS);
    count.ok_or_else(|| ConfigError::invalid("limits.sockets", "a number of descriptors, 32 or more", json))
}

fn memory_bytes(json: &Json) -> Result<u64, ConfigError> {
    if json.is_null() {
        return Ok(u64::MAX);
    }
    let bytes = json.as_f64().filter(|mb| *mb >= 1.0).map(|mb| (mb * BYTES_PER_MB) as u64);
    bytes.ok_or_else(|| {
        ConfigError::invalid("limits.memory_mb", "megabytes, 1 or more, or nothing for no limit", json)
    })
}

fn deployment(json: &Json) -> Result<Deployment, ConfigError> {
    if !json.is_object() {
        return Err(ConfigError::invalid("settings", "the deployment's settings as an object", json));
    }
    Deployment::new(quillpoint_settings::settings_from_json(json))
}

fn cached_endpoints(json: &Json) -> Result<EndpointList, ConfigError> {
    if json.is_null() {
        return Ok(EndpointList::default());
    }
    EndpointList::from_json(json)
        .map_err(|error| ConfigError::invalid("known", "a list of nodes in discovery's form", error))
}
