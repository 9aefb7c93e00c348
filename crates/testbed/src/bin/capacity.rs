//! `measure/capacity`: writes the tables of `docs/CAPACITY.md` from the records under `docs/measurements`, and draws what
//! it links to.

use std::error::Error;
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

fn run() -> Result<ExitCode, Box<dyn Error>> {
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
    let old = std::fs::read_to_string(&page).map_err(|error| format!("{}: {error}", page.display()))?;
    let new = capacity::fill(&old, &records)?;
    if !check {
        capacity::draw(&records)?.iter().for_each(|file| println!("{}: drawn", records.join(file).display()));
    }
    if old == new {
        println!("{}: as the records say", page.display());
    } else if check {
        println!("{}: not what the records say", page.display());
        return Ok(ExitCode::FAILURE);
    } else {
        std::fs::write(&page, new)?;
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
