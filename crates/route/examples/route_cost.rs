//! Measures the CPU time of the decisions on a search, of parsing and merging its replies, and of a
//! refusal.
//!
//! Run with `cargo run --release -p fulmarweir-route --example route_cost`.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, ShardHolding, TargetRecord, TargetState};
use fulmarweir_conf::{AnswerPreference, ServiceConfig, ServiceKind};
use fulmarweir_route::{
    Admission, AdmissionParams, AdmissionPermit, AttemptId, AttemptOutcome, PolicySettings,
    ReportedLoad, RequestFingerprint, RouteAction, SearchAction, SearchHit, SearchParams,
    SearchRun, ServiceState, TargetView, merge_hits, parse_hits,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SHARDS: u32 = 58;
const REPLICAS: u32 = 3;
const SEARCHES: u32 = 20_000;
const REFUSALS: u32 = 1_000_000;
const MERGES: u32 = 2_000;
const FINGERPRINTS: u32 = 2_000;
const HITS_PER_SHARD: u32 = 20;
const SEARCH_INTERVAL: Duration = Duration::from_millis(6);
const REPLY_DELAY: Duration = Duration::from_millis(5);

fn service_config() -> ServiceConfig {
    ServiceConfig {
        name: "street-app/pitches".parse().expect("a valid name"),
        depends: Vec::new(),
        kind: ServiceKind::Search,
        prefer: AnswerPreference::Coverage,
        deadline: Duration::from_millis(300),
        soft_deadline: Duration::from_millis(150),
        coverage_min: 0.0,
        extra_load: 0.05,
        slots: 3,
        connections: 30,
        connect_time: Duration::from_millis(6),
    }
}

fn view() -> Arc<TargetView> {
    let record = |number: u32| TargetRecord {
        name: format!("street-app/pitches-{number}")
            .parse()
            .expect("a valid name"),
        service: "street-app/pitches".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        state: TargetState::Serving,
        slots: 3,
        connections: 30,
        versions: vec![ShardHolding {
            version: 1,
            shard: number / REPLICAS,
            of: SHARDS,
        }],
    };
    let records = (0..SHARDS * REPLICAS).map(record).collect();
    Arc::new(TargetView::build(records))
}

fn permit(state: &Arc<ServiceState>, now: MonoTime) -> AdmissionPermit {
    let params = AdmissionParams::wide(SHARDS as usize, now + Duration::from_millis(300));
    match state.admit(params, now) {
        Admission::Granted(permit) => permit,
        other => panic!("not admitted: {other:?}"),
    }
}

fn sent(actions: &[SearchAction]) -> Vec<AttemptId> {
    let attempt = |action: &SearchAction| match action {
        RouteAction::Send(spec) => Some(spec.attempt),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// Runs searches from admission to the answer and returns the mean time per search.
fn time_searches() -> Duration {
    let state = Arc::new(ServiceState::new(PolicySettings::default()));
    let (service_config, view) = (Arc::new(service_config()), view());
    state.observe_view(&view);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut now = MonoTime::from_millis(10_000);
    let start = Instant::now();
    for _ in 0..SEARCHES {
        now = now + SEARCH_INTERVAL;
        let permit = permit(&state, now);
        let (service_config, view) = (Arc::clone(&service_config), Arc::clone(&view));
        let params = SearchParams::default();
        let (mut run, actions) =
            SearchRun::start(permit, service_config, view, params, now, &mut rng)
                .expect("the view has targets");
        for attempt in sent(&actions) {
            let load = Some(ReportedLoad {
                in_flight: 1,
                slots: 3,
                queued: 0,
            });
            let hits = Vec::new();
            let outcome = AttemptOutcome::Hits { hits, load };
            black_box(run.on_reply(attempt, outcome, now + REPLY_DELAY, &mut rng));
        }
        drop(run);
        black_box(state.poll_queue(now + REPLY_DELAY));
    }
    start.elapsed() / SEARCHES
}

/// Refuses requests of a service whose queue is full and returns the mean time per refusal.
fn time_refusals() -> Duration {
    let state = Arc::new(ServiceState::new(PolicySettings::default()));
    let now = MonoTime::from_millis(10_000);
    let answer_by = now + Duration::from_millis(300);
    let params = AdmissionParams::wide(SHARDS as usize, answer_by);
    let mut permits = Vec::new();
    loop {
        match state.admit(params, now) {
            Admission::Granted(permit) => permits.push(permit),
            Admission::Queued(_) => {}
            Admission::Refused(_) => break,
        }
    }
    let start = Instant::now();
    for _ in 0..REFUSALS {
        let admission = black_box(state.admit(params, now));
        assert!(matches!(admission, Admission::Refused(_)));
    }
    start.elapsed() / REFUSALS
}

fn replies() -> Vec<Bytes> {
    let reply = |shard: u32| {
        let hit = |rank: u32| {
            let score = f64::from(HITS_PER_SHARD - rank) + f64::from(shard) / 100.0;
            format!(
                r#"{{"id":"permit-{shard}-{rank}","score":{score},"pitch":"square {rank}","open":true}}"#
            )
        };
        let hits: Vec<String> = (0..HITS_PER_SHARD).map(hit).collect();
        Bytes::from(format!(r#"{{"hits":[{}]}}"#, hits.join(",")))
    };
    (0..SHARDS).map(reply).collect()
}

/// Parses and merges the replies of a search, and returns the mean times of parsing and merging.
fn time_hits(limit: usize) -> (Duration, Duration) {
    let bodies = replies();
    let (mut parsing, mut merging) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..MERGES {
        let start = Instant::now();
        let parsed: Vec<Vec<SearchHit>> = bodies
            .iter()
            .map(|body| parse_hits(body).expect("valid replies"))
            .collect();
        parsing += start.elapsed();
        let start = Instant::now();
        black_box(merge_hits(parsed, Some(limit)));
        merging += start.elapsed();
    }
    (parsing / MERGES, merging / MERGES)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Returns the mean time to digest a request with a body of this size.
fn time_fingerprints(body_bytes: usize) -> Duration {
    let body = vec![7; body_bytes];
    let started = Instant::now();
    for _ in 0..FINGERPRINTS {
        let host = black_box("leno12.example");
        let path = black_box("/nono601/no91/2f");
        black_box(RequestFingerprint::of("GET", host, path, &body));
    }
    started.elapsed() / FINGERPRINTS
}

fn main() {
    let search = micros(time_searches());
    let per_sub_query = search / f64::from(SHARDS);
    println!("search over {SHARDS} shards   {search:8.2} us, {per_sub_query:.3} us a sub-query");
    println!(
        "refusal                  {:8.3} us",
        micros(time_refusals())
    );
    for body_bytes in [0, 256 * 1024] {
        let took = micros(time_fingerprints(body_bytes));
        println!("fingerprint, {body_bytes:6} B body {took:8.3} us");
    }
    let (parse, merge) = time_hits(20);
    println!(
        "parse {SHARDS} x {HITS_PER_SHARD} hits        {:8.2} us, merge to 20 {:.2} us",
        micros(parse),
        micros(merge)
    );
}
