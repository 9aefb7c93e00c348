//! This router's own record: it refutes what others wrongly say of it, and gives way to a later process of its name.

use crate::host::{Event, Host};
use crate::ids::{Incarnation, MemberVersion};
use crate::message::{MemberRecord, MemberState};

/// The own record, and who else uses its name.
pub(super) struct OwnRecord {
    record: MemberRecord,
    /// A later process with this router's name at another address.
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

    /// Makes the own record newer than what has been said of this router so far.
    pub(super) fn raise_revision(&mut self) {
        self.record.version.revision += 1;
    }

    /// A message came under the own name: from a later process elsewhere, or from an earlier one that still runs.
    pub(super) fn namesake_spoke(&mut self, other: &MemberRecord, host: &mut impl Host) {
        let is_later = other.version.incarnation > self.record.version.incarnation;
        if is_later && other.address != self.record.address {
            self.give_way(other, host);
        }
    }

    /// A peer has this record of the own name.
    pub(super) fn gossip_arrived(&mut self, record: &MemberRecord, host: &mut impl Host) {
        if record.version.incarnation > self.record.version.incarnation {
            self.later_incarnation_known(record, host);
        } else if self.is_wrong_about_this_process(record) {
            self.record.version.revision = record.version.revision;
            self.raise_revision();
            host.report_event(Event::SuspicionRefuted(record.state));
        }
    }

    fn later_incarnation_known(&mut self, record: &MemberRecord, host: &mut impl Host) {
        if record.address == self.record.address {
            // An earlier process here, by a clock that has gone back since. Nothing else runs at this address, so it is over.
            self.exceed(record);
            host.report_event(Event::SuspicionRefuted(record.state));
        } else if record.state.is_active() {
            self.give_way(record, host);
        } else if self.displaced_by.as_ref().is_some_and(|other| other.version <= record.version) {
            self.displaced_by = None;
            self.exceed(record);
            host.report_event(Event::Restored);
        }
    }

    fn is_wrong_about_this_process(&self, record: &MemberRecord) -> bool {
        let own = &self.record;
        record.version.incarnation == own.version.incarnation
            && record.version.revision >= own.version.revision
            && record.state > own.state
            && record.state >= MemberState::Suspect
    }

    /// Goes on as an incarnation above that of the record.
    fn exceed(&mut self, record: &MemberRecord) {
        let incarnation = Incarnation(record.version.incarnation.0 + 1);
        self.record.version = MemberVersion { incarnation, revision: 0 };
    }

    fn give_way(&mut self, other: &MemberRecord, host: &mut impl Host) {
        let previous = self.displaced_by.replace(other.clone());
        let is_known =
            previous.is_some_and(|previous| previous.version.incarnation == other.version.incarnation);
        if !is_known {
            host.report_event(Event::Displaced(other.address));
        }
    }
}
