//! Reads `quillpoint.conf`. The file has one directive with its value per line, sections in braces, `#`
//! comments and includes.
//!
//! `grammar` splits a line into words. `directives` and its `table` define all sections and directives.
//! `reader` reads files and follows includes. `draft` collects the values, checks them against the table and
//! applies defaults. In the resulting [`Conf`] each value has its type, is within bounds and has its default
//! if it was not configured. `reference` prints the table as a page for operators.

#![warn(missing_docs)]

mod conf;
pub mod directives;
mod draft;
mod error;
mod grammar;
mod reader;
pub mod reference;
mod table;
pub mod value;

pub use conf::Conf;
pub use error::{ConfError, Location};
pub use reader::{read, read_with};
pub use value::Value;
