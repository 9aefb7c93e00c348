//! The row of a calm figure at one size of one axis: measured there, or predicted by the fit over the axis.

use super::{
    AxisRow, Curve, NO_VALUE, OTHER_PERIOD_SUFFIX, Row, RunSelection, basis_prefix, citation, held_text,
    is_held_below, is_other_period, sizes_besides_axes, unmeasured_row,
};
use crate::capacity::asks::{Requirement, TargetSize};
use crate::capacity::numbers::{format_number, round_up, round_up_to_thousandth};
use crate::fit;
use crate::record::{Axis, Fit, Form, Sizes};

/// Returns the row of a requirement at one size of one axis. `others` are the sizes of the requirement on all
/// axes.
pub(super) fn axis_row(
    requirement: &Requirement,
    selection: RunSelection<'_>,
    target_size: TargetSize,
    all_sizes: &[TargetSize],
) -> AxisRow {
    let axis = target_size.axis();
    let requested_size = match target_size {
        TargetSize::OnAxis(_, size) => size,
        TargetSize::PerInstance { followers, .. } => followers,
    };
    let mut row = unmeasured_row(requirement);
    row.record = citation(
        selection.record,
        selection.figure,
        selection.mode,
        &format!("over {}", axis.name()),
        selection.program,
    );
    let Some(points) = selection.points(axis) else {
        row.at = format!("{} {}", format_number(round_up(requested_size, 6)), axis.name());
        row.error = "no run".to_string();
        return AxisRow { row, curve: None, held: None, size: requested_size };
    };
    let held_sizes = points.fixed_sizes.clone();
    let size = target_size.size(held_sizes.control);
    set_place(&mut row, target_size, all_sizes, &held_sizes, selection.figure);
    let fit = match selection.fit(axis) {
        Ok(fit) => Some(fit),
        Err(error) => {
            row.error = missing_fit_text(&error);
            None
        }
    };
    let is_product = fit.as_ref().is_some_and(|fit| fit.form == Form::Product);
    let other = is_product.then(|| other_factor(axis, all_sizes, &held_sizes));
    let target = Target { axis, size, other, points: &points };
    let usable = fit.as_ref().filter(|fit| fit.is_usable());
    let curve = usable.map(|fit| Curve::new(fit, &points.points, size, target.form_input()));
    let curve = if let Some(point) = points.points.iter().find(|point| point.size == size) {
        set_measured(&mut row, point, &held_sizes);
        curve
    } else if let Some(fit) = fit {
        set_predicted(&mut row, &fit, curve, &target)
    } else {
        None
    };
    AxisRow { row, curve, held: Some(held_sizes), size }
}

/// The size that a row is for.
struct Target<'a> {
    axis: Axis,
    size: f64,
    /// For a product, the other axis and its size.
    other: Option<(Axis, f64)>,
    points: &'a fit::Points,
}

impl Target<'_> {
    /// Returns the argument for the form of the fit.
    fn form_input(&self) -> f64 {
        self.size * self.other.map_or(1.0, |(_, factor)| factor)
    }
}

/// Sets the size of the row, the sizes held, and the flags that say how these differ from the target.
fn set_place(
    row: &mut Row,
    target_size: TargetSize,
    all_sizes: &[TargetSize],
    held_sizes: &Sizes,
    figure: &str,
) {
    let axis = target_size.axis();
    let size = target_size.size(held_sizes.control);
    let at = match target_size {
        TargetSize::PerInstance { followers, .. } => {
            let (each, instances) = (format_number(round_up(followers, 6)), held_sizes.control);
            format!("{each} routers an instance, {} before {instances}", format_number(size))
        }
        TargetSize::OnAxis(..) => format!("{} {}", format_number(size), axis.name()),
    };
    row.at = format!("{at}; {} held", held_text(held_sizes, axis));
    row.is_other_period = is_other_period(held_sizes, figure);
    row.is_below_target = is_held_below(held_sizes, axis, all_sizes);
    row.has_other_instances = all_sizes
        .iter()
        .any(|target_size| matches!(target_size, TargetSize::PerInstance { machines, .. } if *machines != held_sizes.control as f64));
}

/// Returns the reason for a missing fit, as the row shows it.
fn missing_fit_text(error: &fit::FitError) -> String {
    match error {
        fit::FitError::TooFew { sizes, .. } => format!("sizes played: {sizes}, needed: {}", fit::MIN_SIZES),
        fit::FitError::Regression { .. } => "no fit".to_string(),
    }
}

/// Returns the other axis of a product and its size: the one that the requirement names, or else the one that
/// was held.
fn other_factor(axis: Axis, all_sizes: &[TargetSize], held_sizes: &Sizes) -> (Axis, f64) {
    let other = if axis == Axis::Routers { Axis::Databases } else { Axis::Routers };
    let requested_size = all_sizes
        .iter()
        .find(|target_size| target_size.axis() == other)
        .map(|target_size| target_size.size(held_sizes.control));
    (other, requested_size.unwrap_or_else(|| fit::size_on_axis(held_sizes, other)))
}

/// Returns the suffix of the basis, which marks runs with another probe period.
fn basis_suffix(row: &Row) -> &'static str {
    if row.is_other_period { OTHER_PERIOD_SUFFIX } else { "" }
}

/// Sets the largest figure that was measured at exactly this size.
fn set_measured(row: &mut Row, point: &fit::Point, held_sizes: &Sizes) {
    row.sum = "played".to_string();
    row.figure = Some(round_up(point.max, 3));
    let basis = format!("{}measured", basis_prefix(held_sizes)).replace("simulated: measured", "simulated");
    row.basis = format!("{basis}{}", basis_suffix(row));
    row.error = NO_VALUE.to_string();
}

/// Sets the figure that the curve predicts. Without a usable prediction, sets the reason and returns `None`.
fn set_predicted(row: &mut Row, fit: &Fit, curve: Option<Curve>, target: &Target<'_>) -> Option<Curve> {
    let direction = if fit.predicted < fit.measured { "under" } else { "over" };
    row.error = format!(
        "{direction} by {} at {}",
        format_number(round_up_to_thousandth(fit.relative_error)),
        format_number(fit.largest_size)
    );
    let Some(curve) = curve else {
        row.error += ": the form is wrong";
        return None;
    };
    if let Some(failed) = target.points.first_uncalibrated_beyond().filter(|_| target.size > fit.largest_size)
    {
        row.error +=
            &format!("; calibration failed at {}, and nothing is known beyond", format_number(failed));
        return None;
    }
    if curve.held.is_some() {
        row.error += "; held at the most played";
    } else if let (Form::Product, Some(other)) = (curve.form, target.other) {
        set_product_place(row, target, other);
    }
    row.sum = predicted_sum(&curve, target);
    row.figure = Some(round_up(curve.at(target.form_input()), 3));
    row.basis = format!("{}predicted{}", basis_prefix(&target.points.fixed_sizes), basis_suffix(row));
    Some(curve)
}

/// Sets both sizes of a product. Neither of them was held.
fn set_product_place(row: &mut Row, target: &Target<'_>, (other, factor): (Axis, f64)) {
    row.at = format!(
        "{} {}, {} {}",
        format_number(target.size),
        target.axis.name(),
        format_number(factor),
        other.name()
    );
    let other_sizes = sizes_besides_axes(&target.points.fixed_sizes).join(", ");
    row.at += &if other_sizes.is_empty() { other_sizes } else { format!("; {other_sizes} held") };
    row.is_below_target = false;
}

/// Returns the sum that gives a predicted figure.
fn predicted_sum(curve: &Curve, target: &Target<'_>) -> String {
    if curve.held.is_some() {
        return format_number(curve.at(target.form_input()));
    }
    let size = format_number(target.size);
    let offset = format_number(curve.offset);
    let slope = format_number(curve.slope);
    match (curve.form, target.other) {
        (Form::Constant, _) => offset,
        (Form::Log, _) => format!("{offset} + {slope} × ln {size}"),
        (Form::Square, _) => format!("{offset} + {slope} × {size}²"),
        (Form::Product, Some((_, factor))) => {
            format!("{offset} + {slope} × {size} × {}", format_number(factor))
        }
        (Form::Linear | Form::Product, _) => format!("{offset} + {slope} × {size}"),
    }
}
