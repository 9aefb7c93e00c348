//! One poll of the endpoint list: its connection, the request, and the answer to its end.
//!
//! A poll has no timeout of its own. Whoever makes it decides how long its answer is of use.

use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::future;
use quillpoint_discovery_watch::PollPhase;

use crate::endpoint_list::EndpointList;
use crate::http::{self, InvalidResponse, StreamState};
use crate::socket;

/// How much is read from the socket at once.
const READ_BYTES: usize = 4096;

/// Why a poll has brought no list.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// Its time is over.
    #[error("no answer in time")]
    TimedOut,
    /// Discovery has closed the connection.
    #[error("the connection was closed without an answer")]
    ConnectionClosed,
    /// The connection is broken.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The answer is no HTTP response with a body.
    #[error("{0}")]
    Response(#[from] InvalidResponse),
    /// The body is no endpoint list.
    #[error("expected an endpoint list as JSON: {0}")]
    List(#[from] serde_json::Error),
    /// The list is in a form that is not known here.
    #[error("expected an entry that can be read, found none among {entries}")]
    NoReadableEntry {
        /// The number of its entries.
        entries: usize,
    },
}

/// A connection to discovery.
pub type Connection = Async<TcpStream>;

/// What a poll has brought.
pub struct PollAnswer {
    /// The list.
    pub list: EndpointList,
    /// The connection, if it may carry another request.
    pub connection: Option<Connection>,
}

/// A poll: where it goes, and what it requests.
pub struct EndpointPoll {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The path and query of the request.
    pub path: String,
}

impl EndpointPoll {
    /// Makes the poll, on the kept connection if there is one. `phase_reached` is called as each phase begins.
    ///
    /// A kept connection may have been closed since its last answer. A poll that fails on it is repeated at once on a new
    /// one, so that a watch goes on.
    ///
    /// # Errors
    /// No list came.
    pub async fn run(
        self,
        kept: Option<Connection>,
        phase_reached: impl Fn(PollPhase),
    ) -> Result<PollAnswer, PollError> {
        if let Some(connection) = kept {
            match self.request(connection, &phase_reached).await {
                Err(PollError::Io(_) | PollError::ConnectionClosed) => {
                    log::debug!("the connection to discovery was closed");
                }
                result => return result,
            }
        }
        phase_reached(PollPhase::Connect);
        let connection = Connection::connect(self.address).await?;
        self.request(connection, &phase_reached).await
    }

    async fn request(
        &self,
        connection: Connection,
        phase_reached: &impl Fn(PollPhase),
    ) -> Result<PollAnswer, PollError> {
        let Self { address, path } = self;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        phase_reached(PollPhase::Headers);
        socket::write_all(&connection, request.as_bytes()).await?;
        let mut bytes = Vec::new();
        read_head(&connection, &mut bytes).await?;
        phase_reached(PollPhase::Body);
        let body = read_body(&connection, &mut bytes).await?;
        let list = serde_json::from_slice(&body.bytes)?;
        Ok(PollAnswer { list, connection: body.keeps_connection.then_some(connection) })
    }
}

async fn read_head(connection: &Connection, bytes: &mut Vec<u8>) -> Result<(), PollError> {
    while !http::is_head_complete(bytes) {
        if read(connection, bytes).await? == StreamState::Ended {
            return Err(match bytes.len() {
                0 => PollError::ConnectionClosed,
                found => InvalidResponse::Truncated { found }.into(),
            });
        }
    }
    Ok(())
}

async fn read_body(connection: &Connection, bytes: &mut Vec<u8>) -> Result<http::Body, PollError> {
    let mut stream = StreamState::Open;
    loop {
        if let Some(body) = http::parse_body(bytes, stream)? {
            return Ok(body);
        }
        if stream == StreamState::Ended {
            return Err(InvalidResponse::Truncated { found: bytes.len() }.into());
        }
        stream = read(connection, bytes).await?;
    }
}

/// Reads some bytes more. A peer that never stops sending must not keep other tasks from running.
async fn read(connection: &Connection, bytes: &mut Vec<u8>) -> Result<StreamState, PollError> {
    let mut buffer = [0; READ_BYTES];
    let count = socket::read(connection, &mut buffer).await?;
    bytes.extend(&buffer[..count]);
    future::yield_now().await;
    Ok(if count == 0 { StreamState::Ended } else { StreamState::Open })
}
