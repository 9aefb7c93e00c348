//! Clients: each keeps a connection for as long as it stays open, and sends one statement after the other on it.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quillpoint_router::pg;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::record::{Ending, Record, Request, RouterIndex};
use crate::standin::{Client, Reply, statement};

/// Past its time, a request is waited for so long: what comes by then is late, and later it is lost.
const REPLY_GRACE: Duration = Duration::from_millis(1500);
/// The shortest time that a client waits for an answer.
const MIN_WAIT_MS: u64 = 60;
const MAX_REQUESTS_PER_CONNECTION: usize = 200;
/// So often a request is sent once more whose connection was closed.
const MAX_SENDS: usize = 3;

/// A router that takes new connections.
#[derive(Clone, Copy)]
pub struct Admitted {
    pub router: RouterIndex,
    pub process: usize,
    pub address: SocketAddr,
}

/// Hands clients to routers.
#[derive(Default)]
pub struct Front(Mutex<Vec<Admitted>>);

impl Front {
    pub fn admit(&self, admitted: Admitted) {
        self.0.lock().unwrap().push(admitted);
    }

    pub fn remove(&self, router: RouterIndex) {
        self.0.lock().unwrap().retain(|admitted| admitted.router != router);
    }

    fn choose(&self, rng: &mut ChaCha8Rng) -> Option<Admitted> {
        let all = self.0.lock().unwrap();
        (!all.is_empty()).then(|| all[rng.random_range(0..all.len())])
    }
}

pub struct Clients {
    pub front: Arc<Front>,
    pub record: Arc<Record>,
    pub longest_wait: Duration,
}

/// What a client is about to send.
struct Statement {
    text: String,
    id: String,
    class: &'static str,
    wait: Duration,
}

impl Clients {
    /// One client, until this time.
    pub fn run(&self, rng: &mut ChaCha8Rng, until: Instant) {
        let mut again = None;
        while Instant::now() < until {
            let Some(admitted) = self.front.choose(rng) else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            // A router that is being killed resets it.
            let Ok(mut client) = TcpStream::connect(admitted.address).and_then(Client::try_from_stream)
            else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            _ = client.stream.set_nodelay(true);
            for _ in 0..MAX_REQUESTS_PER_CONNECTION {
                if Instant::now() >= until {
                    break;
                }
                let (request, sends) = again.take().unwrap_or_else(|| (self.draw(rng), 1));
                let (text, ending) = self.request(rng, &mut client, admitted, request);
                match ending {
                    Ending::Value | Ending::Error(_) => {}
                    Ending::Closed if sends < MAX_SENDS => {
                        again = Some((text, sends + 1));
                        break;
                    }
                    Ending::Closed | Ending::Silent | Ending::ClientDisconnected => break,
                }
                thread::sleep(Duration::from_millis(rng.random_range(0..40)));
            }
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> Statement {
        let class = ["look", "look", "enter", "recent"][rng.random_range(0..4)];
        let wait_ms = rng.random_range(MIN_WAIT_MS..=self.longest_wait.as_millis() as u64);
        let text = statement(class, wait_ms);
        let id = text.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or_default();
        Statement { id: id.to_string(), class, wait: Duration::from_millis(wait_ms), text }
    }

    fn request(
        &self,
        rng: &mut ChaCha8Rng,
        client: &mut Client,
        admitted: Admitted,
        request: Statement,
    ) -> (Statement, Ending) {
        let bytes = pg::query_message(request.text.as_bytes());
        let (leaves, slow) = (rng.random_bool(0.06), rng.random_bool(0.06));
        let (first, rest) = bytes.split_at(if slow { bytes.len() / 2 } else { 0 });
        let mut written = write(client, first);
        if slow {
            thread::sleep(Duration::from_millis(rng.random_range(10..150)));
        }
        let begun = Instant::now();
        written &= write(client, rest);
        let sent = Instant::now();
        let ending = if !written {
            Ending::Closed
        } else if leaves {
            thread::sleep(request.wait.mul_f64(rng.random_range(0.0..0.5)));
            _ = client.stream.shutdown(std::net::Shutdown::Both);
            Ending::ClientDisconnected
        } else {
            await_reply(client, sent, request.wait)
        };
        self.record.requests.lock().unwrap().push(Request {
            id: request.id.clone(),
            class: request.class.to_string(),
            router: admitted.router,
            process: admitted.process,
            begun,
            sent,
            wait: request.wait,
            ended: Instant::now(),
            ending: ending.clone(),
        });
        (request, ending)
    }
}

fn write(client: &mut Client, bytes: &[u8]) -> bool {
    use std::io::Write;
    client.stream.write_all(bytes).is_ok()
}

fn await_reply(client: &mut Client, sent: Instant, wait: Duration) -> Ending {
    let most = wait + REPLY_GRACE;
    _ = client.stream.set_read_timeout(Some(most));
    match client.reply() {
        Reply::Value(_) | Reply::Empty => Ending::Value,
        Reply::Error(code, _) => Ending::Error(code),
        Reply::Closed if sent.elapsed() >= most => Ending::Silent,
        Reply::Closed => Ending::Closed,
    }
}

/// An idle client that says nothing for as long as it is let stay.
pub fn hold_idle_connections(front: &Front, rng: &mut ChaCha8Rng, until: Instant) {
    use std::io::Read;
    while Instant::now() < until {
        let address = front.choose(rng).map(|admitted| admitted.address);
        if let Some(Ok(mut client)) =
            address.map(|to| TcpStream::connect(to).and_then(Client::try_from_stream))
        {
            _ = client.stream.set_read_timeout(Some(
                until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
            ));
            while client.stream.read(&mut [0; 64]).is_ok_and(|count| count > 0) {}
        }
        thread::sleep(Duration::from_millis(rng.random_range(20..200)));
    }
}
