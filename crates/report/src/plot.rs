//! SVG plots of the report.

use std::error::Error;

use plotters::prelude::*;

use crate::burn::SubjectBurn;
use crate::outcome::{REASONS, Reason};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (860, 230);
/// Font size in pixels.
const FONT_PX: u32 = 13;
/// Right margin in pixels, which leaves space for half of the last label.
const RIGHT_PX: u32 = 26;
/// Space for the labels of the vertical axis in pixels; the horizontal axis gets half of it.
const LABEL_PX: u32 = 52;
/// Greatest number of labels on the time axis.
const TIME_LABELS: usize = 7;
/// Minimum range of the vertical axis as a multiple of the allowed share of misses.
const MIN_HEIGHT: f64 = 2.0;

/// Colour of a reason as red, green and blue, used in plots and their legend.
pub fn colour_of(reason: Reason) -> (u8, u8, u8) {
    match reason {
        Reason::Late => (224, 159, 62),
        Reason::Refused => (88, 129, 178),
        Reason::Cut => (158, 42, 43),
        Reason::Store => (122, 92, 160),
        Reason::Engine => (84, 130, 88),
    }
}

/// Plots the share of missed requests over the longest window as bars stacked by reason.
///
/// # Errors
///
/// The plotting library's error.
pub fn plot_misses(burn: &SubjectBurn, now_ms: u64) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    draw(burn, now_ms, &mut svg)?;
    Ok(svg)
}

fn draw(burn: &SubjectBurn, now_ms: u64, svg: &mut String) -> Result<(), Box<dyn Error>> {
    let allowed = 1.0 - burn.objective;
    let worst = burn.plot.iter().map(|point| point.tally.miss_share()).fold(0.0, f64::max);
    let height = (worst * 1.1).max(allowed * MIN_HEIGHT).clamp(1e-4, 1.0) * 100.0;
    let window_s = burn.windows.last().map_or(1, |window| window.window_s);
    let unit = unit_of(window_s);
    let length = seconds(window_s) / seconds(unit);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(6)
        .margin_right(RIGHT_PX)
        .x_label_area_size(LABEL_PX / 2)
        .y_label_area_size(LABEL_PX)
        .build_cartesian_2d(-length..0.0, 0.0..height)?;
    let font = ("sans-serif", FONT_PX);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(RGBColor(226, 226, 222))
        .x_labels(TIME_LABELS)
        .y_labels(5)
        .x_label_formatter(&|at| age_label(*at, unit))
        .y_label_formatter(&|share| {
            format!("{share:.4}").trim_end_matches('0').trim_end_matches('.').to_owned() + "%"
        })
        .label_style(font)
        .draw()?;
    let bars = bars_of(burn, now_ms, length, unit);
    chart.draw_series(bars)?;
    let line = [(-length, allowed * 100.0), (0.0, allowed * 100.0)];
    chart.draw_series(LineSeries::new(line, BLACK.stroke_width(1)))?;
    area.present()?;
    Ok(())
}

/// Stacked bars, one stack per interval.
fn bars_of(burn: &SubjectBurn, now_ms: u64, length: f64, unit: u64) -> Vec<Rectangle<(f64, f64)>> {
    let width = length / seconds(burn.plot.len().max(1) as u64);
    let mut bars = Vec::new();
    for point in &burn.plot {
        let middle = -seconds(now_ms.saturating_sub(point.at_ms)) / 1000.0 / seconds(unit);
        let total = point.tally.total();
        let mut base = 0.0;
        for reason in REASONS {
            let share = point.tally.missed_for(reason) / total * 100.0;
            if total > 0.0 && share > 0.0 {
                let (red, green, blue) = colour_of(reason);
                let corners =
                    [(middle - width * 0.45, base), (middle + width * 0.45, base + share)];
                bars.push(Rectangle::new(corners, RGBColor(red, green, blue).filled()));
                base += share;
            }
        }
    }
    bars
}

/// Unit of the time axis in seconds, chosen so that the labels are round numbers.
fn unit_of(window_s: u64) -> u64 {
    match window_s {
        hours if hours > 4 * 3600 => 3600,
        minutes if minutes > 4 * 60 => 60,
        _ => 1,
    }
}

/// Label of a point on the time axis, such as `3 h ago`.
fn age_label(at: f64, unit: u64) -> String {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let age = (-at).round().max(0.0) as u64;
    let name = match unit {
        3600 => "h",
        60 => "min",
        _ => "s",
    };
    if age == 0 { "now".to_owned() } else { format!("{age} {name} ago") }
}

#[allow(clippy::cast_precision_loss)]
fn seconds(count: u64) -> f64 {
    count as f64
}
