//! Load, latency and failure rate of one target, as observed from the requests of this VM.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;

use super::{evacuation_gate::CentreState, notice_table::NoticeState, selector::RelayTarget};
use crate::ReportedLoad;

/// Minimum weight of the latest attempt in the moving average of the latency.
const LATENCY_WEIGHT_MIN: f64 = 0.15;
/// Time since the previous attempt at which the latest one gets the weight 1 - 1/e, so that a VM
/// with few attempts adapts with each of them.
const LATENCY_TIME_CONSTANT_MS: f64 = 800.0;
/// Upper bound of a latency sample as a multiple of the average, so that a single short pause does
/// not make a target look slow.
const LATENCY_SAMPLE_FACTOR_MAX: f64 = 2.5;
/// Half-life of the weight that a target's average latency has against the expected latency while
/// no new sample arrives.
const LATENCY_HALF_LIFE_MS: f64 = 2_000.0;
/// Age up to which a measured latency can keep requests from a target, in milliseconds. Only further
/// attempts can correct it.
const LATENCY_TRUSTED_MS: u64 = 1_000;
/// Age at which the weight of a load report reaches zero.
const REPORT_AGE_MAX_MS: f64 = 800.0;
/// Expected latency of a target that has not answered yet, without the network round trip.
const LATENCY_DEFAULT_MS: f64 = 20.0;
/// Expected network round trip to a target in the same region and in another one.
const REGION_ROUND_TRIP_MS: f64 = 3.0;
const FAR_ROUND_TRIP_MS: f64 = 30.0;
/// Cost of traffic to another region, expressed as a delay.
const FAR_TRANSFER_COST_MS: f64 = 30.0;
/// Weight of the latest attempt in the failure rate, and the half-life of the rate.
const FAILURE_WEIGHT: f64 = 0.25;
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
/// Penalty at a failure rate of 1, i.e. the time until another target is tried.
const FAILURE_COST_MS: f64 = 250.0;
/// A target whose oldest attempt in flight is older than this multiple of the average latency has
/// probably stopped answering.
const OVERDUE_FACTOR: f64 = 2.5;
const OVERDUE_MIN_MS: f64 = 25.0;
const OVERDUE_COST_MS: f64 = 100.0;
/// Time after a refusal in which the target is used only if others are worse. A target that asks
/// for a certain time gets no requests at all instead.
const REFUSED_PAUSE_MS: u64 = 60;
const REFUSED_COST_MS: f64 = 80.0;
/// First and longest time for which a target counts as down after a failed connection attempt;
/// doubles with each further failure.
const DOWN_MIN_MS: u64 = 150;
const DOWN_MAX_MS: u64 = 2_000;
const DOWN_COST_MS: f64 = 1_000.0;
/// Factor on the expected latency of a target that is warming up.
const WARM_UP_FACTOR: f64 = 1.6;
/// Penalty at a load equal to the slots, to spread requests over targets that are equally fast.
const LOAD_TIE_BREAK_MS: f64 = 3.0;

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
    /// Returns the label of this distance in metrics, which never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Centre => "centre",
            Self::Region => "region",
            Self::Far => "far",
        }
    }

    const fn round_trip_ms(self) -> f64 {
        match self {
            Self::Centre => 0.0,
            Self::Region => REGION_ROUND_TRIP_MS,
            Self::Far => FAR_ROUND_TRIP_MS,
        }
    }

    const fn transfer_cost_ms(self) -> f64 {
        match self {
            Self::Centre | Self::Region => 0.0,
            Self::Far => FAR_TRANSFER_COST_MS,
        }
    }
}

/// What the end of an attempt says about its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptSignal {
    /// The target answered.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// Load that the target reported with the answer.
        load: Option<ReportedLoad>,
    },
    /// The attempt failed in a way that indicates an unhealthy target.
    Failed,
    /// The connection could not be established.
    Unreachable,
    /// The target refused the request without running it.
    Refused,
    /// The target closed the connection before the request was sent.
    OverLimit,
    /// Another target now listens at the address.
    Moved,
    /// The attempt was abandoned before an answer arrived.
    Abandoned,
    /// The end says nothing about the target.
    Neutral,
}

/// Tracks the attempts of this VM to one target and estimates its load, latency and failure rate.
#[derive(Debug)]
pub(crate) struct TargetTracker {
    pub(crate) target: Arc<RelayTarget>,
    /// Maximum number of connections from this VM to the target.
    pub(crate) connection_share: u32,
    /// Send times of the attempts in flight, oldest first.
    sent_times: VecDeque<MonoTime>,
    /// Load from other VMs, i.e. the last reported load without the requests of this VM.
    other_load: f64,
    reported_at: MonoTime,
    latency_ms: f64,
    latency_updated_at: MonoTime,
    failure_rate: f64,
    failure_rate_updated_at: MonoTime,
    refused_until: MonoTime,
    down_until: MonoTime,
    connect_failures: u32,
    /// Attempts since the last reply that found no usable connection.
    unreached_attempts: u32,
    /// Until when another attempt is not expected to find one.
    unreached_until: MonoTime,
    pub(crate) warm_up_until: MonoTime,
    /// What the target has told this VM about itself.
    pub(crate) notice: NoticeState,
    /// Whether another target now listens at the address.
    pub(crate) moved: bool,
    /// Whether requests may be sent to the target's data centre.
    pub(crate) centre_state: CentreState,
}

/// Returns the time for which a target counts as down after another failed connection attempt.
fn down_pause(failures: u32) -> Duration {
    let doublings = failures.min(8);
    Duration::from_millis((DOWN_MIN_MS << doublings).min(DOWN_MAX_MS))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

impl TargetTracker {
    pub(crate) fn new(target: Arc<RelayTarget>, connection_share: u32, now: MonoTime) -> Self {
        let warm_up_until = now + Duration::from_millis(target.warm_up_ms.into());
        let latency_ms = LATENCY_DEFAULT_MS + target.locality.round_trip_ms();
        Self {
            target,
            connection_share,
            sent_times: VecDeque::new(),
            other_load: 0.0,
            reported_at: MonoTime::ZERO,
            latency_ms,
            latency_updated_at: MonoTime::ZERO,
            failure_rate: 0.0,
            failure_rate_updated_at: MonoTime::ZERO,
            refused_until: MonoTime::ZERO,
            down_until: MonoTime::ZERO,
            connect_failures: 0,
            unreached_attempts: 0,
            unreached_until: MonoTime::ZERO,
            warm_up_until,
            notice: NoticeState::default(),
            moved: false,
            centre_state: CentreState::default(),
        }
    }

    /// Returns the number of attempts of this VM in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.sent_times.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn has_free_connection(&self) -> bool {
        self.in_flight() < self.connection_share
    }

    /// Whether the target's notices allow a request now.
    pub(crate) fn accepts_requests(&self, now: MonoTime) -> bool {
        self.notice.allows(self.in_flight(), now)
    }

    /// Whether connecting to the target failed recently.
    pub(crate) fn is_down(&self, now: MonoTime) -> bool {
        now < self.down_until
    }

    /// Whether the last attempts found no usable connection, and no more than one in flight can tell
    /// whether there is one now.
    pub(crate) fn is_unreached(&self, now: MonoTime) -> bool {
        self.unreached_attempts > 0 && (now < self.unreached_until || self.in_flight() > 0)
    }

    /// Whether the target refused a request recently, or more requests wait there than run.
    pub(crate) fn is_overloaded(&self, now: MonoTime) -> bool {
        now < self.refused_until || self.load(now) >= 2.0 * f64::from(self.target.slots.max(1))
    }

    /// Returns the expected number of requests that run or wait at the target, from all VMs.
    pub(crate) fn load(&self, now: MonoTime) -> f64 {
        let age = millis(now.since(self.reported_at));
        let weight = (1.0 - age / REPORT_AGE_MAX_MS).max(0.0);
        f64::from(self.in_flight()) + self.other_load * weight
    }

    /// Returns the expected time to an answer plus penalties, in milliseconds; lower is better.
    ///
    /// `service_latency_ms` is the average latency of the service in this data centre.
    pub(crate) fn score(&self, service_latency_ms: f64, now: MonoTime) -> f64 {
        let locality = self.target.locality;
        let expected = service_latency_ms + locality.round_trip_ms();
        let age = millis(now.since(self.latency_updated_at));
        let weight = (-age / LATENCY_HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        let mut latency = self.latency_ms * weight + expected * (1.0 - weight);
        if now < self.warm_up_until {
            latency *= WARM_UP_FACTOR;
        }
        let slots = f64::from(self.target.slots.max(1));
        let load = self.load(now);
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        let mut score = latency + waiting * service_latency_ms + load / slots * LOAD_TIE_BREAK_MS;
        score += locality.transfer_cost_ms();
        score += self.overdue_cost_ms(now);
        score += self.failure_rate(now) * FAILURE_COST_MS;
        if now < self.refused_until {
            score += REFUSED_COST_MS;
        }
        if self.is_down(now) {
            score += DOWN_COST_MS;
        }
        score
    }

    /// Whether the score rests on a recent attempt, or one in flight is about to correct it.
    pub(crate) fn is_measured(&self, now: MonoTime) -> bool {
        let trusted = Duration::from_millis(LATENCY_TRUSTED_MS);
        self.in_flight() > 0 || now.since(self.latency_updated_at) < trusted
    }

    /// Returns the penalty for a target whose oldest attempt in flight is overdue, else zero.
    fn overdue_cost_ms(&self, now: MonoTime) -> f64 {
        let Some(oldest) = self.sent_times.front() else {
            return 0.0;
        };
        let age = millis(now.since(*oldest));
        let overdue_after_ms = (self.latency_ms * OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        if age > overdue_after_ms {
            return age.min(OVERDUE_COST_MS) + OVERDUE_COST_MS;
        }
        0.0
    }

    /// Returns the failure rate, decayed by the time since its last update.
    pub(crate) fn failure_rate(&self, now: MonoTime) -> f64 {
        let age = millis(now.since(self.failure_rate_updated_at));
        self.failure_rate * (-age / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    pub(crate) fn attempt_sent(&mut self, now: MonoTime) {
        self.sent_times.push_back(now);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        sent_at: MonoTime,
        signal: AttemptSignal,
        now: MonoTime,
    ) {
        if let Some(index) = self.sent_times.iter().position(|sent| *sent == sent_at) {
            self.sent_times.remove(index);
        }
        match signal {
            // Another connection is in use, so the target is reached.
            AttemptSignal::OverLimit if self.in_flight() > 0 => {}
            AttemptSignal::Unreachable | AttemptSignal::OverLimit => self.record_unreached(now),
            AttemptSignal::Answered { .. }
            | AttemptSignal::Failed
            | AttemptSignal::Refused
            | AttemptSignal::Moved => self.unreached_attempts = 0,
            AttemptSignal::Abandoned | AttemptSignal::Neutral => {}
        }
        match signal {
            AttemptSignal::Answered { latency, load } => self.record_answer(latency, load, now),
            AttemptSignal::Failed => self.record_failure(now),
            AttemptSignal::Unreachable => self.record_unreachable(now),
            AttemptSignal::Refused | AttemptSignal::OverLimit => {
                self.refused_until = now + Duration::from_millis(REFUSED_PAUSE_MS);
            }
            AttemptSignal::Moved => self.moved = true,
            AttemptSignal::Abandoned => self.record_latency(millis(now.since(sent_at)), now),
            AttemptSignal::Neutral => {}
        }
    }

    /// Forgets the attempts in flight and all failures, which say nothing about the target.
    pub(crate) fn forget_failures(&mut self) {
        self.sent_times.clear();
        self.failure_rate = 0.0;
        self.connect_failures = 0;
        self.down_until = MonoTime::ZERO;
        self.unreached_attempts = 0;
        self.refused_until = MonoTime::ZERO;
        self.latency_updated_at = MonoTime::ZERO;
    }

    fn record_answer(&mut self, latency: Duration, load: Option<ReportedLoad>, now: MonoTime) {
        self.notice.record_answer(now);
        self.record_latency(millis(latency), now);
        self.failure_rate = self.failure_rate(now) * (1.0 - FAILURE_WEIGHT);
        self.failure_rate_updated_at = now;
        self.connect_failures = 0;
        self.down_until = MonoTime::ZERO;
        if let Some(load) = load {
            let total = f64::from(load.in_flight) + f64::from(load.queued);
            self.other_load = (total - f64::from(self.in_flight())).max(0.0);
            self.reported_at = now;
        }
    }

    fn record_failure(&mut self, now: MonoTime) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate);
        self.failure_rate_updated_at = now;
    }

    fn record_unreachable(&mut self, now: MonoTime) {
        self.record_failure(now);
        self.down_until = now + down_pause(self.connect_failures);
        self.connect_failures += 1;
    }

    fn record_unreached(&mut self, now: MonoTime) {
        self.unreached_until = now + down_pause(self.unreached_attempts);
        self.unreached_attempts += 1;
    }

    fn record_latency(&mut self, latency_ms: f64, now: MonoTime) {
        let span = millis(now.since(self.latency_updated_at)) / LATENCY_TIME_CONSTANT_MS;
        let weight = (1.0 - (-span).exp()).max(LATENCY_WEIGHT_MIN);
        let sample = latency_ms.min(self.latency_ms * LATENCY_SAMPLE_FACTOR_MAX);
        self.latency_ms += weight * (sample - self.latency_ms);
        self.latency_updated_at = now;
    }
}
