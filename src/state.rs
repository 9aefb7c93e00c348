//! The plain types in which the decision module keeps what it knows. They decide nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::host::{
    AttemptNumber, LoadReport, MethodId, NodeId, Outcome, ReplicaSetId, Role, Rpc, RpcId, SessionKey, ZoneId,
};

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

impl Scope {
    /// Whether the one drops what the other has run.
    pub fn holds(self, one: &Member, other: &Member) -> bool {
        match self {
            Self::All => true,
            Self::Zone => one.zone == other.zone,
            Self::Group => one.group == other.group,
        }
    }
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
    pub group: ReplicaSetId,
    pub zone: ZoneId,
    pub kind: usize,
    /// Told to drain, or gone from the list.
    pub stopped: bool,
    pub gone: bool,
    pub started: Option<Duration>,
    pub position: Option<Duration>,
    /// The highest position that other routers have told, where no answer has contradicted it.
    pub told: Option<Duration>,
    pub heard: Option<Duration>,
    pub role: Option<(Role, Duration)>,
    pub out: Vec<Out>,
    pub limit: f64,
    /// The part of its answers that were ok, as of late.
    pub good: f64,
    /// Present answer time against the shortest of each method, over so many answers.
    pub pace: f64,
    pub answers: f64,
    /// The answers that were due to come since the last one came.
    pub missed: f64,
    /// Not sent to until it is heard again.
    pub shut: bool,
    pub probing: bool,
    /// What it last said of itself, and when that came.
    pub said: Option<(Duration, LoadReport)>,
    /// Connections refused since the last answer.
    pub refused: u32,
    /// Probes that have failed in a row.
    pub failed_probes: u32,
    pub probe_ended: Duration,
    /// Full, or with a limit below one, the node rests until then.
    pub rests_until: Duration,
    /// Work answered a second.
    pub carried: f64,
    /// The part of its capacity that it surely has, and the work that it may be sent while that is not all.
    pub warmth: f64,
    pub credit: f64,
}

impl Member {
    pub fn is_open(&self) -> bool {
        !(self.stopped || self.shut)
    }
    pub fn in_flight(&self, now: Duration) -> f64 {
        self.out.iter().filter(|out| !out.is_lost(now)).count() as f64
    }
}

#[derive(Default)]
pub(crate) struct Group {
    pub members: BTreeSet<NodeId>,
    /// The primary, the time of the newest evidence, and whether an answer itself has proven it.
    pub primary: Option<(NodeId, Duration, bool)>,
    /// When the last primary was lost: who has answered as a replica since then is left out of the search.
    pub lost: Duration,
    pub share: f64,
    /// When an RPC last looked for a node here.
    pub wanted: Duration,
    /// The newest remembered commit that was dropped because all members had passed it.
    pub passed: Option<Duration>,
    pub lines: BTreeMap<(bool, MethodId), BTreeSet<(Duration, RpcId)>>,
}

pub(crate) struct Call {
    pub node: NodeId,
    pub sent: Duration,
    pub outcome: Option<Outcome>,
    /// The position that its answer must not fall short of, and whether its node had proven that before. None
    /// where nodes check that themselves.
    pub needs: Option<(Duration, bool)>,
    /// The start of its node that was known when it was ordered.
    pub started: Option<Duration>,
}

/// An attempt that a node has not answered, the seconds it should take, and from when on it counts as lost.
pub(crate) struct Out {
    pub rpc: RpcId,
    pub call: AttemptNumber,
    pub sent: Duration,
    pub expected: f64,
    pub lost_at: Duration,
    /// The session that it writes for. Kept here, as its RPC may be over before its answer comes.
    pub writes: Option<SessionKey>,
    pub timeout: Duration,
}

impl Out {
    pub fn is_lost(&self, now: Duration) -> bool {
        self.lost_at <= now
    }
}

/// The number of no attempt: none is left out.
pub(crate) const ALL: usize = usize::MAX;

pub(crate) struct Held {
    pub rpc: Rpc,
    pub soft: Duration,
    pub deadline: Duration,
    pub arrived: Duration,
    pub token: Option<Duration>,
    pub calls: Vec<Call>,
    pub waits: bool,
}

impl Held {
    /// The attempts that may have run, but for the one of this number.
    pub fn may_have_run(&self, but: usize) -> impl Iterator<Item = &Call> {
        let others = self.calls.iter().enumerate().filter(move |(number, _)| *number != but);
        others.map(|(_, call)| call).filter(|call| !call.outcome.is_some_and(Outcome::never_ran))
    }
    /// Whether an attempt is under way, but for the one of this number.
    pub fn is_out(&self, but: usize) -> bool {
        self.calls.iter().enumerate().any(|(number, call)| number != but && call.outcome.is_none())
    }
    pub fn tried(&self, node: NodeId) -> bool {
        self.calls.iter().any(|call| call.node == node)
    }
}

/// Where an RPC goes now.
pub(crate) enum Pick {
    Node(NodeId),
    Wait,
    Refuse,
}
