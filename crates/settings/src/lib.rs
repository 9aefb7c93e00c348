//! Converts the platform's JSON settings to the flat map that the routing core reads, and the fields of the
//! platform's load reports to [`LoadReport`](quillpoint::host::LoadReport).
//!
//! The names of these settings are mapped to quillpoint's own terms (docs/glossary.md) here and nowhere else,
//! and numbers with a unit become typed values. Values are neither validated nor completed by defaults.

#![warn(missing_docs)]

mod load_report;
mod names;

use std::time::Duration;

use quillpoint::host::{Value, ValueMap};
use serde_json::Value as Json;

pub use crate::load_report::set_report_field;

/// The suffix of JSON keys whose values are in milliseconds.
const MILLISECONDS_SUFFIX: &str = "Ms";

/// Why a text cannot be parsed as the platform's settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid JSON. The inner error has the line and column.
    #[error("the settings cannot be read: expected JSON, {0}")]
    InvalidJson(#[from] serde_json::Error),
}

/// Parses a JSON text that consists of the settings alone.
///
/// # Errors
/// The text is not valid JSON.
pub fn parse_settings(text: &str) -> Result<ValueMap, SettingsError> {
    Ok(settings_from_json(&serde_json::from_str(text)?))
}

/// Converts settings that are already parsed, such as a part of a larger JSON object.
///
/// Each value gets a path of terms and list indices, joined by dots: `methods.0.deadline`. JSON keys that
/// have no corresponding term are skipped.
pub fn settings_from_json(tree: &Json) -> ValueMap {
    let mut settings = ValueMap::default();
    insert_values(tree, &SettingPath::default(), &mut settings);
    settings
}

/// Converts milliseconds to a duration, rounded to microseconds, which is the platform's resolution. A
/// negative number becomes zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

/// The path of a setting, and what its keys determine about the value.
#[derive(Default)]
struct SettingPath {
    /// Terms and list indices, joined by dots.
    path: String,
    /// The last term in the path. An index does not change it: the elements of a list have the term of the
    /// list.
    term: &'static str,
    in_milliseconds: bool,
}

impl SettingPath {
    fn child(&self, key: &str, term: &'static str) -> Self {
        let in_milliseconds = key.ends_with(MILLISECONDS_SUFFIX);
        Self { path: self.path_to(term), term, in_milliseconds }
    }

    fn element(&self, index: usize) -> Self {
        Self { path: self.path_to(&index.to_string()), ..*self }
    }

    fn path_to(&self, part: &str) -> String {
        if self.path.is_empty() { part.to_string() } else { format!("{}.{part}", self.path) }
    }
}

fn insert_values(tree: &Json, setting: &SettingPath, settings: &mut ValueMap) {
    match tree {
        Json::Object(members) => {
            for (key, member) in members {
                if let Some((_, term)) = names::KEYS.iter().find(|(json, _)| json == key) {
                    insert_values(member, &setting.child(key, term), settings);
                }
            }
        }
        Json::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                insert_values(element, &setting.element(index), settings);
            }
        }
        leaf => {
            if let Some(value) = leaf_value(leaf, setting) {
                settings.0.insert(setting.path.clone(), value);
            }
        }
    }
}

fn leaf_value(leaf: &Json, setting: &SettingPath) -> Option<Value> {
    match leaf {
        Json::Bool(flag) => Some(Value::Bool(*flag)),
        Json::Number(number) => {
            let number = number.as_f64()?;
            Some(if setting.in_milliseconds {
                Value::Duration(duration_from_ms(number))
            } else {
                Value::Number(number)
            })
        }
        Json::String(text) => Some(Value::Text(term_of_value(setting.term, text).to_string())),
        Json::Null | Json::Object(_) | Json::Array(_) => None,
    }
}

fn term_of_value<'a>(setting: &str, json: &'a str) -> &'a str {
    let known = names::VALUES.iter().find(|value| value.setting == setting && value.json == json);
    known.map_or(json, |value| value.term)
}
