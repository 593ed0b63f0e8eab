//! Drives the attempts of one run: sends and cancels them, and waits for the next event.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict, ServiceName};
use fulmarweir_pool::{RequestKind, TargetAnswer, TargetError, TargetFault, TargetRequest};
use fulmarweir_route::{
    AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, ReportedLoad, RouteAction, parse_hits,
};
use futures::{
    StreamExt,
    future::{AbortHandle, Abortable, BoxFuture},
    stream::FuturesUnordered,
};

use crate::{
    dispatch::send_attempt,
    metrics::{KindLabel, ReasonLabel},
    node::NodeState,
    views::ServiceView,
};

/// Divisor of an act's remaining time; the quotient is reserved for cancelling the attempt, up to
/// [`ACT_CANCEL_MAX_MS`]. The target's reply may prove that the act has not run.
const ACT_CANCEL_DIVISOR: u32 = 4;
const ACT_CANCEL_MAX_MS: u64 = 60;

/// The part of a request that all attempts of a run share.
pub(crate) struct RunRequest {
    pub(crate) service: ServiceName,
    pub(crate) kind: RequestKind,
    pub(crate) request_id: Arc<str>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) body: Bytes,
}

/// An event that a run has to handle.
pub(crate) enum RunEvent {
    /// An attempt has ended.
    Ended(AttemptId, AttemptOutcome),
    /// The wake-up time that the run requested has come.
    Wake,
    /// The targets of the service have changed.
    ViewChanged,
}

type EndedAttempt = (AttemptId, AttemptOutcome);
type AttemptFuture<'a> = Abortable<BoxFuture<'a, EndedAttempt>>;

/// Drives the attempts of one run. Dropping it cancels all attempts in flight.
pub(crate) struct RunDriver<'a> {
    node: &'a NodeState,
    view: Arc<ServiceView>,
    request: &'a RunRequest,
    attempts: FuturesUnordered<AttemptFuture<'a>>,
    handles: HashMap<AttemptId, AbortHandle>,
    wake_at: Option<MonoTime>,
    changes: tokio::sync::watch::Receiver<u64>,
}

impl<'a> RunDriver<'a> {
    pub(crate) fn new(
        node: &'a NodeState,
        view: Arc<ServiceView>,
        request: &'a RunRequest,
    ) -> Self {
        Self {
            node,
            view,
            request,
            attempts: FuturesUnordered::new(),
            handles: HashMap::new(),
            wake_at: None,
            changes: node.views.subscribe(),
        }
    }

    /// Performs the actions, and returns the outcome if the run has finished.
    pub(crate) fn perform<O>(&mut self, actions: Vec<RouteAction<O>>) -> Option<O> {
        for action in actions {
            match action {
                RouteAction::Send(spec) => self.send(spec),
                RouteAction::Cancel(id) => {
                    if let Some(handle) = self.handles.remove(&id) {
                        handle.abort();
                    }
                }
                RouteAction::Wake(at) => self.wake_at = Some(at),
                RouteAction::Finish(outcome) => return Some(outcome),
            }
        }
        None
    }

    /// Waits for the next event.
    pub(crate) async fn next(&mut self) -> RunEvent {
        loop {
            let wake_at = self.wake_at;
            let wake = async {
                match wake_at {
                    Some(at) => self.node.timer.sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some(finished) = self.attempts.next() => {
                    // An aborted attempt is skipped: the run itself has cancelled it.
                    if let Ok((id, outcome)) = finished {
                        self.handles.remove(&id);
                        return RunEvent::Ended(id, outcome);
                    }
                }
                () = wake => {
                    self.wake_at = None;
                    return RunEvent::Wake;
                }
                Ok(()) = self.changes.changed() => {
                    if self.refresh_view() {
                        return RunEvent::ViewChanged;
                    }
                }
            }
        }
    }

    /// Returns the newest view of the service's targets.
    pub(crate) fn view(&self) -> &ServiceView {
        &self.view
    }

    fn refresh_view(&mut self) -> bool {
        let Some(view) = self.node.views.get(&self.request.service) else {
            return false;
        };
        let changed = !Arc::ptr_eq(&view, &self.view);
        self.view = view;
        changed
    }

    fn send(&mut self, spec: AttemptSpec) {
        self.count_attempt(spec.kind);
        let id = spec.attempt;
        let request = self.target_request(&spec);
        let node = self.node;
        let kind = self.request.kind;
        let view = Arc::clone(&self.view);
        let work: BoxFuture<'a, EndedAttempt> = Box::pin(async move {
            let result = send_attempt(node, &view, &spec.target.name, request).await;
            (id, attempt_outcome(node, kind, result))
        });
        let (handle, registration) = AbortHandle::new_pair();
        self.handles.insert(id, handle);
        self.attempts.push(Abortable::new(work, registration));
    }

    fn target_request(&self, spec: &AttemptSpec) -> TargetRequest {
        let common = self.request;
        TargetRequest {
            service: common.service.clone(),
            kind: common.kind,
            request: Arc::clone(&common.request_id),
            attempt: self.node.new_attempt_id(),
            version: spec.version,
            shard: spec.shard,
            of: spec.of,
            deadline: self.target_deadline(spec.deadline),
            key: common.key.clone(),
            body: common.body.clone(),
        }
    }

    /// Returns the deadline for the target. For an act it is earlier than `deadline`, which leaves
    /// time to cancel the attempt and receive the reply to the cancellation.
    fn target_deadline(&self, deadline: MonoTime) -> MonoTime {
        if self.request.kind == RequestKind::Search {
            return deadline;
        }
        let now = self.node.timer.now();
        let left = deadline.since(now);
        let reserve_max = std::time::Duration::from_millis(ACT_CANCEL_MAX_MS);
        let reserved = reserve_max.min(left / ACT_CANCEL_DIVISOR);
        now + left.saturating_sub(reserved)
    }

    fn count_attempt(&self, kind: AttemptKind) {
        let metrics = &self.node.metrics;
        let label = KindLabel {
            kind: kind.as_str(),
        };
        metrics.attempts.get_or_create(&label).inc();
        if let AttemptKind::Retry(reason) = kind {
            let reason = ReasonLabel {
                reason: reason.as_str(),
            };
            metrics.retries.get_or_create(&reason).inc();
        }
    }
}

/// Converts the result of an attempt into an outcome for the run, and counts failures.
fn attempt_outcome(
    node: &NodeState,
    kind: RequestKind,
    result: Result<TargetAnswer, TargetError>,
) -> AttemptOutcome {
    match result {
        Ok(answer) => answer_outcome(node, kind, answer),
        Err(error) => {
            count_failure(node, error.fault.as_str());
            failure_outcome(error)
        }
    }
}

fn answer_outcome(node: &NodeState, kind: RequestKind, answer: TargetAnswer) -> AttemptOutcome {
    let load = answer.load.map(|load| ReportedLoad {
        in_flight: load.in_flight,
        slots: load.slots,
        queued: load.queued,
    });
    match kind {
        RequestKind::Act if is_json(&answer.body) => {
            let body = answer.body;
            return AttemptOutcome::Done { body, load };
        }
        RequestKind::Act => {}
        RequestKind::Search => {
            if let Ok(hits) = parse_hits(&answer.body) {
                return AttemptOutcome::Hits { hits, load };
            }
        }
    }
    count_failure(node, "bad-body");
    AttemptOutcome::Failed {
        verdict: RunVerdict::Ran,
        retried_downstream: false,
    }
}

fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

fn failure_outcome(error: TargetError) -> AttemptOutcome {
    match error.fault {
        TargetFault::VersionGone => AttemptOutcome::VersionGone,
        TargetFault::BadEcho => AttemptOutcome::BadEcho,
        TargetFault::Timeout if error.verdict != RunVerdict::NotRun => AttemptOutcome::TimedOut,
        TargetFault::Shed | TargetFault::QueueFull => AttemptOutcome::Refused {
            shedding: true,
            retry_after: error.retry_after,
        },
        TargetFault::NoShare | TargetFault::QueueTimeout => AttemptOutcome::Refused {
            shedding: false,
            retry_after: error.retry_after,
        },
        _ => AttemptOutcome::Failed {
            verdict: error.verdict,
            retried_downstream: false,
        },
    }
}

fn count_failure(node: &NodeState, reason: &'static str) {
    let label = ReasonLabel { reason };
    node.metrics.attempt_failures.get_or_create(&label).inc();
}
