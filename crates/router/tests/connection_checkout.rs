//! Checking out connections for attempts. The engine and the pool of a router run in the test process, so
//! that the test controls what happens between the command of an attempt and its first byte.

mod standin;

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use quillpoint::host::EndpointUpdate;
use quillpoint_memory_budget::Category;
use quillpoint_router::active_request_ids::ActiveRequestIds;
use quillpoint_router::budget::SharedBudget;
use quillpoint_router::config::StartupOptions;
use quillpoint_router::descriptors::DescriptorLimiter;
use quillpoint_router::endpoint_list::EndpointParser;
use quillpoint_router::engine::{AttemptCommand, Engine, EngineOutputs, PendingResponse, RpcCommand};
use quillpoint_router::pool::ConnectionPool;
use quillpoint_router::socket_liveness::{ClientLiveness, peer_has_closed};
use quillpoint_router::statement::{InFlightStatement, Statement};
use standin::{ConnectBehavior, Discovery, Node, VALUE, configuration, count, statement, targets};

/// Timeout for expected events, much longer than any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the condition did not become true within {WAIT_TIMEOUT:?}"
        );
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// The engine and the pool of a router that knows one primary and makes no health checks.
struct RouterParts {
    engine: Rc<Engine>,
    pool: Rc<ConnectionPool>,
    budget: SharedBudget,
    active_ids: Rc<ActiveRequestIds>,
    _outputs: EngineOutputs,
}

/// A pending RPC, and the client's end of its connection.
struct ArrivedRpc {
    pending: PendingResponse,
    statement: Rc<InFlightStatement>,
    session: Rc<Async<TcpStream>>,
    client: TcpStream,
}

impl RouterParts {
    fn new(executor: &Rc<LocalExecutor<'static>>, node: &Node, replacements: &[(&str, &str)]) -> Self {
        let list = targets(&[(node, "primary", "in_service")]);
        let text = configuration(Discovery::start(list.clone()).address, &list, 200);
        let no_health_checks = (r#""Probes":true"#, r#""Probes":false"#);
        let text = [no_health_checks].iter().chain(replacements).fold(text, |text, (from, to)| {
            assert!(text.contains(from), "the configuration does not contain {from}");
            text.replace(from, to)
        });
        let options = StartupOptions::from_json(&serde_json::from_str(&text).unwrap(), |_| None).unwrap();
        let (engine, _outputs) = Engine::new(options.seed, &options.deployment);
        engine.endpoints_changed(
            EndpointUpdate::Snapshot,
            &EndpointParser::new(&options.deployment).apply(&options.cached_endpoints),
        );
        let budget = SharedBudget::new(options.memory_bytes);
        let descriptors = DescriptorLimiter::new(options.max_sockets);
        let pool = ConnectionPool::new(Rc::clone(executor), descriptors, budget.clone(), &options.deployment);
        executor.spawn(Rc::clone(&pool).close_expired()).detach();
        let timer_engine = Rc::clone(&engine);
        executor.spawn(async move { timer_engine.run_timer().await }).detach();
        Self { engine, pool, budget, active_ids: Rc::default(), _outputs }
    }

    /// Starts a write with a deadline of 9 s, from a new client.
    fn begin_rpc(&self) -> ArrivedRpc {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let session = Rc::new(Async::new(listener.accept().unwrap().0).unwrap());
        let statement = Statement::parse(statement("enter", 9000).into_bytes()).unwrap();
        let method = self.engine.method_by_name(&statement.method).unwrap();
        let arrived = self.engine.rpc_arrived(method, &statement, Instant::now(), None);
        let pending = arrived.expect("the deadline of the RPC has not passed");
        let statement = InFlightStatement {
            client: ClientLiveness::new(Rc::downgrade(&session)),
            memory: self.budget.reserve(Category::Statements, statement.size()).unwrap(),
            active_id: self.active_ids.register(statement.id.clone()).unwrap(),
            statement,
        };
        ArrivedRpc { pending, statement: Rc::new(statement), session, client }
    }

    /// Makes an attempt and waits for its end, after which only the RPC holds a reference to the statement.
    async fn make_attempt(&self, rpc: &ArrivedRpc, attempt: AttemptCommand) {
        self.pool.make_attempt(Rc::clone(&self.engine), attempt, Rc::clone(&rpc.statement));
        wait_until(|| Rc::strong_count(&rpc.statement) == 1).await;
    }

    async fn serve_rpc(&self) {
        let rpc = self.begin_rpc();
        let attempt = rpc.commanded_attempt();
        self.make_attempt(&rpc, attempt).await;
        match rpc.pending.try_next_command() {
            Some(RpcCommand::Answer { answer, .. }) => assert_eq!(answer.value.as_deref(), Some(VALUE)),
            _ => panic!("the RPC has no answer after its attempt"),
        }
    }

    /// Makes an attempt whose client disconnects after the command and before the first byte.
    async fn abandon_rpc(&self) {
        let rpc = self.begin_rpc();
        let attempt = rpc.commanded_attempt();
        rpc.client.shutdown(std::net::Shutdown::Write).unwrap();
        wait_until(|| peer_has_closed(rpc.session.get_ref())).await;
        self.make_attempt(&rpc, attempt).await;
    }
}

impl ArrivedRpc {
    fn commanded_attempt(&self) -> AttemptCommand {
        match self.pending.try_next_command() {
            Some(RpcCommand::Attempt(attempt)) => attempt,
            _ => panic!("no attempt was commanded on arrival of the RPC"),
        }
    }
}

fn run(test: impl AsyncFnOnce(Rc<LocalExecutor<'static>>)) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(test(Rc::clone(&executor))));
}

/// Guards against losing a connection that was checked out for an RPC whose client disconnects before the
/// first byte.
#[test]
fn connection_is_reused_if_the_client_disconnects_before_the_first_byte() {
    let node = Node::start(true);
    run(async |executor| {
        let parts = RouterParts::new(&executor, &node, &[]);
        parts.serve_rpc().await;
        // More than the attempts that the node may have in flight: none of the abandoned ones stays in
        // flight.
        for _ in 0..30 {
            parts.abandon_rpc().await;
        }
        assert_eq!(node.queries().len(), 1, "a query without a client was sent");
        parts.serve_rpc().await;
        assert_eq!(node.queries().len(), 2);
        assert_eq!(
            (count(&node.connections), count(&node.open_connections)),
            (1, 1),
            "the connection was checked in each time and is reused"
        );
    });
}

/// Guards against checkouts that send nothing but reset the idle time: the node closes the connection in the
/// meantime.
#[test]
fn unused_checkouts_do_not_extend_the_idle_time() {
    let node = Node::start(true);
    // A connection may be idle for 700 ms: nodes close it after 1,000 ms, and a query may be in transit for
    // 300 ms.
    let replacements = [
        ("\"ConnIdleMs\":30000.0", "\"ConnIdleMs\":1000.0"),
        ("\"ConnectTimeoutMs\":5000.0", "\"ConnectTimeoutMs\":300.0"),
    ];
    run(async |executor| {
        let parts = RouterParts::new(&executor, &node, &replacements);
        parts.serve_rpc().await;
        let last_used = Instant::now();
        // The connection is closed while idle, or found expired at the next checkout.
        while count(&node.open_connections) == 1 && count(&node.connections) == 1 {
            assert!(
                last_used.elapsed() < WAIT_TIMEOUT,
                "unused checkouts have kept the connection open for {:?}",
                last_used.elapsed()
            );
            parts.abandon_rpc().await;
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(node.queries().len(), 1);
    });
}

/// Guards against a dial whose timeout fails a later attempt, which has a dial and a timeout of its own.
#[test]
fn dial_timeout_does_not_fail_a_later_attempt() {
    let node = Node::start(true);
    node.set_connect_behavior(ConnectBehavior::Hang);
    let connect_timeout = Duration::from_millis(1000);
    run(async |executor| {
        let parts = RouterParts::new(
            &executor,
            &node,
            &[("\"ConnectTimeoutMs\":5000.0", "\"ConnectTimeoutMs\":1000.0")],
        );
        // The attempt times out long before the dial that was started for it.
        let first = parts.begin_rpc();
        let attempt = first.commanded_attempt();
        let deadline = attempt.started + connect_timeout / 10;
        parts.make_attempt(&first, AttemptCommand { deadline, ..attempt }).await;
        drop(first);
        Timer::after(connect_timeout / 4).await;
        // The next attempt has its own dial.
        let second = parts.begin_rpc();
        let (attempt, started) = (second.commanded_attempt(), Instant::now());
        parts.make_attempt(&second, attempt).await;
        assert!(started.elapsed() >= connect_timeout, "the attempt failed after {:?}", started.elapsed());
        assert_eq!(count(&node.connections), 2);
    });
}
