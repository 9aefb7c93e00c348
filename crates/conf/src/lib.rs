//! `quillpoint.conf`: a directive and its words on a line, sections in braces, `#` comments, includes.
//!
//! `grammar` turns a text to lines, `directives` is the one place that knows what may be said, `check` brings both
//! together: what comes out of [`check::read`] is complete, typed and within bounds. `page` prints the table for
//! operators.

pub mod check;
pub mod directives;
mod grammar;
pub mod page;
pub mod value;

pub use check::{Conf, Fault, read};
pub use value::Value;
