//! Freshness: which member of a group may answer a read, by the positions in the log that are known of it, and which one
//! is the primary.
//!
//! A position is a time up to which a node has applied every commit; it never goes back. A word of another router lets a
//! read try a node, but only the node's own answer proves that it is fresh enough.

use std::time::Duration;

use super::{HEARD, HOLD, MOST_FULL, NO_BOUND, NO_ROOM, Router, WEIGHT, millis};
use crate::host::{AttemptNumber, Host, LoadReport, NodeId, PeerObservation, ReplicaSetId, Role, Rpc, RpcId};
use crate::state::{Held, Need};

impl<H: Host> Router<H> {
    /// What another router has found out. Its word lets a read try a node, whose own answer then decides; it
    /// names a primary only where none is proven of late, and shuts a node that several do not reach.
    pub fn peer_observed(&mut self, now: Duration, word: PeerObservation) {
        let Some(member) = self.members.get_mut(&word.node) else { return };
        let (group, newer) = (member.group, member.heard < Some(word.at));
        if word.failed {
            member.shut |= newer;
            _ = newer.then(|| self.lose_primary(now, group, word.node));
            return;
        }
        member.told = member.told.max(word.position.filter(|at| *at <= now));
        member.heard = member.heard.max(Some(word.at.min(now)));
        let said = |waiting| (now, LoadReport { waiting: Some(waiting), ..LoadReport::default() });
        member.said = word.waiting.filter(|_| newer).map(said).or(member.said);
        if word.started > member.started && word.started <= Some(now) {
            Self::start(member, &self.methods, &mut self.chance, word.started);
            self.sweep(now); // it is cold from now on, and not from the next sweep
        }
        let known = self.groups.get(&group).and_then(|group| group.primary);
        let lately = |(_, since, proven): (_, Duration, bool)| proven && since + NO_BOUND > word.at;
        if word.primary == Some(true) && !known.is_some_and(lately) {
            self.note_role(now, word.node, Role::Primary, word.at, false);
        }
        self.settle(now, group);
    }

    /// Asked before an ok goes to its client: not if it shows itself stale, or on peers' word alone.
    pub fn permits_response(
        &self,
        now: Duration,
        id: RpcId,
        call: AttemptNumber,
        position: Option<Duration>,
    ) -> bool {
        let needs = self.held.get(&id).and_then(|held| held.calls.get(call.0 as usize)?.needs);
        let (needs, proven) = needs.unwrap_or((Duration::ZERO, true));
        position.filter(|at| *at <= now + HOLD).map_or(proven, |at| at >= needs)
    }

    /// The position that the answer must not fall short of, and whether the node has proven as much before.
    pub(super) fn needs(&self, now: Duration, held: &Held, node: NodeId) -> Option<(Duration, bool)> {
        (!self.checked).then(|| (self.needed_position(now, held), self.is_proven(now, held, node)))
    }

    /// Whether rule 5 lets this node answer this read: by proof, or on peers' word (`permits_response`).
    pub(super) fn is_current(&self, now: Duration, held: &Held, node: NodeId) -> bool {
        let told = self.members[&node].told;
        self.is_proven(now, held, node) || told.is_some_and(|told| told >= self.needed_position(now, held))
    }

    /// By a position that the node itself told, or by being the primary.
    pub(super) fn is_proven(&self, now: Duration, held: &Held, node: NodeId) -> bool {
        let primary = self.groups[&held.rpc.group].primary;
        primary.is_some_and(|(primary, _, proven)| primary == node && proven)
            || self.members[&node].position.unwrap_or_default() >= self.needed_position(now, held)
    }

    pub(super) fn needed_position(&self, now: Duration, held: &Held) -> Duration {
        match self.methods[held.rpc.method.0].need {
            Need::Any | Need::Write => Duration::ZERO,
            Need::Fresh => held.arrived,
            Need::Session => held.token.max(self.written(now, &held.rpc)).unwrap_or_default(),
            Need::Bounded(bound) => now.saturating_sub(bound),
        }
    }

    /// What a session has written through here. A write whose answer stays away may be committed, and its
    /// answer have gone astray.
    pub(super) fn written(&self, now: Duration, rpc: &Rpc) -> Option<Duration> {
        let session = rpc.session.filter(|_| self.remembers);
        let group = self.groups.get(&rpc.group)?;
        let mut outs = group.members.iter().flat_map(|node| &self.members[node].out);
        let astray = outs.any(|out| out.writes == session && out.sent + HEARD <= now);
        let token = self.tokens.get(&(rpc.group, session?)).copied().or(group.passed);
        token.max(astray.then(|| now - HEARD))
    }

    /// A report is old: the position in it is the least age that its word on the role can have.
    pub(super) fn note_report(&mut self, now: Duration, node: NodeId, report: Option<&LoadReport>) {
        let (Some(report), Some(member)) = (report, self.members.get_mut(&node)) else { return };
        // Where a node does not say what it holds, that RPCs wait there says that it has no room.
        let queued = NO_ROOM.filter(|_| report.waiting.is_some_and(|waiting| waiting >= 0.5));
        member.said = Some((now, LoadReport { active: report.active.or(queued), ..*report }));
        if let Some(active) = report.active.filter(|_| self.probes_only) {
            let part = (active.max(0.0) / (member.limit * self.routers)).sqrt().min(MOST_FULL);
            self.fullness += (part - self.fullness) * WEIGHT;
        }
        let Some(position) = report.position.filter(|at| *at <= now + HOLD) else { return };
        self.note_position(now, node, position);
        if let Some(primary) = report.primary {
            let role = if primary { Role::Primary } else { Role::Replica };
            self.note_role(now, node, role, position, false);
        }
    }

    pub(super) fn note_position(&mut self, now: Duration, node: NodeId, position: Duration) {
        let Some(member) = self.members.get_mut(&node) else { return };
        (member.position, member.heard) = (member.position.max(Some(position.min(now))), Some(now));
        // A log only grows: a peer's word above what the node itself says now was no word of this node.
        member.told = member.told.filter(|told| *told <= position + millis(2));
    }

    /// The newest evidence of a role wins; `proven` is what an answer itself says, and not a report.
    pub(super) fn note_role(&mut self, now: Duration, node: NodeId, role: Role, at: Duration, proven: bool) {
        let Some(member) = self.members.get_mut(&node) else { return };
        // On a tie a replica's word wins, as the one that does no harm.
        if member.role.is_some_and(|(was, known)| known > at || (known == at && was == Role::Replica)) {
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

    pub(super) fn lose_primary(&mut self, now: Duration, group: ReplicaSetId, node: NodeId) {
        let group = self.groups.entry(group).or_default();
        if group.primary.is_some_and(|(known, _, _)| known == node) {
            (group.primary, group.lost) = (None, now);
        }
    }
}
