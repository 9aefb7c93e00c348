//! docs/CAPACITY.md is what its records say: made anew it is the same, and each row, read as a reader would, holds by
//! itself. The checks of rows share nothing with the generator but the fit; that they can fail is shown on records made
//! up for it.

mod faults_found;
mod made_up_records;
mod page;
mod page_checker;
mod rows_of_records;
