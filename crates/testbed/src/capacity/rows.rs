//! Computes the rows of a requirement from the records.

mod single;

use std::collections::BTreeMap;

use self::single::axis_row;
use super::Records;
use super::asks::{
    Budget, COMPLETION_TIMES, CUT_FAULT, MEASURED_RECORD, Requirement, SIMULATED_RECORD, Sharing, Source,
    TARGET_DATABASES, TARGET_PROBE_PERIOD_S, TARGET_ROUTERS, TargetSize, VIEWS_AGREE_FIGURE,
};
use super::numbers::{format_number, round_down, round_up, round_up_to_thousandth};
use crate::fit;
use crate::record::{Axis, Fit, Form, Line, Mode, Sizes};

/// A row of a table; all cells but the numbers are formatted text.
#[derive(Clone)]
pub struct Row {
    /// The role that bears the cost.
    pub role: &'static str,
    /// What is measured, with its unit.
    pub quantity: &'static str,
    /// The sizes that the figure is for.
    at: String,
    /// How the figure is computed.
    sum: String,
    /// The figure, if there is one.
    pub figure: Option<f64>,
    budget: Option<f64>,
    /// The figure depends on the probe period, and the runs had another one than the target. It has no ratio
    /// then.
    is_other_period: bool,
    /// The runs had fewer routers or databases than the target. The figure can then be shown to exceed its
    /// budget, but not to be within it.
    is_below_target: bool,
    /// The runs had another number of control instances than the target has machines, so each instance had
    /// another share of the databases.
    has_other_instances: bool,
    /// Whether the figure was measured, predicted or computed.
    pub basis: String,
    /// Error of the prediction, or why there is no figure.
    error: String,
    /// The runs that the figure is from.
    pub record: String,
    /// The packages that implement it, or "none" with the reason.
    pub mechanism: &'static str,
}

const NO_VALUE: &str = "–";
/// The head of a table of rows.
pub const TABLE_HEAD: &str = "| role | what | at | sum | figure | budget | ratio | basis | error | record | mechanism |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// A fitted curve with the rounded coefficients that the page shows. If the curve falls with size, or is
/// below a measurement at a size that is not larger, the largest such measurement is used instead: a falling
/// figure is not extrapolated, and a fit that is too low cannot bring a figure within its budget.
#[derive(Clone, Copy)]
struct Curve {
    form: Form,
    offset: f64,
    slope: f64,
    /// The largest measurement, if it is used instead of the curve.
    held: Option<f64>,
}

impl Curve {
    /// `size` is the size on the axis. `input` is the argument of the form, which differs from `size` for a
    /// product.
    fn new(fit: &Fit, points: &[fit::Point], size: f64, input: f64) -> Self {
        let largest_mean =
            |points: &mut dyn Iterator<Item = &fit::Point>| points.map(|point| point.mean).reduce(f64::max);
        let most = largest_mean(&mut points.iter().filter(|point| point.size <= size));
        let most = most.or_else(|| largest_mean(&mut points.iter())).unwrap_or_default();
        let is_held = fit.slope < 0.0 || fit.predict(input) < most * (1.0 - 1e-9);
        let offset = if fit.offset.abs() < most * 1e-9 { 0.0 } else { round_up(fit.offset, 6) };
        Self {
            form: fit.form,
            offset,
            slope: round_up(fit.slope, 6),
            held: is_held.then(|| round_up(most, 6)),
        }
    }

    /// Returns the fitted value, without regard to `held`.
    fn fitted_value(&self, size: f64) -> f64 {
        self.offset + self.slope * fit::regressor(self.form, size)
    }

    fn at(&self, size: f64) -> f64 {
        self.held.unwrap_or_else(|| self.fitted_value(size))
    }

    /// Returns the relative growth of the part with the slope from one size to another, or 0 if it does not
    /// grow.
    fn relative_growth(&self, from: f64, to: f64) -> f64 {
        let from_value = fit::regressor(self.form, from);
        if self.slope > 0.0 && from_value > 0.0 {
            (fit::regressor(self.form, to) - from_value) / from_value
        } else {
            0.0
        }
    }
}

/// The ratio of a figure to its budget.
#[derive(Clone, Copy)]
pub struct Ratio {
    /// Figure divided by budget.
    pub value: f64,
    /// The figure is from below the target size, where it is no larger than at the target.
    pub at_least: bool,
}

impl Ratio {
    /// Formats the ratio for the page.
    pub fn to_text(self) -> String {
        if self.at_least {
            format!("at least {}", format_number(self.value))
        } else {
            format_number(self.value)
        }
    }
}

/// The row of a calm figure at one size of one axis, and the values that the row of both axes needs.
struct AxisRow {
    row: Row,
    /// The curve, if the figure is predicted or the fit is usable.
    curve: Option<Curve>,
    /// The sizes of the runs; all but the one on the axis were held.
    held: Option<Sizes>,
    size: f64,
}

/// Formats the sizes that were held in runs over an axis.
fn held_text(sizes: &Sizes, axis: Axis) -> String {
    let mut texts = Vec::new();
    if axis != Axis::Routers {
        texts.push(format!("{} routers", format_number(sizes.routers as f64)));
    }
    if axis != Axis::Databases {
        texts.push(format!("{} databases", format_number(sizes.databases as f64)));
    }
    texts.extend(sizes_besides_axes(sizes));
    texts.join(", ")
}

/// Formats the sizes that are held in runs over either of routers and databases.
fn sizes_besides_axes(sizes: &Sizes) -> Vec<String> {
    let mut texts = Vec::new();
    if sizes.control > 0 {
        texts.push(format!("{} instances", sizes.control));
    }
    if sizes.period_s > 0.0 {
        texts.push(format!("period {} s", format_number(sizes.period_s)));
    }
    texts
}

/// Returns the prefix of the basis, which marks simulated runs.
fn basis_prefix(sizes: &Sizes) -> &'static str {
    if is_simulated(sizes) { "simulated: " } else { "" }
}

const OTHER_PERIOD_SUFFIX: &str = " at another period";

/// Returns whether the runs had another probe period than the target and the figure depends on the period.
/// What the feed sends to routers and what is kept in memory do not depend on it. The records of the
/// simulator contain no period; its experiments use that of the target.
fn is_other_period(sizes: &Sizes, figure: &str) -> bool {
    let is_independent = |name: &str| {
        let is_sent = name.starts_with("router_bytes") || name.starts_with("router_messages");
        (is_sent && sizes.mode == Mode::Feed)
            || ["_memory_bytes", "_state_bytes"].iter().any(|end| name.ends_with(end))
            || ["real_", "discovery_", "connection_"].iter().any(|begin| name.starts_with(begin))
    };
    let is_other = sizes.period_s > 0.0 && (sizes.period_s - TARGET_PROBE_PERIOD_S).abs() > 1e-9;
    is_other && !figure.split('+').all(is_independent)
}

/// Returns whether a run is simulated, that is, no router process took part.
pub fn is_simulated(sizes: &Sizes) -> bool {
    sizes.real == 0 && sizes.hollow_processes == 0
}

/// Returns the row of a requirement without a figure.
fn unmeasured_row(requirement: &Requirement) -> Row {
    let budget = match requirement.budget {
        Budget::Max(most) => Some(round_down(most, 6)),
        _ => None,
    };
    Row {
        role: requirement.role,
        quantity: requirement.quantity,
        at: NO_VALUE.to_string(),
        sum: NO_VALUE.to_string(),
        figure: None,
        budget,
        is_other_period: false,
        is_below_target: false,
        has_other_instances: false,
        basis: "not measured".to_string(),
        error: NO_VALUE.to_string(),
        record: NO_VALUE.to_string(),
        mechanism: requirement.mechanism,
    }
}

/// Selects the runs for a row: the record, the program version, the mode and the figure.
#[derive(Clone, Copy)]
struct RunSelection<'a> {
    record: &'a str,
    lines: &'a [Line],
    program: Option<&'a str>,
    mode: Mode,
    figure: &'a str,
}

impl RunSelection<'_> {
    fn points(&self, axis: Axis) -> Option<fit::Points> {
        fit::points_of_program(self.lines, self.program, axis, self.mode, self.figure)
    }

    fn fit(&self, axis: Axis) -> Result<Fit, fit::FitError> {
        fit::fit_program(self.lines, self.program, axis, self.mode, self.figure)
    }
}

/// Formats the citation of the runs of a row.
fn citation(record: &str, figure: &str, mode: Mode, place: &str, program: Option<&str>) -> String {
    let by = program.map_or(String::new(), |program| format!(", by {program}"));
    format!("{record}: {figure}, {}, {place}{by}", mode.name())
}

impl TargetSize {
    /// Returns the axis of the size.
    pub fn axis(self) -> Axis {
        if let Self::OnAxis(axis, _) = self { axis } else { Axis::Routers }
    }

    /// Returns the size on the axis in runs with this many control instances.
    fn size(self, instances: usize) -> f64 {
        match self {
            Self::OnAxis(_, size) => size,
            Self::PerInstance { followers, .. } => round_up(followers * instances as f64, 6),
        }
    }
}

/// Returns whether routers or databases were held below the size that the requirement names for them, or else
/// below the target.
fn is_held_below(held_sizes: &Sizes, axis: Axis, others: &[TargetSize]) -> bool {
    [(Axis::Routers, TARGET_ROUTERS), (Axis::Databases, TARGET_DATABASES)].into_iter().any(
        |(other, target)| {
            let wanted = others.iter().find(|target_size| target_size.axis() == other);
            let wanted = wanted.map_or(target, |target_size| target_size.size(held_sizes.control));
            other != axis && fit::size_on_axis(held_sizes, other) < wanted
        },
    )
}

/// Numbers of routers and databases.
type Place = (f64, f64);

/// The fits over routers and over databases, combined to predict a figure at target sizes of both axes as
/// `first + second + both - base`. Here `base` is the figure at the sizes at which both axes were held, and
/// `both` is the largest part that can grow with routers and databases together, which no run along a single
/// axis shows. If that part is `c` times one form times the other, the slope over either axis includes its
/// share of it, so the smaller of the two growths limits it.
struct CombinedAxes {
    both: f64,
    base: f64,
}

impl CombinedAxes {
    /// Extrapolates from the sizes where both axes were held to others. `figures` are the figures of either
    /// axis there.
    fn new(curves: (Curve, Curve), from: Place, to: Place, figures: (f64, f64)) -> Self {
        let base = round_down(curves.0.fitted_value(from.0).min(curves.1.fitted_value(from.1)), 6);
        let by_databases = (figures.0 - base).max(0.0) * curves.1.relative_growth(from.1, to.1);
        let by_routers = (figures.1 - base).max(0.0) * curves.0.relative_growth(from.0, to.0);
        Self { both: round_up(by_databases.min(by_routers).max(0.0), 6), base }
    }

    fn figure(&self, figures: (f64, f64)) -> f64 {
        figures.0 + figures.1 + self.both - self.base
    }
}

/// How a combination compares with calm runs that lie on neither axis.
struct OffAxisComparison {
    /// The largest part of `both` that the runs show. `None` if there is a single run, because another run is
    /// needed to check it.
    share: Option<f64>,
    /// By how much the combination, with the share that the other runs show, is below the run at the largest
    /// sizes, relative to that run. Negative if it is above.
    under: f64,
    /// The largest sizes.
    at: Place,
}

/// Compares a combination with the calm runs of the same other sizes that lie on neither axis.
fn compare_off_axes(selection: RunSelection<'_>, from: Place, held: &Sizes) -> Option<OffAxisComparison> {
    let axes = [Axis::Routers, Axis::Databases]
        .map(|axis| Some((selection.fit(axis).ok()?, selection.points(axis)?.points)));
    let [Some((routers, by_routers)), Some((databases, by_databases))] = axes else { return None };
    let mut measured = BTreeMap::<(usize, usize, usize), Vec<f64>>::new();
    for line in selection.lines {
        let Line::Run { fault: None, program, sizes, figures, bounds, .. } = line else { continue };
        let to = (sizes.routers as f64, sizes.databases as f64);
        let is_off =
            to.0 != from.0 && to.1 != from.1 && fit::differ_only_in_routers_and_databases(sizes, held);
        if sizes.mode == selection.mode && program.as_deref() == selection.program && is_off {
            let place = (sizes.routers * sizes.databases, sizes.routers, sizes.databases);
            measured.entry(place).or_default().extend(fit::calibrated_figure(
                figures,
                bounds,
                selection.figure,
            ));
        }
    }
    measured.retain(|_, runs| !runs.is_empty());
    // For each place: the measured figure, the combination without `both`, and `both`.
    let mut places = Vec::new();
    for ((_, routers_there, databases_there), runs) in measured {
        let to = (routers_there as f64, databases_there as f64);
        let curves = (
            Curve::new(&routers, &by_routers, to.0, to.0),
            Curve::new(&databases, &by_databases, to.1, to.1),
        );
        let each = (curves.0.at(to.0), curves.1.at(to.1));
        let combined = CombinedAxes::new(curves, from, to, each);
        let value = runs.iter().sum::<f64>() / runs.len() as f64;
        places.push((to, value, combined.figure(each) - combined.both, combined.both));
    }
    let share = |places: &[(Place, f64, f64, f64)]| {
        let shares = places
            .iter()
            .filter(|(.., most)| *most > 0.0)
            .map(|(_, value, without_both, most)| (value - without_both) / most);
        round_up(shares.fold(0.0, f64::max), 3)
    };
    let (largest, others) = places.split_last()?;
    let (to, value, without_both, most) = *largest;
    let by_others = if others.is_empty() { 1.0 } else { share(others) };
    let under = (value - without_both - by_others * most) / value.abs().max(f64::MIN_POSITIVE);
    Some(OffAxisComparison { share: (!others.is_empty()).then(|| share(&places)), under, at: to })
}

/// Returns the row for target sizes on both axes, from the rows of either axis. Returns `None` if the fits
/// cannot be combined.
fn combined_row(
    selection: RunSelection<'_>,
    over_routers: &AxisRow,
    over_databases: &AxisRow,
) -> Option<Row> {
    let curves = (over_routers.curve?, over_databases.curve?);
    if curves.0.form == Form::Product || curves.1.form == Form::Product {
        return None;
    }
    let held = (over_routers.held.as_ref()?, over_databases.held.as_ref()?);
    if !fit::differ_only_in_routers_and_databases(held.0, held.1) {
        return None;
    }
    let from = (held.1.routers as f64, held.0.databases as f64);
    let figures = (over_routers.row.figure?, over_databases.row.figure?);
    let mut combined = CombinedAxes::new(curves, from, (over_routers.size, over_databases.size), figures);
    let mut row = over_routers.row.clone();
    row.at = format!(
        "{} and {}",
        over_routers.row.at.split(';').next()?,
        over_databases.row.at.split(';').next()?
    );
    row.record = citation(
        selection.record,
        selection.figure,
        selection.mode,
        "over routers and databases",
        selection.program,
    );
    row.error = NO_VALUE.to_string();
    row.is_below_target = false;
    if let Some(OffAxisComparison { share, under, at: (routers, databases) }) =
        compare_off_axes(selection, from, held.0)
    {
        let direction = if under > 0.0 { "under" } else { "over" };
        let place = format!("{} routers and {} databases", format_number(routers), format_number(databases));
        row.error =
            format!("{direction} by {} at {place}", format_number(round_up_to_thousandth(under.abs())));
        // An upper limit may be far above the measurement, but a share that was fitted to runs may not.
        if under > fit::MAX_RELATIVE_ERROR || (share.is_some() && -under > fit::MAX_RELATIVE_ERROR) {
            row.error += ": the crossing is wrong";
            row.sum = NO_VALUE.to_string();
            row.figure = None;
            row.basis = "not measured".to_string();
            return Some(row);
        }
        if let Some(share) = share {
            row.error += &format!("; both at {} of the most", format_number(share));
            combined.both = round_up(combined.both * share, 6);
        }
    }
    let [left, right, both, base] = [figures.0, figures.1, combined.both, combined.base].map(format_number);
    row.sum = format!("{left} + {right} + {both} − {base}");
    row.figure = Some(round_up(combined.figure(figures), 3));
    let suffix = if row.is_other_period { OTHER_PERIOD_SUFFIX } else { "" };
    row.basis = format!("{}computed{suffix}", basis_prefix(held.0));
    Some(row)
}

/// Returns the rows of a requirement: one set from the runs of processes, and one from the simulator if it
/// has such runs.
pub fn rows(requirement: &Requirement, records: &Records) -> Vec<Row> {
    match &requirement.source {
        Source::CalmRuns { record, mode, figure, target_sizes } => {
            let rows_of = |record| calm_rows(requirement, records, (record, *mode, figure), target_sizes);
            let simulated = rows_of(SIMULATED_RECORD)
                .filter(|_| *record == MEASURED_RECORD && requirement.sharing == Sharing::Feed);
            let rows = rows_of(record).unwrap_or_else(|| {
                vec![row_without_runs(requirement, (record, *mode, figure), target_sizes)]
            });
            rows.into_iter().chain(simulated.into_iter().flatten()).collect()
        }
        Source::FaultRuns { fault, figure } => {
            let measured =
                fault_row(requirement, records, MEASURED_RECORD, fault, figure).unwrap_or_else(|| {
                    let mut row = unmeasured_row(requirement);
                    row.record = citation(MEASURED_RECORD, figure, mode_of(requirement.sharing), fault, None);
                    row.error = "no run".to_string();
                    row
                });
            let simulated = fault_row(requirement, records, SIMULATED_RECORD, fault, figure);
            std::iter::once(measured).chain(simulated).collect()
        }
        Source::Computed { factors, by, from } => {
            let mut row = unmeasured_row(requirement);
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
        Source::NotMeasured => vec![unmeasured_row(requirement)],
    }
}

/// Returns a row for each axis and one for both, or `None` if the record does not contain the figure. The
/// rows are from the newest program version that was run at enough sizes of every axis. Rows of newer
/// versions that were run at enough sizes of one axis only come first.
fn calm_rows(
    requirement: &Requirement,
    records: &Records,
    (record, mode, figure): (&str, Mode, &str),
    target_sizes: &[TargetSize],
) -> Option<Vec<Row>> {
    let lines = records.lines(record);
    let selection = |program| RunSelection { record, lines, program, mode, figure };
    let sizes = |program, target_size: &TargetSize| {
        selection(program).points(target_size.axis()).map_or(0, |points| points.points.len())
    };
    let mut programs = fit::programs(lines);
    // For the share of a control machine, versions that ran as many instances as there are machines come
    // first, however old they are: with fewer instances each one probes more databases, and a probe costs
    // more than receiving the observations of another instance.
    let machines = target_sizes.iter().find_map(|target_size| match target_size {
        TargetSize::PerInstance { machines, .. } => Some(*machines),
        TargetSize::OnAxis(..) => None,
    });
    let has_other_instances = |runs: &RunSelection<'_>| {
        let instances = |target_size: &TargetSize| {
            runs.points(target_size.axis()).map(|measured| measured.fixed_sizes.control as f64)
        };
        machines.is_some() && target_sizes.iter().any(|target_size| instances(target_size) != machines)
    };
    programs.sort_by_key(|program| has_other_instances(&selection(*program)));
    let mut partial = Vec::new();
    for program in &programs {
        let enough = target_sizes
            .iter()
            .enumerate()
            .filter(|(_, target_size)| sizes(*program, target_size) >= fit::MIN_SIZES);
        let enough: Vec<(usize, &TargetSize)> = enough.collect();
        if enough.len() == target_sizes.len() {
            let axis_rows: Vec<AxisRow> = target_sizes
                .iter()
                .map(|size| axis_row(requirement, selection(*program), *size, target_sizes))
                .collect();
            let both = match axis_rows.as_slice() {
                [one, other] => combined_row(selection(*program), one, other),
                _ => None,
            };
            let newer = partial.into_iter().map(|(_, row)| row);
            return Some(
                newer.chain(axis_rows.into_iter().map(|axis_row| axis_row.row)).chain(both).collect(),
            );
        }
        let axis_row = |(index, size): (usize, &TargetSize)| {
            (index, axis_row(requirement, selection(*program), *size, target_sizes).row)
        };
        partial.extend(enough.into_iter().map(axis_row));
    }
    // No version was run at enough sizes of both axes, so there is no row of both. For an axis without enough
    // sizes in any version, the version with the most sizes is used.
    for (index, size) in target_sizes.iter().enumerate() {
        if partial.iter().all(|(other, _)| *other != index) {
            let program = programs.iter().rev().max_by_key(|program| sizes(**program, size));
            partial.push((
                index,
                axis_row(requirement, selection(program.copied().flatten()), *size, target_sizes).row,
            ));
        }
    }
    partial.sort_by_key(|(index, _)| *index);
    let has_any = programs
        .iter()
        .any(|program| target_sizes.iter().any(|target_size| sizes(*program, target_size) > 0));
    has_any.then(|| partial.into_iter().map(|(_, row)| row).collect())
}

/// Returns the row of a requirement for which the record has no runs.
fn row_without_runs(
    requirement: &Requirement,
    (record, mode, figure): (&str, Mode, &str),
    target_sizes: &[TargetSize],
) -> Row {
    let mut row = unmeasured_row(requirement);
    let size = |target_size: &TargetSize| match target_size {
        TargetSize::OnAxis(axis, size) => (axis.name(), format!("{} {}", format_number(*size), axis.name())),
        TargetSize::PerInstance { followers, .. } => {
            ("routers", format!("{} routers an instance", format_number(round_up(*followers, 6))))
        }
    };
    let (axes, sizes): (Vec<&str>, Vec<String>) = target_sizes.iter().map(size).unzip();
    row.at = sizes.join(", ");
    row.record = citation(record, figure, mode, &format!("over {}", axes.join(" and ")), None);
    row.error = "no run".to_string();
    row
}

/// Returns the mode of the runs of faults for a kind of sharing.
fn mode_of(sharing: Sharing) -> Mode {
    if sharing == Sharing::Shared { Mode::Shared } else { Mode::Feed }
}

/// Returns the row of a fault: the largest figure among the runs at the largest size, by the newest program
/// version that has runs there. Runs of a cut that also separates the control instances take precedence over
/// runs of one that does not. Returns `None` without any run of the fault.
fn fault_row(
    requirement: &Requirement,
    records: &Records,
    record: &str,
    fault: &str,
    figure: &str,
) -> Option<Row> {
    let mode = mode_of(requirement.sharing);
    let lines = records.lines(record);
    let runs = |fault, figure| {
        lines.iter().filter_map(move |line| RunFigure::from_line(line, (fault, mode, figure)))
    };
    let measured: Vec<RunFigure<'_>> = runs(Some(fault), figure).collect();
    let rank = |run: &RunFigure<'_>| {
        (run.cuts_control, run.sizes.routers * run.sizes.databases, run.sizes.routers, run.sizes.control)
    };
    let at = measured.iter().map(rank).max()?;
    let newest = fit::programs(lines)
        .into_iter()
        .find(|program| measured.iter().any(|run| rank(run) == at && run.program == *program))?;
    let runs_there = measured.iter().filter(|run| rank(run) == at && run.program == newest);
    let runs_there: Vec<&RunFigure<'_>> = runs_there.collect();
    let unfinished = runs_there.iter().map(|run| run.unfinished).fold(0.0, f64::max);
    let most = runs_there.into_iter().max_by(|one, other| one.value.total_cmp(&other.value))?;
    let largest = most.sizes;
    let mut row = unmeasured_row(requirement);
    row.record = citation(record, figure, mode, fault, newest);
    row.at =
        format!("{} routers, {}", format_number(largest.routers as f64), held_text(largest, Axis::Routers));
    if fault == CUT_FAULT && !most.cuts_control && !is_simulated(largest) {
        row.at += "; the instances not cut";
    }
    if unfinished > 0.0 {
        row.error = format!("{} had not when the run ended", format_number(unfinished));
        return Some(row);
    }
    row.figure = Some(round_up(most.value, 3));
    row.sum = "played".to_string();
    row.is_below_target =
        (largest.routers as f64) < TARGET_ROUTERS || (largest.databases as f64) < TARGET_DATABASES;
    let by = if is_simulated(largest) { "simulated" } else { "measured" };
    row.is_other_period = is_other_period(largest, figure);
    let suffix = if row.is_other_period { OTHER_PERIOD_SUFFIX } else { "" };
    row.basis =
        if row.is_below_target { format!("{by} below the target{suffix}") } else { format!("{by}{suffix}") };
    if let Budget::MultipleOfCalm(times, figure) = requirement.budget {
        // A run with a fault starts with calm seconds and contains their figures besides those of the fault.
        let calm = runs(Some(fault), figure).chain(runs(None, figure));
        let is_alike = |run: &RunFigure<'_>| {
            let sizes = |sizes: &Sizes| (sizes.routers, sizes.databases, sizes.control);
            run.program == newest && sizes(run.sizes) == sizes(largest)
        };
        let least = calm.filter(is_alike).map(|run| run.value).reduce(f64::min);
        row.budget = least.map(|least| round_down(least * times, 3));
    }
    Some(row)
}

/// A figure of a run, with or without a fault.
struct RunFigure<'a> {
    program: Option<&'a str>,
    sizes: &'a Sizes,
    /// Whether the fault also cuts the control instances from each other.
    cuts_control: bool,
    /// For a time until all have reached a state: how many had not reached it when the run ended.
    unfinished: f64,
    /// The figure.
    value: f64,
}

impl<'a> RunFigure<'a> {
    fn from_line(line: &'a Line, (wanted, mode, figure): (Option<&str>, Mode, &str)) -> Option<Self> {
        let Line::Run { fault, program, sizes, figures, bounds, .. } = line else { return None };
        if fault.as_deref() != wanted || sizes.mode != mode {
            return None;
        }
        let cuts_control = figures.contains_key(VIEWS_AGREE_FIGURE);
        let value = fit::calibrated_figure(figures, bounds, figure)?;
        let unfinished_counts = COMPLETION_TIMES.iter().filter(|(name, _)| *name == figure);
        let unfinished = unfinished_counts.filter_map(|(_, count)| figures.get(*count)).sum();
        Some(Self { program: program.as_deref(), sizes, cuts_control, unfinished, value })
    }
}

impl Row {
    /// Returns the ratio to the budget. A figure from below the target, or from another number of instances,
    /// has a ratio only if it exceeds the budget: a figure that is within its budget there may exceed it at
    /// the target.
    pub fn ratio(&self) -> Option<Ratio> {
        (!self.is_other_period).then_some(())?;
        let value = round_up(self.figure? / self.budget?, 3);
        let is_conclusive = !self.is_below_target && !self.has_other_instances;
        (is_conclusive || value > 1.0).then_some(Ratio { value, at_least: self.is_below_target })
    }

    /// Returns whether there are a figure and a budget that cannot be compared.
    pub fn lacks_ratio(&self) -> bool {
        self.figure.is_some() && self.budget.is_some() && self.ratio().is_none()
    }

    /// Formats the row in Markdown.
    pub fn to_markdown(&self) -> String {
        let number = |value: Option<f64>| value.map_or(NO_VALUE.to_string(), format_number);
        let budget = self.budget.map_or("none named".to_string(), format_number);
        format!(
            "| {} | {} | {} | {} | {} | {budget} | {} | {} | {} | {} | {} |\n",
            self.role,
            self.quantity,
            self.at,
            self.sum,
            number(self.figure),
            self.ratio().map_or(NO_VALUE.to_string(), Ratio::to_text),
            self.basis,
            self.error,
            self.record,
            self.mechanism,
        )
    }
}
