//! The settings object as a flat map from names in the project's words to values, and the fields of load
//! reports. Renaming only.

use std::time::Duration;

use quillpoint::host::{LoadReport, Value, ValueMap};
use serde_json::Value as Json;

/// The wire's word for a part of a name, and ours. A key that is not here is skipped.
const NAMES: &[(&str, &str)] = &[
    ("AimStretch", "latency_objective_per_work"),
    ("Allowed", "allowed"),
    ("AnswerSlackMs", "answer_slack"),
    ("AskEveryMs", "poll_interval"),
    ("Balancers", "routers"),
    ("Cancelling", "cancel"),
    ("CatchUpWaitMs", "catch_up_wait"),
    ("Checks", "read_check"),
    ("ClassBoundMs", "staleness_bound"),
    ("Classes", "methods"),
    ("Clients", "clients"),
    ("ColdFrom", "slow_start_initial_capacity"),
    ("ColdMs", "slow_start_duration"),
    ("CommitWaits", "commit_waits"),
    ("ConnIdleMs", "idle_connection_timeout"),
    ("ConnectTimeoutMs", "connect_timeout"),
    ("Connection", "connection"),
    ("CpuUsPerRequest", "cpu_per_rpc"),
    ("CpuUsPerS", "cpu_per_second"),
    ("CrossZone", "cross_zone"),
    ("Discovery", "discovery"),
    ("DrainGraceMs", "drain_grace"),
    ("DroppedStayOpen", "only_listed_draining"),
    ("Extra", "replication"),
    ("FailureDomains", "zones"),
    ("FallMultiple", "overload_multiple"),
    ("Feedback", "reports"),
    ("Fields", "fields"),
    ("GiveUpMs", "deadline"),
    ("Goal", "goal"),
    ("GoalTimeMs", "latency_objective"),
    ("Group", "idempotency_scope"),
    ("Handshake", "handshake"),
    ("Invariants", "rules"),
    ("LateFail", "late_abort"),
    ("LateValue", "late_weight"),
    ("MarksRetry", "mark_retries"),
    ("MaxAttempts", "attempts"),
    ("MaxRetryAfterMs", "max_retry_after"),
    ("MayDuplicate", "hedging"),
    ("MostHeld", "max_queued"),
    ("Multiplex", "streams"),
    ("MyZone", "zone"),
    ("Name", "name"),
    ("NeedsByClass", "consistency"),
    ("OriginTimeMs", "origin"),
    ("OverloadForMs", "overload_window"),
    ("Probe", "health_check"),
    ("Probes", "health_checks"),
    ("Rank", "rank"),
    ("RetryAfter", "retry_after"),
    ("RoleListed", "listed_role"),
    ("Semantics", "idempotency"),
    ("Skus", "kinds"),
    ("Source", "source"),
    ("Stamps", "stamps"),
    ("StepMs", "tick"),
    ("Tariffs", "prices"),
    ("Value", "priority_weight"),
    ("Waste", "waste"),
    ("Weights", "weights"),
    ("Whole", "whole"),
    ("WindowMs", "idempotency_window"),
    ("WorstClass", "worst_method"),
    ("WorstWindow", "worst_window"),
    ("WorthBy", "priority_weight_by"),
    ("WriteMarks", "session_tokens"),
];

/// The wire's word for a value, and ours, by the name that holds it.
const WORDS: &[(&str, &str, &str)] = &[
    ("idempotency", "free", "idempotent"),
    ("idempotency", "guarded", "keyed"),
    ("idempotency", "single_shot", "non_idempotent"),
    ("idempotency_scope", "cell", "replica_set"),
    ("consistency", "update", "write"),
    ("consistency", "latest", "fresh"),
    ("consistency", "own_writes", "session"),
    ("consistency", "recent", "bounded"),
    ("consistency", "loose", "any"),
    ("session_tokens", "client", "carried"),
    ("session_tokens", "router", "remembered"),
    ("priority_weight_by", "request", "rpc"),
];

pub fn flat(text: &str) -> Result<ValueMap, serde_json::Error> {
    Ok(flat_tree(&serde_json::from_str(text)?))
}

/// The same for an object that stands within a larger one.
pub fn flat_tree(tree: &Json) -> ValueMap {
    let mut flat = ValueMap::default();
    put(tree, "", "", false, &mut flat);
    flat
}

/// `word` is the last name on the way here that is not a place in a list.
fn put(tree: &Json, path: &str, word: &str, is_time: bool, flat: &mut ValueMap) {
    let below = |part: &str| if path.is_empty() { part.to_string() } else { format!("{path}.{part}") };
    let value = match tree {
        Json::Object(parts) => {
            for (key, part) in parts {
                if let Some((_, name)) = NAMES.iter().find(|(wire, _)| wire == key) {
                    put(part, &below(name), name, key.ends_with("Ms"), flat);
                }
            }
            return;
        }
        Json::Array(parts) => {
            for (place, part) in parts.iter().enumerate() {
                put(part, &below(&place.to_string()), word, is_time, flat);
            }
            return;
        }
        Json::Null => return,
        Json::Bool(flag) => Value::Flag(*flag),
        Json::Number(number) => match (is_time, number.as_f64()) {
            (true, Some(ms)) => Value::Span(span(ms)),
            (false, Some(number)) => Value::Number(number),
            (_, None) => return,
        },
        Json::String(text) => {
            let ours = WORDS.iter().find(|(name, wire, _)| *name == word && wire == text);
            Value::Text(ours.map_or(text.as_str(), |(_, _, ours)| ours).to_string())
        }
    };
    flat.0.insert(path.to_string(), value);
}

/// Milliseconds on the wire to a span, to the microsecond in which the wire counts; none below zero.
pub fn span(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

/// Enters one field of a load report, by the wire's name or the simulator's. Positions count from `origin`.
pub fn enter(report: &mut LoadReport, name: &str, value: f64, origin: Duration) {
    match name {
        "x0" => report.position = Some(origin + span(value * 1000.0)),
        "x1" => report.primary = Some(value > 0.0),
        "active" | "inflight" => report.in_flight = Some(value),
        "waiting" | "queue" => report.queued = Some(value),
        _ => {}
    }
}
