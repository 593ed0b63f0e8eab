//! Measures the work of daemons and targets between two snapshots of their counters.

use std::time::Duration;

use super::{metrics::metric_sum, report::WorkReport};
use crate::{
    rig::TestRig,
    stand_in::StandInCounters,
    tier::{DaemonProcess, Tier},
};

const ATTEMPTS_METRIC: &str = "fulmarweir_attempts_total";

/// Counters of daemons and targets at one point in time.
#[derive(Debug)]
pub(crate) struct CounterSnapshot {
    /// Counters in the order of the daemons; `None` for a daemon that does not answer.
    daemons: Vec<Option<DaemonCounters>>,
    targets: Vec<StandInCounters>,
}

/// Counters of one daemon, or their increase between two snapshots.
#[derive(Clone, Copy, Debug, Default)]
struct DaemonCounters {
    first: f64,
    hedges: f64,
    retries: f64,
    cpu_secs: f64,
    rss_kib: u64,
}

impl DaemonCounters {
    async fn collect(tier: &Tier, daemon: &DaemonProcess) -> Option<Self> {
        let text = tier.metrics(daemon).await;
        if text.is_empty() {
            return None;
        }
        let usage = daemon.usage();
        Some(Self {
            first: metric_sum(&text, ATTEMPTS_METRIC, "kind=\"first\""),
            hedges: metric_sum(&text, ATTEMPTS_METRIC, "kind=\"hedge\""),
            retries: metric_sum(&text, ATTEMPTS_METRIC, "kind=\"retry\""),
            cpu_secs: usage.cpu_secs,
            rss_kib: usage.rss_kib,
        })
    }

    /// Adds the increase from `before` to `after`; for memory, keeps the maximum.
    fn add_increase(&mut self, before: &Self, after: &Self) {
        self.first += after.first - before.first;
        self.hedges += after.hedges - before.hedges;
        self.retries += after.retries - before.retries;
        self.cpu_secs += after.cpu_secs - before.cpu_secs;
        self.rss_kib = self.rss_kib.max(after.rss_kib);
    }
}

impl CounterSnapshot {
    pub(crate) async fn collect(rig: &TestRig) -> Self {
        let mut daemons = Vec::new();
        for daemon in rig.tier.daemons() {
            daemons.push(DaemonCounters::collect(&rig.tier, daemon).await);
        }
        Self {
            daemons,
            targets: rig.target_counters(),
        }
    }

    /// Returns the increase, summed over the daemons that answered in both snapshots.
    fn daemon_increase(&self, before: &Self) -> DaemonCounters {
        let mut increase = DaemonCounters::default();
        for (before, after) in before.daemons.iter().zip(&self.daemons) {
            if let (Some(before), Some(after)) = (before, after) {
                increase.add_increase(before, after);
            }
        }
        increase
    }

    fn sum(&self, field: fn(&StandInCounters) -> u64) -> u64 {
        self.targets.iter().map(field).sum()
    }

    fn latest_after_drain(&self) -> Duration {
        let times = self.targets.iter().filter_map(|c| c.last_after_drain);
        times.max().unwrap_or_default()
    }

    fn max(&self, field: fn(&StandInCounters) -> u64) -> u64 {
        self.targets.iter().map(field).max().unwrap_or_default()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub(crate) fn work_since(&self, before: &Self, answered: u64) -> WorkReport {
        let delta = |field| self.sum(field) - before.sum(field);
        let DaemonCounters {
            first,
            hedges,
            retries,
            cpu_secs,
            rss_kib,
        } = self.daemon_increase(before);
        let requests = delta(|c| c.requests);
        let runs = delta(|c| c.runs);
        let attempts_per_first = if first > 0.0 {
            (first + hedges + retries) / first
        } else {
            0.0
        };
        WorkReport {
            first_attempts: first,
            hedges,
            retries,
            attempts_per_first,
            target_requests: requests,
            target_runs: runs,
            runs_per_answer: runs as f64 / answered.max(1) as f64,
            target_shed: delta(|c| c.shed),
            target_cancels: delta(|c| c.cancels),
            connections_max: self.max(|c| c.connections_max),
            connections_refused: delta(|c| c.connections_refused),
            repeated_attempts: delta(|c| c.repeated_attempts),
            drain_last_ms: self.latest_after_drain().as_secs_f64() * 1e3,
            cpu_secs,
            cpu_us_per_target_request: cpu_secs * 1e6 / requests.max(1) as f64,
            rss_max_kib: rss_kib,
        }
    }
}
