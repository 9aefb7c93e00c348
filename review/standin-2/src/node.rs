//! A node by the protocol page: one PostgreSQL server of a group, a primary or a replica.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::pg::{self, Reader};
use crate::record::Record;

/// A statement that has arrived whole at a node.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub group: u64,
    pub text: String,
}

/// What a node is now. The machine at an address can change.
#[derive(Clone, Debug)]
pub struct Identity {
    pub uid: String,
    pub group: u64,
    pub is_primary: bool,
    pub lag: Duration,
}

struct Inner {
    identity: Mutex<Identity>,
    is_up: AtomicBool,
    /// How long an answer takes.
    work_ms: AtomicU64,
    /// Values of this many bytes; 0: the group and the code.
    value_bytes: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
}

#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    record: Record,
}

/// What follows `name` in the comment of a statement.
pub fn field<'a>(text: &'a str, name: &str) -> &'a str {
    text.split(name).nth(1).and_then(|rest| rest.split([',', ' ', '\'']).next()).unwrap_or_default()
}

impl Node {
    pub fn start(record: &Record, uid: &str, group: u64, is_primary: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let lag = Duration::from_millis(if is_primary { 0 } else { 8 });
        let inner = Inner {
            identity: Mutex::new(Identity { uid: uid.to_string(), group, is_primary, lag }),
            is_up: AtomicBool::new(true),
            work_ms: AtomicU64::new(3),
            value_bytes: AtomicU64::new(0),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
        };
        let node = Self { address, inner: Arc::new(inner), record: record.clone() };
        let served = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = served.clone();
                if let Ok(copy) = stream.try_clone() {
                    node.inner.connections.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
                }
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    pub fn identity(&self) -> Identity {
        self.inner.identity.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes all connections, as a process that ends does. Until `become_machine` new ones are closed too.
    pub fn stop(&self) {
        self.inner.is_up.store(false, Ordering::SeqCst);
        for stream in self.inner.connections.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&format!("node {}: {} has ended", self.address, self.identity().uid));
    }

    /// Another machine has got this address.
    pub fn become_machine(&self, identity: Identity) {
        self.record.line(&format!("node {}: is now {identity:?}", self.address));
        *self.inner.identity.lock().unwrap_or_else(PoisonError::into_inner) = identity;
        self.inner.is_up.store(true, Ordering::SeqCst);
    }

    pub fn set_work(&self, work: Duration) {
        self.inner.work_ms.store(work.as_millis() as u64, Ordering::SeqCst);
    }

    pub fn set_value_bytes(&self, bytes: u64) {
        self.inner.value_bytes.store(bytes, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        if reader.startup().is_err() || !self.inner.is_up.load(Ordering::SeqCst) {
            return;
        }
        let mut out = Vec::new();
        pg::session_start(&mut out);
        if pg::send(&mut stream, &out).is_err() {
            return;
        }
        while let Ok(message) = reader.message() {
            if message.kind != b'Q' {
                return;
            }
            let text = String::from_utf8_lossy(&message.body).trim_end_matches('\0').to_string();
            let out = self.answer(text);
            if pg::send(&mut stream, &out).is_err() {
                return;
            }
        }
    }

    fn report(identity: &Identity, position: Duration) -> String {
        format!("x0={:.3},x1={},queue=0", position.as_secs_f64(), u8::from(identity.is_primary))
    }

    fn answer(&self, text: String) -> Vec<u8> {
        let mut out = Vec::new();
        let identity = self.identity();
        let position = crate::unix().saturating_sub(identity.lag);
        if text.trim().is_empty() {
            pg::empty_query_response(&mut out);
            pg::ready(&mut out);
            return out;
        }
        if text == "SHOW load" {
            pg::row(&mut out, Self::report(&identity, position).as_bytes(), "SHOW");
            pg::ready(&mut out);
            return out;
        }
        let (id, group) =
            (field(&text, "id=").to_string(), field(&text, "cluster=").parse().unwrap_or(u64::MAX));
        let shown: String = text.chars().take(160).collect();
        self.record.line(&format!(
            "node {} ({} of group {}): runs {shown}",
            self.address, identity.uid, identity.group
        ));
        let is_write = text.contains("INSERT");
        let code = text.split('\'').nth(1).unwrap_or_default().to_string();
        let arrival = Arrival { at: crate::unix(), id, group, text };
        self.inner.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        thread::sleep(Duration::from_millis(self.inner.work_ms.load(Ordering::SeqCst)));
        let position = crate::unix().saturating_sub(identity.lag);
        if is_write && !identity.is_primary {
            pg::error(&mut out, "25006", "this is a replica");
        } else {
            let value = match self.inner.value_bytes.load(Ordering::SeqCst) as usize {
                0 => format!("group {} has {code}", identity.group).into_bytes(),
                count => vec![b'v'; count],
            };
            pg::row(&mut out, &value, if is_write { "INSERT 0 1" } else { "SELECT 1" });
        }
        pg::parameter(&mut out, "role", if identity.is_primary { "primary" } else { "replica" });
        pg::parameter(&mut out, "applied_ms", &position.as_millis().to_string());
        pg::parameter(&mut out, "load", &Self::report(&identity, position));
        pg::ready(&mut out);
        out
    }
}
