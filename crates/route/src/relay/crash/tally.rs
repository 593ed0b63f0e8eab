//! Adds up, at one keeper, what all VMs report of requests that were lost with their targets.
//!
//! A request is blocked once it was lost with [`CRASHES_MIN`] targets, at least one of which it
//! reached after another had ended, and no service of these has answered it. Targets that fail at
//! once for another reason are one round only, and what they ran is answered elsewhere. A target
//! whose end a blocked request explains does not count against the others that ran there.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use super::{
    fingerprint::RequestFingerprint,
    news::{AnswerReport, CrashNews, CrashReport},
    quarantine::{QuarantineEntry, QuarantineState, QuarantineTable},
};
use crate::relay::notice_table::TargetIncarnation;

/// Targets under which a request must have ended before it is held back.
const CRASHES_MIN: usize = 3;
/// Targets under which a request must have ended before VMs report its answers.
const WATCHED_MIN: usize = 2;
/// Rounds of targets after which a request is blocked rather than tried at one target.
const ROUNDS_MIN: usize = 2;
/// Time after the end of a round from which what was sent belongs to the next one, in milliseconds.
/// Times travel as ages, so reports from other regions seem to be later by up to this.
const ROUND_GAP_MS: u64 = 50;
/// Time after a report in which others about the same target arrive, in milliseconds.
const SETTLE_MS: u64 = 150;
/// An answer clears a request of the ends of targets up to this time after it, in milliseconds: what
/// has just run can hardly be to blame.
const ANSWER_VALID_MS: u64 = 10_000;
/// Time for which reports about a request are kept after the last one, in milliseconds.
const SUSPECT_TTL_MS: u64 = 600_000;
/// Most suspected requests.
const SUSPECTS_MAX: usize = 4_096;
/// Entries from which on only requests that are blocked get one, so that the end of many targets at
/// once does not flood all VMs with what was running there.
const WATCHED_ENTRIES_MAX: usize = 256;
/// Most targets that are kept of one request.
const CRASHES_MAX: usize = 64;
/// Time for which a request is watched or tried after the last report, in milliseconds.
const WATCH_MS: u64 = 600_000;
/// Time for which a request is blocked first, in milliseconds; it doubles each time up to the
/// maximum.
const BLOCK_MS: u64 = 600_000;
const BLOCK_DOUBLINGS_MAX: u32 = 6;
/// Time for which requests are blocked that were lost with just the same targets, in milliseconds.
/// One of them is to blame, so the others should not wait for long.
const UNSURE_BLOCK_MS: u64 = 10_000;
/// Time for which a released request is remembered, in milliseconds, so that older entries of other
/// VMs do not bring the block back.
const RELEASED_MS: u64 = 60_000;

/// The end of a target under a request.
#[derive(Debug)]
struct SuspectedCrash {
    target: TargetIncarnation,
    service: Arc<str>,
    sent_at: MonoTime,
    ended_at: MonoTime,
}

/// What was reported about one request.
#[derive(Debug, Default)]
struct Suspect {
    crashes: Vec<SuspectedCrash>,
    /// Latest answer of each service.
    answers: HashMap<Arc<str>, MonoTime>,
    reported_at: MonoTime,
}

impl Suspect {
    fn add_crash(&mut self, crash: SuspectedCrash) {
        let known = self.crashes.iter_mut().find(|c| c.target == crash.target);
        if let Some(known) = known {
            // Several VMs sent the request to the target: what was sent last may have ended it.
            known.sent_at = known.sent_at.max(crash.sent_at);
            known.ended_at = known.ended_at.min(crash.ended_at);
            return;
        }
        if self.crashes.len() >= CRASHES_MAX {
            // The latest ones tell whether the request still ends targets.
            let oldest = (0..self.crashes.len()).min_by_key(|index| self.crashes[*index].ended_at);
            oldest.map(|index| self.crashes.swap_remove(index));
        }
        self.crashes.push(crash);
    }

    /// Returns the ends of targets that no answer has cleared.
    fn uncleared(&self) -> impl Iterator<Item = &SuspectedCrash> {
        let valid = Duration::from_millis(ANSWER_VALID_MS);
        self.crashes.iter().filter(move |crash| {
            let answered_at = self.answers.get(&crash.service);
            answered_at.is_none_or(|at| *at + valid < crash.ended_at)
        })
    }
}

/// Returns in how many rounds targets ended: those of a round had the request before any of them
/// ended, or soon after.
fn count_rounds(crashes: &[&SuspectedCrash]) -> usize {
    let mut by_end = crashes.to_vec();
    by_end.sort_unstable_by_key(|crash| crash.ended_at);
    let gap = Duration::from_millis(ROUND_GAP_MS);
    let mut rounds = 0;
    let mut round_ended_at: Option<MonoTime> = None;
    for crash in by_end {
        if round_ended_at.is_none_or(|ended_at| crash.sent_at > ended_at + gap) {
            rounds += 1;
            round_ended_at = Some(crash.ended_at);
        }
    }
    rounds
}

/// Adds up the reports of all VMs and decides which requests are held back.
#[derive(Debug)]
pub struct CrashTally {
    suspects: HashMap<RequestFingerprint, Suspect>,
    table: QuarantineTable,
    boot: u64,
    revision: u64,
    /// Revision of the last change of each entry.
    changed_at: HashMap<RequestFingerprint, u64>,
    /// When reports are added up.
    due_at: Option<MonoTime>,
}

impl CrashTally {
    /// Returns a tally without reports. `boot` should differ between processes.
    #[must_use]
    pub fn new(boot: u64) -> Self {
        Self {
            suspects: HashMap::new(),
            table: QuarantineTable::default(),
            boot,
            revision: boot,
            changed_at: HashMap::new(),
            due_at: None,
        }
    }

    /// Returns the number that distinguishes the process of this keeper.
    #[must_use]
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns a number that changes with the entries.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the requests that are held back.
    #[must_use]
    pub const fn table(&self) -> &QuarantineTable {
        &self.table
    }

    /// Returns the entries that have changed since `revision`, or all if that is of another process.
    #[must_use]
    pub fn entries_since(&self, revision: u64, now: MonoTime) -> Vec<QuarantineEntry> {
        let known = revision.wrapping_sub(self.boot);
        let is_own = revision != 0 && known <= self.revision.wrapping_sub(self.boot);
        let mut entries = self.table.entries(now);
        if is_own {
            let is_new = |entry: &QuarantineEntry| {
                let changed_at = self.changed_at.get(&entry.fingerprint);
                changed_at.is_none_or(|at| at.wrapping_sub(self.boot) > known)
            };
            entries.retain(is_new);
        }
        entries
    }

    /// Records what a VM or another keeper tells, and returns the entries that are new here.
    pub fn record(&mut self, news: &CrashNews, now: MonoTime) -> Vec<QuarantineEntry> {
        for report in &news.crashes {
            self.record_crash(report, now);
        }
        for report in &news.answers {
            self.record_answer(report, now);
        }
        let changed = self.table.merge(&news.entries, now);
        self.count_changes(&changed);
        for entry in &changed {
            // What was reported before is settled by the answer or the operator that another keeper
            // has heard.
            if entry.by_operator || entry.state == QuarantineState::Released {
                self.suspects.remove(&entry.fingerprint);
            }
        }
        if !(news.crashes.is_empty() && news.answers.is_empty()) {
            let settled_at = now + Duration::from_millis(SETTLE_MS);
            self.due_at.get_or_insert(settled_at);
        }
        changed
    }

    /// Adds up the reports if they are due, forgets old ones, and returns the entries that have
    /// changed.
    pub fn decide(&mut self, now: MonoTime) -> Vec<QuarantineEntry> {
        let ttl = Duration::from_millis(SUSPECT_TTL_MS);
        self.suspects
            .retain(|_, suspect| now.since(suspect.reported_at) < ttl);
        if self.table.remove_expired(now) {
            let table = &self.table;
            self.changed_at
                .retain(|fingerprint, _| table.get(*fingerprint, now).is_some());
            self.revision = self.revision.wrapping_add(1);
        }
        if self.due_at.is_none_or(|due_at| now < due_at) {
            return Vec::new();
        }
        self.due_at = None;
        let mut changed = self.release_cleared(now);
        changed.extend(self.hold_back(now));
        self.count_changes(&changed);
        changed
    }

    /// Blocks a request for `span`, or releases it, as an operator has asked.
    pub fn set_by_operator(
        &mut self,
        fingerprint: RequestFingerprint,
        blocked_for: Option<Duration>,
        now: MonoTime,
    ) -> QuarantineEntry {
        let crashes = self
            .suspects
            .remove(&fingerprint)
            .map_or(0, |s| s.crashes.len());
        let (state, span) = match blocked_for {
            Some(span) => (QuarantineState::Blocked, span),
            None => (
                QuarantineState::Released,
                Duration::from_millis(RELEASED_MS),
            ),
        };
        let mut entry = self.entry(fingerprint, state, crashes, span, now);
        entry.by_operator = true;
        entry.spared.clear();
        let entry = self.table.set(entry, now);
        self.count_changes(std::slice::from_ref(&entry));
        entry
    }

    fn count_changes(&mut self, changed: &[QuarantineEntry]) {
        if changed.is_empty() {
            return;
        }
        self.revision = self.revision.wrapping_add(1);
        for entry in changed {
            self.changed_at.insert(entry.fingerprint, self.revision);
        }
    }

    fn record_crash(&mut self, report: &CrashReport, now: MonoTime) {
        let suspect = self.suspect(report.fingerprint, now);
        suspect.add_crash(SuspectedCrash {
            target: TargetIncarnation {
                id: Arc::clone(&report.target),
                born_ms: report.born_ms,
            },
            service: Arc::clone(&report.service),
            sent_at: now.earlier_by(report.sent_age),
            ended_at: now.earlier_by(report.ended_age),
        });
    }

    fn record_answer(&mut self, report: &AnswerReport, now: MonoTime) {
        // Without the reports of what was lost, an answer says nothing: a request may end the targets of
        // some services only.
        let Some(suspect) = self.suspects.get_mut(&report.fingerprint) else {
            return;
        };
        let answered_at = now.earlier_by(report.age);
        let latest = suspect
            .answers
            .entry(Arc::clone(&report.service))
            .or_default();
        *latest = answered_at.max(*latest);
    }

    /// Returns what is known of a request that was just reported.
    fn suspect(&mut self, fingerprint: RequestFingerprint, now: MonoTime) -> &mut Suspect {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&fingerprint) {
            self.remove_least_suspect();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.reported_at = now;
        suspect
    }

    /// Forgets the request with the fewest ends of targets, the oldest of these.
    fn remove_least_suspect(&mut self) {
        let importance = |suspect: &Suspect| (suspect.crashes.len(), suspect.reported_at);
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| importance(suspect));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }

    /// Releases the requests that answers have cleared, and lets others go to the services that have
    /// answered them.
    fn release_cleared(&mut self, now: MonoTime) -> Vec<QuarantineEntry> {
        let answered = self.suspects.iter().filter(|(_, s)| !s.answers.is_empty());
        let entries = answered.filter_map(|(fingerprint, suspect)| {
            let held = self.table.get(*fingerprint, now)?;
            cleared_entry(held, suspect)
        });
        let entries: Vec<QuarantineEntry> = entries.collect();
        self.suspects
            .retain(|_, suspect| suspect.answers.is_empty() || suspect.uncleared().count() > 0);
        let entries = entries.into_iter();
        entries.map(|entry| self.table.set(entry, now)).collect()
    }

    /// Puts requests into the states that the ends of targets call for, those with most first.
    fn hold_back(&mut self, now: MonoTime) -> Vec<QuarantineEntry> {
        let mut explained = self.explained();
        let mut changed = Vec::new();
        let mut candidates: Vec<(usize, RequestFingerprint)> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| (suspect.uncleared().count(), *fingerprint))
            .filter(|(crashes, _)| *crashes >= WATCHED_MIN)
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        for equals in candidates.chunk_by(|a, b| a.0 == b.0) {
            let mut blocked = Vec::new();
            for (_, fingerprint) in equals {
                let Some(entry) = self.decide_one(*fingerprint, &explained, now) else {
                    continue;
                };
                if entry.state == QuarantineState::Blocked {
                    blocked.push(entry);
                } else if self.table.len() < WATCHED_ENTRIES_MAX {
                    changed.push(self.table.set(entry, now));
                }
            }
            for entry in &blocked {
                let mut entry = entry.clone();
                if blocked.iter().any(|other| self.is_lost_with(&entry, other)) {
                    entry.ends_after = Duration::from_millis(UNSURE_BLOCK_MS);
                }
                changed.push(self.table.set(entry, now));
            }
            for entry in blocked {
                explained.extend(self.crashed_targets(entry.fingerprint).cloned());
            }
        }
        changed
    }

    /// Returns the state of a request, if it has to change.
    fn decide_one(
        &self,
        fingerprint: RequestFingerprint,
        explained: &HashSet<TargetIncarnation>,
        now: MonoTime,
    ) -> Option<QuarantineEntry> {
        let suspect = self.suspects.get(&fingerprint)?;
        let held = self.table.get(fingerprint, now);
        let uncleared: Vec<&SuspectedCrash> = suspect.uncleared().collect();
        if let Some(held) = held
            .as_ref()
            .filter(|held| held.state == QuarantineState::Blocked)
        {
            return self.block_again(held, &uncleared, now);
        }
        let unexplained = uncleared
            .into_iter()
            .filter(|c| !explained.contains(&c.target));
        let crashes: Vec<&SuspectedCrash> = unexplained.collect();
        let state = match (crashes.len(), count_rounds(&crashes)) {
            (CRASHES_MIN.., ROUNDS_MIN..) => QuarantineState::Blocked,
            (CRASHES_MIN.., _) => QuarantineState::Trial,
            (WATCHED_MIN.., _) => QuarantineState::Watched,
            _ => return None,
        };
        let is_higher = held.as_ref().is_none_or(|held| {
            held.state < state || (held.state == QuarantineState::Released && !held.by_operator)
        });
        let span = match state {
            QuarantineState::Blocked => block_span(held.map_or(0, |held| held.blocks)),
            _ => Duration::from_millis(WATCH_MS),
        };
        is_higher.then(|| self.entry(fingerprint, state, crashes.len(), span, now))
    }

    /// Blocks a request again that has ended a target since its block was over.
    fn block_again(
        &self,
        held: &QuarantineEntry,
        uncleared: &[&SuspectedCrash],
        now: MonoTime,
    ) -> Option<QuarantineEntry> {
        let is_over = held.ends_after.is_zero();
        let latest = uncleared.iter().map(|crash| crash.ended_at).max()?;
        let blocked_at = now.earlier_by(held.age);
        // The attempts that were in flight when the request was blocked have ended by then.
        let is_new = latest > blocked_at + Duration::from_millis(UNSURE_BLOCK_MS / 2);
        let (state, crashes) = (QuarantineState::Blocked, uncleared.len());
        let span = block_span(held.blocks);
        (is_over && is_new).then(|| self.entry(held.fingerprint, state, crashes, span, now))
    }

    fn entry(
        &self,
        fingerprint: RequestFingerprint,
        state: QuarantineState,
        crashes: usize,
        ends_after: Duration,
        now: MonoTime,
    ) -> QuarantineEntry {
        let blocks = self
            .table
            .get(fingerprint, now)
            .map_or(0, |held| held.blocks);
        let suspect = self.suspects.get(&fingerprint);
        let spared = suspect
            .into_iter()
            .flat_map(|suspect| suspect.answers.keys());
        QuarantineEntry {
            fingerprint,
            epoch: 0,
            state,
            by_operator: false,
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            blocks: blocks + u32::from(state == QuarantineState::Blocked),
            spared: spared.cloned().collect(),
            age: Duration::ZERO,
            ends_after,
        }
    }

    /// Returns the targets whose ends are explained by requests that are blocked.
    fn explained(&self) -> HashSet<TargetIncarnation> {
        let is_blocked = |fingerprint: &&RequestFingerprint| {
            let held = self.table.get(**fingerprint, MonoTime::ZERO);
            held.is_some_and(|held| held.state == QuarantineState::Blocked)
        };
        let blocked = self.suspects.keys().filter(is_blocked);
        blocked
            .flat_map(|fingerprint| self.crashed_targets(*fingerprint))
            .cloned()
            .collect()
    }

    fn crashed_targets(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = &TargetIncarnation> {
        let crashes = self.suspects.get(&fingerprint).map(Suspect::uncleared);
        crashes.into_iter().flatten().map(|crash| &crash.target)
    }

    /// Whether another request was lost with the same targets.
    fn is_lost_with(&self, entry: &QuarantineEntry, other: &QuarantineEntry) -> bool {
        let targets = |fingerprint| self.crashed_targets(fingerprint).collect::<HashSet<_>>();
        entry.fingerprint != other.fingerprint
            && targets(entry.fingerprint) == targets(other.fingerprint)
    }
}

/// Returns for how long a request is blocked that was blocked this number of times before.
fn block_span(blocks: u32) -> Duration {
    Duration::from_millis(BLOCK_MS << blocks.min(BLOCK_DOUBLINGS_MAX))
}

/// Returns the entry of a request after answers, if they change it.
fn cleared_entry(held: QuarantineEntry, suspect: &Suspect) -> Option<QuarantineEntry> {
    let crashes_min = match held.state {
        QuarantineState::Watched => WATCHED_MIN,
        QuarantineState::Trial | QuarantineState::Blocked => CRASHES_MIN,
        QuarantineState::Released => return None,
    };
    if held.by_operator {
        return None;
    }
    if suspect.uncleared().count() < crashes_min {
        return Some(QuarantineEntry {
            state: QuarantineState::Released,
            ends_after: Duration::from_millis(RELEASED_MS),
            ..held
        });
    }
    let is_new = |service: &&Arc<str>| !held.spared.contains(*service);
    let new: Vec<Arc<str>> = suspect.answers.keys().filter(is_new).cloned().collect();
    let spared = [held.spared.clone(), new.clone()].concat();
    (!new.is_empty()).then_some(QuarantineEntry { spared, ..held })
}
