//! What holds for all routers of a deployment, and the faults of whatever a router is told at its start.

use std::fmt::Display;
use std::time::Duration;

use quillpoint::host::{Value, ValueMap};

/// Idle connections are looked at no more often.
const SHORTEST_IDLE: Duration = Duration::from_millis(100);

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("GW_CONFIG: expected the path of a configuration file, as no --config is given")]
    NoFile,
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    #[error("{0}: expected a JSON object, {1}")]
    NoJson(String, serde_json::Error),
    #[error("{key}: expected {expected}, found {found}")]
    Key { key: String, expected: &'static str, found: String },
}

pub fn fault(key: &str, expected: &'static str, found: impl Display) -> Fault {
    Fault::Key { key: key.to_string(), expected, found: found.to_string() }
}

fn setting_fault(name: &str, expected: &'static str, found: impl Display) -> Fault {
    fault(&format!("settings ({name})"), expected, found)
}

/// The settings that are one of a few words, and those that are yes or no. A word that is none of these would be
/// taken for its default without notice.
const WORDS: &[(&str, &str, &[&str])] = &[
    ("discovery", "subscribe or automatic", &["subscribe", "automatic"]),
    ("reports.source", "answers, probe or none", &["answers", "probe", "none"]),
    ("replication.read_check", "none, reject or hold", &["none", "reject", "hold"]),
    ("replication.listed_role", "delayed, initial or none", &["delayed", "initial", "none"]),
    ("weights", "none, nominal, rough or live", &["none", "nominal", "rough", "live"]),
];
/// The same for each class.
const CLASS_WORDS: &[(&str, &str, &[&str])] = &[
    ("idempotency", "free, guarded or single_shot", &["idempotent", "keyed", "non_idempotent"]),
    ("idempotency_scope", "all, zone or cell", &["all", "zone", "replica_set"]),
];
const FLAGS: &[&str] = &[
    "allowed.health_checks",
    "allowed.retry_after",
    "allowed.hedging",
    "clients.mark_retries",
    "rules.only_listed_draining",
];

/// What holds for all routers of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// For the module, by its names.
    pub values: ValueMap,
    pub methods: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_fields: Vec<String>,
    pub longest_deadline: Duration,
    pub connect_timeout: Duration,
    /// A connection that has stood idle for so long is closed by a node.
    pub idle_time: Duration,
    /// How many RPCs may be held at once.
    pub most_held: usize,
    pub ask_every: Duration,
    /// Changes of the list come unasked: the watch is the program's to begin.
    pub list_comes: bool,
    /// The tightest bound on the age of what a read may be answered with, if there is one.
    pub tightest: Option<Duration>,
}

impl Deployment {
    pub fn of(values: ValueMap) -> Result<Self, Fault> {
        let list = |path: &str, name: &str| -> Vec<String> {
            let at = |place: usize| match name {
                "" => values.text(&format!("{path}.{place}")),
                name => values.text(&format!("{path}.{place}.{name}")),
            };
            (0..).map(|place| at(place).to_string()).take_while(|text| !text.is_empty()).collect()
        };
        let span =
            |name: &str| values.span(name).ok_or_else(|| setting_fault(name, "milliseconds", "nothing"));
        let methods = list("methods", "name");
        if methods.is_empty() {
            return Err(setting_fault("methods", "one class of RPCs or more, each with a name", "none"));
        }
        let mut longest_deadline = Duration::ZERO;
        for place in 0..methods.len() {
            span(&format!("methods.{place}.latency_objective"))?;
            longest_deadline = longest_deadline.max(span(&format!("methods.{place}.deadline"))?);
        }
        check_words(&values, methods.len())?;
        let optional =
            ["replication.consistency.0", "methods.0.idempotency", "rules.poll_interval", "routers", "tick"];
        for name in optional.into_iter().filter(|name| !values.0.contains_key(*name)) {
            // A name that silently fails to map costs decisions.
            log::warn!("settings: {name} is missing, so its default holds");
        }
        Ok(Self {
            methods,
            zones: list("zones", ""),
            kinds: list("kinds", ""),
            report_fields: list("reports.fields", ""),
            longest_deadline,
            connect_timeout: span("allowed.connect_timeout")?,
            idle_time: span("allowed.idle_connection_timeout")?.max(SHORTEST_IDLE),
            most_held: values.number("allowed.max_queued").map_or(usize::MAX, |held| held as usize),
            list_comes: values.text("discovery") == "automatic",
            ask_every: values.span("rules.poll_interval").unwrap_or(Duration::from_secs(10)),
            tightest: tightest(&values),
            values,
        })
    }
}

/// That words and flags are known ones, and that no two contradict each other.
fn check_words(values: &ValueMap, methods: usize) -> Result<(), Fault> {
    let word = |name: &str, expected, words: &[&str]| match values.0.get(name) {
        Some(Value::Text(word)) if words.contains(&word.as_str()) => Ok(()),
        None => Ok(()),
        Some(other) => Err(setting_fault(name, expected, shown(other))),
    };
    for (name, expected, words) in WORDS {
        word(name, expected, words)?;
    }
    for place in 0..methods {
        for (name, expected, words) in CLASS_WORDS {
            word(&format!("methods.{place}.{name}"), expected, words)?;
        }
    }
    for name in FLAGS {
        if let Some(other) = values.0.get(*name).filter(|value| !matches!(value, Value::Flag(_))) {
            return Err(setting_fault(name, "true or false", shown(other)));
        }
    }
    if values.text("reports.source") == "probe" && !values.flag("allowed.health_checks") {
        let expected = "answers or none, as allowed.probes is not true";
        return Err(setting_fault("reports.source", expected, "probe"));
    }
    Ok(())
}

fn shown(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Flag(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Span(span) => format!("{span:?}"),
    }
}

fn tightest(values: &ValueMap) -> Option<Duration> {
    let bound = |place: usize| {
        let bounded = values.text(&format!("replication.consistency.{place}")) == "bounded";
        values
            .span(&format!("replication.staleness_bound.{place}"))
            .filter(|bound| bounded && !bound.is_zero())
    };
    (0..)
        .take_while(|place| values.0.contains_key(&format!("replication.consistency.{place}")))
        .filter_map(bound)
        .min()
}
