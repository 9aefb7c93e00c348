//! Discovery's one caller: the watch that keeps the module's list up to date.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use quillpoint::host::{Extent, Listed};

use crate::deployment::Deployment;
use crate::descriptors::{Descriptors, Slot};
use crate::engine::Engine;
use crate::list::{Page, Reader};

/// A call may take so much longer than the wait it asks for: then it has fallen silent and is made anew. What it
/// missed counts as told 2 s after that wait, so as much again is left for the new call to be answered in.
const SLACK: Duration = Duration::from_millis(1000);
/// The part of the wait by which routers differ, by their seeds: a fleet that was cut off or started together would
/// else call together for good.
const SPREAD: f64 = 0.125;
/// The longest wait that discovery grants, and the shortest that is asked for, before they are spread.
const LONGEST_HOLD: Duration = Duration::from_secs(60);
const SHORTEST_HOLD: Duration = Duration::from_secs(1);
/// The next call of a watch comes no later than 200 ms after an answer. If discovery answers at once that
/// there is nothing new, half of that keeps its calls from spinning.
const PAUSE: Duration = Duration::from_millis(100);
/// No list of a deployment comes near this.
const LONGEST_BODY: usize = 4 << 20;
const LONGEST_HEAD: usize = 16 << 10;

#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("no answer in time")]
    Late,
    #[error("the connection ended without an answer")]
    Ended,
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the answer is no HTTP: {0}")]
    Http(#[from] httparse::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("the answer ends early, or is too long")]
    Length,
    #[error("the list cannot be read: {0}")]
    List(#[from] serde_json::Error),
    #[error("no entry of the list can be read")]
    Entries,
}

/// Discovery's one caller.
pub struct Directory {
    address: SocketAddr,
    hold: Duration,
    /// Whether a watch begins without being asked for, after a failure too.
    unasked: bool,
    reader: Reader,
    rev: Option<u64>,
    connection: Option<(Async<TcpStream>, Slot)>,
    descriptors: Rc<Descriptors>,
}

impl Directory {
    /// Reads the list that the router had last; the lines are for the module.
    pub fn new(
        address: SocketAddr,
        deployment: &Deployment,
        known: &Page,
        descriptors: Rc<Descriptors>,
        seed: u64,
    ) -> (Self, Vec<Listed>) {
        let mut reader = Reader::new(deployment);
        let lines = reader.lines(known);
        let rev = (!lines.is_empty()).then_some(known.rev);
        let hold = deployment.ask_every.clamp(SHORTEST_HOLD, LONGEST_HOLD);
        let hold = hold.mul_f64(1.0 - SPREAD * (seed % 1024) as f64 / 1024.0);
        let unasked = deployment.list_comes;
        (Self { address, hold, unasked, reader, rev, connection: None, descriptors }, lines)
    }

    /// Each time the module asks (or at once, where the list is to come unasked), a new watch: first what is new by
    /// now, then calls that wait for more. The same when discovery has moved, which `moves` tells.
    pub async fn run(mut self, engine: Rc<Engine>, asked: Receiver<()>, moves: Receiver<SocketAddr>) {
        let anew = || {
            let moved = async { moves.recv().await.ok() };
            let asked = async {
                _ = asked.recv().await;
                None
            };
            moved.or(asked)
        };
        loop {
            self.turn_to(if self.unasked { None } else { anew().await });
            let mut hold = Duration::ZERO;
            loop {
                // One ask is answered by the watch that stands; what asks pile up meanwhile is one more.
                let called = Instant::now();
                let call = async { Ok(self.call(hold).await) };
                match call.or(async { Err(anew().await) }).await {
                    Ok(Ok((page, lines))) => {
                        if !lines.is_empty() {
                            log::info!("list {}: {} entries", page.rev, lines.len());
                        }
                        let extent = if page.all { Extent::Whole } else { Extent::Changes };
                        engine.list_changed(extent, &lines);
                        if lines.is_empty() && called.elapsed() < hold / 2 {
                            Timer::after(PAUSE).await;
                        }
                        hold = self.hold;
                    }
                    // A watch that has fallen silent is begun anew at once; a call that does not wait has failed.
                    Ok(Err(Failure::Late)) if !hold.is_zero() => {
                        log::warn!("the watch of the list has fallen silent");
                        self.turn_to(None);
                        hold = Duration::ZERO;
                    }
                    Ok(Err(failure)) => {
                        log::warn!("list call failed: {failure}");
                        self.connection = None;
                        engine.list_failed();
                        if self.unasked {
                            Timer::after(SHORTEST_HOLD).await;
                        }
                        break;
                    }
                    Err(moved) => {
                        self.turn_to(moved);
                        hold = Duration::ZERO;
                    }
                }
            }
        }
    }

    /// A watch begins on a connection of its own. Elsewhere the versions may be others, so the whole list is
    /// asked for.
    fn turn_to(&mut self, moved: Option<SocketAddr>) {
        self.connection = None;
        match moved {
            Some(address) => (self.address, self.rev) = (address, None),
            None => log::debug!("list asked for anew"),
        }
    }

    async fn call(&mut self, hold: Duration) -> Result<(Page, Vec<Listed>), Failure> {
        let late = async {
            Timer::after(hold + SLACK).await;
            Err(Failure::Late)
        };
        let path = match self.rev {
            None => "/catalog/members".to_string(),
            Some(rev) => format!("/catalog/members?from={rev}&hold_ms={}", hold.as_millis()),
        };
        let page = self.fetch(&path).or(late).await?;
        let lines = self.reader.lines(&page);
        // Guards against taking a list in a form that is not known here for one on which nobody is left.
        if lines.is_empty() && !page.targets.is_empty() {
            return Err(Failure::Entries);
        }
        self.rev = Some(page.rev);
        Ok((page, lines))
    }

    async fn fetch(&mut self, path: &str) -> Result<Page, Failure> {
        // A kept connection may have ended since. A call that it did not answer is made anew at once, so that
        // the watch goes on.
        if let Some((stream, slot)) = self.connection.take() {
            match self.ask(stream, slot, path).await {
                Err(Failure::Io(_) | Failure::Ended) => log::debug!("the connection to discovery has ended"),
                other => return other,
            }
        }
        let slot = self.descriptors.take().await;
        let stream = Async::<TcpStream>::connect(self.address).await?;
        self.ask(stream, slot, path).await
    }

    async fn ask(&mut self, mut stream: Async<TcpStream>, slot: Slot, path: &str) -> Result<Page, Failure> {
        let host = self.address;
        let call = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
        stream.write_all(call.as_bytes()).await?;
        let mut bytes = Vec::new();
        let (body, kept) = loop {
            if let Some(whole) = answer(&bytes, false)? {
                break whole;
            }
            let mut piece = [0; 4096];
            match stream.read(&mut piece).await? {
                0 if bytes.is_empty() => return Err(Failure::Ended),
                0 => break answer(&bytes, true)?.ok_or(Failure::Length)?,
                count => bytes.extend(&piece[..count]),
            }
        };
        let page = serde_json::from_slice(&body)?;
        self.connection = kept.then_some((stream, slot));
        Ok(page)
    }
}

/// The body of an answer once it is whole, and whether its connection may be used again.
pub fn answer(bytes: &[u8], ended: bool) -> Result<Option<(Vec<u8>, bool)>, Failure> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes)? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if bytes.len() > LONGEST_HEAD => return Err(Failure::Length),
        httparse::Status::Partial => return Ok(None),
    };
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    if head.code != Some(200) {
        return Err(Failure::Status(head.code.unwrap_or(0)));
    }
    let keeps = head.version == Some(1) && header("connection").is_none_or(|word| word != "close");
    let rest = &bytes[start..];
    if rest.len() > LONGEST_BODY {
        return Err(Failure::Length);
    }
    if header("transfer-encoding").is_some_and(|word| word.ends_with("chunked")) {
        return Ok(chunks(rest)?.map(|body| (body, keeps)));
    }
    match header("content-length").map(|digits| digits.parse::<usize>()) {
        Some(Ok(length)) if length <= LONGEST_BODY => {
            Ok(rest.get(..length).map(|body| (body.to_vec(), keeps && rest.len() == length)))
        }
        Some(_) => Err(Failure::Length),
        None => Ok(ended.then(|| (rest.to_vec(), false))),
    }
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, Failure> {
    let mut body = Vec::new();
    loop {
        let (start, length) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, length))) => (start, length as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Failure::Length),
        };
        if length > LONGEST_BODY {
            return Err(Failure::Length);
        }
        rest = &rest[start..];
        if length == 0 {
            // Trailers are passed over; an empty line ends them.
            let ended = rest.starts_with(b"\r\n") || rest.windows(4).any(|four| four == b"\r\n\r\n");
            return Ok(ended.then_some(body));
        }
        let Some(piece) = rest.get(..length + 2) else { return Ok(None) };
        body.extend(&piece[..length]);
        rest = &rest[length + 2..];
    }
}
