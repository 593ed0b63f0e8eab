//! Messages between proposers and voters.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    ballot::Ballot,
    key::RegisterKey,
    member::{EpochState, VoterIdentity, VoterSet},
    value::{AcceptedValue, RegisterValue},
};

/// A request to one voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterRequest {
    /// Identity that the voter must have.
    pub to: VoterIdentity,
    /// Epoch that the request belongs to.
    pub epoch: u64,
    /// What is asked.
    pub body: RequestBody,
}

/// What a voter is asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestBody {
    /// Accept the value unless a higher ballot was promised.
    Accept {
        /// The register.
        key: RegisterKey,
        /// Ballot of the round.
        ballot: Ballot,
        /// The value.
        value: Arc<RegisterValue>,
        /// A later ballot to promise along with it, which saves the proposer its next prepare.
        next: Option<Ballot>,
    },
    /// All registers were installed: vote in the request's epoch.
    Complete,
    /// Tell identity and voter sets.
    Identify,
    /// Keep copies of registers, on the way to the request's epoch.
    Install {
        /// The copies.
        registers: Vec<RegisterCopy>,
    },
    /// Promise to accept nothing below the ballot.
    Prepare {
        /// The register.
        key: RegisterKey,
        /// Ballot of the round.
        ballot: Ballot,
    },
    /// Tell what was accepted, without a promise.
    Read {
        /// The register.
        key: RegisterKey,
    },
    /// Tell a part of all registers, on the way to the request's epoch.
    ReadPage {
        /// Where the part starts.
        from: PageCursor,
    },
    /// Stop voting in favour of a decided later set.
    Seal {
        /// The later set.
        next: VoterSet,
        /// The set just before it, as far as the change may be unfinished.
        previous: Option<VoterSet>,
    },
}

/// A place in the order of all registers of a voter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PageCursor {
    /// Shard that the page lies in.
    pub shard: u32,
    /// Last key of the page before, if it lies in the same shard.
    pub after: Option<RegisterKey>,
}

/// A register as a voter holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisterCopy {
    /// The register.
    pub key: RegisterKey,
    /// Highest promised ballot.
    pub promised: Ballot,
    /// Last accepted value.
    pub accepted: Option<AcceptedValue>,
}

/// Answer of a voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoterReply {
    /// The value was accepted.
    Accepted,
    /// A higher ballot was promised; nothing was done.
    Conflict {
        /// Ballot to exceed.
        promised: Ballot,
    },
    /// The voter's identity and voter sets.
    Identity {
        /// Identity of its log.
        identity: VoterIdentity,
        /// Sets that it knows.
        epoch: EpochState,
    },
    /// The copies are durable.
    Installed,
    /// The voter knows a later epoch than the request's; nothing was done.
    Moved {
        /// Sets that it knows.
        epoch: EpochState,
    },
    /// The voter is not whole for the request's epoch; nothing was done.
    NotWhole {
        /// Sets that it knows.
        epoch: EpochState,
    },
    /// A part of all registers.
    Page {
        /// The registers.
        registers: Vec<RegisterCopy>,
        /// Where the next part starts, if there is one.
        next: Option<PageCursor>,
    },
    /// The promise was given.
    Promised {
        /// Last accepted value.
        accepted: Option<AcceptedValue>,
    },
    /// What was accepted.
    ReadValue {
        /// Last accepted value.
        accepted: Option<AcceptedValue>,
    },
    /// The voter takes part in the epochs before the sealed one no more.
    Sealed {
        /// Epoch that the voter's registers are whole for.
        whole_for: u64,
    },
    /// The voter's store has failed; it may or may not have done what was asked.
    Stopped,
    /// The voter has another identity, or belongs to no set; nothing was done.
    Stranger {
        /// Identity of its log.
        identity: VoterIdentity,
    },
    /// The voter is whole for the request's epoch.
    Whole,
}
