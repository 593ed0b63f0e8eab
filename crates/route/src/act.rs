//! The state machine of one act: a request that must not run twice.

mod params;

use std::sync::Arc;

use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord, lock, shard_for_key};
use fulmarweir_conf::ServiceConfig;
use rand::Rng;

pub use self::params::ActParams;
use crate::{
    AdmissionPermit, AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, RefusalReason,
    RouteAction, RouteRefusal, RunStats, TargetView,
    attempts::AttemptTable,
    refusal::Result,
    replica::{AttemptPriority, choose_replica},
};

/// A target's reply to an act.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActReply {
    /// Index version of the shard that the act was sent to.
    pub version: u64,
    /// Body as the target wrote it.
    pub body: Bytes,
}

/// The result of an act.
#[derive(Clone, Debug)]
pub struct ActOutcome {
    /// The reply, or the refusal of the request.
    pub reply: std::result::Result<ActReply, RouteRefusal>,
    /// Counts of the attempts sent.
    pub stats: RunStats,
}

/// An action of an act.
pub type ActAction = RouteAction<ActOutcome>;

/// The state machine of one act.
///
/// At most one attempt is in flight at a time, and a retry follows only an attempt that is known
/// not to have run. After `Finish`, every call returns no actions.
#[derive(Debug)]
pub struct ActRun {
    permit: AdmissionPermit,
    service_config: Arc<ServiceConfig>,
    view: Arc<TargetView>,
    key: Arc<str>,
    deadline: MonoTime,
    version: u64,
    tried: Vec<Arc<TargetRecord>>,
    attempts: AttemptTable,
    stats: RunStats,
    finished: bool,
}

impl ActRun {
    /// Sends the first attempt to a holder of the key's shard in the newest complete version.
    ///
    /// # Errors
    ///
    /// Refuses the request, as not run, if there is no such target or the deadline has passed.
    pub fn start(
        permit: AdmissionPermit,
        service_config: Arc<ServiceConfig>,
        view: Arc<TargetView>,
        params: &ActParams,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Result<(Self, Vec<ActAction>)> {
        let deadline = params.effective_deadline(&service_config, now);
        if deadline <= now {
            return Err(RouteRefusal::not_run(RefusalReason::TooLate, None));
        }
        let mut run = Self {
            permit,
            service_config,
            view,
            key: Arc::clone(&params.key),
            deadline,
            version: 0,
            tried: Vec::new(),
            attempts: AttemptTable::default(),
            stats: RunStats::default(),
            finished: false,
        };
        let Some(target) = run.choose(now, rng) else {
            return Err(RouteRefusal::not_run(RefusalReason::NoTargets, None));
        };
        run.update_budget(params.repeated);
        let mut actions = vec![RouteAction::Wake(deadline)];
        run.send(target, AttemptKind::First, now, &mut actions);
        Ok((run, actions))
    }

    /// Handles the end of an attempt. Late and duplicate reports are ignored.
    pub fn on_reply(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Vec<ActAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        let state = self.permit.state();
        if self.attempts.end(attempt, &outcome, state, now).is_none() {
            return actions;
        }
        if let AttemptOutcome::Done { body, .. } = outcome {
            let version = self.version;
            self.finish(Ok(ActReply { version, body }), now, &mut actions);
            return actions;
        }
        if outcome.verdict() != RunVerdict::NotRun {
            let refusal = self.refusal(RefusalReason::Undecided);
            self.finish(Err(refusal), now, &mut actions);
            return actions;
        }
        if let AttemptOutcome::Cancelled { .. } = outcome {
            // The owner of the run cancels an attempt when its time is up: too late for a retry.
            let refusal = self.refusal(RefusalReason::Deadline);
            self.finish(Err(refusal), now, &mut actions);
            return actions;
        }
        self.retry(&outcome, now, rng, &mut actions);
        actions
    }

    /// Handles a wake-up.
    pub fn on_wake(&mut self, now: MonoTime) -> Vec<ActAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if now >= self.deadline {
            let refusal = self.refusal(RefusalReason::Deadline);
            self.finish(Err(refusal), now, &mut actions);
        } else {
            actions.push(RouteAction::Wake(self.deadline));
        }
        actions
    }

    /// Adopts a new view of the targets for later attempts.
    pub fn on_view(&mut self, view: Arc<TargetView>) {
        self.view = view;
    }

    /// Abandons the act because its caller has disconnected, and cancels the attempt in flight.
    pub fn abandon(&mut self, now: MonoTime) -> Vec<ActAction> {
        let mut actions = Vec::new();
        if !self.finished {
            self.finished = true;
            self.cancel_in_flight(now, &mut actions);
            self.permit.mark_active(now);
        }
        actions
    }

    /// Returns whether the act has run or may have run.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        self.attempts.verdict()
    }

    fn retry(
        &mut self,
        outcome: &AttemptOutcome,
        now: MonoTime,
        rng: &mut dyn Rng,
        actions: &mut Vec<ActAction>,
    ) {
        let target = self.choose(now, rng).filter(|_| now < self.deadline);
        let affordable = || lock(&self.permit.state().budget).try_spend(1);
        match target {
            Some(target) if affordable() => {
                let kind = AttemptKind::Retry(outcome.retry_reason());
                self.send(target, kind, now, actions);
            }
            _ => {
                let refusal = self.refusal(RefusalReason::TargetsRefused);
                self.finish(Err(refusal), now, actions);
            }
        }
    }

    fn update_budget(&mut self, repeated: bool) {
        let mut budget = lock(&self.permit.state().budget);
        if repeated {
            budget.charge(1);
        } else {
            budget.deposit(1, self.service_config.extra_load);
        }
    }

    /// Chooses a target that has not been tried, and pins the newest complete version.
    fn choose(&mut self, now: MonoTime, rng: &mut dyn Rng) -> Option<Arc<TargetRecord>> {
        let index = self.view.newest_complete()?;
        self.version = index.version;
        let shard = shard_for_key(&self.key, index.of);
        let mut choose_among = |holders: &[Arc<TargetRecord>]| {
            choose_replica(
                self.permit.state(),
                holders,
                &self.tried,
                index.version,
                AttemptPriority::Required,
                now,
                rng,
            )
        };
        choose_among(index.holders(shard)).or_else(|| choose_among(&index.remote_holders(shard)))
    }

    fn send(
        &mut self,
        target: Arc<TargetRecord>,
        kind: AttemptKind,
        now: MonoTime,
        actions: &mut Vec<ActAction>,
    ) {
        let of = self.view.version(self.version).map_or(1, |index| index.of);
        self.tried.push(Arc::clone(&target));
        self.stats.count(kind);
        let mut spec = AttemptSpec {
            attempt: AttemptId::new(0),
            target,
            version: self.version,
            shard: shard_for_key(&self.key, of),
            of,
            deadline: self.deadline,
            kind,
        };
        self.attempts.send(&mut spec, self.permit.state(), now);
        actions.push(RouteAction::Send(spec));
    }

    fn refusal(&self, reason: RefusalReason) -> RouteRefusal {
        let verdict = self.attempts.verdict();
        let not_run = verdict == RunVerdict::NotRun;
        let pause = lock(&self.permit.state().latency).median();
        RouteRefusal {
            reason,
            verdict,
            retry_after: pause.filter(|_| not_run),
        }
    }

    fn cancel_in_flight(&mut self, now: MonoTime, actions: &mut Vec<ActAction>) {
        for id in self.attempts.in_flight_ids(None) {
            if self.attempts.abandon(id, self.permit.state(), now) {
                actions.push(RouteAction::Cancel(id));
            }
        }
    }

    fn finish(
        &mut self,
        reply: std::result::Result<ActReply, RouteRefusal>,
        now: MonoTime,
        actions: &mut Vec<ActAction>,
    ) {
        self.finished = true;
        self.cancel_in_flight(now, actions);
        self.permit.mark_active(now);
        let stats = self.stats;
        actions.push(RouteAction::Finish(ActOutcome { reply, stats }));
    }
}

impl Drop for ActRun {
    fn drop(&mut self) {
        let ended = self.permit.last_active();
        self.attempts.abandon_all(self.permit.state(), ended);
    }
}
