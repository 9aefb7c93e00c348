//! Executes a run: starts the routers as processes and injects the events of the plan.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::{Backend, Clients, LoadBalancer, hold_idle_connections};
use crate::discovery::Discovery;
use crate::plan::{Event, Plan};
use crate::record::{Ending, Lifetime, Record, RouterIndex};
use crate::servers::Server;
use crate::standin::{RouterProcess, configuration};

/// The load balancer still sends new connections to a router for this long after SIGTERM.
const ACCEPTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// SIGKILL follows SIGTERM after the longest deadline plus this.
const KILLED_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);
/// Longer deadlines count as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The delay before a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A router: its address, and its process while one is running.
struct Router {
    number: RouterIndex,
    address: SocketAddr,
    process: Mutex<Option<RouterProcess>>,
}

struct Testbed {
    plan: Plan,
    record: Arc<Record>,
    load_balancer: Arc<LoadBalancer>,
    servers: Vec<Arc<Server>>,
    discovery: Arc<Discovery>,
    routers: Vec<Router>,
    lifetimes: Mutex<Vec<Lifetime>>,
    logs: Mutex<Vec<String>>,
}

/// A completed run.
pub struct Run {
    pub plan: Plan,
    pub record: Arc<Record>,
    pub lifetimes: Vec<Lifetime>,
    logs: Vec<String>,
}

impl Run {
    pub fn execute(plan: Plan) -> Self {
        let record = Arc::<Record>::default();
        let servers: Vec<Arc<Server>> =
            (0..plan.servers).map(|number| Server::start(number, &plan, &record)).collect();
        let discovery = Discovery::start(&servers, plan.routers, &record);
        let router = |(number, address)| Router { number, address, process: Mutex::new(None) };
        let testbed = Testbed {
            routers: free_addresses(plan.routers).into_iter().enumerate().map(router).collect(),
            plan,
            record: Arc::clone(&record),
            load_balancer: Arc::default(),
            servers,
            discovery,
            lifetimes: Mutex::default(),
            logs: Mutex::default(),
        };
        testbed.run();
        Self {
            plan: testbed.plan,
            record,
            lifetimes: testbed.lifetimes.into_inner().unwrap(),
            logs: testbed.logs.into_inner().unwrap(),
        }
    }

    /// Creates a completed run from a given record, to test the rules.
    pub fn recorded(plan: Plan, record: Record, lifetimes: Vec<Lifetime>) -> Self {
        Self { plan, record: Arc::new(record), lifetimes, logs: Vec::new() }
    }

    pub fn summary(&self, violations: usize) -> String {
        let mut endings = BTreeMap::<String, usize>::new();
        for request in self.record.requests.lock().unwrap().iter() {
            let name = match &request.ending {
                Ending::Error(code) => code.clone(),
                other => format!("{other:?}").to_ascii_lowercase(),
            };
            *endings.entry(name).or_default() += 1;
        }
        let stopped = self.lifetimes.iter().filter(|process| process.shutdown_started.is_some()).count();
        let drains = self.record.drains.lock().unwrap().len();
        format!("{violations} violations, {endings:?}, {stopped} processes shut down, {drains} drains")
    }

    pub fn logs(&self) -> String {
        format!("{:?}\n{}", self.plan, self.logs.join("\n"))
    }
}

/// Distinguishes the runs of this process. It may wrap around: only few runs overlap.
static NEXT_RUN: AtomicU8 = AtomicU8::new(0);

/// Addresses for the routers of a run, on a loopback IP address of its own. On 127.0.0.1, a stand-in of a
/// parallel run could take the port before the router binds it, and the router would fail to start.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let run = NEXT_RUN.fetch_add(1, Ordering::SeqCst);
    let ip = Ipv4Addr::new(127, 64 + (high & 127), low, run);
    // All listeners stay open until the last one is bound, so that no two routers get the same port.
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

impl Testbed {
    fn run(&self) {
        for router in &self.routers {
            self.start(router);
        }
        let until = Instant::now() + self.plan.duration;
        let seeded = |number: usize| ChaCha8Rng::seed_from_u64(self.plan.seed * 1000 + number as u64);
        thread::scope(|scope| {
            let _end_guard = self.record.end_guard();
            scope.spawn(|| self.record.record_scheduling_delays());
            let clients: Vec<_> = (0..self.plan.clients + self.plan.idle_clients)
                .map(|number| {
                    let mut rng = seeded(number);
                    scope.spawn(move || match number < self.plan.clients {
                        true => self.clients().run(&mut rng, until),
                        false => hold_idle_connections(&self.load_balancer, &mut rng, until),
                    })
                })
                .collect();
            let events = scope.spawn(|| self.events());
            for thread in clients.into_iter().chain([events]) {
                thread.join().unwrap();
            }
        });
        self.discovery.set_behavior(crate::plan::DiscoveryBehavior::Refuse);
        for router in &self.routers {
            self.end(router, None);
        }
    }

    fn clients(&self) -> Clients {
        Clients {
            load_balancer: Arc::clone(&self.load_balancer),
            record: Arc::clone(&self.record),
            longest_deadline: self.plan.longest_deadline,
        }
    }

    /// Injects each event at its time. Events that take longer run in threads of their own.
    fn events(&self) {
        let began = Instant::now();
        thread::scope(|scope| {
            for (at, event) in self.plan.events.clone() {
                thread::sleep((began + at).saturating_duration_since(Instant::now()));
                match event {
                    Event::SetServer(server, behavior) => self.servers[server].set_behavior(behavior),
                    Event::SetReplication(server, is_running) => {
                        self.servers[server].set_replication(is_running)
                    }
                    Event::Drain(server) => self.discovery.drain(server),
                    Event::SetDiscovery(behavior) => self.discovery.set_behavior(behavior),
                    Event::Reload(router, at_second_address) => self.reload(router, at_second_address),
                    Event::Signal(router, signal) => self.signal_if_shutting_down(router, signal),
                    Event::Restart(router) => _ = scope.spawn(move || self.restart(&self.routers[router])),
                    Event::Kill(router) => _ = scope.spawn(move || self.kill(&self.routers[router])),
                    Event::Pause(router, pause) => _ = scope.spawn(move || self.pause(router, pause)),
                }
            }
        });
    }

    /// Starts a process with the endpoint list that was delivered to its router last as its cached list.
    fn start(&self, router: &Router) {
        let deliveries = self.record.list_deliveries.lock().unwrap();
        let own = deliveries.iter().filter(|delivery| delivery.router == router.number);
        let known_version = own.map(|delivery| delivery.version).max().unwrap_or(0);
        let list = self.discovery.list(router.number, known_version);
        let text = configuration(self.discovery.addresses[router.number][0], &list, self.plan.sockets)
            .replace("9000.0", &format!("{}.0", self.plan.longest_deadline.as_millis()))
            .replace(
                r#""DrainGraceMs":1000.0"#,
                &format!(r#""DrainGraceMs":{}.0"#, self.plan.drain_grace.as_millis()),
            )
            .replace(r#""ConnectTimeoutMs":5000.0"#, r#""ConnectTimeoutMs":250.0"#)
            .replace(r#""Balancers":1"#, &format!(r#""Balancers":{}"#, self.plan.routers))
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{}""#, router.address))
            .replace(r#""rev":0"#, &format!(r#""rev":{known_version}"#));
        let started = Instant::now();
        let running = RouterProcess::start(&text);
        let mut lifetimes = self.lifetimes.lock().unwrap();
        let process = lifetimes.len();
        lifetimes.push(Lifetime {
            router: router.number,
            process,
            started,
            known_version,
            shutdown_started: None,
            ended: None,
        });
        drop(lifetimes);
        *router.process.lock().unwrap() = Some(running);
        self.load_balancer.add(Backend { router: router.number, process, address: router.address });
    }

    fn lifetime(&self, router: RouterIndex, change: impl FnOnce(&mut Lifetime)) {
        let mut lifetimes = self.lifetimes.lock().unwrap();
        if let Some(lifetime) = lifetimes.iter_mut().rfind(|lifetime| lifetime.router == router) {
            change(lifetime);
        }
    }

    /// Waits until the process has exited by itself, or kills it at `killed_at`, or immediately if that is
    /// `None`.
    fn end(&self, router: &Router, killed_at: Option<Instant>) {
        let by_itself = loop {
            let Some(exited_successfully) = exited_successfully(router) else { return };
            if exited_successfully {
                break true;
            }
            if killed_at.is_none_or(|at| Instant::now() >= at) {
                break false;
            }
            // Sleeps without holding the lock of the process, which sending signals needs as well.
            thread::sleep(CHECK_INTERVAL);
        };
        let ended = Instant::now();
        if let Some(running) = router.process.lock().unwrap().take() {
            self.logs.lock().unwrap().push(format!(
                "router {}:\n{}",
                router.number,
                running.log_lines().join("\n")
            ));
        }
        self.lifetime(router.number, |lifetime| lifetime.ended = Some((ended, by_itself)));
    }

    fn restart(&self, router: &Router) {
        let sigterm_at = Instant::now();
        self.lifetime(router.number, |lifetime| lifetime.shutdown_started = Some(sigterm_at));
        self.signal(router.number, "-TERM");
        thread::sleep(ACCEPTS_AFTER_SIGTERM);
        self.load_balancer.remove(router.number);
        let longest = self.plan.longest_deadline.min(MAX_COUNTED_DEADLINE);
        self.end(router, Some(sigterm_at + longest + KILLED_AFTER_LONGEST_DEADLINE));
        self.start(router);
    }

    fn kill(&self, router: &Router) {
        self.end(router, None);
        thread::sleep(RESTART_DELAY);
        self.load_balancer.remove(router.number);
        self.start(router);
    }

    fn signal(&self, router: RouterIndex, signal: &str) {
        if let Some(running) = lock_process(&self.routers[router]).as_ref() {
            // The process may have ended in the meantime.
            _ = running.try_signal(signal);
        }
    }

    /// Sends another signal to a process that is shutting down, but not to its successor.
    fn signal_if_shutting_down(&self, router: RouterIndex, signal: &str) {
        let lifetimes = self.lifetimes.lock().unwrap();
        let stops = |lifetime: &Lifetime| lifetime.shutdown_started.is_some() && lifetime.ended.is_none();
        if lifetimes.iter().rfind(|lifetime| lifetime.router == router).is_some_and(stops) {
            self.signal(router, signal);
        }
    }

    fn pause(&self, router: RouterIndex, duration: Duration) {
        self.signal(router, "-STOP");
        thread::sleep(duration);
        self.signal(router, "-CONT");
    }

    fn reload(&self, router: RouterIndex, at_second_address: bool) {
        let [here, there] = self.discovery.addresses[router].map(|address| address.to_string());
        let running = lock_process(&self.routers[router]);
        let Some(running) = running.as_ref() else { return };
        let text = std::fs::read_to_string(&running.path).unwrap();
        let text = if at_second_address { text.replace(&here, &there) } else { text.replace(&there, &here) };
        std::fs::write(&running.path, text).unwrap();
        _ = running.try_signal("-HUP");
    }
}

/// Whether the process has exited successfully. `None` if the router has no process.
fn exited_successfully(router: &Router) -> Option<bool> {
    let mut running = lock_process(router);
    let status = running.as_mut()?.child.try_wait();
    Some(status.is_ok_and(|ended| ended.is_some_and(|status| status.success())))
}

fn lock_process(router: &Router) -> std::sync::MutexGuard<'_, Option<RouterProcess>> {
    router.process.lock().unwrap()
}
