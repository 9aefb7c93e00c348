//! Which answers of discovery are taken. Several calls may be out at once, to more than one address, and be answered in
//! any order; what is known must not go back.

/// The state of knowledge that a call was made with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Basis {
    /// How often discovery had moved by then.
    moves: u64,
    /// The version from which changes were asked for; none where the whole list was.
    pub from: Option<u64>,
}

/// What of an answer is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// All of it.
    All,
    /// Which nodes drain or are gone, and nothing else: it comes from where discovery was before.
    Stops,
    Nothing,
}

/// The version of the list that is known, at the address where discovery is.
#[derive(Debug)]
pub struct Versions {
    moves: u64,
    known: Option<u64>,
}

impl Versions {
    /// `known` is the version of a list from before, if there is one.
    pub fn new(known: Option<u64>) -> Self {
        Self { moves: 0, known }
    }

    /// With what a call that begins now is made.
    pub fn basis(&self) -> Basis {
        Basis { moves: self.moves, from: self.known }
    }

    /// Discovery is elsewhere from now on, where versions may be numbered otherwise.
    pub fn moved(&mut self) {
        (self.moves, self.known) = (self.moves + 1, None);
    }

    /// Whether a call was made to where discovery is now.
    pub fn is_present(&self, basis: Basis) -> bool {
        basis.moves == self.moves
    }

    /// What of the answer to a call is taken, which tells of this version.
    pub fn judge(&self, basis: Basis, version: u64) -> Use {
        if !self.is_present(basis) {
            // The new place's own list is later than anything that the old one has told.
            return if self.known.is_none() { Use::Stops } else { Use::Nothing };
        }
        // With nothing taken since it was asked for, discovery's word holds, even a lower version after a restart.
        let is_next = basis.from == self.known || Some(version) > self.known;
        if is_next { Use::All } else { Use::Nothing }
    }

    /// All of an answer has been taken, which told of this version.
    pub fn taken(&mut self, version: u64) {
        self.known = Some(version);
    }
}
