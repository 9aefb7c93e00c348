//! How a figure grows with a size: fitted on the sizes played but the largest, which tells whether the form holds.
//!
//! A point is one size; several runs of it (seeds) are averaged. Each form is an offset and one slope by least squares,
//! a constant an offset alone. A form is chosen by the fitted points alone: each of them is left out in turn and
//! predicted from the others, and the form with the least error is taken. A slope must earn its place: it is dropped
//! for a constant unless it takes a fifth off the constant's error.
//!
//! Runs of different programs are never in one fit: what a newer one costs is not what an older one did. Of several the
//! newest counts whose runs are at enough sizes.
//!
//! Runs along the axes cannot tell routers times databases from a sum of both. Where the points of both axes lie on one
//! product as well as on a sum, with its further slope, it is taken for the product, which asks for more.

use std::collections::{BTreeMap, BTreeSet};

use linregress::fit_low_level_regression_model_without_statistics as least_squares;

use crate::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes};

/// One is left out, two decide a slope, and one is left to say that a line is none.
pub const MIN_SIZES: usize = 4;
/// A prediction that is off by more speaks for another form.
pub const MAX_RELATIVE_ERROR: f64 = 0.20;
/// A slope must bring the error of left-out points down to this part of a constant's.
const WORTH_A_SLOPE: f64 = 0.8;

/// What is fitted beside the figures themselves: budgets are for both ways together.
pub const SUMMED_FIGURES: [&str; 4] = [
    "router_bytes_in_s+router_bytes_out_s",
    "router_messages_in_s+router_messages_out_s",
    "control_bytes_in_s+control_bytes_out_s",
    "control_messages_in_s+control_messages_out_s",
];

/// What is left of an error by the binary form of numbers.
const EXACT: f64 = 1e-9;

/// Why nothing is fitted.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    #[error("{figure} over {}, {}: {sizes} sizes were played with all else held, and {MIN_SIZES} are needed", axis.name(), mode.name())]
    TooFew { figure: String, axis: Axis, mode: Mode, sizes: usize },
    #[error("{figure} over {}, {}: {cause}", axis.name(), mode.name())]
    Numbers { figure: String, axis: Axis, mode: Mode, cause: String },
}

/// What was played at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub size: f64,
    pub routers: f64,
    pub databases: f64,
    /// Of its runs.
    pub mean: f64,
    pub max: f64,
    /// Half the distance between the least and the most, as a part of the mean.
    pub spread: f64,
    pub runs: usize,
}

/// The points of a figure over an axis, by size, and what was held: the sizes of the first run there.
#[derive(Clone, Debug)]
pub struct Points {
    pub program: Option<String>,
    pub fixed_sizes: Sizes,
    pub points: Vec<Point>,
    /// Sizes at which there were runs, but none whose calibration held on the figure.
    pub uncalibrated: Vec<f64>,
}

impl Points {
    /// The least size beyond all points at which calibration failed: of what is there and beyond nothing is known.
    pub fn first_uncalibrated_beyond(&self) -> Option<f64> {
        let largest = self.points.last().map_or(0.0, |point| point.size);
        self.uncalibrated.iter().copied().filter(|size| *size > largest).reduce(f64::min)
    }
}

impl Fit {
    /// The figure at a size; of a product, at routers times databases.
    pub fn predict(&self, size: f64) -> f64 {
        self.offset + self.slope * regressor(self.form, size)
    }

    /// Whether the form predicted the largest size well enough for other sizes to be predicted by it.
    pub fn is_usable(&self) -> bool {
        self.relative_error <= MAX_RELATIVE_ERROR
    }
}

/// What the slope is multiplied by.
pub fn regressor(form: Form, size: f64) -> f64 {
    match form {
        Form::Constant => 0.0,
        Form::Log => size.ln(),
        Form::Linear | Form::Product => size,
        Form::Square => size * size,
    }
}

/// The place of a run on an axis.
pub fn size_on_axis(sizes: &Sizes, axis: Axis) -> f64 {
    match axis {
        Axis::Routers => sizes.routers as f64,
        Axis::Databases => sizes.databases as f64,
        Axis::Connections => sizes.connections as f64,
        Axis::Statements => sizes.statements,
        Axis::Changes => sizes.changes,
    }
}

/// Whether calibration did not fail on a figure.
fn stands(bounds: &[Bound], name: &str) -> bool {
    let of_routers = name.strip_prefix("router_");
    // Nor is there a calibration where what it rests on is lost in its error.
    let of_bound = |bound: &Bound| {
        let name = bound.figure.strip_prefix("calibration_")?;
        Some(name.strip_suffix("_error").unwrap_or(name).to_string())
    };
    let is_broken = |bound: &Bound| !bound.held && of_bound(bound).as_deref() == of_routers;
    of_routers.is_none() || !bounds.iter().any(is_broken)
}

/// A figure by its name, or a sum of several by their names with `+` between them. What hollow routers showed in a run
/// whose calibration failed on it counts for nothing.
pub fn calibrated_figure(figures: &BTreeMap<String, f64>, bounds: &[Bound], name: &str) -> Option<f64> {
    name.split('+').map(|name| figures.get(name.trim()).filter(|_| stands(bounds, name.trim()))).sum()
}

/// The same of a run whose calibration failed on it: what the costlier kind of routers showed.
fn uncalibrated(figures: &BTreeMap<String, f64>, bounds: &[Bound], name: &str) -> Option<f64> {
    let part = |name: &str| {
        let is = *figures.get(name)?;
        let kind = |kind: &str| figures.get(&name.replacen("router_", kind, 1)).copied().unwrap_or(is);
        Some(if stands(bounds, name) { is } else { is.max(kind("hollow_")).max(kind("real_")) })
    };
    if name.split('+').all(|name| stands(bounds, name.trim())) {
        return None;
    }
    name.split('+').map(|name| part(name.trim())).sum()
}

/// All that must be the same in two runs for them to be points of one axis.
fn held(sizes: &Sizes, axis: Axis) -> [u64; 7] {
    let but = |other: Axis| if axis == other { 0.0 } else { size_on_axis(sizes, other) };
    let all = [
        but(Axis::Routers),
        but(Axis::Databases),
        but(Axis::Connections),
        but(Axis::Statements),
        but(Axis::Changes),
        sizes.control as f64,
        sizes.period_s,
    ];
    // The bits of numbers that are not negative are in their order.
    all.map(f64::to_bits)
}

/// Whether nothing but routers and databases differs.
pub fn differ_only_in_routers_and_databases(one: &Sizes, other: &Sizes) -> bool {
    let but_both = |sizes: &Sizes| held(&Sizes { routers: 0, ..sizes.clone() }, Axis::Databases);
    but_both(one) == but_both(other)
}

/// The programs whose runs a record has, the newest first: of two the one whose runs begin later in the record.
pub fn programs(lines: &[Line]) -> Vec<Option<&str>> {
    let mut programs = Vec::new();
    for line in lines {
        let Line::Run { program, .. } = line else { continue };
        if !programs.contains(&program.as_deref()) {
            programs.push(program.as_deref());
        }
    }
    programs.reverse();
    programs
}

/// The calm runs of one program that differ in the axis alone. Where runs were held at several places, those with the
/// most sizes count, and of as many those held at the larger ones.
pub fn points_of_program(
    lines: &[Line],
    of: Option<&str>,
    axis: Axis,
    mode: Mode,
    name: &str,
) -> Option<Points> {
    let mut places = BTreeMap::<[u64; 7], BTreeMap<u64, Runs<'_>>>::new();
    for line in lines {
        let Line::Run { fault: None, program, sizes, figures, bounds, .. } = line else { continue };
        if sizes.mode != mode || program.as_deref() != of {
            continue;
        }
        let place = places.entry(held(sizes, axis)).or_default();
        let runs = place.entry(size_on_axis(sizes, axis).to_bits()).or_default();
        runs.stand.extend(calibrated_figure(figures, bounds, name).map(|is| (sizes, is)));
        runs.fail.extend(uncalibrated(figures, bounds, name).map(|is| (sizes, is)));
    }
    let count =
        |of_size: &BTreeMap<u64, Runs<'_>>| of_size.values().filter(|runs| !runs.stand.is_empty()).count();
    let (_, mut of_size) = places.into_iter().max_by_key(|(held, of_size)| (count(of_size), *held))?;
    let failed = of_size.iter().filter(|(_, runs)| runs.stand.is_empty() && !runs.fail.is_empty());
    let uncalibrated = failed.map(|(size, _)| f64::from_bits(*size)).collect();
    of_size.retain(|_, runs| !runs.stand.is_empty());
    let point = |runs: &Runs<'_>| {
        let runs = runs.that_count();
        let (least, max) =
            runs.iter().fold((f64::MAX, f64::MIN), |(low, high), (_, is)| (low.min(*is), high.max(*is)));
        let mean = runs.iter().map(|(_, is)| is).sum::<f64>() / runs.len() as f64;
        let sizes = runs[0].0;
        Point {
            size: size_on_axis(sizes, axis),
            routers: sizes.routers as f64,
            databases: sizes.databases as f64,
            mean,
            max,
            spread: off((max - least) / 2.0, mean),
            runs: runs.len(),
        }
    };
    let fixed_sizes = of_size.values().next()?.stand.first()?.0.clone();
    let points = of_size.values().map(point).collect();
    Some(Points { program: of.map(str::to_string), fixed_sizes, points, uncalibrated })
}

/// As [`points_of_program`] the newest program with enough sizes; where none has, of that with the most.
pub fn newest_points(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Option<Points> {
    let all =
        programs(lines).into_iter().rev().filter_map(|of| points_of_program(lines, of, axis, mode, name));
    all.max_by_key(|points| points.points.len().min(MIN_SIZES))
}

/// What the runs of one size showed.
#[derive(Default)]
struct Runs<'a> {
    stand: Vec<(&'a Sizes, f64)>,
    /// Those whose calibration failed.
    fail: Vec<(&'a Sizes, f64)>,
}

impl<'a> Runs<'a> {
    /// Those whose calibration held, and of the others each that showed more than these in the mean: a size that is
    /// played again until calibration holds must not come out cheaper for it.
    fn that_count(&self) -> Vec<(&'a Sizes, f64)> {
        let mean = self.stand.iter().map(|(_, is)| is).sum::<f64>() / self.stand.len().max(1) as f64;
        self.stand.iter().chain(self.fail.iter().filter(|(_, is)| *is > mean)).copied().collect()
    }
}

/// A deviation as a part of what was played; of nothing, all of it.
fn off(by: f64, played: f64) -> f64 {
    match (by.abs(), played.abs()) {
        (0.0, _) => 0.0,
        (_, 0.0) => 1.0,
        (by, played) => by / played,
    }
}

/// Offset and slope.
type Curve = (f64, f64);

/// Least squares, which for a constant is the mean. The form's values are brought to one at the most, so that no square
/// of a size drowns the offset.
fn curve(form: Form, points: &[(f64, f64)]) -> Result<Curve, linregress::Error> {
    if form == Form::Constant {
        return Ok((points.iter().map(|(_, is)| is).sum::<f64>() / points.len() as f64, 0.0));
    }
    let scale =
        points.iter().map(|(at, _)| regressor(form, *at).abs()).fold(0.0, f64::max).max(f64::MIN_POSITIVE);
    let row = |(at, is): &(f64, f64)| [*is, 1.0, regressor(form, *at) / scale];
    let rows: Vec<f64> = points.iter().flat_map(row).collect();
    let found = least_squares(&rows, points.len(), 3)?;
    Ok((found[0], found[1] / scale))
}

/// The error of points that are left out in turn, as a part of the mean figure.
fn left_out(form: Form, points: &[(f64, f64)]) -> Result<f64, linregress::Error> {
    let mut squares = 0.0;
    for place in 0..points.len() {
        let mut others = points.to_vec();
        let (at, is) = others.remove(place);
        let (offset, slope) = curve(form, &others)?;
        squares += (offset + slope * regressor(form, at) - is).powi(2);
    }
    let mean = points.iter().map(|(_, is)| is.abs()).sum::<f64>() / points.len() as f64;
    Ok(off((squares / points.len() as f64).sqrt(), mean))
}

/// As [`left_out`], of a sum of a line over routers and one over databases.
fn left_out_of_sum(points: &[Point]) -> Result<f64, linregress::Error> {
    let most = |size: fn(&Point) -> f64| points.iter().map(size).fold(f64::MIN_POSITIVE, f64::max);
    let (routers, databases) = (most(|point| point.routers), most(|point| point.databases));
    let row = |point: &Point| [1.0, point.routers / routers, point.databases / databases];
    let mut squares = 0.0;
    for (place, point) in points.iter().enumerate() {
        let others = points.iter().enumerate().filter(|(other, _)| *other != place);
        let rows: Vec<f64> =
            others.flat_map(|(_, other)| std::iter::once(other.mean).chain(row(other))).collect();
        let found = least_squares(&rows, points.len() - 1, 4)?;
        let is: f64 = found.iter().zip(row(point)).map(|(slope, size)| slope * size).sum();
        squares += (is - point.mean).powi(2);
    }
    let mean = points.iter().map(|point| point.mean.abs()).sum::<f64>() / points.len() as f64;
    Ok(off((squares / points.len() as f64).sqrt(), mean))
}

/// Whether a product does as well as a sum, whose second slope must earn its place too.
fn is_product(product: &[(f64, f64)], points: &[Point]) -> Result<bool, linregress::Error> {
    let error = left_out(Form::Product, product)?;
    Ok(error < EXACT || left_out_of_sum(points)? >= error * WORTH_A_SLOPE)
}

/// The form that predicts best what is left out.
fn best(points: &[(f64, f64)]) -> Result<Form, linregress::Error> {
    let constant = left_out(Form::Constant, points)?;
    let mut best = (Form::Constant, constant * WORTH_A_SLOPE);
    for form in [Form::Log, Form::Linear, Form::Square] {
        if form == Form::Log && points.iter().any(|(at, _)| *at <= 0.0) {
            continue;
        }
        let error = left_out(form, points)?;
        if error < best.1 {
            best = (form, error);
        }
    }
    Ok(best.0)
}

/// The newest program's that was played at enough sizes.
///
/// # Errors
/// Fewer than four sizes were played, or the numbers are none that can be fitted.
pub fn fit_newest(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Result<Fit, FitError> {
    let program = newest_points(lines, axis, mode, name).and_then(|points| points.program);
    fit_program(lines, program.as_deref(), axis, mode, name)
}

/// One program's.
///
/// # Errors
/// As [`fit_newest`].
pub fn fit_program(
    lines: &[Line],
    of: Option<&str>,
    axis: Axis,
    mode: Mode,
    name: &str,
) -> Result<Fit, FitError> {
    let too_few = |sizes| FitError::TooFew { figure: name.to_string(), axis, mode, sizes };
    let played = points_of_program(lines, of, axis, mode, name).ok_or_else(|| too_few(0))?;
    let Points { program, fixed_sizes: held_at, points: all, .. } = played;
    if all.len() < MIN_SIZES {
        return Err(too_few(all.len()));
    }
    let numbers = |error: linregress::Error| FitError::Numbers {
        figure: name.to_string(),
        axis,
        mode,
        cause: error.to_string(),
    };
    let (largest, fitted) = all.split_last().ok_or_else(|| too_few(0))?;
    let by_size: Vec<_> = fitted.iter().map(|point| (point.size, point.mean)).collect();
    let mut form = best(&by_size).map_err(numbers)?;
    let (mut chosen, mut at) = (by_size, largest.size);
    let other = match axis {
        Axis::Routers => Some(Axis::Databases),
        Axis::Databases => Some(Axis::Routers),
        _ => None,
    };
    if let (Form::Linear, Some(other)) = (form, other) {
        let others = points_of_program(lines, of, other, mode, name)
            .filter(|others| differ_only_in_routers_and_databases(&others.fixed_sizes, &held_at))
            .map_or(Vec::new(), |points| points.points);
        let mut both = fitted.to_vec();
        both.extend_from_slice(&others[..others.len().saturating_sub(1)]);
        let product: Vec<_> =
            both.iter().map(|point| (point.routers * point.databases, point.mean)).collect();
        // Without sizes of the other axis there is nothing that could tell.
        if others.len() >= MIN_SIZES && is_product(&product, &both).map_err(numbers)? {
            (form, chosen, at) = (Form::Product, product, largest.routers * largest.databases);
        }
    }
    let (offset, slope) = curve(form, &chosen).map_err(numbers)?;
    let mut fit = Fit {
        program,
        axis,
        mode,
        figure: name.to_string(),
        form,
        slope,
        offset,
        residual: 0.0,
        spread: all.iter().map(|point| point.spread).fold(0.0, f64::max),
        points: chosen.len(),
        largest_size: largest.size,
        predicted: 0.0,
        measured: largest.mean,
        relative_error: 0.0,
    };
    fit.residual = chosen.iter().map(|(at, is)| off(fit.predict(*at) - is, *is)).fold(0.0, f64::max);
    fit.predicted = fit.predict(at);
    fit.relative_error = off(fit.predicted - fit.measured, fit.measured);
    Ok(fit)
}

/// Every figure, and each of [`SUMMED_FIGURES`], over every axis in every mode that a program was played in at enough sizes, in
/// this order, the oldest program first.
pub fn fit_all(lines: &[Line]) -> Vec<Fit> {
    let mut wanted = BTreeSet::new();
    for line in lines {
        if let Line::Run { sizes, figures, .. } = line {
            let names = figures.keys().map(String::as_str).chain(SUMMED_FIGURES);
            wanted.extend(names.map(|name| (sizes.mode, name)));
        }
    }
    let of_program = |of| {
        let all = wanted.iter().flat_map(move |(mode, name)| Axis::ALL.map(|axis| (axis, *mode, *name)));
        all.filter_map(move |(axis, mode, name)| fit_program(lines, of, axis, mode, name).ok())
    };
    programs(lines).into_iter().rev().flat_map(of_program).collect()
}
