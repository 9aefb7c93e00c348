//! `quillpoint.conf`: a directive and its words on a line, sections in braces, `#` comments, includes.
//!
//! `grammar` turns a line to words, `directives` is the one place that knows what may be written, `reader` takes files
//! and their includes, `draft` checks what they say against the table and fills in defaults. The [`Conf`] that comes out
//! is complete, typed and within bounds. `reference` prints the table for operators.

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
