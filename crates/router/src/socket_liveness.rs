//! Queries the kernel for the state of a socket without reading or blocking. A shutdown by the peer is
//! detected even if there are unread bytes in front of it.

use std::net::{TcpListener, TcpStream};
use std::rc::Weak;

use async_io::Async;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;

/// Lets attempts check whether their client is still connected.
pub struct ClientLiveness(Weak<Async<TcpStream>>);

impl ClientLiveness {
    /// Creates a check for a connection that its session owns.
    pub fn new(stream: Weak<Async<TcpStream>>) -> Self {
        Self(stream)
    }

    /// Whether the session is open and the client has not closed the connection.
    pub fn is_connected(&self) -> bool {
        self.0.upgrade().is_some_and(|stream| !peer_has_closed(stream.get_ref()))
    }
}

/// Whether the peer has shut down its side, or the connection is broken. Neither reads nor blocks. If polling
/// fails, the connection counts as open: a later read will report its state.
pub fn peer_has_closed(stream: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut sockets = [PollFd::new(stream, PollFlags::RDHUP)];
    poll_without_blocking(&mut sockets) && sockets[0].revents().intersects(closed)
}

/// Returns the number of bytes that have arrived and not been read, or 0 if the kernel cannot report it.
pub fn unread_bytes(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default()
}

/// Whether a connection waits to be accepted. Does not block.
pub fn has_pending_connection(listener: &TcpListener) -> bool {
    let mut sockets = [PollFd::new(listener, PollFlags::IN)];
    poll_without_blocking(&mut sockets) && sockets[0].revents().contains(PollFlags::IN)
}

/// Polls without blocking, and retries if interrupted by a signal. Returns whether the poll succeeded.
fn poll_without_blocking(sockets: &mut [PollFd<'_>]) -> bool {
    retry_on_intr(|| poll(sockets, Some(&Timespec::default()))).is_ok()
}
