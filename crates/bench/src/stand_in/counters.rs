//! Counters and logs of a stand-in target, for checks after a run.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// Counters since the start of one stand-in target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StandInCounters {
    /// Calls of `/query` that were read completely.
    pub requests: u64,
    /// Requests that acquired a slot and ran.
    pub runs: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests shed because all slots were taken and the queue was full.
    pub shed: u64,
    /// Requests whose deadline passed while they waited for a slot.
    pub expired: u64,
    /// Requests for a version or shard that the target does not hold.
    pub gone: u64,
    /// Requests that arrived while the target was not serving.
    pub while_not_serving: u64,
    /// Time from the start of the drain to the last request that arrived afterwards.
    pub last_after_drain: Option<Duration>,
    /// Calls of `/cancel`.
    pub cancels: u64,
    /// Cancels that arrived before the attempt ran.
    pub cancels_in_time: u64,
    /// Attempt numbers that arrived more than once.
    pub repeated_attempts: u64,
    /// Requests with missing or malformed headers.
    pub malformed: u64,
    /// Largest number of concurrently running requests.
    pub running_max: u64,
    /// Largest number of open connections.
    pub connections_max: u64,
    /// Total number of connections opened.
    pub connections_opened: u64,
    /// Connections beyond the limit, which were closed immediately.
    pub connections_refused: u64,
    /// Replies with an injected fault.
    pub faulty_replies: u64,
    /// Announcements that a VM accepted.
    pub announcements: u64,
    /// Announcements that failed or were refused.
    pub failed_announcements: u64,
}

/// Number of runs of one act, which is identified by its key and body.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ActRuns {
    /// Key of the act.
    pub key: String,
    /// Request body that the caller sent.
    pub body: String,
    /// Number of runs.
    pub runs: u64,
}

/// Identity of an act in the run log.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ActIdentity {
    pub(crate) key: String,
    pub(crate) body: String,
}

/// Counts the runs of each act by key and body.
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

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptStage {
    /// Cancelled before it ran, and will never run.
    Cancelled,
    /// Waiting for a slot.
    Waiting,
    /// Running or finished.
    Ran,
}

/// Attempts that arrived, and attempts that were cancelled before they arrived.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    stages: HashMap<String, AttemptStage>,
    arrived: HashSet<String>,
}

impl AttemptLog {
    /// Records an arrival and returns whether the same attempt has arrived before.
    pub(crate) fn record_arrival(&mut self, attempt: &str) -> bool {
        self.stages
            .entry(attempt.to_owned())
            .or_insert(AttemptStage::Waiting);
        !self.arrived.insert(attempt.to_owned())
    }

    /// Marks an attempt as running; returns false when it was cancelled.
    pub(crate) fn start(&mut self, attempt: &str) -> bool {
        if self.stages.get(attempt) == Some(&AttemptStage::Cancelled) {
            return false;
        }
        self.stages.insert(attempt.to_owned(), AttemptStage::Ran);
        true
    }

    /// Cancels an attempt; returns true when it has not run and will never run.
    pub(crate) fn cancel(&mut self, attempt: &str) -> bool {
        if self.stages.get(attempt) == Some(&AttemptStage::Ran) {
            return false;
        }
        self.stages
            .insert(attempt.to_owned(), AttemptStage::Cancelled);
        true
    }
}
