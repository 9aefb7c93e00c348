//! Plots a figure of a record over a size as SVG, with the simulator's plotter.

use std::path::Path;

use quillpoint_simulator::plot::{self, Axes, PlotError};

use crate::fit::{self, MAX_RELATIVE_ERROR};
use crate::record::{Axis, Fit, Form, Line, Mode};

/// Returns a fit as a readable formula.
pub fn formula(fit: &Fit) -> String {
    let term = match fit.form {
        Form::Constant => return format!("{:.4e}", fit.offset),
        Form::Log => "ln n",
        Form::Linear => "n",
        Form::Square => "n²",
        Form::Product => "n·m",
    };
    format!("{:.4e} + {:.4e} {term}", fit.offset, fit.slope)
}

/// Plots the measured points of a figure and its fitted curve, a pair of lines for each mode.
///
/// # Errors
/// The file cannot be written, or there is nothing to plot.
pub fn draw(path: &Path, lines: &[Line], axis: Axis, figure: &str) -> Result<(), PlotError> {
    let mut plotted = Vec::new();
    for mode in Mode::ALL {
        let Some(measured_points) = fit::newest_points(lines, axis, mode, figure) else { continue };
        let points = measured_points.points.iter().map(|point| (point.size, point.mean)).collect();
        plotted.push(plot::Line { name: format!("{}, played", mode.name()), points });
        let Ok(fit) = fit::fit_newest(lines, axis, mode, figure) else { continue };
        let form_size = |point: &fit::Point| {
            if fit.form == Form::Product { point.routers * point.databases } else { point.size }
        };
        let points =
            measured_points.points.iter().map(|point| (point.size, fit.predict(form_size(point)))).collect();
        let suffix = if fit.relative_error > MAX_RELATIVE_ERROR { ", wrong" } else { "" };
        plotted.push(plot::Line { name: format!("{}, {}{suffix}", mode.name(), formula(&fit)), points });
    }
    let title = format!("{figure} over {}", axis.name());
    plot::write_svg(path, &Axes { title: &title, x: axis.name(), y: figure }, &plotted)
}
