//! `measure/duties`: three router processes share probing among stand-ins while they are killed, stopped, cut off one
//! way, restarted all at once and told to stop. Prints one JSON line last, and fails where a bound is broken.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use lexopt::prelude::{Long, ValueExt};
use quillpoint_testbed::duties::ROUTERS;
use quillpoint_testbed::duties::bench::{Bench, used};
use quillpoint_testbed::duties::figures::{Figures, Found};
use quillpoint_testbed::duties::gap_plot::plot;
use quillpoint_testbed::duties::rpc_costs::{contrast, first_reads};
use quillpoint_testbed::listing::{DiscoveryServer, Endpoint, endpoint_list_json};
use quillpoint_testbed::load::{LoadGenerator, Outages, RpcResults};
use quillpoint_testbed::now;
use quillpoint_testbed::replica_set::{Node, ReplicaSet};
use quillpoint_testbed::routers::{FleetMode, Routers, RoutersConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value as Json;

/// A fleet has settled by then.
const SETTLED: Duration = Duration::from_millis(1500);

const HELP: &str = "\
Usage: measure/duties [--long] [--seed N] [--record FILE]

  --long          fifty kills, and longer spans between faults
  --seed N        what is drawn by chance: whom to kill, and when (1)
  --record FILE   one JSON line for each phase
  --plot FILE     the longest gap of each second through the kills, as SVG
";

struct Wanted {
    long: bool,
    seed: u64,
    program: PathBuf,
    folder: PathBuf,
    record: Option<PathBuf>,
    plot: Option<PathBuf>,
}

fn wanted() -> Result<Option<Wanted>, lexopt::Error> {
    let mut wanted = Wanted {
        long: false,
        seed: 1,
        program: PathBuf::from("target/release/quillpoint"),
        folder: PathBuf::from("target/measure-duties"),
        record: None,
        plot: None,
    };
    let mut words = lexopt::Parser::from_env();
    while let Some(word) = words.next()? {
        match word {
            Long("long") => wanted.long = true,
            Long("seed") => wanted.seed = words.value()?.parse()?,
            Long("program") => wanted.program = words.value()?.into(),
            Long("folder") => wanted.folder = words.value()?.into(),
            Long("record") => wanted.record = Some(words.value()?.into()),
            Long("plot") => wanted.plot = Some(words.value()?.into()),
            Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    wanted.program = std::fs::canonicalize(&wanted.program).unwrap_or(wanted.program);
    wanted.folder = std::path::absolute(&wanted.folder).unwrap_or(wanted.folder);
    Ok(Some(wanted))
}

fn entries<'a>(busy: &'a ReplicaSet, quiet: &'a ReplicaSet, cold: Option<Duration>) -> Vec<Endpoint<'a>> {
    let entry = |(group, place, node): (u64, usize, &'a Node)| Endpoint {
        node,
        group,
        started: cold.filter(|_| (group, place) == (0, 1)).unwrap_or_default(),
    };
    let busy = busy.nodes.iter().enumerate().map(|(place, node)| (0, place, node));
    let quiet = quiet.nodes.iter().enumerate().map(|(place, node)| (1, place, node));
    busy.chain(quiet).map(entry).collect()
}

fn kill_and_restart(
    routers: &mut Routers,
    outages: &Outages,
    place: usize,
    down: Duration,
) -> std::io::Result<()> {
    outages.begin(place);
    routers.kill(place);
    sleep(down);
    routers.start(place)?;
    outages.end(place);
    Ok(())
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A run: its nodes, the list of them, and what was found so far.
struct Trial<'a> {
    wanted: &'a Wanted,
    chance: ChaCha8Rng,
    bench: Bench,
    listing: DiscoveryServer,
    targets: Json,
    found: Found,
}

/// Routers that share probing, under load.
struct Fleet {
    routers: Routers,
    addresses: Vec<SocketAddr>,
    load: LoadGenerator,
    outages: Arc<Outages>,
}

impl<'a> Trial<'a> {
    fn start(wanted: &'a Wanted) -> std::io::Result<Self> {
        let busy = ReplicaSet::start(&[ms(20), ms(20), ms(5000)])?;
        let quiet = ReplicaSet::start(&[ms(20), ms(20)])?;
        let targets = endpoint_list_json(&entries(&busy, &quiet, None));
        let listing = DiscoveryServer::start(targets.clone())?;
        let chance = ChaCha8Rng::seed_from_u64(wanted.seed);
        let bench = Bench { busy, quiet, phases: Vec::new() };
        Ok(Self { wanted, chance, bench, listing, targets, found: Found::default() })
    }

    /// Starts routers and their load, and lets them settle.
    fn fleet(&self, fleet_mode: FleetMode) -> std::io::Result<Fleet> {
        let setting = RoutersConfig {
            program: &self.wanted.program,
            directory: &self.wanted.folder,
            discovery: &self.listing,
            endpoints: &self.targets,
            fleet_mode,
            seed: self.wanted.seed,
            extra_directives: "",
        };
        let mut routers = Routers::new(ROUTERS, &setting)?;
        routers.start_all()?;
        let addresses: Vec<_> = routers.all.iter().map(|router| router.address).collect();
        let load = LoadGenerator::start(&addresses, 8, ms(100));
        let outages = Arc::clone(&load.outages);
        sleep(SETTLED);
        Ok(Fleet { routers, addresses, load, outages })
    }

    /// How long a span lasts, in milliseconds: in a short run, and in a long one.
    fn span(&self, short: u64, long: u64) -> Duration {
        ms(if self.wanted.long { long } else { short })
    }

    fn calm(&mut self, name: &'static str, routers: &Routers) {
        let (from, before) = (now(), used(routers));
        sleep(self.span(3000, 30_000));
        self.bench.phase(name, from, routers, &before);
    }

    /// Routers die and return, one at a time.
    fn kills(&mut self, fleet: &mut Fleet) -> std::io::Result<()> {
        self.found.kills = if self.wanted.long { 50 } else { 8 };
        let (from, before) = (now(), used(&fleet.routers));
        let mut killed: Vec<Duration> = Vec::new();
        for _ in 0..self.found.kills {
            let (place, at) = (self.chance.random_range(0..ROUTERS), now());
            killed.push(at);
            let down = ms(self.chance.random_range(50..600));
            kill_and_restart(&mut fleet.routers, &fleet.outages, place, down)?;
            sleep(ms(self.chance.random_range(300..900)));
            // What the killed one owned must have been probed again by others: no gap that begins around the kill.
            let gaps = self.bench.quiet.nodes.iter().map(|node| node.longest_contact_gap(at, now()));
            let longest = gaps.max().unwrap_or_default().as_secs_f64();
            self.found.take_over_max_s = self.found.take_over_max_s.max(longest);
        }
        self.bench.phase("kills", from, &fleet.routers, &before);
        if let Some(path) = &self.wanted.plot {
            plot(path, &self.bench, from, &killed).map_err(std::io::Error::other)?;
        }
        sleep(SETTLED);
        Ok(())
    }

    /// A router stands still for longer than its peers wait for it.
    fn stop_and_continue(&mut self, fleet: &Fleet) {
        let (from, before) = (now(), used(&fleet.routers));
        fleet.outages.begin(1);
        fleet.routers.signal(1, "-STOP");
        sleep(ms(3000));
        fleet.routers.signal(1, "-CONT");
        sleep(ms(700));
        fleet.outages.end(1);
        sleep(ms(500));
        self.bench.phase("stop and continue", from, &fleet.routers, &before);
        let lines = fleet.routers.log_lines(1);
        self.found.noticed_pause = lines.iter().any(|line| line.contains("\"fleet_process_paused\""));
        sleep(SETTLED);
    }

    /// All datagrams from one router to another are lost.
    fn lose_one_way(&mut self, fleet: &Fleet) {
        let from = now();
        let before = used(&fleet.routers);
        let dead = deaths(&fleet.routers);
        fleet.routers.set_loss(0, 2, 1.0);
        sleep(self.span(3000, 20_000));
        self.found.false_deaths = deaths(&fleet.routers) - dead;
        self.bench.phase("one way lost", from, &fleet.routers, &before);
        fleet.routers.clear_losses();
    }

    /// A node is listed as just started: what reaches it in its first second or so, against its warm sister.
    fn cold_node(&mut self) {
        let from = now();
        self.listing.set_endpoints(endpoint_list_json(&entries(
            &self.bench.busy,
            &self.bench.quiet,
            Some(from),
        )));
        sleep(ms(1500));
        let (cold, warm) = (&self.bench.busy.nodes[1], &self.bench.busy.nodes[2]);
        self.found.cold_part =
            cold.rpcs_between(from, now()) as f64 / warm.rpcs_between(from, now()).max(1) as f64;
    }

    /// A router is told to stop, and started again.
    fn planned_leave(&mut self, fleet: &mut Fleet) -> std::io::Result<()> {
        let (from, before) = (now(), used(&fleet.routers));
        fleet.outages.begin(0);
        fleet.routers.signal(0, "-TERM");
        self.found.drained = fleet.routers.wait_for_exit(0);
        fleet.routers.start(0)?;
        fleet.outages.end(0);
        self.bench.phase("planned leave", from, &fleet.routers, &before);
        Ok(())
    }

    fn restart_all(&mut self, fleet: &mut Fleet) -> std::io::Result<()> {
        (0..ROUTERS).for_each(|place| fleet.outages.begin(place));
        (0..ROUTERS).for_each(|place| fleet.routers.kill(place));
        let from = now();
        fleet.routers.start_all()?;
        (0..ROUTERS).for_each(|place| fleet.outages.end(place));
        sleep(SETTLED);
        self.bench.phase("all restarted", from, &fleet.routers, &[Duration::ZERO; ROUTERS]);
        Ok(())
    }

    /// What sharing changes for RPCs, which takes long.
    fn rpc_costs(
        &mut self,
        name: &'static str,
        routers: &mut Routers,
        addresses: &[SocketAddr],
    ) -> std::io::Result<()> {
        self.found.contrasts.push(contrast(name, &self.bench.busy, addresses, 40));
        self.found.firsts.push(first_reads(name, &self.bench.busy, routers, 20)?);
        Ok(())
    }

    /// All phases of routers that share probing. Returns what became of the RPCs.
    fn shared(&mut self) -> std::io::Result<Arc<RpcResults>> {
        let mut fleet = self.fleet(FleetMode::Shared)?;
        let begun = now();
        self.calm("shared", &fleet.routers);
        self.kills(&mut fleet)?;
        self.stop_and_continue(&fleet);
        self.lose_one_way(&fleet);
        self.cold_node();
        self.planned_leave(&mut fleet)?;
        self.found.gap_max_s = self.bench.gap(begun, now());
        self.restart_all(&mut fleet)?;
        let tally = fleet.load.finish();
        if self.wanted.long {
            self.rpc_costs("shared", &mut fleet.routers, &fleet.addresses)?;
        }
        Ok(tally)
    }

    /// Routers that each probe for themselves, or not at all but for their RPCs.
    fn unshared(&mut self, bond: FleetMode, name: &'static str) -> std::io::Result<()> {
        let mut fleet = self.fleet(bond)?;
        self.calm(name, &fleet.routers);
        fleet.load.finish();
        if self.wanted.long && bond == FleetMode::Disabled {
            self.rpc_costs(name, &mut fleet.routers, &fleet.addresses)?;
        }
        Ok(())
    }

    fn write(&self, mut file: std::fs::File, figures: &Figures) -> std::io::Result<()> {
        for phase in &self.bench.phases {
            writeln!(file, "{}", serde_json::to_string(phase)?)?;
        }
        for first in &self.found.firsts {
            writeln!(file, "{}", serde_json::to_string(first)?)?;
        }
        for contrast in &self.found.contrasts {
            writeln!(file, "{}", serde_json::to_string(contrast)?)?;
        }
        writeln!(file, "{}", serde_json::to_string(figures)?)
    }
}

fn deaths(routers: &Routers) -> usize {
    let dead = |line: &&String| line.contains("\"fleet_peer\"") && line.contains("\"state\":\"Dead\"");
    (0..ROUTERS).map(|place| routers.log_lines(place).iter().filter(dead).count()).sum::<usize>()
}

fn measure(wanted: &Wanted) -> std::io::Result<Figures> {
    let mut trial = Trial::start(wanted)?;
    let tally = trial.shared()?;
    trial.unshared(FleetMode::Separate, "alone")?;
    trial.unshared(FleetMode::Disabled, "off")?;
    let mut figures = Figures::new(&trial.bench, &trial.found, &tally, wanted.seed);
    for first in &trial.found.firsts {
        println!("{}", serde_json::to_string(first)?);
    }
    for contrast in &trial.found.contrasts {
        println!("{}", serde_json::to_string(contrast)?);
    }
    figures.broken = figures.broken(&trial.bench, &trial.found);
    if let Some(path) = &wanted.record {
        trial.write(std::fs::File::create(path)?, &figures)?;
    }
    Ok(figures)
}

fn main() -> ExitCode {
    let wanted = match wanted() {
        Ok(Some(wanted)) => wanted,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("measure-duties: {error}");
            return ExitCode::from(2);
        }
    };
    match measure(&wanted) {
        Ok(figures) => {
            figures.broken.iter().for_each(|bound| eprintln!("broken: {bound}"));
            println!("{}", serde_json::to_string(&figures).expect("plain figures"));
            if figures.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("measure-duties: {error}");
            ExitCode::FAILURE
        }
    }
}
