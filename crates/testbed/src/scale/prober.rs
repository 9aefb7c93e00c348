//! Health checks of a process of hollow routers, sent with the router's own messages over reused connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quillpoint::host::LoadReport;
use quillpoint_router::pg::{self, BackendMessage, Response, ResponseReader};

use crate::scale::databases::next_message;

/// How long a health check waits for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

struct Connection {
    stream: Async<TcpStream>,
    unread: Vec<u8>,
}

/// Makes health checks, and keeps idle connections to at most `max_idle` databases.
pub struct Prober {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    max_idle: usize,
}

impl Prober {
    /// Keeps idle connections to at most this many databases; others are closed after use.
    pub fn new(max_idle: usize) -> Self {
        Self { idle: RefCell::default(), max_idle }
    }

    /// The load report of the database; `None` if it does not answer in time.
    pub async fn probe(&self, node: SocketAddr) -> Option<LoadReport> {
        let timed_out = async {
            Timer::after(PROBE_TIMEOUT).await;
            None
        };
        self.query_load(node).or(timed_out).await
    }

    async fn query_load(&self, node: SocketAddr) -> Option<LoadReport> {
        let idle = self.idle.borrow_mut().get_mut(&node).and_then(Vec::pop);
        if let Some(mut connection) = idle
            && let Some(report) = connection.query_load().await
        {
            self.put_back(node, connection);
            return Some(report);
        }
        let mut connection = Connection::open(node).await?;
        let report = connection.query_load().await?;
        self.put_back(node, connection);
        Some(report)
    }

    fn put_back(&self, node: SocketAddr, connection: Connection) {
        let idle = &mut *self.idle.borrow_mut();
        if idle.len() < self.max_idle || idle.contains_key(&node) {
            idle.entry(node).or_default().push(connection);
        }
    }
}

impl Connection {
    async fn open(node: SocketAddr) -> Option<Self> {
        let stream = Async::<TcpStream>::connect(node).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let mut connection = Self { stream, unread: Vec::new() };
        let mut startup = Vec::new();
        pg::encode_startup(&mut startup, "portal", "crm");
        connection.stream.write_all(&startup).await.ok()?;
        while connection.receive().await? != BackendMessage::ReadyForQuery {}
        Some(connection)
    }

    async fn receive(&mut self) -> Option<BackendMessage> {
        next_message(&mut self.stream, &mut self.unread, pg::decode_backend_message).await
    }

    async fn query_load(&mut self) -> Option<LoadReport> {
        self.stream.write_all(&pg::query_message(b"SHOW load")).await.ok()?;
        let (mut response, mut report) = (ResponseReader::default(), None);
        loop {
            match self.receive().await? {
                BackendMessage::ReadyForQuery => return report,
                BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored => {}
                message => {
                    if let Some(Response::Result(answer)) = response.push(message).ok()? {
                        report = parse_load_report(&answer.value?);
                    }
                }
            }
        }
    }
}

fn parse_load_report(load: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in std::str::from_utf8(load).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        quillpoint_settings::set_report_field(&mut report, name, value.parse().ok()?, Duration::ZERO);
    }
    Some(report)
}
