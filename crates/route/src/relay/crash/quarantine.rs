//! Which requests are held back, as VMs and keepers tell each other.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::fingerprint::RequestFingerprint;

/// Most entries that are kept, so that callers with many such requests cannot fill the memory.
const ENTRIES_MAX: usize = 512;
/// Time after the end of a block in which the request is sent to one target at a time, in
/// milliseconds.
const PROBATION_MS: u64 = 3_600_000;
/// Longest time of an entry, and its longest list of services, that another VM may set.
const SPAN_MAX: Duration = Duration::from_hours(24 * 365);
const SPARED_MAX: usize = 1_024;
/// Highest epoch that is accepted from another VM; no request changes so often.
const EPOCH_MAX: u64 = 1 << 32;

/// What is known of a request that was lost with targets.
///
/// In the order of precedence at the same epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum QuarantineState {
    /// It may be to blame; VMs report its answers.
    Watched,
    /// It is sent to one target at a time until one has answered.
    Trial,
    /// It is not sent.
    Blocked,
    /// It is not to blame, or an operator has lifted its block.
    Released,
}

impl QuarantineState {
    /// Returns the label of this state in logs and metrics, which never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Watched => "watched",
            Self::Trial => "trial",
            Self::Blocked => "blocked",
            Self::Released => "released",
        }
    }
}

/// The state of a request. VMs and keepers keep the entry with the highest epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Grows with each change of the entry.
    pub epoch: u64,
    /// What is known of the request.
    pub state: QuarantineState,
    /// Whether an operator has set the state, which answers do not change then.
    pub by_operator: bool,
    /// Targets that have ended under the request.
    pub crashes: u32,
    /// How often the request was blocked.
    pub blocks: u32,
    /// Services that have answered the request and still get it.
    pub spared: Vec<Arc<str>>,
    /// Time since the last change.
    pub age: Duration,
    /// Time until the state ends.
    pub ends_after: Duration,
}

/// How attempts of a request may be sent to the targets of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendRule {
    /// Like those of any other request.
    Unrestricted,
    /// To one target at a time, over all services.
    OneAtATime,
    /// Not until this time.
    Blocked(MonoTime),
}

#[derive(Debug)]
struct HeldEntry {
    entry: QuarantineEntry,
    /// When the times of `entry` were valid.
    read_at: MonoTime,
}

impl HeldEntry {
    fn ends_at(&self) -> MonoTime {
        self.read_at + self.entry.ends_after
    }

    /// Returns when the entry is forgotten.
    fn expires_at(&self) -> MonoTime {
        match self.entry.state {
            QuarantineState::Blocked => self.ends_at() + Duration::from_millis(PROBATION_MS),
            _ => self.ends_at(),
        }
    }

    fn rule(&self, now: MonoTime) -> SendRule {
        match self.entry.state {
            QuarantineState::Watched | QuarantineState::Released => SendRule::Unrestricted,
            QuarantineState::Blocked if now < self.ends_at() => SendRule::Blocked(self.ends_at()),
            QuarantineState::Blocked | QuarantineState::Trial => SendRule::OneAtATime,
        }
    }

    fn at(&self, now: MonoTime) -> QuarantineEntry {
        let passed = now.since(self.read_at);
        QuarantineEntry {
            age: self.entry.age + passed,
            ends_after: self.entry.ends_after.saturating_sub(passed),
            ..self.entry.clone()
        }
    }
}

/// The requests that are held back.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    entries: BTreeMap<RequestFingerprint, HeldEntry>,
    digest: u64,
}

impl QuarantineTable {
    /// Applies entries of another VM, and returns those that are new here.
    pub fn merge(&mut self, entries: &[QuarantineEntry], now: MonoTime) -> Vec<QuarantineEntry> {
        let mut changed = Vec::new();
        for entry in entries {
            let rank = (entry.epoch, entry.state);
            let held = self.entries.get(&entry.fingerprint);
            let is_known = held.is_some_and(|held| (held.entry.epoch, held.entry.state) >= rank);
            if is_known || entry.epoch > EPOCH_MAX {
                continue;
            }
            let mut entry = entry.clone();
            entry.age = entry.age.min(SPAN_MAX);
            entry.ends_after = entry.ends_after.min(SPAN_MAX);
            entry.spared.truncate(SPARED_MAX);
            changed.push(entry.clone());
            let held = HeldEntry {
                entry,
                read_at: now,
            };
            self.entries.insert(held.entry.fingerprint, held);
        }
        if !changed.is_empty() {
            self.remove_excess(now);
            self.update_digest();
        }
        changed
    }

    /// Puts a request into a state, over whatever is known of it, and returns its entry.
    pub(crate) fn set(&mut self, mut entry: QuarantineEntry, now: MonoTime) -> QuarantineEntry {
        entry.epoch = self
            .entries
            .get(&entry.fingerprint)
            .map_or(1, |held| held.entry.epoch + 1);
        entry.age = Duration::ZERO;
        self.merge(std::slice::from_ref(&entry), now);
        entry
    }

    /// Returns how attempts of a request may be sent to the targets of `service`.
    #[must_use]
    pub fn rule(&self, fingerprint: RequestFingerprint, service: &str, now: MonoTime) -> SendRule {
        let Some(held) = self.entries.get(&fingerprint) else {
            return SendRule::Unrestricted;
        };
        if held.entry.spared.iter().any(|spared| &**spared == service) {
            return SendRule::Unrestricted;
        }
        held.rule(now)
    }

    /// Returns the entry of a request.
    #[must_use]
    pub fn get(&self, fingerprint: RequestFingerprint, now: MonoTime) -> Option<QuarantineEntry> {
        self.entries.get(&fingerprint).map(|held| held.at(now))
    }

    /// Returns all entries, ordered by fingerprint.
    #[must_use]
    pub fn entries(&self, now: MonoTime) -> Vec<QuarantineEntry> {
        self.entries.values().map(|held| held.at(now)).collect()
    }

    /// Returns a digest by which VMs detect that their entries differ; it is 0 without entries.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of requests that are blocked now.
    #[must_use]
    pub fn blocked_count(&self, now: MonoTime) -> usize {
        let is_blocked = |held: &&HeldEntry| matches!(held.rule(now), SendRule::Blocked(_));
        self.entries.values().filter(is_blocked).count()
    }

    /// Whether the answers of a request matter.
    pub(crate) fn is_suspected(&self, fingerprint: RequestFingerprint) -> bool {
        let held = self.entries.get(&fingerprint);
        held.is_some_and(|held| held.entry.state != QuarantineState::Released)
    }

    /// Removes entries whose time is over; returns whether there were any.
    pub fn remove_expired(&mut self, now: MonoTime) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, held| held.expires_at() > now);
        let any_expired = self.entries.len() < before;
        if any_expired {
            self.update_digest();
        }
        any_expired
    }

    /// Keeps the most important entries: those of operators, then the blocked ones, and of these the
    /// ones that end last.
    fn remove_excess(&mut self, now: MonoTime) {
        while self.entries.len() > ENTRIES_MAX {
            let importance = |held: &HeldEntry| {
                let is_blocked = matches!(held.rule(now), SendRule::Blocked(_));
                (held.entry.by_operator, is_blocked, held.ends_at())
            };
            let least = self.entries.iter().min_by_key(|(_, held)| importance(held));
            let Some(least) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&least);
        }
    }

    fn update_digest(&mut self) {
        if self.entries.is_empty() {
            self.digest = 0;
            return;
        }
        let mut digest = Sha256::new();
        for (fingerprint, held) in &self.entries {
            digest.update(fingerprint.to_bytes());
            digest.update(held.entry.epoch.to_le_bytes());
            digest.update([held.entry.state as u8]);
        }
        let digest = digest.finalize();
        let folded = digest.iter().take(size_of::<u64>());
        self.digest = folded.fold(0, |number, byte| (number << 8) | u64::from(*byte));
    }
}
