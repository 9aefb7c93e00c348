//! `measure/duties`: three router processes share probing among stand-ins while they are killed, stopped, cut off one
//! way, restarted all at once and told to stop. Prints one JSON line last, and fails where a bound is broken.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use hdrhistogram::Histogram;
use lexopt::prelude::{Long, ValueExt};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use quillpoint_testbed::listing::{Entry, Listing, targets};
use quillpoint_testbed::load::{Load, Outages};
use quillpoint_testbed::now;
use quillpoint_testbed::routers::{Bond, Routers, Setting};
use quillpoint_testbed::store::{Node, Store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const ROUTERS: usize = 3;
/// The bounds of a run.
const LONGEST_GAP: f64 = 2.0;
/// Shared probing costs at most this part of what three routers alone cost together.
const SHARED_PART: f64 = 0.5;
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

/// What a phase has shown.
#[derive(Default, Serialize)]
struct Phase {
    phase: &'static str,
    seconds: f64,
    /// The longest time in which nothing told any router of a node, over all nodes, and quantiles of such times.
    gap_max_s: f64,
    gap_p99_s: f64,
    gap_p50_s: f64,
    /// Probes a second of a node that gets no RPCs, in the mean and at the most.
    probes_per_quiet_node_s: f64,
    probes_per_node_s_max: f64,
    /// Processor time a second, and resident memory, of the mean router.
    cpu_part: f64,
    resident_mb: f64,
}

/// What sharing changes for RPCs: routers that are hardly asked anything, and a primary that goes.
#[derive(Serialize)]
struct Contrast {
    contrast: &'static str,
    /// Bounded reads, one in 0.7 s at each router: their times, and the probes they cause.
    sparse_p50_ms: f64,
    sparse_p99_ms: f64,
    sparse_max_ms: f64,
    sparse_ok: u64,
    sparse_pushed_back: u64,
    sparse_probes_per_rpc: f64,
    /// Probes of its group in the second after the primary broke, under the usual load.
    failover_probes: usize,
}

fn contrast(name: &'static str, busy: &Store, addresses: &[std::net::SocketAddr], seconds: u64) -> Contrast {
    let load = Load::of(addresses, 1, Duration::from_millis(700), &["recent"]);
    let from = now();
    sleep(Duration::from_secs(seconds));
    let tally = load.end();
    let probes: usize = busy.nodes.iter().map(|node| node.probes(from)).sum();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    tally.times.lock().map(|all| all.iter().for_each(|time| note(&mut times, *time))).unwrap_or_default();
    let load = Load::start(addresses, 8, Duration::from_millis(100));
    sleep(SETTLED);
    let (primary, from) = (&busy.nodes[0], now());
    primary.set_up(false);
    sleep(Duration::from_secs(1));
    let failover_probes = busy.nodes.iter().map(|node| node.probes(from)).sum();
    primary.set_up(true);
    load.end();
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    Contrast {
        contrast: name,
        sparse_p50_ms: ms(0.5),
        sparse_p99_ms: ms(0.99),
        sparse_max_ms: times.max() as f64 / 1000.0,
        sparse_ok: tally.ok.load(std::sync::atomic::Ordering::SeqCst),
        sparse_pushed_back: tally.pushed_back.load(std::sync::atomic::Ordering::SeqCst),
        sparse_probes_per_rpc: probes as f64 / tally.rpcs().max(1) as f64,
        failover_probes,
    }
}

/// The first bounded read of a router that has just started, where a probe takes 30 ms: its times over many starts.
#[derive(Serialize)]
struct FirstReads {
    first_reads: &'static str,
    starts: usize,
    p50_ms: f64,
    max_ms: f64,
    ok: u64,
}

const SLOW_PROBE: Duration = Duration::from_millis(30);

fn first_reads(
    name: &'static str,
    busy: &Store,
    routers: &mut Routers,
    starts: usize,
) -> std::io::Result<FirstReads> {
    busy.nodes.iter().for_each(|node| node.slow_probes(SLOW_PROBE));
    let address = [routers.all[0].address];
    let (mut times, mut ok) = (Vec::new(), 0);
    for _ in 0..starts {
        routers.kill(0);
        routers.start(0)?;
        // A front sends clients once a router answers, and some time later: it has heard from its peers by then.
        sleep(Duration::from_millis(300));
        let load = Load::of(&address, 1, Duration::from_millis(400), &["recent"]);
        sleep(Duration::from_millis(200));
        let tally = load.end();
        ok += tally.ok.load(std::sync::atomic::Ordering::SeqCst);
        times.extend(tally.times.lock().map(|times| times.first().copied()).unwrap_or_default());
    }
    busy.nodes.iter().for_each(|node| node.slow_probes(Duration::ZERO));
    times.sort_unstable();
    let ms = |time: Option<&u64>| time.copied().unwrap_or_default() as f64 / 1000.0;
    let (p50_ms, max_ms) = (ms(times.get(times.len() / 2)), ms(times.last()));
    Ok(FirstReads { first_reads: name, starts, p50_ms, max_ms, ok })
}

/// The last line.
#[derive(Serialize)]
struct Figures {
    probe_gap_max_s: f64,
    probes_per_node_s_shared: f64,
    probes_per_node_s_alone: f64,
    probes_per_node_s_off: f64,
    take_over_max_s: f64,
    kills: usize,
    rpcs: u64,
    ok: u64,
    pushed_back: u64,
    aborted: u64,
    cut: u64,
    lost: u64,
    doubled: u64,
    stale: u64,
    entered_missing: usize,
    refused_but_ran: usize,
    cold_part: f64,
    false_deaths: usize,
    p50_ms: f64,
    p99_ms: f64,
    seed: u64,
    broken: Vec<String>,
}

struct Bench {
    busy: Store,
    quiet: Store,
    phases: Vec<Phase>,
}

impl Bench {
    fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.busy.nodes.iter().chain(&self.quiet.nodes)
    }

    fn gap(&self, from: Duration, to: Duration) -> f64 {
        self.nodes().map(|node| node.longest_gap(from, to)).max().unwrap_or_default().as_secs_f64()
    }

    /// Enters what has been seen since then.
    fn phase(&mut self, name: &'static str, from: Duration, routers: &Routers, used: &[Duration]) {
        let (to, seconds) = (now(), (now() - from).as_secs_f64());
        let mut times = Histogram::<u64>::new(3).expect("three digits");
        for gap in self.nodes().flat_map(|node| node.gaps(from, to)) {
            note(&mut times, gap.as_micros() as u64);
        }
        let rate = |node: &Node| node.probes(from) as f64 / seconds;
        let quiet = self.quiet.nodes.iter().map(rate).sum::<f64>() / self.quiet.nodes.len() as f64;
        let usage: Vec<_> =
            (0..ROUTERS).filter_map(|place| routers.usage(place).map(|usage| (place, usage))).collect();
        let cpu: f64 =
            usage.iter().map(|(place, (_, time))| time.saturating_sub(used[*place]).as_secs_f64()).sum();
        let resident: f64 = usage.iter().map(|(_, (bytes, _))| *bytes as f64).sum();
        let count = usage.len().max(1) as f64;
        let phase = Phase {
            phase: name,
            seconds,
            gap_max_s: self.gap(from, to),
            gap_p99_s: times.value_at_quantile(0.99) as f64 / 1e6,
            gap_p50_s: times.value_at_quantile(0.5) as f64 / 1e6,
            probes_per_quiet_node_s: quiet,
            probes_per_node_s_max: self.nodes().map(rate).fold(0.0, f64::max),
            cpu_part: cpu / count / seconds,
            resident_mb: resident / count / 1e6,
        };
        println!(
            "{name:>20}: {seconds:5.1} s, longest gap {:.3} s, {:.2} probes a second of a quiet node, {:.1}% of a core, {:.1} MB",
            phase.gap_max_s,
            phase.probes_per_quiet_node_s,
            phase.cpu_part * 100.0,
            phase.resident_mb
        );
        self.phases.push(phase);
    }

    fn last(&self, name: &str) -> &Phase {
        self.phases.iter().rfind(|phase| phase.phase == name).expect("each phase is played")
    }
}

fn used(routers: &Routers) -> Vec<Duration> {
    (0..ROUTERS).map(|place| routers.usage(place).map_or(Duration::ZERO, |(_, time)| time)).collect()
}

fn entries<'a>(busy: &'a Store, quiet: &'a Store, cold: Option<Duration>) -> Vec<Entry<'a>> {
    let entry = |(group, place, node): (u64, usize, &'a Node)| Entry {
        node,
        group,
        started: cold.filter(|_| (group, place) == (0, 1)).unwrap_or_default(),
    };
    let busy = busy.nodes.iter().enumerate().map(|(place, node)| (0, place, node));
    let quiet = quiet.nodes.iter().enumerate().map(|(place, node)| (1, place, node));
    busy.chain(quiet).map(entry).collect()
}

/// A plot that cannot be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{}: expected to write a plot, {error}", path.display())]
struct PlotError {
    path: PathBuf,
    error: DrawingAreaErrorKind<std::io::Error>,
}

/// The longest time that ended in each second in which nothing told any router of some node, and when kills were.
fn plot(
    path: &std::path::Path,
    bench: &Bench,
    from: Duration,
    kills: &[Duration],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let seconds = (now() - from).as_secs() as usize;
    let mut longest = vec![0.0_f64; seconds + 1];
    for node in bench.nodes() {
        let mut at = Duration::ZERO;
        for gap in node.gaps(from, now()) {
            at += gap;
            if let Some(most) = longest.get_mut(at.as_secs() as usize) {
                *most = most.max(gap.as_secs_f64());
            }
        }
    }
    let root = SVGBackend::new(path, (760, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Three routers, one killed again and again: longest gap of any node", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds as f64 + 1.0, 0.0..LONGEST_GAP * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("longest gap, s")
        .light_line_style(BLACK.mix(0.06))
        .draw()?;
    let points = longest.iter().enumerate().map(|(second, gap)| (second as f64 + 0.5, *gap));
    chart
        .draw_series(LineSeries::new(points, BLACK.stroke_width(2)))?
        .label("longest gap")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], BLACK.stroke_width(2)));
    let marks = kills.iter().map(|at| Cross::new(((*at - from).as_secs_f64(), 0.02), 4, BLACK.mix(0.6)));
    chart.draw_series(marks)?.label("a kill").legend(|(x, y)| Cross::new((x + 10, y), 4, BLACK.mix(0.6)));
    let bound = [(0.0, LONGEST_GAP), (seconds as f64 + 1.0, LONGEST_GAP)];
    chart
        .draw_series(DashedLineSeries::new(bound, 6, 4, BLACK.stroke_width(1)))?
        .label("the bound")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 8, y)], BLACK.stroke_width(1)));
    chart.configure_series_labels().background_style(WHITE.mix(0.9)).border_style(BLACK.mix(0.3)).draw()?;
    root.present()?;
    Ok(())
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

fn measure(wanted: &Wanted) -> std::io::Result<Figures> {
    let ms = Duration::from_millis;
    let span = |short: u64, long: u64| ms(if wanted.long { long } else { short });
    let mut chance = ChaCha8Rng::seed_from_u64(wanted.seed);
    let (busy, quiet) = (Store::start(&[ms(20), ms(20), ms(5000)])?, Store::start(&[ms(20), ms(20)])?);
    let list = targets(&entries(&busy, &quiet, None));
    let listing = Listing::start(list.clone())?;
    let mut bench = Bench { busy, quiet, phases: Vec::new() };
    let setting = |bond| Setting {
        program: &wanted.program,
        folder: &wanted.folder,
        listing: &listing,
        targets: &list,
        bond,
        seed: wanted.seed,
        conf: "",
    };

    let mut routers = Routers::new(ROUTERS, &setting(Bond::Fleet))?;
    routers.start_all()?;
    let addresses: Vec<_> = routers.all.iter().map(|router| router.address).collect();
    let load = Load::start(&addresses, 8, ms(100));
    let outages = std::sync::Arc::clone(&load.outages);
    sleep(SETTLED);
    let begun = now();
    let (from, before) = (now(), used(&routers));
    sleep(span(3000, 30_000));
    bench.phase("shared", from, &routers, &before);

    let (kills, from, before) = (if wanted.long { 50 } else { 8 }, now(), used(&routers));
    let (mut take_over, mut killed): (f64, Vec<Duration>) = (0.0, Vec::new());
    for _ in 0..kills {
        let (place, at) = (chance.random_range(0..ROUTERS), now());
        killed.push(at);
        kill_and_restart(&mut routers, &outages, place, ms(chance.random_range(50..600)))?;
        sleep(ms(chance.random_range(300..900)));
        // What the killed one owned must have been probed again by others: no gap that begins around the kill.
        take_over = take_over.max(
            bench
                .quiet
                .nodes
                .iter()
                .map(|node| node.longest_gap(at, now()))
                .max()
                .unwrap_or_default()
                .as_secs_f64(),
        );
    }
    bench.phase("kills", from, &routers, &before);
    if let Some(path) = &wanted.plot {
        let drawn = plot(path, &bench, from, &killed);
        drawn.map_err(|error| std::io::Error::other(PlotError { path: path.clone(), error }))?;
    }
    sleep(SETTLED);

    let (from, before) = (now(), used(&routers));
    outages.begin(1);
    routers.signal(1, "-STOP");
    sleep(ms(3000));
    routers.signal(1, "-CONT");
    sleep(ms(700));
    outages.end(1);
    sleep(ms(500));
    bench.phase("stop and continue", from, &routers, &before);
    let stopped = routers.lines(1).iter().any(|line| line.contains("\"fleet_process_paused\""));

    sleep(SETTLED);
    let deaths = |routers: &Routers| {
        let dead = |line: &&String| line.contains("\"fleet_peer\"") && line.contains("\"state\":\"Dead\"");
        (0..ROUTERS).map(|place| routers.lines(place).iter().filter(dead).count()).sum::<usize>()
    };
    let (from, before, dead) = (now(), used(&routers), deaths(&routers));
    routers.lose(0, 2, 1.0);
    sleep(span(3000, 20_000));
    let false_deaths = deaths(&routers) - dead;
    bench.phase("one way lost", from, &routers, &before);
    routers.heal();

    let from = now();
    listing.change(targets(&entries(&bench.busy, &bench.quiet, Some(from))));
    sleep(ms(1500));
    // What reached the cold node in its first second or so, against its warm sister.
    let (cold, warm) = (&bench.busy.nodes[1], &bench.busy.nodes[2]);
    let cold_part = cold.rpcs(from, now()) as f64 / warm.rpcs(from, now()).max(1) as f64;

    let (from, before) = (now(), used(&routers));
    outages.begin(0);
    routers.signal(0, "-TERM");
    let drained = routers.ended(0);
    routers.start(0)?;
    outages.end(0);
    bench.phase("planned leave", from, &routers, &before);
    let to = now();
    let gap = bench.gap(begun, to);

    (0..ROUTERS).for_each(|place| outages.begin(place));
    (0..ROUTERS).for_each(|place| routers.kill(place));
    let from = now();
    routers.start_all()?;
    (0..ROUTERS).for_each(|place| outages.end(place));
    sleep(SETTLED);
    bench.phase("all restarted", from, &routers, &[Duration::ZERO; ROUTERS]);
    let tally = load.end();
    let (mut contrasts, mut firsts) = (Vec::new(), Vec::new());
    if wanted.long {
        contrasts.push(contrast("shared", &bench.busy, &addresses, 40));
        firsts.push(first_reads("shared", &bench.busy, &mut routers, 20)?);
    }
    drop(routers);

    for (bond, name) in [(Bond::Alone, "alone"), (Bond::Off, "off")] {
        let mut routers = Routers::new(ROUTERS, &setting(bond))?;
        routers.start_all()?;
        let addresses: Vec<_> = routers.all.iter().map(|router| router.address).collect();
        let load = Load::start(&addresses, 8, ms(100));
        sleep(SETTLED);
        let (from, before) = (now(), used(&routers));
        sleep(span(3000, 30_000));
        bench.phase(name, from, &routers, &before);
        load.end();
        if wanted.long && bond == Bond::Off {
            contrasts.push(contrast("off", &bench.busy, &addresses, 40));
            firsts.push(first_reads("off", &bench.busy, &mut routers, 20)?);
        }
    }

    let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
    let ids = |ids: &std::sync::Mutex<Vec<String>>| ids.lock().map(|ids| ids.clone()).unwrap_or_default();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    tally.times.lock().map(|all| all.iter().for_each(|time| note(&mut times, *time))).unwrap_or_default();
    let (_, doubled) = bench.busy.writes();
    let mut figures = Figures {
        probe_gap_max_s: gap,
        probes_per_node_s_shared: bench.last("shared").probes_per_quiet_node_s,
        probes_per_node_s_alone: bench.last("alone").probes_per_quiet_node_s,
        probes_per_node_s_off: bench.last("off").probes_per_node_s_max,
        take_over_max_s: take_over,
        kills,
        rpcs: tally.rpcs(),
        ok: count(&tally.ok),
        pushed_back: count(&tally.pushed_back),
        aborted: count(&tally.aborted),
        cut: count(&tally.cut),
        lost: count(&tally.lost),
        doubled: doubled as u64,
        stale: bench.nodes().map(Node::stale).sum(),
        entered_missing: ids(&tally.entered).iter().filter(|id| !bench.busy.has_run(id)).count(),
        refused_but_ran: ids(&tally.refused).iter().filter(|id| bench.busy.has_run(id)).count(),
        cold_part,
        false_deaths,
        p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
        seed: wanted.seed,
        broken: Vec::new(),
    };
    let alone = figures.probes_per_node_s_alone;
    // What one router alone may do, from its floor, for each of them.
    let ceiling = ROUTERS as f64 / 0.150 * 1.05;
    let highest = bench.phases.iter().map(|phase| phase.probes_per_node_s_max).fold(0.0, f64::max);
    let bounds = [
        ("a node unheard of for too long", figures.probe_gap_max_s <= LONGEST_GAP),
        ("a killed router's duties taken over too late", figures.take_over_max_s <= LONGEST_GAP),
        ("shared probes cost too much", figures.probes_per_node_s_shared <= alone * SHARED_PART),
        ("too few probes: something else is amiss", figures.probes_per_node_s_shared >= 2.0),
        ("more probes than the ceilings allow", highest <= ceiling),
        ("an RPC was lost", figures.lost == 0),
        ("a write ran twice", figures.doubled == 0),
        ("a stale read", figures.stale == 0),
        ("a write answered ok did not run", figures.entered_missing == 0),
        ("a write pushed back ran", figures.refused_but_ran == 0),
        ("hardly any RPCs were ok", figures.ok * 10 >= figures.rpcs * 9 && figures.rpcs > 1000),
        ("a cold node got as much as a warm one", cold_part <= 0.9),
        ("a router that stood still did not notice", stopped),
        ("a router that was told to stop did not end well", drained),
        ("one lossy way killed a peer", false_deaths == 0),
    ];
    for first in &firsts {
        println!("{}", serde_json::to_string(first)?);
    }
    for contrast in &contrasts {
        println!("{}", serde_json::to_string(contrast)?);
    }
    figures.broken = bounds.iter().filter(|(_, kept)| !kept).map(|(bound, _)| (*bound).to_string()).collect();
    if let Some(path) = &wanted.record {
        let mut file = std::fs::File::create(path)?;
        for phase in &bench.phases {
            writeln!(file, "{}", serde_json::to_string(phase)?)?;
        }
        for first in &firsts {
            writeln!(file, "{}", serde_json::to_string(first)?)?;
        }
        for contrast in &contrasts {
            writeln!(file, "{}", serde_json::to_string(contrast)?)?;
        }
        writeln!(file, "{}", serde_json::to_string(&figures)?)?;
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

/// It grows as it must, so that no value is cut.
fn note(times: &mut Histogram<u64>, micros: u64) {
    times.record(micros).expect("a histogram that grows takes all");
}
