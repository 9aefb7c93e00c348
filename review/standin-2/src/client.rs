//! A client: one connection to a router, simple queries only.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::pg::{self, Reader};

/// What a router answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(Vec<u8>),
    Empty,
    /// The SQLSTATE.
    Error(String),
    /// The connection ended, or nothing came in time.
    None(String),
}

impl Reply {
    /// 53300 and 57P03 say that trying again is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Error(code) if code == "53300" || code == "57P03")
    }

    pub fn text(&self) -> String {
        match self {
            Self::Value(value) => format!("value {}", String::from_utf8_lossy(value)),
            Self::Empty => "empty".to_string(),
            Self::Error(code) => format!("error {code}"),
            Self::None(why) => format!("nothing ({why})"),
        }
    }
}

pub struct Client {
    stream: TcpStream,
    reader: Reader,
}

impl Client {
    /// Connects, and waits for the first ReadyForQuery. `patience` bounds each read.
    pub fn connect(router: SocketAddr, patience: Duration) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(router)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        pg::send(&mut stream, &pg::startup())?;
        let mut reader = Reader::new(stream.try_clone()?);
        while reader.message()?.kind != b'Z' {}
        Ok(Self { stream, reader })
    }

    /// Connects without a startup packet.
    pub fn connect_raw(router: SocketAddr, patience: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect(router)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Connects, and sends a query directly after the startup packet.
    pub fn connect_and_send(router: SocketAddr, patience: Duration, text: &str) -> std::io::Result<Self> {
        let mut client = Self::connect_raw(router, patience)?;
        client.send_bytes(&[pg::startup(), pg::query(text.as_bytes())].concat())?;
        Ok(client)
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        pg::send(&mut self.stream, &pg::query(text.as_bytes()))
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        pg::send(&mut self.stream, bytes)
    }

    /// The answer to the oldest query without one.
    pub fn reply(&mut self) -> Reply {
        let mut reply = None;
        loop {
            let message = match self.reader.message() {
                Ok(message) => message,
                Err(error) => return reply.unwrap_or_else(|| Reply::None(error.kind().to_string())),
            };
            match message.kind {
                b'D' => reply = Some(Reply::Value(pg::value(&message.body))),
                b'I' => reply = Some(Reply::Empty),
                b'E' => reply = Some(Reply::Error(pg::sqlstate(&message.body))),
                b'Z' => {
                    if let Some(reply) = reply {
                        return reply;
                    }
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Reply {
        match self.send(text) {
            Ok(()) => self.reply(),
            Err(error) => Reply::None(error.kind().to_string()),
        }
    }
}

/// A new id, as clients make one for each request.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst))
}

/// A read in the form of the protocol page.
pub fn read(id: &str, class: &str, wait_ms: u64, group: u64, code: &str) -> String {
    format!(
        "/* id={id},c={class},d={wait_ms},cluster={group} */ SELECT data FROM facts WHERE code = '{code}'"
    )
}
