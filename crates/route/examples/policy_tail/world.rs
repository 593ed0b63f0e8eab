//! A seeded queueing loop: callers, daemons and targets in one event list.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::{MonoTime, ShardHolding, TargetRecord, TargetState};
use fulmarweir_conf::ServicePlan;
use fulmarweir_route::{
    Admission, AdmissionPermit, AttemptId, AttemptOutcome, AttemptSpec, PolicySettings, QueueEvent,
    QueueTicket, RouteAction, SearchAction, SearchOutcome, SearchParams, SearchRun, ServiceState,
    TargetView,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::target::{Arrival, FakeTarget, JobId};

pub(crate) const SHARDS: u32 = 58;
pub(crate) const REPLICAS: u32 = 3;
pub(crate) const SLOTS: u32 = 3;
pub(crate) const SERVICE_MS: f64 = 10.0;
const QUEUE_MAX: usize = 9;
const DAEMONS: usize = 3;
const LATE_MS: f64 = 200.0;
const NETWORK: Duration = Duration::from_micros(500);
const POLL_PERIOD: Duration = Duration::from_millis(2);
const START: MonoTime = MonoTime::from_millis(10_000);

/// One run of the world.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) plan: ServicePlan,
    pub(crate) policy: PolicySettings,
    /// Offered load as a multiple of what the slots can do.
    pub(crate) load: f64,
    /// Lookups by key that arrive in a second, besides.
    pub(crate) keyed_rate: f64,
    /// Share of sub-queries that take longer by a fixed time.
    pub(crate) late_share: f64,
    /// Whether one replica is late each time.
    pub(crate) slow_replica: bool,
    pub(crate) warm_up: Duration,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// What callers saw after the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) latencies: Vec<Duration>,
    /// Answered lookups by key.
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
    Arrive,
    ArriveKeyed,
    AtTarget(JobId),
    Done(JobId),
    CancelAt(JobId),
    Reply(JobId, AttemptOutcome),
    Wake(usize),
    Poll,
}

#[derive(Debug)]
struct Job {
    run: usize,
    attempt: AttemptId,
    target: usize,
}

#[derive(Debug)]
struct Caller {
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

pub(crate) struct World {
    scenario: Scenario,
    plan: Arc<ServicePlan>,
    view: Arc<TargetView>,
    now: MonoTime,
    order: BinaryHeap<Reverse<(MonoTime, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    targets: Vec<FakeTarget>,
    jobs: Vec<Job>,
    callers: HashMap<usize, Caller>,
    next_caller: usize,
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

impl World {
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
        let target = |_| FakeTarget::new(SLOTS as usize, QUEUE_MAX);
        let mut world = Self {
            plan: Arc::new(scenario.plan.clone()),
            now: START,
            order: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            targets: (0..SHARDS * REPLICAS).map(target).collect(),
            jobs: Vec::new(),
            callers: HashMap::new(),
            next_caller: 0,
            daemons,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            policy_rng: Pcg64Mcg::seed_from_u64(scenario.seed + 1),
            report: Report::default(),
            view,
            scenario,
        };
        world.push(Duration::ZERO, Event::Arrive);
        if world.scenario.keyed_rate > 0.0 {
            world.push(Duration::ZERO, Event::ArriveKeyed);
        }
        world.push(POLL_PERIOD, Event::Poll);
        while world.step() {}
        world.report
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.push_at(self.now + delay, event);
    }

    fn push_at(&mut self, at: MonoTime, event: Event) {
        self.order.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, number))) = self.order.pop() else {
            return false;
        };
        self.now = at;
        let Some(event) = self.events.remove(&number) else {
            return true;
        };
        match event {
            Event::Arrive => self.arrive(),
            Event::ArriveKeyed => self.arrive_keyed(),
            Event::AtTarget(job) => self.at_target(job),
            Event::Done(job) => self.done(job),
            Event::CancelAt(job) => self.cancel_at(job),
            Event::Reply(job, outcome) => self.reply(job, outcome),
            Event::Wake(caller) => self.wake(caller),
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
        self.push(Duration::from_secs_f64(gap), Event::Arrive);
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
        self.push(Duration::from_secs_f64(gap), Event::ArriveKeyed);
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
        let admission = params.admission(&self.plan, &self.view, now);
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
        let plan = Arc::clone(&self.plan);
        let view = Arc::clone(&self.view);
        let rng = &mut self.policy_rng;
        match SearchRun::start(permit, plan, view, params, self.now, rng) {
            Ok((run, actions)) => {
                let number = self.next_caller;
                self.next_caller += 1;
                let caller = Caller {
                    run,
                    daemon,
                    keyed,
                    arrived,
                    jobs: HashMap::new(),
                };
                self.callers.insert(number, caller);
                self.carry_out(number, actions);
            }
            Err(refusal) => self.count_refusal(&refused, refusal.reason.as_str()),
        }
    }

    fn carry_out(&mut self, number: usize, actions: Vec<SearchAction>) {
        for action in actions {
            match action {
                RouteAction::Send(spec) => self.send(number, &spec),
                RouteAction::Cancel(attempt) => {
                    if let Some(job) = self.callers[&number].jobs.get(&attempt) {
                        self.push(NETWORK, Event::CancelAt(*job));
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
            run: number,
            attempt: spec.attempt,
            target,
        });
        if let Some(caller) = self.callers.get_mut(&number) {
            caller.jobs.insert(spec.attempt, job);
        }
        self.push(NETWORK, Event::AtTarget(job));
    }

    fn finish(&mut self, number: usize, outcome: &SearchOutcome) {
        let Some(caller) = self.callers.remove(&number) else {
            return;
        };
        self.count_answer(&caller, outcome);
        let daemon = caller.daemon;
        drop(caller);
        self.poll_daemon(daemon);
    }

    fn count_answer(&mut self, caller: &Caller, outcome: &SearchOutcome) {
        if !self.is_measured(caller.arrived) {
            return;
        }
        let latency = self.now.since(caller.arrived);
        let (stats, report) = (outcome.stats, &mut self.report);
        report.first_attempts += u64::from(stats.first_attempts);
        report.hedges += u64::from(stats.hedges);
        report.retries += u64::from(stats.retries);
        match &outcome.answer {
            Ok(_) if caller.keyed => report.keyed_latencies.push(latency),
            Ok(answer) => {
                report.latencies.push(latency);
                report.coverage += f64::from(answer.answered) / f64::from(answer.shards);
                report.whole += u64::from(answer.is_whole());
            }
            Err(_) if caller.keyed => {}
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

    fn at_target(&mut self, job: JobId) {
        let target = self.jobs[job].target;
        match self.targets[target].arrive(job) {
            Arrival::Started => self.begin(job),
            Arrival::Waits => {}
            Arrival::Shed => {
                let outcome = AttemptOutcome::Refused {
                    shedding: true,
                    retry_after: None,
                };
                self.push(NETWORK, Event::Reply(job, outcome));
            }
        }
    }

    /// Draws a service time: half of the mean, plus an exponential part, plus the delay if late.
    fn begin(&mut self, job: JobId) {
        let mut millis = SERVICE_MS / 2.0 + self.exponential(SERVICE_MS / 2.0);
        let draw: f64 = self.rng.random();
        let slow = self.scenario.slow_replica && self.jobs[job].target == 0;
        if draw < self.scenario.late_share || slow {
            millis += LATE_MS;
        }
        self.push(Duration::from_secs_f64(millis / 1000.0), Event::Done(job));
    }

    fn end_at_target(&mut self, job: JobId) -> bool {
        let target = self.jobs[job].target;
        let (held, next) = self.targets[target].end(job);
        if let Some(next) = next {
            self.begin(next);
        }
        held
    }

    fn done(&mut self, job: JobId) {
        let load = self.targets[self.jobs[job].target].load();
        if self.end_at_target(job) {
            let outcome = AttemptOutcome::Hits {
                hits: Vec::new(),
                load: Some(load),
            };
            self.push(NETWORK, Event::Reply(job, outcome));
        }
    }

    fn cancel_at(&mut self, job: JobId) {
        self.end_at_target(job);
    }

    fn reply(&mut self, job: JobId, outcome: AttemptOutcome) {
        let (number, attempt) = (self.jobs[job].run, self.jobs[job].attempt);
        if let Some(caller) = self.callers.get_mut(&number) {
            let actions = caller
                .run
                .on_reply(attempt, outcome, self.now, &mut self.policy_rng);
            self.carry_out(number, actions);
        }
    }

    fn wake(&mut self, number: usize) {
        if let Some(caller) = self.callers.get_mut(&number) {
            let actions = caller.run.on_wake(self.now, &mut self.policy_rng);
            self.carry_out(number, actions);
        }
    }
}
