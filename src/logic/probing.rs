//! Probing: when a node is asked how it is without an RPC, and what its answer, or none, says of it.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::{CALM, FIRST_PROBES, MOST_FAILED, NO_ROOM, PROBE_WORK, PROBES_FAIL, Router, SQUEEZED};
use crate::host::{Host, LoadReport, NodeId, Outcome};
use crate::state::Member;

impl<H: Host> Router<H> {
    pub fn health_check_ended(
        &mut self,
        now: Duration,
        node: NodeId,
        end: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(member) = self.members.get_mut(&node) else { return };
        let group = member.group;
        if end == Outcome::Cancelled {
            // Left to another router, whose word will come.
            (member.probing, self.probes) = (false, self.probes + 1.0);
            return;
        }
        // A failed probe drops the node until a later one answers (the design's); an error is an answer too.
        let answered = matches!(end, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        // Guards against a link that loses some of all: what fails at once is tried again before it counts.
        let again = !answered && end != Outcome::TimedOut && member.failed_probes + 1 < PROBES_FAIL;
        (member.probing, member.probe_ended, member.shut) =
            (false, now, !answered && (member.shut || !again));
        if answered {
            (member.missed, member.failed_probes, member.heard) = (0.0, 0, Some(now));
            // Guards against a shortage: a node that is up and refuses has no connection left. All go back.
            if member.refused > 0 {
                self.squeezed = now + SQUEEZED;
                self.members.keys().for_each(|node| self.host.close_idle(*node));
            }
        } else {
            // What refused is down, and not short of connections.
            (member.failed_probes, member.refused) = ((member.failed_probes + 1).min(MOST_FAILED), 0);
            if again { self.probe(node) } else { self.lose_primary(now, group, node) }
        }
        self.note_report(now, node, report.as_ref());
        self.settle(now, group);
    }

    /// A probe in turn is made, whatever this router itself has need of. False while one is out there.
    pub fn begin_assigned_health_check(&mut self, node: NodeId) -> bool {
        let Some(member) = self.members.get_mut(&node).filter(|member| !member.probing) else { return false };
        member.probing = true;
        member.credit -= PROBE_WORK * self.methods.iter().map(|method| method.shortest).fold(0.0, f64::max);
        true
    }

    /// The one place that probes: one at a time at a node, and no more than RPCs have earned.
    pub(super) fn probe(&mut self, node: NodeId) {
        let Some(member) = self.members.get_mut(&node) else { return };
        if !self.values.flag("allowed.health_checks") {
            // Without probes the next attempt is what tries a silent node.
            (member.shut, member.missed) = (false, 0.0);
        } else if !member.probing && self.probes >= 1.0 {
            self.probes -= 1.0;
            member.probing = true;
            self.host.probe(node);
        }
    }

    /// Entries older than half the tightest bound are probed, but only for a read that finds no fresh one, as
    /// with many routers most would age unread: one after the other, or all where nobody has been heard yet.
    pub(super) fn probe_for(&mut self, now: Duration, mut nodes: Vec<NodeId>) {
        let due = |member: &Member| member.heard.unwrap_or_default() + self.tightest / 2 <= now;
        nodes.retain(|node| self.members[node].is_open() && due(&self.members[node]));
        let probing = nodes.iter().any(|node| self.members[node].probing);
        let unheard = nodes.iter().all(|node| self.members[node].heard.is_none());
        let all = (FIRST_PROBES * nodes.len() as f64 / self.routers).ceil() as usize;
        let few = if unheard { all } else { usize::from(!probing) };
        let asked: Vec<NodeId> = nodes.sample(&mut self.chance, few).copied().collect();
        asked.into_iter().for_each(|node| self.probe(node));
    }

    /// Guards against sending blindly where only probes tell what nodes hold, and that is much.
    pub(super) fn asks_first(&self, now: Duration, member: &Member) -> bool {
        let full = member.said.is_some_and(|(_, said)| said.active == NO_ROOM);
        self.probes_only && (full || self.fullness > CALM) && self.said(now, member).is_none()
    }
}
