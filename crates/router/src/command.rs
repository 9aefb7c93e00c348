//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use quillpoint_conf::value::format_duration;

use crate::events::{self, LogFormat};
use crate::runtime_config::{self, ConfigFiles, RuntimeConfig, RuntimeConfigError};
use crate::serve::serve;

const HELP: &str = "\
quillpoint: a proxy before a primary and its replicas

Usage: quillpoint [serve | check | reference | version] [--config FILE] [--conf FILE]

  serve     run one router until SIGTERM (what is done when nothing is said); SIGHUP has it read its
            configuration anew
  check     read the configuration and say what is wrong with it, or else what holds
  reference print the page of all directives of quillpoint.conf
  version   print the version

  -c, --config FILE   the platform's JSON, in place of the variable GW_CONFIG
      --conf FILE     quillpoint.conf: all that the platform does not know of, as the router's fleet
  -h, --help          print this

GW_NAME, GW_LISTEN and GW_DISCOVERY win over the file. RUST_LOG sets what is logged (info).
";

/// The exit status for an error of the command line or the configuration.
const MISUSED: u8 = 2;

enum Subcommand {
    Serve,
    Check,
    Reference,
    Version,
    Help,
}

struct Arguments {
    subcommand: Subcommand,
    files: ConfigFiles,
}

/// What is wrong with the command line.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("there is no command '{0}'")]
    UnknownSubcommand(String),
}

/// Does what the command line says. Status 2 stands for an error of the command line or the configuration.
pub fn run(words: Parser) -> ExitCode {
    let Arguments { subcommand, files } = match parse(words) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("quillpoint: {error}; see quillpoint --help");
            return ExitCode::from(MISUSED);
        }
    };
    match subcommand {
        Subcommand::Help => print!("{HELP}"),
        Subcommand::Version => println!("quillpoint {}", env!("CARGO_PKG_VERSION")),
        Subcommand::Reference => print!("{}", quillpoint_conf::reference::markdown()),
        Subcommand::Check => return with_config(&files, |config| check(&config)),
        Subcommand::Serve => return with_config(&files, |config| serve_until_drained(config, files.clone())),
    }
    ExitCode::SUCCESS
}

fn with_config(files: &ConfigFiles, run: impl FnOnce(RuntimeConfig) -> ExitCode) -> ExitCode {
    match read_config(files) {
        Ok(config) => run(config),
        Err(error) => {
            error.to_string().lines().for_each(|line| eprintln!("quillpoint: {line}"));
            ExitCode::from(MISUSED)
        }
    }
}

/// Reads the configuration and starts the log.
fn read_config(files: &ConfigFiles) -> Result<RuntimeConfig, RuntimeConfigError> {
    // How to log is said in quillpoint.conf, and reading the rest may have something to log.
    let conf = runtime_config::read_conf(files)?;
    let format = match conf.as_ref().and_then(|conf| conf.text("", "", "log")) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Text,
    };
    events::start(format);
    RuntimeConfig::read(files, variable)
}

fn check(config: &RuntimeConfig) -> ExitCode {
    if let Some(conf) = &config.conf {
        print!("{}", conf.to_text());
    }
    if let Some(member) = &config.roles.fleet_member {
        // What follows from the deployment stands in neither file.
        let health_check = &member.fleet_params.health_check;
        println!(
            "# duty probe: every {}, grace {}, floor {}",
            format_duration(health_check.period),
            format_duration(health_check.takeover_delay),
            format_duration(health_check.min_interval)
        );
    }
    println!("the configuration is valid");
    ExitCode::SUCCESS
}

fn serve_until_drained(config: RuntimeConfig, files: ConfigFiles) -> ExitCode {
    match serve(config, move || RuntimeConfig::reread(&files, variable)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillpoint: {error}");
            ExitCode::FAILURE
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn parse(mut words: Parser) -> Result<Arguments, UsageError> {
    let mut subcommand = None;
    let mut files = ConfigFiles::default();
    while let Some(word) = words.next()? {
        match word {
            Short('h') | Long("help") => return Ok(Arguments { subcommand: Subcommand::Help, files }),
            Short('V') | Long("version") => return Ok(Arguments { subcommand: Subcommand::Version, files }),
            Short('c') | Long("config") => files.platform = Some(PathBuf::from(words.value()?)),
            Long("conf") => files.conf = Some(PathBuf::from(words.value()?)),
            Value(name) if subcommand.is_none() => {
                subcommand = Some(match name.string()?.as_str() {
                    "serve" => Subcommand::Serve,
                    "check" => Subcommand::Check,
                    "reference" => Subcommand::Reference,
                    "version" => Subcommand::Version,
                    other => return Err(UsageError::UnknownSubcommand(other.to_string())),
                });
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Arguments { subcommand: subcommand.unwrap_or(Subcommand::Serve), files })
}
