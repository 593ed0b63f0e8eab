//! What is known about one target: load, latency and standing.

use std::{fmt, time::Duration};

use fulmarweir_base::{MonoTime, TargetRecord};
use statig::{blocking::StateMachine, prelude::*};

use crate::{
    ReportedLoad,
    eject::{EjectionEvent, EjectionMachine, State},
};

/// Age at which a load report counts for nothing.
const REPORT_AGE_MAX_MS: f64 = 1_000.0;
/// Weight of the latest attempt in the latency mean.
const LATENCY_WEIGHT: f64 = 0.1;
/// Half of a latency mean's weight is lost in this time without a new attempt.
const LATENCY_HALF_LIFE_MS: f64 = 3_000.0;
/// Latencies below this multiple of the service's median count as equal.
const LATENCY_BAND: f64 = 2.0;
/// Requests beyond its slots from which a target counts as loaded.
const WAITING_MAX: f64 = 2.0;
/// Factor from which a target is passed over while another holder is left.
const SLOW_FACTOR: f64 = 2.0;
const LATENCY_FACTOR_MAX: f64 = 64.0;
const SLOW_START_MS: f64 = 5_000.0;
const WARMTH_MIN: f64 = 0.1;
/// Time without new work for a target that refused and gave no hint.
const REFUSED_PAUSE_MS: u64 = 50;
const REFUSED_PAUSE_MAX_MS: u64 = 2_000;
const REFUSED_FACTOR: f64 = 8.0;
/// Versions remembered as gone for one target.
const GONE_VERSIONS_MAX: usize = 8;
/// Time for the target's next announcements to arrive, after which they count again.
const GONE_VERSION_MS: u64 = 10_000;

/// How an attempt's end bears on its target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TargetSignal {
    /// Answered as asked.
    Answered {
        latency: Duration,
        load: Option<ReportedLoad>,
    },
    /// Failed in a way that a healthy target does not.
    Failed,
    /// Refused without running.
    Refused { retry_after: Option<Duration> },
    /// No longer holds a version.
    VersionGone { version: u64 },
    /// Given up by the caller's side after this time.
    Abandoned { elapsed: Duration },
}

/// How a target may be used now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetStanding {
    /// As any other.
    Normal,
    /// For one attempt, to see whether it has recovered.
    Probe,
    /// Only when a shard has no other holder.
    Avoid,
}

/// A target as a candidate for one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetRating {
    pub(crate) standing: TargetStanding,
    /// Lower is better.
    pub(crate) score: f64,
    /// Whether requests wait for its slots.
    pub(crate) loaded: bool,
    /// Whether it takes much longer than the service's other targets.
    pub(crate) slow: bool,
    /// Share of its normal work that it may get, below 1 during slow start.
    pub(crate) warmth: f64,
    /// Whether it said that it no longer holds the version asked for.
    pub(crate) gone: bool,
}

/// A version that the target has said it no longer holds.
#[derive(Clone, Copy, Debug)]
struct GoneVersion {
    version: u64,
    until: MonoTime,
}

/// Load, latency and standing of one target, as seen from this VM.
pub(crate) struct TargetLoad {
    incarnation: u64,
    slots: u32,
    in_flight: u32,
    /// Last reported load less this VM's own share of it.
    others: f64,
    reported_at: MonoTime,
    latency_ms: Option<f64>,
    latency_at: MonoTime,
    refused_until: MonoTime,
    first_seen: MonoTime,
    gone: Vec<GoneVersion>,
    ejection: StateMachine<EjectionMachine>,
}

impl fmt::Debug for TargetLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetLoad")
            .field("in_flight", &self.in_flight)
            .field("others", &self.others)
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
            others: 0.0,
            reported_at: MonoTime::ZERO,
            latency_ms: None,
            latency_at: now,
            refused_until: MonoTime::ZERO,
            first_seen: now,
            gone: Vec::new(),
            ejection: EjectionMachine::default().state_machine(),
        }
    }

    /// Starts afresh when the target has restarted; attempts in flight stay counted.
    pub(crate) fn refresh(&mut self, target: &TargetRecord, now: MonoTime) {
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
        let refused = now < self.refused_until;
        let latency_factor = self.latency_factor(median, now);
        let mut score = (load + 1.0) / slots * latency_factor;
        if refused {
            score *= REFUSED_FACTOR;
        }
        TargetRating {
            standing: self.standing(now),
            score,
            loaded: refused || load >= slots + WAITING_MAX,
            slow: latency_factor >= SLOW_FACTOR,
            warmth: self.warmth(now),
            gone: self.lacks(version, now),
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
                self.take_report(load, now);
            }
            TargetSignal::Failed => self.ejection.handle(&EjectionEvent::Failure(now)),
            TargetSignal::Refused { retry_after } => self.pause(retry_after, now),
            TargetSignal::VersionGone { version } => self.forget_version(version, now),
            TargetSignal::Abandoned { elapsed } => {
                let elapsed = millis(elapsed);
                if self.latency_ms.is_none_or(|mean| mean < elapsed) {
                    self.add_latency(elapsed, now);
                }
            }
        }
    }

    fn standing(&mut self, now: MonoTime) -> TargetStanding {
        if !self.is_ejected() {
            return TargetStanding::Normal;
        }
        self.ejection.handle(&EjectionEvent::Tick(now));
        match self.ejection.state() {
            State::Probing { .. } if self.in_flight == 0 => TargetStanding::Probe,
            _ => TargetStanding::Avoid,
        }
    }

    /// Own attempts plus what others are believed to run, which ages out.
    fn expected_load(&self, now: MonoTime) -> f64 {
        let age = millis(now.since(self.reported_at));
        let freshness = (1.0 - age / REPORT_AGE_MAX_MS).max(0.0);
        f64::from(self.in_flight) + self.others * freshness
    }

    fn latency_factor(&self, median: Option<Duration>, now: MonoTime) -> f64 {
        let (Some(mean), Some(median)) = (self.latency_ms, median) else {
            return 1.0;
        };
        let band = millis(median).max(0.001) * LATENCY_BAND;
        let age = millis(now.since(self.latency_at));
        let weight = (-age / LATENCY_HALF_LIFE_MS).exp2();
        let excess = (mean / band - 1.0).max(0.0) * weight;
        (1.0 + excess).min(LATENCY_FACTOR_MAX)
    }

    /// Share of its normal work that the target may get since it started or recovered.
    fn warmth(&self, now: MonoTime) -> f64 {
        let start = self.ejection.inner().restored().unwrap_or(self.first_seen);
        (millis(now.since(start)) / SLOW_START_MS).clamp(WARMTH_MIN, 1.0)
    }

    fn add_latency(&mut self, latency_ms: f64, now: MonoTime) {
        let mean = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(mean + LATENCY_WEIGHT * (latency_ms - mean));
        self.latency_at = now;
    }

    fn take_report(&mut self, load: Option<ReportedLoad>, now: MonoTime) {
        let Some(load) = load else {
            return;
        };
        let total = f64::from(load.in_flight) + f64::from(load.queued);
        // A target that reports too much must not look busy for ever, nor overflow scores.
        let ceiling = f64::from(self.slots) * REFUSED_FACTOR;
        self.others = (total - f64::from(self.in_flight)).clamp(0.0, ceiling);
        self.reported_at = now;
    }

    fn pause(&mut self, retry_after: Option<Duration>, now: MonoTime) {
        let longest = Duration::from_millis(REFUSED_PAUSE_MAX_MS);
        let pause = retry_after.unwrap_or(Duration::from_millis(REFUSED_PAUSE_MS));
        self.refused_until = self.refused_until.max(now + pause.min(longest));
    }

    fn lacks(&self, version: u64, now: MonoTime) -> bool {
        self.gone
            .iter()
            .any(|gone| gone.version == version && now < gone.until)
    }

    fn forget_version(&mut self, version: u64, now: MonoTime) {
        self.gone
            .retain(|gone| gone.version != version && now < gone.until);
        if self.gone.len() >= GONE_VERSIONS_MAX {
            self.gone.remove(0);
        }
        let until = now + Duration::from_millis(GONE_VERSION_MS);
        self.gone.push(GoneVersion { version, until });
    }
}
