//! The evacuated data centres as this VM knows them, and how it learns of orders.
//!
//! The voters decide each order. Keepers read the register and tell entry VMs and one another in poll
//! replies; the highest version counts, whatever its source.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::lock;
use fulmarweir_quorum::{EvacuationOrder, EvacuationSet, VoterService};
use http::StatusCode;
use slog::{info, warn};

use super::{
    entry::EntryNode,
    keeper::KeeperNode,
    metrics::set_count,
    response::{RelayResponse, json, text, unavailable},
    vm_message::EvacuationState,
};

/// Time limit for the voters to decide an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 3_000;
/// Time limit of reading the register from the voters, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Longest name of an unknown data centre in the log, in characters.
const NAME_LOGGED_MAX: usize = 64;

/// The evacuations with the highest version that this VM has learnt.
#[derive(Debug, Default)]
pub(crate) struct EvacuationView {
    held: Mutex<HeldEvacuations>,
}

#[derive(Debug, Default)]
struct HeldEvacuations {
    state: EvacuationState,
    /// Whether a majority of the voters has confirmed the state since the start of this keeper.
    is_confirmed: bool,
    /// Whether the last read of the register has failed.
    is_read_failing: bool,
}

impl EvacuationView {
    /// Returns the version held, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        lock(&self.held).state.version
    }

    /// Returns the state if its version is higher than `version`.
    pub(crate) fn newer_than(&self, version: u64) -> Option<EvacuationState> {
        let held = lock(&self.held);
        (held.state.version > version).then(|| held.state.clone())
    }

    /// Returns whether the version of a poller that can read evacuations is out of date.
    pub(crate) fn is_news_for(&self, poller_version: Option<u64>) -> bool {
        poller_version.is_some_and(|version| self.version() > version)
    }

    /// Replaces the state if `state` is newer, and calls `apply` with the version before. States are
    /// applied in the order of their versions, since `apply` runs under the lock.
    fn adopt(&self, state: &EvacuationState, apply: impl FnOnce(u64)) {
        let mut held = lock(&self.held);
        if state.version > held.state.version {
            let before = held.state.version;
            held.state = state.clone();
            apply(before);
        }
    }

    /// Whether the register must be read, given the version that the own voter has accepted.
    fn needs_read(&self, accepted: u64) -> bool {
        let held = lock(&self.held);
        !held.is_confirmed || accepted > held.state.version
    }

    /// Records the result of a read of the register; returns whether it differs from that of the read
    /// before.
    fn record_read(&self, has_succeeded: bool) -> bool {
        let mut held = lock(&self.held);
        held.is_confirmed |= has_succeeded;
        let was_failing = std::mem::replace(&mut held.is_read_failing, !has_succeeded);
        was_failing == has_succeeded
    }
}

impl From<EvacuationSet> for EvacuationState {
    fn from(set: EvacuationSet) -> Self {
        Self {
            version: set.version,
            centres: set.centres.into_iter().collect(),
        }
    }
}

impl EntryNode {
    /// Puts evacuations in force if they are newer than the known ones.
    pub(crate) fn apply_evacuations(&self, keeper: SocketAddr, state: &EvacuationState) {
        self.evacuations.adopt(state, |before| {
            let now = self.timer.now();
            let change = self.with_selector(|selector| {
                let change = selector.set_evacuated(&state.centres, now);
                // Targets may have become cold just before the end.
                for centre in &change.ended {
                    selector.record_return(Some(centre), now);
                }
                change
            });
            self.forget_shard_groups();
            set_count(&self.metrics.evacuated_centres, state.centres.len());
            info!(self.log, "evacuation-in-force"; "version" => state.version, "before" => before,
                "centres" => state.centres.join(","), "begun" => change.begun.join(","),
                "ended" => change.ended.join(","), "source" => %keeper);
        });
    }
}

impl KeeperNode {
    /// Stores decided evacuations if they are newer than the known ones, and tells other VMs.
    pub(crate) fn learn_evacuations(&self, state: &EvacuationState, source: &str) {
        self.evacuations.adopt(state, |before| {
            set_count(&self.metrics.evacuated_centres, state.centres.len());
            info!(self.log, "evacuations-kept"; "version" => state.version, "before" => before,
                "centres" => state.centres.join(","), "source" => source);
            self.notify_changes();
        });
    }

    /// Returns the evacuations to be stored if their version is not `version`.
    pub(crate) fn changed_evacuations(&self, version: u64) -> Option<(u64, EvacuationState)> {
        let newer = self.evacuations.newer_than(version)?;
        Some((newer.version, newer))
    }
}

/// Reads the evacuations from the voters if this keeper has not done so since its start, or if its own
/// voter accepted newer ones without learning whether they were decided.
///
/// Returns whether this keeper may announce a configuration: it may not while its voter has accepted
/// an order that it could not confirm. After a loss of power everywhere, entry VMs get a
/// configuration only from keepers that know the orders, so none serves without them.
pub(crate) async fn confirm_evacuations(node: &KeeperNode, voter: &VoterService) -> bool {
    let accepted = voter.accepted_evacuations_version();
    // Before the first election of voters there is no order.
    let is_elected = node.quorum.voters().epoch > 0;
    if !is_elected || !node.evacuations.needs_read(accepted) {
        return true;
    }
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    let read = node.quorum.read_evacuations(timeout).await;
    let is_new_result = node.evacuations.record_read(read.is_ok());
    match read {
        Ok(set) => {
            node.learn_evacuations(&set.into(), "voters");
            true
        }
        Err(report) => {
            if is_new_result {
                warn!(node.log, "evacuations-unconfirmed"; "held" => node.evacuations.version(),
                    "accepted" => accepted, "fault" => %report.current_context());
            }
            accepted <= node.evacuations.version()
        }
    }
}

/// Like [`confirm_evacuations`], for a configuration that an operator has sent or read. If it may not be
/// announced yet, the periodic check of the voters does so later.
pub(crate) async fn confirm_before_config(node: &KeeperNode) -> bool {
    let voter = lock(&node.voter).clone();
    match voter {
        Some(voter) => confirm_evacuations(node, &voter).await,
        None => true,
    }
}

/// Has the voters decide an operator's order, and answers once it is durable.
pub(crate) async fn answer_order(
    node: &KeeperNode,
    order: EvacuationOrder,
    centre: &Arc<str>,
) -> RelayResponse {
    if !node.settings.regions.contains_key(centre) {
        count_order(node, "unknown-centre");
        info!(node.log, "evacuation-refused"; "order" => order.as_str(),
            "centre" => centre.chars().take(NAME_LOGGED_MAX).collect::<String>(),
            "fault" => "unknown data centre");
        return text(StatusCode::NOT_FOUND, "no such data centre");
    }
    if !node.voters_speak_newest() {
        count_order(node, "old-voters");
        warn!(node.log, "evacuation-undecided"; "order" => order.as_str(), "centre" => &**centre,
            "fault" => "a voter cannot read evacuations yet");
        return unavailable("a voter cannot read evacuations yet");
    }
    let timeout = Duration::from_millis(ORDER_TIMEOUT_MS);
    match node.quorum.order_evacuation(order, centre, timeout).await {
        Ok(set) => {
            count_order(node, "decided");
            info!(node.log, "evacuation-decided"; "order" => order.as_str(), "centre" => &**centre,
                "version" => set.version, "voter_epoch" => node.quorum.voters().epoch);
            node.learn_evacuations(&set.into(), "operator");
            json(StatusCode::OK, "{}")
        }
        Err(report) => {
            count_order(node, "undecided");
            warn!(node.log, "evacuation-undecided"; "order" => order.as_str(),
                "centre" => &**centre, "fault" => %report.current_context(),
                "voter_epoch" => node.quorum.voters().epoch);
            unavailable("the voters did not decide in time")
        }
    }
}

fn count_order(node: &KeeperNode, outcome: &'static str) {
    node.metrics.count_evacuation_order(outcome);
}
