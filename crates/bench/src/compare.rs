//! Compares two variants over alternating rounds and reports the ratios between them.

use std::path::PathBuf;

use comfy_table::{Table, presets};
use error_stack::Report;

use crate::{
    error::BenchError,
    load::{LoadReport, LoadSettings, run_load},
    rig::TestRig,
    scenario::{Scenario, ScenarioSettings},
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

/// One variant of a comparison.
#[derive(Clone, Debug)]
pub struct CompareVariant {
    /// Label in the reports.
    pub label: String,
    /// Daemon program.
    pub program: PathBuf,
    /// Configuration lines of every search service that differ from the scenario.
    pub overrides: Vec<String>,
}

/// Reports of both variants, in the order of the rounds.
#[derive(Clone, Debug)]
pub struct CompareReport {
    /// Reports of the first variant.
    pub first: Vec<LoadReport>,
    /// Reports of the second variant.
    pub second: Vec<LoadReport>,
}

/// Spread over the rounds of the ratio of the second variant to the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioSpread {
    /// Smallest ratio.
    pub min: f64,
    /// Mean ratio.
    pub mean: f64,
    /// Largest ratio.
    pub max: f64,
}

impl RatioSpread {
    /// Computes the spread without the rounds whose first value is zero; returns `None` when no
    /// round is left.
    #[must_use]
    pub fn of_rounds(first: &[f64], second: &[f64]) -> Option<Self> {
        let pairs = first.iter().zip(second).filter(|(base, _)| **base > 0.0);
        let ratios: Vec<f64> = pairs.map(|(base, value)| value / base).collect();
        if ratios.is_empty() {
            return None;
        }
        #[expect(clippy::cast_precision_loss, reason = "a few rounds")]
        let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
        Some(Self {
            min: ratios.iter().copied().fold(f64::INFINITY, f64::min),
            mean,
            max: ratios.iter().copied().fold(0.0, f64::max),
        })
    }
}

/// Runs both variants `rounds` times and alternates which variant of a round runs first.
///
/// Both variants of a round use the same seed; each round uses a different seed.
///
/// # Errors
///
/// The errors of [`TestRig::start`] and [`run_load`].
pub async fn run_compare(
    scenario: &ScenarioSettings,
    load: &LoadSettings,
    variants: [&CompareVariant; 2],
    rounds: u32,
) -> Result<CompareReport> {
    let mut reports = [Vec::new(), Vec::new()];
    for round in 0..rounds {
        let order = if round % 2 == 0 { [0, 1] } else { [1, 0] };
        for index in order {
            let report = run_variant(scenario, load, variants[index], round).await?;
            reports[index].push(report);
        }
    }
    let [first, second] = reports;
    Ok(CompareReport { first, second })
}

async fn run_variant(
    scenario: &ScenarioSettings,
    load: &LoadSettings,
    variant: &CompareVariant,
    round: u32,
) -> Result<LoadReport> {
    let mut scenario = scenario.clone();
    scenario.seed = scenario.seed.wrapping_add(u64::from(round));
    scenario.overrides.extend(variant.overrides.iter().cloned());
    let mut load = load.clone();
    load.seed = load.seed.wrapping_add(u64::from(round));
    load.label = format!("{} #{}", variant.label, round + 1);
    let rig = TestRig::start(Scenario::new(scenario)?, variant.program.clone()).await?;
    let report = run_load(&rig, &load).await;
    rig.stop().await?;
    report
}

/// A value of a report that is compared.
struct ReportMeasure {
    name: &'static str,
    read: fn(&LoadReport) -> f64,
}

const MEASURES: [ReportMeasure; 9] = [
    ReportMeasure {
        name: "p50 ms",
        read: |report| report.kinds[0].p50_ms,
    },
    ReportMeasure {
        name: "p99 ms",
        read: |report| report.kinds[0].p99_ms,
    },
    ReportMeasure {
        name: "p99.9 ms",
        read: |report| report.kinds[0].p999_ms,
    },
    ReportMeasure {
        name: "answered in time",
        read: |report| report.kinds[0].in_time_share,
    },
    ReportMeasure {
        name: "coverage",
        read: |report| report.kinds[0].coverage_mean,
    },
    ReportMeasure {
        name: "whole answers",
        read: |report| report.kinds[0].full_share,
    },
    ReportMeasure {
        name: "attempts per first",
        read: |report| report.work.attempts_per_first,
    },
    ReportMeasure {
        name: "target runs per answer",
        read: |report| report.work.runs_per_answer,
    },
    ReportMeasure {
        name: "daemon CPU per target request, us",
        read: |report| report.work.cpu_us_per_target_request,
    },
];

/// Returns a table of the mean of each measure and of the ratio second / first with its spread.
#[must_use]
pub fn compare_table(report: &CompareReport) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header(["measure", "first", "second", "second / first", "min .. max"]);
    for measure in &MEASURES {
        let first: Vec<f64> = report.first.iter().map(measure.read).collect();
        let second: Vec<f64> = report.second.iter().map(measure.read).collect();
        let spread = RatioSpread::of_rounds(&first, &second);
        let ratio = spread.map_or("-".to_owned(), |s| format!("{:.3}", s.mean));
        let range = spread.map_or("-".to_owned(), |s| format!("{:.3} .. {:.3}", s.min, s.max));
        let cells = [
            measure.name.to_owned(),
            format!("{:.4}", mean(&first)),
            format!("{:.4}", mean(&second)),
            ratio,
            range,
        ];
        table.add_row(cells);
    }
    table.to_string()
}

#[expect(clippy::cast_precision_loss, reason = "a few rounds")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
