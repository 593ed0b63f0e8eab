//! Admission: how many sub-queries may be in flight, and who waits.

use std::time::Duration;

use fulmarweir_base::MonoTime;

use crate::{
    AdmissionPolicy, RefusalReason, RouteRefusal,
    lane::BreadthLane,
    limit::{LimitSignal, SearchLimit},
};

/// Share of the limit that wide searches leave to lookups by key.
const KEYED_SHARE: f64 = 0.1;
/// Requests that may wait, for each of the two kinds.
const QUEUE_LENGTH_MAX: usize = 512;
/// Share of the time left that a request may be expected to wait for admission.
const WAIT_SHARE_MAX: f64 = 0.25;

/// The breadth of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum RequestBreadth {
    Keyed,
    Wide,
}

/// What admission needs to know of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionParams {
    /// Sub-queries that it starts with.
    pub(crate) units: usize,
    pub(crate) breadth: RequestBreadth,
    /// When an answer is due.
    pub(crate) answer_by: MonoTime,
}

impl AdmissionParams {
    /// A lookup by key or an act: one sub-query.
    #[must_use]
    pub const fn keyed(answer_by: MonoTime) -> Self {
        Self {
            units: 1,
            breadth: RequestBreadth::Keyed,
            answer_by,
        }
    }

    /// A search over `shards` shards.
    #[must_use]
    pub const fn wide(shards: usize, answer_by: MonoTime) -> Self {
        Self {
            units: shards,
            breadth: RequestBreadth::Wide,
            answer_by,
        }
    }
}

/// Names a request that waits for admission.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket {
    /// First, so that tickets order by it.
    pub(crate) answer_by: MonoTime,
    pub(crate) number: u64,
}

/// What became of an ask.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GateAnswer {
    Granted,
    Queued(QueueTicket),
    Refused(RouteRefusal),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GateEvent {
    Granted(QueueTicket, AdmissionParams),
    Refused(QueueTicket, RouteRefusal),
}

/// The admission of one service on one VM.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionGate {
    policy: AdmissionPolicy,
    limit: SearchLimit,
    keyed: BreadthLane,
    wide: BreadthLane,
    next_ticket: u64,
}

impl AdmissionGate {
    pub(crate) fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            limit: SearchLimit::default(),
            keyed: BreadthLane::default(),
            wide: BreadthLane::default(),
            next_ticket: 0,
        }
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit.units()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.keyed.in_flight + self.wide.in_flight
    }

    pub(crate) fn waiting(&self) -> usize {
        self.keyed.waiting.len() + self.wide.waiting.len()
    }

    pub(crate) fn set_ceiling(&mut self, units: f64) {
        self.limit.set_ceiling(units);
    }

    pub(crate) fn signal(&mut self, signal: LimitSignal, now: MonoTime) {
        self.limit.signal(signal, now);
    }

    /// Decides on a request at once.
    pub(crate) fn offer(&mut self, params: AdmissionParams, now: MonoTime) -> GateAnswer {
        if self.policy == AdmissionPolicy::Open {
            self.take(params);
            return GateAnswer::Granted;
        }
        self.limit
            .observe(self.in_flight() + params.units, params.units);
        if params.answer_by <= now {
            let refusal = RouteRefusal::not_run(RefusalReason::TooLate, None);
            return GateAnswer::Refused(refusal);
        }
        let fits = self.fits(params);
        let lane = self.lane(params.breadth);
        if fits && lane.waiting.is_empty() {
            self.take(params);
            return GateAnswer::Granted;
        }
        let retry_after = Some(lane.retry_after(params.units));
        if lane.waiting.len() >= QUEUE_LENGTH_MAX {
            let refusal = RouteRefusal::not_run(RefusalReason::QueueFull, retry_after);
            return GateAnswer::Refused(refusal);
        }
        let wait = lane.expected_wait(params.units).unwrap_or_default();
        let longest = params.answer_by.since(now).mul_f64(WAIT_SHARE_MAX);
        if wait > longest || lane.ends_by(now + wait) > params.answer_by {
            let refusal = RouteRefusal::not_run(RefusalReason::TooLate, retry_after);
            return GateAnswer::Refused(refusal);
        }
        GateAnswer::Queued(self.enqueue(params))
    }

    /// Frees `units` sub-queries of a run that goes on.
    pub(crate) fn release(&mut self, breadth: RequestBreadth, units: usize, now: MonoTime) {
        self.lane(breadth).units_ended(units, now);
    }

    /// Counts `units` sub-queries more of a run that starts over.
    pub(crate) fn retake(&mut self, breadth: RequestBreadth, units: usize) {
        self.lane(breadth).in_flight += units;
    }

    /// Ends a run.
    pub(crate) fn run_ended(&mut self, breadth: RequestBreadth, run_time: Duration) {
        self.lane(breadth).run_ended(run_time);
    }

    /// Starts those who fit now, earliest deadline first, lookups first, and
    /// refuses those whose time is up.
    pub(crate) fn dispatch(&mut self, now: MonoTime) -> Vec<GateEvent> {
        let mut events = Vec::new();
        for breadth in [RequestBreadth::Keyed, RequestBreadth::Wide] {
            self.dispatch_lane(breadth, now, &mut events);
        }
        events
    }

    /// Forgets a request that waits; false when it is no longer waiting.
    pub(crate) fn leave(&mut self, ticket: QueueTicket) -> bool {
        self.keyed.remove(ticket) || self.wide.remove(ticket)
    }

    fn dispatch_lane(
        &mut self,
        breadth: RequestBreadth,
        now: MonoTime,
        events: &mut Vec<GateEvent>,
    ) {
        while let Some((&ticket, &params)) = self.lane(breadth).waiting.first_key_value() {
            if self.lane(breadth).ends_by(now) > params.answer_by {
                let retry_after = Some(self.lane(breadth).retry_after(params.units));
                self.lane(breadth).remove(ticket);
                let refusal = RouteRefusal::not_run(RefusalReason::TooLate, retry_after);
                events.push(GateEvent::Refused(ticket, refusal));
                continue;
            }
            if !self.fits(params) {
                return;
            }
            self.lane(breadth).remove(ticket);
            self.take(params);
            events.push(GateEvent::Granted(ticket, params));
        }
    }

    fn lane(&mut self, breadth: RequestBreadth) -> &mut BreadthLane {
        match breadth {
            RequestBreadth::Keyed => &mut self.keyed,
            RequestBreadth::Wide => &mut self.wide,
        }
    }

    /// Whether `params` fits; one request of each breadth always does.
    #[expect(clippy::cast_precision_loss, reason = "units in flight are few")]
    fn fits(&self, params: AdmissionParams) -> bool {
        let limit = self.limit.units();
        let reserve = limit * KEYED_SHARE;
        let units = params.units as f64;
        match params.breadth {
            RequestBreadth::Keyed => {
                let room = (limit - self.wide.in_flight as f64).max(reserve);
                self.keyed.in_flight == 0 || self.keyed.in_flight as f64 + units <= room
            }
            RequestBreadth::Wide => {
                let taken = (self.keyed.in_flight as f64).max(reserve);
                let room = limit - taken;
                self.wide.in_flight == 0 || self.wide.in_flight as f64 + units <= room
            }
        }
    }

    fn take(&mut self, params: AdmissionParams) {
        self.lane(params.breadth).in_flight += params.units;
    }

    fn enqueue(&mut self, params: AdmissionParams) -> QueueTicket {
        let ticket = QueueTicket {
            answer_by: params.answer_by,
            number: self.next_ticket,
        };
        self.next_ticket += 1;
        self.lane(params.breadth).insert(ticket, params);
        ticket
    }
}
