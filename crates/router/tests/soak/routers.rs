//! A run: its routers as processes, and the events of its plan.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::{Admitted, Clients, Front, idle};
use crate::discovery::Discovery;
use crate::plan::{Event, Plan};
use crate::record::{Ending, Lifetime, Record, RouterNo};
use crate::servers::Server;
use crate::standin::{RouterProcess, configuration};

/// The front goes on sending new connections for so long after SIGTERM.
const STILL_SENT_TO: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM and the longest deadline, which counts as this at most.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// A killed process is started again after this.
const DOWN: Duration = Duration::from_millis(300);
const LOOK: Duration = Duration::from_millis(2);

/// One router: its address, and its process while it has one.
struct Router {
    number: RouterNo,
    address: SocketAddr,
    running: Mutex<Option<RouterProcess>>,
}

struct World {
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
    pub fn play(plan: Plan) -> Self {
        let record = Arc::<Record>::default();
        let servers: Vec<Arc<Server>> =
            (0..plan.servers).map(|number| Server::start(number, &plan, &record)).collect();
        let discovery = Discovery::start(&servers, plan.routers, &record);
        let router = |number| Router { number, address: free_address(), running: Mutex::new(None) };
        let world = World {
            routers: (0..plan.routers).map(router).collect(),
            plan,
            record: Arc::clone(&record),
            front: Arc::default(),
            servers,
            discovery,
            lifetimes: Mutex::default(),
            logs: Mutex::default(),
        };
        world.play();
        Self {
            plan: world.plan,
            record,
            lifetimes: world.lifetimes.into_inner().unwrap(),
            logs: world.logs.into_inner().unwrap(),
        }
    }

    /// A run of which only the record is known.
    pub fn recorded(plan: Plan, record: Record, lifetimes: Vec<Lifetime>) -> Self {
        Self { plan, record: Arc::new(record), lifetimes, logs: Vec::new() }
    }

    pub fn summary(&self, breaches: usize) -> String {
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
        format!("{breaches} breaches, {endings:?}, {stopped} processes told to stop, {drains} drains")
    }

    pub fn logs(&self) -> String {
        format!("{:?}\n{}", self.plan, self.logs.join("\n"))
    }
}

/// An address that was free a moment ago.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

impl World {
    fn play(&self) {
        for router in &self.routers {
            self.start(router);
        }
        let until = Instant::now() + self.plan.lasts;
        let seeded = |number: usize| ChaCha8Rng::seed_from_u64(self.plan.seed * 1000 + number as u64);
        thread::scope(|scope| {
            let _ends = self.record.ends();
            scope.spawn(|| self.record.watch_machine());
            let guests: Vec<_> = (0..self.plan.clients + self.plan.crowd)
                .map(|number| {
                    let mut chance = seeded(number);
                    scope.spawn(move || match number < self.plan.clients {
                        true => self.clients().live(&mut chance, until),
                        false => idle(&self.front, &mut chance, until),
                    })
                })
                .collect();
            let events = scope.spawn(|| self.events());
            for thread in guests.into_iter().chain([events]) {
                thread.join().unwrap();
            }
        });
        self.discovery.set(crate::plan::Answering::Refuses);
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
                    Event::Serving(server, serving) => self.servers[server].set(serving),
                    Event::Applying(server, goes_on) => self.servers[server].applies(goes_on),
                    Event::Drain(server) => self.discovery.drain(server),
                    Event::Discovery(answering) => self.discovery.set(answering),
                    Event::Reload(router, elsewhere) => self.reload(router, elsewhere),
                    Event::Signal(router, signal) => self.signal_the_stopping(router, signal),
                    Event::Restart(router) => _ = scope.spawn(move || self.restart(&self.routers[router])),
                    Event::Kill(router) => _ = scope.spawn(move || self.kill(&self.routers[router])),
                    Event::HoldUp(router, held) => _ = scope.spawn(move || self.hold_up(router, held)),
                }
            }
        });
    }

    /// A new process, which knows the list that its router was told last.
    fn start(&self, router: &Router) {
        let told = self.record.told.lock().unwrap();
        let told = told.iter().filter(|told| told.router == router.number).map(|told| told.version).max();
        let known = told.unwrap_or(0);
        let list = self.discovery.list(router.number, known);
        let text = configuration(self.discovery.addresses[router.number][0], &list, self.plan.sockets)
            .replace("9000.0", &format!("{}.0", self.plan.longest_deadline.as_millis()))
            .replace(
                r#""DrainGraceMs":1000.0"#,
                &format!(r#""DrainGraceMs":{}.0"#, self.plan.drain_grace.as_millis()),
            )
            .replace(r#""ConnectTimeoutMs":5000.0"#, r#""ConnectTimeoutMs":250.0"#)
            .replace(r#""Balancers":1"#, &format!(r#""Balancers":{}"#, self.plan.routers))
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{}""#, router.address))
            .replace(r#""rev":0"#, &format!(r#""rev":{known}"#));
        let started = Instant::now();
        let running = RouterProcess::start(&text);
        let mut lifetimes = self.lifetimes.lock().unwrap();
        let process = lifetimes.len();
        lifetimes.push(Lifetime {
            router: router.number,
            process,
            started,
            known,
            told_to_stop: None,
            ended: None,
        });
        drop(lifetimes);
        *router.running.lock().unwrap() = Some(running);
        self.front.admit(Admitted { router: router.number, process, address: router.address });
    }

    fn lifetime(&self, router: RouterNo, change: impl FnOnce(&mut Lifetime)) {
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
            thread::sleep(LOOK);
        };
        let ended = Instant::now();
        if let Some(running) = router.running.lock().unwrap().take() {
            self.logs.lock().unwrap().push(format!(
                "router {}:\n{}",
                router.number,
                running.lines().join("\n")
            ));
        }
        self.lifetime(router.number, |lifetime| lifetime.ended = Some((ended, by_itself)));
    }

    fn restart(&self, router: &Router) {
        let told = Instant::now();
        self.lifetime(router.number, |lifetime| lifetime.told_to_stop = Some(told));
        self.signal(router.number, "-TERM");
        thread::sleep(STILL_SENT_TO);
        self.front.remove(router.number);
        let longest = self.plan.longest_deadline.min(LONGEST_WAIT);
        self.end(router, Some(told + longest + KILLED_AFTER));
        self.start(router);
    }

    fn kill(&self, router: &Router) {
        self.end(router, None);
        thread::sleep(DOWN);
        self.front.remove(router.number);
        self.start(router);
    }

    fn signal(&self, router: RouterNo, signal: &str) {
        if let Some(running) = router_running(&self.routers[router]).as_ref() {
            // It may have ended a moment ago.
            _ = running.try_signal(signal);
        }
    }

    /// A further signal to a process that was told to stop; its successor is not meant.
    fn signal_the_stopping(&self, router: RouterNo, signal: &str) {
        let lifetimes = self.lifetimes.lock().unwrap();
        let stops = |lifetime: &Lifetime| lifetime.told_to_stop.is_some() && lifetime.ended.is_none();
        if lifetimes.iter().rfind(|lifetime| lifetime.router == router).is_some_and(stops) {
            self.signal(router, signal);
        }
    }

    fn hold_up(&self, router: RouterNo, held: Duration) {
        self.signal(router, "-STOP");
        thread::sleep(held);
        self.signal(router, "-CONT");
    }

    fn reload(&self, router: RouterNo, elsewhere: bool) {
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
    router.running.lock().unwrap()
}
