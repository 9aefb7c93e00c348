//! What both ends of the feed have in common on sockets: their host, which only notes what is to be done, so that
//! nothing calls an end from inside one of its own calls; and the log of what they tell.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillpoint_datagram::keys::Keyring;
use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::{Event, FeedObservation, Host, Message};

use crate::alarm::Alarm;
use crate::log_rate_limiter::LogRateLimiter;
use crate::post::Names;

pub(crate) const NAMES: Names =
    Names { refused: "feed_datagram_rejected", unsent: "feed_send_failed", keys: "feed_keys" };
/// How often the counts are logged.
pub(crate) const COUNTS_EVERY: Duration = Duration::from_secs(60);

/// A control instance's end of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct PublisherConfig {
    pub name: PeerName,
    pub listen: SocketAddr,
    pub keys: Keyring,
    pub plan: quillpoint_observation_feed::publisher::PublisherParams,
    /// Datagrams looked at a second.
    pub letters: u64,
}

/// A router's end of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberConfig {
    pub name: PeerName,
    pub listen: SocketAddr,
    pub keys: Keyring,
    pub plan: quillpoint_observation_feed::subscriber::SubscriberParams,
    pub control: Vec<quillpoint_observation_feed::ControlInstance>,
    /// Datagrams looked at a second.
    pub letters: u64,
}

/// What an end has asked for during a call.
pub(crate) enum Wish {
    Send { to: SocketAddr, session: Option<Incarnation>, message: Message },
    Learnt(FeedObservation),
    Tell(Event),
}

#[derive(Default)]
pub(crate) struct Desk {
    wishes: RefCell<Vec<Wish>>,
    pub alarm: Alarm,
}

impl Desk {
    pub fn take(&self) -> Vec<Wish> {
        std::mem::take(&mut *self.wishes.borrow_mut())
    }
}

pub(crate) struct Hand(pub Rc<Desk>);

impl Host for Hand {
    fn send(&mut self, to: SocketAddr, session: Option<Incarnation>, message: Message) {
        self.0.wishes.borrow_mut().push(Wish::Send { to, session, message });
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.alarm.ask(after);
    }
    fn observation_changed(&mut self, word: FeedObservation) {
        self.0.wishes.borrow_mut().push(Wish::Learnt(word));
    }
    fn emit_event(&mut self, event: Event) {
        self.0.wishes.borrow_mut().push(Wish::Tell(event));
    }
}

/// The log of what an end tells; what could come with every router comes once a second at most.
pub(crate) fn tell(event: &Event, often: &LogRateLimiter) {
    match event {
        Event::Following(control) => {
            log::info!(event = "feed_following", control:% = control; "told by {control} from now on");
        }
        Event::Lost(control) => {
            log::warn!(event = "feed_lost", control:% = control; "{control} is silent or has left");
        }
        Event::Isolated => {
            log::warn!(event = "feed_isolated"; "no control instance speaks: on its own, within its share of probes");
        }
        Event::Reconnected => log::info!(event = "feed_reconnected"; "a control instance speaks again"),
        Event::SubscriberRejected(router) => {
            if often.is_due() {
                log::warn!(event = "feed_subscriber_rejected", peer:% = router; "no room for one more router: {router}");
            }
        }
        Event::SubscriberCounts { routers, pending_snapshots: waiting } => {
            if often.is_due() {
                log::info!(event = "feed_subscribers", routers, waiting; "{routers} routers are told, {waiting} copies wait");
            }
        }
    }
}
