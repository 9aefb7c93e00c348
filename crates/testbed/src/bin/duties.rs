//! `measure/duties`: three router processes share health checks among stand-ins while they are killed,
//! paused, cut off in one direction, all restarted at once, and terminated. Prints one JSON line at the end,
//! and fails if a bound is broken.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use lexopt::prelude::{Long, ValueExt};
use quillpoint_testbed::duties::ROUTERS;
use quillpoint_testbed::duties::bench::{Bench, cpu_used};
use quillpoint_testbed::duties::figures::{Figures, Findings};
use quillpoint_testbed::duties::gap_plot::plot;
use quillpoint_testbed::duties::rpc_costs::{measure_first_reads, measure_rpc_costs};
use quillpoint_testbed::listing::{DiscoveryServer, Endpoint, endpoint_list_json};
use quillpoint_testbed::load::{LoadGenerator, Outages, RpcResults};
use quillpoint_testbed::now;
use quillpoint_testbed::replica_set::{Node, ReplicaSet};
use quillpoint_testbed::routers::{FleetMode, Routers, RoutersConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value as Json;

/// How long a fleet takes to settle.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

const HELP: &str = "\
Usage: measure/duties [--long] [--seed N] [--record FILE]

  --long          fifty kills and longer phases
  --seed N        seed of random choices: which router to kill, and when (1)
  --record FILE   write one JSON line per phase to this file
  --plot FILE     plot the longest gap of each second during the kills, as SVG
";

struct Options {
    long: bool,
    seed: u64,
    program: PathBuf,
    folder: PathBuf,
    record: Option<PathBuf>,
    plot: Option<PathBuf>,
}

fn options() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        long: false,
        seed: 1,
        program: PathBuf::from("target/release/quillpoint"),
        folder: PathBuf::from("target/measure-duties"),
        record: None,
        plot: None,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(option) = parser.next()? {
        match option {
            Long("long") => options.long = true,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("program") => options.program = parser.value()?.into(),
            Long("folder") => options.folder = parser.value()?.into(),
            Long("record") => options.record = Some(parser.value()?.into()),
            Long("plot") => options.plot = Some(parser.value()?.into()),
            Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    options.program = std::fs::canonicalize(&options.program).unwrap_or(options.program);
    options.folder = std::path::absolute(&options.folder).unwrap_or(options.folder);
    Ok(Some(options))
}

fn entries<'a>(busy: &'a ReplicaSet, quiet: &'a ReplicaSet, cold: Option<Duration>) -> Vec<Endpoint<'a>> {
    let entry = |(group, index, node): (u64, usize, &'a Node)| Endpoint {
        node,
        group,
        started: cold.filter(|_| (group, index) == (0, 1)).unwrap_or_default(),
    };
    let busy = busy.nodes.iter().enumerate().map(|(index, node)| (0, index, node));
    let quiet = quiet.nodes.iter().enumerate().map(|(index, node)| (1, index, node));
    busy.chain(quiet).map(entry).collect()
}

fn kill_and_restart(
    routers: &mut Routers,
    outages: &Outages,
    index: usize,
    down: Duration,
) -> std::io::Result<()> {
    outages.begin(index);
    routers.kill(index);
    sleep(down);
    routers.start(index)?;
    outages.end(index);
    Ok(())
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A run: its nodes, its endpoint list, and its results so far.
struct Trial<'a> {
    options: &'a Options,
    rng: ChaCha8Rng,
    bench: Bench,
    listing: DiscoveryServer,
    targets: Json,
    findings: Findings,
}

/// Running routers, under load.
struct Fleet {
    routers: Routers,
    addresses: Vec<SocketAddr>,
    load: LoadGenerator,
    outages: Arc<Outages>,
}

impl<'a> Trial<'a> {
    fn start(options: &'a Options) -> std::io::Result<Self> {
        let busy = ReplicaSet::start(&[ms(20), ms(20), ms(5000)])?;
        let quiet = ReplicaSet::start(&[ms(20), ms(20)])?;
        let targets = endpoint_list_json(&entries(&busy, &quiet, None));
        let listing = DiscoveryServer::start(targets.clone())?;
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        let bench = Bench { busy, quiet, phases: Vec::new() };
        Ok(Self { options, rng, bench, listing, targets, findings: Findings::default() })
    }

    /// Starts routers and their load, and waits until they have settled.
    fn fleet(&self, fleet_mode: FleetMode) -> std::io::Result<Fleet> {
        let setting = RoutersConfig {
            program: &self.options.program,
            directory: &self.options.folder,
            discovery: &self.listing,
            endpoints: &self.targets,
            fleet_mode,
            seed: self.options.seed,
            extra_directives: "",
        };
        let mut routers = Routers::new(ROUTERS, &setting)?;
        routers.start_all()?;
        let addresses: Vec<_> = routers.all.iter().map(|router| router.address).collect();
        let load = LoadGenerator::start(&addresses, 8, ms(100));
        let outages = Arc::clone(&load.outages);
        sleep(SETTLE_TIME);
        Ok(Fleet { routers, addresses, load, outages })
    }

    /// The duration of a phase, from milliseconds in a short and in a long run.
    fn span(&self, short: u64, long: u64) -> Duration {
        ms(if self.options.long { long } else { short })
    }

    fn calm(&mut self, name: &'static str, routers: &Routers) {
        let (from, before) = (now(), cpu_used(routers));
        sleep(self.span(3000, 30_000));
        self.bench.phase(name, from, routers, &before);
    }

    /// Kills and restarts routers, one at a time.
    fn kills(&mut self, fleet: &mut Fleet) -> std::io::Result<()> {
        self.findings.kills = if self.options.long { 50 } else { 8 };
        let (from, before) = (now(), cpu_used(&fleet.routers));
        let mut killed: Vec<Duration> = Vec::new();
        for _ in 0..self.findings.kills {
            let (index, at) = (self.rng.random_range(0..ROUTERS), now());
            killed.push(at);
            let down = ms(self.rng.random_range(50..600));
            kill_and_restart(&mut fleet.routers, &fleet.outages, index, down)?;
            sleep(ms(self.rng.random_range(300..900)));
            // Other routers must have taken over the health checks of the killed one: no long gap around the
            // kill.
            let gaps = self.bench.quiet.nodes.iter().map(|node| node.longest_contact_gap(at, now()));
            let longest = gaps.max().unwrap_or_default().as_secs_f64();
            self.findings.take_over_max_s = self.findings.take_over_max_s.max(longest);
        }
        self.bench.phase("kills", from, &fleet.routers, &before);
        if let Some(path) = &self.options.plot {
            plot(path, &self.bench, from, &killed).map_err(std::io::Error::other)?;
        }
        sleep(SETTLE_TIME);
        Ok(())
    }

    /// Pauses a router for longer than its peers wait for its heartbeats.
    fn stop_and_continue(&mut self, fleet: &Fleet) {
        let (from, before) = (now(), cpu_used(&fleet.routers));
        fleet.outages.begin(1);
        fleet.routers.signal(1, "-STOP");
        sleep(ms(3000));
        fleet.routers.signal(1, "-CONT");
        sleep(ms(700));
        fleet.outages.end(1);
        sleep(ms(500));
        self.bench.phase("stop and continue", from, &fleet.routers, &before);
        let lines = fleet.routers.log_lines(1);
        self.findings.logged_pause = lines.iter().any(|line| line.contains("\"fleet_process_paused\""));
        sleep(SETTLE_TIME);
    }

    /// Loses all datagrams from one router to another, in one direction only.
    fn lose_one_way(&mut self, fleet: &Fleet) {
        let from = now();
        let before = cpu_used(&fleet.routers);
        let dead = deaths(&fleet.routers);
        fleet.routers.set_loss(0, 2, 1.0);
        sleep(self.span(3000, 20_000));
        self.findings.false_deaths = deaths(&fleet.routers) - dead;
        self.bench.phase("one way lost", from, &fleet.routers, &before);
        fleet.routers.clear_losses();
    }

    /// Lists a node as just started, and compares the RPCs that reach it in its first second or so with those
    /// of a warm node of its group.
    fn cold_node(&mut self) {
        let from = now();
        self.listing.set_endpoints(endpoint_list_json(&entries(
            &self.bench.busy,
            &self.bench.quiet,
            Some(from),
        )));
        sleep(ms(1500));
        let (cold, warm) = (&self.bench.busy.nodes[1], &self.bench.busy.nodes[2]);
        self.findings.cold_part =
            cold.rpcs_between(from, now()) as f64 / warm.rpcs_between(from, now()).max(1) as f64;
    }

    /// Terminates a router by SIGTERM and restarts it.
    fn planned_leave(&mut self, fleet: &mut Fleet) -> std::io::Result<()> {
        let (from, before) = (now(), cpu_used(&fleet.routers));
        fleet.outages.begin(0);
        fleet.routers.signal(0, "-TERM");
        self.findings.drained = fleet.routers.wait_for_exit(0);
        fleet.routers.start(0)?;
        fleet.outages.end(0);
        self.bench.phase("planned leave", from, &fleet.routers, &before);
        Ok(())
    }

    fn restart_all(&mut self, fleet: &mut Fleet) -> std::io::Result<()> {
        (0..ROUTERS).for_each(|index| fleet.outages.begin(index));
        (0..ROUTERS).for_each(|index| fleet.routers.kill(index));
        let from = now();
        fleet.routers.start_all()?;
        (0..ROUTERS).for_each(|index| fleet.outages.end(index));
        sleep(SETTLE_TIME);
        self.bench.phase("all restarted", from, &fleet.routers, &[Duration::ZERO; ROUTERS]);
        Ok(())
    }

    /// Measures what sharing health checks changes for RPCs, which takes long.
    fn rpc_costs(
        &mut self,
        name: &'static str,
        routers: &mut Routers,
        addresses: &[SocketAddr],
    ) -> std::io::Result<()> {
        self.findings.rpc_costs.push(measure_rpc_costs(name, &self.bench.busy, addresses, 40));
        self.findings.first_reads.push(measure_first_reads(name, &self.bench.busy, routers, 20)?);
        Ok(())
    }

    /// Runs all phases with routers that share health checks. Returns the results of the RPCs.
    fn shared(&mut self) -> std::io::Result<Arc<RpcResults>> {
        let mut fleet = self.fleet(FleetMode::Shared)?;
        let begun = now();
        self.calm("shared", &fleet.routers);
        self.kills(&mut fleet)?;
        self.stop_and_continue(&fleet);
        self.lose_one_way(&fleet);
        self.cold_node();
        self.planned_leave(&mut fleet)?;
        self.findings.gap_max_s = self.bench.gap(begun, now());
        self.restart_all(&mut fleet)?;
        let tally = fleet.load.finish();
        if self.options.long {
            self.rpc_costs("shared", &mut fleet.routers, &fleet.addresses)?;
        }
        Ok(tally)
    }

    /// Runs a phase with routers that make health checks each by itself, or none but for their RPCs.
    fn unshared(&mut self, bond: FleetMode, name: &'static str) -> std::io::Result<()> {
        let mut fleet = self.fleet(bond)?;
        self.calm(name, &fleet.routers);
        fleet.load.finish();
        if self.options.long && bond == FleetMode::Disabled {
            self.rpc_costs(name, &mut fleet.routers, &fleet.addresses)?;
        }
        Ok(())
    }

    fn write(&self, mut file: std::fs::File, figures: &Figures) -> std::io::Result<()> {
        for phase in &self.bench.phases {
            writeln!(file, "{}", serde_json::to_string(phase)?)?;
        }
        for first in &self.findings.first_reads {
            writeln!(file, "{}", serde_json::to_string(first)?)?;
        }
        for costs in &self.findings.rpc_costs {
            writeln!(file, "{}", serde_json::to_string(costs)?)?;
        }
        writeln!(file, "{}", serde_json::to_string(figures)?)
    }
}

fn deaths(routers: &Routers) -> usize {
    let dead = |line: &&String| line.contains("\"fleet_peer\"") && line.contains("\"state\":\"Dead\"");
    (0..ROUTERS).map(|index| routers.log_lines(index).iter().filter(dead).count()).sum::<usize>()
}

fn measure(options: &Options) -> std::io::Result<Figures> {
    let mut trial = Trial::start(options)?;
    let tally = trial.shared()?;
    trial.unshared(FleetMode::Separate, "alone")?;
    trial.unshared(FleetMode::Disabled, "off")?;
    let mut figures = Figures::new(&trial.bench, &trial.findings, &tally, options.seed);
    for first in &trial.findings.first_reads {
        println!("{}", serde_json::to_string(first)?);
    }
    for costs in &trial.findings.rpc_costs {
        println!("{}", serde_json::to_string(costs)?);
    }
    figures.broken = figures.broken(&trial.bench, &trial.findings);
    if let Some(path) = &options.record {
        trial.write(std::fs::File::create(path)?, &figures)?;
    }
    Ok(figures)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("measure-duties: {error}");
            return ExitCode::from(2);
        }
    };
    match measure(&options) {
        Ok(figures) => {
            figures.broken.iter().for_each(|bound| eprintln!("broken: {bound}"));
            println!(
                "{}",
                serde_json::to_string(&figures).expect("figures without maps or errors serialize")
            );
            if figures.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("measure-duties: {error}");
            ExitCode::FAILURE
        }
    }
}
