//! The links of this VM to targets, as part of the selector's state.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use fulmarweir_base::{MonoTime, rendezvous_weight};

use super::{RelayTarget, TargetSelector, is_usable};
use crate::relay::{
    link_state::{LinkChange, LinkEvidence, LinkExamination, LinkState, LinkTask},
    link_watch::LinkWatch,
};

/// A target that is probed to find out about the links.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LinkTarget {
    /// Address of the target.
    pub address: SocketAddr,
    /// Its service.
    pub service: Arc<str>,
}

impl LinkTarget {
    fn of(target: &RelayTarget) -> Self {
        Self {
            address: target.address,
            service: Arc::clone(&target.service),
        }
    }
}

impl TargetSelector {
    /// Returns what this VM believes of its links to targets.
    #[must_use]
    pub const fn links(&self) -> &LinkWatch {
        &self.links
    }

    /// Records what the end of an attempt says about the link to its target.
    pub(crate) fn record_link_evidence(
        &mut self,
        target: &RelayTarget,
        sent_at: MonoTime,
        evidence: LinkEvidence,
        now: MonoTime,
    ) {
        let address = target.address;
        self.links.attempt_ended(address, sent_at, evidence, now);
    }

    /// Returns what is due now to find out about the links.
    pub fn next_link_task(&mut self, now: MonoTime) -> Option<LinkTask> {
        let targets = self.services.values().map(|state| state.trackers.len());
        self.links.next_task(targets.sum(), now)
    }

    /// Returns `count` targets to probe, those first that have failed, up to half of all, and else
    /// spread over data centres and services. `seed` is a random number.
    #[must_use]
    pub fn link_sample(&self, count: usize, seed: u64, now: MonoTime) -> Vec<LinkTarget> {
        let suspects = self.links.suspects();
        let trackers = self.services.values().flat_map(|state| &state.trackers);
        // A request, even a probe, is unwelcome at a target that has asked for time or is limited.
        let usable = trackers.filter(|tracker| {
            is_usable(tracker, now)
                && tracker.notice.closed_until(now).is_none()
                && !self.permits.limits.is_limited(&tracker.target)
                && !self.permits.cold.is_cold(&tracker.target, now)
        });
        let mut targets: Vec<&Arc<RelayTarget>> = usable.map(|tracker| &tracker.target).collect();
        targets.sort_by_cached_key(|target| rendezvous_weight(target.address, seed));
        let of_suspects = targets.iter().filter(|t| suspects.contains(&t.address));
        let mut sample: Vec<LinkTarget> = of_suspects
            .take(count.div_ceil(2))
            .map(|target| LinkTarget::of(target))
            .collect();
        // One target of each data centre and service in turn, as long as there are others.
        let mut taken: HashSet<(&str, &str)> = HashSet::new();
        while sample.len() < count {
            let is_new =
                |target: &&&Arc<RelayTarget>| sample.iter().all(|s| s.address != target.address);
            let other = |target: &&&Arc<RelayTarget>| {
                !taken.iter().any(|(centre, service)| {
                    *centre == &*target.centre || *service == &*target.service
                })
            };
            let fresh = targets.iter().filter(is_new).find(other);
            let Some(next) = fresh.or_else(|| targets.iter().find(is_new)) else {
                break;
            };
            taken.insert((&next.centre, &next.service));
            sample.push(LinkTarget::of(next));
        }
        sample
    }

    /// Returns the known target at `address`, unless it has asked this VM for time.
    #[must_use]
    pub fn link_target_at(&self, address: SocketAddr, now: MonoTime) -> Option<LinkTarget> {
        let mut trackers = self.services.values().flat_map(|state| &state.trackers);
        let tracker = trackers.find(|tracker| tracker.target.address == address)?;
        let is_closed = tracker.notice.closed_until(now).is_some();
        (!is_closed).then(|| LinkTarget::of(&tracker.target))
    }

    /// Records the result of an examination of the links. If they are lost, forgets what this VM
    /// believes of targets and requests since then: the links are to blame. If no VM reaches a target, it
    /// is the targets, and what ended them may be a request.
    pub fn record_examination(
        &mut self,
        found: LinkExamination,
        now: MonoTime,
    ) -> Option<LinkChange> {
        let change = self.links.record_examination(found, now)?;
        if change.after == LinkState::Lost {
            for state in self.services.values_mut() {
                for tracker in &mut state.trackers {
                    tracker.forget_failures();
                }
            }
            self.crashes.forget_since(change.since);
        }
        self.record_regained_links(change, now);
        Some(change)
    }

    /// Records the result of a round of probes while the links are lost.
    pub fn record_return_probe(
        &mut self,
        probed: usize,
        reached: usize,
        now: MonoTime,
    ) -> Option<LinkChange> {
        let change = self.links.record_return_probe(probed, reached, now)?;
        self.record_regained_links(change, now);
        Some(change)
    }

    /// Counts all targets as cold for a time if the links to them are back after an outage.
    fn record_regained_links(&mut self, change: LinkChange, now: MonoTime) {
        let was_lost = matches!(change.before, LinkState::Lost | LinkState::TargetsDown);
        if was_lost && change.after == LinkState::Up {
            self.record_return(None, now);
        }
    }
}
