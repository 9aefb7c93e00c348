//! The parts of the feed one by one: budgets, ways, the line of control instances, the publisher's book, a router's
//! copies, the size of what is said, and what strangers or the wrong side say.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::{DatedObservation, Incarnation, PeerName};
use quillpoint_observation_feed::clock::Shortest;
use quillpoint_observation_feed::copy::{Copy, Cover};
use quillpoint_observation_feed::health_check_quota::{HealthCheckQuota, QuotaParams};
use quillpoint_observation_feed::message::{
    CLASSES, Chunk, Digest, DigestNo, LagClass, PARTITIONS, PartitionId, Revision,
};
use quillpoint_observation_feed::observation_store::ObservationStore;
use quillpoint_observation_feed::preference::line;
use quillpoint_observation_feed::token_bucket::TokenBucket;
use quillpoint_observation_feed::{
    Change, ControlInstance, Entry, Envelope, Event, FeedObservation, Host, Message, NodeStatus, Publisher,
    Subscriber, encoded_size, publisher, subscriber,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PERIOD: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 1], number))
}

fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

fn evidence(number: u16, at: Duration, lag: Duration) -> DatedObservation {
    DatedObservation {
        node: node(number),
        at,
        position: Some(at - lag),
        primary: Some(number.is_multiple_of(3)),
        waiting: None,
        started: None,
        failed: false,
    }
}

#[test]
fn a_bucket_saves_no_more_than_its_bound_and_what_is_owed_is_paid_first() {
    let mut bucket = TokenBucket::new(100.0, 10.0, ms(0));
    assert!(!bucket.has(ms(0), 1.0), "empty at the start");
    assert!(bucket.has(ms(60_000), 10.0) && !bucket.has(ms(60_000), 10.1));
    bucket.spend(30.0);
    assert!(!bucket.has(ms(60_190), 0.0) && bucket.has(ms(60_200), 0.0));
    bucket.set(ms(60_300), 1000.0, 5.0);
    assert!(bucket.has(ms(60_300), 5.0) && !bucket.has(ms(60_300), 5.1));
}

#[test]
fn a_digest_is_as_late_as_it_is_longer_under_way_than_the_shortest() {
    let mut way = Shortest::default();
    // The clocks are 500 s apart.
    assert_eq!(way.late(ms(503_000), ms(3000)), ms(0));
    assert_eq!(way.late(ms(503_140), ms(3100)), ms(40) - Duration::from_micros(70));
    assert_eq!(way.late(ms(503_195), ms(3200)), ms(0), "the shortest so far");
    assert!(way.late(ms(503_300), ms(3300)) > ms(4));
    // A queue that stays does not pass for the way itself, for minutes.
    assert!(way.late(ms(563_800), ms(63_300)) > ms(450));
}

fn control(count: usize, regions: usize) -> Vec<ControlInstance> {
    let one = |place: usize| ControlInstance {
        name: name(&format!("c{place}")),
        address: node(place as u16),
        region: Some(format!("region-{}", place % regions)),
    };
    (0..count).map(one).collect()
}

#[test]
fn the_own_region_goes_first_and_all_have_about_as_many_followers() {
    let mut followers = BTreeMap::<PeerName, usize>::new();
    for router in 0..2000 {
        let me = name(&format!("r{router}"));
        let line = line(&me, Some("region-1"), control(8, 2));
        assert!(line[..4].iter().all(|one| one.region.as_deref() == Some("region-1")));
        line[..2].iter().for_each(|one| *followers.entry(one.name.clone()).or_default() += 1);
        // One that goes leaves the order of the others as it was.
        let others: Vec<ControlInstance> =
            line.iter().filter(|one| one.name != name("c3")).cloned().collect();
        let all = control(8, 2).into_iter().filter(|one| one.name != name("c3")).collect();
        assert_eq!(quillpoint_observation_feed::preference::line(&me, Some("region-1"), all), others);
    }
    assert!(
        followers.len() == 4 && followers.values().all(|count| (900..1100).contains(count)),
        "{followers:?}"
    );
}

/// A book of so many databases, all seen at that time, whose first revision has been made.
fn book(nodes: u16, now: Duration) -> ObservationStore {
    let mut book = ObservationStore::new(PERIOD, 0);
    book.nodes_changed(now, &(0..nodes).map(node).collect());
    (0..nodes).for_each(|number| book.seen(now, evidence(number, now, ms(0))));
    assert!(!book.revise(now, 1000, true));
    book
}

fn digest(book: &ObservationStore, now: Duration) -> Digest {
    let mut digest = Digest {
        number: DigestNo(1),
        sent: now,
        age: ms(0),
        watermarks: [None; CLASSES],
        revisions: book.revisions(),
        changes: Vec::new(),
        period: PERIOD,
        routers: 1,
    };
    book.fill(now, &mut digest);
    digest
}

fn standing(book: &ObservationStore, number: u16) -> NodeStatus {
    let all = book.copy(PartitionId::of(node(number))).into_iter().flat_map(|chunk| chunk.alike);
    all.filter(|(_, nodes)| nodes.contains(&node(number))).map(|(entry, _)| entry.standing).next().unwrap()
}

#[test]
fn a_lag_that_goes_to_and_fro_is_told_once() {
    let mut book = book(10, ms(10_000));
    let mut changes = 0;
    for step in 1..100 {
        let now = ms(10_000) + PERIOD * step;
        // Now within a period, now nearly three behind.
        (0..10).for_each(|number| book.seen(now, evidence(number, now, PERIOD * (step % 2) * 3)));
        assert!(!book.revise(now, 1000, true));
        changes += book.changes(1000).iter().map(|change| change.revision).collect::<BTreeSet<_>>().len();
        let digest = digest(&book, now);
        // What the marks say is true whatever the class.
        let shown = now - PERIOD * (step % 2) * 3;
        assert!(digest.watermarks.iter().flatten().all(|mark| *mark <= shown && *mark + PERIOD * 4 >= shown));
        if step > 1 {
            assert_eq!(standing(&book, 4), NodeStatus::Seen(LagClass(2)));
        }
    }
    assert!(changes <= 30, "each told once, three times over: {changes}");
    // It is told to be better when it has been so for a while.
    for step in 100..115 {
        let now = ms(10_000) + PERIOD * step;
        (0..10).for_each(|number| book.seen(now, evidence(number, now, ms(0))));
        book.revise(now, 1000, true);
    }
    assert_eq!(standing(&book, 4), NodeStatus::Seen(LagClass(0)));
}

#[test]
fn one_that_is_late_is_unseen_and_seen_again_at_once() {
    // Seen only every fourth period, as where its prober has died and the next in line is busy.
    let mut book = book(10, ms(10_000));
    let (mut now, mut told) = (ms(10_000), Vec::new());
    for step in 1..=16 {
        now += PERIOD;
        (1..10).for_each(|number| book.seen(now, evidence(number, now, ms(0))));
        if step % 4 == 0 {
            book.seen(now, evidence(0, now, ms(0)));
        }
        book.revise(now, 1000, true);
        told.push(standing(&book, 0) != NodeStatus::Unseen);
    }
    assert_eq!(told, [true, false, false, true].repeat(4));
}

#[test]
fn a_digest_is_as_old_as_the_oldest_that_it_speaks_for_and_no_older() {
    let mut book = book(100, ms(10_000));
    for step in 1..=10 {
        let now = ms(10_000) + PERIOD * step;
        (1..100).for_each(|number| book.seen(now, evidence(number, now, ms(0))));
        book.revise(now, 1000, true);
        let digest = digest(&book, now + ms(30));
        let silent = PERIOD * step;
        if silent <= PERIOD {
            assert_eq!(digest.age, silent + ms(30), "not late yet: it ages all");
        } else {
            assert_eq!((digest.age, standing(&book, 0)), (ms(30), NodeStatus::Unseen), "{step}");
        }
    }
}

#[test]
fn what_cannot_be_told_yet_is_not_spoken_for() {
    // All but one are silent at once, and a digest has room for a few of them.
    let mut book = book(1000, ms(10_000));
    let mut now = ms(10_000);
    let mut rounds = 0;
    loop {
        now += PERIOD;
        book.seen(now, evidence(7, now, ms(0)));
        let waits = book.revise(now, 300, true);
        let digest = digest(&book, now);
        assert!(digest.age <= PERIOD * 4, "{:?}", digest.age);
        let changes = book.changes(300);
        assert!(changes.iter().map(encoded_size::change).sum::<usize>() <= 300);
        rounds += 1;
        if !waits && rounds > 5 {
            break;
        }
    }
    assert!((40..120).contains(&rounds), "{rounds}");
    assert!((0..1000).all(|number| (standing(&book, number) == NodeStatus::Unseen) == (number != 7)));
    assert!(digest(&book, now).revisions.iter().all(|revision| *revision != Revision::default()));
}

#[test]
fn an_older_word_changes_nothing_and_a_failure_holds_until_an_answer() {
    let mut book = book(10, ms(10_000));
    book.seen(ms(10_050), DatedObservation { failed: true, position: None, ..evidence(1, ms(9000), ms(0)) });
    book.revise(ms(10_050), 1000, true);
    assert_eq!(standing(&book, 1), NodeStatus::Seen(LagClass(0)), "it has been seen since");
    book.seen(
        ms(10_080),
        DatedObservation { failed: true, position: None, ..evidence(1, ms(10_080), ms(0)) },
    );
    book.revise(ms(10_080), 1000, true);
    assert_eq!(standing(&book, 1), NodeStatus::Down);
    book.seen(ms(10_090), evidence(1, ms(10_070), ms(0)));
    book.revise(ms(10_090), 1000, true);
    // Answered before the failure, heard after it: it had been seen later than was known, and that is all.
    book.seen(ms(10_095), evidence(1, ms(10_095), ms(0)));
    book.revise(ms(10_095), 1000, true);
    assert_eq!(standing(&book, 1), NodeStatus::Seen(LagClass(0)));
    // One that is not listed is nobody's.
    book.seen(ms(10_100), evidence(77, ms(10_100), ms(0)));
    assert_eq!(book.len(), 10);
}

/// Three databases of one part.
fn of_one_part() -> [SocketAddr; 3] {
    let mut all = (0..u16::MAX).map(node).filter(|node| PartitionId::of(*node) == PartitionId(5));
    [all.next().unwrap(), all.next().unwrap(), all.next().unwrap()]
}

fn seen(class: u8) -> Entry {
    Entry { primary: Some(false), started: None, standing: NodeStatus::Seen(LagClass(class)) }
}

fn chunk(revision: u32, place: u16, of: u16, nodes: &[SocketAddr]) -> Chunk {
    Chunk {
        part: PartitionId(5),
        revision: Revision(revision),
        place,
        of,
        alike: vec![(seen(0), nodes.to_vec())],
    }
}

fn cover(copy: &mut Copy, number: u32, revision: u32, at: u64) {
    let mut revisions = vec![Revision::default(); PARTITIONS];
    revisions[5] = Revision(revision);
    let mut watermarks = [None; CLASSES];
    (watermarks[0], watermarks[1]) = (Some(ms(at - 10)), Some(ms(at - 200)));
    copy.cover(&revisions, Cover { number: DigestNo(number), at: ms(at), watermarks });
}

#[test]
fn a_copy_is_taken_over_when_all_chunks_of_one_revision_have_come() {
    let [one, two, three] = of_one_part();
    let mut copy = Copy::default();
    copy.chunk(chunk(3, 0, 3, &[one]));
    copy.chunk(chunk(3, 0, 3, &[one]));
    copy.chunk(chunk(3, 2, 3, &[three]));
    assert_eq!((copy.revision(PartitionId(5)), copy.len()), (Revision(0), (0, 2)));
    // Another revision begins anew, and an earlier one does not disturb it.
    copy.chunk(chunk(4, 1, 2, &[two]));
    copy.chunk(chunk(3, 1, 3, &[two]));
    assert_eq!((copy.revision(PartitionId(5)), copy.len()), (Revision(0), (0, 1)));
    copy.chunk(chunk(4, 0, 2, &[one]));
    assert_eq!((copy.revision(PartitionId(5)), copy.len()), (Revision(4), (2, 0)));
    // One for another part, or with databases of another, or out of its bounds, changes nothing.
    let before = copy.clone();
    copy.chunk(Chunk { part: PartitionId(6), ..chunk(9, 0, 1, &[one]) });
    copy.chunk(Chunk { part: PartitionId(200), ..chunk(9, 0, 1, &[one]) });
    copy.chunk(chunk(9, 1, 1, &[one]));
    copy.chunk(chunk(9, 0, u16::MAX, &[one]));
    copy.chunk(chunk(4, 0, 1, &[three]));
    assert_eq!(copy, before);
}

#[test]
fn a_digest_covers_what_its_revision_says_and_nothing_else() {
    let [one, two, three] = of_one_part();
    let mut copy = Copy::default();
    copy.chunk(chunk(1, 0, 1, &[one, two]));
    assert_eq!(copy.word(one), None, "no digest has spoken for it");
    cover(&mut copy, 1, 1, 1000);
    assert_eq!((copy.word(one).unwrap().at, copy.word(one).unwrap().position), (ms(1000), Some(ms(990))));
    // Another revision says nothing, whether it is later or earlier.
    cover(&mut copy, 2, 2, 2000);
    cover(&mut copy, 3, 0, 2000);
    assert_eq!(copy.word(one).unwrap().at, ms(1000));
    // A change that does not follow is not taken; one that does is, and what it is about keeps its date.
    let change = |revision, entry| Change { revision: Revision(revision), node: one, entry };
    assert!(copy.change(vec![change(3, None)], ms(2000)).is_empty());
    assert_eq!(copy.revision(PartitionId(5)), Revision(1));
    let unseen = Entry { standing: NodeStatus::Unseen, ..seen(0) };
    copy.change(vec![change(3, Some(seen(1))), change(2, Some(unseen))], ms(2000));
    assert_eq!(copy.revision(PartitionId(5)), Revision(3));
    assert_eq!((copy.word(one).unwrap().at, copy.word(two).unwrap().at), (ms(1000), ms(1000)));
    cover(&mut copy, 4, 3, 3000);
    assert_eq!((copy.word(one).unwrap().at, copy.word(one).unwrap().position), (ms(3000), Some(ms(2800))));
    assert_eq!(copy.word(two).unwrap().position, Some(ms(2990)));
    // A failure is dated when it was told, and stays so.
    let down = Entry { standing: NodeStatus::Down, ..seen(0) };
    assert_eq!(copy.change(vec![change(4, Some(down))], ms(4000)), [one]);
    cover(&mut copy, 5, 4, 5000);
    let word = copy.word(one).unwrap();
    assert!(word.failed && word.at == ms(4000) && word.position.is_none());
    // One that leaves the list is no more.
    copy.change(vec![change(5, None)], ms(6000));
    assert_eq!((copy.word(one), copy.word(three)), (None, None));
}

#[test]
fn the_longest_that_is_said_fits_a_datagram() {
    let far = |number: u32| {
        let address = std::net::Ipv6Addr::from(u128::MAX - u128::from(number) * 977);
        SocketAddr::from((address, 60_000 + (number % 5000) as u16))
    };
    let now = Duration::new(u64::MAX / 2, 999_999_999);
    let mut book = ObservationStore::new(ms(150), 0);
    book.nodes_changed(now, &(0..20_000).map(far).collect());
    let say = |book: &mut ObservationStore, at: Duration, flip: bool| {
        for number in 0..20_000 {
            book.seen(
                at,
                DatedObservation {
                    node: far(number),
                    at,
                    position: Some(at - Duration::new(u64::from(number % 9), 999)),
                    primary: Some(flip),
                    waiting: None,
                    started: Some(at - Duration::new(1, number)),
                    failed: false,
                },
            );
        }
    };
    let longest = |message: Message| {
        let from = name(&"n".repeat(32));
        let envelope = Envelope { from, start: Incarnation(u64::MAX), message };
        postcard::to_stdvec(&envelope).unwrap().len() + 55
    };
    say(&mut book, now, false);
    book.revise(now, 0, true);
    for part in (0..PARTITIONS as u8).map(PartitionId) {
        for chunk in book.copy(part) {
            assert!(longest(Message::Chunk(chunk)) <= 1200);
        }
    }
    let mut most = 0;
    for step in 1..40 {
        let now = now + ms(step * 100);
        say(&mut book, now, step % 2 == 0);
        let mut digest = Digest {
            number: DigestNo(u32::MAX),
            sent: now,
            age: now,
            watermarks: [Some(now); CLASSES],
            revisions: book.highest_revisions(),
            changes: Vec::new(),
            period: now,
            routers: u32::MAX,
        };
        let room = encoded_size::ROOM - encoded_size::digest(&digest);
        assert!(book.revise(now, room, true), "more has changed than can be told");
        (digest.revisions, digest.changes) = (book.revisions(), book.changes(room));
        assert!(!digest.changes.is_empty());
        most = most.max(longest(Message::Digest(digest)));
    }
    assert!((1000..=1200).contains(&most), "{most}");
    let parts = (0..PARTITIONS as u8).map(PartitionId).collect();
    assert!(longest(Message::Pull(parts)) <= 1200);
}

#[derive(Default)]
struct Wishes {
    sent: Vec<(SocketAddr, Message)>,
    wake: Duration,
    learnt: Vec<FeedObservation>,
    events: Vec<Event>,
}

#[derive(Clone, Default)]
struct Desk(Rc<RefCell<Wishes>>);

impl Host for Desk {
    fn send(&mut self, to: SocketAddr, _: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().sent.push((to, message));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.borrow_mut().wake = after;
    }
    fn learnt(&mut self, word: FeedObservation) {
        self.0.borrow_mut().learnt.push(word);
    }
    fn tell(&mut self, event: Event) {
        self.0.borrow_mut().events.push(event);
    }
}

fn publisher(desk: &Desk, most_subscribers: usize, copy_rate: f64) -> Publisher<Desk> {
    let plan = publisher::PublisherParams { period: PERIOD, every: ms(100), copy_rate, most_subscribers };
    let mut publisher = Publisher::new(desk.clone(), plan, 1, ms(1000));
    publisher.nodes_changed(ms(1000), &(0..200).map(node).collect());
    (0..200).for_each(|number| publisher.seen(ms(1400), evidence(number, ms(1400), ms(0))));
    publisher
}

/// Time passes, and all are seen once a period.
fn turn(publisher: &mut Publisher<Desk>, from: u64, until: u64) {
    for at in (from..until).step_by(10).map(ms) {
        let due = (0..200).filter(|number| u128::from(*number % 10) * 10 == at.as_millis() % 100);
        due.for_each(|number| publisher.seen(at, evidence(number, at, ms(0))));
        publisher.timer_fired(at);
    }
}

#[test]
fn only_who_subscribes_is_told_and_by_its_latest_start() {
    let desk = Desk::default();
    let mut publisher = publisher(&desk, 2, 1e6);
    let all = || Message::Pull((0..=255).map(PartitionId).collect());
    publisher.message_arrived(ms(1000), node(9000), &name("stranger"), Incarnation(5), all());
    publisher.message_arrived(ms(1000), node(9001), &name("r1"), Incarnation(5), Message::Subscribe);
    // An earlier start of it, and what only a control instance says, change nothing.
    publisher.message_arrived(ms(1000), node(9002), &name("r1"), Incarnation(4), Message::Subscribe);
    publisher.message_arrived(ms(1000), node(9002), &name("r1"), Incarnation(4), Message::Unsubscribe);
    publisher.message_arrived(ms(1000), node(9002), &name("r1"), Incarnation(5), Message::Leaving);
    turn(&mut publisher, 1000, 1390);
    assert!(desk.0.borrow().sent.is_empty(), "nothing before it has had time to see anything");
    turn(&mut publisher, 1390, 2000);
    publisher.message_arrived(ms(2000), node(9001), &name("r1"), Incarnation(5), all());
    turn(&mut publisher, 2000, 3000);
    let sent = std::mem::take(&mut desk.0.borrow_mut().sent);
    assert!(sent.iter().all(|(to, _)| *to == node(9001)));
    let digests = sent.iter().filter(|(_, message)| matches!(message, Message::Digest(_))).count();
    assert!((14..=17).contains(&digests), "{digests}");
    let chunks = sent.iter().filter_map(|(_, message)| match message {
        Message::Chunk(chunk) => Some(chunk.alike.iter().map(|(_, nodes)| nodes.len()).sum::<usize>()),
        _ => None,
    });
    assert_eq!(chunks.sum::<usize>(), 200, "each database once");
    // There is room for two; a third is told so, and forgotten are those who do not ask again.
    publisher.message_arrived(ms(3000), node(9003), &name("r3"), Incarnation(1), Message::Subscribe);
    publisher.message_arrived(ms(3000), node(9004), &name("r4"), Incarnation(1), Message::Subscribe);
    assert_eq!(desk.0.borrow().sent, [(node(9004), Message::Full)]);
    assert_eq!(desk.0.borrow().events.last(), Some(&Event::TooManySubscribers(name("r4"))));
    turn(&mut publisher, 3000, 7200);
    assert_eq!(publisher.subscribers(), 0);
    publisher.message_arrived(ms(7200), node(9003), &name("r3"), Incarnation(1), Message::Subscribe);
    desk.0.borrow_mut().sent.clear();
    publisher.leave(ms(7300));
    turn(&mut publisher, 7300, 8000);
    assert_eq!(desk.0.borrow().sent, [(node(9003), Message::Leaving)], "its last word");
}

#[test]
fn copies_go_to_all_who_wait_in_turn() {
    let desk = Desk::default();
    let mut publisher = publisher(&desk, 10, 1e5);
    turn(&mut publisher, 1000, 1400);
    let parts = || Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
    for router in 0..4 {
        let who = name(&format!("r{router}"));
        let at = node(9000 + router);
        publisher.message_arrived(ms(1400), at, &who, Incarnation(5), Message::Subscribe);
        publisher.message_arrived(ms(1400), at, &who, Incarnation(5), parts());
    }
    turn(&mut publisher, 1400, 1500);
    let mut chunks = BTreeMap::<SocketAddr, u32>::new();
    for (to, message) in &desk.0.borrow().sent {
        *chunks.entry(*to).or_default() += u32::from(matches!(message, Message::Chunk(_)));
    }
    assert!(chunks.len() == 4, "{chunks:?}");
    let (least, most) = (chunks.values().min().unwrap(), chunks.values().max().unwrap());
    // The budget is spent before any has all 64.
    assert!(*least >= 10 && *most < 50 && most - least <= 1, "{chunks:?}");
}

#[test]
fn who_leaves_and_comes_back_waits_for_copies_once() {
    let desk = Desk::default();
    let mut publisher = publisher(&desk, 10, 1e5);
    turn(&mut publisher, 1000, 1400);
    let parts = || Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
    let (often, once) = (name("often"), name("once"));
    let mut say = |at: u64, who: &PeerName, message: Message| {
        publisher.message_arrived(ms(at), node(9000 + u16::from(*who == once)), who, Incarnation(5), message);
        publisher.state_bytes()
    };
    say(1400, &often, Message::Subscribe);
    let first = say(1400, &often, parts());
    for cycle in 0..100 {
        say(1400 + cycle, &often, Message::Unsubscribe);
        say(1400 + cycle, &often, Message::Subscribe);
        assert_eq!(say(1400 + cycle, &often, parts()), first, "after {cycle} times");
    }
    say(1500, &once, Message::Subscribe);
    say(1500, &once, parts());
    desk.0.borrow_mut().sent.clear();
    turn(&mut publisher, 1500, 1600);
    let sent = &desk.0.borrow().sent;
    let chunks = |to: u16| {
        let is =
            |(at, message): &&(SocketAddr, Message)| *at == node(to) && matches!(message, Message::Chunk(_));
        sent.iter().filter(is).count()
    };
    assert!(chunks(9001) >= 10 && chunks(9000).abs_diff(chunks(9001)) <= 1, "each in its turn");
}

/// With the most that the budget of a plan is by default.
#[test]
fn copies_leave_in_small_lots_and_keep_up_with_the_budget_all_the_same() {
    let rate = 8.0 * 1024.0 * 1024.0;
    let desk = Desk::default();
    let mut publisher = publisher(&desk, 1000, rate);
    turn(&mut publisher, 1000, 1500);
    let ask = |publisher: &mut Publisher<Desk>, at: Duration| {
        for router in 0..400 {
            let (who, place) = (name(&format!("r{router}")), node(9000 + router));
            let parts = Message::Pull((0..PARTITIONS as u8).map(PartitionId).collect());
            publisher.message_arrived(at, place, &who, Incarnation(5), Message::Subscribe);
            publisher.message_arrived(at, place, &who, Incarnation(5), parts);
        }
    };
    // Nothing has been asked for in a while, so that all is saved that may be; and it stood still.
    ask(&mut publisher, ms(1700));
    let (mut now, mut all) = (ms(1700), 0);
    while now < ms(2200) {
        desk.0.borrow_mut().sent.clear();
        publisher.timer_fired(now);
        let sent = std::mem::take(&mut desk.0.borrow_mut().sent);
        let bytes = sent.iter().map(|(_, message)| match message {
            Message::Chunk(chunk) => encoded_size::chunk(chunk) + 90,
            _ => 0,
        });
        let bytes: usize = bytes.sum();
        assert!(bytes <= 70_000, "{bytes} in one call");
        all += bytes;
        if publisher.waiting() < 5000 {
            ask(&mut publisher, now);
        }
        // As the host does: not before it is asked for, and a little later.
        now += desk.0.borrow().wake.max(ms(1));
    }
    let most = rate * 0.55 + 10_000.0;
    assert!(all as f64 >= rate * 0.5 * 0.95 && all as f64 <= most, "{all} in half a second");
}

fn subscriber(desk: &Desk) -> Subscriber<Desk> {
    let plan = subscriber::SubscriberParams { region: None, every: ms(100), period: PERIOD, routers: 10 };
    let mut subscriber = Subscriber::new(desk.clone(), name("r1"), plan, control(2, 1), 1, ms(1000));
    subscriber.nodes_changed(ms(1000), &of_one_part().into_iter().collect());
    subscriber.timer_fired(ms(1000));
    subscriber
}

fn said(number: u32, sent: u64, revision: u32) -> Digest {
    let mut revisions = vec![Revision::default(); PARTITIONS];
    revisions[5] = Revision(revision);
    Digest {
        number: DigestNo(number),
        sent: ms(sent),
        age: ms(50),
        watermarks: [Some(ms(sent - 60)); CLASSES],
        revisions,
        changes: Vec::new(),
        period: PERIOD,
        routers: 10,
    }
}

#[test]
fn what_is_out_of_turn_or_of_no_sense_changes_nothing() {
    let desk = Desk::default();
    let mut router = subscriber(&desk);
    let [one, two, three] = of_one_part();
    let control = name("c0");
    let mut tell = |at: u64, start: u64, message: Message| {
        router.message_arrived(ms(at), &control, Incarnation(start), message);
        router.known(ms(at), one).map(|word| word.at)
    };
    for number in 1..=3 {
        tell(
            1000 + u64::from(number) * 100,
            7,
            Message::Digest(said(number, 5000 + u64::from(number) * 100, 1)),
        );
    }
    tell(1310, 7, Message::Chunk(chunk(1, 0, 1, &[one, two])));
    let fresh = tell(1400, 7, Message::Digest(said(4, 5400, 1)));
    assert_eq!(fresh, Some(ms(1350)));
    // A digest that came before, an earlier one, one of an earlier start, one that is much too late, one that is cut.
    assert_eq!(tell(1450, 7, Message::Digest(said(4, 5450, 1))), fresh);
    assert_eq!(tell(1450, 7, Message::Digest(said(3, 5450, 1))), fresh);
    assert_eq!(tell(1450, 6, Message::Digest(said(9, 5450, 1))), fresh);
    assert_eq!(tell(4500, 7, Message::Digest(said(9, 5600, 1))), fresh);
    let cut = Digest { revisions: vec![Revision(1); 6], ..said(10, 8400, 1) };
    assert_eq!(tell(4600, 7, Message::Digest(cut)), fresh);
    // What a router says, a stranger, and numbers that make no sense.
    tell(4600, 7, Message::Subscribe);
    tell(4600, 7, Message::Pull(vec![PartitionId(255)]));
    let wild = Entry { standing: NodeStatus::Seen(LagClass(255)), ..seen(0) };
    let wild = Change { revision: Revision(2), node: two, entry: Some(wild) };
    let hostile = Digest {
        period: Duration::MAX,
        routers: u32::MAX,
        age: Duration::MAX,
        changes: vec![wild],
        ..said(11, 8400, 2)
    };
    let known = tell(4400, 7, Message::Digest(hostile));
    assert_eq!(known, Some(ms(0)), "as old as it says");
    tell(4500, 7, Message::Chunk(chunk(u32::MAX, 0, 1, &[one])));
    let wild = Change { revision: Revision(0), node: two, entry: None };
    tell(4600, 7, Message::Digest(Digest { changes: vec![wild], ..said(12, 8600, 2) }));
    router.message_arrived(ms(4700), &name("c7"), Incarnation(1), Message::Digest(said(99, 9000, 1)));
    router.timer_fired(ms(4700));
    assert_eq!(router.known(ms(4700), three), None);
    assert!(!router.claim_health_check(ms(4700), node(9), true), "not on the list");
    // Of a later start nothing earlier holds.
    router.message_arrived(ms(4750), &control, Incarnation(8), Message::Digest(said(1, 100, 1)));
    assert_eq!(router.known(ms(4750), one), None);
}

#[test]
fn parts_are_asked_for_a_few_at_a_time_and_again_ever_later() {
    let desk = Desk::default();
    let mut router = subscriber(&desk);
    let mut asked = Vec::new();
    for at in (1100..9000).step_by(50) {
        if at % 100 == 0 {
            let digest = Digest { revisions: vec![Revision(1); PARTITIONS], ..said(at as u32, at + 4000, 1) };
            router.message_arrived(ms(at), &name("c0"), Incarnation(7), Message::Digest(digest));
        }
        router.timer_fired(ms(at));
        for (_, message) in std::mem::take(&mut desk.0.borrow_mut().sent) {
            if let Message::Pull(parts) = message {
                asked.extend(parts.into_iter().map(|part| (at, part)));
            }
        }
    }
    // Nobody answers: no more than sixteen are out there within the time that an answer may take.
    for (from, _) in &asked {
        let out = asked.iter().filter(|(at, _)| (*from..*from + 400).contains(at)).count();
        assert!(out <= 16, "{out} from {from}");
    }
    let early = asked.iter().filter(|(at, _)| *at < 5000).count();
    assert!((32..100).contains(&early), "{early}");
    let of: BTreeSet<PartitionId> = asked.iter().map(|(_, part)| *part).collect();
    assert_eq!(of.len(), PARTITIONS, "each in its turn: {of:?}");
}

#[test]
fn a_clock_that_was_set_back_shuts_a_control_instance_out_for_seconds_and_not_for_ever() {
    let desk = Desk::default();
    let mut router = subscriber(&desk);
    let [one, ..] = of_one_part();
    let control = name("c0");
    for number in 1..=3 {
        let digest = said(number, 5000 + u64::from(number) * 100, 1);
        router.message_arrived(
            ms(1000 + u64::from(number) * 100),
            &control,
            Incarnation(7),
            Message::Digest(digest),
        );
    }
    router.message_arrived(ms(1310), &control, Incarnation(7), Message::Chunk(chunk(1, 0, 1, &[one])));
    router.message_arrived(ms(1400), &control, Incarnation(7), Message::Digest(said(4, 5400, 1)));
    assert!(router.known(ms(1400), one).is_some() && !router.is_alone());
    // It starts again with an earlier clock, and speaks ten times a second.
    let mut follows = None;
    for at in (1500..20_000).step_by(50) {
        router.timer_fired(ms(at));
        if at % 100 == 0 {
            let digest = Message::Digest(said(at as u32 / 100, at, 1));
            router.message_arrived(ms(at), &control, Incarnation(3), digest);
        }
        if at > 2000 && !router.is_alone() {
            follows.get_or_insert(at);
        }
    }
    assert!(follows.is_some_and(|at| (10_000..16_000).contains(&at)), "{follows:?}");
    assert_eq!(router.known(ms(20_000), one), None, "nothing of the other start holds");
}

#[test]
fn digests_that_waited_together_for_a_router_are_no_fresher_than_they_were_sent() {
    let desk = Desk::default();
    let mut router = subscriber(&desk);
    let [one, ..] = of_one_part();
    let control = name("c0");
    // The publisher's clock is 4 s ahead, nothing is under way for any time, and databases were seen 50 ms before.
    let tell = |router: &mut Subscriber<Desk>, at: u64, sent: u64| {
        let digest = Message::Digest(said(sent as u32 / 100, sent + 4000, 1));
        router.message_arrived(ms(at), &control, Incarnation(7), digest);
        router.known(ms(at), one).map(|word| word.at)
    };
    for at in [1100, 1200, 1300] {
        tell(&mut router, at, at);
    }
    router.message_arrived(ms(1310), &control, Incarnation(7), Message::Chunk(chunk(1, 0, 1, &[one])));
    assert_eq!(tell(&mut router, 1400, 1400), Some(ms(1350)));
    // It is lost, and followed again with the copy that was kept.
    let lost = (1450..5000).step_by(50).find(|at| {
        router.timer_fired(ms(*at));
        !router.follows(&control)
    });
    let again = (lost.unwrap() + 50..9000).step_by(50).find(|at| {
        router.timer_fired(ms(*at));
        router.follows(&control)
    });
    // The router then stands still, and reads all that has come meanwhile at one moment, in haste or not.
    let from = again.unwrap().next_multiple_of(100);
    let now = from + 1300;
    for sent in (from..now).step_by(100) {
        let at = tell(&mut router, now, sent).unwrap();
        assert!(at <= ms(sent - 50), "sent at {sent}, read at {now}, dated {at:?}");
    }
    // One more stall, in which less comes together.
    for sent in (now..=now + 300).step_by(100) {
        let at = tell(&mut router, now + 300, sent).unwrap();
        assert!(at <= ms(sent - 50), "sent at {sent}, read at {}, dated {at:?}", now + 300);
    }
    let at = tell(&mut router, now + 400, now + 400).unwrap();
    assert_eq!(at, ms(now + 350), "three that came one by one: it counts");
}

#[test]
fn a_router_that_was_held_up_reads_what_has_come_before_it_takes_anyone_for_silent() {
    let desk = Desk::default();
    let mut router = subscriber(&desk);
    let control = name("c0");
    let tell = |router: &mut Subscriber<Desk>, at: u64| {
        router.message_arrived(
            ms(at),
            &control,
            Incarnation(7),
            Message::Digest(said(at as u32 / 100, at, 1)),
        );
    };
    for at in (50..2000).step_by(50) {
        if at % 100 == 0 {
            tell(&mut router, at);
        }
        router.timer_fired(ms(at));
    }
    assert!(router.follows(&control));
    // Held up for longer than a silence may last: its timer comes first, and then what waits in its socket.
    router.timer_fired(ms(2750));
    assert!(router.follows(&control) && !router.is_alone(), "its digests lie in the socket");
    (2000..2750).step_by(100).for_each(|at| tell(&mut router, at));
    router.timer_fired(ms(2800));
    assert!(router.follows(&control));
    // One that has said nothing by the next look is lost as ever.
    router.timer_fired(ms(4000));
    assert!(router.follows(&control));
    router.timer_fired(ms(4050));
    assert!(!router.follows(&control));
}

#[test]
fn thousands_who_have_reason_to_look_do_not_look_at_once() {
    let mut chance = ChaCha8Rng::seed_from_u64(2);
    let basis = QuotaParams { period: ms(100), routers: 8000 };
    let mut first = Vec::new();
    for _ in 0..60 {
        // Their shares have been saved up when a database fails.
        let mut share = HealthCheckQuota::new(basis, ms(0));
        share.nodes_changed(ms(0), &(0..20_000).map(node).collect());
        let looks = (10_000..14_000).step_by(10).find(|at| share.claim(ms(*at), node(7), None, &mut chance));
        first.push(looks.unwrap() - 10_000);
    }
    first.sort_unstable();
    assert!(first[5] > 50 && first[30] > 600 && first[59] > 1600 && first[59] < 2100, "{first:?}");
}

#[test]
fn a_control_instance_that_counts_few_routers_at_its_start_lets_nobody_loose() {
    let mut chance = ChaCha8Rng::seed_from_u64(3);
    let claims = |digests: u64, apart: u64, chance: &mut ChaCha8Rng| {
        let mut share = HealthCheckQuota::new(QuotaParams { period: ms(100), routers: 4000 }, ms(0));
        share.nodes_changed(ms(0), &(0..2000).map(node).collect());
        let told = (1..=digests).map(|digest| ms(digest * apart));
        told.for_each(|at| share.basis_changed(at, QuotaParams { period: ms(100), routers: 8 }));
        let from = digests * apart;
        let mut claims = 0;
        for at in (from..from + 10_000).step_by(10) {
            claims += (0..2000).filter(|number| share.claim(ms(at), node(*number), None, chance)).count();
        }
        claims
    };
    // 2000 databases, ten times a second, by 4000 routers, four times over: 20 a second is the share of one.
    let after_one = claims(1, 50, &mut chance);
    assert!((150..=210).contains(&after_one), "{after_one}");
    // A tenth of a second and a second are that, however many digests came in them: in haste, from two.
    let after_a_few = claims(10, 10, &mut chance);
    assert!((150..=210).contains(&after_a_few), "{after_a_few}");
    let after_a_second = claims(100, 10, &mut chance);
    assert!((160..=235).contains(&after_a_second), "{after_a_second}");
    // One that has heard of nobody for a minute is told by the first digest.
    let after_silence = claims(1, 60_000, &mut chance);
    assert!((160..=235).contains(&after_silence), "{after_silence}");
    let after_a_minute = claims(1200, 50, &mut chance);
    assert!(after_a_minute > 20_000, "in time it is believed: {after_a_minute}");
}

/// All routers use one database, and are alone for half a minute, twice.
#[test]
fn thousands_who_are_alone_again_do_not_come_together_at_one_database() {
    const ROUTERS: u32 = 7900;
    let basis = QuotaParams { period: ms(150), routers: ROUTERS };
    let nodes: BTreeSet<SocketAddr> = (0..4000).map(node).collect();
    // By tenth of a second of each spell.
    let mut looks = [[0_u32; 300]; 2];
    for router in 0..ROUTERS {
        let mut chance = ChaCha8Rng::seed_from_u64(u64::from(router));
        let mut share = HealthCheckQuota::new(basis, ms(0));
        share.nodes_changed(ms(0), &nodes);
        for (spell, from) in [10_000, 100_000].into_iter().enumerate() {
            share.begin(ms(from), &mut chance);
            for tenth in 0..300 {
                let now = ms(from + tenth * 100);
                looks[spell][tenth as usize] += u32::from(share.claim(now, node(7), None, &mut chance));
            }
        }
    }
    for spell in looks {
        let second = |from: usize| spell[from..from + 10].iter().sum::<u32>();
        let most = (0..=290).map(second).max().unwrap();
        assert!(most <= 4200, "{most} in a second");
        // After the first looks there is no wave, but about the floor: a hundred in a period, 667 a second.
        let later = (60..=290).map(second).max().unwrap();
        assert!(later <= 1700, "{later} in a second");
        assert!((0..=2).all(|thing| spell[thing * 100..].iter().sum::<u32>() > 0));
    }
}

#[test]
fn a_share_is_begun_at_random_and_one_database_is_spared() {
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    let basis = QuotaParams { period: ms(100), routers: 1000 };
    let nodes: BTreeSet<SocketAddr> = (0..1000).map(node).collect();
    let mut first = Vec::new();
    for _ in 0..50 {
        let mut share = HealthCheckQuota::new(basis, ms(0));
        share.nodes_changed(ms(0), &nodes);
        share.begin(ms(0), &mut chance);
        let mut probes = BTreeMap::<u16, Vec<u64>>::new();
        for at in (0..4000).step_by(10) {
            for number in 0..20 {
                if share.claim(ms(at), node(number), None, &mut chance) {
                    probes.entry(number).or_default().push(at);
                }
            }
        }
        first.push(*probes.values().flatten().min().unwrap());
        let all: usize = probes.values().map(Vec::len).sum();
        // 40 a second are its part of all; but no database is asked for more than once a second by one of so many.
        assert!((50..=80).contains(&all), "{all}");
        for times in probes.values() {
            assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 1000), "{times:?}");
        }
    }
    first.sort_unstable();
    assert!(first[5] < 300 && first[25] > 200 && first[45] > 600, "{first:?}");
}
