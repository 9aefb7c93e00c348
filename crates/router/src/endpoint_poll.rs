//! One poll of the endpoint list: the connection, the request and the complete response.
//!
//! A poll has no timeout of its own. The caller decides how long to wait for the response.

use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::future;
use quillpoint_discovery_watch::PollPhase;

use crate::endpoint_list::EndpointList;
use crate::http::{Body, InvalidResponse, ResponseDecoder, StreamState};
use crate::socket;

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 4096;

/// The reason why a poll has returned no list.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The response was not complete in time.
    #[error("timed out waiting for the response")]
    TimedOut,
    /// Discovery closed the connection before it sent a response.
    #[error("the connection was closed before a response")]
    ConnectionClosed,
    /// Connecting, reading or writing failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The response is not usable: it is not HTTP, incomplete, too long or has an error status.
    #[error("{0}")]
    Response(#[from] InvalidResponse),
    /// The body is not an endpoint list.
    #[error("expected an endpoint list as JSON: {0}")]
    List(#[from] serde_json::Error),
    /// None of the entries can be parsed, so the list probably has another format.
    #[error("expected at least one readable entry, found none among {entries}")]
    NoReadableEntry {
        /// The number of entries in the list.
        entries: usize,
    },
}

/// A connection to discovery.
pub type Connection = Async<TcpStream>;

/// The response to a poll.
pub struct PollResponse {
    /// The list.
    pub list: EndpointList,
    /// The connection, if it can be reused for another request.
    pub connection: Option<Connection>,
}

/// A request for the endpoint list.
pub struct EndpointPoll {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The path and query of the request.
    pub path: String,
}

impl EndpointPoll {
    /// Makes the poll, on the idle connection if there is one. `phase_reached` is called at the start of each
    /// phase.
    ///
    /// Discovery may have closed the idle connection since the last response. A poll that fails on it is
    /// retried at once on a new connection, so that the watch is not interrupted.
    ///
    /// # Errors
    /// No endpoint list was received.
    pub async fn run(
        self,
        idle_connection: Option<Connection>,
        phase_reached: impl Fn(PollPhase),
    ) -> Result<PollResponse, PollError> {
        if let Some(connection) = idle_connection {
            match self.request(connection, &phase_reached).await {
                Err(PollError::Io(_) | PollError::ConnectionClosed) => {
                    log::debug!("the idle connection to discovery was closed, reconnecting");
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
    ) -> Result<PollResponse, PollError> {
        let Self { address, path } = self;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        phase_reached(PollPhase::Headers);
        socket::write_all(&connection, request.as_bytes()).await?;
        let mut decoder = ResponseDecoder::default();
        read_head(&connection, &mut decoder).await?;
        phase_reached(PollPhase::Body);
        let body = read_body(&connection, &mut decoder).await?;
        let list = EndpointList::from_text(&body.bytes).await?;
        Ok(PollResponse { list, connection: body.keeps_connection.then_some(connection) })
    }
}

async fn read_head(connection: &Connection, decoder: &mut ResponseDecoder) -> Result<(), PollError> {
    while !decoder.has_head() {
        if read(connection, decoder).await? == StreamState::Ended {
            return Err(match decoder.received_bytes() {
                0 => PollError::ConnectionClosed,
                found => InvalidResponse::Truncated { found }.into(),
            });
        }
    }
    Ok(())
}

async fn read_body(connection: &Connection, decoder: &mut ResponseDecoder) -> Result<Body, PollError> {
    let mut stream = StreamState::Open;
    loop {
        if let Some(body) = decoder.take_body(stream) {
            return Ok(body);
        }
        if stream == StreamState::Ended {
            return Err(InvalidResponse::Truncated { found: decoder.received_bytes() }.into());
        }
        stream = read(connection, decoder).await?;
    }
}

/// Reads more bytes, then yields: a peer that never stops sending must not keep other tasks from running.
async fn read(connection: &Connection, decoder: &mut ResponseDecoder) -> Result<StreamState, PollError> {
    let mut buffer = [0; READ_BYTES];
    let count = socket::read(connection, &mut buffer).await?;
    decoder.push(&buffer[..count])?;
    future::yield_now().await;
    Ok(if count == 0 { StreamState::Ended } else { StreamState::Open })
}
