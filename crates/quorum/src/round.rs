//! One round of a proposal: prepare at a quorum, then accept at a quorum.
//!
//! The machine is pure. Its driver sends what a step asks for and passes the
//! answers in; lost answers are reported as such.

use std::sync::Arc;

use crate::{
    ballot::Ballot,
    key::RegisterKey,
    member::{EpochState, VoterSet},
    message::{RequestBody, VoterReply, VoterRequest},
    value::{AcceptedValue, RegisterValue},
};

/// A round of one register.
#[derive(Debug)]
pub struct ProposalRound {
    key: RegisterKey,
    ballot: Ballot,
    set: VoterSet,
    phase: RoundPhase,
    tally: RoundTally,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RoundPhase {
    Preparing,
    Prepared,
    Accepting,
    Ended,
}

/// The answers of one phase.
#[derive(Debug, Default)]
struct RoundTally {
    answered: Vec<bool>,
    agreed: usize,
    failed: usize,
    highest: Option<AcceptedValue>,
    /// Whether all that agreed had accepted in the same round, or nothing.
    unanimous: bool,
    conflicting_ballot: Option<Ballot>,
    epoch: Option<EpochState>,
}

/// What follows from an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoundStep {
    /// Nothing yet.
    Wait,
    /// A quorum promised; the value to change is known.
    Prepared {
        /// The value, if there is one.
        value: Option<Arc<RegisterValue>>,
        /// Whether the value is certainly chosen and may be returned as it is.
        chosen: bool,
    },
    /// A quorum accepted: the proposed value is chosen.
    Chosen,
    /// The round cannot succeed any more.
    Failed(RoundFailure),
}

/// Why a round failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoundFailure {
    /// Highest ballot that got in the way.
    pub conflicting_ballot: Option<Ballot>,
    /// The latest voter sets that a voter told.
    pub epoch: Option<EpochState>,
}

impl ProposalRound {
    /// A round that begins by preparing.
    #[must_use]
    pub fn prepare(set: VoterSet, key: RegisterKey, ballot: Ballot) -> Self {
        Self::in_phase(set, key, ballot, RoundPhase::Preparing)
    }

    /// A round whose ballot a quorum has promised along with the proposer's last accept.
    #[must_use]
    pub fn prepared(set: VoterSet, key: RegisterKey, ballot: Ballot) -> Self {
        Self::in_phase(set, key, ballot, RoundPhase::Prepared)
    }

    fn in_phase(set: VoterSet, key: RegisterKey, ballot: Ballot, phase: RoundPhase) -> Self {
        let tally = RoundTally::new(set.members.len());
        Self {
            key,
            ballot,
            set,
            phase,
            tally,
        }
    }

    /// The voters that requests go to.
    #[must_use]
    pub const fn voters(&self) -> &VoterSet {
        &self.set
    }

    /// The prepare requests, in the order of the voters.
    #[must_use]
    pub fn prepare_requests(&self) -> Vec<VoterRequest> {
        let body = RequestBody::Prepare {
            key: self.key.clone(),
            ballot: self.ballot,
        };
        requests_to_all(&self.set, &body)
    }

    /// Proposes `value` and returns the accept requests, in the order of the voters.
    ///
    /// With `next`, the voters that accept also promise that later ballot.
    ///
    /// # Panics
    /// When no quorum has promised the round's ballot.
    #[must_use]
    pub fn propose(
        &mut self,
        value: Arc<RegisterValue>,
        next: Option<Ballot>,
    ) -> Vec<VoterRequest> {
        assert_eq!(self.phase, RoundPhase::Prepared, "a round proposes once");
        self.phase = RoundPhase::Accepting;
        self.tally = RoundTally::new(self.set.members.len());
        let body = RequestBody::Accept {
            key: self.key.clone(),
            ballot: self.ballot,
            value,
            next,
        };
        requests_to_all(&self.set, &body)
    }

    /// Takes the answer of the voter at `index`, `None` when it was lost.
    pub fn on_reply(&mut self, index: usize, reply: Option<VoterReply>) -> RoundStep {
        if !self.tally.mark_answered(index) {
            return RoundStep::Wait;
        }
        match (self.phase, reply) {
            (RoundPhase::Preparing, Some(VoterReply::Promised { accepted })) => {
                self.tally.agree(accepted);
            }
            (RoundPhase::Accepting, Some(VoterReply::Accepted)) => self.tally.agree(None),
            (RoundPhase::Preparing | RoundPhase::Accepting, reply) => self.tally.fail(reply),
            (RoundPhase::Prepared | RoundPhase::Ended, _) => return RoundStep::Wait,
        }
        self.conclude()
    }

    fn conclude(&mut self) -> RoundStep {
        let quorum = self.set.quorum();
        if self.tally.agreed >= quorum && self.phase == RoundPhase::Preparing {
            self.phase = RoundPhase::Prepared;
            return RoundStep::Prepared {
                chosen: self.tally.unanimous
                    && accepted_in_epoch(self.tally.highest.as_ref(), &self.set),
                value: self.tally.highest.take().map(|accepted| accepted.value),
            };
        }
        if self.tally.agreed >= quorum {
            self.phase = RoundPhase::Ended;
            return RoundStep::Chosen;
        }
        if self.tally.failed + quorum > self.set.members.len() {
            self.phase = RoundPhase::Ended;
            return RoundStep::Failed(RoundFailure {
                conflicting_ballot: self.tally.conflicting_ballot,
                epoch: self.tally.epoch.take(),
            });
        }
        RoundStep::Wait
    }
}

impl RoundTally {
    fn new(voters: usize) -> Self {
        Self {
            answered: vec![false; voters],
            unanimous: true,
            ..Self::default()
        }
    }

    fn mark_answered(&mut self, index: usize) -> bool {
        match self.answered.get_mut(index) {
            Some(answered) => !std::mem::replace(answered, true),
            None => false,
        }
    }

    fn agree(&mut self, accepted: Option<AcceptedValue>) {
        let ballot = accepted.as_ref().map(|accepted| accepted.ballot);
        let highest = self.highest.as_ref().map(|accepted| accepted.ballot);
        self.unanimous &= self.agreed == 0 || ballot == highest;
        if ballot > highest {
            self.highest = accepted;
        }
        self.agreed += 1;
    }

    fn fail(&mut self, reply: Option<VoterReply>) {
        self.failed += 1;
        match reply {
            Some(VoterReply::Conflict { promised }) => {
                self.conflicting_ballot = self.conflicting_ballot.max(Some(promised));
            }
            Some(VoterReply::Moved { epoch } | VoterReply::NotWhole { epoch }) => {
                let known = self.epoch.as_ref().map(|known| known.latest().epoch);
                if known < Some(epoch.latest().epoch) {
                    self.epoch = Some(epoch);
                }
            }
            _ => {}
        }
    }
}

/// Whether a value that a quorum of `set` holds is chosen.
///
/// Copies of a value that was accepted in an earlier epoch are no votes: different voters may
/// have got theirs from different old voters, and a quorum that holds the same copy by chance
/// does not bind the next round.
pub(crate) fn accepted_in_epoch(held: Option<&AcceptedValue>, set: &VoterSet) -> bool {
    held.is_none_or(|held| held.ballot.epoch == set.epoch)
}

pub(crate) fn requests_to_all(set: &VoterSet, body: &RequestBody) -> Vec<VoterRequest> {
    let request = |member: &crate::member::VoterMember| VoterRequest {
        to: member.identity,
        epoch: set.epoch,
        body: body.clone(),
    };
    set.members.iter().map(request).collect()
}
