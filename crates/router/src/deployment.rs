//! The settings shared by all routers of a deployment: validated, and with those that the runtime itself
//! needs extracted.

mod validation;

use std::time::Duration;

use quillpoint::host::ValueMap;

use crate::config_error::ConfigError;

/// Lower bound of the idle timeout, which determines how often idle connections are checked.
const MIN_IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Settings whose defaults make the decision module less effective: a warning is logged if they are missing.
const RECOMMENDED_SETTINGS: [&str; 5] =
    ["replication.consistency.0", "methods.0.idempotency", "rules.poll_interval", "routers", "tick"];

/// The settings shared by all routers of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// All settings by name, for the decision module.
    pub settings: ValueMap,
    /// Names of the RPC classes, at least one.
    pub methods: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// Names of the values in a load report, in the order in which nodes send them.
    pub report_fields: Vec<String>,
    /// The longest deadline of any class.
    pub longest_deadline: Duration,
    /// Timeout for connecting to a node.
    pub connect_timeout: Duration,
    /// Nodes close a connection after it has been idle for this long.
    pub idle_connection_timeout: Duration,
    /// Maximum number of RPCs that are queued or in flight at the same time.
    pub max_pending_rpcs: usize,
    /// The endpoint list is polled at least this often.
    pub poll_interval: Duration,
    /// Whether polling the endpoint list begins at startup, or else with the decision module's first request.
    pub polls_from_start: bool,
    /// The tightest staleness bound of any class with bounded reads, if there is one.
    pub tightest_staleness_bound: Option<Duration>,
}

impl Deployment {
    /// Validates the settings. Logs a warning for each missing setting that has a default but ought to be
    /// set.
    ///
    /// # Errors
    /// A required setting is missing, or a value is invalid and would silently be replaced by the default.
    pub fn new(settings: ValueMap) -> Result<Self, ConfigError> {
        let methods = texts(&settings, |index| format!("methods.{index}.name"));
        if methods.is_empty() {
            let expected = "at least one class of RPCs, each with a name";
            return Err(ConfigError::invalid_setting("methods", expected, "none"));
        }
        let longest_deadline = longest_deadline(&settings, methods.len())?;
        validation::check(&settings, methods.len())?;
        warn_of_missing(&settings);
        let idle_connection_timeout = duration(&settings, "allowed.idle_connection_timeout");
        Ok(Self {
            methods,
            zones: texts(&settings, |index| format!("zones.{index}")),
            machine_types: texts(&settings, |index| format!("kinds.{index}")),
            report_fields: texts(&settings, |index| format!("reports.fields.{index}")),
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

/// The elements of a list of texts, up to the first index without one.
fn texts(settings: &ValueMap, name: impl Fn(usize) -> String) -> Vec<String> {
    (0..).map(|index| settings.text(&name(index)).to_string()).take_while(|text| !text.is_empty()).collect()
}

fn duration(settings: &ValueMap, name: &str) -> Result<Duration, ConfigError> {
    settings.duration(name).ok_or_else(|| ConfigError::invalid_setting(name, "milliseconds", "nothing"))
}

fn longest_deadline(settings: &ValueMap, method_count: usize) -> Result<Duration, ConfigError> {
    let mut longest = Duration::ZERO;
    for index in 0..method_count {
        duration(settings, &format!("methods.{index}.latency_objective"))?;
        longest = longest.max(duration(settings, &format!("methods.{index}.deadline"))?);
    }
    Ok(longest)
}

/// A platform key that is not mapped to its setting would otherwise go unnoticed and make the decision module
/// less effective.
fn warn_of_missing(settings: &ValueMap) {
    for name in RECOMMENDED_SETTINGS.into_iter().filter(|name| !settings.0.contains_key(*name)) {
        log::warn!("settings: {name} is not set, using its default");
    }
}

fn tightest_staleness_bound(settings: &ValueMap) -> Option<Duration> {
    let consistency = |index: usize| format!("replication.consistency.{index}");
    let bound = |index: usize| settings.duration(&format!("replication.staleness_bound.{index}"));
    (0..)
        .take_while(|index| settings.0.contains_key(&consistency(*index)))
        .filter(|index| settings.text(&consistency(*index)) == "bounded")
        .filter_map(bound)
        .filter(|bound| !bound.is_zero())
        .min()
}
