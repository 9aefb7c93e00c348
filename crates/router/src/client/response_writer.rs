//! Encodes responses to clients, accounts for their memory, and writes them.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use quillpoint::host::Outcome;
use quillpoint_memory_budget::{Category, MinimumRate, ReclaimAction, TimeoutScale, TransferProgress};

use super::ClientSessions;
use super::session_end::{SessionEnd, SessionResult};
use crate::budget::RESPONSE_BYTES;
use crate::pg;
use crate::request_pipeline::EncodedResponse;
use crate::socket;

/// The part of a buffer that fragmentation adds to it: 1/8.
const FRAGMENTATION_DIVISOR: usize = 8;

/// The minimum mean rate at which a client must read a response; low enough for clients on slow connections.
const MIN_READ_BYTES_PER_SECOND: u64 = 16 * 1024;

/// The Retry-After for a client that was rejected for lack of capacity in the router. A Retry-After is the
/// time after which the client should retry; it is sent in milliseconds, as the detail of the error.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The error message when the router has no memory left or too many pending RPCs.
pub(super) const TOO_MANY_RPCS: &str = "this router holds all the RPCs it may";

impl ClientSessions {
    /// Whether memory is so short that clients which read slowly are disconnected sooner than usual.
    pub(super) fn is_memory_critical(&self) -> bool {
        self.budget.read(|budget| budget.is_active(ReclaimAction::DisconnectSlowReaders))
    }

    /// Whether each client's requests are taken one at a time, since memory is short. Its further requests
    /// wait unread, and those of other clients are served.
    pub(super) fn takes_one_at_a_time(&self) -> bool {
        self.is_memory_critical() || self.budget.limits_pipelining()
    }

    /// Appends ReadyForQuery, which ends each response to a query, and charges the response's memory.
    pub(super) fn encoded_with_ready(&self, mut bytes: Vec<u8>) -> EncodedResponse {
        pg::encode_ready_for_query(&mut bytes);
        self.encoded(bytes)
    }

    /// The whole response to a statement that the router has no capacity for.
    pub(super) fn encoded_no_capacity(&self, message: &str) -> EncodedResponse {
        let mut out = Vec::new();
        encode_no_capacity(&mut out, message);
        self.encoded_with_ready(out)
    }

    /// Charges a response's memory. The charge never fails, even beyond the budget: new RPCs are rejected
    /// instead.
    pub(super) fn encoded(&self, mut bytes: Vec<u8>) -> EncodedResponse {
        bytes.shrink_to_fit();
        let memory = self.budget.charge(Category::ResponseWrites, response_bytes(&bytes));
        EncodedResponse { bytes, memory }
    }
}

/// What a response holds until it has been written, with the fragmentation of memory that buffers of many sizes
/// cause.
fn response_bytes(bytes: &Vec<u8>) -> usize {
    bytes.capacity() + bytes.capacity() / FRAGMENTATION_DIVISOR + RESPONSE_BYTES
}

/// Writes a response. Times out if the client stops reading or reads too slowly, and sooner while memory is
/// short; a client that keeps reading fast enough gets the whole response, however long it is.
///
/// # Errors
/// The connection is broken, or the client reads too slowly.
pub(super) async fn write_response(
    clients: Rc<ClientSessions>,
    stream: Rc<Async<TcpStream>>,
    response: EncodedResponse,
) -> SessionResult {
    let started = Instant::now();
    let rate =
        MinimumRate { stall_timeout: clients.longest_deadline, bytes_per_second: MIN_READ_BYTES_PER_SECOND };
    let mut progress = TransferProgress::new(rate, Duration::ZERO);
    let EncodedResponse { bytes, memory: _memory } = response;
    let mut remaining = &bytes[..];
    while !remaining.is_empty() {
        let timeout_scale =
            if clients.is_memory_critical() { TimeoutScale::Reduced } else { TimeoutScale::Full };
        let timeout = async {
            Timer::at(started + progress.deadline(timeout_scale)).await;
            Err(SessionEnd::ResponseNotRead)
        };
        let written = async { Ok(socket::write(&stream, remaining).await?) };
        let count = written.or(timeout).await?;
        if count == 0 {
            return Err(SessionEnd::ClientDisconnected);
        }
        remaining = &remaining[count..];
        progress.record(started.elapsed(), count as u64);
    }
    Ok(())
}

/// Appends the error for a client that the router has no capacity for: nothing ran, and a retry may succeed
/// soon.
pub(super) fn encode_no_capacity(out: &mut Vec<u8>, message: &str) {
    let retry_after_ms = NO_CAPACITY_RETRY_AFTER.as_millis().to_string();
    pg::encode_error(out, false, "53300", message, Some(&retry_after_ms));
}

/// Appends the error for a rejected RPC, with Retry-After unless it is zero.
pub(super) fn encode_rejection(out: &mut Vec<u8>, retry_after: Duration) {
    let retry_after_ms = retry_after.as_millis().to_string();
    let detail = (!retry_after.is_zero()).then_some(retry_after_ms.as_str());
    pg::encode_error(out, false, "53300", "nothing ran, so trying again is harmless", detail);
}

/// Appends the error for an aborted RPC, chosen by the outcome of its last attempt.
pub(super) fn encode_abort(out: &mut Vec<u8>, last_outcome: Option<Outcome>) {
    let (code, message) = match last_outcome {
        Some(Outcome::Reset) => ("08006", "the connection to the node broke; it may have run"),
        Some(Outcome::Malformed) => ("08P01", "the node's answer cannot be read; it has run"),
        Some(Outcome::Error) => ("58000", "the node failed with it; it may have run"),
        _ => ("57014", "no answer came in time; it may have run"),
    };
    pg::encode_error(out, false, code, message, None);
}
