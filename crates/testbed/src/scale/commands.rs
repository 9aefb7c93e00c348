//! What the command says to its stand-in processes, and what these report: JSON, one object a line.

use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use async_channel::Receiver;
use serde::{Deserialize, Serialize};

/// The first line to a process of stand-in databases.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DatabasesPlan {
    pub addresses: Vec<SocketAddr>,
    /// Those that begin as primaries.
    pub primaries: Vec<SocketAddr>,
    /// How far behind replicas are, in milliseconds.
    pub lag_ms: u64,
}

/// One hollow router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowRouterPlan {
    pub name: String,
    pub listen: SocketAddr,
}

/// The first line to a process of hollow routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// The files of a real router of this run, of which these differ by name and address alone.
    pub platform: PathBuf,
    pub conf: PathBuf,
    pub routers: Vec<HollowRouterPlan>,
    /// So many hollow routers are in the processes before this one.
    #[serde(rename = "before")]
    pub first_index: usize,
    pub databases: Vec<SocketAddr>,
    /// Databases that may become primaries, and about which it is noted when each router heard.
    #[serde(rename = "movers")]
    pub promotable: Vec<SocketAddr>,
    /// So many databases a router are looked at for the age of what it knows.
    pub sampled: usize,
    /// A router follows while nothing that it is looked at for is known to be older.
    #[serde(rename = "follows_ms")]
    pub caught_up_within_ms: u64,
    /// Each router's sessions use one in so many databases: those are what it probes when nobody tells of them.
    pub uses_one_in: usize,
    /// Statements a second of each router, to all groups of so many databases in turn: what is told of a group is handed
    /// on where a statement comes for it.
    pub statements: f64,
    pub group: usize,
    /// Nothing but control sides runs, as its processor time is counted: the routers are looked at with orders alone, and
    /// not four times a second, and ask for nothing while alone. Among hundreds neither shows, of one alone it does.
    #[serde(rename = "bare")]
    pub control_only: bool,
    pub seed: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum StandInCommand {
    /// Counting begins anew.
    Mark,
    /// Report what was counted since the mark, and all sums since the start.
    Count,
    /// To databases: this one is a primary from now on, and that one is not.
    Promote {
        #[serde(rename = "rises")]
        new_primary: SocketAddr,
        #[serde(rename = "falls")]
        old_primary: SocketAddr,
    },
    /// To hollow routers: this database became a primary then, in microseconds of Unix time. It is not reported on.
    Promoted { node: SocketAddr, at_us: u64 },
    /// Each router whose place among all hollow ones leaves no rest goes down at once, and starts anew after this
    /// time.
    Restart { one_in: usize, down_ms: u64 },
    /// Each such router stands still for this time.
    Stop { one_in: usize, ms: u64 },
    /// Routers of even and odd last octets do not reach each other for this time.
    #[serde(rename = "cut")]
    Partition { ms: u64 },
}

/// What a process of databases reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DatabasesReport {
    pub probes: u64,
    pub statements: u64,
    pub connections: u64,
    /// When the last promotion was made, in microseconds of Unix time.
    pub promoted_us: u64,
}

/// When a promotion was known.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromotionReport {
    pub node: SocketAddr,
    /// The routers that know, and those that do not.
    #[serde(rename = "by")]
    pub informed: usize,
    pub unknown: usize,
    pub last_us: u64,
    #[serde(rename = "last_who")]
    pub last_router: String,
}

/// What a process of hollow routers reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowReport {
    pub at_us: u64,
    pub routers: usize,
    /// Sums over all routers, those before a restart included.
    pub sent: u64,
    pub sent_bytes: u64,
    pub read: u64,
    pub read_bytes: u64,
    pub probes: u64,
    /// The mean of the routers.
    pub state_bytes: f64,
    /// Resident memory of the process before there were routers, and now.
    pub base_bytes: u64,
    pub resident_bytes: u64,
    /// Routers that know of all their sampled databases, nothing older than the plan says.
    #[serde(rename = "following")]
    pub caught_up: usize,
    /// When some router that runs was last seen not to follow.
    #[serde(rename = "unfollowed_us")]
    pub last_behind_us: u64,
    /// Of what the routers know: age in microseconds, and how often it was seen. Since the mark, as all below.
    pub ages: Vec<(u64, u64)>,
    /// Of these, those of the routers on each side of a cut.
    pub ages_by_side: [Vec<(u64, u64)>; 2],
    /// Bytes in and out, the most of a router in a quarter of a second.
    pub peak_quarter: u64,
    /// Each quarter of a second: when it ended, and the bytes in and out of all routers.
    pub quarters: Vec<(u64, u64)>,
    pub known: Vec<PromotionReport>,
    /// Times until promotions were known, over routers and promotions: microseconds, and how often.
    pub known_times: Vec<(u64, u64)>,
}

/// Reads the plan, then has orders come in on a channel until the input ends, on a thread of its own, as reading
/// waits. A process that nobody orders any more ends.
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
                Err(error) => eprintln!("no order: {error}: {line}"),
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
    // Nobody reads any more: the orders end as well.
    _ = serde_json::to_writer(&mut out, report).map_err(io::Error::from).and_then(|()| out.write_all(b"\n"));
    _ = out.flush();
}
