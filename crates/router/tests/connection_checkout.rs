//! Connections that are checked out for an attempt, with the engine and the pool of a router in the test's own process: what
//! comes between a command and its first byte comes when the test says so, and not by chance.

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

/// Far longer than anything here takes.
const NEVER: Duration = Duration::from_secs(30);

async fn until(mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < NEVER, "it never came");
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// The parts of a router that knows one primary and makes no health checks.
struct Parts {
    engine: Rc<Engine>,
    pool: Rc<ConnectionPool>,
    budget: SharedBudget,
    active_ids: Rc<ActiveRequestIds>,
    _outputs: EngineOutputs,
}

/// An RPC that has come, and its client's end of the connection.
struct ArrivedRpc {
    pending: PendingResponse,
    kept: Rc<InFlightStatement>,
    session: Rc<Async<TcpStream>>,
    client: TcpStream,
}

impl Parts {
    fn of(executor: &Rc<LocalExecutor<'static>>, node: &Node, change: &[(&str, &str)]) -> Self {
        let list = targets(&[(node, "primary", "in_service")]);
        let text = configuration(Discovery::start(list.clone()).address, &list, 200);
        let unprobed = (r#""Probes":true"#, r#""Probes":false"#);
        let text = [unprobed].iter().chain(change).fold(text, |text, (from, to)| {
            assert!(text.contains(from), "{from}");
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

    /// A write that may wait 9 s, from a client of its own.
    fn begin_rpc(&self) -> ArrivedRpc {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let session = Rc::new(Async::new(listener.accept().unwrap().0).unwrap());
        let statement = Statement::parse(statement("enter", 9000).into_bytes()).unwrap();
        let method = self.engine.method_by_name(&statement.method).unwrap();
        let arrived = self.engine.rpc_arrived(method, &statement, Instant::now(), None);
        let pending = arrived.expect("its time is not over");
        let kept = InFlightStatement {
            client: ClientLiveness::new(Rc::downgrade(&session)),
            memory: self.budget.reserve(Category::Statements, statement.size()).unwrap(),
            active_id: self.active_ids.register(statement.id.clone()).unwrap(),
            statement,
        };
        ArrivedRpc { pending, kept: Rc::new(kept), session, client }
    }

    /// Makes the attempt, and waits until it is over: then nothing holds its statement but the RPC.
    async fn make_attempt(&self, rpc: &ArrivedRpc, attempt: AttemptCommand) {
        self.pool.make_attempt(Rc::clone(&self.engine), attempt, Rc::clone(&rpc.kept));
        until(|| Rc::strong_count(&rpc.kept) == 1).await;
    }

    async fn serve_rpc(&self) {
        let rpc = self.begin_rpc();
        let attempt = rpc.commanded_attempt();
        self.make_attempt(&rpc, attempt).await;
        match rpc.pending.try_next_command() {
            Some(RpcCommand::Answer { answer, .. }) => assert_eq!(answer.value.as_deref(), Some(VALUE)),
            _ => panic!("it has no answer"),
        }
    }

    /// An attempt whose client disconnects behind its command, before its first byte.
    async fn abandon_rpc(&self) {
        let rpc = self.begin_rpc();
        let attempt = rpc.commanded_attempt();
        rpc.client.shutdown(std::net::Shutdown::Write).unwrap();
        until(|| peer_has_closed(rpc.session.get_ref())).await;
        self.make_attempt(&rpc, attempt).await;
    }
}

impl ArrivedRpc {
    fn commanded_attempt(&self) -> AttemptCommand {
        match self.pending.try_next_command() {
            Some(RpcCommand::Attempt(attempt)) => attempt,
            _ => panic!("no attempt was commanded at once"),
        }
    }
}

fn run(test: impl AsyncFnOnce(Rc<LocalExecutor<'static>>)) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(test(Rc::clone(&executor))));
}

#[test]
fn a_client_that_disconnects_between_the_command_and_its_first_byte_costs_the_connection_nothing() {
    let node = Node::start(true);
    run(async |executor| {
        let parts = Parts::of(&executor, &node, &[]);
        parts.serve_rpc().await;
        // More than the node is given at once: none of them stays out there.
        for _ in 0..30 {
            parts.abandon_rpc().await;
        }
        assert_eq!(node.queries().len(), 1, "it ran for nobody");
        parts.serve_rpc().await;
        assert_eq!(node.queries().len(), 2);
        assert_eq!(
            (count(&node.connections), count(&node.open_connections)),
            (1, 1),
            "it has come back each time, and serves"
        );
    });
}

#[test]
fn a_connection_that_is_checked_out_and_not_used_still_expires() {
    let node = Node::start(true);
    // A connection may stand idle for 700 ms: nodes close it after 1,000, and a query may be on its way for 300.
    let change = [
        ("\"ConnIdleMs\":30000.0", "\"ConnIdleMs\":1000.0"),
        ("\"ConnectTimeoutMs\":5000.0", "\"ConnectTimeoutMs\":300.0"),
    ];
    run(async |executor| {
        let parts = Parts::of(&executor, &node, &change);
        parts.serve_rpc().await;
        let used = Instant::now();
        // Closed where it stands, or found too old when it is to be checked out.
        while count(&node.open_connections) == 1 && count(&node.connections) == 1 {
            assert!(
                used.elapsed() < NEVER,
                "checkouts that came to nothing have kept it for {:?}",
                used.elapsed()
            );
            parts.abandon_rpc().await;
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(node.queries().len(), 1);
    });
}

#[test]
fn a_dial_that_times_out_fails_no_attempt_that_came_later() {
    let node = Node::start(true);
    node.set_connect_behavior(ConnectBehavior::Hang);
    let connect = Duration::from_millis(1000);
    run(async |executor| {
        let parts =
            Parts::of(&executor, &node, &[("\"ConnectTimeoutMs\":5000.0", "\"ConnectTimeoutMs\":1000.0")]);
        // Its own time ends long before that of the dial that was begun for it.
        let first = parts.begin_rpc();
        let attempt = first.commanded_attempt();
        let deadline = attempt.started + connect / 10;
        parts.make_attempt(&first, AttemptCommand { deadline, ..attempt }).await;
        drop(first);
        Timer::after(connect / 4).await;
        // The next one has a dial with a time of its own.
        let second = parts.begin_rpc();
        let (attempt, began) = (second.commanded_attempt(), Instant::now());
        parts.make_attempt(&second, attempt).await;
        assert!(began.elapsed() >= connect, "failed after {:?}", began.elapsed());
        assert_eq!(count(&node.connections), 2);
    });
}
