//! The probes of a process of hollow routers, sent to databases with the router's own messages on kept connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quillpoint::host::LoadReport;
use quillpoint_router::pg::{self, BackendMessage, Response, ResponseReader};

use crate::scale::databases::next;

/// A probe that is not answered by then has failed.
const TIME_OUT: Duration = Duration::from_millis(250);

struct Link {
    stream: Async<TcpStream>,
    unread: Vec<u8>,
}

/// Its connections are kept as long as there are few enough; one more is closed after use.
pub struct Prober {
    kept: RefCell<BTreeMap<SocketAddr, Vec<Link>>>,
    most: usize,
}

impl Prober {
    pub fn new(most: usize) -> Self {
        Self { kept: RefCell::default(), most }
    }

    /// What the database says of itself; `None` if it says nothing in time.
    pub async fn probe(&self, node: SocketAddr) -> Option<LoadReport> {
        let late = async {
            Timer::after(TIME_OUT).await;
            None
        };
        self.ask(node).or(late).await
    }

    async fn ask(&self, node: SocketAddr) -> Option<LoadReport> {
        let idle = self.kept.borrow_mut().get_mut(&node).and_then(Vec::pop);
        if let Some(mut link) = idle
            && let Some(report) = link.ask().await
        {
            self.give_back(node, link);
            return Some(report);
        }
        let mut link = Link::open(node).await?;
        let report = link.ask().await?;
        self.give_back(node, link);
        Some(report)
    }

    fn give_back(&self, node: SocketAddr, link: Link) {
        let kept = &mut *self.kept.borrow_mut();
        if kept.len() < self.most || kept.contains_key(&node) {
            kept.entry(node).or_default().push(link);
        }
    }
}

impl Link {
    async fn open(node: SocketAddr) -> Option<Self> {
        let stream = Async::<TcpStream>::connect(node).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let mut link = Self { stream, unread: Vec::new() };
        let mut startup = Vec::new();
        pg::encode_startup(&mut startup, "portal", "crm");
        link.stream.write_all(&startup).await.ok()?;
        while link.told().await? != BackendMessage::ReadyForQuery {}
        Some(link)
    }

    async fn told(&mut self) -> Option<BackendMessage> {
        next(&mut self.stream, &mut self.unread, pg::decode_backend_message).await
    }

    async fn ask(&mut self) -> Option<LoadReport> {
        self.stream.write_all(&pg::query_message(b"SHOW load")).await.ok()?;
        let (mut reading, mut report) = (ResponseReader::default(), None);
        loop {
            match self.told().await? {
                BackendMessage::ReadyForQuery => return report,
                BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored => {}
                told => {
                    if let Some(Response::Result(answer)) = reading.push(told).ok()? {
                        report = read(&answer.value?);
                    }
                }
            }
        }
    }
}

fn read(load: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in std::str::from_utf8(load).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        quillpoint_settings::set_report_field(&mut report, name, value.parse().ok()?, Duration::ZERO);
    }
    Some(report)
}
