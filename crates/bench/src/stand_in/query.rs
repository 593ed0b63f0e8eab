//! Handles `POST /query`: admits and runs a request, and injects faults into the reply.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::TargetState;
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use super::{
    call::{TargetCall, header},
    counters::ActIdentity,
    delay_timer::DelayTimer,
    hits::shard_hits,
    reply::{
        ActDone, ReportedLoad, TargetResponse, corrupt_body, json_reply, not_run_reply,
        plain_reply, set_echo_headers, set_header,
    },
    settings::{ReplyFault, ReportMode},
    slots::SlotGuard,
    state::{AnsweredCall, RequestDraw, TargetShared},
    stream::StreamFault,
};

/// Time from the deadline until a late reply is sent.
const LATE_REPLY_MS: u64 = 50;

/// Attempt number in a crossed reply when the target has answered no other request.
const UNKNOWN_ATTEMPT: &str = "unknown-attempt";

/// Request body in a crossed reply when the target has answered no other request.
const UNKNOWN_BODY: &[u8] = b"unknown-body";

/// Reply to a query, or an error that closes the connection.
type QueryResult = Result<TargetResponse, io::Error>;

/// Serves one query with the link delay in both directions.
pub(crate) async fn serve_query(
    shared: Arc<TargetShared>,
    headers: HeaderMap,
    body: Bytes,
    fault: StreamFault,
) -> QueryResult {
    let mut timer = DelayTimer::start();
    timer.sleep(shared.settings.link_delay).await;
    shared.update_counters(|counters| counters.requests += 1);
    let Some(call) = TargetCall::from_headers(&headers) else {
        shared.update_counters(|counters| counters.malformed += 1);
        return Ok(plain_reply(StatusCode::BAD_REQUEST, "malformed headers"));
    };
    if call.is_act {
        return run_detached(&shared, call, body, fault, timer).await;
    }
    QueryRun::new(&shared, call, body, timer)
        .execute(&fault)
        .await
}

/// Runs an act to completion, even if the connection is lost in the meantime.
async fn run_detached(
    shared: &Arc<TargetShared>,
    call: TargetCall,
    body: Bytes,
    fault: StreamFault,
    timer: DelayTimer,
) -> QueryResult {
    let task_shared = Arc::clone(shared);
    let task = shared.tasks.spawn(async move {
        let mut run = QueryRun::new(&task_shared, call, body, timer);
        tokio::select! {
            result = run.execute(&fault) => result,
            () = task_shared.stop.cancelled() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    });
    task.await.map_err(io::Error::other)?
}

/// Execution of one query.
struct QueryRun<'a> {
    shared: &'a TargetShared,
    call: TargetCall,
    body: Bytes,
    deadline: Instant,
    timer: DelayTimer,
}

impl<'a> QueryRun<'a> {
    fn new(shared: &'a TargetShared, call: TargetCall, body: Bytes, timer: DelayTimer) -> Self {
        let deadline = Instant::now() + call.deadline;
        Self {
            shared,
            call,
            body,
            deadline,
            timer,
        }
    }

    /// Runs the query, answers it and waits for the link delay of the reply.
    async fn execute(&mut self, stream_fault: &StreamFault) -> QueryResult {
        let result = self.answer(stream_fault).await;
        self.timer.sleep(self.shared.settings.link_delay).await;
        result
    }

    async fn answer(&mut self, stream_fault: &StreamFault) -> QueryResult {
        if let Some(refusal) = self.record_arrival() {
            return Ok(refusal);
        }
        let guard = self.shared.register_attempt(&self.call.attempt);
        let slot = match self.wait_for_slot(&guard.token).await {
            Ok(slot) => slot,
            Err(refusal) => return Ok(*refusal),
        };
        let draw = self.shared.draw();
        self.record_start();
        let early_response = self.occupy_slot(draw, &guard.token).await;
        drop(slot);
        if let Some(response) = early_response {
            return Ok(response);
        }
        self.shared
            .update_counters(|counters| counters.finished += 1);
        self.reply(draw.fault, stream_fault).await
    }

    /// Records the arrival of the attempt and returns a refusal if the target is not serving or
    /// does not hold the shard.
    fn record_arrival(&self) -> Option<TargetResponse> {
        let shared = self.shared;
        if shared.attempts().record_arrival(&self.call.attempt) {
            shared.update_counters(|counters| counters.repeated_attempts += 1);
        }
        if shared.state() != TargetState::Serving {
            let time_since_drain = shared.time_since_drain();
            shared.update_counters(|counters| {
                counters.while_not_serving += 1;
                counters.last_after_drain = counters.last_after_drain.max(time_since_drain);
            });
            return Some(not_run_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "not serving",
            ));
        }
        if !shared.holds(self.call.holding) {
            shared.update_counters(|counters| counters.gone += 1);
            return Some(not_run_reply(StatusCode::GONE, "version is gone"));
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
            waited = timeout_at(self.deadline, self.shared.limiter.acquire()) => waited,
            () = cancel.cancelled() =>
                return Err(Box::new(not_run_reply(unavailable, "cancelled"))),
        };
        let Ok(acquired) = waited else {
            self.shared
                .update_counters(|counters| counters.expired += 1);
            return Err(Box::new(not_run_reply(unavailable, "deadline passed")));
        };
        let Some(slot) = acquired else {
            self.shared.update_counters(|counters| counters.shed += 1);
            return Err(Box::new(not_run_reply(unavailable, "queue is full")));
        };
        if !self.shared.attempts().start(&self.call.attempt) {
            return Err(Box::new(not_run_reply(unavailable, "cancelled")));
        }
        self.timer.advance(before.elapsed());
        Ok(slot)
    }

    fn record_start(&self) {
        self.shared.update_counters(|counters| counters.runs += 1);
        if !self.call.is_act {
            return;
        }
        let act = ActIdentity {
            key: self.call.key.clone().unwrap_or_default(),
            body: body_text(&self.body),
        };
        self.shared.runs().record(act);
    }

    /// Occupies the slot for the service time. Returns a response if a search is cancelled or
    /// reaches its deadline first.
    async fn occupy_slot(
        &mut self,
        draw: RequestDraw,
        cancel: &CancellationToken,
    ) -> Option<TargetResponse> {
        if self.call.is_act {
            self.timer.sleep(draw.service_time).await;
            return None;
        }
        let ignores_deadline = draw.fault == Some(ReplyFault::Late);
        tokio::select! {
            () = self.timer.sleep(draw.service_time) => None,
            () = cancel.cancelled() => {
                Some(plain_reply(StatusCode::SERVICE_UNAVAILABLE, "cancelled while running"))
            }
            () = sleep_until(self.deadline), if !ignores_deadline => {
                Some(plain_reply(StatusCode::GATEWAY_TIMEOUT, "deadline passed while running"))
            }
        }
    }

    async fn reply(&self, fault: Option<ReplyFault>, stream_fault: &StreamFault) -> QueryResult {
        if fault.is_some() {
            self.shared
                .update_counters(|counters| counters.faulty_replies += 1);
        }
        let own = AnsweredCall {
            call: self.call.clone(),
            body: self.body.clone(),
        };
        let previous = self.shared.replace_last_call(own.clone());
        let answered = match fault {
            Some(ReplyFault::Crossed) => previous.unwrap_or_else(|| unknown_call(&own)),
            _ => own,
        };
        match fault {
            Some(ReplyFault::Dies) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Some(ReplyFault::Doubled) => stream_fault.double_next(),
            Some(ReplyFault::Truncated) => stream_fault.truncate_next(),
            Some(ReplyFault::Late) => {
                let after = Duration::from_millis(LATE_REPLY_MS);
                sleep_until(self.deadline + after).await;
            }
            _ => {}
        }
        let mut response = ok_reply(self.shared, &answered);
        set_echo_headers(&mut response, &answered.call);
        corrupt_body(&mut response, fault);
        Ok(response)
    }
}

/// Returns a made-up call for a crossed reply when no earlier call exists.
fn unknown_call(own: &AnsweredCall) -> AnsweredCall {
    let mut other = own.clone();
    UNKNOWN_ATTEMPT.clone_into(&mut other.call.attempt);
    other.body = Bytes::from_static(UNKNOWN_BODY);
    other
}

/// Returns the 200 reply to a call that has run.
fn ok_reply(shared: &TargetShared, answered: &AnsweredCall) -> TargetResponse {
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

/// Returns the load that the target reports in its [`ReportMode`].
pub(crate) fn reported_load(shared: &TargetShared) -> Option<ReportedLoad> {
    let actual = shared.limiter.load();
    let slots = actual.slots;
    let report = |in_flight, queued| ReportedLoad {
        in_flight,
        slots,
        queued,
    };
    match shared.report_mode() {
        ReportMode::Accurate => Some(ReportedLoad::from(actual)),
        ReportMode::AlwaysIdle => Some(report(0, 0)),
        ReportMode::AlwaysFull => Some(report(u64::from(slots), shared.settings.queue)),
        ReportMode::Silent => None,
    }
}
