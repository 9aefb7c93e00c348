//! Logging, as human-readable text or as one JSON object per line. An event has a stable name, under the key
//! `event`, and typed fields. docs/on-call.md lists all events; a test checks it against [`NAMES`].

use std::io::Write;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// The names of all events.
pub const NAMES: &[&str] = &[
    "serves",
    "drained",
    "memory",
    "endpoint_list",
    "endpoint_poll_failed",
    "endpoint_poll_abandoned",
    "endpoint_list_superseded",
    "fleet_joined",
    "fleet_process_paused",
    "fleet_peer",
    "fleet_suspicion_refuted",
    "fleet_displaced",
    "fleet_restored",
    "fleet_too_many_peers",
    "fleet_peer_contradicted",
    "fleet_tasks",
    "fleet_datagram_rejected",
    "fleet_send_failed",
    "fleet_keys",
    "fleet_left",
    "fleet_counts",
    "feed_following",
    "feed_lost",
    "feed_isolated",
    "feed_reconnected",
    "feed_subscriber_rejected",
    "feed_subscribers",
    "feed_datagram_rejected",
    "feed_send_failed",
    "feed_keys",
    "feed_left",
    "feed_counts",
];

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The router that writes the log. Tools that merge the logs of many routers identify the lines by it.
struct Origin {
    router: String,
    /// Start of the process, in microseconds since the Unix epoch.
    start_us: u64,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// Sets the router name and the start of the process (in microseconds since the Unix epoch) that JSON lines
/// carry from now on. Only the first call has an effect.
pub fn set_origin(router: &str, start_us: u64) {
    ORIGIN.get_or_init(|| Origin { router: router.to_string(), start_us });
}

/// Initializes logging. The environment variable `RUST_LOG` sets the filter.
pub fn start(format: LogFormat) {
    let level = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(level);
    match format {
        LogFormat::Text => {
            builder.format_timestamp_millis();
        }
        LogFormat::Json => {
            builder.format(|out, record| writeln!(out, "{}", Json::Object(json_line(record))));
        }
    }
    builder.init();
}

fn json_line(record: &log::Record<'_>) -> Map<String, Json> {
    let mut line = Map::new();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    line.insert("time_us".into(), (now.as_micros() as u64).into());
    if let Some(origin) = ORIGIN.get() {
        line.insert("router".into(), origin.router.as_str().into());
        line.insert("start".into(), origin.start_us.into());
    }
    line.insert("level".into(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("part".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    // The visitor accepts any field, so visiting cannot fail.
    _ = record.key_values().visit(&mut Fields(&mut line));
    line
}

/// Adds an event's fields to a line.
struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
