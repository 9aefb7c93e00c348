//! Connections that are lent for an attempt, with the engine and the pool of a router in the test's own process: what
//! comes between an order and its first byte comes when the test says so, and not by chance.

mod standin;

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use quillpoint::host::EndpointUpdate;
use quillpoint_memory_budget::Purpose;
use quillpoint_router::budget::Accounts;
use quillpoint_router::config::StartupOptions;
use quillpoint_router::descriptors::Descriptors;
use quillpoint_router::endpoint_list::EndpointParser;
use quillpoint_router::engine::{Attempt, Engine, Order, Owed, Work};
use quillpoint_router::open_ids::OpenIds;
use quillpoint_router::pool::Pool;
use quillpoint_router::presence::{Presence, has_hung_up};
use quillpoint_router::statement::{InFlightStatement, Statement};
use standin::{Discovery, Greets, Node, VALUE, configuration, count, statement, targets};

/// Far longer than anything here takes.
const NEVER: Duration = Duration::from_secs(30);

async fn until(mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < NEVER, "it never came");
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// The parts of a router that knows one primary and probes nothing.
struct Parts {
    engine: Rc<Engine>,
    pool: Rc<Pool>,
    accounts: Accounts,
    open_ids: Rc<OpenIds>,
    _work: Work,
}

/// An RPC that has come, and its client's end of the connection.
struct Asked {
    owed: Owed,
    kept: Rc<InFlightStatement>,
    session: Rc<Async<TcpStream>>,
    client: TcpStream,
}

impl Parts {
    fn of(executor: &Rc<LocalExecutor<'static>>, node: &Node, change: &[(&str, &str)]) -> Self {
        let list = targets(&[(node, "primary", "in_service")]);
        let text = configuration(Discovery::start(list.clone()).address, &list, 200);
        let unasked = (r#""Probes":true"#, r#""Probes":false"#);
        let text = [unasked].iter().chain(change).fold(text, |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replace(from, to)
        });
        let options = StartupOptions::from_json(&serde_json::from_str(&text).unwrap(), |_| None).unwrap();
        let (engine, _work) = Engine::new(options.seed, &options.deployment);
        engine.endpoints_changed(
            EndpointUpdate::Snapshot,
            &EndpointParser::new(&options.deployment).apply(&options.known),
        );
        let accounts = Accounts::of(options.memory_bytes);
        let descriptors = Descriptors::new(options.max_sockets);
        let pool = Pool::new(Rc::clone(executor), descriptors, accounts.clone(), &options.deployment);
        executor.spawn(Rc::clone(&pool).close_old()).detach();
        let timed = Rc::clone(&engine);
        executor.spawn(async move { timed.keep_time().await }).detach();
        Self { engine, pool, accounts, open_ids: Rc::default(), _work }
    }

    /// A write that may wait 9 s, from a client of its own.
    fn ask(&self) -> Asked {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let session = Rc::new(Async::new(listener.accept().unwrap().0).unwrap());
        let statement = Statement::parse(statement("enter", 9000).into_bytes()).unwrap();
        let method = self.engine.method(&statement.method).unwrap();
        let arrived = self.engine.rpc_arrived(method, &statement, Instant::now(), None);
        let owed = arrived.expect("its time is not over");
        let kept = InFlightStatement {
            client: Presence::new(Rc::downgrade(&session)),
            memory: self.accounts.hold(Purpose::Statements, statement.size()).unwrap(),
            open_id: self.open_ids.open(statement.id.clone()).unwrap(),
            statement,
        };
        Asked { owed, kept: Rc::new(kept), session, client }
    }

    /// Makes the attempt, and waits until it is over: then nothing holds its statement but the RPC.
    async fn make(&self, asked: &Asked, attempt: Attempt) {
        self.pool.attempt(Rc::clone(&self.engine), attempt, Rc::clone(&asked.kept));
        until(|| Rc::strong_count(&asked.kept) == 1).await;
    }

    async fn is_served(&self) {
        let asked = self.ask();
        let attempt = asked.attempt();
        self.make(&asked, attempt).await;
        match asked.owed.ordered() {
            Some(Order::Answer(answer, _)) => assert_eq!(answer.value.as_deref(), Some(VALUE)),
            _ => panic!("it has no answer"),
        }
    }

    /// An attempt whose client hangs up behind its order, before its first byte.
    async fn is_left(&self) {
        let asked = self.ask();
        let attempt = asked.attempt();
        asked.client.shutdown(std::net::Shutdown::Write).unwrap();
        until(|| has_hung_up(asked.session.get_ref())).await;
        self.make(&asked, attempt).await;
    }
}

impl Asked {
    fn attempt(&self) -> Attempt {
        match self.owed.ordered() {
            Some(Order::Attempt(attempt)) => attempt,
            _ => panic!("no attempt was ordered at once"),
        }
    }
}

fn run(test: impl AsyncFnOnce(Rc<LocalExecutor<'static>>)) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(test(Rc::clone(&executor))));
}

#[test]
fn a_client_that_hangs_up_between_the_order_and_its_first_byte_costs_the_connection_nothing() {
    let node = Node::start(true);
    run(async |executor| {
        let parts = Parts::of(&executor, &node, &[]);
        parts.is_served().await;
        // More than the node is given at once: none of them stays out there.
        for _ in 0..30 {
            parts.is_left().await;
        }
        assert_eq!(node.queries().len(), 1, "it ran for nobody");
        parts.is_served().await;
        assert_eq!(node.queries().len(), 2);
        assert_eq!(
            (count(&node.connections), count(&node.open)),
            (1, 1),
            "it has come back each time, and serves"
        );
    });
}

#[test]
fn a_connection_that_is_lent_and_not_used_does_not_stay_young() {
    let node = Node::start(true);
    // A connection may stand idle for 700 ms: nodes close it after 1,000, and a query may be on its way for 300.
    let change = [
        ("\"ConnIdleMs\":30000.0", "\"ConnIdleMs\":1000.0"),
        ("\"ConnectTimeoutMs\":5000.0", "\"ConnectTimeoutMs\":300.0"),
    ];
    run(async |executor| {
        let parts = Parts::of(&executor, &node, &change);
        parts.is_served().await;
        let used = Instant::now();
        // Closed where it stands, or found too old when it is to be lent.
        while count(&node.open) == 1 && count(&node.connections) == 1 {
            assert!(
                used.elapsed() < NEVER,
                "loans that came to nothing have kept it for {:?}",
                used.elapsed()
            );
            parts.is_left().await;
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(node.queries().len(), 1);
    });
}

#[test]
fn a_dial_that_is_over_its_time_fells_no_attempt_that_came_later() {
    let node = Node::start(true);
    node.greets(Greets::Hangs);
    let connect = Duration::from_millis(1000);
    run(async |executor| {
        let parts =
            Parts::of(&executor, &node, &[("\"ConnectTimeoutMs\":5000.0", "\"ConnectTimeoutMs\":1000.0")]);
        // Its own time ends long before that of the dial that was begun for it.
        let first = parts.ask();
        let attempt = first.attempt();
        let until = attempt.at + connect / 10;
        parts.make(&first, Attempt { until, ..attempt }).await;
        drop(first);
        Timer::after(connect / 4).await;
        // The next one has a dial with a time of its own.
        let second = parts.ask();
        let (attempt, began) = (second.attempt(), Instant::now());
        parts.make(&second, attempt).await;
        assert!(began.elapsed() >= connect, "felled after {:?}", began.elapsed());
        assert_eq!(count(&node.connections), 2);
    });
}
