//! Clients of the real routers: active ones that send statements at a fixed rate, and idle connections.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use quillpoint_router::pg::{self, BackendMessage};

use crate::load::LoadGenerator;
use crate::replica_set::read_message;

/// Active clients of each router; they share its statement rate.
const ACTIVE_CLIENTS: usize = 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// The clients of a set of real routers.
pub struct Clients {
    load: Option<LoadGenerator>,
    _idle: Vec<TcpStream>,
}

impl Clients {
    /// Connects to each router: a few active clients send it `statements` per second, spread over `groups`
    /// database groups in turn, and `connections` more clients stay idle.
    ///
    /// # Errors
    /// A connection cannot be established.
    pub fn start(
        routers: &[SocketAddr],
        connections: usize,
        statements: f64,
        groups: usize,
    ) -> std::io::Result<Self> {
        let mut idle = Vec::new();
        for router in routers {
            for _ in 0..connections {
                idle.push(connect(*router)?);
            }
        }
        let interval = Duration::from_secs_f64(ACTIVE_CLIENTS as f64 / statements.clamp(1e-3, 1e6));
        let load = (statements > 0.0)
            .then(|| LoadGenerator::with_replica_sets(routers, ACTIVE_CLIENTS, interval, &["look"], groups));
        Ok(Self { load, _idle: idle })
    }

    /// The number of statements answered so far, and how many of them succeeded.
    pub fn answered(&self) -> (u64, u64) {
        let Some(load) = &self.load else { return (0, 0) };
        (load.results.total(), load.results.ok.load(std::sync::atomic::Ordering::SeqCst))
    }

    /// Stops the active clients and waits for their last answers.
    pub fn end(self) {
        if let Some(load) = self.load {
            load.finish();
        }
    }
}

fn connect(router: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&router, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT))?;
    let (mut out, mut unread) = (Vec::new(), Vec::new());
    pg::encode_startup(&mut out, "portal", "crm");
    stream.write_all(&out)?;
    loop {
        match read_message(&mut stream, &mut unread, pg::decode_backend_message) {
            Some(BackendMessage::ReadyForQuery) => return Ok(stream),
            Some(BackendMessage::ErrorResponse { message, .. }) => {
                return Err(std::io::Error::other(message));
            }
            Some(_) => {}
            None => return Err(std::io::Error::other(format!("{router} closed before ReadyForQuery"))),
        }
    }
}
