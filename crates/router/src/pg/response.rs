//! The messages of one response to what they come to.

use super::{BackendMessage, Column, ProtocolViolation};

/// A value as a node gave it for one RPC.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryResult {
    /// The description of the one column.
    pub column: Column,
    /// Its value in the one row; `None` for null.
    pub value: Option<Vec<u8>>,
    /// The command tag.
    pub tag: Vec<u8>,
}

/// What a query came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// One row of one column.
    Result(QueryResult),
    /// An error in place of a result.
    Error {
        /// The SQLSTATE.
        code: String,
        /// The message for people.
        message: String,
        /// Whether the server closes the connection after it.
        fatal: bool,
    },
}

/// Reads the response to one query, message by message: a column, its row and the tag, or an error.
#[derive(Default)]
pub struct ResponseReader {
    column: Option<Column>,
    /// The row's one value, which may be null.
    row: Option<Option<Vec<u8>>>,
}

impl ResponseReader {
    /// Takes the next message that is no parameter and no notice. The response, once it is complete.
    ///
    /// # Errors
    /// Any other order than that of one value is no response: a second row, say, would be a part of something else.
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
                Ok(Some(Response::Error { code, message, fatal }))
            }
            _ => Err(ProtocolViolation::UnexpectedOrder),
        }
    }
}

/// The tags of statements that count their rows end in the count; that of SHOW, a health check's, has none.
fn counts_one_row(tag: &[u8]) -> bool {
    matches!(tag, b"SHOW" | b"SELECT 1" | b"INSERT 0 1" | b"UPDATE 1" | b"DELETE 1")
}
