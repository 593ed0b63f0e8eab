//! Submits configuration changes to the voters, and reads the decided configuration from them.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::RunVerdict;
use fulmarweir_conf::{CompiledConfig, FaultList};
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
/// Time between two reads from the voters on a VM with a data folder, in milliseconds.
const READ_PERIOD_MS: u64 = 5000;
/// Time between two reads until the first one succeeds, in milliseconds.
const FIRST_READ_PERIOD_MS: u64 = 250;

/// A change as submitted by an operator.
pub(crate) struct ChangeRequest {
    pub(crate) expected_version: u64,
    pub(crate) change_id: Arc<str>,
    pub(crate) text: Arc<str>,
}

/// The outcome of a submitted change.
pub(crate) enum ConfigChangeOutcome {
    /// The change is durable on a majority of voters.
    Accepted { version: u64 },
    /// Another change was accepted first.
    Conflict { current: u64 },
    /// The text is not valid.
    Faulty(FaultList),
    /// No majority answered in time; the verdict tells whether the change may have been made.
    NoQuorum(RunVerdict),
}

/// A decided change in the history.
#[derive(Serialize)]
pub(crate) struct ChangeEntry {
    version: u64,
    change_id: Arc<str>,
    outcome: &'static str,
}

/// Submits a change, and puts it in force on this VM if it is accepted.
pub(crate) async fn submit_change(
    node: &Arc<NodeState>,
    request: ChangeRequest,
) -> ConfigChangeOutcome {
    // Only valid texts reach the voters, so every accepted version compiles on all VMs.
    let compiled = match CompiledConfig::compile(request.expected_version + 1, &request.text) {
        Ok(compiled) => compiled,
        Err(faults) => return ConfigChangeOutcome::Faulty(faults),
    };
    let timeout = Duration::from_millis(SUBMIT_TIMEOUT_MS);
    let change_id = Arc::clone(&request.change_id);
    let submitted = node
        .quorum
        .submit_config(request.expected_version, change_id, request.text, timeout)
        .await;
    match submitted.map(|reply| (reply.outcome, reply.text)) {
        Ok((SubmitOutcome::Accepted { version }, text)) => {
            info!(node.log, "change-accepted"; "version" => version,
                "change_id" => %request.change_id);
            // A resent change gets the outcome of its first submission; a later version may be in
            // force by now, and the first submission may have had another text.
            if version == compiled.version && text.is_some_and(|text| *text == *compiled.text) {
                apply_config(node, compiled);
            }
            ConfigChangeOutcome::Accepted { version }
        }
        Ok((SubmitOutcome::Conflict { current }, _)) => ConfigChangeOutcome::Conflict { current },
        Err(report) => ConfigChangeOutcome::NoQuorum(report.current_context().verdict()),
    }
}

/// Returns the outcomes of recent changes, newest first, or `None` if no majority answers.
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

/// Reads the configuration from the voters at startup, and periodically on VMs with a data folder.
///
/// If no peer knows a newer version, e.g. when this VM is the first to restart, the read finds the
/// newest version. After their first read, VMs without a data folder learn newer versions only from
/// peers: at 7,200 VMs, periodic reads would send the text to each VM every few seconds. A few
/// readers are enough to start the spread of a change whose submitter has died.
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
    match CompiledConfig::compile(state.version, &state.text) {
        Ok(config) => {
            apply_config(node, config);
        }
        Err(faults) => {
            error!(node.log, "config-not-valid"; "version" => state.version,
                "faults" => %faults);
        }
    }
}
