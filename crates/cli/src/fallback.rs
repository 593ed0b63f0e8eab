//! Sends a request to several VMs in turn, as long as the verdicts of the attempts allow a retry.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::RunVerdict;
use http::{HeaderName, HeaderValue, header};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    call::{CallKind, VmCall, VmReply},
    exchange::exchange,
    failure::{RequestFailure, Result},
};

const ROUNDS_MAX: usize = 3;
const ROUND_PAUSE_MS: u64 = 200;
const ATTEMPT_MIN_MS: u64 = 50;
/// Extra time after the deadline, for a VM to answer that the deadline has passed.
const ANSWER_GRACE_MS: u64 = 250;

const DEADLINE_HEADER: HeaderName = HeaderName::from_static("fulmarweir-deadline-ms");

/// The VMs that a command may send requests to, in order of preference.
#[derive(Clone, Debug)]
pub(crate) struct VmList {
    pub(crate) addresses: Vec<String>,
    /// Time limit of a call, over all VMs that are tried.
    pub(crate) deadline: Duration,
    /// Bearer token that is sent to the VMs, if any.
    pub(crate) token: Option<Arc<str>>,
}

impl VmList {
    /// Sends `call` to the VMs in turn until one accepts it, a refusal is final, or resending it is
    /// not safe.
    ///
    /// A call of the kind [`CallKind::Keyed`] is sent again to all VMs, for a
    /// limited number of rounds, as long as its outcome is unknown.
    pub(crate) async fn call(&self, call: &VmCall) -> Result<VmReply> {
        let call = &self.with_token(call.clone())?;
        let end = Instant::now() + self.deadline;
        let mut history = AttemptHistory::default();
        for round in 0..ROUNDS_MAX {
            for (index, vm) in self.addresses.iter().enumerate() {
                let time_left = end.saturating_duration_since(Instant::now());
                let time_limit = self.attempt_time_limit(call, time_left, index);
                match attempt(vm, call, time_limit).await {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => history.add(failure, call)?,
                }
            }
            let pause = Duration::from_millis(ROUND_PAUSE_MS);
            let has_time = Instant::now() + pause < end;
            if !history.needs_another_round(call) || !has_time || round + 1 == ROUNDS_MAX {
                break;
            }
            sleep(pause).await;
        }
        Err(history.into_failure().into())
    }

    /// Reads a JSON document from the operators' port.
    pub(crate) async fn read(&self, path: &str) -> Result<Value> {
        let call = VmCall::get(path);
        self.call(&call).await?.json(&call)
    }

    fn with_token(&self, mut call: VmCall) -> Result<VmCall> {
        if let Some(token) = &self.token {
            call = call.header(header::AUTHORIZATION, &format!("Bearer {token}"))?;
        }
        Ok(call)
    }

    /// Returns the time limit of an attempt: an equal share of `time_left` for each remaining VM,
    /// but at least `ATTEMPT_MIN_MS`. If the call is not idempotent, the limit is `time_left`, as
    /// no retry is safe after a timeout.
    fn attempt_time_limit(&self, call: &VmCall, time_left: Duration, index: usize) -> Duration {
        if !call.is_idempotent() {
            return time_left;
        }
        let vms_left = u32::try_from(self.addresses.len() - index).unwrap_or(u32::MAX);
        let share = time_left / vms_left.max(1);
        share.max(Duration::from_millis(ATTEMPT_MIN_MS))
    }
}

async fn attempt(
    vm: &str,
    call: &VmCall,
    time_limit: Duration,
) -> std::result::Result<VmReply, RequestFailure> {
    let mut call = call.clone();
    let mut timeout = time_limit;
    if call.sends_deadline {
        let millis = u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX);
        let value = HeaderValue::from(millis.max(1));
        call.headers.insert(DEADLINE_HEADER, value);
        timeout += Duration::from_millis(ANSWER_GRACE_MS);
    }
    let reply = exchange(vm, &call, timeout).await?;
    reply.error_for_status(&call).map_err(|mut failure| {
        failure.message = format!("{vm}: {}", failure.message);
        failure
    })
}

/// The failed attempts of a call, with their combined verdict.
#[derive(Debug, Default)]
struct AttemptHistory {
    verdict: Option<RunVerdict>,
    last: Option<RequestFailure>,
    messages: Vec<String>,
}

impl AttemptHistory {
    /// Adds a failed attempt.
    ///
    /// # Errors
    ///
    /// The failure of the call if it must not be attempted again.
    fn add(&mut self, failure: RequestFailure, call: &VmCall) -> Result<()> {
        let own_verdict = failure.verdict;
        let overrides_earlier = failure.is_final && call.kind == CallKind::Keyed;
        let verdict = match self.verdict {
            // The verdict of a final refusal of a keyed call also holds for its earlier attempts.
            Some(previous) if !overrides_earlier => previous.combine(own_verdict),
            _ => own_verdict,
        };
        let stops = failure.is_final || !own_verdict.allows_retry(call.is_idempotent());
        self.verdict = Some(verdict);
        if !self.messages.contains(&failure.message) {
            self.messages.push(failure.message.clone());
        }
        self.last = Some(failure);
        if stops {
            return Err(std::mem::take(self).into_failure().into());
        }
        Ok(())
    }

    fn needs_another_round(&self, call: &VmCall) -> bool {
        call.kind == CallKind::Keyed && self.verdict == Some(RunVerdict::MayHaveRun)
    }

    fn into_failure(self) -> RequestFailure {
        let verdict = self.verdict.unwrap_or(RunVerdict::NotRun);
        let nothing_tried =
            || RequestFailure::without_answer(verdict, "no-vm", "no VM was given".to_owned());
        let last = self.last.unwrap_or_else(nothing_tried);
        RequestFailure {
            verdict,
            message: self.messages.join("; "),
            ..last
        }
    }
}
