//! An event loop that drives one run at a time over a simulated network.

#![allow(
    dead_code,
    reason = "each test file includes this module and uses a part of it"
)]

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, ShardHolding, TargetRecord, TargetState};
use fulmarweir_conf::{AnswerPreference, ServiceConfig, ServiceKind};
use fulmarweir_route::{
    Admission, AdmissionParams, AdmissionPermit, AttemptId, AttemptOutcome, AttemptSpec,
    PolicySettings, RouteAction, SearchAction, SearchHit, SearchOutcome, SearchParams, SearchRun,
    ServiceState, TargetView, parse_hits,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub(crate) const START: MonoTime = MonoTime::from_millis(1_000);

pub(crate) fn seeded(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

pub(crate) fn test_service_config() -> ServiceConfig {
    ServiceConfig {
        name: "street-app/pitches".parse().unwrap(),
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

pub(crate) fn holding(version: u64, shard: u32, of: u32) -> ShardHolding {
    ShardHolding { version, shard, of }
}

pub(crate) fn target(name: &str, versions: Vec<ShardHolding>) -> TargetRecord {
    TargetRecord {
        name: name.parse().unwrap(),
        service: "street-app/pitches".parse().unwrap(),
        address: "127.0.0.1:9001".parse().unwrap(),
        incarnation: 1,
        state: TargetState::Serving,
        slots: 3,
        connections: 30,
        versions,
    }
}

/// Returns one target for each replica of each shard, named `SHARD-REPLICA`.
pub(crate) fn grid(version: u64, shards: u32, replicas: u32) -> Vec<TargetRecord> {
    let mut records = Vec::new();
    for shard in 0..shards {
        for replica in 0..replicas {
            let versions = vec![holding(version, shard, shards)];
            records.push(target(&format!("{shard}-{replica}"), versions));
        }
    }
    records
}

pub(crate) fn grid_view(version: u64, shards: u32, replicas: u32) -> Arc<TargetView> {
    Arc::new(TargetView::build(grid(version, shards, replicas)))
}

pub(crate) fn new_state() -> Arc<ServiceState> {
    Arc::new(ServiceState::new(PolicySettings::default()))
}

pub(crate) fn permit(state: &Arc<ServiceState>, now: MonoTime) -> AdmissionPermit {
    let params = AdmissionParams::keyed(now + Duration::from_secs(1));
    match state.admit(params, now) {
        Admission::Granted(permit) => permit,
        other => panic!("not admitted: {other:?}"),
    }
}

/// Returns hits whose ids contain their version and shard.
pub(crate) fn hits_of(spec: &AttemptSpec) -> Vec<SearchHit> {
    let (version, shard) = (spec.version, spec.shard);
    let body = format!(
        r#"{{"hits":[{{"id":"{version}/{shard}","score":{shard}.5}},{{"id":"{version}/{shard}/b"}}]}}"#
    );
    parse_hits(&Bytes::from(body)).unwrap()
}

pub(crate) fn answer_to(spec: &AttemptSpec) -> AttemptOutcome {
    let hits = hits_of(spec);
    AttemptOutcome::Hits { hits, load: None }
}

/// An input to the run.
pub(crate) enum LoopEvent {
    Reply(AttemptId, AttemptOutcome),
    View(Arc<TargetView>),
    Wake,
}

/// The actions of a run.
pub(crate) struct RunTrace {
    pub(crate) sent: Vec<AttemptSpec>,
    pub(crate) cancelled: Vec<AttemptId>,
    pub(crate) outcome: SearchOutcome,
    pub(crate) finished_at: MonoTime,
}

/// Events ordered by time, then by the order in which they were pushed.
#[derive(Default)]
pub(crate) struct EventQueue {
    order: BinaryHeap<Reverse<(MonoTime, usize)>>,
    events: Vec<Option<LoopEvent>>,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: MonoTime, event: LoopEvent) {
        self.order.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn pop(&mut self) -> Option<(MonoTime, LoopEvent)> {
        let Reverse((at, position)) = self.order.pop()?;
        Some((at, self.events[position].take()?))
    }
}

/// Returns the outcomes of one attempt, each with its delay. There may be none or several.
pub(crate) type Network<'a> =
    dyn FnMut(&AttemptSpec, MonoTime) -> Vec<(Duration, AttemptOutcome)> + 'a;

/// Drives one search to its end, then passes it all remaining events.
pub(crate) fn drive_search(
    run: (SearchRun, Vec<SearchAction>),
    start: MonoTime,
    mut events: EventQueue,
    network: &mut Network<'_>,
    rng: &mut Pcg64Mcg,
) -> RunTrace {
    let (mut run, first) = run;
    let mut sent = Vec::new();
    let mut cancelled = Vec::new();
    let mut finish = None;
    let mut handle = |now: MonoTime, actions: Vec<SearchAction>, events: &mut EventQueue| {
        for action in actions {
            assert!(finish.is_none(), "an action after Finish");
            match action {
                RouteAction::Send(spec) => {
                    for (delay, outcome) in network(&spec, now) {
                        events.push(now + delay, LoopEvent::Reply(spec.attempt, outcome));
                    }
                    sent.push(spec);
                }
                RouteAction::Cancel(id) => cancelled.push(id),
                RouteAction::Wake(at) => {
                    assert!(at > now, "a wake-up in the past");
                    events.push(at, LoopEvent::Wake);
                }
                RouteAction::Finish(outcome) => finish = Some((now, outcome)),
            }
        }
    };
    handle(start, first, &mut events);
    while let Some((now, event)) = events.pop() {
        let actions = match event {
            LoopEvent::Reply(id, outcome) => run.on_reply(id, outcome, now, rng),
            LoopEvent::View(view) => run.on_view(view, now, rng),
            LoopEvent::Wake => run.on_wake(now, rng),
        };
        handle(now, actions, &mut events);
    }
    let (finished_at, outcome) = finish.expect("the run never finished");
    RunTrace {
        sent,
        cancelled,
        outcome,
        finished_at,
    }
}

/// Starts a search on `state` and drives it to its end.
pub(crate) fn search(
    state: &Arc<ServiceState>,
    service_config: ServiceConfig,
    view: &Arc<TargetView>,
    params: SearchParams,
    network: &mut Network<'_>,
    rng: &mut Pcg64Mcg,
) -> RunTrace {
    let permit = permit(state, START);
    let service_config = Arc::new(service_config);
    let run =
        SearchRun::start(permit, service_config, Arc::clone(view), params, START, rng).unwrap();
    drive_search(run, START, EventQueue::default(), network, rng)
}
