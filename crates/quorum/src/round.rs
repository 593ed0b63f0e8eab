//! One round of a proposal: prepare at a quorum, then accept at a quorum.
//!
//! The round is a state machine that does no I/O. The caller sends the requests of each phase and
//! passes in the replies, including lost ones as `None`.

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
    /// Number of voters that must agree.
    quorum: usize,
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

/// The replies counted in one phase.
#[derive(Debug, Default)]
struct RoundTally {
    answered: Vec<bool>,
    agreed: usize,
    failed: usize,
    highest: Option<AcceptedValue>,
    /// Whether all voters that agreed accepted their last value in the same round, or all accepted
    /// none.
    unanimous: bool,
    conflicting_ballot: Option<Ballot>,
    epoch: Option<EpochState>,
}

/// The result of passing a reply to a round.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoundStep {
    /// The phase needs more replies, or has ended already.
    Wait,
    /// A quorum promised the ballot; the current value of the register is known.
    Prepared {
        /// The current value, if there is one.
        value: Option<Arc<RegisterValue>>,
        /// Whether the value is certainly chosen, so that it may be returned without an accept.
        chosen: bool,
    },
    /// A quorum accepted the proposed value, so it is chosen.
    Chosen,
    /// The round can no longer succeed.
    Failed(RoundFailure),
}

/// The reason why a round failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoundFailure {
    /// Highest promised ballot among the conflict replies.
    pub conflicting_ballot: Option<Ballot>,
    /// Latest voter sets among the replies of voters in another epoch.
    pub epoch: Option<EpochState>,
}

impl ProposalRound {
    /// Creates a round that starts with the prepare phase.
    #[must_use]
    pub fn prepare(set: VoterSet, key: RegisterKey, ballot: Ballot) -> Self {
        Self::in_phase(set, key, ballot, RoundPhase::Preparing)
    }

    /// Creates a round whose ballot a quorum promised along with the proposer's last accept.
    #[must_use]
    pub fn prepared(set: VoterSet, key: RegisterKey, ballot: Ballot) -> Self {
        Self::in_phase(set, key, ballot, RoundPhase::Prepared)
    }

    fn in_phase(set: VoterSet, key: RegisterKey, ballot: Ballot, phase: RoundPhase) -> Self {
        let tally = RoundTally::new(set.members.len());
        Self {
            key,
            ballot,
            quorum: set.quorum(),
            set,
            phase,
            tally,
        }
    }

    /// Lets `quorum` voters decide the round. Any two quorums of an epoch must have a voter in common.
    #[must_use]
    pub const fn with_quorum(mut self, quorum: usize) -> Self {
        self.quorum = quorum;
        self
    }

    /// Returns the voters that the requests are sent to.
    #[must_use]
    pub const fn voters(&self) -> &VoterSet {
        &self.set
    }

    /// Returns the prepare requests, in the order of the voters.
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
    /// If `next` is given, the voters that accept the value also promise that later ballot.
    ///
    /// # Panics
    /// When no quorum has promised the round's ballot, or a value was proposed already.
    #[must_use]
    pub fn propose(
        &mut self,
        value: Arc<RegisterValue>,
        next: Option<Ballot>,
    ) -> Vec<VoterRequest> {
        assert_eq!(
            self.phase,
            RoundPhase::Prepared,
            "propose requires a prepared round"
        );
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

    /// Processes the reply of the voter at `index`, or `None` if the reply was lost.
    pub fn on_reply(&mut self, index: usize, reply: Option<VoterReply>) -> RoundStep {
        if !self.tally.mark_answered(index) {
            return RoundStep::Wait;
        }
        match (self.phase, reply) {
            (RoundPhase::Preparing, Some(VoterReply::Promised { accepted })) => {
                self.tally.add_agreement(accepted);
            }
            (RoundPhase::Accepting, Some(VoterReply::Accepted)) => self.tally.add_agreement(None),
            (RoundPhase::Preparing | RoundPhase::Accepting, reply) => self.tally.add_failure(reply),
            (RoundPhase::Prepared | RoundPhase::Ended, _) => return RoundStep::Wait,
        }
        self.conclude()
    }

    fn conclude(&mut self) -> RoundStep {
        let quorum = self.quorum;
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
        if self.tally.failed + quorum > self.set.members.len() && self.tally.explains_failure() {
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

    /// Marks the voter as having answered and returns whether this is its first reply.
    fn mark_answered(&mut self, index: usize) -> bool {
        match self.answered.get_mut(index) {
            Some(answered) => !std::mem::replace(answered, true),
            None => false,
        }
    }

    /// Whether a reply says why the round fails, or no reply is missing.
    ///
    /// Voters that are gone for good refuse at once, before the reply that names the set in which
    /// they were replaced.
    fn explains_failure(&self) -> bool {
        self.conflicting_ballot.is_some()
            || self.epoch.is_some()
            || self.answered.iter().all(|answered| *answered)
    }

    fn add_agreement(&mut self, accepted: Option<AcceptedValue>) {
        let ballot = accepted.as_ref().map(|accepted| accepted.ballot);
        let highest = self.highest.as_ref().map(|accepted| accepted.ballot);
        self.unanimous &= self.agreed == 0 || ballot == highest;
        if ballot > highest {
            self.highest = accepted;
        }
        self.agreed += 1;
    }

    fn add_failure(&mut self, reply: Option<VoterReply>) {
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

/// Whether a value that a quorum of `set` holds was accepted in the epoch of `set`, so that it is
/// chosen. Also true if the quorum holds no value.
///
/// Copies of a value that was accepted in an earlier epoch do not count as votes. The voters may
/// have copied them from different old voters, and a quorum that happens to hold the same copy
/// does not constrain the next round.
pub(crate) fn accepted_in_epoch(accepted: Option<&AcceptedValue>, set: &VoterSet) -> bool {
    accepted.is_none_or(|accepted| accepted.ballot.epoch == set.epoch)
}

pub(crate) fn requests_to_all(set: &VoterSet, body: &RequestBody) -> Vec<VoterRequest> {
    let request = |member: &crate::member::VoterMember| VoterRequest {
        to: member.identity,
        epoch: set.epoch,
        body: body.clone(),
    };
    set.members.iter().map(request).collect()
}
