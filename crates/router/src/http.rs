//! Decodes an HTTP/1.1 response while it arrives. Each byte is looked at a fixed number of times, however
//! small the pieces in which the response arrives.

mod chunked;

use chunked::ChunkedBody;

/// Maximum body size, with the framing of its chunks; far larger than the endpoint list of any deployment.
const MAX_BODY_BYTES: usize = 4 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

/// The reason why the received bytes are not a usable response.
#[derive(Debug, thiserror::Error)]
pub enum InvalidResponse {
    /// The bytes are not HTTP.
    #[error("expected an HTTP response: {0}")]
    Http(#[from] httparse::Error),
    /// The status is not 200.
    #[error("expected status 200, found status {found}")]
    Status {
        /// The status code.
        found: u16,
    },
    /// The head is too long.
    #[error("expected a head of at most {MAX_HEAD_BYTES} bytes, found {found} without its end")]
    HeadTooLong {
        /// The number of bytes received.
        found: usize,
    },
    /// The body is too long.
    #[error("expected a body of at most {MAX_BODY_BYTES} bytes, found {found}")]
    BodyTooLong {
        /// The number of bytes announced or received.
        found: usize,
    },
    /// The Content-Length header is not a number.
    #[error("expected a number as Content-Length, found {found:?}")]
    ContentLength {
        /// The value of the header.
        found: String,
    },
    /// The response announces a chunked body, but a chunk does not begin with its size.
    #[error("expected a chunk size in hexadecimal digits")]
    ChunkSize,
    /// A line between chunks or behind them is too long.
    #[error("expected a line of at most {max} bytes between chunks")]
    ChunkLineTooLong {
        /// The longest line that is accepted.
        max: usize,
    },
    /// The stream ended before the response was complete.
    #[error("expected a complete response, found {found} bytes of one")]
    Truncated {
        /// The number of bytes received.
        found: usize,
    },
}

/// Whether the stream can still deliver bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// More bytes may arrive.
    Open,
    /// The peer has closed its sending side.
    Ended,
}

/// The body of a complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct Body {
    /// The content, without chunked encoding.
    pub bytes: Vec<u8>,
    /// Whether the connection can be reused for another request.
    pub keeps_connection: bool,
}

/// Decodes one response.
#[derive(Default)]
pub struct ResponseDecoder {
    /// The bytes of the head; empty once it has been parsed.
    head: Vec<u8>,
    /// The head is not parsed before it has this many bytes, unless an empty line ends it.
    next_parse_bytes: usize,
    body: Option<BodyDecoder>,
    received_bytes: usize,
}

impl ResponseDecoder {
    /// The number of bytes received.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Whether the head is complete.
    pub fn has_head(&self) -> bool {
        self.body.is_some()
    }

    /// Decodes the next bytes.
    ///
    /// # Errors
    /// The response is invalid, too long, or has another status than 200.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), InvalidResponse> {
        self.received_bytes += bytes.len();
        if let Some(body) = &mut self.body {
            return body.push(bytes);
        }
        // Line ends in front of a response are ignored.
        let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
        let ignored = if self.head.is_empty() { bytes.iter().take_while(is_line_end).count() } else { 0 };
        let bytes = &bytes[ignored..];
        let searched_from = self.head.len().saturating_sub(EMPTY_LINE_BYTES);
        self.head.extend(bytes);
        if self.head.len() >= self.next_parse_bytes || has_empty_line(&self.head[searched_from..]) {
            self.parse_head()?;
        }
        Ok(())
    }

    /// Parses the head if it is complete. An invalid one is found before its end: each time that its length
    /// has doubled.
    fn parse_head(&mut self) -> Result<(), InvalidResponse> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let body_start = match head.parse(&self.head)? {
            httparse::Status::Complete(body_start) => body_start,
            httparse::Status::Partial if self.head.len() > MAX_HEAD_BYTES => {
                return Err(InvalidResponse::HeadTooLong { found: self.head.len() });
            }
            httparse::Status::Partial => {
                self.next_parse_bytes = (2 * self.head.len()).min(MAX_HEAD_BYTES + 1);
                return Ok(());
            }
        };
        let mut body = BodyDecoder::new(&head)?;
        body.push(&self.head[body_start..])?;
        self.body = Some(body);
        self.head = Vec::new();
        Ok(())
    }

    /// Takes the body if it is complete.
    pub fn take_body(&mut self, stream: StreamState) -> Option<Body> {
        let is_complete = |body: &mut BodyDecoder| body.is_complete(stream);
        self.body.take_if(is_complete).map(BodyDecoder::into_body)
    }
}

/// The length of two line ends.
const EMPTY_LINE_BYTES: usize = 4;

fn has_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|two| two == b"\n\n") || bytes.windows(3).any(|three| three == b"\n\r\n")
}

/// How the end of a body is found.
enum BodyLength {
    /// By the Content-Length header.
    Known(usize),
    Chunked(ChunkedBody),
    /// The body extends to the end of the stream.
    UntilEnd,
}

/// Decodes the body of a response with status 200.
struct BodyDecoder {
    length: BodyLength,
    keeps_connection: bool,
    received_bytes: usize,
    content: Vec<u8>,
}

impl BodyDecoder {
    fn new(head: &httparse::Response<'_, '_>) -> Result<Self, InvalidResponse> {
        if head.code != Some(200) {
            return Err(InvalidResponse::Status { found: head.code.unwrap_or(0) });
        }
        let keeps_connection =
            head.version == Some(1) && header(head, "connection").is_none_or(|value| value != "close");
        let length = if header(head, "transfer-encoding").is_some_and(|value| value.ends_with("chunked")) {
            BodyLength::Chunked(ChunkedBody::default())
        } else if let Some(value) = header(head, "content-length") {
            BodyLength::Known(content_length(value)?)
        } else {
            BodyLength::UntilEnd
        };
        Ok(Self { length, keeps_connection, received_bytes: 0, content: Vec::new() })
    }

    fn push(&mut self, bytes: &[u8]) -> Result<(), InvalidResponse> {
        self.received_bytes += bytes.len();
        if self.received_bytes > MAX_BODY_BYTES {
            return Err(InvalidResponse::BodyTooLong { found: self.received_bytes });
        }
        match &mut self.length {
            BodyLength::Chunked(chunks) => chunks.decode(bytes, &mut self.content)?,
            BodyLength::Known(_) | BodyLength::UntilEnd => self.content.extend(bytes),
        }
        Ok(())
    }

    fn is_complete(&self, stream: StreamState) -> bool {
        match &self.length {
            BodyLength::Known(length) => self.received_bytes >= *length,
            BodyLength::Chunked(chunks) => chunks.is_complete(),
            BodyLength::UntilEnd => stream == StreamState::Ended,
        }
    }

    fn into_body(mut self) -> Body {
        let ends_with_response = match self.length {
            BodyLength::Known(length) => {
                self.content.truncate(length);
                self.received_bytes == length
            }
            BodyLength::Chunked(_) => true,
            BodyLength::UntilEnd => false,
        };
        Body { bytes: self.content, keeps_connection: self.keeps_connection && ends_with_response }
    }
}

/// Returns the value of a header in lower case, if the header is present.
fn header(head: &httparse::Response<'_, '_>, name: &str) -> Option<String> {
    let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    Some(String::from_utf8_lossy(found.value).trim().to_ascii_lowercase())
}

fn content_length(value: String) -> Result<usize, InvalidResponse> {
    match value.parse() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(length),
        Ok(found) => Err(InvalidResponse::BodyTooLong { found }),
        Err(_) => Err(InvalidResponse::ContentLength { found: value }),
    }
}
