//! Lines of figures against a size, as SVG. Lines differ in mark and dash as well as in shade.

use std::io;
use std::path::{Path, PathBuf};

use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

/// Why a plot cannot be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// No line has a point with a size above zero.
    #[error("{}: expected a size above zero to draw, found none", path.display())]
    NothingToDraw {
        /// Where the plot was to go.
        path: PathBuf,
    },
    /// The file cannot be written, or the plot has no room in it.
    #[error("{}: expected to write a plot, {error}", path.display())]
    Drawing {
        /// Where the plot was to go.
        path: PathBuf,
        /// What the plotter says.
        error: DrawingAreaErrorKind<io::Error>,
    },
}

/// One line: its name and its points, which are put in order.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

pub struct Axes<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
}

/// # Errors
/// The file cannot be written, or nothing can be drawn.
pub fn write_svg(path: &Path, axes: &Axes<'_>, lines: &[Line]) -> Result<(), PlotError> {
    let all = || lines.iter().flat_map(|line| line.points.iter().copied());
    let (most_x, most_y) = all().fold((0.0_f64, 0.0_f64), |(x, y), (at, of)| (x.max(at), y.max(of)));
    if most_x <= 0.0 {
        return Err(PlotError::NothingToDraw { path: path.to_path_buf() });
    }
    let scale = Scale { most_x, most_y };
    draw(path, axes, &scale, lines).map_err(|error| PlotError::Drawing { path: path.to_path_buf(), error })
}

/// The largest coordinates of any point.
struct Scale {
    most_x: f64,
    most_y: f64,
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
        .build_cartesian_2d(0.0..scale.most_x * 1.05, 0.0..(scale.most_y * 1.1).max(1e-9))?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).light_line_style(BLACK.mix(0.06)).draw()?;
    for (place, line) in lines.iter().enumerate() {
        let mut points = line.points.clone();
        points.sort_by(|one, other| one.0.total_cmp(&other.0));
        let shade =
            [RGBColor(0, 0, 0), RGBColor(40, 90, 170), RGBColor(190, 90, 20), RGBColor(110, 110, 110)]
                [place % 4];
        let style = shade.stroke_width(2);
        // Dashes grow with the line's place, so that no line is told apart by its shade alone.
        let drawn = if place == 0 {
            chart.draw_series(LineSeries::new(points.clone(), style))?
        } else {
            chart.draw_series(DashedLineSeries::new(points.clone(), 4 * place as u32 + 2, 4, style))?
        };
        let marks = move |(x, y): (i32, i32)| PathElement::new(vec![(x, y), (x + 24, y)], style);
        drawn.label(&line.name).legend(marks);
        match place % 3 {
            0 => chart.draw_series(points.iter().map(|at| Circle::new(*at, 4, shade.filled())))?,
            1 => chart.draw_series(points.iter().map(|at| TriangleMarker::new(*at, 6, shade.filled())))?,
            _ => chart.draw_series(points.iter().map(|at| Cross::new(*at, 5, shade.stroke_width(2))))?,
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
