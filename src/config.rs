//! The settings of a router, read once at its start from the map of dotted names.

use std::time::Duration;

use crate::host::ValueMap;
use crate::method::{Consistency, Method};
use crate::slow_start::SlowStartConfig;

/// The staleness bound if no method sets one. It then only sets the pace of the periodic work and the health
/// checks.
const DEFAULT_STALENESS_BOUND: Duration = Duration::from_millis(1000);

/// What the deployment guarantees and allows. A missing setting gets its strictest value.
pub(crate) struct Config {
    /// The resolution of the host's clock. Final responses are given one tick before a client's deadline.
    pub tick: Duration,
    /// The maximum number of attempts of an RPC, including the first.
    pub max_attempts: usize,
    /// The tightest staleness bound of all methods.
    pub tightest_bound: Duration,
    /// How many routers share the nodes. Each router uses its share of every limit. At least 1.
    pub routers: f64,
    /// The maximum time between two polls of the endpoint list.
    pub poll_interval: Duration,
    /// Whether this router must request the endpoint list itself from its start.
    pub watches_endpoints: bool,
    /// Whether requests may still be sent to a node that left the list without being listed as draining.
    pub only_listed_draining: bool,
    /// Whether load reports come only with health checks, and not with responses.
    pub reports_by_health_checks_only: bool,
    /// Whether clients get a Retry-After.
    pub sends_retry_after: bool,
    /// The Retry-After during an overload.
    pub max_retry_after: Duration,
    /// Whether the nodes themselves ensure that no read is stale.
    pub nodes_check_reads: bool,
    /// Whether this router remembers session tokens because clients do not carry them.
    pub remembers_session_tokens: bool,
    /// Whether nodes may be checked without an RPC.
    pub health_checks: bool,
    /// The cost of one health check, in the unit in which the value of responses is measured.
    pub health_check_cost: f64,
    /// Whether two attempts of one RPC may be in flight at once.
    pub hedging: bool,
    /// After this time an unfinished connect is abandoned.
    pub connect_timeout: Duration,
    /// Whether clients mark their own retries.
    pub clients_mark_retries: bool,
    /// The deployment's limits on the load of recently started nodes.
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
            sends_retry_after: !values.is_false("allowed.retry_after"),
            max_retry_after: values.duration("allowed.max_retry_after").unwrap_or_default(),
            nodes_check_reads: values.text("replication.read_check") != "none",
            remembers_session_tokens: values.text("replication.session_tokens") == "remembered"
                && has_session_reads,
            health_checks: values.is_true("allowed.health_checks"),
            health_check_cost: values.number("prices.health_check").unwrap_or(0.0),
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
