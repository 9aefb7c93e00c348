//! Counters read at two times, and the rates between them.

use hdrhistogram::Histogram;
use serde_json::Value as Json;

/// Counters since the start of a process, as its log reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// When the counters were read, in microseconds of Unix time.
    pub at_us: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub read: u64,
    /// Bytes received.
    pub read_bytes: u64,
    /// Health checks made.
    pub probes: u64,
    /// Bytes of state currently kept; a gauge rather than a sum.
    pub state: u64,
    /// Control instances that a router currently follows; a gauge rather than a sum.
    pub following: u64,
}

impl Counters {
    /// Parses a log line; `None` if it is not a counter report of this event.
    pub fn from_log_line(line: &str, event: &str) -> Option<Self> {
        // Most lines are of other events; skip the JSON parser for those.
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

    /// Adds the counters of another socket or process; the time is the later of the two.
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

/// Mean rates per second of one router, and its mean state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Datagrams received.
    pub messages_in: f64,
    /// Datagrams sent.
    pub messages_out: f64,
    /// Bytes received.
    pub bytes_in: f64,
    /// Bytes sent.
    pub bytes_out: f64,
    /// Health checks made.
    pub probes: f64,
    /// Bytes of state at the later reading.
    pub state: f64,
}

/// Mean rates between two readings. Each entry is the counters before and after, summed over that many
/// routers.
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

/// The mean, and its standard error if there are at least two values.
pub fn mean(values: &[f64]) -> (f64, Option<f64>) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, (values.len() > 1).then(|| (squares / (count - 1.0) / count).sqrt()))
}

/// Merges the (microseconds, count) pairs of several processes into one histogram.
pub fn merge_histograms<'a>(values: impl Iterator<Item = &'a Vec<(u64, u64)>>) -> Histogram<u64> {
    let mut merged = Histogram::new(3).expect("3 significant digits are a valid precision");
    for (value, count) in values.flatten() {
        merged.record_n(*value, *count).expect("an auto-resizing histogram accepts every value");
    }
    merged
}
