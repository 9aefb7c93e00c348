//! The methods that RPCs call: their settings and the response times measured for them.

use std::time::Duration;

use crate::host::{Outcome, ValueMap};
use crate::moving_average::add_sample;
use crate::node_state::NodeState;
use crate::pending_request::Attempt;

/// The mean response time is taken over windows of this length. The lowest mean is the baseline response
/// time.
const RESPONSE_WINDOW: Duration = Duration::from_millis(2000);
/// A window with fewer responses than this has no usable mean and is extended.
const MIN_WINDOW_RESPONSES: f64 = 20.0;
/// The baseline grows by this factor per window, so that a lasting change of the service is learned.
const BASELINE_GROWTH_PER_WINDOW: f64 = 1.02;
/// An unmarked retry is recognized by its shorter wait only once the usual wait leads by more votes than
/// this.
const MIN_FIRST_TRY_VOTES: f64 = 20.0;
/// The waits of first tries differ by less than this fraction of the method's deadline: deadline / this.
const WAIT_TOLERANCE_DIVISOR: u32 = 50;
/// The response time assumed before any response has arrived, as a fraction of the latency objective:
/// objective / 4.
const INITIAL_OBJECTIVE_DIVISOR: f64 = 4.0;

/// How fresh the responding node has to be.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Consistency {
    /// A write: only the primary.
    Write,
    /// All commits up to the RPC's arrival: only the primary.
    Fresh,
    /// All commits that the session itself has written.
    Session,
    /// All commits that are at least this old.
    Bounded(Duration),
    /// Any log position is fresh enough.
    Any,
}

/// Whether an attempt that may have run may be repeated.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Idempotency {
    /// A repeat is always harmless.
    Idempotent,
    /// RPCs carry an idempotency key: nodes in the scope drop repeats that arrive within the window.
    Keyed { scope: IdempotencyScope, window: Duration },
    /// A repeat is never allowed.
    NonIdempotent,
}

/// Rule 2. A client's repeat can reach any node at any time, so it needs the `All` scope. The router keeps
/// its own repeats within scope and window.
impl Idempotency {
    /// Whether the client may repeat an RPC that may have run.
    pub fn client_may_repeat(self) -> bool {
        match self {
            Self::Idempotent | Self::Keyed { scope: IdempotencyScope::All, .. } => true,
            Self::Keyed { .. } | Self::NonIdempotent => false,
        }
    }

    /// Whether the router may repeat an attempt that may have run, at least at some node and time.
    pub fn router_may_repeat_somewhere(self) -> bool {
        self != Self::NonIdempotent
    }

    /// Whether the router may repeat at `node` an attempt that may have run, if the repeat arrives at
    /// `arrives_at`. `earlier_node` is the node of the earlier attempt, if it is still known.
    pub fn router_may_repeat(
        self,
        earlier: &Attempt,
        earlier_node: Option<&NodeState>,
        node: &NodeState,
        arrives_at: Duration,
    ) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Keyed { scope, window } => {
                arrives_at < earlier.sent + window
                    && earlier_node.is_some_and(|earlier_node| scope.covers(earlier_node, node))
            }
            Self::NonIdempotent => false,
        }
    }
}

/// Which nodes share the idempotency keys that a node has seen.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum IdempotencyScope {
    All,
    Zone,
    ReplicaSet,
}

impl IdempotencyScope {
    /// Whether one of the nodes drops a repeat of a request that the other has run.
    pub fn covers(self, one: &NodeState, other: &NodeState) -> bool {
        match self {
            Self::All => true,
            Self::Zone => one.zone == other.zone,
            Self::ReplicaSet => one.replica_set == other.replica_set,
        }
    }
}

/// A method: its settings and what its responses have shown.
pub(crate) struct Method {
    pub consistency: Consistency,
    pub idempotency: Idempotency,
    /// A response within this time from the RPC's first try has its full value.
    pub latency_objective: Duration,
    /// How long clients wait for an RPC, including all of their tries.
    pub deadline: Duration,
    /// Value of a response within the latency objective.
    pub priority_weight: f64,
    /// Value of a response after the objective but within the deadline.
    pub late_weight: f64,
    pub first_try_wait: FirstTryWait,
    pub response_time: ResponseTime,
}

impl Method {
    /// The method at an index of the settings; None if there is none. A missing consistency is read as
    /// `Fresh`, the strictest for reads, and an unknown idempotency as non-idempotent.
    pub fn from_values(values: &ValueMap, index: usize, now: Duration) -> Option<Self> {
        let path = |name: &str| format!("methods.{index}.{name}");
        let latency_objective = values.duration(&path("latency_objective"))?;
        let priority_weight = values.number(&path("priority_weight")).unwrap_or(1.0);
        Some(Self {
            consistency: consistency(values, index),
            idempotency: idempotency(values, index),
            latency_objective,
            deadline: values.duration(&path("deadline")).unwrap_or(latency_objective),
            priority_weight,
            late_weight: priority_weight * values.number(&path("late_weight")).unwrap_or(0.0),
            first_try_wait: FirstTryWait::default(),
            response_time: ResponseTime::new(latency_objective, now),
        })
    }
}

fn consistency(values: &ValueMap, index: usize) -> Consistency {
    let bound = values.duration(&format!("replication.staleness_bound.{index}")).unwrap_or_default();
    match values.text(&format!("replication.consistency.{index}")) {
        "write" => Consistency::Write,
        "session" => Consistency::Session,
        "bounded" => Consistency::Bounded(bound),
        "any" => Consistency::Any,
        _ => Consistency::Fresh,
    }
}

fn idempotency(values: &ValueMap, index: usize) -> Idempotency {
    let window = values.duration(&format!("methods.{index}.idempotency_window")).unwrap_or_default();
    let scope = match values.text(&format!("methods.{index}.idempotency_scope")) {
        "all" => IdempotencyScope::All,
        "zone" => IdempotencyScope::Zone,
        _ => IdempotencyScope::ReplicaSet,
    };
    match values.text(&format!("methods.{index}.idempotency")) {
        "idempotent" => Idempotency::Idempotent,
        "keyed" => Idempotency::Keyed { scope, window },
        _ => Idempotency::NonIdempotent,
    }
}

/// How long clients wait for a first try, found by a majority vote over the incoming RPCs: most of them are
/// first tries, for which all clients wait equally long.
#[derive(Default)]
pub(crate) struct FirstTryWait {
    wait: Duration,
    /// How many more RPCs arrived with this wait than with another one.
    votes: f64,
}

impl FirstTryWait {
    /// Counts the vote of an RPC whose client will still wait for `remaining`. Returns whether the RPC is
    /// taken for a first try, because it has the usual wait or because the usual wait does not lead by enough
    /// votes yet. `deadline` is that of its method.
    pub fn count_vote(&mut self, remaining: Duration, deadline: Duration) -> bool {
        let has_usual_wait = remaining.abs_diff(self.wait) < deadline / WAIT_TOLERANCE_DIVISOR;
        let is_first_try = has_usual_wait || self.votes <= MIN_FIRST_TRY_VOTES;
        if self.votes == 0.0 {
            self.wait = remaining;
            self.votes = 1.0;
        } else {
            self.votes += if has_usual_wait { 1.0 } else { -1.0 };
        }
        is_first_try
    }
}

/// The response times of a method, in seconds.
pub(crate) struct ResponseTime {
    /// Moving average of the recent response times.
    pub average_s: f64,
    /// The baseline: the lowest mean of a window so far, which is the response time without queueing.
    pub baseline_s: f64,
    window: ResponseWindow,
}

struct ResponseWindow {
    ends_at: Duration,
    sum_s: f64,
    count: f64,
}

impl ResponseWindow {
    fn starting(now: Duration) -> Self {
        Self { ends_at: now + RESPONSE_WINDOW, sum_s: 0.0, count: 0.0 }
    }
}

impl ResponseTime {
    fn new(latency_objective: Duration, now: Duration) -> Self {
        let initial_s = latency_objective.as_secs_f64() / INITIAL_OBJECTIVE_DIVISOR;
        Self { average_s: initial_s, baseline_s: initial_s, window: ResponseWindow::starting(now) }
    }

    /// The response time, in seconds, that an ended attempt represents. A timed-out attempt would have taken
    /// longer, so the average is added to its time. Otherwise, of the requests that waited here for long,
    /// only those with short responses would be measured: that would lower the baseline and make the nodes
    /// seem slow.
    pub fn sample(&self, took: Duration, outcome: Outcome) -> f64 {
        took.as_secs_f64() + if outcome == Outcome::TimedOut { self.average_s } else { 0.0 }
    }

    /// Adds one response time, in seconds.
    pub fn record(&mut self, now: Duration, sample_s: f64) {
        add_sample(&mut self.average_s, sample_s);
        self.window.sum_s += sample_s;
        self.window.count += 1.0;
        if now >= self.window.ends_at && self.window.count >= MIN_WINDOW_RESPONSES {
            let mean_s = self.window.sum_s / self.window.count;
            self.baseline_s = (self.baseline_s * BASELINE_GROWTH_PER_WINDOW).min(mean_s);
            self.window = ResponseWindow::starting(now);
        }
    }
}

/// The work of the heaviest method, in seconds: the longest baseline response time.
pub(crate) fn heaviest_work(methods: &[Method]) -> f64 {
    methods.iter().map(|method| method.response_time.baseline_s).fold(0.0, f64::max)
}
