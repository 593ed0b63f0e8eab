//! The operations on the configuration and act registers that the client offers.

use std::{sync::Arc, time::Duration};

use crate::{
    act::{
        ActClaim, ActOutcome, ActState, ClaimOutcome, SettleOutcome, claim_act, read_act,
        record_act, release_act,
    },
    client::{CallProgress, QuorumClient},
    config::{ConfigChange, ConfigState, SubmitReply, VersionedConfig, read_config},
    error::Result,
    evacuation::{EvacuationOrder, EvacuationSet, evacuation_set, read_evacuations},
    key::{ActKey, RegisterKey},
    member::VoterSet,
    message::{RequestBody, VoterReply},
    round::{accepted_in_epoch, requests_to_all},
    value::{AcceptedValue, RegisterChange, RegisterValue},
};

impl QuorumClient {
    /// Reads the configuration.
    ///
    /// The result is never older than a configuration that any call returned before this call
    /// began.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time.
    pub async fn read_config(&self, timeout: Duration) -> Result<ConfigState> {
        self.read(RegisterKey::Config, timeout, read_config).await
    }

    /// Replaces the configuration by `text` if its version is still `expected_version`.
    ///
    /// A repeated call with the same `change_id` returns the first outcome, as long as the register
    /// keeps it (for [`crate::CONFIG_OUTCOMES_MAX`] later changes).
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the change is undecided or certainly not made; the
    /// error's run verdict says which.
    pub async fn submit_config(
        &self,
        expected_version: u64,
        change_id: Arc<str>,
        text: Arc<str>,
        timeout: Duration,
    ) -> Result<SubmitReply> {
        let change = ConfigChange {
            expected_version,
            change_id,
            text,
        };
        self.run_change(RegisterKey::Config, timeout, |value| change.apply(value))
            .await
    }

    /// Replaces the configuration by `text` if `version` is higher than the current version.
    ///
    /// Returns what the register holds afterwards. Under the same version, that may be the text of
    /// another submitter. Repeating the call changes nothing, so a call that timed out may be repeated.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the change is undecided or certainly not made; the
    /// error's run verdict says which.
    pub async fn set_config_if_newer(
        &self,
        version: u64,
        text: Arc<str>,
        timeout: Duration,
    ) -> Result<ConfigState> {
        let config = VersionedConfig { version, text };
        self.run_change(RegisterKey::Config, timeout, |value| config.apply(value))
            .await
    }

    /// Begins or ends the evacuation of a data centre.
    ///
    /// Returns the set that the register holds afterwards. Repeating the call changes nothing unless
    /// an opposite order was decided in between, so a call that timed out may be repeated.
    ///
    /// All voters must be able to read the register: a voter of protocol version 8 cannot.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the change is undecided or certainly not made; the
    /// error's run verdict says which.
    pub async fn order_evacuation(
        &self,
        order: EvacuationOrder,
        centre: &Arc<str>,
        timeout: Duration,
    ) -> Result<EvacuationSet> {
        self.run_change(RegisterKey::Evacuations, timeout, |value| {
            order.apply(centre, value)
        })
        .await
    }

    /// Reads the evacuated data centres.
    ///
    /// The result is never older than a set that any call returned before this call began. A register
    /// that no voter has accepted a value for is never written, so that a log without orders stays
    /// readable to builds of protocol version 8.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time, or too few voters can read the
    /// register.
    pub async fn read_evacuations(&self, timeout: Duration) -> Result<EvacuationSet> {
        let key = RegisterKey::Evacuations;
        let mut call = self.start_call(timeout);
        loop {
            self.elected_set(&mut call).await?;
            match self.read_from_quorum(&call, &key).await {
                QuorumRead::Decided(accepted) => {
                    let value = accepted.as_ref().map(|accepted| &*accepted.value);
                    return Ok(evacuation_set(value).cloned().unwrap_or_default());
                }
                QuorumRead::Inconclusive(replies) if replies.any_value => {
                    let rest = call.deadline().since(self.timer.now());
                    return self.run_change(key, rest, read_evacuations).await;
                }
                QuorumRead::Inconclusive(replies) if replies.any_other_epoch => {
                    self.finish_abandoned_change(&mut call).await?;
                    self.back_off(&mut call).await?;
                }
                QuorumRead::Inconclusive(_) => return Err(call.timeout_error()),
            }
        }
    }

    /// Claims the right to run an act. Only [`ClaimOutcome::Granted`] grants it.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when the claim was not granted in time. The act must not be
    /// run. Unless the run verdict is not-run, the key may stay claimed until the claim is released
    /// by [`QuorumClient::release`].
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
    /// [`crate::QuorumError::Timeout`] when it is uncertain whether the outcome was recorded. Until
    /// it is, the key stays claimed.
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

    /// Releases a claim, so that another attempt can claim the act.
    ///
    /// Must only be called when the act has certainly not run under this claim and never will.
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

    /// Reads the state of an act, or `None` if its key is not claimed.
    ///
    /// # Errors
    /// [`crate::QuorumError::Timeout`] when no quorum answers in time.
    pub async fn read_act(&self, act: ActKey, timeout: Duration) -> Result<Option<ActState>> {
        self.read(RegisterKey::Act(act), timeout, read_act).await
    }

    /// Reads in one round trip without disk writes if a quorum agrees, and by a full round if not.
    async fn read<T: Send>(
        &self,
        key: RegisterKey,
        timeout: Duration,
        read_value: fn(Option<&RegisterValue>) -> RegisterChange<T>,
    ) -> Result<T> {
        let call = self.start_call(timeout);
        if let QuorumRead::Decided(accepted) = self.read_from_quorum(&call, &key).await {
            let value = accepted.as_ref().map(|accepted| &*accepted.value);
            if let RegisterChange::Keep(outcome) = read_value(value) {
                return Ok(outcome);
            }
        }
        let rest = call.deadline().since(self.timer.now());
        self.run_change(key, rest, read_value).await
    }

    /// Reads the last accepted values of a quorum without a promise.
    async fn read_from_quorum(&self, call: &CallProgress, key: &RegisterKey) -> QuorumRead {
        let set = self.voters();
        if set.epoch == 0 {
            return QuorumRead::Inconclusive(InconclusiveReplies::default());
        }
        let body = RequestBody::Read { key: key.clone() };
        let requests = requests_to_all(&set, &body);
        let mut replies = self.dispatcher.send_all(&set.members, requests);
        let mut values = Vec::new();
        let mut any_other_epoch = false;
        while values.len() < set.quorum() {
            let reply = tokio::select! {
                biased;
                reply = replies.recv() => reply,
                () = self.timer.sleep_until(call.deadline()) => None,
            };
            match reply {
                Some((_, Some(VoterReply::ReadValue { accepted }))) => values.push(accepted),
                Some((_, Some(VoterReply::Moved { epoch } | VoterReply::NotWhole { epoch }))) => {
                    any_other_epoch = true;
                    self.observe_epoch(&epoch);
                }
                Some(_) => {}
                None => {
                    return QuorumRead::Inconclusive(InconclusiveReplies {
                        any_value: values.iter().any(Option::is_some),
                        any_other_epoch,
                    });
                }
            }
        }
        QuorumRead::of(values, &set)
    }
}

/// The result of reading a register from a quorum of voters.
enum QuorumRead {
    /// A quorum accepted this value in the same round, so it is chosen, or a quorum accepted none.
    Decided(Option<AcceptedValue>),
    /// The voters hold different values, or too few replied.
    Inconclusive(InconclusiveReplies),
}

/// What the replies to an inconclusive read say.
#[derive(Clone, Copy, Debug, Default)]
struct InconclusiveReplies {
    /// Whether any voter has accepted a value.
    any_value: bool,
    /// Whether any voter is in another epoch.
    any_other_epoch: bool,
}

impl QuorumRead {
    fn of(mut values: Vec<Option<AcceptedValue>>, set: &VoterSet) -> Self {
        let ballot = |accepted: &Option<AcceptedValue>| accepted.as_ref().map(|a| a.ballot);
        let Some(first) = values.pop() else {
            return Self::Inconclusive(InconclusiveReplies::default());
        };
        let unanimous = values.iter().all(|other| ballot(other) == ballot(&first));
        if unanimous && accepted_in_epoch(first.as_ref(), set) {
            return Self::Decided(first);
        }
        let any_value = first.is_some() || values.iter().any(Option::is_some);
        Self::Inconclusive(InconclusiveReplies {
            any_value,
            any_other_epoch: false,
        })
    }
}
