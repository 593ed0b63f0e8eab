//! `POST /query`: admission, the run itself and the reply with its fault.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::TargetState;
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use super::{
    call::{TargetCall, header},
    counters::ActIdentity,
    hits::shard_hits,
    pace::PacedClock,
    reply::{
        ActDone, LoadReport, TargetResponse, echo, json_reply, not_run, plain_reply, set_header,
        spoil_body,
    },
    settings::{ReplyFault, ReportHonesty},
    slots::SlotGuard,
    state::{AnsweredCall, RequestDraw, TargetShared},
    stream::StreamFault,
};

/// How long after the deadline a late reply is sent.
const LATE_REPLY_MS: u64 = 50;

/// Attempt number in a crossed reply of a target that has seen no other.
const UNKNOWN_ATTEMPT: &str = "unknown-attempt";

/// Body of the request that such a reply answers.
const UNKNOWN_BODY: &[u8] = b"unknown-body";

/// Outcome of a query before faults of the reply.
type QueryResult = Result<TargetResponse, io::Error>;

/// Answers one query, the link delay included.
pub(crate) async fn serve_query(
    shared: Arc<TargetShared>,
    headers: HeaderMap,
    body: Bytes,
    fault: StreamFault,
) -> QueryResult {
    let mut clock = PacedClock::start();
    clock.pass(shared.settings.link_delay).await;
    shared.count(|counters| counters.requests += 1);
    let Some(call) = TargetCall::from_headers(&headers) else {
        shared.count(|counters| counters.malformed += 1);
        return Ok(plain_reply(StatusCode::BAD_REQUEST, "malformed headers"));
    };
    if call.is_act {
        return run_detached(&shared, call, body, fault, clock).await;
    }
    QueryRun::new(&shared, call, body, clock)
        .perform(&fault)
        .await
}

/// Runs an act to its end, also when the connection is lost meanwhile.
async fn run_detached(
    shared: &Arc<TargetShared>,
    call: TargetCall,
    body: Bytes,
    fault: StreamFault,
    clock: PacedClock,
) -> QueryResult {
    let owner = Arc::clone(shared);
    let task = shared.tasks.spawn(async move {
        let mut run = QueryRun::new(&owner, call, body, clock);
        tokio::select! {
            result = run.perform(&fault) => result,
            () = owner.stop.cancelled() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    });
    task.await.map_err(io::Error::other)?
}

/// One query on its way through the target.
struct QueryRun<'a> {
    shared: &'a TargetShared,
    call: TargetCall,
    body: Bytes,
    deadline: Instant,
    clock: PacedClock,
}

impl<'a> QueryRun<'a> {
    fn new(shared: &'a TargetShared, call: TargetCall, body: Bytes, clock: PacedClock) -> Self {
        let deadline = Instant::now() + call.deadline;
        Self {
            shared,
            call,
            body,
            deadline,
            clock,
        }
    }

    /// Takes, runs and answers the query; the reply has passed the link when this returns.
    async fn perform(&mut self, stream: &StreamFault) -> QueryResult {
        let result = self.answer(stream).await;
        self.clock.pass(self.shared.settings.link_delay).await;
        result
    }

    async fn answer(&mut self, stream: &StreamFault) -> QueryResult {
        if let Some(refusal) = self.refusal() {
            return Ok(refusal);
        }
        let guard = self.shared.cancellable(&self.call.attempt);
        let slot = match self.wait_for_slot(&guard.token).await {
            Ok(slot) => slot,
            Err(refusal) => return Ok(*refusal),
        };
        let draw = self.shared.draw();
        self.record_start();
        let cut_short = self.work(draw, &guard.token).await;
        drop(slot);
        if let Some(response) = cut_short {
            return Ok(response);
        }
        self.shared.count(|counters| counters.finished += 1);
        self.reply(draw.fault, stream).await
    }

    /// The refusal of a query that this target does not take, if it is one.
    fn refusal(&self) -> Option<TargetResponse> {
        let shared = self.shared;
        if shared.attempts().arrive(&self.call.attempt) {
            shared.count(|counters| counters.repeated_attempts += 1);
        }
        if shared.state() != TargetState::Serving {
            let since_drain = shared.since_drain();
            shared.count(|counters| {
                counters.while_not_serving += 1;
                counters.last_after_drain = counters.last_after_drain.max(since_drain);
            });
            return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, "not serving"));
        }
        if !shared.holds(self.call.holding) {
            shared.count(|counters| counters.gone += 1);
            return Some(not_run(StatusCode::GONE, "version is gone"));
        }
        None
    }

    async fn wait_for_slot(
        &mut self,
        cancel: &CancellationToken,
    ) -> Result<SlotGuard, Box<TargetResponse>> {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        let before = Instant::now();
        let waited = tokio::select! {
            waited = timeout_at(self.deadline, self.shared.gate.enter()) => waited,
            () = cancel.cancelled() => return Err(Box::new(not_run(unavailable, "cancelled"))),
        };
        let Ok(entered) = waited else {
            self.shared.count(|counters| counters.expired += 1);
            return Err(Box::new(not_run(unavailable, "deadline passed")));
        };
        let Some(slot) = entered else {
            self.shared.count(|counters| counters.shed += 1);
            return Err(Box::new(not_run(unavailable, "queue is full")));
        };
        if !self.shared.attempts().start(&self.call.attempt) {
            return Err(Box::new(not_run(unavailable, "cancelled")));
        }
        self.clock.skip(before.elapsed());
        Ok(slot)
    }

    fn record_start(&self) {
        self.shared.count(|counters| counters.runs += 1);
        if !self.call.is_act {
            return;
        }
        let act = ActIdentity {
            key: self.call.key.clone().unwrap_or_default(),
            body: body_text(&self.body),
        };
        self.shared.runs().record(act);
    }

    /// Occupies the slot; a response when a search ended before its time.
    async fn work(
        &mut self,
        draw: RequestDraw,
        cancel: &CancellationToken,
    ) -> Option<TargetResponse> {
        if self.call.is_act {
            self.clock.pass(draw.service).await;
            return None;
        }
        let ignores_deadline = draw.fault == Some(ReplyFault::Late);
        tokio::select! {
            () = self.clock.pass(draw.service) => None,
            () = cancel.cancelled() => {
                Some(plain_reply(StatusCode::SERVICE_UNAVAILABLE, "cancelled while running"))
            }
            () = sleep_until(self.deadline), if !ignores_deadline => {
                Some(plain_reply(StatusCode::GATEWAY_TIMEOUT, "deadline passed while running"))
            }
        }
    }

    async fn reply(&self, fault: Option<ReplyFault>, stream: &StreamFault) -> QueryResult {
        if fault.is_some() {
            self.shared.count(|counters| counters.faulty_replies += 1);
        }
        let own = AnsweredCall {
            call: self.call.clone(),
            body: self.body.clone(),
        };
        let previous = self.shared.swap_last_answer(own.clone());
        let answered = match fault {
            Some(ReplyFault::Crossed) => previous.unwrap_or_else(|| unknown_call(&own)),
            _ => own,
        };
        match fault {
            Some(ReplyFault::Dies) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Some(ReplyFault::Doubled) => stream.double_next(),
            Some(ReplyFault::Truncated) => stream.truncate_next(),
            Some(ReplyFault::Late) => {
                let after = Duration::from_millis(LATE_REPLY_MS);
                sleep_until(self.deadline + after).await;
            }
            _ => {}
        }
        let mut response = answer(self.shared, &answered);
        echo(&mut response, &answered.call);
        spoil_body(&mut response, fault);
        Ok(response)
    }
}

/// A call of another caller that never was, for the first crossed reply.
fn unknown_call(own: &AnsweredCall) -> AnsweredCall {
    let mut other = own.clone();
    UNKNOWN_ATTEMPT.clone_into(&mut other.call.attempt);
    other.body = Bytes::from_static(UNKNOWN_BODY);
    other
}

fn answer(shared: &TargetShared, answered: &AnsweredCall) -> TargetResponse {
    let text = body_text(&answered.body);
    let mut response = if answered.call.is_act {
        let done = ActDone {
            done: true,
            key: answered.call.key.as_deref(),
            echo: &text,
        };
        json_reply(StatusCode::OK, &done)
    } else {
        let hits = shard_hits(answered.call.holding, shared.settings.hits, &text);
        json_reply(StatusCode::OK, &hits)
    };
    if let Some(load) = reported_load(shared) {
        set_header(&mut response, header::LOAD, &load.header());
    }
    response
}

fn body_text(body: &Bytes) -> String {
    String::from_utf8_lossy(body).into_owned()
}

/// The load that the target reports, honest or not.
pub(crate) fn reported_load(shared: &TargetShared) -> Option<LoadReport> {
    let truth = shared.gate.load();
    let slots = truth.slots;
    let report = |in_flight, queued| LoadReport {
        in_flight,
        slots,
        queued,
    };
    match shared.honesty() {
        ReportHonesty::Honest => Some(LoadReport::from(truth)),
        ReportHonesty::ClaimsIdle => Some(report(0, 0)),
        ReportHonesty::ClaimsFull => Some(report(u64::from(slots), shared.settings.queue)),
        ReportHonesty::Silent => None,
    }
}
