//! The command line of `quillpoint-simulator`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};

use crate::experiment::{self, Experiment, ExperimentError};
use crate::feed_run::SizeError;
use crate::plot::{Axes, Line, PlotError};
use crate::{detectors, feed_run, plot, record};

const HELP: &str = "\
quillpoint-simulator: simulates fleets of routers in virtual time

Usage: quillpoint-simulator run FILE [--record FILE]
       quillpoint-simulator check FILE
       quillpoint-simulator plot RECORD --x FIGURE --y FIGURE --to FILE [--title TEXT]
       quillpoint-simulator detectors [--record FILE]
       quillpoint-simulator feed [--routers N] [--nodes N] [--control N] [--regions N] [--period-ms N]
                           [--copy-rate BYTES] [--seconds N] [--seed N] [--memory-mb N]
                           [--fault restart|stop|cut|control|control-all] [--record FILE]
       quillpoint-simulator schema

  run        simulates all runs of an experiment file; --record appends each run to a file as a line of JSON
  check      checks an experiment file and prints the number of its runs
  plot       plots one figure of a record against another as SVG, with one line for runs in which routers
             share the probing and one for runs in which each router probes alone
  detectors  compares failure detectors (heartbeats, gossip, leases) at 3, 30 and 100 routers and 0 to 40%
             loss; --record writes the results to a file as lines of JSON
  feed       simulates control instances that publish observations to routers; --record appends the run to a
             file as a line in the form of measure/scale
  schema     prints the JSON schema of experiment files
";

/// Exit status when the command line or a file is invalid.
const EXIT_USAGE_ERROR: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("--fault: expected restart, stop, cut, control or control-all, found {0}")]
    UnknownFault(String),
    #[error("expected run, check, plot, detectors, feed or schema, found {0}")]
    UnknownCommand(String),
    #[error("plot: expected --x, --y and --to, found {0}")]
    IncompletePlot(String),
    #[error("{}: expected the numeric figure {figure} in every run, found a run without it", record.display())]
    NoFigure { record: PathBuf, figure: String },
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error(transparent)]
    FeedSizes(#[from] SizeError),
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The parsed command line.
#[derive(Default)]
struct Arguments {
    /// The command and its file, if any.
    command: Vec<String>,
    /// The file to write results to.
    record: Option<PathBuf>,
    /// Names of the figures on the axes of a plot.
    x: Option<String>,
    y: Option<String>,
    /// The SVG file to write a plot to.
    to: Option<PathBuf>,
    title: Option<String>,
    feed: feed_run::FeedRunParams,
}

/// Runs the command that the arguments name. Errors go to standard error.
pub fn run(parser: Parser) -> ExitCode {
    let arguments = match parse_arguments(parser) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("quillpoint-simulator: {error}; see quillpoint-simulator --help");
            return ExitCode::from(EXIT_USAGE_ERROR);
        }
    };
    match execute(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillpoint-simulator: {error}");
            ExitCode::from(EXIT_USAGE_ERROR)
        }
    }
}

/// Parses the command line. `None` if help was requested or there are no arguments.
fn parse_arguments(mut parser: Parser) -> Result<Option<Arguments>, CommandError> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("record") => arguments.record = Some(parser.value()?.into()),
            Long("x") => arguments.x = Some(parser.value()?.string()?),
            Long("y") => arguments.y = Some(parser.value()?.string()?),
            Long("to") => arguments.to = Some(parser.value()?.into()),
            Long("title") => arguments.title = Some(parser.value()?.string()?),
            Long("routers") => arguments.feed.routers = parser.value()?.parse()?,
            Long("nodes") => arguments.feed.nodes = parser.value()?.parse()?,
            Long("control") => arguments.feed.control_instances = parser.value()?.parse()?,
            Long("regions") => arguments.feed.regions = parser.value()?.parse()?,
            Long("period-ms") => {
                arguments.feed.health_check_period =
                    Duration::from_millis(parser.value()?.parse::<u64>()?.max(1));
            }
            Long("copy-rate") => arguments.feed.snapshot_bytes_per_s = parser.value()?.parse()?,
            Long("seconds") => arguments.feed.seconds = parser.value()?.parse::<f64>()?.clamp(0.1, 3600.0),
            Long("seed") => arguments.feed.seed = parser.value()?.parse()?,
            Long("memory-mb") => arguments.feed.memory_mb = parser.value()?.parse()?,
            Long("fault") => {
                let name = parser.value()?.string()?;
                let fault = feed_run::FeedFault::from_name(&name);
                arguments.feed.fault = Some(fault.ok_or(CommandError::UnknownFault(name))?);
            }
            Value(value) if arguments.command.len() < 2 => arguments.command.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(if arguments.command.is_empty() { None } else { Some(arguments) })
}

fn execute(arguments: &Arguments) -> Result<(), CommandError> {
    let command: Vec<&str> = arguments.command.iter().map(String::as_str).collect();
    match command.as_slice() {
        ["schema"] => println!("{}", serde_json::to_string_pretty(&experiment::schema())?),
        ["check", file] => {
            let experiment = Experiment::read(Path::new(file))?;
            println!("{}: {} runs", experiment.name, experiment.runs().len());
        }
        ["run", file] => run_experiment(&Experiment::read(Path::new(file))?, arguments.record.as_deref())?,
        ["detectors"] => compare_detectors(arguments.record.as_deref())?,
        ["feed"] => run_feed(&arguments.feed, arguments.record.as_deref())?,
        ["plot", file] => draw_plot(Path::new(file), arguments)?,
        other => return Err(CommandError::UnknownCommand(other.join(" "))),
    }
    Ok(())
}

fn run_experiment(experiment: &Experiment, to: Option<&Path>) -> std::io::Result<()> {
    let runs = experiment.runs();
    for (run_number, params) in (1..).zip(&runs) {
        let run = experiment.simulate(params);
        println!(
            "{run_number}/{}: {} routers, {} nodes, {}: {:.2} probes per node and second, \
             gap p99 {:.3} s, max {:.3} s, observation age p99 {:.3} s, \
             {:.0} datagrams and {:.0} bytes per router and second, {:.1}% of a core",
            runs.len(),
            run.routers,
            run.nodes,
            if run.shared { "shared" } else { "alone" },
            run.probes_per_node_s,
            run.gap_p99_s,
            run.gap_max_s,
            run.age_p99_s,
            run.datagrams_per_router_s,
            run.bytes_per_router_s,
            run.cpu_part * 100.0,
        );
        if let Some(path) = to {
            record::append(path, &run)?;
        }
    }
    Ok(())
}

fn run_feed(params: &feed_run::FeedRunParams, to: Option<&Path>) -> Result<(), CommandError> {
    let outcome = params.simulate()?;
    println!(
        "{} routers, {} nodes, {} control instances, {}:",
        params.routers,
        params.nodes,
        params.control_instances,
        params.fault.map_or("calm", feed_run::FeedFault::name)
    );
    outcome.figures.iter().for_each(|(name, value)| println!("  {name} {value:.4}"));
    if let Some(path) = to {
        outcome.append(path)?;
    }
    Ok(())
}

fn compare_detectors(to: Option<&Path>) -> std::io::Result<()> {
    let mut file = to.map(std::fs::File::create).transpose()?;
    println!(
        "| detector | routers | loss | datagrams per router and second (busiest) | detection time median (max) \
         | false deaths per router and hour |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for routers in [3, 30, 100] {
        for loss in [0.0, 0.05, 0.2, 0.4] {
            for row in detectors::compare(routers, loss, 1) {
                println!(
                    "| {} | {} | {:.0}% | {:.1} ({:.0}) | {:.2} s ({:.2} s) | {:.1} |",
                    row.detector,
                    row.routers,
                    row.loss * 100.0,
                    row.datagrams_per_router_s,
                    row.datagrams_busiest_s,
                    row.detect_p50_s,
                    row.detect_max_s,
                    row.false_deaths_per_router_h,
                );
                if let Some(file) = &mut file {
                    writeln!(file, "{}", serde_json::to_string(&row)?)?;
                }
            }
        }
    }
    Ok(())
}

fn draw_plot(file: &Path, arguments: &Arguments) -> Result<(), CommandError> {
    let (Some(x), Some(y), Some(to)) = (&arguments.x, &arguments.y, &arguments.to) else {
        return Err(CommandError::IncompletePlot(describe_given_plot_options(arguments)));
    };
    let runs = record::read(file)?;
    let figure = |run: &record::Run, name: &str| {
        run.figure(name)
            .ok_or_else(|| CommandError::NoFigure { record: file.to_path_buf(), figure: name.to_string() })
    };
    let mut lines = Vec::new();
    for (shared, name) in [(true, "shared"), (false, "each alone")] {
        // Each point is the mean over all runs with the same x value, such as different seeds.
        let mut sums = std::collections::BTreeMap::<u64, (f64, f64)>::new();
        for run in runs.iter().filter(|run| run.shared == shared) {
            let sum = sums.entry(figure(run, x)?.to_bits()).or_default();
            *sum = (sum.0 + figure(run, y)?, sum.1 + 1.0);
        }
        let points = sums.into_iter().map(|(x, (sum, count))| (f64::from_bits(x), sum / count)).collect();
        lines.push(Line { name: name.to_string(), points });
    }
    lines.retain(|line| !line.points.is_empty());
    let title = arguments.title.clone().unwrap_or_else(|| format!("{y} by {x}"));
    plot::write_svg(to, &Axes { title: &title, x, y }, &lines)?;
    Ok(())
}

fn describe_given_plot_options(arguments: &Arguments) -> String {
    let given =
        [("--x", arguments.x.is_some()), ("--y", arguments.y.is_some()), ("--to", arguments.to.is_some())];
    let given: Vec<&str> =
        given.into_iter().filter(|(_, is_given)| *is_given).map(|(name, _)| name).collect();
    if given.is_empty() { "none of them".to_string() } else { format!("only {}", given.join(" and ")) }
}
