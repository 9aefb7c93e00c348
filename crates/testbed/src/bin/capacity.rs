//! `measure/capacity`: writes the tables of `docs/CAPACITY.md` from the records under `docs/measurements`,
//! and the plots that the page links to.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::Long;
use quillpoint_testbed::capacity;

const HELP: &str = "\
Usage: measure/capacity [--page FILE] [--records FOLDER] [--check]

  --page FILE        the page whose parts between markers are regenerated (default: docs/CAPACITY.md)
  --records FOLDER   the folder of scale.jsonl and scale-simulated.jsonl, with the fits of measure/fit
                     (default: docs/measurements)
  --check            write nothing, and exit with status 1 if the page differs from the records
";

/// An error in the command line, the page or the records.
#[derive(Debug, thiserror::Error)]
enum CapacityError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("{}: cannot read or write the page: {error}", page.display())]
    Page { page: PathBuf, error: io::Error },
    #[error(transparent)]
    Records(#[from] capacity::PageError),
}

fn run() -> Result<ExitCode, CapacityError> {
    let mut page = PathBuf::from("docs/CAPACITY.md");
    let mut records = PathBuf::from("docs/measurements");
    let mut check = false;
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("page") => page = arguments.value()?.into(),
            Long("records") => records = arguments.value()?.into(),
            Long("check") => check = true,
            Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let page_error = |error| CapacityError::Page { page: page.clone(), error };
    let old_page = std::fs::read_to_string(&page).map_err(page_error)?;
    let new_page = capacity::fill_page(&old_page, &records)?;
    if !check {
        capacity::draw_plots(&records)?
            .iter()
            .for_each(|file| println!("{}: plotted", records.join(file).display()));
    }
    if old_page == new_page {
        println!("{}: up to date with the records", page.display());
    } else if check {
        println!("{}: differs from the records; run measure/capacity", page.display());
        return Ok(ExitCode::FAILURE);
    } else {
        std::fs::write(&page, new_page).map_err(page_error)?;
        println!("{}: written", page.display());
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        eprintln!("measure/capacity: {error}; see measure/capacity --help");
        ExitCode::from(2)
    })
}
