//! Graceful shutdown on SIGTERM, and configuration reload on SIGHUP.

use std::io::Write;
use std::time::{Duration, Instant};

use quillpoint_router::pg;

use crate::standin::{
    Client, Discovery, Node, NodeBehavior, Reply, RouterProcess, configuration, statement, targets,
};
use crate::{LOOK, SHORT_DEADLINE_LOOK, ok, start_pair, start_pair_with};

/// Guards against a stopping router that exits before it has answered pending RPCs.
#[test]
fn stopping_router_answers_pending_rpcs() {
    let (_, replica, mut router, _discovery) = start_pair();
    let (mut busy, mut idle) = (router.client(), router.client());
    assert_eq!(idle.rpc("look", 9000), ok());
    replica.set_behavior(NodeBehavior::Hang);
    busy.send_query(&statement("look", 9000));
    replica.await_queries(2);
    router.signal("-TERM");
    router.signal("-TERM");
    assert_eq!(idle.next_message(), None, "an idle session is closed");
    replica.set_behavior(NodeBehavior::Answer);
    assert_eq!(busy.reply(), ok());
    assert_eq!(busy.next_message(), None);
    assert!(router.wait_for_exit().success());
}

/// Guards against RPCs whose deadline is later than the router's exit and that are never answered.
#[test]
fn stopping_router_answers_rpcs_with_later_deadlines_before_it_exits() {
    let (_, replica, mut router, _discovery) = start_pair();
    replica.set_behavior(NodeBehavior::Hang);
    // The platform kills the router 3.7 s after the signal at the latest, even if its clients would wait
    // longer.
    let mut clients: Vec<Client> = (0..3).map(|_| router.client()).collect();
    clients.iter_mut().for_each(|client| client.send_query(&statement("look", 9000)));
    replica.await_queries(3);
    router.signal("-TERM");
    for client in &mut clients {
        let reply = client.reply();
        assert!(matches!(reply, Reply::Error(..)), "expected an error response, got {reply:?}");
    }
    assert!(router.wait_for_exit().success());
}

/// Guards against a stopping router that rejects the RPCs of open sessions, or that closes all sessions at
/// once.
#[test]
fn stopping_router_serves_open_sessions_and_closes_them_gradually() {
    let (_, _, mut router, _) = start_pair_with(200, LOOK, SHORT_DEADLINE_LOOK);
    let mut clients: Vec<Client> = (0..20).map(|_| router.client()).collect();
    assert!(clients.iter_mut().all(|client| client.rpc("look", 500) == ok()));
    router.signal("-TERM");
    router.await_log_line("listener closed, draining 20 sessions");
    assert!(std::net::TcpStream::connect(router.address).is_err());
    let replies: Vec<Reply> = clients.iter_mut().map(|client| client.try_rpc("look", 500)).collect();
    let served = replies.iter().filter(|reply| **reply == ok()).count();
    assert!(
        served > 0 && replies.iter().all(|reply| [ok(), Reply::Closed].contains(reply)),
        "expected answers or closed sessions: {replies:?}"
    );
    assert!(router.wait_for_exit().success());
    assert!(clients.iter_mut().all(|client| client.next_message().is_none()));
}

/// Guards against losing RPCs during shutdown: one that arrives on an open session is either answered or not
/// forwarded.
#[test]
fn rpcs_after_sigterm_are_answered_or_not_forwarded() {
    let (primary, replica, mut router, _) = start_pair_with(200, LOOK, SHORT_DEADLINE_LOOK);
    let clients: Vec<Client> = (0..40).map(|_| router.client()).collect();
    // The clients send RPCs without a pause until their connection is closed.
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
    let forwarded: Vec<String> = primary.queries().into_iter().chain(replica.queries()).collect();
    assert!(ends.iter().all(|(answered, _)| *answered > 0), "a client received no answer: {ends:?}");
    let lost: Vec<_> = ends.iter().filter(|(_, last)| forwarded.contains(last)).collect();
    assert!(lost.is_empty(), "forwarded but not answered: {lost:?}");
}

/// Guards against exiting with an open session, whose client has always sent further statements before the
/// last ones were answered: those that were read then had no answer.
#[test]
fn stopping_router_answers_all_that_it_has_read_of_a_client_that_never_pauses() {
    const BATCH: usize = 40;
    let (_, _, mut router, _) = start_pair_with(200, LOOK, SHORT_DEADLINE_LOOK);
    let batch = || -> Vec<u8> {
        (0..BATCH).flat_map(|_| pg::query_message(statement("look", 500).as_bytes())).collect()
    };
    let address = router.address;
    let load: Vec<_> = (0..8)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                client.send(&batch());
                let mut answered = 0;
                loop {
                    // The next batch arrives as a whole, and long before this one is answered.
                    if answered % BATCH == 0 && client.stream.write_all(&batch()).is_err() {
                        break;
                    }
                    match client.reply() {
                        Reply::Closed => break,
                        _ => answered += 1,
                    }
                }
                // After a failed write, answers may still be on their way.
                while client.reply() != Reply::Closed {
                    answered += 1;
                }
                answered
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    router.signal("-TERM");
    let answered: Vec<usize> = load.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(router.wait_for_exit().success());
    assert!(answered.iter().all(|answered| *answered > BATCH), "too few answers: {answered:?}");
    let incomplete: Vec<usize> = answered.iter().map(|answered| answered % BATCH).collect();
    assert!(incomplete.iter().all(|rest| *rest == 0), "answers to parts of a batch: {incomplete:?}");
}

/// What was written whole this long before its connection's end has not crossed it.
const CROSSING_TIME: Duration = Duration::from_millis(250);
/// When the platform sends SIGKILL, at the earliest, to a router whose longest deadline is over 3 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);

fn statements(count: usize, wait_ms: u64) -> Vec<String> {
    (0..count).map(|_| statement("look", wait_ms)).collect()
}

/// Reads replies until the connection is closed, and returns their number.
fn count_replies(client: &mut Client) -> usize {
    std::iter::from_fn(|| Some(client.reply()).filter(|reply| *reply != Reply::Closed)).count()
}

/// Guards against a router that exits while many sessions still have statements to reject. It gave them 50 ms in
/// all, and thousands of statements that it had read, or that had arrived, were not answered.
#[test]
fn stopping_router_answers_many_clients_that_send_many_statements_at_once() {
    const CLIENTS: usize = 150;
    const BATCH: usize = 100;
    let (_, replica, mut router, _) = start_pair_with(1000, LOOK, SHORT_DEADLINE_LOOK);
    replica.set_behavior(NodeBehavior::Delay(30));
    let address = router.address;
    let load: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect_and_query(address, "");
                assert_eq!(client.reply(), Reply::Empty);
                loop {
                    let sent = Instant::now();
                    client.send_queries(&statements(BATCH, 500));
                    let answered = (0..BATCH).take_while(|_| client.reply() != Reply::Closed).count();
                    if answered < BATCH {
                        break (BATCH - answered, sent.elapsed());
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    router.signal("-TERM");
    let stopped = Instant::now();
    assert!(router.wait_for_exit().success());
    assert!(stopped.elapsed() < KILL_AFTER, "the router exited only after {:?}", stopped.elapsed());
    let unanswered: Vec<(usize, Duration)> = load.into_iter().map(|client| client.join().unwrap()).collect();
    let lost: Vec<_> = unanswered.iter().filter(|(_, age)| *age > CROSSING_TIME).collect();
    assert!(lost.is_empty(), "statements without an answer, and their ages: {lost:?}");
}

/// Stops a router whose client has sent this many statements at once, while no node answers.
fn stop_with_statements_at_a_hanging_node(count: usize) -> ((Node, Node), RouterProcess, Client) {
    let (primary, replica, router, _) = start_pair();
    let mut client = router.client();
    assert_eq!(client.rpc("look", 9000), ok());
    replica.set_behavior(NodeBehavior::Hang);
    client.send_queries(&statements(count, 9000));
    replica.await_queries(2);
    router.signal("-TERM");
    ((primary, replica), router, client)
}

/// Guards against rejecting only the first 64 KiB of what has arrived when the router ends, also while a node
/// does not answer until then.
#[test]
fn stopping_router_answers_all_that_has_arrived_however_much() {
    const STATEMENTS: usize = 3000;
    let (_nodes, mut router, mut client) = stop_with_statements_at_a_hanging_node(STATEMENTS);
    assert_eq!(count_replies(&mut client), STATEMENTS);
    assert!(router.wait_for_exit().success());
}

/// Guards against answers that are lost because the process exits with unread bytes, which resets the
/// connection of a client that has not read them yet.
#[test]
fn client_that_reads_late_receives_all_answers_of_a_router_that_has_exited() {
    const STATEMENTS: usize = 1000;
    let (_nodes, mut router, mut client) = stop_with_statements_at_a_hanging_node(STATEMENTS);
    assert!(router.wait_for_exit().success());
    assert_eq!(count_replies(&mut client), STATEMENTS);
}

/// Guards against a router that exits without answers after it was paused across the end of its shutdown.
#[test]
fn stopping_router_that_was_paused_answers_all_that_has_arrived() {
    const CLIENTS: usize = 100;
    const BATCH: usize = 100;
    let (_, replica, mut router, _) = start_pair_with(1000, LOOK, SHORT_DEADLINE_LOOK);
    replica.set_behavior(NodeBehavior::Delay(30));
    let mut clients: Vec<Client> =
        (0..CLIENTS).map(|_| Client::connect_and_query(router.address, "")).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.reply(), Reply::Empty));
    router.signal("-TERM");
    router.await_log_line("listener closed");
    router.signal("-STOP");
    clients.iter_mut().for_each(|client| client.send_queries(&statements(BATCH, 500)));
    std::thread::sleep(KILL_AFTER);
    router.signal("-CONT");
    let answered: Vec<usize> = clients.iter_mut().map(count_replies).collect();
    assert!(router.wait_for_exit().success());
    assert!(answered.iter().all(|count| *count == BATCH), "answers to {BATCH} statements: {answered:?}");
}

/// Guards against a configuration reload that keeps polling the old discovery address, or that ends RPCs or
/// sessions, also while the router drains.
#[test]
fn reload_moves_the_endpoint_watch_and_interrupts_nothing() {
    let nodes = [true, false, false].map(Node::start);
    let [primary, first, second] = &nodes;
    let list_with = |node| targets(&[(primary, "primary", "in_service"), (node, "replica", "in_service")]);
    let [old, new] = [first, second].map(|node| Discovery::start(list_with(node)));
    let text = configuration(old.address, &list_with(first), 200);
    // The environment variable dates from the start of the process, so after a reload the file takes
    // precedence.
    let mut router = RouterProcess::start_with(&text, &[("GW_DISCOVERY", &old.address.to_string())]);
    old.await_calls(2);
    let mut client = router.client();
    assert_eq!((client.rpc("look", 9000), first.queries().len()), (ok(), 1));
    second.set_behavior(NodeBehavior::Hang);
    let reload = |text: &str, log_line: &str| {
        std::fs::write(&router.path, text).unwrap();
        router.signal("-HUP");
        router.await_log_line(log_line);
    };
    reload("{", "configuration reload failed");
    reload(&text.replace("192", "64"), "limits.memory_mb has changed");
    reload(
        &text.replace(&old.address.to_string(), &new.address.to_string()),
        "configuration reloaded, discovery at",
    );
    new.await_calls(2);
    client.send_query(&statement("look", 9000));
    second.await_queries(1);
    // The same while the router drains, with an attempt in progress.
    router.signal("-TERM");
    router.await_log_line("draining");
    old.set_targets(list_with(first));
    let calls = old.calls();
    std::fs::write(&router.path, &text).unwrap();
    router.signal("-HUP");
    old.await_calls(calls + 2);
    second.set_behavior(NodeBehavior::Answer);
    assert_eq!((client.reply(), first.queries().len(), second.queries().len()), (ok(), 1, 1));
    assert!(router.wait_for_exit().success());
}
