//! `measure/scale`: fleets of many routers on one machine. Without options a short form of a few sizes; one size with
//! its options; all axes with `--long`. Prints one JSON object last, and fails where a bound does not hold.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::{Long, ValueExt};
use quillpoint_testbed::record::Mode;
use quillpoint_testbed::scale::run::{Programs, RunSpec};
use quillpoint_testbed::scale::{report, sizes, suites};

const HELP: &str = "\
Usage: measure/scale [options]

Without options: a short form of a few small sizes, in under three minutes.

One size, as soon as any of these is given:
  --routers N            all routers, hollow and real (200)
  --databases N          (or --nodes N) databases (250)
  --real N               real router processes among the routers (16, or all if fewer)
  --control N            control instances, in mode feed (4)
  --mode MODE            off, shared or feed (shared)
  --seconds S            how long is counted (8)
  --period S             how often each database is probed by all together (0.15; longer ones take fewer of the cores)
  --connections N        client connections at each real router (0)
  --statements R         statements a second at each real router (0)
  --changes R            changes of primary a second, over all (0)
  --hollow-processes N   processes into which the hollow routers go
  --fault NAME           restart, stop, cut, control or primary, after the calm seconds
  --without-cpu          processor time is not held between hollow and real routers (on a busy machine)

  --seed N               what is drawn by chance (1)
  --long                 all axes, at least four sizes each, and the faults at the largest size
  --bound FIGURE=VALUE   another bound on a figure, which must not be above it; may be given often
  --record FILE          appends one JSON line for each size
  --json                 prints the last line alone
";

struct Options {
    /// One size, if one is wanted.
    single: Option<RunSpec>,
    long: bool,
    seed: u64,
    extra_bounds: Vec<(String, f64)>,
    record: Option<PathBuf>,
    quiet: bool,
    programs: Programs,
}

/// What is wrong with the command line.
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
        // Whatever shapes a size asks for one.
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
