//! SIGTERM and SIGHUP.

use std::time::Duration;

use crate::standin::{
    Client, Discovery, Node, NodeBehavior, Reply, RouterProcess, configuration, statement, targets,
};
use crate::{LOOK, SHORT_DEADLINE_LOOK, ok, pair, pair_with};

#[test]
fn a_router_that_is_told_to_stop_answers_all_pending_rpcs_first() {
    let (_, replica, mut router, _discovery) = pair();
    let (mut busy, mut idle) = (router.client(), router.client());
    assert_eq!(idle.rpc("look", 9000), ok());
    replica.set_behavior(NodeBehavior::Hang);
    busy.send_query(&statement("look", 9000));
    replica.await_queries(2);
    router.signal("-TERM");
    router.signal("-TERM");
    assert_eq!(idle.next_message(), None, "an idle connection is closed");
    replica.set_behavior(NodeBehavior::Answer);
    assert_eq!(busy.reply(), ok());
    assert_eq!(busy.next_message(), None);
    assert!(router.wait_for_exit().success());
}

#[test]
fn what_would_outlast_a_router_that_is_told_to_stop_is_answered_before_it_ends() {
    let (_, replica, mut router, _discovery) = pair();
    replica.set_behavior(NodeBehavior::Hang);
    // The platform kills it 3.7 s after the signal at the latest, however long its clients would wait.
    let mut clients: Vec<Client> = (0..3).map(|_| router.client()).collect();
    clients.iter_mut().for_each(|client| client.send_query(&statement("look", 9000)));
    replica.await_queries(3);
    router.signal("-TERM");
    for client in &mut clients {
        let reply = client.reply();
        assert!(matches!(reply, Reply::Error(..)), "{reply:?}");
    }
    assert!(router.wait_for_exit().success());
}

#[test]
fn a_router_that_is_told_to_stop_serves_its_clients_on_and_closes_their_sessions_bit_by_bit() {
    let (_, _, mut router, _) = pair_with(200, LOOK, SHORT_DEADLINE_LOOK);
    let mut clients: Vec<Client> = (0..20).map(|_| router.client()).collect();
    assert!(clients.iter_mut().all(|client| client.rpc("look", 500) == ok()));
    router.signal("-TERM");
    router.await_log_line("listener closed, draining 20 sessions");
    assert!(std::net::TcpStream::connect(router.address).is_err());
    let replies: Vec<Reply> = clients.iter_mut().map(|client| client.try_rpc("look", 500)).collect();
    let served = replies.iter().filter(|reply| **reply == ok()).count();
    assert!(served > 0 && replies.iter().all(|reply| [ok(), Reply::Closed].contains(reply)), "{replies:?}");
    assert!(router.wait_for_exit().success());
    assert!(clients.iter_mut().all(|client| client.next_message().is_none()));
}

#[test]
fn each_rpc_that_comes_on_an_open_connection_after_the_signal_is_answered_or_was_never_read() {
    let (primary, replica, mut router, _) = pair_with(200, LOOK, SHORT_DEADLINE_LOOK);
    let clients: Vec<Client> = (0..40).map(|_| router.client()).collect();
    // All of them send without a pause until their connection ends.
    let load = clients.into_iter().map(|mut client| {
        std::thread::spawn(move || {
            let mut answered = 0;
            loop {
                let text = statement("look", 500);
                match client.try_query(&text) {
                    Reply::Closed => break (answered, text),
                    _ => answered += 1,
                }
            }
        })
    });
    let load: Vec<_> = load.collect();
    std::thread::sleep(Duration::from_millis(100));
    router.signal("-TERM");
    let ends: Vec<(usize, String)> = load.into_iter().map(|one| one.join().unwrap()).collect();
    assert!(router.wait_for_exit().success());
    let sent_on: Vec<String> = primary.queries().into_iter().chain(replica.queries()).collect();
    assert!(ends.iter().all(|(answered, _)| *answered > 0), "{ends:?}");
    let lost: Vec<_> = ends.iter().filter(|(_, last)| sent_on.contains(last)).collect();
    assert!(lost.is_empty(), "read and sent on, and not answered: {lost:?}");
}

#[test]
fn a_new_configuration_moves_the_watch_of_the_list_and_ends_nothing() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, first, second] = &nodes;
    let only = |node| targets(&[(primary, "primary", "in_service"), (node, "replica", "in_service")]);
    let [old, new] = [first, second].map(|node| Discovery::start(only(node)));
    let text = configuration(old.address, &only(first), 200);
    // The variable is as old as the process, so the file's word wins from then on.
    let mut router = RouterProcess::start_with(&text, &[("GW_DISCOVERY", &old.address.to_string())]);
    old.await_calls(2);
    let mut client = router.client();
    assert_eq!((client.rpc("look", 9000), first.queries().len()), (ok(), 1));
    second.set_behavior(NodeBehavior::Hang);
    let told = |text: &str, line: &str| {
        std::fs::write(&router.path, text).unwrap();
        router.signal("-HUP");
        router.await_log_line(line);
    };
    told("{", "configuration reload failed");
    told(&text.replace("192", "64"), "limits.memory_mb has changed");
    told(
        &text.replace(&old.address.to_string(), &new.address.to_string()),
        "configuration reloaded, discovery at",
    );
    new.await_calls(2);
    client.send_query(&statement("look", 9000));
    second.await_queries(1);
    // Also while it drains, with an attempt under way.
    router.signal("-TERM");
    router.await_log_line("draining");
    old.set_targets(only(first));
    let calls = old.calls();
    std::fs::write(&router.path, &text).unwrap();
    router.signal("-HUP");
    old.await_calls(calls + 2);
    second.set_behavior(NodeBehavior::Answer);
    assert_eq!((client.reply(), first.queries().len(), second.queries().len()), (ok(), 1, 1));
    assert!(router.wait_for_exit().success());
}
