//! Digest rounds: each round builds one digest and sends it to the subscribers in batches, to avoid a burst.

use std::time::Duration;

use super::Publisher;
use crate::encoded_size;
use crate::host::Host;
use crate::message::{Digest, DigestNumber, LAG_CLASSES, Message};
use crate::observation_store::SubscriberPresence;

/// Number of batches into which a round divides the subscribers, spread over a digest interval.
const BATCHES_PER_ROUND: u32 = 10;
/// While changes are queued, rounds are shorter by this factor, so that a burst of changes is published
/// within seconds.
const BACKLOG_SPEEDUP: u32 = 5;
/// No digest is sent until databases have been listed for this many health check periods: a publisher that
/// has just started would publish each database as unseen first, and then as seen.
const WARM_UP_PERIODS: u32 = 4;

/// The current round.
pub(super) struct Rounds {
    /// `None` until the publisher has warmed up.
    digest: Option<Digest>,
    number: DigestNumber,
    batch_count: u32,
    next_batch: u32,
    next_batch_at: Duration,
}

impl Rounds {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            digest: None,
            number: DigestNumber::default(),
            batch_count: BATCHES_PER_ROUND,
            next_batch: 0,
            next_batch_at: now,
        }
    }

    pub(super) fn next_batch_at(&self) -> Duration {
        self.next_batch_at
    }

    pub(super) fn is_warmed_up(&self) -> bool {
        self.digest.is_some()
    }

    fn schedule_next_batch(&mut self, now: Duration, digest_interval: Duration) {
        self.next_batch = (self.next_batch + 1) % self.batch_count;
        let step = digest_interval / BATCHES_PER_ROUND;
        // After a pause of the process, batches continue from now. Missed batches are not sent.
        let was_paused = now > self.next_batch_at + digest_interval;
        self.next_batch_at = if was_paused { now + step } else { self.next_batch_at + step };
    }
}

impl<H: Host> Publisher<H> {
    pub(super) fn send_due_batch(&mut self, now: Duration) {
        if now < self.rounds.next_batch_at {
            return;
        }
        if self.rounds.next_batch == 0 {
            self.begin_round(now);
        }
        self.send_batch(now);
        self.rounds.schedule_next_batch(now, self.params.digest_interval);
    }

    /// Builds the round's digest, except for the fields that are set when it is sent.
    fn begin_round(&mut self, now: Duration) {
        self.expire_subscriptions(now);
        self.report_counts(now);
        self.rounds.batch_count = BATCHES_PER_ROUND;
        if !self.has_warmed_up(now) {
            self.rounds.digest = None;
            return;
        }
        self.rounds.number = DigestNumber(self.rounds.number.0 + 1);
        let mut digest = self.max_size_digest(now);
        let max_change_bytes = encoded_size::MAX_PAYLOAD_BYTES.saturating_sub(encoded_size::digest(&digest));
        let subscriber_presence = if self.subscriptions.is_empty() {
            SubscriberPresence::Absent
        } else {
            SubscriberPresence::Present
        };
        let has_backlog = self.store.update_snapshots(now, max_change_bytes, subscriber_presence);
        digest.revisions = self.store.revisions();
        digest.changes = self.store.take_changes(max_change_bytes);
        self.rounds.digest = Some(digest);
        if has_backlog {
            self.rounds.batch_count = BATCHES_PER_ROUND / BACKLOG_SPEEDUP;
        }
    }

    fn has_warmed_up(&self, now: Duration) -> bool {
        let warm_up = self.params.health_check_period * WARM_UP_PERIODS;
        self.first_listed_at.is_some_and(|listed_at| listed_at + warm_up <= now)
    }

    /// A digest without changes, as large as this round's digest can get: the rest of the datagram is left
    /// for changes.
    fn max_size_digest(&self, now: Duration) -> Digest {
        Digest {
            number: self.rounds.number,
            sent: now,
            age: Duration::ZERO,
            watermarks: [Some(now); LAG_CLASSES],
            revisions: self.store.highest_revisions(),
            changes: Vec::new(),
            health_check_period: self.params.health_check_period,
            router_count: self.router_count(),
        }
    }

    fn send_batch(&mut self, now: Duration) {
        let Rounds { digest: Some(digest), batch_count, next_batch, .. } = &mut self.rounds else { return };
        let subscriptions = self.subscriptions.values();
        let mut batch = subscriptions
            .filter(|subscription| subscription.batch_key % *batch_count == *next_batch)
            .peekable();
        if batch.peek().is_some() {
            self.store.fill_digest(now, digest);
        }
        for subscription in batch {
            let message = Message::Digest(digest.clone());
            self.host.send(subscription.address, Some(subscription.incarnation), message);
        }
    }

    /// Approximate number of routers. Each follows two control instances if there are at least two.
    fn router_count(&self) -> u32 {
        let followed_by_each = self.instance_count.min(2);
        (self.subscriptions.len() * self.instance_count / followed_by_each) as u32
    }
}
