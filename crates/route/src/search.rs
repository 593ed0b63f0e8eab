//! One search, from admission to the answer.

mod extra;
mod finish;
mod params;
mod pin;
mod progress;

use std::sync::Arc;

use fulmarweir_base::{MonoTime, TargetRecord, lock};
use fulmarweir_conf::{AnswerPreference, ServicePlan};
use rand::Rng;

pub use self::finish::{RunStats, SearchAnswer, SearchOutcome};
pub use self::params::SearchParams;
use self::progress::{ShardProgress, ShardState};
use crate::{
    AdmissionPermit, AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, RouteAction, SearchHit,
    TargetView, attempts::AttemptTable, refusal::Result,
};

/// Actions of a search.
pub type SearchAction = RouteAction<SearchOutcome>;

/// The time, the random numbers and the actions of one step.
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
/// It is driven by the ends of its attempts, by its wake-ups and by new views,
/// and says what to do. It finishes once, at its deadline at the latest. After
/// `Finish` every call returns nothing. Dropping it gives back its admission
/// and no longer counts its attempts; only [`SearchRun::abandon`] and `Finish`
/// name the attempts to cancel.
#[derive(Debug)]
pub struct SearchRun {
    permit: AdmissionPermit,
    plan: Arc<ServicePlan>,
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
    /// Whether a shard was lost because targets went on to another version.
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
    /// Refuses, as not run, when no version or no target can serve the request
    /// or its deadline has passed.
    pub fn start(
        permit: AdmissionPermit,
        plan: Arc<ServicePlan>,
        view: Arc<TargetView>,
        params: SearchParams,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Result<(Self, Vec<SearchAction>)> {
        let arrived = params.arrived.unwrap_or(now);
        let deadline = params.deadline_in(&plan, now);
        let pinned = pin::choose_version(&view, &params, deadline, now)?;
        let (version, of) = (pinned.version, pinned.of);
        let shards = pin::asked_shards(pinned, params.key.as_deref());
        let mut run = Self {
            permit,
            soft_deadline: deadline.min(arrived + plan.soft_deadline),
            plan,
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
        run.send_first(AttemptKind::First, &mut step);
        run.credit_budget();
        let actions = run.conclude(step);
        Ok((run, actions))
    }

    /// Takes in the end of an attempt. Late and doubled reports change nothing.
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
        let Some(place) = self.shards.iter().position(|one| one.shard == ended.shard) else {
            return step.actions;
        };
        self.shards[place].in_flight -= 1;
        match outcome {
            AttemptOutcome::Hits { hits, .. } => {
                self.accept_hits(place, hits, ended.kind, &mut step);
            }
            AttemptOutcome::VersionGone => self.version_gone(place, &mut step),
            other => self.attempt_failed(place, &other, &mut step),
        }
        self.conclude(step)
    }

    /// Takes in a wake-up.
    pub fn on_wake(&mut self, now: MonoTime, rng: &mut dyn Rng) -> Vec<SearchAction> {
        let mut step = RunStep::new(now, rng);
        if self.finished {
            return step.actions;
        }
        self.wake_at = None;
        self.send_due(&mut step);
        self.conclude(step)
    }

    /// Takes in a new view of the targets.
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
        self.revive_lost_shards(&mut step);
        self.conclude(step)
    }

    /// Gives the search up because its caller has left; cancels what is in flight.
    pub fn abandon(&mut self, now: MonoTime) -> Vec<SearchAction> {
        let mut actions = Vec::new();
        if !self.finished {
            self.finished = true;
            self.cancel_in_flight(None, now, &mut actions);
            self.permit.mark_active(now);
        }
        actions
    }

    /// The pinned version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When the run ends at the latest.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.deadline
    }

    fn accept_hits(
        &mut self,
        place: usize,
        hits: Vec<SearchHit>,
        kind: AttemptKind,
        step: &mut RunStep<'_>,
    ) {
        let progress = &mut self.shards[place];
        progress.state = ShardState::Answered;
        let loser_left = progress.in_flight > 0;
        let shard = progress.shard;
        self.replies.push(hits);
        self.permit.release_one(step.now);
        if kind == AttemptKind::Hedge {
            self.stats.hedge_wins += 1;
        }
        if loser_left {
            self.cancel_in_flight(Some(shard), step.now, &mut step.actions);
            self.shards[place].in_flight = 0;
        }
    }

    /// Cancels the open attempts of `shard`, or all of them.
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

    /// Sends one attempt for every shard that has a holder.
    fn send_first(&mut self, kind: AttemptKind, step: &mut RunStep<'_>) {
        for place in 0..self.shards.len() {
            if self.shards[place].state != ShardState::Open {
                continue;
            }
            match self.choose(place, false, step) {
                Some(target) => self.send(place, target, kind, step),
                None => self.shards[place].state = ShardState::Lost,
            }
        }
    }

    fn credit_budget(&mut self) {
        let state = self.permit.state();
        lock(&state.latency).set_extra_load(self.plan.extra_load);
        let mut budget = lock(&state.budget);
        if self.params.repeated {
            budget.charge(self.attempts.in_flight_count());
        } else {
            budget.deposit(self.attempts.in_flight_count(), self.plan.extra_load);
        }
    }

    fn send(
        &mut self,
        place: usize,
        target: Arc<TargetRecord>,
        kind: AttemptKind,
        step: &mut RunStep<'_>,
    ) {
        let progress = &mut self.shards[place];
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
        self.plan.prefer == AnswerPreference::Latency
    }
}

impl Drop for SearchRun {
    fn drop(&mut self) {
        let ended = self.permit.last_active();
        self.attempts.abandon_all(self.permit.state(), ended);
    }
}
