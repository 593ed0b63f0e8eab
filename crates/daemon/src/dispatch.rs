//! Sends one attempt to a target, over this VM's own pool or through a broker.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{RunVerdict, TargetName, lock};
use fulmarweir_fleet::{TargetKey, VmIdentity};
use fulmarweir_pool::{TargetAnswer, TargetError, TargetFault, TargetRequest};
use fulmarweir_wire::{TrafficClass, WireError, WireFault};

use crate::{
    node::NodeState,
    peer_message::{PeerReply, PeerRequest, SubQuery},
    views::ServiceView,
};

/// Maximum number of further VMs or targets tried after one that has certainly not forwarded or run
/// the attempt.
const FAILOVERS_MAX: usize = 2;
/// Time after an attempt's deadline in which a broker may still report the result, in milliseconds.
const BROKER_GRACE_MS: u64 = 75;

/// Sends `request` to `target` and waits for the result of the attempt.
///
/// Dropping the future cancels the attempt, also at a broker.
pub(crate) async fn send_attempt(
    node: &NodeState,
    view: &ServiceView,
    target: &TargetName,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    if let Some(centre) = view.remote_centre_of(target) {
        return send_with_failover(node, &centre.contacts, None, &request).await;
    }
    let service = request.service.clone();
    let result = send_within_centre(node, view, target, request).await;
    let now = node.timer.now();
    if result.is_ok() && view.record_answer(target, now) {
        let key = TargetKey {
            service,
            name: target.clone(),
        };
        lock(&node.fleet).on_target_alive(&key, now);
    }
    result
}

async fn send_within_centre(
    node: &NodeState,
    view: &ServiceView,
    target: &TargetName,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let own = &node.settings.name;
    let brokers = view.brokers_of(target);
    if brokers.iter().any(|broker| broker.name == *own) {
        let result = send_over_pool(node, target, request.clone()).await;
        match result {
            Err(error) if error.fault == TargetFault::NoShare => {}
            result => return result,
        }
    }
    let others = brokers.iter().filter(|broker| broker.name != *own);
    let others: Vec<_> = others.cloned().collect();
    send_with_failover(node, &others, Some(target), &request).await
}

/// Sends an attempt from another data centre to any local target that holds the shard.
pub(crate) async fn send_to_holder(
    node: &NodeState,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let no_share = TargetError::not_run(TargetFault::NoShare);
    let view = node.views.get(&request.service).ok_or(no_share)?;
    let index = view.local.version(request.version);
    let index = index.filter(|index| index.of == request.of);
    let gone = TargetError::not_run(TargetFault::VersionGone);
    let holders = index.ok_or(gone)?.holders(request.shard);
    let start = usize::from(rand::random::<u16>());
    let mut last = gone;
    for offset in 0..holders.len().min(1 + FAILOVERS_MAX) {
        let holder = &holders[(start + offset) % holders.len()];
        match send_attempt(node, &view, &holder.name, request.clone()).await {
            Err(error) if error.verdict == RunVerdict::NotRun => last = error,
            result => return result,
        }
    }
    Err(last)
}

/// Sends the attempt to one of `vms`, and to another one if the first has not forwarded it.
async fn send_with_failover(
    node: &NodeState,
    vms: &[Arc<VmIdentity>],
    target: Option<&TargetName>,
    request: &TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let start = usize::from(rand::random::<u16>());
    let mut last = TargetError::not_run(TargetFault::NoShare);
    for offset in 0..vms.len().min(1 + FAILOVERS_MAX) {
        let vm = &vms[(start + offset) % vms.len()];
        match send_to_vm(node, vm, target, request).await {
            Err(error) if is_not_forwarded(error) => last = error,
            result => return result,
        }
    }
    Err(last)
}

/// Whether the broker has not forwarded the attempt, so that another broker may.
fn is_not_forwarded(error: TargetError) -> bool {
    error.verdict == RunVerdict::NotRun
        && matches!(error.fault, TargetFault::NoShare | TargetFault::Connect)
}

/// Sends an attempt over this VM's own pool of connections to the target.
pub(crate) async fn send_over_pool(
    node: &NodeState,
    target: &TargetName,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    match node.pools.get(&request.service, target) {
        Some(pool) => pool.send(request).await,
        None => Err(TargetError::not_run(TargetFault::NoShare)),
    }
}

async fn send_to_vm(
    node: &NodeState,
    vm: &VmIdentity,
    target: Option<&TargetName>,
    request: &TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let now = node.timer.now();
    let query = SubQuery::new(target.cloned(), request, now);
    let timeout = request.deadline.since(now) + Duration::from_millis(BROKER_GRACE_MS);
    let request = PeerRequest::SubQuery(Box::new(query));
    let reply = node
        .peers
        .call(vm.peers, TrafficClass::Query, &request, timeout)
        .await;
    match reply {
        Ok(PeerReply::SubQuery(Ok(answer))) => Ok(TargetAnswer {
            body: answer.body,
            load: answer.load,
        }),
        Ok(PeerReply::SubQuery(Err(error))) => Err(error),
        Ok(_) => Err(TargetError::may_have_run(TargetFault::Broken)),
        Err(error) => Err(broker_error(error)),
    }
}

fn broker_error(error: WireError) -> TargetError {
    let fault = match error.fault {
        WireFault::Timeout => TargetFault::Timeout,
        WireFault::Connect | WireFault::Refused => TargetFault::Connect,
        WireFault::Protocol | WireFault::Broken | WireFault::Codec => TargetFault::Broken,
    };
    TargetError {
        fault,
        verdict: error.verdict,
        retry_after: None,
    }
}
