//! Changes the voter set, and finishes changes that other clients began.

use std::time::Duration;

use error_stack::Report;
use rand::RngExt as _;

use crate::{
    client::{CallProgress, QuorumClient, copy::CopyPlan},
    error::{QuorumError, Result},
    key::RegisterKey,
    member::{VoterIdentity, VoterMember, VoterSet},
    message::{RequestBody, VoterReply, VoterRequest},
    round::requests_to_all,
    value::{RegisterChange, RegisterValue},
};

/// Maximum number of voters in a set.
const VOTERS_MAX: usize = 7;

/// The outcome of a change of the voter set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterSetOutcome {
    /// The set in force.
    pub set: VoterSet,
    /// Voters kept from the previous set that do not hold all registers yet, see
    /// [`QuorumClient::catch_up_voters`].
    pub lagging: Vec<VoterMember>,
}

/// The result of querying the state of a voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterHealth {
    /// The voter.
    pub member: VoterMember,
    /// Whether the voter replied with the identity that the set names.
    pub reachable: bool,
    /// Whether the voter holds all registers and votes in the latest epoch.
    pub caught_up: bool,
}

impl QuorumClient {
    /// Replaces a failed voter by a VM that does not vote yet.
    ///
    /// Succeeds only once the new voter votes and holds every register durably. Any VM can finish
    /// the change once it is decided; repeating the call does so.
    ///
    /// # Errors
    /// [`QuorumError::ConflictingChange`] when another change was decided first,
    /// [`QuorumError::Timeout`] when the change was not finished in time.
    pub async fn replace_voter(
        &self,
        failed: VoterIdentity,
        candidate: VoterMember,
        timeout: Duration,
    ) -> Result<VoterSetOutcome> {
        let mut call = self.start_call(timeout);
        loop {
            let set = self.elected_set(&mut call).await?;
            if !set.contains(failed) {
                if set.contains(candidate.identity) {
                    return self.finish_until_caught_up(&mut call, None, set).await;
                }
                return Err(Report::new(QuorumError::ConflictingChange));
            }
            let kept = set
                .members
                .iter()
                .filter(|member| member.identity != failed);
            let members = kept.cloned().chain([candidate.clone()]).collect();
            if let Some(outcome) = self.decide_change(&mut call, set, members).await? {
                return Ok(outcome);
            }
        }
    }

    /// Adds a VM that does not vote yet to the voter set, whatever others have made of the set meanwhile.
    ///
    /// # Errors
    /// [`QuorumError::ConflictingChange`] when the set has `voters_max` members without it, and the
    /// errors of [`QuorumClient::replace_voter`].
    pub async fn add_voter(
        &self,
        candidate: VoterMember,
        voters_max: usize,
        timeout: Duration,
    ) -> Result<VoterSetOutcome> {
        let mut call = self.start_call(timeout);
        loop {
            let set = self.elected_set(&mut call).await?;
            let changed = if set.contains(candidate.identity) {
                let finished = self.finish_until_caught_up(&mut call, None, set);
                finished.await.map(Some)
            } else if set.members.len() < voters_max {
                let members = set.members.iter().cloned().chain([candidate.clone()]);
                let members = members.collect();
                self.decide_change(&mut call, set, members).await
            } else {
                return Err(Report::new(QuorumError::ConflictingChange));
            };
            match changed {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                // Another change was decided first; this one starts again from its set.
                Err(report) if *report.current_context() == QuorumError::ConflictingChange => {}
                Err(report) => return Err(report),
            }
        }
    }

    /// Replaces the voter set by `members`, whatever it is.
    ///
    /// # Errors
    /// [`QuorumError::InvalidVoterSet`] for an invalid set, and the errors of
    /// [`QuorumClient::replace_voter`].
    pub async fn change_voters(
        &self,
        members: Vec<VoterMember>,
        timeout: Duration,
    ) -> Result<VoterSetOutcome> {
        let mut call = self.start_call(timeout);
        loop {
            let set = self.elected_set(&mut call).await?;
            let wanted = VoterSet::new(set.epoch, members.clone());
            if wanted == set {
                return self.finish_until_caught_up(&mut call, None, set).await;
            }
            let decided = self.decide_change(&mut call, set, members.clone());
            if let Some(outcome) = decided.await? {
                return Ok(outcome);
            }
        }
    }

    /// Copies the registers to voters that have not caught up to the latest set.
    ///
    /// # Errors
    /// [`QuorumError::Timeout`] when a voter that the last change added does not catch up in time.
    pub async fn catch_up_voters(&self, timeout: Duration) -> Result<VoterSetOutcome> {
        let mut call = self.start_call(timeout);
        let set = self.elected_set(&mut call).await?;
        let previous = self.lock_view().previous.clone();
        self.finish_until_caught_up(&mut call, previous, set).await
    }

    /// Sends the latest set to a voter, e.g. one that restarts after a long time.
    ///
    /// Returns whether the voter replied.
    pub async fn inform_voter(&self, member: &VoterMember) -> bool {
        let (next, previous) = {
            let view = self.lock_view();
            (view.latest.clone(), view.previous.clone())
        };
        if next.epoch == 0 {
            return false;
        }
        let request = VoterRequest {
            to: member.identity,
            epoch: next.epoch,
            body: RequestBody::Seal { next, previous },
        };
        let reply = self.dispatcher.send_one(member, request).await;
        if let Some(VoterReply::Moved { epoch }) = &reply {
            self.observe_epoch(epoch);
        }
        reply.is_some()
    }

    /// Queries the state of every voter of the latest set, and adopts later sets that they know.
    pub async fn voter_health(&self) -> Vec<VoterHealth> {
        let (set, replies) = loop {
            let set = self.voters();
            let replies = self.identify(&set).await;
            self.observe_identities(&replies);
            if self.voters().epoch <= set.epoch {
                break (set, replies);
            }
        };
        let health = |(member, reply): (&VoterMember, &Option<VoterReply>)| {
            let (reachable, caught_up) = match reply {
                Some(VoterReply::Identity { identity, epoch }) => {
                    let unknown = member.identity == VoterIdentity::UNKNOWN;
                    let same = unknown || member.identity == *identity;
                    (same, same && epoch.current.epoch == set.epoch)
                }
                _ => (false, false),
            };
            VoterHealth {
                member: member.clone(),
                reachable,
                caught_up,
            }
        };
        set.members.iter().zip(&replies).map(health).collect()
    }

    /// Elects the set of epoch 1: the voters of the settings, with the identities of their logs, or
    /// those that answer, see [`crate::ClientSettings::first_majority_after`].
    pub(crate) async fn elect_epoch_one(&self, call: &mut CallProgress) -> Result<VoterSet> {
        loop {
            let initial_set = self.voters();
            if initial_set.epoch > 0 {
                return Ok(initial_set);
            }
            let replies = self.identify(&initial_set).await;
            self.observe_identities(&replies);
            let members = identified_members(&initial_set, &replies);
            if self.voters().epoch > 0 {
                self.finish_abandoned_change(call).await?;
                return Ok(self.voters());
            }
            if self.may_elect(&initial_set, members.len()) {
                let decided = self.decide_set(call, initial_set.clone(), members).await?;
                if let Some(next) = decided {
                    self.finish_change(call, Some(&initial_set), &next).await?;
                    continue;
                }
            }
            self.back_off(call).await?;
        }
    }

    /// Finishes a change of the voter set that has been unfinished for
    /// [`crate::ClientSettings::finish_after`] plus a random delay.
    pub(crate) async fn finish_abandoned_change(&self, call: &mut CallProgress) -> Result<()> {
        let view = self.lock_view().clone();
        let (Some(delay), Some(since)) = (self.settings.finish_after, view.unfinished_since) else {
            return Ok(());
        };
        let share: f64 = self.lock_state().rng.random();
        if self.timer.now() < since + delay.mul_f64(1.0 + share) {
            return Ok(());
        }
        // If this attempt fails, the delay starts again when a voter that has not caught up is
        // next seen.
        self.lock_view().unfinished_since = None;
        let previous = view.previous.as_ref();
        self.finish_change(call, previous, &view.latest).await?;
        Ok(())
    }

    /// Decides and finishes a change; `None` when the round must be repeated.
    async fn decide_change(
        &self,
        call: &mut CallProgress,
        set: VoterSet,
        members: Vec<VoterMember>,
    ) -> Result<Option<VoterSetOutcome>> {
        let wanted = VoterSet::new(set.epoch + 1, members);
        validate_set(&wanted)?;
        let decided = self.decide_set(call, set.clone(), wanted.members.clone());
        let Some(decided) = decided.await? else {
            return Ok(None);
        };
        let is_wanted = decided == wanted;
        let outcome = self
            .finish_until_caught_up(call, Some(set), decided)
            .await?;
        if !is_wanted {
            return Err(Report::new(QuorumError::ConflictingChange));
        }
        Ok(Some(outcome))
    }

    /// Decides the successor of `set`; `None` when the round must be repeated.
    async fn decide_set(
        &self,
        call: &mut CallProgress,
        set: VoterSet,
        members: Vec<VoterMember>,
    ) -> Result<Option<VoterSet>> {
        let epoch = set.epoch;
        let next = VoterSet::new(epoch + 1, members);
        let change = |value: Option<&RegisterValue>| match value {
            Some(RegisterValue::Voters(decided)) if decided.epoch > epoch => {
                RegisterChange::Keep(decided.clone())
            }
            _ => RegisterChange::Write(RegisterValue::Voters(next.clone()), next.clone()),
        };
        self.try_round(call, set, &RegisterKey::Voters, &change)
            .await
    }

    /// Repeats [`Self::finish_change`] until the voters have caught up or the call times out.
    async fn finish_until_caught_up(
        &self,
        call: &mut CallProgress,
        old: Option<VoterSet>,
        next: VoterSet,
    ) -> Result<VoterSetOutcome> {
        loop {
            let finished = self.finish_change(call, old.as_ref(), &next).await?;
            if let Some(outcome) = finished {
                return Ok(outcome);
            }
            if self.voters().epoch > next.epoch {
                return Err(Report::new(QuorumError::ConflictingChange));
            }
            self.back_off(call).await?;
        }
    }

    /// Tries once to put a decided set into force.
    ///
    /// Returns `None` when too few voters caught up, or a voter that the change added did not.
    async fn finish_change(
        &self,
        call: &mut CallProgress,
        old: Option<&VoterSet>,
        next: &VoterSet,
    ) -> Result<Option<VoterSetOutcome>> {
        if self.timer.now() >= call.deadline() {
            return Err(call.timeout_error());
        }
        let Some(mut plan) = self.seal_voters(old, next).await else {
            return Ok(None);
        };
        self.copy_registers(call, &mut plan).await?;
        self.complete_voters(&mut plan).await;
        if plan.caught_up.len() < next.quorum() {
            return Ok(None);
        }
        {
            let mut view = self.lock_view();
            if view.latest.epoch <= next.epoch {
                view.latest = next.clone();
                view.previous = None;
                view.unfinished_since = None;
            }
        }
        let is_caught_up = |member: &VoterMember| plan.caught_up.contains(&member.identity);
        let lagging: Vec<_> = next
            .members
            .iter()
            .filter(|member| !is_caught_up(member))
            .cloned()
            .collect();
        let is_old_voter = |member: &VoterMember| {
            old.is_none_or(|old| old.epoch == 0 || old.contains(member.identity))
        };
        let added_are_caught_up = lagging.iter().all(is_old_voter);
        Ok(added_are_caught_up.then(|| VoterSetOutcome {
            set: next.clone(),
            lagging,
        }))
    }

    /// Seals the voters of the old and new sets and plans the copy between them.
    ///
    /// Returns `None` when the sealed voters together may lack registers.
    async fn seal_voters(&self, old: Option<&VoterSet>, next: &VoterSet) -> Option<CopyPlan> {
        let mut all_voters = next.clone();
        if let Some(old) = old.filter(|old| old.epoch > 0) {
            let leaving = old.members.iter().filter(|m| !next.contains(m.identity));
            all_voters.members.extend(leaving.cloned());
        }
        let body = RequestBody::Seal {
            next: next.clone(),
            previous: old.cloned(),
        };
        let requests = requests_to_all(&all_voters, &body);
        let mut replies = self.dispatcher.send_all(&all_voters.members, requests);
        let mut plan = CopyPlan::new(next.epoch);
        while let Some((index, reply)) = replies.recv().await {
            let member = &all_voters.members[index];
            match reply {
                Some(VoterReply::Sealed { whole_for }) => {
                    plan.add_sealed(member, whole_for, next);
                }
                Some(VoterReply::Moved { epoch }) => self.observe_epoch(&epoch),
                _ => {}
            }
        }
        plan.choose_sources(old, next).then_some(plan)
    }

    /// Whether epoch 1 may be elected with `identified` of the voters of epoch 0.
    fn may_elect(&self, initial_set: &VoterSet, identified: usize) -> bool {
        let waited = self.timer.now().since(self.started_at);
        let is_majority_enough = self
            .settings
            .first_majority_after
            .is_some_and(|after| waited >= after);
        identified == initial_set.members.len()
            || is_majority_enough && identified >= initial_set.majority()
    }

    async fn identify(&self, set: &VoterSet) -> Vec<Option<VoterReply>> {
        let requests = requests_to_all(set, &RequestBody::Identify);
        let mut receiver = self.dispatcher.send_all(&set.members, requests);
        let mut replies = vec![None; set.members.len()];
        while let Some((index, reply)) = receiver.recv().await {
            replies[index] = reply;
        }
        replies
    }

    /// Adopts the voter sets that voters know if they are later than the known ones.
    fn observe_identities(&self, replies: &[Option<VoterReply>]) {
        for reply in replies.iter().flatten() {
            if let VoterReply::Identity { epoch, .. } = reply
                && epoch.latest().epoch > 0
            {
                self.observe_epoch(epoch);
            }
        }
    }
}

/// Returns the members that replied, with the identities that they reported.
fn identified_members(set: &VoterSet, replies: &[Option<VoterReply>]) -> Vec<VoterMember> {
    let mut members = Vec::new();
    for (member, reply) in set.members.iter().zip(replies) {
        if let Some(VoterReply::Identity { identity, .. }) = reply {
            let identity = *identity;
            members.push(VoterMember {
                identity,
                ..member.clone()
            });
        }
    }
    members
}

fn validate_set(set: &VoterSet) -> Result<()> {
    let mut identities: Vec<_> = set.members.iter().map(|member| member.identity).collect();
    identities.sort_unstable();
    identities.dedup();
    let distinct = identities.len() == set.members.len();
    let known = !identities.contains(&VoterIdentity::UNKNOWN);
    if distinct && known && (1..=VOTERS_MAX).contains(&identities.len()) {
        return Ok(());
    }
    Err(Report::new(QuorumError::InvalidVoterSet))
}
