//! Parses an HTTP/1.1 response from the bytes received so far.

/// Maximum body size, far larger than the endpoint list of any deployment.
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

/// Whether to stop waiting for more bytes of the head: it is complete, invalid or too long.
pub fn is_head_complete(bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let status = httparse::Response::new(&mut headers).parse(bytes);
    bytes.len() > MAX_HEAD_BYTES || !matches!(status, Ok(httparse::Status::Partial))
}

/// Returns the body of a response with status 200, or `None` if it is not complete yet.
///
/// # Errors
/// The response is invalid, too long, or has another status.
pub fn parse_body(bytes: &[u8], stream: StreamState) -> Result<Option<Body>, InvalidResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes)? {
        httparse::Status::Complete(body_start) => body_start,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err(InvalidResponse::HeadTooLong { found: bytes.len() });
        }
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(InvalidResponse::Status { found: head.code.unwrap_or(0) });
    }
    let rest = &bytes[body_start..];
    if rest.len() > MAX_BODY_BYTES {
        return Err(InvalidResponse::BodyTooLong { found: rest.len() });
    }
    let keeps_connection =
        head.version == Some(1) && header(&head, "connection").is_none_or(|value| value != "close");
    if header(&head, "transfer-encoding").is_some_and(|value| value.ends_with("chunked")) {
        return Ok(join_chunks(rest)?.map(|bytes| Body { bytes, keeps_connection }));
    }
    if let Some(value) = header(&head, "content-length") {
        let length = content_length(value)?;
        let keeps_connection = keeps_connection && rest.len() == length;
        return Ok(rest.get(..length).map(|body| Body { bytes: body.to_vec(), keeps_connection }));
    }
    // Without a length, the body extends to the end of the stream.
    Ok((stream == StreamState::Ended).then(|| Body { bytes: rest.to_vec(), keeps_connection: false }))
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

/// Decodes a chunked body. Returns `None` if it is not complete yet.
fn join_chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, InvalidResponse> {
    let mut body = Vec::new();
    loop {
        let (start, length) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, length))) => (start, length as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(InvalidResponse::ChunkSize),
        };
        if length > MAX_BODY_BYTES {
            return Err(InvalidResponse::BodyTooLong { found: length });
        }
        rest = &rest[start..];
        if length == 0 {
            // Trailers are skipped; they end with an empty line.
            let is_complete = rest.starts_with(b"\r\n") || rest.windows(4).any(|four| four == b"\r\n\r\n");
            return Ok(is_complete.then_some(body));
        }
        let Some(chunk) = rest.get(..length + 2) else { return Ok(None) };
        body.extend(&chunk[..length]);
        rest = &rest[length + 2..];
    }
}
