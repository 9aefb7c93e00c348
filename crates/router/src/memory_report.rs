//! Logs the router's memory usage every minute and at shutdown.

use std::fs;
use std::time::Duration;

use async_io::Timer;
use quillpoint_memory_budget::{Category, MemoryBudget};

use crate::budget::SharedBudget;

const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Logs the memory usage at each interval until the future is dropped.
pub async fn run(budget: SharedBudget) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        log_usage(&budget);
    }
}

/// Logs the current and the peak usage of each category in bytes, and how many reservations were rejected.
/// `unaccounted` is the resident set size minus all reservations.
pub fn log_usage(budget: &SharedBudget) {
    budget.read(|budget| {
        let used = |category| budget.used(category);
        let peak = |category| budget.peak(category);
        let refused = rejected_reservations(budget);
        let resident = resident_bytes().unwrap_or(0);
        let unaccounted = resident.saturating_sub(budget.total_used());
        log::info!(
            event = "memory", resident, unaccounted, refused, level:? = budget.level(),
            queued = used(Category::PendingRpcs), queued_high = peak(Category::PendingRpcs),
            connections_clients = used(Category::ClientConnections),
            connections_clients_high = peak(Category::ClientConnections),
            connections_nodes = used(Category::NodeConnections),
            connections_nodes_high = peak(Category::NodeConnections),
            buffers_coming = used(Category::IncomingMessages),
            buffers_coming_high = peak(Category::IncomingMessages),
            buffers_statements = used(Category::Statements), buffers_statements_high = peak(Category::Statements),
            buffers_answers = used(Category::Responses), buffers_answers_high = peak(Category::Responses),
            buffers_writes = used(Category::ResponseWrites),
            buffers_writes_high = peak(Category::ResponseWrites);
            "{resident} bytes resident, {unaccounted} of them not covered by reservations"
        );
    });
}

fn rejected_reservations(budget: &MemoryBudget) -> u64 {
    Category::ALL.into_iter().map(|category| budget.rejections(category).total()).sum()
}

/// The resident set size of the process in bytes, as reported by the kernel.
fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}
