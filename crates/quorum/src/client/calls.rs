//! What callers ask of the registers.

use std::{sync::Arc, time::Duration};

use crate::{
    act::{
        ActClaim, ActOutcome, ActState, ClaimOutcome, SettleOutcome, claim_act, read_act,
        record_act, release_act,
    },
    client::{CallProgress, QuorumClient},
    config::{ConfigChange, ConfigState, SubmitOutcome, VersionedConfig, read_config},
    error::Result,
    key::{ActKey, RegisterKey},
    member::VoterSet,
    message::{RequestBody, VoterReply},
    round::{accepted_in_epoch, requests_to_all},
    value::{AcceptedValue, RegisterChange, RegisterValue},
};

impl QuorumClient {
    /// Reads the configuration, never older than what any call had returned before this one began.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time.
    pub async fn read_config(&self, timeout: Duration) -> Result<ConfigState> {
        self.read(RegisterKey::Config, timeout, read_config).await
    }

    /// Makes `text` the configuration if its version still is `expected_version`.
    ///
    /// The same `change` identifier always gets its first outcome, as long as the register
    /// remembers it ([`crate::CONFIG_OUTCOMES_MAX`] later changes).
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the change is undecided, or surely not made.
    pub async fn submit_config(
        &self,
        expected_version: u64,
        change: Arc<str>,
        text: Arc<str>,
        timeout: Duration,
    ) -> Result<SubmitOutcome> {
        let change = ConfigChange {
            expected_version,
            change,
            text,
        };
        self.run_change(RegisterKey::Config, timeout, |value| change.apply(value))
            .await
    }

    /// Makes `text` the configuration if `version` is higher than that of the present one.
    ///
    /// Returns the version in the register afterwards. Calling again with the same version
    /// changes nothing, so a call without an answer may be repeated.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the change is undecided, or surely not made.
    pub async fn set_config_if_newer(
        &self,
        version: u64,
        text: Arc<str>,
        timeout: Duration,
    ) -> Result<u64> {
        let config = VersionedConfig { version, text };
        self.run_change(RegisterKey::Config, timeout, |value| config.apply(value))
            .await
    }

    /// Claims the right to run an act. Only [`ClaimOutcome::Granted`] gives it.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`]: the act must not be run. With a verdict other than not-run
    /// the key may stay claimed, which a later [`QuorumClient::release`] of the claim undoes.
    pub async fn claim(
        &self,
        act: ActKey,
        claim: &ActClaim,
        timeout: Duration,
    ) -> Result<ClaimOutcome> {
        self.run_change(RegisterKey::Act(act), timeout, |value| {
            claim_act(claim, value)
        })
        .await
    }

    /// Records the outcome of an act that ran under `claim`.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the outcome may not be recorded; the key stays claimed.
    pub async fn record(
        &self,
        act: ActKey,
        claim: &ActClaim,
        outcome: &ActOutcome,
        timeout: Duration,
    ) -> Result<SettleOutcome> {
        self.run_change(RegisterKey::Act(act), timeout, |value| {
            record_act(claim, outcome, value)
        })
        .await
    }

    /// Gives a claim back. To be called only when the act has certainly not run and never will
    /// under this claim.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the key may stay claimed.
    pub async fn release(
        &self,
        act: ActKey,
        claim: &ActClaim,
        timeout: Duration,
    ) -> Result<SettleOutcome> {
        self.run_change(RegisterKey::Act(act), timeout, |value| {
            release_act(claim, value)
        })
        .await
    }

    /// Reads the state of an act; `None` when its key is free.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time.
    pub async fn read_act(&self, act: ActKey, timeout: Duration) -> Result<Option<ActState>> {
        self.read(RegisterKey::Act(act), timeout, read_act).await
    }

    /// Reads in one exchange without disk writes if a quorum agrees, else by a full round.
    async fn read<T: Send>(
        &self,
        key: RegisterKey,
        timeout: Duration,
        project: fn(Option<&RegisterValue>) -> RegisterChange<T>,
    ) -> Result<T> {
        let call = self.start_call(timeout);
        if let QuorumRead::Decided(accepted) = self.read_from_quorum(&call, &key).await {
            let value = accepted.as_ref().map(|accepted| &*accepted.value);
            if let RegisterChange::Keep(outcome) = project(value) {
                return Ok(outcome);
            }
        }
        let rest = call.deadline().since(self.timer.now());
        self.run_change(key, rest, project).await
    }

    /// Asks all voters what they accepted, without a promise.
    async fn read_from_quorum(&self, call: &CallProgress, key: &RegisterKey) -> QuorumRead {
        let set = self.voters();
        if set.epoch == 0 {
            return QuorumRead::Inconclusive;
        }
        let body = RequestBody::Read { key: key.clone() };
        let requests = requests_to_all(&set, &body);
        let mut replies = self.dispatcher.send_all(&set.members, requests);
        let mut seen = Vec::new();
        while seen.len() < set.quorum() {
            let reply = tokio::select! {
                biased;
                reply = replies.recv() => reply,
                () = self.timer.sleep_until(call.deadline()) => None,
            };
            match reply {
                Some((_, Some(VoterReply::ReadValue { accepted }))) => seen.push(accepted),
                Some(_) => {}
                None => return QuorumRead::Inconclusive,
            }
        }
        QuorumRead::of(seen, &set)
    }
}

/// What a quorum of voters told about a register.
enum QuorumRead {
    /// All accepted this value in the same round, so it is chosen; or none accepted any.
    Decided(Option<AcceptedValue>),
    /// The voters differ, or too few answered.
    Inconclusive,
}

impl QuorumRead {
    fn of(mut seen: Vec<Option<AcceptedValue>>, set: &VoterSet) -> Self {
        let ballot = |accepted: &Option<AcceptedValue>| accepted.as_ref().map(|a| a.ballot);
        let Some(first) = seen.pop() else {
            return Self::Inconclusive;
        };
        let unanimous = seen.iter().all(|other| ballot(other) == ballot(&first));
        if unanimous && accepted_in_epoch(first.as_ref(), set) {
            return Self::Decided(first);
        }
        Self::Inconclusive
    }
}
