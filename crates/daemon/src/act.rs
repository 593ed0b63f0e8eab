//! Runs one act at its target, at most once.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_conf::ServiceConfig;
use fulmarweir_fleet::MemberStatus;
use fulmarweir_quorum::{
    ActClaim, ActKey, ActOutcome as StoredOutcome, ActState, ClaimOutcome, QuorumError,
};
use fulmarweir_route::{ActOutcome, ActParams, ActReply, ActRun, RefusalReason, RouteRefusal};
use sha2::{Digest, Sha256};
use slog::warn;
use tokio::time::sleep;

use crate::{
    node::NodeState,
    run_driver::{RunDriver, RunEvent, RunRequest},
};

/// Divisor of an act's remaining time; the quotient is the timeout of its claim.
const CLAIM_TIME_DIVISOR: u32 = 2;
/// Timeout for recording the outcome of an act or releasing its claim, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 10_000;
const CLAIM_POLL_MIN_MS: u64 = 10;
const CLAIM_POLL_MAX_MS: u64 = 100;
const STATUS_OK: u16 = 200;

/// The outcome of an act for its caller.
pub(crate) enum ActRequestOutcome {
    /// The act ran; `replayed` tells whether an earlier request with the same key ran it.
    Ran { reply: ActReply, replayed: bool },
    /// The act was refused or failed.
    Refused(RouteRefusal),
    /// The idempotency key was used with another body.
    OtherBody,
    /// No quorum of voters accepted the claim; nothing was sent to a target.
    NoClaim,
}

/// An act as requested by its caller.
pub(crate) struct ActRequest {
    pub(crate) service_config: Arc<ServiceConfig>,
    pub(crate) params: ActParams,
    pub(crate) run_request: RunRequest,
    pub(crate) idempotency_key: Option<Arc<str>>,
}

/// Runs an act to completion, even if its caller disconnects.
pub(crate) async fn run_act(node: Arc<NodeState>, request: ActRequest) -> ActRequestOutcome {
    let arrived = node.timer.now();
    let service_deadline = arrived + request.service_config.deadline;
    let deadline = request
        .params
        .deadline
        .unwrap_or(service_deadline)
        .min(service_deadline);
    let Some(key) = request.idempotency_key.clone() else {
        return request_outcome(run_attempts(&node, &request, arrived).await);
    };
    let act = KeyedAct {
        key: ActKey {
            service: request.service_config.name.clone(),
            key,
        },
        claim: new_claim(&node, &request),
    };
    act.run(&node, &request, arrived, deadline).await
}

/// An act with an idempotency key, under which it is claimed before it runs.
struct KeyedAct {
    key: ActKey,
    claim: ActClaim,
}

impl KeyedAct {
    async fn run(
        self,
        node: &Arc<NodeState>,
        request: &ActRequest,
        arrived: MonoTime,
        deadline: MonoTime,
    ) -> ActRequestOutcome {
        loop {
            let timeout = deadline.since(node.timer.now()) / CLAIM_TIME_DIVISOR;
            let claimed = node
                .quorum
                .claim(self.key.clone(), &self.claim, timeout)
                .await;
            let holder = match claimed {
                Ok(ClaimOutcome::Granted) => return self.run_granted(node, request, arrived).await,
                Ok(ClaimOutcome::Finished(outcome)) => return replay(outcome),
                Ok(ClaimOutcome::OtherBody) => return ActRequestOutcome::OtherBody,
                Ok(ClaimOutcome::HeldBy(holder)) => holder,
                Err(report) => return self.abandon_claim(node, *report.current_context()),
            };
            match self.wait_for_holder(node, &holder, deadline).await {
                HolderOutcome::Finished(outcome) => return replay(outcome),
                HolderOutcome::Released => {}
                HolderOutcome::Undecided => return ActRequestOutcome::Refused(UNDECIDED_REFUSAL),
            }
        }
    }

    /// Ends an act whose claim failed. Nothing was sent to a target. If voters may have recorded
    /// the claim, it is released.
    fn abandon_claim(self, node: &Arc<NodeState>, error: QuorumError) -> ActRequestOutcome {
        if error.verdict() != RunVerdict::NotRun {
            self.release(node);
        }
        ActRequestOutcome::NoClaim
    }

    async fn run_granted(
        self,
        node: &Arc<NodeState>,
        request: &ActRequest,
        arrived: MonoTime,
    ) -> ActRequestOutcome {
        let result = run_attempts(node, request, arrived).await;
        match &result {
            Ok(reply) => self.record(node, reply).await,
            Err(refusal) if refusal.verdict == RunVerdict::NotRun => self.release(node),
            // The claim is kept: the act may have run and must not run again.
            Err(_) => {}
        }
        request_outcome(result)
    }

    /// Records the outcome before the caller receives it, so that a resent request finds it.
    async fn record(&self, node: &NodeState, reply: &ActReply) {
        let outcome = StoredOutcome {
            status: STATUS_OK,
            body: reply.body.clone(),
        };
        let timeout = Duration::from_millis(RECORD_TIMEOUT_MS);
        let recorded = node
            .quorum
            .record(self.key.clone(), &self.claim, &outcome, timeout)
            .await;
        if let Err(report) = recorded {
            log_quorum_error(node, "outcome-not-recorded", *report.current_context());
        }
    }

    /// Releases the claim in the background, without delaying the response. Until the release, a
    /// resent request gets the verdict "may have run".
    fn release(self, node: &Arc<NodeState>) {
        let worker = Arc::clone(node);
        node.act_tasks.spawn(async move {
            let timeout = Duration::from_millis(RECORD_TIMEOUT_MS);
            let released = worker
                .quorum
                .release(self.key.clone(), &self.claim, timeout)
                .await;
            if let Err(report) = released {
                log_quorum_error(&worker, "claim-not-released", *report.current_context());
            }
        });
    }

    /// Waits until the request that holds the claim ends, for as long as its VM is alive.
    async fn wait_for_holder(
        &self,
        node: &NodeState,
        holder: &ActClaim,
        deadline: MonoTime,
    ) -> HolderOutcome {
        let mut pause = Duration::from_millis(CLAIM_POLL_MIN_MS);
        while is_running(node, holder) && node.timer.now() + pause < deadline {
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_millis(CLAIM_POLL_MAX_MS));
            let timeout = deadline.since(node.timer.now());
            match node.quorum.read_act(self.key.clone(), timeout).await {
                Ok(Some(ActState::Finished { outcome, .. })) => {
                    return HolderOutcome::Finished(outcome);
                }
                Ok(Some(ActState::Claimed(current))) if current == *holder => {}
                Ok(_) => return HolderOutcome::Released,
                Err(_) => return HolderOutcome::Undecided,
            }
        }
        HolderOutcome::Undecided
    }
}

/// The outcome of the request that held a claim.
enum HolderOutcome {
    /// The act has run.
    Finished(StoredOutcome),
    /// The act has certainly not run under that claim; its key may be claimed again.
    Released,
    /// It is unknown whether the act has run.
    Undecided,
}

/// The refusal of an act for which it is unknown whether it ran.
pub(crate) const UNDECIDED_REFUSAL: RouteRefusal = RouteRefusal {
    reason: RefusalReason::Undecided,
    verdict: RunVerdict::MayHaveRun,
    retry_after: None,
};

fn log_quorum_error(node: &NodeState, event: &'static str, error: QuorumError) {
    warn!(node.log, "{}", event; "error" => %error);
}

fn request_outcome(result: Result<ActReply, RouteRefusal>) -> ActRequestOutcome {
    match result {
        Ok(reply) => ActRequestOutcome::Ran {
            reply,
            replayed: false,
        },
        Err(refusal) => ActRequestOutcome::Refused(refusal),
    }
}

fn replay(outcome: StoredOutcome) -> ActRequestOutcome {
    let reply = ActReply {
        version: 0,
        body: outcome.body,
    };
    ActRequestOutcome::Ran {
        reply,
        replayed: true,
    }
}

fn new_claim(node: &NodeState, request: &ActRequest) -> ActClaim {
    let mut hasher = Sha256::new();
    hasher.update(request.params.key.as_bytes());
    hasher.update([0]);
    hasher.update(&request.run_request.body);
    ActClaim {
        vm: node.settings.name.clone(),
        incarnation: node.incarnation,
        attempt: node.new_number(),
        body: hasher.finalize().into(),
    }
}

/// Whether the VM that holds the claim may still be running the act.
fn is_running(node: &NodeState, holder: &ActClaim) -> bool {
    if holder.vm == node.settings.name {
        return holder.incarnation == node.incarnation;
    }
    let members = lock(&node.fleet).members();
    let known = members
        .iter()
        .find(|member| member.identity.name == holder.vm);
    match known {
        Some(member) => {
            member.identity.boot == holder.incarnation && member.status <= MemberStatus::Suspect
        }
        // The members include no VMs of other data centres; their requests count as running.
        None => true,
    }
}

async fn run_attempts(
    node: &NodeState,
    request: &ActRequest,
    arrived: MonoTime,
) -> Result<ActReply, RouteRefusal> {
    let service_config = &request.service_config;
    let no_targets = RouteRefusal::not_run(RefusalReason::NoTargets, None);
    let view = node.views.get(&service_config.name).ok_or(no_targets)?;
    let params = ActParams {
        arrived: Some(arrived),
        ..request.params.clone()
    };
    let queue = node.admission_queues.get(&service_config.name);
    queue.update_view(&view.targets);
    let now = node.timer.now();
    let permit = queue
        .admit(params.admission(service_config, now), now)
        .await?;
    let targets = Arc::clone(&view.targets);
    let now = node.timer.now();
    let started = ActRun::start(
        permit,
        Arc::clone(service_config),
        targets,
        &params,
        now,
        &mut rand::rng(),
    );
    let (mut run, actions) = started?;
    let mut driver = RunDriver::new(node, view, &request.run_request);
    let mut outcome: Option<ActOutcome> = driver.perform(actions);
    while outcome.is_none() {
        let event = driver.next().await;
        let now = node.timer.now();
        let actions = match event {
            RunEvent::Ended(id, outcome) => run.on_reply(id, outcome, now, &mut rand::rng()),
            RunEvent::Wake => run.on_wake(now),
            RunEvent::ViewChanged => {
                run.on_view(Arc::clone(&driver.view().targets));
                Vec::new()
            }
        };
        outcome = driver.perform(actions);
    }
    drop(run);
    queue.poll(node.timer.now());
    match outcome {
        Some(outcome) => outcome.reply,
        None => Err(no_targets),
    }
}
