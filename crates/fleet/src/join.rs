//! Joins, reconnection to lost members, and resolution of duplicate VM names.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::{MonoTime, VmName};

use crate::{
    FleetAction, FleetMessage, FleetState, JoinRefusal, MemberStatus, MemberUpdate, VmIdentity,
    probe::shuffle, state::Participation,
};

/// Maximum number of addresses that one join attempt is sent to.
const JOIN_ADDRESSES_MAX: usize = 4;

/// Factor by which a refused VM lengthens the interval between its join attempts.
const REFUSED_REJOIN_FACTOR: u32 = 5;

/// A join under the name of a member that is being probed to find out whether it is alive.
#[derive(Clone, Debug)]
pub(crate) struct ContestedJoin {
    update: MemberUpdate,
    from: SocketAddr,
}

impl FleetState {
    /// Sends joins to seeds and dead members, when due.
    pub(crate) fn send_joins(&mut self, now: MonoTime) {
        if now < self.timers.rejoin {
            return;
        }
        let refused = matches!(self.participation, Participation::Refused(_));
        let factor = if refused { REFUSED_REJOIN_FACTOR } else { 1 };
        self.timers.rejoin = now + self.jittered(self.settings.rejoin_period * factor);
        let mut addresses = self.join_addresses(now);
        shuffle(&mut addresses, &mut self.rng);
        addresses.truncate(JOIN_ADDRESSES_MAX);
        let own = self.members.own().update.clone();
        for address in addresses {
            self.send(address, FleetMessage::Join(own.clone()));
        }
    }

    pub(crate) fn on_join(&mut self, from: SocketAddr, update: &MemberUpdate, now: MonoTime) {
        let joiner = &update.identity;
        if joiner.centre != self.identity.centre {
            self.answer_remote_join(from, &joiner.centre.clone(), now);
            return;
        }
        if joiner.name == self.identity.name {
            self.refuse_same_name(from, joiner);
            return;
        }
        let known = self
            .members
            .get(&joiner.name)
            .map(|known| known.update.clone());
        let conflicting = known.as_ref().filter(|known| {
            known.status <= MemberStatus::Suspect
                && known.identity.boot != joiner.boot
                && known.identity.peers != joiner.peers
        });
        if conflicting.is_some() {
            let contested = ContestedJoin {
                update: update.clone(),
                from,
            };
            self.contested_joins.insert(joiner.name.clone(), contested);
            self.probe(&joiner.name, None, now);
            return;
        }
        self.admit(from, update, now);
    }

    pub(crate) fn on_welcome(&mut self, from: SocketAddr, members: &[MemberUpdate], now: MonoTime) {
        let first = !self.peer_responded || self.participation != Participation::Active;
        self.peer_responded = true;
        self.participation = Participation::Active;
        self.merge_members(members, now);
        self.return_newer_members(from, members);
        if first {
            // Every member has the tables. If only seeds were asked for a repair, each restart
            // would put load on the same VMs.
            let mut peers: Vec<_> = self.members.live_peers().map(|peer| peer.peers).collect();
            shuffle(&mut peers, &mut self.rng);
            self.start_repair(peers.first().copied().unwrap_or(from), now);
        }
    }

    pub(crate) fn on_join_refused(&mut self, refusal: JoinRefusal, now: MonoTime) {
        match refusal {
            JoinRefusal::StaleIncarnation(known) => {
                self.raise_incarnation(known, now);
                self.timers.rejoin = now;
            }
            JoinRefusal::DuplicateName(holder) => self.record_refusal(holder),
        }
    }

    pub(crate) fn on_name_conflict(&mut self, _from: SocketAddr, holder: Arc<VmIdentity>) {
        let older = is_older(&holder, &self.identity);
        if holder.name == self.identity.name && older {
            self.record_refusal(holder);
        }
    }

    /// Handles an update about this VM, or about another VM under its name.
    pub(crate) fn on_update_about_self(&mut self, update: &MemberUpdate, now: MonoTime) {
        let own = self.members.own().update.clone();
        let other = &update.identity;
        let same_vm = other.boot == own.identity.boot || other.peers == own.identity.peers;
        if same_vm {
            let needs_refutation =
                update.status != MemberStatus::Alive || other.boot != own.identity.boot;
            if needs_refutation && update.incarnation >= own.incarnation {
                self.raise_incarnation(update.incarnation, now);
            }
            return;
        }
        if update.status <= MemberStatus::Suspect && is_older(&own.identity, other) {
            self.report_duplicate(&own.identity, other);
            let conflict = FleetMessage::NameConflict(Arc::clone(&own.identity));
            self.send(other.peers, conflict);
        }
        if update.incarnation >= own.incarnation {
            self.raise_incarnation(update.incarnation, now);
        }
    }

    /// Resolves a contested join after the current holder of `name` has answered from `from`.
    ///
    /// The VM that started later is refused regardless of the order of joins, so that both
    /// sides of a healed partition reach the same decision.
    pub(crate) fn resolve_contested_join(
        &mut self,
        from: SocketAddr,
        name: &VmName,
        now: MonoTime,
    ) {
        let Some(holder) = self
            .members
            .get(name)
            .map(|entry| entry.update.identity.clone())
        else {
            return;
        };
        if holder.peers != from {
            return;
        }
        let Some(contested) = self.contested_joins.remove(name) else {
            return;
        };
        let joiner = &contested.update.identity;
        if is_older(joiner, &holder) {
            self.report_duplicate(joiner, &holder);
            self.send(from, FleetMessage::NameConflict(Arc::clone(joiner)));
            self.admit(contested.from, &contested.update, now);
            return;
        }
        self.report_duplicate(&holder, joiner);
        let refusal = JoinRefusal::DuplicateName(holder);
        self.send(contested.from, FleetMessage::JoinRefused(refusal));
    }

    /// Admits the joining VM because the previous holder of its name did not answer.
    pub(crate) fn admit_contested_join(&mut self, name: &VmName, now: MonoTime) {
        if let Some(contested) = self.contested_joins.remove(name) {
            self.admit(contested.from, &contested.update, now);
        }
    }

    fn admit(&mut self, from: SocketAddr, update: &MemberUpdate, now: MonoTime) {
        let name = &update.identity.name;
        if self.merge_member(update, now) {
            self.pending.members.push(update.clone());
        }
        let known = self.members.get(name).map(|known| known.update.clone());
        match known {
            Some(known) if known != *update && known.incarnation >= update.incarnation => {
                let refusal = JoinRefusal::StaleIncarnation(known.incarnation);
                self.send(from, FleetMessage::JoinRefused(refusal));
            }
            _ => self.welcome(from),
        }
    }

    fn welcome(&mut self, from: SocketAddr) {
        let members = self.members.entries().map(|entry| entry.update.clone());
        let welcome = FleetMessage::Welcome(members.collect());
        self.send(from, welcome);
    }

    fn refuse_same_name(&mut self, from: SocketAddr, joiner: &Arc<VmIdentity>) {
        if joiner.boot == self.identity.boot && joiner.peers == self.identity.peers {
            return;
        }
        let own = Arc::clone(&self.identity);
        self.report_duplicate(&own, joiner);
        self.send(
            from,
            FleetMessage::JoinRefused(JoinRefusal::DuplicateName(own)),
        );
    }

    fn record_refusal(&mut self, holder: Arc<VmIdentity>) {
        let own = (self.identity.boot, self.identity.peers);
        if (holder.boot, holder.peers) == own || self.participation == Participation::Left {
            return;
        }
        let refused = Participation::Refused(Arc::clone(&holder));
        if self.participation != refused {
            self.participation = refused;
            self.actions.push(FleetAction::NameRefused { holder });
        }
    }

    fn report_duplicate(&mut self, holder: &VmIdentity, joiner: &VmIdentity) {
        self.actions.push(FleetAction::DuplicateName {
            name: holder.name.clone(),
            holder: holder.peers,
            joiner: joiner.peers,
        });
    }

    /// Returns the addresses of seeds and dead members that may be reachable again.
    fn join_addresses(&self, now: MonoTime) -> Vec<SocketAddr> {
        let own = self.identity.peers;
        let refused = matches!(self.participation, Participation::Refused(_));
        let live = |address| !refused && self.members.live().iter().any(|vm| vm.peers == address);
        let seeds = self.settings.seeds.iter().copied();
        let dead = self
            .members
            .entries()
            .filter(|entry| entry.update.status == MemberStatus::Dead);
        let dead = dead.map(|entry| entry.update.identity.peers);
        let mut addresses: Vec<_> = seeds
            .chain(dead)
            .filter(|address| *address != own && !live(*address))
            .filter(|address| !self.is_remote_peer_reached(address, now))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

/// Whether `a` started before `b`; ties are broken by the address.
fn is_older(a: &VmIdentity, b: &VmIdentity) -> bool {
    (a.boot, a.peers) < (b.boot, b.peers)
}
