//! A question and the records become rows of a table.

mod single;

use std::collections::BTreeMap;

use self::single::single;
use super::Records;
use super::asks::{
    Budget, COMPLETION_TIMES, CUT_FAULT, MEASURED_RECORD, Requirement, SIMULATED_RECORD, Sharing, Source,
    TARGET_DATABASES, TARGET_PROBE_PERIOD_S, TARGET_ROUTERS, TargetSize, VIEWS_AGREE_FIGURE,
};
use super::numbers::{format_number, round_down, round_up, round_up_to_thousandth};
use crate::fit;
use crate::record::{Axis, Fit, Form, Line, Mode, Sizes};

/// A line of a table, in words.
#[derive(Clone)]
pub struct Row {
    pub role: &'static str,
    pub what: &'static str,
    at: String,
    sum: String,
    pub figure: Option<f64>,
    budget: Option<f64>,
    /// It was played at another period than the target's, which it depends on: no budget is for that.
    is_beside: bool,
    /// Something was held, or played, below the target: it can be over its budget, but not within it.
    is_below: bool,
    /// Of control machines: others than so many instances were played, and each has another share of the databases.
    is_of_others: bool,
    pub basis: String,
    error: String,
    pub record: String,
    pub mechanism: &'static str,
}

const NO_FIGURE: &str = "–";
pub const HEAD: &str = "| role | what | at | sum | figure | budget | ratio | basis | error | record | mechanism |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// A fit's curve as it is shown. Where it falls below what was played at no larger a size, that is held instead: a
/// figure that falls with size is not carried on, and a fit that was too low does not make one pass.
#[derive(Clone, Copy)]
struct Curve {
    form: Form,
    offset: f64,
    slope: f64,
    held: Option<f64>,
}

impl Curve {
    /// `size` is the axis' own, and `place` what the form takes.
    fn of(fit: &Fit, points: &[fit::Point], size: f64, place: f64) -> Self {
        let most_of =
            |points: &mut dyn Iterator<Item = &fit::Point>| points.map(|point| point.mean).reduce(f64::max);
        let most = most_of(&mut points.iter().filter(|point| point.size <= size));
        let most = most.or_else(|| most_of(&mut points.iter())).unwrap_or_default();
        let is_held = fit.slope < 0.0 || fit.predict(place) < most * (1.0 - 1e-9);
        let offset = if fit.offset.abs() < most * 1e-9 { 0.0 } else { round_up(fit.offset, 6) };
        Self {
            form: fit.form,
            offset,
            slope: round_up(fit.slope, 6),
            held: is_held.then(|| round_up(most, 6)),
        }
    }

    /// By the fit alone.
    fn by_fit(&self, size: f64) -> f64 {
        self.offset + self.slope * fit::regressor(self.form, size)
    }

    fn at(&self, size: f64) -> f64 {
        self.held.unwrap_or_else(|| self.by_fit(size))
    }

    /// By how many times what the slope is multiplied by is larger at another size.
    fn growth(&self, from: f64, to: f64) -> f64 {
        let was = fit::regressor(self.form, from);
        if self.slope > 0.0 && was > 0.0 { (fit::regressor(self.form, to) - was) / was } else { 0.0 }
    }
}

/// How far over its budget a figure is.
#[derive(Clone, Copy)]
pub struct Ratio {
    pub is: f64,
    /// At the target it is no less.
    pub at_least: bool,
}

impl Ratio {
    pub fn told(self) -> String {
        if self.at_least { format!("at least {}", format_number(self.is)) } else { format_number(self.is) }
    }
}

/// A calm figure at one size of one axis.
struct Single {
    row: Row,
    curve: Option<Curve>,
    held: Option<Sizes>,
    size: f64,
}

/// What else was held, but for one axis.
fn held(sizes: &Sizes, axis: Axis) -> String {
    let mut told = Vec::new();
    if axis != Axis::Routers {
        told.push(format!("{} routers", format_number(sizes.routers as f64)));
    }
    if axis != Axis::Databases {
        told.push(format!("{} databases", format_number(sizes.databases as f64)));
    }
    told.extend(held_with_both(sizes));
    told.join(", ")
}

fn held_with_both(sizes: &Sizes) -> Vec<String> {
    let mut told = Vec::new();
    if sizes.control > 0 {
        told.push(format!("{} instances", sizes.control));
    }
    if sizes.period_s > 0.0 {
        told.push(format!("period {} s", format_number(sizes.period_s)));
    }
    told
}

fn prefix(sizes: &Sizes) -> &'static str {
    if is_simulated(sizes) { "simulated: " } else { "" }
}

const AT_ANOTHER: &str = " at another period";

/// Whether a figure was played at a period that is not the target's, and follows the period: what the feed sends routers,
/// and what is kept, does not. The simulator's experiments say no period, and have the target's.
fn is_beside(sizes: &Sizes, figure: &str) -> bool {
    let stays = |name: &str| {
        let is_sent = name.starts_with("router_bytes") || name.starts_with("router_messages");
        (is_sent && sizes.mode == Mode::Feed)
            || ["_memory_bytes", "_state_bytes"].iter().any(|end| name.ends_with(end))
            || ["real_", "discovery_", "connection_"].iter().any(|begin| name.starts_with(begin))
    };
    let is_other = sizes.period_s > 0.0 && (sizes.period_s - TARGET_PROBE_PERIOD_S).abs() > 1e-9;
    is_other && !figure.split('+').all(stays)
}

/// Whether no process took part.
pub fn is_simulated(sizes: &Sizes) -> bool {
    sizes.real == 0 && sizes.hollow_processes == 0
}

fn empty(ask: &Requirement) -> Row {
    let budget = match ask.budget {
        Budget::Max(most) => Some(round_down(most, 6)),
        _ => None,
    };
    Row {
        role: ask.role,
        what: ask.quantity,
        at: NO_FIGURE.to_string(),
        sum: NO_FIGURE.to_string(),
        figure: None,
        budget,
        is_beside: false,
        is_below: false,
        is_of_others: false,
        basis: "not measured".to_string(),
        error: NO_FIGURE.to_string(),
        record: NO_FIGURE.to_string(),
        mechanism: ask.mechanism,
    }
}

/// What a row of calm runs is looked for: in which record, of which program.
#[derive(Clone, Copy)]
struct About<'a> {
    record: &'a str,
    lines: &'a [Line],
    program: Option<&'a str>,
    mode: Mode,
    figure: &'a str,
}

impl About<'_> {
    fn points(&self, axis: Axis) -> Option<fit::Points> {
        fit::points_of_program(self.lines, self.program, axis, self.mode, self.figure)
    }

    fn fit(&self, axis: Axis) -> Result<Fit, fit::FitError> {
        fit::fit_program(self.lines, self.program, axis, self.mode, self.figure)
    }
}

/// As the page cites runs of a record.
fn cite(record: &str, figure: &str, mode: Mode, place: &str, program: Option<&str>) -> String {
    let by = program.map_or(String::new(), |program| format!(", by {program}"));
    format!("{record}: {figure}, {}, {place}{by}", mode.name())
}

impl TargetSize {
    pub fn axis(self) -> Axis {
        if let Self::OnAxis(axis, _) = self { axis } else { Axis::Routers }
    }

    /// The size before so many control instances.
    fn size(self, instances: usize) -> f64 {
        match self {
            Self::OnAxis(_, size) => size,
            Self::PerInstance { followers, .. } => round_up(followers * instances as f64, 6),
        }
    }
}

/// Whether routers or databases were held below what the target has of them, or what is asked for.
fn is_held_below(held_at: &Sizes, axis: Axis, others: &[TargetSize]) -> bool {
    [(Axis::Routers, TARGET_ROUTERS), (Axis::Databases, TARGET_DATABASES)].into_iter().any(
        |(other, target)| {
            let wanted = others.iter().find(|over| over.axis() == other);
            let wanted = wanted.map_or(target, |over| over.size(held_at.control));
            other != axis && fit::size_on_axis(held_at, other) < wanted
        },
    )
}

/// Where both axes were held: routers and databases.
type Place = (f64, f64);

/// Both axes at once: what each adds to the figure where both were held, and the most that may grow with both together,
/// which no run along the axes shows. If that is `c` times the one form times the other, neither slope can be less than
/// its share of it. The figure is `one + other + both - base`.
struct Crossed {
    both: f64,
    base: f64,
}

impl Crossed {
    /// From the place where both were held to another; `figures` are those of either axis there.
    fn of(curves: (Curve, Curve), from: Place, to: Place, figures: (f64, f64)) -> Self {
        let base = round_down(curves.0.by_fit(from.0).min(curves.1.by_fit(from.1)), 6);
        let by_databases = (figures.0 - base).max(0.0) * curves.1.growth(from.1, to.1);
        let by_routers = (figures.1 - base).max(0.0) * curves.0.growth(from.0, to.0);
        Self { both: round_up(by_databases.min(by_routers).max(0.0), 6), base }
    }

    fn figure(&self, figures: (f64, f64)) -> f64 {
        figures.0 + figures.1 + self.both - self.base
    }
}

/// What calm runs off both axes say of a crossing.
struct OffAxes {
    /// How much of the most that may grow with both did, where there is a run more to hold that against.
    share: Option<f64>,
    /// By how much the crossing was under the run at the largest sizes, by the others' share, as a part of what was played
    /// (below zero: over), and its sizes.
    under: f64,
    at: Place,
}

fn off_axes(about: About<'_>, from: Place, held: &Sizes) -> Option<OffAxes> {
    let axes = [Axis::Routers, Axis::Databases]
        .map(|axis| Some((about.fit(axis).ok()?, about.points(axis)?.points)));
    let [Some((routers, by_routers)), Some((databases, by_databases))] = axes else { return None };
    let mut played = BTreeMap::<(usize, usize, usize), Vec<f64>>::new();
    for line in about.lines {
        let Line::Run { fault: None, program, sizes, figures, bounds, .. } = line else { continue };
        let to = (sizes.routers as f64, sizes.databases as f64);
        let is_off =
            to.0 != from.0 && to.1 != from.1 && fit::differ_only_in_routers_and_databases(sizes, held);
        if sizes.mode == about.mode && program.as_deref() == about.program && is_off {
            let place = (sizes.routers * sizes.databases, sizes.routers, sizes.databases);
            played.entry(place).or_default().extend(fit::calibrated_figure(figures, bounds, about.figure));
        }
    }
    played.retain(|_, runs| !runs.is_empty());
    // What was played, what either axis says without what grows with both, and the most of that.
    let mut places = Vec::new();
    for ((_, routers_there, databases_there), runs) in played {
        let to = (routers_there as f64, databases_there as f64);
        let curves =
            (Curve::of(&routers, &by_routers, to.0, to.0), Curve::of(&databases, &by_databases, to.1, to.1));
        let each = (curves.0.at(to.0), curves.1.at(to.1));
        let crossed = Crossed::of(curves, from, to, each);
        let is = runs.iter().sum::<f64>() / runs.len() as f64;
        places.push((to, is, crossed.figure(each) - crossed.both, crossed.both));
    }
    let share = |places: &[(Place, f64, f64, f64)]| {
        let shares =
            places.iter().filter(|(.., most)| *most > 0.0).map(|(_, is, rest, most)| (is - rest) / most);
        round_up(shares.fold(0.0, f64::max), 3)
    };
    let (largest, others) = places.split_last()?;
    let (to, is, rest, most) = *largest;
    let by_others = if others.is_empty() { 1.0 } else { share(others) };
    let under = (is - rest - by_others * most) / is.abs().max(f64::MIN_POSITIVE);
    Some(OffAxes { share: (!others.is_empty()).then(|| share(&places)), under, at: to })
}

fn together(about: About<'_>, one: &Single, other: &Single) -> Option<Row> {
    let curves = (one.curve?, other.curve?);
    if curves.0.form == Form::Product || curves.1.form == Form::Product {
        return None;
    }
    let held = (one.held.as_ref()?, other.held.as_ref()?);
    if !fit::differ_only_in_routers_and_databases(held.0, held.1) {
        return None;
    }
    let from = (held.1.routers as f64, held.0.databases as f64);
    let figures = (one.row.figure?, other.row.figure?);
    let mut crossed = Crossed::of(curves, from, (one.size, other.size), figures);
    let mut row = one.row.clone();
    row.at = format!("{} and {}", one.row.at.split(';').next()?, other.row.at.split(';').next()?);
    row.record = cite(about.record, about.figure, about.mode, "over routers and databases", about.program);
    row.error = NO_FIGURE.to_string();
    row.is_below = false;
    if let Some(OffAxes { share, under, at: (routers, databases) }) = off_axes(about, from, held.0) {
        let missed = if under > 0.0 { "under" } else { "over" };
        let place = format!("{} routers and {} databases", format_number(routers), format_number(databases));
        row.error = format!("{missed} by {} at {place}", format_number(round_up_to_thousandth(under.abs())));
        // The most may be over by far, and what was fitted to runs may not.
        if under > fit::MAX_RELATIVE_ERROR || (share.is_some() && -under > fit::MAX_RELATIVE_ERROR) {
            row.error += ": the crossing is wrong";
            row.sum = NO_FIGURE.to_string();
            row.figure = None;
            row.basis = "not measured".to_string();
            return Some(row);
        }
        if let Some(share) = share {
            row.error += &format!("; both at {} of the most", format_number(share));
            crossed.both = round_up(crossed.both * share, 6);
        }
    }
    let [left, right, both, base] = [figures.0, figures.1, crossed.both, crossed.base].map(format_number);
    row.sum = format!("{left} + {right} + {both} − {base}");
    row.figure = Some(round_up(crossed.figure(figures), 3));
    let suffix = if row.is_beside { AT_ANOTHER } else { "" };
    row.basis = format!("{}computed{suffix}", prefix(held.0));
    Some(row)
}

/// The rows of a question: of processes, and of the simulator where it has played the like.
pub fn rows(ask: &Requirement, records: &Records) -> Vec<Row> {
    match &ask.source {
        Source::CalmRuns { record, mode, figure, over } => {
            let of = |record| of_calm(ask, records, (record, *mode, figure), over);
            let simulated =
                of(SIMULATED_RECORD).filter(|_| *record == MEASURED_RECORD && ask.sharing == Sharing::Feed);
            let rows = of(record).unwrap_or_else(|| vec![not_played(ask, (record, *mode, figure), over)]);
            rows.into_iter().chain(simulated.into_iter().flatten()).collect()
        }
        Source::FaultRuns { fault, figure } => {
            let played = of_fault(ask, records, MEASURED_RECORD, fault, figure).unwrap_or_else(|| {
                let mut row = empty(ask);
                row.record = cite(MEASURED_RECORD, figure, of_side(ask.sharing), fault, None);
                row.error = "no run".to_string();
                row
            });
            let simulated = of_fault(ask, records, SIMULATED_RECORD, fault, figure);
            std::iter::once(played).chain(simulated).collect()
        }
        Source::Computed { factors, by, from } => {
            let mut row = empty(ask);
            let product: Vec<String> =
                factors.iter().map(|factor| format_number(round_up(*factor, 6))).collect();
            row.sum = product.join(" × ");
            if *by != 1.0 {
                row.sum += &format!(" / {}", format_number(*by));
            }
            let all: f64 = factors.iter().map(|factor| round_up(*factor, 6)).product();
            row.figure = Some(round_up(all / by, 3));
            row.basis = "computed".to_string();
            row.record = (*from).to_string();
            row.at = "the target".to_string();
            vec![row]
        }
        Source::NotMeasured => vec![empty(ask)],
    }
}

/// A row for each axis and one for both, if the record has the figure at all: of the newest program that was played at
/// enough sizes of each axis. What still newer ones were played at enough sizes of comes before.
fn of_calm(
    ask: &Requirement,
    records: &Records,
    (record, mode, figure): (&str, Mode, &str),
    over: &[TargetSize],
) -> Option<Vec<Row>> {
    let lines = records.lines(record);
    let about = |program| About { record, lines, program, mode, figure };
    let sizes =
        |program, over: &TargetSize| about(program).points(over.axis()).map_or(0, |of| of.points.len());
    let mut programs = fit::programs(lines);
    // Of a control machine's share, runs of as many instances as there are machines come first, however old they are:
    // before fewer each probes more, which costs more than to hear of it.
    let machines = over.iter().find_map(|over| match over {
        TargetSize::PerInstance { machines, .. } => Some(*machines),
        TargetSize::OnAxis(..) => None,
    });
    let is_of_others = |of: &About<'_>| {
        let instances =
            |over: &TargetSize| of.points(over.axis()).map(|played| played.fixed_sizes.control as f64);
        machines.is_some() && over.iter().any(|over| instances(over) != machines)
    };
    programs.sort_by_key(|program| is_of_others(&about(*program)));
    let mut partial = Vec::new();
    for program in &programs {
        let enough = over.iter().enumerate().filter(|(_, over)| sizes(*program, over) >= fit::MIN_SIZES);
        let enough: Vec<(usize, &TargetSize)> = enough.collect();
        if enough.len() == over.len() {
            let singles: Vec<Single> =
                over.iter().map(|size| single(ask, about(*program), *size, over)).collect();
            let both = match singles.as_slice() {
                [one, other] => together(about(*program), one, other),
                _ => None,
            };
            let newer = partial.into_iter().map(|(_, row)| row);
            return Some(newer.chain(singles.into_iter().map(|single| single.row)).chain(both).collect());
        }
        let single =
            |(place, size): (usize, &TargetSize)| (place, single(ask, about(*program), *size, over).row);
        partial.extend(enough.into_iter().map(single));
    }
    // No program has both axes, so nothing is said of both; where none has one of them, the most there is.
    for (place, size) in over.iter().enumerate() {
        if partial.iter().all(|(other, _)| *other != place) {
            let program = programs.iter().rev().max_by_key(|program| sizes(**program, size));
            partial.push((place, single(ask, about(program.copied().flatten()), *size, over).row));
        }
    }
    partial.sort_by_key(|(place, _)| *place);
    let has_any = programs.iter().any(|program| over.iter().any(|over| sizes(*program, over) > 0));
    has_any.then(|| partial.into_iter().map(|(_, row)| row).collect())
}

fn not_played(ask: &Requirement, (record, mode, figure): (&str, Mode, &str), over: &[TargetSize]) -> Row {
    let mut row = empty(ask);
    let size = |over: &TargetSize| match over {
        TargetSize::OnAxis(axis, size) => (axis.name(), format!("{} {}", format_number(*size), axis.name())),
        TargetSize::PerInstance { followers, .. } => {
            ("routers", format!("{} routers an instance", format_number(round_up(*followers, 6))))
        }
    };
    let (axes, sizes): (Vec<&str>, Vec<String>) = over.iter().map(size).unzip();
    row.at = sizes.join(", ");
    row.record = cite(record, figure, mode, &format!("over {}", axes.join(" and ")), None);
    row.error = "no run".to_string();
    row
}

fn of_side(side: Sharing) -> Mode {
    if side == Sharing::Shared { Mode::Shared } else { Mode::Feed }
}

/// The most that a fault did at the largest size at which it was played, if it was, by the newest program there. A cut
/// that parts the control instances too counts before one that does not.
fn of_fault(ask: &Requirement, records: &Records, record: &str, fault: &str, figure: &str) -> Option<Row> {
    let mode = of_side(ask.sharing);
    let lines = records.lines(record);
    let runs = |fault, figure| lines.iter().filter_map(move |line| Struck::of(line, (fault, mode, figure)));
    let played: Vec<Struck<'_>> = runs(Some(fault), figure).collect();
    let place = |run: &Struck<'_>| {
        (run.parts_control, run.sizes.routers * run.sizes.databases, run.sizes.routers, run.sizes.control)
    };
    let at = played.iter().map(place).max()?;
    let newest = fit::programs(lines)
        .into_iter()
        .find(|program| played.iter().any(|run| place(run) == at && run.program == *program))?;
    let there = played.iter().filter(|run| place(run) == at && run.program == newest);
    let there: Vec<&Struck<'_>> = there.collect();
    let never = there.iter().map(|run| run.never).fold(0.0, f64::max);
    let most = there.into_iter().max_by(|one, other| one.is.total_cmp(&other.is))?;
    let largest = most.sizes;
    let mut row = empty(ask);
    row.record = cite(record, figure, mode, fault, newest);
    row.at = format!("{} routers, {}", format_number(largest.routers as f64), held(largest, Axis::Routers));
    if fault == CUT_FAULT && !most.parts_control && !is_simulated(largest) {
        row.at += "; the instances not cut";
    }
    if never > 0.0 {
        row.error = format!("{} had not when the run ended", format_number(never));
        return Some(row);
    }
    row.figure = Some(round_up(most.is, 3));
    row.sum = "played".to_string();
    row.is_below = (largest.routers as f64) < TARGET_ROUTERS || (largest.databases as f64) < TARGET_DATABASES;
    let by = if is_simulated(largest) { "simulated" } else { "measured" };
    row.is_beside = is_beside(largest, figure);
    let suffix = if row.is_beside { AT_ANOTHER } else { "" };
    row.basis = if row.is_below { format!("{by} below the target{suffix}") } else { format!("{by}{suffix}") };
    if let Budget::MultipleOfCalm(times, figure) = ask.budget {
        // A run with a fault begins with calm seconds, whose figures it has beside the fault's.
        let calm = runs(Some(fault), figure).chain(runs(None, figure));
        let is_alike = |run: &Struck<'_>| {
            let sizes = |of: &Sizes| (of.routers, of.databases, of.control);
            run.program == newest && sizes(run.sizes) == sizes(largest)
        };
        let least = calm.filter(is_alike).map(|run| run.is).reduce(f64::min);
        row.budget = least.map(|least| round_down(least * times, 3));
    }
    Some(row)
}

/// What a run with a fault showed.
struct Struck<'a> {
    program: Option<&'a str>,
    sizes: &'a Sizes,
    parts_control: bool,
    /// How many had not come where the figure says when all had.
    never: f64,
    is: f64,
}

impl<'a> Struck<'a> {
    fn of(line: &'a Line, (wanted, mode, figure): (Option<&str>, Mode, &str)) -> Option<Self> {
        let Line::Run { fault, program, sizes, figures, bounds, .. } = line else { return None };
        if fault.as_deref() != wanted || sizes.mode != mode {
            return None;
        }
        let parts_control = figures.contains_key(VIEWS_AGREE_FIGURE);
        let is = fit::calibrated_figure(figures, bounds, figure)?;
        let counts = COMPLETION_TIMES.iter().filter(|(name, _)| *name == figure);
        let never = counts.filter_map(|(_, count)| figures.get(*count)).sum();
        Some(Self { program: program.as_deref(), sizes, parts_control, never, is })
    }
}

impl Row {
    /// Below the target, or of other instances, none but one that is over: what would be within its budget there may
    /// not be at the target.
    pub fn ratio(&self) -> Option<Ratio> {
        (!self.is_beside).then_some(())?;
        let is = round_up(self.figure? / self.budget?, 3);
        let judges = !self.is_below && !self.is_of_others;
        (judges || is > 1.0).then_some(Ratio { is, at_least: self.is_below })
    }

    /// There is a figure and a budget, and they cannot be held against each other.
    pub fn is_unjudged(&self) -> bool {
        self.figure.is_some() && self.budget.is_some() && self.ratio().is_none()
    }

    pub fn line(&self) -> String {
        let number = |is: Option<f64>| is.map_or(NO_FIGURE.to_string(), format_number);
        let budget = self.budget.map_or("none named".to_string(), format_number);
        format!(
            "| {} | {} | {} | {} | {} | {budget} | {} | {} | {} | {} | {} |\n",
            self.role,
            self.what,
            self.at,
            self.sum,
            number(self.figure),
            self.ratio().map_or(NO_FIGURE.to_string(), Ratio::told),
            self.basis,
            self.error,
            self.record,
            self.mechanism,
        )
    }
}
