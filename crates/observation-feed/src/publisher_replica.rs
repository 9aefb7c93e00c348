//! What one control instance has told a router: of its latest start alone, and each digest once and in order.

use quillpoint_membership::Incarnation;

use crate::copy::Copy;
use crate::message::DigestNo;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PublisherReplica {
    start: Incarnation,
    number: DigestNo,
    /// It has been silent for so long that an earlier start is that of a clock which was set back.
    silent: bool,
    copy: Copy,
}

/// Whether a message's start is the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    Earlier,
    Same,
    /// Nothing that was told before holds any more.
    Later,
}

impl PublisherReplica {
    /// Nothing, of one that was heard before: what it said by then is not taken again.
    pub fn after((start, number): (Incarnation, DigestNo)) -> Self {
        Self { start, number, ..Self::default() }
    }

    /// Nothing of it can be under way any more: the start that it names next is its latest, whichever that is.
    pub fn was_silent(&mut self) {
        self.silent = true;
    }

    /// A message of that start has come.
    pub fn came(&mut self, start: Incarnation) -> Start {
        let silent = std::mem::take(&mut self.silent);
        if start < self.start && !silent {
            return Start::Earlier;
        }
        if start == self.start {
            return Start::Same;
        }
        *self = Self::after((start, DigestNo::default()));
        Start::Later
    }

    /// Whether this digest is later than all before.
    pub fn count(&mut self, number: DigestNo) -> bool {
        let later = number > self.number;
        self.number = self.number.max(number);
        later
    }

    /// The start that is known, where one is, and the last digest.
    pub fn heard(&self) -> Option<(Incarnation, DigestNo)> {
        (self.start != Incarnation::default()).then_some((self.start, self.number))
    }

    pub fn copy(&self) -> &Copy {
        &self.copy
    }

    pub fn copy_mut(&mut self) -> &mut Copy {
        &mut self.copy
    }
}
