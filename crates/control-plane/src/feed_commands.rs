//! The host of a publisher or a subscriber. It only queues commands, which are run after the call into the
//! state machine has returned, so that no command calls the state machine reentrantly.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::Incarnation;
use quillpoint_observation_feed::{Event, FeedObservation, Host, Message};

use crate::deadline_timer::DeadlineTimer;

/// An action that a publisher or a subscriber has requested during a call.
pub(crate) enum Command {
    /// `receiver` is the receiver's incarnation, if known.
    Send {
        to: SocketAddr,
        receiver: Option<Incarnation>,
        message: Message,
    },
    ReceiveObservation(FeedObservation),
    LogEvent(Event),
}

/// The commands of a call, in order, and the timer.
#[derive(Default)]
pub(crate) struct CommandQueue {
    commands: RefCell<Vec<Command>>,
    pub(crate) timer: DeadlineTimer,
}

impl CommandQueue {
    pub(crate) fn take(&self) -> Vec<Command> {
        std::mem::take(&mut *self.commands.borrow_mut())
    }

    fn push(&self, command: Command) {
        self.commands.borrow_mut().push(command);
    }
}

/// The publisher's or subscriber's handle to the queue.
pub(crate) struct QueueHandle(pub(crate) Rc<CommandQueue>);

impl Host for QueueHandle {
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: Message) {
        self.0.push(Command::Send { to, receiver, message });
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.timer.schedule(after);
    }
    fn observation_changed(&mut self, observation: FeedObservation) {
        self.0.push(Command::ReceiveObservation(observation));
    }
    fn report_event(&mut self, event: Event) {
        self.0.push(Command::LogEvent(event));
    }
}
