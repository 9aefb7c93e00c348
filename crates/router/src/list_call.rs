//! One call to discovery for the list of nodes: its connection, the request, and the answer to its end.
//!
//! A call has no time limit of its own. Whoever made it decides how long its answer is of use.

use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::future;
use quillpoint_discovery_watch::Part;

use crate::http::{self, BadResponse};
use crate::list::Page;
use crate::socket;

/// How much is read at once.
const PIECE: usize = 4096;

/// Why a call came to no list.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("no answer in time")]
    Late,
    #[error("the connection ended without an answer")]
    Ended,
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Response(#[from] BadResponse),
    #[error("the list cannot be read: {0}")]
    List(#[from] serde_json::Error),
    #[error("no entry of the list can be read")]
    Entries,
}

pub type Connection = Async<TcpStream>;

/// What a call came to.
pub struct Answered {
    pub page: Page,
    /// Its connection, if it may carry another call.
    pub connection: Option<Connection>,
}

/// What is asked, and where.
pub struct ListCall {
    pub address: SocketAddr,
    pub path: String,
}

impl ListCall {
    /// Makes the call. `reached` is told of each part as it begins.
    ///
    /// A kept connection may have ended since its last answer. A call that it did not answer is made anew at once, so
    /// that a watch goes on.
    ///
    /// # Errors
    /// No list came.
    pub async fn make(self, kept: Option<Connection>, reached: impl Fn(Part)) -> Result<Answered, Failure> {
        if let Some(connection) = kept {
            match self.ask(connection, &reached).await {
                Err(Failure::Io(_) | Failure::Ended) => log::debug!("the connection to discovery has ended"),
                other => return other,
            }
        }
        reached(Part::Connect);
        let connection = Connection::connect(self.address).await?;
        self.ask(connection, &reached).await
    }

    async fn ask(&self, connection: Connection, reached: &impl Fn(Part)) -> Result<Answered, Failure> {
        let Self { address, path } = self;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        let mut bytes = Vec::new();
        reached(Part::Head);
        socket::write_all(&connection, request.as_bytes()).await?;
        while !http::has_head(&bytes) {
            if read(&connection, &mut bytes).await? == 0 {
                return Err(if bytes.is_empty() { Failure::Ended } else { BadResponse::Length.into() });
            }
        }
        reached(Part::Body);
        let mut ended = false;
        let body = loop {
            if let Some(body) = http::body(&bytes, ended)? {
                break body;
            }
            if ended {
                return Err(BadResponse::Length.into());
            }
            ended = read(&connection, &mut bytes).await? == 0;
        };
        let page = serde_json::from_slice(&body.bytes)?;
        Ok(Answered { page, connection: body.keeps_connection.then_some(connection) })
    }
}

/// Reads a piece more. A peer that never stops must not keep the other tasks from their turn.
async fn read(connection: &Connection, bytes: &mut Vec<u8>) -> Result<usize, Failure> {
    let mut piece = [0; PIECE];
    let count = socket::read(connection, &mut piece).await?;
    bytes.extend(&piece[..count]);
    future::yield_now().await;
    Ok(count)
}
