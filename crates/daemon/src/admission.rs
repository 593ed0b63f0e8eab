//! Queues requests until they are admitted or refused.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, ServiceName, lock};
use fulmarweir_route::{
    Admission, AdmissionParams, AdmissionPermit, PolicySettings, QueueEvent, QueueTicket,
    RouteRefusal, ServiceState, TargetView,
};
use tokio::sync::oneshot;

use crate::node::NodeState;

/// Time between two polls of the queued requests, in milliseconds.
const QUEUE_POLL_PERIOD_MS: u64 = 5;

type AdmissionResult = Result<AdmissionPermit, RouteRefusal>;

/// The state of one service and its queued requests.
pub(crate) struct AdmissionQueue {
    pub(crate) state: Arc<ServiceState>,
    waiters: Mutex<HashMap<QueueTicket, oneshot::Sender<AdmissionResult>>>,
    /// The view that was passed to `state` last.
    observed_view: Mutex<Option<Arc<TargetView>>>,
}

/// Removes a request from the queue if its caller disconnects.
struct QueueGuard<'a> {
    queue: &'a AdmissionQueue,
    ticket: QueueTicket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if lock(&self.queue.waiters).remove(&self.ticket).is_some() {
            self.queue.state.leave_queue(self.ticket);
        }
    }
}

impl AdmissionQueue {
    fn new(settings: PolicySettings) -> Self {
        Self {
            state: Arc::new(ServiceState::new(settings)),
            waiters: Mutex::default(),
            observed_view: Mutex::default(),
        }
    }

    /// Passes `view` to the state unless it is the view that was passed last.
    pub(crate) fn update_view(&self, view: &Arc<TargetView>) {
        let mut observed_view = lock(&self.observed_view);
        if observed_view
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, view))
        {
            return;
        }
        self.state.observe_view(view);
        *observed_view = Some(Arc::clone(view));
    }

    /// Waits until the request is admitted or refused.
    pub(crate) async fn admit(&self, params: AdmissionParams, now: MonoTime) -> AdmissionResult {
        let (ticket, receiver) = {
            // The lock is held until the ticket is inserted, so that no event for it is missed.
            let mut waiters = lock(&self.waiters);
            match self.state.admit(params, now) {
                Admission::Granted(permit) => return Ok(permit),
                Admission::Refused(refusal) => return Err(refusal),
                Admission::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let _guard = QueueGuard {
            queue: self,
            ticket,
        };
        receiver.await.unwrap_or_else(|_| {
            let reason = fulmarweir_route::RefusalReason::TooLate;
            Err(RouteRefusal::not_run(reason, None))
        })
    }

    /// Admits or refuses queued requests.
    pub(crate) fn poll(&self, now: MonoTime) {
        let mut waiters = lock(&self.waiters);
        if waiters.is_empty() {
            return;
        }
        for event in self.state.poll_queue(now) {
            let (ticket, result) = match event {
                QueueEvent::Granted(ticket, permit) => (ticket, Ok(permit)),
                QueueEvent::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = waiters.remove(&ticket) {
                // If the caller has just disconnected, its permit is dropped here.
                drop(sender.send(result));
            }
        }
    }
}

/// Admission queues by service. They are kept when the configuration changes.
pub(crate) struct AdmissionTable {
    queues: Mutex<HashMap<ServiceName, Arc<AdmissionQueue>>>,
    settings: PolicySettings,
}

impl AdmissionTable {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        Self {
            queues: Mutex::default(),
            settings,
        }
    }

    /// Returns the queue of a service, creating it on first use.
    pub(crate) fn get(&self, service: &ServiceName) -> Arc<AdmissionQueue> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.get(service) {
            return Arc::clone(queue);
        }
        let queue = Arc::new(AdmissionQueue::new(self.settings));
        queues.insert(service.clone(), Arc::clone(&queue));
        queue
    }

    fn poll_all(&self, now: MonoTime) {
        let queues: Vec<_> = lock(&self.queues).values().cloned().collect();
        for queue in queues {
            queue.poll(now);
        }
    }
}

/// Polls the queued requests of all services until the process halts.
pub(crate) async fn poll_admission_queues(node: Arc<NodeState>) {
    let mut ticks = node
        .timer
        .subscribe(Duration::from_millis(QUEUE_POLL_PERIOD_MS));
    loop {
        let now = tokio::select! {
            () = node.halt.cancelled() => return,
            tick = ticks.next() => match tick {
                Some(now) => now,
                None => return,
            },
        };
        node.admission_queues.poll_all(now);
    }
}
