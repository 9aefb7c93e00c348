//! A router's replica of one publisher: of its latest incarnation alone, and each digest once and in order.

use quillpoint_membership::Incarnation;

use crate::message::DigestNumber;
use crate::partition_caches::PartitionCaches;

/// The last digest that was accepted of a publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastDigest {
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
    /// The digest's number in that incarnation.
    pub number: DigestNumber,
}

/// What a router has received of one publisher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PublisherCache {
    incarnation: Incarnation,
    number: DigestNumber,
    /// The publisher was silent for so long that an earlier incarnation means a clock that was set back.
    accepts_any_incarnation: bool,
    partitions: PartitionCaches,
}

/// A message's incarnation compared with the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// The message is to be discarded.
    Earlier,
    /// The message is of the process that is known.
    Same,
    /// A new process: nothing that was received before holds any more.
    Later,
}

impl PublisherCache {
    /// An empty replica of a publisher that was heard before; what it sent by then is not accepted again.
    pub fn resuming_after(last: LastDigest) -> Self {
        Self { incarnation: last.incarnation, number: last.number, ..Self::default() }
    }

    /// Accepts whichever incarnation is named next as the latest: no datagram of an earlier one can be under way.
    pub fn accept_any_incarnation(&mut self) {
        self.accepts_any_incarnation = true;
    }

    /// Compares a message's incarnation with the known one, and starts anew with a later one.
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

    /// Whether this digest is later than all before; it counts as received.
    pub fn accept_digest(&mut self, number: DigestNumber) -> bool {
        let is_later = number > self.number;
        self.number = self.number.max(number);
        is_later
    }

    /// The last digest, if any incarnation is known.
    pub fn last_digest(&self) -> Option<LastDigest> {
        let is_known = self.incarnation != Incarnation::default();
        is_known.then_some(LastDigest { incarnation: self.incarnation, number: self.number })
    }

    /// The replicas of the partitions.
    pub fn partitions(&self) -> &PartitionCaches {
        &self.partitions
    }

    /// The replicas of the partitions, to be changed.
    pub fn partitions_mut(&mut self) -> &mut PartitionCaches {
        &mut self.partitions
    }
}
