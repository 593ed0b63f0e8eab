//! The permits that a VM holds, by key, and which keepers it asks for more.
//!
//! Load pattern: most requests find the nearest keeper's part of a rate unused, and cost one call to
//! it. Where one data centre sends more than that part, the VM asks the other keepers, all at once:
//! a request is held for little more than one round trip between data centres. Permits that turn out
//! not to be needed are given back. A keeper that stood still replies late once, and is asked again.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use crate::{
    key::{RateAsk, RateGrant, RateKey, RateLimit},
    policy::RatePolicy,
    queue::{PermitBatch, PermitQueue, RequestRank, SendPermit, WaitTimes},
};

/// Pause before a keeper that did not reply is asked again, in milliseconds.
const FAILED_ASK_PAUSE_MS: u64 = 1_000;
/// Expected time until the nearest keeper, or another one, replies to its first call, in
/// milliseconds.
const NEAR_ROUND_TRIP_MS: u64 = 3;
const FAR_ROUND_TRIP_MS: u64 = 45;
/// Weight of the latest call in the moving average of a keeper's round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.2;
/// An average that is more than this multiple of the latest round trip comes from a keeper that stood still.
const ROUND_TRIP_RESET_FACTOR: u32 = 2;
/// Period in which a keeper whose reply is expected too late is asked all the same, in milliseconds.
const TRIAL_PERIOD_MS: u64 = 1_000;
/// Number of keepers that are asked at once as long as there is time to ask others after them. More
/// would take permits out of use that others need.
const PARALLEL_ASKS: usize = 2;
/// Time after which a reply of the nearest keeper is not waited for before others are asked: this
/// multiple of its usual round trip, and at least this number of milliseconds. A request is held for
/// at most 60 ms.
const OVERDUE_FACTOR: f64 = 1.5;
const OVERDUE_MS: u64 = 10;
/// Period in which permits are asked for in advance and given back, in milliseconds.
const SWEEP_MS: u64 = 100;
/// Time after which a key without requests is forgotten, in milliseconds. No keeper asks to be left
/// alone for longer.
const IDLE_TTL_MS: u64 = 10_000;

/// Permits to ask one keeper for.
#[derive(Clone, Debug, PartialEq)]
pub struct RateCall {
    /// The keeper.
    pub keeper: SocketAddr,
    /// When the permits are asked for. They expire a fixed time later.
    pub asked_at: MonoTime,
    /// What is asked for and given back, at most once for each key.
    pub asks: Vec<RateAsk>,
}

/// What a request without a permit can expect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateState {
    /// Keepers are being asked, or can be: wait for a permit.
    Pending,
    /// All keepers that can be asked have refused.
    Denied {
        /// When the first of them can be asked again.
        until: MonoTime,
    },
    /// No keeper can be reached.
    Unreachable,
}

/// Permits that a keeper is being asked for.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    wanted: u32,
    /// When the reply is not waited for any longer.
    overdue_at: MonoTime,
}

impl PendingAsk {
    fn is_overdue(self, now: MonoTime) -> bool {
        now >= self.overdue_at
    }
}

/// A keeper that can be asked, and how long its replies take.
#[derive(Clone, Copy, Debug)]
struct UsableKeeper {
    address: SocketAddr,
    round_trip: Duration,
    /// Whether it may be asked to measure the round trip.
    is_trial_due: bool,
}

/// A rate and this VM's permits of it.
#[derive(Debug)]
struct RateEntry {
    limit: RateLimit,
    policy: RatePolicy,
    queue: PermitQueue,
    pending: HashMap<SocketAddr, PendingAsk>,
    /// When each keeper that has refused may be asked again.
    ask_at: HashMap<SocketAddr, MonoTime>,
    /// Permits to give back to each keeper.
    returns: HashMap<SocketAddr, u32>,
    used_at: MonoTime,
}

impl RateEntry {
    fn new(key: &RateKey, limit: RateLimit, now: MonoTime) -> Self {
        Self {
            limit,
            policy: RatePolicy::of(key, limit),
            queue: PermitQueue::default(),
            pending: HashMap::new(),
            ask_at: HashMap::new(),
            returns: HashMap::new(),
            used_at: now,
        }
    }

    /// Applies a newer rate. Permits of a higher rate are dropped in part.
    fn apply(&mut self, key: &RateKey, limit: RateLimit) {
        if limit.version <= self.limit.version {
            return;
        }
        let before = std::mem::replace(&mut self.policy, RatePolicy::of(key, limit));
        self.limit = limit;
        if self.policy.per_second < before.per_second {
            self.queue
                .shrink(self.policy.per_second / before.per_second);
        }
        if self.policy != before {
            self.ask_at.clear();
        }
    }

    fn may_ask(&self, keeper: SocketAddr, now: MonoTime) -> bool {
        let is_refused = self.ask_at.get(&keeper).is_some_and(|at| *at > now);
        !is_refused && !self.pending.contains_key(&keeper)
    }

    /// Returns how many permits to ask for that arrive after `round_trip`.
    fn missing(&self, round_trip: Duration, now: MonoTime) -> u32 {
        let wanted = self.queue.wanted(&self.policy, round_trip, now);
        let fresh = self.pending.values().filter(|ask| !ask.is_overdue(now));
        wanted.saturating_sub(fresh.map(|ask| ask.wanted).sum())
    }

    /// Returns which keepers to ask now, and for how many permits.
    /// `turn` selects the first of several keepers that are equally suitable.
    ///
    /// Only replies correct the expected round trips. So a keeper whose reply is expected too late for each
    /// request that waits is asked for zero permits from time to time, and for all of them if no other keeper
    /// is in reach.
    fn due_asks(
        &self,
        keepers: &[UsableKeeper],
        turn: usize,
        now: MonoTime,
    ) -> Vec<(SocketAddr, u32)> {
        let is_in_reach = |keeper: &UsableKeeper| self.queue.is_in_reach(keeper.round_trip, now);
        let (in_reach, late): (Vec<UsableKeeper>, Vec<UsableKeeper>) =
            keepers.iter().copied().partition(is_in_reach);
        let mut asks = if in_reach.is_empty() {
            let mut at_once = late.clone();
            for keeper in &mut at_once {
                keeper.round_trip = Duration::ZERO;
            }
            self.asks_for_permits(&at_once, turn, now)
        } else {
            self.asks_for_permits(&in_reach, turn, now)
        };
        for keeper in late {
            let is_asked = asks.iter().any(|(asked, _)| *asked == keeper.address);
            if !is_asked && keeper.is_trial_due && self.may_ask(keeper.address, now) {
                asks.push((keeper.address, 0));
            }
        }
        asks
    }

    /// Returns which of these keepers to ask now, and for how many permits.
    fn asks_for_permits(
        &self,
        keepers: &[UsableKeeper],
        turn: usize,
        now: MonoTime,
    ) -> Vec<(SocketAddr, u32)> {
        let Some((nearest, others)) = keepers.split_first() else {
            return Vec::new();
        };
        if self.may_ask(nearest.address, now) {
            let wanted = self.missing(nearest.round_trip, now);
            return Vec::from_iter((wanted > 0).then_some((nearest.address, wanted)));
        }
        let pending = self.pending.get(&nearest.address);
        if pending.is_some_and(|ask| !ask.is_overdue(now)) {
            return Vec::new();
        }
        let due = others.iter().filter(|k| self.may_ask(k.address, now));
        let mut due: Vec<UsableKeeper> = due.copied().collect();
        let Some(round_trip) = due.iter().map(|keeper| keeper.round_trip).max() else {
            return Vec::new();
        };
        let missing = self.missing(round_trip, now);
        if missing == 0 {
            return Vec::new();
        }
        let parallel = if self.queue.waiting(now) == 0 {
            1
        } else if self.missing(round_trip * 2, now) == missing {
            PARALLEL_ASKS
        } else {
            due.len()
        };
        // Each time, others are asked, so that the load of this data centre is spread over them.
        let first = turn % due.len();
        due.rotate_left(first);
        due.truncate(parallel);
        let due = due.into_iter().map(|keeper| keeper.address);
        let due: Vec<SocketAddr> = due.collect();
        let wanted = missing.div_ceil(u32::try_from(due.len()).unwrap_or(u32::MAX));
        due.into_iter().map(|keeper| (keeper, wanted)).collect()
    }

    /// Takes permits out of use that are not needed.
    fn collect_unused(&mut self, now: MonoTime) {
        for keeper in self.queue.take_unused(&self.policy, now) {
            *self.returns.entry(keeper).or_default() += 1;
        }
    }

    fn is_idle(&self, now: MonoTime) -> bool {
        let is_unused = now.since(self.used_at) >= Duration::from_millis(IDLE_TTL_MS);
        is_unused && self.pending.is_empty() && self.returns.is_empty() && self.queue.is_idle(now)
    }
}

/// The permits that a VM holds, by key.
///
/// A request first calls [`Self::set_limit`] and [`Self::try_take`]. Without a permit, it looks at
/// [`Self::state`] and, if that is [`RateState::Pending`], calls [`Self::wait`] and lets the task
/// run that sends [`Self::due_calls`]. That task must run whenever a request begins to wait, and
/// after [`Self::poll_after`].
#[derive(Debug, Default)]
pub struct RateLedger {
    entries: BTreeMap<RateKey, RateEntry>,
    /// Keys that requests wait for.
    urgent: BTreeSet<RateKey>,
    /// All live keepers, ordered by distance.
    keepers: Vec<SocketAddr>,
    /// Keepers that did not reply to the last call, and when to ask them again.
    failed: HashMap<SocketAddr, MonoTime>,
    /// Moving average of the time until each keeper replies.
    round_trips: HashMap<SocketAddr, Duration>,
    /// When keepers whose replies are expected too late were last asked to measure that time.
    tried_at: HashMap<SocketAddr, MonoTime>,
    swept_at: MonoTime,
    /// Counts the asks of other keepers than the nearest one.
    asked_far: usize,
}

impl RateLedger {
    /// Records the rate of `key`, unless a newer version of it is known. Without a rate, a key has
    /// no permits.
    pub fn set_limit(&mut self, key: &RateKey, limit: RateLimit, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.apply(key, limit);
            entry.used_at = now;
        } else if limit.is_valid() {
            let entry = RateEntry::new(key, limit, now);
            self.entries.insert(key.clone(), entry);
        }
    }

    /// Records a request that needs a permit. Permits are asked for in advance if there are many.
    pub fn record_demand(&mut self, key: &RateKey, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.queue.record_demand(now);
        }
    }

    /// Takes a permit, if one is held, whoever waits for it.
    pub fn try_take(&mut self, key: &RateKey, now: MonoTime) -> Option<SendPermit> {
        self.take(key, RequestRank::FIRST, now)
    }

    /// Takes a permit for the request with this rank, which stops waiting.
    pub fn take(&mut self, key: &RateKey, rank: RequestRank, now: MonoTime) -> Option<SendPermit> {
        self.entries.get_mut(key)?.queue.take(rank, now)
    }

    /// Whether a permit is held that no request with a better rank waits for.
    #[must_use]
    pub fn has_permit(&self, key: &RateKey, rank: RequestRank, now: MonoTime) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| entry.queue.has_permit(rank, now))
    }

    /// Gives a permit back whose request was not sent. Another request may use it.
    pub fn refund(&mut self, key: &RateKey, permit: SendPermit) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.queue.refund(permit);
        }
    }

    /// Lets a request wait for a permit.
    pub fn wait(&mut self, key: &RateKey, rank: RequestRank, times: WaitTimes, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.queue.wait(rank, times, now);
            self.urgent.insert(key.clone());
        }
    }

    /// Forgets a request that does not wait for a permit of `key` any more.
    pub fn stop_waiting(&mut self, key: &RateKey, ticket: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.queue.stop_waiting(ticket);
        }
    }

    /// Forgets a request that does not wait for a permit of any key any more.
    pub fn stop_all_waiting(&mut self, ticket: u64) {
        for entry in self.entries.values_mut() {
            entry.queue.stop_waiting(ticket);
        }
    }

    /// Returns the permits per second that this VM can expect. `vms` is the number of VMs that share
    /// the rate.
    #[must_use]
    pub fn permit_rate(&self, key: &RateKey, vms: u32, now: MonoTime) -> f64 {
        let entry = self.entries.get(key);
        entry.map_or(0.0, |entry| {
            let granted = entry.queue.granted_rate(now);
            granted.max(entry.policy.per_second / f64::from(vms.max(1)))
        })
    }

    /// Returns what a request can expect that finds no permit.
    #[must_use]
    pub fn state(&self, key: &RateKey, now: MonoTime) -> RateState {
        if self.is_alone() {
            // Without requests that wait, no call would find out that a keeper replies again.
            let may_retry = |keeper| self.failed.get(keeper).is_some_and(|at| *at <= now);
            return if self.keepers.iter().any(may_retry) {
                RateState::Pending
            } else {
                RateState::Unreachable
            };
        }
        self.denied_until(key, now)
            .map_or(RateState::Pending, |until| RateState::Denied { until })
    }

    /// Returns the time until which all keepers that can be asked have refused; `None` if one can be
    /// asked now, or is being asked, or if none can be reached.
    #[must_use]
    pub fn denied_until(&self, key: &RateKey, now: MonoTime) -> Option<MonoTime> {
        let entry = self.entries.get(key)?;
        let mut until = None;
        for keeper in &self.keepers {
            if self.failed.contains_key(keeper) {
                continue;
            }
            let refused = entry.ask_at.get(keeper).filter(|at| **at > now)?;
            if entry.pending.get(keeper).is_some_and(|ask| ask.wanted > 0) {
                return None;
            }
            until = Some(until.map_or(*refused, |until: MonoTime| until.min(*refused)));
        }
        until
    }

    /// Returns when a request of this rank can expect a permit. `vms` is the number of VMs that
    /// share the rate.
    #[must_use]
    pub fn permit_expected_at(
        &self,
        key: &RateKey,
        rank: RequestRank,
        vms: u32,
        now: MonoTime,
    ) -> MonoTime {
        let Some(entry) = self.entries.get(key) else {
            return PermitQueue::default().permit_expected_at(rank, now, 1.0, now);
        };
        let rate = if self.is_alone() {
            entry.policy.alone_per_second
        } else {
            entry.policy.per_second
        };
        let rate_min = rate / f64::from(vms.max(1));
        let ask_at = self.denied_until(key, now).unwrap_or(now);
        entry.queue.permit_expected_at(rank, ask_at, rate_min, now)
    }

    /// Whether no keeper can be reached.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        let has_failed = |keeper| self.failed.contains_key(keeper);
        self.keepers.iter().all(has_failed)
    }

    /// Records the live keepers, ordered by distance. [`Self::due_calls`] does so too.
    pub fn set_keepers(&mut self, keepers: &[SocketAddr]) {
        if self.keepers != keepers {
            self.keepers = keepers.to_vec();
            self.failed.retain(|keeper, _| keepers.contains(keeper));
            self.round_trips
                .retain(|keeper, _| keepers.contains(keeper));
            self.tried_at.retain(|keeper, _| keepers.contains(keeper));
        }
    }

    /// Returns what the keepers should be asked now. `keepers` are the live ones, ordered by
    /// distance.
    ///
    /// Each call must be followed by [`Self::apply_grants`] or [`Self::record_failed_call`].
    pub fn due_calls(&mut self, keepers: &[SocketAddr], now: MonoTime) -> Vec<RateCall> {
        self.set_keepers(keepers);
        let is_sweep = now.since(self.swept_at) >= Duration::from_millis(SWEEP_MS);
        let keys: Vec<RateKey> = if is_sweep {
            self.swept_at = now;
            self.entries.retain(|_, entry| !entry.is_idle(now));
            self.entries.keys().cloned().collect()
        } else {
            self.urgent.iter().cloned().collect()
        };
        let keepers = self.usable_keepers(now);
        let mut calls = BTreeMap::new();
        for key in keys {
            self.add_due_asks(&key, &keepers, is_sweep, &mut calls, now);
        }
        let calls = calls.into_iter();
        let call = |(keeper, asks)| RateCall {
            keeper,
            asked_at: now,
            asks,
        };
        calls.map(call).collect()
    }

    /// Applies what a keeper has granted, in the order of the asks of `call`.
    pub fn apply_grants(&mut self, call: &RateCall, grants: &[RateGrant], now: MonoTime) {
        self.failed.remove(&call.keeper);
        let latest = now.since(call.asked_at);
        let round_trip = self.round_trips.entry(call.keeper).or_insert(latest);
        *round_trip = if *round_trip > latest * ROUND_TRIP_RESET_FACTOR {
            latest
        } else {
            round_trip.mul_f64(1.0 - ROUND_TRIP_WEIGHT) + latest.mul_f64(ROUND_TRIP_WEIGHT)
        };
        for (ask, grant) in call.asks.iter().zip(grants) {
            let Some(entry) = self.entries.get_mut(&ask.key) else {
                continue;
            };
            entry.pending.remove(&call.keeper);
            // A malformed reply must not fill the memory with permits.
            let granted = grant.granted.min(ask.wanted);
            if granted < ask.wanted {
                let ask_at = now + grant.ask_again_after;
                entry.ask_at.insert(call.keeper, ask_at);
            } else if ask.wanted > 0 {
                entry.ask_at.remove(&call.keeper);
            }
            let batch = PermitBatch {
                count: granted,
                asked_at: call.asked_at,
                ttl: entry.policy.permit_ttl,
                grantor: Some(call.keeper),
            };
            entry.queue.add(batch, now);
        }
    }

    /// Records that a keeper has not replied. What the call gave back is lost.
    pub fn record_failed_call(&mut self, call: &RateCall, now: MonoTime) {
        let ask_at = now + Duration::from_millis(FAILED_ASK_PAUSE_MS);
        self.failed.insert(call.keeper, ask_at);
        for ask in &call.asks {
            if let Some(entry) = self.entries.get_mut(&ask.key) {
                entry.pending.remove(&call.keeper);
            }
        }
        for entry in self.entries.values_mut() {
            entry.returns.remove(&call.keeper);
        }
    }

    /// Grants permits to this VM for the time `passed` since the last call, if it reaches no keeper.
    /// `vms` is the number of VMs that share the rates; `random` returns a number from 0 to 1.
    ///
    /// Each VM draws by itself, so that not all of them use a permit in the same moment.
    pub fn grant_alone(
        &mut self,
        vms: u32,
        passed: Duration,
        mut random: impl FnMut() -> f64,
        now: MonoTime,
    ) {
        if !self.is_alone() {
            return;
        }
        for entry in self.entries.values_mut() {
            let policy = &entry.policy;
            let rate = policy.alone_per_second / f64::from(vms.max(1));
            let expected = rate * passed.as_secs_f64();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a saturated number of permits is more than enough"
            )]
            let count = expected as u32 + u32::from(random() < expected.fract());
            let batch = PermitBatch {
                count,
                asked_at: now,
                ttl: policy.permit_ttl,
                grantor: None,
            };
            entry.queue.add(batch, now);
        }
    }

    /// Returns the time after which [`Self::due_calls`] may have more to ask; `None` while no key is
    /// in use.
    #[must_use]
    pub fn poll_after(&self) -> Option<Duration> {
        if !self.urgent.is_empty() {
            return Some(Duration::from_millis(OVERDUE_MS));
        }
        (!self.entries.is_empty()).then_some(Duration::from_millis(SWEEP_MS))
    }

    /// Returns the keepers that can be asked. Those whose last call failed come last.
    fn usable_keepers(&self, now: MonoTime) -> Vec<UsableKeeper> {
        let is_usable = |keeper: &&SocketAddr| self.failed.get(keeper).is_none_or(|at| *at <= now);
        let mut usable: Vec<SocketAddr> = self.keepers.iter().filter(is_usable).copied().collect();
        usable.sort_by_key(|keeper| self.failed.contains_key(keeper));
        let with_round_trip = |(number, address)| {
            let expected_ms = if number == 0 {
                NEAR_ROUND_TRIP_MS
            } else {
                FAR_ROUND_TRIP_MS
            };
            let known = self.round_trips.get(&address).copied();
            let period = Duration::from_millis(TRIAL_PERIOD_MS);
            let tried_at = self.tried_at.get(&address);
            UsableKeeper {
                address,
                round_trip: known.unwrap_or(Duration::from_millis(expected_ms)),
                is_trial_due: tried_at.is_none_or(|at| now.since(*at) >= period),
            }
        };
        usable
            .into_iter()
            .enumerate()
            .map(with_round_trip)
            .collect()
    }

    fn add_due_asks(
        &mut self,
        key: &RateKey,
        keepers: &[UsableKeeper],
        is_sweep: bool,
        calls: &mut BTreeMap<SocketAddr, Vec<RateAsk>>,
        now: MonoTime,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            self.urgent.remove(key);
            return;
        };
        if is_sweep {
            entry.collect_unused(now);
            let is_usable = |keeper| keepers.iter().any(|usable| usable.address == keeper);
            entry.returns.retain(|keeper, _| is_usable(*keeper));
        }
        let mut due = entry.due_asks(keepers, self.asked_far, now);
        let trials = due.iter().filter(|(_, wanted)| *wanted == 0);
        self.tried_at
            .extend(trials.map(|(keeper, _)| (*keeper, now)));
        if is_sweep {
            for keeper in entry.returns.keys() {
                let is_free = !entry.pending.contains_key(keeper);
                if is_free && due.iter().all(|(asked, _)| asked != keeper) {
                    due.push((*keeper, 0));
                }
            }
        }
        let nearest = keepers.first().map(|keeper| keeper.address);
        for (keeper, wanted) in due {
            self.asked_far += usize::from(wanted > 0 && Some(keeper) != nearest);
            let usable = keepers.iter().find(|usable| usable.address == keeper);
            let round_trip = usable.map_or(Duration::ZERO, |usable| usable.round_trip);
            let overdue = round_trip.mul_f64(OVERDUE_FACTOR);
            let pending = PendingAsk {
                wanted,
                overdue_at: now + overdue.max(Duration::from_millis(OVERDUE_MS)),
            };
            entry.pending.insert(keeper, pending);
            calls.entry(keeper).or_default().push(RateAsk {
                key: key.clone(),
                limit: entry.limit,
                wanted,
                returned: entry.returns.remove(&keeper).unwrap_or_default(),
            });
        }
        if entry.queue.waiting(now) == 0 {
            self.urgent.remove(key);
        }
    }
}
