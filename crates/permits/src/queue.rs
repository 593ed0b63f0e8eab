//! The permits that a VM holds for one rate, and the requests that wait for one.
//!
//! Load pattern: callers want more than the rate allows. Permits go to the most urgent requests;
//! those that cannot expect one in time are not kept waiting.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;

use crate::policy::RatePolicy;

/// Time constants of the moving rates of demand and of grants, in milliseconds.
const DEMAND_TIME_CONSTANT_MS: f64 = 500.0;
const GRANTED_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Demand below which a rate counts as not in use, in requests per second.
const DEMAND_MIN_PER_S: f64 = 0.001;
/// Longest expected delay, for limits that are close to zero.
const EXPECTED_DELAY_MAX: Duration = Duration::from_hours(1);
/// Expected time from asking for a permit to using it, in milliseconds.
const ASK_ROUND_TRIP_MS: u64 = 10;
/// Time after which a waiting request that was to try again counts as gone, in milliseconds.
const WAITER_SLACK_MS: u64 = 50;

/// The order in which requests get permits: by priority, then by deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRank {
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// When the request is given up.
    pub deadline: MonoTime,
    /// Distinguishes the requests of this VM.
    pub ticket: u64,
}

impl RequestRank {
    /// The rank before that of any request.
    pub const FIRST: Self = Self {
        priority: 0,
        deadline: MonoTime::ZERO,
        ticket: 0,
    };
}

/// The right to send one request, or one attempt to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPermit {
    expires_at: MonoTime,
    /// The keeper that can credit it if it is given back.
    grantor: Option<SocketAddr>,
}

impl SendPermit {
    /// Whether the permit may still be used.
    #[must_use]
    pub fn is_valid(self, now: MonoTime) -> bool {
        self.expires_at > now
    }
}

/// A rate of events that decays over time.
#[derive(Clone, Copy, Debug, Default)]
struct MovingRate {
    per_second: f64,
    updated_at: MonoTime,
}

impl MovingRate {
    fn get(&self, time_constant_ms: f64, now: MonoTime) -> f64 {
        let age_ms = now.since(self.updated_at).as_secs_f64() * 1000.0;
        self.per_second * (-age_ms / time_constant_ms).exp()
    }

    fn add(&mut self, events: u32, time_constant_ms: f64, now: MonoTime) {
        let added = f64::from(events) * 1000.0 / time_constant_ms;
        self.per_second = self.get(time_constant_ms, now) + added;
        self.updated_at = now;
    }
}

/// How long a request waits for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitTimes {
    /// When the request tries again.
    pub retry_at: MonoTime,
    /// Until when a permit is of use to it.
    pub usable_until: MonoTime,
}

/// A request that waits for a permit.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    rank: RequestRank,
    began_at: MonoTime,
    /// When it counts as gone.
    gone_at: MonoTime,
    /// Until when a permit is of use to it.
    usable_until: MonoTime,
}

/// Permits that were granted together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitBatch {
    /// Number of permits.
    pub count: u32,
    /// When they were asked for.
    pub asked_at: MonoTime,
    /// Time after which they expire, counted from then.
    pub ttl: Duration,
    /// The keeper that can credit them if they are given back.
    pub grantor: Option<SocketAddr>,
}

/// The permits for one rate and the requests that wait for them.
#[derive(Debug, Default)]
pub struct PermitQueue {
    /// Permits, the first to expire first.
    permits: Vec<SendPermit>,
    waiting: Vec<WaitingRequest>,
    demand: MovingRate,
    granted: MovingRate,
}

impl PermitQueue {
    /// Whether there is a permit that no request with a better rank waits for.
    #[must_use]
    pub fn has_permit(&self, rank: RequestRank, now: MonoTime) -> bool {
        self.held(now) > self.ahead_of(rank, now)
    }

    /// Takes the permit that expires first, for the request with this rank.
    pub fn take(&mut self, rank: RequestRank, now: MonoTime) -> Option<SendPermit> {
        // Expired permits that a keeper can credit are given back by `take_unused`.
        self.permits
            .retain(|permit| permit.is_valid(now) || permit.grantor.is_some());
        self.stop_waiting(rank.ticket);
        let first_valid = self.permits.partition_point(|permit| !permit.is_valid(now));
        (first_valid < self.permits.len()).then(|| self.permits.remove(first_valid))
    }

    /// Gives a permit back whose request was not sent.
    pub fn refund(&mut self, permit: SendPermit) {
        let index = self
            .permits
            .partition_point(|known| known.expires_at <= permit.expires_at);
        self.permits.insert(index, permit);
    }

    /// Adds permits.
    pub fn add(&mut self, batch: PermitBatch, now: MonoTime) {
        if batch.count == 0 {
            return;
        }
        self.granted.add(batch.count, GRANTED_TIME_CONSTANT_MS, now);
        let permit = SendPermit {
            expires_at: batch.asked_at + batch.ttl,
            grantor: batch.grantor,
        };
        for _ in 0..batch.count {
            self.refund(permit);
        }
    }

    /// Keeps only the share `kept` of the permits.
    pub fn shrink(&mut self, kept: f64) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "a share of a small count"
        )]
        let count = (self.permits.len() as f64 * kept.clamp(0.0, 1.0)) as usize;
        self.permits.truncate(count);
    }

    /// Forgets all permits and waiting requests.
    pub fn clear(&mut self) {
        self.permits.clear();
        self.waiting.clear();
    }

    /// Records a request that would suit this rate best.
    pub fn record_demand(&mut self, now: MonoTime) {
        self.demand.add(1, DEMAND_TIME_CONSTANT_MS, now);
    }

    /// Lets a request wait.
    pub fn wait(&mut self, rank: RequestRank, times: WaitTimes, now: MonoTime) {
        let mut waits = self.waiting.iter();
        let before = waits.find(|waiting| waiting.rank.ticket == rank.ticket);
        let began_at = before.map_or(now, |before| before.began_at);
        let is_other =
            |waiting: &WaitingRequest| waiting.rank.ticket != rank.ticket && waiting.gone_at > now;
        self.waiting.retain(is_other);
        self.waiting.push(WaitingRequest {
            rank,
            began_at,
            gone_at: times.retry_at + Duration::from_millis(WAITER_SLACK_MS),
            usable_until: times.usable_until,
        });
    }

    /// Forgets a request that does not wait any more.
    pub fn stop_waiting(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.rank.ticket != ticket);
    }

    /// Returns how many permits to ask for now. They arrive after `round_trip`.
    #[must_use]
    pub fn wanted(&self, policy: &RatePolicy, round_trip: Duration, now: MonoTime) -> u32 {
        let usable = |w: &&WaitingRequest| w.gone_at > now && w.usable_until >= now + round_trip;
        let waiting = self.waiting.iter().filter(usable).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let needed = self.in_advance(policy, now).saturating_add(waiting);
        needed.saturating_sub(self.held(now))
    }

    /// Whether a keeper that replies after `round_trip` can serve a request that waits, if it is asked as
    /// soon as the request begins to wait. Returns true if none waits.
    pub(crate) fn is_in_reach(&self, round_trip: Duration, now: MonoTime) -> bool {
        let mut waiting = self.waiting.iter().filter(|w| w.gone_at > now).peekable();
        waiting.peek().is_none() || waiting.any(|w| w.usable_until >= w.began_at + round_trip)
    }

    /// Returns how many permits to hold beyond those of the waiting requests.
    fn in_advance(&self, policy: &RatePolicy, now: MonoTime) -> u32 {
        let demand = self.demand.get(DEMAND_TIME_CONSTANT_MS, now);
        let rate = demand.min(policy.per_second);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rate is not negative, and a saturated count is harmless"
        )]
        let in_advance = (rate * policy.advance.as_secs_f64()) as u32;
        in_advance
    }

    /// Removes the permits that have expired and those beyond what is needed, and returns the keepers
    /// that can credit them.
    pub(crate) fn take_unused(&mut self, policy: &RatePolicy, now: MonoTime) -> Vec<SocketAddr> {
        let needed = self
            .in_advance(policy, now)
            .saturating_add(self.waiting(now));
        let mut excess = self.held(now).saturating_sub(needed);
        let mut unused = Vec::new();
        self.permits.retain(|permit| {
            let is_valid = permit.is_valid(now);
            // A permit without a grantor can't be given back, and callers are too few to meet it at once.
            let is_excess = is_valid && excess > 0 && permit.grantor.is_some();
            excess -= u32::from(is_excess);
            if !is_valid || is_excess {
                unused.extend(permit.grantor);
            }
            is_valid && !is_excess
        });
        unused
    }

    /// Whether no permit is held, no request waits, and none has been sent for long.
    pub(crate) fn is_idle(&self, now: MonoTime) -> bool {
        let is_demanded = self.demand.get(DEMAND_TIME_CONSTANT_MS, now) >= DEMAND_MIN_PER_S;
        self.permits.is_empty() && self.waiting(now) == 0 && !is_demanded
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self, now: MonoTime) -> u32 {
        let waiting = self.waiting.iter().filter(|w| w.gone_at > now);
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Returns the rate of permits that keepers have granted lately, in permits per second.
    #[must_use]
    pub fn granted_rate(&self, now: MonoTime) -> f64 {
        self.granted.get(GRANTED_TIME_CONSTANT_MS, now)
    }

    /// Returns when a request of this rank can expect a permit. Keepers can be asked from `ask_at`
    /// on, and grant at least `rate_min` permits per second.
    #[must_use]
    pub fn permit_expected_at(
        &self,
        rank: RequestRank,
        ask_at: MonoTime,
        rate_min: f64,
        now: MonoTime,
    ) -> MonoTime {
        if self.has_permit(rank, now) {
            return now;
        }
        let ahead = self.ahead_of(rank, now) - self.held(now);
        let rate = self.granted_rate(now).max(rate_min);
        let delay_s = if ahead == 0 {
            0.0
        } else {
            f64::from(ahead) / rate
        };
        let delay = Duration::try_from_secs_f64(delay_s).unwrap_or(Duration::MAX);
        let delay = delay.min(EXPECTED_DELAY_MAX);
        ask_at + Duration::from_millis(ASK_ROUND_TRIP_MS) + delay
    }

    /// Returns the number of permits that have not expired.
    fn held(&self, now: MonoTime) -> u32 {
        let valid = self.permits.iter().filter(|permit| permit.is_valid(now));
        u32::try_from(valid.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of waiting requests with a better rank.
    fn ahead_of(&self, rank: RequestRank, now: MonoTime) -> u32 {
        let is_ahead = |waiting: &&WaitingRequest| waiting.rank < rank && waiting.gone_at > now;
        let ahead = self.waiting.iter().filter(is_ahead);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }
}
