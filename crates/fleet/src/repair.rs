//! Anti-entropy repair of tables that differ between two VMs.
//!
//! The VM that detects the difference sends its bucket digests. The peer answers with all
//! entries of the differing buckets, and the first VM sends back its own newer entries.

use std::net::SocketAddr;

use fulmarweir_base::MonoTime;

use crate::{
    FleetMessage, FleetState, MemberUpdate, RepairEntries, RepairRequest, member::differing_buckets,
};

impl FleetState {
    pub(crate) fn start_repair(&mut self, peer: SocketAddr, now: MonoTime) {
        self.timers.repair = now + self.jittered(self.settings.repair_period);
        let request = RepairRequest {
            members: self.members.bucket_digests(),
            targets: self.leases.bucket_digests(),
            centres: self.centres.digests(),
        };
        self.send(peer, FleetMessage::Repair(request));
    }

    pub(crate) fn on_repair(&mut self, from: SocketAddr, request: &RepairRequest) {
        let member_buckets = differing_buckets(&self.members.bucket_digests(), &request.members);
        let target_buckets = differing_buckets(&self.leases.bucket_digests(), &request.targets);
        let entries = RepairEntries {
            wants_answer: true,
            members: self.members.in_buckets(&member_buckets),
            targets: self.leases.in_buckets(&target_buckets),
            centres: self.centres.differing(&request.centres),
            member_buckets,
            target_buckets,
        };
        self.send(from, FleetMessage::Entries(entries));
    }

    pub(crate) fn on_entries(&mut self, from: SocketAddr, entries: &RepairEntries, now: MonoTime) {
        self.peer_responded = true;
        self.merge_members(&entries.members, now);
        self.merge_targets(entries.targets.clone(), now);
        self.merge_centres(entries.centres.clone());
        if entries.wants_answer {
            self.members.restore_lease_trust();
            self.return_newer_entries(from, entries);
        }
    }

    /// Sends back the members that are missing from `received` or differ from it.
    pub(crate) fn return_newer_members(&mut self, from: SocketAddr, received: &[MemberUpdate]) {
        let known = self.members.entries().map(|entry| &entry.update);
        let members: Vec<_> = known
            .filter(|own| !received.contains(own))
            .cloned()
            .collect();
        if !members.is_empty() {
            let entries = RepairEntries {
                members,
                ..RepairEntries::default()
            };
            self.send(from, FleetMessage::Entries(entries));
        }
    }

    /// Sends back this VM's newer entries of the same buckets.
    fn return_newer_entries(&mut self, from: SocketAddr, received: &RepairEntries) {
        let mut members = self.members.in_buckets(&received.member_buckets);
        members.retain(|own| !received.members.contains(own));
        let mut targets = self.leases.in_buckets(&received.target_buckets);
        targets.retain(|own| !received.targets.contains(own));
        if members.is_empty() && targets.is_empty() {
            return;
        }
        let entries = RepairEntries {
            members,
            targets,
            ..RepairEntries::default()
        };
        self.send(from, FleetMessage::Entries(entries));
    }
}
