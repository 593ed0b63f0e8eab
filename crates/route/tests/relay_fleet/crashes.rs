//! Targets of the model that end, by themselves or by requests, and keepers that add up what was lost.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use fulmarweir_route::{
    CrashCall, CrashTally, QuarantineEntry, RefusalReason, RelayAttemptOutcome, RelayOutcome,
    RelayTarget,
};

use super::{Event, FAR_DELAY_MS, Fleet, NEAR_DELAY_MS, SHARDS, VM_DELAY_MS, at, keeper_address};

/// Time from the start of a request that ends targets to the end of its target.
const CRASH_MS: u64 = 30;
/// Time until a target is back, and until VMs know.
const DOWN_MS: u64 = 2_000;
const LISTED_MS: u64 = 40;
/// Period in which keepers add up reports, and VMs look for keepers that were not told.
const TICK_MS: u64 = 250;
/// Time until a call to a keeper that is down fails.
const CALL_TIMEOUT_MS: u64 = 400;

/// One incarnation of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetLife {
    number: u64,
    pub(super) born_ms: u64,
    /// When the incarnation ended.
    ended_ms: Option<u64>,
}

impl TargetLife {
    pub(super) fn id(&self, shard: usize, target: usize) -> Arc<str> {
        match self.number {
            0 => format!("s{shard}-{target}").into(),
            life => format!("s{shard}-{target}.{life}").into(),
        }
    }
}

#[derive(Debug)]
pub(super) enum CrashEvent {
    /// An incarnation of a target ends, by a request with a path if there is one.
    TargetEnd(SocketAddr, u64, Option<String>),
    TargetStart(SocketAddr),
    /// All VMs hear which targets there are.
    TargetsListed,
    KeeperTick(usize, u64),
    VmTick(usize, u64),
    Call(usize, u64, CrashCall),
    CallEnd(usize, u64, CrashCall, bool),
    /// What a keeper knows arrives at a VM.
    Told(usize, u64, usize, (u64, u64), Vec<QuarantineEntry>),
    /// What a keeper knows arrives at another one.
    KeeperTold(usize, u64, Vec<QuarantineEntry>),
}

/// How a request of a caller ended.
#[derive(Clone, Debug)]
pub(crate) struct ModelOutcome {
    pub(crate) at_ms: u64,
    pub(crate) path: String,
    pub(crate) answered: bool,
    pub(crate) quarantined: bool,
}

/// Targets that end, and what they see.
#[derive(Default)]
pub(crate) struct CrashModel {
    lives: BTreeMap<SocketAddr, TargetLife>,
    /// Paths of requests that end each target that runs them.
    pub(crate) deadly: HashSet<String>,
    /// Arrivals of such requests, and the ends that followed.
    arrivals: Vec<(u64, String)>,
    ends: Vec<(u64, String)>,
    pub(crate) outcomes: Vec<ModelOutcome>,
    /// Calls to keepers about lost requests.
    pub(crate) calls: usize,
}

impl CrashModel {
    pub(super) fn life(&self, shard: usize, number: usize) -> TargetLife {
        let life = self.lives.get(&super::target_address(shard, number));
        life.copied().unwrap_or(TargetLife {
            number: 0,
            born_ms: 1,
            ended_ms: None,
        })
    }

    /// Whether nothing listens at the address of a target, or another incarnation of it.
    pub(super) fn is_down(&self, target: &RelayTarget, now_ms: u64) -> bool {
        let life = self.lives.get(&target.address);
        life.is_some_and(|life| {
            life.born_ms != target.born_ms || life.ended_ms.is_some_and(|at| at <= now_ms)
        })
    }

    pub(super) fn record_outcome(&mut self, at_ms: u64, path: String, outcome: &RelayOutcome) {
        let quarantined = matches!(outcome, RelayOutcome::Refused(refusal)
            if refusal.reason == RefusalReason::Quarantined);
        self.outcomes.push(ModelOutcome {
            at_ms,
            path,
            answered: matches!(outcome, RelayOutcome::Answered(_)),
            quarantined,
        });
    }

    /// Returns how many targets have ended by requests.
    pub(crate) fn deadly_ends(&self) -> usize {
        self.ends.len()
    }

    /// Returns the most arrivals of a deadly request later than `window_ms` after it had ended its
    /// third target.
    pub(crate) fn late_arrivals(&self, window_ms: u64) -> usize {
        let late = self.deadly.iter().map(|path| {
            let mut ends = self.ends.iter().filter(|(_, by)| by == path);
            let Some((third_ms, _)) = ends.nth(2) else {
                return 0;
            };
            let is_late =
                |(at_ms, by): &&(u64, String)| by == path && *at_ms > third_ms + window_ms;
            self.arrivals.iter().filter(is_late).count()
        });
        late.max().unwrap_or_default()
    }

    /// Returns the share of the requests with innocent paths from a time on that were answered, and
    /// how many were refused as ones that end targets.
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub(crate) fn innocent(&self, from_ms: u64) -> (f64, usize) {
        let outcomes = self.outcomes.iter();
        let innocent = outcomes.filter(|o| o.at_ms >= from_ms && !self.deadly.contains(&o.path));
        let (mut all, mut answered, mut quarantined) = (0_usize, 0_usize, 0);
        for outcome in innocent {
            all += 1;
            answered += usize::from(outcome.answered);
            quarantined += usize::from(outcome.quarantined);
        }
        (answered as f64 / all.max(1) as f64, quarantined)
    }
}

impl Fleet {
    /// Lets targets end and keepers add up what was lost.
    pub(crate) fn with_crashes(mut self, deadly: &[&str]) -> Self {
        self.crashes.deadly = deadly.iter().map(|path| (*path).to_owned()).collect();
        for shard in 0..SHARDS {
            for number in 0..self.targets_per_shard {
                let life = self.crashes.life(shard, number);
                let address = super::target_address(shard, number);
                self.crashes.lives.insert(address, life);
            }
        }
        self.share_vm_count();
        for keeper in 0..self.keepers.len() {
            self.schedule_crash(TICK_MS, CrashEvent::KeeperTick(keeper, 0));
        }
        for vm in 0..self.vms.len() {
            self.greet_vm(vm);
        }
        self
    }

    /// Ends a target by itself.
    pub(crate) fn end_target(&mut self, shard: usize, number: usize) {
        let address = super::target_address(shard, number);
        let born_ms = self.crashes.lives[&address].born_ms;
        self.schedule_crash(0, CrashEvent::TargetEnd(address, born_ms, None));
    }

    /// Records that a target runs a request, which may end it.
    pub(super) fn record_run(&mut self, target: &RelayTarget, path: &str) {
        if !self.crashes.deadly.contains(path) {
            return;
        }
        self.crashes.arrivals.push((self.now_ms, path.to_owned()));
        let end = CrashEvent::TargetEnd(target.address, target.born_ms, Some(path.to_owned()));
        self.schedule_crash(CRASH_MS, end);
    }

    /// Tells a VM that has just started what all keepers know.
    pub(super) fn greet_vm(&mut self, vm: usize) {
        if self.crashes.lives.is_empty() {
            return;
        }
        let process = self.vms[vm].process;
        self.schedule_crash(TICK_MS, CrashEvent::VmTick(vm, process));
        for keeper in 0..self.keepers.len() {
            self.tell_vm(keeper, vm);
        }
    }

    /// Forgets what a keeper has added up, and lets the others tell it what they know.
    pub(super) fn restart_tally(&mut self, keeper: usize) {
        let process = self.keepers[keeper].process;
        let boot = 1 + ((keeper as u64) << 48) + (process << 32);
        self.keepers[keeper].tally = CrashTally::new(boot);
        if self.crashes.lives.is_empty() {
            return;
        }
        self.schedule_crash(TICK_MS, CrashEvent::KeeperTick(keeper, process));
        for other in 0..self.keepers.len() {
            if other != keeper && self.keepers[other].up {
                let entries = self.keepers[other].tally.table().entries(at(self.now_ms));
                let told = CrashEvent::KeeperTold(keeper, process, entries);
                self.schedule_crash(FAR_DELAY_MS, told);
            }
        }
        for vm in 0..self.vms.len() {
            self.tell_vm(keeper, vm);
        }
    }

    /// Lets a VM tell keepers of lost requests, if there is news.
    pub(super) fn tell_crashes(&mut self, vm: usize) {
        if self.crashes.lives.is_empty() || !self.vms[vm].selector.take_crash_urgency() {
            return;
        }
        self.call_keepers(vm);
    }

    fn call_keepers(&mut self, vm: usize) {
        let alive: Vec<SocketAddr> = (0..self.keepers.len()).map(keeper_address).collect();
        let now = at(self.now_ms);
        let process = self.vms[vm].process;
        for call in self.vms[vm].selector.due_crash_calls(&alive, now) {
            let is_near = call.keeper == keeper_address(vm % alive.len());
            let delay_ms = if is_near { NEAR_DELAY_MS } else { FAR_DELAY_MS };
            self.schedule_crash(delay_ms, CrashEvent::Call(vm, process, call));
        }
    }

    fn schedule_crash(&mut self, delay_ms: u64, event: CrashEvent) {
        self.schedule(self.now_ms + delay_ms, Event::Crash(event));
    }

    pub(super) fn handle_crash(&mut self, event: Event) {
        let Event::Crash(event) = event else {
            unreachable!("handled by the caller");
        };
        match event {
            CrashEvent::TargetEnd(address, born_ms, path) => self.end_life(address, born_ms, path),
            CrashEvent::TargetStart(address) => {
                let now_ms = self.now_ms;
                if let Some(life) = self.crashes.lives.get_mut(&address) {
                    life.number += 1;
                    life.born_ms = now_ms;
                    life.ended_ms = None;
                }
                self.schedule_crash(LISTED_MS, CrashEvent::TargetsListed);
            }
            CrashEvent::TargetsListed => {
                self.share_vm_count();
                for vm in 0..self.vms.len() {
                    self.tell_crashes(vm);
                }
            }
            CrashEvent::KeeperTick(keeper, process) => self.tick_keeper(keeper, process),
            CrashEvent::VmTick(vm, process) if self.vms[vm].process == process => {
                self.vms[vm]
                    .selector
                    .remove_expired_crashes(at(self.now_ms));
                self.call_keepers(vm);
                self.schedule_crash(TICK_MS, CrashEvent::VmTick(vm, process));
            }
            CrashEvent::Call(vm, process, call) => self.receive_call(vm, process, call),
            CrashEvent::CallEnd(vm, process, call, delivered)
                if self.vms[vm].process == process =>
            {
                let now = at(self.now_ms);
                let selector = &mut self.vms[vm].selector;
                selector.record_crash_call_end(&call, delivered, now);
                self.call_keepers(vm);
            }
            CrashEvent::Told(vm, process, keeper, told, entries)
                if self.vms[vm].process == process =>
            {
                let (now, keeper) = (at(self.now_ms), keeper_address(keeper));
                let selector = &mut self.vms[vm].selector;
                selector.apply_quarantine(keeper, told, &entries, now);
                self.tell_crashes(vm);
            }
            CrashEvent::KeeperTold(keeper, process, entries)
                if self.keepers[keeper].process == process =>
            {
                let news = fulmarweir_route::CrashNews {
                    entries,
                    ..Default::default()
                };
                let now = at(self.now_ms);
                self.keepers[keeper].tally.record(&news, now);
                self.publish(keeper);
            }
            CrashEvent::VmTick(..)
            | CrashEvent::CallEnd(..)
            | CrashEvent::Told(..)
            | CrashEvent::KeeperTold(..) => {}
        }
    }

    /// Ends an incarnation of a target, and the attempts in flight there.
    fn end_life(&mut self, address: SocketAddr, born_ms: u64, path: Option<String>) {
        let now_ms = self.now_ms;
        let Some(life) = self.crashes.lives.get_mut(&address) else {
            return;
        };
        if life.born_ms != born_ms || life.ended_ms.is_some() {
            return;
        }
        life.ended_ms = Some(now_ms);
        if let Some(path) = path {
            self.crashes.ends.push((now_ms, path));
        }
        self.schedule_crash(DOWN_MS, CrashEvent::TargetStart(address));
        let is_there = |event: &Event| {
            matches!(event, Event::AttemptEnd(_, _, _, _, reply)
                if reply.target.address == address && reply.target.born_ms == born_ms)
        };
        let events = self.events.iter().filter(|(_, event)| is_there(event));
        let cut: Vec<u64> = events.map(|(id, _)| *id).collect();
        for id in cut {
            if let Some(Event::AttemptEnd(run, sub_request, attempt, outcome, reply)) =
                self.events.remove(&id)
            {
                let is_sent = !matches!(outcome, RelayAttemptOutcome::Unreachable);
                let outcome = if is_sent {
                    RelayAttemptOutcome::Crashed
                } else {
                    outcome
                };
                let end = Event::AttemptEnd(run, sub_request, attempt, outcome, reply);
                self.schedule(now_ms + VM_DELAY_MS, end);
            }
        }
    }

    fn tick_keeper(&mut self, keeper: usize, process: u64) {
        if self.keepers[keeper].process != process {
            return;
        }
        self.schedule_crash(TICK_MS, CrashEvent::KeeperTick(keeper, process));
        if !self.keepers[keeper].up {
            return;
        }
        let now = at(self.now_ms);
        if !self.keepers[keeper].tally.decide(now).is_empty() {
            self.publish(keeper);
        }
    }

    fn receive_call(&mut self, vm: usize, process: u64, call: CrashCall) {
        let numbers: HashMap<SocketAddr, usize> = (0..self.keepers.len())
            .map(|keeper| (keeper_address(keeper), keeper))
            .collect();
        let keeper = numbers[&call.keeper];
        if !self.keepers[keeper].up {
            let end = CrashEvent::CallEnd(vm, process, call, false);
            return self.schedule_crash(CALL_TIMEOUT_MS, end);
        }
        self.crashes.calls += 1;
        let now = at(self.now_ms);
        let changed = self.keepers[keeper].tally.record(&call.news, now);
        if !changed.is_empty() {
            self.publish(keeper);
        }
        self.schedule_crash(NEAR_DELAY_MS, CrashEvent::CallEnd(vm, process, call, true));
    }

    /// Tells all VMs and other keepers what a keeper knows.
    fn publish(&mut self, keeper: usize) {
        for vm in 0..self.vms.len() {
            self.tell_vm(keeper, vm);
        }
        let entries = self.keepers[keeper].tally.table().entries(at(self.now_ms));
        for other in 0..self.keepers.len() {
            let known = self.keepers[other].tally.table().digest();
            let is_other = known != self.keepers[keeper].tally.table().digest();
            if other != keeper && is_other && self.keepers[other].up {
                let process = self.keepers[other].process;
                let told = CrashEvent::KeeperTold(other, process, entries.clone());
                self.schedule_crash(FAR_DELAY_MS, told);
            }
        }
    }

    fn tell_vm(&mut self, keeper: usize, vm: usize) {
        if !self.keepers[keeper].up || !self.vms[vm].up {
            return;
        }
        let tally = &self.keepers[keeper].tally;
        let told = (tally.boot(), tally.table().digest());
        let entries = tally.table().entries(at(self.now_ms));
        let process = self.vms[vm].process;
        let told = CrashEvent::Told(vm, process, keeper, told, entries);
        self.schedule_crash(FAR_DELAY_MS, told);
    }
}
