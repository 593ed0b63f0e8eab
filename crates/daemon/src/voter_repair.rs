//! Repairs the voter set, on VMs with a data folder. A member of the set catches up lagging members;
//! any other VM replaces a member that has been unreachable for too long.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_quorum::{QuorumError, VoterHealth, VoterIdentity, VoterMember, VoterService};
use slog::{info, warn};

use crate::node::NodeState;

/// Time between two checks of the voters, in milliseconds.
const CHECK_PERIOD_MS: u64 = 2000;
/// Time after which an unreachable voter with this VM's own name is replaced, in milliseconds. The
/// log of such a voter is certainly lost.
const OWN_NAME_ABSENCE_MS: u64 = 2000;
/// Maximum random delay before a candidate replaces a voter, in milliseconds, so that candidates
/// rarely race.
const JITTER_MAX_MS: u64 = 5000;
const CHANGE_TIMEOUT_MS: u64 = 20_000;

/// Time at which each unreachable voter was first found unreachable.
type AbsenceTable = HashMap<VoterIdentity, MonoTime>;

/// Checks the voters until the process halts.
pub(crate) async fn run_voter_repair(node: Arc<NodeState>) {
    let Some(voter) = node.voter.clone() else {
        return;
    };
    let jitter = Duration::from_millis(rand::random_range(0..JITTER_MAX_MS));
    let mut absences = AbsenceTable::new();
    loop {
        tokio::select! {
            () = node.halt.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(CHECK_PERIOD_MS)) => {}
        }
        // The voters of epoch 0 come from the settings, which name no identities.
        if node.quorum.voters().epoch == 0 {
            continue;
        }
        let health = node.quorum.voter_health().await;
        tokio::select! {
            () = node.halt.cancelled() => return,
            () = repair(&node, &voter, &health, &mut absences, jitter) => {}
        }
    }
}

async fn repair(
    node: &NodeState,
    voter: &VoterService,
    health: &[VoterHealth],
    absences: &mut AbsenceTable,
    jitter: Duration,
) {
    let now = node.timer.now();
    record_absences(absences, health, now);
    let own = voter.identity();
    if health.iter().any(|state| state.member.identity == own) {
        catch_up_lagging(node, health).await;
        return;
    }
    let gone = health.iter().find(|state| {
        let since = absences.get(&state.member.identity);
        since.is_some_and(|since| now.since(*since) >= absence_limit(node, &state.member) + jitter)
    });
    if let Some(gone) = gone {
        replace_absent_voter(node, voter, &gone.member).await;
    }
}

fn record_absences(absences: &mut AbsenceTable, health: &[VoterHealth], now: MonoTime) {
    absences.retain(|identity, _| {
        let absent = |state: &VoterHealth| state.member.identity == *identity && !state.reachable;
        health.iter().any(absent)
    });
    for state in health.iter().filter(|state| !state.reachable) {
        absences.entry(state.member.identity).or_insert(now);
    }
}

fn absence_limit(node: &NodeState, member: &VoterMember) -> Duration {
    if member.name == node.settings.name {
        Duration::from_millis(OWN_NAME_ABSENCE_MS)
    } else {
        node.settings.repair.replace_after
    }
}

/// Catches up reachable voters that have missed a change; any voter can do this.
async fn catch_up_lagging(node: &NodeState, health: &[VoterHealth]) {
    let lagging = health
        .iter()
        .any(|state| state.reachable && !state.caught_up);
    if !lagging {
        return;
    }
    let timeout = Duration::from_millis(CHANGE_TIMEOUT_MS);
    if let Err(report) = node.quorum.catch_up_voters(timeout).await {
        log_failure(node, "voter-heal-failed", *report.current_context());
    }
}

async fn replace_absent_voter(node: &NodeState, voter: &VoterService, gone: &VoterMember) {
    let candidate = VoterMember {
        name: node.settings.name.clone(),
        identity: voter.identity(),
        address: node.settings.peer_address(),
    };
    info!(node.log, "voter-replacing"; "gone" => %gone.name, "by" => %candidate.name);
    let timeout = Duration::from_millis(CHANGE_TIMEOUT_MS);
    let changed = node
        .quorum
        .replace_voter(gone.identity, candidate, timeout)
        .await;
    match changed {
        Ok(outcome) => {
            info!(node.log, "voter-replaced"; "gone" => %gone.name, "epoch" => outcome.set.epoch);
        }
        Err(report) => log_failure(node, "voter-not-replaced", *report.current_context()),
    }
}

fn log_failure(node: &NodeState, event: &'static str, error: QuorumError) {
    warn!(node.log, "{}", event; "error" => %error);
}
