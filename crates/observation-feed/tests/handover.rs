//! Model-checks the transfer of one partition's snapshots from a publisher to a router, including restarts of
//! the publisher with a new incarnation. The router's side is the real [`PublisherCache`]; the publisher is
//! modelled. Every order of messages is explored: the network keeps every message that was ever sent, so that
//! each may arrive at any time, twice, late or never. Time advances in ticks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::Incarnation;
use quillpoint_observation_feed::message::{
    DigestNumber, LAG_CLASSES, LagClass, PARTITIONS, PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::partition_caches::Coverage;
use quillpoint_observation_feed::publisher_cache::{IncarnationOrder, PublisherCache};
use quillpoint_observation_feed::{Change, Entry, FeedObservation, NodeStatus};
use stateright::{Checker, Model, Property};

const NODES: usize = 2;

/// Limits of the explored state space: the number of actions other than deliveries, and how many of them are
/// restarts.
struct ModelParams {
    steps: u8,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum SentMessage {
    Digest {
        number: u32,
        sent: u8,
        age: u8,
        watermark: Option<u8>,
        revision: u32,
        change: Option<(u32, usize, bool)>,
    },
    Chunk {
        revision: u32,
        index: u16,
        seen: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: u8,
    /// When each database was last seen. Log positions are equal to these times.
    seen: [u8; NODES],
    /// The publisher's incarnation.
    incarnation: u64,
    number: u32,
    revision: u32,
    /// Whether each database is published as seen in the snapshot, rather than as unseen.
    published_seen: [bool; NODES],
    /// The publisher's last change: revision, database, and whether it is published as seen.
    change: Option<(u32, usize, bool)>,
    steps: u8,
    /// All messages that were sent, with the publisher's incarnation.
    sent: BTreeSet<(u64, SentMessage)>,
    router: PublisherCache,
    /// A message of the same incarnation has made an observation older.
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    HealthCheck(usize),
    ToggleStatus(usize),
    SendDigest,
    SendSnapshot,
    Restart,
    Deliver(u64, SentMessage),
}

/// Two databases of one partition.
fn nodes() -> [SocketAddr; NODES] {
    let all = (0..).map(|port| SocketAddr::from(([10, 0, 0, 1], port)));
    let mut in_partition = all.filter(|node| PartitionId::of(*node) == PartitionId(0));
    [in_partition.next().unwrap(), in_partition.next().unwrap()]
}

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}

fn entry(seen: bool) -> Entry {
    let status = if seen { NodeStatus::Seen(LagClass(0)) } else { NodeStatus::Unseen };
    Entry { primary: None, started: None, status }
}

fn observation(state: &ModelState, node: usize) -> Option<FeedObservation> {
    state.router.partitions().observation(nodes()[node])
}

fn deliver(router: &mut PublisherCache, incarnation: u64, message: &SentMessage) {
    if router.check_incarnation(Incarnation(incarnation)) == IncarnationOrder::Earlier {
        return;
    }
    match message {
        SentMessage::Digest { number, sent, age, watermark, revision, change } => {
            if !router.accept_digest(DigestNumber(*number)) {
                return;
            }
            let seen_at = ticks(*sent) - ticks(*age);
            let change = change.map(|(revision, node, seen)| Change {
                revision: Revision(revision),
                node: nodes()[node],
                entry: Some(entry(seen)),
            });
            router.partitions_mut().apply_changes(change.into_iter().collect(), seen_at);
            let mut watermarks = [None; LAG_CLASSES];
            watermarks[0] = watermark.map(ticks);
            let mut revisions = vec![Revision::default(); PARTITIONS];
            revisions[0] = Revision(*revision);
            router
                .partitions_mut()
                .cover(&revisions, Coverage { number: DigestNumber(*number), seen_at, watermarks });
        }
        SentMessage::Chunk { revision, index, seen } => router.partitions_mut().add_chunk(SnapshotChunk {
            partition: PartitionId(0),
            revision: Revision(*revision),
            index: *index,
            chunk_count: NODES as u16,
            groups: vec![(entry(*seen), vec![nodes()[usize::from(*index)]])],
        }),
    }
}

impl Model for ModelParams {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState {
            now: 1,
            seen: [1; NODES],
            incarnation: 1,
            number: 0,
            revision: 1,
            published_seen: [true; NODES],
            change: None,
            steps: 0,
            sent: BTreeSet::new(),
            router: PublisherCache::default(),
            went_back: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        actions.extend(
            state.sent.iter().map(|(incarnation, message)| Action::Deliver(*incarnation, message.clone())),
        );
        if state.steps >= self.steps {
            return;
        }
        actions.extend([Action::Tick, Action::SendDigest, Action::SendSnapshot]);
        actions.extend((0..NODES).filter(|node| state.seen[*node] < state.now).map(Action::HealthCheck));
        actions.extend((0..NODES).map(Action::ToggleStatus));
        if state.incarnation <= u64::from(self.restarts) {
            actions.push(Action::Restart);
        }
    }

    fn next_state(&self, before: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = before.clone();
        state.steps += u8::from(!matches!(action, Action::Deliver(..)));
        match action {
            Action::Tick => state.now += 1,
            Action::HealthCheck(node) => state.seen[node] = state.now,
            Action::ToggleStatus(node) => {
                state.published_seen[node] = !state.published_seen[node];
                state.revision += 1;
                state.change = Some((state.revision, node, state.published_seen[node]));
            }
            Action::SendDigest => {
                state.number += 1;
                let oldest =
                    (0..NODES).filter(|node| state.published_seen[*node]).map(|node| state.seen[node]).min();
                let digest = SentMessage::Digest {
                    number: state.number,
                    sent: state.now,
                    age: state.now - oldest.unwrap_or(state.now),
                    watermark: oldest,
                    revision: state.revision,
                    change: state.change,
                };
                state.sent.insert((state.incarnation, digest));
            }
            Action::SendSnapshot => {
                for (index, seen) in (0..).zip(state.published_seen) {
                    state.sent.insert((
                        state.incarnation,
                        SentMessage::Chunk { revision: state.revision, index, seen },
                    ));
                }
            }
            Action::Restart => {
                (state.incarnation, state.number, state.revision) = (state.incarnation + 1, 0, 1);
                state.change = None;
            }
            Action::Deliver(incarnation, message) => {
                deliver(&mut state.router, incarnation, &message);
                if state.router == before.router {
                    return None;
                }
                let is_same_incarnation = state.router.last_digest().map(|last| last.incarnation)
                    == before.router.last_digest().map(|last| last.incarnation);
                let at = |cache: &PublisherCache, node| {
                    cache.partitions().observation(node).map(|observation| observation.seen_at)
                };
                let went_back =
                    nodes().iter().any(|node| at(&state.router, *node) < at(&before.router, *node));
                state.went_back |= is_same_incarnation && went_back;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no observation is dated later than the database was seen",
                |_, state: &ModelState| {
                    (0..NODES).all(|node| {
                        observation(state, node)
                            .is_none_or(|observation| observation.seen_at <= ticks(state.seen[node]))
                    })
                },
            ),
            Property::always(
                "no log position is higher than the database's position",
                |_, state: &ModelState| {
                    (0..NODES).all(|node| {
                        observation(state, node)
                            .is_none_or(|observation| observation.position <= Some(ticks(state.seen[node])))
                    })
                },
            ),
            Property::always("no message makes an observation older", |_, state: &ModelState| {
                !state.went_back
            }),
            Property::sometimes(
                "a change of the snapshot is covered by a digest",
                |_, state: &ModelState| {
                    state.router.partitions().revision(PartitionId(0)) == Revision(2)
                        && (0..NODES).all(|node| observation(state, node).is_some())
                },
            ),
        ]
    }
}

fn check(params: ModelParams) {
    let checker = params.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} unique states", checker.unique_state_count());
}

#[test]
fn snapshots_stay_consistent_when_messages_are_lost_duplicated_or_reordered() {
    check(ModelParams { steps: 6, restarts: 0 });
}

#[test]
fn messages_of_an_earlier_incarnation_have_no_effect() {
    // The new incarnation numbers its revisions and digests from one again, and its snapshot may be a
    // different one.
    check(ModelParams { steps: 6, restarts: 1 });
}
