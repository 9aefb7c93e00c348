//! This router's own record: refutes wrong records that peers have of this router, and detects another
//! process of the same name with a later incarnation, which displaces this one.

use crate::host::{Event, Host};
use crate::ids::{Incarnation, MemberVersion};
use crate::message::{MemberRecord, MemberState};

/// The own record, and the record of another process of the same name.
pub(super) struct OwnRecord {
    record: MemberRecord,
    /// The record of a process with this router's name at another address and with a later incarnation.
    displaced_by: Option<MemberRecord>,
}

impl OwnRecord {
    pub(super) fn new(record: MemberRecord) -> Self {
        Self { record: MemberRecord { state: MemberState::Joining, ..record }, displaced_by: None }
    }

    pub(super) fn record(&self) -> &MemberRecord {
        &self.record
    }

    pub(super) fn is_displaced(&self) -> bool {
        self.displaced_by.is_some()
    }

    pub(super) fn set_state(&mut self, state: MemberState) {
        self.record.state = state;
    }

    /// Makes the own record newer than all records of this incarnation that have been sent so far.
    pub(super) fn increment_revision(&mut self) {
        self.record.version.revision += 1;
    }

    /// Handles a message from another process of the same name: one with a later incarnation at another
    /// address, or one with an earlier incarnation that is still running.
    pub(super) fn same_name_message_received(&mut self, other: &MemberRecord, host: &mut impl Host) {
        let is_later = other.version.incarnation > self.record.version.incarnation;
        if is_later && other.address != self.record.address {
            self.set_displaced(other, host);
        }
    }

    /// Handles a record with this router's name that a peer has sent.
    pub(super) fn record_received(&mut self, record: &MemberRecord, host: &mut impl Host) {
        if record.version.incarnation > self.record.version.incarnation {
            self.later_incarnation_received(record, host);
        } else if self.must_be_refuted(record) {
            self.record.version.revision = record.version.revision;
            self.increment_revision();
            host.report_event(Event::SuspicionRefuted(record.state));
        }
    }

    fn later_incarnation_received(&mut self, record: &MemberRecord, host: &mut impl Host) {
        if record.address == self.record.address {
            // The record is of an earlier process at this address, and the clock has gone back since. No
            // other process can run at this address, so that process has ended.
            self.advance_incarnation_past(record);
            host.report_event(Event::SuspicionRefuted(record.state));
        } else if record.state.is_active() {
            self.set_displaced(record, host);
        } else if self.displaced_by.as_ref().is_some_and(|other| other.version <= record.version) {
            self.displaced_by = None;
            self.advance_incarnation_past(record);
            host.report_event(Event::Restored);
        }
    }

    fn must_be_refuted(&self, record: &MemberRecord) -> bool {
        let own = &self.record;
        record.version.incarnation == own.version.incarnation
            && record.version.revision >= own.version.revision
            && record.state > own.state
            && record.state >= MemberState::Suspect
    }

    /// Continues with an incarnation above that of the record.
    fn advance_incarnation_past(&mut self, record: &MemberRecord) {
        let incarnation = Incarnation(record.version.incarnation.0 + 1);
        self.record.version = MemberVersion { incarnation, revision: 0 };
    }

    fn set_displaced(&mut self, other: &MemberRecord, host: &mut impl Host) {
        let previous = self.displaced_by.replace(other.clone());
        let is_reported =
            previous.is_some_and(|previous| previous.version.incarnation == other.version.incarnation);
        if !is_reported {
            host.report_event(Event::Displaced(other.address));
        }
    }
}
