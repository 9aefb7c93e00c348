//! The event loop of an open session. It concurrently reads ahead, runs the requests in the pipeline, and
//! writes responses.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use futures_lite::{FutureExt, future};

use super::receive::MAX_CONSECUTIVE_READS;
use super::response_writer::write_response;
use super::session::Session;
use super::session_end::{Ending, SessionEnd, SessionResult};
use crate::pg::{self, Framing};
use crate::request_pipeline::RequestPipeline;

/// An event that the session's loop handles.
enum SessionEvent {
    /// More of the client's bytes were read.
    Received,
    /// A cancel request arrived for the oldest unanswered statement.
    Cancelled,
    /// The response to a request is ready to be written.
    Answered,
    /// Writing a response has ended: it was written completely, or writing failed or timed out.
    Written(SessionResult),
}

/// The state of a session's event loop.
pub(super) struct RequestLoop<'s, 'a> {
    session: &'s mut Session<'a>,
    write: Option<Pin<Box<dyn Future<Output = SessionResult>>>>,
    pipeline: RequestPipeline,
    /// How the session ends once all earlier requests have been answered.
    ending: Option<Ending>,
    /// When the partly received message must be complete.
    message_deadline: Option<Instant>,
    consecutive_reads: usize,
}

impl<'s, 'a> RequestLoop<'s, 'a> {
    pub(super) fn new(session: &'s mut Session<'a>) -> Self {
        let message_deadline = session.opening_deadline;
        Self {
            session,
            write: None,
            pipeline: RequestPipeline::default(),
            ending: None,
            message_deadline,
            consecutive_reads: 0,
        }
    }

    /// Runs until the session ends. All messages that were read completely have been answered by then, unless
    /// the client has disconnected, ended the session, or does not read its responses.
    pub(super) async fn run(mut self) -> SessionResult {
        loop {
            if self.ending.is_none() && self.session.clients.stopping.get() {
                self.ending = Some(Ending::after_arrived(Err(SessionEnd::RouterStopping)));
            }
            self.fill_pipeline();
            self.begin_write();
            if self.is_idle()
                && let Some(ending) = self.ending.take()
            {
                return self.end(ending).await;
            }
            match self.next_event().await {
                Ok(event) => self.handle(event).await?,
                // There is no memory for the rest of the message. Behind it, others may have arrived whole.
                Err(end @ SessionEnd::OutOfMemory(_)) => self.ending = Some(Ending::after_arrived(Err(end))),
                Err(end) => return self.abandon(end).await,
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.pipeline.is_empty() && self.write.is_none()
    }

    /// Moves complete messages into the pipeline while it has capacity.
    fn fill_pipeline(&mut self) {
        while self.ending.is_none() && self.pipeline.has_capacity(self.session.clients.takes_one_at_a_time())
        {
            match self.session.buffer.decode_next(Framing::Typed, pg::decode_frontend_message) {
                Ok(None) => break,
                Ok(Some(received)) => {
                    self.session.opening_deadline = None;
                    self.message_deadline = None;
                    self.ending = self.session.handle_message(received, &mut self.pipeline);
                }
                Err(violation) => self.ending = Some(Ending::immediate(Err(violation.into()))),
            }
        }
    }

    /// Ends the session after the requests in the pipeline have been answered.
    async fn end(self, ending: Ending) -> SessionResult {
        if ending.rejects_arrived {
            self.session.reject_arrived().await?;
        }
        ending.result
    }

    /// Starts writing the responses that are due, unless some are being written.
    fn begin_write(&mut self) {
        if self.write.is_some() {
            return;
        }
        if let Some(response) = self.pipeline.pop_responses() {
            let clients = Rc::clone(self.session.clients);
            let stream = Rc::clone(&self.session.stream);
            self.write = Some(Box::pin(write_response(clients, stream, response)));
        }
    }

    /// Waits for the next event.
    ///
    /// Reading has priority, so that a disconnect is noticed before a command of the engine that arrived at
    /// the same time is executed. After [`MAX_CONSECUTIVE_READS`] reads it loses priority, so that the
    /// requests of a client that sends without a pause make progress too.
    async fn next_event(&mut self) -> Result<SessionEvent, SessionEnd> {
        let is_idle = self.is_idle();
        let is_ending = self.ending.is_some();
        let reads_first = self.consecutive_reads < MAX_CONSECUTIVE_READS;
        let Self { session, write, pipeline, message_deadline, .. } = self;
        let cancel = session.cancel.clone();
        let received = async {
            if is_ending {
                return Err(session.disconnected().await);
            }
            if is_idle {
                session.receive_next(message_deadline).await?;
            } else {
                session.receive_ahead().await?;
            }
            Ok(SessionEvent::Received)
        };
        let cancelled = async {
            cancel.wait().await;
            Ok(SessionEvent::Cancelled)
        };
        let answered = future::poll_fn(|context| {
            if pipeline.poll(context) { Poll::Ready(Ok(SessionEvent::Answered)) } else { Poll::Pending }
        });
        let written = async {
            match write {
                Some(write) => Ok(SessionEvent::Written(write.as_mut().await)),
                None => future::pending().await,
            }
        };
        let event = if reads_first {
            received.or(cancelled).or(answered).or(written).await
        } else {
            answered.or(written).or(cancelled).or(received).await
        };
        let has_received = matches!(event, Ok(SessionEvent::Received));
        self.consecutive_reads = if reads_first && has_received { self.consecutive_reads + 1 } else { 0 };
        event
    }

    async fn handle(&mut self, event: SessionEvent) -> SessionResult {
        match event {
            // A client that sends without a pause must not starve other sessions: without this, the loop does
            // not yield as long as there is something to read.
            SessionEvent::Received => future::yield_now().await,
            SessionEvent::Answered => {}
            SessionEvent::Cancelled => {
                let mut out = Vec::new();
                pg::encode_error(&mut out, false, "57014", "cancelled by its client; it may have run", None);
                self.pipeline.cancel_first(self.session.clients.encoded_with_ready(out));
            }
            SessionEvent::Written(result) => {
                result?;
                self.write = None;
                future::yield_now().await;
            }
        }
        Ok(())
    }

    /// Drops running and waiting statements at once. A response that is being written may still be completed.
    async fn abandon(self, end: SessionEnd) -> SessionResult {
        let Self { write, pipeline, .. } = self;
        drop(pipeline);
        if let Some(write) = write {
            _ = write.await;
        }
        Err(end)
    }
}
