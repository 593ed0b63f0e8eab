//! What VMs tell keepers about targets that ended and about requests that were lost with them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{fingerprint::RequestFingerprint, quarantine::QuarantineEntry};

/// A request that was running at a target when that ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Service of the target.
    pub service: Arc<str>,
    /// Id of the target.
    pub target: Arc<str>,
    /// Distinguishes incarnations of the target.
    pub born_ms: u64,
    /// Time since the request was sent to the target.
    pub sent_age: Duration,
    /// Time since the target ended.
    pub ended_age: Duration,
}

/// An answer of a target to a request that was lost elsewhere.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Service of the target.
    pub service: Arc<str>,
    /// Time since the answer.
    pub age: Duration,
}

/// What a VM tells a keeper.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNews {
    /// Requests that were lost.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered.
    pub answers: Vec<AnswerReport>,
    /// Requests that are held back, if the keeper does not know all of them.
    pub entries: Vec<QuarantineEntry>,
}
