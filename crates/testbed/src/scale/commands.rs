//! The protocol between the measuring process and its stand-in processes: a plan and commands one way,
//! reports the other way, each a JSON object on a line of its own.

use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use async_channel::Receiver;
use serde::{Deserialize, Serialize};

/// The plan of a process of stand-in databases; the first line it reads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DatabasesPlan {
    /// Where the databases listen.
    pub addresses: Vec<SocketAddr>,
    /// The databases that are primaries at first.
    pub primaries: Vec<SocketAddr>,
    /// Replication lag in milliseconds.
    pub lag_ms: u64,
}

/// Name and address of a hollow router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowRouterPlan {
    /// Its name in the fleet.
    pub name: String,
    /// Where it listens for datagrams.
    pub listen: SocketAddr,
}

/// The plan of a process of hollow routers; the first line it reads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// The platform file of a real router of this run; hollow routers replace only the name and the
    /// addresses.
    pub platform: PathBuf,
    /// Its quillpoint.conf, likewise.
    pub conf: PathBuf,
    /// The routers of this process.
    pub routers: Vec<HollowRouterPlan>,
    /// The number of hollow routers in the processes before this one.
    #[serde(rename = "before")]
    pub first_index: usize,
    /// All databases.
    pub databases: Vec<SocketAddr>,
    /// Databases that may be promoted; each router records when it learned of it.
    #[serde(rename = "movers")]
    pub promotable: Vec<SocketAddr>,
    /// Databases of each router whose observation age is sampled.
    pub sampled: usize,
    /// A router is caught up while none of its sampled observations is older than this.
    #[serde(rename = "follows_ms")]
    pub caught_up_within_ms: u64,
    /// The sessions of each router use one in this many databases; it probes those itself while it is
    /// isolated.
    pub uses_one_in: usize,
    /// Statements per second of each router, spread over all groups in turn. A statement reads the
    /// observations of its group from the subscriber.
    pub statements: f64,
    /// Databases in a group.
    pub group: usize,
    /// Runs nothing but the control side, for a process whose processor time is measured: routers are sampled
    /// only on commands instead of four times a second, and do not probe while isolated. That work does not
    /// show among hundreds of routers, but does in a process of one.
    #[serde(rename = "bare")]
    pub control_only: bool,
    /// Seed of the routers' random choices.
    pub seed: u64,
}

/// A command to a stand-in process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum StandInCommand {
    /// Reset the counters that are reported since the mark.
    Mark,
    /// Report what was counted since the mark, and the sums since the start.
    Count,
    /// To databases: swap the roles of these two.
    Promote {
        /// The database that becomes a primary.
        #[serde(rename = "rises")]
        new_primary: SocketAddr,
        /// The database that becomes a replica.
        #[serde(rename = "falls")]
        old_primary: SocketAddr,
    },
    /// To hollow routers: a database became a primary at this time, in microseconds of Unix time. There is no
    /// report on this command.
    Promoted {
        /// The promoted database.
        node: SocketAddr,
        /// The time of the promotion.
        at_us: u64,
    },
    /// To hollow routers: kill those whose index among all hollow routers is a multiple of `one_in`, and
    /// restart them after `down_ms`.
    Restart {
        /// One router in this many is restarted.
        one_in: usize,
        /// How long these routers are down, in milliseconds.
        down_ms: u64,
    },
    /// To hollow routers: pause those routers for this time.
    Stop {
        /// One router in this many is paused.
        one_in: usize,
        /// How long these routers are paused, in milliseconds.
        ms: u64,
    },
    /// To hollow routers: partition those with even from those with odd last octets for this time.
    #[serde(rename = "cut")]
    Partition {
        /// How long the partition lasts, in milliseconds.
        ms: u64,
    },
}

/// What a process of databases reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DatabasesReport {
    /// Health checks answered.
    pub probes: u64,
    /// Other statements answered.
    pub statements: u64,
    /// Connections accepted.
    pub connections: u64,
    /// The time of the last promotion, in microseconds of Unix time.
    pub promoted_us: u64,
}

/// When the routers of a process learned of a promotion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromotionReport {
    /// The promoted database.
    pub node: SocketAddr,
    /// Routers that learned of it.
    #[serde(rename = "by")]
    pub informed: usize,
    /// Routers that did not.
    pub unknown: usize,
    /// When the last router learned of it, in microseconds of Unix time.
    pub last_us: u64,
    /// The name of that router.
    #[serde(rename = "last_who")]
    pub last_router: String,
}

/// What a process of hollow routers reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowReport {
    /// When the report was made, in microseconds of Unix time.
    pub at_us: u64,
    /// Routers of the process.
    pub routers: usize,
    /// Datagrams sent. This and the sums below are over all routers, with those from before a restart.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub read: u64,
    /// Bytes received.
    pub read_bytes: u64,
    /// Health checks made.
    pub probes: u64,
    /// State of the control side, the mean over the routers.
    pub state_bytes: f64,
    /// Resident memory of the process before it had routers.
    pub base_bytes: u64,
    /// Resident memory of the process now.
    pub resident_bytes: u64,
    /// Routers whose sampled observations are all recent enough, by `caught_up_within_ms` of the plan.
    #[serde(rename = "following")]
    pub caught_up: usize,
    /// When some running router was last seen not to be caught up, in microseconds of Unix time.
    #[serde(rename = "unfollowed_us")]
    pub last_behind_us: u64,
    /// Ages of sampled observations: pairs of microseconds and count. This and all fields below are since the
    /// mark.
    pub ages: Vec<(u64, u64)>,
    /// The same ages, by the routers' side of a partition.
    pub ages_by_side: [Vec<(u64, u64)>; 2],
    /// The most bytes in and out of one router in a quarter of a second.
    pub peak_quarter: u64,
    /// For each quarter of a second, its end in microseconds of Unix time and the bytes in and out of all
    /// routers.
    pub quarters: Vec<(u64, u64)>,
    /// What the routers know of each promotion.
    pub known: Vec<PromotionReport>,
    /// Times from promotions until each router learned of them: pairs of microseconds and count.
    pub known_times: Vec<(u64, u64)>,
}

/// The main function of a stand-in process: reads the plan, then runs with a channel of commands. A thread
/// reads the commands, since reading the input blocks; the channel closes at the end of the input.
pub fn run_stand_in<P: for<'a> Deserialize<'a>>(
    name: &str,
    run: impl FnOnce(P, Receiver<StandInCommand>) -> io::Result<()>,
) -> ExitCode {
    let mut first = String::new();
    let plan = io::stdin().lock().read_line(&mut first).and_then(|_| Ok(serde_json::from_str(&first)?));
    let (sender, receiver) = async_channel::unbounded();
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(command) => _ = sender.try_send(command),
                Err(error) => eprintln!("ignoring an invalid command: {error}: {line}"),
            }
        }
    });
    match plan.and_then(|plan| run(plan, receiver)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes a report.
pub fn write_report(report: &impl Serialize) {
    let mut out = io::stdout().lock();
    // A write fails only if the measuring process has ended; the command channel then closes as well.
    _ = serde_json::to_writer(&mut out, report).map_err(io::Error::from).and_then(|()| out.write_all(b"\n"));
    _ = out.flush();
}
