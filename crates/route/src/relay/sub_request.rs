//! One service that must answer a request.

use std::sync::Arc;

use fulmarweir_base::MonoTime;

use super::selector::RelayTarget;

/// Whether a lane has its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SubRequestState {
    /// Awaits an answer, or the time for another attempt.
    Open,
    /// Has the answer of this attempt.
    Answered(u32),
    /// A broker has been asked to see to it: the group's place.
    HandedOver(usize),
    /// Has its answer from a broker: the group's place.
    AnsweredBy(usize),
    /// Gets no answer.
    Failed,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(crate) struct OpenAttempt {
    pub(crate) number: u32,
    pub(crate) target: Arc<RelayTarget>,
    pub(crate) sent_at: MonoTime,
}

/// How far one service has come.
#[derive(Debug)]
pub(crate) struct SubRequest {
    pub(crate) service: Arc<str>,
    pub(crate) state: SubRequestState,
    pub(crate) open: Vec<OpenAttempt>,
    /// Targets asked since the last pause.
    pub(crate) tried: Vec<Arc<str>>,
    /// Targets on which the request may have run, or may still run.
    pub(crate) ran: Vec<Arc<str>>,
    /// Those among them whose attempt has ended without saying that it did not run.
    unclear: Vec<Arc<str>>,
    /// Attempts that reached, or may have reached, a target.
    pub(crate) arrivals: u32,
    /// Attempts among them whose connection was one too many.
    pub(crate) rejected: u32,
    /// Rounds in which no target took the request.
    pub(crate) rounds: u32,
    /// Failed attempts that may have run.
    pub(crate) failures: u32,
    /// When the next attempt is due.
    pub(crate) next_at: Option<MonoTime>,
    /// Data centre of a broker that may have run the lane.
    pub(crate) again_in: Option<Arc<str>>,
    /// The latest failure that a target answered with, to pass on.
    pub(crate) failure_reply: Option<u32>,
}

impl SubRequest {
    pub(crate) fn new(service: Arc<str>) -> Self {
        Self {
            service,
            state: SubRequestState::Open,
            open: Vec::new(),
            tried: Vec::new(),
            ran: Vec::new(),
            unclear: Vec::new(),
            arrivals: 0,
            rejected: 0,
            rounds: 0,
            failures: 0,
            next_at: None,
            again_in: None,
            failure_reply: None,
        }
    }

    /// Whether attempts of this VM may bring its answer.
    pub(crate) fn is_open(&self) -> bool {
        self.state == SubRequestState::Open
    }

    /// Whether an answer may still come.
    pub(crate) fn is_undecided(&self) -> bool {
        matches!(
            self.state,
            SubRequestState::Open | SubRequestState::HandedOver(_)
        )
    }

    pub(crate) fn is_answered(&self) -> bool {
        matches!(
            self.state,
            SubRequestState::Answered(_) | SubRequestState::AnsweredBy(_)
        )
    }

    /// Takes the lane back from a broker that may have run it on these targets.
    ///
    /// Every attempt is then an extra one. If the targets are not known, attempts go to a
    /// target in `centre`: the broker has most probably asked the same, so that no shard
    /// runs on more targets than it may.
    pub(crate) fn take_back_unclear(&mut self, ran: &[Arc<str>], centre: &Arc<str>) {
        self.state = SubRequestState::Open;
        self.arrivals = u32::try_from(ran.len().max(1)).unwrap_or(u32::MAX);
        self.ran = ran.to_vec();
        self.unclear = ran.to_vec();
        self.again_in = ran.is_empty().then(|| Arc::clone(centre));
    }

    /// Whether the request may have run, or may still run, for this lane.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.ran.is_empty()
            || self.rejected > 0
            || self.again_in.is_some()
            || matches!(
                self.state,
                SubRequestState::HandedOver(_) | SubRequestState::AnsweredBy(_)
            )
    }

    pub(crate) fn sent(&mut self, number: u32, target: &Arc<RelayTarget>, now: MonoTime) {
        self.open.push(OpenAttempt {
            number,
            target: Arc::clone(target),
            sent_at: now,
        });
        self.arrivals += 1;
        if !self.tried.contains(&target.id) {
            self.tried.push(Arc::clone(&target.id));
        }
        if !self.ran.contains(&target.id) {
            self.ran.push(Arc::clone(&target.id));
        }
    }

    /// Takes an ended attempt out; `None` when it has ended before.
    pub(crate) fn close(&mut self, number: u32) -> Option<OpenAttempt> {
        let place = self.open.iter().position(|open| open.number == number)?;
        Some(self.open.swap_remove(place))
    }

    /// Notes that an attempt has ended that may have run.
    pub(crate) fn may_have_run_at(&mut self, target: &RelayTarget) {
        self.unclear.push(Arc::clone(&target.id));
    }

    /// Notes that an attempt has not run and will not; others at the same target may have.
    pub(crate) fn did_not_run(&mut self, target: &RelayTarget) {
        let is_open = self.open.iter().any(|open| open.target.id == target.id);
        if !is_open && !self.unclear.contains(&target.id) {
            self.ran.retain(|id| *id != target.id);
        }
    }
}
