//! Long polls of keepers by entry VMs and other keepers, and the directory of keepers.

use std::{
    collections::{BTreeMap, HashMap},
    hash::Hash,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TimerService, lock};
use fulmarweir_fleet::entry_digest;
use fulmarweir_wire::{PeerClient, TrafficClass};
use slog::{Logger, info, warn};
use tokio::task::JoinHandle;
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

    /// Whether all of `keepers` are known.
    fn knows_all(&self, keepers: &[SocketAddr]) -> bool {
        let known = lock(&self.keepers);
        keepers.iter().all(|keeper| known.contains_key(keeper))
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
    let mut polls: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let keepers = owner.directory();
        keepers.remove_silent(poller.timer.now());
        let known = keepers.addresses();
        for keeper in &known {
            // The poll of a keeper that was removed and added again may not have ended yet.
            let is_polled = polls.get(keeper).is_some_and(|poll| !poll.is_finished());
            if *keeper != poller.own_address && !is_polled {
                let poll = poll_keeper(Arc::clone(&poller), Arc::clone(&owner), *keeper);
                polls.insert(*keeper, tasks.spawn(poll));
            }
        }
        polls.retain(|_, poll| !poll.is_finished());
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
    // The keepers in the last list of this one, and its digest.
    let (mut listed, mut digest) = (Vec::new(), 0);
    let mut retry_ms = RETRY_PAUSE_MIN_MS;
    let mut reachable = None;
    // The first reply comes at once, so that a VM that has just started has its state early.
    let mut wait_ms = 0;
    loop {
        if !owner.directory().addresses().contains(&keeper) {
            return;
        }
        // One that was silent for long is gone from the directory, but may be listed still. Asking for the
        // list again brings it back.
        if !owner.directory().knows_all(&listed) {
            (listed, digest) = (Vec::new(), 0);
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
                if let Some(contacts) = &reply.contacts {
                    for contact in contacts {
                        owner.directory().add(contact, now);
                    }
                    let others = contacts.iter().map(|contact| contact.peers);
                    listed = others.filter(|peer| *peer != poller.own_address).collect();
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
                (listed, digest) = (Vec::new(), 0);
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

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use fulmarweir_wire::{PeerServer, TrafficMeter};
    use slog::{Discard, o};
    use tokio::net::TcpListener;

    use super::*;
    use crate::relay::vm_message::{EntryContact, PollSource, QuarantineReport};

    const WAIT: Duration = Duration::from_secs(5);
    /// Pause of the stand-in keeper before a reply without changes, in milliseconds.
    const IDLE_MS: u64 = 50;

    fn contact(peers: SocketAddr) -> KeeperContact {
        KeeperContact {
            peers,
            control: peers,
            centre: "north-1".into(),
        }
    }

    /// Returns the reply of a keeper that lists `contacts` unless the poller knows the list.
    fn poll_reply(request: &PollRequest, contacts: &[KeeperContact]) -> PollReply {
        let contacts_digest = vm_list_digest(contacts);
        let is_known = request.contacts_digest == contacts_digest;
        PollReply {
            delta: None,
            config_version: 0,
            voters: None,
            contacts: (!is_known).then(|| contacts.to_vec()),
            contacts_digest,
            entries: 1,
            brokers: None,
            limits: None,
            limits_revision: 0,
            quarantine: QuarantineReport::default(),
            holds_version_0: false,
            evacuations: None,
        }
    }

    struct Owner(KeeperDirectory);

    impl DirectoryOwner for Owner {
        fn directory(&self) -> &KeeperDirectory {
            &self.0
        }
    }

    fn hooks(own: SocketAddr) -> PollHooks {
        PollHooks {
            request: Box::new(move |_, contacts_digest, wait_ms| PollRequest {
                source: PollSource::Entry(EntryContact {
                    peers: own,
                    centre: "north-2".into(),
                }),
                cursor: None,
                config_version: 0,
                voter_epoch: 0,
                contacts_digest,
                brokers_digest: None,
                limits_revision: 0,
                quarantine_revision: 0,
                wait_ms,
                holds_version_0: false,
                evacuations_version: None,
            }),
            reply: Box::new(|_, _| ConfigFetch::No),
            config: Box::new(|_, _, _| {}),
        }
    }

    /// Guards against a keeper that is never polled again after a long cut, although others have listed it all the
    /// time: they tell a list only if it differs from the last one.
    #[tokio::test]
    async fn a_keeper_that_was_forgotten_is_polled_again_while_others_list_it() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let seed = listener.local_addr().unwrap();
        // Nothing listens there, as behind a cut.
        let silent: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let listed = [contact(seed), contact(silent)];
        let stop = CancellationToken::new();
        let handle = move |_: SocketAddr, request: VmRequest| {
            let VmRequest::Poll(request) = request else {
                panic!("not a poll: {request:?}");
            };
            let reply = poll_reply(&request, &listed);
            let pause = Duration::from_millis(if reply.contacts.is_some() { 0 } else { IDLE_MS });
            let reply = async move {
                tokio::time::sleep(pause).await;
                VmReply::Poll(Box::new(reply))
            };
            (TrafficClass::Control, reply)
        };
        let meter = Arc::new(TrafficMeter::default());
        let server: PeerServer<VmRequest, VmReply, _> =
            PeerServer::new(handle, Arc::clone(&meter), stop.clone());
        let server = tokio::spawn(server.serve(listener));
        let own: SocketAddr = "127.0.0.1:2".parse().unwrap();
        let poller = Arc::new(KeeperPoller {
            peers: RelayPeers::new(meter),
            timer: TimerService::new(),
            log: Logger::root(Discard, o!()),
            hooks: hooks(own),
            own_address: own,
            stop: stop.clone(),
        });
        let owner = Arc::new(Owner(KeeperDirectory::new(&[seed])));
        let polls = tokio::spawn(run_polls(Arc::clone(&poller), Arc::clone(&owner) as _));
        let wait_for_keeper = async || {
            let until = Instant::now() + WAIT;
            while !owner.0.knows_all(&[silent]) {
                assert!(Instant::now() < until, "the keeper is not known");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        wait_for_keeper().await;
        let after_silence = poller.timer.now() + Duration::from_millis(2 * KEEPER_FORGET_MS);
        owner.0.remove_silent(after_silence);
        assert!(!owner.0.knows_all(&[silent]));
        wait_for_keeper().await;
        stop.cancel();
        polls.await.unwrap();
        server.await.unwrap();
    }
}
