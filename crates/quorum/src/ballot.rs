//! Ballots, which order the rounds of a register.

use serde::{Deserialize, Serialize};

/// Identity of a proposer, drawn at random when its process starts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ProposerId(pub u64);

/// The number of a round.
///
/// The epoch stands first, so every round of a later voter set outranks all
/// rounds of the earlier ones, also those that only a minority saw.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Ballot {
    /// Epoch of the voter set.
    pub epoch: u64,
    /// Counter, never used twice by one proposer.
    pub counter: u64,
    /// Proposer of the round.
    pub proposer: ProposerId,
}

impl Ballot {
    /// Lower than every ballot of a round.
    pub const ZERO: Self = Self {
        epoch: 0,
        counter: 0,
        proposer: ProposerId(0),
    };
}

/// Draws ballots that one proposer never repeats.
#[derive(Debug)]
pub(crate) struct BallotGenerator {
    proposer: ProposerId,
    counter: u64,
}

impl BallotGenerator {
    pub(crate) const fn new(proposer: ProposerId) -> Self {
        Self {
            proposer,
            counter: 0,
        }
    }

    /// Makes the following ballots outrank `seen` within its epoch.
    pub(crate) fn observe(&mut self, seen: Ballot) {
        self.counter = self.counter.max(seen.counter);
    }

    pub(crate) const fn next_ballot(&mut self, epoch: u64) -> Ballot {
        self.counter += 1;
        Ballot {
            epoch,
            counter: self.counter,
            proposer: self.proposer,
        }
    }
}
