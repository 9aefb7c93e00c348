//! Messages that servers send.

use super::framing::{FieldReader, decode_message, encode_message, encode_text};
use super::response::QueryResult;
use super::{CancelKey, Decoded, MAX_TEXT_MESSAGE_BYTES, ProtocolViolation};

/// The longest value that is forwarded. A value is buffered until it is complete; its bytes are reserved where it is buffered.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// What a row of one column holds beside its value: its own length, the count of columns, the value's length.
const ROW_OVERHEAD_BYTES: usize = 4 + 2 + 4;
/// The length field that stands for a null value.
const NULL_LENGTH: u32 = u32::MAX;

/// The one column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Its name, in the server's encoding.
    pub name: Vec<u8>,
    /// The object ID of its type.
    pub type_oid: u32,
    /// The type's size in bytes; 65,535 for one of variable length.
    pub type_size: u16,
    /// Whether its values are in binary format, not in text format.
    pub binary: bool,
}

/// A message of a server.
#[derive(Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// Which authentication is asked for; 0 where none is.
    Authentication(u32),
    /// A run-time parameter and its value.
    ParameterStatus {
        /// The parameter's name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Of one column, as all that is answered here.
    RowDescription(Column),
    /// The value of the one column; `None` for null.
    DataRow(Option<Vec<u8>>),
    /// The command tag.
    CommandComplete(Vec<u8>),
    /// The response to a query without a statement.
    EmptyQueryResponse,
    /// An error, by which the statement ends, and the session too if it is fatal.
    ErrorResponse {
        /// The SQLSTATE.
        code: String,
        /// The message for people.
        message: String,
        /// Field D.
        detail: Option<String>,
        /// Whether the server closes the connection after it.
        fatal: bool,
    },
    /// The server waits for a query.
    ReadyForQuery,
    /// Of no meaning here: notices, the key for cancelling, a parameter that cannot be read.
    Ignored,
}

/// Decodes the message at the start of `bytes`.
///
/// # Errors
/// A message that a server may not send, or that does not fit its length.
pub fn decode_backend_message(bytes: &[u8]) -> Decoded<BackendMessage> {
    let Some((mut body, taken)) = decode_message(bytes, max_length)? else {
        check_incomplete_row(bytes)?;
        return Ok(None);
    };
    Ok(Some((decode_body(&mut body)?, taken)))
}

fn max_length(message_type: u8) -> Option<usize> {
    match message_type {
        b'D' => Some(ROW_OVERHEAD_BYTES + MAX_VALUE_BYTES),
        b'R' | b'S' | b'T' | b'C' | b'E' | b'N' | b'K' => Some(MAX_TEXT_MESSAGE_BYTES),
        b'Z' => Some(5),
        b'I' => Some(4),
        _ => None,
    }
}

/// The start of a row says as much of its length as the message's own length field: a row that cannot fit is not
/// waited for in vain.
fn check_incomplete_row(bytes: &[u8]) -> Result<(), ProtocolViolation> {
    match bytes {
        [b'D', rest @ ..] => match rest.first_chunk::<ROW_OVERHEAD_BYTES>() {
            Some(overhead) if !row_fits(overhead) => Err(ProtocolViolation::InvalidFields('D')),
            _ => Ok(()),
        },
        _ => Ok(()),
    }
}

/// Whether the three lengths ahead of a row's value agree.
fn row_fits(overhead: &[u8; ROW_OVERHEAD_BYTES]) -> bool {
    let mut fields = FieldReader::new('D', overhead);
    let (Ok(length), Ok(columns), Ok(value_length)) = (fields.u32(), fields.u16(), fields.u32()) else {
        return false;
    };
    let value_bytes = if value_length == NULL_LENGTH { 0 } else { value_length as usize };
    columns == 1 && length as usize == ROW_OVERHEAD_BYTES + value_bytes
}

fn decode_body(body: &mut FieldReader) -> Result<BackendMessage, ProtocolViolation> {
    let message = match body.message_type {
        // What follows is of other kinds of authentication, which are not spoken here.
        'R' => return Ok(BackendMessage::Authentication(body.u32()?)),
        'S' => return Ok(decode_parameter(body).unwrap_or(BackendMessage::Ignored)),
        'N' | 'K' => return Ok(BackendMessage::Ignored),
        'T' => BackendMessage::RowDescription(decode_column(body)?),
        'D' => BackendMessage::DataRow(decode_value(body)?),
        'C' => BackendMessage::CommandComplete(body.zero_terminated()?.to_vec()),
        'I' => BackendMessage::EmptyQueryResponse,
        'E' => decode_error(body)?,
        'Z' => match body.bytes(1)? {
            b"I" | b"T" | b"E" => BackendMessage::ReadyForQuery,
            _ => return Err(body.invalid_fields()),
        },
        other => return Err(ProtocolViolation::UnexpectedType(other)),
    };
    body.expect_end()?;
    Ok(message)
}

/// A parameter that cannot be read takes nothing from the response that it comes with.
fn decode_parameter(body: &mut FieldReader) -> Result<BackendMessage, ProtocolViolation> {
    let name = body.text()?;
    let value = body.text()?;
    body.expect_end()?;
    Ok(BackendMessage::ParameterStatus { name, value })
}

fn decode_column(body: &mut FieldReader) -> Result<Column, ProtocolViolation> {
    body.expect_count_of_one()?;
    let name = body.zero_terminated()?.to_vec();
    body.bytes(6)?; // the table's and the column's number
    let type_oid = body.u32()?;
    let type_size = body.u16()?;
    body.bytes(4)?; // the type's modifier
    let binary = body.u16()? == 1;
    Ok(Column { name, type_oid, type_size, binary })
}

fn decode_value(body: &mut FieldReader) -> Result<Option<Vec<u8>>, ProtocolViolation> {
    body.expect_count_of_one()?;
    match body.u32()? {
        NULL_LENGTH => Ok(None),
        length => Ok(Some(body.bytes(length as usize)?.to_vec())),
    }
}

fn decode_error(body: &mut FieldReader) -> Result<BackendMessage, ProtocolViolation> {
    let mut code = String::new();
    let mut message = String::new();
    let mut detail = None;
    let mut fatal = false;
    loop {
        match body.bytes(1)?[0] {
            0 if code.len() != 5 => return Err(body.invalid_fields()),
            0 => return Ok(BackendMessage::ErrorResponse { code, message, detail, fatal }),
            // The severity that is never translated, or else the one for the eye.
            b'V' | b'S' => fatal |= matches!(body.zero_terminated()?, b"FATAL" | b"PANIC"),
            b'C' => code = body.text()?,
            b'M' => message = body.text()?,
            b'D' => detail = Some(body.text()?),
            _ => {
                body.zero_terminated()?;
            }
        }
    }
}

/// Appends the response to a startup: no password, what clients ask of every server, the key for cancelling, ready.
pub fn encode_session_start(out: &mut Vec<u8>, cancel_key: Option<CancelKey>) {
    encode_message(out, b'R', |out| out.extend([0; 4]));
    encode_parameter(out, "server_version", "16.0");
    encode_parameter(out, "client_encoding", "UTF8");
    encode_parameter(out, "standard_conforming_strings", "on");
    if let Some(CancelKey(key)) = cancel_key {
        encode_message(out, b'K', |out| out.extend(key.to_be_bytes()));
    }
    encode_ready_for_query(out);
}

fn encode_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    encode_message(out, b'S', |out| {
        encode_text(out, name.as_bytes());
        encode_text(out, value.as_bytes());
    });
}

/// Appends the message that ends each response: no transaction is open.
pub fn encode_ready_for_query(out: &mut Vec<u8>) {
    encode_message(out, b'Z', |out| out.push(b'I'));
}

/// Appends the response to a query without a statement.
pub fn encode_empty_query_response(out: &mut Vec<u8>) {
    encode_message(out, b'I', |_| ());
}

/// Appends a result: the description of its column, its row, and its command tag.
pub fn encode_result(out: &mut Vec<u8>, result: &QueryResult) {
    let column = &result.column;
    encode_message(out, b'T', |out| {
        out.extend(1u16.to_be_bytes());
        encode_text(out, &column.name);
        out.extend([0; 6]);
        out.extend(column.type_oid.to_be_bytes());
        out.extend(column.type_size.to_be_bytes());
        out.extend(u32::MAX.to_be_bytes());
        out.extend(u16::from(column.binary).to_be_bytes());
    });
    encode_message(out, b'D', |out| {
        let length = result.value.as_ref().map_or(NULL_LENGTH, |value| value.len() as u32);
        out.extend(1u16.to_be_bytes());
        out.extend(length.to_be_bytes());
        out.extend(result.value.iter().flatten());
    });
    encode_message(out, b'C', |out| encode_text(out, &result.tag));
}

/// Appends an error, with a field D where there is a detail to add.
pub fn encode_error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
    encode_message(out, b'E', |out| {
        for (field_type, text) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.push(field_type);
            encode_text(out, text.as_bytes());
        }
        out.push(0);
    });
}
