//! Which routers are subscribed, where they are, and until when.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use rand::Rng;

use super::{Publisher, REPORT_INTERVAL};
use crate::host::{Event, Host};
use crate::message::{Message, PARTITIONS, PartitionId};

/// A subscription ends this long after its last renewal: a few losses of one a second.
pub const SUBSCRIPTION_LEASE: Duration = Duration::from_secs(4);
/// The same as long as the router's address is not validated (as in RFC 9000, section 8): a `Subscribe` may have been
/// recorded before this incarnation and be replayed from elsewhere. A router answers the first digest.
pub const UNVALIDATED_LEASE: Duration = Duration::from_millis(1200);

/// What a request to subscribe proves of its sender's address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SubscriptionProof {
    /// It may be a replay.
    None,
    /// It names this publisher's incarnation, and so comes from where the router is.
    NamesIncarnation,
}

pub(super) struct Subscription {
    pub(super) address: SocketAddr,
    /// The router has named this publisher's incarnation from there, so that no replay redirects its digests.
    is_validated: bool,
    pub(super) incarnation: Incarnation,
    lease_until: Duration,
    /// Decides in which batch of a round it is served.
    pub(super) batch_key: u32,
    /// The partitions that it has requested, a bit for each.
    requested_partitions: u64,
}

impl Subscription {
    pub(super) fn pending_snapshots(&self) -> usize {
        self.requested_partitions.count_ones() as usize
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.requested_partitions != 0
    }

    fn request(&mut self, partition: PartitionId) {
        self.requested_partitions |= 1 << partition.0;
    }

    /// The next requested partition, which is no longer requested then. Each router begins elsewhere, so that after a
    /// loss not all request the same again. Only while [`Self::is_waiting`].
    pub(super) fn take_request(&mut self) -> PartitionId {
        let partition_count = PARTITIONS as u32;
        let first = self.batch_key % partition_count;
        let offset = self.requested_partitions.rotate_right(first).trailing_zeros();
        let partition = (first + offset) % partition_count;
        self.requested_partitions &= !(1 << partition);
        PartitionId(partition as u8)
    }

    /// The router's process has started anew, and requests what it needs.
    fn restart(&mut self) {
        self.requested_partitions = 0;
        self.is_validated = false;
    }

    fn renew(
        &mut self,
        from: SocketAddr,
        incarnation: Incarnation,
        lease_until: Duration,
        proof: SubscriptionProof,
    ) {
        self.address = from;
        self.incarnation = incarnation;
        self.lease_until = lease_until;
        self.is_validated |= proof == SubscriptionProof::NamesIncarnation;
    }
}

impl<H: Host> Publisher<H> {
    pub(super) fn subscribe(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        proof: SubscriptionProof,
    ) {
        let lease_until = match proof {
            SubscriptionProof::None => now + UNVALIDATED_LEASE,
            SubscriptionProof::NamesIncarnation => now + SUBSCRIPTION_LEASE,
        };
        let Some(known) = self.subscriptions.get_mut(router) else {
            self.add_subscription(now, from, router, incarnation, lease_until, proof);
            return;
        };
        if known.incarnation != incarnation {
            known.restart();
            self.snapshots.remove(router);
        } else if known.is_validated && proof == SubscriptionProof::None {
            // From elsewhere it is a replay; from there it is a router that has missed digests.
            if known.address == from {
                known.lease_until = known.lease_until.max(lease_until);
            }
            return;
        }
        known.renew(from, incarnation, lease_until, proof);
    }

    fn add_subscription(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        lease_until: Duration,
        proof: SubscriptionProof,
    ) {
        if self.subscriptions.len() >= self.params.max_subscribers {
            self.reject(now, from, router, incarnation);
            return;
        }
        let subscription = Subscription {
            address: from,
            is_validated: proof == SubscriptionProof::NamesIncarnation,
            incarnation,
            lease_until,
            batch_key: self.rng.next_u32(),
            requested_partitions: 0,
        };
        self.subscriptions.insert(router.clone(), subscription);
    }

    fn reject(&mut self, now: Duration, from: SocketAddr, router: &PeerName, incarnation: Incarnation) {
        if self.rejection_reported_at.is_none_or(|reported_at| reported_at + REPORT_INTERVAL <= now) {
            self.rejection_reported_at = Some(now);
            self.host.emit_event(Event::SubscriberRejected(router.clone()));
        }
        self.host.send(from, Some(incarnation), Message::SubscriptionRejected);
    }

    pub(super) fn unsubscribe(&mut self, router: &PeerName) {
        if self.subscriptions.remove(router).is_some_and(|removed| removed.is_waiting()) {
            self.snapshots.remove(router);
        }
    }

    /// Notes the partitions of which a router requests snapshots. Only a subscriber that names this incarnation does.
    pub(super) fn pull(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        partitions: &[PartitionId],
    ) {
        let known = self.subscriptions.get_mut(router);
        let Some(known) = known.filter(|known| known.incarnation == incarnation) else { return };
        known.renew(from, incarnation, now + SUBSCRIPTION_LEASE, SubscriptionProof::NamesIncarnation);
        let was_waiting = known.is_waiting();
        for partition in partitions.iter().filter(|partition| partition.index() < PARTITIONS) {
            known.request(*partition);
        }
        if !was_waiting && known.is_waiting() {
            self.snapshots.push(router.clone());
        }
    }

    pub(super) fn expire_subscriptions(&mut self, now: Duration) {
        self.subscriptions.retain(|_, subscription| subscription.lease_until > now);
        self.snapshots.retain(|router| self.subscriptions.contains_key(router));
    }
}
