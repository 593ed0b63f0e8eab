//! The requests that end targets, as parts of the selector's state.

use std::net::SocketAddr;

use fulmarweir_base::MonoTime;

use super::{RelayTarget, TargetSelector, is_usable};
use crate::relay::crash::{
    CrashCall, QuarantineEntry, QuarantineState, RequestFingerprint, RunEnd, SendRule,
};

impl TargetSelector {
    /// Records that an attempt of a request was sent.
    pub(crate) fn run_started(
        &mut self,
        target: &RelayTarget,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) {
        self.crashes.run_started(target, fingerprint, now);
    }

    /// Records how the attempt of a request that was sent at `sent_at` ended.
    pub(crate) fn run_ended(
        &mut self,
        target: &RelayTarget,
        (fingerprint, sent_at): (RequestFingerprint, MonoTime),
        end: RunEnd,
        now: MonoTime,
    ) {
        let is_suspected = self.quarantine.is_suspected(fingerprint);
        let run = (fingerprint, sent_at);
        self.crashes.run_ended(target, run, end, is_suspected, now);
    }

    /// Whether `target` is in use and has not said that it leaves, so that its end would be a crash. The
    /// end of one in an evacuated data centre is expected, and no request is to blame for it.
    #[must_use]
    pub fn is_in_service(&self, target: &RelayTarget, now: MonoTime) -> bool {
        let state = self.services.get(&target.service);
        state.is_some_and(|state| {
            state.trackers.iter().any(|tracker| {
                tracker.target.id == target.id
                    && tracker.target.born_ms == target.born_ms
                    && is_usable(tracker, now)
                    && !tracker.notice.is_leaving()
            })
        })
    }

    /// Records that nothing listens at the address of `target` any more.
    pub fn record_target_end(&mut self, target: &RelayTarget, now: MonoTime) {
        if self.is_in_service(target, now) {
            self.crashes.target_ended(target, now);
        }
    }

    /// Whether a request has left `target` without an answer, so that its end would matter.
    #[must_use]
    pub fn has_unanswered(&self, target: &RelayTarget) -> bool {
        self.crashes.has_unanswered(target)
    }

    /// Returns how attempts of a request may be sent to the targets of `service`.
    #[must_use]
    pub fn send_rule(
        &self,
        fingerprint: RequestFingerprint,
        service: &str,
        now: MonoTime,
    ) -> SendRule {
        self.quarantine.rule(fingerprint, service, now)
    }

    /// Whether a request is sent to one target at a time or not at all.
    #[must_use]
    pub fn is_held_back(&self, fingerprint: RequestFingerprint, now: MonoTime) -> bool {
        // A service that has answered the request does not end the suspicion of the others.
        self.quarantine.rule(fingerprint, "", now) != SendRule::Unrestricted
    }

    /// Returns until when a request is not sent to the targets of `service`, if it is blocked now.
    pub(crate) fn blocked_until(
        &self,
        fingerprint: RequestFingerprint,
        service: &str,
        now: MonoTime,
    ) -> Option<MonoTime> {
        match self.send_rule(fingerprint, service, now) {
            SendRule::Blocked(until) => Some(until),
            SendRule::Unrestricted | SendRule::OneAtATime => None,
        }
    }

    /// Applies what a keeper has told of requests, and returns what is new. `boot` distinguishes the
    /// processes of the keeper and `digest` sums up all of its entries.
    pub fn apply_quarantine(
        &mut self,
        keeper: SocketAddr,
        (boot, digest): (u64, u64),
        entries: &[QuarantineEntry],
        now: MonoTime,
    ) -> Vec<QuarantineEntry> {
        let changed = self.merge_quarantine(entries, now);
        let is_differing = self.quarantine.digest() != digest;
        self.crashes
            .outbox
            .record_keeper(keeper, boot, is_differing, now);
        changed
    }

    /// Applies what another VM knows of requests, and returns what is new.
    pub fn merge_quarantine(
        &mut self,
        entries: &[QuarantineEntry],
        now: MonoTime,
    ) -> Vec<QuarantineEntry> {
        let changed = self.quarantine.merge(entries, now);
        for entry in &changed {
            if entry.state != QuarantineState::Released {
                self.crashes.report_answers(entry.fingerprint);
            }
        }
        changed
    }

    /// Returns the entry of a request, for VMs that have handed it over.
    #[must_use]
    pub fn quarantine_of(
        &self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<QuarantineEntry> {
        self.quarantine.get(fingerprint, now)
    }

    /// Returns the calls that tell keepers what they do not know of lost requests; none while the
    /// links to targets may be to blame.
    pub fn due_crash_calls(&mut self, alive: &[SocketAddr], now: MonoTime) -> Vec<CrashCall> {
        if self.links.are_doubtful() {
            return Vec::new();
        }
        self.crashes.outbox.due_calls(alive, &self.quarantine, now)
    }

    /// Records whether a call has reached its keeper.
    pub fn record_crash_call_end(&mut self, call: &CrashCall, is_delivered: bool, now: MonoTime) {
        self.crashes.outbox.record_call_end(call, is_delivered, now);
    }

    /// Returns whether there is news for keepers since the last call.
    pub fn take_crash_urgency(&mut self) -> bool {
        self.crashes.outbox.take_urgency()
    }

    /// Whether any keeper is still to be told something.
    #[must_use]
    pub fn has_crash_news(&self) -> bool {
        self.crashes.outbox.has_work()
    }

    /// Returns the requests that are held back.
    #[must_use]
    pub fn quarantine_entries(&self, now: MonoTime) -> Vec<QuarantineEntry> {
        self.quarantine.entries(now)
    }

    /// Returns the number of requests that are blocked now.
    #[must_use]
    pub fn blocked_count(&self, now: MonoTime) -> usize {
        self.quarantine.blocked_count(now)
    }

    /// Forgets what is known of requests and is too old to matter.
    pub fn remove_expired_crashes(&mut self, now: MonoTime) {
        self.quarantine.remove_expired(now);
        self.crashes.remove_expired(now);
    }
}
