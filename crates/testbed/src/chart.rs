//! A figure of a record against a size, as SVG by the simulator's plotter.

use std::path::Path;

use quillpoint_simulator::plot::{self, Axes, PlotError};

use crate::fit::{self, MAX_RELATIVE_ERROR};
use crate::record::{Axis, Fit, Form, Line, Mode};

/// A fit as people write it.
pub fn formula(fit: &Fit) -> String {
    let by = match fit.form {
        Form::Constant => return format!("{:.4e}", fit.offset),
        Form::Log => "ln n",
        Form::Linear => "n",
        Form::Square => "n²",
        Form::Product => "n·m",
    };
    format!("{:.4e} + {:.4e} {by}", fit.offset, fit.slope)
}

/// What was played of a figure and what its fits say, a pair of lines for each mode.
///
/// # Errors
/// The file cannot be written, or there is nothing to draw.
pub fn draw(path: &Path, lines: &[Line], axis: Axis, figure: &str) -> Result<(), PlotError> {
    let mut drawn = Vec::new();
    for mode in Mode::ALL {
        let Some(played) = fit::newest_points(lines, axis, mode, figure) else { continue };
        let points = played.points.iter().map(|point| (point.size, point.mean)).collect();
        drawn.push(plot::Line { name: format!("{}, played", mode.name()), points });
        let Ok(fit) = fit::fit_newest(lines, axis, mode, figure) else { continue };
        let size = |point: &fit::Point| {
            if fit.form == Form::Product { point.routers * point.databases } else { point.size }
        };
        let points = played.points.iter().map(|point| (point.size, fit.predict(size(point)))).collect();
        let off = if fit.relative_error > MAX_RELATIVE_ERROR { ", wrong" } else { "" };
        drawn.push(plot::Line { name: format!("{}, {}{off}", mode.name(), formula(&fit)), points });
    }
    let title = format!("{figure} over {}", axis.name());
    plot::lines(path, &Axes { title: &title, x: axis.name(), y: figure }, &drawn)
}
