//! What the router's memory holds, told each minute and at the end.

use std::fs;
use std::time::Duration;

use async_io::Timer;
use quillpoint_memory_budget::Purpose;

use crate::budget::Accounts;

const EVERY: Duration = Duration::from_secs(60);

/// Tells as long as the process runs.
pub async fn each_minute(accounts: Accounts) {
    loop {
        Timer::after(EVERY).await;
        tell(&accounts);
    }
}

/// One line with what is held, the most that ever was, and what was refused; in bytes. `unaccounted` is the resident
/// size less all that has an account.
pub fn tell(accounts: &Accounts) {
    accounts.look(|ledger| {
        let used = |purpose| ledger.used(purpose);
        let high = |purpose| ledger.high(purpose);
        let refused: u64 = Purpose::ALL
            .into_iter()
            .map(|purpose| {
                let (at_cap, at_pool) = ledger.refused(purpose);
                at_cap + at_pool
            })
            .sum();
        let resident = resident().unwrap_or(0);
        let unaccounted = resident.saturating_sub(ledger.total_used());
        log::info!(
            event = "memory", resident, unaccounted, refused, level:? = ledger.level(),
            buffers_coming = used(Purpose::Coming), buffers_coming_high = high(Purpose::Coming),
            buffers_statements = used(Purpose::Statements), buffers_statements_high = high(Purpose::Statements),
            buffers_answers = used(Purpose::Answers), buffers_answers_high = high(Purpose::Answers),
            buffers_writes = used(Purpose::Writes), buffers_writes_high = high(Purpose::Writes);
            "{resident} bytes resident, {unaccounted} of them without an account"
        );
    });
}

/// As the system counts it, in bytes.
fn resident() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}
