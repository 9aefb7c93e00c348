//! The row of a calm figure at one size of one axis: measured there, or predicted by the fit over the axis.

use super::{
    AT_ANOTHER, About, Curve, NO_FIGURE, Row, Single, cite, empty, held, held_with_both, is_beside,
    is_held_below, prefix,
};
use crate::capacity::asks::{Requirement, TargetSize};
use crate::capacity::numbers::{format_number, round_up, round_up_to_thousandth};
use crate::fit;
use crate::record::{Axis, Fit, Form, Sizes};

/// The figure of a question at one size of one axis. `others` are the sizes that the question asks of all axes.
pub(super) fn single(ask: &Requirement, about: About<'_>, over: TargetSize, others: &[TargetSize]) -> Single {
    let axis = over.axis();
    let wanted = match over {
        TargetSize::OnAxis(_, size) => size,
        TargetSize::PerInstance { followers, .. } => followers,
    };
    let mut row = empty(ask);
    row.record =
        cite(about.record, about.figure, about.mode, &format!("over {}", axis.name()), about.program);
    let Some(played) = about.points(axis) else {
        row.at = format!("{} {}", format_number(round_up(wanted, 6)), axis.name());
        row.error = "no run".to_string();
        return Single { row, curve: None, held: None, size: wanted };
    };
    let held_at = played.fixed_sizes.clone();
    let size = over.size(held_at.control);
    place_row(&mut row, over, others, &held_at, about.figure);
    let fit = match about.fit(axis) {
        Ok(fit) => Some(fit),
        Err(unfit) => {
            row.error = no_fit(&unfit);
            None
        }
    };
    let is_product = fit.as_ref().is_some_and(|fit| fit.form == Form::Product);
    let other = is_product.then(|| other_factor(axis, others, &held_at));
    let target = Target { axis, size, other, played: &played };
    let usable = fit.as_ref().filter(|fit| fit.is_usable());
    let curve = usable.map(|fit| Curve::of(fit, &played.points, size, target.place()));
    let curve = if let Some(point) = played.points.iter().find(|point| point.size == size) {
        measure_row(&mut row, point, &held_at);
        curve
    } else if let Some(fit) = fit {
        predict_row(&mut row, &fit, curve, &target)
    } else {
        None
    };
    Single { row, curve, held: Some(held_at), size }
}

/// The size that a row is asked for.
struct Target<'a> {
    axis: Axis,
    size: f64,
    /// Of a product, the other axis and its size.
    other: Option<(Axis, f64)>,
    played: &'a fit::Points,
}

impl Target<'_> {
    /// What the form of a fit takes.
    fn place(&self) -> f64 {
        self.size * self.other.map_or(1.0, |(_, factor)| factor)
    }
}

/// Enters at what size the row is, what was held beside it, and how far that is from the target.
fn place_row(row: &mut Row, over: TargetSize, others: &[TargetSize], held_at: &Sizes, figure: &str) {
    let axis = over.axis();
    let size = over.size(held_at.control);
    let at = match over {
        TargetSize::PerInstance { followers, .. } => {
            let (each, instances) = (format_number(round_up(followers, 6)), held_at.control);
            format!("{each} routers an instance, {} before {instances}", format_number(size))
        }
        TargetSize::OnAxis(..) => format!("{} {}", format_number(size), axis.name()),
    };
    row.at = format!("{at}; {} held", held(held_at, axis));
    row.is_beside = is_beside(held_at, figure);
    row.is_below = is_held_below(held_at, axis, others);
    row.is_of_others = others
        .iter()
        .any(|over| matches!(over, TargetSize::PerInstance { machines, .. } if *machines != held_at.control as f64));
}

/// Why there is no fit, as the row says it.
fn no_fit(unfit: &fit::FitError) -> String {
    match unfit {
        fit::FitError::TooFew { sizes, .. } => format!("sizes played: {sizes}, needed: {}", fit::MIN_SIZES),
        fit::FitError::Regression { .. } => "no fit".to_string(),
    }
}

/// The other axis of a product, and its size: the one that is asked for, or else the one that was held.
fn other_factor(axis: Axis, others: &[TargetSize], held_at: &Sizes) -> (Axis, f64) {
    let other = if axis == Axis::Routers { Axis::Databases } else { Axis::Routers };
    let wanted = others.iter().find(|over| over.axis() == other).map(|over| over.size(held_at.control));
    (other, wanted.unwrap_or_else(|| fit::size_on_axis(held_at, other)))
}

/// What a basis says behind its name.
fn basis_suffix(row: &Row) -> &'static str {
    if row.is_beside { AT_ANOTHER } else { "" }
}

/// Enters the most that was played at this very size.
fn measure_row(row: &mut Row, point: &fit::Point, held_at: &Sizes) {
    row.sum = "played".to_string();
    row.figure = Some(round_up(point.max, 3));
    let basis = format!("{}measured", prefix(held_at)).replace("simulated: measured", "simulated");
    row.basis = format!("{basis}{}", basis_suffix(row));
    row.error = NO_FIGURE.to_string();
}

/// Enters what the curve says of the size, if it may be said. Returns the curve then.
fn predict_row(row: &mut Row, fit: &Fit, curve: Option<Curve>, target: &Target<'_>) -> Option<Curve> {
    let missed = if fit.predicted < fit.measured { "under" } else { "over" };
    row.error = format!(
        "{missed} by {} at {}",
        format_number(round_up_to_thousandth(fit.relative_error)),
        format_number(fit.largest_size)
    );
    let Some(curve) = curve else {
        row.error += ": the form is wrong";
        return None;
    };
    if let Some(failed) = target.played.first_uncalibrated_beyond().filter(|_| target.size > fit.largest_size)
    {
        row.error +=
            &format!("; calibration failed at {}, and nothing is known beyond", format_number(failed));
        return None;
    }
    if curve.held.is_some() {
        row.error += "; held at the most played";
    } else if let (Form::Product, Some(other)) = (curve.form, target.other) {
        place_product(row, target, other);
    }
    row.sum = predicted_sum(&curve, target);
    row.figure = Some(round_up(curve.at(target.place()), 3));
    row.basis = format!("{}predicted{}", prefix(&target.played.fixed_sizes), basis_suffix(row));
    Some(curve)
}

/// Enters both sizes of a product, neither of which was held.
fn place_product(row: &mut Row, target: &Target<'_>, (other, factor): (Axis, f64)) {
    row.at = format!(
        "{} {}, {} {}",
        format_number(target.size),
        target.axis.name(),
        format_number(factor),
        other.name()
    );
    let rest = held_with_both(&target.played.fixed_sizes).join(", ");
    row.at += &if rest.is_empty() { rest } else { format!("; {rest} held") };
    row.is_below = false;
}

/// The sum of which a predicted figure is the result.
fn predicted_sum(curve: &Curve, target: &Target<'_>) -> String {
    if curve.held.is_some() {
        return format_number(curve.at(target.place()));
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
