//! Settings that are one of a few words, or yes or no. A value that is none of these would be taken for its default
//! without notice.

use quillpoint::host::{Value, ValueMap};

use crate::config_error::ConfigError;

/// A setting and the words that it can be.
struct WordSetting {
    name: &'static str,
    /// In the platform's words, for people.
    expected: &'static str,
    /// In the terms that settings have.
    allowed: &'static [&'static str],
}

const WORDS: &[WordSetting] = &[
    WordSetting {
        name: "discovery",
        expected: "subscribe or automatic",
        allowed: &["subscribe", "automatic"],
    },
    WordSetting {
        name: "reports.source",
        expected: "answers, probe or none",
        allowed: &["answers", "probe", "none"],
    },
    WordSetting {
        name: "replication.read_check",
        expected: "none, reject or hold",
        allowed: &["none", "reject", "hold"],
    },
    WordSetting {
        name: "replication.listed_role",
        expected: "delayed, initial or none",
        allowed: &["delayed", "initial", "none"],
    },
    WordSetting {
        name: "weights",
        expected: "none, nominal, rough or live",
        allowed: &["none", "nominal", "rough", "live"],
    },
];

/// The same for each class of RPCs.
const METHOD_WORDS: &[WordSetting] = &[
    WordSetting {
        name: "idempotency",
        expected: "free, guarded or single_shot",
        allowed: &["idempotent", "keyed", "non_idempotent"],
    },
    WordSetting {
        name: "idempotency_scope",
        expected: "all, zone or cell",
        allowed: &["all", "zone", "replica_set"],
    },
];

const FLAGS: &[&str] = &[
    "allowed.health_checks",
    "allowed.retry_after",
    "allowed.hedging",
    "clients.mark_retries",
    "rules.only_listed_draining",
];

/// Checks that words and flags are known ones, and that no two contradict each other.
pub fn check(values: &ValueMap, methods: usize) -> Result<(), ConfigError> {
    for setting in WORDS {
        check_word(values, setting.name, setting)?;
    }
    for place in 0..methods {
        for setting in METHOD_WORDS {
            check_word(values, &format!("methods.{place}.{}", setting.name), setting)?;
        }
    }
    for name in FLAGS {
        check_flag(values, name)?;
    }
    check_report_source(values)
}

fn check_word(values: &ValueMap, name: &str, setting: &WordSetting) -> Result<(), ConfigError> {
    match values.0.get(name) {
        None => Ok(()),
        Some(Value::Text(word)) if setting.allowed.contains(&word.as_str()) => Ok(()),
        Some(other) => Err(ConfigError::invalid_setting(name, setting.expected, shown(other))),
    }
}

fn check_flag(values: &ValueMap, name: &str) -> Result<(), ConfigError> {
    match values.0.get(name) {
        None | Some(Value::Bool(_)) => Ok(()),
        Some(other) => Err(ConfigError::invalid_setting(name, "true or false", shown(other))),
    }
}

/// Reports that come with health checks alone never come where these are not allowed.
fn check_report_source(values: &ValueMap) -> Result<(), ConfigError> {
    if values.text("reports.source") != "probe" || values.is_true("allowed.health_checks") {
        return Ok(());
    }
    let expected = "answers or none, as allowed.health_checks is not true";
    Err(ConfigError::invalid_setting("reports.source", expected, "probe"))
}

fn shown(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Duration(duration) => format!("{duration:?}"),
    }
}
