//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};

use crate::config::Launch;
use crate::serve::serve;

const HELP: &str = "\
quillpoint: a proxy before a primary and its replicas

Usage: quillpoint [serve | check | version] [--config FILE]

  serve     run one router until SIGTERM (what is done when nothing is said); SIGHUP has it read its
            configuration anew
  check     read the configuration and say what is wrong with it
  version   print the version

  -c, --config FILE   the configuration, in place of the variable GW_CONFIG
  -h, --help          print this

GW_NAME, GW_LISTEN and GW_DISCOVERY win over the file. RUST_LOG sets what is logged (info).
";

/// The status for a fault of the command line or the configuration.
const MISUSED: u8 = 2;

enum Deed {
    Serve,
    Check,
    Version,
    Help,
}

pub fn run(words: Parser) -> ExitCode {
    let (deed, file) = match read(words) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("quillpoint: {error}; see quillpoint --help");
            return ExitCode::from(MISUSED);
        }
    };
    match deed {
        Deed::Help => print!("{HELP}"),
        Deed::Version => println!("quillpoint {}", env!("CARGO_PKG_VERSION")),
        Deed::Serve | Deed::Check => {
            let level = env_logger::Env::default().default_filter_or("info");
            env_logger::Builder::from_env(level).format_timestamp_millis().init();
            let launch = match Launch::read(file.as_deref(), variable) {
                Ok(launch) => launch,
                Err(fault) => {
                    eprintln!("quillpoint: {fault}");
                    return ExitCode::from(MISUSED);
                }
            };
            if matches!(deed, Deed::Check) {
                println!("the configuration is in order");
            } else if let Err(error) = serve(launch, move || Launch::reread(file.as_deref(), variable)) {
                eprintln!("quillpoint: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn read(mut words: Parser) -> Result<(Deed, Option<PathBuf>), lexopt::Error> {
    let (mut deed, mut file) = (None, None);
    while let Some(word) = words.next()? {
        match word {
            Short('h') | Long("help") => return Ok((Deed::Help, None)),
            Short('V') | Long("version") => return Ok((Deed::Version, None)),
            Short('c') | Long("config") => file = Some(PathBuf::from(words.value()?)),
            Value(name) if deed.is_none() => {
                deed = Some(match name.string()?.as_str() {
                    "serve" => Deed::Serve,
                    "check" => Deed::Check,
                    "version" => Deed::Version,
                    other => return Err(format!("there is no command '{other}'").into()),
                });
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok((deed.unwrap_or(Deed::Serve), file))
}
