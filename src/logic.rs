//! Every decision of quillpoint. Make a [`Router`] with a host, a seed, the settings and the time, then call one
//! method for each thing that happens: `list_changed`, `list_failed`, `rpc_arrived`, `call_ended`, `probe_ended`,
//! `client_left`, `timer_fired`. It acts by calling the [`Host`] it was given; see `host.rs` for that interface.
//!
//! The design (docs/design.md): a probe-fed record of log positions decides which replicas may answer a read.
//! Beside it stand these mechanisms:
//! 1. Limits: what is in flight to a node follows the ratio of the shortest answer time to the present one.
//! 2. Lines: RPCs wait here by utility and time left; further call-outs in a line of their own, on a budget.
//! 3. Health: a node that fails, crawls or falls silent loses its share and wins it back by probe or trickle.
//! 4. Cold budget: what a node that has just started may be sent.
//! 5. Giving up: what can no longer be of use is ended early, with a time to come back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::host::{
    CallEnd, CallNo, Condition, Extent, GroupId, Host, Listed, MethodId, NodeId, Outcome, Report, Role, Rpc,
    RpcId, SessionKey, Value, ValueMap, ZoneId,
};

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long a read may wait for the record to name a replica for it, at a fresh router and later (the design's).
const HOLD: Duration = millis(50);
/// The share of a group's reads that may go to its primary (the design's), and how many may be saved up.
const PRIMARY_SHARE: f64 = 0.1;
const PRIMARY_SAVED: f64 = 10.0;
/// Pace of the periodic work: a fraction of the tightest bound, so that a probe is late by little.
const SWEEPS_PER_BOUND: u32 = 8;
/// Assumed where no method sets a bound: the pace of probing then only serves health.
const NO_BOUND: Duration = millis(1000);
/// A dropped node is probed at this pace: often enough to win it back soon, and one probe costs little.
const DROPPED_PROBE: Duration = millis(250);
/// A lost probe is given up after this, where the host has not told its end.
const PROBE_LOST: Duration = millis(1000);
/// Answers weigh in by this much: some twenty answers make up a node's present answer time.
const ANSWER_WEIGHT: f64 = 0.05;
/// Answer times up to this multiple of the shortest leave a limit as it is: one more service time of queueing.
const TOLERANCE: f64 = 2.0;
const FIRST_LIMIT: f64 = 16.0;
const LIMITS: (f64, f64) = (1.0, 256.0);
/// The shortest mean answer time is taken over spans of this length and forgets by this factor a span.
const SHORTEST_SPAN: Duration = millis(2000);
const SHORTEST_FORGETS: f64 = 1.02;
/// A node is silent when chance alone would make it so once in about 8,000 (e^9) tries.
const SILENT: f64 = 9.0;
/// Past this slowness (against the group's median) or share of failures, a node gets a trickle only.
const CRAWLS: f64 = 3.0;
const FAILS: f64 = 0.4;
const TRICKLE: Duration = millis(200);
/// Call-outs after one that may have run: this many for each first call-out, and so many saved up.
const FURTHER_SHARE: f64 = 0.2;
const FURTHER_SAVED: f64 = 20.0;
/// The part of a cold node's permitted load that is used: routers carry unequal traffic.
const COLD_MARGIN: f64 = 0.5;
/// At least one call-out to a cold node in this part of the span over which it may be overloaded.
const COLD_FLOOR: u32 = 4;
/// Asking for the list again after a failure: this first, then twice as long each time.
const ASK_AGAIN: Duration = millis(300);

#[derive(Clone, Copy, PartialEq)]
enum Need {
    Write,
    Fresh,
    Session,
    Bounded(Duration),
    Any,
}

#[derive(Clone, Copy, PartialEq)]
enum Effect {
    Idempotent,
    /// Whether all nodes drop repeats, or the node's zone, or its group; and for how long.
    Tokened(RepeatGroup, Duration),
    NonIdempotent,
}

#[derive(Clone, Copy, PartialEq)]
enum RepeatGroup {
    All,
    Zone,
    Group,
}

/// What the settings say of a method, and what its answers have shown.
struct Method {
    need: Need,
    effect: Effect,
    soft: Duration,
    utility: f64,
    late_utility: f64,
    /// Mean answer time at present, the shortest such mean, and the span in which the next is being taken.
    present: f64,
    shortest: f64,
    span: (Duration, f64, f64),
}

/// What this router knows of a node.
struct Member {
    group: GroupId,
    zone: ZoneId,
    kind: usize,
    stopped: bool,
    started: Option<Duration>,
    position: Option<Duration>,
    heard: Option<Duration>,
    role: Option<(Role, Duration)>,
    in_flight: u32,
    limit: f64,
    slow: f64,
    fails: f64,
    /// No answer at all since then, while call-outs are out; the answers a second that those should bring.
    silent_since: Duration,
    expected: f64,
    dropped: bool,
    silent: bool,
    probe_sent: Option<Duration>,
    probe_ended: Duration,
    last_send: Duration,
    /// Work answered a second, and the sends that count against a cold start.
    carried: f64,
    carried_now: f64,
    cold_sends: VecDeque<(Duration, f64)>,
}

#[derive(Default)]
struct Group {
    primary: Option<(NodeId, Duration, bool)>,
    /// When the last primary was lost: replica evidence since then rules a node out of the search.
    lost: Duration,
    share: f64,
    lines: BTreeMap<(bool, MethodId), BTreeSet<(Duration, RpcId)>>,
}

struct Call {
    node: NodeId,
    sent: Duration,
    weight: f64,
    outcome: Option<Outcome>,
}

struct Held {
    rpc: Rpc,
    arrived: Duration,
    deadline: Duration,
    token: Option<Duration>,
    calls: Vec<Call>,
    waits: bool,
}

impl Held {
    fn may_have_run(&self) -> bool {
        self.calls.iter().any(|call| !call.outcome.is_some_and(Outcome::never_ran))
    }
    fn out(&self) -> bool {
        self.calls.iter().any(|call| call.outcome.is_none())
    }
}

enum Pick {
    Node(NodeId),
    Wait,
    Refuse,
}

pub struct Router<H: Host> {
    host: H,
    chance: ChaCha8Rng,
    values: ValueMap,
    methods: Vec<Method>,
    members: BTreeMap<NodeId, Member>,
    groups: BTreeMap<GroupId, Group>,
    held: BTreeMap<RpcId, Held>,
    due: BTreeSet<(Duration, RpcId)>,
    /// Remembered commits of sessions whose writes went through here, by group.
    tokens: BTreeMap<(GroupId, SessionKey), Duration>,
    started: Duration,
    tightest: Duration,
    sweep_at: Duration,
    swept: Duration,
    armed: Option<Duration>,
    ask_at: Option<Duration>,
    ask_wait: Duration,
    further: f64,
}

impl<H: Host> Router<H> {
    pub fn new(host: H, seed: u64, values: ValueMap, now: Duration) -> Self {
        let mut router = Router {
            host,
            chance: ChaCha8Rng::seed_from_u64(seed),
            methods: Vec::new(),
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            held: BTreeMap::new(),
            due: BTreeSet::new(),
            tokens: BTreeMap::new(),
            started: now,
            tightest: NO_BOUND,
            sweep_at: now,
            swept: now,
            armed: None,
            ask_at: None,
            ask_wait: ASK_AGAIN,
            further: FURTHER_SAVED,
            values,
        };
        while let Some(method) = router.method_from_settings(router.methods.len(), now) {
            if let Need::Bounded(bound) = method.need {
                router.tightest = router.tightest.min(bound.max(millis(1)));
            }
            router.methods.push(method);
        }
        if router.text("discovery") == "subscribe" {
            router.host.watch_list();
        }
        router.arm(now);
        router
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        match self.values.get(name) {
            Some(Value::Number(number)) => *number,
            _ => default,
        }
    }

    fn span(&self, name: &str, default: Duration) -> Duration {
        match self.values.get(name) {
            Some(Value::Span(span)) => *span,
            _ => default,
        }
    }

    fn text(&self, name: &str) -> &str {
        match self.values.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    fn allowed(&self, name: &str) -> bool {
        matches!(self.values.get(name), Some(Value::Flag(true)))
    }

    fn method_from_settings(&self, place: usize, now: Duration) -> Option<Method> {
        let path = |name: &str| format!("methods.{place}.{name}");
        let soft = match self.values.get(&path("soft_deadline"))? {
            Value::Span(soft) => *soft,
            _ => return None,
        };
        let bound = self.span(&format!("replication.bound.{place}"), Duration::ZERO);
        // A need that is not stated is taken as the strictest read, an unknown effect as the strictest effect.
        let need = match self.text(&format!("replication.needs.{place}")) {
            "write" => Need::Write,
            "session" => Need::Session,
            "bounded" => Need::Bounded(bound),
            "any" => Need::Any,
            _ => Need::Fresh,
        };
        let repeat_group = match self.text(&path("repeat_group")) {
            "all" => RepeatGroup::All,
            "zone" => RepeatGroup::Zone,
            _ => RepeatGroup::Group,
        };
        let effect = match self.text(&path("effect")) {
            "idempotent" => Effect::Idempotent,
            "tokened" => Effect::Tokened(repeat_group, self.span(&path("repeat_window"), Duration::ZERO)),
            _ => Effect::NonIdempotent,
        };
        let utility = self.number(&path("utility"), 1.0);
        let late_utility = utility * self.number(&path("late_utility"), 0.0);
        // Until answers tell, an RPC is taken to need a quarter of its soft deadline.
        let guess = soft.as_secs_f64() / 4.0;
        let span = (now + SHORTEST_SPAN, 0.0, 0.0);
        Some(Method { need, effect, soft, utility, late_utility, present: guess, shortest: guess, span })
    }

    pub fn list_changed(&mut self, now: Duration, extent: Extent, list: &[Listed]) {
        self.ask_wait = ASK_AGAIN;
        let known = !self.members.is_empty();
        if extent != Extent::Changes {
            let gone = |node: &NodeId| !list.iter().any(|entry| entry.node == *node);
            // Where only listed drains bind, a node that has dropped out of the list may still be sent to.
            if !self.allowed("rules.only_listed_drains") {
                self.members.iter_mut().filter(|(node, _)| gone(node)).for_each(|(_, m)| m.stopped = true);
            }
        }
        for entry in list {
            let open = self.allowed("rules.only_listed_drains");
            // A node that is new on a list that was known before has just started, even if no time is told.
            let fresh = (known && extent == Extent::Changes).then_some(now);
            let member = self.members.entry(entry.node).or_insert_with(|| Member {
                group: entry.group,
                zone: entry.zone,
                kind: entry.kind,
                stopped: false,
                started: fresh,
                position: None,
                heard: None,
                role: None,
                in_flight: 0,
                limit: FIRST_LIMIT,
                slow: 1.0,
                fails: 0.0,
                silent_since: now,
                expected: 0.0,
                dropped: false,
                silent: false,
                probe_sent: None,
                probe_ended: Duration::ZERO,
                last_send: Duration::ZERO,
                carried: 0.0,
                carried_now: 0.0,
                cold_sends: VecDeque::new(),
            });
            member.stopped = match entry.condition {
                Condition::Healthy => false,
                Condition::Draining => true,
                Condition::Gone => !open || member.stopped,
            };
            if entry.started.is_some() {
                member.started = member.started.max(entry.started);
            }
            let group = self.groups.entry(entry.group).or_default();
            // The list's word on the role is late: it names a primary only where nothing better does.
            let answered_since = member.role.is_some_and(|(_, at)| at >= group.lost);
            if entry.primary && group.primary.is_none() && !answered_since {
                group.primary = Some((entry.node, Duration::ZERO, false));
            }
        }
        self.sweep(now);
        self.arm(now);
    }

    pub fn list_failed(&mut self, now: Duration) {
        // The notice does not say whether a watch stands; asking anew is always allowed and keeps the duty to ask.
        let longest = self.span("rules.ask_every", millis(10_000)) / 4;
        self.ask_at = Some(now + self.ask_wait.min(longest));
        self.ask_wait = (self.ask_wait * 2).min(longest);
    }

    pub fn rpc_arrived(&mut self, now: Duration, rpc: Rpc) {
        let id = rpc.id;
        let Some(method) = self.methods.get(rpc.method.0) else {
            self.host.abort(id);
            return;
        };
        let token = match (method.need, rpc.session) {
            (Need::Session, Some(session)) if self.text("replication.session_marks") == "remembered" => {
                self.tokens.get(&(rpc.group, session)).copied()
            }
            (Need::Session, _) => rpc.since_write.map(|since| now.saturating_sub(since)),
            _ => None,
        };
        let group = self.groups.entry(rpc.group).or_default();
        if method.need != Need::Write {
            group.share = (group.share + PRIMARY_SHARE).min(PRIMARY_SAVED);
        }
        let deadline = now + rpc.remaining;
        let group = rpc.group;
        self.held.insert(id, Held { rpc, arrived: now, deadline, token, calls: Vec::new(), waits: false });
        self.line_up(now, id);
        self.dispatch(now, group);
        self.arm(now);
    }

    pub fn call_ended(&mut self, now: Duration, end: CallEnd) {
        let held = self.held.get_mut(&end.rpc);
        let call = held.and_then(|held| held.calls.get_mut(end.call.0 as usize));
        let (sent, weight) = match &call {
            Some(call) => (call.sent, call.weight),
            None => (now.saturating_sub(end.took), 0.0),
        };
        if let Some(call) = call {
            call.outcome = Some(end.outcome);
        }
        let method = self.held.get(&end.rpc).map(|held| held.rpc.method);
        self.learn(now, &end, sent, weight, method);
        let group = self.members.get(&end.node).map(|member| member.group);
        if end.finished {
            self.forget(end.rpc);
        } else if self.held.get(&end.rpc).is_some_and(|held| !held.out() && !held.waits) {
            self.go_on(now, end.rpc, end.outcome);
        }
        if let Some(group) = group {
            self.dispatch(now, group);
        }
        self.arm(now);
    }

    pub fn probe_ended(&mut self, now: Duration, node: NodeId, answered: bool, report: Option<Report>) {
        let Some(member) = self.members.get_mut(&node) else { return };
        member.probe_sent = None;
        member.probe_ended = now;
        // A failed probe drops the node until a later one answers (the design's).
        member.dropped = !answered;
        if answered {
            member.silent_since = now;
            member.silent = false;
            member.heard = Some(now);
        }
        let group = member.group;
        if !answered {
            self.lose_primary(now, group, node);
        }
        if let Some(report) = report {
            self.note_report(now, node, &report);
        }
        self.dispatch(now, group);
        self.arm(now);
    }

    pub fn client_left(&mut self, now: Duration, rpc: RpcId) {
        self.forget(rpc);
        self.arm(now);
    }

    pub fn timer_fired(&mut self, now: Duration) {
        if self.armed.is_some_and(|at| at <= now) {
            self.armed = None;
        }
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.rpc_due(now, id);
        }
        if self.sweep_at <= now {
            self.sweep(now);
        }
        self.arm(now);
    }

    /// One timer: the next of the periodic work and of the due times.
    fn arm(&mut self, now: Duration) {
        let next = self.due.first().map_or(self.sweep_at, |(at, _)| self.sweep_at.min(*at));
        if self.armed.is_none_or(|at| at > next) {
            self.armed = Some(next.max(now));
            self.host.wake(next.saturating_sub(now));
        }
    }

    fn sweep(&mut self, now: Duration) {
        self.sweep_at = now + self.tightest / SWEEPS_PER_BOUND;
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            self.host.watch_list();
        }
        let passed = now.saturating_sub(self.swept).as_secs_f64();
        self.swept = now;
        let overload = self.overload_time();
        let keep = (-passed / 2.0).exp();
        let mut silent = Vec::new();
        for (node, member) in &mut self.members {
            if passed > 0.0 {
                member.carried = member.carried * keep + member.carried_now / passed * (1.0 - keep);
                member.carried_now = 0.0;
            }
            while member.cold_sends.front().is_some_and(|(at, _)| *at + overload < now) {
                member.cold_sends.pop_front();
            }
            // Guards against a node that hangs, dies or is cut off without a word: once the answers that are
            // due to come stay away for longer than chance allows, nothing more is sent until it is heard again.
            let silence = now.saturating_sub(member.silent_since).as_secs_f64();
            if member.in_flight > 0 && !member.silent && silence * member.expected / member.slow > SILENT {
                member.silent = true;
                silent.push((*node, member.group));
            }
            // A lost probe would otherwise keep the node from ever being probed again.
            if member.probe_sent.is_some_and(|at| at + PROBE_LOST < now) {
                member.probe_sent = None;
                member.dropped = true;
            }
        }
        for (node, group) in silent {
            self.leave_silent(node, group);
        }
        self.probe_old(now);
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        for group in groups {
            self.dispatch(now, group);
        }
    }

    /// Calls back what a silent node holds, where a repeat does no harm.
    fn leave_silent(&mut self, node: NodeId, group: GroupId) {
        if !self.allowed("allowed.cancel") {
            return;
        }
        for (id, held) in self.held.iter().filter(|(_, held)| held.rpc.group == group) {
            let repeats = self.methods[held.rpc.method.0].effect == Effect::Idempotent;
            for (place, call) in held.calls.iter().enumerate() {
                if repeats && call.node == node && call.outcome.is_none() {
                    self.host.cancel(*id, CallNo(place as u32));
                }
            }
        }
    }

    /// Probes entries that are older than half the tightest bound, or whose position is about to fall behind it.
    fn probe_old(&mut self, now: Duration) {
        if !self.allowed("allowed.probes") {
            return;
        }
        let (half, least) = (self.tightest / 2, self.tightest / SWEEPS_PER_BOUND);
        for (node, member) in &mut self.members {
            if member.probe_sent.is_some() || member.stopped {
                continue;
            }
            let heard = member.heard.unwrap_or_default();
            let due = if member.dropped {
                member.probe_ended + DROPPED_PROBE
            } else if member.silent || member.heard.is_none() {
                now
            } else {
                let ends = member.position.unwrap_or_default() + self.tightest;
                let soon = if ends > now { ends.saturating_sub(half / 2) } else { heard + half };
                soon.clamp(heard + least, heard + half)
            };
            if due <= now {
                member.probe_sent = Some(now);
                self.host.probe(*node);
            }
        }
    }

    /// Takes what an ended call-out tells of its node and of its method.
    fn learn(&mut self, now: Duration, end: &CallEnd, sent: Duration, weight: f64, method: Option<MethodId>) {
        let Some(member) = self.members.get_mut(&end.node) else { return };
        let group = member.group;
        if end.outcome != Outcome::NotSent {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
        member.expected = if member.in_flight == 0 { 0.0 } else { (member.expected - weight).max(0.0) };
        let spoke = matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Miss);
        if spoke {
            member.silent_since = now;
            member.silent = false;
        }
        let failed = matches!(
            end.outcome,
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed
        );
        if failed || end.outcome == Outcome::Ok {
            member.fails += (f64::from(u8::from(failed)) - member.fails) * ANSWER_WEIGHT;
        }
        if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) && !member.silent {
            // Guards against a dead process or a cut link: a probe decides before more is lost there.
            member.silent = true;
            member.silent_since = now;
        }
        if end.outcome == Outcome::Full {
            member.limit = (member.limit / 2.0).max(LIMITS.0);
        }
        if let Some(method) = method.and_then(|method| self.methods.get_mut(method.0)) {
            let took = end.took.as_secs_f64();
            if matches!(end.outcome, Outcome::Ok | Outcome::TimedOut) {
                member.slow += (took / method.shortest - member.slow) * ANSWER_WEIGHT;
                let ratio = (TOLERANCE / member.slow.max(0.1)).clamp(0.5, 1.0);
                let busy = f64::from(member.in_flight + 1) > member.limit / 2.0;
                let target =
                    member.limit * ratio + if busy || ratio < 1.0 { member.limit.sqrt() } else { 0.0 };
                member.limit += (target - member.limit) * ANSWER_WEIGHT;
                member.limit = member.limit.clamp(LIMITS.0, LIMITS.1);
            }
            if end.outcome == Outcome::Ok {
                member.carried_now += method.shortest;
                method.present += (took - method.present) * ANSWER_WEIGHT;
                method.span.1 += took;
                method.span.2 += 1.0;
                if now >= method.span.0 && method.span.2 >= 20.0 {
                    let mean = method.span.1 / method.span.2;
                    method.shortest = (method.shortest * SHORTEST_FORGETS).min(mean);
                    method.span = (now + SHORTEST_SPAN, 0.0, 0.0);
                }
            }
        }
        // A primary's position is the present when the answer was made, so it dates the role. Without it, the
        // answer was made after the call-out was sent. A replica's answer counts from when it came.
        let position = end.position.filter(|_| end.outcome != Outcome::Ok || spoke);
        match end.role {
            Some(Role::Primary) => {
                self.note_role(now, end.node, Role::Primary, position.unwrap_or(sent), true)
            }
            Some(Role::Replica) => self.note_role(now, end.node, Role::Replica, now, true),
            None => {}
        }
        if let Some(position) = position {
            self.note_position(now, end.node, position);
            if end.outcome == Outcome::Ok
                && let Some(held) = self.held.get(&end.rpc)
                && self.methods[held.rpc.method.0].need == Need::Write
                && let Some(session) = held.rpc.session
                && self.text("replication.session_marks") == "remembered"
            {
                let token = self.tokens.entry((group, session)).or_default();
                *token = position.max(*token);
            }
        }
        if let Some(report) = &end.report {
            self.note_report(now, end.node, report);
        }
        if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            self.probe_old(now);
        }
    }

    fn note_report(&mut self, now: Duration, node: NodeId, report: &Report) {
        let Some(position) = report.position else { return };
        self.note_position(now, node, position);
        // A report is old: the position in it is the least age its word on the role can have.
        match report.primary {
            Some(true) => self.note_role(now, node, Role::Primary, position, false),
            Some(false) => self.note_role(now, node, Role::Replica, position, false),
            None => {}
        }
    }

    fn note_position(&mut self, now: Duration, node: NodeId, position: Duration) {
        if let Some(member) = self.members.get_mut(&node) {
            member.position = member.position.max(Some(position.min(now)));
            member.heard = Some(now);
        }
    }

    /// The newest evidence of a role wins; `proven` is what an answer itself says, and not a report.
    fn note_role(&mut self, now: Duration, node: NodeId, role: Role, at: Duration, proven: bool) {
        let Some(member) = self.members.get_mut(&node) else { return };
        if member.role.is_some_and(|(_, known)| known > at) {
            return;
        }
        member.role = Some((role, at));
        let group_id = member.group;
        let group = self.groups.entry(group_id).or_default();
        match (role, group.primary) {
            (Role::Primary, Some((known, since, was))) if known == node => {
                group.primary = Some((node, since.max(at), was || proven));
            }
            (Role::Primary, Some((_, since, _))) if since > at => {}
            (Role::Primary, _) if proven || at + NO_BOUND > now => group.primary = Some((node, at, proven)),
            (Role::Replica, Some((known, since, _))) if known == node && at > since => {
                self.lose_primary(now, group_id, node);
            }
            _ => {}
        }
    }

    fn lose_primary(&mut self, now: Duration, group: GroupId, node: NodeId) {
        let group = self.groups.entry(group).or_default();
        if group.primary.is_some_and(|(known, _, _)| known == node) {
            group.primary = None;
            group.lost = now;
        }
    }

    /// After a call-out that did not finish its RPC: a further one, or the end.
    fn go_on(&mut self, now: Duration, id: RpcId, outcome: Outcome) {
        let Some(held) = self.held.get(&id) else { return };
        let repeats = self.methods[held.rpc.method.0].effect != Effect::NonIdempotent;
        let spent = held.calls.len() >= self.number("allowed.call_outs", 1.0) as usize;
        if spent || (held.may_have_run() && !repeats) {
            return self.finish(id, Duration::ZERO);
        }
        if !outcome.never_ran() {
            // Guards against retries that feed an overload: past the budget the client decides.
            if self.further < 1.0 {
                return self.finish(id, Duration::ZERO);
            }
            self.further -= 1.0;
        }
        self.line_up(now, id);
    }

    /// The last moment at which sending the RPC is still of use.
    fn last_use(&self, held: &Held) -> Duration {
        let method = &self.methods[held.rpc.method.0];
        let needs = Duration::from_secs_f64(method.shortest);
        let end = self.ends(held);
        end.saturating_sub(needs).max(held.arrived)
    }

    /// When an answer stops being of use, or the client stops waiting.
    fn ends(&self, held: &Held) -> Duration {
        let method = &self.methods[held.rpc.method.0];
        let last = held.deadline.saturating_sub(2 * self.span("tick", millis(1)));
        if method.late_utility > 0.0 { last } else { last.min(held.arrived + method.soft) }
    }

    fn line_up(&mut self, now: Duration, id: RpcId) {
        let Some(held) = self.held.get(&id) else { return };
        let (last_use, method) = (self.last_use(held), held.rpc.method);
        let key = (held.arrived + self.methods[method.0].soft, id);
        self.due.insert((last_use.max(now), id));
        let Some(held) = self.held.get_mut(&id) else { return };
        held.waits = true;
        let line = (!held.calls.is_empty(), method);
        self.groups.entry(held.rpc.group).or_default().lines.entry(line).or_default().insert(key);
    }

    fn leave_line(&mut self, id: RpcId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.waits = false;
        let key = (held.arrived + self.methods[held.rpc.method.0].soft, id);
        let line = (!held.calls.is_empty(), held.rpc.method);
        if let Some(line) = self.groups.get_mut(&held.rpc.group).and_then(|group| group.lines.get_mut(&line))
        {
            line.remove(&key);
        }
    }

    fn rpc_due(&mut self, now: Duration, id: RpcId) {
        let Some(held) = self.held.get(&id) else { return };
        let tick = self.span("tick", millis(1));
        let ends_by = held.deadline.saturating_sub(tick);
        if held.waits && now >= self.last_use(held) {
            let advice = self.span("allowed.longest_retry_after", Duration::ZERO);
            self.finish(id, advice);
        } else if now >= ends_by {
            self.finish(id, Duration::ZERO);
        } else {
            let next = if held.waits { self.last_use(held) } else { ends_by };
            self.due.insert((next.max(now + tick), id));
        }
    }

    /// The one place for final answers of the module's own. Rule 2: pushed back only where a repeat is harmless.
    fn finish(&mut self, id: RpcId, retry_after: Duration) {
        let Some(held) = self.held.get(&id) else { return };
        let harmless = match self.methods[held.rpc.method.0].effect {
            Effect::Idempotent | Effect::Tokened(RepeatGroup::All, _) => true,
            Effect::Tokened(..) | Effect::NonIdempotent => !held.may_have_run(),
        };
        self.forget(id);
        if harmless {
            let longest = self.span("allowed.longest_retry_after", Duration::ZERO);
            self.host.push_back(id, retry_after.min(longest));
        } else {
            self.host.abort(id);
        }
    }

    fn forget(&mut self, id: RpcId) {
        self.leave_line(id);
        self.held.remove(&id);
    }

    /// Sends what waits, best utility for the work first, first call-outs before further ones.
    fn dispatch(&mut self, now: Duration, group: GroupId) {
        for further in [false, true] {
            let mut blocked = BTreeSet::new();
            loop {
                let Some(lines) = self.groups.get(&group).map(|group| &group.lines) else { return };
                let heads = lines.range((further, MethodId(0))..=(further, MethodId(usize::MAX)));
                let head = heads
                    .filter(|((_, method), _)| !blocked.contains(method))
                    .filter_map(|((_, method), line)| line.first().map(|(soft, id)| (*method, *soft, *id)))
                    .min_by_key(|(method, soft, id)| (self.rank(*method), *soft, *id));
                let Some((method, _, id)) = head else { break };
                match self.pick(now, id) {
                    Pick::Node(node) => {
                        self.leave_line(id);
                        if !self.send(now, id, node) {
                            self.finish(id, Duration::ZERO);
                        }
                    }
                    Pick::Refuse => self.finish(id, HOLD),
                    Pick::Wait => _ = blocked.insert(method),
                }
            }
        }
    }

    /// Utility for the work, in steps of two: methods of about equal worth go by time left.
    fn rank(&self, method: MethodId) -> i32 {
        let method = &self.methods[method.0];
        -(method.utility / method.shortest.max(1e-4)).log2().round() as i32
    }

    fn pick(&mut self, now: Duration, id: RpcId) -> Pick {
        let held = &self.held[&id];
        let need = self.methods[held.rpc.method.0].need;
        let group = &self.groups[&held.rpc.group];
        let primary = group.primary.map(|(node, _, _)| node);
        if matches!(need, Need::Write | Need::Fresh) {
            return self.pick_primary(now, id, primary);
        }
        let mut passing = 0;
        let mut room = Vec::new();
        let mut nearest: Option<(Duration, NodeId)> = None;
        for (node, member) in self.members.iter().filter(|(_, member)| member.group == held.rpc.group) {
            let tried = held.calls.iter().any(|call| call.node == *node);
            if Some(*node) == primary || member.stopped || member.dropped || member.silent || tried {
                continue;
            }
            if !self.current(now, held, *node) {
                nearest = nearest.max(Some((member.position.unwrap_or_default(), *node)));
                continue;
            }
            passing += 1;
            let weight = self.room(now, member);
            if weight > 0.0 && self.gate(now, id, *node) {
                room.push((*node, weight));
            }
        }
        if !room.is_empty() {
            let total: f64 = room.iter().map(|(_, weight)| weight).sum();
            let mut at = self.chance.random_range(0.0..total);
            for (node, weight) in &room {
                if at < *weight {
                    return Pick::Node(*node);
                }
                at -= weight;
            }
            return Pick::Node(room[room.len() - 1].0);
        }
        let held = &self.held[&id];
        if let Some(node) = primary
            && group.share >= 1.0
            && self.members.get(&node).is_some_and(|member| self.room(now, member) > 0.0)
            && self.gate(now, id, node)
        {
            return Pick::Node(node);
        }
        if passing > 0 || now < held.arrived + HOLD {
            return Pick::Wait;
        }
        if let Some((_, node)) = nearest
            && self.text("replication.read_check") != "none"
            && self.gate(now, id, node)
        {
            return Pick::Node(node);
        }
        Pick::Refuse
    }

    /// Writes and fresh reads: the primary, or the search for one.
    fn pick_primary(&self, now: Duration, id: RpcId, primary: Option<NodeId>) -> Pick {
        let held = &self.held[&id];
        if let Some(node) = primary {
            let member = &self.members[&node];
            let open = !member.stopped && !member.dropped && !member.silent;
            let room = f64::from(member.in_flight) < member.limit;
            return if open && room && self.gate(now, id, node) { Pick::Node(node) } else { Pick::Wait };
        }
        let misses = held.calls.iter().filter(|call| call.outcome == Some(Outcome::Miss)).count();
        if misses * 2 >= self.number("allowed.call_outs", 1.0) as usize {
            return Pick::Wait;
        }
        let lost = self.groups[&held.rpc.group].lost;
        let next = self.members.iter().find(|(node, member)| {
            member.group == held.rpc.group
                && !(member.stopped || member.dropped || member.silent)
                && !held.calls.iter().any(|call| call.node == **node)
                && !member.role.is_some_and(|(_, at)| at >= lost && lost > Duration::ZERO)
                && f64::from(member.in_flight) < member.limit
                && self.gate(now, id, **node)
        });
        next.map_or(Pick::Wait, |(node, _)| Pick::Node(*node))
    }

    /// Free room at a node as a weight for the pick; a node in poor health has room for a trickle only.
    fn room(&self, now: Duration, member: &Member) -> f64 {
        let free = member.limit - f64::from(member.in_flight);
        if free <= 0.0 {
            return 0.0;
        }
        if member.slow > CRAWLS * self.median_slow(member.group) || member.fails > FAILS {
            // Guards against nodes that crawl or fail fast. When most look bad the cause is shared, so slowness
            // is held against the group's median.
            return if member.in_flight == 0 && member.last_send + TRICKLE <= now { 0.1 } else { 0.0 };
        }
        free * self.warmth(now, member)
    }

    fn median_slow(&self, group: GroupId) -> f64 {
        let mut slow: Vec<f64> =
            self.members.values().filter(|m| m.group == group && !m.stopped).map(|m| m.slow).collect();
        slow.sort_by(f64::total_cmp);
        slow.get(slow.len() / 2).copied().unwrap_or(1.0).max(1.0)
    }

    /// The part of its capacity that a node is known to have by now.
    fn warmth(&self, now: Duration, member: &Member) -> f64 {
        let from = self.number("rules.cold_from", 1.0);
        let time = self.span("rules.cold_time", Duration::ZERO).as_secs_f64();
        match member.started {
            Some(started) if time > 0.0 => {
                (from + (1.0 - from) * now.saturating_sub(started).as_secs_f64() / time).min(1.0)
            }
            _ => 1.0,
        }
    }

    fn overload_time(&self) -> Duration {
        self.span("rules.overload_time", millis(1000))
    }

    /// Whether rule 5 lets this node answer this read: by a position that was told, or by being the primary.
    fn current(&self, now: Duration, held: &Held, node: NodeId) -> bool {
        let position = self.members[&node].position;
        let proven_primary = self.groups[&held.rpc.group]
            .primary
            .is_some_and(|(primary, _, proven)| primary == node && proven);
        match self.methods[held.rpc.method.0].need {
            Need::Any | Need::Write => true,
            Need::Fresh => proven_primary || position >= Some(held.arrived),
            Need::Session => proven_primary || held.token.is_none_or(|token| position >= Some(token)),
            Need::Bounded(bound) => proven_primary || position >= Some(now.saturating_sub(bound)),
        }
    }

    /// The one gate: every call-out passes here, and each of the five rules is kept here.
    fn gate(&self, now: Duration, id: RpcId, node: NodeId) -> bool {
        // Rule 1: only what is held, so not yet answered, and in time.
        let Some(held) = self.held.get(&id) else { return false };
        let Some(member) = self.members.get(&node) else { return false };
        let attempts = self.number("allowed.call_outs", 1.0) as usize;
        if member.group != held.rpc.group || held.calls.len() >= attempts || now >= self.ends(held) {
            return false;
        }
        if held.out() && !self.allowed("allowed.second_copies") {
            return false;
        }
        // Rule 2: what may have run is repeated only as its method allows.
        let ran = held.calls.iter().filter(|call| !call.outcome.is_some_and(Outcome::never_ran));
        let repeat = match self.methods[held.rpc.method.0].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => !held.may_have_run(),
            Effect::Tokened(group, window) => ran.into_iter().all(|call| {
                let same = self.members.get(&call.node).is_some_and(|earlier| match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => earlier.zone == member.zone,
                    RepeatGroup::Group => earlier.group == member.group,
                });
                same && now < call.sent + window
            }),
        };
        // Rule 3: nothing to a node once it is told to drain; the grace is for what is out already.
        // Rule 4: a cold node's budget. Rule 5: proof of freshness, unless nodes check for themselves.
        let fresh = self.text("replication.read_check") != "none" || self.current(now, held, node);
        repeat && !member.stopped && fresh && self.within_cold_budget(now, member, held.rpc.method)
    }

    /// Rule 4. What warm nodes of the kind are seen to carry for this router, times the part of it that the cold
    /// node has by now, times half the permitted multiple. Every router keeps to its own part, so all together do.
    fn within_cold_budget(&self, now: Duration, member: &Member, method: MethodId) -> bool {
        let warmth = self.warmth(now, member);
        if warmth >= 1.0 {
            return true;
        }
        let span = self.overload_time();
        let warm = self.members.values().filter(|m| m.kind == member.kind && self.warmth(now, m) >= 1.0);
        let (sum, count) = warm.fold((0.0, 0.0), |(sum, count), m| (sum + m.carried, count + 1.0));
        let carried = if count > 0.0 { sum / count } else { 0.0 };
        let multiple = self.number("rules.fall_multiple", 1.0) * COLD_MARGIN;
        let budget = carried * warmth * multiple * span.as_secs_f64();
        let sent: f64 =
            member.cold_sends.iter().filter(|(at, _)| *at + span > now).map(|(_, work)| work).sum();
        sent + self.methods[method.0].shortest <= budget
            || (member.in_flight == 0 && member.last_send + span / COLD_FLOOR <= now)
    }

    fn send(&mut self, now: Duration, id: RpcId, node: NodeId) -> bool {
        if !self.gate(now, id, node) {
            return false;
        }
        let time_out = self.ends(&self.held[&id]).saturating_sub(now);
        let tick = self.span("tick", millis(1));
        let (Some(held), Some(member)) = (self.held.get_mut(&id), self.members.get_mut(&node)) else {
            return false;
        };
        let method = &self.methods[held.rpc.method.0];
        let weight = 1.0 / method.present.max(method.shortest).max(1e-3);
        if held.calls.is_empty() {
            self.further = (self.further + FURTHER_SHARE).min(FURTHER_SAVED);
        }
        if member.in_flight == 0 {
            member.silent_since = now;
        }
        member.in_flight += 1;
        member.expected += weight;
        member.last_send = now;
        member.cold_sends.push_back((now, method.shortest));
        held.calls.push(Call { node, sent: now, weight, outcome: None });
        self.due.insert((held.deadline.saturating_sub(tick), id));
        let group = self.groups.entry(member.group).or_default();
        if method.need != Need::Write && group.primary.is_some_and(|(primary, _, _)| primary == node) {
            group.share -= 1.0;
        }
        self.host.call_out(id, node, time_out.max(millis(1)));
        true
    }
}
