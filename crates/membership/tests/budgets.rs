//! The budgets of a member for health checks and for sending observations: fixed, or growing with the number
//! of listed nodes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::fleet::TICK_INTERVAL;
use quillpoint_membership::ids::{TaskId, TaskKind, TaskTarget};
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_membership::{
    Event, Fleet, FleetParams, GossipBody, GossipMessage, Host, Incarnation, MemberRecord, MemberState,
    MemberVersion, Observation, PeerName, TimestampedObservation,
};

const NODES: u16 = 3000;
const PERIOD: Duration = Duration::from_millis(150);
/// The configured budgets: about a tenth of what the nodes take.
const WORK_RATE: f64 = 2000.0;
const GOSSIP_RATE: f64 = 80_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn record(name: &str, state: MemberState) -> MemberRecord {
    let version = MemberVersion { incarnation: Incarnation(1), revision: 0 };
    let address = SocketAddr::from(([10, 1, 0, name.as_bytes()[1]], 7400));
    MemberRecord { name: PeerName::new(name).unwrap(), version, address, zone: 0, weight: 1, state }
}

/// The calls of the host since they were last taken.
#[derive(Default)]
struct Effects {
    sent: Vec<GossipMessage>,
    tasks: Vec<TaskId>,
}

struct TestHost(Rc<RefCell<Effects>>);

impl Host for TestHost {
    fn send(&mut self, _: SocketAddr, _: Option<Incarnation>, message: GossipMessage) {
        self.0.borrow_mut().sent.push(message);
    }
    fn set_timer(&mut self, _: Duration) {}
    fn run_task(&mut self, task: TaskId) {
        self.0.borrow_mut().tasks.push(task);
    }
    fn observation_received(&mut self, _: TimestampedObservation) {}
    fn report_event(&mut self, _: Event) {}
}

fn params(budgets_grow_with_nodes: bool) -> FleetParams {
    let health_check = TaskParams {
        kind: TaskKind(0),
        period: PERIOD,
        takeover_delay: PERIOD,
        min_interval: PERIOD,
        max_duration: Duration::from_secs(1),
        priority: Priority(0),
        cost: 1.0,
    };
    FleetParams {
        health_check,
        work_rate: WORK_RATE,
        work_burst: WORK_RATE / 10.0,
        gossip_bytes_per_second: GOSSIP_RATE,
        budgets_grow_with_nodes,
    }
}

/// Returns how often each node was checked, and how many observations were sent, within two seconds by a
/// member whose only peer acknowledges pings and does nothing else.
fn run_for_two_seconds(budgets_grow_with_nodes: bool) -> (BTreeMap<SocketAddr, usize>, usize) {
    let params = params(budgets_grow_with_nodes);
    let effects = Rc::new(RefCell::new(Effects::default()));
    let own_record = record("r1", MemberState::Joining);
    let mut fleet = Fleet::new(TestHost(Rc::clone(&effects)), own_record, Vec::new(), params, 1, ms(0));
    fleet.nodes_changed(ms(0), &(0..NODES).map(|number| (node(number), 0)).collect());
    let peer = record("r2", MemberState::Up);
    let mut checks = BTreeMap::new();
    let mut observations_sent = 0;
    let mut now = ms(0);
    let counted_from = ms(8000);
    while now < ms(10_000) {
        now += TICK_INTERVAL;
        fleet.timer_fired(now);
        if now == TICK_INTERVAL {
            let join_request =
                GossipMessage { from: peer.clone(), body: GossipBody::JoinRequest, records: Vec::new() };
            fleet.message_arrived(now, join_request);
        }
        let Effects { sent, tasks } = std::mem::take(&mut *effects.borrow_mut());
        for task in tasks {
            let TaskTarget::Node(node) = task.target else { continue };
            let observation = Observation {
                node,
                age: ms(0),
                position: Some(now),
                primary: Some(false),
                waiting: None,
                started: None,
                failed: false,
            };
            fleet.task_ended(now, task);
            fleet.record_own_observation(now, now, observation);
            if now > counted_from {
                *checks.entry(node).or_default() += 1;
            }
        }
        for message in sent {
            match message.body {
                GossipBody::Ping(number) => {
                    let ack = GossipMessage {
                        from: peer.clone(),
                        body: GossipBody::Ack(number),
                        records: Vec::new(),
                    };
                    fleet.message_arrived(now, ack);
                }
                GossipBody::Observations(observations) if now > counted_from => {
                    observations_sent += observations.len()
                }
                _ => {}
            }
        }
    }
    (checks, observations_sent)
}

/// Guards against a control instance with default budgets and more databases than these budgets suffice for:
/// as the latest observations are sent first, always the same databases were reported, and no router followed
/// the instance any more.
#[test]
fn budgets_that_grow_with_the_nodes_suffice_for_all_nodes() {
    let (checks, observations_sent) = run_for_two_seconds(true);
    assert_eq!(checks.len(), usize::from(NODES));
    // Checks are late by up to one tick, and by a takeover delay if the peer owns the task.
    let min_count = (2000 / (2 * PERIOD + TICK_INTERVAL).as_millis()) as usize - 1;
    assert!(
        checks.values().all(|count| *count >= min_count),
        "a node was checked only {:?} of {min_count} times",
        checks.values().min()
    );
    let observations_made: usize = checks.values().sum();
    assert!(
        observations_sent * 100 >= observations_made * 97,
        "only {observations_sent} of {observations_made} observations were sent"
    );
}

/// Guards against a member that exceeds its configured budgets because there are many nodes.
#[test]
fn fixed_budgets_are_not_exceeded_with_many_nodes() {
    let (checks, observations_sent) = run_for_two_seconds(false);
    let observations_made: usize = checks.values().sum();
    // The budget of two seconds and the burst.
    assert!(observations_made as f64 <= WORK_RATE * 2.1 + 1.0, "{observations_made} checks were run");
    assert!(
        observations_sent as f64 * 40.0 <= GOSSIP_RATE * 2.25,
        "{observations_sent} observations were sent"
    );
    assert!(
        observations_made as f64 >= WORK_RATE * 1.8,
        "the budget is not used up: {observations_made} checks were run"
    );
}
