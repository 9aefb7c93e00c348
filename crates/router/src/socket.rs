//! Reads and writes of sockets. One that a signal interrupts is made again: nothing is wrong with its connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use async_io::Async;

/// Reads what has come, once something has. Zero at the end of the peer's sending.
///
/// # Errors
/// The connection is broken.
pub async fn read(stream: &Async<TcpStream>, piece: &mut [u8]) -> io::Result<usize> {
    stream.read_with(|mut stream| uninterrupted(|| stream.read(piece))).await
}

/// Writes what there is room for, once there is some.
///
/// # Errors
/// The connection is broken.
pub async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    stream.write_with(|mut stream| uninterrupted(|| stream.write(bytes))).await
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
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}
