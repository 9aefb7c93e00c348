//! Tests that docs/CAPACITY.md agrees with its records: generating it again changes nothing, and each row is
//! correct by itself, as a reader would check it. The checks of rows share no code with the generator but the
//! fits. Tests on made-up records show that the checks can fail.

mod faults_found;
mod made_up_records;
mod page;
mod page_checker;
mod rows_of_records;
