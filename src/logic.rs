//! Every decision of quillpoint. Make a [`Router`] with a host, a seed, the settings and the time, then call
//! its one method for each thing that happens: `list_changed`, `list_failed`, `rpc_arrived`, `call_ended`,
//! `probe_ended`, `client_left`, `timer_fired`. It acts by calling the [`Host`] it was given (see `host.rs`).
//!
//! The design (docs/design.md): a probe-fed record of log positions decides which replicas may answer a read.
//! Beside it stand these mechanisms:
//! 1. Limits: what is in flight to a node follows the ratio of the shortest answer time to the present one.
//! 2. Lines: RPCs wait here by utility and time left; further call-outs in a line of their own, on a budget.
//! 3. Health: a node that fails, crawls or falls silent loses its share and wins it back by probe or trickle.
//! 4. Cold budget: what a node that has just started may be sent.
//! 5. Giving up: what can no longer be of use, repeats above all, is ended early, with a time to come back.
//! 6. Long any-reads keep to one member, so that the others apply the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::host::{
    CallEnd, CallNo, Condition, Extent, GroupId, Host, Listed, MethodId, NodeId, Outcome, Report, Role, Rpc,
    RpcId, SessionKey, TenantId, ValueMap,
};
use crate::state::{Call, Group, Held, Member, Method, Need, Pick, Repeats, Scope};

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long a read may wait for the record to name a replica for it (the design's, for a fresh router).
const HOLD: Duration = millis(50);
/// The share of a group's reads that may go to its primary (the design's), and how many may be saved up.
const PRIMARY_SHARE: f64 = 0.1;
const PRIMARY_SAVED: f64 = 10.0;
/// Periodic work is done so many times in the tightest bound, so that a probe is late by little.
const SWEEPS_PER_BOUND: u32 = 8;
/// Taken for the bound where no method sets one: probing then serves health alone.
const NO_BOUND: Duration = millis(1000);
/// A dropped node is probed at this pace: often enough to win it back soon, and one probe costs little.
const DROPPED_PROBE: Duration = millis(250);
/// What one answer weighs: some twenty make up a node's present answer time.
const WEIGHT: f64 = 0.05;
/// Answer times up to this multiple of the shortest leave a limit as it is: a little queueing is good.
const TOLERANCE: f64 = 1.15;
/// What all routers together start with at a node, and the least they keep, or one each where they are few.
const FIRST_LIMIT: f64 = 16.0;
const LEAST_LIMIT: f64 = 8.0;
/// The shortest mean answer time is taken over spans of this length and forgets by this factor a span.
const SHORTEST_SPAN: Duration = millis(2000);
const SHORTEST_FORGETS: f64 = 1.02;
/// A node is silent when chance alone would make it so once in about 8,000 (e^9) tries.
const SILENT: f64 = 9.0;
/// A call-out that takes this many times the present answer time counts as lost; chance does so once in 150.
const LOST: f64 = 5.0;
/// Past this slowness (against the group's median) a node gets a trickle only; a failure counts as this slow.
const CRAWLS: f64 = 3.0;
const FAILED: f64 = 10.0;
const TRICKLE: Duration = millis(200);
/// Call-outs after one that may have run: this many for each first call-out, and so many saved up.
const FURTHER_SHARE: f64 = 0.2;
const FURTHER_SAVED: f64 = 20.0;
/// An RPC is sent only if this multiple of the present answer time is left to it.
const TIME_NEEDED: f64 = 2.0;
/// So many more tries must have waited alike before another is taken for a repeat.
const SURE: f64 = 20.0;
/// The part of a cold node's permitted load that is used: routers carry unequal traffic.
const COLD_MARGIN: f64 = 0.75;
/// At least one call-out to a cold node in this part of the span over which it may be overloaded.
const COLD_FLOOR: u32 = 4;
/// Asking for the list again after a failure: this first, then twice as long each time.
const ASK_AGAIN: Duration = millis(300);

pub struct Router<H: Host> {
    host: H,
    chance: ChaCha8Rng,
    values: ValueMap,
    methods: Vec<Method>,
    members: BTreeMap<NodeId, Member>,
    groups: BTreeMap<GroupId, Group>,
    held: BTreeMap<RpcId, Held>,
    due: BTreeSet<(Duration, RpcId)>,
    tokens: BTreeMap<(GroupId, SessionKey), Duration>, // commits of the sessions that wrote through here
    tightest: Duration,
    tick: Duration,
    call_outs: usize,
    remembers: bool,
    overload: Duration,
    routers: f64,
    swept: Duration,
    armed: Option<Duration>,
    ask_at: Option<Duration>,
    ask_wait: Duration,
    ask_every: Duration,
    further: f64,
    shares: BTreeMap<TenantId, (f64, Duration)>,
}

impl<H: Host> Router<H> {
    pub fn new(host: H, seed: u64, values: ValueMap, now: Duration) -> Self {
        let methods: Vec<Method> = (0..).map_while(|place| Self::method(&values, place, now)).collect();
        let bound = |m: &Method| if let Need::Bounded(at) = m.need { Some(at.max(millis(1))) } else { None };
        let mut router = Router {
            host,
            chance: ChaCha8Rng::seed_from_u64(seed),
            tightest: methods.iter().filter_map(bound).min().unwrap_or(NO_BOUND),
            tick: values.span("tick").unwrap_or(millis(1)),
            call_outs: values.number("allowed.call_outs").unwrap_or(1.0) as usize,
            ask_at: (values.text("discovery") == "subscribe").then_some(now),
            ask_every: values.span("rules.ask_every").unwrap_or(millis(10_000)),
            remembers: values.text("replication.session_marks") == "remembered",
            overload: values.span("rules.overload_time").unwrap_or(millis(1000)),
            routers: values.number("routers").unwrap_or(1.0).max(1.0),
            values,
            methods,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            held: BTreeMap::new(),
            due: BTreeSet::new(),
            tokens: BTreeMap::new(),
            swept: now,
            armed: None,
            ask_wait: ASK_AGAIN,
            further: FURTHER_SAVED,
            shares: BTreeMap::new(),
        };
        router.sweep(now);
        router.arm(now);
        router
    }

    /// A need that is not stated is taken as the strictest read, an unknown effect as the strictest effect.
    fn method(values: &ValueMap, place: usize, now: Duration) -> Option<Method> {
        let path = |name: &str| format!("methods.{place}.{name}");
        let soft = values.span(&path("soft_deadline"))?;
        let bound = values.span(&format!("replication.bound.{place}")).unwrap_or_default();
        let need = match values.text(&format!("replication.needs.{place}")) {
            "write" => Need::Write,
            "session" => Need::Session,
            "bounded" => Need::Bounded(bound),
            "any" => Need::Any,
            _ => Need::Fresh,
        };
        let window = values.span(&path("repeat_window")).unwrap_or_default();
        let repeats = match (values.text(&path("effect")), values.text(&path("repeat_group"))) {
            ("idempotent", _) => Repeats::Always,
            ("tokened", "all") => Repeats::Tokened(Scope::All, window),
            ("tokened", "zone") => Repeats::Tokened(Scope::Zone, window),
            ("tokened", _) => Repeats::Tokened(Scope::Group, window),
            _ => Repeats::Never,
        };
        let utility = values.number(&path("utility")).unwrap_or(1.0);
        let late = utility * values.number(&path("late_utility")).unwrap_or(0.0);
        // Until answers tell, an RPC is taken to need a quarter of its soft deadline.
        let guess = soft.as_secs_f64() / 4.0;
        let span = (now + SHORTEST_SPAN, 0.0, 0.0);
        let deadline = values.span(&path("deadline")).unwrap_or(soft);
        let (present, shortest, first_try) = (guess, guess, (Duration::ZERO, 0.0));
        Some(Method { need, repeats, soft, deadline, first_try, utility, late, present, shortest, span })
    }

    pub fn list_changed(&mut self, now: Duration, extent: Extent, list: &[Listed]) {
        self.ask_wait = ASK_AGAIN;
        self.ask_at = self.ask_at.filter(|_| extent == Extent::Remembered);
        // Where only listed drains bind, a node that has dropped out of the list may still be sent to.
        let gone_stays = self.values.flag("rules.only_listed_drains");
        let missing_is_gone = extent != Extent::Changes && !gone_stays;
        for (node, member) in &mut self.members {
            member.stopped |= missing_is_gone && !list.iter().any(|entry| entry.node == *node);
        }
        // A node that is new on a list known before has just started, even if no time is told.
        let new = (!self.members.is_empty() && extent == Extent::Changes).then_some(now);
        for entry in list {
            let member = self.members.entry(entry.node).or_insert_with(|| Member {
                group: entry.group,
                zone: entry.zone,
                kind: entry.kind,
                started: new,
                limit: FIRST_LIMIT / self.routers,
                slow: 1.0,
                pace: 1.0,
                ..Member::default()
            });
            member.stopped = match entry.condition {
                Condition::Healthy => false,
                Condition::Draining => true,
                Condition::Gone => !gone_stays || member.stopped,
            };
            member.started = member.started.max(entry.started);
            let group = self.groups.entry(entry.group).or_default();
            // The list's word on the role is late: it names a primary only where no answer says otherwise.
            if entry.primary && group.primary.is_none() && member.role.is_none_or(|(_, at)| at < group.lost) {
                group.primary = Some((entry.node, Duration::ZERO, false));
            }
        }
        self.sweep(now);
        self.arm(now);
    }

    /// The notice does not say whether a watch stands; asking anew is always allowed and keeps the duty.
    pub fn list_failed(&mut self, now: Duration) {
        let longest = self.ask_every / 4;
        self.ask_at = Some(now + self.ask_wait.min(longest));
        self.ask_wait = (self.ask_wait * 2).min(longest);
    }

    pub fn rpc_arrived(&mut self, now: Duration, rpc: Rpc) {
        let (id, group_id) = (rpc.id, rpc.group);
        let Some(method) = self.methods.get_mut(rpc.method.0) else { return self.host.abort(id) };
        // Guards against serving repeats too late to be of use. Most tries are first ones, and clients wait
        // alike for those; another time left is what remains of the whole deadline.
        let (usual, votes) = method.first_try;
        let first = rpc.remaining.abs_diff(usual) < method.deadline / 50;
        let vote = if first { 1.0 } else { -1.0 };
        method.first_try = if votes == 0.0 { (rpc.remaining, 1.0) } else { (usual, votes + vote) };
        let left = if first || votes <= SURE { method.deadline } else { rpc.remaining };
        let soft = (now + method.soft).saturating_sub(method.deadline.saturating_sub(left));
        let share = if method.need == Need::Write { 0.0 } else { PRIMARY_SHARE };
        let token = match rpc.session {
            Some(session) if self.remembers => {
                let passed = self.groups.get(&group_id).and_then(|group| group.passed);
                self.tokens.get(&(group_id, session)).copied().or(passed)
            }
            _ => rpc.since_write.map(|since| now.saturating_sub(since)),
        };
        let group = self.groups.entry(group_id).or_default();
        group.share = (group.share + share).min(PRIMARY_SAVED);
        // Each tenant's saved-up share of this router's part of its quota, a second's worth at most.
        let quota =
            self.values.number(&format!("tenants.{}.quota", rpc.tenant.0)).unwrap_or(f64::MAX) / self.routers;
        let (saved, at) = self.shares.get(&rpc.tenant).copied().unwrap_or((quota, now));
        let saved = (saved + quota * (now - at).as_secs_f64()).min(quota);
        let over_share = saved < 1.0;
        self.shares.insert(rpc.tenant, (saved - f64::from(u8::from(!over_share)), now));
        let deadline = now + rpc.remaining;
        let held =
            Held { rpc, soft, deadline, arrived: now, token, calls: Vec::new(), waits: false, over_share };
        self.held.insert(id, held);
        self.line_up(now, id);
        self.settle(now, group_id);
    }

    pub fn call_ended(&mut self, now: Duration, end: CallEnd) {
        let held = self.held.get_mut(&end.rpc);
        let call = held.and_then(|held| held.calls.get_mut(end.call.0 as usize));
        let (sent, lost) = call.map_or((now.saturating_sub(end.took), false), |call| {
            call.outcome = Some(end.outcome);
            (call.sent, call.lost)
        });
        self.learn(now, &end, sent, lost);
        if end.finished {
            self.forget(end.rpc);
        } else if self.held.get(&end.rpc).is_some_and(|held| !held.is_out() && !held.waits) {
            self.go_on(now, end.rpc, end.outcome);
        }
        self.settle(now, self.members[&end.node].group);
    }

    pub fn probe_ended(&mut self, now: Duration, node: NodeId, answered: bool, report: Option<Report>) {
        let Some(member) = self.members.get_mut(&node) else { return };
        let group = member.group;
        // A failed probe drops the node until a later one answers (the design's).
        (member.probing, member.probe_ended, member.dropped) = (false, now, !answered);
        if answered {
            (member.missed, member.silent, member.heard) = (0.0, false, Some(now));
        } else {
            self.lose_primary(now, group, node);
            self.call_back(node);
        }
        self.note_report(now, node, report.as_ref());
        self.settle(now, group);
    }

    /// Calls back what a dropped node holds, where a repeat does no harm: the outcome sends it elsewhere.
    fn call_back(&mut self, node: NodeId) {
        let repeats = |held: &Held| self.methods[held.rpc.method.0].repeats == Repeats::Always;
        for (id, held) in self.held.iter().filter(|(_, held)| repeats(held)) {
            for (place, call) in held.calls.iter().enumerate() {
                if call.node == node && call.outcome.is_none() && self.values.flag("allowed.cancel") {
                    self.host.cancel(*id, CallNo(place as u32));
                }
            }
        }
    }

    pub fn client_left(&mut self, now: Duration, rpc: RpcId) {
        self.forget(rpc);
        self.arm(now);
    }

    pub fn timer_fired(&mut self, now: Duration) {
        self.armed = self.armed.filter(|at| *at > now);
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.rpc_due(now, id);
        }
        if self.swept + self.tightest / SWEEPS_PER_BOUND <= now {
            self.sweep(now);
        }
        self.arm(now);
    }

    fn settle(&mut self, now: Duration, group: GroupId) {
        self.dispatch(now, group);
        self.arm(now);
    }

    /// One timer: for the next of the periodic work and of the due times.
    fn arm(&mut self, now: Duration) {
        let sweep = self.swept + self.tightest / SWEEPS_PER_BOUND;
        let next = self.due.first().map_or(sweep, |(at, _)| sweep.min(*at)).max(now);
        if self.armed.is_none_or(|at| at > next) {
            self.armed = Some(next);
            self.host.wake(next - now);
        }
    }

    fn sweep(&mut self, now: Duration) {
        if self.ask_at.is_some_and(|at| at <= now) {
            // Guards against a call that is never answered: asked anew in time for the duty to ask.
            self.ask_at = Some(now + self.ask_every / 2);
            self.host.watch_list();
        }
        let passed = now.saturating_sub(self.swept).as_secs_f64().max(1e-6);
        self.swept = now;
        let mut due: BTreeMap<NodeId, f64> = BTreeMap::new(); // answers a second that should come
        for held in self.held.values_mut() {
            let present = self.methods[held.rpc.method.0].present.max(1e-3);
            for call in held.calls.iter_mut().filter(|call| call.outcome.is_none() && !call.lost) {
                *due.entry(call.node).or_default() += 1.0 / present;
                // Guards against a node that loses some call-outs and answers the rest: the lost would fill
                // its limit until the last time-out, which for a write is seconds.
                let member = self.members.get_mut(&call.node).expect("a member is never removed");
                call.lost = (now - call.sent).as_secs_f64() > LOST * present * member.pace.max(1.0);
                member.in_flight = member.in_flight.saturating_sub(u32::from(call.lost));
            }
        }
        for (node, member) in &mut self.members {
            let new = 1.0 - (-passed / 2.0).exp();
            member.carried += (std::mem::take(&mut member.carried_now) / passed - member.carried) * new;
            while member.cold_sends.front().is_some_and(|(at, _)| *at + self.overload < now) {
                member.cold_sends.pop_front();
            }
            // Guards against a node that hangs, dies or is cut off without a word: when the answers that are
            // due stay away for longer than chance allows, nothing more is sent until it is heard again.
            member.missed += passed * due.get(node).copied().unwrap_or_default() / member.slow.max(1.0);
            member.silent |= member.missed > SILENT;
        }
        // What all members have passed excludes only one that comes back later: the newest stands in for all.
        let (members, groups) = (&self.members, &mut self.groups);
        self.tokens.retain(|(id, _), token| {
            let behind = |m: &Member| m.group == *id && !m.stopped && m.position < Some(*token);
            let keep = members.values().any(behind);
            let group = groups.entry(*id).or_default();
            group.passed = if keep { group.passed } else { group.passed.max(Some(*token)) };
            keep
        });
        self.probe_old(now);
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            self.dispatch(now, group);
        }
    }

    /// Probes entries that are older than half the tightest bound, or whose position soon falls behind it.
    fn probe_old(&mut self, now: Duration) {
        let (half, least) = (self.tightest / 2, self.tightest / SWEEPS_PER_BOUND);
        for (node, member) in &mut self.members {
            let due = match (member.heard, member.position) {
                _ if member.dropped => member.probe_ended + DROPPED_PROBE,
                (Some(heard), _) if member.silent => heard + least,
                (Some(heard), Some(position)) if position + self.tightest > now => {
                    (position + self.tightest - half / 2).clamp(heard + least, heard + half)
                }
                (Some(heard), _) => heard + half,
                (None, _) => now,
            };
            if member.probing || member.stopped || due > now {
                continue;
            }
            if self.values.flag("allowed.probes") {
                member.probing = true;
                self.host.probe(*node);
            } else {
                // Without probes the next call-out is what tries a silent node.
                (member.silent, member.missed) = (false, 0.0);
            }
        }
    }

    /// Takes what an ended call-out tells of its node and of its method.
    fn learn(&mut self, now: Duration, end: &CallEnd, sent: Duration, lost: bool) {
        use Outcome::{Cancelled, ConnectFailed, Error, Full, Miss, NotSent, Ok, Reset, TimedOut};
        let Some(member) = self.members.get_mut(&end.node) else { return };
        let (group, took) = (member.group, end.took.as_secs_f64());
        member.in_flight -= u32::from(!lost && member.in_flight > 0);
        match end.outcome {
            Ok | Error | Full | Miss => (member.missed, member.silent) = (0.0, false),
            // Guards against a dead process or a cut link: a probe decides before more is lost there.
            ConnectFailed | Reset => member.silent = true,
            _ => {}
        }
        let held = self.held.get(&end.rpc);
        if let Some(method) = held.and_then(|held| self.methods.get_mut(held.rpc.method.0)) {
            // Failures tell on a node's health, but nothing of queueing there.
            let queued = matches!(end.outcome, Ok | TimedOut) && !lost;
            let slow = if queued { took / method.shortest } else { FAILED };
            if !matches!(end.outcome, Miss | NotSent | Cancelled) {
                member.answers += 1.0;
                let weight = WEIGHT.max(1.0 / (member.answers + 1.0));
                member.slow += (slow - member.slow) * weight;
                member.pace += if queued { (slow - member.pace) * weight } else { 0.0 };
                let ratio = (TOLERANCE / member.pace.max(0.1)).clamp(0.5, 1.0);
                // Only a limit that is nearly reached has shown that it could be wider.
                let used = f64::from(member.in_flight + 1) > member.limit / 2.0;
                let target = member.limit * ratio + if used { 1.0 / self.routers } else { 0.0 };
                member.limit += (target - member.limit) * WEIGHT;
            }
            if end.outcome == Full {
                // Guards against answering a full node with the next call-out at once, up to the last.
                member.limit /= 2.0;
                member.rests_until = now + HOLD;
            }
            member.limit = member.limit.max((LEAST_LIMIT / self.routers).min(1.0));
            // Guards against many routers with one in flight each: below one, the node rests between two.
            let rest = if lost { 0.0 } else { took * (1.0 / member.limit - 1.0).max(0.0) };
            member.rests_until = member.rests_until.max(now + Duration::from_secs_f64(rest));
            if end.outcome == Ok {
                member.carried_now += method.shortest;
                method.present += (took - method.present) * WEIGHT;
                method.span.1 += took;
                method.span.2 += 1.0;
                if now >= method.span.0 && method.span.2 >= 20.0 {
                    method.shortest = (method.shortest * SHORTEST_FORGETS).min(method.span.1 / method.span.2);
                    method.span = (now + SHORTEST_SPAN, 0.0, 0.0);
                }
            }
        }
        // A primary's position dates its answer, or else the send does; a replica's counts from when it came.
        match end.role {
            Some(Role::Replica) => self.note_role(now, end.node, Role::Replica, now, true),
            Some(role) => self.note_role(now, end.node, role, end.position.unwrap_or(sent), true),
            None => {}
        }
        if let Some(position) = end.position {
            // A commit is rounded up, all else down.
            self.note_position(now, end.node, position.saturating_sub(millis(1)));
            let held = self.held.get(&end.rpc).filter(|_| end.outcome == Ok && self.remembers);
            if let Some(session) = held.and_then(|held| held.rpc.session)
                && held.is_some_and(|held| self.methods[held.rpc.method.0].need == Need::Write)
            {
                let token = self.tokens.entry((group, session)).or_default();
                *token = position.max(*token);
            }
        }
        self.note_report(now, end.node, end.report.as_ref());
        if matches!(end.outcome, ConnectFailed | Reset) {
            self.probe_old(now);
        }
    }

    /// A report is old: the position in it is the least age that its word on the role can have.
    fn note_report(&mut self, now: Duration, node: NodeId, report: Option<&Report>) {
        let Some((report, position)) = report.and_then(|report| Some((report, report.position?))) else {
            return;
        };
        self.note_position(now, node, position);
        if let Some(primary) = report.primary {
            let role = if primary { Role::Primary } else { Role::Replica };
            self.note_role(now, node, role, position, false);
        }
    }

    fn note_position(&mut self, now: Duration, node: NodeId, position: Duration) {
        let Some(member) = self.members.get_mut(&node) else { return };
        (member.position, member.heard) = (member.position.max(Some(position.min(now))), Some(now));
    }

    /// The newest evidence of a role wins; `proven` is what an answer itself says, and not a report.
    fn note_role(&mut self, now: Duration, node: NodeId, role: Role, at: Duration, proven: bool) {
        let Some(member) = self.members.get_mut(&node) else { return };
        // On a tie a replica's word wins, as the one that does no harm.
        if member.role.is_some_and(|(as_role, known)| known > at || (known == at && as_role == Role::Replica))
        {
            return;
        }
        member.role = Some((role, at));
        let id = member.group;
        let group = self.groups.entry(id).or_default();
        match (role, group.primary) {
            (Role::Primary, Some((known, since, was))) if known == node => {
                group.primary = Some((node, since.max(at), was || proven));
            }
            (Role::Primary, Some((_, since, _))) if since > at => {}
            (Role::Primary, _) if at + NO_BOUND > now => group.primary = Some((node, at, proven)),
            (Role::Replica, Some((_, since, _))) if at >= since => self.lose_primary(now, id, node),
            _ => {}
        }
    }

    fn lose_primary(&mut self, now: Duration, group: GroupId, node: NodeId) {
        let group = self.groups.entry(group).or_default();
        if group.primary.is_some_and(|(known, _, _)| known == node) {
            (group.primary, group.lost) = (None, now);
        }
    }

    /// After a call-out that did not finish its RPC: a further one, or the end.
    fn go_on(&mut self, now: Duration, id: RpcId, outcome: Outcome) {
        let held = &self.held[&id];
        let never = self.methods[held.rpc.method.0].repeats == Repeats::Never;
        let ran = held.may_have_run().next().is_some();
        // Guards against retries that feed an overload: past the budget the client decides.
        let costs = if outcome.never_ran() { 0.0 } else { 1.0 };
        if held.calls.len() >= self.call_outs || (ran && never) || self.further < costs {
            return self.finish(id, Duration::ZERO);
        }
        self.further -= costs;
        self.line_up(now, id);
    }

    /// When an answer stops being of use, or the client stops waiting.
    fn ends(&self, held: &Held) -> Duration {
        let last = held.deadline.saturating_sub(2 * self.tick);
        if self.methods[held.rpc.method.0].late > 0.0 { last } else { last.min(held.soft) }
    }

    /// The last moment at which sending the RPC is still of use.
    fn last_use(&self, held: &Held) -> Duration {
        let needed = Duration::from_secs_f64(self.methods[held.rpc.method.0].present * TIME_NEEDED);
        // Guards against a method that is never sent again, so that its answer time is never seen to fall.
        let end = self.ends(held);
        end - needed.min(end.saturating_sub(held.arrived) / 2)
    }

    fn line_up(&mut self, now: Duration, id: RpcId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.waits = true;
        let lines = &mut self.groups.entry(held.rpc.group).or_default().lines;
        lines.entry(held.line()).or_default().insert((held.soft, id));
        let held = &self.held[&id];
        self.due.insert((self.last_use(held).min(held.arrived + HOLD).max(now), id));
    }

    fn leave_line(&mut self, id: RpcId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.waits = false;
        let lines = self.groups.get_mut(&held.rpc.group).map(|group| &mut group.lines);
        if let Some(line) = lines.and_then(|lines| lines.get_mut(&held.line())) {
            line.remove(&(held.soft, id));
        }
    }

    fn rpc_due(&mut self, now: Duration, id: RpcId) {
        let Some(held) = self.held.get(&id) else { return };
        let ends_by = held.deadline.saturating_sub(self.tick);
        let next = if held.waits { self.last_use(held).min(ends_by) } else { ends_by };
        if now >= next {
            return self.finish(id, self.values.span("allowed.longest_retry_after").unwrap_or_default());
        }
        self.due.insert((next, id));
        let group = held.rpc.group;
        self.dispatch(now, group);
    }

    /// The one place for the module's own final answers. Rule 2: a push-back only where a repeat is harmless.
    fn finish(&mut self, id: RpcId, retry_after: Duration) {
        let Some(held) = self.held.get(&id) else { return };
        let repeats = self.methods[held.rpc.method.0].repeats;
        let harmless = matches!(repeats, Repeats::Always | Repeats::Tokened(Scope::All, _))
            || held.may_have_run().next().is_none();
        self.forget(id);
        match harmless {
            true => self.host.push_back(id, retry_after),
            false => self.host.abort(id),
        }
    }

    fn forget(&mut self, id: RpcId) {
        self.leave_line(id);
        let Some(held) = self.held.remove(&id) else { return };
        // What is still out ends later without its RPC, and is then taken off once more.
        for call in held.calls.iter().filter(|call| call.lost && call.outcome.is_none()) {
            self.members.get_mut(&call.node).expect("a member is never removed").in_flight += 1;
        }
    }

    /// Sends what waits: first call-outs before further ones, best utility for the work first, and among
    /// equals the one with most time left: in overload the oldest would be served when of no use.
    fn dispatch(&mut self, now: Duration, group: GroupId) {
        for further in [false, true] {
            let mut blocked = BTreeSet::new();
            loop {
                let Some(lines) = self.groups.get(&group).map(|group| &group.lines) else { return };
                let heads = lines.range((further, MethodId(0))..=(further, MethodId(usize::MAX)));
                let heads = heads.filter(|((_, method), _)| !blocked.contains(method));
                let heads = heads.filter_map(|((_, method), line)| Some((*method, *line.last()?)));
                let best = heads.max_by_key(|(method, (soft, id))| (self.rank(*method), *soft, *id));
                let Some((method, (_, id))) = best else { break };
                match self.pick(now, id) {
                    Pick::Node(node) => self.send(now, id, node),
                    Pick::Refuse => self.finish(id, HOLD),
                    Pick::Wait => _ = blocked.insert(method),
                }
            }
        }
    }

    /// Utility for the work, in steps of two: methods of about equal worth go by time left.
    fn rank(&self, method: MethodId) -> i32 {
        let method = &self.methods[method.0];
        (method.utility / method.shortest.max(1e-4)).log2().round() as i32
    }

    fn pick(&mut self, now: Duration, id: RpcId) -> Pick {
        let held = &self.held[&id];
        let group = &self.groups[&held.rpc.group];
        let primary = group.primary.map(|(node, _, _)| node);
        if matches!(self.methods[held.rpc.method.0].need, Need::Write | Need::Fresh) {
            return self.pick_primary(now, id, primary);
        }
        let (mut passing, mut nearest, mut total, mut room) = (false, None, 0.0, Vec::new());
        for (node, member) in self.members.iter().filter(|(_, member)| member.group == held.rpc.group) {
            if Some(*node) == primary || !member.open() || held.tried(*node) {
                continue;
            }
            // Where the node would be if it has kept pace since it was heard.
            let pace = member.position.unwrap_or_default() + (now - member.heard.unwrap_or(now));
            if !self.is_current(now, held, *node) {
                // Guards against a flood of misses while all lag: tried only if merely its entry has aged.
                let would_pass = pace >= self.needed_position(now, held);
                nearest = nearest.max(would_pass.then_some((pace, *node)));
                continue;
            }
            passing = true;
            // Guards against reads that crowd out the log's thread: limits shrink towards the bound.
            let behind = (now.saturating_sub(pace)).div_duration_f64(self.tightest);
            let ease = if (0.0..1.0).contains(&behind) { 1.0 - behind } else { 1.0 };
            let weight = self.room(now, member, ease);
            if weight > 0.0 && self.gate(now, id, *node) {
                total += weight;
                room.push((*node, total));
            }
        }
        if let Some((last, _)) = room.last() {
            // Guards against long reads that keep replicas from applying the log: one that takes much of the
            // bound goes to the last member in sorted order, alike at all routers, and the rest keep up.
            let method = &self.methods[held.rpc.method.0];
            if method.need == Need::Any && 2.0 * method.shortest > self.tightest.as_secs_f64() {
                return Pick::Node(*last);
            }
            let at = self.chance.random_range(0.0..total);
            return Pick::Node(room.iter().find(|(_, upto)| at < *upto).map_or(*last, |(node, _)| *node));
        }
        let fit = |member: &Member| member.open() && member.has_room(now);
        let may = |node: &NodeId| group.share >= 1.0 && fit(&self.members[node]) && self.gate(now, id, *node);
        if let Some(node) = primary.filter(may) {
            return Pick::Node(node);
        }
        if passing || now < held.arrived + HOLD {
            return Pick::Wait;
        }
        match nearest.filter(|_| self.values.text("replication.read_check") != "none") {
            Some((_, node)) if self.gate(now, id, node) => Pick::Node(node),
            _ => Pick::Refuse,
        }
    }

    /// Writes and fresh reads: the primary, or the search for one in sorted order (the design's).
    fn pick_primary(&self, now: Duration, id: RpcId, primary: Option<NodeId>) -> Pick {
        let held = &self.held[&id];
        let may = |node: &NodeId| {
            let member = &self.members[node];
            member.open() && member.has_room(now) && self.gate(now, id, *node)
        };
        if let Some(node) = primary {
            return if may(&node) { Pick::Node(node) } else { Pick::Wait };
        }
        let misses = held.calls.iter().filter(|call| call.outcome == Some(Outcome::Miss)).count();
        if misses * 2 >= self.call_outs {
            return Pick::Wait;
        }
        let lost = self.groups[&held.rpc.group].lost;
        let next = self.members.iter().find(|(node, member)| {
            let answered = member.role.is_some_and(|(_, at)| at >= lost && lost > Duration::ZERO);
            !answered && !held.tried(**node) && member.group == held.rpc.group && may(node)
        });
        next.map_or(Pick::Wait, |(node, _)| Pick::Node(*node))
    }

    /// Free room at a node, as a weight for the pick.
    fn room(&self, now: Duration, member: &Member, ease: f64) -> f64 {
        let free = member.limit * ease - f64::from(member.in_flight);
        if !member.has_room(now) || free <= 0.0 {
            return 0.0;
        }
        // Guards against nodes that crawl or fail fast. When most look bad the cause is shared, so slowness
        // is held against the group's median.
        if member.slow > CRAWLS * self.median_slow(member.group) {
            return if member.in_flight == 0 && member.last_send + TRICKLE <= now { 0.1 } else { 0.0 };
        }
        free * self.warmth(now, member)
    }

    fn median_slow(&self, group: GroupId) -> f64 {
        let live = self.members.values().filter(|m| m.group == group && m.open());
        let mut slow: Vec<f64> = live.map(|member| member.slow).collect();
        slow.sort_by(f64::total_cmp);
        slow.get(slow.len() / 2).copied().unwrap_or(1.0).max(1.0)
    }

    /// The part of its capacity that a node is known to have by now.
    fn warmth(&self, now: Duration, member: &Member) -> f64 {
        let from = self.values.number("rules.cold_from").unwrap_or(1.0);
        let time = self.values.span("rules.cold_time").unwrap_or_default();
        let age = member.started.map_or(time, |at| now.saturating_sub(at)).min(time);
        let part = if age == time { 1.0 } else { age.div_duration_f64(time) };
        from + (1.0 - from) * part
    }

    /// Whether rule 5 lets this node answer this read: by a position that was told, or by being the primary.
    fn is_current(&self, now: Duration, held: &Held, node: NodeId) -> bool {
        let primary = self.groups[&held.rpc.group].primary;
        primary.is_some_and(|(primary, _, proven)| primary == node && proven)
            || self.members[&node].position.unwrap_or_default() >= self.needed_position(now, held)
    }

    fn needed_position(&self, now: Duration, held: &Held) -> Duration {
        match self.methods[held.rpc.method.0].need {
            Need::Any | Need::Write => Duration::ZERO,
            Need::Fresh => held.arrived,
            Need::Session => held.token.unwrap_or_default(),
            Need::Bounded(bound) => now.saturating_sub(bound),
        }
    }

    /// The one gate: every call-out passes here, and each of the five rules is kept here.
    fn gate(&self, now: Duration, id: RpcId, node: NodeId) -> bool {
        // Rule 1: only what is held, so not yet answered, and only in time.
        let (Some(held), Some(member)) = (self.held.get(&id), self.members.get(&node)) else { return false };
        if member.group != held.rpc.group || held.calls.len() >= self.call_outs || now >= self.ends(held) {
            return false;
        }
        // Rule 2: what may have run is repeated only as its method allows.
        let method = &self.methods[held.rpc.method.0];
        let drops = |scope, earlier: &Member| match scope {
            Scope::All => true,
            Scope::Zone => earlier.zone == member.zone,
            Scope::Group => earlier.group == member.group,
        };
        let may_repeat = |call: &Call| match method.repeats {
            Repeats::Always => true,
            Repeats::Tokened(scope, window) => {
                now < call.sent + window && self.members.get(&call.node).is_some_and(|m| drops(scope, m))
            }
            Repeats::Never => false,
        };
        let repeat = (!held.is_out() || self.values.flag("allowed.second_copies"))
            && held.may_have_run().all(may_repeat);
        // Rule 3: nothing to a node once it is told to drain; the grace is for what is out already.
        // Rule 4: the cold budget. Rule 5: proof of freshness, unless nodes check for themselves.
        let fresh = self.values.text("replication.read_check") != "none" || self.is_current(now, held, node);
        repeat && !member.stopped && fresh && self.is_within_cold_budget(now, member, method.shortest)
    }

    /// What the busiest warm node of the kind is seen to carry for this router, times the part of it that the
    /// cold node has by now, times most of the permitted multiple. Each router keeps to its part of the sum.
    fn is_within_cold_budget(&self, now: Duration, member: &Member, work: f64) -> bool {
        let warmth = self.warmth(now, member);
        if warmth >= 1.0 {
            return true;
        }
        let span = self.overload;
        let like = |m: &&Member| m.open() && m.kind == member.kind && self.warmth(now, m) >= 1.0;
        let warm = self.members.values().filter(like).map(|m| m.carried).fold(0.0, f64::max);
        let multiple = self.values.number("rules.fall_multiple").unwrap_or(1.0) * COLD_MARGIN;
        let budget = warm * warmth * multiple * span.as_secs_f64();
        let sends = member.cold_sends.iter().filter(|(at, _)| *at + span > now);
        sends.map(|(_, work)| work).sum::<f64>() + work <= budget
            || (member.in_flight == 0 && member.last_send + span / COLD_FLOOR <= now)
    }

    fn send(&mut self, now: Duration, id: RpcId, node: NodeId) {
        self.leave_line(id);
        if !self.gate(now, id, node) {
            return self.finish(id, Duration::ZERO);
        }
        let time_out = self.ends(&self.held[&id]).saturating_sub(now).max(millis(1));
        let (Some(held), Some(member)) = (self.held.get_mut(&id), self.members.get_mut(&node)) else {
            return;
        };
        let method = &self.methods[held.rpc.method.0];
        if held.calls.is_empty() {
            self.further = (self.further + FURTHER_SHARE).min(FURTHER_SAVED);
        }
        member.in_flight += 1;
        member.last_send = now;
        member.cold_sends.push_back((now, method.shortest));
        held.calls.push(Call { node, sent: now, outcome: None, lost: false });
        self.due.insert((held.deadline.saturating_sub(self.tick), id));
        let group = self.groups.entry(member.group).or_default();
        if method.need != Need::Write && group.primary.is_some_and(|(primary, _, _)| primary == node) {
            group.share -= 1.0;
        }
        self.host.call_out(id, node, time_out);
    }
}
