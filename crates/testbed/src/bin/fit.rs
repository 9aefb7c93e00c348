//! `measure/fit`: fits the figures of the runs in a record, to predict them at other sizes. Writes the fits
//! into the record in place of older ones.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::{Long, Value, ValueExt};
use quillpoint_simulator::plot::PlotError;
use quillpoint_testbed::fit::{self, MIN_SIZES};
use quillpoint_testbed::record::{self, Axis, Fit, Line};
use quillpoint_testbed::{chart, simulated};

const HELP: &str = "\
Usage: measure/fit RECORD... [--to FILE]
       measure/fit RECORD... --plot FILE --figure NAME --axis AXIS

  --to FILE      where to write the runs and their fits (default: the record itself, if there is only one)
  --plot FILE    write only an SVG with the measured points and the fits, a pair of lines for each mode
  --figure NAME  the figure to plot, by its name in records, or a sum of several joined by +
  --axis AXIS    the axis to plot over: routers, databases, connections, statements or changes

RECORD is a record of measure/scale, or of quillpoint-simulator, whose runs are then written as simulated ones.
";

/// An error in the command line or in a record.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("--axis: expected routers, databases, connections, statements or changes, found {0:?}")]
    UnknownAxis(String),
    #[error("expected at least one record file, found none")]
    NoRecord,
    #[error("--to: expected an output file for the fits of {0} records, found none")]
    MissingOutput(usize),
    #[error("--plot: expected both --figure and --axis, found {0}")]
    IncompletePlot(&'static str),
    #[error(
        "expected a figure at {MIN_SIZES} or more sizes of an axis with all other sizes held, found none"
    )]
    NothingToFit,
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error(transparent)]
    Record(#[from] io::Error),
}

struct Options {
    records: Vec<PathBuf>,
    to: Option<PathBuf>,
    plot: Option<PathBuf>,
    figure: Option<String>,
    axis: Option<Axis>,
}

fn parse_options() -> Result<Option<Options>, CommandError> {
    let mut options = Options { records: Vec::new(), to: None, plot: None, figure: None, axis: None };
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("to") => options.to = Some(arguments.value()?.into()),
            Long("plot") => options.plot = Some(arguments.value()?.into()),
            Long("figure") => options.figure = Some(arguments.value()?.string()?),
            Long("axis") => {
                let name = arguments.value()?.string()?;
                let axis = Axis::ALL.into_iter().find(|axis| axis.name() == name);
                options.axis = Some(axis.ok_or(CommandError::UnknownAxis(name))?);
            }
            Long("help") => return Ok(None),
            Value(record) => options.records.push(record.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.records.is_empty() {
        return Err(CommandError::NoRecord);
    }
    if options.plot.is_none() && options.to.is_none() && options.records.len() > 1 {
        return Err(CommandError::MissingOutput(options.records.len()));
    }
    Ok(Some(options))
}

fn read(path: &Path) -> Result<Vec<Line>, CommandError> {
    Ok(if simulated::is_record(path)? { simulated::read(path)? } else { record::read(path)? })
}

fn main() -> ExitCode {
    let result = parse_options().and_then(|options| match options {
        Some(options) => run(&options),
        None => {
            print!("{HELP}");
            Ok(())
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure/fit: {error}; see measure/fit --help");
            ExitCode::from(2)
        }
    }
}

fn run(options: &Options) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for record in &options.records {
        lines.extend(read(record)?);
    }
    lines.retain(|line| matches!(line, Line::Run { .. }));
    if let Some(path) = &options.plot {
        return match (&options.figure, options.axis) {
            (Some(figure), Some(axis)) => Ok(chart::draw(path, &lines, axis, figure)?),
            (Some(_), None) => Err(CommandError::IncompletePlot("--figure")),
            (None, Some(_)) => Err(CommandError::IncompletePlot("--axis")),
            (None, None) => Err(CommandError::IncompletePlot("neither")),
        };
    }
    let fits = fit::fit_all(&lines);
    if fits.is_empty() {
        return Err(CommandError::NothingToFit);
    }
    fits.iter().for_each(print_fit);
    lines.extend(fits.into_iter().map(Line::Fit));
    let to = options.to.as_ref().unwrap_or(&options.records[0]);
    record::write(to, &lines)?;
    Ok(())
}

fn print_fit(fit: &Fit) {
    println!(
        "{} over {}, {}: {}, {} sizes, residual {:.3}, spread {:.3}; {} at {} predicted as {}, error {:.3}{}",
        fit.figure,
        fit.axis.name(),
        fit.mode.name(),
        chart::formula(fit),
        fit.points,
        fit.residual,
        fit.spread,
        fit.measured,
        fit.largest_size,
        fit.predicted,
        fit.relative_error,
        if fit.is_usable() { "" } else { ": the form is wrong" },
    );
}
