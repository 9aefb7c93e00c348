//! The loop of a session that has begun: it reads ahead, runs the requests in its pipeline, and writes responses, all of
//! it side by side.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use futures_lite::{FutureExt, future};

use super::receive::MAX_READS_IN_A_ROW;
use super::response_writer::write_response;
use super::session::Session;
use super::session_end::{SessionEnd, SessionResult};
use crate::pg;
use crate::request_pipeline::RequestPipeline;

/// What a session has to go on with.
enum SessionEvent {
    /// More of the client's bytes were read.
    Received,
    /// The client cancels its first request.
    Cancelled,
    /// A request has its response.
    Answered,
    /// The response that was being written is written, or its client is not waited for any longer.
    Written(SessionResult),
}

/// The state of the loop.
pub(super) struct RequestLoop<'s, 'a> {
    session: &'s mut Session<'a>,
    write: Option<Pin<Box<dyn Future<Output = SessionResult>>>>,
    pipeline: RequestPipeline,
    /// How the session ends once all that came before has been answered.
    result: Option<SessionResult>,
    /// By when the message that has begun must be complete.
    message_deadline: Option<Instant>,
    reads_in_a_row: usize,
}

impl<'s, 'a> RequestLoop<'s, 'a> {
    pub(super) fn new(session: &'s mut Session<'a>) -> Self {
        let message_deadline = session.opening_deadline;
        Self {
            session,
            write: None,
            pipeline: RequestPipeline::default(),
            result: None,
            message_deadline,
            reads_in_a_row: 0,
        }
    }

    /// Runs until the session ends.
    pub(super) async fn run(mut self) -> SessionResult {
        loop {
            self.fill_pipeline();
            self.begin_write();
            if self.write.is_none()
                && self.pipeline.is_empty()
                && let Some(result) = self.result.take()
            {
                return result;
            }
            match self.next_event().await {
                Ok(event) => self.handle(event).await?,
                Err(end) => return self.abandon(end).await,
            }
        }
    }

    /// Takes complete messages into the pipeline, as far as it has capacity.
    fn fill_pipeline(&mut self) {
        while self.result.is_none() && self.pipeline.has_capacity(self.session.clients.is_memory_critical()) {
            match self.session.buffer.decode_next(pg::decode_frontend_message) {
                Ok(None) => break,
                Ok(Some(received)) => {
                    self.session.opening_deadline = None;
                    self.message_deadline = None;
                    self.result = self.session.take_message(received, &mut self.pipeline);
                }
                Err(broken) => self.result = Some(Err(broken.into())),
            }
        }
    }

    /// Begins to write the next response that is due, unless one is being written.
    fn begin_write(&mut self) {
        if self.write.is_some() {
            return;
        }
        if let Some(response) = self.pipeline.pop_response() {
            let clients = Rc::clone(self.session.clients);
            let stream = Rc::clone(&self.session.stream);
            self.write = Some(Box::pin(write_response(clients, stream, response)));
        }
    }

    /// Waits for what happens next.
    ///
    /// Reading comes first, so that a client that has disconnected is noticed before a command that came at the same
    /// time is carried out. But the requests of one that sends without a pause go on, too.
    async fn next_event(&mut self) -> Result<SessionEvent, SessionEnd> {
        let is_idle = self.pipeline.is_empty() && self.write.is_none();
        let reads_first = self.reads_in_a_row < MAX_READS_IN_A_ROW;
        let Self { session, write, pipeline, message_deadline, .. } = self;
        let cancel_requests = session.cancelled.clone();
        let received = async {
            if is_idle {
                session.receive_next(message_deadline).await?;
            } else {
                session.receive_ahead().await?;
            }
            Ok(SessionEvent::Received)
        };
        let cancelled = async {
            match cancel_requests.recv().await {
                Ok(()) => Ok(SessionEvent::Cancelled),
                Err(_) => future::pending().await,
            }
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
        self.reads_in_a_row = if reads_first && has_received { self.reads_in_a_row + 1 } else { 0 };
        event
    }

    async fn handle(&mut self, event: SessionEvent) -> SessionResult {
        match event {
            // A client that always has more to say must not keep the others from theirs: nothing here waits
            // while there is something to read.
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

    /// What is under way ends at once, and what waits is not begun; a response that is being written may still go out.
    async fn abandon(self, end: SessionEnd) -> SessionResult {
        let Self { write, pipeline, .. } = self;
        drop(pipeline);
        if let Some(write) = write {
            _ = write.await;
        }
        Err(end)
    }
}
