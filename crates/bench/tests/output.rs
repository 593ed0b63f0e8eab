//! Tests of the report output: tables, JSON and the plot.

use std::fs;

use fulmarweir_bench::{
    ActReport, KindReport, LoadReport, RefusalCount, WorkReport, report_tables, write_json,
    write_plot,
};
use hdrhistogram::Histogram;

fn report() -> LoadReport {
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
    for millis in 1..=100 {
        latencies.record(millis * 1000).unwrap();
    }
    let kind = KindReport {
        kind: "all".to_owned(),
        sent: 101,
        answered: 100,
        in_time_share: 0.99,
        p50_ms: 50.0,
        p99_ms: 99.0,
        p999_ms: 100.0,
        max_ms: 100.0,
        coverage_mean: 0.995,
        full_share: 0.98,
    };
    let refusal = RefusalCount {
        reason: "overloaded".to_owned(),
        run: "not-run".to_owned(),
        count: 1,
    };
    LoadReport {
        label: "first".to_owned(),
        seed: 1,
        rate_per_sec: 10.0,
        seconds: 10.0,
        settle_secs: 0.5,
        kinds: vec![kind],
        refusals: vec![refusal],
        faults: Vec::new(),
        acts: ActReport::default(),
        work: WorkReport::default(),
        latencies,
    }
}

#[test]
fn tables_show_percentiles_and_refusals() {
    let text = report_tables(&report());
    for part in ["99.0", "99.50 %", "overloaded (not-run)", "acts run twice"] {
        assert!(text.contains(part), "{part} in\n{text}");
    }
}

#[test]
fn files_are_written() {
    let folder = std::env::temp_dir();
    let stem = format!("fulmarweir-bench-output-{}", std::process::id());
    let json = folder.join(format!("{stem}.json"));
    let plot = folder.join(format!("{stem}.svg"));
    write_json(&json, &[report()]).unwrap();
    write_plot(&plot, &[report(), report()]).unwrap();
    let value: serde_json::Value = serde_json::from_slice(&fs::read(&json).unwrap()).unwrap();
    assert_eq!(value[0]["kinds"][0]["sent"], 101);
    let svg = fs::read_to_string(&plot).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("polyline"));
    fs::remove_file(json).unwrap();
    fs::remove_file(plot).unwrap();
}
