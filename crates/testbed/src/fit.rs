//! Fits how a figure grows with a size. The largest measured size is left out of the fit, and its measurement
//! is compared with the prediction, which shows whether the form of the curve holds.
//!
//! A point is one size; runs of the same size with different seeds are averaged. Each form is an offset and
//! one slope, found by least squares; the constant form is an offset alone. The form is selected by
//! leave-one-out cross-validation on the fitted points: each point in turn is left out and predicted from the
//! others, and the form with the smallest error is used. A form with a slope replaces the constant only if
//! its error is at least a fifth smaller.
//!
//! A fit never mixes runs of different program versions, because their costs differ. Where a caller names no
//! version, the newest one that was run at enough sizes is used.
//!
//! Runs along one axis at a time cannot distinguish a product of routers and databases from a sum of both.
//! Where the points of both axes fit a product as well as they fit a sum, which has one slope more, the
//! product is used, because it predicts the larger figure.

use std::collections::{BTreeMap, BTreeSet};

use linregress::fit_low_level_regression_model_without_statistics as least_squares;

use crate::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes};

/// Fewest sizes for a fit: the largest is left out, two determine a slope, and one more can show that the
/// points are not on the curve.
pub const MIN_SIZES: usize = 4;
/// A fit is not used if its prediction at the largest size is off by more than this part of the measurement.
pub const MAX_RELATIVE_ERROR: f64 = 0.20;
/// A form with one slope more is used only if its cross-validation error is below this part of the simpler
/// form's.
const EXTRA_SLOPE_ERROR_RATIO: f64 = 0.8;

/// Sums that are fitted beside the single figures, because budgets apply to both directions together.
pub const SUMMED_FIGURES: [&str; 4] = [
    "router_bytes_in_s+router_bytes_out_s",
    "router_messages_in_s+router_messages_out_s",
    "control_bytes_in_s+control_bytes_out_s",
    "control_messages_in_s+control_messages_out_s",
];

/// Relative errors below this are rounding errors of floating-point numbers.
const ROUNDING_ERROR: f64 = 1e-9;

/// Why a figure cannot be fitted.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// There are runs at fewer than [`MIN_SIZES`] sizes of the axis with all other sizes the same.
    #[error("{figure} over {}, {}: {sizes} sizes were measured with all other sizes held, and {MIN_SIZES} are needed", axis.name(), mode.name())]
    TooFew { figure: String, axis: Axis, mode: Mode, sizes: usize },
    /// The regression fails on the values.
    #[error("{figure} over {}, {}: the regression failed: {cause}", axis.name(), mode.name())]
    Regression { figure: String, axis: Axis, mode: Mode, cause: String },
}

/// The runs at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The size on the axis.
    pub size: f64,
    /// Number of routers.
    pub routers: f64,
    /// Number of databases.
    pub databases: f64,
    /// Mean of the figure over the runs.
    pub mean: f64,
    /// Largest figure of a run.
    pub max: f64,
    /// Half the distance between the smallest and the largest run, relative to the mean.
    pub spread: f64,
    /// Number of runs.
    pub runs: usize,
}

/// The points of a figure over an axis.
#[derive(Clone, Debug)]
pub struct Points {
    /// The program version of the runs.
    pub program: Option<String>,
    /// The sizes that are the same for all points, as in the first run at the smallest size.
    pub fixed_sizes: Sizes,
    /// The points in increasing order of size.
    pub points: Vec<Point>,
    /// Sizes that were run, but where calibration failed on the figure in every run.
    pub uncalibrated: Vec<f64>,
}

impl Points {
    /// Returns the smallest size beyond all points at which calibration failed. The figure is unknown from
    /// there on.
    pub fn first_uncalibrated_beyond(&self) -> Option<f64> {
        let largest = self.points.last().map_or(0.0, |point| point.size);
        self.uncalibrated.iter().copied().filter(|size| *size > largest).reduce(f64::min)
    }
}

impl Fit {
    /// Returns the figure at a size. For [`Form::Product`], `size` is routers times databases.
    pub fn predict(&self, size: f64) -> f64 {
        self.offset + self.slope * regressor(self.form, size)
    }

    /// Returns whether the curve predicted the largest size well enough to be used for other sizes.
    pub fn is_usable(&self) -> bool {
        self.relative_error <= MAX_RELATIVE_ERROR
    }
}

/// Returns the value by which the slope is multiplied.
pub fn regressor(form: Form, size: f64) -> f64 {
    match form {
        Form::Constant => 0.0,
        Form::Log => size.ln(),
        Form::Linear | Form::Product => size,
        Form::Square => size * size,
    }
}

/// Returns the size of a run on an axis.
pub fn size_on_axis(sizes: &Sizes, axis: Axis) -> f64 {
    match axis {
        Axis::Routers => sizes.routers as f64,
        Axis::Databases => sizes.databases as f64,
        Axis::Connections => sizes.connections as f64,
        Axis::Statements => sizes.statements,
        Axis::Changes => sizes.changes,
    }
}

/// Returns whether a figure can be used: calibration compares hollow routers with real ones, so it can fail
/// on figures of routers only.
fn is_calibrated(bounds: &[Bound], name: &str) -> bool {
    let router_figure = name.strip_prefix("router_");
    // A bound on the measurement error of a calibration counts as one of its bounds: if the error is too
    // large, there is no calibration.
    let calibrated_name = |bound: &Bound| {
        let name = bound.figure.strip_prefix("calibration_")?;
        Some(name.strip_suffix("_error").unwrap_or(name).to_string())
    };
    let has_failed = |bound: &Bound| !bound.held && calibrated_name(bound).as_deref() == router_figure;
    router_figure.is_none() || !bounds.iter().any(has_failed)
}

/// Returns a figure by its name, or the sum of several whose names are joined by `+`. Returns `None` if one
/// of them is missing or failed calibration.
pub fn calibrated_figure(figures: &BTreeMap<String, f64>, bounds: &[Bound], name: &str) -> Option<f64> {
    name.split('+').map(|name| figures.get(name.trim()).filter(|_| is_calibrated(bounds, name.trim()))).sum()
}

/// Returns a figure or sum that failed calibration, with the larger of the figures of hollow and real
/// routers. Returns `None` if none of its parts failed.
fn uncalibrated_figure(figures: &BTreeMap<String, f64>, bounds: &[Bound], name: &str) -> Option<f64> {
    let part = |name: &str| {
        let value = *figures.get(name)?;
        let kind = |kind: &str| figures.get(&name.replacen("router_", kind, 1)).copied().unwrap_or(value);
        Some(if is_calibrated(bounds, name) { value } else { value.max(kind("hollow_")).max(kind("real_")) })
    };
    if name.split('+').all(|name| is_calibrated(bounds, name.trim())) {
        return None;
    }
    name.split('+').map(|name| part(name.trim())).sum()
}

/// Returns the sizes that must be the same in two runs for both to be points of one axis.
fn fixed_key(sizes: &Sizes, axis: Axis) -> [u64; 7] {
    let size_unless = |other: Axis| if axis == other { 0.0 } else { size_on_axis(sizes, other) };
    let all = [
        size_unless(Axis::Routers),
        size_unless(Axis::Databases),
        size_unless(Axis::Connections),
        size_unless(Axis::Statements),
        size_unless(Axis::Changes),
        sizes.control as f64,
        sizes.period_s,
    ];
    // The bit patterns of non-negative numbers have the same order as the numbers.
    all.map(f64::to_bits)
}

/// Returns whether the sizes of two runs differ in nothing but routers and databases.
pub fn differ_only_in_routers_and_databases(one: &Sizes, other: &Sizes) -> bool {
    let other_sizes_key = |sizes: &Sizes| fixed_key(&Sizes { routers: 0, ..sizes.clone() }, Axis::Databases);
    other_sizes_key(one) == other_sizes_key(other)
}

/// Returns the program versions in a record, the newest first. The version whose first run is later in the
/// record is the newer one.
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

/// Returns the points of one program version: its calm runs that differ in the axis alone. If there are
/// several such series, the one with the most sizes is used, and among those with equally many the one whose
/// other sizes are larger.
pub fn points_of_program(
    lines: &[Line],
    wanted_program: Option<&str>,
    axis: Axis,
    mode: Mode,
    name: &str,
) -> Option<Points> {
    let mut series = BTreeMap::<[u64; 7], BTreeMap<u64, Runs<'_>>>::new();
    for line in lines {
        let Line::Run { fault: None, program, sizes, figures, bounds, .. } = line else { continue };
        if sizes.mode != mode || program.as_deref() != wanted_program {
            continue;
        }
        let runs_by_size = series.entry(fixed_key(sizes, axis)).or_default();
        let runs = runs_by_size.entry(size_on_axis(sizes, axis).to_bits()).or_default();
        runs.calibrated.extend(calibrated_figure(figures, bounds, name).map(|value| (sizes, value)));
        runs.uncalibrated.extend(uncalibrated_figure(figures, bounds, name).map(|value| (sizes, value)));
    }
    let count = |runs_by_size: &BTreeMap<u64, Runs<'_>>| {
        runs_by_size.values().filter(|runs| !runs.calibrated.is_empty()).count()
    };
    let (_, mut runs_by_size) =
        series.into_iter().max_by_key(|(key, runs_by_size)| (count(runs_by_size), *key))?;
    let failed =
        runs_by_size.iter().filter(|(_, runs)| runs.calibrated.is_empty() && !runs.uncalibrated.is_empty());
    let uncalibrated = failed.map(|(size, _)| f64::from_bits(*size)).collect();
    runs_by_size.retain(|_, runs| !runs.calibrated.is_empty());
    let point = |runs: &Runs<'_>| {
        let runs = runs.counted();
        let (min, max) = runs
            .iter()
            .fold((f64::MAX, f64::MIN), |(low, high), (_, value)| (low.min(*value), high.max(*value)));
        let mean = runs.iter().map(|(_, value)| value).sum::<f64>() / runs.len() as f64;
        let sizes = runs[0].0;
        Point {
            size: size_on_axis(sizes, axis),
            routers: sizes.routers as f64,
            databases: sizes.databases as f64,
            mean,
            max,
            spread: relative_deviation((max - min) / 2.0, mean),
            runs: runs.len(),
        }
    };
    let fixed_sizes = runs_by_size.values().next()?.calibrated.first()?.0.clone();
    let points = runs_by_size.values().map(point).collect();
    Some(Points { program: wanted_program.map(str::to_string), fixed_sizes, points, uncalibrated })
}

/// Returns the [`points_of_program`] of the newest version that was run at enough sizes, or else of the
/// version with the most sizes.
pub fn newest_points(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Option<Points> {
    let all = programs(lines)
        .into_iter()
        .rev()
        .filter_map(|program| points_of_program(lines, program, axis, mode, name));
    all.max_by_key(|points| points.points.len().min(MIN_SIZES))
}

/// The figure in the runs of one size.
#[derive(Default)]
struct Runs<'a> {
    /// Runs whose calibration held.
    calibrated: Vec<(&'a Sizes, f64)>,
    /// Runs whose calibration failed.
    uncalibrated: Vec<(&'a Sizes, f64)>,
}

impl<'a> Runs<'a> {
    /// Returns the runs whose calibration held, and of the others those with a figure above the mean of
    /// these: repeating a size until calibration holds must not make it look cheaper.
    fn counted(&self) -> Vec<(&'a Sizes, f64)> {
        let mean =
            self.calibrated.iter().map(|(_, value)| value).sum::<f64>() / self.calibrated.len().max(1) as f64;
        self.calibrated
            .iter()
            .chain(self.uncalibrated.iter().filter(|(_, value)| *value > mean))
            .copied()
            .collect()
    }
}

/// Returns a deviation relative to the measured value. Relative to zero, any deviation counts as 1.
fn relative_deviation(deviation: f64, measured: f64) -> f64 {
    match (deviation.abs(), measured.abs()) {
        (0.0, _) => 0.0,
        (_, 0.0) => 1.0,
        (deviation, measured) => deviation / measured,
    }
}

/// Offset and slope.
type Curve = (f64, f64);

/// Fits a form by least squares; for a constant that is the mean. The values of the form are scaled to at
/// most one, because with the squares of large sizes the offset would be lost to rounding.
fn fit_curve(form: Form, points: &[(f64, f64)]) -> Result<Curve, linregress::Error> {
    if form == Form::Constant {
        return Ok((points.iter().map(|(_, value)| value).sum::<f64>() / points.len() as f64, 0.0));
    }
    let scale = points
        .iter()
        .map(|(size, _)| regressor(form, *size).abs())
        .fold(0.0, f64::max)
        .max(f64::MIN_POSITIVE);
    let row = |(size, value): &(f64, f64)| [*value, 1.0, regressor(form, *size) / scale];
    let rows: Vec<f64> = points.iter().flat_map(row).collect();
    let coefficients = least_squares(&rows, points.len(), 3)?;
    Ok((coefficients[0], coefficients[1] / scale))
}

/// Returns the leave-one-out cross-validation error of a form: the root mean square of the deviations,
/// relative to the mean figure.
fn cross_validation_error(form: Form, points: &[(f64, f64)]) -> Result<f64, linregress::Error> {
    let mut squares = 0.0;
    for index in 0..points.len() {
        let mut others = points.to_vec();
        let (size, value) = others.remove(index);
        let (offset, slope) = fit_curve(form, &others)?;
        squares += (offset + slope * regressor(form, size) - value).powi(2);
    }
    let mean = points.iter().map(|(_, value)| value.abs()).sum::<f64>() / points.len() as f64;
    Ok(relative_deviation((squares / points.len() as f64).sqrt(), mean))
}

/// Returns the [`cross_validation_error`] of the sum of a line over routers and a line over databases.
fn sum_cross_validation_error(points: &[Point]) -> Result<f64, linregress::Error> {
    let max_of = |size: fn(&Point) -> f64| points.iter().map(size).fold(f64::MIN_POSITIVE, f64::max);
    let (routers, databases) = (max_of(|point| point.routers), max_of(|point| point.databases));
    let row = |point: &Point| [1.0, point.routers / routers, point.databases / databases];
    let mut squares = 0.0;
    for (index, point) in points.iter().enumerate() {
        let others = points.iter().enumerate().filter(|(other, _)| *other != index);
        let rows: Vec<f64> =
            others.flat_map(|(_, other)| std::iter::once(other.mean).chain(row(other))).collect();
        let coefficients = least_squares(&rows, points.len() - 1, 4)?;
        let value: f64 = coefficients.iter().zip(row(point)).map(|(slope, size)| slope * size).sum();
        squares += (value - point.mean).powi(2);
    }
    let mean = points.iter().map(|point| point.mean.abs()).sum::<f64>() / points.len() as f64;
    Ok(relative_deviation((squares / points.len() as f64).sqrt(), mean))
}

/// Returns whether a product is used instead of a sum. The sum has one slope more, so it is used only if its
/// error is below [`EXTRA_SLOPE_ERROR_RATIO`] of the product's.
fn is_product(product: &[(f64, f64)], points: &[Point]) -> Result<bool, linregress::Error> {
    let error = cross_validation_error(Form::Product, product)?;
    Ok(error < ROUNDING_ERROR || sum_cross_validation_error(points)? >= error * EXTRA_SLOPE_ERROR_RATIO)
}

/// Returns the form with the smallest cross-validation error.
fn best_form(points: &[(f64, f64)]) -> Result<Form, linregress::Error> {
    let constant = cross_validation_error(Form::Constant, points)?;
    let mut best = (Form::Constant, constant * EXTRA_SLOPE_ERROR_RATIO);
    for form in [Form::Log, Form::Linear, Form::Square] {
        if form == Form::Log && points.iter().any(|(size, _)| *size <= 0.0) {
            continue;
        }
        let error = cross_validation_error(form, points)?;
        if error < best.1 {
            best = (form, error);
        }
    }
    Ok(best.0)
}

/// Fits a figure over an axis, in the runs of the newest program version that was run at enough sizes.
///
/// # Errors
/// There are fewer than four sizes, or the regression fails on the values.
pub fn fit_newest(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Result<Fit, FitError> {
    let program = newest_points(lines, axis, mode, name).and_then(|points| points.program);
    fit_program(lines, program.as_deref(), axis, mode, name)
}

/// Fits a figure over an axis, in the runs of one program version.
///
/// # Errors
/// As [`fit_newest`].
pub fn fit_program(
    lines: &[Line],
    wanted_program: Option<&str>,
    axis: Axis,
    mode: Mode,
    name: &str,
) -> Result<Fit, FitError> {
    let too_few = |sizes| FitError::TooFew { figure: name.to_string(), axis, mode, sizes };
    let measured_points =
        points_of_program(lines, wanted_program, axis, mode, name).ok_or_else(|| too_few(0))?;
    let Points { program, fixed_sizes: held_sizes, points: all, .. } = measured_points;
    if all.len() < MIN_SIZES {
        return Err(too_few(all.len()));
    }
    let regression_failed = |error: linregress::Error| FitError::Regression {
        figure: name.to_string(),
        axis,
        mode,
        cause: error.to_string(),
    };
    let (largest, fitted) = all.split_last().ok_or_else(|| too_few(0))?;
    let points_by_size: Vec<_> = fitted.iter().map(|point| (point.size, point.mean)).collect();
    let mut form = best_form(&points_by_size).map_err(regression_failed)?;
    let (mut fitted_points, mut input) = (points_by_size, largest.size);
    let other = match axis {
        Axis::Routers => Some(Axis::Databases),
        Axis::Databases => Some(Axis::Routers),
        _ => None,
    };
    if let (Form::Linear, Some(other)) = (form, other) {
        let others = points_of_program(lines, wanted_program, other, mode, name)
            .filter(|others| differ_only_in_routers_and_databases(&others.fixed_sizes, &held_sizes))
            .map_or(Vec::new(), |points| points.points);
        let mut both = fitted.to_vec();
        both.extend_from_slice(&others[..others.len().saturating_sub(1)]);
        let product: Vec<_> =
            both.iter().map(|point| (point.routers * point.databases, point.mean)).collect();
        // Without enough sizes on the other axis, a product cannot be distinguished from a line.
        if others.len() >= MIN_SIZES && is_product(&product, &both).map_err(regression_failed)? {
            (form, fitted_points, input) = (Form::Product, product, largest.routers * largest.databases);
        }
    }
    let (offset, slope) = fit_curve(form, &fitted_points).map_err(regression_failed)?;
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
        points: fitted_points.len(),
        largest_size: largest.size,
        predicted: 0.0,
        measured: largest.mean,
        relative_error: 0.0,
    };
    fit.residual = fitted_points
        .iter()
        .map(|(size, value)| relative_deviation(fit.predict(*size) - value, *value))
        .fold(0.0, f64::max);
    fit.predicted = fit.predict(input);
    fit.relative_error = relative_deviation(fit.predicted - fit.measured, fit.measured);
    Ok(fit)
}

/// Fits every figure and each of [`SUMMED_FIGURES`] over every axis in every mode, for each program version
/// that was run at enough sizes. The oldest version comes first, then the order is by mode, figure and axis.
pub fn fit_all(lines: &[Line]) -> Vec<Fit> {
    let mut figures_by_mode = BTreeSet::new();
    for line in lines {
        if let Line::Run { sizes, figures, .. } = line {
            let names = figures.keys().map(String::as_str).chain(SUMMED_FIGURES);
            figures_by_mode.extend(names.map(|name| (sizes.mode, name)));
        }
    }
    let of_program = |program| {
        let all =
            figures_by_mode.iter().flat_map(move |(mode, name)| Axis::ALL.map(|axis| (axis, *mode, *name)));
        all.filter_map(move |(axis, mode, name)| fit_program(lines, program, axis, mode, name).ok())
    };
    programs(lines).into_iter().rev().flat_map(of_program).collect()
}
