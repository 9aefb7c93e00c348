//! Which answers of discovery are applied. Several polls may be under way at once, to more than one address, and be answered
//! in any order; the list that is known must not go back.

/// What was known when a poll was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollBasis {
    /// How often discovery had changed its address by then.
    address_changes: u64,
    /// The version from which a delta was requested; none where a snapshot was.
    pub from_version: Option<u64>,
}

/// What of an answer is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyScope {
    /// All of it.
    All,
    /// Only which nodes are draining or removed: it comes from an earlier address of discovery.
    DrainingOnly,
    /// Nothing: a newer one has been applied.
    Nothing,
}

/// The version of the list that is known, at the present address of discovery.
#[derive(Debug)]
pub struct ListVersions {
    address_changes: u64,
    known: Option<u64>,
}

impl ListVersions {
    /// `known` is the version of a cached list, if there is one.
    pub fn new(known: Option<u64>) -> Self {
        Self { address_changes: 0, known }
    }

    /// The basis of a poll that begins now.
    pub fn poll_basis(&self) -> PollBasis {
        PollBasis { address_changes: self.address_changes, from_version: self.known }
    }

    /// Discovery has another address from now on, where versions may be numbered otherwise.
    pub fn address_changed(&mut self) {
        self.address_changes += 1;
        self.known = None;
    }

    /// Whether a poll was made to the present address of discovery.
    pub fn is_from_current_address(&self, basis: PollBasis) -> bool {
        basis.address_changes == self.address_changes
    }

    /// What is applied of the answer to a poll, which has the list as of this version.
    pub fn apply_scope(&self, basis: PollBasis, version: u64) -> ApplyScope {
        if !self.is_from_current_address(basis) {
            // A list from the present address is later than any from an earlier one.
            return if self.known.is_none() { ApplyScope::DrainingOnly } else { ApplyScope::Nothing };
        }
        // Where nothing has been applied since the poll, discovery is right, even with a lower version after a restart.
        let is_next = basis.from_version == self.known || Some(version) > self.known;
        if is_next { ApplyScope::All } else { ApplyScope::Nothing }
    }

    /// All of an answer has been applied, which had the list as of this version.
    pub fn record_applied(&mut self, version: u64) {
        self.known = Some(version);
    }
}
