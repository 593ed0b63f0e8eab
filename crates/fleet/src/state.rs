//! The protocol state of one VM and its event handlers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use fulmarweir_base::{CentreName, MonoTime, VmName};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    CentreUpdates, ConfigStamp, FleetAction, FleetMessage, FleetSettings, MemberStatus,
    MemberUpdate, SpreadUpdates, TargetKey, TargetTable, VmIdentity,
    broker::{BrokerPlan, PlanInputs},
    centre::CentreTable,
    config_tracker::ConfigTracker,
    join::ContestedJoin,
    lease::LeaseTable,
    member::MemberTable,
    probe::{PiggybackQueue, ProbeState},
};

/// Whether this VM is a member of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Participation {
    /// The VM is a member, or tries to become one.
    Active,
    /// Another live VM has the name of this VM.
    Refused(Arc<VmIdentity>),
    /// The VM has left.
    Left,
}

/// Updates that this VM spreads at the next tick.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    pub(crate) members: Vec<MemberUpdate>,
    pub(crate) targets: Vec<crate::TargetChange>,
    pub(crate) centres: CentreUpdates,
}

/// Times at which each kind of periodic work is due next.
#[derive(Debug)]
pub(crate) struct FleetTimers {
    pub(crate) rejoin: MonoTime,
    pub(crate) repair: MonoTime,
    /// Earliest time of the next snapshot of the targets.
    pub(crate) rebuild: MonoTime,
    /// Time at which a timeout may next change the result of a lease review.
    pub(crate) lease_review: Option<MonoTime>,
    pub(crate) centre_probe: MonoTime,
    pub(crate) centre_summary: MonoTime,
    /// Earliest time of the next summary in which only the counts changed.
    pub(crate) counts_refresh: MonoTime,
}

/// State machine of the fleet protocols of one VM, without I/O.
pub struct FleetState {
    pub(crate) identity: Arc<VmIdentity>,
    pub(crate) settings: FleetSettings,
    pub(crate) rng: Pcg64,
    pub(crate) members: MemberTable,
    pub(crate) probes: ProbeState,
    pub(crate) piggyback: PiggybackQueue,
    pub(crate) leases: LeaseTable,
    pub(crate) plan: BrokerPlan,
    pub(crate) config: ConfigTracker,
    pub(crate) centres: CentreTable,
    /// Peer addresses known to be in other data centres.
    pub(crate) remote_peers: BTreeMap<SocketAddr, CentreName>,
    pub(crate) contested_joins: BTreeMap<VmName, ContestedJoin>,
    pub(crate) participation: Participation,
    /// Whether any seed or peer has answered since the start.
    pub(crate) peer_responded: bool,
    pub(crate) timers: FleetTimers,
    /// Rotation of the spread tree for the pending updates.
    pub(crate) turn: u32,
    pub(crate) pending: PendingUpdates,
    pub(crate) targets: Arc<TargetTable>,
    pub(crate) targets_dirty: bool,
    /// Whether the snapshot must be rebuilt before the next tick.
    pub(crate) targets_urgent: bool,
    /// Generation of the members and isolation of this VM at the last lease review.
    pub(crate) lease_review_inputs: (u64, bool),
    pub(crate) contacts: Vec<Arc<VmIdentity>>,
    pub(crate) contacts_generation: Option<u64>,
    pub(crate) actions: Vec<FleetAction>,
}

impl FleetState {
    /// Creates the state of a VM that has just started with `config` on its disk.
    ///
    /// `identity.boot` must be higher than at any previous start under the same name. `seed`
    /// initializes the random number generator and should differ between VMs.
    #[must_use]
    pub fn new(
        identity: VmIdentity,
        settings: FleetSettings,
        config: ConfigStamp,
        seed: u64,
        now: MonoTime,
    ) -> Self {
        let identity = Arc::new(identity);
        let own = MemberUpdate {
            identity: Arc::clone(&identity),
            incarnation: identity.boot,
            status: MemberStatus::Alive,
        };
        let timers = FleetTimers {
            rejoin: now,
            repair: now,
            rebuild: now,
            lease_review: None,
            centre_probe: now,
            centre_summary: now,
            counts_refresh: now,
        };
        let mut state = Self {
            identity,
            settings,
            rng: Pcg64::seed_from_u64(seed),
            members: MemberTable::new(&own, now),
            probes: ProbeState::new(now),
            piggyback: PiggybackQueue::default(),
            leases: LeaseTable::default(),
            plan: BrokerPlan::new(now),
            config: ConfigTracker::new(config, now),
            centres: CentreTable::default(),
            remote_peers: BTreeMap::new(),
            contested_joins: BTreeMap::new(),
            participation: Participation::Active,
            peer_responded: false,
            timers,
            turn: 0,
            pending: PendingUpdates::default(),
            targets: Arc::default(),
            targets_dirty: false,
            targets_urgent: false,
            lease_review_inputs: (0, false),
            contacts: Vec::new(),
            contacts_generation: None,
            actions: Vec::new(),
        };
        state.update_plan(now);
        state
    }

    /// Handles a message from the VM whose peer address is `from`.
    pub fn on_message(
        &mut self,
        from: SocketAddr,
        message: FleetMessage,
        now: MonoTime,
    ) -> Vec<FleetAction> {
        if self.accepts(&message) {
            self.dispatch(from, message, now);
            self.rebuild_urgent(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Performs the periodic work; must be called every [`crate::TICK_PERIOD_MS`].
    pub fn on_tick(&mut self, now: MonoTime) -> Vec<FleetAction> {
        if self.participation == Participation::Left {
            return Vec::new();
        }
        self.send_joins(now);
        if self.participation == Participation::Active {
            self.probe_members(now);
            self.expire_suspects(now);
            self.update_contacts();
            self.update_plan(now);
            self.tick_leases(now);
            self.tick_centres(now);
            self.tick_config(now);
            self.send_pending();
            self.rebuild_targets(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Notifies other VMs that this VM leaves. Its connections to targets must be closed before
    /// this call.
    pub fn leave(&mut self, now: MonoTime) -> Vec<FleetAction> {
        let mut own = self.members.own().update.clone();
        own.status = MemberStatus::Left;
        self.members.merge(&own, now);
        let peers: Vec<_> = self.members.live_peers().map(|peer| peer.peers).collect();
        let updates = SpreadUpdates {
            origin: self.identity.name.clone(),
            turn: 0,
            members: vec![own],
            targets: Vec::new(),
            centres: CentreUpdates::default(),
        };
        let fan_out = self.settings.spread_fan_out;
        for peer in peers.into_iter().take(fan_out) {
            self.send(peer, FleetMessage::Spread(updates.clone()));
        }
        self.participation = Participation::Left;
        std::mem::take(&mut self.actions)
    }

    /// Records that the target itself answered as serving at `now`.
    ///
    /// The target stays usable for one lease duration even if its lease holder is unreachable.
    pub fn on_target_alive(&mut self, key: &TargetKey, now: MonoTime) {
        if let Some(entry) = self.leases.get_mut(key) {
            entry.answered_at = Some(now);
            self.targets_dirty |= !entry.usable;
        }
    }

    /// Records that this VM has applied `stamp`. A lower or equal version is ignored.
    pub fn on_config_applied(&mut self, stamp: ConfigStamp, now: MonoTime) -> Vec<FleetAction> {
        if self.config.apply(stamp) {
            self.push_config();
            self.update_phase(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles the result of a quorum read of the configuration.
    pub fn on_quorum_config(&mut self, stamp: ConfigStamp, now: MonoTime) -> Vec<FleetAction> {
        self.config.on_quorum_read(stamp);
        self.update_phase(now);
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: FleetMessage) {
        self.actions.push(FleetAction::Send { to, message });
    }

    /// Whether this VM has peers, but none of its probes was answered for one lease duration.
    pub(crate) fn is_isolated(&self, now: MonoTime) -> bool {
        self.members.has_peers() && now.since(self.probes.acked_at) >= self.settings.lease
    }

    fn accepts(&self, message: &FleetMessage) -> bool {
        match self.participation {
            Participation::Active => true,
            Participation::Refused(_) => {
                matches!(
                    message,
                    FleetMessage::JoinRefused(_) | FleetMessage::Welcome(_)
                )
            }
            Participation::Left => false,
        }
    }

    fn dispatch(&mut self, from: SocketAddr, message: FleetMessage, now: MonoTime) {
        match message {
            FleetMessage::Join(update) => self.on_join(from, &update, now),
            FleetMessage::Welcome(members) => self.on_welcome(from, &members, now),
            FleetMessage::JoinRefused(refusal) => self.on_join_refused(refusal, now),
            FleetMessage::NameConflict(holder) => self.on_name_conflict(from, holder),
            FleetMessage::Ping(ping) => self.on_ping(from, &ping, now),
            FleetMessage::Ack(ack) => self.on_ack(from, &ack, now),
            FleetMessage::ProbeFor(probe) => self.on_probe_for(from, &probe, now),
            FleetMessage::ProbedFor(probe) => self.on_probed_for(&probe, now),
            FleetMessage::Spread(updates) => self.on_spread(updates, now),
            FleetMessage::Repair(request) => self.on_repair(from, &request),
            FleetMessage::Entries(entries) => self.on_entries(from, &entries, now),
            FleetMessage::ConfigNews(stamp) => self.on_config_news(from, stamp, now),
            FleetMessage::Centre(probe) => self.on_centre(from, probe, now),
        }
    }

    pub(crate) fn update_plan(&mut self, now: MonoTime) {
        let reachable = self.settings.seeds.is_empty() || self.peer_responded;
        let inputs = PlanInputs {
            connected: reachable && !self.is_isolated(now),
            local_seeds: self.local_seeds().count(),
            agreed_since: self.agreed_since(),
        };
        let generation = self.plan.generation;
        self.plan.update(&self.members, inputs, &self.settings, now);
        self.targets_dirty |= generation != self.plan.generation;
    }

    /// Returns the seeds that are not known to be in another data centre.
    fn local_seeds(&self) -> impl Iterator<Item = &SocketAddr> {
        let seeds = self.settings.seeds.iter();
        seeds.filter(|seed| !self.remote_peers.contains_key(seed))
    }

    /// Returns since when all other VMs of the data centre have agreed on the members, if all
    /// local seeds are members.
    fn agreed_since(&self) -> Option<MonoTime> {
        let is_member = |seed: &SocketAddr| {
            let mut live = self.members.live().iter();
            live.any(|member| member.peers == *seed)
        };
        let seeds_joined = self.local_seeds().all(is_member);
        self.members.agreed_since().filter(|_| seeds_joined)
    }
}
