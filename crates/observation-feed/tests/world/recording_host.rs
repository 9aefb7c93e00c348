//! A host that records the actions of a publisher or a subscriber during a call.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_membership::Incarnation;
use quillpoint_observation_feed::{Event, FeedObservation, Host, Message};

#[derive(Default)]
pub(super) struct RecordedCalls {
    pub(super) sent: Vec<(SocketAddr, Option<Incarnation>, Message)>,
    pub(super) timer: Option<Duration>,
    pub(super) changed_observations: Vec<FeedObservation>,
    pub(super) events: Vec<Event>,
}

#[derive(Clone, Default)]
pub struct RecordingHost(pub(super) Rc<RefCell<RecordedCalls>>);

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, receiver: Option<Incarnation>, message: Message) {
        self.0.borrow_mut().sent.push((to, receiver, message));
    }
    fn set_timer(&mut self, after: Duration) {
        let before = self.0.borrow_mut().timer.replace(after);
        assert_eq!(before, None, "the state machine sets more than one timer in a call");
    }
    fn observation_changed(&mut self, observation: FeedObservation) {
        self.0.borrow_mut().changed_observations.push(observation);
    }
    fn report_event(&mut self, event: Event) {
        self.0.borrow_mut().events.push(event);
    }
}
