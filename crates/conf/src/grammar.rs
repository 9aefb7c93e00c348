//! The text of one file to its lines. What the words mean is settled elsewhere.
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
    /// A directive, or the head of a section.
    Words {
        words: Vec<Word>,
        opens: bool,
    },
    /// The end of a section.
    Closes {
        column: usize,
    },
}

/// The line, or the column from which on it is not one.
pub fn line(text: &str) -> Result<Line, usize> {
    let mut input = LocatingSlice::new(text);
    let parsed = whole.parse_next(&mut input);
    let column = |offset: usize| text[..offset].chars().count() + 1;
    match parsed {
        Ok(raw) if input.is_empty() => Ok(match raw {
            Raw::Empty => Line::Empty,
            Raw::Closes(at) => Line::Closes { column: column(at) },
            Raw::Words(words, opens) => {
                let word = |(text, at): (String, usize)| Word { text, column: column(at) };
                Line::Words { words: words.into_iter().map(word).collect(), opens }
            }
        }),
        _ => Err(column(input.current_token_start())),
    }
}

enum Raw {
    Empty,
    Words(Vec<(String, usize)>, bool),
    Closes(usize),
}

fn whole(input: &mut Input<'_>) -> Result<Raw, ContextError> {
    let body = alt((
        preceded(space0, '}').span().map(|span| Raw::Closes(span.end - 1)),
        (repeat(1.., preceded(space0, word)), opt(preceded(space0, '{')))
            .map(|(words, brace): (Vec<_>, Option<char>)| Raw::Words(words, brace.is_some())),
    ));
    let raw = opt(body).parse_next(input)?;
    (space0, opt(('#', take_while(0.., |_| true)))).parse_next(input)?;
    Ok(raw.unwrap_or(Raw::Empty))
}

fn word(input: &mut Input<'_>) -> Result<(String, usize), ContextError> {
    let at = input.current_token_start();
    let text = alt((quoted, bare)).parse_next(input)?;
    Ok((text, at))
}

fn bare(input: &mut Input<'_>) -> Result<String, ContextError> {
    let ends = |letter: char| letter.is_whitespace() || matches!(letter, '"' | '{' | '}' | '#');
    take_till(1.., ends).map(str::to_string).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Result<String, ContextError> {
    let letter = alt((preceded('\\', any), none_of(['"', '\\'])));
    delimited('"', repeat(0.., letter), '"').parse_next(input)
}
