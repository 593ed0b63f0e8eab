//! Writes reports as JSON, text tables and SVG plots.

use std::{fs, path::Path};

use comfy_table::{Table, presets};
use error_stack::{Report, ResultExt};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    SVGBackend, WHITE,
};

use crate::{
    error::BenchError,
    load::{LoadReport, WorkReport},
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

const PLOT_SIZE_PX: (u32, u32) = (900, 500);
/// Upper end of the quantile axis of the plot, at which one in this many answers is slower.
const PLOT_ONE_IN_MAX: f64 = 10_000.0;
const PLOT_POINTS_PER_DECADE: i32 = 24;
const PLOT_DECADES: i32 = 4;

/// Writes one or more reports as a JSON array.
///
/// # Errors
///
/// [`BenchError::Io`] when the file cannot be written.
pub fn write_json(path: &Path, reports: &[LoadReport]) -> Result<()> {
    let text = serde_json::to_string_pretty(reports).change_context(BenchError::Io)?;
    fs::write(path, text).change_context(BenchError::Io)
}

/// Formats one report as text tables.
#[must_use]
pub fn report_tables(report: &LoadReport) -> String {
    let heading = format!(
        "{}: {:.0} requests/s for {:.0} s, seed {}; whole answers {:.1} s after the start",
        report.label, report.rate_per_sec, report.seconds, report.seed, report.settle_secs
    );
    let parts = [
        heading,
        kind_table(report).to_string(),
        work_table(&report.work).to_string(),
        check_table(report).to_string(),
    ];
    parts.join("\n")
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header(header);
    table
}

fn kind_table(report: &LoadReport) -> Table {
    let header = [
        "kind", "sent", "answered", "in time", "p50 ms", "p99 ms", "p99.9 ms", "max ms",
        "coverage", "whole",
    ];
    let mut table = new_table(&header);
    for kind in &report.kinds {
        table.add_row([
            kind.kind.clone(),
            kind.sent.to_string(),
            kind.answered.to_string(),
            percent(kind.in_time_share),
            format!("{:.1}", kind.p50_ms),
            format!("{:.1}", kind.p99_ms),
            format!("{:.1}", kind.p999_ms),
            format!("{:.1}", kind.max_ms),
            percent(kind.coverage_mean),
            percent(kind.full_share),
        ]);
    }
    table
}

fn percent(share: f64) -> String {
    format!("{:.2} %", share * 100.0)
}

fn work_table(work: &WorkReport) -> Table {
    let mut table = new_table(&["work", "value"]);
    let rows = [
        ("attempts: first", format!("{:.0}", work.first_attempts)),
        ("attempts: hedge", format!("{:.0}", work.hedges)),
        ("attempts: retry", format!("{:.0}", work.retries)),
        (
            "attempts per first",
            format!("{:.4}", work.attempts_per_first),
        ),
        ("target requests", work.target_requests.to_string()),
        (
            "target runs per answer",
            format!("{:.3}", work.runs_per_answer),
        ),
        ("target requests shed", work.target_shed.to_string()),
        ("cancels at targets", work.target_cancels.to_string()),
        (
            "connections held at one target, max",
            work.connections_max.to_string(),
        ),
        ("connections refused", work.connections_refused.to_string()),
        ("attempts seen twice", work.repeated_attempts.to_string()),
        (
            "last request after a drain, ms",
            format!("{:.0}", work.drain_last_ms),
        ),
        ("daemon CPU, s", format!("{:.2}", work.cpu_secs)),
        (
            "daemon CPU per target request, us",
            format!("{:.1}", work.cpu_us_per_target_request),
        ),
        ("daemon RSS, max KiB", work.rss_max_kib.to_string()),
    ];
    for (name, value) in rows {
        table.add_row([name.to_owned(), value]);
    }
    table
}

fn check_table(report: &LoadReport) -> Table {
    let mut table = new_table(&["refusals and checks", "count"]);
    for refusal in &report.refusals {
        let name = format!("refused: {} ({})", refusal.reason, refusal.run);
        table.add_row([name, refusal.count.to_string()]);
    }
    for fault in &report.faults {
        table.add_row([
            format!("FAULTY ANSWER: {}", fault.fault),
            fault.count.to_string(),
        ]);
    }
    let acts = report.acts;
    table.add_row(["acts run twice".to_owned(), acts.repeated.to_string()]);
    table.add_row([
        "acts run though told not-run".to_owned(),
        acts.falsely_not_run.to_string(),
    ]);
    table.add_row([
        "acts told done that never ran".to_owned(),
        acts.falsely_done.to_string(),
    ]);
    table
}

/// Writes an SVG plot of latency over quantiles with one line for each report.
///
/// # Errors
///
/// [`BenchError::Io`] when the file cannot be written.
pub fn write_plot(path: &Path, reports: &[LoadReport]) -> Result<()> {
    draw(path, reports).map_err(|error| Report::new(BenchError::Io).attach(error.to_string()))
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(path: &Path, reports: &[LoadReport]) -> DrawResult {
    let max_latency_us = reports.iter().map(|report| report.latencies.max()).max();
    let top_ms = millis(max_latency_us.unwrap_or_default()).max(1.0) * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Latency by quantile", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..PLOT_ONE_IN_MAX).log_scale(), 0.0..top_ms)?;
    chart
        .configure_mesh()
        .x_desc("slowest one in")
        .y_desc("latency, ms")
        .draw()?;
    for (index, report) in reports.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(quantile_points(report), colour.stroke_width(2));
        let legend =
            move |(x, y)| plotters::element::PathElement::new(vec![(x, y), (x + 16, y)], colour);
        let series = chart.draw_series(line)?;
        series.label(report.label.clone()).legend(legend);
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn quantile_points(report: &LoadReport) -> Vec<(f64, f64)> {
    let steps = 0..=PLOT_POINTS_PER_DECADE * PLOT_DECADES;
    let point = |step| {
        let one_in = 10_f64.powf(f64::from(step) / f64::from(PLOT_POINTS_PER_DECADE));
        let value = report.latencies.value_at_quantile(1.0 - 1.0 / one_in);
        (one_in, millis(value))
    };
    steps.map(point).collect()
}

#[expect(clippy::cast_precision_loss, reason = "latencies are far below 2^52")]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
