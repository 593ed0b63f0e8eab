//! Admission control: decides whether a request starts at once, is queued or is refused.

use std::time::Duration;

use fulmarweir_base::MonoTime;

use crate::{
    AdmissionPolicy, RefusalReason, RouteRefusal,
    class_queue::ClassQueue,
    limit::{ConcurrencyLimit, LimitSignal},
};

/// Share of the limit that is reserved for keyed requests.
const KEYED_RESERVE_SHARE: f64 = 0.1;
/// Requests that may be queued, per request class.
const QUEUE_LENGTH_MAX: usize = 512;
/// Share of the time until its deadline that a request may be expected to spend in the queue.
const QUEUE_WAIT_SHARE_MAX: f64 = 0.25;

/// The class of a request; each class has its own queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum RequestClass {
    /// A request to one shard: a lookup by key or an act.
    Keyed,
    /// A search over all shards.
    Wide,
}

/// The parameters by which a request is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionParams {
    /// Sub-queries that the request starts with.
    pub(crate) sub_queries: usize,
    pub(crate) class: RequestClass,
    /// Time by which an answer is due.
    pub(crate) answer_by: MonoTime,
}

impl AdmissionParams {
    /// Returns the parameters of a lookup by key or an act, which has one sub-query.
    #[must_use]
    pub const fn keyed(answer_by: MonoTime) -> Self {
        Self {
            sub_queries: 1,
            class: RequestClass::Keyed,
            answer_by,
        }
    }

    /// Returns the parameters of a search over `shards` shards.
    #[must_use]
    pub const fn wide(shards: usize, answer_by: MonoTime) -> Self {
        Self {
            sub_queries: shards,
            class: RequestClass::Wide,
            answer_by,
        }
    }
}

/// Identifies a queued request. Tickets are ordered by the time that the answer is due.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueTicket {
    /// The first field, because the derived order compares fields in sequence.
    pub(crate) answer_by: MonoTime,
    pub(crate) number: u64,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AdmissionDecision {
    Granted,
    Queued(QueueTicket),
    Refused(RouteRefusal),
}

/// The decision on a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QueueDecision {
    Granted(QueueTicket, AdmissionParams),
    Refused(QueueTicket, RouteRefusal),
}

/// Admission control for one service on one VM.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionController {
    policy: AdmissionPolicy,
    limit: ConcurrencyLimit,
    keyed: ClassQueue,
    wide: ClassQueue,
    next_ticket: u64,
}

impl AdmissionController {
    pub(crate) fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            limit: ConcurrencyLimit::default(),
            keyed: ClassQueue::default(),
            wide: ClassQueue::default(),
            next_ticket: 0,
        }
    }

    /// Returns how many sub-queries may be in flight.
    pub(crate) fn limit(&self) -> f64 {
        self.limit.current()
    }

    /// Returns the number of sub-queries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.keyed.in_flight + self.wide.in_flight
    }

    /// Returns the number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.keyed.waiting.len() + self.wide.waiting.len()
    }

    pub(crate) fn set_ceiling(&mut self, ceiling: f64) {
        self.limit.set_ceiling(ceiling);
    }

    pub(crate) fn signal(&mut self, signal: LimitSignal, now: MonoTime) {
        self.limit.signal(signal, now);
    }

    /// Admits, queues or refuses a new request.
    pub(crate) fn decide(&mut self, params: AdmissionParams, now: MonoTime) -> AdmissionDecision {
        if self.policy == AdmissionPolicy::Unlimited {
            self.add_in_flight(params);
            return AdmissionDecision::Granted;
        }
        self.limit
            .observe(self.in_flight() + params.sub_queries, params.sub_queries);
        if params.answer_by <= now {
            let refusal = RouteRefusal::not_run(RefusalReason::TooLate, None);
            return AdmissionDecision::Refused(refusal);
        }
        let fits = self.fits(params);
        let class_queue = self.class_queue(params.class);
        if fits && class_queue.waiting.is_empty() {
            self.add_in_flight(params);
            return AdmissionDecision::Granted;
        }
        let retry_after = Some(class_queue.retry_after(params.sub_queries));
        if class_queue.waiting.len() >= QUEUE_LENGTH_MAX {
            let refusal = RouteRefusal::not_run(RefusalReason::QueueFull, retry_after);
            return AdmissionDecision::Refused(refusal);
        }
        let wait = class_queue
            .expected_wait(params.sub_queries)
            .unwrap_or_default();
        let longest = params.answer_by.since(now).mul_f64(QUEUE_WAIT_SHARE_MAX);
        if wait > longest || class_queue.expected_end(now + wait) > params.answer_by {
            let refusal = RouteRefusal::not_run(RefusalReason::TooLate, retry_after);
            return AdmissionDecision::Refused(refusal);
        }
        AdmissionDecision::Queued(self.enqueue(params))
    }

    /// Records that `sub_queries` sub-queries of a run are no longer in flight.
    pub(crate) fn release(&mut self, class: RequestClass, sub_queries: usize, now: MonoTime) {
        self.class_queue(class).sub_queries_ended(sub_queries, now);
    }

    /// Counts `sub_queries` more sub-queries in flight, for a run that restarts.
    pub(crate) fn reacquire(&mut self, class: RequestClass, sub_queries: usize) {
        self.class_queue(class).in_flight += sub_queries;
    }

    /// Records the duration of a run that has ended.
    pub(crate) fn run_ended(&mut self, class: RequestClass, run_time: Duration) {
        self.class_queue(class).run_ended(run_time);
    }

    /// Admits queued requests while the limit allows it, and refuses those that can no longer be
    /// answered in time. Keyed requests come first; within a class, the earliest due one does.
    pub(crate) fn dispatch(&mut self, now: MonoTime) -> Vec<QueueDecision> {
        let mut events = Vec::new();
        for class in [RequestClass::Keyed, RequestClass::Wide] {
            self.dispatch_class(class, now, &mut events);
        }
        events
    }

    /// Removes a request from the queue; returns false if it is no longer queued.
    pub(crate) fn cancel_waiting(&mut self, ticket: QueueTicket) -> bool {
        self.keyed.remove(ticket) || self.wide.remove(ticket)
    }

    fn dispatch_class(
        &mut self,
        class: RequestClass,
        now: MonoTime,
        events: &mut Vec<QueueDecision>,
    ) {
        while let Some((&ticket, &params)) = self.class_queue(class).waiting.first_key_value() {
            if self.class_queue(class).expected_end(now) > params.answer_by {
                let retry_after = Some(self.class_queue(class).retry_after(params.sub_queries));
                self.class_queue(class).remove(ticket);
                let refusal = RouteRefusal::not_run(RefusalReason::TooLate, retry_after);
                events.push(QueueDecision::Refused(ticket, refusal));
                continue;
            }
            if !self.fits(params) {
                return;
            }
            self.class_queue(class).remove(ticket);
            self.add_in_flight(params);
            events.push(QueueDecision::Granted(ticket, params));
        }
    }

    fn class_queue(&mut self, class: RequestClass) -> &mut ClassQueue {
        match class {
            RequestClass::Keyed => &mut self.keyed,
            RequestClass::Wide => &mut self.wide,
        }
    }

    /// Whether the limit allows the request now. One request of each class is always allowed.
    #[expect(clippy::cast_precision_loss, reason = "few sub-queries are in flight")]
    fn fits(&self, params: AdmissionParams) -> bool {
        let limit = self.limit.current();
        let reserve = limit * KEYED_RESERVE_SHARE;
        let sub_queries = params.sub_queries as f64;
        match params.class {
            RequestClass::Keyed => {
                let available = (limit - self.wide.in_flight as f64).max(reserve);
                self.keyed.in_flight == 0 || self.keyed.in_flight as f64 + sub_queries <= available
            }
            RequestClass::Wide => {
                let taken = (self.keyed.in_flight as f64).max(reserve);
                let available = limit - taken;
                self.wide.in_flight == 0 || self.wide.in_flight as f64 + sub_queries <= available
            }
        }
    }

    fn add_in_flight(&mut self, params: AdmissionParams) {
        self.class_queue(params.class).in_flight += params.sub_queries;
    }

    fn enqueue(&mut self, params: AdmissionParams) -> QueueTicket {
        let ticket = QueueTicket {
            answer_by: params.answer_by,
            number: self.next_ticket,
        };
        self.next_ticket += 1;
        self.class_queue(params.class).insert(ticket, params);
        ticket
    }
}
