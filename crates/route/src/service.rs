//! State of one service that lives as long as the process: admission, retry budget, latency and
//! target loads.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TargetName, lock};

use crate::{
    AdmissionParams, PolicySettings, QueueTicket, RouteRefusal, TargetView,
    admission::{AdmissionController, AdmissionDecision, QueueDecision, RequestClass},
    budget::RetryBudget,
    latency::LatencyQuantiles,
    limit::LimitSignal,
    table::LoadTable,
};

/// Upper bound on the admission limit, as a multiple of the total slots of the targets.
const SLOT_LIMIT_FACTOR: f64 = 2.0;

/// State of one service, shared by all its requests on this VM.
///
/// Each part has its own lock, which is held for a few instructions only.
#[derive(Debug)]
pub struct ServiceState {
    pub(crate) settings: PolicySettings,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) latency: Mutex<LatencyQuantiles>,
    pub(crate) table: LoadTable,
    admission: Mutex<AdmissionController>,
}

/// The result of a request for admission.
#[derive(Debug)]
pub enum Admission {
    /// The request may start now.
    Granted(AdmissionPermit),
    /// The request is queued; [`ServiceState::poll_queue`] returns its ticket later.
    Queued(QueueTicket),
    /// The request is refused and has not run.
    Refused(RouteRefusal),
}

/// The end of a request's time in the queue.
#[derive(Debug)]
pub enum QueueEvent {
    /// The request may start now.
    Granted(QueueTicket, AdmissionPermit),
    /// The request is refused and has not run.
    Refused(QueueTicket, RouteRefusal),
}

/// A permit to have sub-queries in flight, which are released when it is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    state: Arc<ServiceState>,
    class: RequestClass,
    /// Sub-queries that still count as in flight.
    sub_queries: usize,
    started: MonoTime,
    last_active: MonoTime,
}

impl AdmissionPermit {
    pub(crate) fn state(&self) -> &ServiceState {
        &self.state
    }

    /// Releases one sub-query.
    pub(crate) fn release_one(&mut self, now: MonoTime) {
        if self.sub_queries > 0 {
            self.sub_queries -= 1;
            lock(&self.state.admission).release(self.class, 1, now);
        }
    }

    /// Raises the permit to `sub_queries` sub-queries again, for a run that restarts.
    pub(crate) fn reacquire(&mut self, sub_queries: usize) {
        let missing = sub_queries.saturating_sub(self.sub_queries);
        self.sub_queries += missing;
        lock(&self.state.admission).reacquire(self.class, missing);
    }

    /// Returns the latest time passed to [`AdmissionPermit::mark_active`].
    pub(crate) fn last_active(&self) -> MonoTime {
        self.last_active
    }

    /// Records the time of an event of the run. The latest one counts as the end of the run when
    /// the permit is dropped.
    pub(crate) fn mark_active(&mut self, now: MonoTime) {
        self.last_active = self.last_active.max(now);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut admission = lock(&self.state.admission);
        admission.release(self.class, self.sub_queries, self.last_active);
        let run_time = self.last_active.since(self.started);
        // A permit that no run has used must not count as a run of zero length.
        if !run_time.is_zero() {
            admission.run_ended(self.class, run_time);
        }
    }
}

/// Gauges of one service, for metrics and status pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceGauges {
    /// Sub-queries that may be in flight.
    pub limit: f64,
    /// Sub-queries of admitted requests in flight, without hedges and retries.
    pub in_flight: usize,
    /// Requests queued for admission.
    pub waiting: usize,
    /// Time after which a sub-query is hedged, once known.
    pub hedge_delay: Option<Duration>,
}

/// Gauges of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetGauges {
    /// Attempts of this VM in flight.
    pub in_flight: u32,
    /// Whether the target is ejected or being probed.
    pub ejected: bool,
}

impl ServiceState {
    /// Creates the state of a service with no latency samples and no known targets.
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

    /// Admits, queues or refuses a request, without waiting in the queue.
    #[must_use]
    pub fn admit(self: &Arc<Self>, params: AdmissionParams, now: MonoTime) -> Admission {
        let decision = lock(&self.admission).decide(params, now);
        match decision {
            AdmissionDecision::Granted => Admission::Granted(self.permit(params, now)),
            AdmissionDecision::Queued(ticket) => Admission::Queued(ticket),
            AdmissionDecision::Refused(refusal) => Admission::Refused(refusal),
        }
    }

    /// Returns the queued requests that may start now or are refused now.
    ///
    /// Call this whenever a run has ended, and every few milliseconds while requests are queued.
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

    /// Removes a queued request whose caller has disconnected; returns false if the request is no
    /// longer queued.
    pub fn leave_queue(&self, ticket: QueueTicket) -> bool {
        lock(&self.admission).cancel_waiting(ticket)
    }

    /// Adopts a new view: bounds the limit by the total slots of its targets, and drops the state
    /// of idle targets that are not in the view.
    pub fn observe_view(&self, view: &TargetView) {
        let slots: f64 = view
            .targets()
            .iter()
            .map(|target| f64::from(target.slots))
            .sum();
        lock(&self.admission).set_ceiling((slots * SLOT_LIMIT_FACTOR).max(1.0));
        let names: HashSet<&TargetName> = view
            .targets()
            .iter()
            .chain(view.remote_targets())
            .map(|target| &target.name)
            .collect();
        self.table.retain(|name| names.contains(name));
    }

    /// Returns the gauges of the service.
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

    /// Returns the gauges of one target, if it is known.
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
            last_active: now,
        }
    }
}
