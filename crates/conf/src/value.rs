//! Parses words into typed values, according to the kind of value that a directive takes.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// The allowed length of a name, in characters.
const NAME_CHARACTERS: RangeInclusive<usize> = 1..=64;

/// The kind of value that a directive takes. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A whole number and a unit: `us`, `ms`, `s`, `min`, `h`.
    Duration {
        /// The minimum.
        min: Duration,
        /// The maximum.
        max: Duration,
    },
    /// A whole number and a unit: `B`, `KiB`, `MiB`, `GiB`.
    Size {
        /// The minimum in bytes.
        min: u64,
        /// The maximum in bytes.
        max: u64,
    },
    /// A whole number.
    Count {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// An address and a port.
    Address,
    /// A path. A relative one is relative to the directory of the file in which it is written.
    Path,
    /// One of a fixed set of words.
    OneOf(&'static [&'static str]),
    /// Any word of 1 to 64 characters.
    Name,
}

/// The value of a directive.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A value of [`Kind::Duration`].
    Duration(Duration),
    /// A value of [`Kind::Size`], in bytes.
    Size(u64),
    /// A value of [`Kind::Count`].
    Count(u64),
    /// A value of [`Kind::Address`].
    Address(SocketAddr),
    /// A value of [`Kind::Path`].
    Path(PathBuf),
    /// A value of [`Kind::OneOf`] or [`Kind::Name`].
    Text(String),
}

impl Kind {
    /// Describes the valid values, for error messages and the operators' page.
    pub fn expected(&self) -> String {
        match self {
            Self::Duration { min, max } => {
                format!(
                    "a duration from {} to {}, such as 250ms",
                    format_duration(*min),
                    format_duration(*max)
                )
            }
            Self::Size { min, max } => {
                format!("a size from {} to {}, such as 16MiB", format_size(*min), format_size(*max))
            }
            Self::Count { min, max } => format!("a whole number from {min} to {max}"),
            Self::Address => "an address and a port, such as 127.0.0.1:7400".to_string(),
            Self::Path => "a path".to_string(),
            Self::OneOf(words) => format!("one of: {}", words.join(", ")),
            Self::Name => "a name of 1 to 64 characters".to_string(),
        }
    }

    /// Parses a word as a value of this kind. `None` if it is not one or not within bounds.
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
    NAME_CHARACTERS.contains(&word.chars().count())
}

struct Unit {
    name: &'static str,
    /// The size of this unit in the smallest unit.
    factor: u64,
}

/// In ascending order. The smallest unit is the microsecond.
const DURATION_UNITS: [Unit; 5] = [
    Unit { name: "us", factor: 1 },
    Unit { name: "ms", factor: 1000 },
    Unit { name: "s", factor: 1_000_000 },
    Unit { name: "min", factor: 60_000_000 },
    Unit { name: "h", factor: 3_600_000_000 },
];
/// In ascending order. The smallest unit is the byte.
const SIZE_UNITS: [Unit; 4] = [
    Unit { name: "B", factor: 1 },
    Unit { name: "KiB", factor: 1 << 10 },
    Unit { name: "MiB", factor: 1 << 20 },
    Unit { name: "GiB", factor: 1 << 30 },
];

/// Parses a whole number with its unit and returns it in the smallest unit. The unit is required, as the
/// meaning of a number without one would be ambiguous.
fn parse_with_unit(word: &str, units: &[Unit]) -> Option<u64> {
    let digits = word.bytes().take_while(u8::is_ascii_digit).count();
    let (number, name) = word.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let unit = units.iter().find(|unit| unit.name == name)?;
    unit.factor.checked_mul(number)
}

/// Formats a duration as in the configuration file, in the largest unit in which it is a whole number.
pub fn format_duration(duration: Duration) -> String {
    format_with_unit(duration.as_micros() as u64, &DURATION_UNITS)
}

/// Formats a size in bytes as in the configuration file, in the largest unit in which it is a whole number.
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
