//! A model of all entry VMs of a deployment in simulated time: each has its own target selector, and
//! searches are handed over between data centres.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    GroupOutcome, Locality, RelayAction, RelayAttempt, RelayAttemptOutcome, RelayOutcome,
    RelayParams, RelayRun, RelayTarget, ShardGroup, TargetSelector,
};

/// Shards of each search.
pub(crate) const SHARDS: usize = 4;
/// Data centre of the targets.
const TARGET_CENTRE: &str = "b";
const SOFT_DEADLINE_MS: u64 = 200;
const DEADLINE_MS: u64 = 1_000;
/// Time by which a broker replies before the soft deadline.
const HANDOVER_MARGIN_MS: u64 = 8;
/// Time for a message between two VMs.
const VM_DELAY_MS: u64 = 1;
const HEDGE_DELAY_MS: u64 = 40;
/// Time after which a broker returns the next part of a handover.
const REST_MS: u64 = 100;

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// The reaction of a target to an attempt: its outcome and the time until the VM learns it.
pub(crate) type Reaction = (RelayAttemptOutcome, u64);
type Reactions = Box<dyn Fn(&RelayTarget, u64) -> Reaction>;

/// An attempt that reached a target.
struct Arrival {
    at_ms: u64,
    request: u64,
    from_broker: bool,
}

struct ModelVm {
    selector: TargetSelector,
    centre: &'static str,
    up: bool,
    /// Distinguishes processes of the VM: events of an earlier one are dropped.
    process: u64,
}

struct ModelRun {
    vm: usize,
    process: u64,
    started_at: MonoTime,
    request: u64,
    run: RelayRun,
    /// Run of the VM that handed over the search, if it did.
    origin: Option<u64>,
    wake_ms: u64,
}

#[derive(Debug)]
enum Event {
    AttemptEnd(u64, usize, u32, RelayAttemptOutcome),
    Wake(u64),
    GroupEnd(u64, GroupOutcome),
}

/// The entry VMs and targets of a deployment.
pub(crate) struct Fleet {
    limits: ExtraAttemptLimits,
    vms: Vec<ModelVm>,
    targets_per_shard: usize,
    reactions: Reactions,
    runs: HashMap<u64, ModelRun>,
    events: BTreeMap<u64, Event>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    next_id: u64,
    now_ms: u64,
    /// Start times of requests, each of which needs all shards.
    requests: Vec<u64>,
    arrivals: BTreeMap<Arc<str>, Vec<Arrival>>,
    /// Requests that were answered.
    pub(crate) answered: usize,
}

impl Fleet {
    /// Starts VMs in the given data centres of one region. The targets are in the data centre `b`.
    pub(crate) fn new(
        centres: &[&'static str],
        targets_per_shard: usize,
        limits: ExtraAttemptLimits,
        reactions: impl Fn(&RelayTarget, u64) -> Reaction + 'static,
    ) -> Self {
        let mut fleet = Self {
            limits,
            vms: Vec::new(),
            targets_per_shard,
            reactions: Box::new(reactions),
            runs: HashMap::new(),
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            next_id: 0,
            now_ms: 0,
            requests: Vec::new(),
            arrivals: BTreeMap::new(),
            answered: 0,
        };
        for centre in centres {
            fleet.vms.push(ModelVm {
                selector: TargetSelector::new(limits, at(0)),
                centre,
                up: true,
                process: 0,
            });
        }
        fleet.share_vm_count();
        fleet
    }

    pub(crate) fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Ends a VM's process; the others are not told yet.
    pub(crate) fn kill(&mut self, vm: usize) {
        self.vms[vm].up = false;
        self.vms[vm].process += 1;
    }

    /// Starts a VM again; it and the others are not told yet.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.kill(vm);
        self.vms[vm].up = true;
        let burst_from = at(self.now_ms) + self.limits.window;
        self.vms[vm].selector = TargetSelector::new(self.limits, burst_from);
    }

    /// Tells every live VM how many there are.
    pub(crate) fn share_vm_count(&mut self) {
        let count = self.vms.iter().filter(|vm| vm.up).count();
        let count = u32::try_from(count).expect("few VMs");
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.tell_vm_count(vm, count);
            }
        }
    }

    /// Tells one VM how many there are.
    pub(crate) fn tell_vm_count(&mut self, vm: usize, count: u32) {
        let targets = self.targets_of(self.vms[vm].centre);
        let now = at(self.now_ms);
        let selector = &mut self.vms[vm].selector;
        selector.record_vm_count(count, now);
        selector.sync(targets, |_| Some(1_000), now);
    }

    fn targets_of(&self, vm_centre: &str) -> Vec<RelayTarget> {
        let locality = if vm_centre == TARGET_CENTRE {
            Locality::Centre
        } else {
            Locality::Region
        };
        let target = |shard: usize, number: usize| RelayTarget {
            id: format!("s{shard}-{number}").into(),
            service: shard_name(shard),
            address: ([10, 0, 0, 1], 80).into(),
            centre: TARGET_CENTRE.into(),
            locality,
            slots: 100,
            born_ms: 1,
            warm_up_ms: 0,
        };
        let numbers = 0..self.targets_per_shard;
        let pairs = (0..SHARDS).flat_map(|shard| numbers.clone().map(move |n| (shard, n)));
        pairs.map(|(shard, number)| target(shard, number)).collect()
    }

    /// Starts a search of a caller at a VM, if that is up. A VM of another data centre than the
    /// targets' hands it over to `broker`.
    pub(crate) fn search(&mut self, vm: usize, broker: Option<usize>) {
        self.requests.push(self.now_ms);
        if !self.vms[vm].up {
            return;
        }
        let request = self.next_id();
        let handover = broker.filter(|broker| {
            self.vms[vm].centre != TARGET_CENTRE && *broker != vm && self.vms[*broker].up
        });
        let groups = handover.map(|_| ShardGroup {
            key: shard_name(0),
            centre: TARGET_CENTRE.into(),
            sub_requests: (0..SHARDS).collect(),
        });
        let soft_ms = self.now_ms + SOFT_DEADLINE_MS;
        let params = RelayParams {
            soft_deadline: at(soft_ms),
            deadline: at(self.now_ms + DEADLINE_MS),
            handover_groups: groups.into_iter().collect(),
            ..search_params()
        };
        let lent_at = at(self.now_ms);
        let services = search_params().services;
        let lent_extra = match handover {
            Some(_) => self.vms[vm].selector.lend_extra(&services, lent_at),
            None => Vec::new(),
        };
        let origin = self.start_run(vm, request, params, None);
        if let Some(broker) = handover {
            let params = RelayParams {
                is_handover: true,
                lent_extra,
                soft_deadline: at(soft_ms - HANDOVER_MARGIN_MS),
                deadline: at(soft_ms - HANDOVER_MARGIN_MS),
                ..search_params()
            };
            self.start_run(broker, request, params, Some(origin));
        }
    }

    fn start_run(
        &mut self,
        vm: usize,
        request: u64,
        params: RelayParams,
        origin: Option<u64>,
    ) -> u64 {
        let id = self.next_id();
        let now = at(self.now_ms);
        let (run, actions) = RelayRun::start(params, &mut self.vms[vm].selector, now);
        let run = ModelRun {
            vm,
            process: self.vms[vm].process,
            started_at: now,
            request,
            run,
            origin,
            wake_ms: 0,
        };
        self.runs.insert(id, run);
        self.perform(id, actions);
        id
    }

    fn perform(&mut self, id: u64, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send(attempt) => self.send(id, &attempt),
                RelayAction::Wake(wake_at) => {
                    let wake_ms = wake_at.as_micros().div_ceil(1_000).max(self.now_ms);
                    self.run_mut(id).wake_ms = wake_ms;
                    self.schedule(wake_ms, Event::Wake(id));
                }
                RelayAction::Finish(outcome) => self.finish(id, &outcome),
            }
        }
    }

    fn send(&mut self, id: u64, attempt: &RelayAttempt) {
        let (outcome, took_ms) = (self.reactions)(&attempt.target, self.now_ms);
        let is_sent = !matches!(
            outcome,
            RelayAttemptOutcome::Unreachable
                | RelayAttemptOutcome::NoConnection
                | RelayAttemptOutcome::OverLimit
        );
        if is_sent {
            let run = self.run_mut(id);
            let (request, from_broker) = (run.request, run.origin.is_some());
            let arrival = Arrival {
                at_ms: self.now_ms,
                request,
                from_broker,
            };
            let service = Arc::clone(&attempt.target.service);
            self.arrivals.entry(service).or_default().push(arrival);
        }
        let end = Event::AttemptEnd(id, attempt.sub_request, attempt.attempt, outcome);
        self.schedule(self.now_ms + took_ms, end);
    }

    fn finish(&mut self, id: u64, outcome: &RelayOutcome) {
        let run = self.run_mut(id);
        if let Some(origin) = run.origin {
            let group = run.run.group_outcome();
            let has_rest = !group.pending.is_empty();
            self.schedule(self.now_ms + VM_DELAY_MS, Event::GroupEnd(origin, group));
            if has_rest {
                self.resume(id);
            }
        } else if matches!(outcome, RelayOutcome::Answered(_)) {
            self.answered += 1;
        }
    }

    /// Lets a broker go on with what it had in flight.
    fn resume(&mut self, id: u64) {
        let model = self.runs.get_mut(&id).expect("runs are kept");
        let started_ms = model.started_at.as_micros() / 1_000;
        let (part_end, deadline) = (at(self.now_ms + REST_MS), at(started_ms + DEADLINE_MS));
        let selector = &self.vms[model.vm].selector;
        let now = at(self.now_ms);
        let actions = model.run.resume(part_end, deadline, selector, now);
        self.perform(id, actions);
    }

    /// Runs until the given time.
    pub(crate) fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((due_ms, id))) = self.due.peek().copied() {
            if due_ms > until_ms {
                break;
            }
            self.due.pop();
            self.now_ms = due_ms;
            let event = self.events.remove(&id).expect("each event is due once");
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, event: Event) {
        let id = match &event {
            Event::AttemptEnd(id, ..) | Event::Wake(id) | Event::GroupEnd(id, _) => *id,
        };
        let model = self.runs.get_mut(&id).expect("runs are kept");
        let vm = &mut self.vms[model.vm];
        if vm.process != model.process {
            return;
        }
        let (run, selector, now) = (&mut model.run, &mut vm.selector, at(self.now_ms));
        let actions = match event {
            Event::AttemptEnd(_, sub_request, attempt, outcome) => {
                run.on_attempt_end(sub_request, attempt, outcome, selector, now)
            }
            Event::Wake(_) if model.wake_ms == self.now_ms => run.on_wake(selector, now),
            Event::Wake(_) => Vec::new(),
            Event::GroupEnd(_, outcome) => {
                for index in &outcome.unused_loans {
                    selector.refund_extra(&shard_name(*index), model.started_at);
                }
                run.on_group_end(0, &outcome, selector, now)
            }
        };
        self.perform(id, actions);
    }

    fn run_mut(&mut self, id: u64) -> &mut ModelRun {
        self.runs.get_mut(&id).expect("runs are kept")
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn schedule(&mut self, due_ms: u64, event: Event) {
        let id = self.next_id();
        self.events.insert(id, event);
        self.due.push(Reverse((due_ms, id)));
    }

    /// Checks the budget of every service over every window.
    ///
    /// The requests are counted in the window, the one before it or the one half a window before
    /// it, whichever has most.
    pub(crate) fn assert_within_budget(&self) {
        let window_ms = window_ms(&self.limits);
        for (service, arrivals) in &self.arrivals {
            let extra: Vec<u64> = extra_arrivals(arrivals).map(|a| a.at_ms).collect();
            for start in &extra {
                let count = count_within(&extra, *start, window_ms);
                let starts = [0, window_ms / 2, window_ms].map(|back| start.saturating_sub(back));
                let requests = starts.map(|s| count_within(&self.requests, s, window_ms));
                let requests = requests.into_iter().max().unwrap_or_default();
                #[expect(clippy::cast_precision_loss, reason = "small counts")]
                let (used, due) = (count as f64, requests as f64 * self.limits.share);
                let allowed = due + self.limits.burst;
                assert!(
                    used <= allowed,
                    "{service}: {used} extra arrivals from {start} ms, allowed {allowed}"
                );
            }
        }
    }

    /// Returns the number of extra arrivals of a shard.
    pub(crate) fn extra_count(&self, shard: usize) -> usize {
        let arrivals = self.arrivals.get(&shard_name(shard));
        arrivals.map_or(0, |arrivals| extra_arrivals(arrivals).count())
    }

    /// Returns the number of extra arrivals of a shard that brokers sent.
    pub(crate) fn extra_by_brokers(&self, shard: usize) -> usize {
        let arrivals = &self.arrivals[&shard_name(shard)];
        let by_brokers = extra_arrivals(arrivals).filter(|a| a.from_broker);
        by_brokers.count()
    }
}

fn shard_name(shard: usize) -> Arc<str> {
    format!("s{shard}").into()
}

fn search_params() -> RelayParams {
    RelayParams {
        services: (0..SHARDS).map(shard_name).collect(),
        idempotent: true,
        targets_max: 2,
        coverage_min: 0.95,
        is_handover: false,
        soft_deadline: at(0),
        deadline: at(0),
        hedge_delay: Duration::from_millis(HEDGE_DELAY_MS),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        retry_spread: 0.0,
    }
}

fn window_ms(limits: &ExtraAttemptLimits) -> u64 {
    u64::try_from(limits.window.as_millis()).expect("a short window")
}

/// Returns the arrivals that are not the first of their request, in order.
fn extra_arrivals(arrivals: &[Arrival]) -> impl Iterator<Item = &Arrival> {
    let mut seen = HashSet::new();
    arrivals.iter().filter(move |a| !seen.insert(a.request))
}

/// Counts the times in a window; they are in order.
fn count_within(times: &[u64], start: u64, window_ms: u64) -> usize {
    let first = times.partition_point(|time| *time < start);
    times.partition_point(|time| *time < start + window_ms) - first
}
