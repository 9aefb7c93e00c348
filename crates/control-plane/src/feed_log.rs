//! Logs the events of the feed. docs/on-call.md lists them.

use quillpoint_observation_feed::Event;

use crate::log_rate_limiter::LogRateLimiter;
use crate::sealed_transport::TransportEventNames;

pub(crate) const EVENT_NAMES: TransportEventNames = TransportEventNames {
    rejected: "feed_datagram_rejected",
    send_failed: "feed_send_failed",
    keys_changed: "feed_keys",
};

/// Logs an event. `subscriber_event_limiter` limits the events about subscribers, since every router could
/// cause one: all of them together, for all routers, are logged once a second at most.
pub(crate) fn log_event(event: &Event, subscriber_event_limiter: &LogRateLimiter) {
    match event {
        Event::Following(control) => {
            log::info!(event = "feed_following", control:% = control; "following control instance {control}: its digests are now used");
        }
        Event::Lost(control) => {
            log::warn!(event = "feed_lost", control:% = control; "lost control instance {control}: it is silent, rejects this router or is shutting down");
        }
        Event::Isolated => {
            log::warn!(event = "feed_isolated"; "no control instance sends digests: this router makes its own health checks within its quota");
        }
        Event::Reconnected => {
            log::info!(event = "feed_reconnected"; "a control instance sends digests again: no longer isolated");
        }
        Event::SubscriberRejected(router) => {
            if subscriber_event_limiter.try_acquire() {
                log::warn!(event = "feed_subscriber_rejected", peer:% = router; "maximum number of subscribers reached: rejected router {router}");
            }
        }
        Event::SubscriberCounts { routers, pending_snapshots: waiting } => {
            if subscriber_event_limiter.try_acquire() {
                log::info!(event = "feed_subscribers", routers, waiting; "{routers} routers are subscribed, {waiting} partition snapshots are waiting to be sent");
            }
        }
    }
}
