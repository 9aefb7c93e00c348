//! The endpoint list: which changes are applied, and when the list is polled again.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::standin::{Node, RouterProcess, configuration, targets};
use crate::{ok, start_pair, start_pair_with, start_without_router};

/// Guards against one malformed entry that makes the router ignore the whole list.
#[test]
fn changed_list_is_applied_without_its_malformed_entry() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, draining, serving] = &nodes;
    let (router, discovery) =
        RouterProcess::start_with_nodes(&[(primary, "primary"), (draining, "replica"), (serving, "replica")]);
    discovery.await_calls(2);
    let list = targets(&[
        (primary, "primary", "in_service"),
        (draining, "replica", "terminating"),
        (serving, "replica", "in_service"),
    ]);
    discovery.set_targets(list.replacen(
        '[',
        r#"[{"uid":"s-9","endpoint":"nowhere","state":"in_service"},"#,
        1,
    ));
    discovery.await_calls(3);
    let mut client = router.client();
    assert!((0..20).all(|_| client.rpc("look", 9000) == ok()));
    assert_eq!((draining.queries().len(), serving.queries().len()), (0, 20));
}

/// Guards against a list without any valid entry that removes all nodes.
#[test]
fn list_without_valid_entries_is_ignored() {
    let (_, replica, router, discovery) = start_pair();
    discovery.await_calls(2);
    discovery.set_targets(r#"[{"name":"s-1"},{"name":"s-2"}]"#.into());
    // The poll failed, so the next one starts a new watch.
    discovery.await_calls(3);
    assert_eq!((router.client().rpc("look", 9000), replica.queries().len()), (ok(), 1));
}

/// Guards against missing a change because a long poll is never answered. Discovery counts a change as
/// delivered 2 s after the poll's wait ends, so the router must start a new watch before that.
#[test]
fn stalled_watch_is_restarted_in_time_for_a_missed_change() {
    // A poll waits one second at most.
    let (primary, replica, router, discovery) = start_pair_with(200, "20000.0", "1000.0");
    discovery.await_calls(2);
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let changed_at = Instant::now();
    discovery
        .set_targets(targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]));
    // The waiting poll is never answered; the next one is.
    std::thread::sleep(Duration::from_millis(100));
    discovery.unresponsive.store(false, Ordering::SeqCst);
    router.await_log_line("watch timed out without an answer");
    router.await_log_line("list 2: 2 entries");
    assert!(
        changed_at.elapsed() < Duration::from_millis(3000),
        "the change arrived after {:?}",
        changed_at.elapsed()
    );
}

/// Guards against waiting without limit for the answer to the first call for the list.
#[test]
fn unanswered_first_call_for_the_list_is_repeated() {
    let (_primary, _replica, list, discovery) = start_without_router();
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let started = Instant::now();
    let router = RouterProcess::start(&configuration(discovery.address, &list, 200));
    discovery.await_calls(1);
    discovery.unresponsive.store(false, Ordering::SeqCst);
    discovery.set_targets(list);
    router.await_log_line("list 2: 2 entries");
    assert!(
        started.elapsed() < Duration::from_millis(4000),
        "the list arrived after {:?}",
        started.elapsed()
    );
}

/// Guards against a router with automatic discovery that waits for a request of the decisions before it
/// polls, and against rejecting pretty-printed JSON.
#[test]
fn automatic_discovery_polls_from_the_start_and_accepts_indented_json() {
    let (subscribe, automatic) = (r#""Discovery":"subscribe""#, r#""Discovery":"automatic""#);
    let (primary, replica, router, discovery) = start_pair_with(200, subscribe, automatic);
    discovery.await_calls(2);
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]);
    let tree: serde_json::Value = serde_json::from_str(&list).unwrap();
    discovery.set_targets(serde_json::to_string_pretty(&tree).unwrap());
    router.await_log_line("list 2: 2 entries");
    router.client().rpc("look", 9000);
    assert!(replica.queries().is_empty(), "the new list drains the replica");
}
