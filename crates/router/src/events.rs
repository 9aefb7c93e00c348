//! The log: lines for people, or one JSON object a line. An event has a stable name, under the key `event`, and typed
//! fields; docs/on-call.md has the table of all of them, which a test holds against [`NAMES`].

use std::io::Write;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// Every event that has a name.
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

/// Whose lines these are: the router's name, and its start in microseconds of Unix time. Reports join the lines of
/// many routers by them.
static WHOSE: OnceLock<(String, u64)> = OnceLock::new();

/// Said once, when the name is known.
pub fn whose(name: &str, start: u64) {
    _ = WHOSE.set((name.to_string(), start));
}

/// Starts the log. `RUST_LOG` says what is logged.
pub fn start(json: bool) {
    let level = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(level);
    if json {
        builder.format(|out, record| {
            let line = object(record);
            writeln!(out, "{}", Json::Object(line))
        });
    } else {
        builder.format_timestamp_millis();
    }
    builder.init();
}

fn object(record: &log::Record<'_>) -> Map<String, Json> {
    let mut line = Map::new();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    line.insert("time_us".into(), (now.as_micros() as u64).into());
    if let Some((name, start)) = WHOSE.get() {
        line.insert("router".into(), name.as_str().into());
        line.insert("start".into(), (*start).into());
    }
    line.insert("level".into(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("part".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    // Fields cannot fail to be visited: the visitor takes any.
    _ = record.key_values().visit(&mut Fields(&mut line));
    line
}

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
