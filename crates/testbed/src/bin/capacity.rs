//! `measure/capacity`: writes the tables of `docs/CAPACITY.md` from the records under `docs/measurements`, and draws what
//! it links to.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::Long;
use quillpoint_testbed::capacity;

const HELP: &str = "\
Usage: measure/capacity [--page FILE] [--records FOLDER] [--check]

  --page FILE        the page, whose parts between markers are made anew (docs/CAPACITY.md)
  --records FOLDER   where scale.jsonl and scale-simulated.jsonl are, as measure/fit left them (docs/measurements)
  --check            writes nothing, and ends with status 1 where the page is not what the records say
";

/// Why the page cannot be held against the records.
#[derive(Debug, thiserror::Error)]
enum CapacityError {
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    #[error("{}: expected a page that can be read and written, {error}", page.display())]
    Page { page: PathBuf, error: io::Error },
    #[error(transparent)]
    Records(#[from] capacity::PageError),
}

fn run() -> Result<ExitCode, CapacityError> {
    let mut page = PathBuf::from("docs/CAPACITY.md");
    let mut records = PathBuf::from("docs/measurements");
    let mut check = false;
    let mut words = lexopt::Parser::from_env();
    while let Some(word) = words.next()? {
        match word {
            Long("page") => page = words.value()?.into(),
            Long("records") => records = words.value()?.into(),
            Long("check") => check = true,
            Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let page_error = |error| CapacityError::Page { page: page.clone(), error };
    let old = std::fs::read_to_string(&page).map_err(page_error)?;
    let new = capacity::fill_page(&old, &records)?;
    if !check {
        capacity::draw_plots(&records)?
            .iter()
            .for_each(|file| println!("{}: drawn", records.join(file).display()));
    }
    if old == new {
        println!("{}: as the records say", page.display());
    } else if check {
        println!("{}: not what the records say", page.display());
        return Ok(ExitCode::FAILURE);
    } else {
        std::fs::write(&page, new).map_err(page_error)?;
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
