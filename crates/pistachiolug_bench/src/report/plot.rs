//! Plots of samples as SVG files.

use std::{collections::BTreeMap, io, path::Path};

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

use crate::load::sample::Sample;

/// Size of a plot in pixels.
const SIZE_PX: (u32, u32) = (800, 400);

/// Draws the cumulative distribution of the time to the first token, with a line for each customer.
///
/// # Errors
/// Returns the error of the drawing.
pub fn first_token(path: &Path, samples: &[Sample]) -> io::Result<()> {
    let mut lines: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for sample in samples {
        if let Some(first) = sample.first_us {
            let line = lines.entry(&sample.customer).or_default();
            line.push(first as f64 / 1_000.0);
        }
    }
    draw(path, &lines).map_err(|error| io::Error::other(error.to_string()))
}

fn draw(path: &Path, lines: &BTreeMap<&str, Vec<f64>>) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let longest_ms = lines.values().flatten().copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..longest_ms, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("time to first token, ms")
        .y_desc("share of requests")
        .draw()?;
    for (index, times) in lines.values().enumerate() {
        let mut times = times.clone();
        times.sort_by(f64::total_cmp);
        let count = times.len() as f64;
        let points = times
            .into_iter()
            .zip(1..)
            .map(|(time, rank)| (time, f64::from(rank) / count));
        chart.draw_series(LineSeries::new(points, Palette99::pick(index)))?;
    }
    area.present()?;
    Ok(())
}
