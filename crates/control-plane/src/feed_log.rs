//! How the feed's events are logged; docs/on-call.md lists them.

use quillpoint_observation_feed::Event;

use crate::log_rate_limiter::LogRateLimiter;
use crate::sealed_transport::TransportEventNames;

pub(crate) const EVENT_NAMES: TransportEventNames = TransportEventNames {
    rejected: "feed_datagram_rejected",
    send_failed: "feed_send_failed",
    keys_changed: "feed_keys",
};

/// Logs an event. `subscriber_event_limiter` is for those about subscribers, which could come with every
/// router: whichever router they are about, all of them together are logged once a second at the most.
pub(crate) fn log_event(event: &Event, subscriber_event_limiter: &LogRateLimiter) {
    match event {
        Event::Following(control) => {
            log::info!(event = "feed_following", control:% = control; "digests of {control} are used from now on");
        }
        Event::Lost(control) => {
            log::warn!(event = "feed_lost", control:% = control; "{control} is silent or has left");
        }
        Event::Isolated => {
            log::warn!(event = "feed_isolated"; "no control instance sends digests: own health checks within the quota");
        }
        Event::Reconnected => {
            log::info!(event = "feed_reconnected"; "a control instance sends digests again");
        }
        Event::SubscriberRejected(router) => {
            if subscriber_event_limiter.try_acquire() {
                log::warn!(event = "feed_subscriber_rejected", peer:% = router; "too many subscribers: {router} is rejected");
            }
        }
        Event::SubscriberCounts { routers, pending_snapshots: waiting } => {
            if subscriber_event_limiter.try_acquire() {
                log::info!(event = "feed_subscribers", routers, waiting; "{routers} routers are subscribed, {waiting} snapshots wait");
            }
        }
    }
}
