//! `measure/scale`: measures fleets of many routers on one machine. Runs a short suite without options, one
//! size with the options of a size, and all axes with `--long`. Prints one JSON object at the end, and fails
//! if a bound does not hold.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::{Long, ValueExt};
use quillpoint_testbed::record::Mode;
use quillpoint_testbed::scale::run::{Programs, RunSpec};
use quillpoint_testbed::scale::{report, sizes, suites};

const HELP: &str = "\
Usage: measure/scale [options]

Without options, runs a short suite of a few small sizes in under three minutes.

Any of these options selects a single run of one size:
  --routers N            all routers, hollow and real (200)
  --databases N          (or --nodes N) databases (250)
  --real N               real router processes among the routers (16, or all if fewer)
  --control N            control instances, in mode feed (4)
  --mode MODE            off, shared or feed (shared)
  --seconds S            measured time in seconds (8)
  --period S             seconds between two probes of a database by the fleet (0.15; longer ones use less of the cores)
  --connections N        client connections at each real router (0)
  --statements R         statements per second at each real router (0)
  --changes R            promotions per second in the whole fleet (0)
  --hollow-processes N   processes that run the hollow routers
  --fault NAME           restart, stop, cut, control or primary, injected after the measured time
  --without-cpu          do not compare the processor time of hollow and real routers (for a busy machine)

  --seed N               seed of random choices (1)
  --long                 long suite: all axes with at least four sizes each, and every fault
  --bound FIGURE=VALUE   upper bound on a figure; may be repeated
  --record FILE          append one JSON line per run to this file
  --json                 print only the JSON object at the end
";

struct Options {
    /// The run of one size, if an option asks for one.
    single: Option<RunSpec>,
    long: bool,
    seed: u64,
    extra_bounds: Vec<(String, f64)>,
    record: Option<PathBuf>,
    quiet: bool,
    programs: Programs,
}

/// An invalid command line.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("mode: expected off, shared or feed, found {0}")]
    UnknownMode(String),
    #[error(transparent)]
    Bound(#[from] report::BoundError),
}

fn mode(option: &str) -> Result<Mode, UsageError> {
    match option {
        "off" => Ok(Mode::Off),
        "shared" => Ok(Mode::Shared),
        "feed" => Ok(Mode::Feed),
        other => Err(UsageError::UnknownMode(other.to_string())),
    }
}

fn options() -> Result<Option<Options>, UsageError> {
    let mut sizes = sizes::default_sizes(Mode::Shared, 200, 250);
    let (mut single, mut long, mut quiet, mut with_cpu) = (false, false, false, true);
    let (mut real, mut control, mut processes, mut fault) = (None, None, None, None);
    let (mut extra_bounds, mut record) = (Vec::new(), None);
    let folder = std::env::current_exe().ok().and_then(|path| path.parent().map(PathBuf::from));
    let folder = folder.unwrap_or_default();
    let mut programs = Programs::in_folder(&folder);
    let mut parser = lexopt::Parser::from_env();
    while let Some(option) = parser.next()? {
        // All other options describe a size, and so ask for a single run.
        single |= !matches!(
            option,
            Long("seed" | "long" | "bound" | "record" | "json" | "program" | "folder" | "help")
        );
        match option {
            Long("routers") => sizes.routers = parser.value()?.parse()?,
            Long("databases" | "nodes") => sizes.databases = parser.value()?.parse()?,
            Long("real") => real = Some(parser.value()?.parse()?),
            Long("control") => control = Some(parser.value()?.parse()?),
            Long("mode") => sizes.mode = mode(&parser.value()?.string()?)?,
            Long("seconds") => sizes.seconds = parser.value()?.parse()?,
            Long("period") => sizes.period_s = parser.value()?.parse()?,
            Long("connections") => sizes.connections = parser.value()?.parse()?,
            Long("statements") => sizes.statements = parser.value()?.parse()?,
            Long("changes") => sizes.changes = parser.value()?.parse()?,
            Long("hollow-processes") => processes = Some(parser.value()?.parse()?),
            Long("fault") => fault = Some(parser.value()?.parse()?),
            Long("without-cpu") => with_cpu = false,
            Long("seed") => sizes.seed = parser.value()?.parse()?,
            Long("long") => long = true,
            Long("bound") => extra_bounds.push(report::bound(&parser.value()?.string()?)?),
            Long("record") => record = Some(parser.value()?.into()),
            Long("json") => quiet = true,
            Long("program") => programs.router = parser.value()?.into(),
            Long("folder") => programs.folder = parser.value()?.into(),
            Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    programs.router = std::fs::canonicalize(&programs.router).unwrap_or(programs.router);
    programs.folder = std::path::absolute(&programs.folder).unwrap_or(programs.folder);
    let seed = sizes.seed;
    let default_sizes = sizes::default_sizes(sizes.mode, sizes.routers, sizes.databases);
    let mut sizes = sizes::with_real(sizes, real.unwrap_or(default_sizes.real));
    sizes.control = control.unwrap_or(default_sizes.control);
    sizes.hollow_processes = processes.unwrap_or(sizes.hollow_processes);
    let single = single.then_some(RunSpec { sizes, axis: None, fault, with_cpu });
    Ok(Some(Options { single, long, seed, extra_bounds, record, quiet, programs }))
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("measure-scale: {error}");
            return ExitCode::from(2);
        }
    };
    let specs = match (options.single, options.long) {
        (Some(single), _) => vec![single],
        (None, true) => suites::long(options.seed),
        (None, false) => suites::short(options.seed),
    };
    match report::run_all(
        &specs,
        &options.programs,
        &options.extra_bounds,
        options.record.as_deref(),
        options.quiet,
    ) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("measure-scale: {error}");
            ExitCode::FAILURE
        }
    }
}
