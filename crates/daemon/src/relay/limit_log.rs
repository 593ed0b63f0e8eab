//! Logs what this VM sends to targets with a limit.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_route::LimitedLoad;
use slog::{Logger, info};

/// Shortest time between two reports, in milliseconds.
const REPORT_PERIOD_MS: u64 = 1_000;
/// Most lines of one report; the loads of the other targets are left out.
const LINES_MAX: usize = 8;

/// Writes a line about each target with a limit that this VM sends attempts to, once per period.
///
/// Summed over all VMs, the counts show how many attempts a target received, and of which kind.
#[derive(Debug, Default)]
pub(super) struct LimitLog {
    reported_at: MonoTime,
}

impl LimitLog {
    /// Whether a report is due.
    pub(super) fn is_due(&self, now: MonoTime) -> bool {
        now.since(self.reported_at) >= Duration::from_millis(REPORT_PERIOD_MS)
    }

    /// Writes the loads since the last report, the greatest ones if there are many.
    pub(super) fn write(&mut self, log: &Logger, mut loads: Vec<LimitedLoad>, now: MonoTime) {
        let period = now.since(self.reported_at);
        self.reported_at = now;
        loads.sort_by_key(|load| std::cmp::Reverse(load.counts.total()));
        for load in loads.iter().take(LINES_MAX) {
            let counts = load.counts;
            info!(log, "limited-target-load"; "target" => &*load.target,
                "limit" => format_args!("{:.2}", load.limit), "period_ms" => period.as_millis(),
                "first" => counts.first, "extra" => counts.extra,
                "after_unsent" => counts.after_unsent, "permits_asked" => load.asked,
                "permits_granted" => load.granted, "waiting" => load.waiting);
        }
    }
}
