//! Parses one line into words. Whether they name known sections and directives is checked elsewhere.
//!
//! ```text
//! line    = [ word *( blank word ) [ blank "{" ] / "}" ] [ "#" comment ]
//! word    = 1*( any but blanks, quotes, braces and "#" ) / <"> *( any but <"> and "\" / "\" any ) <">
//! ```

use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, take_till, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// A word and the column at which it starts, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub text: String,
    pub column: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    Empty,
    /// The name of a directive and the words after it.
    Directive {
        name: Word,
        arguments: Vec<Word>,
    },
    /// The name of a section and the words between it and the opening brace.
    SectionStart {
        name: Word,
        titles: Vec<Word>,
    },
    SectionEnd {
        column: usize,
    },
}

/// A line that does not match the grammar. The column, counted from 1, is that of the first unexpected
/// character.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    pub column: usize,
}

/// Parses the text of one line.
///
/// # Errors
/// The text does not match the grammar.
pub fn parse_line(text: &str) -> Result<Line, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    let parsed = line.parse_next(&mut input);
    let column = |offset: usize| text[..offset].chars().count() + 1;
    match parsed {
        Ok(parsed) if input.is_empty() => Ok(with_columns(parsed, column)),
        _ => Err(SyntaxError { column: column(input.current_token_start()) }),
    }
}

/// Converts the byte offsets of a parsed line to columns.
fn with_columns(parsed: ParsedLine, column: impl Fn(usize) -> usize) -> Line {
    let word = |parsed: ParsedWord| Word { text: parsed.text, column: column(parsed.offset) };
    match parsed {
        ParsedLine::Empty => Line::Empty,
        ParsedLine::SectionEnd { offset } => Line::SectionEnd { column: column(offset) },
        ParsedLine::Words { first, others, opens_section } => {
            let name = word(first);
            let others = others.into_iter().map(word).collect();
            if opens_section {
                Line::SectionStart { name, titles: others }
            } else {
                Line::Directive { name, arguments: others }
            }
        }
    }
}

/// A parsed line with positions as byte offsets.
enum ParsedLine {
    Empty,
    Words { first: ParsedWord, others: Vec<ParsedWord>, opens_section: bool },
    SectionEnd { offset: usize },
}

struct ParsedWord {
    text: String,
    offset: usize,
}

fn line(input: &mut Input<'_>) -> Result<ParsedLine, ContextError> {
    let section_end =
        preceded(space0, '}').span().map(|span| ParsedLine::SectionEnd { offset: span.end - 1 });
    let parsed = opt(alt((section_end, words))).parse_next(input)?;
    (space0, opt(('#', take_while(0.., |_| true)))).parse_next(input)?;
    Ok(parsed.unwrap_or(ParsedLine::Empty))
}

fn words(input: &mut Input<'_>) -> Result<ParsedLine, ContextError> {
    let first = preceded(space0, word).parse_next(input)?;
    let others = repeat(0.., preceded(space0, word)).parse_next(input)?;
    let opens_section = opt(preceded(space0, '{')).parse_next(input)?.is_some();
    Ok(ParsedLine::Words { first, others, opens_section })
}

fn word(input: &mut Input<'_>) -> Result<ParsedWord, ContextError> {
    let offset = input.current_token_start();
    let text = alt((quoted, unquoted)).parse_next(input)?;
    Ok(ParsedWord { text, offset })
}

fn unquoted(input: &mut Input<'_>) -> Result<String, ContextError> {
    let is_end = |character: char| character.is_whitespace() || matches!(character, '"' | '{' | '}' | '#');
    take_till(1.., is_end).map(str::to_string).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Result<String, ContextError> {
    let character = alt((preceded('\\', any), none_of(['"', '\\'])));
    delimited('"', repeat(0.., character), '"').parse_next(input)
}
