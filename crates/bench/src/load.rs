//! Open-loop load generator.

mod arrivals;
mod event;
mod metrics;
mod outcome;
mod report;
mod work;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use error_stack::Report;
use http::Method;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use self::{
    arrivals::{ArrivalProcess, PlannedRequest},
    event::run_events,
    outcome::{RequestOutcome, RequestStatus},
    report::{act_report, fault_counts, kind_reports, latencies, refusal_counts},
    work::CounterSnapshot,
};
use crate::{
    client::{HttpCall, HttpClient, HttpReply},
    error::BenchError,
    rig::TestRig,
    stand_in::StandIn,
};

pub(crate) use self::report::new_histogram;
pub use self::{
    arrivals::{RequestKind, RequestMix},
    event::{EventKind, LoadEvent},
    metrics::metric_sum,
    report::{ActReport, FaultCount, KindReport, LoadReport, RefusalCount, WorkReport},
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

/// Time beyond the deadline of a request for which a caller waits for the reply of the tier.
const REPLY_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Offset of the request numbers of a warm-up, so that they differ from those of any run.
const WARM_UP_NUMBER_OFFSET: u64 = 1_000_000_000;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Label of the run in its report.
    pub label: String,
    /// Requests per second over all daemons.
    pub rate_per_sec: f64,
    /// Length of the unmeasured warm-up with the same load before the run.
    pub warm_up: Duration,
    /// Length of the run.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Shares of the kinds of requests.
    pub mix: RequestMix,
    /// Events applied to targets and daemons during the run.
    pub events: Vec<LoadEvent>,
    /// Whether progress is written to standard error.
    pub progress: bool,
}

/// Offers the load to a rig and reports the results.
///
/// Each request starts at its intended time even if earlier requests are unanswered, and its
/// latency is measured from the intended start.
///
/// # Errors
///
/// [`BenchError::Settings`] when the rate is invalid or there is no daemon or no search service.
pub async fn run_load(rig: &TestRig, settings: &LoadSettings) -> Result<LoadReport> {
    warm_up(rig, settings).await?;
    let before = CounterSnapshot::collect(rig).await;
    let start = Instant::now();
    let events = run_events(rig, &settings.events, settings.seed, start);
    let (outcomes, ()) = tokio::join!(offer_load(rig, settings, start, 0), events);
    let outcomes = outcomes?;
    let after = CounterSnapshot::collect(rig).await;
    let answered = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.status, RequestStatus::Answered { .. }))
        .count() as u64;
    Ok(LoadReport {
        label: settings.label.clone(),
        seed: settings.seed,
        rate_per_sec: settings.rate_per_sec,
        seconds: settings.duration.as_secs_f64(),
        settle_secs: rig.settle_time.as_secs_f64(),
        kinds: kind_reports(&outcomes, rig.scenario.settings().name.deadline_ms()),
        refusals: refusal_counts(&outcomes),
        faults: fault_counts(&outcomes),
        acts: act_report(&outcomes, &runs_by_body(&rig.targets)),
        work: after.work_since(&before, answered),
        latencies: latencies(&outcomes),
    })
}

/// Offers load before the run, so that the daemons can measure the latency of their targets.
async fn warm_up(rig: &TestRig, settings: &LoadSettings) -> Result<()> {
    let settings = LoadSettings {
        label: format!("{} warm-up", settings.label),
        duration: settings.warm_up,
        seed: !settings.seed,
        events: Vec::new(),
        ..settings.clone()
    };
    offer_load(rig, &settings, Instant::now(), WARM_UP_NUMBER_OFFSET).await?;
    Ok(())
}

async fn offer_load(
    rig: &TestRig,
    settings: &LoadSettings,
    start: Instant,
    number_offset: u64,
) -> Result<Vec<RequestOutcome>> {
    let addresses = rig.caller_addresses();
    let process = ArrivalProcess::new(
        settings.seed,
        settings.rate_per_sec,
        settings.mix,
        &addresses,
        rig.scenario.services(),
        number_offset,
    );
    let Some(process) = process else {
        return Err(Report::new(BenchError::Settings));
    };
    let caller = Arc::new(LoadCaller {
        client: HttpClient::new(),
        client_delay: rig.scenario.settings().name.client_delay(),
        deadline_ms: rig.scenario.settings().name.deadline_ms(),
        done: AtomicU64::new(0),
        addresses: addresses.clone(),
    });
    let mut next_progress = start + PROGRESS_INTERVAL;
    let mut calls = JoinSet::new();
    for request in process.take_while(|request| request.start < settings.duration) {
        let due = start + request.start;
        sleep_until(due + caller.client_delay).await;
        if settings.progress && due >= next_progress {
            next_progress += PROGRESS_INTERVAL;
            let done = caller.done.load(Ordering::Relaxed);
            eprintln!(
                "{}: {:.0} s of {:.0} s, sent {}, ended {done}",
                settings.label,
                request.start.as_secs_f64(),
                settings.duration.as_secs_f64(),
                request.number - number_offset
            );
        }
        let caller = Arc::clone(&caller);
        calls.spawn(async move { caller.call(request, due).await });
    }
    Ok(calls.join_all().await)
}

/// Sends the requests of all callers.
struct LoadCaller {
    client: HttpClient,
    /// One-way delay between callers and daemons.
    client_delay: Duration,
    deadline_ms: u64,
    done: AtomicU64,
    addresses: Vec<SocketAddr>,
}

impl LoadCaller {
    /// Sends a call to its address, or to the next daemon that accepts connections.
    async fn send(&self, mut call: HttpCall) -> Option<HttpReply> {
        let first = self
            .addresses
            .iter()
            .position(|address| *address == call.address)?;
        for offset in 0..self.addresses.len() {
            call.address = self.addresses[(first + offset) % self.addresses.len()];
            match self.client.send(call.clone()).await {
                Ok(reply) => return Some(reply),
                Err(report) if *report.current_context() == BenchError::Unreachable => {}
                Err(_) => return None,
            }
        }
        None
    }

    async fn call(&self, request: PlannedRequest, due: Instant) -> RequestOutcome {
        let body = request.body();
        let mut call = HttpCall::new(Method::POST, request.address, &request.path(), body.clone())
            .header("fulmarweir-deadline-ms", &self.deadline_ms.to_string());
        if let Some(key) = request.idempotency_key() {
            call = call.header("idempotency-key", &key);
        }
        call.timeout = Duration::from_millis(self.deadline_ms) + REPLY_TIMEOUT_MARGIN;
        let reply = self.send(call).await;
        self.done.fetch_add(1, Ordering::Relaxed);
        RequestOutcome {
            kind: request.kind,
            body,
            // The delay of the reply is added instead of slept, because timers round up to
            // milliseconds.
            latency: due.elapsed() + self.client_delay,
            status: RequestStatus::from_reply(&request, reply.as_ref()),
        }
    }
}

fn runs_by_body(targets: &[StandIn]) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for act in targets.iter().flat_map(StandIn::runs) {
        *runs.entry(act.body).or_default() += act.runs;
    }
    runs
}
