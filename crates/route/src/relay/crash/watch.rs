//! What a VM knows of the requests that run at targets, and of those that were lost with them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use super::{
    answer_memory::AnswerMemory,
    fingerprint::RequestFingerprint,
    outbox::{AnswerSeen, CrashOutbox, CrashSeen},
};
use crate::relay::{notice_table::TargetIncarnation, selector::RelayTarget};

/// Time for which an attempt without an answer is kept, in milliseconds: until then, the target has
/// been found to have ended, or is back.
const LEFT_TTL_MS: u64 = 10_000;
/// Time in which a target runs a request that was given up, in milliseconds. If it answers others
/// after that, it has survived this one.
const GIVEN_UP_RUN_MS: u64 = 1_000;
/// Time after the loss of a request in which the next answer is reported, in milliseconds.
const WATCH_TTL_MS: u64 = 600_000;
/// Most lost requests whose next answer is reported.
const WATCHED_MAX: usize = 1_024;

/// How an attempt ended, as far as it tells whether its target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    /// The target answered.
    Answered,
    /// The target replied without an answer.
    Survived,
    /// The request did not reach the target.
    NotSent,
    /// The connection ended without an answer.
    Lost,
    /// The connection ended without an answer, and the target with it.
    Crashed,
    /// This VM closed the connection.
    GivenUp,
}

/// Why there was no answer, and since when there can be none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeftRun {
    Lost(MonoTime),
    GivenUp(MonoTime),
}

impl LeftRun {
    const fn since(self) -> MonoTime {
        match self {
            Self::Lost(at) | Self::GivenUp(at) => at,
        }
    }
}

/// An attempt at a target.
#[derive(Debug)]
struct RunRecord {
    fingerprint: RequestFingerprint,
    sent_at: MonoTime,
    /// `None` while the attempt is in flight.
    left: Option<LeftRun>,
}

/// The attempts at one incarnation of a target.
#[derive(Debug)]
struct TargetRuns {
    service: Arc<str>,
    address: SocketAddr,
    runs: Vec<RunRecord>,
    /// When the target ended.
    ended_at: Option<MonoTime>,
}

/// Keeps which requests run at which target, and finds those that were lost with it.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    targets: HashMap<TargetIncarnation, TargetRuns>,
    answers: AnswerMemory,
    /// Requests that this VM has reported as lost by targets of a service, and when.
    reported: HashMap<(RequestFingerprint, Arc<str>), MonoTime>,
    pub(crate) outbox: CrashOutbox,
}

impl CrashWatch {
    /// Records that an attempt was sent.
    pub(crate) fn run_started(
        &mut self,
        target: &RelayTarget,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) {
        let state = self.targets.entry(TargetIncarnation::of(target));
        let state = state.or_insert_with(|| TargetRuns {
            service: Arc::clone(&target.service),
            address: target.address,
            runs: Vec::new(),
            ended_at: None,
        });
        state.runs.push(RunRecord {
            fingerprint,
            sent_at: now,
            left: None,
        });
    }

    /// Records the end of the attempt that was sent at `sent_at`. `is_suspected` tells whether
    /// keepers want to know of answers to the request.
    pub(crate) fn run_ended(
        &mut self,
        target: &RelayTarget,
        (fingerprint, sent_at): (RequestFingerprint, MonoTime),
        end: RunEnd,
        is_suspected: bool,
        now: MonoTime,
    ) {
        let incarnation = TargetIncarnation::of(target);
        let Some(state) = self.targets.get_mut(&incarnation) else {
            return;
        };
        let is_same = |run: &RunRecord| {
            run.fingerprint == fingerprint && run.sent_at == sent_at && run.left.is_none()
        };
        let Some(index) = state.runs.iter().position(is_same) else {
            return;
        };
        let left = match end {
            RunEnd::Answered | RunEnd::Survived | RunEnd::NotSent => None,
            RunEnd::Lost | RunEnd::Crashed => Some(LeftRun::Lost(now)),
            RunEnd::GivenUp => Some(LeftRun::GivenUp(now)),
        };
        state.runs[index].left = left;
        if left.is_none() {
            state.runs.swap_remove(index);
        }
        if matches!(end, RunEnd::Answered | RunEnd::Survived) {
            state.clear_survived(sent_at, now);
        }
        match end {
            RunEnd::Answered => self.record_answer(fingerprint, &target.service, is_suspected, now),
            RunEnd::Crashed => self.target_ended(target, now),
            RunEnd::Lost if state.ended_at.is_some() => self.report_lost(&incarnation, now),
            RunEnd::Lost | RunEnd::Survived | RunEnd::NotSent | RunEnd::GivenUp => {}
        }
    }

    /// Records that a target has ended: what ran there is lost, and what was given up there may have
    /// ended it.
    pub(crate) fn target_ended(&mut self, target: &RelayTarget, now: MonoTime) {
        let incarnation = TargetIncarnation::of(target);
        if let Some(state) = self.targets.get_mut(&incarnation) {
            state.ended_at.get_or_insert(now);
            self.report_lost(&incarnation, now);
        }
    }

    /// Whether any attempt at `target` has ended without an answer.
    pub(crate) fn has_unanswered(&self, target: &RelayTarget) -> bool {
        let state = self.targets.get(&TargetIncarnation::of(target));
        state.is_some_and(|state| state.runs.iter().any(|run| run.left.is_some()))
    }

    /// Applies a new list of targets. `successors` holds the start of the latest target at each
    /// address.
    ///
    /// A target that was in use until another one started at its address has ended without saying
    /// so. One that is only not listed any more may have left as planned, so nothing is concluded.
    pub(crate) fn sync(
        &mut self,
        listed: &HashSet<TargetIncarnation>,
        successors: &HashMap<SocketAddr, u64>,
        now: MonoTime,
    ) {
        let mut replaced = Vec::new();
        self.targets.retain(|incarnation, state| {
            if listed.contains(incarnation) {
                return true;
            }
            let successor = successors.get(&state.address);
            let is_replaced = successor.is_some_and(|born_ms| *born_ms > incarnation.born_ms);
            if is_replaced && state.ended_at.is_none() {
                replaced.push(incarnation.clone());
                return true;
            }
            // Attempts in flight still report their ends.
            state.runs.retain(|run| run.left.is_none());
            !state.runs.is_empty()
        });
        for incarnation in replaced {
            if let Some(state) = self.targets.get_mut(&incarnation) {
                state.ended_at = Some(now);
            }
            self.report_lost(&incarnation, now);
        }
    }

    /// Lets the outbox tell keepers what is known of answers to requests that they suspect.
    pub(crate) fn report_answers(&mut self, fingerprint: RequestFingerprint) {
        for (service, answered_at) in self.answers.answers_to(fingerprint) {
            self.outbox.push_answer(AnswerSeen {
                fingerprint,
                service: Arc::clone(service),
                answered_at: *answered_at,
            });
        }
    }

    /// Forgets the losses since `from`, for which targets are not to blame.
    pub(crate) fn forget_since(&mut self, from: MonoTime) {
        for state in self.targets.values_mut() {
            state.ended_at = state.ended_at.filter(|ended_at| *ended_at < from);
            state
                .runs
                .retain(|run| run.left.is_none_or(|left| left.since() < from));
        }
        self.outbox.remove_crashes_since(from);
    }

    /// Forgets what can no longer be evidence.
    pub(crate) fn remove_expired(&mut self, now: MonoTime) {
        let ttl = Duration::from_millis(LEFT_TTL_MS);
        for state in self.targets.values_mut() {
            let is_kept =
                |run: &RunRecord| run.left.is_none_or(|left| now.since(left.since()) < ttl);
            state.runs.retain(is_kept);
        }
        let watch_ttl = Duration::from_millis(WATCH_TTL_MS);
        self.reported
            .retain(|_, reported_at| now.since(*reported_at) < watch_ttl);
        self.outbox.remove_expired(now);
    }

    fn record_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        service: &Arc<str>,
        is_suspected: bool,
        now: MonoTime,
    ) {
        self.answers.record(fingerprint, service, now);
        let reported = (fingerprint, Arc::clone(service));
        if self.reported.remove(&reported).is_some() || is_suspected {
            self.outbox.push_answer(AnswerSeen {
                fingerprint,
                service: Arc::clone(service),
                answered_at: now,
            });
        }
    }

    /// Reports the requests that have left the target without an answer.
    fn report_lost(&mut self, incarnation: &TargetIncarnation, now: MonoTime) {
        let Some(state) = self.targets.get_mut(incarnation) else {
            return;
        };
        for run in state.runs.extract_if(.., |run| run.left.is_some()) {
            if self.reported.len() < WATCHED_MAX {
                let reported = (run.fingerprint, Arc::clone(&state.service));
                self.reported.insert(reported, now);
            }
            self.outbox.push_crash(CrashSeen {
                fingerprint: run.fingerprint,
                service: Arc::clone(&state.service),
                target: incarnation.clone(),
                sent_at: run.sent_at,
                ended_at: run.left.map_or(now, LeftRun::since),
            });
        }
    }
}

impl TargetRuns {
    /// Forgets the attempts without an answer that the target has survived, as it has replied to one
    /// that was sent later.
    fn clear_survived(&mut self, sent_at: MonoTime, now: MonoTime) {
        // A refused connection looked like the end of the target.
        self.ended_at = self.ended_at.filter(|ended_at| *ended_at >= sent_at);
        let run_time = Duration::from_millis(GIVEN_UP_RUN_MS);
        self.runs.retain(|run| match run.left {
            None => true,
            Some(LeftRun::Lost(at)) => at >= sent_at,
            Some(LeftRun::GivenUp(at)) => now.since(at) < run_time,
        });
    }
}
