//! How short memory is, in levels, and what is reclaimed at each. A level is left only well below where it was entered, so
//! that what swings about a threshold does not switch with it.

/// How short memory is, by the part of the common pool that is borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// Nothing is reclaimed.
    Normal,
    /// What costs clients nothing is reclaimed.
    Elevated,
    /// New load is shed.
    High,
    /// Slow readers are disconnected.
    Critical,
}

/// Percentages of the pool between which a level is held.
#[derive(Clone, Copy)]
struct Thresholds {
    level: PressureLevel,
    /// The level is entered at this percentage.
    enter_percent: u64,
    /// The level is left below this percentage.
    leave_percent: u64,
}

/// The highest level first.
const THRESHOLDS: [Thresholds; 3] = [
    Thresholds { level: PressureLevel::Critical, enter_percent: 95, leave_percent: 85 },
    Thresholds { level: PressureLevel::High, enter_percent: 80, leave_percent: 70 },
    Thresholds { level: PressureLevel::Elevated, enter_percent: 60, leave_percent: 50 },
];

/// What is done to reclaim memory, in the order in which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReclaimAction {
    /// Clients are read no further than their present message.
    StopReadAhead,
    /// Idle connections are closed, the longest idle first.
    CloseIdleConnections,
    /// Buffers that have grown are freed when they are empty.
    ShrinkBuffers,
    /// No new connections are accepted.
    StopAccepting,
    /// New RPCs are rejected with Retry-After.
    RejectRpcs,
    /// The slowest readers are disconnected.
    DisconnectSlowReaders,
}

impl ReclaimAction {
    /// All actions, in the order in which they begin.
    pub const ALL: [Self; 6] = [
        Self::StopReadAhead,
        Self::CloseIdleConnections,
        Self::ShrinkBuffers,
        Self::StopAccepting,
        Self::RejectRpcs,
        Self::DisconnectSlowReaders,
    ];

    /// The level at which the action begins.
    pub fn begins_at(self) -> PressureLevel {
        match self {
            Self::StopReadAhead | Self::CloseIdleConnections | Self::ShrinkBuffers => PressureLevel::Elevated,
            Self::StopAccepting | Self::RejectRpcs => PressureLevel::High,
            Self::DisconnectSlowReaders => PressureLevel::Critical,
        }
    }
}

impl PressureLevel {
    /// The level that follows this one when this many bytes of the pool are borrowed.
    pub fn next(self, borrowed_bytes: u64, pool_bytes: u64) -> Self {
        let percent = percentage(borrowed_bytes, pool_bytes);
        let holds = |thresholds: &Thresholds| {
            let is_held = self >= thresholds.level;
            let threshold = if is_held { thresholds.leave_percent } else { thresholds.enter_percent };
            percent >= threshold
        };
        let highest = THRESHOLDS.iter().find(|thresholds| holds(thresholds));
        highest.map_or(Self::Normal, |thresholds| thresholds.level)
    }
}

/// Without a pool nobody borrows, and each category stands for itself.
fn percentage(bytes: u64, pool_bytes: u64) -> u64 {
    if pool_bytes == 0 {
        return 0;
    }
    (u128::from(bytes) * 100 / u128::from(pool_bytes)) as u64
}
