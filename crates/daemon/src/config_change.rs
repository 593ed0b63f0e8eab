//! Changes of the configuration, decided by the voters.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::RunVerdict;
use fulmarweir_conf::{ConfigVersion, FaultList};
use fulmarweir_fleet::ConfigStamp;
use fulmarweir_quorum::{ConfigState, SubmitOutcome};
use serde::Serialize;
use slog::{error, info};

use crate::{
    fleet_driver::{apply_config, record_quorum_config},
    node::NodeState,
};

const SUBMIT_TIMEOUT_MS: u64 = 5000;
const READ_TIMEOUT_MS: u64 = 2000;
/// Time between two reads of the voters by a VM with a disk, in milliseconds.
const READ_PERIOD_MS: u64 = 5000;
/// Time between reads until the first one succeeds, in milliseconds.
const FIRST_READ_PERIOD_MS: u64 = 250;

/// A change as an operator submits it.
pub(crate) struct ChangeRequest {
    pub(crate) at_version: u64,
    pub(crate) change_id: Arc<str>,
    pub(crate) text: Arc<str>,
}

/// How a change ended.
pub(crate) enum ConfigChangeOutcome {
    /// It is durable on a majority of voters.
    Accepted { version: u64 },
    /// Another change came first.
    Conflict { current: u64 },
    /// The text is not valid.
    Faulty(FaultList),
    /// No majority answered in time; the verdict says whether it may have been made.
    NoQuorum(RunVerdict),
}

/// A decided change, for the history.
#[derive(Serialize)]
pub(crate) struct ChangeEntry {
    version: u64,
    change_id: Arc<str>,
    outcome: &'static str,
}

/// Submits a change and puts it in force here when it is accepted.
pub(crate) async fn submit_change(
    node: &Arc<NodeState>,
    request: ChangeRequest,
) -> ConfigChangeOutcome {
    // Voters see only valid texts, so every accepted version compiles everywhere.
    let compiled = match ConfigVersion::compile(request.at_version + 1, &request.text) {
        Ok(compiled) => compiled,
        Err(faults) => return ConfigChangeOutcome::Faulty(faults),
    };
    let timeout = Duration::from_millis(SUBMIT_TIMEOUT_MS);
    let change_id = Arc::clone(&request.change_id);
    let submitted = node
        .quorum
        .submit_config(request.at_version, change_id, request.text, timeout)
        .await;
    match submitted {
        Ok(SubmitOutcome::Accepted { version }) => {
            info!(node.log, "change-accepted"; "version" => version,
                "change_id" => %request.change_id);
            // A resent change is told its first outcome; a later version may be in force by now.
            if version == compiled.version {
                apply_config(node, compiled);
            }
            ConfigChangeOutcome::Accepted { version }
        }
        Ok(SubmitOutcome::Conflict { current }) => ConfigChangeOutcome::Conflict { current },
        Err(report) => ConfigChangeOutcome::NoQuorum(report.current_context().verdict()),
    }
}

/// The outcomes of recent changes, newest first; `None` without a majority.
pub(crate) async fn read_changes(node: &NodeState) -> Option<Vec<ChangeEntry>> {
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    let state = node.quorum.read_config(timeout).await.ok()?;
    let entries = state.outcomes.iter().rev().map(|record| {
        let (version, outcome) = match record.outcome {
            SubmitOutcome::Accepted { version } => (version, "accepted"),
            SubmitOutcome::Conflict { current } => (current, "conflict"),
        };
        ChangeEntry {
            version,
            change_id: Arc::clone(&record.change),
            outcome,
        }
    });
    Some(entries.collect())
}

/// Reads the configuration from the voters at the start, and on VMs with a disk now and then.
///
/// This is how a VM whose peers know nothing newer, such as the first one to
/// start again, learns of the newest version. VMs without a disk go on by what
/// peers tell: at 7,200 VMs regular reads would carry the text to each of them
/// every few seconds, while a few readers are enough to start the spread of a
/// change whose submitter died.
pub(crate) async fn run_config_reads(node: Arc<NodeState>) {
    let mut period = Duration::from_millis(FIRST_READ_PERIOD_MS);
    loop {
        let timeout = Duration::from_millis(READ_TIMEOUT_MS);
        let read = tokio::select! {
            () = node.halt.cancelled() => return,
            read = node.quorum.read_config(timeout) => read,
        };
        if let Ok(state) = read {
            period = Duration::from_millis(READ_PERIOD_MS);
            apply_quorum_config(&node, &state);
            if node.voter.is_none() {
                return;
            }
        }
        tokio::select! {
            () = node.halt.cancelled() => return,
            () = tokio::time::sleep(period) => {}
        }
    }
}

fn apply_quorum_config(node: &Arc<NodeState>, state: &ConfigState) {
    let stamp = ConfigStamp::of(state.version, &state.text);
    record_quorum_config(node, stamp);
    if state.version <= node.config.current().version {
        return;
    }
    match ConfigVersion::compile(state.version, &state.text) {
        Ok(version) => {
            apply_config(node, version);
        }
        Err(faults) => {
            error!(node.log, "config-not-valid"; "version" => state.version,
                "faults" => %faults);
        }
    }
}
