//! The plain types in which the decision module keeps what it knows. They decide nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::host::{GroupId, MethodId, NodeId, Outcome, Role, Rpc, RpcId, ZoneId};

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Need {
    Write,
    Fresh,
    Session,
    Bounded(Duration),
    Any,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Repeats {
    /// Idempotent.
    Always,
    /// Tokened: whether all nodes (or the zone's, or the group's) drop them, and for how long.
    Tokened(Scope, Duration),
    /// Non-idempotent.
    Never,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scope {
    All,
    Zone,
    Group,
}

/// What the settings say of a method, and what its answers have shown.
pub(crate) struct Method {
    pub need: Need,
    pub repeats: Repeats,
    pub soft: Duration,
    pub deadline: Duration,
    /// How long clients wait for a first try, by majority, and by how many votes.
    pub first_try: (Duration, f64),
    pub utility: f64,
    pub late: f64,
    /// Mean answer time at present and the shortest such mean, in seconds.
    pub present: f64,
    pub shortest: f64,
    /// The span in which the next mean is taken: its end, the sum and the count.
    pub span: (Duration, f64, f64),
}

/// What this router knows of a node.
#[derive(Default)]
pub(crate) struct Member {
    pub group: GroupId,
    pub zone: ZoneId,
    pub kind: usize,
    pub stopped: bool,
    pub started: Option<Duration>,
    pub position: Option<Duration>,
    pub heard: Option<Duration>,
    pub role: Option<(Role, Duration)>,
    pub in_flight: u32,
    pub limit: f64,
    /// Present answer time against the shortest of each method, failures counted in, over so many answers.
    pub slow: f64,
    /// The same over what answers tell of queueing alone.
    pub pace: f64,
    pub answers: f64,
    /// The answers that were due to come since the last one came.
    pub missed: f64,
    pub dropped: bool,
    pub silent: bool,
    pub probing: bool,
    pub probe_ended: Duration,
    pub last_send: Duration,
    /// Full, or with a limit below one, the node rests until then.
    pub rests_until: Duration,
    /// Work answered a second, and since the last sweep.
    pub carried: f64,
    pub carried_now: f64,
    pub cold_sends: VecDeque<(Duration, f64)>,
}

#[derive(Default)]
pub(crate) struct Group {
    /// The primary, the time of the newest evidence, and whether an answer itself has proven it.
    pub primary: Option<(NodeId, Duration, bool)>,
    /// When the last primary was lost: who has answered as a replica since then is left out of the search.
    pub lost: Duration,
    pub share: f64,
    /// The newest remembered commit that was dropped because all members had passed it.
    pub passed: Option<Duration>,
    pub lines: BTreeMap<(bool, MethodId), BTreeSet<(Duration, RpcId)>>,
}

pub(crate) struct Call {
    pub node: NodeId,
    pub sent: Duration,
    pub outcome: Option<Outcome>,
    /// Out for so long that it no longer counts as in flight.
    pub lost: bool,
}

pub(crate) struct Held {
    pub rpc: Rpc,
    pub soft: Duration,
    pub deadline: Duration,
    pub arrived: Duration,
    pub token: Option<Duration>,
    pub calls: Vec<Call>,
    pub waits: bool,
    /// Its tenant is past its share: served after the rest.
    pub over_share: bool,
}

impl Held {
    pub fn may_have_run(&self) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(|call| !call.outcome.is_some_and(Outcome::never_ran))
    }
    pub fn is_out(&self) -> bool {
        self.calls.iter().any(|call| call.outcome.is_none())
    }
    pub fn tried(&self, node: NodeId) -> bool {
        self.calls.iter().any(|call| call.node == node)
    }
    pub fn line(&self) -> (bool, MethodId) {
        (self.over_share || !self.calls.is_empty(), self.rpc.method)
    }
}

impl Member {
    pub fn open(&self) -> bool {
        !(self.stopped || self.dropped || self.silent)
    }
    pub fn has_room(&self, now: Duration) -> bool {
        f64::from(self.in_flight) < self.limit && self.rests_until <= now
    }
}

/// Where an RPC goes now.
pub(crate) enum Pick {
    Node(NodeId),
    Wait,
    Refuse,
}
