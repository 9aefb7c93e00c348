//! All that a router is told, from both of its files: the platform's JSON, and quillpoint.conf where there is one.

use std::path::{Path, PathBuf};

use quillpoint_conf::{Conf, ConfError};

use crate::config::StartupOptions;
use crate::config_error::ConfigError;
use crate::part::{BadPart, Parts};

/// Why a router cannot be started, or does not take over what it is told anew.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeConfigError {
    /// All that is wrong with quillpoint.conf, an error a line.
    #[error("{}", on_lines(.0))]
    Conf(Vec<ConfError>),
    /// What is wrong with the platform's configuration.
    #[error("{0}")]
    Platform(#[from] ConfigError),
    /// What is wrong with the router's part in a fleet or its end of the feed.
    #[error("{0}")]
    Part(#[from] BadPart),
}

fn on_lines(errors: &[ConfError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Where the files are, as the command line says.
#[derive(Clone, Debug, Default)]
pub struct ConfigFiles {
    /// The platform's JSON. It wins over GW_CONFIG, which wins over `platform` in quillpoint.conf.
    pub platform: Option<PathBuf>,
    /// quillpoint.conf.
    pub conf: Option<PathBuf>,
}

/// All that a router is told.
#[derive(Debug)]
pub struct RuntimeConfig {
    /// What the platform says.
    pub startup: StartupOptions,
    /// `None` where there is no quillpoint.conf.
    pub conf: Option<Conf>,
    /// What ties it to others.
    pub parts: Parts,
}

/// quillpoint.conf alone, which says how to log before anything else is read.
///
/// # Errors
/// All that is wrong with it.
pub fn read_conf(files: &ConfigFiles) -> Result<Option<Conf>, RuntimeConfigError> {
    files.conf.as_deref().map(quillpoint_conf::read).transpose().map_err(RuntimeConfigError::Conf)
}

impl RuntimeConfig {
    /// At the start of a process.
    ///
    /// # Errors
    /// The file, key or directive at fault.
    pub fn read(
        files: &ConfigFiles,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, RuntimeConfigError> {
        let conf = read_conf(files)?;
        let platform = platform_file(files, conf.as_ref(), &variable);
        Self::new(StartupOptions::read(platform.as_deref(), variable)?, conf)
    }

    /// While it runs, on SIGHUP.
    ///
    /// # Errors
    /// As [`RuntimeConfig::read`].
    pub fn reread(
        files: &ConfigFiles,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, RuntimeConfigError> {
        let conf = read_conf(files)?;
        let platform = platform_file(files, conf.as_ref(), &variable);
        Self::new(StartupOptions::reread(platform.as_deref(), variable)?, conf)
    }

    fn new(startup: StartupOptions, conf: Option<Conf>) -> Result<Self, RuntimeConfigError> {
        let parts = conf.as_ref().map(|conf| Parts::of(conf, &startup)).transpose()?.unwrap_or_default();
        Ok(Self { startup, conf, parts })
    }

    /// What differs in the other and waits for a restart: keys of the JSON, directives, or the file itself.
    pub fn restart_required(&self, other: &Self) -> Vec<String> {
        let mut changes: Vec<String> =
            self.startup.restart_required(&other.startup).iter().map(ToString::to_string).collect();
        match (&self.conf, &other.conf) {
            (Some(conf), Some(other)) => changes.extend(conf.restart_required(other)),
            (None, None) => {}
            _ => changes.push("quillpoint.conf".to_string()),
        }
        changes
    }
}

/// The platform's JSON, unless GW_CONFIG is to say where it is.
fn platform_file(
    files: &ConfigFiles,
    conf: Option<&Conf>,
    variable: &impl Fn(&str) -> Option<String>,
) -> Option<PathBuf> {
    if let Some(file) = &files.platform {
        return Some(file.clone());
    }
    if variable("GW_CONFIG").is_some_and(|path| !path.is_empty()) {
        return None;
    }
    conf.and_then(|conf| conf.path("", "", "platform")).map(Path::to_path_buf)
}
