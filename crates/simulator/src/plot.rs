//! SVG plots of distributions.

use crate::error::SimulatorError;
use plotters::prelude::*;
use std::path::Path;

/// Width and height of a plot in pixels.
const SIZE_PX: (u32, u32) = (760, 420);

/// Measurements whose distribution is drawn as one line.
pub struct Series {
    /// The line's label in the legend.
    pub name: String,
    /// The measurements in seconds, in any order.
    pub values: Vec<f64>,
}

/// Writes an SVG file with the cumulative distribution of each series as a step function.
///
/// # Errors
/// If the plot can't be drawn or the file can't be written.
pub fn cumulative_distributions(
    path: &Path,
    title: &str,
    series: &[Series],
) -> Result<(), SimulatorError> {
    draw(path, title, series).map_err(|error| SimulatorError::Plot {
        path: path.to_path_buf(),
        source: error.to_string().into(),
    })
}

fn draw(path: &Path, title: &str, series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let values = series.iter().flat_map(|series| &series.values);
    let max = values.fold(1.0f64, |max, value| max.max(*value));
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..max * 1.02, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("share")
        .draw()?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(step_points(&series.values, max), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(series.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}

/// The corners of the cumulative distribution's step function, from 0 to `max`.
fn step_points(values: &[f64], max: f64) -> Vec<(f64, f64)> {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let count = values.len().max(1) as f64;
    let mut points = vec![(0.0, 0.0)];
    for (index, value) in values.iter().enumerate() {
        points.push((*value, index as f64 / count));
        points.push((*value, (index + 1) as f64 / count));
    }
    points.push((max, if values.is_empty() { 0.0 } else { 1.0 }));
    points
}
