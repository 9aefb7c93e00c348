//! The one place that says which figure of which role stands beside which budget, and what carries it.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::membership::MAX_PEERS;
use quillpoint_membership::message::MAX_JOIN_REPLY_RECORDS;
use quillpoint_observation_feed::health_check_quota::{
    ISOLATED_RATE_MULTIPLE, MAX_ROUTERS_PER_NODE_AND_PERIOD,
};

use crate::listing;
use crate::record::{Axis, Mode};
use crate::scale::bounds::{CONTROL_MEMORY, ROUTER_BYTES_S, ROUTER_CPU, ROUTER_MEMORY};

/// The target.
pub const TARGET_ROUTERS: f64 = 7_900.0;
pub const TARGET_DATABASES: f64 = 18_000.0;
pub const TARGET_CONTROL_MACHINES: f64 = 8.0;
pub const TARGET_CONNECTIONS: f64 = 8_481.0;
pub const TARGET_STATEMENTS_S: f64 = 494.0;
pub const BURST_CHANGES_S: f64 = 10.0;
const ZONE_ROUTERS: f64 = 1_317.0;
const RESTART_EVERY_S: f64 = 13.5;

/// Bytes of control of all routers a second, and a control machine's part of them.
const ALL_BYTES_S: f64 = ROUTER_BYTES_S * TARGET_ROUTERS;
const CONTROL_BYTES_S: f64 = ALL_BYTES_S / TARGET_CONTROL_MACHINES;
const AGE_S: f64 = 0.3;
const CHANGE_S: f64 = 1.0;
const FOLLOW_S: f64 = 3.0;
/// A database is probed once in this time by all together, as today.
pub const TARGET_PROBE_PERIOD_S: f64 = 0.15;
const PROBES_S: f64 = 1.0 / TARGET_PROBE_PERIOD_S;
const IN_FORCE_S: f64 = 15.0;

/// What processes played, and what the simulator did.
pub const MEASURED_RECORD: &str = "scale.jsonl";
pub const SIMULATED_RECORD: &str = "scale-simulated.jsonl";

const ROUTER_BYTES: &str = "router_bytes_in_s+router_bytes_out_s";
const ROUTER_MESSAGES: &str = "router_messages_in_s+router_messages_out_s";
const CONTROL_BYTES: &str = "control_bytes_in_s+control_bytes_out_s";
const CONTROL_MESSAGES: &str = "control_messages_in_s+control_messages_out_s";

/// What is drawn of what processes played.
pub const PLOTS: [(&str, Axis); 6] = [
    (ROUTER_BYTES, Axis::Databases),
    (ROUTER_BYTES, Axis::Routers),
    ("router_cpu_part", Axis::Databases),
    ("age_p99_s", Axis::Databases),
    (CONTROL_BYTES, Axis::Routers),
    (CONTROL_BYTES, Axis::Databases),
];

/// Until control instances that were cut from each other agree again. Only of a cut that parts them too.
pub const VIEWS_AGREE_FIGURE: &str = "agree_max_s";

/// Times until all have come somewhere, and the count of those that had not when the run ended: with any of these the
/// time is that of the others.
pub const COMPLETION_TIMES: [(&str, &str); 4] = [
    ("follow_max_s", "follow_missing"),
    ("real_follow_max_s", "follow_missing"),
    (VIEWS_AGREE_FIGURE, "agree_missing"),
    ("change_known_max_s", "change_unknown"),
];

/// Faults by the names that measure/scale gives them.
const RESTART: &str = "restart";
const STOP: &str = "stop";
pub const CUT_FAULT: &str = "cut";
const KILL: &str = "control";
const KILL_ALL: &str = "control-all";
const PRIMARY: &str = "primary";

/// How a row stands to today's program.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each router for itself.
    Alone,
    /// Today's sharing: all news to all.
    Shared,
    /// Control instances that tell by exception.
    Feed,
    /// Whatever the routers share.
    Any,
}

#[derive(Clone, Copy)]
pub enum Budget {
    None,
    Max(f64),
    /// So many times what this figure was in a calm run of the same sizes.
    MultipleOfCalm(f64, &'static str),
}

/// A size that a calm figure is wanted at.
#[derive(Clone, Copy)]
pub enum TargetSize {
    OnAxis(Axis, f64),
    /// Over routers: so many follow each control instance, of which there are so many machines.
    PerInstance {
        followers: f64,
        machines: f64,
    },
}

pub enum Source {
    /// A calm figure at these sizes: a row for each axis with the others held, and one for both together.
    CalmRuns { record: &'static str, mode: Mode, figure: &'static str, over: Vec<TargetSize> },
    /// What a fault did at the largest size at which it was played.
    FaultRuns { fault: &'static str, figure: &'static str },
    /// Factors, and what they are divided by; where they come from.
    Computed { factors: Vec<f64>, by: f64, from: &'static str },
    /// There is nothing that could be measured.
    NotMeasured,
}

/// A question to the records.
pub struct Requirement {
    pub role: &'static str,
    /// With its unit.
    pub quantity: &'static str,
    pub sharing: Sharing,
    pub budget: Budget,
    pub source: Source,
    /// The package that carries it, or none.
    pub mechanism: &'static str,
}

/// The sections of the page that hold rows, by the names of their markers.
pub const SECTIONS: [(&str, &str); 9] = [
    ("calm-alone", "calm"),
    ("calm-shared", "calm"),
    ("calm-feed", "calm"),
    ("restarts", "a day's restarts"),
    ("zone", "a zone's return"),
    ("region", "a region alone"),
    ("control-lost", "a control machine lost"),
    ("burst", "a burst of changes"),
    ("later", "later sittings"),
];

/// What is asked in a section.
pub fn requirements(section: &str) -> Vec<Requirement> {
    let both = || {
        vec![
            TargetSize::OnAxis(Axis::Routers, TARGET_ROUTERS),
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    // In the simulator all know each other, which more than these never do.
    let known = || {
        vec![
            TargetSize::OnAxis(Axis::Routers, MAX_PEERS as f64),
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    let calm = |record, mode, figure, over| Source::CalmRuns { record, mode, figure, over };
    let ask = |role, quantity, sharing, budget, source, mechanism| Requirement {
        role,
        quantity,
        sharing,
        budget,
        source,
        mechanism,
    };
    let computed = |factors: &[f64], by, from| Source::Computed { factors: factors.to_vec(), by, from };
    let (router, control, discovery) = ("router", "control machine", "discovery");
    let (database, connection) = ("database", "client connection");
    let (alone, shared, feed, any) = (Sharing::Alone, Sharing::Shared, Sharing::Feed, Sharing::Any);
    let fault = |fault, figure| Source::FaultRuns { fault, figure };
    // So many routers before so many machines, which all have the whole list.
    let followed = |routers, machines| {
        vec![
            TargetSize::PerInstance { followers: routers / machines, machines },
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    let shares = || followed(TARGET_ROUTERS, TARGET_CONTROL_MACHINES);
    let entry = entry_bytes();
    match section {
        "calm-alone" => vec![
            ask(
                database,
                "probes a second",
                alone,
                Budget::Max(PROBES_S),
                calm(
                    SIMULATED_RECORD,
                    Mode::Off,
                    "database_probes_s",
                    vec![TargetSize::OnAxis(Axis::Routers, TARGET_ROUTERS)],
                ),
                "none: each router probes for itself",
            ),
            ask(
                database,
                "probes a second",
                alone,
                Budget::Max(PROBES_S),
                calm(
                    MEASURED_RECORD,
                    Mode::Off,
                    "database_probes_s",
                    vec![TargetSize::OnAxis(Axis::Routers, TARGET_ROUTERS)],
                ),
                "none: each router probes for itself",
            ),
            ask(
                router,
                "processor time of control, cores",
                alone,
                Budget::Max(ROUTER_CPU),
                calm(MEASURED_RECORD, Mode::Off, "router_cpu_part", both()),
                "none: each router probes for itself",
            ),
        ],
        "calm-shared" => {
            let mut rows = vec![
                ask(
                    router,
                    "bytes sent a second",
                    shared,
                    Budget::Max(ROUTER_BYTES_S),
                    calm(SIMULATED_RECORD, Mode::Shared, "router_bytes_out_s", known()),
                    "membership",
                ),
                ask(
                    router,
                    "messages sent a second",
                    shared,
                    Budget::None,
                    calm(SIMULATED_RECORD, Mode::Shared, "router_messages_out_s", known()),
                    "membership",
                ),
                ask(
                    router,
                    "processor time of decisions, cores",
                    shared,
                    Budget::Max(ROUTER_CPU),
                    calm(SIMULATED_RECORD, Mode::Shared, "router_cpu_part", known()),
                    "membership",
                ),
                ask(
                    router,
                    "age of what is known, p99, s",
                    shared,
                    Budget::Max(AGE_S),
                    calm(SIMULATED_RECORD, Mode::Shared, "age_p99_s", known()),
                    "membership",
                ),
                ask(
                    database,
                    "probes a second",
                    shared,
                    Budget::Max(PROBES_S),
                    calm(SIMULATED_RECORD, Mode::Shared, "database_probes_s", known()),
                    "membership",
                ),
                ask(
                    router,
                    "others that it never knows",
                    shared,
                    Budget::None,
                    computed(
                        &[TARGET_ROUTERS - MAX_PEERS as f64],
                        1.0,
                        "crates/membership/src/membership/peer_table.rs",
                    ),
                    "none: fleet keeps 256 peers",
                ),
                ask(
                    database,
                    "probes a second, if views of 256 divide the routers",
                    shared,
                    Budget::Max(PROBES_S),
                    computed(
                        &[TARGET_ROUTERS, PROBES_S],
                        MAX_PEERS as f64,
                        "crates/membership/src/membership/peer_table.rs",
                    ),
                    "none: fleet keeps 256 peers",
                ),
                ask(
                    router,
                    "scores at a change of the view, if all were known",
                    shared,
                    Budget::None,
                    computed(&[TARGET_ROUTERS, TARGET_DATABASES], 1.0, "crates/membership/src/rendezvous.rs"),
                    "membership",
                ),
            ];
            rows.extend(of_a_router(Mode::Shared, shared, "membership"));
            rows
        }
        "calm-feed" => {
            let mut rows = of_a_router(Mode::Feed, feed, "observation-feed, control-plane");
            let of_control = [
                ("bytes in and out a second", CONTROL_BYTES, Budget::Max(CONTROL_BYTES_S)),
                ("messages in and out a second", CONTROL_MESSAGES, Budget::None),
                ("processor time, cores", "control_cpu_part", Budget::Max(1.0)),
                ("memory, bytes", "control_memory_bytes", Budget::Max(CONTROL_MEMORY)),
                ("state, bytes", "control_state_bytes", Budget::Max(CONTROL_MEMORY)),
            ];
            rows.extend(of_control.map(|(what, figure, budget)| {
                let source = calm(MEASURED_RECORD, Mode::Feed, figure, shares());
                ask(control, what, feed, budget, source, "observation-feed, membership, control-plane")
            }));
            for (what, figure) in [
                ("bytes a second, of one that watches it", "discovery_bytes_s"),
                ("calls a second, of one that watches it", "discovery_calls_s"),
            ] {
                let source = calm(MEASURED_RECORD, Mode::Feed, figure, both());
                rows.push(ask(discovery, what, any, Budget::None, source, "discovery-watch"));
            }
            rows.push(ask(
                database,
                "probes a second",
                feed,
                Budget::Max(PROBES_S),
                calm(MEASURED_RECORD, Mode::Feed, "database_probes_s", both()),
                "membership among control instances",
            ));
            let at_connections = || vec![TargetSize::OnAxis(Axis::Connections, TARGET_CONNECTIONS)];
            let at_statements = || vec![TargetSize::OnAxis(Axis::Statements, TARGET_STATEMENTS_S)];
            rows.extend([
                ask(
                    connection,
                    "memory of one, bytes",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "connection_memory_bytes", at_connections()),
                    "router",
                ),
                ask(
                    connection,
                    "memory of a router with all of its own, bytes",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "real_memory_bytes", at_connections()),
                    "router",
                ),
                ask(
                    connection,
                    "processor time of a router with all of its own, cores",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "real_on_cpu_part", at_connections()),
                    "router",
                ),
                ask(
                    connection,
                    "processor time of a router for its statements, cores",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "real_on_cpu_part", at_statements()),
                    "router",
                ),
            ]);
            for (role, what, by) in [
                (discovery, "calls and bytes a second, of all 7,908 that watch it", "discovery-watch"),
                (discovery, "processor time, cores", "discovery-watch"),
                (discovery, "memory, bytes", "discovery-watch"),
                (database, "bytes of probes a second", "membership among control instances"),
                (database, "processor time of probes, cores", "membership among control instances"),
                (database, "memory and state of probes, bytes", "membership among control instances"),
                (connection, "state of one, bytes", "router"),
                (connection, "bytes a second of one", "router"),
            ] {
                rows.push(ask(role, what, any, Budget::None, Source::NotMeasured, by));
            }
            rows.push(ask(
                discovery,
                "state: the list, bytes",
                any,
                Budget::None,
                computed(&[entry, TARGET_DATABASES], 1.0, "crates/testbed/src/listing.rs"),
                "discovery-watch",
            ));
            rows.push(ask(
                connection,
                "statements a second of one",
                any,
                Budget::None,
                computed(&[TARGET_STATEMENTS_S], TARGET_CONNECTIONS, "crates/testbed/src/capacity/asks.rs"),
                "router",
            ));
            rows
        }
        "restarts" => vec![
            ask(
                discovery,
                "bytes of the list at one start",
                any,
                Budget::None,
                computed(&[entry, TARGET_DATABASES], 1.0, "crates/testbed/src/listing.rs"),
                "discovery-watch: whole lists",
            ),
            ask(
                discovery,
                "bytes a second, one start in 13.5 s",
                any,
                Budget::None,
                computed(&[entry, TARGET_DATABASES], RESTART_EVERY_S, "crates/testbed/src/listing.rs"),
                "discovery-watch: whole lists",
            ),
            ask(
                router,
                "memory of control, the most through a restart of a sixth, bytes",
                feed,
                Budget::Max(ROUTER_MEMORY),
                fault(RESTART, "peak_router_memory_bytes"),
                "observation-feed, control-plane",
            ),
            ask(
                router,
                "state of control, the most through a restart of a sixth, bytes",
                feed,
                Budget::Max(ROUTER_MEMORY),
                fault(RESTART, "peak_router_state_bytes"),
                "observation-feed, control-plane",
            ),
            ask(
                control,
                "bytes a second of copies to routers that start, one start in 13.5 s",
                feed,
                Budget::None,
                Source::NotMeasured,
                "observation-feed: paced copies",
            ),
            ask(
                database,
                "probes a second beyond the calm ones, one start in 13.5 s",
                feed,
                Budget::None,
                Source::NotMeasured,
                "membership among control instances",
            ),
            ask(
                connection,
                "time until the clients of a router that is replaced are served again, s",
                any,
                Budget::None,
                Source::NotMeasured,
                "none: clients connect anew by themselves",
            ),
        ],
        "zone" => vec![
            ask(
                router,
                "peak, bytes a second, a sixth restarted",
                shared,
                Budget::None,
                fault(RESTART, "peak_router_bytes_s"),
                "membership",
            ),
            ask(
                router,
                "time to calm, a sixth restarted, s",
                shared,
                Budget::None,
                fault(RESTART, "calm_after_s"),
                "membership",
            ),
            ask(
                router,
                "peak, bytes a second, a sixth stopped for 3 s",
                shared,
                Budget::None,
                fault(STOP, "peak_router_bytes_s"),
                "membership",
            ),
            ask(
                router,
                "time to calm, a sixth stopped for 3 s, s",
                shared,
                Budget::None,
                fault(STOP, "calm_after_s"),
                "membership",
            ),
            ask(
                router,
                "bytes of greetings of all that come back",
                shared,
                Budget::Max(ALL_BYTES_S * FOLLOW_S),
                computed(
                    &[
                        ZONE_ROUTERS,
                        MAX_PEERS as f64,
                        (MAX_PEERS as f64 / MAX_JOIN_REPLY_RECORDS as f64).ceil(),
                        LETTER,
                    ],
                    1.0,
                    "crates/membership/src/membership/join.rs, message.rs",
                ),
                "none: fleet greets all that it knows",
            ),
            ask(
                router,
                "letters that answer one that stood still, if all were known",
                shared,
                Budget::None,
                computed(
                    &[TARGET_ROUTERS - 1.0, ((TARGET_ROUTERS - 1.0) / MAX_JOIN_REPLY_RECORDS as f64).ceil()],
                    1.0,
                    "crates/membership/src/membership/join.rs, message.rs",
                ),
                "none: fleet greets all that it knows",
            ),
            ask(
                discovery,
                "bytes of lists to all that come back",
                any,
                Budget::Max(ALL_BYTES_S * FOLLOW_S),
                computed(&[entry, TARGET_DATABASES, ZONE_ROUTERS], 1.0, "crates/testbed/src/listing.rs"),
                "none: watch asks for whole lists at once",
            ),
            ask(
                router,
                "time until all follow again, a sixth restarted, s",
                feed,
                Budget::Max(FOLLOW_S),
                fault(RESTART, "follow_max_s"),
                "observation-feed",
            ),
            ask(
                router,
                "peak, bytes a second, a sixth restarted",
                feed,
                Budget::None,
                fault(RESTART, "peak_router_bytes_s"),
                "observation-feed",
            ),
            ask(
                control,
                "peak, bytes a second, a sixth restarted",
                feed,
                Budget::MultipleOfCalm(5.0, CONTROL_BYTES),
                fault(RESTART, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            ask(
                control,
                "peak of processor time, cores, a sixth restarted",
                feed,
                Budget::Max(1.0),
                fault(RESTART, "peak_control_cpu_part"),
                "observation-feed: paced copies",
            ),
            ask(
                router,
                "time to calm, a sixth restarted, s",
                feed,
                Budget::None,
                fault(RESTART, "calm_after_s"),
                "observation-feed",
            ),
            ask(
                router,
                "time until all follow again, a sixth stopped for 3 s, s",
                feed,
                Budget::None,
                fault(STOP, "follow_max_s"),
                "observation-feed",
            ),
            ask(
                control,
                "peak, bytes a second, a sixth stopped for 3 s",
                feed,
                Budget::None,
                fault(STOP, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            ask(
                router,
                "time to calm, a sixth stopped for 3 s, s",
                feed,
                Budget::None,
                fault(STOP, "calm_after_s"),
                "observation-feed",
            ),
            ask(
                router,
                "a primary changed in the midst of it, known to all, s",
                feed,
                Budget::Max(CHANGE_S),
                fault(PRIMARY, "change_known_max_s"),
                "observation-feed",
            ),
            ask(
                router,
                "time until the real ones follow again, a sixth restarted, s",
                feed,
                Budget::Max(FOLLOW_S),
                fault(RESTART, "real_follow_max_s"),
                "observation-feed",
            ),
            ask(
                discovery,
                "calls from the fault to the end of the run, a sixth restarted",
                any,
                Budget::None,
                fault(RESTART, "fault_discovery_calls"),
                "discovery-watch",
            ),
            ask(
                discovery,
                "bytes that it answers from the fault to the end of the run, a sixth restarted",
                any,
                Budget::None,
                fault(RESTART, "fault_discovery_bytes_out"),
                "discovery-watch: whole lists",
            ),
            ask(
                database,
                "probes a second, a zone's databases back at once",
                feed,
                Budget::None,
                Source::NotMeasured,
                "membership among control instances",
            ),
            ask(
                connection,
                "connections a second at the routers left, a zone's clients come over",
                any,
                Budget::None,
                Source::NotMeasured,
                "none: clients connect anew by themselves",
            ),
        ],
        "region" => vec![
            ask(
                router,
                "time until bytes are as before, after healing, s",
                shared,
                Budget::None,
                fault(CUT_FAULT, "calm_after_s"),
                "membership",
            ),
            ask(
                control,
                "bytes in and out a second, 4 machines before 3,950 routers",
                feed,
                Budget::Max(CONTROL_BYTES_S),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    CONTROL_BYTES,
                    followed(TARGET_ROUTERS / 2.0, TARGET_CONTROL_MACHINES / 2.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            ask(
                control,
                "processor time, cores, 4 machines before 3,950 routers",
                feed,
                Budget::Max(1.0),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    "control_cpu_part",
                    followed(TARGET_ROUTERS / 2.0, TARGET_CONTROL_MACHINES / 2.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            ask(
                router,
                "age of what is known, the oldest, two halves cut for 30 s, s",
                feed,
                Budget::None,
                fault(CUT_FAULT, "fault_age_max_s"),
                "observation-feed",
            ),
            ask(
                router,
                "time until views agree after healing, s",
                feed,
                Budget::Max(5.0),
                fault(CUT_FAULT, VIEWS_AGREE_FIGURE),
                "observation-feed",
            ),
            ask(
                router,
                "time until bytes are as before, after healing, s",
                feed,
                Budget::None,
                fault(CUT_FAULT, "calm_after_s"),
                "observation-feed",
            ),
            ask(
                control,
                "peak, bytes a second, at healing",
                feed,
                Budget::None,
                fault(CUT_FAULT, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            ask(
                database,
                "probes a second, no control instance left, the mean over all databases",
                feed,
                Budget::None,
                computed(
                    &[ISOLATED_RATE_MULTIPLE, PROBES_S],
                    1.0,
                    "crates/observation-feed/src/health_check_quota.rs",
                ),
                "observation-feed: paced share",
            ),
            ask(
                database,
                "probes a second, no control instance left, at one that all use, over time no more than",
                feed,
                Budget::None,
                computed(
                    &[MAX_ROUTERS_PER_NODE_AND_PERIOD, PROBES_S],
                    1.0,
                    "crates/observation-feed/src/health_check_quota.rs",
                ),
                "observation-feed: paced share",
            ),
            // Each probes it once before its floor has passed, and nothing but chance keeps them from the same second.
            ask(
                database,
                "probes in one second, no control instance left, the most that one that all use may get",
                feed,
                Budget::None,
                computed(&[TARGET_ROUTERS, 1.0], 1.0, "crates/observation-feed/src/health_check_quota.rs"),
                "observation-feed: paced share",
            ),
            ask(
                discovery,
                "calls a second, a region alone",
                any,
                Budget::None,
                Source::NotMeasured,
                "discovery-watch",
            ),
            ask(
                connection,
                "share of statements answered in a region alone",
                any,
                Budget::None,
                Source::NotMeasured,
                "router",
            ),
        ],
        "control-lost" => vec![
            ask(
                control,
                "bytes in and out a second, 7 machines left",
                feed,
                Budget::Max(CONTROL_BYTES_S),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    CONTROL_BYTES,
                    followed(TARGET_ROUTERS, TARGET_CONTROL_MACHINES - 1.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            ask(
                control,
                "processor time, cores, 7 machines left",
                feed,
                Budget::Max(1.0),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    "control_cpu_part",
                    followed(TARGET_ROUTERS, TARGET_CONTROL_MACHINES - 1.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            ask(
                router,
                "age of what is known, the oldest, s",
                feed,
                Budget::Max(1.0),
                fault(KILL, "fault_age_max_s"),
                "observation-feed",
            ),
            ask(
                router,
                "time until all are told again, s",
                feed,
                Budget::None,
                fault(KILL, "follow_max_s"),
                "observation-feed",
            ),
            ask(
                control,
                "peak, bytes a second",
                feed,
                Budget::None,
                fault(KILL, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            ask(
                router,
                "bytes sent a second, no control instance left",
                feed,
                Budget::Max(ROUTER_BYTES_S),
                fault(KILL_ALL, "alone_router_bytes_out_s"),
                "observation-feed",
            ),
        ],
        "burst" => {
            let burst = || vec![TargetSize::OnAxis(Axis::Changes, BURST_CHANGES_S)];
            let mut rows = Vec::new();
            for (mode, side, by) in
                [(Mode::Shared, shared, "membership"), (Mode::Feed, feed, "observation-feed")]
            {
                rows.extend([
                    ask(
                        router,
                        "bytes in and out a second at 10 changes a second",
                        side,
                        Budget::Max(ROUTER_BYTES_S),
                        calm(MEASURED_RECORD, mode, ROUTER_BYTES, burst()),
                        by,
                    ),
                    ask(
                        router,
                        "time until a change of a database is known to all, s",
                        side,
                        Budget::Max(CHANGE_S),
                        calm(MEASURED_RECORD, mode, "change_known_max_s", burst()),
                        by,
                    ),
                ]);
            }
            rows.push(ask(
                control,
                "bytes in and out a second at 10 changes a second",
                feed,
                Budget::Max(CONTROL_BYTES_S),
                calm(MEASURED_RECORD, Mode::Feed, CONTROL_BYTES, burst()),
                "observation-feed",
            ));
            rows.extend([
                ask(
                    discovery,
                    "bytes a second at 10 changes a second",
                    any,
                    Budget::None,
                    Source::NotMeasured,
                    "discovery-watch",
                ),
                ask(
                    database,
                    "probes a second at 10 changes a second",
                    feed,
                    Budget::Max(PROBES_S),
                    calm(MEASURED_RECORD, Mode::Feed, "database_probes_s", burst()),
                    "membership among control instances",
                ),
                ask(
                    connection,
                    "time until statements go to the new primary, s",
                    any,
                    Budget::None,
                    Source::NotMeasured,
                    "router",
                ),
            ]);
            rows.push(ask(
                router,
                "time until a change of configuration is in force, s",
                any,
                Budget::Max(IN_FORCE_S),
                Source::NotMeasured,
                "none: files and SIGHUP",
            ));
            rows
        }
        "later" => vec![
            ask(
                router,
                "configuration in force everywhere, s",
                any,
                Budget::Max(IN_FORCE_S),
                Source::NotMeasured,
                "none",
            ),
            ask(
                router,
                "leases and revisions: how long a revoked one is still acted on, s",
                any,
                Budget::None,
                Source::NotMeasured,
                "none",
            ),
            ask(
                discovery,
                "lists in parts: bytes of a list's change to one router",
                any,
                Budget::None,
                Source::NotMeasured,
                "none",
            ),
            ask(
                connection,
                "forwarders: bytes of one that waits idle",
                any,
                Budget::None,
                Source::NotMeasured,
                "none",
            ),
        ],
        _ => Vec::new(),
    }
}

/// An entry of the list in the stand-in's form, with a comma: an address, a group and a start as long as they get.
fn entry_bytes() -> f64 {
    let address = SocketAddr::from(([127, 255, 255, 255], u16::MAX));
    let started = Duration::from_secs(1_800_000_000);
    (listing::endpoint_json(address, TARGET_DATABASES as u64, started, false).to_string().len() + 1) as f64
}

/// The longest letter.
const LETTER: f64 = 1_200.0;

/// A router in calm, where its databases are known by that way.
fn of_a_router(mode: Mode, sharing: Sharing, mechanism: &'static str) -> Vec<Requirement> {
    let figures = [
        ("bytes in and out a second", ROUTER_BYTES, Budget::Max(ROUTER_BYTES_S)),
        ("messages in and out a second", ROUTER_MESSAGES, Budget::None),
        ("processor time of control, cores", "router_cpu_part", Budget::Max(ROUTER_CPU)),
        ("memory of control, bytes", "router_memory_bytes", Budget::Max(ROUTER_MEMORY)),
        ("state of control, bytes", "router_state_bytes", Budget::Max(ROUTER_MEMORY)),
        ("age of what is known, p99, s", "age_p99_s", Budget::Max(AGE_S)),
        ("time until a change is known to all, s", "change_known_max_s", Budget::Max(CHANGE_S)),
    ];
    // Members of a fleet know so many at the most, and cost one another no more.
    let routers = if mode == Mode::Shared { MAX_PEERS as f64 } else { TARGET_ROUTERS };
    let over = || {
        vec![
            TargetSize::OnAxis(Axis::Routers, routers),
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    let ask = |(quantity, figure, budget)| Requirement {
        role: "router",
        quantity,
        sharing,
        budget,
        source: Source::CalmRuns { record: MEASURED_RECORD, mode, figure, over: over() },
        mechanism,
    };
    figures.into_iter().map(ask).collect()
}
