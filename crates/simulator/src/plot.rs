//! Distributions as SVG.

use plotters::prelude::*;

/// Shares of what was done by each time, as steps: a line for each named set.
pub fn shares(
    path: &std::path::Path,
    title: &str,
    sets: &[(String, Vec<f64>)],
) -> Result<(), String> {
    let most = sets
        .iter()
        .flat_map(|(_, v)| v)
        .fold(1.0f64, |a, b| a.max(*b));
    let root = SVGBackend::new(path, (760, 420)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..most * 1.02, 0.0..1.0)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("share")
            .draw()?;
        for (i, (name, values)) in sets.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let line = LineSeries::new(steps(values, most), color.stroke_width(2));
            chart
                .draw_series(line)?
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        root.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", path.display()))
}

fn steps(values: &[f64], most: f64) -> Vec<(f64, f64)> {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let all = values.len().max(1) as f64;
    let mut out = vec![(0.0, 0.0)];
    for (i, value) in values.iter().enumerate() {
        out.push((*value, i as f64 / all));
        out.push((*value, (i + 1) as f64 / all));
    }
    out.push((most, if values.is_empty() { 0.0 } else { 1.0 }));
    out
}
