//! What an entry VM is told of requests that end their targets.

use std::net::SocketAddr;

use fulmarweir_base::lock;
use fulmarweir_route::{QuarantineEntry, QuarantineState};

use super::{entry::EntryNode, quarantine_log::log_quarantine, vm_message::QuarantineReport};

impl EntryNode {
    /// Applies what a keeper tells of requests that are held back, and logs what is new.
    pub(super) fn apply_quarantine(&self, keeper: SocketAddr, report: &QuarantineReport) {
        let now = self.timer.now();
        lock(&self.quarantine_revisions).insert(keeper, report.revision);
        let entries = report.entries.as_deref().unwrap_or_default();
        let told = (report.boot, report.digest);
        let changed = self.with_selector(|s| s.apply_quarantine(keeper, told, entries, now));
        self.log_quarantine_changes(&changed, &format!("keeper:{keeper}"));
    }

    /// Counts and logs changes of what is known of requests. Many change at once when many targets
    /// end.
    fn log_quarantine_changes(&self, changed: &[QuarantineEntry], source: &str) {
        let now = self.timer.now();
        for entry in changed {
            self.metrics.count_quarantine_change(entry.state);
            let is_blocked = entry.state == QuarantineState::Blocked;
            if is_blocked || self.request_log.acquire_degraded_line(now) {
                log_quarantine(&self.log, entry, source);
            } else {
                self.metrics.log_lines_dropped.inc();
            }
        }
    }

    /// Applies what a broker knows of a request that it was handed.
    pub(super) fn learn_quarantine(&self, broker: SocketAddr, entry: &QuarantineEntry) {
        let now = self.timer.now();
        let entry = std::slice::from_ref(entry);
        let changed = self.with_selector(|selector| selector.merge_quarantine(entry, now));
        self.log_quarantine_changes(&changed, &format!("broker:{broker}"));
    }

    /// Returns the revision of the quarantine that a keeper has told, 0 for none.
    pub(super) fn quarantine_revision(&self, keeper: SocketAddr) -> u64 {
        let revisions = lock(&self.quarantine_revisions);
        revisions.get(&keeper).copied().unwrap_or_default()
    }
}
