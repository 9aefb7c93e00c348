//! The endpoint list: what is taken over, and when it is asked for again.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::standin::{Node, RouterProcess, configuration, targets};
use crate::{ok, pair, pair_with, without_router};

#[test]
fn a_change_of_the_list_takes_effect_and_an_entry_that_cannot_be_read_is_skipped() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, drains, stays] = &nodes;
    let (router, discovery) =
        RouterProcess::start_with_nodes(&[(primary, "primary"), (drains, "replica"), (stays, "replica")]);
    discovery.await_calls(2);
    let list = targets(&[
        (primary, "primary", "in_service"),
        (drains, "replica", "terminating"),
        (stays, "replica", "in_service"),
    ]);
    discovery.set_targets(list.replacen(
        '[',
        r#"[{"uid":"s-9","endpoint":"nowhere","state":"in_service"},"#,
        1,
    ));
    discovery.await_calls(3);
    let mut client = router.client();
    assert!((0..20).all(|_| client.rpc("look", 9000) == ok()));
    assert_eq!((drains.queries().len(), stays.queries().len()), (0, 20));
}

#[test]
fn a_list_of_which_nothing_can_be_read_leaves_the_old_one() {
    let (_, replica, router, discovery) = pair();
    discovery.await_calls(2);
    discovery.set_targets(r#"[{"name":"s-1"},{"name":"s-2"}]"#.into());
    // It failed, so the next call is the first of a new watch.
    discovery.await_calls(3);
    assert_eq!((router.client().rpc("look", 9000), replica.queries().len()), (ok(), 1));
}

/// What a watch that has fallen silent missed counts as told 2 s after the end of its wait.
#[test]
fn a_watch_that_falls_silent_is_begun_anew_in_time_to_hear_what_it_missed() {
    // It waits a second at the most.
    let (primary, replica, router, discovery) = pair_with(200, "20000.0", "1000.0");
    discovery.await_calls(2);
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let silent_since = Instant::now();
    discovery
        .set_targets(targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]));
    // The call that waits now is never answered; the one after it is.
    std::thread::sleep(Duration::from_millis(100));
    discovery.unresponsive.store(false, Ordering::SeqCst);
    router.await_log_line("watch timed out without an answer");
    router.await_log_line("list 2: 2 entries");
    assert!(silent_since.elapsed() < Duration::from_millis(3000), "{:?}", silent_since.elapsed());
}

#[test]
fn a_call_for_the_list_that_is_never_answered_is_made_again() {
    let (_primary, _replica, list, discovery) = without_router();
    discovery.unresponsive.store(true, Ordering::SeqCst);
    let started = Instant::now();
    let router = RouterProcess::start(&configuration(discovery.address, &list, 200));
    discovery.await_calls(1);
    discovery.unresponsive.store(false, Ordering::SeqCst);
    discovery.set_targets(list);
    router.await_log_line("list 2: 2 entries");
    assert!(started.elapsed() < Duration::from_millis(4000), "{:?}", started.elapsed());
}

#[test]
fn a_list_that_comes_unasked_is_watched_from_the_start_and_may_be_indented() {
    let (subscribe, automatic) = (r#""Discovery":"subscribe""#, r#""Discovery":"automatic""#);
    let (primary, replica, router, discovery) = pair_with(200, subscribe, automatic);
    discovery.await_calls(2);
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "terminating")]);
    let tree: serde_json::Value = serde_json::from_str(&list).unwrap();
    discovery.set_targets(serde_json::to_string_pretty(&tree).unwrap());
    router.await_log_line("list 2: 2 entries");
    router.client().rpc("look", 9000);
    assert!(replica.queries().is_empty(), "it was told to drain");
}
