//! Long polls of keepers by entry VMs and other keepers, and the directory of keepers.

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

/// Longest time that a keeper holds a poll without changes, in milliseconds.
const POLL_WAIT_MS: u32 = 1_500;
/// Time after `POLL_WAIT_MS` within which the reply must arrive, in milliseconds.
const POLL_SLACK_MS: u64 = 700;
/// Pause after a failed poll, in milliseconds; it doubles with each further failure up to the
/// maximum.
const RETRY_PAUSE_MIN_MS: u64 = 50;
const RETRY_PAUSE_MAX_MS: u64 = 400;
/// Period of the check for keepers that were added or removed, in milliseconds.
const DISCOVERY_PERIOD_MS: u64 = 200;
/// Silence after which a keeper that is not a seed is removed, in milliseconds.
const KEEPER_FORGET_MS: u64 = 30_000;
/// How long a keeper counts as alive after its last reply or poll, in milliseconds.
const KEEPER_ALIVE_MS: u64 = 5_000;
/// Delay before a configuration is fetched from a keeper in another region, in milliseconds.
///
/// By then a keeper in the same region usually has the configuration, so that the document is
/// sent to each region once, not to each VM.
const REMOTE_FETCH_DELAY_MS: u64 = 350;
/// Time limit of fetching a configuration, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 3_000;

/// The client for requests to other VMs of a relay deployment.
pub(crate) type RelayPeers = PeerClient<VmRequest, VmReply>;

#[derive(Clone, Debug, Default)]
struct KnownKeeper {
    contact: Option<KeeperContact>,
    is_seed: bool,
    heard_at: Option<MonoTime>,
    added_at: MonoTime,
}

/// The keepers known to this VM, by peer address.
#[derive(Debug, Default)]
pub(crate) struct KeeperDirectory {
    keepers: Mutex<BTreeMap<SocketAddr, KnownKeeper>>,
}

impl KeeperDirectory {
    pub(crate) fn new(seeds: &[SocketAddr]) -> Self {
        let directory = Self::default();
        directory.set_seeds(seeds);
        directory
    }

    /// Replaces the seeds. Other known keepers are kept.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let mut keepers = lock(&self.keepers);
        for known in keepers.values_mut() {
            known.is_seed = false;
        }
        for seed in seeds {
            keepers.entry(*seed).or_default().is_seed = true;
        }
    }

    /// Adds a keeper, or replaces its contact.
    pub(crate) fn add(&self, contact: &KeeperContact, now: MonoTime) {
        let mut keepers = lock(&self.keepers);
        let known = keepers.entry(contact.peers).or_insert(KnownKeeper {
            added_at: now,
            ..KnownKeeper::default()
        });
        known.contact = Some(contact.clone());
    }

    /// Records that a keeper has replied or polled.
    pub(crate) fn mark_alive(&self, keeper: SocketAddr, now: MonoTime) {
        if let Some(known) = lock(&self.keepers).get_mut(&keeper) {
            known.heard_at = Some(now);
        }
    }

    /// Removes keepers that are not seeds and have been silent for `KEEPER_FORGET_MS`.
    fn remove_silent(&self, now: MonoTime) {
        let silence = Duration::from_millis(KEEPER_FORGET_MS);
        lock(&self.keepers).retain(|_, known| {
            let last = known.heard_at.unwrap_or(known.added_at);
            known.is_seed || now.since(last) < silence
        });
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        lock(&self.keepers).keys().copied().collect()
    }

    /// Returns the data centre of a keeper if its contact is known.
    pub(crate) fn centre_of(&self, keeper: SocketAddr) -> Option<Arc<str>> {
        let keepers = lock(&self.keepers);
        let contact = keepers.get(&keeper)?.contact.as_ref()?;
        Some(Arc::clone(&contact.centre))
    }

    /// Returns the live keepers, ordered by address.
    pub(crate) fn alive(&self, now: MonoTime) -> Vec<KeeperContact> {
        let ttl = Duration::from_millis(KEEPER_ALIVE_MS);
        let keepers = lock(&self.keepers);
        let is_alive = |known: &&KnownKeeper| known.heard_at.is_some_and(|at| now.since(at) < ttl);
        let live = keepers.values().filter(is_alive);
        live.filter_map(|known| known.contact.clone()).collect()
    }
}

/// Returns a digest by which the two sides of a poll detect that their lists of VMs differ.
///
/// Both sides compute it, so it must be the same in all builds.
pub(crate) fn vm_list_digest<T: Hash>(vms: &[T]) -> u64 {
    entry_digest(vms)
}

/// Whether and when to fetch a keeper's configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigFetch {
    /// Not at all: it is not newer.
    No,
    /// At once.
    Now,
    /// After a delay, unless it has arrived from another keeper by then.
    Later,
}

/// Builds the next poll from the keeper's address, the digest of its last contacts and `wait_ms`.
type RequestHook = Box<dyn Fn(SocketAddr, u64, u32) -> PollRequest + Send + Sync>;
/// Applies the reply of a keeper; returns whether to fetch its configuration.
type ReplyHook = Box<dyn Fn(SocketAddr, &PollReply) -> ConfigFetch + Send + Sync>;
/// Applies a fetched configuration: the keeper's address, the version and the document.
type ConfigHook = Box<dyn Fn(SocketAddr, u64, &Arc<str>) + Send + Sync>;

/// The parts of polling that differ between entry VMs and keepers.
pub(crate) struct PollHooks {
    pub(crate) request: RequestHook,
    pub(crate) reply: ReplyHook,
    pub(crate) config: ConfigHook,
}

/// What the polling tasks of all keepers share.
pub(crate) struct KeeperPoller {
    pub(crate) peers: RelayPeers,
    pub(crate) timer: TimerService,
    pub(crate) log: Logger,
    pub(crate) hooks: PollHooks,
    pub(crate) own_address: SocketAddr,
    pub(crate) stop: CancellationToken,
}

/// Polls every keeper of the directory until stopped.
pub(crate) async fn run_polls(poller: Arc<KeeperPoller>, owner: Arc<dyn DirectoryOwner>) {
    let tasks = TaskTracker::new();
    let mut started: HashSet<SocketAddr> = HashSet::new();
    loop {
        let keepers = owner.directory();
        keepers.remove_silent(poller.timer.now());
        let known = keepers.addresses();
        for keeper in &known {
            if *keeper != poller.own_address && started.insert(*keeper) {
                tasks.spawn(poll_keeper(
                    Arc::clone(&poller),
                    Arc::clone(&owner),
                    *keeper,
                ));
            }
        }
        started.retain(|keeper| known.contains(keeper));
        tokio::select! {
            () = poller.stop.cancelled() => break,
            () = tokio::time::sleep(Duration::from_millis(DISCOVERY_PERIOD_MS)) => {}
        }
    }
    tasks.close();
    tasks.wait().await;
}

/// State of a process that includes a [`KeeperDirectory`].
pub(crate) trait DirectoryOwner: Send + Sync {
    fn directory(&self) -> &KeeperDirectory;
}

/// Polls one keeper until it is removed from the directory.
async fn poll_keeper(
    poller: Arc<KeeperPoller>,
    owner: Arc<dyn DirectoryOwner>,
    keeper: SocketAddr,
) {
    let mut digest = 0;
    let mut retry_ms = RETRY_PAUSE_MIN_MS;
    let mut reachable = None;
    // The first reply comes at once, so that a VM that has just started has its state early.
    let mut wait_ms = 0;
    loop {
        if !owner.directory().addresses().contains(&keeper) {
            return;
        }
        let request = (poller.hooks.request)(keeper, digest, wait_ms);
        let timeout = Duration::from_millis(u64::from(wait_ms) + POLL_SLACK_MS);
        let call = VmRequest::Poll(request);
        let reply = tokio::select! {
            () = poller.stop.cancelled() => return,
            reply = poller.peers.call(keeper, TrafficClass::Control, &call, timeout) => reply,
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
                owner.directory().mark_alive(keeper, now);
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
                        Ok(_) => "the peer is not a keeper".to_owned(),
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
    let timeout = Duration::from_millis(FETCH_TIMEOUT_MS);
    let call = VmRequest::FetchConfig;
    let fetched = poller
        .peers
        .call(keeper, TrafficClass::Control, &call, timeout)
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
