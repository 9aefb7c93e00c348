//! Socket reads and writes that retry system calls interrupted by a signal.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use async_io::Async;

/// The most bytes of one read.
pub const READ_CHUNK_BYTES: usize = 4096;

/// Waits for bytes, reads up to [`READ_CHUNK_BYTES`], and passes them to `receive`; none if the peer has shut
/// down its side. The chunk is on the stack for the time of the call, and not in the future that waits.
///
/// # Errors
/// The connection is broken.
pub async fn read_chunk<T>(stream: &Async<TcpStream>, mut receive: impl FnMut(&[u8]) -> T) -> io::Result<T> {
    let read = |mut stream: &TcpStream| {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let count = retry_interrupted(|| stream.read(&mut chunk))?;
        Ok(receive(&chunk[..count]))
    };
    stream.read_with(read).await
}

/// Reads bytes that have arrived, up to `max_bytes` and [`READ_CHUNK_BYTES`], and passes them to `receive`. Returns their number, which
/// is zero if the peer has shut down its side.
///
/// # Errors
/// The connection is broken, or nothing has arrived.
pub fn read_arrived(
    mut stream: &TcpStream,
    max_bytes: usize,
    receive: impl FnOnce(&[u8]),
) -> io::Result<usize> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let limit = max_bytes.min(chunk.len());
    let count = retry_interrupted(|| stream.read(&mut chunk[..limit]))?;
    receive(&chunk[..count]);
    Ok(count)
}

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
