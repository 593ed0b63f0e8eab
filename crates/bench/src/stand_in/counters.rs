//! What a stand-in target saw, for checks after a run.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// Counts since the start of one stand-in target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StandInCounters {
    /// Calls of `/query` that were read.
    pub requests: u64,
    /// Requests that took a slot and ran.
    pub runs: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests shed because slots and queue were full.
    pub shed: u64,
    /// Requests whose deadline passed before they could run.
    pub expired: u64,
    /// Requests for a version or shard that is not held.
    pub gone: u64,
    /// Requests that arrived while not serving.
    pub while_not_serving: u64,
    /// Latest arrival of a request after the drain began.
    pub last_after_drain: Option<Duration>,
    /// Calls of `/cancel`.
    pub cancels: u64,
    /// Cancels that came before the attempt ran.
    pub cancels_in_time: u64,
    /// Attempt numbers that arrived more than once.
    pub repeated_attempts: u64,
    /// Requests without a usable set of headers.
    pub malformed: u64,
    /// Largest number of requests that ran at once.
    pub running_max: u64,
    /// Largest number of open connections.
    pub connections_max: u64,
    /// Connections opened in all.
    pub connections_opened: u64,
    /// Connections beyond the limit, closed at once.
    pub connections_refused: u64,
    /// Replies sent with a fault.
    pub faulty_replies: u64,
    /// Announcements that a VM accepted.
    pub announcements: u64,
    /// Announcements that failed or were refused.
    pub failed_announcements: u64,
}

/// How often the act of one key ran.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ActRuns {
    /// The key of the act.
    pub key: String,
    /// The caller's body.
    pub body: String,
    /// How often it ran.
    pub runs: u64,
}

/// Identity of an act for the run log.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ActIdentity {
    pub(crate) key: String,
    pub(crate) body: String,
}

/// Every act that ran, by key and body.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    runs: BTreeMap<ActIdentity, u64>,
}

impl RunLog {
    pub(crate) fn record(&mut self, act: ActIdentity) {
        *self.runs.entry(act).or_default() += 1;
    }

    pub(crate) fn list(&self) -> Vec<ActRuns> {
        let act_runs = |(act, runs): (&ActIdentity, &u64)| ActRuns {
            key: act.key.clone(),
            body: act.body.clone(),
            runs: *runs,
        };
        self.runs.iter().map(act_runs).collect()
    }
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptStage {
    /// Cancelled before it ran; it never will.
    Cancelled,
    /// Waits for a slot.
    Waiting,
    /// Runs or has run.
    Ran,
}

/// Attempts that arrived or were cancelled ahead of their arrival.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    stages: HashMap<String, AttemptStage>,
    arrived: HashSet<String>,
}

impl AttemptLog {
    /// Records an arrival; true when the same attempt has arrived before.
    pub(crate) fn record_arrival(&mut self, attempt: &str) -> bool {
        self.stages
            .entry(attempt.to_owned())
            .or_insert(AttemptStage::Waiting);
        !self.arrived.insert(attempt.to_owned())
    }

    /// Moves an attempt to running; false when it was cancelled.
    pub(crate) fn start(&mut self, attempt: &str) -> bool {
        if self.stages.get(attempt) == Some(&AttemptStage::Cancelled) {
            return false;
        }
        self.stages.insert(attempt.to_owned(), AttemptStage::Ran);
        true
    }

    /// Cancels an attempt; true when it has not run, and now never will.
    pub(crate) fn cancel(&mut self, attempt: &str) -> bool {
        if self.stages.get(attempt) == Some(&AttemptStage::Ran) {
            return false;
        }
        self.stages
            .insert(attempt.to_owned(), AttemptStage::Cancelled);
        true
    }
}
