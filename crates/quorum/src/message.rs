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
    /// The operation requested.
    pub body: RequestBody,
}

impl VoterRequest {
    /// Whether the request names the evacuation register, which builds of protocol version 8 cannot
    /// decode.
    #[must_use]
    pub fn names_evacuations(&self) -> bool {
        let is_named = |key: &RegisterKey| *key == RegisterKey::Evacuations;
        match &self.body {
            RequestBody::Accept { key, .. }
            | RequestBody::Prepare { key, .. }
            | RequestBody::Read { key } => is_named(key),
            RequestBody::Install { registers } => {
                registers.iter().any(|register| is_named(&register.key))
            }
            RequestBody::ReadPage { from } => from.after.as_ref().is_some_and(is_named),
            RequestBody::Complete | RequestBody::Identify | RequestBody::Seal { .. } => false,
        }
    }
}

/// An operation that a voter is asked to perform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestBody {
    /// Accepts the value unless a higher ballot was promised.
    Accept {
        /// The register.
        key: RegisterKey,
        /// Ballot of the round.
        ballot: Ballot,
        /// The value.
        value: Arc<RegisterValue>,
        /// A later ballot to promise along with the value, so that the proposer can skip the
        /// prepare phase of its next round.
        next: Option<Ballot>,
    },
    /// Starts voting in the request's epoch, since all registers were installed.
    Complete,
    /// Returns the voter's identity and the voter sets that it knows.
    Identify,
    /// Stores copies of registers while the voter catches up to the request's epoch.
    Install {
        /// The copies.
        registers: Vec<RegisterCopy>,
    },
    /// Promises to accept nothing below the ballot.
    Prepare {
        /// The register.
        key: RegisterKey,
        /// Ballot of the round.
        ballot: Ballot,
    },
    /// Returns the last accepted value without promising a ballot.
    Read {
        /// The register.
        key: RegisterKey,
    },
    /// Returns a page of the voter's registers, to be copied for the request's epoch.
    ReadPage {
        /// Where the page starts.
        from: PageCursor,
    },
    /// Stops voting in all epochs before that of a decided later set.
    Seal {
        /// The later set.
        next: VoterSet,
        /// The set just before `next`, if the change to `next` may be unfinished.
        previous: Option<VoterSet>,
    },
}

/// A position in the ordered registers of a voter.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PageCursor {
    /// Shard in which the page starts.
    pub shard: u32,
    /// Last key of the previous page, if it belongs to the same shard.
    pub after: Option<RegisterKey>,
}

/// The state of a register at a voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisterCopy {
    /// The register.
    pub key: RegisterKey,
    /// Highest promised ballot.
    pub promised: Ballot,
    /// Last accepted value.
    pub accepted: Option<AcceptedValue>,
}

/// The reply of a voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoterReply {
    /// The value was accepted.
    Accepted,
    /// A higher ballot was promised; nothing was done.
    Conflict {
        /// The promised ballot, which the proposer must exceed.
        promised: Ballot,
    },
    /// The voter's identity and voter sets.
    Identity {
        /// Identity of the voter's log.
        identity: VoterIdentity,
        /// Voter sets that the voter knows.
        epoch: EpochState,
    },
    /// The copies are durable.
    Installed,
    /// The voter knows a later epoch than the request's; nothing was done.
    Moved {
        /// Voter sets that the voter knows.
        epoch: EpochState,
    },
    /// The voter has not caught up to the request's epoch; nothing was done.
    NotWhole {
        /// Voter sets that the voter knows.
        epoch: EpochState,
    },
    /// A page of the voter's registers.
    Page {
        /// The registers.
        registers: Vec<RegisterCopy>,
        /// Where the next page starts, if there is one.
        next: Option<PageCursor>,
    },
    /// The ballot was promised.
    Promised {
        /// Last accepted value.
        accepted: Option<AcceptedValue>,
    },
    /// The last accepted value, in reply to a read.
    ReadValue {
        /// Last accepted value.
        accepted: Option<AcceptedValue>,
    },
    /// The voter no longer votes in the epochs before that of the set in the seal request.
    Sealed {
        /// Epoch that the voter has caught up to.
        whole_for: u64,
    },
    /// The voter's store has failed; the request may or may not have been carried out.
    Stopped,
    /// The voter has a different identity than the one addressed, or is not a member of the
    /// request's epoch; nothing was done.
    Stranger {
        /// Identity of the voter's log.
        identity: VoterIdentity,
    },
    /// The voter has caught up to the request's epoch.
    Whole,
}
