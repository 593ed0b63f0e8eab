//! Logs for which services extra attempts are denied.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_route::BudgetSnapshot;
use slog::{Logger, info};

/// Shortest time between two lines about one service, in milliseconds.
const LINE_PERIOD_MS: u64 = 1_000;
/// Most lines per tick; the other services follow at the next ticks.
const LINES_PER_TICK_MAX: usize = 8;
/// Time after which the last line about a service is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

/// Writes a line about each service whose budget of extra attempts denies some, at most one per
/// service and period.
///
/// Summed over all VMs, the counts show how many attempts a service received beyond the first ones.
#[derive(Debug, Default)]
pub(super) struct BudgetLog {
    logged_at: HashMap<Arc<str>, MonoTime>,
}

impl BudgetLog {
    /// Writes the lines that are due about `budgets`, all of which deny extra attempts.
    pub(super) fn write(&mut self, log: &Logger, budgets: Vec<BudgetSnapshot>, now: MonoTime) {
        let forget_after = Duration::from_millis(FORGET_AFTER_MS);
        self.logged_at.retain(|_, at| now.since(*at) < forget_after);
        let period = Duration::from_millis(LINE_PERIOD_MS);
        let last_logged = |service: &Arc<str>| self.logged_at.get(service).copied();
        let mut due = budgets;
        due.retain(|budget| last_logged(&budget.service).is_none_or(|at| now.since(at) >= period));
        due.sort_by_key(|budget| last_logged(&budget.service));
        for budget in due.into_iter().take(LINES_PER_TICK_MAX) {
            let counts = budget.counts;
            info!(log, "extra-budget-empty"; "service" => &*budget.service,
                "first" => counts.first, "extra" => counts.extra,
                "after_unreachable" => counts.after_unreachable,
                "after_handover" => counts.after_handover,
                "denied" => counts.denied, "left" => format_args!("{:.1}", budget.remaining),
                "burst_part" => format_args!("{:.1}", budget.burst_part));
            self.logged_at.insert(budget.service, now);
        }
    }
}
