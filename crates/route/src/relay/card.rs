//! What is known of one target: its load, latency and failures as requests saw them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;

use super::selector::RelayTarget;
use crate::ReportedLoad;

/// Least weight of the latest attempt in the mean latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Time since the attempt before, after which the latest one weighs 1 - 1/e: a VM that sees
/// few attempts must learn from each.
const LATENCY_SPAN_MS: f64 = 800.0;
/// One sample counts for at most this multiple of the mean: a short pause is no slow target.
const LATENCY_SAMPLE_MAX: f64 = 2.5;
/// Time in which a mean latency loses half of its weight against the expectation.
const LATENCY_HALF_LIFE_MS: f64 = 2_000.0;
/// Age at which a load report counts for nothing.
const REPORT_AGE_MAX_MS: f64 = 800.0;
/// Expected latency of a target that has not answered yet, without the way to it.
const LATENCY_DEFAULT_MS: f64 = 20.0;
/// Expected time for the way to a target and back.
const REGION_WAY_MS: f64 = 3.0;
const FAR_WAY_MS: f64 = 30.0;
/// What the bytes to another region cost, expressed as a delay.
const FAR_BIAS_MS: f64 = 30.0;
/// Weight of the latest attempt in the failure rate, and the time in which the rate halves.
const FAILURE_WEIGHT: f64 = 0.25;
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
/// Delay that a certain failure counts as: the time until another target is asked.
const FAILURE_COST_MS: f64 = 250.0;
/// An open attempt this many times older than the mean marks a target that has stopped answering.
const OVERDUE_FACTOR: f64 = 2.5;
const OVERDUE_MIN_MS: f64 = 25.0;
const OVERDUE_COST_MS: f64 = 100.0;
/// Time without new work after a refusal that gave no hint, and the most that a hint may ask for.
const REFUSED_PAUSE_MS: u64 = 60;
const REFUSED_PAUSE_MAX_MS: u64 = 1_000;
const REFUSED_COST_MS: f64 = 80.0;
/// First and longest time that a target counts as down after its connections failed.
const DOWN_FIRST_MS: u64 = 150;
const DOWN_MAX_MS: u64 = 2_000;
const DOWN_COST_MS: f64 = 1_000.0;
/// A target that warms up takes this much longer.
const WARM_UP_FACTOR: f64 = 1.6;
/// Spreads choices between equally good targets.
const LOAD_TILT_MS: f64 = 3.0;

/// How far a target is from this VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// In the same data centre.
    Centre,
    /// In another data centre of the same region.
    Region,
    /// In another region.
    Far,
}

impl Locality {
    /// The label of this distance in metrics; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Centre => "centre",
            Self::Region => "region",
            Self::Far => "far",
        }
    }

    const fn way_ms(self) -> f64 {
        match self {
            Self::Centre => 0.0,
            Self::Region => REGION_WAY_MS,
            Self::Far => FAR_WAY_MS,
        }
    }

    const fn bias_ms(self) -> f64 {
        match self {
            Self::Centre | Self::Region => 0.0,
            Self::Far => FAR_BIAS_MS,
        }
    }
}

/// How an attempt's end bears on its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptSignal {
    /// Answered as asked.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// Load that came with the answer.
        load: Option<ReportedLoad>,
    },
    /// Failed in a way that a healthy target does not.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// Refused without running.
    Refused {
        /// When it may be asked again.
        retry_after: Option<Duration>,
    },
    /// Another target listens at its address.
    Moved,
    /// Given up while no answer had come.
    Abandoned,
    /// Says nothing about the target.
    Neutral,
}

#[derive(Debug)]
pub(crate) struct TargetCard {
    pub(crate) target: Arc<RelayTarget>,
    /// Connections that this VM may hold to it.
    pub(crate) connections: u32,
    /// When each open attempt was sent, oldest first.
    open: VecDeque<MonoTime>,
    others: f64,
    reported_at: MonoTime,
    latency_ms: f64,
    latency_at: MonoTime,
    failure_rate: f64,
    failed_at: MonoTime,
    refused_until: MonoTime,
    down_until: MonoTime,
    strikes: u32,
    warm_until: MonoTime,
    pub(crate) moved: bool,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

impl TargetCard {
    pub(crate) fn new(target: Arc<RelayTarget>, connections: u32, now: MonoTime) -> Self {
        let warm_until = now + Duration::from_millis(target.warm_up_ms.into());
        let latency_ms = LATENCY_DEFAULT_MS + target.locality.way_ms();
        Self {
            target,
            connections,
            open: VecDeque::new(),
            others: 0.0,
            reported_at: MonoTime::ZERO,
            latency_ms,
            latency_at: MonoTime::ZERO,
            failure_rate: 0.0,
            failed_at: MonoTime::ZERO,
            refused_until: MonoTime::ZERO,
            down_until: MonoTime::ZERO,
            strikes: 0,
            warm_until,
            moved: false,
        }
    }

    /// Attempts of this VM that are open.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn has_room(&self) -> bool {
        self.in_flight() < self.connections
    }

    /// Whether its connections failed a moment ago.
    pub(crate) fn is_down(&self, now: MonoTime) -> bool {
        now < self.down_until
    }

    /// Whether it refused work a moment ago, or more waits there than it runs.
    pub(crate) fn is_full(&self, now: MonoTime) -> bool {
        now < self.refused_until || self.load(now) >= 2.0 * f64::from(self.target.slots.max(1))
    }

    /// Requests that it is expected to run or hold, those of other VMs included.
    pub(crate) fn load(&self, now: MonoTime) -> f64 {
        let age = millis(now.since(self.reported_at));
        let weight = (1.0 - age / REPORT_AGE_MAX_MS).max(0.0);
        f64::from(self.in_flight()) + self.others * weight
    }

    /// Expected time until it answers, with penalties; the lowest is chosen.
    pub(crate) fn score(&self, work_ms: f64, now: MonoTime) -> f64 {
        let locality = self.target.locality;
        let expected = work_ms + locality.way_ms();
        let age = millis(now.since(self.latency_at));
        let weight = (-age / LATENCY_HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        let mut latency = self.latency_ms * weight + expected * (1.0 - weight);
        if now < self.warm_until {
            latency *= WARM_UP_FACTOR;
        }
        let slots = f64::from(self.target.slots.max(1));
        let load = self.load(now);
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        let mut score = latency + waiting * work_ms + load / slots * LOAD_TILT_MS;
        score += locality.bias_ms();
        score += self.overdue_ms(now);
        score += self.failure_rate(now) * FAILURE_COST_MS;
        if now < self.refused_until {
            score += REFUSED_COST_MS;
        }
        if self.is_down(now) {
            score += DOWN_COST_MS;
        }
        score
    }

    /// Extra delay to expect of a target whose oldest open attempt should have ended.
    fn overdue_ms(&self, now: MonoTime) -> f64 {
        let Some(oldest) = self.open.front() else {
            return 0.0;
        };
        let age = millis(now.since(*oldest));
        let patience = (self.latency_ms * OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        if age > patience {
            return age.min(OVERDUE_COST_MS) + OVERDUE_COST_MS;
        }
        0.0
    }

    pub(crate) fn failure_rate(&self, now: MonoTime) -> f64 {
        let age = millis(now.since(self.failed_at));
        self.failure_rate * (-age / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    pub(crate) fn attempt_sent(&mut self, now: MonoTime) {
        self.open.push_back(now);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        sent_at: MonoTime,
        signal: AttemptSignal,
        now: MonoTime,
    ) {
        if let Some(place) = self.open.iter().position(|open| *open == sent_at) {
            self.open.remove(place);
        }
        match signal {
            AttemptSignal::Answered { latency, load } => self.answered(latency, load, now),
            AttemptSignal::Failed => self.failed(now),
            AttemptSignal::Unreachable => self.unreachable(now),
            AttemptSignal::Refused { retry_after } => {
                let pause = retry_after.unwrap_or(Duration::from_millis(REFUSED_PAUSE_MS));
                let longest = Duration::from_millis(REFUSED_PAUSE_MAX_MS);
                self.refused_until = now + pause.min(longest);
            }
            AttemptSignal::Moved => self.moved = true,
            AttemptSignal::Abandoned => self.add_latency(millis(now.since(sent_at)), now),
            AttemptSignal::Neutral => {}
        }
    }

    fn answered(&mut self, latency: Duration, load: Option<ReportedLoad>, now: MonoTime) {
        self.add_latency(millis(latency), now);
        self.failure_rate = self.failure_rate(now) * (1.0 - FAILURE_WEIGHT);
        self.failed_at = now;
        self.strikes = 0;
        self.down_until = MonoTime::ZERO;
        if let Some(load) = load {
            let total = f64::from(load.in_flight) + f64::from(load.queued);
            self.others = (total - f64::from(self.in_flight())).max(0.0);
            self.reported_at = now;
        }
    }

    fn failed(&mut self, now: MonoTime) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate);
        self.failed_at = now;
    }

    fn unreachable(&mut self, now: MonoTime) {
        self.failed(now);
        let doublings = self.strikes.min(8);
        let pause_ms = (DOWN_FIRST_MS << doublings).min(DOWN_MAX_MS);
        self.strikes += 1;
        self.down_until = now + Duration::from_millis(pause_ms);
    }

    fn add_latency(&mut self, latency_ms: f64, now: MonoTime) {
        let span = millis(now.since(self.latency_at)) / LATENCY_SPAN_MS;
        let weight = (1.0 - (-span).exp()).max(LATENCY_WEIGHT);
        let sample = latency_ms.min(self.latency_ms * LATENCY_SAMPLE_MAX);
        self.latency_ms += weight * (sample - self.latency_ms);
        self.latency_at = now;
    }
}
