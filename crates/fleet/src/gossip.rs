//! Failure detection by probes, and the spread of updates through the data centre.

use std::net::SocketAddr;

use fulmarweir_base::{MonoTime, VmName};
use rand::RngExt;

use crate::{
    CentreUpdates, FleetAction, FleetMessage, FleetState, IndirectProbe, MemberStatus,
    MemberUpdate, ProbeMessage, SpreadUpdates, StateDigest,
    probe::{ProbeTimeout, shuffle},
    spread_tree::tree_children,
    state::PendingUpdates,
};

/// Maximum number of changes of each kind in one message.
const SPREAD_CHANGES_MAX: usize = 64;

impl FleetState {
    /// Sends the next probe and handles probes that timed out.
    pub(crate) fn probe_members(&mut self, now: MonoTime) {
        for timeout in self.probes.timeouts(self.settings.probe_timeout, now) {
            match timeout {
                ProbeTimeout::Indirect(name, sequence) => self.probe_indirectly(&name, sequence),
                ProbeTimeout::Suspect(name) => self.suspect(&name, now),
            }
        }
        if !self.probes.is_due(now) {
            return;
        }
        let peers: Vec<_> = self
            .members
            .live_peers()
            .map(|peer| peer.name.clone())
            .collect();
        if peers.is_empty() {
            // Keeps this VM from counting as isolated as soon as it learns of its first peer.
            self.probes.acked_at = now;
            return;
        }
        let period = self.settings.probe_period(peers.len());
        if let Some(name) = self.probes.next_peer(&peers, period, &mut self.rng, now) {
            self.probe(&name, None, now);
        }
    }

    /// Probes `name`, on behalf of `requester` if one is given.
    pub(crate) fn probe(
        &mut self,
        name: &VmName,
        requester: Option<(SocketAddr, u64)>,
        now: MonoTime,
    ) {
        let Some(address) = self
            .members
            .get(name)
            .map(|peer| peer.update.identity.peers)
        else {
            return;
        };
        let sequence = self.probes.start(name.clone(), requester, now);
        let ping = self.probe_message(sequence, name);
        self.send(address, FleetMessage::Ping(ping));
    }

    pub(crate) fn on_ping(&mut self, from: SocketAddr, ping: &ProbeMessage, now: MonoTime) {
        self.peer_responded = true;
        self.merge_members(&ping.updates, now);
        self.record_peer_config(from, ping, now);
        let ack = self.probe_message(ping.sequence, &ping.sender);
        self.send(from, FleetMessage::Ack(ack));
        if self.members.get(&ping.sender).is_none() {
            self.start_repair(from, now);
        }
    }

    pub(crate) fn on_ack(&mut self, from: SocketAddr, ack: &ProbeMessage, now: MonoTime) {
        self.peer_responded = true;
        self.merge_members(&ack.updates, now);
        self.record_peer_config(from, ack, now);
        let Some(probe) = self.probes.acknowledge(ack.sequence, &ack.sender, now) else {
            return;
        };
        self.members
            .note_agreement(&ack.sender, ack.digest.members, now);
        self.resolve_contested_join(from, &ack.sender, now);
        if let Some((requester, sequence)) = probe.requester {
            let probed = IndirectProbe {
                sequence,
                target: probe.peer,
            };
            self.send(requester, FleetMessage::ProbedFor(probed));
        }
        self.compare_digests(from, &ack.digest, now);
    }

    pub(crate) fn on_probe_for(&mut self, from: SocketAddr, probe: &IndirectProbe, now: MonoTime) {
        self.probe(&probe.target, Some((from, probe.sequence)), now);
    }

    pub(crate) fn on_probed_for(&mut self, probe: &IndirectProbe, now: MonoTime) {
        self.probes.acknowledge(probe.sequence, &probe.target, now);
    }

    pub(crate) fn on_spread(&mut self, updates: SpreadUpdates, now: MonoTime) {
        let accepted = SpreadUpdates {
            members: self.merge_members(&updates.members, now),
            targets: self.merge_targets(updates.targets, now),
            centres: self.merge_centres(updates.centres),
            origin: updates.origin,
            turn: updates.turn,
        };
        if !accepted.members.is_empty()
            || !accepted.targets.is_empty()
            || !accepted.centres.is_empty()
        {
            self.send_to_children(&accepted);
        }
    }

    /// Spreads the updates that this VM has queued since the last tick.
    pub(crate) fn send_pending(&mut self) {
        let PendingUpdates {
            members,
            targets,
            centres,
        } = std::mem::take(&mut self.pending);
        let rounds = [members.len(), targets.len()].map(|count| count.div_ceil(SPREAD_CHANGES_MAX));
        let rounds = rounds
            .into_iter()
            .max()
            .unwrap_or_default()
            .max(usize::from(!centres.is_empty()));
        let mut members = members.chunks(SPREAD_CHANGES_MAX);
        let mut targets = targets.chunks(SPREAD_CHANGES_MAX);
        let mut centres = Some(centres);
        for _ in 0..rounds {
            let updates = SpreadUpdates {
                origin: self.identity.name.clone(),
                turn: self.turn,
                members: members.next().unwrap_or_default().to_vec(),
                targets: targets.next().unwrap_or_default().to_vec(),
                centres: centres.take().unwrap_or_else(CentreUpdates::default),
            };
            self.send_to_children(&updates);
        }
        if rounds > 0 {
            self.turn = self.rng.random();
        }
    }

    /// Merges updates of members; returns the updates that were newer.
    pub(crate) fn merge_members(
        &mut self,
        updates: &[MemberUpdate],
        now: MonoTime,
    ) -> Vec<MemberUpdate> {
        let mut accepted = Vec::new();
        for update in updates {
            if update.identity.centre != self.identity.centre {
                continue;
            }
            if update.identity.name == self.identity.name {
                self.on_update_about_self(update, now);
            } else if self.merge_member(update, now) {
                accepted.push(update.clone());
            }
        }
        accepted
    }

    /// Merges one update and reports a changed status; returns whether the update was newer.
    pub(crate) fn merge_member(&mut self, update: &MemberUpdate, now: MonoTime) -> bool {
        let name = &update.identity.name;
        let known = self.members.get(name).map(|known| known.update.clone());
        if !self.members.merge(update, now) {
            return false;
        }
        self.piggyback.push(name.clone());
        self.targets_dirty = true;
        let same = known.is_some_and(|known| {
            known.status == update.status && known.identity == update.identity
        });
        if !same {
            self.actions.push(FleetAction::MemberChanged {
                identity: update.identity.clone(),
                status: update.status,
            });
        }
        true
    }

    /// Raises the incarnation of this VM above `incarnation` and spreads it.
    pub(crate) fn raise_incarnation(&mut self, incarnation: u64, now: MonoTime) {
        let mut own = self.members.own().update.clone();
        own.incarnation = own.incarnation.max(incarnation) + 1;
        own.status = MemberStatus::Alive;
        self.members.merge(&own, now);
        self.piggyback.push(self.identity.name.clone());
        self.pending.members.push(own);
    }

    /// Marks suspects as dead if they did not refute the suspicion in time.
    pub(crate) fn expire_suspects(&mut self, now: MonoTime) {
        let suspicion_timeout = self.settings.suspicion_timeout;
        let expired = self.members.entries().filter(|entry| {
            entry.update.status == MemberStatus::Suspect
                && now.since(entry.changed_at) >= suspicion_timeout
        });
        let expired: Vec<_> = expired.map(|entry| entry.update.clone()).collect();
        for mut update in expired {
            update.status = MemberStatus::Dead;
            self.publish_member(update, now);
        }
        self.members
            .forget_removed(self.settings.dead_member_retention, now);
    }

    pub(crate) fn digest(&self) -> StateDigest {
        StateDigest {
            members: self.members.digest(),
            targets: self.leases.digest(),
            centres: self.centres.digest(),
            config: self.config.applied(),
        }
    }

    fn probe_indirectly(&mut self, name: &VmName, sequence: u64) {
        let others = self.members.live_peers().filter(|peer| peer.name != *name);
        let mut others: Vec<_> = others.map(|peer| peer.peers).collect();
        shuffle(&mut others, &mut self.rng);
        others.truncate(self.settings.indirect_probes);
        for other in others {
            let probe = IndirectProbe {
                sequence,
                target: name.clone(),
            };
            self.send(other, FleetMessage::ProbeFor(probe));
        }
    }

    fn suspect(&mut self, name: &VmName, now: MonoTime) {
        self.admit_contested_join(name, now);
        let Some(known) = self.members.get(name) else {
            return;
        };
        let mut update = known.update.clone();
        if update.status != MemberStatus::Alive {
            return;
        }
        update.status = MemberStatus::Suspect;
        self.publish_member(update, now);
    }

    /// Merges this VM's observation of a member, and spreads it unless this VM is isolated: then
    /// it may itself be the one that is cut off.
    fn publish_member(&mut self, update: MemberUpdate, now: MonoTime) {
        if self.merge_member(&update, now) && !self.is_isolated(now) {
            self.pending.members.push(update);
        }
    }

    fn probe_message(&mut self, sequence: u64, receiver: &VmName) -> ProbeMessage {
        let names = self.piggyback.next_batch(self.members.live().len());
        let known = |name| self.members.get(name).map(|entry| entry.update.clone());
        let mut updates: Vec<_> = names.iter().filter_map(known).collect();
        let receiver_update = known(receiver).filter(|update| update.status != MemberStatus::Alive);
        updates.extend(receiver_update.filter(|update| !updates.contains(update)));
        ProbeMessage {
            sequence,
            sender: self.identity.name.clone(),
            digest: self.digest(),
            updates,
        }
    }

    fn record_peer_config(&mut self, from: SocketAddr, message: &ProbeMessage, now: MonoTime) {
        if let Some(entry) = self.members.get_mut(&message.sender) {
            entry.config = message.digest.config;
        }
        self.on_config_news(from, message.digest.config, now);
    }

    fn compare_digests(&mut self, from: SocketAddr, other: &StateDigest, now: MonoTime) {
        let own = self.digest();
        if (own.members, own.targets) == (other.members, other.targets) {
            self.members.restore_lease_trust();
        }
        let equal = (own.members, own.targets, own.centres)
            == (other.members, other.targets, other.centres);
        if !equal && now >= self.timers.repair {
            self.start_repair(from, now);
        }
    }

    fn send_to_children(&mut self, updates: &SpreadUpdates) {
        let children = tree_children(
            self.members.live(),
            &updates.origin,
            &self.identity.name,
            updates.turn,
            self.settings.spread_fan_out,
        );
        for child in children {
            self.send(child, FleetMessage::Spread(updates.clone()));
        }
    }

    /// Returns `period` plus a random jitter of up to half of it, so that VMs do not synchronize.
    pub(crate) fn jittered(&mut self, period: std::time::Duration) -> std::time::Duration {
        period + period.mul_f64(self.rng.random_range(0.0..0.5))
    }
}
