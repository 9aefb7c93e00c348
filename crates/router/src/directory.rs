//! Discovery's one caller: it carries out the calls that `quillpoint_watch` times, and hands the module what they tell.

use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use quillpoint::host::{Extent, Listed};
use quillpoint_watch::{Failed, ListWatch, Part};

use crate::deployment::Deployment;
use crate::descriptors::Slot;
use crate::engine::{Clock, Engine};
use crate::list::{Page, Reader};

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
    reader: Reader,
    rev: Option<u64>,
    connection: Option<Async<TcpStream>>,
    clock: Clock,
    watch: RefCell<ListWatch>,
    /// Kept for as long as the router runs, so that no client can have it while discovery is down.
    _slot: Slot,
}

/// What comes before a call's end.
enum Turn {
    Moved(SocketAddr),
    Asked,
    Due,
}

impl Directory {
    /// Reads the list that the router had last; the lines are for the module.
    pub fn new(
        address: SocketAddr,
        deployment: &Deployment,
        known: &Page,
        (slot, clock): (Slot, Clock),
        seed: u64,
    ) -> (Self, Vec<Listed>) {
        let mut reader = Reader::new(deployment);
        let lines = reader.lines(known);
        let rev = (!lines.is_empty()).then_some(known.rev);
        let watch = RefCell::new(ListWatch::new(deployment.ask_every, deployment.list_comes, seed));
        (Self { address, reader, rev, connection: None, clock, watch, _slot: slot }, lines)
    }

    /// Calls whenever the watch of the list is due to, until the router ends. `asked` is the module's wish for the
    /// list, `moves` tells where discovery is from now on.
    pub async fn run(mut self, engine: Rc<Engine>, asked: Receiver<()>, moves: Receiver<SocketAddr>) {
        loop {
            let hold = self.watch.borrow_mut().begin(self.clock.now());
            let Some(hold) = hold else {
                let due = self.watch.borrow().due();
                match turn(&moves, &asked).or(self.until(due)).await {
                    Turn::Moved(address) => self.turn_to(address),
                    Turn::Asked => self.watch.borrow_mut().asked(self.clock.now()),
                    Turn::Due => {}
                }
                continue;
            };
            let mut moved = None;
            let call = async { Some(self.call(hold).await) };
            // What the module asks meanwhile is answered by the call that is out.
            let elsewhere = async {
                moved = moves.recv().await.ok();
                None
            };
            let ended = call.or(elsewhere).await;
            if let Some(address) = moved {
                self.turn_to(address);
                continue;
            }
            match ended {
                Some(Ok((page, lines))) => {
                    if !lines.is_empty() {
                        log::info!("list {}: {} entries", page.rev, lines.len());
                    }
                    let extent = if page.all { Extent::Whole } else { Extent::Changes };
                    engine.list_changed(extent, &lines);
                    self.watch.borrow_mut().answered(self.clock.now(), !lines.is_empty());
                }
                Some(Err(failure)) => {
                    self.connection = None;
                    match self.watch.borrow_mut().failed(self.clock.now()) {
                        Failed::Watch => log::warn!("the watch of the list has fallen silent"),
                        Failed::Call => log::warn!("list call failed: {failure}"),
                    }
                }
                // Nobody can tell any more where discovery moves.
                None => return,
            }
        }
    }

    async fn until(&self, due: Option<Duration>) -> Turn {
        match due {
            Some(due) => _ = Timer::at(self.clock.instant(due)).await,
            None => future::pending().await,
        }
        Turn::Due
    }

    /// Elsewhere the versions may be others, so the whole list is asked for, on a connection of its own.
    fn turn_to(&mut self, address: SocketAddr) {
        (self.connection, self.address, self.rev) = (None, address, None);
        self.watch.borrow_mut().moved(self.clock.now());
    }

    async fn call(&mut self, hold: Duration) -> Result<(Page, Vec<Listed>), Failure> {
        let path = match self.rev {
            None => "/catalog/members".to_string(),
            Some(rev) => format!("/catalog/members?from={rev}&hold_ms={}", hold.as_millis()),
        };
        let page = self.fetch(&path).await?;
        let lines = self.reader.lines(&page);
        // Guards against taking a list in a form that is not known here for one on which nobody is left.
        if lines.is_empty() && !page.targets.is_empty() {
            return Err(Failure::Entries);
        }
        self.rev = Some(page.rev);
        Ok((page, lines))
    }

    /// One part of a call, within the time that it may take.
    async fn within<T>(
        &self,
        part: Part,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        self.watch.borrow_mut().reached(self.clock.now(), part);
        let due = self.watch.borrow().due();
        let late = async {
            self.until(due).await;
            Err(Failure::Late)
        };
        work.or(late).await
    }

    async fn fetch(&mut self, path: &str) -> Result<Page, Failure> {
        // A kept connection may have ended since. A call that it did not answer is made anew at once, so that
        // the watch goes on.
        if let Some(stream) = self.connection.take() {
            match self.ask(stream, path).await {
                Err(Failure::Io(_) | Failure::Ended) => log::debug!("the connection to discovery has ended"),
                other => return other,
            }
        }
        let connect = async { Ok(Async::<TcpStream>::connect(self.address).await?) };
        let stream = self.within(Part::Connect, connect).await?;
        self.ask(stream, path).await
    }

    async fn ask(&mut self, mut stream: Async<TcpStream>, path: &str) -> Result<Page, Failure> {
        let host = self.address;
        let call = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
        let mut bytes = Vec::new();
        let head = async {
            stream.write_all(call.as_bytes()).await?;
            while !has_head(&bytes) {
                if read(&mut stream, &mut bytes).await? == 0 {
                    return Err(if bytes.is_empty() { Failure::Ended } else { Failure::Length });
                }
            }
            Ok(())
        };
        self.within(Part::Head, head).await?;
        let body = async {
            let mut ended = false;
            loop {
                if let Some(whole) = answer(&bytes, ended)? {
                    return Ok(whole);
                }
                if ended {
                    return Err(Failure::Length);
                }
                ended = read(&mut stream, &mut bytes).await? == 0;
            }
        };
        let (body, kept) = self.within(Part::Body, body).await?;
        let page = serde_json::from_slice(&body)?;
        self.connection = kept.then_some(stream);
        Ok(page)
    }
}

async fn turn(moves: &Receiver<SocketAddr>, asked: &Receiver<()>) -> Turn {
    let moved = async {
        match moves.recv().await {
            Ok(address) => Turn::Moved(address),
            Err(_) => future::pending().await,
        }
    };
    let asked = async {
        match asked.recv().await {
            Ok(()) => Turn::Asked,
            Err(_) => future::pending().await,
        }
    };
    moved.or(asked).await
}

/// Reads a piece more. A peer that never stops must not keep the other tasks, nor its own limit, from their turn.
async fn read(stream: &mut Async<TcpStream>, bytes: &mut Vec<u8>) -> Result<usize, Failure> {
    let mut piece = [0; 4096];
    let count = stream.read(&mut piece).await?;
    bytes.extend(&piece[..count]);
    future::yield_now().await;
    Ok(count)
}

/// Whether the head is whole, or is none and need not be waited for.
fn has_head(bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let status = httparse::Response::new(&mut headers).parse(bytes);
    bytes.len() > LONGEST_HEAD || !matches!(status, Ok(httparse::Status::Partial))
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
