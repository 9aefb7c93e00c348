//! A router's cache of one publisher. It contains only what the publisher's latest incarnation has sent, and
//! accepts each digest once and in order.

use quillpoint_membership::Incarnation;

use crate::message::DigestNumber;
use crate::partition_caches::PartitionCaches;

/// Identifies the last digest that was accepted from a publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastDigest {
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
    /// The digest's number in that incarnation.
    pub number: DigestNumber,
}

/// What a router has received from one publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PublisherCache {
    incarnation: Incarnation,
    number: DigestNumber,
    /// The publisher was silent for so long that an earlier incarnation is not an old datagram, but means
    /// that the publisher's clock was set back.
    accepts_any_incarnation: bool,
    partitions: PartitionCaches,
}

/// How the incarnation in a message compares with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// From an earlier process: the message is to be discarded.
    Earlier,
    /// From the known process.
    Same,
    /// From a new process: everything received before is invalid.
    Later,
}

impl PublisherCache {
    /// Creates an empty cache of a publisher that was followed before. Digests up to `last` are not accepted
    /// again.
    pub fn resuming_after(last: LastDigest) -> Self {
        Self { incarnation: last.incarnation, number: last.number, ..Self::default() }
    }

    /// Accepts whatever incarnation the next message has as the latest. Call it only when no datagram of an
    /// earlier incarnation can still be in transit.
    pub fn accept_any_incarnation(&mut self) {
        self.accepts_any_incarnation = true;
    }

    /// Compares a message's incarnation with the known one, and clears the cache if it is later.
    pub fn check_incarnation(&mut self, incarnation: Incarnation) -> IncarnationOrder {
        let accepts_any = std::mem::take(&mut self.accepts_any_incarnation);
        if incarnation < self.incarnation && !accepts_any {
            return IncarnationOrder::Earlier;
        }
        if incarnation == self.incarnation {
            return IncarnationOrder::Same;
        }
        *self = Self { incarnation, ..Self::default() };
        IncarnationOrder::Later
    }

    /// Records a digest as received. Returns whether it is later than all digests before it.
    pub fn accept_digest(&mut self, number: DigestNumber) -> bool {
        let is_later = number > self.number;
        self.number = self.number.max(number);
        is_later
    }

    /// The last accepted digest; `None` if no incarnation is known yet.
    pub fn last_digest(&self) -> Option<LastDigest> {
        let is_known = self.incarnation != Incarnation::default();
        is_known.then_some(LastDigest { incarnation: self.incarnation, number: self.number })
    }

    /// The caches of the partitions.
    pub fn partitions(&self) -> &PartitionCaches {
        &self.partitions
    }

    /// The caches of the partitions, mutable.
    pub fn partitions_mut(&mut self) -> &mut PartitionCaches {
        &mut self.partitions
    }
}
