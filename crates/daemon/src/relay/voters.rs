//! Keeps the voter of this keeper open and the voter set complete: opens the voter's storage,
//! catches up voters that lag, and joins or replaces lost members.

use std::{collections::HashMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, TimerService, VmName, lock};
use fulmarweir_conf::RelaySettings;
use fulmarweir_quorum::{
    ClientSettings, VoterHealth, VoterIdentity, VoterMember, VoterService, VoterSet, VoterSettings,
};
use fulmarweir_wire::PeerVersion;
use slog::{Logger, error, info, warn};
use tokio_util::sync::CancellationToken;

use super::{evacuations::confirm_evacuations, keeper::KeeperNode};

const VOTER_FOLDER: &str = "voter";
/// Period of the checks of the voter set, in milliseconds.
const CHECK_PERIOD_MS: u64 = 400;
/// Fraction of the `replacement_max` bound after which another keeper replaces an unreachable voter, and
/// the first voters are elected without those that do not answer. The rest of the bound is left for
/// copying the registers and one retry.
const REPLACE_AFTER_SHARE: f64 = 0.35;
/// Upper limit of each keeper's random delay, in milliseconds. It makes it unlikely that two
/// keepers change the voter set at the same time.
const JITTER_MAX_MS: u64 = 400;
/// Time limit of one change of the voter set, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 3_000;
/// Pause after a failed attempt to open the voter's storage, in milliseconds.
const REOPEN_PAUSE_MS: u64 = 300;
/// Time limit of reading the configuration from the voters, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Returns the voter name for a peer address. Names are derived from addresses because seeds
/// are known by address only.
pub(crate) fn voter_name(address: SocketAddr) -> Option<VmName> {
    format!("{}-{}", address.ip(), address.port())
        .replace(':', "_")
        .parse()
        .ok()
}

/// Returns the settings of the client of the voters. It knows the voter set of epoch 0, which is the
/// seeds, only on a first start or if this VM has a log.
pub(crate) fn client_settings(settings: &RelaySettings) -> ClientSettings {
    let has_log = settings.data_folder.as_deref().is_some_and(has_log);
    let first_set = if settings.first_start || has_log {
        seed_voters(settings)
    } else {
        VoterSet::default()
    };
    let mut client = ClientSettings::new(first_set);
    // A VM that lost its log does not take part in epoch 0, see `open_voter`.
    client.first_majority_after = Some(replace_after(settings));
    client
}

fn seed_voters(settings: &RelaySettings) -> VoterSet {
    let seeds = settings.seeds.iter();
    VoterSet::from_settings(seeds.filter_map(|seed| Some((voter_name(*seed)?, *seed))))
}

/// Returns the time after which a voter that does not answer is done without.
fn replace_after(settings: &RelaySettings) -> Duration {
    settings.bounds.replacement_max.mul_f64(REPLACE_AFTER_SHARE)
}

/// Whether registers may be written that the protocol version before cannot read: a majority of the
/// voters is known to speak the newest version, and none is known to speak an older one. The voter at
/// `own` is this process; `version_of` returns what is known of the others.
///
/// A voter that this keeper has not reached since its start does not count: an order must be possible
/// while as many voters are down as may be lost.
pub(crate) fn speak_newest(
    voters: &VoterSet,
    own: SocketAddr,
    version_of: impl Fn(SocketAddr) -> Option<PeerVersion>,
) -> bool {
    let version = |voter| {
        if voter == own {
            Some(PeerVersion::NEWEST)
        } else {
            version_of(voter)
        }
    };
    let versions: Vec<PeerVersion> = voters
        .members
        .iter()
        .filter_map(|member| version(member.address))
        .collect();
    let are_newest = versions.iter().all(|known| *known == PeerVersion::NEWEST);
    are_newest && versions.len() > voters.members.len() / 2
}

fn has_log(folder: &Path) -> bool {
    let entries = std::fs::read_dir(folder.join(VOTER_FOLDER));
    entries.is_ok_and(|mut entries| {
        entries.any(|entry| {
            entry.is_ok_and(|entry| entry.file_name().to_string_lossy().starts_with("log-"))
        })
    })
}

/// Opens the voter of this VM. Returns `None` and logs the reason if that fails.
///
/// A new log votes in epoch 0 only on a first start, since later the VM may have voted there and lost its
/// disk.
pub(crate) async fn open_voter(
    settings: &RelaySettings,
    timer: &TimerService,
    log: &Logger,
) -> Option<Arc<VoterService>> {
    let folder = settings.data_folder.as_ref()?.join(VOTER_FOLDER);
    let first_set = if settings.first_start {
        seed_voters(settings)
    } else {
        VoterSet::default()
    };
    let voter = VoterSettings::new(voter_name(settings.peer_address())?, &folder, first_set);
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

/// Keeps the voter of this VM open and the voter set complete until stopped.
pub(crate) async fn run_voters(node: Arc<KeeperNode>, stop: CancellationToken) {
    if node.settings.data_folder.is_none() {
        return;
    }
    let jitter = Duration::from_millis(rand::random_range(0..JITTER_MAX_MS));
    let mut unreachable_since = HashMap::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = maintain_voters(&node, &mut unreachable_since, jitter) => {}
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(CHECK_PERIOD_MS)) => {}
        }
    }
}

async fn maintain_voters(
    node: &KeeperNode,
    unreachable_since: &mut HashMap<VoterIdentity, MonoTime>,
    jitter: Duration,
) {
    let Some(voter) = open_or_reopen_voter(node).await else {
        return;
    };
    node.quorum.learn_epoch(&voter.epoch_state());
    if confirm_evacuations(node, &voter).await {
        confirm_config(node, &voter).await;
    }
    let set = node.quorum.voters();
    if set.epoch == 0 {
        return;
    }
    let health = node.quorum.voter_health().await;
    let now = node.timer.now();
    record_unreachable(unreachable_since, &health, now);
    if set.contains(voter.identity()) {
        catch_up_lagging(node, &health).await;
        return;
    }
    join_voters(node, &voter, &set, unreachable_since, jitter).await;
}

/// Returns the voter of this VM, and opens it again if it stopped after a disk failure.
async fn open_or_reopen_voter(node: &KeeperNode) -> Option<Arc<VoterService>> {
    let current = lock(&node.voter).clone();
    if let Some(voter) = current {
        if !voter.is_stopped() {
            return Some(voter);
        }
        // The old service holds the lock of the folder until its last reference is dropped.
        warn!(node.log, "voter-closing"; "reason" => "its disk failed");
        *lock(&node.voter) = None;
    }
    let settings = &node.settings;
    let opened = open_voter(settings, &node.timer, &node.log).await;
    if let Some(voter) = &opened {
        info!(node.log, "voter-open"; "identity" => %voter.identity());
        *lock(&node.voter) = Some(Arc::clone(voter));
    } else {
        tokio::time::sleep(Duration::from_millis(REOPEN_PAUSE_MS)).await;
    }
    opened
}

/// Reads the decided configuration from the voters if this keeper has none, or if its own voter
/// accepted a newer one without learning whether it was decided.
async fn confirm_config(node: &KeeperNode, voter: &VoterService) {
    let current = node.config_version();
    if current.is_some() && voter.accepted_config_version() <= current {
        return;
    }
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    match node.quorum.read_config(timeout).await {
        Ok(state) => node.apply_decided_config(state.version, &state.text, "voters"),
        Err(report) => {
            warn!(node.log, "config-unconfirmed"; "held" => current.unwrap_or_default(),
                "accepted" => voter.accepted_config_version().unwrap_or_default(),
                "fault" => %report.current_context());
        }
    }
}

fn record_unreachable(
    unreachable_since: &mut HashMap<VoterIdentity, MonoTime>,
    health: &[VoterHealth],
    now: MonoTime,
) {
    unreachable_since.retain(|identity, _| {
        let is_unreachable =
            |state: &VoterHealth| state.member.identity == *identity && !state.reachable;
        health.iter().any(is_unreachable)
    });
    for state in health.iter().filter(|state| !state.reachable) {
        unreachable_since
            .entry(state.member.identity)
            .or_insert(now);
    }
}

/// Catches up reachable voters that missed a change. Any voter can do so.
async fn catch_up_lagging(node: &KeeperNode, health: &[VoterHealth]) {
    if !health
        .iter()
        .any(|state| state.reachable && !state.caught_up)
    {
        return;
    }
    let timeout = Duration::from_millis(CHANGE_TIMEOUT_MS);
    if let Err(report) = node.quorum.catch_up_voters(timeout).await {
        warn!(node.log, "voter-heal-failed"; "fault" => %report.current_context());
    }
}

/// Makes this VM a voter: it replaces its own member whose log was lost, or a member that is
/// lost, or joins as an additional member if there are too few.
async fn join_voters(
    node: &KeeperNode,
    voter: &VoterService,
    set: &VoterSet,
    unreachable_since: &HashMap<VoterIdentity, MonoTime>,
    jitter: Duration,
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
    let own_stale_member = set.members.iter().find(|member| member.name == name);
    let replace_after = replace_after(&node.settings);
    let is_lost = |member: &&VoterMember| {
        let since = unreachable_since.get(&member.identity);
        since.is_some_and(|since| now.since(*since) >= replace_after + jitter)
    };
    let replaced = own_stale_member.or_else(|| set.members.iter().find(is_lost));
    let timeout = Duration::from_millis(CHANGE_TIMEOUT_MS);
    let changed = if let Some(replaced) = replaced {
        info!(node.log, "voter-replacing"; "gone" => %replaced.name, "by" => %own.name,
            "epoch" => set.epoch, "own_log_lost" => own_stale_member.is_some());
        node.quorum
            .replace_voter(replaced.identity, own, timeout)
            .await
    } else if set.members.len() < node.settings.voters_wanted() {
        info!(node.log, "voter-joining"; "by" => %own.name, "epoch" => set.epoch,
            "voters" => set.members.len(), "wanted" => node.settings.voters_wanted());
        tokio::time::sleep(jitter).await;
        // Another keeper may have joined meanwhile.
        let wanted = node.settings.voters_wanted();
        node.quorum.add_voter(own, wanted, timeout).await
    } else {
        return;
    };
    match changed {
        Ok(outcome) => info!(node.log, "voter-joined"; "epoch" => outcome.set.epoch,
            "voters" => outcome.set.members.len()),
        Err(report) => warn!(node.log, "voter-not-joined"; "fault" => %report.current_context()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Guards against a register of a new kind that is written while a voter is known not to read it, and
    /// against one voter that is down and blocks all orders.
    #[test]
    fn new_registers_wait_while_a_voter_speaks_an_older_version_or_most_are_unknown() {
        let ports: [u16; 3] = [1, 2, 3];
        let voters = ports.map(|port| (voter_name(address(port)).unwrap(), address(port)));
        let voters = VoterSet::from_settings(voters);
        let own = address(1);
        let speak = |second, third| {
            speak_newest(&voters, own, |voter| match voter.port() {
                2 => second,
                3 => third,
                _ => None,
            })
        };
        let (v8, v9) = (Some(PeerVersion::V8), Some(PeerVersion::V9));
        for (second, third) in [(v9, v9), (v9, None), (None, v9)] {
            assert!(speak(second, third), "{second:?} {third:?}");
        }
        for (second, third) in [(v8, v9), (v9, v8), (v8, None), (None, None)] {
            assert!(!speak(second, third), "{second:?} {third:?}");
        }
        // A keeper that is no voter knows nothing of its own accord.
        assert!(!speak_newest(&voters, address(4), |voter| {
            (voter == own).then_some(PeerVersion::V9)
        }));
        assert!(!speak_newest(&VoterSet::default(), own, |_| v9));
    }
}
