//! The state of a keeper: the registry of targets and the decided configuration, and the replies
//! to polls of entry VMs and other keepers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fulmarweir_base::{MonoTime, TimerService, lock, rendezvous_weight};
use fulmarweir_bounds::MemoryBudget;
use fulmarweir_conf::RelaySettings;
use fulmarweir_fleet::{AnnounceOutcome, TargetAnnouncement, TargetRegistry};
use fulmarweir_quorum::{QuorumClient, VoterService};
use fulmarweir_route::{
    CrashTally, GRANTORS_MAX, PermitAsk, PermitAsker, PermitGrant, PermitGrantor,
};
use slog::{Logger, error, info};
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    adapter::ProtocolAdapter,
    evacuations::EvacuationView,
    keeper_poll::{DirectoryOwner, KeeperDirectory, RelayPeers, vm_list_digest},
    metrics::{RelayMetrics, set_count},
    rate_grants::RateGrants,
    state_file::StateFile,
    vm_message::{
        EntryContact, KeeperContact, PollReply, PollRequest, PollSource, VmReply, VmRequest,
        wire_version,
    },
    voters::speak_newest,
};
use crate::metrics::OutcomeLabel;

/// Memory of the bodies of all calls of targets and operators, in bytes.
const CALLS_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Largest body that may use all of it, in bytes; larger ones leave a part free.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// How long an entry VM counts as alive after its last poll, in milliseconds.
const ENTRY_TTL_MS: u64 = 4_500;

/// How long an entry VM counts as without links to targets after it last said so, in milliseconds.
const LINKS_LOST_TTL_MS: u64 = 2_500;
/// Most VMs of one data centre that are named to a VM without links to targets.
const HELPERS_PER_CENTRE_MAX: usize = 8;
/// Most brokers of one data centre that a poll reply lists. This limits the size of replies.
const BROKERS_PER_CENTRE_MAX: usize = 32;

/// The newest configuration that this keeper knows to be decided, as it was submitted. The text is empty
/// if there is none.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecidedConfig {
    pub(crate) version: u64,
    pub(crate) text: Arc<str>,
}

impl DecidedConfig {
    fn held_version(&self) -> Option<u64> {
        (!self.text.is_empty()).then_some(self.version)
    }
}

/// Lists of VMs for a poll reply; `None` for a list that the poller already has.
struct ChangedLists {
    brokers: Option<Vec<EntryContact>>,
    contacts: Option<Vec<KeeperContact>>,
    contacts_digest: u64,
}

/// The shared state of a keeper.
pub(crate) struct KeeperNode {
    pub(crate) settings: RelaySettings,
    pub(crate) adapter: ProtocolAdapter,
    pub(crate) log: Logger,
    pub(crate) timer: TimerService,
    pub(crate) metrics: RelayMetrics,
    pub(crate) directory: KeeperDirectory,
    pub(crate) quorum: Arc<QuorumClient>,
    pub(super) peers: RelayPeers,
    /// The voter of this VM; `None` while its storage cannot be opened.
    pub(crate) voter: Arc<Mutex<Option<Arc<VoterService>>>>,
    pub(super) registry: Mutex<TargetRegistry>,
    pub(super) target_file: StateFile,
    pub(super) quarantine_file: StateFile,
    /// Memory of the bodies of calls of targets and operators.
    pub(super) call_memory: MemoryBudget,
    /// Calls that bring copies to other keepers.
    pub(super) copy_tasks: TaskTracker,
    /// Cancelled when calls in flight must be answered, as the process is about to exit.
    pub(super) exiting: CancellationToken,
    config: Mutex<DecidedConfig>,
    entries: Mutex<BTreeMap<EntryContact, MonoTime>>,
    /// Entry VMs that have lost their links to targets, and when they last said so.
    stranded: Mutex<BTreeMap<EntryContact, MonoTime>>,
    permits: Mutex<PermitGrantor>,
    rates: RateGrants,
    pub(super) tally: Mutex<CrashTally>,
    pub(crate) evacuations: EvacuationView,
    /// Revision of the quarantine that each other keeper has told.
    pub(super) quarantine_revisions: Mutex<HashMap<SocketAddr, u64>>,
    /// Counts changes that waiting polls may have to report.
    changes: watch::Sender<u64>,
}

impl DirectoryOwner for KeeperNode {
    fn directory(&self) -> &KeeperDirectory {
        &self.directory
    }
}

impl KeeperNode {
    pub(crate) fn new(
        settings: RelaySettings,
        adapter: ProtocolAdapter,
        log: Logger,
        timer: TimerService,
        peers: RelayPeers,
        quorum: Arc<QuorumClient>,
        voter: Arc<Mutex<Option<Arc<VoterService>>>>,
    ) -> Arc<Self> {
        let period = settings.bounds.announce_period;
        let registry = TargetRegistry::new(rand::random(), period, timer.now());
        Arc::new(Self {
            directory: KeeperDirectory::new(&settings.seeds),
            metrics: RelayMetrics::new(),
            registry: Mutex::new(registry),
            target_file: StateFile::default(),
            quarantine_file: StateFile::default(),
            call_memory: MemoryBudget::new(CALLS_MAX_BYTES, SMALL_BODY_BYTES),
            copy_tasks: TaskTracker::new(),
            exiting: CancellationToken::new(),
            config: Mutex::default(),
            entries: Mutex::default(),
            stranded: Mutex::default(),
            permits: Mutex::new(PermitGrantor::new(rand::random())),
            rates: RateGrants::new(timer.now()),
            tally: Mutex::new(CrashTally::new(rand::random())),
            quarantine_revisions: Mutex::default(),
            evacuations: EvacuationView::default(),
            changes: watch::Sender::new(0),
            settings,
            adapter,
            log,
            timer,
            peers,
            quorum,
            voter,
        })
    }

    /// Returns the contact of this keeper.
    pub(crate) fn contact(&self) -> KeeperContact {
        KeeperContact {
            peers: self.settings.peer_address(),
            control: self.settings.control.unwrap_or(self.settings.peers),
            centre: Arc::clone(&self.settings.centre),
        }
    }

    /// Returns the newest configuration that this keeper knows to be decided.
    pub(crate) fn config(&self) -> DecidedConfig {
        lock(&self.config).clone()
    }

    /// Returns the version of [`KeeperNode::config`], `None` if there is none.
    pub(crate) fn config_version(&self) -> Option<u64> {
        lock(&self.config).held_version()
    }

    /// Stores a decided configuration if it is newer; returns whether it was.
    pub(crate) fn store_config(&self, version: u64, text: &Arc<str>, source: &str) -> bool {
        {
            let mut config = lock(&self.config);
            if Some(version) <= config.held_version() {
                return false;
            }
            info!(self.log, "config-kept"; "version" => version, "before" => config.version,
                "bytes" => text.len(), "source" => source);
            *config = DecidedConfig {
                version,
                text: Arc::clone(text),
            };
        }
        self.metrics.config_version.set(version);
        self.notify_changes();
        true
    }

    /// Wakes the polls that wait for changes.
    pub(crate) fn notify_changes(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Applies an announcement; returns the keeper to which the target sends further ones.
    pub(crate) fn announce(
        &self,
        announcement: &TargetAnnouncement,
    ) -> (AnnounceOutcome, SocketAddr) {
        let now = self.timer.now();
        let keeper = self.nearest_keeper(&announcement.centre, now);
        let outcome = lock(&self.registry).announce(announcement.clone(), now);
        self.record_announcement(outcome, announcement);
        (outcome, keeper)
    }

    /// Returns the control address of a live keeper in the target's data centre, to avoid traffic
    /// between data centres, or else of this keeper.
    fn nearest_keeper(&self, centre: &str, now: MonoTime) -> SocketAddr {
        let own = self.contact();
        if &*own.centre == centre {
            return own.control;
        }
        let alive = self.directory.alive(now);
        let near = alive.into_iter().find(|contact| &*contact.centre == centre);
        near.map_or(own.control, |contact| contact.control)
    }

    /// Applies the withdrawal of a target.
    pub(crate) fn withdraw(&self, id: &Arc<str>) -> AnnounceOutcome {
        let wall_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall_ms = u64::try_from(wall_ms.as_millis()).unwrap_or(u64::MAX);
        let outcome = lock(&self.registry).withdraw(id, wall_ms, self.timer.now());
        if outcome == AnnounceOutcome::Changed {
            info!(self.log, "target-left"; "target" => &**id);
            self.notify_changes();
        }
        outcome
    }

    fn record_announcement(&self, outcome: AnnounceOutcome, announcement: &TargetAnnouncement) {
        let label = match outcome {
            AnnounceOutcome::Changed => "changed",
            AnnounceOutcome::Renewed => "renewed",
            AnnounceOutcome::Stale => "stale",
        };
        let label = OutcomeLabel { outcome: label };
        self.metrics.announcements.get_or_create(&label).inc();
        if outcome == AnnounceOutcome::Changed {
            info!(self.log, "target-announced"; "target" => &*announcement.id,
                "service" => &*announcement.service, "address" => %announcement.address,
                "state" => ?announcement.state, "sequence" => announcement.sequence,
                "born_ms" => announcement.born_ms, "cold_ms" => announcement.warm_up_ms);
            self.notify_changes();
        }
    }

    /// Restores the targets that an earlier run of this keeper wrote to its disk.
    pub(crate) fn restore_targets(&self, announcements: Vec<TargetAnnouncement>) {
        info!(self.log, "targets-restored"; "targets" => announcements.len());
        let period = self.settings.bounds.announce_period;
        lock(&self.registry).restore(announcements, period, self.timer.now());
        self.notify_changes();
    }

    /// Returns the registry's revision and targets if they have changed since `revision`.
    pub(crate) fn changed_targets(&self, revision: u64) -> Option<(u64, Vec<TargetAnnouncement>)> {
        let registry = lock(&self.registry);
        let changed = registry.revision() != revision;
        changed.then(|| (registry.revision(), registry.snapshot()))
    }

    /// Periodic work: ends expired leases of targets and updates gauges.
    pub(crate) fn tick(&self) {
        let now = self.timer.now();
        let lapsed = lock(&self.registry).expire(now);
        for announcement in &lapsed {
            info!(self.log, "target-lapsed"; "target" => &*announcement.id,
                "service" => &*announcement.service, "state" => ?announcement.state,
                "sequence" => announcement.sequence);
        }
        if !lapsed.is_empty() {
            self.notify_changes();
        }
        let listed: BTreeMap<Arc<str>, u64> = lock(&self.registry)
            .targets()
            .map(|target| (Arc::clone(&target.id), target.born_ms))
            .collect();
        set_count(&self.metrics.targets, listed.len());
        lock(&self.permits).remove_expired(&listed, now);
        self.rates.remove_expired(now);
        self.decide_quarantine(now);
        let blocked = lock(&self.tally).table().blocked_count(now);
        set_count(&self.metrics.requests_blocked, blocked);
        self.metrics.entries.set(self.entry_count(now).into());
        set_count(&self.metrics.keepers, self.directory.alive(now).len());
        self.metrics.voter_epoch.set(self.quorum.voters().epoch);
        let is_open = lock(&self.voter).is_some();
        self.metrics.voter_open.set(is_open.into());
        let speak_newest = self.voters_speak_newest();
        self.metrics.voters_newest.set(speak_newest.into());
    }

    fn entry_count(&self, now: MonoTime) -> u32 {
        let ttl = Duration::from_millis(ENTRY_TTL_MS);
        let mut entries = lock(&self.entries);
        entries.retain(|_, heard_at| now.since(*heard_at) < ttl);
        u32::try_from(entries.len()).unwrap_or(u32::MAX)
    }

    /// Returns the entry VMs that may run searches for `poller`: other live ones in its region.
    fn brokers_for(&self, poller: &EntryContact, now: MonoTime) -> Vec<EntryContact> {
        let ttl = Duration::from_millis(ENTRY_TTL_MS);
        let region = self.settings.region_of(&poller.centre);
        let entries = lock(&self.entries);
        let usable = entries.iter().filter(|(entry, heard_at)| {
            let is_near = self.settings.region_of(&entry.centre) == region;
            is_near && *entry != poller && now.since(**heard_at) < ttl
        });
        let mut by_centre: BTreeMap<&str, Vec<EntryContact>> = BTreeMap::new();
        for (entry, _) in usable {
            let brokers = by_centre.entry(&entry.centre).or_default();
            brokers.push(entry.clone());
        }
        for brokers in by_centre.values_mut() {
            if brokers.len() > BROKERS_PER_CENTRE_MAX {
                // Rendezvous hashing selects different brokers for different pollers, so that all
                // brokers get a share of the work.
                brokers.sort_by_cached_key(|broker| rendezvous_weight(broker, poller));
                brokers.truncate(BROKERS_PER_CENTRE_MAX);
            }
        }
        let mut brokers: Vec<EntryContact> = by_centre.into_values().flatten().collect();
        brokers.sort_unstable();
        brokers
    }

    /// Returns entry VMs of all data centres that may help `asker`, and records whether `asker` has lost
    /// its links to targets.
    fn helpers_for(&self, asker: EntryContact, links_lost: bool) -> Vec<EntryContact> {
        let now = self.timer.now();
        let (ttl, lost_ttl) = (
            Duration::from_millis(ENTRY_TTL_MS),
            Duration::from_millis(LINKS_LOST_TTL_MS),
        );
        let mut stranded = lock(&self.stranded);
        stranded.retain(|_, heard_at| now.since(*heard_at) < lost_ttl);
        let entries = lock(&self.entries);
        let usable = entries.iter().filter(|(entry, heard_at)| {
            **entry != asker && now.since(**heard_at) < ttl && !stranded.contains_key(*entry)
        });
        let mut by_centre: BTreeMap<&str, Vec<&EntryContact>> = BTreeMap::new();
        for (entry, _) in usable {
            by_centre.entry(&entry.centre).or_default().push(entry);
        }
        for helpers in by_centre.values_mut() {
            // Different askers get different helpers.
            helpers.sort_by_cached_key(|helper| rendezvous_weight(helper, &asker));
            helpers.truncate(HELPERS_PER_CENTRE_MAX);
        }
        let helpers = by_centre.into_values().flatten().cloned().collect();
        if links_lost {
            stranded.insert(asker, now);
        } else {
            stranded.remove(&asker);
        }
        helpers
    }

    /// Returns the live keepers, including this one.
    fn contacts(&self, now: MonoTime) -> Vec<KeeperContact> {
        let mut contacts = self.directory.alive(now);
        contacts.push(self.contact());
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// Replies to a request of another VM.
    pub(crate) async fn handle(self: Arc<Self>, request: VmRequest) -> VmReply {
        match request {
            VmRequest::Poll(request) => VmReply::Poll(Box::new(self.handle_poll(request).await)),
            VmRequest::FetchConfig => {
                let config = self.config();
                VmReply::Config(config.version, config.text)
            }
            VmRequest::Voter(request) => {
                let voter = lock(&self.voter).clone();
                let reply = match voter {
                    Some(voter) => Some(Box::new(voter.handle(*request).await)),
                    None => None,
                };
                VmReply::Voter(reply)
            }
            VmRequest::EntryVms(entry, links_lost) => {
                VmReply::EntryVms(self.helpers_for(entry, links_lost))
            }
            VmRequest::Search(_) | VmRequest::Rest(_) | VmRequest::ProbeTargets(..) => {
                VmReply::NotTaken("not-an-entry-vm".into())
            }
            VmRequest::Probe => VmReply::Alive(false),
            VmRequest::Crashes(news) => {
                self.record_crash_news(&news);
                VmReply::Noted
            }
            VmRequest::Permits(vm, asks) => VmReply::Permits(self.grant_permits(vm, &asks)),
            VmRequest::Rates(vm, asks) => {
                let (grantors, now) = (self.permit_grantors(), self.timer.now());
                VmReply::Rates(self.rates.grant(vm, &asks, grantors, now))
            }
            VmRequest::Replicate(news) => {
                if self.store_copy(&news).await {
                    VmReply::Noted
                } else {
                    VmReply::NotKept
                }
            }
        }
    }

    /// Grants permits to send to targets with a limit, and records what the VM knows of the limits.
    fn grant_permits(&self, vm: SocketAddr, asks: &[PermitAsk]) -> Vec<PermitGrant> {
        let now = self.timer.now();
        let grantors = self.permit_grantors();
        let spread = rand::random();
        let asker = PermitAsker { vm, spread };
        let mut any_changed = false;
        let mut permits = lock(&self.permits);
        let grant = |ask| {
            let (grant, is_changed) = permits.ask(asker, ask, grantors, now);
            any_changed |= is_changed;
            grant
        };
        let grants = asks.iter().map(grant).collect();
        drop(permits);
        if any_changed {
            self.notify_changes();
        }
        grants
    }

    /// Returns how many keepers grant permits, `None` if this keeper does not.
    ///
    /// They are the first voters, since all keepers agree on these.
    fn permit_grantors(&self) -> Option<usize> {
        let voters = self.quorum.voters();
        let own = self.settings.peer_address();
        let mut grantors = voters.members.iter().take(GRANTORS_MAX);
        let is_grantor = grantors.any(|member| member.address == own);
        is_grantor.then(|| voters.members.len().min(GRANTORS_MAX))
    }

    /// Whether the voters can read registers that the protocol version before cannot.
    pub(crate) fn voters_speak_newest(&self) -> bool {
        let own = self.settings.peer_address();
        speak_newest(&self.quorum.voters(), own, |voter| {
            self.peers.version_of(voter)
        })
    }

    async fn handle_poll(&self, request: PollRequest) -> PollReply {
        let now = self.timer.now();
        match &request.source {
            PollSource::Entry(contact) => {
                lock(&self.entries).insert(contact.clone(), now);
            }
            PollSource::Keeper(contact) => {
                self.directory.add(contact, now);
                self.directory.mark_alive(contact.peers, now);
            }
        }
        let deadline = now + Duration::from_millis(request.wait_ms.into());
        let mut receiver = self.changes.subscribe();
        loop {
            let now = self.timer.now();
            let lists = self.changed_lists(&request, now);
            if now >= deadline || self.has_changes(&request, &lists) {
                return self.poll_reply(&request, lists, now);
            }
            tokio::select! {
                changed = receiver.changed() => {
                    if changed.is_err() {
                        return self.poll_reply(&request, lists, now);
                    }
                }
                () = self.timer.sleep_until(deadline) => {}
            }
        }
    }

    /// Returns the lists of VMs that differ from those that the poller has.
    fn changed_lists(&self, request: &PollRequest, now: MonoTime) -> ChangedLists {
        let brokers = match (&request.source, request.brokers_digest) {
            (PollSource::Entry(poller), Some(known)) => {
                let brokers = self.brokers_for(poller, now);
                (vm_list_digest(&brokers) != known).then_some(brokers)
            }
            _ => None,
        };
        let contacts = self.contacts(now);
        let contacts_digest = vm_list_digest(&contacts);
        ChangedLists {
            brokers,
            contacts: (contacts_digest != request.contacts_digest).then_some(contacts),
            contacts_digest,
        }
    }

    fn has_changes(&self, request: &PollRequest, lists: &ChangedLists) -> bool {
        // Entry VMs do not use the voters, so a change of voters does not wake their polls.
        let has_changes = match &request.source {
            PollSource::Entry(_) => lock(&self.registry).has_changes(request.cursor),
            PollSource::Keeper(_) => self.quorum.voters().epoch > request.voter_epoch,
        };
        has_changes
            || lists.brokers.is_some()
            || lists.contacts.is_some()
            || self.has_other_limits(request)
            || lock(&self.tally).revision() != request.quarantine_revision
            || self.config_version() > request.held_version()
            || self.evacuations.is_news_for(request.evacuations_version)
    }

    fn has_other_limits(&self, request: &PollRequest) -> bool {
        let is_entry = matches!(request.source, PollSource::Entry(_));
        is_entry && lock(&self.permits).revision() != request.limits_revision
    }

    fn poll_reply(&self, request: &PollRequest, lists: ChangedLists, now: MonoTime) -> PollReply {
        let is_entry = matches!(request.source, PollSource::Entry(_));
        let voters = self.quorum.voters();
        let has_other_limits = self.has_other_limits(request);
        let (config_version, holds_version_0) = wire_version(self.config_version());
        let permits = lock(&self.permits);
        PollReply {
            delta: is_entry.then(|| lock(&self.registry).changes_since(request.cursor)),
            config_version,
            holds_version_0,
            voters: (!is_entry && voters.epoch > request.voter_epoch).then_some(voters),
            contacts: lists.contacts,
            contacts_digest: lists.contacts_digest,
            entries: self.entry_count(now),
            brokers: lists.brokers,
            limits: has_other_limits.then(|| permits.reports(now)),
            limits_revision: permits.revision(),
            quarantine: self.quarantine_report(request.quarantine_revision, now),
            evacuations: request
                .evacuations_version
                .and_then(|version| self.evacuations.newer_than(version)),
        }
    }

    /// Checks a configuration that the voters decided, and stores it if it is newer.
    ///
    /// Only valid documents are submitted, so an invalid one here is a bug. It is logged and
    /// not stored.
    pub(crate) fn apply_decided_config(&self, version: u64, text: &Arc<str>, source: &str) {
        // The register is empty before the first configuration.
        if text.is_empty() || Some(version) <= self.config_version() {
            return;
        }
        match (self.adapter.decode_config)(text.as_bytes()) {
            Ok(_) => {
                self.store_config(version, text, source);
            }
            Err(fault) => {
                error!(self.log, "config-not-valid"; "version" => version, "source" => source,
                    "fault" => fault);
            }
        }
    }
}
