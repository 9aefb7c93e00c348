//! The hand-over of one partition's snapshots from a publisher to a router, and from one incarnation of the publisher to the next,
//! model-checked: the router's side as it is ([`PublisherCache`]), in every order in which messages come, come again or are lost.
//! Nothing that was ever sent leaves the network, so that each may come at any time, twice, late or never. Time goes in
//! ticks.

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

/// What the publisher does may take so many steps, among which are so many restarts.
struct Bounds {
    steps: u8,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Sent {
    Digest {
        number: u32,
        sent: u8,
        age: u8,
        mark: Option<u8>,
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
struct World {
    now: u8,
    /// When each database was seen last; positions are those times.
    seen: [u8; NODES],
    /// The publisher: its incarnation, the snapshot's revision, how each stands in it, and the last change.
    start: u64,
    number: u32,
    revision: u32,
    stands: [bool; NODES],
    change: Option<(u32, usize, bool)>,
    steps: u8,
    sent: BTreeSet<(u64, Sent)>,
    router: PublisherCache,
    /// A message has made something that was known older, though it was of the same incarnation.
    older: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    See(usize),
    Revise(usize),
    Digest,
    Snapshot,
    Restart,
    Arrive(u64, Sent),
}

/// Two databases of one partition.
fn nodes() -> [SocketAddr; NODES] {
    let all = (0..).map(|port| SocketAddr::from(([10, 0, 0, 1], port)));
    let mut of = all.filter(|node| PartitionId::of(*node) == PartitionId(0));
    [of.next().unwrap(), of.next().unwrap()]
}

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}

fn entry(seen: bool) -> Entry {
    let status = if seen { NodeStatus::Seen(LagClass(0)) } else { NodeStatus::Unseen };
    Entry { primary: None, started: None, status }
}

fn observation(world: &World, node: usize) -> Option<FeedObservation> {
    world.router.partitions().observation(nodes()[node])
}

fn take(router: &mut PublisherCache, start: u64, message: &Sent) {
    if router.check_incarnation(Incarnation(start)) == IncarnationOrder::Earlier {
        return;
    }
    match message {
        Sent::Digest { number, sent, age, mark, revision, change } => {
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
            watermarks[0] = mark.map(ticks);
            let mut revisions = vec![Revision::default(); PARTITIONS];
            revisions[0] = Revision(*revision);
            router
                .partitions_mut()
                .cover(&revisions, Coverage { number: DigestNumber(*number), seen_at, watermarks });
        }
        Sent::Chunk { revision, index, seen } => router.partitions_mut().add_chunk(SnapshotChunk {
            partition: PartitionId(0),
            revision: Revision(*revision),
            index: *index,
            chunk_count: NODES as u16,
            groups: vec![(entry(*seen), vec![nodes()[usize::from(*index)]])],
        }),
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            now: 1,
            seen: [1; NODES],
            start: 1,
            number: 0,
            revision: 1,
            stands: [true; NODES],
            change: None,
            steps: 0,
            sent: BTreeSet::new(),
            router: PublisherCache::default(),
            older: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend(world.sent.iter().map(|(start, message)| Step::Arrive(*start, message.clone())));
        if world.steps >= self.steps {
            return;
        }
        steps.extend([Step::Tick, Step::Digest, Step::Snapshot]);
        steps.extend((0..NODES).filter(|node| world.seen[*node] < world.now).map(Step::See));
        steps.extend((0..NODES).map(Step::Revise));
        if world.start <= u64::from(self.restarts) {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        world.steps += u8::from(!matches!(step, Step::Arrive(..)));
        match step {
            Step::Tick => world.now += 1,
            Step::See(node) => world.seen[node] = world.now,
            Step::Revise(node) => {
                world.stands[node] = !world.stands[node];
                world.revision += 1;
                world.change = Some((world.revision, node, world.stands[node]));
            }
            Step::Digest => {
                world.number += 1;
                let oldest = (0..NODES).filter(|node| world.stands[*node]).map(|node| world.seen[node]).min();
                let digest = Sent::Digest {
                    number: world.number,
                    sent: world.now,
                    age: world.now - oldest.unwrap_or(world.now),
                    mark: oldest,
                    revision: world.revision,
                    change: world.change,
                };
                world.sent.insert((world.start, digest));
            }
            Step::Snapshot => {
                for (index, seen) in (0..).zip(world.stands) {
                    world.sent.insert((world.start, Sent::Chunk { revision: world.revision, index, seen }));
                }
            }
            Step::Restart => {
                (world.start, world.number, world.revision) = (world.start + 1, 0, 1);
                world.change = None;
            }
            Step::Arrive(start, message) => {
                take(&mut world.router, start, &message);
                if world.router == before.router {
                    return None;
                }
                let same = world.router.last_digest().map(|last| last.incarnation)
                    == before.router.last_digest().map(|last| last.incarnation);
                let at = |cache: &PublisherCache, node| {
                    cache.partitions().observation(node).map(|observation| observation.seen_at)
                };
                let older = nodes().iter().any(|node| at(&world.router, *node) < at(&before.router, *node));
                world.older |= same && older;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is dated later than it was seen", |_, world: &World| {
                (0..NODES).all(|node| {
                    observation(world, node)
                        .is_none_or(|observation| observation.seen_at <= ticks(world.seen[node]))
                })
            }),
            Property::always("no position is higher than was shown", |_, world: &World| {
                (0..NODES).all(|node| {
                    observation(world, node)
                        .is_none_or(|observation| observation.position <= Some(ticks(world.seen[node])))
                })
            }),
            Property::always("no message makes older what is known", |_, world: &World| !world.older),
            Property::sometimes("a change of a snapshot is covered", |_, world: &World| {
                world.router.partitions().revision(PartitionId(0)) == Revision(2)
                    && (0..NODES).all(|node| observation(world, node).is_some())
            }),
        ]
    }
}

fn check(bounds: Bounds) {
    let checker = bounds.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
}

#[test]
fn a_snapshot_is_handed_over_complete_and_in_order_whatever_is_lost_doubled_or_late() {
    check(Bounds { steps: 6, restarts: 0 });
}

#[test]
fn of_an_earlier_incarnation_nothing_holds() {
    // The next incarnation counts its revisions and digests from one again, and its snapshot may be another.
    check(Bounds { steps: 6, restarts: 1 });
}
