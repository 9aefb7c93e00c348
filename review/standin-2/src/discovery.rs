//! Discovery by the protocol page: the whole list, or a watch on changes from a version on.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub group: u64,
    pub role: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    pub fn new(uid: &str, endpoint: SocketAddr, group: u64, role: &'static str) -> Self {
        Self { uid: uid.to_string(), endpoint, group, role, state: "in_service", boot_ms: 0 }
    }

    pub fn json(&self) -> String {
        let Self { uid, endpoint, group, role, state, boot_ms } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","model":"std","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms},"role":"{role}"}}"#
        )
    }
}

/// The entries as a JSON list.
pub fn targets_json<'a>(targets: impl IntoIterator<Item = &'a Target>) -> String {
    let entries: Vec<String> = targets.into_iter().map(Target::json).collect();
    format!("[{}]", entries.join(","))
}

#[derive(Default)]
struct State {
    rev: u64,
    /// The list, by uid.
    members: BTreeMap<String, Target>,
    /// What has changed, with the version of the change.
    changes: Vec<(u64, Target)>,
    is_silent: bool,
}

/// A discovery service on a loopback port.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Discovery {
    /// Starts with this list, as version 1.
    pub fn start(record: &Record, targets: &[Target]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let members = targets.iter().map(|target| (target.uid.clone(), target.clone())).collect();
        let state = State { rev: 1, members, ..State::default() };
        let discovery =
            Self { address, state: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes entries, all in one version. One that is `terminated` leaves the list.
    pub fn change(&self, targets: &[Target]) {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        for target in targets {
            self.record.line(&format!("discovery: version {rev}: {}", target.json()));
            if target.state == "terminated" {
                state.members.remove(&target.uid);
            } else {
                state.members.insert(target.uid.clone(), target.clone());
            }
            state.changes.push((rev, target.clone()));
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// While silent, nothing is answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut lines = BufReader::new(read_half).lines();
        while let Some(Ok(call)) = lines.next() {
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let number = |name: &str| -> Option<u64> {
                call.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok()
            };
            let from = number("from=");
            let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0).min(60_000));
            let state = self.lock();
            let has_nothing = |state: &mut State| state.is_silent || Some(state.rev) == from;
            let Ok((state, _)) = self.state.1.wait_timeout_while(state, hold, has_nothing) else { return };
            if state.is_silent {
                drop(state);
                self.record.line("discovery: leaves a call unanswered");
                continue;
            }
            let (rev, all) = (state.rev, from.is_none_or(|from| from > state.rev || from == 0));
            let targets = if all {
                targets_json(state.members.values())
            } else {
                let newer = state.changes.iter().filter(|(changed, _)| Some(*changed) > from);
                targets_json(newer.map(|(_, target)| target))
            };
            drop(state);
            let body = format!(r#"{{"rev":{rev},"all":{all},"targets":{targets}}}"#);
            if targets != "[]" {
                self.record.line(&format!("discovery: answers {} with {body}", call.trim()));
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
