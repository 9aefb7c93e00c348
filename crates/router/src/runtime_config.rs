//! The complete configuration of a router: the platform's JSON, and quillpoint.conf if there is one.

use std::path::{Path, PathBuf};

use quillpoint_conf::{Conf, ConfError};

use crate::config::StartupOptions;
use crate::config_error::ConfigError;
use crate::roles::{RoleError, Roles};

/// The reason why the configuration cannot be read or reloaded.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeConfigError {
    /// All errors in quillpoint.conf, one per line.
    #[error("{}", join_lines(.0))]
    Conf(Vec<ConfError>),
    /// An error in the platform's configuration.
    #[error("{0}")]
    Platform(#[from] ConfigError),
    /// An error in the configuration of the roles.
    #[error("{0}")]
    Role(#[from] RoleError),
}

fn join_lines(errors: &[ConfError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// The paths of the configuration files, as given on the command line.
#[derive(Clone, Debug, Default)]
pub struct ConfigFiles {
    /// The platform's JSON. It takes precedence over GW_CONFIG, which takes precedence over `platform` in
    /// quillpoint.conf.
    pub platform: Option<PathBuf>,
    /// quillpoint.conf.
    pub conf: Option<PathBuf>,
}

/// The complete configuration of a router.
#[derive(Debug)]
pub struct RuntimeConfig {
    /// The platform's configuration.
    pub startup: StartupOptions,
    /// quillpoint.conf, or `None` if there is none.
    pub conf: Option<Conf>,
    /// The roles in the fleet and the feed, from quillpoint.conf.
    pub roles: Roles,
}

/// Reads quillpoint.conf alone. It sets the log format, which has to be known before anything else is read.
///
/// # Errors
/// All errors in quillpoint.conf.
pub fn read_conf(files: &ConfigFiles) -> Result<Option<Conf>, RuntimeConfigError> {
    files.conf.as_deref().map(quillpoint_conf::read).transpose().map_err(RuntimeConfigError::Conf)
}

impl RuntimeConfig {
    /// Reads the configuration at startup.
    ///
    /// # Errors
    /// Names the invalid file, key or directive.
    pub fn read(
        files: &ConfigFiles,
        env_var: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, RuntimeConfigError> {
        let conf = read_conf(files)?;
        let platform = platform_file(files, conf.as_ref(), &env_var);
        Self::new(StartupOptions::read(platform.as_deref(), env_var)?, conf)
    }

    /// Reads the configuration again on SIGHUP.
    ///
    /// # Errors
    /// As [`RuntimeConfig::read`].
    pub fn reread(
        files: &ConfigFiles,
        env_var: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, RuntimeConfigError> {
        let conf = read_conf(files)?;
        let platform = platform_file(files, conf.as_ref(), &env_var);
        Self::new(StartupOptions::reread(platform.as_deref(), env_var)?, conf)
    }

    fn new(startup: StartupOptions, conf: Option<Conf>) -> Result<Self, RuntimeConfigError> {
        let roles =
            conf.as_ref().map(|conf| Roles::from_conf(conf, &startup)).transpose()?.unwrap_or_default();
        Ok(Self { startup, conf, roles })
    }

    /// The changes in `other` that take effect only after a restart: keys of the JSON, directives, or
    /// quillpoint.conf as a whole if it has been added or removed.
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

/// The path of the platform's JSON, or `None` if GW_CONFIG determines it.
fn platform_file(
    files: &ConfigFiles,
    conf: Option<&Conf>,
    env_var: &impl Fn(&str) -> Option<String>,
) -> Option<PathBuf> {
    if let Some(file) = &files.platform {
        return Some(file.clone());
    }
    if env_var("GW_CONFIG").is_some_and(|path| !path.is_empty()) {
        return None;
    }
    conf.and_then(|conf| conf.path("", "", "platform")).map(Path::to_path_buf)
}
