//! What the router's memory holds, logged each minute and at the end.

use std::fs;
use std::time::Duration;

use async_io::Timer;
use quillpoint_memory_budget::{Category, MemoryBudget};

use crate::budget::SharedBudget;

const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Logs the memory in use at each interval, until it is dropped.
pub async fn run(budget: SharedBudget) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        log_usage(&budget);
    }
}

/// Logs what is held, the most that ever was, and how many reservations were refused; in bytes. `unaccounted` is the
/// resident size less all that is reserved.
pub fn log_usage(budget: &SharedBudget) {
    budget.read(|budget| {
        let used = |category| budget.used(category);
        let high = |category| budget.peak(category);
        let refused = refused_reservations(budget);
        let resident = resident_bytes().unwrap_or(0);
        let unaccounted = resident.saturating_sub(budget.total_used());
        log::info!(
            event = "memory", resident, unaccounted, refused, level:? = budget.level(),
            buffers_coming = used(Category::IncomingMessages),
            buffers_coming_high = high(Category::IncomingMessages),
            buffers_statements = used(Category::Statements), buffers_statements_high = high(Category::Statements),
            buffers_answers = used(Category::Responses), buffers_answers_high = high(Category::Responses),
            buffers_writes = used(Category::ResponseWrites),
            buffers_writes_high = high(Category::ResponseWrites);
            "{resident} bytes resident, {unaccounted} of them in no reservation"
        );
    });
}

fn refused_reservations(budget: &MemoryBudget) -> u64 {
    Category::ALL.into_iter().map(|category| budget.rejections(category).total()).sum()
}

/// The resident size of the process, as the kernel counts it.
fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}
