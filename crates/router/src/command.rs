//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};

use crate::briefing::{self, Briefing, Files, Refusal};
use crate::events;
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

/// The status for a fault of the command line or the configuration.
const MISUSED: u8 = 2;

enum Deed {
    Serve,
    Check,
    Reference,
    Version,
    Help,
}

pub fn run(words: Parser) -> ExitCode {
    let (deed, files) = match read(words) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("quillpoint: {error}; see quillpoint --help");
            return ExitCode::from(MISUSED);
        }
    };
    match deed {
        Deed::Help => print!("{HELP}"),
        Deed::Version => println!("quillpoint {}", env!("CARGO_PKG_VERSION")),
        Deed::Reference => print!("{}", quillpoint_conf::reference::markdown()),
        Deed::Check | Deed::Serve => {
            if let Err(refusal) = run_with(matches!(deed, Deed::Check), files) {
                return refusal;
            }
        }
    }
    ExitCode::SUCCESS
}

fn run_with(check: bool, files: Files) -> Result<(), ExitCode> {
    let misused = |refusal: Refusal| {
        refusal.to_string().lines().for_each(|line| eprintln!("quillpoint: {line}"));
        ExitCode::from(MISUSED)
    };
    // How to log is said there, and the rest may have something to log.
    let conf = briefing::conf(&files).map_err(misused)?;
    events::start(conf.is_some_and(|conf| conf.word("", "", "log") == Some("json")));
    let briefing = Briefing::read(&files, variable).map_err(misused)?;
    if check {
        if let Some(conf) = &briefing.conf {
            print!("{}", conf.to_text());
        }
        if let Some(part) = &briefing.parts.fleet {
            // What follows from the deployment stands in neither file.
            let span = quillpoint_conf::value::format_duration;
            let plan = &part.plans.probe;
            let (every, grace, floor) = (span(plan.period), span(plan.grace), span(plan.floor));
            println!("# duty probe: every {every}, grace {grace}, floor {floor}");
        }
        println!("the configuration is in order");
        return Ok(());
    }
    serve(briefing, move || Briefing::reread(&files, variable)).map_err(|error| {
        eprintln!("quillpoint: {error}");
        ExitCode::FAILURE
    })
}
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn read(mut words: Parser) -> Result<(Deed, Files), lexopt::Error> {
    let (mut deed, mut files) = (None, Files::default());
    while let Some(word) = words.next()? {
        match word {
            Short('h') | Long("help") => return Ok((Deed::Help, files)),
            Short('V') | Long("version") => return Ok((Deed::Version, files)),
            Short('c') | Long("config") => files.platform = Some(PathBuf::from(words.value()?)),
            Long("conf") => files.conf = Some(PathBuf::from(words.value()?)),
            Value(name) if deed.is_none() => {
                deed = Some(match name.string()?.as_str() {
                    "serve" => Deed::Serve,
                    "check" => Deed::Check,
                    "reference" => Deed::Reference,
                    "version" => Deed::Version,
                    other => return Err(format!("there is no command '{other}'").into()),
                });
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok((deed.unwrap_or(Deed::Serve), files))
}
