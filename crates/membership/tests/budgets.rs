//! What a member may spend on probing and on telling of it: a fixed sum, or by the nodes that are listed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::fleet::TICK;
use quillpoint_membership::ids::{Subject, TaskId, TaskKind};
use quillpoint_membership::scheduler::Priority;
use quillpoint_membership::sharded_tasks::TaskParams;
use quillpoint_membership::{
    DatedObservation, Event, Fleet, FleetParams, GossipBody, GossipMessage, Host, Incarnation, MemberRecord,
    MemberState, MemberVersion, Observation, PeerName,
};

const NODES: u16 = 3000;
const PERIOD: Duration = Duration::from_millis(150);
/// What a member has that is told nothing: a tenth of what the nodes take.
const WORK: f64 = 2000.0;
const NEWS: f64 = 80_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn card(name: &str, state: MemberState) -> MemberRecord {
    let life = MemberVersion { incarnation: Incarnation(1), version: 0 };
    let address = SocketAddr::from(([10, 1, 0, name.as_bytes()[1]], 7400));
    MemberRecord { name: PeerName::new(name).unwrap(), life, address, zone: 0, weight: 1, state }
}

/// What the member asked for since it was last looked at.
#[derive(Default)]
struct Asked {
    sent: Vec<GossipMessage>,
    performed: Vec<TaskId>,
}

struct Hand(Rc<RefCell<Asked>>);

impl Host for Hand {
    fn send(&mut self, _: SocketAddr, _: Option<Incarnation>, letter: GossipMessage) {
        self.0.borrow_mut().sent.push(letter);
    }
    fn set_timer(&mut self, _: Duration) {}
    fn run_task(&mut self, duty: TaskId) {
        self.0.borrow_mut().performed.push(duty);
    }
    fn observation_received(&mut self, _: DatedObservation) {}
    fn tell(&mut self, _: Event) {}
}

/// How often each node was probed, and how many findings were told, in two seconds of a member whose one peer answers
/// its pings and does nothing else.
fn two_seconds(grows: bool) -> (BTreeMap<SocketAddr, usize>, usize) {
    let probe = TaskParams {
        kind: TaskKind(0),
        period: PERIOD,
        grace: PERIOD,
        floor: PERIOD,
        longest: Duration::from_secs(1),
        priority: Priority(0),
        cost: 1.0,
    };
    let plans = FleetParams { probe, work_rate: WORK, work_burst: WORK / 10.0, news_rate: NEWS, grows };
    let asked = Rc::new(RefCell::new(Asked::default()));
    let mut fleet =
        Fleet::new(Hand(Rc::clone(&asked)), card("r1", MemberState::Joining), Vec::new(), plans, 1, ms(0));
    fleet.nodes_changed(ms(0), &(0..NODES).map(|number| (node(number), 0)).collect());
    let peer = card("r2", MemberState::Up);
    let (mut probes, mut told) = (BTreeMap::new(), 0);
    let mut now = ms(0);
    let counted = ms(8000);
    while now < ms(10_000) {
        now += TICK;
        fleet.timer_fired(now);
        if now == TICK {
            let hello =
                GossipMessage { from: peer.clone(), body: GossipBody::JoinRequest, cards: Vec::new() };
            fleet.message_arrived(now, hello);
        }
        let Asked { sent, performed } = std::mem::take(&mut *asked.borrow_mut());
        for duty in performed {
            let Subject::Node(node) = duty.subject else { continue };
            let news = Observation {
                node,
                age: ms(0),
                position: Some(now),
                primary: Some(false),
                waiting: None,
                started: None,
                failed: false,
            };
            fleet.task_ended(now, duty);
            fleet.found(now, now, news);
            if now > counted {
                *probes.entry(node).or_default() += 1;
            }
        }
        for letter in sent {
            match letter.body {
                GossipBody::Ping(number) => {
                    let ack = GossipMessage {
                        from: peer.clone(),
                        body: GossipBody::Ack(number),
                        cards: Vec::new(),
                    };
                    fleet.message_arrived(now, ack);
                }
                GossipBody::Observations(news) if now > counted => told += news.len(),
                _ => {}
            }
        }
    }
    (probes, told)
}

/// Guards against a control instance that is told no budgets and has more databases than the usual ones bear: the same
/// of them were told of ever, as the newest go first, and nobody followed it any more.
#[test]
fn budgets_that_grow_bear_all_the_nodes_there_are() {
    let (probes, told) = two_seconds(true);
    assert_eq!(probes.len(), usize::from(NODES));
    // Each period is a tick longer at the most, and where the peer heads the line a grace.
    let least = (2000 / (2 * PERIOD + TICK).as_millis()) as usize - 1;
    assert!(probes.values().all(|count| *count >= least), "{:?} of {least}", probes.values().min());
    let findings: usize = probes.values().sum();
    assert!(told * 100 >= findings * 97, "{told} of {findings}");
}

#[test]
fn budgets_that_are_fixed_hold_however_many_nodes_there_are() {
    let (probes, told) = two_seconds(false);
    let findings: usize = probes.values().sum();
    // Two seconds of it, and what was saved.
    assert!(findings as f64 <= WORK * 2.1 + 1.0, "{findings}");
    assert!(told as f64 * 40.0 <= NEWS * 2.25, "{told}");
    assert!(findings as f64 >= WORK * 1.8, "{findings}: it is spent");
}
