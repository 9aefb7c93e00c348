//! Routers of the old and of the new shape of deployment at the same time before the same nodes, as while a fleet
//! moves: the rules hold for both, and neither keeps the other from being served.

mod standin;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use standin::{Discovery, Node, NodeBehavior, Reply, RouterProcess, configuration, statement, targets};

/// The settings in which the new shape differs: nodes report to health checks alone, answers carry no position, the list
/// comes unasked and names no primary, clients mark repeats and are given no Retry-After, there are no hedged requests.
const NEW: &[(&str, &str)] = &[
    (
        r#""Fields":["x0","x1"],"Source":"answers""#,
        r#""Fields":["x0","x1","inflight","queue"],"Source":"probe""#,
    ),
    (r#""Discovery":"subscribe""#, r#""Discovery":"automatic""#),
    (r#""MayDuplicate":true"#, r#""MayDuplicate":false,"RetryAfter":false"#),
    (r#""Checks":"none""#, r#""Checks":"none","Stamps":false,"RoleListed":"none""#),
    (r#""AskEveryMs":20000.0"#, r#""AskEveryMs":20000.0,"DroppedStayOpen":true"#),
    (r#""Balancers":1"#, r#""Balancers":1,"Clients":{"MarksRetry":true}"#),
];

/// The configuration with these changes, each of which has to find its place.
fn changed(text: String, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    })
}

/// The list of all nodes, in service in these roles.
fn listed(nodes: &[Node], roles: [&str; 4]) -> String {
    targets(&nodes.iter().zip(roles).map(|(node, role)| (node, role, "in_service")).collect::<Vec<_>>())
}

const ROLES: [&str; 4] = ["primary", "replica", "replica", "replica"];

/// A primary and three replicas, and a router of each shape that knows them; the new one from a list without roles.
struct Mixed {
    nodes: Vec<Node>,
    discovery: Discovery,
    routers: [RouterProcess; 2],
}

fn mixed() -> Mixed {
    mixed_with(&[])
}

/// With these changes to the settings of both routers.
fn mixed_with(changes: &[(&str, &str)]) -> Mixed {
    let nodes: Vec<Node> = (0..4).map(|place| Node::start(place == 0)).collect();
    let discovery = Discovery::start(listed(&nodes, ROLES));
    let old = changed(configuration(discovery.address, &listed(&nodes, ROLES), 200), changes);
    let new = changed(configuration(discovery.address, &listed(&nodes, [""; 4]), 200), changes);
    let routers = [old, changed(new, NEW)].map(|text| RouterProcess::start(&text));
    Mixed { nodes, discovery, routers }
}

/// What became of the RPCs of one router's clients: ok, rejected, aborted.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    ok: usize,
    rejected: usize,
    aborted: usize,
}

/// So many clients of the router ask one RPC after the other, a third of them writes, until the time is over.
fn load(router: &RouterProcess, clients: usize, span: Duration) -> thread::JoinHandle<Tally> {
    let address = router.address;
    thread::spawn(move || {
        let end = Instant::now() + span;
        let asking = (0..clients).map(|_| {
            thread::spawn(move || {
                let mut client = standin::Client::connect(address);
                let mut tally = Tally::default();
                for class in ["look", "recent", "enter"].into_iter().cycle() {
                    if Instant::now() >= end {
                        return tally;
                    }
                    match client.rpc(class, 2000) {
                        Reply::Value(_) => tally.ok += 1,
                        Reply::Error(code, _) if code == "53300" => tally.rejected += 1,
                        Reply::Error(..) => tally.aborted += 1,
                        reply => panic!("no final answer: {reply:?}"),
                    }
                }
                tally
            })
        });
        let asking: Vec<_> = asking.collect();
        asking.into_iter().map(|client| client.join().unwrap()).fold(Tally::default(), |sum, one| Tally {
            ok: sum.ok + one.ok,
            rejected: sum.rejected + one.rejected,
            aborted: sum.aborted + one.aborted,
        })
    })
}

/// The non-idempotent statements that reached the primary, by how often each did.
fn writes(node: &Node) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for query in node.queries().into_iter().filter(|query| query.contains("INSERT")) {
        // The wait differs from attempt to attempt; the id does not.
        *counts.entry(query.split(',').next().unwrap().to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn both_shapes_are_served_and_no_write_runs_twice() {
    let Mixed { nodes, routers, .. } = mixed();
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Delay(5)));
    // Two clients each: what a router gets does not hang on the other's shape.
    let each = routers.each_ref().map(|router| load(router, 2, Duration::from_millis(1500)));
    let [old, new] = each.map(|tallies| tallies.join().unwrap());
    for tally in [old, new] {
        assert!(tally.ok > 50 && tally.aborted == 0, "{old:?} {new:?}");
        assert!(tally.rejected * 20 <= tally.ok, "{old:?} {new:?}");
    }
    assert!(old.ok < 3 * new.ok && new.ok < 3 * old.ok, "neither starves: {old:?} {new:?}");
    let writes = writes(&nodes[0]);
    assert!(writes.len() > 30 && writes.values().all(|times| *times == 1), "{writes:?}");
}

#[test]
fn a_surge_behind_one_shape_leaves_the_other_its_quota() {
    for surged in [0, 1] {
        let Mixed { nodes, routers, .. } = mixed();
        nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Delay(10)));
        let surge = load(&routers[surged], 24, Duration::from_millis(1500));
        let few = load(&routers[1 - surged], 2, Duration::from_millis(1500));
        let (surge, few) = (surge.join().unwrap(), few.join().unwrap());
        assert!(few.ok > 20 && few.rejected <= few.ok, "surge at {surged}: {surge:?} {few:?}");
        assert!(surge.ok > 100, "surge at {surged}: {surge:?} {few:?}");
    }
}

#[test]
fn both_shapes_keep_a_drain_and_only_the_old_one_counts_dropping_out_as_gone() {
    let Mixed { nodes, discovery, routers } = mixed();
    let mut clients = routers.each_ref().map(RouterProcess::client);
    let mut ask = |place: usize, times: usize| {
        (0..times).for_each(|_| assert!(matches!(clients[place].rpc("look", 9000), Reply::Value(_))));
    };
    [0, 1].into_iter().for_each(|place| ask(place, 20));
    // Node 1 drains, and node 2 drops out of the list while it serves.
    let listed = [(&nodes[0], "primary", "in_service"), (&nodes[1], "replica", "terminating")];
    discovery.set_targets(targets(&[listed[0], listed[1], (&nodes[3], "replica", "in_service")]));
    routers.iter().for_each(|router| router.await_log_line("list 2"));
    let before = nodes[1].queries().len();
    let sent = |node: &Node| node.queries().len();
    let at_dropped = sent(&nodes[2]);
    ask(0, 30);
    assert_eq!((sent(&nodes[1]), sent(&nodes[2])), (before, at_dropped), "the old shape sends to neither");
    ask(1, 30);
    assert_eq!(sent(&nodes[1]), before, "nor does the new one to what drains");
    assert!(sent(&nodes[2]) > at_dropped, "but it does to what has only dropped out");
}

#[test]
fn the_new_shape_begins_its_watch_unasked_and_tells_no_time_to_come_back() {
    let Mixed { discovery, routers, .. } = mixed();
    // One call and the next of each router.
    discovery.await_calls(4);
    let mut client = routers[1].client();
    client.send_query(&statement("look", 9000).replace("cluster=0", "cluster=9"));
    assert_eq!(client.reply(), Reply::Error("53300".into(), None));
}

#[test]
fn a_warming_up_node_gets_its_quota_from_both_shapes_together() {
    // No more than its part: the multiple is one, and it takes four seconds to warm up from 0.3.
    let slow =
        [(r#""ColdMs":1000.0"#, r#""ColdMs":4000.0"#), (r#""FallMultiple":3.0"#, r#""FallMultiple":1.0"#)];
    let Mixed { nodes, discovery, routers } = mixed_with(&slow);
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Delay(5)));
    let loads = routers.each_ref().map(|router| load(router, 4, Duration::from_millis(4500)));
    thread::sleep(Duration::from_millis(3000));
    let listed = listed(&nodes, ROLES);
    // The last one has started anew.
    let (front, last) = listed.split_at(listed.rfind("boot_ms").unwrap());
    discovery.set_targets(front.to_string() + &last.replacen(":0", &format!(":{}", standin::unix_ms()), 1));
    routers.iter().for_each(|router| router.await_log_line("list 2"));
    let counts = || [&nodes[1], &nodes[2], &nodes[3]].map(|node| node.queries().len());
    let before = counts();
    thread::sleep(Duration::from_millis(1000));
    let [one, other, warming_up] =
        counts().iter().zip(before).map(|(now, was)| now - was).collect::<Vec<_>>()[..]
    else {
        panic!("three replicas");
    };
    for tallies in loads {
        assert!(tallies.join().unwrap().ok > 100, "both are served");
    }
    // At the end of the second it can do 0.475 of what it will; in the mean of that second less.
    let warm = (one + other) as f64 / 2.0;
    assert!(warm > 30.0 && warming_up > 0, "{one} {other} {warming_up}");
    assert!(warming_up as f64 <= 0.6 * warm + 8.0, "{one} {other} {warming_up}");
}
