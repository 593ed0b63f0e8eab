//! What a client is started with.

use std::{fmt, sync::Arc, time::Duration};

use futures::future::BoxFuture;

use crate::{
    ballot::ProposerId,
    member::{VoterMember, VoterSet},
    message::{VoterReply, VoterRequest},
};

/// Carries one request to a voter; `None` when no answer came.
pub type VoterTransport =
    Arc<dyn Fn(VoterMember, VoterRequest) -> BoxFuture<'static, Option<VoterReply>> + Send + Sync>;

/// Time that one voter gets for one answer, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 500;

/// Shortest pause after a round that another proposer disturbed, in milliseconds.
const BACKOFF_MIN_MS: u64 = 2;

/// Longest pause between rounds, in milliseconds.
const BACKOFF_MAX_MS: u64 = 200;

/// Time after which a change of voters counts as abandoned, in milliseconds.
const FINISH_AFTER_MS: u64 = 1000;

/// What a client is started with.
#[derive(Clone)]
pub struct ClientSettings {
    /// Identity of the proposer; must differ between any two processes, also over restarts.
    pub proposer: ProposerId,
    /// The voter set of epoch 0, or a later one that is known.
    pub first_set: VoterSet,
    /// Time that one voter gets for one answer.
    pub attempt_timeout: Duration,
    /// Shortest pause after a disturbed round.
    pub backoff_min: Duration,
    /// Longest pause between rounds.
    pub backoff_max: Duration,
    /// Time after which this client finishes a change of voters that another began; up to twice
    /// as long at random, so that few do it at once. `None`: never.
    pub finish_after: Option<Duration>,
    /// Seed of the random pauses.
    pub seed: u64,
}

impl ClientSettings {
    /// Settings with a random proposer identity and default times.
    #[must_use]
    pub fn new(first_set: VoterSet) -> Self {
        Self {
            proposer: ProposerId(rand::random()),
            first_set,
            attempt_timeout: Duration::from_millis(ATTEMPT_TIMEOUT_MS),
            backoff_min: Duration::from_millis(BACKOFF_MIN_MS),
            backoff_max: Duration::from_millis(BACKOFF_MAX_MS),
            finish_after: Some(Duration::from_millis(FINISH_AFTER_MS)),
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
