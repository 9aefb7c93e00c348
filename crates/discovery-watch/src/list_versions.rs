//! Decides which responses of discovery are applied. Several polls may be in progress at the same time, to
//! different addresses of discovery, and their responses may arrive in any order; an older list must never
//! replace a newer one.

/// The router's state when it sent a poll, with which the response to the poll is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollBasis {
    /// How many times the address of discovery had changed by then.
    address_changes: u64,
    /// The version from which the poll requested a delta; `None` if it requested a snapshot.
    pub from_version: Option<u64>,
}

/// How much of a response is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyScope {
    /// The whole response.
    All,
    /// Only the entries of nodes that are draining or removed: the response comes from an earlier address of
    /// discovery.
    DrainingOnly,
    /// Nothing: a newer response has been applied already.
    Nothing,
}

/// The version of the endpoint list that the router has, as numbered at the current address of discovery.
#[derive(Debug)]
pub struct ListVersions {
    address_changes: u64,
    /// `None` until a response from the current address, or a cached list, has been applied.
    known_version: Option<u64>,
}

impl ListVersions {
    /// `known_version` is the version of the list that the router has cached, if any.
    pub fn new(known_version: Option<u64>) -> Self {
        Self { address_changes: 0, known_version }
    }

    /// The basis of a poll that is sent now.
    pub fn poll_basis(&self) -> PollBasis {
        PollBasis { address_changes: self.address_changes, from_version: self.known_version }
    }

    /// Records that the address of discovery has changed. The new address may number versions differently.
    pub fn address_changed(&mut self) {
        self.address_changes += 1;
        self.known_version = None;
    }

    /// Whether the poll with this basis was sent to the current address of discovery.
    pub fn is_from_current_address(&self, basis: PollBasis) -> bool {
        basis.address_changes == self.address_changes
    }

    /// How much to apply of the response to the poll with this basis, if the response has this version of the
    /// list.
    pub fn apply_scope(&self, basis: PollBasis, version: u64) -> ApplyScope {
        if !self.is_from_current_address(basis) {
            // A list from the current address is newer than any list from an earlier address.
            return if self.known_version.is_none() { ApplyScope::DrainingOnly } else { ApplyScope::Nothing };
        }
        // If nothing has been applied since the poll was sent, the response is applied even if its version is
        // lower: discovery may have restarted and numbered its versions from the start again.
        let is_applicable = basis.from_version == self.known_version || Some(version) > self.known_version;
        if is_applicable { ApplyScope::All } else { ApplyScope::Nothing }
    }

    /// Records that a whole response with this version of the list has been applied.
    pub fn record_applied(&mut self, version: u64) {
        self.known_version = Some(version);
    }
}
