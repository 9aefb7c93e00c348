//! Command line of the `quillpoint` program.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use quillpoint_conf::value::format_duration;

use crate::events::{self, LogFormat};
use crate::runtime_config::{self, ConfigFiles, RuntimeConfig, RuntimeConfigError};
use crate::serve::serve;

const HELP: &str = "\
quillpoint: a proxy for a PostgreSQL primary and its replicas

Usage: quillpoint [serve | check | reference | version] [--config FILE] [--conf FILE]

  serve     run a router until SIGTERM (the default command); SIGHUP reloads its configuration
  check     validate the configuration; print its errors, or else the effective quillpoint.conf
  reference print the reference of all directives of quillpoint.conf, as Markdown
  version   print the version

  -c, --config FILE   the platform's JSON; overrides the environment variable GW_CONFIG
      --conf FILE     quillpoint.conf: settings that the platform does not provide, such as the fleet
  -h, --help          print this help

GW_NAME, GW_LISTEN and GW_DISCOVERY override the file. RUST_LOG sets the log filter (default: info).
";

/// Exit status for errors in the command line or the configuration.
const USAGE_ERROR_STATUS: u8 = 2;

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

/// An error in the command line.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("unknown command '{0}'")]
    UnknownSubcommand(String),
}

/// Runs the command given on the command line. Exits with status 2 on errors in the command line or the
/// configuration.
pub fn run(parser: Parser) -> ExitCode {
    let Arguments { subcommand, files } = match parse(parser) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("quillpoint: {error}; see quillpoint --help");
            return ExitCode::from(USAGE_ERROR_STATUS);
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
            ExitCode::from(USAGE_ERROR_STATUS)
        }
    }
}

/// Reads the configuration and initializes logging.
fn read_config(files: &ConfigFiles) -> Result<RuntimeConfig, RuntimeConfigError> {
    // The log format is set in quillpoint.conf. Logging starts before the rest is read, which may log
    // warnings.
    let conf = runtime_config::read_conf(files)?;
    let format = match conf.as_ref().and_then(|conf| conf.text("", "", "log")) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Text,
    };
    events::start(format);
    RuntimeConfig::read(files, env_var)
}

fn check(config: &RuntimeConfig) -> ExitCode {
    if let Some(conf) = &config.conf {
        print!("{}", conf.to_text());
    }
    if let Some(member) = &config.roles.fleet_member {
        // Defaults derived from the deployment's settings appear in neither file.
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
    match serve(config, move || RuntimeConfig::reread(&files, env_var)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillpoint: {error}");
            ExitCode::FAILURE
        }
    }
}

fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn parse(mut parser: Parser) -> Result<Arguments, UsageError> {
    let mut subcommand = None;
    let mut files = ConfigFiles::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Arguments { subcommand: Subcommand::Help, files }),
            Short('V') | Long("version") => return Ok(Arguments { subcommand: Subcommand::Version, files }),
            Short('c') | Long("config") => files.platform = Some(PathBuf::from(parser.value()?)),
            Long("conf") => files.conf = Some(PathBuf::from(parser.value()?)),
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
