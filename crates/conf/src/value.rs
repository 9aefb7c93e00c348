//! Words to typed values, by the kind that a directive wants.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What a directive takes, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A whole number and a unit: `us`, `ms`, `s`, `min`, `h`.
    Span {
        least: Duration,
        most: Duration,
    },
    /// A whole number and a unit: `B`, `KiB`, `MiB`, `GiB`.
    Size {
        least: u64,
        most: u64,
    },
    Count {
        least: u64,
        most: u64,
    },
    /// An address and a port.
    Address,
    /// Relative to the file that says it.
    Path,
    /// One of these.
    Word(&'static [&'static str]),
    /// Any one word of 1 to 64 letters.
    Name,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Span(Duration),
    Size(u64),
    Count(u64),
    Address(SocketAddr),
    Path(PathBuf),
    Word(String),
}

impl Kind {
    /// What is expected, in words.
    pub fn wanted(&self) -> String {
        match self {
            Self::Span { least, most } => {
                format!("a time from {} to {}, as 250ms", span(*least), span(*most))
            }
            Self::Size { least, most } => {
                format!("a size from {} to {}, as 16MiB", size(*least), size(*most))
            }
            Self::Count { least, most } => format!("a whole number from {least} to {most}"),
            Self::Address => "an address and a port, as 127.0.0.1:7400".to_string(),
            Self::Path => "a path".to_string(),
            Self::Word(words) => format!("one of: {}", words.join(", ")),
            Self::Name => "a name of 1 to 64 letters".to_string(),
        }
    }

    /// The value, if the word is one of this kind and within bounds.
    pub fn value(&self, word: &str) -> Option<Value> {
        match self {
            Self::Span { least, most } => {
                let (number, unit) = split(word)?;
                let micros = SPANS.iter().find(|(name, _)| *name == unit)?.1.checked_mul(number)?;
                let span = Duration::from_micros(micros);
                (*least..=*most).contains(&span).then_some(Value::Span(span))
            }
            Self::Size { least, most } => {
                let (number, unit) = split(word)?;
                let bytes = SIZES.iter().find(|(name, _)| *name == unit)?.1.checked_mul(number)?;
                (*least..=*most).contains(&bytes).then_some(Value::Size(bytes))
            }
            Self::Count { least, most } => {
                let count = word.parse().ok().filter(|_| word.bytes().all(|byte| byte.is_ascii_digit()))?;
                (*least..=*most).contains(&count).then_some(Value::Count(count))
            }
            Self::Address => word.parse().ok().map(Value::Address),
            Self::Path => (!word.is_empty()).then(|| Value::Path(PathBuf::from(word))),
            Self::Word(words) => words.contains(&word).then(|| Value::Word(word.to_string())),
            Self::Name => (1..=64).contains(&word.chars().count()).then(|| Value::Word(word.to_string())),
        }
    }
}

/// The unit is never left out: a bare number would mean something else to each reader.
fn split(word: &str) -> Option<(u64, &str)> {
    let digits = word.bytes().take_while(u8::is_ascii_digit).count();
    Some((word[..digits].parse().ok()?, &word[digits..]))
}

const SPANS: [(&str, u64); 5] =
    [("us", 1), ("ms", 1000), ("s", 1_000_000), ("min", 60_000_000), ("h", 3_600_000_000)];
const SIZES: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// As it would be written: in the largest unit of which it is a whole number.
pub fn span(span: Duration) -> String {
    written(span.as_micros() as u64, &SPANS)
}

pub fn size(bytes: u64) -> String {
    written(bytes, &SIZES)
}

fn written(number: u64, units: &[(&str, u64)]) -> String {
    let fits = |(_, of): &&(&str, u64)| number > 0 && number.is_multiple_of(*of);
    let (name, of) = units.iter().rev().find(fits).unwrap_or(&units[0]);
    format!("{}{name}", number / of)
}

impl std::fmt::Display for Value {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Span(value) => f.write_str(&span(*value)),
            Self::Size(bytes) => f.write_str(&size(*bytes)),
            Self::Count(count) => write!(f, "{count}"),
            Self::Address(address) => write!(f, "{address}"),
            Self::Path(path) => write!(f, "{}", path.display()),
            Self::Word(word) => f.write_str(word),
        }
    }
}
