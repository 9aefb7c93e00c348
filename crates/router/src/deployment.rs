//! What holds for all routers of a deployment: its settings, checked, and those that the runtime itself needs.

mod validation;

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
    pub settings: ValueMap,
    /// The names of the classes of RPCs, at least one.
    pub methods: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the kinds of machine.
    pub machine_types: Vec<String>,
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
    pub fn new(settings: ValueMap) -> Result<Self, ConfigError> {
        let methods = texts(&settings, |place| format!("methods.{place}.name"));
        if methods.is_empty() {
            let expected = "one class of RPCs or more, each with a name";
            return Err(ConfigError::invalid_setting("methods", expected, "none"));
        }
        let longest_deadline = longest_deadline(&settings, methods.len())?;
        validation::check(&settings, methods.len())?;
        warn_of_missing(&settings);
        let idle_connection_timeout = duration(&settings, "allowed.idle_connection_timeout");
        Ok(Self {
            methods,
            zones: texts(&settings, |place| format!("zones.{place}")),
            machine_types: texts(&settings, |place| format!("kinds.{place}")),
            report_fields: texts(&settings, |place| format!("reports.fields.{place}")),
            longest_deadline,
            connect_timeout: duration(&settings, "allowed.connect_timeout")?,
            idle_connection_timeout: idle_connection_timeout?.max(MIN_IDLE_CONNECTION_TIMEOUT),
            max_pending_rpcs: settings
                .number("allowed.max_pending_rpcs")
                .map_or(usize::MAX, |count| count as usize),
            poll_interval: settings.duration("rules.poll_interval").unwrap_or(DEFAULT_POLL_INTERVAL),
            polls_from_start: settings.text("discovery") == "automatic",
            tightest_staleness_bound: tightest_staleness_bound(&settings),
            settings,
        })
    }
}

/// The texts of a list, up to the first place that has none.
fn texts(settings: &ValueMap, name: impl Fn(usize) -> String) -> Vec<String> {
    (0..).map(|place| settings.text(&name(place)).to_string()).take_while(|text| !text.is_empty()).collect()
}

fn duration(settings: &ValueMap, name: &str) -> Result<Duration, ConfigError> {
    settings.duration(name).ok_or_else(|| ConfigError::invalid_setting(name, "milliseconds", "nothing"))
}

fn longest_deadline(settings: &ValueMap, methods: usize) -> Result<Duration, ConfigError> {
    let mut longest = Duration::ZERO;
    for place in 0..methods {
        duration(settings, &format!("methods.{place}.latency_objective"))?;
        longest = longest.max(duration(settings, &format!("methods.{place}.deadline"))?);
    }
    Ok(longest)
}

/// A name that silently fails to map costs decisions.
fn warn_of_missing(settings: &ValueMap) {
    for name in OPTIONAL.into_iter().filter(|name| !settings.0.contains_key(*name)) {
        log::warn!("settings: {name} is missing, so its default holds");
    }
}

fn tightest_staleness_bound(settings: &ValueMap) -> Option<Duration> {
    let consistency = |place: usize| format!("replication.consistency.{place}");
    let bound = |place: usize| settings.duration(&format!("replication.staleness_bound.{place}"));
    (0..)
        .take_while(|place| settings.0.contains_key(&consistency(*place)))
        .filter(|place| settings.text(&consistency(*place)) == "bounded")
        .filter_map(bound)
        .filter(|bound| !bound.is_zero())
        .min()
}
