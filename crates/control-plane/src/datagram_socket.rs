//! The control side's UDP socket. All datagrams are sent, read and counted here.

use std::cell::Cell;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_io::{Async, Timer};
use nix::errno::Errno;
use nix::sys::socket::sockopt::ReceiveTimestamp;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, RecvMsg, SockaddrStorage, recvmsg, setsockopt};
use nix::sys::time::{TimeVal, TimeValLike};

use crate::control_host::ControlHost;
use crate::read_pacer::{READ_PAUSE, ReadPacer};

/// Counts of datagrams since the start, and of their bytes without the UDP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams read, whether accepted or not.
    pub read: u64,
    /// Bytes read.
    pub read_bytes: u64,
}

impl Traffic {
    /// The sum of the two counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            sent_bytes: self.sent_bytes + other.sent_bytes,
            read: self.read + other.read,
            read_bytes: self.read_bytes + other.read_bytes,
        }
    }
}

/// A datagram that has been read into the caller's buffer.
pub struct ReceivedDatagram {
    /// Its length in bytes.
    pub length: usize,
    /// The sender's address.
    pub from: SocketAddr,
    /// How long it waited in the socket's receive buffer.
    pub socket_delay: Duration,
}

/// A UDP socket that measures how long each datagram waited in its receive buffer.
pub struct DatagramSocket {
    socket: Async<UdpSocket>,
    host: Rc<dyn ControlHost>,
    /// When the receive buffer was last found empty. Every datagram in it has arrived since.
    last_empty: Cell<Instant>,
    pacer: ReadPacer,
    traffic: Cell<Traffic>,
}

impl DatagramSocket {
    /// Binds the socket. It reads up to `max_datagrams_per_second`; further datagrams wait in the receive
    /// buffer.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn bind(
        listen: SocketAddr,
        host: Rc<dyn ControlHost>,
        max_datagrams_per_second: u64,
    ) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(listen)?;
        // The kernel timestamps each datagram on arrival, because a process that was paused cannot do so
        // itself.
        setsockopt(socket.get_ref(), ReceiveTimestamp, &true)?;
        Ok(Self {
            socket,
            host,
            last_empty: Cell::new(Instant::now()),
            pacer: ReadPacer::new(max_datagrams_per_second),
            traffic: Cell::default(),
        })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// Fails if the operating system cannot report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Sends a datagram. It is dropped if it cannot be sent immediately.
    ///
    /// # Errors
    /// Fails with the operating system's error if the datagram was dropped.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if !self.host.can_reach(to) {
            return Ok(());
        }
        let sent_bytes = self.socket.get_ref().send_to(bytes, to)? as u64;
        self.count(Traffic { sent: 1, sent_bytes, ..Traffic::default() });
        Ok(())
    }

    /// Reads the next datagram. Reads are paced, so that a flood of datagrams does not starve other tasks of
    /// the thread.
    pub async fn read(&self, bytes: &mut [u8]) -> ReceivedDatagram {
        loop {
            self.pacer.wait().await;
            match self.socket.read_with(|socket| self.receive(socket, bytes)).await {
                Ok(datagram) if !self.host.can_reach(datagram.from) => {}
                Ok(datagram) => {
                    let read_bytes = datagram.length as u64;
                    self.count(Traffic { read: 1, read_bytes, ..Traffic::default() });
                    return datagram;
                }
                Err(error) => {
                    log::debug!("failed to read a datagram: {error}");
                    Timer::after(READ_PAUSE).await;
                }
            }
        }
    }

    fn receive(&self, socket: &UdpSocket, bytes: &mut [u8]) -> io::Result<ReceivedDatagram> {
        let mut control_buffer = nix::cmsg_space!(TimeVal);
        let mut buffers = [IoSliceMut::new(bytes)];
        let received = recvmsg::<SockaddrStorage>(
            socket.as_raw_fd(),
            &mut buffers,
            Some(&mut control_buffer),
            MsgFlags::empty(),
        );
        let message = match received {
            Err(Errno::EAGAIN) => {
                self.last_empty.set(Instant::now());
                return Err(io::ErrorKind::WouldBlock.into());
            }
            received => received?,
        };
        let from = message.address.as_ref().and_then(socket_address).ok_or(io::ErrorKind::InvalidData)?;
        // The clock may have been set since the datagram arrived. The delay cannot be longer than the time
        // since the receive buffer was last empty.
        let max_delay = self.last_empty.get().elapsed();
        let delay = arrival_time(&message)?.and_then(|arrived| arrived.elapsed().ok());
        let socket_delay = delay.map_or(max_delay, |delay| delay.min(max_delay));
        Ok(ReceivedDatagram { length: message.bytes, from, socket_delay })
    }

    fn count(&self, traffic: Traffic) {
        self.traffic.set(self.traffic.get().plus(traffic));
    }

    /// Datagrams sent and read since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }
}

/// When the kernel received a datagram, if it provided a timestamp.
fn arrival_time(message: &RecvMsg<'_, '_, SockaddrStorage>) -> io::Result<Option<SystemTime>> {
    let arrived = message.cmsgs()?.find_map(|control_message| match control_message {
        ControlMessageOwned::ScmTimestamp(arrived) => {
            let micros = u64::try_from(arrived.num_microseconds()).ok()?;
            Some(SystemTime::UNIX_EPOCH + Duration::from_micros(micros))
        }
        _ => None,
    });
    Ok(arrived)
}

fn socket_address(address: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = address.as_sockaddr_in().map(|v4| SocketAddr::V4((*v4).into()));
    v4.or_else(|| address.as_sockaddr_in6().map(|v6| SocketAddr::V6((*v6).into())))
}
