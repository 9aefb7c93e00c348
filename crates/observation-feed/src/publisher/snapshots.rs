//! Sends snapshots to the routers that have requested them: one partition at a time, round-robin between the
//! routers, within a bandwidth budget.

use std::collections::VecDeque;
use std::time::Duration;

use quillpoint_membership::PeerName;

use super::Publisher;
use crate::encoded_size;
use crate::host::Host;
use crate::message::Message;
use crate::token_bucket::TokenBucket;

/// Burst of the budget: the bytes that accumulate in this many seconds.
const BURST_SECONDS: f64 = 0.05;
/// Maximum number of bytes sent at once, so that they fit into the socket's send buffer.
const MAX_BURST_BYTES: usize = 64 * 1024;
/// Time until sending continues after such a burst.
const BURST_PAUSE: Duration = Duration::from_millis(2);
/// Approximate size of a snapshot datagram without its entries.
const DATAGRAM_OVERHEAD_BYTES: usize = 90;

/// The routers that wait for snapshots, each listed once, and the bandwidth budget.
pub(super) struct SnapshotQueue {
    waiting: VecDeque<PeerName>,
    budget_bytes: TokenBucket,
}

impl SnapshotQueue {
    pub(super) fn new(bytes_per_second: f64, now: Duration) -> Self {
        let budget_bytes = TokenBucket::new(bytes_per_second, bytes_per_second * BURST_SECONDS, now);
        Self { waiting: VecDeque::new(), budget_bytes }
    }

    pub(super) fn push(&mut self, router: PeerName) {
        self.waiting.push_back(router);
    }

    pub(super) fn remove(&mut self, router: &PeerName) {
        self.waiting.retain(|waiting| waiting != router);
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&PeerName) -> bool) {
        self.waiting.retain(keep);
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn has_work(&mut self, now: Duration) -> bool {
        self.budget_bytes.has_at_least(now, 0.0) && !self.waiting.is_empty()
    }
}

impl<H: Host> Publisher<H> {
    /// Sends snapshots as long as the budget lasts. Returns the delay after which to continue if
    /// `MAX_BURST_BYTES` was reached. Nothing is sent before the first digest, because no revision is final
    /// until then.
    pub(super) fn send_snapshots(&mut self, now: Duration) -> Option<Duration> {
        let mut sent_bytes = 0;
        while self.rounds.is_warmed_up() && self.snapshots.has_work(now) {
            if sent_bytes >= MAX_BURST_BYTES {
                return Some(BURST_PAUSE);
            }
            let Some(router) = self.snapshots.waiting.pop_front() else { break };
            sent_bytes += self.send_next_snapshot(router);
        }
        None
    }

    /// Sends a router one of the snapshots that it waits for. Returns the number of bytes sent.
    fn send_next_snapshot(&mut self, router: PeerName) -> usize {
        let subscription = self.subscriptions.get_mut(&router);
        let Some(subscription) = subscription.filter(|subscription| subscription.is_waiting()) else {
            return 0;
        };
        let mut sent_bytes = 0;
        for chunk in self.store.snapshot(subscription.take_request()) {
            let bytes = DATAGRAM_OVERHEAD_BYTES + encoded_size::chunk(&chunk);
            self.snapshots.budget_bytes.spend(bytes as f64);
            sent_bytes += bytes;
            self.host.send(subscription.address, Some(subscription.incarnation), Message::Chunk(chunk));
        }
        if subscription.is_waiting() {
            self.snapshots.push(router);
        }
        sent_bytes
    }
}
