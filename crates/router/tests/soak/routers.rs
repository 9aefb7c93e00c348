//! A run: its routers as processes, and the events of its plan.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::{Admitted, Clients, Front, hold_idle_connections};
use crate::discovery::Discovery;
use crate::plan::{Event, Plan};
use crate::record::{Ending, Lifetime, Record, RouterIndex};
use crate::servers::Server;
use crate::standin::{RouterProcess, configuration};

/// The front goes on sending new connections for so long after SIGTERM.
const ACCEPTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM and the longest deadline, which counts as this at most.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// A killed process is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// One router: its address, and its process while it has one.
struct Router {
    number: RouterIndex,
    address: SocketAddr,
    process: Mutex<Option<RouterProcess>>,
}

struct Testbed {
    plan: Plan,
    record: Arc<Record>,
    front: Arc<Front>,
    servers: Vec<Arc<Server>>,
    discovery: Arc<Discovery>,
    routers: Vec<Router>,
    lifetimes: Mutex<Vec<Lifetime>>,
    logs: Mutex<Vec<String>>,
}

/// A run that is over.
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
        let router = |number| Router { number, address: free_address(), process: Mutex::new(None) };
        let testbed = Testbed {
            routers: (0..plan.routers).map(router).collect(),
            plan,
            record: Arc::clone(&record),
            front: Arc::default(),
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

    /// A run of which only the record is known.
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
        let stopped = self.lifetimes.iter().filter(|process| process.told_to_stop.is_some()).count();
        let drains = self.record.drains.lock().unwrap().len();
        format!("{violations} violations, {endings:?}, {stopped} processes told to stop, {drains} drains")
    }

    pub fn logs(&self) -> String {
        format!("{:?}\n{}", self.plan, self.logs.join("\n"))
    }
}

/// An address that was free a moment ago.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

impl Testbed {
    fn run(&self) {
        for router in &self.routers {
            self.start(router);
        }
        let until = Instant::now() + self.plan.duration;
        let seeded = |number: usize| ChaCha8Rng::seed_from_u64(self.plan.seed * 1000 + number as u64);
        thread::scope(|scope| {
            let _ends = self.record.ends();
            scope.spawn(|| self.record.record_lateness());
            let clients: Vec<_> = (0..self.plan.clients + self.plan.idle_clients)
                .map(|number| {
                    let mut rng = seeded(number);
                    scope.spawn(move || match number < self.plan.clients {
                        true => self.clients().run(&mut rng, until),
                        false => hold_idle_connections(&self.front, &mut rng, until),
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
            front: Arc::clone(&self.front),
            record: Arc::clone(&self.record),
            longest_wait: self.plan.longest_deadline,
        }
    }

    /// Each event at its time; what lasts is done beside the others.
    fn events(&self) {
        let began = Instant::now();
        thread::scope(|scope| {
            for (at, event) in self.plan.events.clone() {
                thread::sleep((began + at).saturating_duration_since(Instant::now()));
                match event {
                    Event::SetServer(server, behavior) => self.servers[server].set_behavior(behavior),
                    Event::SetReplication(server, goes_on) => self.servers[server].set_replication(goes_on),
                    Event::Drain(server) => self.discovery.drain(server),
                    Event::SetDiscovery(behavior) => self.discovery.set_behavior(behavior),
                    Event::Reload(router, elsewhere) => self.reload(router, elsewhere),
                    Event::Signal(router, signal) => self.signal_the_stopping(router, signal),
                    Event::Restart(router) => _ = scope.spawn(move || self.restart(&self.routers[router])),
                    Event::Kill(router) => _ = scope.spawn(move || self.kill(&self.routers[router])),
                    Event::Pause(router, pause) => _ = scope.spawn(move || self.pause(router, pause)),
                }
            }
        });
    }

    /// A new process, which knows the list that was delivered to its router last.
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
            told_to_stop: None,
            ended: None,
        });
        drop(lifetimes);
        *router.process.lock().unwrap() = Some(running);
        self.front.admit(Admitted { router: router.number, process, address: router.address });
    }

    fn lifetime(&self, router: RouterIndex, change: impl FnOnce(&mut Lifetime)) {
        let mut lifetimes = self.lifetimes.lock().unwrap();
        if let Some(lifetime) = lifetimes.iter_mut().rfind(|lifetime| lifetime.router == router) {
            change(lifetime);
        }
    }

    /// Waits until its process has ended by itself, or kills it at this time; at once where none is told.
    fn end(&self, router: &Router, killed_at: Option<Instant>) {
        let by_itself = loop {
            let Some(ended_well) = ended_well(router) else { return };
            if ended_well {
                break true;
            }
            if killed_at.is_none_or(|at| Instant::now() >= at) {
                break false;
            }
            // Not while its lock is held: signals to it need it too.
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
        let told = Instant::now();
        self.lifetime(router.number, |lifetime| lifetime.told_to_stop = Some(told));
        self.signal(router.number, "-TERM");
        thread::sleep(ACCEPTS_AFTER_SIGTERM);
        self.front.remove(router.number);
        let longest = self.plan.longest_deadline.min(MAX_COUNTED_DEADLINE);
        self.end(router, Some(told + longest + KILLED_AFTER));
        self.start(router);
    }

    fn kill(&self, router: &Router) {
        self.end(router, None);
        thread::sleep(RESTART_DELAY);
        self.front.remove(router.number);
        self.start(router);
    }

    fn signal(&self, router: RouterIndex, signal: &str) {
        if let Some(running) = router_running(&self.routers[router]).as_ref() {
            // It may have ended a moment ago.
            _ = running.try_signal(signal);
        }
    }

    /// A further signal to a process that was told to stop; its successor is not meant.
    fn signal_the_stopping(&self, router: RouterIndex, signal: &str) {
        let lifetimes = self.lifetimes.lock().unwrap();
        let stops = |lifetime: &Lifetime| lifetime.told_to_stop.is_some() && lifetime.ended.is_none();
        if lifetimes.iter().rfind(|lifetime| lifetime.router == router).is_some_and(stops) {
            self.signal(router, signal);
        }
    }

    fn pause(&self, router: RouterIndex, duration: Duration) {
        self.signal(router, "-STOP");
        thread::sleep(duration);
        self.signal(router, "-CONT");
    }

    fn reload(&self, router: RouterIndex, elsewhere: bool) {
        let [here, there] = self.discovery.addresses[router].map(|address| address.to_string());
        let running = router_running(&self.routers[router]);
        let Some(running) = running.as_ref() else { return };
        let text = std::fs::read_to_string(&running.path).unwrap();
        let text = if elsewhere { text.replace(&here, &there) } else { text.replace(&there, &here) };
        std::fs::write(&running.path, text).unwrap();
        _ = running.try_signal("-HUP");
    }
}

/// Whether its process has ended with success; none where it has no process.
fn ended_well(router: &Router) -> Option<bool> {
    let mut running = router_running(router);
    let status = running.as_mut()?.child.try_wait();
    Some(status.is_ok_and(|ended| ended.is_some_and(|status| status.success())))
}

fn router_running(router: &Router) -> std::sync::MutexGuard<'_, Option<RouterProcess>> {
    router.process.lock().unwrap()
}
