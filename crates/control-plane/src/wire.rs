//! A control side's socket: all that it sends and reads passes here, and is counted here.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_io::{Async, Timer};
use futures_lite::future;
use nix::errno::Errno;
use nix::sys::socket::sockopt::ReceiveTimestamp;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, SockaddrStorage, recvmsg, setsockopt};
use nix::sys::time::{TimeVal, TimeValLike};

use crate::control_host::ControlHost;

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

/// A datagram that has been read.
pub struct Arrival {
    pub length: usize,
    pub from: SocketAddr,
    /// How long it had waited in the socket's queue.
    pub waited: Duration,
}

pub struct Wire {
    socket: Async<UdpSocket>,
    around: Rc<dyn ControlHost>,
    /// Datagrams looked at a second.
    a_second: u64,
    /// When the queue was last seen empty: nothing in it has waited since before then.
    empty: Cell<Instant>,
    pace: RefCell<Pace>,
    traffic: Cell<Traffic>,
}

impl Wire {
    /// # Errors
    /// The address cannot be had.
    pub fn bind(listen: SocketAddr, around: Rc<dyn ControlHost>, a_second: u64) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        // The system notes when each datagram comes. By when it is read nobody could tell.
        setsockopt(socket.get_ref(), ReceiveTimestamp, &true)?;
        let empty = Cell::new(Instant::now());
        let pace = RefCell::new(Pace { since: Instant::now(), looked_at: 0, in_a_row: 0 });
        Ok(Self { socket, around, a_second, empty, pace, traffic: Cell::default() })
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

    /// The next datagram. A flood gets no more than its share of the thread.
    pub async fn read(&self, bytes: &mut [u8]) -> Arrival {
        loop {
            self.keep_pace().await;
            match self.socket.read_with(|socket| self.receive(socket, bytes)).await {
                Ok(Arrival { from, .. }) if !self.around.reaches(from) => {}
                Ok(arrival) => {
                    let traffic = self.traffic.get();
                    let (read, read_bytes) = (traffic.read + 1, traffic.read_bytes + arrival.length as u64);
                    self.traffic.set(Traffic { read, read_bytes, ..traffic });
                    return arrival;
                }
                Err(error) => {
                    log::debug!("datagrams: {error}");
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// One look at the queue.
    fn receive(&self, socket: &UdpSocket, bytes: &mut [u8]) -> io::Result<Arrival> {
        let mut notes = nix::cmsg_space!(TimeVal);
        let mut into = [IoSliceMut::new(bytes)];
        let read =
            recvmsg::<SockaddrStorage>(socket.as_raw_fd(), &mut into, Some(&mut notes), MsgFlags::empty());
        let read = match read {
            Err(Errno::EAGAIN) => {
                self.empty.set(Instant::now());
                return Err(io::ErrorKind::WouldBlock.into());
            }
            read => read?,
        };
        let from = read.address.as_ref().and_then(address).ok_or(io::ErrorKind::InvalidData)?;
        let came = read.cmsgs()?.find_map(|note| match note {
            ControlMessageOwned::ScmTimestamp(came) => {
                let micros = u64::try_from(came.num_microseconds()).ok()?;
                Some(SystemTime::UNIX_EPOCH + Duration::from_micros(micros))
            }
            _ => None,
        });
        // A clock that was set meanwhile says nothing, and one that says too much is not believed.
        let most = self.empty.get().elapsed();
        let waited = came.and_then(|came| came.elapsed().ok()).map_or(most, |waited| waited.min(most));
        Ok(Arrival { length: read.bytes, from, waited })
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

fn address(of: &SockaddrStorage) -> Option<SocketAddr> {
    let four = of.as_sockaddr_in().map(|four| SocketAddr::V4((*four).into()));
    four.or_else(|| of.as_sockaddr_in6().map(|six| SocketAddr::V6((*six).into())))
}
