//! A node by the protocol page: one PostgreSQL server of a group, a primary or a replica.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::pg::{self, Reader};
use crate::record::Record;

/// How far a replica's log position is behind the clock.
const REPLICA_LAG: Duration = Duration::from_millis(8);
/// How long an answer takes, if nothing else is set.
const WORK_MS: u64 = 3;

#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    pub(crate) uid: String,
    pub(crate) is_primary: bool,
    work_ms: Arc<AtomicU64>,
    record: Record,
}

impl Node {
    pub fn start(record: &Record, uid: &str, is_primary: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let work_ms = Arc::new(AtomicU64::new(WORK_MS));
        let node = Self { address, uid: uid.to_string(), is_primary, work_ms, record: record.clone() };
        let served = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = served.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    /// How long an answer takes from now on.
    pub fn set_work(&self, work: Duration) {
        self.work_ms.store(work.as_millis() as u64, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        if reader.startup().is_err() {
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
            let out = self.answer(&text);
            if pg::send(&mut stream, &out).is_err() {
                return;
            }
        }
    }

    fn position(&self) -> Duration {
        crate::unix().saturating_sub(if self.is_primary { Duration::ZERO } else { REPLICA_LAG })
    }

    fn load(&self) -> String {
        format!("x0={:.3},x1={},queue=0", self.position().as_secs_f64(), u8::from(self.is_primary))
    }

    fn answer(&self, text: &str) -> Vec<u8> {
        let mut out = Vec::new();
        if text.trim().is_empty() {
            pg::empty_query_response(&mut out);
            pg::ready(&mut out);
            return out;
        }
        if text == "SHOW load" {
            pg::row(&mut out, self.load().as_bytes(), "SHOW");
            pg::ready(&mut out);
            return out;
        }
        let shown: String = text.chars().take(160).collect();
        self.record.line(&format!("node {} ({}): runs {shown}", self.address, self.uid));
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst)));
        let is_write = text.contains("INSERT");
        if is_write && !self.is_primary {
            pg::error(&mut out, "25006", "this is a replica");
        } else {
            let code = text.split('\'').nth(1).unwrap_or_default();
            let tag = if is_write { "INSERT 0 1" } else { "SELECT 1" };
            pg::row(&mut out, format!("weight of {code}").as_bytes(), tag);
        }
        pg::parameter(&mut out, "role", if self.is_primary { "primary" } else { "replica" });
        pg::parameter(&mut out, "applied_ms", &self.position().as_millis().to_string());
        pg::parameter(&mut out, "load", &self.load());
        pg::ready(&mut out);
        out
    }
}
