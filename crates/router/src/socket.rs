//! Reads and writes of sockets. A call that a signal interrupts is made again: nothing is wrong with its connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use async_io::Async;

/// Waits for bytes and reads them; their count, which is zero at the end of the peer's sending.
///
/// # Errors
/// The connection is broken.
pub async fn read(stream: &Async<TcpStream>, chunk: &mut [u8]) -> io::Result<usize> {
    stream.read_with(|mut stream| retry_interrupted(|| stream.read(chunk))).await
}

/// Waits for room and writes what fits in it; the count of bytes.
///
/// # Errors
/// The connection is broken.
pub async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    stream.write_with(|mut stream| retry_interrupted(|| stream.write(bytes))).await
}

/// Writes all of it.
///
/// # Errors
/// The connection is broken, or takes nothing any more.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(stream, bytes).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// Makes a call again for as long as signals interrupt it.
///
/// # Errors
/// Any other one of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}
