//! Validation of enumerated and boolean settings. Without it, an invalid value would silently be replaced by
//! the default.

use quillpoint::host::{Value, ValueMap};

use crate::config_error::ConfigError;

/// A setting with a fixed set of values.
struct EnumSetting {
    name: &'static str,
    /// The valid values as the platform names them, for error messages.
    expected: &'static str,
    /// The valid values as `quillpoint_settings` names them.
    allowed: &'static [&'static str],
}

const ENUM_SETTINGS: &[EnumSetting] = &[
    EnumSetting {
        name: "discovery",
        expected: "subscribe or automatic",
        allowed: &["subscribe", "automatic"],
    },
    EnumSetting {
        name: "reports.source",
        expected: "answers, probe or none",
        allowed: &["answers", "probe", "none"],
    },
    EnumSetting {
        name: "replication.read_check",
        expected: "none, reject or hold",
        allowed: &["none", "reject", "hold"],
    },
    EnumSetting {
        name: "replication.listed_role",
        expected: "delayed, initial or none",
        allowed: &["delayed", "initial", "none"],
    },
    EnumSetting {
        name: "weights",
        expected: "none, nominal, rough or live",
        allowed: &["none", "nominal", "rough", "live"],
    },
];

/// Enumerated settings that each class of RPCs has.
const METHOD_ENUM_SETTINGS: &[EnumSetting] = &[
    EnumSetting {
        name: "idempotency",
        expected: "free, guarded or single_shot",
        allowed: &["idempotent", "keyed", "non_idempotent"],
    },
    EnumSetting {
        name: "idempotency_scope",
        expected: "all, zone or cell",
        allowed: &["all", "zone", "replica_set"],
    },
];

const BOOLEAN_SETTINGS: &[&str] = &[
    "allowed.health_checks",
    "allowed.retry_after",
    "allowed.hedging",
    "clients.mark_retries",
    "rules.only_listed_draining",
];

/// Checks that enumerated settings and booleans have valid values, and that no two settings contradict each
/// other.
pub fn check(settings: &ValueMap, method_count: usize) -> Result<(), ConfigError> {
    for setting in ENUM_SETTINGS {
        check_enum(settings, setting.name, setting)?;
    }
    for index in 0..method_count {
        for setting in METHOD_ENUM_SETTINGS {
            check_enum(settings, &format!("methods.{index}.{}", setting.name), setting)?;
        }
    }
    for name in BOOLEAN_SETTINGS {
        check_boolean(settings, name)?;
    }
    check_report_source(settings)
}

fn check_enum(settings: &ValueMap, name: &str, setting: &EnumSetting) -> Result<(), ConfigError> {
    match settings.0.get(name) {
        None => Ok(()),
        Some(Value::Text(text)) if setting.allowed.contains(&text.as_str()) => Ok(()),
        Some(other) => Err(ConfigError::invalid_setting(name, setting.expected, display(other))),
    }
}

fn check_boolean(settings: &ValueMap, name: &str) -> Result<(), ConfigError> {
    match settings.0.get(name) {
        None | Some(Value::Bool(_)) => Ok(()),
        Some(other) => Err(ConfigError::invalid_setting(name, "true or false", display(other))),
    }
}

/// Rejects load reports that are taken from health checks if health checks are not allowed: no report would
/// ever arrive.
fn check_report_source(settings: &ValueMap) -> Result<(), ConfigError> {
    if settings.text("reports.source") != "probe" || settings.is_true("allowed.health_checks") {
        return Ok(());
    }
    let expected = "answers or none, because allowed.health_checks is not true";
    Err(ConfigError::invalid_setting("reports.source", expected, "probe"))
}

fn display(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Duration(duration) => format!("{duration:?}"),
    }
}
