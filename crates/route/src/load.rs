//! Load, latency and health of one target.

use std::{fmt, time::Duration};

use fulmarweir_base::{MonoTime, TargetRecord};
use statig::{blocking::StateMachine, prelude::*};

use crate::{
    ReportedLoad,
    eject::{EjectionEvent, EjectionMachine, State},
};

/// Age at which a load report no longer counts.
const REPORT_AGE_MAX_MS: f64 = 1_000.0;
/// Weight of the latest attempt in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Half-life of the average's effect on the score while no new latency is recorded.
const LATENCY_HALF_LIFE_MS: f64 = 3_000.0;
/// Multiple of the service's median latency up to which latencies count as equal.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Requests in excess of its slots from which a target counts as saturated.
const QUEUED_MAX: f64 = 2.0;
/// Latency factor from which a target is used only if no other replica is left.
const SLOW_LATENCY_FACTOR: f64 = 2.0;
const LATENCY_FACTOR_MAX: f64 = 64.0;
const SLOW_START_MS: f64 = 5_000.0;
const SLOW_START_SHARE_MIN: f64 = 0.1;
/// Backoff after a refusal without a retry delay.
const REFUSAL_BACKOFF_MS: u64 = 50;
const REFUSAL_BACKOFF_MAX_MS: u64 = 2_000;
/// Factor on the score of a target in backoff; also the most requests per slot that a load report
/// can account for.
const OVERLOAD_FACTOR: f64 = 8.0;
/// Versions remembered per target as no longer held.
const GONE_VERSIONS_MAX: usize = 8;
/// Time for which a version counts as no longer held, whatever the target announces. By then its
/// announcements are up to date.
const GONE_VERSION_TTL_MS: u64 = 10_000;

/// The end of an attempt, as input to the state of its target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TargetSignal {
    /// The target answered with a valid reply.
    Answered {
        latency: Duration,
        load: Option<ReportedLoad>,
    },
    /// The attempt failed in a way that does not occur with a healthy target.
    Failed,
    /// The target refused the attempt without running it.
    Refused { retry_after: Option<Duration> },
    /// The target no longer holds the version.
    VersionGone { version: u64 },
    /// The attempt was cancelled after this time.
    Abandoned { elapsed: Duration },
}

/// Which attempts a target may get now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetEligibility {
    /// Any attempt.
    Normal,
    /// One attempt at a time, to find out whether the target has recovered.
    ProbeOnly,
    /// Attempts for shards that no other target can serve.
    LastResort,
}

/// A target as a candidate for one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetRating {
    pub(crate) eligibility: TargetEligibility,
    /// Lower is better.
    pub(crate) score: f64,
    /// Whether a new request would have to queue at the target, or the target refused one recently.
    pub(crate) saturated: bool,
    /// Whether the target is much slower than the service's other targets.
    pub(crate) slow: bool,
    /// Share of its normal number of attempts that the target may get; below 1 during slow start.
    pub(crate) slow_start_share: f64,
    /// Whether the target replied recently that it no longer holds the requested version.
    pub(crate) version_gone: bool,
}

/// A version that the target no longer holds, according to one of its replies.
#[derive(Clone, Copy, Debug)]
struct GoneVersion {
    version: u64,
    until: MonoTime,
}

/// Load, latency and health of one target, as observed from this VM.
pub(crate) struct TargetLoad {
    incarnation: u64,
    slots: u32,
    in_flight: u32,
    /// Requests from other VMs: the last reported load less this VM's own attempts.
    external_load: f64,
    reported_at: MonoTime,
    latency_ms: Option<f64>,
    latency_updated_at: MonoTime,
    backoff_until: MonoTime,
    first_seen_at: MonoTime,
    gone_versions: Vec<GoneVersion>,
    ejection: StateMachine<EjectionMachine>,
}

impl fmt::Debug for TargetLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetLoad")
            .field("in_flight", &self.in_flight)
            .field("external_load", &self.external_load)
            .field("latency_ms", &self.latency_ms)
            .field("ejection", self.ejection.state())
            .finish_non_exhaustive()
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

impl TargetLoad {
    pub(crate) fn new(target: &TargetRecord, now: MonoTime) -> Self {
        Self {
            incarnation: target.incarnation,
            slots: target.slots.max(1),
            in_flight: 0,
            external_load: 0.0,
            reported_at: MonoTime::ZERO,
            latency_ms: None,
            latency_updated_at: now,
            backoff_until: MonoTime::ZERO,
            first_seen_at: now,
            gone_versions: Vec::new(),
            ejection: EjectionMachine::default().state_machine(),
        }
    }

    /// Discards all observations if the target has restarted; attempts in flight stay counted.
    pub(crate) fn reset_if_restarted(&mut self, target: &TargetRecord, now: MonoTime) {
        if target.incarnation <= self.incarnation {
            return;
        }
        let in_flight = self.in_flight;
        *self = Self::new(target, now);
        self.in_flight = in_flight;
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn is_ejected(&self) -> bool {
        !matches!(self.ejection.state(), State::Serving {})
    }

    pub(crate) fn rate(
        &mut self,
        version: u64,
        median: Option<Duration>,
        now: MonoTime,
    ) -> TargetRating {
        let load = self.expected_load(now);
        let slots = f64::from(self.slots);
        let refused = now < self.backoff_until;
        let latency_factor = self.latency_factor(median, now);
        let mut score = (load + 1.0) / slots * latency_factor;
        if refused {
            score *= OVERLOAD_FACTOR;
        }
        TargetRating {
            eligibility: self.eligibility(now),
            score,
            saturated: refused || load >= slots + QUEUED_MAX,
            slow: latency_factor >= SLOW_LATENCY_FACTOR,
            slow_start_share: self.slow_start_share(now),
            version_gone: self.lacks_version(version, now),
        }
    }

    pub(crate) fn attempt_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn attempt_ended(&mut self, signal: TargetSignal, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match signal {
            TargetSignal::Answered { latency, load } => {
                self.ejection.handle(&EjectionEvent::Success(now));
                self.add_latency(millis(latency), now);
                self.record_report(load, now);
            }
            TargetSignal::Failed => self.ejection.handle(&EjectionEvent::Failure(now)),
            TargetSignal::Refused { retry_after } => self.back_off(retry_after, now),
            TargetSignal::VersionGone { version } => self.mark_version_gone(version, now),
            TargetSignal::Abandoned { elapsed } => {
                let elapsed = millis(elapsed);
                if self.latency_ms.is_none_or(|mean| mean < elapsed) {
                    self.add_latency(elapsed, now);
                }
            }
        }
    }

    fn eligibility(&mut self, now: MonoTime) -> TargetEligibility {
        if !self.is_ejected() {
            return TargetEligibility::Normal;
        }
        self.ejection.handle(&EjectionEvent::Tick(now));
        match self.ejection.state() {
            State::Probing { .. } if self.in_flight == 0 => TargetEligibility::ProbeOnly,
            _ => TargetEligibility::LastResort,
        }
    }

    /// Returns the attempts of this VM plus the estimated load from other VMs, which decays with
    /// the age of the report.
    fn expected_load(&self, now: MonoTime) -> f64 {
        let age = millis(now.since(self.reported_at));
        let freshness = (1.0 - age / REPORT_AGE_MAX_MS).max(0.0);
        f64::from(self.in_flight) + self.external_load * freshness
    }

    fn latency_factor(&self, median: Option<Duration>, now: MonoTime) -> f64 {
        let (Some(mean), Some(median)) = (self.latency_ms, median) else {
            return 1.0;
        };
        let tolerated = millis(median).max(0.001) * LATENCY_TOLERANCE;
        let age = millis(now.since(self.latency_updated_at));
        let weight = (-age / LATENCY_HALF_LIFE_MS).exp2();
        let excess = (mean / tolerated - 1.0).max(0.0) * weight;
        (1.0 + excess).min(LATENCY_FACTOR_MAX)
    }

    /// Returns the share of attempts that the target may get, which grows linearly from its first
    /// use or its recovery on.
    fn slow_start_share(&self, now: MonoTime) -> f64 {
        let start = self
            .ejection
            .inner()
            .restored_at()
            .unwrap_or(self.first_seen_at);
        (millis(now.since(start)) / SLOW_START_MS).clamp(SLOW_START_SHARE_MIN, 1.0)
    }

    fn add_latency(&mut self, latency_ms: f64, now: MonoTime) {
        let mean = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(mean + LATENCY_WEIGHT * (latency_ms - mean));
        self.latency_updated_at = now;
    }

    fn record_report(&mut self, load: Option<ReportedLoad>, now: MonoTime) {
        let Some(load) = load else {
            return;
        };
        let total = f64::from(load.in_flight) + f64::from(load.queued);
        // An excessive load report must not make a target look busy forever or overflow the score.
        let ceiling = f64::from(self.slots) * OVERLOAD_FACTOR;
        self.external_load = (total - f64::from(self.in_flight)).clamp(0.0, ceiling);
        self.reported_at = now;
    }

    fn back_off(&mut self, retry_after: Option<Duration>, now: MonoTime) {
        let longest = Duration::from_millis(REFUSAL_BACKOFF_MAX_MS);
        let pause = retry_after.unwrap_or(Duration::from_millis(REFUSAL_BACKOFF_MS));
        self.backoff_until = self.backoff_until.max(now + pause.min(longest));
    }

    fn lacks_version(&self, version: u64, now: MonoTime) -> bool {
        self.gone_versions
            .iter()
            .any(|gone| gone.version == version && now < gone.until)
    }

    fn mark_version_gone(&mut self, version: u64, now: MonoTime) {
        self.gone_versions
            .retain(|gone| gone.version != version && now < gone.until);
        if self.gone_versions.len() >= GONE_VERSIONS_MAX {
            self.gone_versions.remove(0);
        }
        let until = now + Duration::from_millis(GONE_VERSION_TTL_MS);
        self.gone_versions.push(GoneVersion { version, until });
    }
}
