//! Whether a peer is there, asked of the system without reading or waiting: the end of its sending is seen behind
//! whatever it has sent before, unread.

use std::net::{TcpListener, TcpStream};
use std::rc::Weak;

use async_io::Async;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;

/// A client, as long as its session lasts.
pub struct Presence(Weak<Async<TcpStream>>);

impl Presence {
    pub fn new(stream: Weak<Async<TcpStream>>) -> Self {
        Self(stream)
    }

    /// Whether its session lasts and it has not hung up.
    pub fn is_there(&self) -> bool {
        self.0.upgrade().is_some_and(|stream| !has_hung_up(stream.get_ref()))
    }
}

/// Whether the peer has ended its sending, or the connection is broken. Reads nothing and does not wait.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    // What cannot be asked is taken to be there: reading tells otherwise.
    poll_at_once(&mut asked) && asked[0].revents().intersects(ends)
}

/// How many bytes have come and wait to be read. What cannot be asked is taken to be none.
pub fn bytes_waiting(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default()
}

/// Whether a connection waits to be accepted. Does not wait.
pub fn has_waiting(listener: &TcpListener) -> bool {
    let mut asked = [PollFd::new(listener, PollFlags::IN)];
    poll_at_once(&mut asked) && asked[0].revents().contains(PollFlags::IN)
}

/// Whether the system says what holds of these. A signal does not keep it from that.
fn poll_at_once(asked: &mut [PollFd<'_>]) -> bool {
    retry_on_intr(|| poll(asked, Some(&Timespec::default()))).is_ok()
}
