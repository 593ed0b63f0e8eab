//! The client of the registers, which every VM uses.

mod calls;
mod change;
mod copy;
mod dispatcher;
mod settings;
mod view;

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use error_stack::Report;
use fulmarweir_base::{MonoTime, RunVerdict, TimerService, lock};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

pub use self::{
    change::{VoterHealth, VoterSetOutcome},
    settings::{ClientSettings, VoterTransport},
};
use self::{dispatcher::RequestDispatcher, view::VoterView};
use crate::{
    ballot::{Ballot, BallotGenerator},
    error::{QuorumError, Result},
    key::RegisterKey,
    member::{EpochState, VoterSet},
    message::VoterRequest,
    round::{ProposalRound, RoundFailure, RoundStep},
    value::{RegisterChange, RegisterValue},
};

/// Maximum number of registers whose promised ballot the client keeps for its next round.
const CACHED_PROMISES_MAX: usize = 4096;

/// Changes and reads registers at the voters.
///
/// Each call takes the timeout after which it fails. The timeout error says whether the change may
/// have been made. To learn the outcome, repeat the call with the same change ID or claim.
pub struct QuorumClient {
    dispatcher: RequestDispatcher,
    settings: ClientSettings,
    timer: TimerService,
    started_at: MonoTime,
    view: Mutex<VoterView>,
    state: Mutex<ProposerState>,
}

/// Ballots, random numbers and cached promises of the proposer.
struct ProposerState {
    ballots: BallotGenerator,
    rng: Pcg64Mcg,
    cached_promises: HashMap<RegisterKey, CachedPromise>,
}

/// A ballot that a quorum promised along with this proposer's last accept, and the value accepted.
#[derive(Clone, Debug)]
struct CachedPromise {
    ballot: Ballot,
    value: Arc<RegisterValue>,
}

/// A round whose ballot a quorum has promised, and the current value of the register.
struct PreparedRound {
    round: ProposalRound,
    value: Option<Arc<RegisterValue>>,
    /// Whether the value is certainly chosen.
    chosen: bool,
}

/// The result of a round or of its prepare phase.
enum RoundResult<T> {
    Done(T),
    Failed(RoundFailure),
}

impl fmt::Debug for QuorumClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QuorumClient")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// The state of a call: its deadline, whether its change may have been made, and the number of
/// failed attempts.
#[derive(Debug)]
pub(crate) struct CallProgress {
    deadline: MonoTime,
    verdict: RunVerdict,
    failed_attempts: u32,
}

impl QuorumClient {
    /// Creates a client that sends its requests through `transport`.
    #[must_use]
    pub fn new(settings: ClientSettings, transport: VoterTransport, timer: TimerService) -> Self {
        let state = ProposerState {
            ballots: BallotGenerator::new(settings.proposer),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            cached_promises: HashMap::new(),
        };
        Self {
            dispatcher: RequestDispatcher::new(transport, settings.attempt_timeout),
            view: Mutex::new(VoterView::new(settings.first_set.clone())),
            settings,
            started_at: timer.now(),
            timer,
            state: Mutex::new(state),
        }
    }

    /// Returns the latest voter set that the client knows.
    #[must_use]
    pub fn voters(&self) -> VoterSet {
        self.lock_view().latest.clone()
    }

    /// Adopts a voter set learned from another source if it is later than the known one.
    pub fn learn_voters(&self, set: &VoterSet) {
        self.observe_epoch(&EpochState::settled(set.clone()));
    }

    /// Adopts the voter sets that a voter knows if they are later than the known ones.
    pub fn learn_epoch(&self, epoch: &EpochState) {
        self.observe_epoch(epoch);
    }

    /// Waits for requests that are in flight.
    pub async fn close(&self) {
        self.dispatcher.close().await;
    }

    pub(crate) fn start_call(&self, timeout: Duration) -> CallProgress {
        CallProgress {
            deadline: self.timer.now() + timeout,
            verdict: RunVerdict::NotRun,
            failed_attempts: 0,
        }
    }

    /// Applies `change` to a register, and repeats the round until it succeeds or times out.
    pub(crate) async fn run_change<T>(
        &self,
        key: RegisterKey,
        timeout: Duration,
        change: impl Fn(Option<&RegisterValue>) -> RegisterChange<T> + Send + Sync,
    ) -> Result<T>
    where
        T: Send,
    {
        let mut call = self.start_call(timeout);
        loop {
            let set = self.elected_set(&mut call).await?;
            let result = self.run_round(&mut call, set, &key, &change).await?;
            match result {
                RoundResult::Done(outcome) => return Ok(outcome),
                RoundResult::Failed(failure) => self.recover(&mut call, failure).await?,
            }
        }
    }

    /// Returns the latest voter set, and elects that of epoch 1 first if none was elected yet.
    pub(crate) async fn elected_set(&self, call: &mut CallProgress) -> Result<VoterSet> {
        let set = self.voters();
        if set.members.is_empty() {
            return Err(Report::new(QuorumError::NoVoters));
        }
        if set.epoch > 0 {
            return Ok(set);
        }
        self.elect_epoch_one(call).await
    }

    /// Runs one round. If it fails, waits for the backoff and returns `None`, so that the caller
    /// repeats it.
    pub(crate) async fn try_round<T>(
        &self,
        call: &mut CallProgress,
        set: VoterSet,
        key: &RegisterKey,
        change: &(impl Fn(Option<&RegisterValue>) -> RegisterChange<T> + Send + Sync),
    ) -> Result<Option<T>> {
        match self.run_round(call, set, key, change).await? {
            RoundResult::Done(outcome) => Ok(Some(outcome)),
            RoundResult::Failed(failure) => {
                self.recover(call, failure).await?;
                Ok(None)
            }
        }
    }

    async fn run_round<T>(
        &self,
        call: &mut CallProgress,
        set: VoterSet,
        key: &RegisterKey,
        change: &(impl Fn(Option<&RegisterValue>) -> RegisterChange<T> + Send + Sync),
    ) -> Result<RoundResult<T>> {
        let epoch = set.epoch;
        let mut prepared = match self.prepare(call, set, key).await? {
            RoundResult::Done(prepared) => prepared,
            RoundResult::Failed(failure) => return Ok(RoundResult::Failed(failure)),
        };
        let (proposal, outcome) = match change(prepared.value.as_deref()) {
            RegisterChange::Write(value, outcome) => {
                call.verdict = RunVerdict::MayHaveRun;
                (Arc::new(value), outcome)
            }
            RegisterChange::Keep(outcome) => match prepared.value {
                // The value may not be accepted by a quorum yet, and later reads could miss it.
                // Propose it again before returning it.
                Some(value) if !prepared.chosen => (value, outcome),
                _ => return Ok(RoundResult::Done(outcome)),
            },
        };
        let next = self.lock_state().ballots.next_ballot(epoch);
        let round = &mut prepared.round;
        let requests = round.propose(Arc::clone(&proposal), Some(next));
        let step = self.collect(call, round, requests).await?;
        if let RoundStep::Failed(failure) = step {
            return Ok(RoundResult::Failed(failure));
        }
        self.cache_promise(key, next, proposal);
        Ok(RoundResult::Done(outcome))
    }

    /// Uses the ballot promised along with this proposer's last accept, or prepares a new one.
    async fn prepare(
        &self,
        call: &CallProgress,
        set: VoterSet,
        key: &RegisterKey,
    ) -> Result<RoundResult<PreparedRound>> {
        let quorum = self.quorum_of(&set);
        if let Some(promise) = self.remove_cached_promise(key, set.epoch) {
            let round = ProposalRound::prepared(set, key.clone(), promise.ballot);
            return Ok(RoundResult::Done(PreparedRound {
                round: round.with_quorum(quorum),
                value: Some(promise.value),
                // Another proposer may have prepared since, which only an accept can show.
                chosen: false,
            }));
        }
        let ballot = self.lock_state().ballots.next_ballot(set.epoch);
        let mut round = ProposalRound::prepare(set, key.clone(), ballot).with_quorum(quorum);
        let requests = round.prepare_requests();
        match self.collect(call, &mut round, requests).await? {
            RoundStep::Prepared { value, chosen } => Ok(RoundResult::Done(PreparedRound {
                round,
                value,
                chosen,
            })),
            RoundStep::Failed(failure) => Ok(RoundResult::Failed(failure)),
            RoundStep::Wait | RoundStep::Chosen => Err(call.timeout_error()),
        }
    }

    fn quorum_of(&self, set: &VoterSet) -> usize {
        if set.epoch == 0 && self.settings.first_majority_after.is_some() {
            set.majority()
        } else {
            set.quorum()
        }
    }

    /// Sends the requests of one phase and waits until the phase has ended.
    async fn collect(
        &self,
        call: &CallProgress,
        round: &mut ProposalRound,
        requests: Vec<VoterRequest>,
    ) -> Result<RoundStep> {
        let mut replies = self.dispatcher.send_all(&round.voters().members, requests);
        loop {
            let reply = tokio::select! {
                biased;
                reply = replies.recv() => reply,
                () = self.timer.sleep_until(call.deadline) => return Err(call.timeout_error()),
            };
            let Some((index, reply)) = reply else {
                return Err(call.timeout_error());
            };
            let step = round.on_reply(index, reply);
            if step != RoundStep::Wait {
                return Ok(step);
            }
        }
    }

    /// Adopts the ballot and voter sets learned from a failed round, finishes an abandoned change
    /// of the voter set, and waits for the backoff.
    async fn recover(&self, call: &mut CallProgress, failure: RoundFailure) -> Result<()> {
        if let Some(conflicting_ballot) = failure.conflicting_ballot {
            self.lock_state().ballots.observe(conflicting_ballot);
        }
        if let Some(epoch) = &failure.epoch {
            self.observe_epoch(epoch);
            self.finish_abandoned_change(call).await?;
        }
        self.back_off(call).await
    }

    /// Waits for the minimum backoff plus a random time. The upper limit of the random time doubles
    /// with each failed attempt of the call, up to the maximum backoff.
    pub(crate) async fn back_off(&self, call: &mut CallProgress) -> Result<()> {
        call.failed_attempts += 1;
        let exponent = call.failed_attempts.min(16);
        let limit = self.settings.backoff_min * 2_u32.pow(exponent);
        let limit = limit.min(self.settings.backoff_max);
        let share: f64 = self.lock_state().rng.random();
        let wake = self.timer.now() + self.settings.backoff_min + limit.mul_f64(share);
        if wake >= call.deadline {
            self.timer.sleep_until(call.deadline).await;
            return Err(call.timeout_error());
        }
        self.timer.sleep_until(wake).await;
        Ok(())
    }

    fn remove_cached_promise(&self, key: &RegisterKey, epoch: u64) -> Option<CachedPromise> {
        let promise = self.lock_state().cached_promises.remove(key)?;
        (promise.ballot.epoch == epoch).then_some(promise)
    }

    fn cache_promise(&self, key: &RegisterKey, ballot: Ballot, value: Arc<RegisterValue>) {
        let settled = matches!(&*value, RegisterValue::Act(_)) && value.expires();
        let mut state = self.lock_state();
        if !settled && state.cached_promises.len() < CACHED_PROMISES_MAX {
            let promise = CachedPromise { ballot, value };
            state.cached_promises.insert(key.clone(), promise);
        }
    }

    pub(crate) fn observe_epoch(&self, epoch: &EpochState) {
        let now = self.timer.now();
        self.lock_view().observe(now, epoch);
    }

    fn lock_view(&self) -> MutexGuard<'_, VoterView> {
        lock(&self.view)
    }

    fn lock_state(&self) -> MutexGuard<'_, ProposerState> {
        lock(&self.state)
    }
}

impl CallProgress {
    pub(crate) fn timeout_error(&self) -> Report<QuorumError> {
        let verdict = self.verdict;
        Report::new(QuorumError::Timeout { verdict })
    }

    pub(crate) const fn deadline(&self) -> MonoTime {
        self.deadline
    }
}
