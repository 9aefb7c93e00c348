//! How short memory is, in steps, and what gives way at each. A step is left only well below where it was entered, so
//! that what swings about a threshold does not switch with it.

/// By the part of the common pool that is borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Calm,
    Tight,
    Short,
    Full,
}

/// Percent of the pool at which the level is entered, and below which it is left.
const TIGHT: (u64, u64) = (60, 50);
const SHORT: (u64, u64) = (80, 70);
const FULL: (u64, u64) = (95, 85);

/// What is done to make room, in the order in which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Relief {
    /// Clients are read no further than their present message.
    StopReadAhead,
    /// Idle connections are closed, the longest idle first.
    CloseIdle,
    /// Buffers that have grown are given back when they are empty.
    ShrinkBuffers,
    /// No new connections are taken.
    StopAccepting,
    /// New RPCs are pushed back.
    PushBack,
    /// Who reads slowest is let go of.
    EndSlowest,
}

impl Relief {
    pub const ALL: [Self; 6] = [
        Self::StopReadAhead,
        Self::CloseIdle,
        Self::ShrinkBuffers,
        Self::StopAccepting,
        Self::PushBack,
        Self::EndSlowest,
    ];

    /// From which level on.
    pub fn from(self) -> Level {
        match self {
            Self::StopReadAhead | Self::CloseIdle | Self::ShrinkBuffers => Level::Tight,
            Self::StopAccepting | Self::PushBack => Level::Short,
            Self::EndSlowest => Level::Full,
        }
    }
}

impl Level {
    /// The level that follows this one when so much of the pool is borrowed.
    pub fn next(self, borrowed: u64, pool: u64) -> Self {
        // Without a pool nobody borrows, and each purpose stands for itself.
        let part = if pool == 0 { 0 } else { (u128::from(borrowed) * 100 / u128::from(pool)) as u64 };
        let holds =
            |level: Self, (enter, leave): (u64, u64)| part >= if self >= level { leave } else { enter };
        [(Self::Full, FULL), (Self::Short, SHORT), (Self::Tight, TIGHT)]
            .into_iter()
            .find(|(level, bounds)| holds(*level, *bounds))
            .map_or(Self::Calm, |(level, _)| level)
    }
}
