//! Socket reads and writes that retry system calls interrupted by a signal.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use async_io::Async;

/// Waits for bytes, reads them into `chunk`, and returns their number; zero if the peer has shut down its
/// side.
///
/// # Errors
/// The connection is broken.
pub async fn read(stream: &Async<TcpStream>, chunk: &mut [u8]) -> io::Result<usize> {
    stream.read_with(|mut stream| retry_interrupted(|| stream.read(chunk))).await
}

/// Waits until the socket is writable, writes as much as it accepts, and returns the number of bytes.
///
/// # Errors
/// The connection is broken.
pub async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    stream.write_with(|mut stream| retry_interrupted(|| stream.write(bytes))).await
}

/// Writes all bytes.
///
/// # Errors
/// The connection is broken, or accepts no more bytes.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(stream, bytes).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// Repeats a call while it fails with [`io::ErrorKind::Interrupted`].
///
/// # Errors
/// Any other error of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}
