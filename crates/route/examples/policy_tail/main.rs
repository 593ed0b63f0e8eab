//! Compares the policies in a seeded simulation and prints a table of latencies and throughput.
//!
//! Run with `cargo run --release -p fulmarweir-route --example policy_tail`.
//! `--default-only` skips the baselines; `--refusals` also prints the number of refusals by reason.

mod simulation;
mod target;

use std::time::Duration;

use fulmarweir_conf::{AnswerPreference, ServiceConfig, ServiceKind};
use fulmarweir_route::{AdmissionPolicy, PolicySettings, ReplicaPolicy, RetryPolicy};

use crate::simulation::{Report, Scenario, Simulation};

const SEEDS: [u64; 3] = [11, 22, 33];
const TAIL_LOADS: [f64; 3] = [0.2, 0.4, 0.6];
/// Lookups by key that arrive per second during overload.
const KEYED_RATE: f64 = 200.0;
const WARM_UP: Duration = Duration::from_secs(6);
/// Warm-up and measured time with [`AdmissionPolicy::Unlimited`].
const UNLIMITED_LENGTH: Duration = Duration::from_secs(1);
/// Measured time after the warm-up.
const LENGTH: Duration = Duration::from_secs(6);

fn service_config(prefer: AnswerPreference) -> ServiceConfig {
    ServiceConfig {
        name: "street-app/pitches".parse().expect("a valid name"),
        depends: Vec::new(),
        kind: ServiceKind::Search,
        prefer,
        deadline: Duration::from_millis(300),
        soft_deadline: Duration::from_millis(150),
        coverage_min: 0.0,
        extra_load: 0.05,
        slots: simulation::SLOTS,
        connections: 30,
        connect_time: Duration::from_millis(6),
    }
}

fn scenario(policy: PolicySettings, load: f64) -> Scenario {
    Scenario {
        service_config: service_config(AnswerPreference::Coverage),
        policy,
        load,
        keyed_rate: 0.0,
        straggler_share: 0.0,
        slow_replica: false,
        warm_up: WARM_UP,
        length: LENGTH,
        seed: 0,
    }
}

/// The results of one scenario over all seeds.
struct Row {
    p50_ms: f64,
    p99_ms: f64,
    whole_per_second: f64,
    coverage_per_second: f64,
    attempts_per_first: f64,
    refused_share: f64,
    keyed_p99_ms: f64,
    keyed_answered: f64,
}

fn quantile_ms(mut latencies: Vec<Duration>, percent: usize) -> f64 {
    latencies.sort_unstable();
    let position = latencies.len() * percent / 100;
    let latency = latencies.get(position);
    latency.map_or(f64::NAN, |latency| latency.as_secs_f64() * 1000.0)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn summarize(reports: &[Report], length: Duration) -> Row {
    let all = |of: fn(&Report) -> &Vec<Duration>| {
        let latencies = reports.iter().flat_map(|report| of(report).iter().copied());
        latencies.collect::<Vec<Duration>>()
    };
    let latencies = all(|report| &report.latencies);
    let keyed = all(|report| &report.keyed_latencies);
    let seconds = length.as_secs_f64() * reports.len() as f64;
    let sum = |value: fn(&Report) -> u64| reports.iter().map(value).sum::<u64>() as f64;
    let first_attempts = sum(|report| report.first_attempts);
    let extra_attempts = sum(|report| report.hedges + report.retries);
    let refused = sum(|report| report.refused.values().sum());
    Row {
        p50_ms: quantile_ms(latencies.clone(), 50),
        p99_ms: quantile_ms(latencies, 99),
        whole_per_second: sum(|report| report.whole) / seconds,
        coverage_per_second: reports.iter().map(|report| report.coverage).sum::<f64>() / seconds,
        attempts_per_first: (first_attempts + extra_attempts) / first_attempts,
        refused_share: refused / sum(|report| report.offered),
        keyed_answered: keyed.len() as f64 / sum(|report| report.keyed_offered),
        keyed_p99_ms: quantile_ms(keyed, 99),
    }
}

fn measure(label: &str, scenario: &Scenario) -> Row {
    let runs = SEEDS.map(|seed| {
        let mut scenario = scenario.clone();
        scenario.seed = seed;
        std::thread::spawn(move || Simulation::run(scenario))
    });
    let reports = runs.map(|run| run.join().expect("the simulation does not panic"));
    let row = summarize(&reports, scenario.length);
    println!(
        "{label:34} {:8.1} {:8.1} {:10.1} {:10.1} {:9.4} {:8.3}",
        row.p50_ms,
        row.p99_ms,
        row.whole_per_second,
        row.coverage_per_second,
        row.attempts_per_first,
        row.refused_share,
    );
    if scenario.keyed_rate > 0.0 {
        println!(
            "    lookups by key: p99 {:.1} ms, answered {:.3}",
            row.keyed_p99_ms, row.keyed_answered
        );
    }
    if std::env::args().any(|arg| arg == "--refusals") {
        println!("    {:?}", reports[0].refused);
    }
    row
}

fn print_header(title: &str) {
    println!("\n{title}");
    println!(
        "{:34} {:>8} {:>8} {:>10} {:>10} {:>9} {:>8}",
        "", "p50 ms", "p99 ms", "whole/s", "coverage/s", "attempts", "refused"
    );
}

fn print_tail(policies: &[(&str, PolicySettings)], load: f64) {
    print_header(&format!(
        "Tail at {load} of capacity, 1 in 100 sub-queries 200 ms late"
    ));
    let clean = measure("no stragglers, no hedge", &scenario(no_hedge(), load));
    let hedged = measure(
        "no stragglers, default",
        &scenario(PolicySettings::default(), load),
    );
    for (label, policy) in policies {
        let mut late = scenario(*policy, load);
        late.straggler_share = 0.01;
        let row = measure(&format!("stragglers, {label}"), &late);
        let mut slow = scenario(*policy, load);
        slow.slow_replica = true;
        let slow_row = measure(&format!("one slow replica, {label}"), &slow);
        println!(
            "    p99 ratios to no stragglers (no hedge; default): stragglers {:.2}; {:.2}, slow replica {:.2}; {:.2}",
            row.p99_ms / clean.p99_ms,
            row.p99_ms / hedged.p99_ms,
            slow_row.p99_ms / clean.p99_ms,
            slow_row.p99_ms / hedged.p99_ms,
        );
    }
}

fn print_overload(policies: &[(&str, PolicySettings)], prefer: AnswerPreference) {
    print_header(&format!("Overload, prefer {prefer:?}"));
    for (label, policy) in policies {
        let rows = [1.0, 3.0].map(|load| {
            let mut scenario = scenario(*policy, load);
            scenario.service_config = service_config(prefer);
            scenario.keyed_rate = KEYED_RATE;
            if policy.admission == AdmissionPolicy::Unlimited {
                // Without admission control the queues only grow: a longer run shows nothing more.
                scenario.warm_up = UNLIMITED_LENGTH;
                scenario.length = UNLIMITED_LENGTH;
            }
            measure(&format!("{load}x capacity, {label}"), &scenario)
        });
        println!(
            "    3x to 1x: whole answers {:.2}, covered shards {:.2}",
            rows[1].whole_per_second / rows[0].whole_per_second,
            rows[1].coverage_per_second / rows[0].coverage_per_second,
        );
    }
}

fn no_hedge() -> PolicySettings {
    PolicySettings {
        hedge: false,
        ..PolicySettings::default()
    }
}

fn main() {
    let default = PolicySettings::default();
    let naive = PolicySettings {
        retry: RetryPolicy::Naive,
        ..default
    };
    let random = PolicySettings {
        replica: ReplicaPolicy::Random,
        ..default
    };
    let unlimited = PolicySettings {
        admission: AdmissionPolicy::Unlimited,
        ..naive
    };
    let mut tail = vec![("default", default)];
    let mut overload = tail.clone();
    if std::env::args().all(|arg| arg != "--default-only") {
        tail.push(("no hedge", no_hedge()));
        tail.push(("naive retry", naive));
        tail.push(("random replica", random));
        overload.push(("naive retry, no admission", unlimited));
    }
    for load in TAIL_LOADS {
        print_tail(&tail, load);
    }
    print_overload(&overload, AnswerPreference::Coverage);
    print_overload(&overload, AnswerPreference::Latency);
}
