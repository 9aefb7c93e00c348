//! `measure/fit`: what the runs of a record say of other sizes. Writes the fits into the record, in place of older ones.

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

  --to FILE      the runs and their fits go there; without it, into the record itself, of which there is then one
  --plot FILE    nothing is written but an SVG: what was played, and the fits, a pair of lines for each mode
  --figure NAME  as records name it, or several with + between them
  --axis AXIS    routers, databases, connections, statements or changes

Records are those of measure/scale, and those of quillpoint-simulator, whose runs are then entered as simulated.
";

/// What is wrong with the command line, or with a record.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("--axis: expected routers, databases, connections, statements or changes, found {0:?}")]
    UnknownAxis(String),
    #[error("expected a record, found none")]
    NoRecord,
    #[error("--to: expected a file for what is made of {0} records, found none")]
    NoTarget(usize),
    #[error("--plot: expected --figure and --axis beside it, found {0}")]
    IncompletePlot(&'static str),
    #[error("expected a figure at {MIN_SIZES} sizes of an axis with all else held, found none")]
    NothingToFit,
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error(transparent)]
    Record(#[from] io::Error),
}

struct Wanted {
    records: Vec<PathBuf>,
    to: Option<PathBuf>,
    plot: Option<PathBuf>,
    figure: Option<String>,
    axis: Option<Axis>,
}

fn wanted() -> Result<Option<Wanted>, CommandError> {
    let mut wanted = Wanted { records: Vec::new(), to: None, plot: None, figure: None, axis: None };
    let mut words = lexopt::Parser::from_env();
    while let Some(word) = words.next()? {
        match word {
            Long("to") => wanted.to = Some(words.value()?.into()),
            Long("plot") => wanted.plot = Some(words.value()?.into()),
            Long("figure") => wanted.figure = Some(words.value()?.string()?),
            Long("axis") => {
                let name = words.value()?.string()?;
                let axis = Axis::ALL.into_iter().find(|axis| axis.name() == name);
                wanted.axis = Some(axis.ok_or(CommandError::UnknownAxis(name))?);
            }
            Long("help") => return Ok(None),
            Value(record) => wanted.records.push(record.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    if wanted.records.is_empty() {
        return Err(CommandError::NoRecord);
    }
    if wanted.plot.is_none() && wanted.to.is_none() && wanted.records.len() > 1 {
        return Err(CommandError::NoTarget(wanted.records.len()));
    }
    Ok(Some(wanted))
}

fn read(path: &Path) -> Result<Vec<Line>, CommandError> {
    Ok(if simulated::is_record(path)? { simulated::read(path)? } else { record::read(path)? })
}

fn main() -> ExitCode {
    let done = wanted().and_then(|wanted| match wanted {
        Some(wanted) => obey(&wanted),
        None => {
            print!("{HELP}");
            Ok(())
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure/fit: {error}; see measure/fit --help");
            ExitCode::from(2)
        }
    }
}

fn obey(wanted: &Wanted) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for record in &wanted.records {
        lines.extend(read(record)?);
    }
    lines.retain(|line| matches!(line, Line::Run { .. }));
    if let Some(path) = &wanted.plot {
        return match (&wanted.figure, wanted.axis) {
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
    fits.iter().for_each(print);
    lines.extend(fits.into_iter().map(Line::Fit));
    let to = wanted.to.as_ref().unwrap_or(&wanted.records[0]);
    record::write(to, &lines)?;
    Ok(())
}

fn print(fit: &Fit) {
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
