//! Plots as SVG files.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;
use tarragon_protocol::prelude::Tier;

use super::{
    POLICIES,
    trial::{TrialResult, by_second as rows_by_second},
};

const SIZE: (u32, u32) = (900, 480);
const COLORS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(44, 160, 44), RGBColor(148, 103, 189)];

/// Lines of one plot: a name and its points.
type Lines = Vec<(String, Vec<(f64, f64)>)>;

struct PlotText {
    title: String,
    x: &'static str,
    y: &'static str,
}

/// Part of the urgent and of the routine calls done in time, over load, by policy.
pub(super) fn goodput(path: &Path, name: &str, results: &[TrialResult]) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    for tier in [Tier::Urgent, Tier::Routine] {
        for policy in POLICIES {
            let points = over_load(results, policy, |result| result.goodput(tier) * 100.0);
            lines.push((format!("{policy}, {tier}"), points));
        }
    }
    let title = format!("{name}: calls done in time");
    let text = PlotText { title, x: "load relative to capacity", y: "% of offered" };
    draw(path, &text, &lines)
}

/// Wasted prefill over load, by policy.
pub(super) fn wasted_prefill(
    path: &Path,
    name: &str,
    results: &[TrialResult],
) -> anyhow::Result<()> {
    let line = |policy: &&str| {
        let points = over_load(results, policy, |result| result.wasted_prefill() * 100.0);
        (policy.to_string(), points)
    };
    let lines: Lines = POLICIES.iter().map(line).collect();
    let title = format!("{name}: wasted prefill");
    draw(path, &PlotText { title, x: "load relative to capacity", y: "% of prefill" }, &lines)
}

/// Calls offered and done in each second.
pub(super) fn by_second(path: &Path, name: &str, result: &TrialResult) -> anyhow::Result<()> {
    let rows = rows_by_second(result);
    let line = |value: fn(&(u64, u32, u32, u32)) -> u32| {
        rows.iter().map(|row| (row.0 as f64, f64::from(value(row)))).collect()
    };
    let lines = vec![
        ("offered".to_owned(), line(|row| row.1)),
        ("done".to_owned(), line(|row| row.2)),
        ("urgent done".to_owned(), line(|row| row.3)),
    ];
    let title = format!("{name}: a data centre leaves after 60 s and returns after 120 s");
    draw(path, &PlotText { title, x: "seconds", y: "calls per second" }, &lines)
}

fn over_load(
    results: &[TrialResult],
    policy: &str,
    value: impl Fn(&TrialResult) -> f64,
) -> Vec<(f64, f64)> {
    let of_policy = results.iter().filter(|result| result.trial.policy == policy);
    of_policy.map(|result| (result.trial.load, value(result))).collect()
}

fn draw(path: &Path, text: &PlotText, lines: &Lines) -> anyhow::Result<()> {
    draw_lines(path, text, lines).map_err(|error| anyhow!("plot {}: {error}", path.display()))
}

fn draw_lines(
    path: &Path,
    text: &PlotText,
    lines: &Lines,
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter());
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&text.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(text.x).y_desc(text.y).draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = COLORS[index % COLORS.len()];
        let width = 1 + (index / COLORS.len()) as u32;
        let style = color.stroke_width(width);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
