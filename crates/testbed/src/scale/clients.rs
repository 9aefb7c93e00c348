//! Clients of the real routers: some that ask at a pace, and some that only stay.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use quillpoint_router::pg::{self, BackendMessage};

use crate::load::LoadGenerator;
use crate::replica_set::read_message;

/// So many clients a router ask in turn.
const ASKING: usize = 10;
const TIME_OUT: Duration = Duration::from_secs(10);

pub struct Clients {
    load: Option<LoadGenerator>,
    _staying: Vec<TcpStream>,
}

impl Clients {
    /// At each router, so many statements a second by a few clients, to all of so many groups in turn, and so many
    /// connections that only stay.
    ///
    /// # Errors
    /// A connection cannot be had.
    pub fn start(
        routers: &[SocketAddr],
        connections: usize,
        statements: f64,
        groups: usize,
    ) -> std::io::Result<Self> {
        let mut staying = Vec::new();
        for router in routers {
            for _ in 0..connections {
                staying.push(connect(*router)?);
            }
        }
        let every = Duration::from_secs_f64(ASKING as f64 / statements.clamp(1e-3, 1e6));
        let load = (statements > 0.0)
            .then(|| LoadGenerator::with_replica_sets(routers, ASKING, every, &["look"], groups));
        Ok(Self { load, _staying: staying })
    }

    /// How many statements have been answered by now, and how many of them well.
    pub fn answered(&self) -> (u64, u64) {
        let Some(load) = &self.load else { return (0, 0) };
        (load.results.total(), load.results.ok.load(std::sync::atomic::Ordering::SeqCst))
    }

    /// All have had their last answer when this returns.
    pub fn end(self) {
        if let Some(load) = self.load {
            load.finish();
        }
    }
}

fn connect(router: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&router, TIME_OUT)?;
    stream.set_read_timeout(Some(TIME_OUT))?;
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
            None => return Err(std::io::Error::other(format!("{router} does not greet a client"))),
        }
    }
}
