//! The platform's names in settings and load reports are mapped to the terms that the routing core reads.

use std::time::Duration;

use quillpoint::host::{LoadReport, Value, ValueMap};
use quillpoint_settings::{duration_from_ms, parse_settings, set_report_field, settings_from_json};

/// Settings with every key that has a term, and with some that have none and must be skipped: `Family`,
/// `Layer`, `Notes`, `Stream`, `Tenants`.
const PLATFORM: &str = r#"{
"Allowed": {"Cancelling": true, "ConnIdleMs": 31000.0, "ConnectTimeoutMs": 251.5, "CpuUsPerRequest": 0.0,
    "CpuUsPerS": 400000, "MaxAttempts": 6, "MaxRetryAfterMs": 900.0, "MayDuplicate": false, "MostHeld": 15000,
    "Multiplex": 1, "Probes": true, "RetryAfter": true},
"Balancers": 3,
"Classes": [
    {"Name": "look", "Semantics": "free", "Group": "cell", "GoalTimeMs": 150.0, "AimStretch": 2.5, "GiveUpMs": 600.0,
        "Value": 1.0, "LateValue": 0.2, "WindowMs": 5000.0, "Stream": false},
    {"Name": "keep", "Semantics": "guarded", "Group": "zone", "GiveUpMs": 700.0},
    {"Name": "enter", "Semantics": "single_shot", "Group": "all", "GiveUpMs": 3000.0}],
"Clients": {"MarksRetry": true},
"Discovery": "subscribe",
"Extra": {"CatchUpWaitMs": 20.0, "Checks": "hold", "ClassBoundMs": [300.0, 0.0], "CommitWaits": true,
    "NeedsByClass": ["update", "latest", "own_writes", "recent", "loose"], "Notes": "in words", "OriginTimeMs": 4000.25,
    "RoleListed": "delayed", "Stamps": true, "WriteMarks": "client"},
"FailureDomains": ["west", "east"],
"Family": "replicas",
"Feedback": {"Fields": ["x0", "waiting"], "Source": "probe"},
"Goal": {"Whole": 0.5, "WorstClass": 0.2, "WorstWindow": 0.3},
"Invariants": {"AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "ColdFrom": 0.25, "ColdMs": 18000.0, "DrainGraceMs": 2000.0,
    "DroppedStayOpen": true, "FallMultiple": 3.0, "OverloadForMs": 1000.0},
"Layer": 0, "MyZone": 1, "Rank": 2, "Skus": ["small", "large"], "StepMs": 2.0,
"Tariffs": {"Connection": 0.1, "CrossZone": 0.04, "Handshake": 0.2, "LateFail": 0.05, "Probe": 0.02, "Waste": 0.17},
"Tenants": [{"QuotaRps": 5.0}], "Weights": "rough", "WorthBy": "request"}"#;

/// The converted settings of [`PLATFORM`], as [`formatted`] prints them.
const TERMS: &str = r#"allowed.attempts = 6
allowed.cancel = true
allowed.connect_timeout = 251.5ms
allowed.cpu_per_rpc = 0
allowed.cpu_per_second = 400000
allowed.health_checks = true
allowed.hedging = false
allowed.idle_connection_timeout = 31s
allowed.max_pending_rpcs = 15000
allowed.max_retry_after = 900ms
allowed.retry_after = true
allowed.streams = 1
clients.mark_retries = true
discovery = "subscribe"
goal.whole = 0.5
goal.worst_method = 0.2
goal.worst_window = 0.3
kinds.0 = "small"
kinds.1 = "large"
methods.0.deadline = 600ms
methods.0.idempotency = "idempotent"
methods.0.idempotency_scope = "replica_set"
methods.0.idempotency_window = 5s
methods.0.late_weight = 0.2
methods.0.latency_objective = 150ms
methods.0.latency_objective_per_work = 2.5
methods.0.name = "look"
methods.0.priority_weight = 1
methods.1.deadline = 700ms
methods.1.idempotency = "keyed"
methods.1.idempotency_scope = "zone"
methods.1.name = "keep"
methods.2.deadline = 3s
methods.2.idempotency = "non_idempotent"
methods.2.idempotency_scope = "all"
methods.2.name = "enter"
prices.connection = 0.1
prices.cross_zone = 0.04
prices.handshake = 0.2
prices.health_check = 0.02
prices.late_abort = 0.05
prices.waste = 0.17
priority_weight_by = "rpc"
rank = 2
replication.catch_up_wait = 20ms
replication.commit_waits = true
replication.consistency.0 = "write"
replication.consistency.1 = "fresh"
replication.consistency.2 = "session"
replication.consistency.3 = "bounded"
replication.consistency.4 = "any"
replication.listed_role = "delayed"
replication.origin = 4.00025s
replication.read_check = "hold"
replication.session_tokens = "carried"
replication.staleness_bound.0 = 300ms
replication.staleness_bound.1 = 0ns
replication.stamps = true
reports.fields.0 = "x0"
reports.fields.1 = "waiting"
reports.source = "probe"
routers = 3
rules.answer_slack = 8ms
rules.drain_grace = 2s
rules.only_listed_draining = true
rules.overload_multiple = 3
rules.overload_window = 1s
rules.poll_interval = 10s
rules.slow_start_duration = 18s
rules.slow_start_initial_capacity = 0.25
tick = 2ms
weights = "rough"
zone = 1
zones.0 = "west"
zones.1 = "east"
"#;

fn formatted(settings: &ValueMap) -> String {
    let line = |(name, value): (&String, &Value)| match value {
        Value::Bool(flag) => format!("{name} = {flag}\n"),
        Value::Number(number) => format!("{name} = {number}\n"),
        Value::Duration(duration) => format!("{name} = {duration:?}\n"),
        Value::Text(text) => format!("{name} = {text:?}\n"),
    };
    settings.0.iter().map(line).collect()
}

#[test]
fn every_platform_name_is_mapped_to_its_term() {
    let settings = parse_settings(PLATFORM).unwrap();
    assert_eq!(formatted(&settings), TERMS);
    let larger_object = serde_json::from_str(&format!(r#"{{"settings": {PLATFORM}}}"#)).unwrap();
    let larger_object: &serde_json::Value = &larger_object;
    assert_eq!(settings_from_json(&larger_object["settings"]).0, settings.0);
    let remembered = PLATFORM.replace(r#""WriteMarks": "client""#, r#""WriteMarks": "router""#);
    assert_eq!(parse_settings(&remembered).unwrap().text("replication.session_tokens"), "remembered");
}

#[test]
fn invalid_json_is_reported_with_its_line() {
    let error = parse_settings("{\"Classes\":").unwrap_err().to_string();
    assert!(error.starts_with("the settings cannot be read: ") && error.contains("line 1"), "{error}");
}

#[test]
fn load_report_fields_are_read_by_either_name_and_negative_times_become_zero() {
    let origin = Duration::from_secs(4000);
    let fields = [("x0", 1.5), ("x1", 1.0), ("inflight", 3.0), ("queue", 4.0), ("cpu", 0.5)];
    let mut report = LoadReport::default();
    fields.iter().for_each(|(name, value)| set_report_field(&mut report, name, *value, origin));
    let mut simulated = LoadReport::default();
    for (name, value) in [("x0", 1.5), ("x1", 0.3), ("active", 3.0), ("waiting", 4.0)] {
        set_report_field(&mut simulated, name, value, origin);
    }
    assert_eq!(report, simulated);
    assert_eq!(report.position, Some(Duration::from_millis(4_001_500)));
    assert_eq!(report.primary, Some(true));
    assert_eq!(duration_from_ms(-5.0), Duration::ZERO);
    assert_eq!(duration_from_ms(0.0004), Duration::ZERO);
    assert_eq!(duration_from_ms(0.0006), Duration::from_micros(1));
}
