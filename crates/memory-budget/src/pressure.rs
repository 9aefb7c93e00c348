//! Levels of memory pressure, and the actions that may reclaim memory at each. Levels have hysteresis: the
//! threshold for leaving a level is well below the one for entering it, so that usage close to a threshold
//! does not switch the level back and forth.

/// The memory pressure, determined by the percentage of the common pool that is borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// No memory needs to be reclaimed.
    Normal,
    /// Memory may be reclaimed in ways that clients do not notice.
    Elevated,
    /// New load may be shed.
    High,
    /// Clients that read slowly may be disconnected.
    Critical,
}

/// The thresholds of a level, as percentages of the pool that are borrowed.
#[derive(Clone, Copy)]
struct Thresholds {
    level: PressureLevel,
    /// The level is entered at this percentage.
    enter_percent: u64,
    /// The level is left below this percentage.
    leave_percent: u64,
}

/// The thresholds of all levels above [`PressureLevel::Normal`], the highest level first.
const THRESHOLDS: [Thresholds; 3] = [
    Thresholds { level: PressureLevel::Critical, enter_percent: 95, leave_percent: 85 },
    Thresholds { level: PressureLevel::High, enter_percent: 80, leave_percent: 70 },
    Thresholds { level: PressureLevel::Elevated, enter_percent: 60, leave_percent: 50 },
];

/// Actions that reclaim memory, in the order of their activation. The router carries out
/// `DisconnectSlowReaders` only (client/response_writer.rs); apart from that, the quotas alone shed load.
/// docs/memory.md has the status of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReclaimAction {
    /// Read no further than the end of a client's current message.
    StopReadAhead,
    /// Close idle connections, those idle for the longest time first.
    CloseIdleConnections,
    /// Free grown buffers once they are empty.
    ShrinkBuffers,
    /// Accept no new connections.
    StopAccepting,
    /// Reject new RPCs with Retry-After.
    RejectRpcs,
    /// Disconnect the clients that read most slowly, by applying
    /// [`TimeoutScale::Reduced`](crate::TimeoutScale::Reduced) to all transfers.
    DisconnectSlowReaders,
}

impl ReclaimAction {
    /// All actions, in the order of their activation.
    pub const ALL: [Self; 6] = [
        Self::StopReadAhead,
        Self::CloseIdleConnections,
        Self::ShrinkBuffers,
        Self::StopAccepting,
        Self::RejectRpcs,
        Self::DisconnectSlowReaders,
    ];

    /// The lowest level at which the action is active.
    pub fn activation_level(self) -> PressureLevel {
        match self {
            Self::StopReadAhead | Self::CloseIdleConnections | Self::ShrinkBuffers => PressureLevel::Elevated,
            Self::StopAccepting | Self::RejectRpcs => PressureLevel::High,
            Self::DisconnectSlowReaders => PressureLevel::Critical,
        }
    }
}

impl PressureLevel {
    /// The level that follows the current one if `borrowed_bytes` of the pool are borrowed.
    pub fn next(self, borrowed_bytes: u64, pool_bytes: u64) -> Self {
        let percent = percentage(borrowed_bytes, pool_bytes);
        let is_reached = |thresholds: &Thresholds| {
            let was_reached = self >= thresholds.level;
            let threshold = if was_reached { thresholds.leave_percent } else { thresholds.enter_percent };
            percent >= threshold
        };
        let highest = THRESHOLDS.iter().find(|thresholds| is_reached(thresholds));
        highest.map_or(Self::Normal, |thresholds| thresholds.level)
    }
}

/// Zero if there is no pool: then nothing can be borrowed and the quotas alone limit each category.
fn percentage(bytes: u64, pool_bytes: u64) -> u64 {
    if pool_bytes == 0 {
        return 0;
    }
    (u128::from(bytes) * 100 / u128::from(pool_bytes)) as u64
}
