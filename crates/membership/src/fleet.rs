//! A router as a member of its fleet: the state machine, with one method for each kind of input.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet_params::{Budgets, FleetParams};
use crate::host::{Event, Host, TimestampedObservation};
use crate::ids::{PeerName, TaskId, TaskTarget};
use crate::membership::{Membership, ObservationSnapshot};
use crate::message::{GossipBody, GossipMessage, MemberRecord, MemberState, Observation};
use crate::observation_store::{Assessment, ObservationStore};
use crate::rendezvous::Candidate;
use crate::sharded_tasks::{ShardedTasks, TaskCounts};

/// The interval at which [`Fleet::timer_fired`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum interval at which observations are sent.
const FLUSH_INTERVAL: Duration = TICK_INTERVAL;
/// With many peers observations are sent at this interval times the number of peers, so that a router sends
/// about a thousand messages per second.
const FLUSH_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// The maximum number of snapshot messages that are sent to one peer per tick: more would overflow its
/// receive buffer.
const SNAPSHOT_MESSAGES_PER_TICK: usize = 8;

/// The assignment of tasks, as reported by [`Event::TasksAssigned`].
#[derive(Clone, Copy, PartialEq, Eq)]
struct Assignment {
    counts: TaskCounts,
    routers: usize,
}

/// A router's view of its fleet, its tasks, and the observations that it shares.
pub struct Fleet<H: Host> {
    host: H,
    members: Membership,
    tasks: ShardedTasks,
    observations: ObservationStore,
    params: FleetParams,
    /// The batches of the snapshots that are still to be sent to peers that have joined, in reverse order.
    snapshots: BTreeMap<PeerName, Vec<Vec<Observation>>>,
    next_flush: Duration,
    last_assignment: Assignment,
    /// Whether the nodes have changed since the tasks were last counted.
    have_nodes_changed: bool,
}

impl<H: Host> Fleet<H> {
    /// Creates a router that joins its fleet. `own_record` has its name, incarnation and address; `seeds` are
    /// addresses of possible other members.
    pub fn new(
        host: H,
        own_record: MemberRecord,
        seeds: Vec<SocketAddr>,
        params: FleetParams,
        rng_seed: u64,
        now: Duration,
    ) -> Self {
        let own_name = own_record.name.clone();
        let mut fleet = Self {
            host,
            members: Membership::new(own_record, seeds, rng_seed, now),
            tasks: ShardedTasks::new(own_name.clone(), params.work_rate, params.work_burst, now),
            observations: ObservationStore::new(own_name, params.gossip_bytes_per_second, now),
            params,
            snapshots: BTreeMap::new(),
            next_flush: now,
            last_assignment: Assignment { counts: TaskCounts { owned: 0, total: 0 }, routers: 0 },
            have_nodes_changed: true,
        };
        fleet.host.set_timer(Duration::ZERO);
        fleet
    }

    /// Handles a message, which the caller has checked to be authentic and not a replay.
    pub fn message_arrived(&mut self, now: Duration, message: GossipMessage) {
        self.members.rejoin_after_pause(now, &mut self.host);
        let snapshot = self.members.message_arrived(now, &message, &mut self.host);
        if snapshot == ObservationSnapshot::Due {
            let snapshot = self.observations.snapshot(now);
            self.snapshots.insert(message.from.name.clone(), snapshot);
        }
        if let GossipBody::Observations(observations) = message.body
            && self.members.is_current(&message.from)
        {
            for observation in observations {
                self.peer_observation_received(now, &message.from.name, observation);
            }
        }
    }

    fn peer_observation_received(&mut self, now: Duration, peer: &PeerName, observation: Observation) {
        let task = self.health_check_task(observation.node);
        let observed_at = now.saturating_sub(observation.age);
        match self.observations.record_from_peer(now, peer, observation) {
            Assessment::Accepted(timestamped) => {
                self.tasks.record_run(task, observed_at);
                self.host.observation_received(timestamped);
            }
            Assessment::Unconfirmed => {
                self.tasks.record_run(task, observed_at);
                self.tasks.expedite(now, task);
            }
            Assessment::Rejected => {}
        }
    }

    /// Does the periodic work, and requests the next call by [`Host::set_timer`].
    pub fn timer_fired(&mut self, now: Duration) {
        if self.members.rejoin_after_pause(now, &mut self.host) {
            self.snapshots.clear();
        }
        self.members.tick(now, &mut self.host);
        self.assign_tasks(now);
        while let Some(task) = self.tasks.start_next(now) {
            self.host.run_task(task);
        }
        if now >= self.next_flush {
            self.flush_observations(now);
        }
        self.send_snapshots();
        self.host.set_timer(TICK_INTERVAL);
    }

    /// Sets the nodes of the endpoint list, with the indexes of their zones.
    pub fn nodes_changed(&mut self, now: Duration, nodes: &BTreeMap<SocketAddr, u16>) {
        let addresses: BTreeSet<SocketAddr> = nodes.keys().copied().collect();
        self.observations.nodes_changed(&addresses);
        let targets = nodes.iter().map(|(node, zone)| (TaskTarget::Node(*node), *zone)).collect();
        self.tasks.targets_changed(now, self.params.health_check, &targets);
        let Budgets { work_rate, work_burst, gossip_bytes_per_second } = self.params.budgets(nodes.len());
        self.tasks.set_budget(work_rate, work_burst);
        self.observations.set_budget(gossip_bytes_per_second);
        self.have_nodes_changed = true;
    }

    /// Replaces the seeds after a change of the configuration.
    pub fn seeds_changed(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        self.members.seeds_changed(now, seeds);
    }

    /// Records this router's own observation of a node, made by a health check or an attempt that it sent at
    /// `sent_at`.
    pub fn record_own_observation(&mut self, now: Duration, sent_at: Duration, observation: Observation) {
        let (node, failed) = (observation.node, observation.failed);
        if let Some(peer) = self.observations.record_own(now, sent_at, observation) {
            self.host.report_event(Event::PeerContradicted { peer, node });
        }
        if !failed {
            // Any response of the node shows as much as a health check, which is therefore not needed now.
            self.tasks.record_run(self.health_check_task(node), now);
        }
    }

    /// Whether this router may check a node now, ahead of its schedule. If so, the check is recorded as
    /// started. `needs_own_check` is set if a check by another router would not help.
    pub fn claim_health_check(&mut self, now: Duration, node: SocketAddr, needs_own_check: bool) -> bool {
        let task = self.health_check_task(node);
        self.tasks.claim(now, task, needs_own_check)
    }

    /// The latest observation of a node by a peer, unless it is too old.
    pub fn latest_observation(&self, now: Duration, node: SocketAddr) -> Option<TimestampedObservation> {
        self.observations.latest_from_peers(now, node)
    }

    /// Records the end of a task that was started by [`Host::run_task`].
    pub fn task_ended(&mut self, now: Duration, task: TaskId) {
        self.tasks.run_ended(now, task);
    }

    /// Sends the remaining observations and announces that this router leaves the fleet. It runs no more
    /// tasks.
    pub fn leave(&mut self, now: Duration) {
        if self.members.own_record().state == MemberState::Left {
            return;
        }
        self.flush_observations(now);
        self.members.leave(&mut self.host);
        self.tasks.candidates_changed(now, Vec::new());
    }

    /// This router's view of the members.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// The tasks that are divided among the members.
    pub fn tasks(&self) -> &ShardedTasks {
        &self.tasks
    }

    /// The memory used by the tables of routers, nodes and tasks in bytes, computed from the count and size
    /// of their entries, without the overhead of the allocator.
    pub fn state_bytes(&self) -> usize {
        self.members.state_bytes() + self.tasks.state_bytes() + self.observations.state_bytes()
    }

    /// The task that checks the health of this node.
    pub fn health_check_task(&self, node: SocketAddr) -> TaskId {
        TaskId { kind: self.params.health_check.kind, target: TaskTarget::Node(node) }
    }

    /// Divides the tasks among the routers that can own tasks now, and reports changes of the assignment.
    fn assign_tasks(&mut self, now: Duration) {
        let candidates = self.candidates();
        let routers = candidates.len();
        let have_candidates_changed = self.tasks.candidates_changed(now, candidates);
        let have_nodes_changed = std::mem::take(&mut self.have_nodes_changed);
        // There may be thousands of tasks, so they are not counted on every tick.
        if !have_candidates_changed && !have_nodes_changed {
            return;
        }
        let assignment = Assignment { counts: self.tasks.counts(), routers };
        if self.last_assignment != assignment {
            self.last_assignment = assignment;
            let TaskCounts { owned, total } = assignment.counts;
            self.host.report_event(Event::TasksAssigned { owned, total, routers });
        }
    }

    /// The routers that can own tasks. Empty while this router cannot own tasks itself.
    fn candidates(&self) -> Vec<Candidate> {
        if !self.members.may_own_tasks() {
            return Vec::new();
        }
        let peers = self.members.peers();
        let candidate_peers =
            peers.filter(|record| matches!(record.state, MemberState::Up | MemberState::Suspect));
        candidate_peers.chain([self.members.own_record()]).map(candidate).collect()
    }

    fn flush_observations(&mut self, now: Duration) {
        let peers: Vec<PeerName> = self.members.active_peers().map(|record| record.name.clone()).collect();
        self.next_flush = now + FLUSH_INTERVAL.max(FLUSH_INTERVAL_PER_PEER * peers.len() as u32);
        for batch in self.observations.take_outgoing(now, peers.len()) {
            for peer in &peers {
                self.members.send_to(peer, GossipBody::Observations(batch.clone()), &mut self.host);
            }
        }
    }

    fn send_snapshots(&mut self) {
        let Self { snapshots, members, host, .. } = self;
        snapshots.retain(|peer, batches| {
            for _ in 0..SNAPSHOT_MESSAGES_PER_TICK {
                let Some(batch) = batches.pop() else { break };
                members.send_to(peer, GossipBody::Observations(batch), host);
            }
            !batches.is_empty()
        });
    }
}

fn candidate(record: &MemberRecord) -> Candidate {
    Candidate { name: record.name.clone(), zone: record.zone, weight: record.weight }
}
