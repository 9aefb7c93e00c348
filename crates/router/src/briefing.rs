//! All that a router is told, from both of its files: the platform's JSON, and quillpoint.conf where there is one.

use std::path::{Path, PathBuf};

use quillpoint_conf::{Conf, ConfError};

use crate::config::Launch;
use crate::deployment::Fault;
use crate::part::{BadPart, Parts};

/// Why a router cannot be started, or does not take over what it is told anew.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    #[error("{}", lines(.0))]
    Conf(Vec<ConfError>),
    #[error("{0}")]
    Platform(#[from] Fault),
    #[error("{0}")]
    Part(#[from] BadPart),
}

fn lines(faults: &[ConfError]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Where the files are, as the command line says.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The platform's JSON. It wins over GW_CONFIG, which wins over `platform` in quillpoint.conf.
    pub platform: Option<PathBuf>,
    pub conf: Option<PathBuf>,
}

#[derive(Debug)]
pub struct Briefing {
    pub launch: Launch,
    /// Nothing, where there is no quillpoint.conf.
    pub conf: Option<Conf>,
    /// What ties it to others.
    pub parts: Parts,
}

/// quillpoint.conf alone, which says how to log before anything else is read.
///
/// # Errors
/// All its faults.
pub fn conf(files: &Files) -> Result<Option<Conf>, Refusal> {
    files.conf.as_deref().map(quillpoint_conf::read).transpose().map_err(Refusal::Conf)
}

impl Briefing {
    /// At the start of a process.
    ///
    /// # Errors
    /// The file, key or directive at fault.
    pub fn read(files: &Files, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Refusal> {
        let conf = conf(files)?;
        let platform = platform(files, conf.as_ref(), &variable);
        Self::of(Launch::read(platform.as_deref(), variable)?, conf)
    }

    /// While it runs, on SIGHUP.
    ///
    /// # Errors
    /// As [`Briefing::read`].
    pub fn reread(files: &Files, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Refusal> {
        let conf = conf(files)?;
        let platform = platform(files, conf.as_ref(), &variable);
        Self::of(Launch::reread(platform.as_deref(), variable)?, conf)
    }

    fn of(launch: Launch, conf: Option<Conf>) -> Result<Self, Refusal> {
        let parts = conf.as_ref().map(|conf| Parts::of(conf, &launch)).transpose()?.unwrap_or_default();
        Ok(Self { launch, conf, parts })
    }

    /// What differs in the other and waits for a restart.
    pub fn held_back(&self, other: &Self) -> Vec<String> {
        let mut keys: Vec<String> =
            self.launch.held_back(&other.launch).iter().map(ToString::to_string).collect();
        match (&self.conf, &other.conf) {
            (Some(conf), Some(other)) => keys.extend(conf.restart_required(other)),
            (None, None) => {}
            _ => keys.push("quillpoint.conf".to_string()),
        }
        keys
    }
}

fn platform(
    files: &Files,
    conf: Option<&Conf>,
    variable: &impl Fn(&str) -> Option<String>,
) -> Option<PathBuf> {
    let said = || conf.and_then(|conf| conf.path("", "", "platform")).map(Path::to_path_buf);
    let told = variable("GW_CONFIG").is_some_and(|path| !path.is_empty());
    files.platform.clone().or_else(|| if told { None } else { said() })
}
