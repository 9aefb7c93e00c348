//! The platform's JSON configuration: reads it, validates it and fills in defaults. No other module does.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value as Json;

use crate::config_error::ConfigError;
use crate::deployment::Deployment;
use crate::endpoint_list::EndpointList;

/// Descriptors that the process needs besides sockets: the standard streams, the async reactor, the signal
/// pipe.
const RESERVED_DESCRIPTORS: usize = 16;
/// With fewer descriptors the router could not connect to a client, a node and discovery at the same time.
const MIN_DESCRIPTORS: usize = 32;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The configuration that the platform passes to a router at startup.
#[derive(Debug)]
pub struct StartupOptions {
    /// The router's name, which stays the same across restarts.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generators; differs on every start.
    pub seed: u64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
    /// Memory limit of the whole process; `u64::MAX` if there is none.
    pub memory_bytes: u64,
    /// The last endpoint list that this router received before it was started.
    pub cached_endpoints: EndpointList,
    /// Settings shared by all routers of the deployment.
    pub deployment: Deployment,
}

impl StartupOptions {
    /// Reads the file at this path, or else the one named by GW_CONFIG. Environment variables override keys
    /// of the file.
    ///
    /// # Errors
    /// Names the invalid file, key or environment variable.
    pub fn read(file: Option<&Path>, env_var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let env_var = |name: &str| env_var(name).filter(|text| !text.is_empty());
        let path = file.map(|path| path.to_string_lossy().into_owned()).or_else(|| env_var("GW_CONFIG"));
        let path = path.ok_or(ConfigError::NoFile)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::UnreadableFile { path, error }),
        };
        match serde_json::from_str(&text) {
            Ok(json) => Self::from_json(&json, env_var),
            Err(error) => Err(ConfigError::InvalidJson { path, error }),
        }
    }

    /// Reads the configuration again on SIGHUP. GW_DISCOVERY dates from the start of the process, so the
    /// file's discovery address takes precedence over it. GW_NAME and GW_LISTEN still apply: both values are
    /// fixed while the process runs.
    ///
    /// # Errors
    /// As [`StartupOptions::read`].
    pub fn reread(
        file: Option<&Path>,
        env_var: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        Self::read(file, |name| env_var(name).filter(|_| name != "GW_DISCOVERY"))
    }

    /// The keys that differ in `other` and take effect only after a restart.
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

    /// Reads the platform's JSON object. Environment variables override its keys.
    ///
    /// # Errors
    /// Names the invalid key or environment variable.
    pub fn from_json(json: &Json, env_var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let text = |env_name, key| TextOption::read(json, key, env_name, &env_var);
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

/// A text from an environment variable, or else from a key of the JSON.
struct TextOption {
    /// Name of the environment variable or key, for error messages.
    source: &'static str,
    value: Option<String>,
}

impl TextOption {
    fn read(
        json: &Json,
        key: &'static str,
        env_name: &'static str,
        env_var: impl Fn(&str) -> Option<String>,
    ) -> Self {
        if let Some(text) = env_var(env_name) {
            return Self { source: env_name, value: Some(text) };
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
        found.parse().map_err(|_| ConfigError::invalid(self.source, "an IP address and port", found))
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
    count.ok_or_else(|| {
        ConfigError::invalid("limits.sockets", "a number of file descriptors, at least 32", json)
    })
}

fn memory_bytes(json: &Json) -> Result<u64, ConfigError> {
    if json.is_null() {
        return Ok(u64::MAX);
    }
    let bytes = json.as_f64().filter(|mb| *mb >= 1.0).map(|mb| (mb * BYTES_PER_MB) as u64);
    bytes.ok_or_else(|| {
        ConfigError::invalid("limits.memory_mb", "megabytes, at least 1, or null for no limit", json)
    })
}

fn deployment(json: &Json) -> Result<Deployment, ConfigError> {
    if !json.is_object() {
        return Err(ConfigError::invalid("settings", "an object with the deployment's settings", json));
    }
    Deployment::new(quillpoint_settings::settings_from_json(json))
}

fn cached_endpoints(json: &Json) -> Result<EndpointList, ConfigError> {
    if json.is_null() {
        return Ok(EndpointList::default());
    }
    EndpointList::from_json(json)
        .map_err(|error| ConfigError::invalid("known", "an endpoint list as discovery sends it", error))
}
