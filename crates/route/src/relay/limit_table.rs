//! The request rates that targets take from all VMs together, as this VM knows them.
//!
//! Load pattern: a target in need names the requests a second that it takes from all VMs. What one
//! VM sends says nothing about the sum, so each attempt needs a permit of a keeper (see
//! [`super::permit_grantor`]). States are kept by incarnation, apart from the trackers: a tracker is
//! dropped when keepers stop listing its target.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{PermitBatch, PermitQueue, RequestRank, SendPermit, WaitTimes};

use super::{
    attempt_budget::AttemptCharge,
    limit::{KnownLimit, LimitChange, LimitReport, LimitedCounts, LimitedLoad, StatedLimit},
    notice_table::TargetIncarnation,
    permit_grantor::{PERMIT_TTL_MS, PermitAsk, PermitGrant, limit_policy},
    selector::RelayTarget,
};

/// Time after which the limit of a target that is not listed any more is forgotten, in
/// milliseconds. No announcement is delayed for longer.
const UNLISTED_TTL_MS: u64 = 600_000;
/// Pause before a keeper that did not reply is asked for permits again, in milliseconds.
const FAILED_ASK_PAUSE_MS: u64 = 1_000;
/// Expected time until the nearest keeper, or another one, replies, in milliseconds.
const NEAR_ROUND_TRIP_MS: u64 = 3;
const FAR_ROUND_TRIP_MS: u64 = 45;

/// Permits to ask one keeper for.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitCall {
    /// The keeper.
    pub keeper: SocketAddr,
    /// When the permits are asked for. They expire a fixed time later.
    pub asked_at: MonoTime,
    /// What is asked for, at most once for each target.
    pub asks: Vec<PermitAsk>,
}

/// The limit of one incarnation of a target, and the permits for it.
#[derive(Debug, Default)]
struct LimitState {
    known: KnownLimit,
    queue: PermitQueue,
    counts: LimitedCounts,
    granted: u32,
    asked: u32,
    /// Whether keepers may not know yet what this VM has learnt from a reply.
    is_unreported: bool,
    /// Whether a keeper is being asked.
    is_asking: bool,
    /// When each keeper may be asked again.
    ask_at: HashMap<SocketAddr, MonoTime>,
}

impl LimitState {
    /// Records a change of the limit. Permits of a higher limit are given back in part.
    fn on_change(&mut self, before: Option<f64>) {
        match (before, self.known.limit) {
            (Some(before), Some(after)) if after < before => self.queue.shrink(after / before),
            (_, None) => self.queue.clear(),
            _ => {}
        }
        self.ask_at.clear();
    }

    /// Returns the nearest keeper that may be asked now.
    fn due_keeper(&self, keepers: &[SocketAddr], now: MonoTime) -> Option<SocketAddr> {
        let is_due = |keeper: &&SocketAddr| self.ask_at.get(keeper).is_none_or(|at| *at <= now);
        keepers.iter().find(is_due).copied()
    }

    /// Returns when the next permits may be asked for.
    fn next_ask_at(&self, now: MonoTime) -> MonoTime {
        let next = self.ask_at.values().min().copied();
        next.unwrap_or(now).max(now)
    }
}

/// The limits of all targets, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    states: HashMap<TargetIncarnation, LimitState>,
    /// Whether requests wait for permits that no keeper was asked for yet.
    is_urgent: bool,
}

impl LimitTable {
    /// Records what a reply of `target` to an attempt says that was sent at `sent_at`; returns the
    /// change, if there is one.
    ///
    /// Replies overtake each other, so a limit is lifted or raised only by the reply to an attempt
    /// that was sent after the limit was last stated.
    pub(crate) fn record(
        &mut self,
        target: &RelayTarget,
        stated: StatedLimit,
        sent_at: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let limit = match stated {
            StatedLimit::Unreadable => return None,
            StatedLimit::None => None,
            StatedLimit::PerSecond(limit) => Some(limit),
        };
        let incarnation = TargetIncarnation::of(target);
        if limit.is_none() && !self.states.contains_key(&incarnation) {
            return None;
        }
        let state = self.states.entry(incarnation).or_default();
        let before = state.known.limit;
        let is_raised = limit.unwrap_or(f64::INFINITY) > before.unwrap_or(f64::INFINITY);
        let known_at = if is_raised { sent_at } else { now };
        if !state.known.apply(limit, known_at) {
            return None;
        }
        state.on_change(before);
        state.is_unreported = true;
        self.is_urgent = true;
        Some(LimitChange {
            before,
            after: limit,
        })
    }

    /// Records what a keeper has been told by other VMs; returns the change, if there is one.
    pub(crate) fn record_report(
        &mut self,
        report: &LimitReport,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let incarnation = incarnation_of(report);
        let is_news = report.limit.is_some() || self.states.contains_key(&incarnation);
        if !is_news || !report.is_valid() {
            return None;
        }
        let state = self.states.entry(incarnation).or_default();
        let before = state.known.limit;
        let known_at = now.earlier_by(report.age);
        if !state.known.apply(report.limit, known_at) {
            return None;
        }
        state.on_change(before);
        Some(LimitChange {
            before,
            after: report.limit,
        })
    }

    /// Forgets targets that are neither listed nor known for long.
    pub(crate) fn remove_unlisted(
        &mut self,
        is_listed: impl Fn(&TargetIncarnation) -> bool,
        now: MonoTime,
    ) {
        let ttl = Duration::from_millis(UNLISTED_TTL_MS);
        self.states
            .retain(|incarnation, state| is_listed(incarnation) || state.known.age(now) < ttl);
    }

    /// Counts an attempt at `target`, if that has a limit.
    pub(crate) fn count_attempt(&mut self, target: &RelayTarget, charge: AttemptCharge) {
        if let Some(state) = self.limited_mut(target) {
            state.counts.count(charge);
        }
    }

    /// Returns the load of each target with a limit since the last call, if there was any.
    pub(crate) fn take_loads(&mut self, now: MonoTime) -> Vec<LimitedLoad> {
        let mut loads = Vec::new();
        for (incarnation, state) in &mut self.states {
            let counts = std::mem::take(&mut state.counts);
            let granted = std::mem::take(&mut state.granted);
            let asked = std::mem::take(&mut state.asked);
            if let Some(limit) = state.known.limit
                && (counts.total() > 0 || asked > 0)
            {
                loads.push(LimitedLoad {
                    target: Arc::clone(&incarnation.id),
                    limit,
                    counts,
                    granted,
                    asked,
                    waiting: state.queue.waiting(now),
                });
            }
        }
        loads
    }

    /// Whether `target` has a limit.
    pub(crate) fn is_limited(&self, target: &RelayTarget) -> bool {
        self.limited(target).is_some()
    }

    /// Whether a request may be sent to `target` now, i.e. the target has no limit, or there is a
    /// permit that no request with a better rank waits for.
    pub(crate) fn allows(&self, target: &RelayTarget, rank: RequestRank, now: MonoTime) -> bool {
        let state = self.limited(target);
        state.is_none_or(|state| state.queue.has_permit(rank, now))
    }

    /// Returns when a request of this rank can expect a permit for `target`, which has a limit.
    /// `vms` is the number of entry VMs.
    pub(crate) fn permit_expected_at(
        &self,
        target: &RelayTarget,
        rank: RequestRank,
        vms: u32,
        now: MonoTime,
    ) -> MonoTime {
        let Some(state) = self.limited(target) else {
            return now;
        };
        let limit = state.known.limit.unwrap_or_default();
        let rate_min = limit / f64::from(vms.max(1));
        let ask_at = state.next_ask_at(now);
        state.queue.permit_expected_at(rank, ask_at, rate_min, now)
    }

    /// Returns the permits per second that this VM can expect for `target`, 0 if that has no limit.
    pub(crate) fn permit_rate(&self, target: &RelayTarget, vms: u32, now: MonoTime) -> f64 {
        let Some(state) = self.limited(target) else {
            return 0.0;
        };
        let limit = state.known.limit.unwrap_or_default();
        let rate = state.queue.granted_rate(now);
        rate.max(limit / f64::from(vms.max(1)))
    }

    /// Whether a keeper that may have permits for `target` can be asked now.
    pub(crate) fn can_ask(&self, target: &RelayTarget, now: MonoTime) -> bool {
        let state = self.limited(target);
        state.is_some_and(|state| state.next_ask_at(now) <= now)
    }

    /// Records a request that `target` would suit best, if that has a limit.
    pub(crate) fn record_demand(&mut self, target: &RelayTarget, now: MonoTime) {
        if let Some(state) = self.limited_mut(target) {
            state.queue.record_demand(now);
        }
    }

    /// Lets a request wait for a permit for `target`.
    pub(crate) fn wait(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        times: WaitTimes,
        now: MonoTime,
    ) {
        if let Some(state) = self.limited_mut(target) {
            state.queue.wait(rank, times, now);
            self.is_urgent = true;
        }
    }

    /// Forgets a request that does not wait for permits any more.
    pub(crate) fn stop_waiting(&mut self, ticket: u64) {
        for state in self.states.values_mut() {
            state.queue.stop_waiting(ticket);
        }
    }

    /// Takes a permit for `target`, if that has a limit and a permit is left.
    pub(crate) fn take_permit(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        now: MonoTime,
    ) -> Option<SendPermit> {
        self.limited_mut(target)?.queue.take(rank, now)
    }

    /// Gives a permit back whose attempt was not sent.
    pub(crate) fn refund_permit(&mut self, target: &RelayTarget, permit: SendPermit) {
        if let Some(state) = self.limited_mut(target) {
            state.queue.refund(permit);
        }
    }

    /// Whether an attempt may be sent to `target` now that a connection is open, given its permit.
    ///
    /// A target may have named a limit while the attempt waited for its connection, and a permit
    /// may have expired.
    pub(crate) fn may_send(
        &mut self,
        target: &RelayTarget,
        permit: Option<SendPermit>,
        now: MonoTime,
    ) -> bool {
        let Some(state) = self.limited_mut(target) else {
            return true;
        };
        let is_valid = permit.is_some_and(|permit| permit.is_valid(now));
        is_valid || state.queue.take(RequestRank::FIRST, now).is_some()
    }

    /// Whether any target has a limit, so that permits may be needed.
    pub(crate) fn is_in_use(&self) -> bool {
        self.states
            .values()
            .any(|state| state.known.limit.is_some() || state.is_unreported)
    }

    /// Returns whether permits should be asked for at once, and clears this mark.
    pub(crate) fn take_urgency(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Returns what the keepers should be asked now. `keepers` is ordered by distance.
    ///
    /// Each call must be followed by [`Self::apply_grants`] or [`Self::record_failed_call`].
    pub(crate) fn due_calls(&mut self, keepers: &[SocketAddr], now: MonoTime) -> Vec<PermitCall> {
        let mut calls: Vec<PermitCall> = Vec::new();
        for (incarnation, state) in &mut self.states {
            if state.is_asking {
                continue;
            }
            let Some(keeper) = state.due_keeper(keepers, now) else {
                continue;
            };
            let is_nearest = keepers.first() == Some(&keeper);
            let round_trip_ms = if is_nearest {
                NEAR_ROUND_TRIP_MS
            } else {
                FAR_ROUND_TRIP_MS
            };
            let round_trip = Duration::from_millis(round_trip_ms);
            let limit = state.known.limit;
            let wanted = limit.map_or(0, |limit| {
                let policy = limit_policy(limit);
                state.queue.wanted(&policy, round_trip, now)
            });
            if wanted == 0 && !state.is_unreported {
                continue;
            }
            state.is_asking = true;
            state.is_unreported = false;
            state.asked += wanted;
            let ask = PermitAsk {
                known: LimitReport {
                    target: Arc::clone(&incarnation.id),
                    born_ms: incarnation.born_ms,
                    limit,
                    age: state.known.age(now),
                },
                wanted,
            };
            match calls.iter_mut().find(|call| call.keeper == keeper) {
                Some(call) => call.asks.push(ask),
                None => calls.push(PermitCall {
                    keeper,
                    asked_at: now,
                    asks: vec![ask],
                }),
            }
        }
        calls
    }

    /// Applies what a keeper has granted, in the order of the asks of `call`.
    pub(crate) fn apply_grants(
        &mut self,
        call: &PermitCall,
        grants: &[PermitGrant],
        now: MonoTime,
    ) {
        for (ask, grant) in call.asks.iter().zip(grants) {
            let Some(state) = self.states.get_mut(&incarnation_of(&ask.known)) else {
                continue;
            };
            // A malformed reply must not fill the memory with permits.
            let granted = grant.granted.min(ask.wanted);
            state.is_asking = false;
            state.granted += granted;
            state
                .ask_at
                .insert(call.keeper, now + grant.ask_again_after);
            let batch = permit_batch(granted, call.asked_at);
            state.queue.add(batch, now);
        }
    }

    /// Records that a keeper has not replied.
    pub(crate) fn record_failed_call(&mut self, call: &PermitCall, now: MonoTime) {
        let ask_at = now + Duration::from_millis(FAILED_ASK_PAUSE_MS);
        for ask in &call.asks {
            if let Some(state) = self.states.get_mut(&incarnation_of(&ask.known)) {
                state.is_asking = false;
                state.is_unreported = true;
                state.ask_at.insert(call.keeper, ask_at);
            }
        }
    }

    /// Grants permits to this VM for the time `passed` since the last call, because it reaches no
    /// keeper. `vms` is the number of entry VMs; `random` returns a number from 0 to 1.
    ///
    /// Each VM draws by itself, so that not all of them use a permit in the same moment.
    pub(crate) fn grant_alone(
        &mut self,
        vms: u32,
        passed: Duration,
        mut random: impl FnMut() -> f64,
        now: MonoTime,
    ) {
        for state in self.states.values_mut() {
            let Some(limit) = state.known.limit else {
                continue;
            };
            let expected =
                limit_policy(limit).alone_per_second * passed.as_secs_f64() / f64::from(vms.max(1));
            let fraction = expected.fract();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a saturated number of permits is more than enough"
            )]
            let permits = expected as u32 + u32::from(random() < fraction);
            state.queue.add(permit_batch(permits, now), now);
        }
    }

    fn limited(&self, target: &RelayTarget) -> Option<&LimitState> {
        if self.states.is_empty() {
            return None;
        }
        let state = self.states.get(&TargetIncarnation::of(target));
        state.filter(|state| state.known.limit.is_some())
    }

    fn limited_mut(&mut self, target: &RelayTarget) -> Option<&mut LimitState> {
        if self.states.is_empty() {
            return None;
        }
        let state = self.states.get_mut(&TargetIncarnation::of(target));
        state.filter(|state| state.known.limit.is_some())
    }
}

fn permit_batch(count: u32, asked_at: MonoTime) -> PermitBatch {
    PermitBatch {
        count,
        asked_at,
        ttl: Duration::from_millis(PERMIT_TTL_MS),
        grantor: None,
    }
}

fn incarnation_of(report: &LimitReport) -> TargetIncarnation {
    TargetIncarnation {
        id: Arc::clone(&report.target),
        born_ms: report.born_ms,
    }
}
