//! Sequential specification of the claim of one idempotency key, for which several bodies compete.

use todc_utils::Specification;

/// An operation on the claim together with its result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOp {
    /// The caller got the answer that this body ran.
    Ran {
        /// Number of the body.
        body: u32,
    },
    /// The caller got the answer that the key belongs to another body than this one.
    OtherBody {
        /// Number of the body.
        body: u32,
    },
    /// An act that was answered as not run may have held the claim for a while.
    Hold {
        /// Number of the body.
        body: u32,
        /// Number of the act.
        act: u32,
    },
    /// An act that was answered as not run, or not at all, releases the claim if it holds it.
    Release {
        /// Number of the act.
        act: u32,
    },
    /// An act whose caller does not know whether it ran.
    Unsettled {
        /// Number of the body.
        body: u32,
        /// Number of the act.
        act: u32,
    },
    /// The targets' record of what ran, read after all acts have ended.
    TargetRuns {
        /// Number of the body that ran; `None` if none did.
        body: Option<u32>,
    },
}

/// State of the claim.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimState {
    /// No act holds the claim.
    Free,
    /// An act that will not run holds the claim.
    Held {
        /// Number of the body.
        body: u32,
        /// Number of the act.
        act: u32,
    },
    /// An act that may have run or may still run holds the claim.
    Unsettled {
        /// Number of the body.
        body: u32,
        /// Number of the act.
        act: u32,
    },
    /// The body has run.
    Ran {
        /// Number of the body.
        body: u32,
    },
}

/// Sequential specification of the claim of one key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = ClaimState;
    type Operation = ClaimOp;

    fn init() -> ClaimState {
        ClaimState::Free
    }

    fn apply(operation: &ClaimOp, state: &ClaimState) -> (bool, ClaimState) {
        match *operation {
            ClaimOp::Ran { body } => match state {
                ClaimState::Free => (true, ClaimState::Ran { body }),
                ClaimState::Ran { body: known } | ClaimState::Unsettled { body: known, .. } => {
                    (*known == body, ClaimState::Ran { body })
                }
                ClaimState::Held { .. } => (false, *state),
            },
            ClaimOp::OtherBody { body } => {
                let holder = holder_of(state);
                (holder.is_some_and(|holder| holder != body), *state)
            }
            ClaimOp::Hold { body, act } => (true, claim(state, ClaimState::Held { body, act })),
            ClaimOp::Unsettled { body, act } => {
                (true, claim(state, ClaimState::Unsettled { body, act }))
            }
            ClaimOp::Release { act } => (true, release(state, act)),
            ClaimOp::TargetRuns { body } => (target_runs_match(state, body), *state),
        }
    }
}

fn claim(state: &ClaimState, claimed: ClaimState) -> ClaimState {
    match state {
        ClaimState::Free => claimed,
        _ => *state,
    }
}

fn release(state: &ClaimState, act: u32) -> ClaimState {
    match state {
        ClaimState::Held { act: holder, .. } | ClaimState::Unsettled { act: holder, .. }
            if *holder == act =>
        {
            ClaimState::Free
        }
        _ => *state,
    }
}

fn holder_of(state: &ClaimState) -> Option<u32> {
    match *state {
        ClaimState::Free => None,
        ClaimState::Held { body, .. }
        | ClaimState::Unsettled { body, .. }
        | ClaimState::Ran { body } => Some(body),
    }
}

fn target_runs_match(state: &ClaimState, body_run: Option<u32>) -> bool {
    match (*state, body_run) {
        (ClaimState::Ran { body }, body_run) => body_run == Some(body),
        (ClaimState::Unsettled { body, .. }, Some(ran)) => body == ran,
        (_, body_run) => body_run.is_none(),
    }
}
