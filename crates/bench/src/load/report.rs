//! The report of one load run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    arrivals::RequestKind,
    outcome::{RequestOutcome, RequestRefusal, RequestStatus},
};
use crate::stand_in::AnswerFault;

/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Significant digits of a recorded latency; latencies of repeated runs differ by more than the
/// rounding error.
const HISTOGRAM_DIGITS: u8 = 3;

/// Results of one kind of request, or of all requests.
#[derive(Clone, Debug, Serialize)]
pub struct KindReport {
    /// Kind of request, or `all`.
    pub kind: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with 200.
    pub answered: u64,
    /// Share of the sent requests that were answered within the deadline, measured from the
    /// intended start.
    pub in_time_share: f64,
    /// Median latency of answers in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answers in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of answers in milliseconds.
    pub p999_ms: f64,
    /// Largest latency of an answer in milliseconds.
    pub max_ms: f64,
    /// Mean coverage of answers.
    pub coverage_mean: f64,
    /// Share of the answers that cover all shards.
    pub full_share: f64,
}

/// Number of refusals with one reason and run verdict.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RefusalCount {
    /// Reason of the refusal.
    pub reason: String,
    /// Run verdict, e.g. `not-run`.
    pub run: String,
    /// Number of refusals.
    pub count: u64,
}

/// Number of answers with one fault.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FaultCount {
    /// Kind of fault.
    pub fault: AnswerFault,
    /// Number of answers.
    pub count: u64,
}

/// Work of the daemons and targets during the run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WorkReport {
    /// First attempts, as counted by the daemons.
    pub first_attempts: f64,
    /// Hedged attempts.
    pub hedges: f64,
    /// Retried attempts.
    pub retries: f64,
    /// Ratio of all attempts to first attempts; zero when there were no first attempts.
    pub attempts_per_first: f64,
    /// Requests that reached targets.
    pub target_requests: u64,
    /// Requests that acquired a slot at targets.
    pub target_runs: u64,
    /// Target runs per answered request.
    pub runs_per_answer: f64,
    /// Requests that targets shed.
    pub target_shed: u64,
    /// Cancels that targets received.
    pub target_cancels: u64,
    /// Largest number of open connections of one target.
    pub connections_max: u64,
    /// Connections that targets refused because of their connection limit.
    pub connections_refused: u64,
    /// Attempts that reached a target more than once.
    pub repeated_attempts: u64,
    /// Longest time from the start of a drain to a later request at the target, in milliseconds;
    /// zero if there was none.
    pub drain_last_ms: f64,
    /// CPU time of all daemons in seconds.
    pub cpu_secs: f64,
    /// CPU time of the daemons per request that reached a target, in microseconds.
    pub cpu_us_per_target_request: f64,
    /// Largest resident memory of a daemon in KiB.
    pub rss_max_kib: u64,
}

/// Results of comparing the answers to acts with the run logs of the targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ActReport {
    /// Acts that ran more than once.
    pub repeated: u64,
    /// Acts that were refused as not run although they ran.
    pub falsely_not_run: u64,
    /// Acts that were answered as done although they never ran.
    pub falsely_done: u64,
}

/// Results of one load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Label of the run.
    pub label: String,
    /// Seed of arrivals and targets.
    pub seed: u64,
    /// Offered requests per second.
    pub rate_per_sec: f64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Time from the start of the last target until all daemons gave answers with full coverage,
    /// in seconds.
    pub settle_secs: f64,
    /// Results of all requests, followed by the results of each kind.
    pub kinds: Vec<KindReport>,
    /// Refusals by reason and run verdict.
    pub refusals: Vec<RefusalCount>,
    /// Faults of answers.
    pub faults: Vec<FaultCount>,
    /// Check of the acts against the run logs of the targets.
    pub acts: ActReport,
    /// Work of the daemons and targets.
    pub work: WorkReport,
    /// Latency of all answers in microseconds, for the plot.
    #[serde(skip)]
    pub latencies: Histogram<u64>,
}

/// Creates an empty histogram of latencies in microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    let latencies = Histogram::new_with_bounds(1, LATENCY_MAX_US, HISTOGRAM_DIGITS);
    latencies.expect("the bounds are valid")
}

/// Summarizes the outcomes of all requests and of each kind with at least one request.
pub(crate) fn kind_reports(outcomes: &[RequestOutcome], deadline_ms: u64) -> Vec<KindReport> {
    let kinds = [
        ("search", RequestKind::Search),
        ("lookup", RequestKind::Lookup),
        ("act", RequestKind::Act),
    ];
    let mut reports = vec![kind_report("all", outcomes.iter(), deadline_ms)];
    for (name, kind) in kinds {
        let of_kind = outcomes.iter().filter(|outcome| outcome.kind == kind);
        reports.push(kind_report(name, of_kind, deadline_ms));
    }
    reports.retain(|report| report.sent > 0);
    reports
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn kind_report<'a>(
    name: &str,
    outcomes: impl Iterator<Item = &'a RequestOutcome>,
    deadline_ms: u64,
) -> KindReport {
    let mut latencies = new_histogram();
    let (mut sent, mut in_time, mut full) = (0_u64, 0_u64, 0_u64);
    let mut coverage_sum = 0.0;
    for outcome in outcomes {
        sent += 1;
        let RequestStatus::Answered { coverage, .. } = outcome.status else {
            continue;
        };
        latencies.saturating_record(micros(outcome));
        in_time += u64::from(outcome.latency.as_millis() <= u128::from(deadline_ms));
        full += u64::from(coverage >= 1.0);
        coverage_sum += coverage;
    }
    let answered = latencies.len();
    let millis = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    KindReport {
        kind: name.to_owned(),
        sent,
        answered,
        in_time_share: in_time as f64 / sent.max(1) as f64,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        p999_ms: millis(0.999),
        max_ms: latencies.max() as f64 / 1000.0,
        coverage_mean: coverage_sum / answered.max(1) as f64,
        full_share: full as f64 / answered.max(1) as f64,
    }
}

pub(crate) fn latencies(outcomes: &[RequestOutcome]) -> Histogram<u64> {
    let mut latencies = new_histogram();
    for outcome in outcomes {
        if matches!(outcome.status, RequestStatus::Answered { .. }) {
            latencies.saturating_record(micros(outcome));
        }
    }
    latencies
}

fn micros(outcome: &RequestOutcome) -> u64 {
    u64::try_from(outcome.latency.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn refusal_counts(outcomes: &[RequestOutcome]) -> Vec<RefusalCount> {
    let mut counts: BTreeMap<&RequestRefusal, u64> = BTreeMap::new();
    for outcome in outcomes {
        if let RequestStatus::Refused(refusal) = &outcome.status {
            *counts.entry(refusal).or_default() += 1;
        }
    }
    let count = |(refusal, count): (&RequestRefusal, u64)| RefusalCount {
        reason: refusal.reason.clone(),
        run: refusal.run.clone(),
        count,
    };
    counts.into_iter().map(count).collect()
}

pub(crate) fn fault_counts(outcomes: &[RequestOutcome]) -> Vec<FaultCount> {
    let mut counts: BTreeMap<AnswerFault, u64> = BTreeMap::new();
    for outcome in outcomes {
        if let RequestStatus::Answered { faults, .. } = &outcome.status {
            for fault in faults {
                *counts.entry(*fault).or_default() += 1;
            }
        }
    }
    let counts = counts.into_iter();
    counts
        .map(|(fault, count)| FaultCount { fault, count })
        .collect()
}

/// Compares the replies to acts with the runs at the targets, which `runs` counts by body.
pub(crate) fn act_report(outcomes: &[RequestOutcome], runs: &BTreeMap<String, u64>) -> ActReport {
    let mut report = ActReport::default();
    let acts = outcomes.iter().filter(|o| o.kind == RequestKind::Act);
    for act in acts {
        let count = runs.get(&act.body).copied().unwrap_or_default();
        report.repeated += u64::from(count > 1);
        match &act.status {
            RequestStatus::Answered { .. } => report.falsely_done += u64::from(count == 0),
            RequestStatus::Refused(refusal) => {
                report.falsely_not_run += u64::from(refusal.run == "not-run" && count > 0);
            }
        }
    }
    report
}
