//! What holds for all routers of a deployment: its settings, checked, and those that the runtime itself needs.

mod words;

use std::time::Duration;

use quillpoint::host::ValueMap;

use crate::config_error::ConfigError;

/// Idle connections are looked at no more often.
const MIN_IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Settings that the decisions do without, at a cost.
const OPTIONAL: [&str; 5] =
    ["replication.consistency.0", "methods.0.idempotency", "rules.poll_interval", "routers", "tick"];

/// What holds for all routers of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// For the decisions, by their names.
    pub values: ValueMap,
    /// The names of the classes of RPCs, at least one.
    pub methods: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the kinds of machine.
    pub kinds: Vec<String>,
    /// The names of a load report's values, in the order in which nodes give them.
    pub report_fields: Vec<String>,
    /// The longest that a client of any class waits.
    pub longest_deadline: Duration,
    /// How long a connect to a node may take.
    pub connect_timeout: Duration,
    /// A connection that has been idle for so long is closed by a node.
    pub idle_connection_timeout: Duration,
    /// How many RPCs may be pending at once, queued or in flight.
    pub max_pending_rpcs: usize,
    /// How often the endpoint list is polled at least.
    pub poll_interval: Duration,
    /// Whether the program polls the endpoint list from its start on; else from the decisions' first request.
    pub polls_from_start: bool,
    /// The tightest bound on the age of what a read may be answered with, if there is one.
    pub tightest_staleness_bound: Option<Duration>,
}

impl Deployment {
    /// Checks the settings. What the decisions can do without is warned of.
    ///
    /// # Errors
    /// A setting that is missing, or that has a value which would be taken for its default without notice.
    pub fn new(values: ValueMap) -> Result<Self, ConfigError> {
        let methods = texts(&values, |place| format!("methods.{place}.name"));
        if methods.is_empty() {
            let expected = "one class of RPCs or more, each with a name";
            return Err(ConfigError::invalid_setting("methods", expected, "none"));
        }
        let longest_deadline = longest_deadline(&values, methods.len())?;
        words::check(&values, methods.len())?;
        warn_of_missing(&values);
        let idle_connection_timeout = duration(&values, "allowed.idle_connection_timeout");
        Ok(Self {
            methods,
            zones: texts(&values, |place| format!("zones.{place}")),
            kinds: texts(&values, |place| format!("kinds.{place}")),
            report_fields: texts(&values, |place| format!("reports.fields.{place}")),
            longest_deadline,
            connect_timeout: duration(&values, "allowed.connect_timeout")?,
            idle_connection_timeout: idle_connection_timeout?.max(MIN_IDLE_CONNECTION_TIMEOUT),
            max_pending_rpcs: values
                .number("allowed.max_pending_rpcs")
                .map_or(usize::MAX, |count| count as usize),
            poll_interval: values.duration("rules.poll_interval").unwrap_or(DEFAULT_POLL_INTERVAL),
            polls_from_start: values.text("discovery") == "automatic",
            tightest_staleness_bound: tightest_staleness_bound(&values),
            values,
        })
    }
}

/// The texts of a list, up to the first place that has none.
fn texts(values: &ValueMap, name: impl Fn(usize) -> String) -> Vec<String> {
    (0..).map(|place| values.text(&name(place)).to_string()).take_while(|text| !text.is_empty()).collect()
}

fn duration(values: &ValueMap, name: &str) -> Result<Duration, ConfigError> {
    values.duration(name).ok_or_else(|| ConfigError::invalid_setting(name, "milliseconds", "nothing"))
}

fn longest_deadline(values: &ValueMap, methods: usize) -> Result<Duration, ConfigError> {
    let mut longest = Duration::ZERO;
    for place in 0..methods {
        duration(values, &format!("methods.{place}.latency_objective"))?;
        longest = longest.max(duration(values, &format!("methods.{place}.deadline"))?);
    }
    Ok(longest)
}

/// A name that silently fails to map costs decisions.
fn warn_of_missing(values: &ValueMap) {
    for name in OPTIONAL.into_iter().filter(|name| !values.0.contains_key(*name)) {
        log::warn!("settings: {name} is missing, so its default holds");
    }
}

fn tightest_staleness_bound(values: &ValueMap) -> Option<Duration> {
    let consistency = |place: usize| format!("replication.consistency.{place}");
    let bound = |place: usize| values.duration(&format!("replication.staleness_bound.{place}"));
    (0..)
        .take_while(|place| values.0.contains_key(&consistency(*place)))
        .filter(|place| values.text(&consistency(*place)) == "bounded")
        .filter_map(bound)
        .filter(|bound| !bound.is_zero())
        .min()
}
