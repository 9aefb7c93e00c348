//! The queue of commands from the decisions to the task of an RPC. Nearly all RPCs have at most one command
//! waiting, and thousands may be pending, so an empty queue holds no buffer.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use super::command::RpcCommand;

#[derive(Default)]
struct Queue {
    commands: VecDeque<RpcCommand>,
    /// Wakes the task that waits for a command.
    receiver: Option<Waker>,
    has_sender: bool,
}

/// Sends commands. The queue ends when it is dropped.
pub(super) struct CommandSender(Rc<RefCell<Queue>>);

/// Receives commands.
pub(super) struct CommandReceiver(Rc<RefCell<Queue>>);

/// Creates an empty queue.
pub(super) fn command_queue() -> (CommandSender, CommandReceiver) {
    let queue = Rc::new(RefCell::new(Queue { has_sender: true, ..Queue::default() }));
    (CommandSender(Rc::clone(&queue)), CommandReceiver(queue))
}

impl CommandSender {
    /// Adds a command. It is dropped with the queue if the receiver has ended.
    pub(super) fn send(&self, command: RpcCommand) {
        let mut queue = self.0.borrow_mut();
        if queue.commands.is_empty() {
            queue.commands.reserve_exact(1);
        }
        queue.commands.push_back(command);
        wake(&mut queue);
    }
}

impl Drop for CommandSender {
    fn drop(&mut self) {
        let mut queue = self.0.borrow_mut();
        queue.has_sender = false;
        wake(&mut queue);
    }
}

impl CommandReceiver {
    /// Waits for the next command. Returns `None` once the queue has ended and is empty.
    pub(super) async fn receive(&self) -> Option<RpcCommand> {
        future::poll_fn(|context| self.poll_receive(context)).await
    }

    /// Returns the next command if there is one.
    pub(super) fn try_receive(&self) -> Option<RpcCommand> {
        self.0.borrow_mut().commands.pop_front()
    }

    fn poll_receive(&self, context: &Context<'_>) -> Poll<Option<RpcCommand>> {
        let mut queue = self.0.borrow_mut();
        if let Some(command) = queue.commands.pop_front() {
            return Poll::Ready(Some(command));
        }
        if !queue.has_sender {
            return Poll::Ready(None);
        }
        queue.receiver = Some(context.waker().clone());
        Poll::Pending
    }
}

fn wake(queue: &mut Queue) {
    if let Some(receiver) = queue.receiver.take() {
        receiver.wake();
    }
}
