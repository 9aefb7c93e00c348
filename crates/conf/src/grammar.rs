//! The text of one line to its words. What the words mean is settled elsewhere.
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

/// A word, and the column at which it starts, from 1 on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub text: String,
    pub column: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    Empty,
    /// A directive's name and what follows it.
    Directive {
        name: Word,
        arguments: Vec<Word>,
    },
    /// A section's name and what stands between it and the opening brace.
    SectionStart {
        name: Word,
        titles: Vec<Word>,
    },
    SectionEnd {
        column: usize,
    },
}

/// The column from which on a text is no line, from 1 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    pub column: usize,
}

/// # Errors
/// A text that is no line, with the column of the first character that has no place in it.
pub fn parse_line(text: &str) -> Result<Line, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    let parsed = line.parse_next(&mut input);
    let column = |offset: usize| text[..offset].chars().count() + 1;
    match parsed {
        Ok(parsed) if input.is_empty() => Ok(located(parsed, column)),
        _ => Err(SyntaxError { column: column(input.current_token_start()) }),
    }
}

fn located(parsed: ParsedLine, column: impl Fn(usize) -> usize) -> Line {
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

/// A line whose places are offsets in bytes.
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
    let text = alt((quoted, bare)).parse_next(input)?;
    Ok(ParsedWord { text, offset })
}

fn bare(input: &mut Input<'_>) -> Result<String, ContextError> {
    let ends = |letter: char| letter.is_whitespace() || matches!(letter, '"' | '{' | '}' | '#');
    take_till(1.., ends).map(str::to_string).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Result<String, ContextError> {
    let letter = alt((preceded('\\', any), none_of(['"', '\\'])));
    delimited('"', repeat(0.., letter), '"').parse_next(input)
}
