//! Settings of a register client.

use std::{fmt, sync::Arc, time::Duration};

use futures::future::BoxFuture;

use crate::{
    ballot::ProposerId,
    member::{VoterMember, VoterSet},
    message::{VoterReply, VoterRequest},
};

/// Sends one request to a voter and returns its reply, or `None` if no reply was received.
pub type VoterTransport =
    Arc<dyn Fn(VoterMember, VoterRequest) -> BoxFuture<'static, Option<VoterReply>> + Send + Sync>;

/// Timeout of one request to one voter, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 500;

/// Minimum backoff after a failed round, in milliseconds.
const BACKOFF_MIN_MS: u64 = 2;

/// Maximum backoff between rounds, in milliseconds.
const BACKOFF_MAX_MS: u64 = 200;

/// Time after which an unfinished change of the voter set counts as abandoned, in milliseconds.
const FINISH_AFTER_MS: u64 = 1000;

/// Settings of a register client.
#[derive(Clone)]
pub struct ClientSettings {
    /// Identity of the proposer, which must be unique to each process and differ after a restart.
    pub proposer: ProposerId,
    /// The voter set of epoch 0, or a later set that is known.
    pub first_set: VoterSet,
    /// Timeout of one request to one voter.
    pub attempt_timeout: Duration,
    /// Minimum backoff after a failed round.
    pub backoff_min: Duration,
    /// Maximum backoff between rounds.
    pub backoff_max: Duration,
    /// Time after which this client finishes a change of the voter set that another client began.
    /// Up to the same time is added at random, so that few clients do so at once. `None` means
    /// never.
    pub finish_after: Option<Duration>,
    /// Time from the start of the client after which it elects epoch 1 without the voters of epoch 0
    /// that it does not reach, if it reaches a majority of them. `None` means that all must be up.
    ///
    /// This must be `None` if a voter that has lost its log could take part in epoch 0 again: it may have
    /// forgotten what it accepted. Clients with and without it may elect together, since all voters have
    /// a voter in common with each majority.
    pub first_majority_after: Option<Duration>,
    /// Seed of the random delays.
    pub seed: u64,
}

impl ClientSettings {
    /// Creates settings with a random proposer identity, a random seed and default times.
    #[must_use]
    pub fn new(first_set: VoterSet) -> Self {
        Self {
            proposer: ProposerId(rand::random()),
            first_set,
            attempt_timeout: Duration::from_millis(ATTEMPT_TIMEOUT_MS),
            backoff_min: Duration::from_millis(BACKOFF_MIN_MS),
            backoff_max: Duration::from_millis(BACKOFF_MAX_MS),
            finish_after: Some(Duration::from_millis(FINISH_AFTER_MS)),
            first_majority_after: None,
            seed: rand::random(),
        }
    }
}

impl fmt::Debug for ClientSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientSettings")
            .field("proposer", &self.proposer)
            .field("first_set", &self.first_set)
            .finish_non_exhaustive()
    }
}
