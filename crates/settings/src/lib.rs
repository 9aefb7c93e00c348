//! The platform's settings as the flat map that the decisions read, and the fields of its load reports.
//!
//! This is the one place where the platform's names become the terms of docs/glossary.md. Names change here, units
//! become types, and nothing is judged or filled in.

#![warn(missing_docs)]

mod load_report;
mod names;

use std::time::Duration;

use quillpoint::host::{Value, ValueMap};
use serde_json::Value as Json;

pub use crate::load_report::set_report_field;

/// Keys that end so hold milliseconds.
const MILLISECONDS_SUFFIX: &str = "Ms";

/// A text that is not the platform's settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON; the error names its line and column.
    #[error("the settings cannot be read: {0}")]
    InvalidJson(#[from] serde_json::Error),
}

/// The settings that stand in a text of their own.
///
/// # Errors
/// A text that is not JSON.
pub fn parse_settings(text: &str) -> Result<ValueMap, SettingsError> {
    Ok(settings_from_json(&serde_json::from_str(text)?))
}

/// The settings that stand within a larger object.
///
/// A value's path joins terms and list indices by dots: `methods.0.deadline`. Keys without a term are skipped.
pub fn settings_from_json(tree: &Json) -> ValueMap {
    let mut settings = ValueMap::default();
    insert_values(tree, &SettingPath::default(), &mut settings);
    settings
}

/// Milliseconds to a duration, to the microsecond in which the platform counts. What is below zero becomes zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

/// The path of a setting, and what its keys say of the value.
#[derive(Default)]
struct SettingPath {
    /// Terms and list indices, joined by dots.
    path: String,
    /// The last name in the path that is no index of a list.
    term: &'static str,
    in_milliseconds: bool,
}

impl SettingPath {
    fn of_key(&self, key: &str, term: &'static str) -> Self {
        let in_milliseconds = key.ends_with(MILLISECONDS_SUFFIX);
        Self { path: self.path_to(term), term, in_milliseconds }
    }

    fn of_index(&self, index: usize) -> Self {
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
                    insert_values(member, &setting.of_key(key, term), settings);
                }
            }
        }
        Json::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                insert_values(element, &setting.of_index(index), settings);
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
        Json::String(text) => Some(Value::Text(term_of_word(setting.term, text).to_string())),
        Json::Null | Json::Object(_) | Json::Array(_) => None,
    }
}

fn term_of_word<'a>(setting: &str, json: &'a str) -> &'a str {
    let known = names::WORDS.iter().find(|word| word.setting == setting && word.json == json);
    known.map_or(json, |word| word.term)
}
