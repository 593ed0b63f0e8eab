//! A model of the VMs and keepers that share the quotas of tenants, without a network.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    ops::Range,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{
    GRANTORS_MAX, PermitAsker, RateCall, RateGrant, RateGrantor, RateKey, RateLedger, RateLimit,
    RateState, RequestRank, RetryPlanner, WaitTimes, hold_limit,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const VMS: usize = 82;
pub(crate) const TENANTS: usize = 84;
/// The tenant that sends too much; it is the largest one.
pub(crate) const HOT: usize = 0;
/// Skew of the sizes of tenants, and requests per second of all of them together.
const SKEW: f64 = 1.2;
const REQUESTS_PER_S: f64 = 120.0;
/// A quota is the usual rate times this number, within these bounds in requests per second.
const QUOTA_SHARE: f64 = 1.6;
const QUOTA_MIN: f64 = 5.0;
const QUOTA_MAX: f64 = 53.0;
const HOT_FACTOR: f64 = 9.0;
const WINDOW: Duration = Duration::from_secs(5);
/// One-way delays of messages within a data centre and beyond, and time after which a call fails.
const NEAR_DELAY: Duration = Duration::from_millis(1);
const FAR_DELAY: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a keeper that does not answer polls is not listed any more.
const KEEPER_ALIVE: Duration = Duration::from_secs(5);
/// By then, keepers have saved up permits. Requests before do not count as within a quota.
const MEASURED_FROM: Duration = Duration::from_secs(5);
const OBJECTIVE: Duration = Duration::from_millis(150);

pub(crate) fn at(seconds: f64) -> MonoTime {
    MonoTime::ZERO + Duration::from_secs_f64(seconds)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Returns the most requests of a tenant in 5 s.
pub(crate) fn quota_bound(limit: RateLimit) -> f64 {
    (limit.per_second * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 20.0
}

/// What tenants send, and their quotas.
pub(crate) struct FleetLoad {
    /// Requests per second of each tenant.
    rates: Vec<f64>,
    limits: Vec<RateLimit>,
    /// Requests of the hot tenant that are sent at once, at 2 s.
    burst: usize,
}

impl FleetLoad {
    /// The usual load, in which one tenant sends 9 times its usual rate.
    pub(crate) fn with_hot_tenant() -> Self {
        let sizes: Vec<f64> = (1..=TENANTS).map(|rank| as_f64(rank).powf(-SKEW)).collect();
        let total: f64 = sizes.iter().sum();
        let mut rates: Vec<f64> = sizes.iter().map(|s| s / total * REQUESTS_PER_S).collect();
        let limit = |rate: &f64| {
            let per_second = (rate * QUOTA_SHARE).clamp(QUOTA_MIN, QUOTA_MAX);
            RateLimit {
                version: 1,
                per_second,
                burst: per_second,
            }
        };
        let limits = rates.iter().map(limit).collect();
        rates[HOT] *= HOT_FACTOR;
        Self {
            rates,
            limits,
            burst: 0,
        }
    }

    /// One tenant that sends `count` requests at once, and nothing else.
    pub(crate) fn one_burst(per_second: f64, burst: f64, count: usize) -> Self {
        let limit = RateLimit {
            version: 1,
            per_second,
            burst,
        };
        Self {
            rates: vec![0.0; TENANTS],
            limits: vec![limit; TENANTS],
            burst: count,
        }
    }

    pub(crate) fn limit(&self, tenant: usize) -> RateLimit {
        self.limits[tenant]
    }

    /// Returns the next version of a quota, with another rate and burst.
    pub(crate) fn lowered(&self, tenant: usize, per_second: f64) -> RateLimit {
        RateLimit {
            version: self.limits[tenant].version + 1,
            per_second,
            burst: per_second,
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a request; the flag tells whether it was refused before.
    Arrive(usize, bool),
    /// A VM makes the calls that are due.
    Poll(usize, u64),
    /// A call of a VM arrives at a keeper.
    Ask(usize, u64, RateCall),
    /// The reply arrives, `None` for a call that has failed.
    Reply(usize, u64, RateCall, Option<Vec<RateGrant>>),
    /// The hold of a request ends.
    HoldEnd(usize, u64, u64),
    RestartVm(usize),
    CutOff(usize, bool),
    KeeperUp(usize, bool),
    SetQuota(usize, RateLimit),
}

struct Held {
    tenant: usize,
    rank: RequestRank,
    limit: RateLimit,
    arrived_at: MonoTime,
    hold_until: MonoTime,
    returned: bool,
}

struct ModelVm {
    ledger: RateLedger,
    planner: RetryPlanner,
    held: BTreeMap<u64, Held>,
    limit: RateLimit,
    /// Counts the restarts, by which messages to an earlier process are told.
    epoch: u64,
    cut_since: Option<MonoTime>,
    alone_at: MonoTime,
}

struct ModelKeeper {
    grantor: RateGrantor,
    address: SocketAddr,
    down_since: Option<MonoTime>,
}

/// Counts of requests within the quotas, and of those of them that were admitted.
#[derive(Clone, Copy, Default)]
struct Served {
    within: u32,
    admitted: u32,
}

/// A token bucket that holds the whole quota of a tenant.
struct Reference {
    tokens: f64,
    refilled_at: MonoTime,
}

/// The model.
pub(crate) struct Fleet {
    pub(crate) load: FleetLoad,
    /// Whether refused callers send their request once more when they were told.
    pub(crate) callers_return: bool,
    /// Number of VMs that get requests.
    pub(crate) vms_in_use: usize,
    now: MonoTime,
    random: Pcg64,
    events: BinaryHeap<Reverse<(MonoTime, u64)>>,
    payloads: BTreeMap<u64, Event>,
    sequence: u64,
    vms: Vec<ModelVm>,
    keepers: Vec<ModelKeeper>,
    admitted: Vec<Vec<(MonoTime, usize)>>,
    served: Vec<Served>,
    references: Vec<Reference>,
    within: BTreeMap<u64, bool>,
    asks: Vec<usize>,
    longest_hold: Duration,
    returned: (u32, u32),
    duration: Duration,
}

impl Fleet {
    pub(crate) fn new(seed: u64, load: FleetLoad) -> Self {
        let keeper = |index: usize| ModelKeeper {
            grantor: RateGrantor::new(MonoTime::ZERO),
            address: SocketAddr::from(([10, 0, 0, u8::try_from(index).unwrap()], 7_904)),
            down_since: None,
        };
        let vm = |_| ModelVm {
            ledger: RateLedger::default(),
            planner: RetryPlanner::default(),
            held: BTreeMap::new(),
            limit: load.limits[HOT],
            epoch: 0,
            cut_since: None,
            alone_at: MonoTime::ZERO,
        };
        let reference = |limit: &RateLimit| Reference {
            tokens: limit.burst,
            refilled_at: MonoTime::ZERO,
        };
        let mut fleet = Self {
            callers_return: false,
            vms_in_use: VMS,
            now: MonoTime::ZERO,
            random: Pcg64::seed_from_u64(seed),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            sequence: 0,
            vms: (0..VMS).map(vm).collect(),
            keepers: (0..GRANTORS_MAX).map(keeper).collect(),
            admitted: vec![Vec::new(); TENANTS],
            served: vec![Served::default(); TENANTS],
            references: load.limits.iter().map(reference).collect(),
            within: BTreeMap::new(),
            asks: vec![0; TENANTS],
            longest_hold: Duration::ZERO,
            returned: (0, 0),
            duration: Duration::ZERO,
            load,
        };
        for tenant in 0..TENANTS {
            fleet.schedule_arrival(tenant);
        }
        for _ in 0..fleet.load.burst {
            fleet.schedule(at(2.0), Event::Arrive(HOT, false));
        }
        for vm in 0..VMS {
            fleet.schedule(MonoTime::ZERO, Event::Poll(vm, 0));
        }
        fleet
    }

    pub(crate) fn restart_vm(&mut self, vm: usize, when: MonoTime) {
        self.schedule(when, Event::RestartVm(vm));
    }

    pub(crate) fn cut_off(&mut self, vm: usize, from: MonoTime, until: MonoTime) {
        self.schedule(from, Event::CutOff(vm, true));
        self.schedule(until, Event::CutOff(vm, false));
    }

    pub(crate) fn kill_keeper(&mut self, keeper: usize, from: MonoTime, until: MonoTime) {
        self.schedule(from, Event::KeeperUp(keeper, false));
        self.schedule(until, Event::KeeperUp(keeper, true));
    }

    /// Changes the quota of the hot tenant. VMs learn of it within `within`.
    pub(crate) fn change_quota(&mut self, limit: RateLimit, when: MonoTime, within: Duration) {
        for vm in 0..VMS {
            let delay = within.mul_f64(self.random.random());
            self.schedule(when + delay, Event::SetQuota(vm, limit));
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        self.duration = duration;
        let end = MonoTime::ZERO + duration;
        while let Some(Reverse((when, number))) = self.events.pop() {
            if when > end {
                return;
            }
            self.now = when;
            if let Some(event) = self.payloads.remove(&number) {
                self.handle(event);
            }
        }
    }

    /// Returns the most requests of a tenant that ran in 5 s, in windows from `from` on.
    pub(crate) fn most_in_a_window(&self, tenant: usize, from: MonoTime) -> u32 {
        let runs = &self.admitted[tenant];
        let first = runs.partition_point(|(run, _)| *run < from);
        let count = |index: usize| {
            let end = runs[index].0 + WINDOW;
            runs.partition_point(|(run, _)| *run < end) - index
        };
        let most = (first..runs.len()).map(count).max().unwrap_or_default();
        u32::try_from(most).unwrap()
    }

    /// Returns how many requests of a tenant these VMs have admitted.
    pub(crate) fn admitted_by(
        &self,
        tenant: usize,
        vms: Range<usize>,
        from: MonoTime,
        until: MonoTime,
    ) -> usize {
        let runs = self.admitted[tenant].iter();
        let counted = runs.filter(|(run, vm)| (from..until).contains(run) && vms.contains(vm));
        counted.count()
    }

    /// Returns which share of the requests within the quotas of these tenants was admitted.
    pub(crate) fn admitted_share(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let counted = (0..TENANTS).filter(|tenant| is_counted(*tenant));
        let (mut within, mut admitted) = (0, 0);
        for tenant in counted {
            within += self.served[tenant].within;
            admitted += self.served[tenant].admitted;
        }
        f64::from(admitted) / f64::from(within)
    }

    /// Returns which share of its quota a tenant has used.
    pub(crate) fn used_share(&self, tenant: usize) -> f64 {
        let allowed = self.load.limits[tenant].per_second * self.duration.as_secs_f64();
        as_f64(self.admitted[tenant].len()) / allowed
    }

    /// Returns how often keepers were asked for permits of a tenant, per second.
    pub(crate) fn asks_per_s(&self, tenant: usize) -> f64 {
        as_f64(self.asks[tenant]) / self.duration.as_secs_f64()
    }

    pub(crate) fn longest_hold(&self) -> Duration {
        self.longest_hold
    }

    /// Returns how many callers have returned, and how many of them were admitted.
    pub(crate) fn returned_callers(&self) -> (u32, u32) {
        self.returned
    }

    fn schedule(&mut self, when: MonoTime, event: Event) {
        self.sequence += 1;
        self.payloads.insert(self.sequence, event);
        self.events.push(Reverse((when, self.sequence)));
    }

    fn schedule_arrival(&mut self, tenant: usize) {
        let rate = self.load.rates[tenant];
        if rate > 0.0 {
            let uniform: f64 = self.random.random();
            let pause = Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            self.schedule(self.now + pause, Event::Arrive(tenant, false));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(tenant, returned) => self.arrive(tenant, returned),
            Event::Poll(vm, epoch) => {
                if self.vms[vm].epoch == epoch {
                    self.poll(vm);
                    let next = self.now + Duration::from_millis(100);
                    self.schedule(next, Event::Poll(vm, epoch));
                }
            }
            Event::Ask(vm, epoch, call) => self.ask(vm, epoch, call),
            Event::Reply(vm, epoch, call, grants) => self.reply(vm, epoch, &call, grants),
            Event::HoldEnd(vm, epoch, ticket) => {
                if self.vms[vm].epoch == epoch {
                    self.decide(vm, ticket);
                }
            }
            Event::RestartVm(vm) => {
                let state = &mut self.vms[vm];
                state.ledger = RateLedger::default();
                state.planner = RetryPlanner::default();
                state.held.clear();
                state.epoch += 1;
                let epoch = state.epoch;
                self.schedule(self.now, Event::Poll(vm, epoch));
            }
            Event::CutOff(vm, is_cut) => self.vms[vm].cut_since = is_cut.then_some(self.now),
            Event::KeeperUp(keeper, is_up) => {
                let state = &mut self.keepers[keeper];
                state.down_since = (!is_up).then_some(self.now);
                if is_up {
                    state.grantor = RateGrantor::new(self.now);
                }
            }
            Event::SetQuota(vm, limit) => self.vms[vm].limit = limit,
        }
    }

    fn arrive(&mut self, tenant: usize, returned: bool) {
        if !returned {
            self.schedule_arrival(tenant);
        }
        let vm = self.random.random_range(0..self.vms_in_use);
        let is_within = self.take_reference(tenant);
        self.sequence += 1;
        let ticket = self.sequence;
        let is_within = is_within && self.now >= MonoTime::ZERO + MEASURED_FROM;
        self.served[tenant].within += u32::from(is_within);
        self.within.insert(ticket, is_within);
        let hold_until = self.now + hold_limit(OBJECTIVE);
        let limit = match tenant {
            HOT => self.vms[vm].limit,
            _ => self.load.limits[tenant],
        };
        let held = Held {
            tenant,
            rank: RequestRank {
                priority: 1,
                deadline: self.now + Duration::from_secs(2),
                ticket,
            },
            limit,
            arrived_at: self.now,
            hold_until,
            returned,
        };
        let key = key_of(tenant);
        let keepers = self.listed_keepers(vm);
        let state = &mut self.vms[vm];
        state.ledger.set_keepers(&keepers);
        state.ledger.set_limit(&key, held.limit, self.now);
        state.ledger.record_demand(&key, self.now);
        state.held.insert(ticket, held);
        self.returned.0 += u32::from(returned);
        if self.decide(vm, ticket) {
            let epoch = self.vms[vm].epoch;
            self.schedule(hold_until, Event::HoldEnd(vm, epoch, ticket));
            self.poll(vm);
        }
    }

    /// Decides on a request that is held; returns whether it still is.
    fn decide(&mut self, vm: usize, ticket: u64) -> bool {
        let state = &mut self.vms[vm];
        let Some(held) = state.held.get(&ticket) else {
            return false;
        };
        let key = key_of(held.tenant);
        let now = self.now;
        let is_granted = state.ledger.has_permit(&key, held.rank, now)
            && state.ledger.take(&key, held.rank, now).is_some();
        let answer = state.ledger.state(&key, now);
        if !is_granted && answer == RateState::Pending && now < held.hold_until {
            let times = WaitTimes {
                retry_at: held.hold_until,
                usable_until: held.hold_until,
            };
            state.ledger.wait(&key, held.rank, times, now);
            return true;
        }
        state.ledger.stop_waiting(&key, ticket);
        let held = state.held.remove(&ticket).unwrap();
        self.longest_hold = self.longest_hold.max(now.since(held.arrived_at));
        let is_within = self.within.remove(&ticket).unwrap();
        if is_granted {
            state.planner.record_admitted(&key, now);
            self.admitted[held.tenant].push((now, vm));
            self.served[held.tenant].admitted += u32::from(is_within);
            self.returned.1 += u32::from(held.returned);
        } else if let RateState::Denied { until } = answer {
            let spread = self.random.random();
            let retry_after =
                state
                    .planner
                    .retry_after(&key, held.limit.per_second, until, spread, now);
            if self.callers_return && !held.returned {
                self.schedule(now + retry_after, Event::Arrive(held.tenant, true));
            }
        }
        false
    }

    /// Makes the calls of a VM that are due, as its task does.
    fn poll(&mut self, vm: usize) {
        let keepers = self.listed_keepers(vm);
        let state = &mut self.vms[vm];
        state.ledger.set_keepers(&keepers);
        let period = Duration::from_millis(100);
        let passed = self.now.since(state.alone_at).min(period);
        if state.ledger.is_alone() {
            let random = &mut self.random;
            let vms = u32::try_from(VMS).unwrap();
            state
                .ledger
                .grant_alone(vms, passed, || random.random(), self.now);
        }
        state.alone_at = self.now;
        let calls = state.ledger.due_calls(&keepers, self.now);
        let epoch = state.epoch;
        let is_cut = state.cut_since.is_some();
        let is_urgent = !state.held.is_empty();
        for call in calls {
            for ask in &call.asks {
                self.asks[tenant_of(&ask.key)] += 1;
            }
            if is_cut {
                let failed_at = self.now + CALL_TIMEOUT;
                self.schedule(failed_at, Event::Reply(vm, epoch, call, None));
            } else {
                let arrives_at = self.now + self.delay(vm, call.keeper);
                self.schedule(arrives_at, Event::Ask(vm, epoch, call));
            }
        }
        if is_urgent {
            self.decide_all(vm);
        }
    }

    fn ask(&mut self, vm: usize, epoch: u64, call: RateCall) {
        let delay = self.delay(vm, call.keeper);
        let is_cut = self.vms[vm].cut_since.is_some();
        let now = self.now;
        let mut keepers = self.keepers.iter_mut();
        let keeper = keepers
            .find(|keeper| keeper.address == call.keeper)
            .unwrap();
        if keeper.down_since.is_some() {
            // The connection is refused.
            return self.schedule(now + delay, Event::Reply(vm, epoch, call, None));
        }
        let asker = PermitAsker {
            vm: SocketAddr::from(([10, 1, 0, u8::try_from(vm).unwrap()], 7_904)),
            spread: self.random.random(),
        };
        let grant = |ask| keeper.grantor.ask(asker, ask, Some(GRANTORS_MAX), now);
        let grants: Vec<RateGrant> = call.asks.iter().map(grant).collect();
        let (delay, grants) = if is_cut {
            (CALL_TIMEOUT, None)
        } else {
            (delay, Some(grants))
        };
        self.schedule(now + delay, Event::Reply(vm, epoch, call, grants));
    }

    fn reply(&mut self, vm: usize, epoch: u64, call: &RateCall, grants: Option<Vec<RateGrant>>) {
        let state = &mut self.vms[vm];
        if state.epoch != epoch {
            return;
        }
        match grants {
            Some(grants) => state.ledger.apply_grants(call, &grants, self.now),
            None => state.ledger.record_failed_call(call, self.now),
        }
        self.decide_all(vm);
        self.poll(vm);
    }

    fn decide_all(&mut self, vm: usize) {
        let tickets: Vec<u64> = self.vms[vm].held.keys().copied().collect();
        for ticket in tickets {
            self.decide(vm, ticket);
        }
    }

    /// Returns the keepers that a VM knows to be alive, the nearest first.
    fn listed_keepers(&self, vm: usize) -> Vec<SocketAddr> {
        let is_heard = |since: Option<MonoTime>| {
            since.is_none_or(|since| self.now.since(since) < KEEPER_ALIVE)
        };
        let is_listed =
            |keeper: &&ModelKeeper| is_heard(keeper.down_since) && is_heard(self.vms[vm].cut_since);
        let mut listed: Vec<SocketAddr> = self
            .keepers
            .iter()
            .filter(is_listed)
            .map(|keeper| keeper.address)
            .collect();
        listed.sort_by_key(|keeper| (self.delay(vm, *keeper), *keeper));
        listed
    }

    fn delay(&self, vm: usize, keeper: SocketAddr) -> Duration {
        let near = self.keepers[vm % self.keepers.len()].address;
        if keeper == near {
            NEAR_DELAY
        } else {
            FAR_DELAY
        }
    }

    fn take_reference(&mut self, tenant: usize) -> bool {
        let limit = self.load.limits[tenant];
        let reference = &mut self.references[tenant];
        let gained = self.now.since(reference.refilled_at).as_secs_f64() * limit.per_second;
        reference.tokens = (reference.tokens + gained).min(limit.burst);
        reference.refilled_at = self.now;
        let is_within = reference.tokens >= 1.0;
        reference.tokens -= f64::from(u8::from(is_within));
        is_within
    }
}

fn key_of(tenant: usize) -> RateKey {
    RateKey::Tenant(format!("t{tenant}").into())
}

fn tenant_of(key: &RateKey) -> usize {
    match key {
        RateKey::Tenant(name) => name[1..].parse().unwrap(),
        RateKey::Cold { .. } => unreachable!(),
    }
}
