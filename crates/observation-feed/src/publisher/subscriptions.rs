//! The subscribed routers, with their addresses and leases.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use rand::Rng;

use super::{Publisher, REPORT_INTERVAL};
use crate::host::{Event, Host};
use crate::message::{Message, PARTITIONS, PartitionId};

/// A subscription expires this long after its last renewal. Renewals are sent about once a second, so a few
/// may be lost.
pub const SUBSCRIPTION_LEASE: Duration = Duration::from_secs(4);
/// The lease while the router's address is not validated (as in RFC 9000, section 8): a `Subscribe` may have
/// been recorded before this incarnation started and replayed from another address. A router validates its
/// address by answering the first digest.
pub const UNVALIDATED_LEASE: Duration = Duration::from_millis(1200);

/// What a subscription request proves about its sender's address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AddressProof {
    /// Nothing: it may be a replay.
    None,
    /// It names this publisher's incarnation, so the router has received a digest at this address.
    NamesIncarnation,
}

pub(super) struct Subscription {
    pub(super) address: SocketAddr,
    /// The router has named this publisher's incarnation from this address, so a replay must not redirect its
    /// digests.
    is_validated: bool,
    pub(super) incarnation: Incarnation,
    lease_until: Duration,
    /// Determines the batch of a round in which the router is served, and the order of its snapshots.
    pub(super) batch_key: u32,
    /// The partitions whose snapshots it has requested, one bit each.
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

    /// Removes and returns the next requested partition. Each router starts with a different one, so that
    /// after a loss not all routers request the same partition again. Call it only if [`Self::is_waiting`].
    pub(super) fn take_request(&mut self) -> PartitionId {
        let partition_count = PARTITIONS as u32;
        let first = self.batch_key % partition_count;
        let offset = self.requested_partitions.rotate_right(first).trailing_zeros();
        let partition = (first + offset) % partition_count;
        self.requested_partitions &= !(1 << partition);
        PartitionId(partition as u8)
    }

    /// The router's process has restarted. It will request again what it needs.
    fn restart(&mut self) {
        self.requested_partitions = 0;
        self.is_validated = false;
    }

    fn renew(
        &mut self,
        from: SocketAddr,
        incarnation: Incarnation,
        lease_until: Duration,
        proof: AddressProof,
    ) {
        self.address = from;
        self.incarnation = incarnation;
        self.lease_until = lease_until;
        self.is_validated |= proof == AddressProof::NamesIncarnation;
    }
}

impl<H: Host> Publisher<H> {
    pub(super) fn subscribe(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        proof: AddressProof,
    ) {
        let lease_until = match proof {
            AddressProof::None => now + UNVALIDATED_LEASE,
            AddressProof::NamesIncarnation => now + SUBSCRIPTION_LEASE,
        };
        let Some(existing) = self.subscriptions.get_mut(router) else {
            self.add_subscription(now, from, router, incarnation, lease_until, proof);
            return;
        };
        if existing.incarnation != incarnation {
            existing.restart();
            self.snapshots.remove(router);
        } else if existing.is_validated && proof == AddressProof::None {
            // From another address it is a replay; from the same address, the router has missed digests.
            if existing.address == from {
                existing.lease_until = existing.lease_until.max(lease_until);
            }
            return;
        }
        existing.renew(from, incarnation, lease_until, proof);
    }

    fn add_subscription(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        lease_until: Duration,
        proof: AddressProof,
    ) {
        if self.subscriptions.len() >= self.params.max_subscribers {
            self.reject(now, from, router, incarnation);
            return;
        }
        let subscription = Subscription {
            address: from,
            is_validated: proof == AddressProof::NamesIncarnation,
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
            self.host.report_event(Event::SubscriberRejected(router.clone()));
        }
        self.host.send(from, Some(incarnation), Message::SubscriptionRejected);
    }

    pub(super) fn unsubscribe(&mut self, router: &PeerName) {
        if self.subscriptions.remove(router).is_some_and(|removed| removed.is_waiting()) {
            self.snapshots.remove(router);
        }
    }

    /// Records the partitions whose snapshots a router requests. Ignored unless the router is subscribed. A
    /// `Pull` names this publisher's incarnation and therefore also renews the subscription.
    pub(super) fn pull(
        &mut self,
        now: Duration,
        from: SocketAddr,
        router: &PeerName,
        incarnation: Incarnation,
        partitions: &[PartitionId],
    ) {
        let existing = self.subscriptions.get_mut(router);
        let Some(existing) = existing.filter(|existing| existing.incarnation == incarnation) else { return };
        existing.renew(from, incarnation, now + SUBSCRIPTION_LEASE, AddressProof::NamesIncarnation);
        let was_waiting = existing.is_waiting();
        for partition in partitions.iter().filter(|partition| partition.index() < PARTITIONS) {
            existing.request(*partition);
        }
        if !was_waiting && existing.is_waiting() {
            self.snapshots.push(router.clone());
        }
    }

    pub(super) fn expire_subscriptions(&mut self, now: Duration) {
        self.subscriptions.retain(|_, subscription| subscription.lease_until > now);
        self.snapshots.retain(|router| self.subscriptions.contains_key(router));
    }
}
