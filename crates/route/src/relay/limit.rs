//! What is known of the limit of a target, and what was sent to it.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use serde::{Deserialize, Serialize};

use super::attempt_budget::AttemptCharge;

/// What a reply of a target says about the rate of requests that it takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// No limit.
    #[default]
    None,
    /// A value that cannot be read, which neither sets nor lifts a limit.
    Unreadable,
    /// Requests per second, from zero to a finite number.
    PerSecond(f64),
}

/// A change of the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests per second until now; `None` without a limit.
    pub before: Option<f64>,
    /// Requests per second from now on; `None` without a limit.
    pub after: Option<f64>,
}

/// What a VM or a keeper knows of the limit of one incarnation of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Id of the target.
    pub target: Arc<str>,
    /// Distinguishes incarnations of the target.
    pub born_ms: u64,
    /// Requests per second; `None` once the target states no limit any more.
    pub limit: Option<f64>,
    /// Age of the latest evidence.
    pub age: Duration,
}

impl LimitReport {
    /// Whether the limit is a number that a target can have stated.
    pub(crate) fn is_valid(&self) -> bool {
        self.limit
            .is_none_or(|limit| limit.is_finite() && limit >= 0.0)
    }
}

/// Attempts that this VM has sent to a target with a limit, by their charge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitedCounts {
    /// First attempts of their sub-request.
    pub first: u32,
    /// Hedges and retries, on whichever budget.
    pub extra: u32,
    /// Attempts after one that was not sent.
    pub after_unsent: u32,
}

impl LimitedCounts {
    /// Returns the number of attempts of all kinds.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.first + self.extra + self.after_unsent
    }

    pub(crate) fn count(&mut self, charge: AttemptCharge) {
        match charge {
            AttemptCharge::First => self.first += 1,
            AttemptCharge::Extra | AttemptCharge::Lent => self.extra += 1,
            AttemptCharge::AfterUnreachable | AttemptCharge::AfterHandover => {
                self.after_unsent += 1;
            }
        }
    }
}

/// What this VM has sent to a target with a limit since the last report, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedLoad {
    /// Id of the target.
    pub target: Arc<str>,
    /// Requests per second that the target takes from all VMs.
    pub limit: f64,
    /// Attempts since the last report.
    pub counts: LimitedCounts,
    /// Permits that keepers granted since the last report.
    pub granted: u32,
    /// Permits that were asked for since the last report.
    pub asked: u32,
    /// Requests that wait for a permit.
    pub waiting: u32,
}

/// A limit and when the latest evidence for it is from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KnownLimit {
    /// Requests per second; `None` once the target states no limit any more.
    pub(crate) limit: Option<f64>,
    pub(crate) known_at: MonoTime,
}

impl KnownLimit {
    /// Applies a value for which there is evidence from `known_at`, and returns whether it differs
    /// from the value until now. Older evidence than the latest is ignored.
    pub(crate) fn apply(&mut self, limit: Option<f64>, known_at: MonoTime) -> bool {
        if known_at < self.known_at {
            return false;
        }
        self.known_at = known_at;
        let is_changed = self.limit != limit;
        self.limit = limit;
        is_changed
    }

    /// Returns the age of the latest evidence.
    pub(crate) fn age(&self, now: MonoTime) -> Duration {
        now.since(self.known_at)
    }
}
