//! The registers of acts, which let each idempotency key run at most once.

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

/// The recorded answer of an act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActOutcome {
    /// HTTP status.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
}

/// The value of an act's register. No value means not claimed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ActState {
    /// An attempt may be running, or may have run.
    Claimed(ActClaim),
    /// The act has run.
    Finished {
        /// Attempt that ran it.
        claim: ActClaim,
        /// Its answer.
        outcome: ActOutcome,
    },
    /// The last attempt has certainly not run; the next claim is granted.
    Released,
}

/// The answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This attempt, and no other, may run the act.
    Granted,
    /// Another attempt may be running, or may have run.
    HeldBy(ActClaim),
    /// The act has run.
    Finished(ActOutcome),
    /// The key was used with another body.
    OtherBody,
}

/// The answer to recording an outcome or releasing a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettleOutcome {
    /// Done, by this call or an earlier one.
    Settled,
    /// The claim does not hold the register; nothing was changed.
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

/// Reads an act's register without changing it.
pub(crate) fn read_act(value: Option<&RegisterValue>) -> RegisterChange<Option<ActState>> {
    RegisterChange::Keep(act_state(value).cloned())
}

fn act_state(value: Option<&RegisterValue>) -> Option<&ActState> {
    match value {
        Some(RegisterValue::Act(state)) => Some(state),
        _ => None,
    }
}
