//! Messages of PostgreSQL's protocol, version 3: bytes to small typed values and back. No sockets.
//!
//! A decoder is given what has arrived so far and answers `None` while a message is not whole. What it takes
//! is told as a count of bytes, so that the caller's buffer stays the only one.

/// The longest message that only says something in words.
const LONGEST_WORDS: usize = 8_192;
/// The longest message that a client may send: a statement with a value of 64 KiB in hex, and its comment.
const LONGEST: usize = 2 * 65_536 + LONGEST_WORDS;
/// The longest value that is passed on. It is held whole, and counted where it is.
const LONGEST_VALUE: usize = 1 << 20;
/// What a row of one field holds beside its value: its own length, the count of fields, the field's length.
const ROW_HEAD: usize = 4 + 2 + 4;
/// As PostgreSQL has it, for the packets that come before a session.
const LONGEST_OPENING: usize = 10_000;

const VERSION_3: u32 = 3 << 16;
const CANCEL: u32 = 80_877_102;
const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error("a message of {0} bytes is longer than any that is taken here")]
    TooLong(usize),
    #[error("a message with a length of {0} cannot be")]
    Length(usize),
    #[error("protocol {}.{} is not spoken here", .0 >> 16, .0 & 0xffff)]
    Version(u32),
    #[error("a message of type {0:?} and its fields do not fit")]
    Field(char),
    #[error("a message of type {0:?} has no place here")]
    Type(char),
    #[error("its messages come in no order that makes an answer of one value")]
    Order,
}

impl Broken {
    /// The SQLSTATE that tells a client of it.
    pub fn code(&self) -> &'static str {
        match self {
            Self::TooLong(_) => "54000",
            Self::Version(_) => "0A000",
            _ => "08P01",
        }
    }
}

/// What a client may send before its session.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    Startup,
    /// A wish for TLS or GSS.
    Encryption,
    /// What the session of this key has under way is to be cancelled.
    Cancel(CancelKey),
}

/// What a session is told of itself, for a later connection to cancel what it has under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CancelKey(pub u64);

/// What a client may send within its session.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked {
    Query(Vec<u8>),
    /// A message of the extended protocol, which is not spoken here.
    Extended,
    Sync,
    Terminate,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    pub name: Vec<u8>,
    pub type_oid: u32,
    pub type_size: u16,
    pub binary: bool,
}

/// What a node says.
#[derive(Debug, PartialEq, Eq)]
pub enum Told {
    Authentication(u32),
    Parameter {
        name: String,
        value: String,
    },
    /// Of one column, as all that is answered here.
    Column(Column),
    Row(Option<Vec<u8>>),
    Complete(Vec<u8>),
    EmptyQuery,
    Error {
        code: String,
        message: String,
        detail: Option<String>,
        fatal: bool,
    },
    Ready,
    /// Of no meaning here: notices, the key for cancelling.
    Passing,
}

/// A value as a node gave it for one RPC.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub column: Column,
    pub value: Option<Vec<u8>>,
    pub tag: Vec<u8>,
}

/// The answer to one query, while its messages come in: a column, its row and the tag, or an error.
#[derive(Default)]
pub struct Reading(Option<Column>, Option<Option<Vec<u8>>>);

/// What a query came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Said {
    Value(Answer),
    Error { code: String, message: String, fatal: bool },
}

impl Reading {
    /// Takes the next message that is no parameter and no notice. Any other order than that of one value is
    /// no answer: a second row, say, would be a part of something else.
    pub fn take(&mut self, told: Told) -> Result<Option<Said>, Broken> {
        match told {
            Told::Column(column) if self.0.is_none() => self.0 = Some(column),
            Told::Row(value) if self.0.is_some() && self.1.is_none() => self.1 = Some(value),
            Told::Complete(tag) if tells_of_one(&tag) => {
                let (column, value) = self.0.take().zip(self.1.take()).ok_or(Broken::Order)?;
                return Ok(Some(Said::Value(Answer { column, value, tag })));
            }
            Told::Error { code, message, fatal, .. } => {
                return Ok(Some(Said::Error { code, message, fatal }));
            }
            _ => return Err(Broken::Order),
        }
        Ok(None)
    }
}

/// The tags of statements that count their rows end in the count; that of SHOW, a probe's, has none.
fn tells_of_one(tag: &[u8]) -> bool {
    tag == b"SHOW" || [&b"SELECT 1"[..], b"INSERT 0 1", b"UPDATE 1", b"DELETE 1"].contains(&tag)
}

/// Reads the fields of one message's body.
struct Body<'a>(char, &'a [u8]);

impl<'a> Body<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], Broken> {
        let (taken, rest) = self.1.split_at_checked(count).ok_or(Broken::Field(self.0))?;
        self.1 = rest;
        Ok(taken)
    }
    fn u16(&mut self) -> Result<u16, Broken> {
        Ok(u16::from_be_bytes(self.take(2)?.try_into().unwrap_or_default()))
    }
    fn u32(&mut self) -> Result<u32, Broken> {
        Ok(u32::from_be_bytes(self.take(4)?.try_into().unwrap_or_default()))
    }
    fn bytes(&mut self) -> Result<&'a [u8], Broken> {
        let end = self.1.iter().position(|byte| *byte == 0).ok_or(Broken::Field(self.0))?;
        let taken = self.take(end + 1)?;
        Ok(&taken[..end])
    }
    fn text(&mut self) -> Result<String, Broken> {
        Ok(String::from_utf8_lossy(self.bytes()?).into_owned())
    }
    /// The count of columns or fields.
    fn one(&mut self) -> Result<(), Broken> {
        if self.u16()? == 1 { Ok(()) } else { Err(Broken::Field(self.0)) }
    }
    /// A body that goes on behind its last field is as wrong as one that ends early.
    fn end(&self) -> Result<(), Broken> {
        if self.1.is_empty() { Ok(()) } else { Err(Broken::Field(self.0)) }
    }
}

/// The length field at the start of `bytes`, once it is there. It counts itself.
fn length(bytes: &[u8], longest: usize) -> Result<Option<usize>, Broken> {
    let Some(field) = bytes.first_chunk() else { return Ok(None) };
    match u32::from_be_bytes(*field) as usize {
        length if length < 4 => Err(Broken::Length(length)),
        // Refused by its length, before any memory is taken for it.
        length if length > longest => Err(Broken::TooLong(length)),
        length => Ok(Some(length)),
    }
}

/// One message of a session: its type, its body, and how many bytes it takes. What can be none is told by its
/// first byte, or by its first five, by how long a message of each type may be.
fn message(bytes: &[u8], longest: fn(u8) -> Option<usize>) -> Result<Option<(Body<'_>, usize)>, Broken> {
    let Some((kind, rest)) = bytes.split_first() else { return Ok(None) };
    let longest = longest(*kind).ok_or(Broken::Type(char::from(*kind)))?;
    let Some(length) = length(rest, longest)? else { return Ok(None) };
    Ok(rest.get(4..length).map(|body| (Body(char::from(*kind), body), 1 + length)))
}

fn longest_asked(kind: u8) -> Option<usize> {
    b"QPBDECFHSX".contains(&kind).then_some(LONGEST)
}

fn longest_told(kind: u8) -> Option<usize> {
    match kind {
        b'D' => Some(ROW_HEAD + LONGEST_VALUE),
        b'R' | b'S' | b'T' | b'C' | b'E' | b'N' | b'K' => Some(LONGEST_WORDS),
        b'Z' => Some(5),
        b'I' => Some(4),
        _ => None,
    }
}

pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Broken> {
    let Some(length) = length(bytes, LONGEST_OPENING)? else { return Ok(None) };
    if length < 8 {
        return Err(Broken::Length(length));
    }
    let Some(body) = bytes.get(4..length) else { return Ok(None) };
    let mut body = Body('\0', body);
    let opening = match body.u32()? {
        version if version & 0xffff_0000 == VERSION_3 => Opening::Startup,
        CANCEL => Opening::Cancel(CancelKey(u64::from(body.u32()?) << 32 | u64::from(body.u32()?))),
        TLS | GSS => Opening::Encryption,
        other => return Err(Broken::Version(other)),
    };
    Ok(Some((opening, length)))
}

pub fn asked(bytes: &[u8]) -> Result<Option<(Asked, usize)>, Broken> {
    let Some((mut body, taken)) = message(bytes, longest_asked)? else { return Ok(None) };
    let asked = match body.0 {
        'Q' => {
            let text = body.bytes()?.to_vec();
            body.end()?;
            Asked::Query(text)
        }
        'P' | 'B' | 'D' | 'E' | 'C' | 'F' | 'H' => Asked::Extended,
        'S' => Asked::Sync,
        'X' => Asked::Terminate,
        other => return Err(Broken::Type(other)),
    };
    Ok(Some((asked, taken)))
}

pub fn told(bytes: &[u8]) -> Result<Option<(Told, usize)>, Broken> {
    let Some((mut body, taken)) = message(bytes, longest_told)? else {
        // The head of a row says as much of its length as the message's own: it is not waited for in vain.
        let fits = bytes.first() != Some(&b'D') || bytes.get(1..11).is_none_or(row_fits);
        return if fits { Ok(None) } else { Err(Broken::Field('D')) };
    };
    let told = match body.0 {
        'R' => {
            let kind = body.u32()?;
            return Ok(Some((Told::Authentication(kind), taken)));
        }
        // One that cannot be read takes nothing from the answer that it comes with.
        'S' => match parameter(&mut body) {
            Ok((name, value)) => Told::Parameter { name, value },
            Err(_) => return Ok(Some((Told::Passing, taken))),
        },
        'T' => {
            body.one()?;
            Told::Column(column(&mut body)?)
        }
        'D' => {
            body.one()?;
            Told::Row(value(&mut body)?)
        }
        'C' => Told::Complete(body.bytes()?.to_vec()),
        'I' => Told::EmptyQuery,
        'E' => error_fields(&mut body)?,
        'Z' => match body.take(1)? {
            b"I" | b"T" | b"E" => Told::Ready,
            _ => return Err(Broken::Field('Z')),
        },
        'N' | 'K' => return Ok(Some((Told::Passing, taken))),
        other => return Err(Broken::Type(other)),
    };
    body.end()?;
    Ok(Some((told, taken)))
}

/// By the ten bytes behind a row's type, which hold three lengths.
fn row_fits(head: &[u8]) -> bool {
    let mut head = Body('D', head);
    let (length, count, value) = (head.u32(), head.u16(), head.u32());
    let value = value.map(|value| if value == u32::MAX { 0 } else { value as usize });
    count == Ok(1) && length.ok().zip(value.ok()).is_some_and(|(of, value)| of as usize == ROW_HEAD + value)
}

fn parameter(body: &mut Body) -> Result<(String, String), Broken> {
    let (name, value) = (body.text()?, body.text()?);
    body.end()?;
    Ok((name, value))
}

fn column(body: &mut Body) -> Result<Column, Broken> {
    let name = body.bytes()?.to_vec();
    body.take(6)?; // the table's and the column's number
    let (type_oid, type_size) = (body.u32()?, body.u16()?);
    body.take(4)?; // the type's modifier
    Ok(Column { name, type_oid, type_size, binary: body.u16()? == 1 })
}

fn value(body: &mut Body) -> Result<Option<Vec<u8>>, Broken> {
    match body.u32()? {
        u32::MAX => Ok(None),
        length => Ok(Some(body.take(length as usize)?.to_vec())),
    }
}

fn error_fields(body: &mut Body) -> Result<Told, Broken> {
    let (mut code, mut message, mut detail, mut fatal) = (String::new(), String::new(), None, false);
    loop {
        match body.take(1)?[0] {
            0 if code.len() != 5 => return Err(Broken::Field('E')),
            0 => return Ok(Told::Error { code, message, detail, fatal }),
            // The severity that is never translated, or else the one for the eye.
            b'V' | b'S' => fatal |= matches!(body.bytes()?, b"FATAL" | b"PANIC"),
            b'C' => code = body.text()?,
            b'M' => message = body.text()?,
            b'D' => detail = Some(body.text()?),
            _ => _ = body.bytes()?,
        }
    }
}

/// Appends one message: its type, its length, and what `fill` writes.
fn put(out: &mut Vec<u8>, kind: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let start = out.len();
    out.extend([0; 4]);
    fill(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend(text.iter().filter(|byte| **byte != 0));
    out.push(0);
}

pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let start = out.len();
    out.extend([0; 4]);
    out.extend(VERSION_3.to_be_bytes());
    for text in ["user", user, "database", database] {
        put_text(out, text.as_bytes());
    }
    out.push(0);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put(out, b'Q', |out| put_text(out, text));
}

pub fn query(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put_query(&mut out, text);
    out
}

/// The answer to a startup: no password, what clients ask of every server, the key for cancelling, ready.
pub fn put_welcome(out: &mut Vec<u8>, key: Option<CancelKey>) {
    put(out, b'R', |out| out.extend([0; 4]));
    for (name, value) in
        [("server_version", "16.0"), ("client_encoding", "UTF8"), ("standard_conforming_strings", "on")]
    {
        put(out, b'S', |out| {
            put_text(out, name.as_bytes());
            put_text(out, value.as_bytes());
        });
    }
    if let Some(CancelKey(key)) = key {
        put(out, b'K', |out| out.extend(key.to_be_bytes()));
    }
    put_ready(out);
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

pub fn put_empty_query(out: &mut Vec<u8>) {
    put(out, b'I', |_| ());
}

pub fn put_answer(out: &mut Vec<u8>, answer: &Answer) {
    let column = &answer.column;
    put(out, b'T', |out| {
        out.extend(1u16.to_be_bytes());
        put_text(out, &column.name);
        out.extend([0; 6]);
        out.extend(column.type_oid.to_be_bytes());
        out.extend(column.type_size.to_be_bytes());
        out.extend(u32::MAX.to_be_bytes());
        out.extend(u16::from(column.binary).to_be_bytes());
    });
    put(out, b'D', |out| {
        out.extend(1u16.to_be_bytes());
        out.extend(answer.value.as_ref().map_or(u32::MAX, |value| value.len() as u32).to_be_bytes());
        out.extend(answer.value.iter().flatten());
    });
    put(out, b'C', |out| put_text(out, &answer.tag));
}

/// An error, with a field D where there is something to add.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
    put(out, b'E', |out| {
        for (kind, text) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.push(kind);
            put_text(out, text.as_bytes());
        }
        out.push(0);
    });
}
