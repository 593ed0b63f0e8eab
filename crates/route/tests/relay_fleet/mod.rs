//! A model of all entry VMs of a deployment in simulated time: each has its own target selector,
//! searches are handed over between data centres, and keepers grant permits for targets with a limit.

#![allow(dead_code, reason = "each test file uses a part")]

mod cold;
mod crashes;
mod links;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    CrashTally, GroupOutcome, GroupRemainder, LimitReport, Locality, PermitAsker, PermitCall,
    PermitGrant, PermitGrantor, RelayAction, RelayAttempt, RelayAttemptOutcome, RelayOutcome,
    RelayParams, RelayRun, RelayTarget, RequestFingerprint, RequestOrigin, ShardGroup, StatedLimit,
    TargetSelector,
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
/// Time after which a VM gives up to open a connection.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time after which a broker returns the next part of a handover.
const REST_MS: u64 = 100;

/// Span over which the requests at a target with a limit are counted.
pub(crate) const LIMIT_SPAN_MS: u64 = 4_000;
/// Period in which VMs ask for permits in advance.
const ASK_PERIOD_MS: u64 = 100;
/// Time for a message to the nearest keeper, and to one in another region.
const NEAR_DELAY_MS: u64 = 1;
const FAR_DELAY_MS: u64 = 20;
/// Time after which a call for permits fails.
const CALL_TIMEOUT_MS: u64 = 400;

fn keeper_address(keeper: usize) -> SocketAddr {
    let port = u16::try_from(keeper).expect("few keepers");
    ([10, 0, 1, 1], port).into()
}

fn keeper_index(call: &PermitCall) -> usize {
    call.keeper.port().into()
}

fn keeper_delay_ms(call: &PermitCall, vm: usize, keepers: usize) -> u64 {
    if keeper_index(call) == vm % keepers {
        NEAR_DELAY_MS
    } else {
        FAR_DELAY_MS
    }
}

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// The reaction of a target to an attempt: its outcome and the time until the VM learns it.
pub(crate) type Reaction = (RelayAttemptOutcome, u64);
use self::cold::{ColdEvent, ColdModel};
use self::crashes::CrashEvent;
use self::links::LinkEvent;
pub(crate) use self::{crashes::CrashModel, links::LinkModel};

type Reactions = Box<dyn Fn(&RelayTarget, u64) -> Reaction>;

/// What a target states as its limit to attempts that reach it at a time.
type Limits = Box<dyn Fn(&RelayTarget, u64) -> StatedLimit>;

/// The end of a request of a caller.
pub(crate) struct ModelOutcome {
    pub(crate) vm: usize,
    pub(crate) started_ms: u64,
    pub(crate) took_ms: u64,
    pub(crate) is_answered: bool,
    /// Whether it was refused as not run.
    pub(crate) not_run: bool,
    pub(crate) is_act: bool,
    /// Tells its arrivals at targets.
    pub(crate) request: u64,
}

/// A request of a caller.
#[derive(Clone)]
pub(crate) struct ModelRequest {
    /// The path, which is the same for requests that are the same.
    pub(crate) path: String,
    /// Shards that must answer, from the first one on.
    pub(crate) shards: usize,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Time after which its caller leaves, if it does.
    pub(crate) leaves_after_ms: Option<u64>,
}

impl ModelRequest {
    /// Returns a search over all shards.
    pub(crate) fn search(path: &str) -> Self {
        Self {
            path: path.to_owned(),
            shards: SHARDS,
            idempotent: true,
            leaves_after_ms: None,
        }
    }

    /// Returns a request to the first shard only.
    pub(crate) fn lookup(path: &str) -> Self {
        Self {
            shards: 1,
            ..Self::search(path)
        }
    }

    fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of("GET", "caller", &self.path, b"")
    }
}

/// An attempt that reached a target.
struct Arrival {
    at_ms: u64,
    target: Arc<str>,
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
    path: String,
    vm: usize,
    process: u64,
    started_at: MonoTime,
    request: u64,
    run: RelayRun,
    /// Run of the VM that handed over the search, if it did, with the group.
    origin: Option<(u64, usize)>,
    params: RelayParams,
    wake_ms: u64,
}

/// A keeper that grants permits.
struct ModelKeeper {
    grantor: PermitGrantor,
    tally: CrashTally,
    up: bool,
    /// Processes so far, which make the revisions differ.
    process: u64,
}

/// The end of an attempt, with what its target stated in the reply.
#[derive(Debug)]
struct ModelReply {
    target: Arc<RelayTarget>,
    sent_ms: u64,
    stated: Option<StatedLimit>,
}

#[derive(Debug)]
enum Event {
    AttemptEnd(u64, usize, u32, RelayAttemptOutcome, ModelReply),
    /// A VM, with the number of its process, asks for permits in advance.
    AskTick(usize, u64),
    /// A call of a VM arrives at a keeper.
    PermitCall(usize, u64, PermitCall),
    /// The reply of a keeper arrives at a VM.
    PermitReply(usize, u64, PermitCall, Option<Vec<PermitGrant>>),
    /// What a keeper knows of limits arrives at a VM.
    Reports(usize, u64, Vec<LimitReport>),
    Wake(u64),
    GroupEnd(u64, usize, GroupOutcome),
    /// The caller of a run leaves.
    CallerLeft(u64),
    Cold(ColdEvent),
    Crash(CrashEvent),
    Link(LinkEvent),
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
    keepers: Vec<ModelKeeper>,
    stated_limits: Limits,
    /// Calls for permits that reached a keeper.
    pub(crate) permit_calls: usize,
    pub(crate) cold: ColdModel,
    pub(crate) crashes: CrashModel,
    pub(crate) links: LinkModel,
    /// Requests that were answered.
    pub(crate) answered: usize,
    /// Requests that were refused.
    pub(crate) refused: usize,
    /// VM, start and outcome of each request that has ended, with how long it took.
    pub(crate) outcomes: Vec<ModelOutcome>,
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
            keepers: Vec::new(),
            stated_limits: Box::new(|_, _| StatedLimit::None),
            permit_calls: 0,
            cold: ColdModel::default(),
            crashes: CrashModel::default(),
            links: LinkModel::default(),
            outcomes: Vec::new(),
            answered: 0,
            refused: 0,
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

    /// Adds keepers that grant permits, and lets targets state limits.
    pub(crate) fn with_limits(
        mut self,
        keepers: usize,
        limits: impl Fn(&RelayTarget, u64) -> StatedLimit + 'static,
    ) -> Self {
        self.stated_limits = Box::new(limits);
        for process in 0..keepers {
            self.keepers.push(ModelKeeper {
                grantor: PermitGrantor::new(process as u64),
                tally: CrashTally::new(1 + ((process as u64) << 48)),
                up: true,
                process: 0,
            });
        }
        for vm in 0..self.vms.len() {
            self.schedule(1 + vm as u64 % ASK_PERIOD_MS, Event::AskTick(vm, 0));
        }
        self
    }

    /// Ends the process of a keeper.
    pub(crate) fn kill_keeper(&mut self, keeper: usize) {
        self.keepers[keeper].up = false;
    }

    /// Starts a keeper again, which has forgotten all.
    pub(crate) fn restart_keeper(&mut self, index: usize) {
        let keeper = &mut self.keepers[index];
        keeper.process += 1;
        keeper.up = true;
        keeper.grantor = PermitGrantor::new(keeper.process << 32);
        self.restart_tally(index);
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
        if self.keepers.is_empty() {
            return;
        }
        let process = self.vms[vm].process;
        self.schedule(self.now_ms + 1, Event::AskTick(vm, process));
        for keeper in 0..self.keepers.len() {
            self.send_reports(keeper, vm);
        }
        self.greet_vm(vm);
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
        let target = |shard: usize, number: usize| {
            let life = self.crashes.life(shard, number);
            RelayTarget {
                id: life.id(shard, number),
                service: shard_name(shard),
                address: target_address(shard, number),
                centre: TARGET_CENTRE.into(),
                locality,
                slots: 100,
                born_ms: life.born_ms,
                warm_up_ms: 0,
            }
        };
        let numbers = 0..self.targets_per_shard;
        let pairs = (0..SHARDS).flat_map(|shard| numbers.clone().map(move |n| (shard, n)));
        pairs.map(|(shard, number)| target(shard, number)).collect()
    }

    /// Starts a search of a caller at a VM, if that is up. A VM of another data centre than the
    /// targets' hands it over to `broker`.
    pub(crate) fn search(&mut self, vm: usize, broker: Option<usize>) {
        // Each is another request.
        let path = format!("/search/{}", self.next_id());
        self.request(vm, broker, &ModelRequest::search(&path));
    }

    /// Starts a request of a caller at a VM, as [`Fleet::search`] does.
    pub(crate) fn request(&mut self, vm: usize, broker: Option<usize>, sent: &ModelRequest) {
        self.requests.push(self.now_ms);
        if !self.vms[vm].up {
            return;
        }
        let request = self.next_id();
        let fingerprint = sent.fingerprint();
        let is_held_back = self.vms[vm]
            .selector
            .is_held_back(fingerprint, at(self.now_ms));
        let links = self.vms[vm].selector.links();
        let hands_over = links.hands_over(0.5, at(self.now_ms));
        let handover = broker.filter(|broker| {
            !hands_over
                && self.vms[vm].centre != TARGET_CENTRE
                && *broker != vm
                && self.vms[*broker].up
                && sent.shards > 1
                && !is_held_back
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
            origin: RequestOrigin::Caller { hands_over },
            handover_groups: groups.into_iter().collect(),
            ..request_params(sent)
        };
        let lent_at = at(self.now_ms);
        let services = search_params().services;
        let lent_extra = match handover {
            Some(_) => self.vms[vm].selector.lend_extra(&services, lent_at),
            None => Vec::new(),
        };
        let origin = self.start_run(vm, request, &sent.path, params, None);
        if let Some(stay_ms) = sent.leaves_after_ms {
            self.schedule(self.now_ms + stay_ms, Event::CallerLeft(origin));
        }
        if let Some(broker) = handover {
            let params = RelayParams {
                origin: RequestOrigin::OtherVm {
                    repeats: Vec::new(),
                },
                is_handover: true,
                lent_extra,
                soft_deadline: at(soft_ms - HANDOVER_MARGIN_MS),
                deadline: at(soft_ms - HANDOVER_MARGIN_MS),
                ..request_params(sent)
            };
            self.start_run(broker, request, &sent.path, params, Some((origin, 0)));
        }
    }

    fn start_run(
        &mut self,
        vm: usize,
        request: u64,
        path: &str,
        params: RelayParams,
        origin: Option<(u64, usize)>,
    ) -> u64 {
        let id = self.next_id();
        let now = at(self.now_ms);
        let (run, actions) = RelayRun::start(params.clone(), &mut self.vms[vm].selector, now);
        let run = ModelRun {
            path: path.to_owned(),
            vm,
            process: self.vms[vm].process,
            started_at: now,
            request,
            run,
            origin,
            params,
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
                RelayAction::HandOver(group) => self.hand_to_helper(id, group),
                RelayAction::Finish(outcome) => self.finish(id, &outcome),
            }
        }
    }

    fn send(&mut self, id: u64, attempt: &RelayAttempt) {
        let (mut outcome, mut took_ms) = (self.reactions)(&attempt.target, self.now_ms);
        let path = self.run_mut(id).path.clone();
        if self.crashes.deadly.contains(&path) {
            // It never answers: its target ends before.
            took_ms = DEADLINE_MS;
        }
        if self.crashes.is_down(&attempt.target, self.now_ms) {
            (outcome, took_ms) = (RelayAttemptOutcome::Unreachable, VM_DELAY_MS);
            let now = at(self.now_ms);
            let vm = self.run_mut(id).vm;
            let selector = &mut self.vms[vm].selector;
            if selector.has_unanswered(&attempt.target) {
                selector.record_target_end(&attempt.target, now);
            }
        }
        let vm = self.run_mut(id).vm;
        if self.links.cut.contains(&vm) {
            // Nothing arrives: the connection hangs, or none can be opened.
            (outcome, took_ms) = if self.links.opens_new {
                (RelayAttemptOutcome::Unreachable, CONNECT_TIMEOUT_MS)
            } else {
                (RelayAttemptOutcome::Broken, 10 * DEADLINE_MS)
            };
        } else if !self.listens(shard_number(&attempt.target.service)) {
            (outcome, took_ms) = (RelayAttemptOutcome::Unreachable, VM_DELAY_MS);
        }
        let is_sent = !self.links.cut.contains(&vm)
            && !matches!(
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
                target: Arc::clone(&attempt.target.id),
                request,
                from_broker,
            };
            self.record_run(&attempt.target, &path);
            let service = Arc::clone(&attempt.target.service);
            self.arrivals.entry(service).or_default().push(arrival);
        }
        let has_reply = matches!(
            outcome,
            RelayAttemptOutcome::Answered { .. } | RelayAttemptOutcome::Refused
        );
        let reply = ModelReply {
            target: Arc::clone(&attempt.target),
            sent_ms: self.now_ms,
            stated: has_reply.then(|| (self.stated_limits)(&attempt.target, self.now_ms)),
        };
        let end = Event::AttemptEnd(id, attempt.sub_request, attempt.attempt, outcome, reply);
        self.schedule(self.now_ms + took_ms, end);
    }

    fn finish(&mut self, id: u64, outcome: &RelayOutcome) {
        let run = self.run_mut(id);
        if let Some((origin, group_index)) = run.origin {
            let mut group = run.run.group_outcome();
            let vm = run.vm;
            if self.vms[vm].selector.links().are_unusable() {
                group.remainder = GroupRemainder::LinksLost;
            }
            let has_rest = !group.pending.is_empty();
            self.schedule(
                self.now_ms + VM_DELAY_MS,
                Event::GroupEnd(origin, group_index, group),
            );
            if has_rest {
                self.resume(id);
            }
        } else {
            let is_answered = matches!(outcome, RelayOutcome::Answered(_));
            self.answered += usize::from(is_answered);
            self.refused += usize::from(!is_answered);
            let run = &self.runs[&id];
            let started_ms = run.started_at.as_micros() / 1_000;
            self.outcomes.push(ModelOutcome {
                vm: run.vm,
                started_ms,
                took_ms: self.now_ms - started_ms,
                is_answered,
                not_run: matches!(outcome, RelayOutcome::Refused(r) if r.verdict == RunVerdict::NotRun),
                is_act: !run.params.idempotent,
                request: run.request,
            });
            let path = run.path.clone();
            self.crashes.record_outcome(self.now_ms, path, outcome);
        }
    }

    /// Lets a broker go on with what it had in flight.
    fn resume(&mut self, id: u64) {
        let model = self.runs.get_mut(&id).expect("runs are kept");
        let started_ms = model.started_at.as_micros() / 1_000;
        let (part_end, deadline) = (at(self.now_ms + REST_MS), at(started_ms + DEADLINE_MS));
        let selector = &mut self.vms[model.vm].selector;
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
            // The end of an attempt is replaced when its target ends.
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, event: Event) {
        let event = match event {
            Event::Link(event) => return self.handle_link(event),
            Event::Cold(event) => return self.handle_cold(event),
            event => event,
        };
        let id = match &event {
            Event::AttemptEnd(id, ..)
            | Event::Wake(id)
            | Event::GroupEnd(id, ..)
            | Event::CallerLeft(id) => *id,
            Event::Crash(_) => return self.handle_crash(event),
            _ => return self.handle_permits(event),
        };
        let model = self.runs.get_mut(&id).expect("runs are kept");
        let vm = &mut self.vms[model.vm];
        if vm.process != model.process {
            return;
        }
        let (run, selector, now) = (&mut model.run, &mut vm.selector, at(self.now_ms));
        let actions = match event {
            Event::AttemptEnd(_, sub_request, attempt, outcome, reply) => {
                if let Some(stated) = reply.stated {
                    selector.record_limit(&reply.target, stated, at(reply.sent_ms), now);
                }
                run.on_attempt_end(sub_request, attempt, outcome, selector, now)
            }
            Event::Wake(_) if model.wake_ms == self.now_ms => run.on_wake(selector, now),
            Event::Wake(_) => Vec::new(),
            Event::CallerLeft(_) => {
                if !run.is_finished() {
                    run.abandon(selector, now);
                }
                Vec::new()
            }
            Event::GroupEnd(_, group, outcome) => {
                for index in &outcome.unused_loans {
                    selector.refund_extra(&shard_name(*index), model.started_at);
                }
                run.on_group_end(group, &outcome, selector, now)
            }
            _ => unreachable!("handled above"),
        };
        let vm = model.vm;
        self.perform(id, actions);
        self.ask_if_urgent(vm);
        self.tell_crashes(vm);
    }

    fn handle_permits(&mut self, event: Event) {
        let (Event::AskTick(vm, process)
        | Event::PermitCall(vm, process, _)
        | Event::PermitReply(vm, process, ..)
        | Event::Reports(vm, process, _)) = &event
        else {
            unreachable!("handled by the caller");
        };
        let (vm, process) = (*vm, *process);
        if self.vms[vm].process != process {
            return;
        }
        let now = at(self.now_ms);
        let selector = &mut self.vms[vm].selector;
        match event {
            Event::AskTick(..) => {
                self.schedule(self.now_ms + ASK_PERIOD_MS, Event::AskTick(vm, process));
                self.ask(vm);
            }
            Event::PermitCall(_, _, call) => self.answer_call(vm, process, call),
            Event::PermitReply(_, _, call, Some(grants)) => {
                selector.apply_grants(&call, &grants, now);
                self.ask(vm);
            }
            Event::PermitReply(_, _, call, None) => selector.record_failed_call(&call, now),
            Event::Reports(_, _, reports) => {
                for report in &reports {
                    selector.record_limit_report(report, now);
                }
            }
            _ => unreachable!("handled by the caller"),
        }
    }

    fn ask_if_urgent(&mut self, vm: usize) {
        let has_keepers = !self.keepers.is_empty();
        if !(has_keepers || self.has_cold_keepers()) || !self.vms[vm].selector.take_permit_urgency()
        {
            return;
        }
        if has_keepers {
            self.ask(vm);
        }
        if self.has_cold_keepers() {
            self.ask_cold(vm);
        }
    }

    /// Lets a VM ask the keepers that are due, the first of which is near.
    fn ask(&mut self, vm: usize) {
        let nearest = vm % self.keepers.len();
        let order = (0..self.keepers.len()).map(|step| (nearest + step) % self.keepers.len());
        let addresses: Vec<SocketAddr> = order.map(keeper_address).collect();
        let process = self.vms[vm].process;
        let calls = self.vms[vm]
            .selector
            .due_permit_calls(&addresses, at(self.now_ms));
        for call in calls {
            let delay_ms = keeper_delay_ms(&call, vm, self.keepers.len());
            self.schedule(self.now_ms + delay_ms, Event::PermitCall(vm, process, call));
        }
    }

    fn answer_call(&mut self, vm: usize, process: u64, call: PermitCall) {
        let keeper = keeper_index(&call);
        let delay_ms = keeper_delay_ms(&call, vm, self.keepers.len());
        if !self.keepers[keeper].up {
            let lost = Event::PermitReply(vm, process, call, None);
            return self.schedule(self.now_ms + CALL_TIMEOUT_MS, lost);
        }
        self.permit_calls += 1;
        let (now, grantors) = (at(self.now_ms), Some(self.keepers.len()));
        let grantor = &mut self.keepers[keeper].grantor;
        let revision = grantor.revision();
        // Spreads VMs evenly without a random number.
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let spread = (self.next_id % 17) as f64 / 17.0;
        let asker = PermitAsker {
            vm: keeper_address(100 + vm),
            spread,
        };
        let grants = call
            .asks
            .iter()
            .map(|ask| grantor.ask(asker, ask, grantors, now).0);
        let grants = grants.collect();
        let is_changed = grantor.revision() != revision;
        let reply = Event::PermitReply(vm, process, call, Some(grants));
        self.schedule(self.now_ms + delay_ms, reply);
        if is_changed {
            for vm in 0..self.vms.len() {
                self.send_reports(keeper, vm);
            }
        }
    }

    fn send_reports(&mut self, keeper: usize, vm: usize) {
        if self.keepers[keeper].up {
            let reports = self.keepers[keeper].grantor.reports(at(self.now_ms));
            let process = self.vms[vm].process;
            self.schedule(
                self.now_ms + FAR_DELAY_MS,
                Event::Reports(vm, process, reports),
            );
        }
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

    /// Returns the most requests that reached a target within any 4 s, in a span of time.
    pub(crate) fn most_arrivals(&self, target: &str, from_ms: u64, until_ms: u64) -> usize {
        let times = self.arrival_times(target, from_ms, until_ms);
        let counts = times
            .iter()
            .map(|start| count_within(&times, *start, LIMIT_SPAN_MS));
        counts.max().unwrap_or_default()
    }

    /// Returns when requests reached a target, in a span of time.
    pub(crate) fn arrival_times(&self, target: &str, from_ms: u64, until_ms: u64) -> Vec<u64> {
        let arrivals = self.arrivals.values().flatten();
        let at_target = arrivals.filter(|arrival| &*arrival.target == target);
        let mut times: Vec<u64> = at_target.map(|arrival| arrival.at_ms).collect();
        times.retain(|at_ms| (from_ms..until_ms).contains(at_ms));
        times.sort_unstable();
        times
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

/// Returns the limits on extra attempts in most tests.
pub(crate) fn extra_limits() -> ExtraAttemptLimits {
    ExtraAttemptLimits {
        share: 0.2,
        burst: 60.0,
        window: Duration::from_secs(10),
    }
}

fn shard_name(shard: usize) -> Arc<str> {
    format!("s{shard}").into()
}

fn shard_number(service: &str) -> usize {
    service[1..].parse().expect("a name of a shard")
}

fn search_params() -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        services: (0..SHARDS).map(shard_name).collect(),
        idempotent: true,
        targets_max: 2,
        priority: 0,
        coverage_min: 0.95,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(0),
        deadline: at(0),
        hedge_delay: Duration::from_millis(HEDGE_DELAY_MS),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: 0.0,
    }
}

/// Returns the parameters of a request without its times.
fn request_params(request: &ModelRequest) -> RelayParams {
    RelayParams {
        fingerprint: request.fingerprint(),
        services: (0..request.shards).map(shard_name).collect(),
        idempotent: request.idempotent,
        ..search_params()
    }
}

fn target_address(shard: usize, number: usize) -> SocketAddr {
    let port = u16::try_from(shard * 100 + number).expect("few targets");
    ([10, 0, 0, 1], port).into()
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
