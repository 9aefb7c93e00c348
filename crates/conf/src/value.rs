//! Words to typed values, by the kind that a directive takes.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

const NAME_LETTERS: RangeInclusive<usize> = 1..=64;

/// What a directive takes, with its bounds, which are allowed themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A whole number and a unit: `us`, `ms`, `s`, `min`, `h`.
    Duration {
        /// The shortest.
        min: Duration,
        /// The longest.
        max: Duration,
    },
    /// A whole number and a unit: `B`, `KiB`, `MiB`, `GiB`.
    Size {
        /// The smallest, in bytes.
        min: u64,
        /// The largest, in bytes.
        max: u64,
    },
    /// A whole number.
    Count {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// An address and a port.
    Address,
    /// Relative to the file that has it.
    Path,
    /// One of these.
    OneOf(&'static [&'static str]),
    /// Any one word of 1 to 64 letters.
    Name,
}

/// A value of a directive.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Of [`Kind::Duration`].
    Duration(Duration),
    /// Of [`Kind::Size`], in bytes.
    Size(u64),
    /// Of [`Kind::Count`].
    Count(u64),
    /// Of [`Kind::Address`].
    Address(SocketAddr),
    /// Of [`Kind::Path`].
    Path(PathBuf),
    /// Of [`Kind::OneOf`] or [`Kind::Name`].
    Text(String),
}

impl Kind {
    /// What is expected, in words.
    pub fn expected(&self) -> String {
        match self {
            Self::Duration { min, max } => {
                format!("a time from {} to {}, as 250ms", format_duration(*min), format_duration(*max))
            }
            Self::Size { min, max } => {
                format!("a size from {} to {}, as 16MiB", format_size(*min), format_size(*max))
            }
            Self::Count { min, max } => format!("a whole number from {min} to {max}"),
            Self::Address => "an address and a port, as 127.0.0.1:7400".to_string(),
            Self::Path => "a path".to_string(),
            Self::OneOf(words) => format!("one of: {}", words.join(", ")),
            Self::Name => "a name of 1 to 64 letters".to_string(),
        }
    }

    /// The value, if the word is one of this kind and within bounds.
    pub fn parse(&self, word: &str) -> Option<Value> {
        match self {
            Self::Duration { min, max } => {
                let duration = Duration::from_micros(parse_with_unit(word, &DURATION_UNITS)?);
                (*min..=*max).contains(&duration).then_some(Value::Duration(duration))
            }
            Self::Size { min, max } => {
                let bytes = parse_with_unit(word, &SIZE_UNITS)?;
                (*min..=*max).contains(&bytes).then_some(Value::Size(bytes))
            }
            Self::Count { min, max } => {
                let count = word.parse().ok().filter(|_| word.bytes().all(|byte| byte.is_ascii_digit()))?;
                (*min..=*max).contains(&count).then_some(Value::Count(count))
            }
            Self::Address => word.parse().ok().map(Value::Address),
            Self::Path => (!word.is_empty()).then(|| Value::Path(PathBuf::from(word))),
            Self::OneOf(words) => words.contains(&word).then(|| Value::Text(word.to_string())),
            Self::Name => is_name(word).then(|| Value::Text(word.to_string())),
        }
    }
}

pub(crate) fn is_name(word: &str) -> bool {
    NAME_LETTERS.contains(&word.chars().count())
}

struct Unit {
    name: &'static str,
    /// How many of the smallest unit it is.
    factor: u64,
}

/// From the smallest on: microseconds.
const DURATION_UNITS: [Unit; 5] = [
    Unit { name: "us", factor: 1 },
    Unit { name: "ms", factor: 1000 },
    Unit { name: "s", factor: 1_000_000 },
    Unit { name: "min", factor: 60_000_000 },
    Unit { name: "h", factor: 3_600_000_000 },
];
/// From the smallest on: bytes.
const SIZE_UNITS: [Unit; 4] = [
    Unit { name: "B", factor: 1 },
    Unit { name: "KiB", factor: 1 << 10 },
    Unit { name: "MiB", factor: 1 << 20 },
    Unit { name: "GiB", factor: 1 << 30 },
];

/// A whole number and its unit, in the smallest unit. The unit is never left out: a bare number would mean something
/// else to each reader.
fn parse_with_unit(word: &str, units: &[Unit]) -> Option<u64> {
    let digits = word.bytes().take_while(u8::is_ascii_digit).count();
    let (number, name) = word.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let unit = units.iter().find(|unit| unit.name == name)?;
    unit.factor.checked_mul(number)
}

/// As it would be written: in the largest unit of which it is a whole number.
pub fn format_duration(duration: Duration) -> String {
    format_with_unit(duration.as_micros() as u64, &DURATION_UNITS)
}

/// A size in bytes, as it would be written: in the largest unit of which it is a whole number.
pub fn format_size(bytes: u64) -> String {
    format_with_unit(bytes, &SIZE_UNITS)
}

fn format_with_unit(number: u64, units: &[Unit]) -> String {
    let divides = |unit: &&Unit| number > 0 && number.is_multiple_of(unit.factor);
    let unit = units.iter().rev().find(divides).unwrap_or(&units[0]);
    format!("{}{}", number / unit.factor, unit.name)
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Duration(duration) => f.write_str(&format_duration(*duration)),
            Self::Size(bytes) => f.write_str(&format_size(*bytes)),
            Self::Count(count) => write!(f, "{count}"),
            Self::Address(address) => write!(f, "{address}"),
            Self::Path(path) => write!(f, "{}", path.display()),
            Self::Text(text) => f.write_str(text),
        }
    }
}
