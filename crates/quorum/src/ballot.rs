//! Ballots, which order the rounds of a register.

use serde::{Deserialize, Serialize};

/// Identity of a proposer, drawn at random when its process starts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ProposerId(pub u64);

/// The ballot number of a round.
///
/// The epoch is compared first, so every round of a later voter set outranks all rounds of
/// earlier sets, including rounds that only a minority of voters saw.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Ballot {
    /// Epoch of the voter set.
    pub epoch: u64,
    /// Counter that a proposer never uses twice.
    pub counter: u64,
    /// The round's proposer.
    pub proposer: ProposerId,
}

impl Ballot {
    /// A ballot lower than that of any round.
    pub const ZERO: Self = Self {
        epoch: 0,
        counter: 0,
        proposer: ProposerId(0),
    };
}

/// Generates the ballots of a proposer, never the same one twice.
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

    /// Makes all later ballots outrank `seen` within its epoch.
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
