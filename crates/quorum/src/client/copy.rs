//! Copies all registers to the voters of a decided set.

use std::collections::BTreeSet;

use crate::{
    client::{CallProgress, QuorumClient},
    error::Result,
    member::{VoterIdentity, VoterMember, VoterSet},
    message::{PageCursor, RegisterCopy, RequestBody, VoterReply, VoterRequest},
};

/// Times that one step of a copy is sent before the copy is given up for now.
const COPY_ATTEMPTS: usize = 6;

/// Who is copied from where to reach an epoch.
#[derive(Debug)]
pub(crate) struct CopyPlan {
    epoch: u64,
    /// Sealed voters, with the epoch that their registers are whole for.
    sealed: Vec<(VoterMember, u64)>,
    sources: Vec<VoterMember>,
    targets: Vec<VoterMember>,
    pub(crate) caught_up: BTreeSet<VoterIdentity>,
}

impl CopyPlan {
    pub(crate) const fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sealed: Vec::new(),
            sources: Vec::new(),
            targets: Vec::new(),
            caught_up: BTreeSet::new(),
        }
    }

    pub(crate) fn add_sealed(&mut self, member: &VoterMember, whole_for: u64, next: &VoterSet) {
        if whole_for == self.epoch {
            self.caught_up.insert(member.identity);
        } else if next.contains(member.identity) {
            self.targets.push(member.clone());
        }
        self.sealed.push((member.clone(), whole_for));
    }

    /// Picks voters that together hold everything chosen in the epochs before.
    ///
    /// One voter that is whole for the new epoch does; else a quorum of the old set.
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
            // Epoch 0 holds nothing but its own decision.
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
    /// Copies every register of the sources to the targets; drops targets that fail.
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
                if plan.targets.is_empty() {
                    return Ok(());
                }
                let Some((registers, next)) = self.read_page(plan.epoch, &source, from).await
                else {
                    plan.targets.clear();
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

    /// Tells the targets that they hold everything.
    pub(crate) async fn complete_voters(&self, plan: &mut CopyPlan) {
        for target in std::mem::take(&mut plan.targets) {
            let reply = self.send_with_retries(plan.epoch, &target, RequestBody::Complete);
            if let Some(VoterReply::Whole) = reply.await {
                plan.caught_up.insert(target.identity);
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
        let installs = plan.targets.iter().map(|target| {
            let body = body.clone();
            async move {
                // A source that is kept holds its own registers already.
                if target.identity == source.identity {
                    return true;
                }
                let reply = self.send_with_retries(epoch, target, body).await;
                matches!(reply, Some(VoterReply::Installed | VoterReply::Whole))
            }
        });
        let installed = futures::future::join_all(installs).await;
        let mut installed = installed.into_iter();
        plan.targets.retain(|_| installed.next().unwrap_or(false));
    }

    /// Every step of a copy is idempotent, so a lost answer is asked for again.
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
