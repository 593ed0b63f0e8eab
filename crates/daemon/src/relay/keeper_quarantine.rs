//! What a keeper knows of requests that end their targets.

use std::net::SocketAddr;

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_route::{CrashNews, QuarantineEntry};

use super::{keeper::KeeperNode, quarantine_log::log_quarantine, vm_message::QuarantineReport};

impl KeeperNode {
    /// Records what an entry VM tells of lost requests.
    pub(super) fn record_crash_news(&self, news: &CrashNews) {
        let changed = lock(&self.tally).record(news, self.timer.now());
        self.publish_quarantine(&changed, "entry-vm");
    }

    /// Applies what another keeper knows.
    pub(super) fn apply_quarantine(&self, keeper: SocketAddr, report: &QuarantineReport) {
        lock(&self.quarantine_revisions).insert(keeper, report.revision);
        self.merge_quarantine(report.entries.as_deref().unwrap_or_default(), "keeper");
    }

    /// Applies entries that were told or stored.
    pub(super) fn merge_quarantine(&self, entries: &[QuarantineEntry], source: &str) {
        if entries.is_empty() {
            return;
        }
        let news = CrashNews {
            entries: entries.to_vec(),
            ..CrashNews::default()
        };
        let changed = lock(&self.tally).record(&news, self.timer.now());
        self.publish_quarantine(&changed, source);
    }

    /// Returns the revision of the quarantine that another keeper has told, 0 for none.
    pub(super) fn quarantine_revision(&self, keeper: SocketAddr) -> u64 {
        let revisions = lock(&self.quarantine_revisions);
        revisions.get(&keeper).copied().unwrap_or_default()
    }

    /// Decides which requests are held back by the reports until now.
    pub(super) fn decide_quarantine(&self, now: MonoTime) {
        let changed = lock(&self.tally).decide(now);
        self.publish_quarantine(&changed, "reports");
    }

    /// Returns what a poller does not know that has heard of `revision`.
    pub(super) fn quarantine_report(&self, revision: u64, now: MonoTime) -> QuarantineReport {
        let tally = lock(&self.tally);
        let is_other = tally.revision() != revision;
        QuarantineReport {
            boot: tally.boot(),
            revision: tally.revision(),
            digest: tally.table().digest(),
            entries: is_other.then(|| tally.entries_since(revision, now)),
        }
    }

    /// Returns the revision of the entries and the entries, if they have changed since `revision`.
    pub(super) fn changed_quarantine(&self, revision: u64) -> Option<(u64, Vec<QuarantineEntry>)> {
        let tally = lock(&self.tally);
        let is_other = tally.revision() != revision;
        is_other.then(|| (tally.revision(), tally.table().entries(self.timer.now())))
    }

    /// Logs and counts changed entries, and wakes the polls of VMs that do not know them.
    pub(super) fn publish_quarantine(&self, changed: &[QuarantineEntry], source: &str) {
        for entry in changed {
            self.metrics.count_quarantine_change(entry.state);
            log_quarantine(&self.log, entry, source);
        }
        if !changed.is_empty() {
            self.notify_changes();
        }
    }
}
