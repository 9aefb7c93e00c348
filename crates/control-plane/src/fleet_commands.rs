//! The host of the fleet's state machine. It only queues commands, which are run after the call into the
//! state machine has returned, so that no command calls the state machine reentrantly.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::ids::TaskId;
use quillpoint_membership::{Event, GossipMessage, Host, Incarnation, TimestampedObservation};

/// An action that the fleet has requested during a call.
pub(crate) enum Command {
    /// `receiver` is the receiver's incarnation, if known.
    Send {
        to: SocketAddr,
        receiver: Option<Incarnation>,
        message: GossipMessage,
    },
    RunTask(TaskId),
    ReceiveObservation(TimestampedObservation),
    LogEvent(Event),
}

/// The commands of a call, in order, and the delay of the timer that was set last.
#[derive(Default)]
pub(crate) struct CommandQueue {
    commands: RefCell<Vec<Command>>,
    timer: Cell<Option<Duration>>,
}

impl CommandQueue {
    pub(crate) fn take(&self) -> Vec<Command> {
        std::mem::take(&mut *self.commands.borrow_mut())
    }

    pub(crate) fn take_timer(&self) -> Option<Duration> {
        self.timer.take()
    }

    fn push(&self, command: Command) {
        self.commands.borrow_mut().push(command);
    }
}

/// The fleet's handle to the queue.
pub(crate) struct QueueHandle(pub(crate) Rc<CommandQueue>);

impl Host for QueueHandle {
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: GossipMessage) {
        self.0.push(Command::Send { to, receiver, message });
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.timer.set(Some(after));
    }
    fn run_task(&mut self, task: TaskId) {
        self.0.push(Command::RunTask(task));
    }
    fn observation_received(&mut self, observation: TimestampedObservation) {
        self.0.push(Command::ReceiveObservation(observation));
    }
    fn report_event(&mut self, event: Event) {
        self.0.push(Command::LogEvent(event));
    }
}
