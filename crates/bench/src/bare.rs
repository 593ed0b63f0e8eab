//! A fan-out without routing decisions, which is the baseline for the CPU cost of a sub-query.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::Report;
use http::{Method, StatusCode};
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    client::{HttpCall, HttpClient},
    error::BenchError,
    load::new_histogram,
    scenario::FIRST_VERSION,
    tier::own_usage,
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

const BARE_DEADLINE_MS: u64 = 2_000;

/// Settings of the bare fan-out.
#[derive(Clone, Debug)]
pub struct BareSettings {
    /// Targets, one for each shard, in the order of the shards.
    pub targets: Vec<SocketAddr>,
    /// Service that the targets belong to.
    pub service: String,
    /// Queries per second.
    pub rate_per_sec: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Results of the bare fan-out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BareReport {
    /// Queries sent.
    pub queries: u64,
    /// Sub-queries answered with 200.
    pub answered: u64,
    /// CPU time of the process per answered sub-query, in microseconds.
    pub cpu_us_per_sub_query: f64,
    /// Median latency of an answered sub-query in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered sub-queries in milliseconds.
    pub p99_ms: f64,
}

/// Starts queries as a Poisson process, sends each query to all targets and waits for all
/// replies.
///
/// # Errors
///
/// [`BenchError::Settings`] when the rate is not positive or there is no target.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub async fn run_bare(settings: &BareSettings) -> Result<BareReport> {
    let interarrival = Exp::new(settings.rate_per_sec);
    let (Ok(interarrival), false) = (interarrival, settings.targets.is_empty()) else {
        return Err(Report::new(BenchError::Settings));
    };
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    let client = HttpClient::new();
    let before = own_usage();
    let start = Instant::now();
    let mut next_start = Duration::ZERO;
    let mut queries = 0_u64;
    let mut calls = JoinSet::new();
    loop {
        next_start += Duration::from_secs_f64(interarrival.sample(&mut rng));
        if next_start >= settings.duration {
            break;
        }
        sleep_until(start + next_start).await;
        queries += 1;
        for shard in 0..settings.targets.len() {
            let call = sub_query(settings, shard, queries);
            let client = client.clone();
            calls.spawn(async move { answer_time(&client, call).await });
        }
    }
    let mut latencies = new_histogram();
    for latency in calls.join_all().await.into_iter().flatten() {
        latencies.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }
    let cpu_secs = own_usage().cpu_secs - before.cpu_secs;
    let answered = latencies.len();
    Ok(BareReport {
        queries,
        answered,
        cpu_us_per_sub_query: cpu_secs * 1e6 / answered.max(1) as f64,
        p50_ms: latencies.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1e3,
    })
}

fn sub_query(settings: &BareSettings, shard: usize, number: u64) -> HttpCall {
    let body = Bytes::from(format!("{{\"q\":{number}}}"));
    HttpCall::new(Method::POST, settings.targets[shard], "/query", body)
        .header("fulmarweir-request", &number.to_string())
        .header("fulmarweir-attempt", &format!("{number}-{shard}"))
        .header("fulmarweir-service", &settings.service)
        .header("fulmarweir-version", &FIRST_VERSION.to_string())
        .header(
            "fulmarweir-shard",
            &format!("{shard}/{}", settings.targets.len()),
        )
        .header("fulmarweir-deadline-ms", &BARE_DEADLINE_MS.to_string())
        .header("fulmarweir-kind", "search")
}

/// Returns the time until the complete reply, or `None` if the call fails or is not answered
/// with 200.
async fn answer_time(client: &HttpClient, call: HttpCall) -> Option<Duration> {
    let start = Instant::now();
    let reply = client.send(call).await.ok()?;
    (reply.status == StatusCode::OK).then(|| start.elapsed())
}
