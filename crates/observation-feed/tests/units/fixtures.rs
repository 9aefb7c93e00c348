//! Shared by the unit tests: databases, observations, and a host that records its calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName, TimestampedObservation};
use quillpoint_observation_feed::message::{LagClass, PartitionId, Revision, SnapshotChunk};
use quillpoint_observation_feed::{
    ControlInstance, Entry, Event, FeedObservation, Host, Message, NodeStatus,
};

pub const PERIOD: Duration = Duration::from_millis(100);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

pub fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

pub fn observation(number: u16, at: Duration, lag: Duration) -> TimestampedObservation {
    TimestampedObservation {
        node: node(number),
        at,
        position: Some(at - lag),
        primary: Some(number.is_multiple_of(3)),
        waiting: None,
        started: None,
        failed: false,
    }
}

pub fn control_instances(count: usize, regions: usize) -> Vec<ControlInstance> {
    let instance = |number: usize| ControlInstance {
        name: name(&format!("c{number}")),
        address: node(number as u16),
        region: Some(format!("region-{}", number % regions)),
    };
    (0..count).map(instance).collect()
}

/// Three databases of partition 5.
pub fn nodes_of_one_partition() -> [SocketAddr; 3] {
    let mut all = (0..u16::MAX).map(node).filter(|node| PartitionId::of(*node) == PartitionId(5));
    [all.next().unwrap(), all.next().unwrap(), all.next().unwrap()]
}

pub fn seen_entry(class: u8) -> Entry {
    Entry { primary: Some(false), started: None, status: NodeStatus::Seen(LagClass(class)) }
}

pub fn chunk(revision: u32, index: u16, chunk_count: u16, nodes: &[SocketAddr]) -> SnapshotChunk {
    SnapshotChunk {
        partition: PartitionId(5),
        revision: Revision(revision),
        index,
        chunk_count,
        groups: vec![(seen_entry(0), nodes.to_vec())],
    }
}

#[derive(Default)]
pub struct RecordedCalls {
    pub sent: Vec<(SocketAddr, Message)>,
    pub timer: Duration,
    pub changed: Vec<FeedObservation>,
    pub events: Vec<Event>,
}

#[derive(Clone, Default)]
pub struct RecordingHost(pub Rc<RefCell<RecordedCalls>>);

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, _: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().sent.push((to, message));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.borrow_mut().timer = after;
    }
    fn observation_changed(&mut self, observation: FeedObservation) {
        self.0.borrow_mut().changed.push(observation);
    }
    fn report_event(&mut self, event: Event) {
        self.0.borrow_mut().events.push(event);
    }
}
