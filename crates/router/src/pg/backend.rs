//! Messages sent by servers (backend messages).

use super::framing::{FieldReader, decode_message, encode_message, encode_text};
use super::response::QueryResult;
use super::{CancelKey, Decoded, MAX_TEXT_MESSAGE_BYTES, ProtocolViolation};

/// The longest value that is forwarded. A value is buffered until it is complete; the buffer's owner reserves
/// its memory.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The overhead of a row with one column: the message length, the column count, and the length of the value.
const ROW_OVERHEAD_BYTES: usize = 4 + 2 + 4;
/// The overhead of a result and of ReadyForQuery behind it: message types, lengths, fixed fields and
/// terminators.
const RESULT_OVERHEAD_BYTES: usize = 64;
/// The length field of a null value.
const NULL_LENGTH: u32 = u32::MAX;

/// The one column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// The column's name, in the server's encoding.
    pub name: Vec<u8>,
    /// The object ID of the column's type.
    pub type_oid: u32,
    /// The type's size in bytes; 65,535 for a type of variable length.
    pub type_size: u16,
    /// Whether values are in binary format instead of text format.
    pub binary: bool,
}

/// A message sent by a server.
#[derive(Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// The requested authentication method; 0 (AuthenticationOk) means that none is required.
    Authentication(u32),
    /// A run-time parameter.
    ParameterStatus {
        /// The parameter's name.
        name: String,
        /// The parameter's value.
        value: String,
    },
    /// The description of a result row. Only results with one column are supported.
    RowDescription(Column),
    /// The value of the one column; `None` for null.
    DataRow(Option<Vec<u8>>),
    /// The command tag.
    CommandComplete(Vec<u8>),
    /// The response to an empty query.
    EmptyQueryResponse,
    /// An error, which ends the statement, and if fatal the session.
    ErrorResponse {
        /// The SQLSTATE.
        code: String,
        /// The human-readable message.
        message: String,
        /// The detail (field D).
        detail: Option<String>,
        /// Whether the server closes the connection after it.
        fatal: bool,
    },
    /// The server is ready for the next query.
    ReadyForQuery,
    /// A message that routers ignore: a notice, BackendKeyData, or a malformed parameter.
    Ignored,
}

/// Decodes the message at the start of `bytes`.
///
/// # Errors
/// A message that servers must not send, or whose fields do not match its length.
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

/// Checks the start of an incomplete row. The length of its value must match the message length, so a
/// malformed row is detected without waiting for the rest of it.
fn check_incomplete_row(bytes: &[u8]) -> Result<(), ProtocolViolation> {
    match bytes {
        [b'D', rest @ ..] => match rest.first_chunk::<ROW_OVERHEAD_BYTES>() {
            Some(overhead) if !row_fits(overhead) => Err(ProtocolViolation::InvalidFields('D')),
            _ => Ok(()),
        },
        _ => Ok(()),
    }
}

/// Whether the message length, column count and value length at the start of a row are consistent.
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
        // The rest of the body belongs to authentication methods that are not supported.
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

/// Decodes a parameter. The caller ignores a malformed one, since it does not affect the rest of the
/// response.
fn decode_parameter(body: &mut FieldReader) -> Result<BackendMessage, ProtocolViolation> {
    let name = body.text()?;
    let value = body.text()?;
    body.expect_end()?;
    Ok(BackendMessage::ParameterStatus { name, value })
}

fn decode_column(body: &mut FieldReader) -> Result<Column, ProtocolViolation> {
    body.expect_count_of_one()?;
    let name = body.zero_terminated()?.to_vec();
    body.bytes(6)?; // table OID and column number
    let type_oid = body.u32()?;
    let type_size = body.u16()?;
    body.bytes(4)?; // type modifier
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
            // The severity: V is never localized, S may be.
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

/// Appends the response to a startup packet: AuthenticationOk, the parameters that clients expect from every
/// server, BackendKeyData, and ReadyForQuery.
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

/// Appends ReadyForQuery with the status "no open transaction", which ends each response.
pub fn encode_ready_for_query(out: &mut Vec<u8>) {
    encode_message(out, b'Z', |out| out.push(b'I'));
}

/// Appends the response to an empty query.
pub fn encode_empty_query_response(out: &mut Vec<u8>) {
    encode_message(out, b'I', |_| ());
}

/// Appends a result: the description of the column, the row, and the command tag.
pub fn encode_result(out: &mut Vec<u8>, result: &QueryResult) {
    // A buffer that grew in steps would leave holes of the value's size between later buffers.
    out.reserve_exact(result.size() + RESULT_OVERHEAD_BYTES);
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

/// Appends the error for a message of the extended query protocol.
pub fn encode_extended_query_error(out: &mut Vec<u8>) {
    encode_error(out, false, "0A000", "only simple queries are taken", None);
}

/// Appends an error, with a detail (field D) if there is one.
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
