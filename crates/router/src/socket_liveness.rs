//! Whether a peer is still connected, asked of the kernel without reading or waiting: the end of its sending is seen
//! behind whatever it has sent before, unread.

use std::net::{TcpListener, TcpStream};
use std::rc::Weak;

use async_io::Async;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;

/// A client's connection, as seen by the attempts that are made for it.
pub struct ClientLiveness(Weak<Async<TcpStream>>);

impl ClientLiveness {
    /// For a connection that its session owns.
    pub fn new(stream: Weak<Async<TcpStream>>) -> Self {
        Self(stream)
    }

    /// Whether its session lasts and the client has not closed the connection.
    pub fn is_connected(&self) -> bool {
        self.0.upgrade().is_some_and(|stream| !peer_has_closed(stream.get_ref()))
    }
}

/// Whether the peer has ended its sending, or the connection is broken. Reads nothing and does not wait. A socket that
/// cannot be asked is taken to be open: reading tells otherwise.
pub fn peer_has_closed(stream: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut sockets = [PollFd::new(stream, PollFlags::RDHUP)];
    poll_at_once(&mut sockets) && sockets[0].revents().intersects(closed)
}

/// How many bytes have arrived and not been read. Of a socket that cannot be asked: none.
pub fn unread_bytes(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default()
}

/// Whether a connection waits to be accepted. Does not wait.
pub fn has_pending_connection(listener: &TcpListener) -> bool {
    let mut sockets = [PollFd::new(listener, PollFlags::IN)];
    poll_at_once(&mut sockets) && sockets[0].revents().contains(PollFlags::IN)
}

/// Polls without waiting, again for as long as signals interrupt it. Whether the kernel answered.
fn poll_at_once(sockets: &mut [PollFd<'_>]) -> bool {
    retry_on_intr(|| poll(sockets, Some(&Timespec::default()))).is_ok()
}
