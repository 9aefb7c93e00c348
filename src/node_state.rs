//! What this router knows of one node: a struct for each concern, whose module owns its rules.

use std::time::Duration;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::freshness::LogPosition;
use crate::health_checks::HealthCheckState;
use crate::host::{AttemptNumber, Endpoint, ReplicaSetId, RpcId, SessionKey, ZoneId};
use crate::load_reports::DatedLoadReport;
use crate::outlier_detection::Health;
use crate::slow_start::SlowStart;

/// What this router knows of a node.
pub(crate) struct NodeState {
    pub replica_set: ReplicaSetId,
    pub zone: ZoneId,
    /// The kind of machine: nodes of one kind are taken to be equally strong.
    pub machine_type: usize,
    /// No new attempt is sent. Set when the list says so, and on removal unless `only_listed_draining`. Attempts in
    /// flight are not cancelled; `forget_removed_nodes` keeps the node until they have ended.
    pub draining: bool,
    /// Off the endpoint list.
    pub removed: bool,
    /// Start of its present process, where that is known.
    pub started: Option<Duration>,
    pub log: LogPosition,
    pub in_flight: Vec<InFlightAttempt>,
    pub concurrency: ConcurrencyLimit,
    pub health: Health,
    pub health_check: HealthCheckState,
    /// Connects refused since the last attempt or health check that ended otherwise.
    pub refused_connects: u32,
    /// What it last said of its load.
    pub load: Option<DatedLoadReport>,
    pub slow_start: SlowStart,
}

impl NodeState {
    /// A node as the endpoint list names it. `started` is the start that is assumed until one is told.
    pub fn new(endpoint: &Endpoint, started: Option<Duration>, routers: f64) -> Self {
        Self {
            replica_set: endpoint.replica_set,
            zone: endpoint.zone,
            machine_type: endpoint.machine_type,
            draining: false,
            removed: false,
            started,
            log: LogPosition::default(),
            in_flight: Vec::new(),
            concurrency: ConcurrencyLimit::new(routers),
            health: Health::default(),
            health_check: HealthCheckState::default(),
            refused_connects: 0,
            load: None,
            slow_start: SlowStart::default(),
        }
    }

    /// Whether it may be sent to at all.
    pub fn is_open(&self) -> bool {
        !(self.draining || self.health.ejected)
    }

    /// Attempts that count against its limit: those that are in flight and not lost.
    pub fn in_flight_count(&self, now: Duration) -> f64 {
        self.in_flight.iter().filter(|attempt| !attempt.is_lost(now)).count() as f64
    }
}

/// An attempt that a node has not answered.
pub(crate) struct InFlightAttempt {
    pub rpc: RpcId,
    pub attempt: AttemptNumber,
    pub sent: Duration,
    /// Seconds that its answer should take.
    pub expected_s: f64,
    /// From then on it counts as lost.
    pub lost_at: Duration,
    /// The session that it writes for. Kept here, as its RPC may be over before its answer comes.
    pub writes_for: Option<SessionKey>,
    pub timeout: Duration,
}

impl InFlightAttempt {
    pub fn is_lost(&self, now: Duration) -> bool {
        self.lost_at <= now
    }
}
