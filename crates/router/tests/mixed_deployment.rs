//! Routers with old and with new deployment settings in front of the same nodes, as during the migration of a
//! fleet. All rules must hold for both, and neither may starve the other.

mod standin;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use standin::{Discovery, Node, NodeBehavior, Reply, RouterProcess, configuration, statement, targets};

/// The replacements that turn the old settings into the new ones: nodes send load reports only to health
/// checks, answers carry no log position, the endpoint list is watched from the start and names no primary,
/// clients mark retries and receive no Retry-After, and there is no hedging.
const NEW_SETTINGS: &[(&str, &str)] = &[
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

/// Applies replacements to a configuration. Each must match.
fn with_replacements(text: String, replacements: &[(&str, &str)]) -> String {
    replacements.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "the configuration does not contain {from}");
        text.replacen(from, to, 1)
    })
}

/// The endpoint list with all nodes in service, in these roles.
fn endpoint_list(nodes: &[Node], roles: [&str; 4]) -> String {
    targets(&nodes.iter().zip(roles).map(|(node, role)| (node, role, "in_service")).collect::<Vec<_>>())
}

const ROLES: [&str; 4] = ["primary", "replica", "replica", "replica"];

/// A primary, three replicas, and two routers that know them: the first with the old settings, the second
/// with the new ones and a list without roles.
struct MixedDeployment {
    nodes: Vec<Node>,
    discovery: Discovery,
    routers: [RouterProcess; 2],
}

fn start_mixed_deployment() -> MixedDeployment {
    start_with_replacements(&[])
}

/// Starts the deployment with replacements in the settings of both routers.
fn start_with_replacements(replacements: &[(&str, &str)]) -> MixedDeployment {
    let nodes: Vec<Node> = (0..4).map(|place| Node::start(place == 0)).collect();
    let discovery = Discovery::start(endpoint_list(&nodes, ROLES));
    let old =
        with_replacements(configuration(discovery.address, &endpoint_list(&nodes, ROLES), 200), replacements);
    let new = with_replacements(
        configuration(discovery.address, &endpoint_list(&nodes, [""; 4]), 200),
        replacements,
    );
    let routers = [old, with_replacements(new, NEW_SETTINGS)].map(|text| RouterProcess::start(&text));
    MixedDeployment { nodes, discovery, routers }
}

/// The number of RPCs of a router's clients by their result.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    ok: usize,
    rejected: usize,
    aborted: usize,
}

/// Starts clients of the router that each send RPCs one after the other for the time `span`. A third of the
/// RPCs are writes.
fn load(router: &RouterProcess, clients: usize, span: Duration) -> thread::JoinHandle<Tally> {
    let address = router.address;
    thread::spawn(move || {
        let end = Instant::now() + span;
        let running = (0..clients).map(|_| {
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
                        reply => panic!("expected a value or an error, got {reply:?}"),
                    }
                }
                tally
            })
        });
        let running: Vec<_> = running.collect();
        running.into_iter().map(|client| client.join().unwrap()).fold(Tally::default(), |sum, one| Tally {
            ok: sum.ok + one.ok,
            rejected: sum.rejected + one.rejected,
            aborted: sum.aborted + one.aborted,
        })
    })
}

/// The non-idempotent statements that reached a node, with the number of times that each did.
fn writes(node: &Node) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for query in node.queries().into_iter().filter(|query| query.contains("INSERT")) {
        // Attempts of an RPC have the same id but different remaining times.
        *counts.entry(query.split(',').next().unwrap().to_string()).or_default() += 1;
    }
    counts
}

/// Guards against routers with one kind of settings that starve those with the other, and against writes that
/// run twice.
#[test]
fn both_settings_are_served_and_no_write_runs_twice() {
    let MixedDeployment { nodes, routers, .. } = start_mixed_deployment();
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Delay(5)));
    // Two clients for each router, so that both should have a similar throughput.
    let each = routers.each_ref().map(|router| load(router, 2, Duration::from_millis(1500)));
    let [old, new] = each.map(|tallies| tallies.join().unwrap());
    for tally in [old, new] {
        assert!(tally.ok > 50 && tally.aborted == 0, "too few answers, or aborts: {old:?} {new:?}");
        assert!(tally.rejected * 20 <= tally.ok, "too many rejections: {old:?} {new:?}");
    }
    assert!(old.ok < 3 * new.ok && new.ok < 3 * old.ok, "one router starves: {old:?} {new:?}");
    let writes = writes(&nodes[0]);
    assert!(
        writes.len() > 30 && writes.values().all(|times| *times == 1),
        "writes at the primary: {writes:?}"
    );
}

/// Guards against a surge at one router that takes the nodes' capacity away from the other.
#[test]
fn surge_at_one_router_leaves_the_other_its_quota() {
    for surged in [0, 1] {
        let MixedDeployment { nodes, routers, .. } = start_mixed_deployment();
        nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Delay(10)));
        let surge = load(&routers[surged], 24, Duration::from_millis(1500));
        let light = load(&routers[1 - surged], 2, Duration::from_millis(1500));
        let (surge, light) = (surge.join().unwrap(), light.join().unwrap());
        assert!(light.ok > 20 && light.rejected <= light.ok, "surge at {surged}: {surge:?} {light:?}");
        assert!(surge.ok > 100, "surge at {surged}: {surge:?} {light:?}");
    }
}

/// Guards against a setting that is mixed up: under the old settings a node that is missing from the list is
/// drained, under the new ones only a node that is listed as draining.
#[test]
fn both_settings_drain_listed_nodes_and_only_the_old_ones_drain_missing_nodes() {
    let MixedDeployment { nodes, discovery, routers } = start_mixed_deployment();
    let mut clients = routers.each_ref().map(RouterProcess::client);
    let mut send_reads = |router: usize, times: usize| {
        (0..times).for_each(|_| assert!(matches!(clients[router].rpc("look", 9000), Reply::Value(_))));
    };
    [0, 1].into_iter().for_each(|router| send_reads(router, 20));
    // Node 1 is draining. Node 2 is missing from the list, but serves.
    let listed = [(&nodes[0], "primary", "in_service"), (&nodes[1], "replica", "terminating")];
    discovery.set_targets(targets(&[listed[0], listed[1], (&nodes[3], "replica", "in_service")]));
    routers.iter().for_each(|router| router.await_log_line("list 2"));
    let before = nodes[1].queries().len();
    let sent = |node: &Node| node.queries().len();
    let before_missing = sent(&nodes[2]);
    send_reads(0, 30);
    assert_eq!(
        (sent(&nodes[1]), sent(&nodes[2])),
        (before, before_missing),
        "the router with the old settings sends to neither"
    );
    send_reads(1, 30);
    assert_eq!(
        sent(&nodes[1]),
        before,
        "the router with the new settings does not send to the draining node"
    );
    assert!(sent(&nodes[2]) > before_missing, "the router with the new settings sends to the missing node");
}

#[test]
fn new_settings_watch_the_list_from_the_start_and_send_no_retry_after() {
    let MixedDeployment { discovery, routers, .. } = start_mixed_deployment();
    // Each router has made its first poll and the one after it.
    discovery.await_calls(4);
    let mut client = routers[1].client();
    client.send_query(&statement("look", 9000).replace("cluster=0", "cluster=9"));
    assert_eq!(client.reply(), Reply::Error("53300".into(), None));
}

/// Guards against two routers that each give a warming-up node the quota that it should get from both
/// together.
#[test]
fn warming_up_node_gets_its_quota_from_both_routers_together() {
    // The node must get no more than its quota: the overload multiple is one. It takes four seconds to warm
    // up from 0.3 of its capacity.
    let slow_warm_up =
        [(r#""ColdMs":1000.0"#, r#""ColdMs":4000.0"#), (r#""FallMultiple":3.0"#, r#""FallMultiple":1.0"#)];
    let MixedDeployment { nodes, discovery, routers } = start_with_replacements(&slow_warm_up);
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::Delay(5)));
    let loads = routers.each_ref().map(|router| load(router, 4, Duration::from_millis(4500)));
    thread::sleep(Duration::from_millis(3000));
    let list = endpoint_list(&nodes, ROLES);
    // The last node has restarted.
    let (front, last) = list.split_at(list.rfind("boot_ms").unwrap());
    discovery.set_targets(front.to_string() + &last.replacen(":0", &format!(":{}", standin::unix_ms()), 1));
    routers.iter().for_each(|router| router.await_log_line("list 2"));
    let counts = || [&nodes[1], &nodes[2], &nodes[3]].map(|node| node.queries().len());
    let before = counts();
    thread::sleep(Duration::from_millis(1000));
    let [one, other, warming_up] =
        counts().iter().zip(before).map(|(after, before)| after - before).collect::<Vec<_>>()[..]
    else {
        panic!("expected the counts of three replicas");
    };
    for tallies in loads {
        assert!(tallies.join().unwrap().ok > 100, "each router is served");
    }
    // At the end of that second the node has 0.475 of its full capacity, so its mean during the second is
    // lower.
    let warm = (one + other) as f64 / 2.0;
    assert!(warm > 30.0 && warming_up > 0, "RPCs at the replicas: {one} {other} {warming_up}");
    assert!(warming_up as f64 <= 0.6 * warm + 8.0, "RPCs at the replicas: {one} {other} {warming_up}");
}
