//! Tries one VM after the other, as far as the verdicts so far allow it.

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
/// Time beyond the deadline in which a VM may say that it passed.
const ANSWER_GRACE_MS: u64 = 250;

const DEADLINE_HEADER: HeaderName = HeaderName::from_static("fulmarweir-deadline-ms");

/// The VMs that a command may talk to, in order.
#[derive(Clone, Debug)]
pub(crate) struct VmList {
    pub(crate) addresses: Vec<String>,
    pub(crate) deadline: Duration,
    /// Token that the VMs are shown, if any.
    pub(crate) token: Option<Arc<str>>,
}

impl VmList {
    /// Sends `call` until a VM accepts it, a refusal is final, or resending it is not safe.
    ///
    /// A call whose second sending gets the outcome of the first is sent
    /// again, also to the same VM, while its answers are lost.
    pub(crate) async fn call(&self, call: &VmCall) -> Result<VmReply> {
        let call = &self.with_token(call.clone())?;
        let end = Instant::now() + self.deadline;
        let mut past = AttemptHistory::default();
        for round in 0..ROUNDS_MAX {
            for (index, vm) in self.addresses.iter().enumerate() {
                let left = end.saturating_duration_since(Instant::now());
                let share = self.attempt_time(call, left, index);
                match attempt(vm, call, share).await {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => past.add(failure, call)?,
                }
            }
            let pause = Duration::from_millis(ROUND_PAUSE_MS);
            let has_time = Instant::now() + pause < end;
            if !past.is_worth_a_round(call) || !has_time || round + 1 == ROUNDS_MAX {
                break;
            }
            sleep(pause).await;
        }
        Err(past.into_failure().into())
    }

    /// Reads a JSON document of the operators' interface.
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

    /// Time for one attempt: all that is left if there can be no other.
    fn attempt_time(&self, call: &VmCall, left: Duration, index: usize) -> Duration {
        if !call.is_idempotent() {
            return left;
        }
        let vms_left = u32::try_from(self.addresses.len() - index).unwrap_or(u32::MAX);
        let share = left / vms_left.max(1);
        share.max(Duration::from_millis(ATTEMPT_MIN_MS))
    }
}

async fn attempt(
    vm: &str,
    call: &VmCall,
    share: Duration,
) -> std::result::Result<VmReply, RequestFailure> {
    let mut call = call.clone();
    let mut patience = share;
    if call.sends_deadline {
        let millis = u64::try_from(share.as_millis()).unwrap_or(u64::MAX);
        let value = HeaderValue::from(millis.max(1));
        call.headers.insert(DEADLINE_HEADER, value);
        patience += Duration::from_millis(ANSWER_GRACE_MS);
    }
    let reply = exchange(vm, &call, patience).await?;
    reply.error_for_status(&call).map_err(|mut failure| {
        failure.message = format!("{vm}: {}", failure.message);
        failure
    })
}

/// What earlier attempts of a call say about whether it ran.
#[derive(Debug, Default)]
struct AttemptHistory {
    verdict: Option<RunVerdict>,
    last: Option<RequestFailure>,
    messages: Vec<String>,
}

impl AttemptHistory {
    /// Adds a failed attempt; returns the failure if no further one may follow.
    fn add(&mut self, failure: RequestFailure, call: &VmCall) -> Result<()> {
        let own_verdict = failure.verdict;
        let decides = failure.is_final && call.kind == CallKind::Keyed;
        let verdict = match self.verdict {
            // A final refusal of a keyed call speaks for its earlier attempts too.
            Some(past) if !decides => past.combine(own_verdict),
            _ => own_verdict,
        };
        let is_end = failure.is_final || !own_verdict.allows_retry(call.is_idempotent());
        self.verdict = Some(verdict);
        if !self.messages.contains(&failure.message) {
            self.messages.push(failure.message.clone());
        }
        self.last = Some(failure);
        if is_end {
            return Err(std::mem::take(self).into_failure().into());
        }
        Ok(())
    }

    fn is_worth_a_round(&self, call: &VmCall) -> bool {
        call.kind == CallKind::Keyed && self.verdict == Some(RunVerdict::MayHaveRun)
    }

    fn into_failure(self) -> RequestFailure {
        let verdict = self.verdict.unwrap_or(RunVerdict::NotRun);
        let nothing_tried =
            || RequestFailure::of_transport(verdict, "no-vm", "no VM was given".to_owned());
        let last = self.last.unwrap_or_else(nothing_tried);
        RequestFailure {
            verdict,
            message: self.messages.join("; "),
            ..last
        }
    }
}
