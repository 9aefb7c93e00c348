//! Counts before and after, and what lies between them a second.

use hdrhistogram::Histogram;
use serde_json::Value as Json;

/// Sums since the start, as a router's log tells them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    pub at_us: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub read: u64,
    pub read_bytes: u64,
    pub probes: u64,
    /// Not a sum, but what is kept now; and how many control instances a router follows.
    pub state: u64,
    pub following: u64,
}

impl Counters {
    /// Of a log line with this event.
    pub fn from_log_line(line: &str, event: &str) -> Option<Self> {
        // Most lines are others, and not worth being parsed.
        if !line.contains(event) {
            return None;
        }
        let line: Json = serde_json::from_str(line).ok()?;
        if line["event"] != event {
            return None;
        }
        let field = |name: &str| line[name].as_u64().unwrap_or(0);
        Some(Self {
            at_us: line["time_us"].as_u64()?,
            sent: field("sent"),
            sent_bytes: field("sent_bytes"),
            read: field("read"),
            read_bytes: field("read_bytes"),
            probes: field("probes"),
            state: field("state"),
            following: field("following"),
        })
    }

    pub fn plus(self, other: Self) -> Self {
        Self {
            at_us: self.at_us.max(other.at_us),
            sent: self.sent + other.sent,
            sent_bytes: self.sent_bytes + other.sent_bytes,
            read: self.read + other.read,
            read_bytes: self.read_bytes + other.read_bytes,
            probes: self.probes + other.probes,
            state: self.state + other.state,
            following: self.following + other.following,
        }
    }
}

/// What passed a second, of one router in the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
    pub probes: f64,
    pub state: f64,
}

/// From pairs of counts, each of so many routers together.
pub fn rates(pairs: &[(Counters, Counters, usize)]) -> Rates {
    let routers: usize = pairs.iter().map(|(_, _, routers)| routers).sum();
    let mut rates = Rates::default();
    for (before, after, _) in pairs {
        let seconds = after.at_us.saturating_sub(before.at_us).max(1) as f64 / 1e6;
        let part = |after: u64, before: u64| (after - before.min(after)) as f64 / seconds / routers as f64;
        rates.messages_in += part(after.read, before.read);
        rates.messages_out += part(after.sent, before.sent);
        rates.bytes_in += part(after.read_bytes, before.read_bytes);
        rates.bytes_out += part(after.sent_bytes, before.sent_bytes);
        rates.probes += part(after.probes, before.probes);
        rates.state += after.state as f64 / routers as f64;
    }
    rates
}

/// The mean, and the standard error of it where there are two at least.
pub fn mean(values: &[f64]) -> (f64, Option<f64>) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, (values.len() > 1).then(|| (squares / (count - 1.0) / count).sqrt()))
}

/// Times in microseconds out of many processes' pairs of value and count.
pub fn merge_histograms<'a>(values: impl Iterator<Item = &'a Vec<(u64, u64)>>) -> Histogram<u64> {
    let mut merged = Histogram::new(3).expect("three digits");
    for (value, count) in values.flatten() {
        merged.record_n(*value, *count).expect("a histogram that grows takes all");
    }
    merged
}
