//! The command line.

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
quillpoint-simulator: fleets of routers in virtual time

Usage: quillpoint-simulator run FILE [--record FILE]
       quillpoint-simulator check FILE
       quillpoint-simulator plot RECORD --x FIGURE --y FIGURE --to FILE [--title TEXT]
       quillpoint-simulator detectors [--record FILE]
       quillpoint-simulator feed [--routers N] [--nodes N] [--control N] [--regions N] [--period-ms N]
                           [--copy-rate BYTES] [--seconds N] [--seed N] [--memory-mb N]
                           [--fault restart|stop|cut|control|control-all] [--record FILE]
       quillpoint-simulator schema

  run        plays an experiment; with --record each run is added to that file as a line of JSON
  check      says what is wrong with an experiment's file
  plot       draws one figure of a record against another as SVG, a line for shared and one for alone
  detectors  compares ways to know who is there, at 3, 30 and 100 routers and 0 to 40% loss
  feed       plays control instances that tell routers by exception, at one size; with --record the run is added to that
             file as a line of the scale run's form
  schema     prints the form of an experiment's file
";

/// The status for a fault of the command line or of a file.
const MISUSED: u8 = 2;

/// What is wrong with the command line, or with a file that it names.
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
    #[error("{}: expected a figure of each run, found no {figure}", record.display())]
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

#[derive(Default)]
struct Words {
    deed: Vec<String>,
    record: Option<PathBuf>,
    x: Option<String>,
    y: Option<String>,
    to: Option<PathBuf>,
    title: Option<String>,
    feed: feed_run::FeedRunParams,
}

pub fn run(words: Parser) -> ExitCode {
    let words = match read(words) {
        Ok(Some(words)) => words,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("quillpoint-simulator: {error}; see quillpoint-simulator --help");
            return ExitCode::from(MISUSED);
        }
    };
    match obey(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillpoint-simulator: {error}");
            ExitCode::from(MISUSED)
        }
    }
}

fn read(mut words: Parser) -> Result<Option<Words>, CommandError> {
    let mut told = Words::default();
    while let Some(word) = words.next()? {
        match word {
            Short('h') | Long("help") => return Ok(None),
            Long("record") => told.record = Some(words.value()?.into()),
            Long("x") => told.x = Some(words.value()?.string()?),
            Long("y") => told.y = Some(words.value()?.string()?),
            Long("to") => told.to = Some(words.value()?.into()),
            Long("title") => told.title = Some(words.value()?.string()?),
            Long("routers") => told.feed.routers = words.value()?.parse()?,
            Long("nodes") => told.feed.nodes = words.value()?.parse()?,
            Long("control") => told.feed.control_instances = words.value()?.parse()?,
            Long("regions") => told.feed.regions = words.value()?.parse()?,
            Long("period-ms") => {
                told.feed.health_check_period = Duration::from_millis(words.value()?.parse::<u64>()?.max(1));
            }
            Long("copy-rate") => told.feed.snapshot_bytes_per_s = words.value()?.parse()?,
            Long("seconds") => told.feed.seconds = words.value()?.parse::<f64>()?.clamp(0.1, 3600.0),
            Long("seed") => told.feed.seed = words.value()?.parse()?,
            Long("memory-mb") => told.feed.memory_mb = words.value()?.parse()?,
            Long("fault") => {
                let name = words.value()?.string()?;
                let fault = feed_run::FeedFault::from_name(&name);
                told.feed.fault = Some(fault.ok_or(CommandError::UnknownFault(name))?);
            }
            Value(word) if told.deed.len() < 2 => told.deed.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(if told.deed.is_empty() { None } else { Some(told) })
}

fn obey(words: &Words) -> Result<(), CommandError> {
    let deed: Vec<&str> = words.deed.iter().map(String::as_str).collect();
    match deed.as_slice() {
        ["schema"] => println!("{}", serde_json::to_string_pretty(&experiment::schema())?),
        ["check", file] => {
            let experiment = Experiment::read(Path::new(file))?;
            println!("{}: {} runs", experiment.name, experiment.runs().len());
        }
        ["run", file] => simulate(&Experiment::read(Path::new(file))?, words.record.as_deref())?,
        ["detectors"] => compare(words.record.as_deref())?,
        ["feed"] => feed(&words.feed, words.record.as_deref())?,
        ["plot", file] => draw(Path::new(file), words)?,
        other => return Err(CommandError::UnknownCommand(other.join(" "))),
    }
    Ok(())
}

fn simulate(experiment: &Experiment, to: Option<&Path>) -> std::io::Result<()> {
    let runs = experiment.runs();
    for (number, shape) in (1..).zip(&runs) {
        let run = experiment.simulate(shape);
        println!(
            "{number}/{}: {} routers, {} nodes, {}: {:.2} probes a node and second, gap p99 {:.3} s, max {:.3} s, \
             evidence p99 {:.3} s, {:.0} datagrams and {:.0} bytes a router and second, {:.1}% of a core",
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

fn feed(sizes: &feed_run::FeedRunParams, to: Option<&Path>) -> Result<(), CommandError> {
    let outcome = sizes.simulate()?;
    println!(
        "{} routers, {} nodes, {} control instances, {}:",
        sizes.routers,
        sizes.nodes,
        sizes.control_instances,
        sizes.fault.map_or("calm", feed_run::FeedFault::name)
    );
    outcome.figures.iter().for_each(|(name, is)| println!("  {name} {is:.4}"));
    if let Some(path) = to {
        outcome.append(path)?;
    }
    Ok(())
}

fn compare(to: Option<&Path>) -> std::io::Result<()> {
    let mut file = to.map(std::fs::File::create).transpose()?;
    println!(
        "| way | routers | loss | datagrams a router and second (busiest) | detected, half (last) | false deaths a router and hour |"
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

fn draw(file: &Path, words: &Words) -> Result<(), CommandError> {
    let (Some(x), Some(y), Some(to)) = (&words.x, &words.y, &words.to) else {
        return Err(CommandError::IncompletePlot(given_plot_options(words)));
    };
    let runs = record::read(file)?;
    let figure = |run: &record::Run, name: &str| {
        run.figure(name)
            .ok_or_else(|| CommandError::NoFigure { record: file.to_path_buf(), figure: name.to_string() })
    };
    let mut lines = Vec::new();
    for (shared, name) in [(true, "shared"), (false, "each alone")] {
        // The mean over seeds.
        let mut sums = std::collections::BTreeMap::<u64, (f64, f64)>::new();
        for run in runs.iter().filter(|run| run.shared == shared) {
            let sum = sums.entry(figure(run, x)?.to_bits()).or_default();
            *sum = (sum.0 + figure(run, y)?, sum.1 + 1.0);
        }
        let points = sums.into_iter().map(|(at, (sum, count))| (f64::from_bits(at), sum / count)).collect();
        lines.push(Line { name: name.to_string(), points });
    }
    lines.retain(|line| !line.points.is_empty());
    let title = words.title.clone().unwrap_or_else(|| format!("{y} by {x}"));
    plot::write_svg(to, &Axes { title: &title, x, y }, &lines)?;
    Ok(())
}

fn given_plot_options(words: &Words) -> String {
    let given = [("--x", words.x.is_some()), ("--y", words.y.is_some()), ("--to", words.to.is_some())];
    let given: Vec<&str> =
        given.into_iter().filter(|(_, is_given)| *is_given).map(|(name, _)| name).collect();
    if given.is_empty() { "none of them".to_string() } else { format!("only {}", given.join(" and ")) }
}
