//! The plot of `measure/duties --plot`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

use super::MAX_GAP_S;
use super::bench::Bench;
use crate::now;

/// A plot that could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{}: expected to write a plot, {error}", path.display())]
pub struct PlotError {
    path: PathBuf,
    error: DrawingAreaErrorKind<std::io::Error>,
}

/// Plots, for each second, the longest gap of any node that ended in it, and marks the kills.
///
/// # Errors
/// The file cannot be written.
pub fn plot(path: &Path, bench: &Bench, from: Duration, kills: &[Duration]) -> Result<(), PlotError> {
    draw(path, bench, from, kills).map_err(|error| PlotError { path: path.to_path_buf(), error })
}

fn draw(
    path: &Path,
    bench: &Bench,
    from: Duration,
    kills: &[Duration],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let seconds = (now() - from).as_secs() as usize;
    let mut longest = vec![0.0_f64; seconds + 1];
    for node in bench.nodes() {
        let mut at = Duration::ZERO;
        for gap in node.contact_gaps(from, now()) {
            at += gap;
            if let Some(most) = longest.get_mut(at.as_secs() as usize) {
                *most = most.max(gap.as_secs_f64());
            }
        }
    }
    let root = SVGBackend::new(path, (760, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Three routers, killed one at a time: longest gap of any node", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds as f64 + 1.0, 0.0..MAX_GAP_S * 1.1)?;
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
    let bound = [(0.0, MAX_GAP_S), (seconds as f64 + 1.0, MAX_GAP_S)];
    chart
        .draw_series(DashedLineSeries::new(bound, 6, 4, BLACK.stroke_width(1)))?
        .label("the bound")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 8, y)], BLACK.stroke_width(1)));
    chart.configure_series_labels().background_style(WHITE.mix(0.9)).border_style(BLACK.mix(0.3)).draw()?;
    root.present()?;
    Ok(())
}
