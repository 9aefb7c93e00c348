//! This router's state of one node: one struct for each concern, whose module owns the rules.

use std::time::Duration;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::freshness::LogState;
use crate::health_checks::HealthCheckState;
use crate::host::{AttemptNumber, Endpoint, ReplicaSetId, RpcId, SessionKey, ZoneId};
use crate::load_reports::DatedLoadReport;
use crate::outlier_detection::Health;
use crate::slow_start::SlowStart;

/// This router's state of one node.
pub(crate) struct NodeState {
    pub replica_set: ReplicaSetId,
    pub zone: ZoneId,
    /// The type of machine. Nodes of the same type are assumed to have the same capacity.
    pub machine_type: usize,
    /// No new attempt is sent. Set if the node is listed as draining, and on removal unless
    /// `only_listed_draining` is set. Attempts in flight are not cancelled; `forget_removed_nodes` keeps the
    /// node until they have ended.
    pub draining: bool,
    /// The node is no longer on the endpoint list.
    pub removed: bool,
    /// When the node's current process started, if known.
    pub started: Option<Duration>,
    pub log: LogState,
    pub in_flight: Vec<InFlightAttempt>,
    pub concurrency: ConcurrencyLimit,
    pub health: Health,
    pub health_check: HealthCheckState,
    /// Refused connects since the last attempt or health check that ended in another way.
    pub refused_connects: u32,
    /// The node's last load report.
    pub load: Option<DatedLoadReport>,
    pub slow_start: SlowStart,
}

impl NodeState {
    /// Creates the state of a node from its entry in the endpoint list. `started` is the start time to assume
    /// until a real one is known.
    pub fn new(endpoint: &Endpoint, started: Option<Duration>, routers: f64) -> Self {
        Self {
            replica_set: endpoint.replica_set,
            zone: endpoint.zone,
            machine_type: endpoint.machine_type,
            draining: false,
            removed: false,
            started,
            log: LogState::default(),
            in_flight: Vec::new(),
            concurrency: ConcurrencyLimit::new(routers),
            health: Health::default(),
            health_check: HealthCheckState::default(),
            refused_connects: 0,
            load: None,
            slow_start: SlowStart::default(),
        }
    }

    /// Whether requests may be sent to the node at all.
    pub fn is_routable(&self) -> bool {
        !(self.draining || self.health.ejected)
    }

    /// Attempts that count against the concurrency limit: those in flight that do not count as lost.
    pub fn in_flight_count(&self, now: Duration) -> f64 {
        self.in_flight.iter().filter(|attempt| !attempt.is_lost(now)).count() as f64
    }
}

/// An attempt that the node has not responded to yet.
pub(crate) struct InFlightAttempt {
    pub rpc: RpcId,
    pub attempt: AttemptNumber,
    pub sent: Duration,
    /// Expected response time in seconds.
    pub expected_s: f64,
    /// From then on the attempt counts as lost.
    pub lost_at: Duration,
    /// The session that the attempt writes for. It is kept here because the RPC may be finished before its
    /// response arrives.
    pub writes_for: Option<SessionKey>,
    pub timeout: Duration,
}

impl InFlightAttempt {
    pub fn is_lost(&self, now: Duration) -> bool {
        self.lost_at <= now
    }
}
