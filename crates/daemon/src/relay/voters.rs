//! The voter of a keeper: opened when its disk allows, elected, added and replaced.

use std::{collections::HashMap, path::Path, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, TimerService, VmName, lock};
use fulmarweir_conf::RelaySettings;
use fulmarweir_quorum::{
    VoterHealth, VoterIdentity, VoterMember, VoterService, VoterSet, VoterSettings,
};
use slog::{Logger, error, info, warn};
use tokio_util::sync::CancellationToken;

use super::keeper::KeeperNode;

const VOTER_FOLDER: &str = "voter";
/// Time between two looks at the voters, in milliseconds.
const CHECK_PERIOD_MS: u64 = 400;
/// Share of the time to catch up after which another keeper takes a silent voter's place; the
/// rest is for copying the registers and a second try.
const GONE_SHARE: f64 = 0.35;
/// Most time that keepers wait at random, so that they rarely race.
const STAGGER_MAX_MS: u64 = 400;
/// Time for one change of voters, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 3_000;
/// Pause between two tries to open the disk, in milliseconds.
const OPEN_PERIOD_MS: u64 = 300;
/// Time in which the voters must confirm the configuration, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Name of the voter at a peer address; seeds are known by address only.
pub(crate) fn voter_name(address: std::net::SocketAddr) -> Option<VmName> {
    format!("{}-{}", address.ip(), address.port())
        .replace(':', "_")
        .parse()
        .ok()
}

/// The voters of epoch 0.
///
/// Only a first start, or a VM that still has its log, may elect with the seeds: a VM whose
/// disk was lost must not take part as if it were its old self.
pub(crate) fn first_voters(settings: &RelaySettings) -> VoterSet {
    let has_log = settings.data_folder.as_deref().is_some_and(has_log);
    if !settings.first_start && !has_log {
        return VoterSet::default();
    }
    let seeds = settings.seeds.iter();
    VoterSet::from_settings(seeds.filter_map(|seed| Some((voter_name(*seed)?, *seed))))
}

fn has_log(folder: &Path) -> bool {
    let entries = std::fs::read_dir(folder.join(VOTER_FOLDER));
    entries.is_ok_and(|mut entries| {
        entries.any(|entry| {
            entry.is_ok_and(|entry| entry.file_name().to_string_lossy().starts_with("log-"))
        })
    })
}

/// Opens the voter of this VM.
pub(crate) async fn open_voter(
    settings: &RelaySettings,
    first_set: &VoterSet,
    timer: &TimerService,
    log: &Logger,
) -> Option<Arc<VoterService>> {
    let folder = settings.data_folder.as_ref()?.join(VOTER_FOLDER);
    let voter = VoterSettings::new(
        voter_name(settings.peer_address())?,
        &folder,
        first_set.clone(),
    );
    let (timer, logger) = (timer.clone(), log.clone());
    let opened =
        tokio::task::spawn_blocking(move || VoterService::open(voter, timer, logger)).await;
    match opened {
        Ok(Ok(voter)) => Some(voter),
        Ok(Err(report)) => {
            error!(log, "voter-not-opened"; "fault" => format!("{report:?}").replace('\n', " "));
            None
        }
        Err(fault) => {
            error!(log, "voter-not-opened"; "fault" => %fault);
            None
        }
    }
}

/// Keeps the voter open, and the voters complete, until stopped.
pub(crate) async fn run_voters(node: Arc<KeeperNode>, stop: CancellationToken) {
    if node.settings.data_folder.is_none() {
        return;
    }
    let stagger = Duration::from_millis(rand::random_range(0..STAGGER_MAX_MS));
    let mut absences = HashMap::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = look_after(&node, &mut absences, stagger) => {}
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(CHECK_PERIOD_MS)) => {}
        }
    }
}

async fn look_after(
    node: &KeeperNode,
    absences: &mut HashMap<VoterIdentity, MonoTime>,
    stagger: Duration,
) {
    let Some(voter) = usable_voter(node).await else {
        return;
    };
    node.quorum.learn_epoch(&voter.epoch_state());
    confirm_config(node, &voter).await;
    let set = node.quorum.voters();
    if set.epoch == 0 {
        return;
    }
    let health = node.quorum.voter_health().await;
    let now = node.timer.now();
    note_absences(absences, &health, now);
    if set.contains(voter.identity()) {
        heal_lagging(node, &health).await;
        return;
    }
    join_voters(node, &voter, &set, absences, stagger).await;
}

/// The voter, opened again after its disk failed.
async fn usable_voter(node: &KeeperNode) -> Option<Arc<VoterService>> {
    let held = lock(&node.voter).clone();
    if let Some(voter) = held {
        if !voter.is_stopped() {
            return Some(voter);
        }
        // The folder is locked by the old service until its last user is done.
        warn!(node.log, "voter-closing"; "reason" => "its disk failed");
        *lock(&node.voter) = None;
    }
    let settings = &node.settings;
    let first_set = first_voters(settings);
    let opened = open_voter(settings, &first_set, &node.timer, &node.log).await;
    if let Some(voter) = &opened {
        info!(node.log, "voter-open"; "identity" => %voter.identity());
        *lock(&node.voter) = Some(Arc::clone(voter));
    } else {
        tokio::time::sleep(Duration::from_millis(OPEN_PERIOD_MS)).await;
    }
    opened
}

/// Puts in force what this voter has accepted but nobody has told it to be decided.
async fn confirm_config(node: &KeeperNode, voter: &VoterService) {
    let held = node.config_version();
    if held > 0 && voter.accepted_config_version() <= held {
        return;
    }
    let patience = Duration::from_millis(READ_TIMEOUT_MS);
    match node.quorum.read_config(patience).await {
        Ok(state) => node.apply_decided_config(state.version, &state.text, "voters"),
        Err(report) => {
            warn!(node.log, "config-unconfirmed"; "held" => held,
                "accepted" => voter.accepted_config_version(),
                "fault" => %report.current_context());
        }
    }
}

fn note_absences(
    absences: &mut HashMap<VoterIdentity, MonoTime>,
    health: &[VoterHealth],
    now: MonoTime,
) {
    absences.retain(|identity, _| {
        let absent = |state: &VoterHealth| state.member.identity == *identity && !state.reachable;
        health.iter().any(absent)
    });
    for state in health.iter().filter(|state| !state.reachable) {
        absences.entry(state.member.identity).or_insert(now);
    }
}

/// A voter that answers and is not whole missed a change; any voter can bring it up to date.
async fn heal_lagging(node: &KeeperNode, health: &[VoterHealth]) {
    if !health
        .iter()
        .any(|state| state.reachable && !state.caught_up)
    {
        return;
    }
    let patience = Duration::from_millis(CHANGE_TIMEOUT_MS);
    if let Err(report) = node.quorum.catch_up_voters(patience).await {
        warn!(node.log, "voter-heal-failed"; "fault" => %report.current_context());
    }
}

/// Becomes a voter: in place of its own lost log, of one that is gone, or as one more.
async fn join_voters(
    node: &KeeperNode,
    voter: &VoterService,
    set: &VoterSet,
    absences: &HashMap<VoterIdentity, MonoTime>,
    stagger: Duration,
) {
    let Some(name) = voter_name(node.settings.peer_address()) else {
        return;
    };
    let now = node.timer.now();
    let own = VoterMember {
        name: name.clone(),
        identity: voter.identity(),
        address: node.settings.peer_address(),
    };
    let lost_log = set.members.iter().find(|member| member.name == name);
    let patience_for_voters = node.settings.bounds.catch_up.mul_f64(GONE_SHARE);
    let is_gone = |member: &&VoterMember| {
        let since = absences.get(&member.identity);
        since.is_some_and(|since| now.since(*since) >= patience_for_voters + stagger)
    };
    let gone = lost_log.or_else(|| set.members.iter().find(is_gone));
    let patience = Duration::from_millis(CHANGE_TIMEOUT_MS);
    let changed = if let Some(gone) = gone {
        info!(node.log, "voter-replacing"; "gone" => %gone.name, "by" => %own.name,
            "epoch" => set.epoch, "own_log_lost" => lost_log.is_some());
        node.quorum
            .replace_voter(gone.identity, own, patience)
            .await
    } else if set.members.len() < node.settings.voters_wanted() {
        info!(node.log, "voter-joining"; "by" => %own.name, "epoch" => set.epoch,
            "voters" => set.members.len(), "wanted" => node.settings.voters_wanted());
        tokio::time::sleep(stagger).await;
        let members = set.members.iter().cloned().chain([own]).collect();
        node.quorum.change_voters(members, patience).await
    } else {
        return;
    };
    match changed {
        Ok(outcome) => info!(node.log, "voter-joined"; "epoch" => outcome.set.epoch,
            "voters" => outcome.set.members.len()),
        Err(report) => warn!(node.log, "voter-not-joined"; "fault" => %report.current_context()),
    }
}
