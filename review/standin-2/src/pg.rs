//! As much of PostgreSQL's protocol, version 3, as the users' protocol page needs.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message with its type; 0 for a startup packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Reads messages of one connection.
pub struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, bytes: Vec::new() }
    }

    fn fill(&mut self, count: usize) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        while self.bytes.len() < count {
            match self.stream.read(&mut chunk)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => self.bytes.extend(&chunk[..read]),
            }
        }
        Ok(())
    }

    /// The next message. An end of the stream is an error.
    pub fn message(&mut self) -> io::Result<Message> {
        self.fill(5)?;
        let length =
            u32::from_be_bytes([self.bytes[1], self.bytes[2], self.bytes[3], self.bytes[4]]) as usize;
        if !(4..=4 << 20).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.fill(1 + length)?;
        let whole: Vec<u8> = self.bytes.drain(..1 + length).collect();
        Ok(Message { kind: whole[0], body: whole[5..].to_vec() })
    }

    /// The startup packet.
    pub fn startup(&mut self) -> io::Result<Message> {
        self.fill(4)?;
        let length =
            u32::from_be_bytes([self.bytes[0], self.bytes[1], self.bytes[2], self.bytes[3]]) as usize;
        if !(8..=10_000).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.fill(length)?;
        let whole: Vec<u8> = self.bytes.drain(..length).collect();
        Ok(Message { kind: 0, body: whole[4..].to_vec() })
    }
}

fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// The startup packet of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0portal\0database\0crm\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A simple query.
pub fn query(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put(&mut out, b'Q', &[text, b"\0"].concat());
    out
}

/// A node's answer to a startup packet.
pub fn session_start(out: &mut Vec<u8>) {
    put(out, b'R', &[0; 4]);
    ready(out);
}

pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

pub fn empty_query_response(out: &mut Vec<u8>) {
    put(out, b'I', b"");
}

pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat());
}

/// A row of one column, and the command tag.
pub fn row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
    let mut description = 1u16.to_be_bytes().to_vec();
    description.extend(b"data\0");
    description.extend([0; 6]);
    description.extend(17u32.to_be_bytes());
    description.extend(u16::MAX.to_be_bytes());
    description.extend(u32::MAX.to_be_bytes());
    description.extend(1u16.to_be_bytes());
    put(out, b'T', &description);
    let mut data = 1u16.to_be_bytes().to_vec();
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    put(out, b'D', &data);
    put(out, b'C', &[tag.as_bytes(), b"\0"].concat());
}

pub fn error(out: &mut Vec<u8>, code: &str, text: &str) {
    let mut body = Vec::new();
    for (field, value) in [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', code), (b'M', text)] {
        body.push(field);
        body.extend(value.as_bytes());
        body.push(0);
    }
    body.push(0);
    put(out, b'E', &body);
}

/// The SQLSTATE of an ErrorResponse.
pub fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.into_iter().find(|field| field.first() == Some(&b'C'));
    code.map_or_else(String::new, |field| String::from_utf8_lossy(&field[1..]).into_owned())
}

/// The value of a DataRow of one column.
pub fn value(body: &[u8]) -> Vec<u8> {
    body.get(6..).unwrap_or_default().to_vec()
}

pub fn send(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}
