//! Stores what a keeper acknowledges on the disks of as many keepers as may be lost, and one more.
//!
//! A target that leaves announces nothing after its acknowledgement, and an operator sends an order once,
//! so nobody would tell again what is lost with the keeper. The copies need no agreement: a departure and
//! a state of the quarantine only ever give way to a higher rank.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{RunVerdict, lock};
use fulmarweir_fleet::AnnounceOutcome;
use fulmarweir_route::QuarantineEntry;
use fulmarweir_wire::{TrafficClass, WireError, WireFault};
use slog::{info, warn};
use tokio::sync::mpsc;

use super::{
    keeper::KeeperNode,
    vm_message::{KeeperNews, VmReply, VmRequest},
};

/// Time limit for storing the copies, in milliseconds. Targets call another keeper after a second.
const REPLICATE_TIMEOUT_MS: u64 = 700;

/// What became of one copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CopyOutcome {
    /// It is on the disk.
    Stored,
    /// The peer is an older build, which keeps no copies.
    Unsupported,
    /// It may be lost with the process or has not arrived.
    Failed,
}

impl CopyOutcome {
    const fn of(is_stored: bool) -> Self {
        if is_stored {
            Self::Stored
        } else {
            Self::Failed
        }
    }
}

/// Counts the copies of one piece of news.
#[derive(Clone, Copy, Debug)]
struct CopyCount {
    stored: usize,
    unsupported: usize,
    /// How many keepers hold copies once all voters are known, at least.
    holders: usize,
    losses_max: usize,
}

impl CopyCount {
    fn record(&mut self, outcome: CopyOutcome) {
        match outcome {
            CopyOutcome::Stored => self.stored += 1,
            CopyOutcome::Unsupported => self.unsupported += 1,
            CopyOutcome::Failed => {}
        }
    }

    /// Returns how many copies must be stored, so that one is left whichever keepers are lost, as far as
    /// older builds allow it.
    fn needed(&self) -> usize {
        let able = self.holders.saturating_sub(self.unsupported).max(1);
        able.min(self.losses_max + 1)
    }

    fn is_enough(&self) -> bool {
        self.stored >= self.needed()
    }
}

impl KeeperNode {
    /// Makes the departure of a target durable; returns whether it may be acknowledged.
    ///
    /// It is in force here and told to entry VMs in any case.
    pub(super) async fn replicate_departure(self: &Arc<Self>, id: &str) -> bool {
        let Some(departure) = lock(&self.registry).unreplicated_departure(id) else {
            return true;
        };
        let news = KeeperNews {
            departures: vec![departure.clone()],
            ..KeeperNews::default()
        };
        let is_replicated = self.replicate(news).await;
        if is_replicated {
            lock(&self.registry).record_replicated(&departure);
        }
        is_replicated
    }

    /// Makes an operator's change of the quarantine durable; returns whether it may be acknowledged.
    pub(super) async fn replicate_quarantine(self: &Arc<Self>, entry: &QuarantineEntry) -> bool {
        let news = KeeperNews {
            quarantine: vec![entry.clone()],
            ..KeeperNews::default()
        };
        self.replicate(news).await
    }

    /// Applies what another keeper is about to acknowledge; returns whether it is on the disk.
    pub(super) async fn store_copy(&self, news: &KeeperNews) -> bool {
        let now = self.timer.now();
        for departure in &news.departures {
            let outcome = lock(&self.registry).adopt_departure(departure.clone(), now);
            // Waiting polls are not woken: the keeper that was told does that. If it is lost, entry VMs
            // learn of the departure when their polls return.
            if outcome == AnnounceOutcome::Changed {
                info!(self.log, "departure-copied"; "target" => &*departure.id,
                    "state" => ?departure.state, "born_ms" => departure.born_ms);
            }
        }
        self.merge_quarantine(&news.quarantine, "keeper");
        self.is_stored(news).await
    }

    /// Stores `news` here and at the other voters' VMs until enough of them have it on their disks.
    async fn replicate(self: &Arc<Self>, news: KeeperNews) -> bool {
        let started_at = self.timer.now();
        let deadline = started_at + Duration::from_millis(REPLICATE_TIMEOUT_MS);
        let others = self.copy_holders();
        let mut count = CopyCount {
            stored: 0,
            unsupported: 0,
            // A keeper that does not know the voters yet must not take itself for the only one.
            holders: (others.len() + 1).max(self.settings.voters_wanted()),
            losses_max: self.settings.losses_max as usize,
        };
        let (sender, mut outcomes) = mpsc::channel(count.holders);
        let call = VmRequest::Replicate(Box::new(news.clone()));
        for other in others {
            let (node, sender, call) = (Arc::clone(self), sender.clone(), call.clone());
            // Continues after the acknowledgement, so that all keepers get a copy if they can.
            self.copy_tasks.spawn(async move {
                let outcome = node.send_copy(other, &call).await;
                // The receiver is gone once there are enough copies.
                let _ = sender.send(outcome).await;
            });
        }
        let node = Arc::clone(self);
        let own_news = news.clone();
        self.copy_tasks.spawn(async move {
            let is_stored = tokio::select! {
                is_stored = node.is_stored(&own_news) => is_stored,
                () = node.timer.sleep_until(deadline) => false,
            };
            let _ = sender.send(CopyOutcome::of(is_stored)).await;
        });
        while !count.is_enough() {
            let Some(outcome) = outcomes.recv().await else {
                break;
            };
            count.record(outcome);
        }
        let took = self.timer.now().since(started_at);
        self.log_replicated(&news, count, took);
        count.is_enough()
    }

    /// Returns the peer addresses of the other keepers that store copies: the voters, since all keepers
    /// agree on these, or the live keepers while there are none.
    fn copy_holders(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_address();
        let voters = self.quorum.voters().members;
        let mut holders: Vec<SocketAddr> = voters.iter().map(|voter| voter.address).collect();
        if holders.is_empty() {
            let alive = self.directory.alive(self.timer.now());
            holders = alive.iter().map(|contact| contact.peers).collect();
        }
        holders.retain(|holder| *holder != own);
        holders
    }

    async fn send_copy(&self, holder: SocketAddr, call: &VmRequest) -> CopyOutcome {
        let time_limit = Duration::from_millis(REPLICATE_TIMEOUT_MS);
        let class = TrafficClass::Control;
        match self.peers.call(holder, class, call, time_limit).await {
            Ok(VmReply::Noted) => CopyOutcome::Stored,
            Err(error) if is_refused_by_older_build(error) => CopyOutcome::Unsupported,
            Ok(_) | Err(_) => CopyOutcome::Failed,
        }
    }

    /// Waits until `news` is on the disk of this VM; returns false if it has none.
    async fn is_stored(&self, news: &KeeperNews) -> bool {
        if self.settings.data_folder.is_none() {
            return false;
        }
        if !news.departures.is_empty() {
            let revision = lock(&self.registry).revision();
            self.target_file.wait_written(revision).await;
        }
        if !news.quarantine.is_empty() {
            let revision = lock(&self.tally).revision();
            self.quarantine_file.wait_written(revision).await;
        }
        true
    }

    fn log_replicated(&self, news: &KeeperNews, count: CopyCount, took: Duration) {
        let subject = news.departures.first().map(|departure| &*departure.id);
        let fingerprint = news.quarantine.first().map(|entry| entry.fingerprint);
        let fingerprint = fingerprint.map(|known| known.to_string());
        let subject = subject.or(fingerprint.as_deref()).unwrap_or_default();
        let needed = count.needed();
        if count.is_enough() {
            info!(self.log, "news-replicated"; "subject" => subject, "stored" => count.stored,
                "needed" => needed, "unsupported" => count.unsupported,
                "took_ms" => took.as_millis());
        } else {
            self.metrics.unreplicated.inc();
            warn!(self.log, "news-not-replicated"; "subject" => subject, "stored" => count.stored,
                "needed" => needed, "unsupported" => count.unsupported, "holders" => count.holders,
                "took_ms" => took.as_millis());
        }
    }
}

/// Builds of version 9 from before the request cannot decode it, those of version 8 do not have it.
fn is_refused_by_older_build(error: WireError) -> bool {
    let is_unknown = matches!(error.fault, WireFault::Codec | WireFault::Protocol);
    is_unknown && error.verdict == RunVerdict::NotRun
}

#[cfg(test)]
mod tests {
    use super::*;

    fn is_enough(outcomes: &[CopyOutcome], losses_max: usize) -> bool {
        let mut count = CopyCount {
            stored: 0,
            unsupported: 0,
            holders: outcomes.len().max(2 * losses_max + 1),
            losses_max,
        };
        for outcome in outcomes {
            count.record(*outcome);
        }
        count.is_enough()
    }

    /// Guards against an acknowledgement that is lost with as many keepers as may be lost, and against one
    /// that never comes while older builds run beside this one.
    #[test]
    fn copies_are_enough_if_one_is_left_after_the_losses_or_all_that_can_store_one_did() {
        use CopyOutcome::{Failed, Stored, Unsupported};
        assert!(is_enough(&[Stored], 0));
        assert!(!is_enough(&[Failed], 0));
        assert!(is_enough(&[Stored, Stored, Failed], 1));
        assert!(is_enough(&[Failed, Stored, Stored], 1));
        assert!(!is_enough(&[Stored, Failed, Failed], 1));
        assert!(is_enough(&[Stored, Stored, Stored, Failed, Failed], 2));
        assert!(!is_enough(&[Stored, Stored, Failed, Failed, Failed], 2));
        // The voters are not known yet.
        assert!(!is_enough(&[Stored], 1));
        assert!(is_enough(&[Stored, Stored], 1));
        assert!(!is_enough(&[Stored, Stored], 2));
        // Older builds: one of three can't store copies, then two of three.
        assert!(is_enough(&[Stored, Stored, Unsupported], 1));
        assert!(!is_enough(&[Stored, Failed, Unsupported], 1));
        assert!(is_enough(&[Stored, Unsupported, Unsupported], 1));
        assert!(!is_enough(&[Failed, Unsupported, Unsupported], 1));
    }
}
