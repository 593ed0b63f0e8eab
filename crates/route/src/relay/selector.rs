//! The state of all targets by service: their trackers, notices, limits and budgets.

mod links;
mod permits;
mod pick;
mod quarantine;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_permits::RequestRank;

use super::{
    attempt_budget::{AttemptCharge, BudgetGrant, BudgetSnapshot, ExtraAttemptBudget},
    burst_share::BurstShare,
    crash::{CrashWatch, QuarantineTable, RequestFingerprint},
    link_watch::LinkWatch,
    notice_table::{NoticeChange, NoticeTable, TargetIncarnation, TargetNotice},
    permit_tables::{AttemptPermits, PermitTables},
    shard_group::{NearestTarget, ShardGroup, group_all_shards, group_shards},
    target_tracker::{AttemptSignal, Locality, TargetTracker},
};

pub use self::{
    links::LinkTarget,
    pick::{PickCriteria, TargetChoice, TargetPick},
};

/// Weight of the latest answer in the moving average of a service's latency.
const SERVICE_LATENCY_WEIGHT: f64 = 0.02;
/// Assumed average latency of a service before its first answer.
const SERVICE_LATENCY_DEFAULT_MS: f64 = 20.0;
/// One in this many connections to a target is left unassigned, since VMs may disagree on the
/// number of VMs.
const CONNECTIONS_RESERVED_DIVISOR: u32 = 10;

/// A target to which requests may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayTarget {
    /// Identifier, unique across all services.
    pub id: Arc<str>,
    /// Service whose requests the target runs.
    pub service: Arc<str>,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub centre: Arc<str>,
    /// Distance of the target from this VM.
    pub locality: Locality,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Distinguishes incarnations of the target.
    pub born_ms: u64,
    /// Remaining warm-up time when this VM first received an announcement of the target.
    pub warm_up_ms: u32,
}

/// The state of one target as observed by this VM, for status pages and logs.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSnapshot {
    /// The target.
    pub target: Arc<RelayTarget>,
    /// Attempts of this VM in flight.
    pub in_flight: u32,
    /// Expected number of requests that run or wait at the target, from all VMs.
    pub load: f64,
    /// Expected time to an answer plus penalties.
    pub score_ms: f64,
    /// Share of recent attempts that failed.
    pub failure_rate: f64,
}

/// Targets, budget of extra attempts and average latency of one service.
#[derive(Debug)]
struct RelayServiceState {
    trackers: Vec<TargetTracker>,
    budget: ExtraAttemptBudget,
    /// Moving average over the answers of targets in this data centre.
    latency_ms: f64,
    /// When the next caller that is refused because of limits should return.
    next_return_at: MonoTime,
}

impl Default for RelayServiceState {
    fn default() -> Self {
        Self {
            trackers: Vec::new(),
            budget: ExtraAttemptBudget::default(),
            latency_ms: SERVICE_LATENCY_DEFAULT_MS,
            next_return_at: MonoTime::ZERO,
        }
    }
}

/// Tracks all targets by service and selects a target for each attempt.
#[derive(Debug)]
pub struct TargetSelector {
    services: HashMap<Arc<str>, RelayServiceState>,
    limits: ExtraAttemptLimits,
    burst_share: BurstShare,
    notices: NoticeTable,
    permits: PermitTables,
    crashes: CrashWatch,
    quarantine: QuarantineTable,
    links: LinkWatch,
    last_ticket: u64,
}

impl TargetSelector {
    /// Returns a selector without targets.
    ///
    /// Before `burst_from`, extra attempts are limited to a small share of first attempts, since an
    /// earlier process of this VM may have spent the rest of the grant.
    #[must_use]
    pub fn new(limits: ExtraAttemptLimits, burst_from: MonoTime) -> Self {
        Self {
            services: HashMap::new(),
            burst_share: BurstShare::new(limits.window, burst_from),
            limits,
            notices: NoticeTable::default(),
            permits: PermitTables::default(),
            crashes: CrashWatch::default(),
            quarantine: QuarantineTable::default(),
            links: LinkWatch::default(),
            last_ticket: 0,
        }
    }

    /// Replaces the list of targets, and keeps the state of those whose entry is unchanged.
    ///
    /// `connections_max` returns how many connections a target of a service accepts from all entry
    /// VMs together.
    pub fn sync(
        &mut self,
        targets: Vec<RelayTarget>,
        connections_max: impl Fn(&str) -> Option<u32>,
        now: MonoTime,
    ) {
        self.notices.remove_expired(now);
        let successors = latest_at_address(&targets);
        self.permits.cold.sync(targets.iter(), now);
        let mut trackers: HashMap<Arc<str>, Vec<TargetTracker>> = HashMap::new();
        for target in targets {
            let limit = connections_max(&target.service);
            let share = self.connection_share(&target, limit);
            let known = self.remove_tracker(&target);
            let mut tracker = match known {
                Some(tracker) => tracker,
                None => TargetTracker::new(Arc::new(target), share, now),
            };
            tracker.connection_share = share;
            tracker.notice = self.notices.state_of(&tracker.target);
            let service = Arc::clone(&tracker.target.service);
            trackers.entry(service).or_default().push(tracker);
        }
        for state in self.services.values_mut() {
            state.trackers.clear();
        }
        let mut listed: HashSet<TargetIncarnation> = HashSet::new();
        for (service, trackers) in trackers {
            listed.extend(trackers.iter().map(|t| TargetIncarnation::of(&t.target)));
            self.services.entry(service).or_default().trackers = trackers;
        }
        self.crashes.sync(&listed, &successors, now);
        let is_listed = |incarnation: &TargetIncarnation| listed.contains(incarnation);
        self.permits.limits.remove_unlisted(is_listed, now);
    }

    /// Records the number of entry VMs, including this one, that a keeper has just reported.
    ///
    /// The shares of connections follow with the next [`Self::sync`].
    pub fn record_vm_count(&mut self, vms: u32, now: MonoTime) {
        self.burst_share.record_vm_count(vms.max(1), now);
    }

    /// Removes and returns the tracker of `target`, if it has the same incarnation, address and
    /// slots.
    fn remove_tracker(&mut self, target: &RelayTarget) -> Option<TargetTracker> {
        let state = self.services.get_mut(&target.service)?;
        let is_same = |tracker: &TargetTracker| {
            let known = &tracker.target;
            known.id == target.id
                && known.born_ms == target.born_ms
                && known.address == target.address
                && known.slots == target.slots
        };
        let index = state.trackers.iter().position(is_same)?;
        Some(state.trackers.swap_remove(index))
    }

    /// Returns the number of connections that this VM may hold to a target.
    ///
    /// Without a limit, it is the number of slots of the target.
    ///
    /// Every VM may hold at least one, even if there are more VMs than connections: only few VMs
    /// use the same target at once, and a target rejects only the excess connections.
    fn connection_share(&self, target: &RelayTarget, limit: Option<u32>) -> u32 {
        let Some(limit) = limit.filter(|limit| *limit > 0) else {
            return target.slots.max(1);
        };
        let reserved = limit / CONNECTIONS_RESERVED_DIVISOR;
        ((limit - reserved) / self.burst_share.latest_vm_count()).max(1)
    }

    /// Counts the first attempt of a request that needs an answer of `service`.
    pub fn count_first_attempt(&mut self, service: &Arc<str>, now: MonoTime) {
        let limits = self.limits;
        if let Some(state) = self.services.get_mut(service) {
            state.budget.count_first_attempt(&limits, now);
        }
    }

    /// Takes one extra attempt from the budget of `service`; returns false if the budget is empty.
    pub fn try_acquire_extra(&mut self, service: &Arc<str>, now: MonoTime) -> bool {
        let (limits, grant) = (self.limits, self.grant(now));
        let state = self.services.get_mut(service);
        state.is_some_and(|s| s.budget.try_acquire_extra(&limits, grant, now))
    }

    /// Takes one extra attempt from the budget of each service that allows one, for a broker to
    /// send. Returns the indexes of these services.
    ///
    /// Load pattern: a broker runs the shards of many VMs and uses up its part of the burst, while
    /// those that hand over to it have no attempts of their own to use theirs for.
    pub fn lend_extra(&mut self, services: &[Arc<str>], now: MonoTime) -> Vec<usize> {
        let (limits, grant) = (self.limits, self.grant(now));
        let mut lent = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let state = self.services.get_mut(service);
            if state.is_some_and(|s| s.budget.try_charge_extra(&limits, grant, now)) {
                lent.push(index);
            }
        }
        lent
    }

    /// Takes back an extra attempt that was acquired at `acquired_at` and not sent.
    pub fn refund_extra(&mut self, service: &Arc<str>, acquired_at: MonoTime) {
        if let Some(state) = self.services.get_mut(service) {
            state.budget.refund_extra(&self.limits, acquired_at);
        }
    }

    /// Counts an attempt that is not charged to the budget of `service`.
    pub(crate) fn count_uncharged(
        &mut self,
        service: &Arc<str>,
        charge: AttemptCharge,
        now: MonoTime,
    ) {
        let limits = self.limits;
        if let Some(state) = self.services.get_mut(service) {
            state.budget.count_uncharged(charge, &limits, now);
        }
    }

    /// Returns the budgets that allow no extra attempt now and have denied some within the window.
    #[must_use]
    pub fn denying_budgets(&self, now: MonoTime) -> Vec<BudgetSnapshot> {
        let grant = self.grant(now);
        let snapshots = self
            .services
            .iter()
            .map(|(service, state)| state.budget.snapshot(service, &self.limits, grant, now));
        snapshots
            .filter(|snapshot| snapshot.counts.denied > 0 && snapshot.remaining < 1.0)
            .collect()
    }

    /// Returns the number of extra attempts that the budget of `service` still allows.
    #[must_use]
    pub fn extra_left(&self, service: &str, now: MonoTime) -> f64 {
        let state = self.services.get(service);
        let grant = self.grant(now);
        state.map_or(0.0, |s| s.budget.remaining(&self.limits, grant, now))
    }

    /// Returns what the budget of each service is granted now.
    fn grant(&self, now: MonoTime) -> BudgetGrant {
        self.burst_share.grant(self.limits.burst, now)
    }

    /// Returns the target of `service` that a VM uses while the broker in `centre` is silent. All VMs
    /// that know the same targets name the same one.
    #[must_use]
    pub fn fallback_target(&self, service: &str, centre: &str, now: MonoTime) -> Option<Arc<str>> {
        let trackers = self.services.get(service)?.trackers.iter();
        let in_centre = trackers.filter(|t| is_usable(t, now) && &*t.target.centre == centre);
        in_centre.map(|t| &t.target.id).min().cloned()
    }

    /// Records what a target has told this VM, itself or through a broker, and returns what is new.
    ///
    /// `spread` is a random number from 0 to 1, by which VMs return to the target at different
    /// times.
    pub fn record_notice(
        &mut self,
        target: &RelayTarget,
        notice: TargetNotice,
        spread: f64,
        now: MonoTime,
    ) -> NoticeChange {
        let (state, change) = self.notices.record(target, notice, spread, now);
        if let Some((tracker, _)) = self.tracker_mut(target) {
            tracker.notice = state;
        }
        change
    }

    /// Returns the known target of `service` with this id and incarnation.
    #[must_use]
    pub fn find_target(&self, service: &str, id: &str, born_ms: u64) -> Option<Arc<RelayTarget>> {
        let mut trackers = self.services.get(service)?.trackers.iter();
        let tracker = trackers.find(|t| &*t.target.id == id && t.target.born_ms == born_ms)?;
        Some(Arc::clone(&tracker.target))
    }

    /// Whether a request that was assigned to `target` may still be sent, now that a connection is
    /// open.
    ///
    /// Load pattern: a target asks for time, or a request is found to end targets, while attempts
    /// wait for a connection.
    #[must_use]
    pub fn may_send(
        &mut self,
        target: &RelayTarget,
        fingerprint: RequestFingerprint,
        permits: AttemptPermits,
        now: MonoTime,
    ) -> bool {
        let notice = self.notices.state_of(target);
        self.blocked_until(fingerprint, &target.service, now)
            .is_none()
            && !notice.has_left(now)
            && notice.closed_until(now).is_none()
            && self.permits.may_send(target, permits, now)
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self, target: &RelayTarget, now: MonoTime) {
        self.links.attempt_sent(target.address, now);
        if let Some((tracker, _)) = self.tracker_mut(target) {
            tracker.attempt_sent(now);
        }
    }

    /// Records the end of the attempt that was sent at `sent_at`.
    pub fn attempt_ended(
        &mut self,
        target: &RelayTarget,
        sent_at: MonoTime,
        signal: AttemptSignal,
        now: MonoTime,
    ) {
        self.permits.cold.record_attempt(target, signal, now);
        let Some((tracker, latency_ms)) = self.tracker_mut(target) else {
            return;
        };
        if let AttemptSignal::Answered { latency, .. } = signal
            && target.locality == Locality::Centre
        {
            *latency_ms += SERVICE_LATENCY_WEIGHT * (latency.as_secs_f64() * 1000.0 - *latency_ms);
        }
        tracker.attempt_ended(sent_at, signal, now);
        if matches!(signal, AttemptSignal::Answered { .. }) {
            self.notices.record_answer(target, now);
        }
    }

    /// Returns the tracker of a target and the average latency of its service.
    fn tracker_mut(&mut self, target: &RelayTarget) -> Option<(&mut TargetTracker, &mut f64)> {
        let state = self.services.get_mut(&target.service)?;
        let is_same = |tracker: &&mut TargetTracker| {
            tracker.target.id == target.id && tracker.target.born_ms == target.born_ms
        };
        let tracker = state.trackers.iter_mut().find(is_same)?;
        Some((tracker, &mut state.latency_ms))
    }

    /// Whether any target of `service` is known that has not left.
    #[must_use]
    pub fn has_target(&self, service: &str, now: MonoTime) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|state| state.trackers.iter().any(|t| is_usable(t, now)))
    }

    /// Returns when the first target of `service` accepts a request of this rank again, if none of
    /// them does now: they have asked for time, or have a limit and no permit.
    #[must_use]
    pub fn closed_until(
        &self,
        service: &str,
        rank: RequestRank,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let vms = self.burst_share.latest_vm_count();
        let trackers = &self.services.get(service)?.trackers;
        let usable = trackers.iter().filter(|tracker| is_usable(tracker, now));
        let mut first: Option<MonoTime> = None;
        for tracker in usable {
            let target = &tracker.target;
            let permits = &self.permits;
            let permit_at = permits.permit_expected_at(target, rank, vms, now);
            let closed_until = tracker.notice.closed_until(now);
            let until = closed_until.map_or(permit_at, |until| until.max(permit_at));
            if until <= now {
                return None;
            }
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Returns the groups of shards of a search that should be handed over to brokers.
    #[must_use]
    pub fn shard_groups(&self, services: &[Arc<str>], now: MonoTime) -> Vec<ShardGroup> {
        let nearest = services.iter().map(|service| self.nearest(service, now));
        group_shards(services, &nearest.collect::<Vec<_>>())
    }

    /// Returns the groups in which all shards of a request are handed over, since this VM has lost its
    /// links to targets.
    #[must_use]
    pub fn helper_groups(&self, services: &[Arc<str>], now: MonoTime) -> Vec<ShardGroup> {
        let nearest = services.iter().map(|service| self.nearest(service, now));
        group_all_shards(services, &nearest.collect::<Vec<_>>())
    }

    fn nearest(&self, service: &str, now: MonoTime) -> Option<NearestTarget> {
        let trackers = &self.services.get(service)?.trackers;
        let usable = trackers.iter().filter(|tracker| is_usable(tracker, now));
        let nearest = usable.min_by_key(|t| (t.target.locality, &t.target.centre))?;
        Some(NearestTarget {
            centre: Arc::clone(&nearest.target.centre),
            locality: nearest.target.locality,
        })
    }

    /// Returns the state of the targets of a service as observed by this VM.
    #[must_use]
    pub fn target_snapshots(&self, service: &str, now: MonoTime) -> Vec<TargetSnapshot> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let snapshot = |tracker: &TargetTracker| TargetSnapshot {
            target: Arc::clone(&tracker.target),
            in_flight: tracker.in_flight(),
            load: tracker.load(now),
            score_ms: tracker.score(state.latency_ms, now),
            failure_rate: tracker.failure_rate(now),
        };
        state.trackers.iter().map(snapshot).collect()
    }

    /// Estimates the time after which some target of a service has a free slot again, or accepts
    /// requests again.
    #[must_use]
    pub fn estimated_wait(&self, service: &str, rank: RequestRank, now: MonoTime) -> Duration {
        if let Some(reopens_at) = self.closed_until(service, rank, now) {
            return reopens_at.since(now);
        }
        let Some(state) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let rounds =
            |tracker: &TargetTracker| tracker.load(now) / f64::from(tracker.target.slots.max(1));
        let least = state.trackers.iter().map(rounds).fold(f64::MAX, f64::min);
        Duration::from_secs_f64(state.latency_ms * least.clamp(1.0, 100.0) / 1000.0)
    }
}

/// Returns the start of the latest target at each address.
fn latest_at_address(targets: &[RelayTarget]) -> HashMap<SocketAddr, u64> {
    let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
    for target in targets {
        let born_ms = latest.entry(target.address).or_default();
        *born_ms = target.born_ms.max(*born_ms);
    }
    latest
}

/// Whether a target still listens at its address and has not left.
fn is_usable(tracker: &TargetTracker, now: MonoTime) -> bool {
    !tracker.moved && !tracker.notice.has_left(now)
}
