//! The methods that RPCs call: what the settings say of each, and what its answers have shown.

use std::time::Duration;

use crate::host::{Outcome, ValueMap};
use crate::moving_average::add_sample;
use crate::node_state::NodeState;
use crate::pending_request::Attempt;

/// Window over which one mean answer time is taken; the lowest of these means is the shortest answer time.
const ANSWER_WINDOW: Duration = Duration::from_millis(2000);
/// Fewer answers make no mean: the window is then extended.
const MIN_WINDOW_ANSWERS: f64 = 20.0;
/// The shortest answer time grows by this factor a window, so that a lasting change of the service is learned.
const SHORTEST_GROWTH: f64 = 1.02;
/// A retry that is not marked is told by its wait only if the usual wait leads by more votes than this.
const MIN_FIRST_TRY_VOTES: f64 = 20.0;
/// Waits of first tries agree within this part of the method's deadline: deadline / this.
const WAIT_TOLERANCE_DIVISOR: u32 = 50;
/// Until answers tell, an answer is taken to need this part of the latency objective: objective / 4.
const INITIAL_OBJECTIVE_DIVISOR: f64 = 4.0;

/// How fresh the node has to be that answers.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Consistency {
    /// A write: the primary alone.
    Write,
    /// All commits up to the RPC's arrival: the primary alone.
    Fresh,
    /// All commits that the session itself has written.
    Session,
    /// All commits up to this long ago.
    Bounded(Duration),
    /// Any position.
    Any,
}

/// Whether an attempt that may have run may be made again.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Idempotency {
    /// Always.
    Idempotent,
    /// With an idempotency key: nodes in the scope drop repeats that arrive within the window.
    Keyed { scope: IdempotencyScope, window: Duration },
    /// Never.
    NonIdempotent,
}

/// Rule 2. A client's repeat may reach any node at any time, so it needs the All scope; the router's own stays in scope
/// and window.
impl Idempotency {
    /// Whether the client may repeat an RPC that may have run.
    pub fn client_may_repeat(self) -> bool {
        match self {
            Self::Idempotent | Self::Keyed { scope: IdempotencyScope::All, .. } => true,
            Self::Keyed { .. } | Self::NonIdempotent => false,
        }
    }

    /// Whether the router may repeat, at some node and time, an attempt that may have run.
    pub fn router_may_repeat_somewhere(self) -> bool {
        self != Self::NonIdempotent
    }

    /// Whether the router may repeat an attempt that may have run, at `node`, where the repeat arrives at `arrives_at`.
    /// `earlier_node` is the node of the earlier attempt, if it is still known.
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

/// Which nodes know the idempotency keys that a node has seen.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum IdempotencyScope {
    All,
    Zone,
    ReplicaSet,
}

impl IdempotencyScope {
    /// Whether the one node drops a repeat of what the other has run.
    pub fn covers(self, one: &NodeState, other: &NodeState) -> bool {
        match self {
            Self::All => true,
            Self::Zone => one.zone == other.zone,
            Self::ReplicaSet => one.replica_set == other.replica_set,
        }
    }
}

/// What the settings say of a method, and what its answers have shown.
pub(crate) struct Method {
    pub consistency: Consistency,
    pub idempotency: Idempotency,
    /// Time from an RPC's first try in which its answer has its full value.
    pub latency_objective: Duration,
    /// How long clients wait for an RPC, all of its tries together.
    pub deadline: Duration,
    /// Value of an answer within the objective.
    pub priority_weight: f64,
    /// Value of an answer that comes later than the objective but within the deadline.
    pub late_weight: f64,
    pub first_try_wait: FirstTryWait,
    pub answer_time: AnswerTime,
}

impl Method {
    /// The method at a place of the settings; none past the last. A consistency that is not stated is taken as the
    /// strictest read, an unknown idempotency as non-idempotent.
    pub fn from_values(values: &ValueMap, place: usize, now: Duration) -> Option<Self> {
        let path = |name: &str| format!("methods.{place}.{name}");
        let latency_objective = values.duration(&path("latency_objective"))?;
        let priority_weight = values.number(&path("priority_weight")).unwrap_or(1.0);
        Some(Self {
            consistency: consistency(values, place),
            idempotency: idempotency(values, place),
            latency_objective,
            deadline: values.duration(&path("deadline")).unwrap_or(latency_objective),
            priority_weight,
            late_weight: priority_weight * values.number(&path("late_weight")).unwrap_or(0.0),
            first_try_wait: FirstTryWait::default(),
            answer_time: AnswerTime::new(latency_objective, now),
        })
    }
}

fn consistency(values: &ValueMap, place: usize) -> Consistency {
    let bound = values.duration(&format!("replication.staleness_bound.{place}")).unwrap_or_default();
    match values.text(&format!("replication.consistency.{place}")) {
        "write" => Consistency::Write,
        "session" => Consistency::Session,
        "bounded" => Consistency::Bounded(bound),
        "any" => Consistency::Any,
        _ => Consistency::Fresh,
    }
}

fn idempotency(values: &ValueMap, place: usize) -> Idempotency {
    let window = values.duration(&format!("methods.{place}.idempotency_window")).unwrap_or_default();
    let scope = match values.text(&format!("methods.{place}.idempotency_scope")) {
        "all" => IdempotencyScope::All,
        "zone" => IdempotencyScope::Zone,
        _ => IdempotencyScope::ReplicaSet,
    };
    match values.text(&format!("methods.{place}.idempotency")) {
        "idempotent" => Idempotency::Idempotent,
        "keyed" => Idempotency::Keyed { scope, window },
        _ => Idempotency::NonIdempotent,
    }
}

/// How long clients wait for a first try, by majority vote of the RPCs that came: most of them are first tries, for
/// which all clients wait alike.
#[derive(Default)]
pub(crate) struct FirstTryWait {
    wait: Duration,
    /// How many more RPCs came with this wait than with another one.
    votes: f64,
}

impl FirstTryWait {
    /// Counts the vote of an RPC, whose client still waits for `remaining`. Returns whether it is taken for a first
    /// try, as it waits like one or as the usual wait does not lead by enough votes. `deadline` is that of its method.
    pub fn count(&mut self, remaining: Duration, deadline: Duration) -> bool {
        let waits_as_usual = remaining.abs_diff(self.wait) < deadline / WAIT_TOLERANCE_DIVISOR;
        let is_first_try = waits_as_usual || self.votes <= MIN_FIRST_TRY_VOTES;
        if self.votes == 0.0 {
            self.wait = remaining;
            self.votes = 1.0;
        } else {
            self.votes += if waits_as_usual { 1.0 } else { -1.0 };
        }
        is_first_try
    }
}

/// The answer times of a method, in seconds.
pub(crate) struct AnswerTime {
    /// Moving average of late.
    pub present_s: f64,
    /// The shortest mean of a window so far: what an answer takes where nothing queues.
    pub shortest_s: f64,
    window: AnswerWindow,
}

struct AnswerWindow {
    ends_at: Duration,
    sum_s: f64,
    count: f64,
}

impl AnswerWindow {
    fn starting(now: Duration) -> Self {
        Self { ends_at: now + ANSWER_WINDOW, sum_s: 0.0, count: 0.0 }
    }
}

impl AnswerTime {
    fn new(latency_objective: Duration, now: Duration) -> Self {
        let initial_s = latency_objective.as_secs_f64() / INITIAL_OBJECTIVE_DIVISOR;
        Self { present_s: initial_s, shortest_s: initial_s, window: AnswerWindow::starting(now) }
    }

    /// The answer time, in seconds, that an attempt stands for. One that timed out would have answered later: the
    /// present mean comes on top, or requests that waited here long and time out unless they are short would make the
    /// nodes seem slow.
    pub fn sample(&self, took: Duration, outcome: Outcome) -> f64 {
        took.as_secs_f64() + if outcome == Outcome::TimedOut { self.present_s } else { 0.0 }
    }

    /// Takes in one answer time, in seconds.
    pub fn record(&mut self, now: Duration, sample_s: f64) {
        add_sample(&mut self.present_s, sample_s);
        self.window.sum_s += sample_s;
        self.window.count += 1.0;
        if now >= self.window.ends_at && self.window.count >= MIN_WINDOW_ANSWERS {
            let mean_s = self.window.sum_s / self.window.count;
            self.shortest_s = (self.shortest_s * SHORTEST_GROWTH).min(mean_s);
            self.window = AnswerWindow::starting(now);
        }
    }
}

/// The work of the heaviest method, in seconds: its shortest answer time.
pub(crate) fn heaviest_work(methods: &[Method]) -> f64 {
    methods.iter().map(|method| method.answer_time.shortest_s).fold(0.0, f64::max)
}
