//! What callers ask of the registers.

use std::{sync::Arc, time::Duration};

use crate::{
    act::{
        ActClaim, ActOutcome, ActState, ClaimOutcome, SettleOutcome, claim_act, read_act,
        record_act, release_act,
    },
    client::{CallProgress, QuorumClient},
    config::{ConfigChange, ConfigState, NumberedConfig, SubmitOutcome, read_config},
    error::Result,
    key::{ActKey, RegisterKey},
    member::VoterSet,
    message::{RequestBody, VoterReply},
    round::{counts_as_votes, requests_to_all},
    value::{AcceptedValue, RegisterChange, RegisterValue},
};

impl QuorumClient {
    /// Reads the configuration, never older than what any call had returned before this one began.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time.
    pub async fn read_config(&self, patience: Duration) -> Result<ConfigState> {
        self.read(RegisterKey::Config, patience, read_config).await
    }

    /// Makes `text` the configuration if its version still is `at_version`.
    ///
    /// The same `change` identifier always gets its first outcome, as long as the register
    /// remembers it ([`crate::CONFIG_OUTCOMES_MAX`] later changes).
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the change is undecided, or surely not made.
    pub async fn submit_config(
        &self,
        at_version: u64,
        change: Arc<str>,
        text: Arc<str>,
        patience: Duration,
    ) -> Result<SubmitOutcome> {
        let change = ConfigChange {
            at_version,
            change,
            text,
        };
        self.run_change(RegisterKey::Config, patience, |value| change.apply(value))
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
        patience: Duration,
    ) -> Result<u64> {
        let config = NumberedConfig { version, text };
        self.run_change(RegisterKey::Config, patience, |value| config.apply(value))
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
        patience: Duration,
    ) -> Result<ClaimOutcome> {
        self.run_change(RegisterKey::Act(act), patience, |value| {
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
        patience: Duration,
    ) -> Result<SettleOutcome> {
        self.run_change(RegisterKey::Act(act), patience, |value| {
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
        patience: Duration,
    ) -> Result<SettleOutcome> {
        self.run_change(RegisterKey::Act(act), patience, |value| {
            release_act(claim, value)
        })
        .await
    }

    /// Reads the state of an act; `None` when its key is free.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time.
    pub async fn read_act(&self, act: ActKey, patience: Duration) -> Result<Option<ActState>> {
        self.read(RegisterKey::Act(act), patience, read_act).await
    }

    /// Reads in one exchange without disk writes if a quorum agrees, else by a full round.
    async fn read<T: Send>(
        &self,
        key: RegisterKey,
        patience: Duration,
        project: fn(Option<&RegisterValue>) -> RegisterChange<T>,
    ) -> Result<T> {
        let call = self.start_call(patience);
        if let AgreedRead::Agreed(accepted) = self.read_agreed(&call, &key).await {
            let value = accepted.as_ref().map(|accepted| &*accepted.value);
            if let RegisterChange::Keep(outcome) = project(value) {
                return Ok(outcome);
            }
        }
        let rest = call.deadline().since(self.timer.now());
        self.run_change(key, rest, project).await
    }

    /// Asks all voters what they accepted, without a promise.
    async fn read_agreed(&self, call: &CallProgress, key: &RegisterKey) -> AgreedRead {
        let set = self.voters();
        if set.epoch == 0 {
            return AgreedRead::Split;
        }
        let body = RequestBody::Read { key: key.clone() };
        let requests = requests_to_all(&set, &body);
        let mut replies = self.carrier.send_all(&set.members, requests);
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
                None => return AgreedRead::Split,
            }
        }
        AgreedRead::of(seen, &set)
    }
}

/// What a quorum of voters told about a register.
enum AgreedRead {
    /// All accepted this value in the same round, so it is chosen; or none accepted any.
    Agreed(Option<AcceptedValue>),
    /// The voters differ, or too few answered.
    Split,
}

impl AgreedRead {
    fn of(mut seen: Vec<Option<AcceptedValue>>, set: &VoterSet) -> Self {
        let ballot = |accepted: &Option<AcceptedValue>| accepted.as_ref().map(|a| a.ballot);
        let Some(first) = seen.pop() else {
            return Self::Split;
        };
        let unanimous = seen.iter().all(|other| ballot(other) == ballot(&first));
        if unanimous && counts_as_votes(first.as_ref(), set) {
            return Self::Agreed(first);
        }
        Self::Split
    }
}
