//! The chart of skew against cost.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::policy::Policy;
use crate::result::Summary;
use crate::trace::Kind;

const SIZE: (u32, u32) = (1_080, 860);
const COLUMNS: usize = 2;
const ROWS: usize = 3;

/// Draws one panel per trace, with one point per policy.
pub fn draw(path: &Path, summaries: &[Summary]) -> Result<(), Box<dyn Error>> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((ROWS, COLUMNS));
    for (kind, panel) in Kind::ALL.into_iter().zip(&panels) {
        let runs: Vec<&Summary> = summaries.iter().filter(|s| s.kind == kind).collect();
        draw_panel(panel, kind, &runs)?;
    }
    if let Some(panel) = panels.last() {
        draw_legend(panel)?;
    }
    root.present()?;
    Ok(())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_panel(area: &Area, kind: Kind, runs: &[&Summary]) -> Result<(), Box<dyn Error>> {
    let moves = |run: &Summary| (run.moves as f64).max(1.0);
    let skew = |run: &Summary| run.after_onset.at(0.99);
    let most = runs.iter().map(|run| moves(run)).fold(10.0, f64::max) * 2.0;
    let highest = runs.iter().map(|run| skew(run)).fold(1.2, f64::max) * 1.08;
    let mut chart = ChartBuilder::on(area)
        .caption(kind.name(), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d((1.0..most).log_scale(), 1.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("moves (1 stands for none)")
        .y_desc("p99 skew after the first seconds")
        .draw()?;
    for run in runs {
        let point = (moves(run), skew(run));
        chart.draw_series([Circle::new(point, 5, colour(run.policy).filled())])?;
    }
    Ok(())
}

fn draw_legend(area: &Area) -> Result<(), Box<dyn Error>> {
    for (row, policy) in (1..).zip(Policy::ALL) {
        let y = 30 * row;
        area.draw(&Circle::new((60, y), 5, colour(policy).filled()))?;
        let style = ("sans-serif", 16).into_font();
        area.draw(&Text::new(policy.name(), (76, y - 8), style))?;
    }
    Ok(())
}

fn colour(policy: Policy) -> RGBColor {
    match policy {
        Policy::Never => RGBColor(120, 120, 120),
        Policy::Split => RGBColor(180, 160, 60),
        Policy::Repack => RGBColor(200, 60, 60),
        Policy::Greedy => RGBColor(230, 140, 40),
        Policy::CostFirst => RGBColor(30, 120, 60),
        Policy::Balanced => RGBColor(40, 90, 200),
        Policy::SkewFirst => RGBColor(130, 50, 170),
    }
}
