//! This VM's part of the burst of the budgets of extra attempts.
//!
//! Load pattern: VMs fail, restart or are cut off while targets are in trouble. The burst is granted
//! for a window of time, not for a moment, so what lost VMs have spent of it must not be granted to
//! others, or to their next process, within the same window.

use std::{collections::VecDeque, time::Duration};

use fulmarweir_base::MonoTime;

use super::attempt_budget::BudgetGrant;

/// Time for which a VM that no longer learns the number of VMs uses its part, in milliseconds.
const LEASE_MS: u64 = 30_000;

/// Divides the burst by the highest number of VMs within the lease and the window before it.
#[derive(Debug)]
pub(crate) struct BurstShare {
    window: Duration,
    /// The budgets of an earlier process of this VM have expired by then.
    usable_from: MonoTime,
    /// Numbers of VMs and when each was last reported, highest and oldest first.
    vm_counts: VecDeque<(u32, MonoTime)>,
}

impl BurstShare {
    pub(crate) const fn new(window: Duration, usable_from: MonoTime) -> Self {
        Self {
            window,
            usable_from,
            vm_counts: VecDeque::new(),
        }
    }

    /// Records a report of the number of VMs that use the burst, at least 1.
    pub(crate) fn record_vm_count(&mut self, vms: u32, now: MonoTime) {
        while self
            .vm_counts
            .back()
            .is_some_and(|(count, _)| *count <= vms)
        {
            self.vm_counts.pop_back();
        }
        self.vm_counts.push_back((vms, now));
        // A VM that was cut off when its count was last reported has stopped using its part by
        // then, and a window has passed since.
        let hold = Duration::from_millis(LEASE_MS) + self.window;
        while self
            .vm_counts
            .front()
            .is_some_and(|(_, at)| now.since(*at) > hold)
        {
            self.vm_counts.pop_front();
        }
    }

    /// Returns what the budgets of this VM are granted, given the burst of all VMs.
    pub(crate) fn grant(&self, burst: f64, now: MonoTime) -> BudgetGrant {
        BudgetGrant {
            is_starting: now < self.usable_from,
            burst_part: self.part_of(burst, now),
        }
    }

    /// Returns this VM's part of `burst`.
    fn part_of(&self, burst: f64, now: MonoTime) -> f64 {
        let lease = Duration::from_millis(LEASE_MS);
        let (Some((highest, _)), Some((_, reported_at))) =
            (self.vm_counts.front(), self.vm_counts.back())
        else {
            return 0.0;
        };
        if now < self.usable_from || now.since(*reported_at) > lease {
            return 0.0;
        }
        burst / f64::from(*highest)
    }

    /// Returns the highest number of VMs that was reported lately, `None` before the first report.
    pub(crate) fn highest_vm_count(&self) -> Option<u32> {
        self.vm_counts.front().map(|(count, _)| *count)
    }

    /// Returns the number of VMs that was reported last, 1 before the first report.
    pub(crate) fn latest_vm_count(&self) -> u32 {
        self.vm_counts.back().map_or(1, |(count, _)| *count)
    }
}
