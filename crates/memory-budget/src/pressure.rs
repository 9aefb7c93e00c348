//! How short memory is, in levels, and what may be reclaimed at each. A level is left only well below where it was entered,
//! so that what swings about a threshold does not switch with it.

/// How short memory is, by the part of the common pool that is borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// Nothing need be reclaimed.
    Normal,
    /// What costs clients nothing may be reclaimed.
    Elevated,
    /// New load may be shed.
    High,
    /// Slow readers may be disconnected.
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

/// What may be done to reclaim memory, in order. Of these the router carries out `DisconnectSlowReaders` alone
/// (client/response_writer.rs); what else sheds load is the quotas. docs/memory.md has the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReclaimAction {
    /// To read clients no further than their present message.
    StopReadAhead,
    /// To close idle connections, the longest idle first.
    CloseIdleConnections,
    /// To free buffers that have grown when they are empty.
    ShrinkBuffers,
    /// To accept no new connections.
    StopAccepting,
    /// To reject new RPCs with Retry-After.
    RejectRpcs,
    /// To disconnect the slowest readers: they are waited for with [`TimeoutScale::Reduced`](crate::TimeoutScale).
    DisconnectSlowReaders,
}

impl ReclaimAction {
    /// All actions, in the order in which they are called for.
    pub const ALL: [Self; 6] = [
        Self::StopReadAhead,
        Self::CloseIdleConnections,
        Self::ShrinkBuffers,
        Self::StopAccepting,
        Self::RejectRpcs,
        Self::DisconnectSlowReaders,
    ];

    /// The level from which the action is called for.
    pub fn activation_level(self) -> PressureLevel {
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
