//! The registers of acts, i.e. of requests to a service. They ensure that an act runs at most once
//! per idempotency key.

use bytes::Bytes;
use fulmarweir_base::VmName;
use serde::{Deserialize, Serialize};

use crate::value::{RegisterChange, RegisterValue};

/// Digest of a request body.
pub type BodyDigest = [u8; 32];

/// The right of one attempt to run an act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActClaim {
    /// VM that makes the attempt.
    pub vm: VmName,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Number of the attempt, unique within the incarnation.
    pub attempt: u64,
    /// Digest of the request body.
    pub body: BodyDigest,
}

/// The recorded response of an act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActOutcome {
    /// HTTP status.
    pub status: u16,
    /// Body of the response.
    pub body: Bytes,
}

/// The value of an act's register. A register without a value is not claimed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ActState {
    /// An attempt may be running, or may have run.
    Claimed(ActClaim),
    /// The act has run.
    Finished {
        /// Claim of the attempt that ran the act.
        claim: ActClaim,
        /// Response of the act.
        outcome: ActOutcome,
    },
    /// The last attempt certainly did not run the act; the next claim is granted.
    Released,
}

/// The outcome of claiming an act.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The attempt may run the act; no other attempt may.
    Granted,
    /// Another attempt may be running, or may have run.
    HeldBy(ActClaim),
    /// The act has run.
    Finished(ActOutcome),
    /// The idempotency key was used with a different body.
    OtherBody,
}

/// The outcome of recording an act's outcome or releasing its claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettleOutcome {
    /// The outcome was recorded or the claim released, by this call or an earlier one.
    Settled,
    /// The claim does not hold the act's register; nothing was changed.
    NotHolder,
}

pub(crate) fn claim_act(
    claim: &ActClaim,
    value: Option<&RegisterValue>,
) -> RegisterChange<ClaimOutcome> {
    let outcome = match act_state(value) {
        None | Some(ActState::Released) => {
            let value = RegisterValue::Act(ActState::Claimed(claim.clone()));
            return RegisterChange::Write(value, ClaimOutcome::Granted);
        }
        Some(ActState::Claimed(holder) | ActState::Finished { claim: holder, .. })
            if holder.body != claim.body =>
        {
            ClaimOutcome::OtherBody
        }
        Some(ActState::Claimed(holder)) if holder == claim => ClaimOutcome::Granted,
        Some(ActState::Claimed(holder)) => ClaimOutcome::HeldBy(holder.clone()),
        Some(ActState::Finished { outcome, .. }) => ClaimOutcome::Finished(outcome.clone()),
    };
    RegisterChange::Keep(outcome)
}

pub(crate) fn record_act(
    claim: &ActClaim,
    outcome: &ActOutcome,
    value: Option<&RegisterValue>,
) -> RegisterChange<SettleOutcome> {
    match act_state(value) {
        Some(ActState::Claimed(holder)) if holder == claim => {
            let state = ActState::Finished {
                claim: claim.clone(),
                outcome: outcome.clone(),
            };
            RegisterChange::Write(RegisterValue::Act(state), SettleOutcome::Settled)
        }
        Some(ActState::Finished { claim: holder, .. }) if holder == claim => {
            RegisterChange::Keep(SettleOutcome::Settled)
        }
        _ => RegisterChange::Keep(SettleOutcome::NotHolder),
    }
}

pub(crate) fn release_act(
    claim: &ActClaim,
    value: Option<&RegisterValue>,
) -> RegisterChange<SettleOutcome> {
    match act_state(value) {
        Some(ActState::Claimed(holder)) if holder == claim => {
            let value = RegisterValue::Act(ActState::Released);
            RegisterChange::Write(value, SettleOutcome::Settled)
        }
        None | Some(ActState::Released) => RegisterChange::Keep(SettleOutcome::Settled),
        _ => RegisterChange::Keep(SettleOutcome::NotHolder),
    }
}

/// Reads the state of an act without changing it.
pub(crate) fn read_act(value: Option<&RegisterValue>) -> RegisterChange<Option<ActState>> {
    RegisterChange::Keep(act_state(value).cloned())
}

fn act_state(value: Option<&RegisterValue>) -> Option<&ActState> {
    match value {
        Some(RegisterValue::Act(state)) => Some(state),
        _ => None,
    }
}
