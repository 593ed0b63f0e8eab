//! A seeded discrete-event simulation of callers, daemons and targets.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::{MonoTime, ShardHolding, TargetRecord, TargetState};
use fulmarweir_conf::ServiceConfig;
use fulmarweir_route::{
    Admission, AdmissionPermit, AttemptId, AttemptOutcome, AttemptSpec, PolicySettings, QueueEvent,
    QueueTicket, RouteAction, SearchAction, SearchOutcome, SearchParams, SearchRun, ServiceState,
    TargetView,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::target::{Arrival, JobId, SimulatedTarget};

pub(crate) const SHARDS: u32 = 58;
pub(crate) const REPLICAS: u32 = 3;
pub(crate) const SLOTS: u32 = 3;
pub(crate) const SERVICE_MS: f64 = 10.0;
const QUEUE_MAX: usize = 9;
const DAEMONS: usize = 3;
const STRAGGLER_DELAY_MS: f64 = 200.0;
const NETWORK_DELAY: Duration = Duration::from_micros(500);
const POLL_PERIOD: Duration = Duration::from_millis(2);
const START: MonoTime = MonoTime::from_millis(10_000);

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) service_config: ServiceConfig,
    pub(crate) policy: PolicySettings,
    /// Offered load, as a multiple of the capacity of the targets' slots.
    pub(crate) load: f64,
    /// Additional lookups by key that arrive per second.
    pub(crate) keyed_rate: f64,
    /// Share of sub-queries that take `STRAGGLER_DELAY_MS` longer.
    pub(crate) straggler_share: f64,
    /// Whether one replica takes `STRAGGLER_DELAY_MS` longer for every sub-query.
    pub(crate) slow_replica: bool,
    pub(crate) warm_up: Duration,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// The results of requests that arrived after the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) latencies: Vec<Duration>,
    /// Latencies of answered lookups by key.
    pub(crate) keyed_latencies: Vec<Duration>,
    pub(crate) keyed_offered: u64,
    pub(crate) whole: u64,
    pub(crate) coverage: f64,
    pub(crate) refused: HashMap<&'static str, u64>,
    pub(crate) offered: u64,
    pub(crate) first_attempts: u64,
    pub(crate) hedges: u64,
    pub(crate) retries: u64,
}

#[derive(Debug)]
enum Event {
    SearchArrival,
    KeyedArrival,
    ReachTarget(JobId),
    JobDone(JobId),
    CancelAtTarget(JobId),
    Reply(JobId, AttemptOutcome),
    Wake(usize),
    Poll,
}

#[derive(Debug)]
struct Job {
    search: usize,
    attempt: AttemptId,
    target: usize,
}

#[derive(Debug)]
struct ActiveSearch {
    run: SearchRun,
    daemon: usize,
    keyed: bool,
    arrived: MonoTime,
    jobs: HashMap<AttemptId, JobId>,
}

struct Daemon {
    state: Arc<ServiceState>,
    waiting: HashMap<QueueTicket, SearchParams>,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    service_config: Arc<ServiceConfig>,
    view: Arc<TargetView>,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    targets: Vec<SimulatedTarget>,
    jobs: Vec<Job>,
    searches: HashMap<usize, ActiveSearch>,
    next_search: usize,
    daemons: Vec<Daemon>,
    rng: Pcg64Mcg,
    policy_rng: Pcg64Mcg,
    report: Report,
}

fn records() -> Vec<TargetRecord> {
    let record = |number: u32| TargetRecord {
        name: format!("{number}").parse().expect("a valid name"),
        service: "street-app/pitches".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        state: TargetState::Serving,
        slots: SLOTS,
        connections: 30,
        versions: vec![ShardHolding {
            version: 1,
            shard: number / REPLICAS,
            of: SHARDS,
        }],
    };
    (0..SHARDS * REPLICAS).map(record).collect()
}

impl Simulation {
    pub(crate) fn run(scenario: Scenario) -> Report {
        let view = Arc::new(TargetView::build(records()));
        let daemon = |_| {
            let state = ServiceState::new(scenario.policy);
            state.observe_view(&view);
            Daemon {
                state: Arc::new(state),
                waiting: HashMap::new(),
            }
        };
        let daemons = (0..DAEMONS).map(daemon).collect();
        let target = |_| SimulatedTarget::new(SLOTS as usize, QUEUE_MAX);
        let mut simulation = Self {
            service_config: Arc::new(scenario.service_config.clone()),
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            targets: (0..SHARDS * REPLICAS).map(target).collect(),
            jobs: Vec::new(),
            searches: HashMap::new(),
            next_search: 0,
            daemons,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            policy_rng: Pcg64Mcg::seed_from_u64(scenario.seed + 1),
            report: Report::default(),
            view,
            scenario,
        };
        simulation.push(Duration::ZERO, Event::SearchArrival);
        if simulation.scenario.keyed_rate > 0.0 {
            simulation.push(Duration::ZERO, Event::KeyedArrival);
        }
        simulation.push(POLL_PERIOD, Event::Poll);
        while simulation.step() {}
        simulation.report
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.push_at(self.now + delay, event);
    }

    fn push_at(&mut self, at: MonoTime, event: Event) {
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, number))) = self.queue.pop() else {
            return false;
        };
        self.now = at;
        let Some(event) = self.events.remove(&number) else {
            return true;
        };
        match event {
            Event::SearchArrival => self.arrive(),
            Event::KeyedArrival => self.arrive_keyed(),
            Event::ReachTarget(job) => self.reach_target(job),
            Event::JobDone(job) => self.job_done(job),
            Event::CancelAtTarget(job) => self.cancel_at_target(job),
            Event::Reply(job, outcome) => self.reply(job, outcome),
            Event::Wake(search) => self.wake(search),
            Event::Poll => self.poll(),
        }
        true
    }

    fn is_over(&self) -> bool {
        self.now.since(START) >= self.scenario.warm_up + self.scenario.length
    }

    fn is_measured(&self, arrived: MonoTime) -> bool {
        arrived.since(START) >= self.scenario.warm_up
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -mean * (1.0 - uniform).ln()
    }

    fn arrive(&mut self) {
        if self.is_over() {
            return;
        }
        let per_second = f64::from(REPLICAS * SLOTS) * 1000.0 / SERVICE_MS * self.scenario.load;
        let gap = self.exponential(1.0 / per_second);
        self.push(Duration::from_secs_f64(gap), Event::SearchArrival);
        if self.is_measured(self.now) {
            self.report.offered += 1;
        }
        self.offer(None);
    }

    fn arrive_keyed(&mut self) {
        if self.is_over() {
            return;
        }
        let gap = self.exponential(1.0 / self.scenario.keyed_rate);
        self.push(Duration::from_secs_f64(gap), Event::KeyedArrival);
        if self.is_measured(self.now) {
            self.report.keyed_offered += 1;
        }
        let number: u32 = self.rng.random();
        self.offer(Some(number.to_string().into()));
    }

    fn offer(&mut self, key: Option<Arc<str>>) {
        let now = self.now;
        let daemon = self.rng.random_range(0..DAEMONS);
        let params = SearchParams {
            key,
            arrived: Some(now),
            ..SearchParams::default()
        };
        let admission = params.admission(&self.service_config, &self.view, now);
        match self.daemons[daemon].state.admit(admission, now) {
            Admission::Granted(permit) => self.start(daemon, params, permit),
            Admission::Queued(ticket) => {
                self.daemons[daemon].waiting.insert(ticket, params);
            }
            Admission::Refused(refusal) => self.count_refusal(&params, refusal.reason.as_str()),
        }
    }

    fn count_refusal(&mut self, params: &SearchParams, reason: &'static str) {
        let measured = params.arrived.is_some_and(|at| self.is_measured(at));
        if measured && params.key.is_none() {
            *self.report.refused.entry(reason).or_default() += 1;
        }
    }

    fn start(&mut self, daemon: usize, params: SearchParams, permit: AdmissionPermit) {
        let keyed = params.key.is_some();
        let arrived = params.arrived.unwrap_or(self.now);
        let refused = params.clone();
        let service_config = Arc::clone(&self.service_config);
        let view = Arc::clone(&self.view);
        let rng = &mut self.policy_rng;
        match SearchRun::start(permit, service_config, view, params, self.now, rng) {
            Ok((run, actions)) => {
                let number = self.next_search;
                self.next_search += 1;
                let search = ActiveSearch {
                    run,
                    daemon,
                    keyed,
                    arrived,
                    jobs: HashMap::new(),
                };
                self.searches.insert(number, search);
                self.perform(number, actions);
            }
            Err(refusal) => self.count_refusal(&refused, refusal.reason.as_str()),
        }
    }

    fn perform(&mut self, number: usize, actions: Vec<SearchAction>) {
        for action in actions {
            match action {
                RouteAction::Send(spec) => self.send(number, &spec),
                RouteAction::Cancel(attempt) => {
                    if let Some(job) = self.searches[&number].jobs.get(&attempt) {
                        self.push(NETWORK_DELAY, Event::CancelAtTarget(*job));
                    }
                }
                RouteAction::Wake(at) => self.push_at(at, Event::Wake(number)),
                RouteAction::Finish(outcome) => self.finish(number, &outcome),
            }
        }
    }

    fn send(&mut self, number: usize, spec: &AttemptSpec) {
        let target = spec.target.name.as_str().parse().expect("a number");
        let job = self.jobs.len();
        self.jobs.push(Job {
            search: number,
            attempt: spec.attempt,
            target,
        });
        if let Some(search) = self.searches.get_mut(&number) {
            search.jobs.insert(spec.attempt, job);
        }
        self.push(NETWORK_DELAY, Event::ReachTarget(job));
    }

    fn finish(&mut self, number: usize, outcome: &SearchOutcome) {
        let Some(search) = self.searches.remove(&number) else {
            return;
        };
        self.count_answer(&search, outcome);
        let daemon = search.daemon;
        drop(search);
        self.poll_daemon(daemon);
    }

    fn count_answer(&mut self, search: &ActiveSearch, outcome: &SearchOutcome) {
        if !self.is_measured(search.arrived) {
            return;
        }
        let latency = self.now.since(search.arrived);
        let (stats, report) = (outcome.stats, &mut self.report);
        report.first_attempts += u64::from(stats.first_attempts);
        report.hedges += u64::from(stats.hedges);
        report.retries += u64::from(stats.retries);
        match &outcome.answer {
            Ok(_) if search.keyed => report.keyed_latencies.push(latency),
            Ok(answer) => {
                report.latencies.push(latency);
                report.coverage += f64::from(answer.answered) / f64::from(answer.shards);
                report.whole += u64::from(answer.is_whole());
            }
            Err(_) if search.keyed => {}
            Err(refusal) => *report.refused.entry(refusal.reason.as_str()).or_default() += 1,
        }
    }

    fn poll(&mut self) {
        for daemon in 0..DAEMONS {
            self.poll_daemon(daemon);
        }
        if !self.is_over() {
            self.push(POLL_PERIOD, Event::Poll);
        }
    }

    fn poll_daemon(&mut self, daemon: usize) {
        for event in self.daemons[daemon].state.poll_queue(self.now) {
            match event {
                QueueEvent::Granted(ticket, permit) => {
                    if let Some(params) = self.daemons[daemon].waiting.remove(&ticket) {
                        self.start(daemon, params, permit);
                    }
                }
                QueueEvent::Refused(ticket, refusal) => {
                    if let Some(params) = self.daemons[daemon].waiting.remove(&ticket) {
                        self.count_refusal(&params, refusal.reason.as_str());
                    }
                }
            }
        }
    }

    fn reach_target(&mut self, job: JobId) {
        let target = self.jobs[job].target;
        match self.targets[target].arrive(job) {
            Arrival::Started => self.start_service(job),
            Arrival::Waits => {}
            Arrival::Shed => {
                let outcome = AttemptOutcome::Refused {
                    shedding: true,
                    retry_after: None,
                };
                self.push(NETWORK_DELAY, Event::Reply(job, outcome));
            }
        }
    }

    /// Starts a job with a random service time: half of `SERVICE_MS`, plus an exponential part
    /// whose mean is the other half, plus `STRAGGLER_DELAY_MS` for a straggler.
    fn start_service(&mut self, job: JobId) {
        let mut millis = SERVICE_MS / 2.0 + self.exponential(SERVICE_MS / 2.0);
        let draw: f64 = self.rng.random();
        let slow = self.scenario.slow_replica && self.jobs[job].target == 0;
        if draw < self.scenario.straggler_share || slow {
            millis += STRAGGLER_DELAY_MS;
        }
        self.push(
            Duration::from_secs_f64(millis / 1000.0),
            Event::JobDone(job),
        );
    }

    fn end_at_target(&mut self, job: JobId) -> bool {
        let target = self.jobs[job].target;
        let (had_job, next) = self.targets[target].end(job);
        if let Some(next) = next {
            self.start_service(next);
        }
        had_job
    }

    fn job_done(&mut self, job: JobId) {
        let load = self.targets[self.jobs[job].target].load();
        if self.end_at_target(job) {
            let outcome = AttemptOutcome::Hits {
                hits: Vec::new(),
                load: Some(load),
            };
            self.push(NETWORK_DELAY, Event::Reply(job, outcome));
        }
    }

    fn cancel_at_target(&mut self, job: JobId) {
        self.end_at_target(job);
    }

    fn reply(&mut self, job: JobId, outcome: AttemptOutcome) {
        let (number, attempt) = (self.jobs[job].search, self.jobs[job].attempt);
        if let Some(search) = self.searches.get_mut(&number) {
            let actions = search
                .run
                .on_reply(attempt, outcome, self.now, &mut self.policy_rng);
            self.perform(number, actions);
        }
    }

    fn wake(&mut self, number: usize) {
        if let Some(search) = self.searches.get_mut(&number) {
            let actions = search.run.on_wake(self.now, &mut self.policy_rng);
            self.perform(number, actions);
        }
    }
}
