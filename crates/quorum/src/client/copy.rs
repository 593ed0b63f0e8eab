//! Copies all registers to the voters of a decided voter set.

use std::collections::BTreeSet;

use crate::{
    client::{CallProgress, QuorumClient},
    error::Result,
    member::{VoterIdentity, VoterMember, VoterSet},
    message::{PageCursor, RegisterCopy, RequestBody, VoterReply, VoterRequest},
};

/// Maximum number of times that one request of a copy is sent before the copy is abandoned.
const COPY_ATTEMPTS: usize = 6;

/// The voters to copy registers from and to, so that the new voters catch up to an epoch.
#[derive(Debug)]
pub(crate) struct CopyPlan {
    epoch: u64,
    /// Sealed voters, with the epoch that each has caught up to.
    sealed: Vec<(VoterMember, u64)>,
    sources: Vec<VoterMember>,
    destinations: Vec<VoterMember>,
    /// Voters that have caught up to the epoch.
    pub(crate) caught_up: BTreeSet<VoterIdentity>,
}

impl CopyPlan {
    pub(crate) const fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sealed: Vec::new(),
            sources: Vec::new(),
            destinations: Vec::new(),
            caught_up: BTreeSet::new(),
        }
    }

    pub(crate) fn add_sealed(&mut self, member: &VoterMember, whole_for: u64, next: &VoterSet) {
        if whole_for == self.epoch {
            self.caught_up.insert(member.identity);
        } else if next.contains(member.identity) {
            self.destinations.push(member.clone());
        }
        self.sealed.push((member.clone(), whole_for));
    }

    /// Chooses the sources: voters that together hold every value chosen in earlier epochs.
    ///
    /// This is one voter that has caught up to the new epoch, or else a quorum of the old set.
    /// Returns whether such voters are among the sealed ones.
    pub(crate) fn choose_sources(&mut self, old: Option<&VoterSet>, next: &VoterSet) -> bool {
        let caught_up = self.sealed.iter().find(|(_, epoch)| *epoch == self.epoch);
        if let Some((member, _)) = caught_up {
            self.sources = vec![member.clone()];
            return true;
        }
        let Some(old) = old else {
            return false;
        };
        if old.epoch == 0 {
            // Epoch 0 holds no registers except the voter set it elects.
            return self.sealed.len() >= next.quorum();
        }
        let is_source = |(member, whole_for): &&(VoterMember, u64)| {
            *whole_for == old.epoch && old.contains(member.identity)
        };
        let sources = self.sealed.iter().filter(is_source);
        self.sources = sources
            .take(old.quorum())
            .map(|(member, _)| member.clone())
            .collect();
        self.sources.len() >= old.quorum()
    }
}

impl QuorumClient {
    /// Copies every register of the sources to the destinations.
    ///
    /// Destinations that fail are removed from the plan. If a source fails, all destinations are
    /// removed, because their copies are then incomplete.
    pub(crate) async fn copy_registers(
        &self,
        call: &CallProgress,
        plan: &mut CopyPlan,
    ) -> Result<()> {
        for source in plan.sources.clone() {
            let mut cursor = Some(PageCursor::default());
            while let Some(from) = cursor {
                if self.timer.now() >= call.deadline() {
                    return Err(call.timeout_error());
                }
                if plan.destinations.is_empty() {
                    return Ok(());
                }
                let Some((registers, next)) = self.read_page(plan.epoch, &source, from).await
                else {
                    plan.destinations.clear();
                    return Ok(());
                };
                if !registers.is_empty() {
                    self.install_page(plan, &source, registers).await;
                }
                cursor = next;
            }
        }
        Ok(())
    }

    /// Tells the destinations that they hold all registers and may vote.
    pub(crate) async fn complete_voters(&self, plan: &mut CopyPlan) {
        for destination in std::mem::take(&mut plan.destinations) {
            let reply = self.send_with_retries(plan.epoch, &destination, RequestBody::Complete);
            if let Some(VoterReply::Whole) = reply.await {
                plan.caught_up.insert(destination.identity);
            }
        }
    }

    async fn read_page(
        &self,
        epoch: u64,
        source: &VoterMember,
        from: PageCursor,
    ) -> Option<(Vec<RegisterCopy>, Option<PageCursor>)> {
        let body = RequestBody::ReadPage { from };
        match self.send_with_retries(epoch, source, body).await {
            Some(VoterReply::Page { registers, next }) => Some((registers, next)),
            _ => None,
        }
    }

    async fn install_page(
        &self,
        plan: &mut CopyPlan,
        source: &VoterMember,
        registers: Vec<RegisterCopy>,
    ) {
        let body = RequestBody::Install { registers };
        let epoch = plan.epoch;
        let installs = plan.destinations.iter().map(|destination| {
            let body = body.clone();
            async move {
                // A source that is also a destination already holds its own registers.
                if destination.identity == source.identity {
                    return true;
                }
                let reply = self.send_with_retries(epoch, destination, body).await;
                matches!(reply, Some(VoterReply::Installed | VoterReply::Whole))
            }
        });
        let installed = futures::future::join_all(installs).await;
        let mut installed = installed.into_iter();
        plan.destinations
            .retain(|_| installed.next().unwrap_or(false));
    }

    /// Sends a request of a copy up to [`COPY_ATTEMPTS`] times until a reply arrives.
    ///
    /// The retries are safe because all requests of a copy are idempotent.
    async fn send_with_retries(
        &self,
        epoch: u64,
        member: &VoterMember,
        body: RequestBody,
    ) -> Option<VoterReply> {
        for _ in 0..COPY_ATTEMPTS {
            let request = VoterRequest {
                to: member.identity,
                epoch,
                body: body.clone(),
            };
            let reply = self.dispatcher.send_one(member, request).await;
            if reply.is_some() {
                return reply;
            }
        }
        None
    }
}
