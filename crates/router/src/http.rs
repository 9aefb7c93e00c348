//! Reading one HTTP/1.1 response from the bytes that have come so far.

/// No list of a deployment comes near this.
const LONGEST_BODY: usize = 4 << 20;
const LONGEST_HEAD: usize = 16 << 10;
const MOST_HEADERS: usize = 64;

/// Why bytes are no response that can be used.
#[derive(Debug, thiserror::Error)]
pub enum BadResponse {
    #[error("the answer is no HTTP: {0}")]
    Http(#[from] httparse::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("the answer ends early, or is too long")]
    Length,
}

/// The body of a response that is whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Body {
    pub bytes: Vec<u8>,
    /// Whether its connection may carry another request.
    pub keeps_connection: bool,
}

/// Whether the head is whole, or is none and need not be waited for.
pub fn has_head(bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let status = httparse::Response::new(&mut headers).parse(bytes);
    bytes.len() > LONGEST_HEAD || !matches!(status, Ok(httparse::Status::Partial))
}

/// The body of a response with status 200, once it is whole. `ended` says that no more bytes will come.
///
/// # Errors
/// The bytes can become no such response.
pub fn body(bytes: &[u8], ended: bool) -> Result<Option<Body>, BadResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes)? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if bytes.len() > LONGEST_HEAD => return Err(BadResponse::Length),
        httparse::Status::Partial => return Ok(None),
    };
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    if head.code != Some(200) {
        return Err(BadResponse::Status(head.code.unwrap_or(0)));
    }
    let keeps = head.version == Some(1) && header("connection").is_none_or(|word| word != "close");
    let rest = &bytes[start..];
    if rest.len() > LONGEST_BODY {
        return Err(BadResponse::Length);
    }
    if header("transfer-encoding").is_some_and(|word| word.ends_with("chunked")) {
        return Ok(chunks(rest)?.map(|bytes| Body { bytes, keeps_connection: keeps }));
    }
    match header("content-length").map(|digits| digits.parse::<usize>()) {
        Some(Ok(length)) if length <= LONGEST_BODY => {
            let keeps_connection = keeps && rest.len() == length;
            Ok(rest.get(..length).map(|body| Body { bytes: body.to_vec(), keeps_connection }))
        }
        Some(_) => Err(BadResponse::Length),
        None => Ok(ended.then(|| Body { bytes: rest.to_vec(), keeps_connection: false })),
    }
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, BadResponse> {
    let mut body = Vec::new();
    loop {
        let (start, length) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, length))) => (start, length as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BadResponse::Length),
        };
        if length > LONGEST_BODY {
            return Err(BadResponse::Length);
        }
        rest = &rest[start..];
        if length == 0 {
            // Trailers are passed over; an empty line ends them.
            let ended = rest.starts_with(b"\r\n") || rest.windows(4).any(|four| four == b"\r\n\r\n");
            return Ok(ended.then_some(body));
        }
        let Some(piece) = rest.get(..length + 2) else { return Ok(None) };
        body.extend(&piece[..length]);
        rest = &rest[length + 2..];
    }
}
