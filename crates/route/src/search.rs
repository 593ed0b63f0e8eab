//! The state machine of one search, from its admission to its answer.

mod extra;
mod finish;
mod params;
mod pin;
mod progress;

use std::sync::Arc;

use fulmarweir_base::{MonoTime, TargetRecord, lock};
use fulmarweir_conf::{AnswerPreference, ServiceConfig};
use rand::Rng;

pub use self::finish::{RunStats, SearchAnswer, SearchOutcome};
pub use self::params::SearchParams;
use self::progress::{ShardProgress, ShardState};
use crate::{
    AdmissionPermit, AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, RouteAction, SearchHit,
    TargetView, attempts::AttemptTable, refusal::Result,
};

/// An action of a search.
pub type SearchAction = RouteAction<SearchOutcome>;

/// The time, the random number generator and the resulting actions of one step.
pub(crate) struct RunStep<'a> {
    now: MonoTime,
    rng: &'a mut dyn Rng,
    actions: Vec<SearchAction>,
}

impl<'a> RunStep<'a> {
    fn new(now: MonoTime, rng: &'a mut dyn Rng) -> Self {
        let actions = Vec::new();
        Self { now, rng, actions }
    }
}

/// The state machine of one search.
///
/// Its inputs are the ends of attempts, wake-ups and new views; each call returns the actions to
/// perform. The run finishes once, at its deadline at the latest. After `Finish`, every call
/// returns no actions. Dropping the run releases its permit and stops counting its attempts as in
/// flight, but only [`SearchRun::abandon`] and `Finish` return the attempts to cancel.
#[derive(Debug)]
pub struct SearchRun {
    permit: AdmissionPermit,
    service_config: Arc<ServiceConfig>,
    view: Arc<TargetView>,
    params: SearchParams,
    deadline: MonoTime,
    soft_deadline: MonoTime,
    version: u64,
    of: u32,
    restarts: u32,
    shards: Vec<ShardProgress>,
    replies: Vec<Vec<SearchHit>>,
    attempts: AttemptTable,
    /// Whether a shard lost its last holder because targets moved to another version.
    rollout: bool,
    wake_at: Option<MonoTime>,
    stats: RunStats,
    finished: bool,
}

impl SearchRun {
    /// Pins a version and sends the first attempts.
    ///
    /// # Errors
    ///
    /// Refuses the request, as not run, if no version or no target can serve it or its deadline
    /// has passed.
    pub fn start(
        permit: AdmissionPermit,
        service_config: Arc<ServiceConfig>,
        view: Arc<TargetView>,
        params: SearchParams,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Result<(Self, Vec<SearchAction>)> {
        let arrived = params.arrived.unwrap_or(now);
        let deadline = params.effective_deadline(&service_config, now);
        let pinned = pin::choose_version(&view, &params, deadline, now)?;
        let (version, of) = (pinned.version, pinned.of);
        let shards = pin::requested_shards(pinned, params.key.as_deref());
        let mut run = Self {
            permit,
            soft_deadline: deadline.min(arrived + service_config.soft_deadline),
            service_config,
            view,
            params,
            deadline,
            version,
            of,
            restarts: 0,
            replies: Vec::with_capacity(shards.len()),
            shards,
            attempts: AttemptTable::default(),
            rollout: false,
            wake_at: None,
            stats: RunStats::default(),
            finished: false,
        };
        let mut step = RunStep::new(now, rng);
        run.send_first_attempts(AttemptKind::First, &mut step);
        run.update_budget();
        let actions = run.finish_step(step);
        Ok((run, actions))
    }

    /// Handles the end of an attempt. Late and duplicate reports are ignored.
    pub fn on_reply(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Vec<SearchAction> {
        let mut step = RunStep::new(now, rng);
        if self.finished {
            return step.actions;
        }
        self.permit.mark_active(now);
        let state = self.permit.state();
        let Some(ended) = self.attempts.end(attempt, &outcome, state, now) else {
            return step.actions;
        };
        let Some(position) = self
            .shards
            .iter()
            .position(|progress| progress.shard == ended.shard)
        else {
            return step.actions;
        };
        self.shards[position].in_flight -= 1;
        match outcome {
            AttemptOutcome::Hits { hits, .. } => {
                self.accept_hits(position, hits, ended.kind, &mut step);
            }
            AttemptOutcome::VersionGone => self.handle_version_gone(position, &mut step),
            other => self.attempt_failed(position, &other, &mut step),
        }
        self.finish_step(step)
    }

    /// Handles a wake-up.
    pub fn on_wake(&mut self, now: MonoTime, rng: &mut dyn Rng) -> Vec<SearchAction> {
        let mut step = RunStep::new(now, rng);
        if self.finished {
            return step.actions;
        }
        self.wake_at = None;
        self.send_due(&mut step);
        self.finish_step(step)
    }

    /// Handles a new view of the targets.
    pub fn on_view(
        &mut self,
        view: Arc<TargetView>,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Vec<SearchAction> {
        let mut step = RunStep::new(now, rng);
        if self.finished {
            return step.actions;
        }
        self.view = view;
        self.resume_shards_with_holders(&mut step);
        self.finish_step(step)
    }

    /// Abandons the search because its caller has disconnected, and cancels the attempts in flight.
    pub fn abandon(&mut self, now: MonoTime) -> Vec<SearchAction> {
        let mut actions = Vec::new();
        if !self.finished {
            self.finished = true;
            self.cancel_in_flight(None, now, &mut actions);
            self.permit.mark_active(now);
        }
        actions
    }

    /// Returns the pinned version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time by which the run finishes at the latest.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.deadline
    }

    fn accept_hits(
        &mut self,
        position: usize,
        hits: Vec<SearchHit>,
        kind: AttemptKind,
        step: &mut RunStep<'_>,
    ) {
        let progress = &mut self.shards[position];
        progress.state = ShardState::Answered;
        let others_in_flight = progress.in_flight > 0;
        let shard = progress.shard;
        self.replies.push(hits);
        self.permit.release_one(step.now);
        if kind == AttemptKind::Hedge {
            self.stats.hedge_wins += 1;
        }
        if others_in_flight {
            self.cancel_in_flight(Some(shard), step.now, &mut step.actions);
            self.shards[position].in_flight = 0;
        }
    }

    /// Cancels the attempts in flight, of `shard` or of all shards.
    fn cancel_in_flight(
        &mut self,
        shard: Option<u32>,
        now: MonoTime,
        actions: &mut Vec<SearchAction>,
    ) {
        for id in self.attempts.in_flight_ids(shard) {
            if self.attempts.abandon(id, self.permit.state(), now) {
                actions.push(RouteAction::Cancel(id));
            }
        }
    }

    /// Sends one attempt for each shard that has a holder.
    fn send_first_attempts(&mut self, kind: AttemptKind, step: &mut RunStep<'_>) {
        for position in 0..self.shards.len() {
            if self.shards[position].state != ShardState::Pending {
                continue;
            }
            match self.choose(position, false, step) {
                Some(target) => self.send(position, target, kind, step),
                None => self.shards[position].state = ShardState::NoHolder,
            }
        }
    }

    fn update_budget(&mut self) {
        let state = self.permit.state();
        lock(&state.latency).set_extra_load(self.service_config.extra_load);
        let mut budget = lock(&state.budget);
        if self.params.repeated {
            budget.charge(self.attempts.in_flight_count());
        } else {
            budget.deposit(
                self.attempts.in_flight_count(),
                self.service_config.extra_load,
            );
        }
    }

    fn send(
        &mut self,
        position: usize,
        target: Arc<TargetRecord>,
        kind: AttemptKind,
        step: &mut RunStep<'_>,
    ) {
        let progress = &mut self.shards[position];
        progress.attempt_sent(&target, kind, step.now);
        self.stats.count(kind);
        let mut spec = AttemptSpec {
            attempt: AttemptId::new(0),
            target,
            version: self.version,
            shard: progress.shard,
            of: self.of,
            deadline: self.deadline,
            kind,
        };
        self.attempts.send(&mut spec, self.permit.state(), step.now);
        step.actions.push(RouteAction::Send(spec));
    }

    fn prefers_latency(&self) -> bool {
        self.service_config.prefer == AnswerPreference::Latency
    }
}

impl Drop for SearchRun {
    fn drop(&mut self) {
        let ended = self.permit.last_active();
        self.attempts.abandon_all(self.permit.state(), ended);
    }
}
