//! Line charts as SVG. Lines differ in marker and dash pattern as well as in color.

use std::io;
use std::path::{Path, PathBuf};

use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

/// Why a plot cannot be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// No point has an x value above zero.
    #[error("{}: expected at least one point with an x value above zero, found none", path.display())]
    NothingToDraw {
        /// The file that the plot was to be written to.
        path: PathBuf,
    },
    /// The file cannot be written, or the chart does not fit into the image.
    #[error("{}: cannot write the plot: {error}", path.display())]
    Drawing {
        /// The file that the plot was to be written to.
        path: PathBuf,
        /// The error of the plotting library.
        error: DrawingAreaErrorKind<io::Error>,
    },
}

/// One line of a chart.
pub struct Line {
    /// The label in the legend.
    pub name: String,
    /// Points as (x, y), in any order; they are sorted by x.
    pub points: Vec<(f64, f64)>,
}

/// The texts around a chart.
pub struct Axes<'a> {
    /// Title above the chart.
    pub title: &'a str,
    /// Label of the x axis.
    pub x: &'a str,
    /// Label of the y axis.
    pub y: &'a str,
}

/// Draws the lines into an SVG file, with both axes starting at zero.
///
/// # Errors
/// The file cannot be written, or no point has an x value above zero.
pub fn write_svg(path: &Path, axes: &Axes<'_>, lines: &[Line]) -> Result<(), PlotError> {
    let all_points = || lines.iter().flat_map(|line| line.points.iter().copied());
    let (max_x, max_y) =
        all_points().fold((0.0_f64, 0.0_f64), |(x, y), (point_x, point_y)| (x.max(point_x), y.max(point_y)));
    if max_x <= 0.0 {
        return Err(PlotError::NothingToDraw { path: path.to_path_buf() });
    }
    let scale = Scale { max_x, max_y };
    draw(path, axes, &scale, lines).map_err(|error| PlotError::Drawing { path: path.to_path_buf(), error })
}

/// The largest x and y of any point.
struct Scale {
    max_x: f64,
    max_y: f64,
}

fn draw(
    path: &Path,
    axes: &Axes<'_>,
    scale: &Scale,
    lines: &[Line],
) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let root = SVGBackend::new(path, (760, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(axes.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scale.max_x * 1.05, 0.0..(scale.max_y * 1.1).max(1e-9))?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).light_line_style(BLACK.mix(0.06)).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let mut points = line.points.clone();
        points.sort_by(|left, right| left.0.total_cmp(&right.0));
        let color =
            [RGBColor(0, 0, 0), RGBColor(40, 90, 170), RGBColor(190, 90, 20), RGBColor(110, 110, 110)]
                [index % 4];
        let style = color.stroke_width(2);
        // Dash length grows with the line's index, so that lines can be distinguished without color.
        let series = if index == 0 {
            chart.draw_series(LineSeries::new(points.clone(), style))?
        } else {
            chart.draw_series(DashedLineSeries::new(points.clone(), 4 * index as u32 + 2, 4, style))?
        };
        let legend_mark = move |(x, y): (i32, i32)| PathElement::new(vec![(x, y), (x + 24, y)], style);
        series.label(&line.name).legend(legend_mark);
        match index % 3 {
            0 => chart.draw_series(points.iter().map(|point| Circle::new(*point, 4, color.filled())))?,
            1 => chart
                .draw_series(points.iter().map(|point| TriangleMarker::new(*point, 6, color.filled())))?,
            _ => {
                chart.draw_series(points.iter().map(|point| Cross::new(*point, 5, color.stroke_width(2))))?
            }
        };
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    root.present()?;
    Ok(())
}
