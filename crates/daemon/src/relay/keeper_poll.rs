//! Long calls to keepers for news, by entry VMs and by other keepers.

use std::{
    collections::{BTreeMap, HashSet},
    hash::Hash,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TimerService, lock};
use fulmarweir_fleet::entry_digest;
use fulmarweir_wire::{PeerClient, TrafficClass};
use slog::{Logger, info, warn};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::vm_message::{KeeperContact, PollReply, PollRequest, VmReply, VmRequest};

/// Longest time that a keeper holds a call without news, in milliseconds.
const POLL_WAIT_MS: u32 = 1_500;
/// Time beyond it until the connection counts as dead, in milliseconds.
const POLL_SLACK_MS: u64 = 700;
/// Pause after a failed call; it doubles up to the longest one.
const RETRY_PAUSE_MIN_MS: u64 = 50;
const RETRY_PAUSE_MAX_MS: u64 = 400;
/// Pause between looks for new keepers, in milliseconds.
const DISCOVERY_PERIOD_MS: u64 = 200;
/// Silence after which a keeper that is no seed is forgotten, in milliseconds.
const KEEPER_FORGET_MS: u64 = 30_000;
/// Time that a keeper counts as alive after its last word, in milliseconds.
const KEEPER_ALIVE_MS: u64 = 5_000;
/// Time that a nearer keeper gets to learn of a configuration, in milliseconds.
///
/// A document crosses to each region once then, and not to each of its VMs.
const REMOTE_FETCH_DELAY_MS: u64 = 350;
/// Time for fetching a configuration, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 3_000;

/// Calls between the daemons of a relaying deployment.
pub(crate) type RelayPeers = PeerClient<VmRequest, VmReply>;

#[derive(Clone, Debug, Default)]
struct DirectoryEntry {
    contact: Option<KeeperContact>,
    is_seed: bool,
    heard_at: Option<MonoTime>,
    added_at: MonoTime,
}

/// The keepers that this VM knows, by peer address.
#[derive(Debug, Default)]
pub(crate) struct KeeperDirectory {
    entries: Mutex<BTreeMap<SocketAddr, DirectoryEntry>>,
}

impl KeeperDirectory {
    pub(crate) fn new(seeds: &[SocketAddr]) -> Self {
        let directory = Self::default();
        directory.set_seeds(seeds);
        directory
    }

    /// Replaces the seeds; keepers that were learned of stay.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let mut entries = lock(&self.entries);
        for entry in entries.values_mut() {
            entry.is_seed = false;
        }
        for seed in seeds {
            entries.entry(*seed).or_default().is_seed = true;
        }
    }

    /// Notes a keeper that was named or has called.
    pub(crate) fn add(&self, contact: &KeeperContact, now: MonoTime) {
        let mut entries = lock(&self.entries);
        let entry = entries.entry(contact.peers).or_insert(DirectoryEntry {
            added_at: now,
            ..DirectoryEntry::default()
        });
        entry.contact = Some(contact.clone());
    }

    /// Notes that a keeper has answered or called.
    pub(crate) fn record_contact(&self, keeper: SocketAddr, now: MonoTime) {
        if let Some(entry) = lock(&self.entries).get_mut(&keeper) {
            entry.heard_at = Some(now);
        }
    }

    /// Forgets keepers that have been silent for long.
    fn remove_silent(&self, now: MonoTime) {
        let silence = Duration::from_millis(KEEPER_FORGET_MS);
        lock(&self.entries).retain(|_, entry| {
            let last = entry.heard_at.unwrap_or(entry.added_at);
            entry.is_seed || now.since(last) < silence
        });
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        lock(&self.entries).keys().copied().collect()
    }

    /// Data centre of a keeper, once it is known.
    pub(crate) fn centre_of(&self, keeper: SocketAddr) -> Option<Arc<str>> {
        let entries = lock(&self.entries);
        let contact = entries.get(&keeper)?.contact.as_ref()?;
        Some(Arc::clone(&contact.centre))
    }

    /// Keepers heard of lately, ordered by address.
    pub(crate) fn alive(&self, now: MonoTime) -> Vec<KeeperContact> {
        let alive = Duration::from_millis(KEEPER_ALIVE_MS);
        let entries = lock(&self.entries);
        let heard =
            |entry: &&DirectoryEntry| entry.heard_at.is_some_and(|at| now.since(at) < alive);
        let live = entries.values().filter(heard);
        live.filter_map(|entry| entry.contact.clone()).collect()
    }
}

/// Digest by which a caller and a keeper find out whether their lists of VMs differ.
///
/// Both ends work it out, so it must not differ between builds.
pub(crate) fn contacts_digest<T: Hash>(contacts: &[T]) -> u64 {
    entry_digest(contacts)
}

/// Whether a keeper's configuration is to be fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigFetch {
    /// It is not newer.
    No,
    /// From this keeper, at once.
    Now,
    /// From this keeper, unless a nearer one has told it in the meantime.
    Later,
}

/// Builds the next question to a keeper, from the digest of its contacts and the longest wait.
type RequestHook = Box<dyn Fn(SocketAddr, u64, u32) -> PollRequest + Send + Sync>;
/// Takes in an answer; returns whether the keeper's configuration is to be fetched from it.
type ReplyHook = Box<dyn Fn(SocketAddr, &PollReply) -> ConfigFetch + Send + Sync>;
/// Takes in a configuration: where from, its version and its document.
type ConfigHook = Box<dyn Fn(SocketAddr, u64, &Arc<str>) + Send + Sync>;

/// What varies between entry VMs and keepers that ask for news.
pub(crate) struct PollHooks {
    pub(crate) request: RequestHook,
    pub(crate) reply: ReplyHook,
    pub(crate) config: ConfigHook,
}

/// Everything that asking for news needs.
pub(crate) struct KeeperPoller {
    pub(crate) peers: RelayPeers,
    pub(crate) timer: TimerService,
    pub(crate) log: Logger,
    pub(crate) hooks: PollHooks,
    pub(crate) own_address: SocketAddr,
    pub(crate) stop: CancellationToken,
}

/// Asks every keeper of the board until stopped.
pub(crate) async fn run_polls(poller: Arc<KeeperPoller>, owner: Arc<dyn DirectoryOwner>) {
    let tasks = TaskTracker::new();
    let mut asked: HashSet<SocketAddr> = HashSet::new();
    loop {
        let keepers = owner.directory();
        keepers.remove_silent(poller.timer.now());
        let known = keepers.addresses();
        for keeper in &known {
            if *keeper != poller.own_address && asked.insert(*keeper) {
                tasks.spawn(poll_keeper(
                    Arc::clone(&poller),
                    Arc::clone(&owner),
                    *keeper,
                ));
            }
        }
        asked.retain(|keeper| known.contains(keeper));
        tokio::select! {
            () = poller.stop.cancelled() => break,
            () = tokio::time::sleep(Duration::from_millis(DISCOVERY_PERIOD_MS)) => {}
        }
    }
    tasks.close();
    tasks.wait().await;
}

/// A part of the process that holds the board of keepers.
pub(crate) trait DirectoryOwner: Send + Sync {
    fn directory(&self) -> &KeeperDirectory;
}

/// Asks one keeper again and again, until it is forgotten.
async fn poll_keeper(
    poller: Arc<KeeperPoller>,
    owner: Arc<dyn DirectoryOwner>,
    keeper: SocketAddr,
) {
    let mut digest = 0;
    let mut retry_ms = RETRY_PAUSE_MIN_MS;
    let mut reachable = None;
    // The first answer comes at once, so that a started VM knows its surroundings early.
    let mut wait_ms = 0;
    loop {
        if !owner.directory().addresses().contains(&keeper) {
            return;
        }
        let request = (poller.hooks.request)(keeper, digest, wait_ms);
        let patience = Duration::from_millis(u64::from(wait_ms) + POLL_SLACK_MS);
        let call = VmRequest::Poll(request);
        let reply = tokio::select! {
            () = poller.stop.cancelled() => return,
            reply = poller.peers.call(keeper, TrafficClass::Control, &call, patience) => reply,
        };
        let now = poller.timer.now();
        match reply {
            Ok(VmReply::Poll(reply)) => {
                if reachable != Some(true) {
                    info!(poller.log, "keeper-reached"; "keeper" => %keeper,
                        "config_version" => reply.config_version);
                }
                reachable = Some(true);
                retry_ms = RETRY_PAUSE_MIN_MS;
                wait_ms = POLL_WAIT_MS;
                digest = reply.contacts_digest;
                for contact in reply.contacts.iter().flatten() {
                    owner.directory().add(contact, now);
                }
                owner.directory().record_contact(keeper, now);
                match (poller.hooks.reply)(keeper, &reply) {
                    ConfigFetch::No => {}
                    ConfigFetch::Now => fetch_config(&poller, keeper).await,
                    ConfigFetch::Later => {
                        let pause = Duration::from_millis(REMOTE_FETCH_DELAY_MS);
                        tokio::time::sleep(pause).await;
                        if (poller.hooks.reply)(keeper, &reply) != ConfigFetch::No {
                            fetch_config(&poller, keeper).await;
                        }
                    }
                }
            }
            other => {
                if reachable != Some(false) {
                    let fault = match other {
                        Err(error) => error.to_string(),
                        Ok(_) => "the peer is no keeper".to_owned(),
                    };
                    warn!(poller.log, "keeper-not-reached"; "keeper" => %keeper, "fault" => fault);
                }
                reachable = Some(false);
                digest = 0;
                wait_ms = 0;
                tokio::select! {
                    () = poller.stop.cancelled() => return,
                    () = tokio::time::sleep(Duration::from_millis(retry_ms)) => {}
                }
                retry_ms = (retry_ms * 2).min(RETRY_PAUSE_MAX_MS);
            }
        }
    }
}

async fn fetch_config(poller: &KeeperPoller, keeper: SocketAddr) {
    let patience = Duration::from_millis(FETCH_TIMEOUT_MS);
    let call = VmRequest::FetchConfig;
    let fetched = poller
        .peers
        .call(keeper, TrafficClass::Control, &call, patience)
        .await;
    match fetched {
        Ok(VmReply::Config(version, text)) => (poller.hooks.config)(keeper, version, &text),
        Ok(_) => warn!(poller.log, "config-not-fetched"; "keeper" => %keeper,
            "fault" => "not kept"),
        Err(error) => {
            warn!(poller.log, "config-not-fetched"; "keeper" => %keeper, "fault" => %error);
        }
    }
}
