//! Decodes a chunked body while it arrives.

use super::{InvalidResponse, MAX_BODY_BYTES};

/// The longest line with a chunk's size; senders may add extensions to the size.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// The line end behind a chunk's content.
const LINE_END: &[u8] = b"\r\n";

/// What the next bytes are.
#[derive(Debug)]
enum Part {
    /// The line with a chunk's size, of which these bytes have arrived.
    SizeLine(Vec<u8>),
    /// The chunk's content, of which this many bytes are missing.
    Content { missing_bytes: usize },
    /// The line end behind the content, of which this many bytes are missing.
    ContentEnd { missing_bytes: usize },
    /// A line behind the last chunk, of which this many bytes have arrived. The empty line ends the body.
    Trailer { line_bytes: usize },
    /// The body is complete.
    End,
}

/// The state of a chunked body.
#[derive(Debug)]
pub(super) struct ChunkedBody(Part);

impl Default for ChunkedBody {
    fn default() -> Self {
        Self(Part::SizeLine(Vec::new()))
    }
}

impl ChunkedBody {
    pub(super) fn is_complete(&self) -> bool {
        matches!(self.0, Part::End)
    }

    /// Decodes the next bytes and appends the content in them. Ignores bytes behind the end of the body.
    ///
    /// # Errors
    /// A chunk's size is invalid.
    pub(super) fn decode(&mut self, mut bytes: &[u8], content: &mut Vec<u8>) -> Result<(), InvalidResponse> {
        while !bytes.is_empty() && !self.is_complete() {
            let taken = match &mut self.0 {
                Part::SizeLine(line) => {
                    let taken = line_part(bytes);
                    line.extend(&bytes[..taken]);
                    if line.ends_with(b"\n") {
                        self.0 = after_size(chunk_size(line)?);
                    } else if line.len() > MAX_SIZE_LINE_BYTES {
                        return Err(InvalidResponse::ChunkLineTooLong { max: MAX_SIZE_LINE_BYTES });
                    }
                    taken
                }
                Part::Content { missing_bytes } => {
                    let taken = bytes.len().min(*missing_bytes);
                    content.extend(&bytes[..taken]);
                    *missing_bytes -= taken;
                    if *missing_bytes == 0 {
                        self.0 = Part::ContentEnd { missing_bytes: LINE_END.len() };
                    }
                    taken
                }
                Part::ContentEnd { missing_bytes } => {
                    let taken = bytes.len().min(*missing_bytes);
                    *missing_bytes -= taken;
                    if *missing_bytes == 0 {
                        self.0 = Part::SizeLine(Vec::new());
                    }
                    taken
                }
                Part::Trailer { line_bytes } => {
                    let taken = line_part(bytes);
                    *line_bytes += taken;
                    if bytes[..taken].ends_with(b"\n") {
                        let is_empty_line = *line_bytes == LINE_END.len();
                        self.0 = if is_empty_line { Part::End } else { Part::Trailer { line_bytes: 0 } };
                    }
                    taken
                }
                Part::End => 0,
            };
            bytes = &bytes[taken..];
        }
        Ok(())
    }
}

/// The number of bytes up to and with the first line feed; all if there is none.
fn line_part(bytes: &[u8]) -> usize {
    bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |end| end + 1)
}

/// Parses a whole line with a chunk's size.
fn chunk_size(line: &[u8]) -> Result<usize, InvalidResponse> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) if size <= MAX_BODY_BYTES as u64 => Ok(size as usize),
        _ => Err(InvalidResponse::ChunkSize),
    }
}

/// What follows the line with a chunk's size. The last chunk has the size zero, and no content.
fn after_size(size: usize) -> Part {
    match size {
        0 => Part::Trailer { line_bytes: 0 },
        missing_bytes => Part::Content { missing_bytes },
    }
}
