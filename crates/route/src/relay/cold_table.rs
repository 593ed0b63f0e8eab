//! Which targets are cold, and the permits to send to them.
//!
//! Load pattern: the targets of a data centre return at once, and all VMs find them within 100 ms.
//! Each of them tolerates a few requests a second from all VMs together until it is warm, so each
//! attempt needs a permit of a keeper. A target may also become cold without a restart.
//!
//! A target that has been out of reach counts as cold until keepers have had time to tell. VMs that
//! reach no keeper check by themselves whether a target that they use is still warm.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{
    RateCall, RateGrant, RateKey, RateLedger, RateLimit, RequestRank, SendPermit, WaitTimes,
};

use super::{
    notice_table::TargetIncarnation, selector::RelayTarget, target_tracker::AttemptSignal,
};

/// Time after the return of a target for which it counts as cold unless it says otherwise, in
/// milliseconds. A target announces itself every 1.2 s, and keepers pass on at once that it is cold.
const UNKNOWN_MS: u64 = 4_000;
/// Time for which a target is warm that has said so to this VM while it reaches no keeper, and the
/// shortest and the longest pause between two checks, in milliseconds.
const CHECKED_TTL_MS: u64 = 1_000;
const CHECK_PAUSE_MIN_MS: u64 = 500;
const CHECK_PAUSE_MAX_MS: u64 = 750;
/// Time after the last request that would suit a target in which it is checked, in milliseconds.
const DEMAND_TTL_MS: u64 = 1_000;
/// Most targets that are checked at once.
const CHECKS_MAX: usize = 8;
/// Time after which the state of a target that is not listed any more is forgotten, in milliseconds.
const UNLISTED_TTL_MS: u64 = 600_000;
/// Time by which the end of a cold time must change to be worth a log line, in milliseconds.
const CHANGE_MIN_MS: u64 = 500;

/// What a target has told of its warm-up, itself or through a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WarmUpReport {
    /// Id of the target.
    pub target: Arc<str>,
    /// Distinguishes incarnations of the target.
    pub born_ms: u64,
    /// Orders the announcements of an incarnation; `None` for what this VM has heard itself.
    pub sequence: Option<u64>,
    /// Time for which the target is still cold.
    pub cold_for: Duration,
}

/// What is known of the warm-up of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
struct ColdState {
    /// Until when the target is cold, as it has told.
    cold_until: MonoTime,
    /// Sequence number of the latest announcement.
    sequence: u64,
    /// Whether the last attempt of this VM did not reach the target.
    is_unreached: bool,
    /// Until when the target counts as cold since it has returned.
    unknown_until: MonoTime,
    /// Until when the target counts as warm while no keeper tells.
    checked_until: MonoTime,
    check_at: MonoTime,
    wanted_at: Option<MonoTime>,
    unlisted_at: Option<MonoTime>,
}

impl ColdState {
    fn is_cold(&self, are_keepers_lost: bool, now: MonoTime) -> bool {
        now < self.cold_until
            || now < self.unknown_until
            || self.is_unreached
            || (are_keepers_lost && now >= self.checked_until)
    }

    fn record_return(&mut self, now: MonoTime) {
        self.unknown_until = now + Duration::from_millis(UNKNOWN_MS);
    }
}

/// The warm-up of all targets, by incarnation, and the permits for those that are cold.
#[derive(Debug, Default)]
pub(crate) struct ColdTable {
    /// Version of the configuration that `rates` are from.
    version: u64,
    /// Requests per second that a cold target takes, by service; services without a bound are absent.
    rates: HashMap<Arc<str>, f64>,
    states: HashMap<TargetIncarnation, ColdState>,
    ledger: RateLedger,
    are_keepers_lost: bool,
    /// Whether requests wait for permits that no keeper was asked for yet.
    is_urgent: bool,
}

impl ColdTable {
    /// Puts the rates of a configuration in force.
    pub(crate) fn set_rates(&mut self, version: u64, rates: HashMap<Arc<str>, f64>) {
        self.version = version;
        self.rates = rates;
    }

    /// Records which targets are listed. One that was not listed counts as cold when it returns.
    pub(crate) fn sync<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a RelayTarget>,
        now: MonoTime,
    ) {
        let mut listed = HashSet::new();
        for target in targets {
            let incarnation = TargetIncarnation::of(target);
            let state = self.states.entry(incarnation.clone());
            let state = state.or_insert_with(|| ColdState {
                cold_until: now + Duration::from_millis(target.warm_up_ms.into()),
                ..ColdState::default()
            });
            if state.unlisted_at.take().is_some() {
                state.record_return(now);
            }
            listed.insert(incarnation);
        }
        let ttl = Duration::from_millis(UNLISTED_TTL_MS);
        self.states.retain(|incarnation, state| {
            if listed.contains(incarnation) {
                return true;
            }
            now.since(*state.unlisted_at.get_or_insert(now)) < ttl
        });
    }

    /// Records what a target has told; returns until when it is cold, if that is news.
    pub(crate) fn record(&mut self, report: &WarmUpReport, now: MonoTime) -> Option<MonoTime> {
        let incarnation = TargetIncarnation {
            id: Arc::clone(&report.target),
            born_ms: report.born_ms,
        };
        let state = self.states.entry(incarnation).or_default();
        match report.sequence {
            // Keepers repeat what they know, and know it at different times.
            Some(sequence) if sequence <= state.sequence => return None,
            Some(sequence) => state.sequence = sequence,
            None => {
                state.is_unreached = false;
                state.unknown_until = now;
                state.checked_until = now + Duration::from_millis(CHECKED_TTL_MS);
            }
        }
        let (before, after) = (state.cold_until.max(now), now + report.cold_for);
        state.cold_until = after;
        let change = after.since(before).max(before.since(after));
        (change >= Duration::from_millis(CHANGE_MIN_MS)).then_some(after)
    }

    /// Records the end of an attempt. A target that was out of reach counts as cold when it returns.
    pub(crate) fn record_attempt(
        &mut self,
        target: &RelayTarget,
        signal: AttemptSignal,
        now: MonoTime,
    ) {
        if !self.rates.contains_key(&target.service) {
            return;
        }
        let Some(state) = self.states.get_mut(&TargetIncarnation::of(target)) else {
            return;
        };
        match signal {
            AttemptSignal::Unreachable => state.is_unreached = true,
            AttemptSignal::Answered { .. } | AttemptSignal::Failed | AttemptSignal::Refused => {
                if std::mem::take(&mut state.is_unreached) {
                    state.record_return(now);
                }
            }
            AttemptSignal::OverLimit
            | AttemptSignal::Moved
            | AttemptSignal::Abandoned
            | AttemptSignal::Neutral => {}
        }
    }

    /// Records that `target` may be reached again after an outage.
    pub(crate) fn record_return(&mut self, target: &RelayTarget, now: MonoTime) {
        if let Some(state) = self.states.get_mut(&TargetIncarnation::of(target)) {
            state.record_return(now);
        }
    }

    /// Records whether no keeper tells which targets are cold.
    pub(crate) fn set_keepers_lost(&mut self, are_lost: bool) {
        self.are_keepers_lost = are_lost;
    }

    /// Returns the targets, of those in `targets`, that this VM must ask whether they are warm.
    /// `random` returns a number from 0 to 1, by which VMs ask at different times.
    pub(crate) fn due_checks<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Arc<RelayTarget>>,
        mut random: impl FnMut() -> f64,
        now: MonoTime,
    ) -> Vec<Arc<RelayTarget>> {
        if !self.are_keepers_lost || self.rates.is_empty() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for target in targets.filter(|target| self.rates.contains_key(&target.service)) {
            let Some(state) = self.states.get_mut(&TargetIncarnation::of(target)) else {
                continue;
            };
            let demand_ttl = Duration::from_millis(DEMAND_TTL_MS);
            let is_wanted = state.wanted_at.is_some_and(|at| now.since(at) < demand_ttl);
            if !is_wanted || now < state.cold_until || now < state.check_at {
                continue;
            }
            let span = Duration::from_millis(CHECK_PAUSE_MAX_MS - CHECK_PAUSE_MIN_MS);
            let pause = Duration::from_millis(CHECK_PAUSE_MIN_MS) + span.mul_f64(random());
            state.check_at = now + pause;
            due.push(Arc::clone(target));
            if due.len() >= CHECKS_MAX {
                break;
            }
        }
        due
    }

    /// Whether `target` is cold, so that attempts need permits.
    pub(crate) fn is_cold(&self, target: &RelayTarget, now: MonoTime) -> bool {
        self.cold_key(target, now).is_some()
    }

    /// Whether a request may be sent to `target` now, i.e. the target is warm, or there is a permit
    /// that no request with a better rank waits for.
    pub(crate) fn allows(&self, target: &RelayTarget, rank: RequestRank, now: MonoTime) -> bool {
        let key = self.cold_key(target, now);
        key.is_none_or(|key| self.ledger.has_permit(&key, rank, now))
    }

    /// Whether a keeper that may have permits for `target` can be asked now.
    pub(crate) fn can_ask(&self, target: &RelayTarget, now: MonoTime) -> bool {
        let key = self.cold_key(target, now);
        key.is_some_and(|key| {
            !self.ledger.is_alone() && self.ledger.denied_until(&key, now).is_none()
        })
    }

    /// Returns when a request of this rank can expect a permit for `target`. `vms` is the number of
    /// entry VMs.
    pub(crate) fn permit_expected_at(
        &self,
        target: &RelayTarget,
        rank: RequestRank,
        vms: u32,
        now: MonoTime,
    ) -> MonoTime {
        let key = self.cold_key(target, now);
        key.map_or(now, |key| {
            self.ledger.permit_expected_at(&key, rank, vms, now)
        })
    }

    /// Returns the permits per second that this VM can expect for `target`, `None` if that is warm.
    pub(crate) fn permit_rate(&self, target: &RelayTarget, vms: u32, now: MonoTime) -> Option<f64> {
        let key = self.cold_key(target, now)?;
        Some(self.ledger.permit_rate(&key, vms, now))
    }

    /// Records a request that `target` would suit best.
    pub(crate) fn record_demand(&mut self, target: &RelayTarget, now: MonoTime) {
        if self.rates.is_empty() {
            return;
        }
        if self.are_keepers_lost
            && let Some(state) = self.states.get_mut(&TargetIncarnation::of(target))
        {
            state.wanted_at = Some(now);
        }
        if let Some(key) = self.open_key(target, now) {
            self.ledger.record_demand(&key, now);
        }
    }

    /// Lets a request wait for a permit for `target`, if that is cold.
    pub(crate) fn wait(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        times: WaitTimes,
        now: MonoTime,
    ) {
        if let Some(key) = self.open_key(target, now) {
            self.ledger.wait(&key, rank, times, now);
            self.is_urgent = true;
        }
    }

    /// Forgets a request that does not wait for permits any more.
    pub(crate) fn stop_waiting(&mut self, ticket: u64) {
        self.ledger.stop_all_waiting(ticket);
    }

    /// Takes a permit for `target`, if that is cold and a permit is left.
    pub(crate) fn take_permit(
        &mut self,
        target: &RelayTarget,
        rank: RequestRank,
        now: MonoTime,
    ) -> Option<SendPermit> {
        let key = self.cold_key(target, now)?;
        self.ledger.take(&key, rank, now)
    }

    /// Gives a permit back whose attempt was not sent.
    pub(crate) fn refund_permit(&mut self, target: &RelayTarget, permit: SendPermit) {
        self.ledger.refund(&key_of(target), permit);
    }

    /// Whether an attempt may be sent to `target` now that a connection is open, given its permit.
    pub(crate) fn may_send(
        &mut self,
        target: &RelayTarget,
        permit: Option<SendPermit>,
        now: MonoTime,
    ) -> bool {
        let Some(key) = self.cold_key(target, now) else {
            return true;
        };
        let is_valid = permit.is_some_and(|permit| permit.is_valid(now));
        is_valid || self.ledger.try_take(&key, now).is_some()
    }

    /// Returns whether permits should be asked for at once, and clears this mark.
    pub(crate) fn take_urgency(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Returns the calls for permits that are due (see [`RateLedger::due_calls`]).
    pub(crate) fn due_calls(&mut self, keepers: &[SocketAddr], now: MonoTime) -> Vec<RateCall> {
        self.ledger.due_calls(keepers, now)
    }

    /// Returns the time after which calls may be due; `None` while no permits are needed.
    pub(crate) fn poll_after(&self) -> Option<Duration> {
        self.ledger.poll_after()
    }

    /// Applies the reply of a keeper, `None` if there is none.
    pub(crate) fn apply_reply(
        &mut self,
        call: &RateCall,
        grants: Option<&[RateGrant]>,
        now: MonoTime,
    ) {
        match grants {
            Some(grants) => self.ledger.apply_grants(call, grants, now),
            None => self.ledger.record_failed_call(call, now),
        }
    }

    /// Grants permits to this VM for the time `passed`, if it reaches no keeper.
    pub(crate) fn grant_alone(
        &mut self,
        vms: u32,
        passed: Duration,
        random: impl FnMut() -> f64,
        now: MonoTime,
    ) {
        self.ledger.grant_alone(vms, passed, random, now);
    }

    /// Returns the key of `target` if that is cold, with its rate in force in the ledger.
    fn open_key(&mut self, target: &RelayTarget, now: MonoTime) -> Option<RateKey> {
        let key = self.cold_key(target, now)?;
        let limit = RateLimit {
            version: self.version,
            per_second: *self.rates.get(&target.service)?,
            burst: 0.0,
        };
        self.ledger.set_limit(&key, limit, now);
        Some(key)
    }

    /// Returns the key of `target` if that is cold and its service has a rate.
    fn cold_key(&self, target: &RelayTarget, now: MonoTime) -> Option<RateKey> {
        if self.rates.is_empty() || !self.rates.contains_key(&target.service) {
            return None;
        }
        let state = self.states.get(&TargetIncarnation::of(target));
        let is_cold = state.is_none_or(|state| state.is_cold(self.are_keepers_lost, now));
        is_cold.then(|| key_of(target))
    }
}

fn key_of(target: &RelayTarget) -> RateKey {
    RateKey::Cold {
        target: Arc::clone(&target.id),
        born_ms: target.born_ms,
    }
}
