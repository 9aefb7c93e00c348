//! The settings of a router, read once at its start from the map of dotted names.

use std::time::Duration;

use crate::host::ValueMap;
use crate::method::{Consistency, Method};
use crate::slow_start::SlowStartConfig;

/// The staleness bound where no method sets one. It then only paces the periodic work and the health checks.
const DEFAULT_STALENESS_BOUND: Duration = Duration::from_millis(1000);

/// What the deployment promises and allows. A setting that is missing is taken in its strictest reading.
pub(crate) struct Config {
    /// One step of the host's clock. Final answers are given one tick before a client's deadline.
    pub tick: Duration,
    /// Attempts that an RPC may have, the first one included.
    pub max_attempts: usize,
    /// The tightest staleness bound of all methods.
    pub tightest_bound: Duration,
    /// How many routers share the nodes: each takes its part of every limit. At least 1.
    pub routers: f64,
    /// How often the endpoint list has to be polled at the least.
    pub poll_interval: Duration,
    /// Whether the endpoint list has to be watched by this router from its start.
    pub watches_endpoints: bool,
    /// A node that is off the list without having been told to drain may still be sent to.
    pub only_listed_draining: bool,
    /// Load reports come with health checks alone, and not with answers.
    pub reports_by_health_checks_only: bool,
    /// Whether clients are told a Retry-After.
    pub tells_retry_after: bool,
    /// The Retry-After that is told in an overload.
    pub max_retry_after: Duration,
    /// The nodes themselves see to it that no read is stale.
    pub nodes_check_reads: bool,
    /// This router remembers what sessions wrote, as clients do not carry it.
    pub remembers_session_tokens: bool,
    /// Whether nodes may be checked without an RPC.
    pub health_checks: bool,
    /// What a health check costs, in the result's unit.
    pub health_check_price: f64,
    /// Whether two attempts of one RPC may be in flight at once.
    pub hedging: bool,
    /// After this time a connect is given up.
    pub connect_timeout: Duration,
    /// Whether clients mark the retries that they make.
    pub clients_mark_retries: bool,
    /// The promise towards nodes that have just started.
    pub slow_start: SlowStartConfig,
}

impl Config {
    pub fn new(values: &ValueMap, methods: &[Method]) -> Self {
        let has_session_reads = methods.iter().any(|method| method.consistency == Consistency::Session);
        Self {
            tick: values.duration("tick").unwrap_or(Duration::from_millis(1)),
            max_attempts: values.number("allowed.attempts").unwrap_or(1.0) as usize,
            tightest_bound: tightest_bound(methods),
            routers: values.number("routers").unwrap_or(1.0).max(1.0),
            poll_interval: values.duration("rules.poll_interval").unwrap_or(Duration::from_millis(10_000)),
            watches_endpoints: values.text("discovery") == "subscribe",
            only_listed_draining: values.is_true("rules.only_listed_draining"),
            reports_by_health_checks_only: values.text("reports.source") == "probe",
            tells_retry_after: !values.is_false("allowed.retry_after"),
            max_retry_after: values.duration("allowed.max_retry_after").unwrap_or_default(),
            nodes_check_reads: values.text("replication.read_check") != "none",
            remembers_session_tokens: values.text("replication.session_tokens") == "remembered"
                && has_session_reads,
            health_checks: values.is_true("allowed.health_checks"),
            health_check_price: values.number("prices.health_check").unwrap_or(0.0),
            hedging: values.is_true("allowed.hedging"),
            connect_timeout: values.duration("allowed.connect_timeout").unwrap_or(Duration::MAX),
            clients_mark_retries: values.is_true("clients.mark_retries"),
            slow_start: SlowStartConfig::new(values),
        }
    }
}

fn tightest_bound(methods: &[Method]) -> Duration {
    let bound = |method: &Method| match method.consistency {
        Consistency::Bounded(bound) => Some(bound.max(Duration::from_millis(1))),
        _ => None,
    };
    methods.iter().filter_map(bound).min().unwrap_or(DEFAULT_STALENESS_BOUND)
}
