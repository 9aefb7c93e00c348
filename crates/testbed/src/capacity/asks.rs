//! The rows of the capacity page: for each role, the figures at the target size, their budgets, and the
//! packages that implement them.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::membership::MAX_PEERS;
use quillpoint_membership::message::MAX_JOIN_REPLY_RECORDS;
use quillpoint_observation_feed::health_check_quota::{
    ISOLATED_RATE_MULTIPLE, MAX_ROUTERS_PER_NODE_AND_PERIOD,
};

use crate::listing;
use crate::record::{Axis, Mode};
use crate::scale::bounds::{
    CONTROL_MEMORY_BYTES, ROUTER_BYTES_PER_SECOND, ROUTER_CPU_PART, ROUTER_MEMORY_BYTES,
};

/// Number of routers at the target size.
pub const TARGET_ROUTERS: f64 = 7_900.0;
/// Number of databases at the target size.
pub const TARGET_DATABASES: f64 = 18_000.0;
/// Number of machines at the target size that each run a control instance.
pub const TARGET_CONTROL_MACHINES: f64 = 8.0;
/// Client connections per router at the target size.
pub const TARGET_CONNECTIONS: f64 = 8_481.0;
/// Statements per second and router at the target size.
pub const TARGET_STATEMENTS_S: f64 = 494.0;
/// Changes of databases per second in a burst.
pub const BURST_CHANGES_S: f64 = 10.0;
/// Routers in one zone, a sixth of all.
const ZONE_ROUTERS: f64 = 1_317.0;
/// Interval between restarts of routers during a day.
const RESTART_EVERY_S: f64 = 13.5;

/// Budget of control traffic for all routers together, in bytes per second.
const ALL_BYTES_S: f64 = ROUTER_BYTES_PER_SECOND * TARGET_ROUTERS;
/// The share of this budget for one control machine.
const CONTROL_BYTES_S: f64 = ALL_BYTES_S / TARGET_CONTROL_MACHINES;
/// Budget for the age of observations.
const MAX_AGE_S: f64 = 0.3;
/// Budget for the time until all routers know of a change.
const MAX_CHANGE_S: f64 = 1.0;
/// Budget for the time until all routers follow the feed again.
const MAX_FOLLOW_S: f64 = 3.0;
/// Interval at which each database is probed by all probers together, as it is today.
pub const TARGET_PROBE_PERIOD_S: f64 = 0.15;
/// Budget of probes per second and database.
const PROBES_S: f64 = 1.0 / TARGET_PROBE_PERIOD_S;
/// Budget for the time until a changed configuration is in force everywhere.
const MAX_IN_FORCE_S: f64 = 15.0;

/// Record file of the runs of processes.
pub const MEASURED_RECORD: &str = "scale.jsonl";
/// Record file of the runs of the simulator.
pub const SIMULATED_RECORD: &str = "scale-simulated.jsonl";

const ROUTER_BYTES: &str = "router_bytes_in_s+router_bytes_out_s";
const ROUTER_MESSAGES: &str = "router_messages_in_s+router_messages_out_s";
const CONTROL_BYTES: &str = "control_bytes_in_s+control_bytes_out_s";
const CONTROL_MESSAGES: &str = "control_messages_in_s+control_messages_out_s";

/// The plots: each shows a figure from [`MEASURED_RECORD`] over an axis.
pub const PLOTS: [(&str, Axis); 6] = [
    (ROUTER_BYTES, Axis::Databases),
    (ROUTER_BYTES, Axis::Routers),
    ("router_cpu_part", Axis::Databases),
    ("age_p99_s", Axis::Databases),
    (CONTROL_BYTES, Axis::Routers),
    (CONTROL_BYTES, Axis::Databases),
];

/// Time until the views of control instances agree again after a network cut. Only runs whose cut also
/// separates the control instances have this figure.
pub const VIEWS_AGREE_FIGURE: &str = "agree_max_s";

/// Figures of the time until all of a group have reached a state, each with the figure that counts those that
/// had not reached it when the run ended. If that count is not zero, the time covers only the others.
pub const COMPLETION_TIMES: [(&str, &str); 4] = [
    ("follow_max_s", "follow_missing"),
    ("real_follow_max_s", "follow_missing"),
    (VIEWS_AGREE_FIGURE, "agree_missing"),
    ("change_known_max_s", "change_unknown"),
];

/// Names of the faults in records, as measure/scale writes them.
const RESTART_FAULT: &str = "restart";
const STOP_FAULT: &str = "stop";
/// The fault that cuts the network between two halves.
pub const CUT_FAULT: &str = "cut";
const CONTROL_KILL_FAULT: &str = "control";
const ALL_CONTROL_KILL_FAULT: &str = "control-all";
const PRIMARY_CHANGE_FAULT: &str = "primary";

/// How routers share observations in the runs of a row.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each router observes the databases by itself.
    Alone,
    /// All routers are members of one fleet, as today, and send each other all of their observations.
    Shared,
    /// Control instances send routers a feed that contains only what changes.
    Feed,
    /// The row does not depend on it.
    Any,
}

/// The budget of a figure.
#[derive(Clone, Copy)]
pub enum Budget {
    /// There is no budget.
    None,
    /// The figure may be at most this.
    Max(f64),
    /// The figure may be at most this many times the named figure in a calm run of the same sizes.
    MultipleOfCalm(f64, &'static str),
}

/// The size on one axis at which a calm figure is needed.
#[derive(Clone, Copy)]
pub enum TargetSize {
    /// This size on this axis.
    OnAxis(Axis, f64),
    /// On the axis of routers, a number of routers per control instance.
    PerInstance {
        /// Routers that follow each control instance.
        followers: f64,
        /// Machines that each run a control instance.
        machines: f64,
    },
}

/// Where the figure of a row comes from.
pub enum Source {
    /// A figure of calm runs at these sizes. It gives one row for each axis with the other sizes held, and
    /// one for both axes together.
    CalmRuns { record: &'static str, mode: Mode, figure: &'static str, target_sizes: Vec<TargetSize> },
    /// A figure of the runs with this fault at the largest size.
    FaultRuns { fault: &'static str, figure: &'static str },
    /// The product of `factors` divided by `by`. `from` names the source file of the factors.
    Computed { factors: Vec<f64>, by: f64, from: &'static str },
    /// No run measures it.
    NotMeasured,
}

/// A figure that a role must keep within its budget at the target size.
pub struct Requirement {
    /// The role that bears the cost.
    pub role: &'static str,
    /// What is measured, with its unit.
    pub quantity: &'static str,
    /// How routers share observations in these runs.
    pub sharing: Sharing,
    /// The budget of the figure.
    pub budget: Budget,
    /// Where the figure comes from.
    pub source: Source,
    /// The packages that implement it, or "none" with the reason.
    pub mechanism: &'static str,
}

/// The sections of the page that contain rows: the name of the marker, and the occasion in words.
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

/// Returns the requirements that a section of the page lists.
pub fn requirements(section: &str) -> Vec<Requirement> {
    let both_axes = || {
        vec![
            TargetSize::OnAxis(Axis::Routers, TARGET_ROUTERS),
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    // In the simulator all members know each other. A fleet never has more than `MAX_PEERS` members that do.
    let fleet_sizes = || {
        vec![
            TargetSize::OnAxis(Axis::Routers, MAX_PEERS as f64),
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    let calm = |record, mode, figure, target_sizes| Source::CalmRuns { record, mode, figure, target_sizes };
    let requirement = |role, quantity, sharing, budget, source, mechanism| Requirement {
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
    // These routers follow these machines. Each machine has the whole endpoint list.
    let per_instance = |routers, machines| {
        vec![
            TargetSize::PerInstance { followers: routers / machines, machines },
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    let all_machines = || per_instance(TARGET_ROUTERS, TARGET_CONTROL_MACHINES);
    let entry_size = entry_bytes();
    match section {
        "calm-alone" => vec![
            requirement(
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
            requirement(
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
            requirement(
                router,
                "processor time of control, cores",
                alone,
                Budget::Max(ROUTER_CPU_PART),
                calm(MEASURED_RECORD, Mode::Off, "router_cpu_part", both_axes()),
                "none: each router probes for itself",
            ),
        ],
        "calm-shared" => {
            let mut rows = vec![
                requirement(
                    router,
                    "bytes sent a second",
                    shared,
                    Budget::Max(ROUTER_BYTES_PER_SECOND),
                    calm(SIMULATED_RECORD, Mode::Shared, "router_bytes_out_s", fleet_sizes()),
                    "membership",
                ),
                requirement(
                    router,
                    "messages sent a second",
                    shared,
                    Budget::None,
                    calm(SIMULATED_RECORD, Mode::Shared, "router_messages_out_s", fleet_sizes()),
                    "membership",
                ),
                requirement(
                    router,
                    "processor time of decisions, cores",
                    shared,
                    Budget::Max(ROUTER_CPU_PART),
                    calm(SIMULATED_RECORD, Mode::Shared, "router_cpu_part", fleet_sizes()),
                    "membership",
                ),
                requirement(
                    router,
                    "age of what is known, p99, s",
                    shared,
                    Budget::Max(MAX_AGE_S),
                    calm(SIMULATED_RECORD, Mode::Shared, "age_p99_s", fleet_sizes()),
                    "membership",
                ),
                requirement(
                    database,
                    "probes a second",
                    shared,
                    Budget::Max(PROBES_S),
                    calm(SIMULATED_RECORD, Mode::Shared, "database_probes_s", fleet_sizes()),
                    "membership",
                ),
                requirement(
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
                requirement(
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
                requirement(
                    router,
                    "scores at a change of the view, if all were known",
                    shared,
                    Budget::None,
                    computed(&[TARGET_ROUTERS, TARGET_DATABASES], 1.0, "crates/membership/src/rendezvous.rs"),
                    "membership",
                ),
            ];
            rows.extend(router_requirements(Mode::Shared, shared, "membership"));
            rows
        }
        "calm-feed" => {
            let mut rows = router_requirements(Mode::Feed, feed, "observation-feed, control-plane");
            let control_figures = [
                ("bytes in and out a second", CONTROL_BYTES, Budget::Max(CONTROL_BYTES_S)),
                ("messages in and out a second", CONTROL_MESSAGES, Budget::None),
                ("processor time, cores", "control_cpu_part", Budget::Max(1.0)),
                ("memory, bytes", "control_memory_bytes", Budget::Max(CONTROL_MEMORY_BYTES)),
                ("state, bytes", "control_state_bytes", Budget::Max(CONTROL_MEMORY_BYTES)),
            ];
            rows.extend(control_figures.map(|(quantity, figure, budget)| {
                let source = calm(MEASURED_RECORD, Mode::Feed, figure, all_machines());
                requirement(
                    control,
                    quantity,
                    feed,
                    budget,
                    source,
                    "observation-feed, membership, control-plane",
                )
            }));
            for (quantity, figure) in [
                ("bytes a second, of one that watches it", "discovery_bytes_s"),
                ("calls a second, of one that watches it", "discovery_calls_s"),
            ] {
                let source = calm(MEASURED_RECORD, Mode::Feed, figure, both_axes());
                rows.push(requirement(discovery, quantity, any, Budget::None, source, "discovery-watch"));
            }
            rows.push(requirement(
                database,
                "probes a second",
                feed,
                Budget::Max(PROBES_S),
                calm(MEASURED_RECORD, Mode::Feed, "database_probes_s", both_axes()),
                "membership among control instances",
            ));
            let at_connections = || vec![TargetSize::OnAxis(Axis::Connections, TARGET_CONNECTIONS)];
            let at_statements = || vec![TargetSize::OnAxis(Axis::Statements, TARGET_STATEMENTS_S)];
            rows.extend([
                requirement(
                    connection,
                    "memory of one, bytes",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "connection_memory_bytes", at_connections()),
                    "router",
                ),
                requirement(
                    connection,
                    "memory of a router with all of its own, bytes",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "real_memory_bytes", at_connections()),
                    "router",
                ),
                requirement(
                    connection,
                    "processor time of a router with all of its own, cores",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "real_on_cpu_part", at_connections()),
                    "router",
                ),
                requirement(
                    connection,
                    "processor time of a router for its statements, cores",
                    any,
                    Budget::None,
                    calm(MEASURED_RECORD, Mode::Feed, "real_on_cpu_part", at_statements()),
                    "router",
                ),
            ]);
            for (role, quantity, by) in [
                (discovery, "calls and bytes a second, of all 7,908 that watch it", "discovery-watch"),
                (discovery, "processor time, cores", "discovery-watch"),
                (discovery, "memory, bytes", "discovery-watch"),
                (database, "bytes of probes a second", "membership among control instances"),
                (database, "processor time of probes, cores", "membership among control instances"),
                (database, "memory and state of probes, bytes", "membership among control instances"),
                (connection, "state of one, bytes", "router"),
                (connection, "bytes a second of one", "router"),
            ] {
                rows.push(requirement(role, quantity, any, Budget::None, Source::NotMeasured, by));
            }
            rows.push(requirement(
                discovery,
                "state: the list, bytes",
                any,
                Budget::None,
                computed(&[entry_size, TARGET_DATABASES], 1.0, "crates/testbed/src/listing.rs"),
                "discovery-watch",
            ));
            rows.push(requirement(
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
            requirement(
                discovery,
                "bytes of the list at one start",
                any,
                Budget::None,
                computed(&[entry_size, TARGET_DATABASES], 1.0, "crates/testbed/src/listing.rs"),
                "discovery-watch: whole lists",
            ),
            requirement(
                discovery,
                "bytes a second, one start in 13.5 s",
                any,
                Budget::None,
                computed(&[entry_size, TARGET_DATABASES], RESTART_EVERY_S, "crates/testbed/src/listing.rs"),
                "discovery-watch: whole lists",
            ),
            requirement(
                router,
                "memory of control, the most through a restart of a sixth, bytes",
                feed,
                Budget::Max(ROUTER_MEMORY_BYTES),
                fault(RESTART_FAULT, "peak_router_memory_bytes"),
                "observation-feed, control-plane",
            ),
            requirement(
                router,
                "state of control, the most through a restart of a sixth, bytes",
                feed,
                Budget::Max(ROUTER_MEMORY_BYTES),
                fault(RESTART_FAULT, "peak_router_state_bytes"),
                "observation-feed, control-plane",
            ),
            requirement(
                control,
                "bytes a second of copies to routers that start, one start in 13.5 s",
                feed,
                Budget::None,
                Source::NotMeasured,
                "observation-feed: paced copies",
            ),
            requirement(
                database,
                "probes a second beyond the calm ones, one start in 13.5 s",
                feed,
                Budget::None,
                Source::NotMeasured,
                "membership among control instances",
            ),
            requirement(
                connection,
                "time until the clients of a router that is replaced are served again, s",
                any,
                Budget::None,
                Source::NotMeasured,
                "none: clients connect anew by themselves",
            ),
        ],
        "zone" => vec![
            requirement(
                router,
                "peak, bytes a second, a sixth restarted",
                shared,
                Budget::None,
                fault(RESTART_FAULT, "peak_router_bytes_s"),
                "membership",
            ),
            requirement(
                router,
                "time to calm, a sixth restarted, s",
                shared,
                Budget::None,
                fault(RESTART_FAULT, "calm_after_s"),
                "membership",
            ),
            requirement(
                router,
                "peak, bytes a second, a sixth stopped for 3 s",
                shared,
                Budget::None,
                fault(STOP_FAULT, "peak_router_bytes_s"),
                "membership",
            ),
            requirement(
                router,
                "time to calm, a sixth stopped for 3 s, s",
                shared,
                Budget::None,
                fault(STOP_FAULT, "calm_after_s"),
                "membership",
            ),
            requirement(
                router,
                "bytes of greetings of all that come back",
                shared,
                Budget::Max(ALL_BYTES_S * MAX_FOLLOW_S),
                computed(
                    &[
                        ZONE_ROUTERS,
                        MAX_PEERS as f64,
                        (MAX_PEERS as f64 / MAX_JOIN_REPLY_RECORDS as f64).ceil(),
                        MAX_DATAGRAM_BYTES,
                    ],
                    1.0,
                    "crates/membership/src/membership/join.rs, message.rs",
                ),
                "none: fleet greets all that it knows",
            ),
            requirement(
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
            requirement(
                discovery,
                "bytes of lists to all that come back",
                any,
                Budget::Max(ALL_BYTES_S * MAX_FOLLOW_S),
                computed(&[entry_size, TARGET_DATABASES, ZONE_ROUTERS], 1.0, "crates/testbed/src/listing.rs"),
                "none: watch asks for whole lists at once",
            ),
            requirement(
                router,
                "time until all follow again, a sixth restarted, s",
                feed,
                Budget::Max(MAX_FOLLOW_S),
                fault(RESTART_FAULT, "follow_max_s"),
                "observation-feed",
            ),
            requirement(
                router,
                "peak, bytes a second, a sixth restarted",
                feed,
                Budget::None,
                fault(RESTART_FAULT, "peak_router_bytes_s"),
                "observation-feed",
            ),
            requirement(
                control,
                "peak, bytes a second, a sixth restarted",
                feed,
                Budget::MultipleOfCalm(5.0, CONTROL_BYTES),
                fault(RESTART_FAULT, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            requirement(
                control,
                "peak of processor time, cores, a sixth restarted",
                feed,
                Budget::Max(1.0),
                fault(RESTART_FAULT, "peak_control_cpu_part"),
                "observation-feed: paced copies",
            ),
            requirement(
                router,
                "time to calm, a sixth restarted, s",
                feed,
                Budget::None,
                fault(RESTART_FAULT, "calm_after_s"),
                "observation-feed",
            ),
            requirement(
                router,
                "time until all follow again, a sixth stopped for 3 s, s",
                feed,
                Budget::None,
                fault(STOP_FAULT, "follow_max_s"),
                "observation-feed",
            ),
            requirement(
                control,
                "peak, bytes a second, a sixth stopped for 3 s",
                feed,
                Budget::None,
                fault(STOP_FAULT, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            requirement(
                router,
                "time to calm, a sixth stopped for 3 s, s",
                feed,
                Budget::None,
                fault(STOP_FAULT, "calm_after_s"),
                "observation-feed",
            ),
            requirement(
                router,
                "a primary changed in the midst of it, known to all, s",
                feed,
                Budget::Max(MAX_CHANGE_S),
                fault(PRIMARY_CHANGE_FAULT, "change_known_max_s"),
                "observation-feed",
            ),
            requirement(
                router,
                "time until the real ones follow again, a sixth restarted, s",
                feed,
                Budget::Max(MAX_FOLLOW_S),
                fault(RESTART_FAULT, "real_follow_max_s"),
                "observation-feed",
            ),
            requirement(
                discovery,
                "calls from the fault to the end of the run, a sixth restarted",
                any,
                Budget::None,
                fault(RESTART_FAULT, "fault_discovery_calls"),
                "discovery-watch",
            ),
            requirement(
                discovery,
                "bytes that it answers from the fault to the end of the run, a sixth restarted",
                any,
                Budget::None,
                fault(RESTART_FAULT, "fault_discovery_bytes_out"),
                "discovery-watch: whole lists",
            ),
            requirement(
                database,
                "probes a second, a zone's databases back at once",
                feed,
                Budget::None,
                Source::NotMeasured,
                "membership among control instances",
            ),
            requirement(
                connection,
                "connections a second at the routers left, a zone's clients come over",
                any,
                Budget::None,
                Source::NotMeasured,
                "none: clients connect anew by themselves",
            ),
        ],
        "region" => vec![
            requirement(
                router,
                "time until bytes are as before, after healing, s",
                shared,
                Budget::None,
                fault(CUT_FAULT, "calm_after_s"),
                "membership",
            ),
            requirement(
                control,
                "bytes in and out a second, 4 machines before 3,950 routers",
                feed,
                Budget::Max(CONTROL_BYTES_S),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    CONTROL_BYTES,
                    per_instance(TARGET_ROUTERS / 2.0, TARGET_CONTROL_MACHINES / 2.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            requirement(
                control,
                "processor time, cores, 4 machines before 3,950 routers",
                feed,
                Budget::Max(1.0),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    "control_cpu_part",
                    per_instance(TARGET_ROUTERS / 2.0, TARGET_CONTROL_MACHINES / 2.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            requirement(
                router,
                "age of what is known, the oldest, two halves cut for 30 s, s",
                feed,
                Budget::None,
                fault(CUT_FAULT, "fault_age_max_s"),
                "observation-feed",
            ),
            requirement(
                router,
                "time until views agree after healing, s",
                feed,
                Budget::Max(5.0),
                fault(CUT_FAULT, VIEWS_AGREE_FIGURE),
                "observation-feed",
            ),
            requirement(
                router,
                "time until bytes are as before, after healing, s",
                feed,
                Budget::None,
                fault(CUT_FAULT, "calm_after_s"),
                "observation-feed",
            ),
            requirement(
                control,
                "peak, bytes a second, at healing",
                feed,
                Budget::None,
                fault(CUT_FAULT, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            requirement(
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
            requirement(
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
            // Each router probes a database once before its minimum interval has passed, and nothing but
            // chance prevents all of them from doing so in the same second.
            requirement(
                database,
                "probes in one second, no control instance left, the most that one that all use may get",
                feed,
                Budget::None,
                computed(&[TARGET_ROUTERS, 1.0], 1.0, "crates/observation-feed/src/health_check_quota.rs"),
                "observation-feed: paced share",
            ),
            requirement(
                discovery,
                "calls a second, a region alone",
                any,
                Budget::None,
                Source::NotMeasured,
                "discovery-watch",
            ),
            requirement(
                connection,
                "share of statements answered in a region alone",
                any,
                Budget::None,
                Source::NotMeasured,
                "router",
            ),
        ],
        "control-lost" => vec![
            requirement(
                control,
                "bytes in and out a second, 7 machines left",
                feed,
                Budget::Max(CONTROL_BYTES_S),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    CONTROL_BYTES,
                    per_instance(TARGET_ROUTERS, TARGET_CONTROL_MACHINES - 1.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            requirement(
                control,
                "processor time, cores, 7 machines left",
                feed,
                Budget::Max(1.0),
                calm(
                    MEASURED_RECORD,
                    Mode::Feed,
                    "control_cpu_part",
                    per_instance(TARGET_ROUTERS, TARGET_CONTROL_MACHINES - 1.0),
                ),
                "observation-feed, membership, control-plane",
            ),
            requirement(
                router,
                "age of what is known, the oldest, s",
                feed,
                Budget::Max(1.0),
                fault(CONTROL_KILL_FAULT, "fault_age_max_s"),
                "observation-feed",
            ),
            requirement(
                router,
                "time until all are told again, s",
                feed,
                Budget::None,
                fault(CONTROL_KILL_FAULT, "follow_max_s"),
                "observation-feed",
            ),
            requirement(
                control,
                "peak, bytes a second",
                feed,
                Budget::None,
                fault(CONTROL_KILL_FAULT, "peak_control_bytes_s"),
                "observation-feed: paced copies",
            ),
            requirement(
                router,
                "bytes sent a second, no control instance left",
                feed,
                Budget::Max(ROUTER_BYTES_PER_SECOND),
                fault(ALL_CONTROL_KILL_FAULT, "alone_router_bytes_out_s"),
                "observation-feed",
            ),
        ],
        "burst" => {
            let burst = || vec![TargetSize::OnAxis(Axis::Changes, BURST_CHANGES_S)];
            let mut rows = Vec::new();
            for (mode, sharing, by) in
                [(Mode::Shared, shared, "membership"), (Mode::Feed, feed, "observation-feed")]
            {
                rows.extend([
                    requirement(
                        router,
                        "bytes in and out a second at 10 changes a second",
                        sharing,
                        Budget::Max(ROUTER_BYTES_PER_SECOND),
                        calm(MEASURED_RECORD, mode, ROUTER_BYTES, burst()),
                        by,
                    ),
                    requirement(
                        router,
                        "time until a change of a database is known to all, s",
                        sharing,
                        Budget::Max(MAX_CHANGE_S),
                        calm(MEASURED_RECORD, mode, "change_known_max_s", burst()),
                        by,
                    ),
                ]);
            }
            rows.push(requirement(
                control,
                "bytes in and out a second at 10 changes a second",
                feed,
                Budget::Max(CONTROL_BYTES_S),
                calm(MEASURED_RECORD, Mode::Feed, CONTROL_BYTES, burst()),
                "observation-feed",
            ));
            rows.extend([
                requirement(
                    discovery,
                    "bytes a second at 10 changes a second",
                    any,
                    Budget::None,
                    Source::NotMeasured,
                    "discovery-watch",
                ),
                requirement(
                    database,
                    "probes a second at 10 changes a second",
                    feed,
                    Budget::Max(PROBES_S),
                    calm(MEASURED_RECORD, Mode::Feed, "database_probes_s", burst()),
                    "membership among control instances",
                ),
                requirement(
                    connection,
                    "time until statements go to the new primary, s",
                    any,
                    Budget::None,
                    Source::NotMeasured,
                    "router",
                ),
            ]);
            rows.push(requirement(
                router,
                "time until a change of configuration is in force, s",
                any,
                Budget::Max(MAX_IN_FORCE_S),
                Source::NotMeasured,
                "none: files and SIGHUP",
            ));
            rows
        }
        "later" => vec![
            requirement(
                router,
                "configuration in force everywhere, s",
                any,
                Budget::Max(MAX_IN_FORCE_S),
                Source::NotMeasured,
                "none",
            ),
            requirement(
                router,
                "leases and revisions: how long a revoked one is still acted on, s",
                any,
                Budget::None,
                Source::NotMeasured,
                "none",
            ),
            requirement(
                discovery,
                "lists in parts: bytes of a list's change to one router",
                any,
                Budget::None,
                Source::NotMeasured,
                "none",
            ),
            requirement(
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

/// Returns the size of an entry of the endpoint list as the discovery stand-in sends it, with the comma after
/// it. The address, the replica set and the start time have the largest number of digits that they can have.
fn entry_bytes() -> f64 {
    let address = SocketAddr::from(([127, 255, 255, 255], u16::MAX));
    let started = Duration::from_secs(1_800_000_000);
    (listing::endpoint_json(address, TARGET_DATABASES as u64, started, false).to_string().len() + 1) as f64
}

/// The largest datagram of the fleet, in bytes.
const MAX_DATAGRAM_BYTES: f64 = 1_200.0;

/// Returns the requirements of a router in calm operation with this kind of sharing.
fn router_requirements(mode: Mode, sharing: Sharing, mechanism: &'static str) -> Vec<Requirement> {
    let figures = [
        ("bytes in and out a second", ROUTER_BYTES, Budget::Max(ROUTER_BYTES_PER_SECOND)),
        ("messages in and out a second", ROUTER_MESSAGES, Budget::None),
        ("processor time of control, cores", "router_cpu_part", Budget::Max(ROUTER_CPU_PART)),
        ("memory of control, bytes", "router_memory_bytes", Budget::Max(ROUTER_MEMORY_BYTES)),
        ("state of control, bytes", "router_state_bytes", Budget::Max(ROUTER_MEMORY_BYTES)),
        ("age of what is known, p99, s", "age_p99_s", Budget::Max(MAX_AGE_S)),
        ("time until a change is known to all, s", "change_known_max_s", Budget::Max(MAX_CHANGE_S)),
    ];
    // A member of a fleet knows at most `MAX_PEERS` others, so a larger fleet does not cost it more.
    let routers = if mode == Mode::Shared { MAX_PEERS as f64 } else { TARGET_ROUTERS };
    let target_sizes = || {
        vec![
            TargetSize::OnAxis(Axis::Routers, routers),
            TargetSize::OnAxis(Axis::Databases, TARGET_DATABASES),
        ]
    };
    let requirement = |(quantity, figure, budget)| Requirement {
        role: "router",
        quantity,
        sharing,
        budget,
        source: Source::CalmRuns { record: MEASURED_RECORD, mode, figure, target_sizes: target_sizes() },
        mechanism,
    };
    figures.into_iter().map(requirement).collect()
}
