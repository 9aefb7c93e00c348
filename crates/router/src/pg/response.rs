//! Assembles the messages of a node's response to a query.

use super::{BackendMessage, Column, ProtocolViolation};

/// The result of a query: a row with one value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryResult {
    /// The description of the column.
    pub column: Column,
    /// The value in the row; `None` for null.
    pub value: Option<Vec<u8>>,
    /// The command tag.
    pub tag: Vec<u8>,
}

impl QueryResult {
    /// The bytes of memory that the texts of the result take.
    pub fn size(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Vec::capacity);
        self.column.name.capacity() + value + self.tag.capacity()
    }
}

/// The response to a query.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// A row with one column.
    Result(QueryResult),
    /// An error instead of a result.
    Error {
        /// The SQLSTATE.
        code: String,
        /// The human-readable message.
        message: String,
        /// Whether the server closes the connection after it.
        fatal: bool,
        /// Whether a result had begun before the error, so that the statement has run at least in part.
        result_begun: bool,
    },
}

/// Assembles the response to a query from its messages: RowDescription, DataRow and CommandComplete, or
/// ErrorResponse.
#[derive(Default)]
pub struct ResponseReader {
    column: Option<Column>,
    /// The value of the row, which may be null.
    row: Option<Option<Vec<u8>>>,
}

impl ResponseReader {
    /// Whether a result has begun.
    pub fn has_begun(&self) -> bool {
        self.column.is_some()
    }

    /// Adds the next message, which must not be a parameter or a notice. Returns the response once it is
    /// complete.
    ///
    /// # Errors
    /// The messages are not in the order of a result with one value; for example, there is a second row.
    pub fn push(&mut self, message: BackendMessage) -> Result<Option<Response>, ProtocolViolation> {
        match message {
            BackendMessage::RowDescription(column) if self.column.is_none() => {
                self.column = Some(column);
                Ok(None)
            }
            BackendMessage::DataRow(value) if self.column.is_some() && self.row.is_none() => {
                self.row = Some(value);
                Ok(None)
            }
            BackendMessage::CommandComplete(tag) if counts_one_row(&tag) => {
                let (column, value) =
                    self.column.take().zip(self.row.take()).ok_or(ProtocolViolation::UnexpectedOrder)?;
                Ok(Some(Response::Result(QueryResult { column, value, tag })))
            }
            BackendMessage::ErrorResponse { code, message, fatal, .. } => {
                Ok(Some(Response::Error { code, message, fatal, result_begun: self.has_begun() }))
            }
            _ => Err(ProtocolViolation::UnexpectedOrder),
        }
    }
}

/// Whether a command tag reports one row. The tag of SHOW, which health checks use, has no row count.
fn counts_one_row(tag: &[u8]) -> bool {
    matches!(tag, b"SHOW" | b"SELECT 1" | b"INSERT 0 1" | b"UPDATE 1" | b"DELETE 1")
}
