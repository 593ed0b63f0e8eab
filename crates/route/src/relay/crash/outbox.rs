//! What a VM has to tell keepers, and which of them have been told.
//!
//! Every keeper adds up by itself, so each is told everything, and again when it has started anew.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use super::{
    fingerprint::RequestFingerprint,
    news::{AnswerReport, CrashNews, CrashReport},
    quarantine::QuarantineTable,
};
use crate::relay::notice_table::TargetIncarnation;

/// Most reports that are kept, and how long, in milliseconds.
const REPORTS_MAX: usize = 512;
const REPORT_TTL_MS: u64 = 60_000;
/// Most reports of one message.
const REPORTS_PER_CALL_MAX: usize = 256;
/// Shortest time between two reports of answers of a service to a request, in milliseconds.
const ANSWER_PERIOD_MS: u64 = 1_000;
/// Time after a failed call in which a keeper is not called, in milliseconds.
const FAILED_PAUSE_MS: u64 = 500;
/// Time for which the entries of a keeper must differ before this VM sends it all of its own, in
/// milliseconds: keepers tell each other faster.
const DIFFERING_MS: u64 = 1_500;

/// A request that was running at a target when that ended.
#[derive(Clone, Debug)]
pub(super) struct CrashSeen {
    pub(super) fingerprint: RequestFingerprint,
    pub(super) service: Arc<str>,
    pub(super) target: TargetIncarnation,
    pub(super) sent_at: MonoTime,
    pub(super) ended_at: MonoTime,
}

/// An answer to a request that was lost elsewhere.
#[derive(Clone, Debug)]
pub(super) struct AnswerSeen {
    pub(super) fingerprint: RequestFingerprint,
    pub(super) service: Arc<str>,
    pub(super) answered_at: MonoTime,
}

#[derive(Clone, Debug)]
enum SeenReport {
    Crash(CrashSeen),
    Answer(AnswerSeen),
}

impl SeenReport {
    const fn at(&self) -> MonoTime {
        match self {
            Self::Crash(crash) => crash.ended_at,
            Self::Answer(answer) => answer.answered_at,
        }
    }
}

/// What one keeper has been told.
#[derive(Debug, Default)]
struct KeeperState {
    /// Distinguishes the processes of the keeper.
    boot: u64,
    /// The last report that it has got.
    delivered: u64,
    is_called: bool,
    paused_until: MonoTime,
    /// Since when its entries differ from those of this VM.
    differs_since: Option<MonoTime>,
}

/// A call that tells a keeper what it does not know yet.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashCall {
    /// Address of the keeper.
    pub keeper: SocketAddr,
    /// What it is told.
    pub news: CrashNews,
    boot: u64,
    /// The last report in `news`.
    last: u64,
}

/// Reports for keepers.
#[derive(Debug, Default)]
pub(crate) struct CrashOutbox {
    reports: VecDeque<(u64, SeenReport)>,
    last: u64,
    keepers: HashMap<SocketAddr, KeeperState>,
    is_urgent: bool,
}

impl CrashOutbox {
    pub(super) fn push_crash(&mut self, crash: CrashSeen) {
        self.push(SeenReport::Crash(crash));
    }

    pub(super) fn push_answer(&mut self, answer: AnswerSeen) {
        let period = Duration::from_millis(ANSWER_PERIOD_MS);
        let is_known = |(_, report): &(u64, SeenReport)| match report {
            SeenReport::Answer(known) => {
                known.fingerprint == answer.fingerprint
                    && known.service == answer.service
                    && answer.answered_at.since(known.answered_at) < period
            }
            SeenReport::Crash(_) => false,
        };
        if !self.reports.iter().rev().any(is_known) {
            self.push(SeenReport::Answer(answer));
        }
    }

    fn push(&mut self, report: SeenReport) {
        self.last += 1;
        self.reports.push_back((self.last, report));
        if self.reports.len() > REPORTS_MAX {
            self.reports.pop_front();
        }
        self.is_urgent = true;
    }

    /// Returns whether there have been new reports since the last call.
    pub(crate) fn take_urgency(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Records what a keeper has said of its process and its entries.
    pub(crate) fn record_keeper(
        &mut self,
        keeper: SocketAddr,
        boot: u64,
        is_differing: bool,
        now: MonoTime,
    ) {
        let state = self.keepers.entry(keeper).or_default();
        if state.boot != boot {
            *state = KeeperState {
                boot,
                ..KeeperState::default()
            };
            self.is_urgent |= !self.reports.is_empty();
        }
        if is_differing {
            state.differs_since.get_or_insert(now);
        } else {
            state.differs_since = None;
        }
    }

    /// Returns the calls to make now to the keepers that are alive.
    pub(crate) fn due_calls(
        &mut self,
        alive: &[SocketAddr],
        table: &QuarantineTable,
        now: MonoTime,
    ) -> Vec<CrashCall> {
        self.keepers.retain(|keeper, _| alive.contains(keeper));
        let mut calls = Vec::new();
        for (keeper, state) in &mut self.keepers {
            if state.is_called || now < state.paused_until {
                continue;
            }
            let undelivered = self.reports.iter().filter(|(n, _)| *n > state.delivered);
            let batch: Vec<_> = undelivered.take(REPORTS_PER_CALL_MAX).collect();
            let differing = Duration::from_millis(DIFFERING_MS);
            let differs = state
                .differs_since
                .is_some_and(|at| now.since(at) >= differing);
            if batch.is_empty() && !differs {
                continue;
            }
            let mut news = CrashNews::default();
            if differs {
                news.entries = table.entries(now);
                state.differs_since = Some(now);
            }
            for (_, report) in &batch {
                add_report(&mut news, report, now);
            }
            state.is_called = true;
            calls.push(CrashCall {
                keeper: *keeper,
                news,
                boot: state.boot,
                last: batch.last().map_or(state.delivered, |(number, _)| *number),
            });
        }
        calls
    }

    /// Records whether a call has reached its keeper.
    pub(crate) fn record_call_end(&mut self, call: &CrashCall, is_delivered: bool, now: MonoTime) {
        let Some(state) = self.keepers.get_mut(&call.keeper) else {
            return;
        };
        if state.boot != call.boot {
            return;
        }
        state.is_called = false;
        if is_delivered {
            state.delivered = state.delivered.max(call.last);
        } else {
            state.paused_until = now + Duration::from_millis(FAILED_PAUSE_MS);
        }
    }

    /// Whether any keeper is still to be told something.
    pub(crate) fn has_work(&self) -> bool {
        let newest = self.reports.back().map_or(0, |(number, _)| *number);
        let is_behind =
            |state: &KeeperState| state.delivered < newest || state.differs_since.is_some();
        self.keepers.values().any(is_behind)
    }

    /// Removes the reports of losses since `from`.
    pub(super) fn remove_crashes_since(&mut self, from: MonoTime) {
        let is_kept = |(_, report): &(u64, SeenReport)| match report {
            SeenReport::Crash(seen) => seen.ended_at < from,
            SeenReport::Answer(_) => true,
        };
        self.reports.retain(is_kept);
    }

    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        let ttl = Duration::from_millis(REPORT_TTL_MS);
        while let Some((_, report)) = self.reports.front()
            && now.since(report.at()) >= ttl
        {
            self.reports.pop_front();
        }
    }
}

fn add_report(news: &mut CrashNews, report: &SeenReport, now: MonoTime) {
    match report {
        SeenReport::Crash(seen) => news.crashes.push(CrashReport {
            fingerprint: seen.fingerprint,
            service: Arc::clone(&seen.service),
            target: Arc::clone(&seen.target.id),
            born_ms: seen.target.born_ms,
            sent_age: now.since(seen.sent_at),
            ended_age: now.since(seen.ended_at),
        }),
        SeenReport::Answer(seen) => news.answers.push(AnswerReport {
            fingerprint: seen.fingerprint,
            service: Arc::clone(&seen.service),
            age: now.since(seen.answered_at),
        }),
    }
}
