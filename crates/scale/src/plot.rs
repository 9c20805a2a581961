//! Plots of a scale run: a figure against the number of planners, as SVG.

use plotters::prelude::*;

/// A line of a plot: its name, and points of (planners, figure).
pub struct Curve {
    pub name: &'static str,
    pub points: Vec<(f64, f64)>,
}

const SIZE: (u32, u32) = (640, 400);

/// # Errors
/// The drawing failed.
pub fn plot(title: &str, unit: &str, curves: &[Curve]) -> Result<String, String> {
    let told = |e: &dyn std::fmt::Display| format!("plot '{title}': {e}");
    let all = || curves.iter().flat_map(|curve| curve.points.iter());
    let wide = all().map(|point| point.0).fold(1.0, f64::max) * 1.05;
    let high = all().map(|point| point.1).fold(1e-9, f64::max) * 1.1;
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| told(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..wide, 0.0..high)
            .map_err(|e| told(&e))?;
        chart.configure_mesh().x_desc("planners").y_desc(unit).draw().map_err(|e| told(&e))?;
        for (nth, curve) in curves.iter().enumerate() {
            let colour = Palette99::pick(nth).mix(0.9);
            chart
                .draw_series(LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2)))
                .map_err(|e| told(&e))?
                .label(curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            let dots = curve.points.iter().map(|point| Circle::new(*point, 3, colour.filled()));
            chart.draw_series(dots).map_err(|e| told(&e))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.4))
            .draw()
            .map_err(|e| told(&e))?;
        area.present().map_err(|e| told(&e))?;
    }
    Ok(text)
}
