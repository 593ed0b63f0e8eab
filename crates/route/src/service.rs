//! Process-lifetime state of one service: admission, budget, latency, target loads.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TargetName, lock};

use crate::{
    AdmissionParams, PolicySettings, QueueTicket, RouteRefusal, TargetView,
    admission::{AdmissionController, AdmissionDecision, QueueDecision, RequestClass},
    budget::ExtraBudget,
    latency::LatencyEstimate,
    limit::LimitSignal,
    table::LoadTable,
};

/// Attempts in flight that the targets' slots are taken to hold, as a multiple of the slots.
const SLOTS_CEILING: f64 = 2.0;

/// State of one service that all its requests on this VM share.
///
/// Each part stands under its own lock, held for a few instructions.
#[derive(Debug)]
pub struct ServiceState {
    pub(crate) settings: PolicySettings,
    pub(crate) budget: Mutex<ExtraBudget>,
    pub(crate) latency: Mutex<LatencyEstimate>,
    pub(crate) table: LoadTable,
    admission: Mutex<AdmissionController>,
}

/// What became of a request that asked for admission.
#[derive(Debug)]
pub enum Admission {
    /// It may start now.
    Granted(AdmissionPermit),
    /// It waits; [`ServiceState::poll_queue`] names it later.
    Queued(QueueTicket),
    /// It is refused, as not run.
    Refused(RouteRefusal),
}

/// What became of a request that waited.
#[derive(Debug)]
pub enum QueueEvent {
    /// It may start now.
    Granted(QueueTicket, AdmissionPermit),
    /// It is refused, as not run.
    Refused(QueueTicket, RouteRefusal),
}

/// The right to have sub-queries in flight, given back when dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    state: Arc<ServiceState>,
    class: RequestClass,
    /// Sub-queries that still count as in flight.
    sub_queries: usize,
    started: MonoTime,
    ended: MonoTime,
}

impl AdmissionPermit {
    pub(crate) fn state(&self) -> &ServiceState {
        &self.state
    }

    /// Gives back one sub-query.
    pub(crate) fn release_one(&mut self, now: MonoTime) {
        if self.sub_queries > 0 {
            self.sub_queries -= 1;
            lock(&self.state.admission).release(self.class, 1, now);
        }
    }

    /// Counts `sub_queries` sub-queries again, for a run that starts over.
    pub(crate) fn reacquire(&mut self, sub_queries: usize) {
        let missing = sub_queries.saturating_sub(self.sub_queries);
        self.sub_queries += missing;
        lock(&self.state.admission).reacquire(self.class, missing);
    }

    /// The last time noted.
    pub(crate) fn touched(&self) -> MonoTime {
        self.ended
    }

    /// Notes the time, which counts as the end of the run if it is dropped now.
    pub(crate) fn touch(&mut self, now: MonoTime) {
        self.ended = self.ended.max(now);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut admission = lock(&self.state.admission);
        admission.release(self.class, self.sub_queries, self.ended);
        let run_time = self.ended.since(self.started);
        // A permit that no run has used says nothing about how long runs take.
        if !run_time.is_zero() {
            admission.run_ended(self.class, run_time);
        }
    }
}

/// Figures of one service for metrics and status pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceGauges {
    /// Sub-queries that may be in flight.
    pub limit: f64,
    /// Sub-queries that admitted requests started with.
    pub in_flight: usize,
    /// Requests that wait for admission.
    pub waiting: usize,
    /// Time after which a sub-query is hedged, once known.
    pub hedge_delay: Option<Duration>,
}

/// Figures of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetGauges {
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Whether it is ejected or being probed.
    pub ejected: bool,
}

impl ServiceState {
    /// State of a service of which nothing is known yet.
    #[must_use]
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            settings,
            budget: Mutex::default(),
            latency: Mutex::default(),
            table: LoadTable::default(),
            admission: Mutex::new(AdmissionController::new(settings.admission)),
        }
    }

    /// Asks for admission; the answer is immediate.
    #[must_use]
    pub fn admit(self: &Arc<Self>, params: AdmissionParams, now: MonoTime) -> Admission {
        let answer = lock(&self.admission).decide(params, now);
        match answer {
            AdmissionDecision::Granted => Admission::Granted(self.permit(params, now)),
            AdmissionDecision::Queued(ticket) => Admission::Queued(ticket),
            AdmissionDecision::Refused(refusal) => Admission::Refused(refusal),
        }
    }

    /// Names the waiting requests that may start or are refused now.
    ///
    /// To be called when a run has ended and every few milliseconds while requests wait.
    #[must_use]
    pub fn poll_queue(self: &Arc<Self>, now: MonoTime) -> Vec<QueueEvent> {
        let events = lock(&self.admission).dispatch(now);
        let convert = |event| match event {
            QueueDecision::Granted(ticket, params) => {
                QueueEvent::Granted(ticket, self.permit(params, now))
            }
            QueueDecision::Refused(ticket, refusal) => QueueEvent::Refused(ticket, refusal),
        };
        events.into_iter().map(convert).collect()
    }

    /// Forgets a waiting request whose caller has left; false when it is no longer waiting.
    pub fn leave_queue(&self, ticket: QueueTicket) -> bool {
        lock(&self.admission).cancel_waiting(ticket)
    }

    /// Takes in a new view: bounds the limit by the targets' slots and forgets targets that left.
    pub fn observe_view(&self, view: &TargetView) {
        let slots: f64 = view
            .targets()
            .iter()
            .map(|target| f64::from(target.slots))
            .sum();
        lock(&self.admission).set_ceiling((slots * SLOTS_CEILING).max(1.0));
        let names: HashSet<&TargetName> = view
            .targets()
            .iter()
            .chain(view.far())
            .map(|target| &target.name)
            .collect();
        self.table.retain(|name| names.contains(name));
    }

    /// Figures for metrics.
    #[must_use]
    pub fn gauges(&self) -> ServiceGauges {
        let hedge_delay = lock(&self.latency).hedge_delay();
        let admission = lock(&self.admission);
        ServiceGauges {
            limit: admission.limit(),
            in_flight: admission.in_flight(),
            waiting: admission.waiting(),
            hedge_delay,
        }
    }

    /// Figures of one target, if it is known.
    #[must_use]
    pub fn target_gauges(&self, name: &TargetName) -> Option<TargetGauges> {
        self.table.read(name, |load| TargetGauges {
            in_flight: load.in_flight(),
            ejected: load.is_ejected(),
        })
    }

    pub(crate) fn signal_limit(&self, signal: LimitSignal, now: MonoTime) {
        lock(&self.admission).signal(signal, now);
    }

    fn permit(self: &Arc<Self>, params: AdmissionParams, now: MonoTime) -> AdmissionPermit {
        AdmissionPermit {
            state: Arc::clone(self),
            class: params.class,
            sub_queries: params.sub_queries,
            started: now,
            ended: now,
        }
    }
}
