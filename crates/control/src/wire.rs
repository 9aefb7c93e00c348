//! A control side's socket: all that it sends and reads passes here, and is counted here.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;

use crate::around::Around;

/// So many datagrams are read before others have their turn.
const AT_ONCE: u32 = 32;
/// A pause when more come than are looked at, and after a failed read.
const PAUSE: Duration = Duration::from_millis(10);

/// Datagrams that have passed since the start, and their bytes without the heads of UDP and IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Whether they were taken or not.
    pub read: u64,
    pub read_bytes: u64,
}

impl Traffic {
    pub fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            sent_bytes: self.sent_bytes + other.sent_bytes,
            read: self.read + other.read,
            read_bytes: self.read_bytes + other.read_bytes,
        }
    }
}

/// How far reading has come within its pace.
struct Pace {
    since: Instant,
    looked_at: u32,
    in_a_row: u32,
}

pub struct Wire {
    socket: Async<UdpSocket>,
    around: Rc<dyn Around>,
    /// Datagrams looked at a second.
    a_second: u64,
    pace: RefCell<Pace>,
    traffic: Cell<Traffic>,
}

impl Wire {
    /// # Errors
    /// The address cannot be had.
    pub fn bind(listen: SocketAddr, around: Rc<dyn Around>, a_second: u64) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        let pace = RefCell::new(Pace { since: Instant::now(), looked_at: 0, in_a_row: 0 });
        Ok(Self { socket, around, a_second, pace, traffic: Cell::default() })
    }

    /// # Errors
    /// As the system says.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// A datagram that cannot be sent at once is lost.
    ///
    /// # Errors
    /// Why it is lost, where the system says so.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if !self.around.reaches(to) {
            return Ok(());
        }
        let sent = self.socket.get_ref().send_to(bytes, to)?;
        let traffic = self.traffic.get();
        self.traffic.set(Traffic {
            sent: traffic.sent + 1,
            sent_bytes: traffic.sent_bytes + sent as u64,
            ..traffic
        });
        Ok(())
    }

    /// The next datagram: its length, and where it is from. A flood gets no more than its share of the thread.
    pub async fn read(&self, bytes: &mut [u8]) -> (usize, SocketAddr) {
        loop {
            self.keep_pace().await;
            match self.socket.recv_from(bytes).await {
                Ok((_, from)) if !self.around.reaches(from) => {}
                Ok((length, from)) => {
                    let traffic = self.traffic.get();
                    let (read, read_bytes) = (traffic.read + 1, traffic.read_bytes + length as u64);
                    self.traffic.set(Traffic { read, read_bytes, ..traffic });
                    return (length, from);
                }
                Err(error) => {
                    log::debug!("datagrams: {error}");
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// Before each read but the first.
    async fn keep_pace(&self) {
        let (gives_way, pauses) = {
            let pace = &mut *self.pace.borrow_mut();
            (pace.looked_at, pace.in_a_row) = (pace.looked_at + 1, pace.in_a_row + 1);
            let gives_way = pace.in_a_row > AT_ONCE;
            if gives_way {
                pace.in_a_row = 1;
            }
            let over = pace.since.elapsed() >= PAUSE;
            if over {
                (pace.since, pace.looked_at) = (Instant::now(), 1);
            }
            let most = (self.a_second as f64 * PAUSE.as_secs_f64()).max(1.0);
            (gives_way, !over && f64::from(pace.looked_at) > most + 1.0)
        };
        if gives_way {
            future::yield_now().await;
        }
        if pauses {
            Timer::after(PAUSE).await;
            let pace = &mut *self.pace.borrow_mut();
            (pace.since, pace.looked_at) = (Instant::now(), 1);
        }
    }

    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }
}
