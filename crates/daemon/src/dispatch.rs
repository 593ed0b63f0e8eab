//! Sends one attempt to a target: over this VM's own link, or through a broker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{RunVerdict, TargetName};
use fulmarweir_fleet::VmIdentity;
use fulmarweir_pool::{TargetAnswer, TargetError, TargetFault, TargetRequest};
use fulmarweir_wire::{TrafficClass, WireError, WireFault};

use crate::{
    node::NodeState,
    peer_message::{PeerReply, PeerRequest, SubQuery},
    views::ServiceView,
};

/// Brokers tried after one that has surely not passed the attempt on.
const OTHER_BROKERS_MAX: usize = 2;
/// Time beyond the attempt's deadline in which a broker still tells how it ended.
const BROKER_GRACE_MS: u64 = 75;

/// Sends `request` to `target` and waits for the end of the attempt.
///
/// Dropping the future cancels the attempt, also at a broker.
pub(crate) async fn send_attempt(
    node: &NodeState,
    view: &ServiceView,
    target: &TargetName,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let own = &node.settings.name;
    let brokers = view.brokers_of(target);
    if brokers.iter().any(|broker| broker.name == *own) {
        let sent = send_over_link(node, target, request.clone()).await;
        match sent {
            Err(error) if error.fault == TargetFault::NoShare => {}
            ended => return ended,
        }
    }
    let start = usize::from(rand::random::<u16>());
    let others: Vec<_> = brokers
        .iter()
        .filter(|broker| broker.name != *own)
        .collect();
    let mut last = TargetError::not_run(TargetFault::NoShare);
    for offset in 0..others.len().min(1 + OTHER_BROKERS_MAX) {
        let broker = others[(start + offset) % others.len()];
        match send_to_broker(node, broker, target, &request).await {
            Err(error) if passes_on(&error) => last = error,
            ended => return ended,
        }
    }
    Err(last)
}

/// Whether the broker has not passed the attempt on, so that another one may.
fn passes_on(error: &TargetError) -> bool {
    error.verdict == RunVerdict::NotRun
        && matches!(error.fault, TargetFault::NoShare | TargetFault::Connect)
}

async fn send_over_link(
    node: &NodeState,
    target: &TargetName,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    match node.links.get(&request.service, target) {
        Some(link) => link.send(request).await,
        None => Err(TargetError::not_run(TargetFault::NoShare)),
    }
}

async fn send_to_broker(
    node: &NodeState,
    broker: &Arc<VmIdentity>,
    target: &TargetName,
    request: &TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let now = node.timer.now();
    let query = SubQuery::new(target.clone(), request, now);
    let patience = request.deadline.since(now) + Duration::from_millis(BROKER_GRACE_MS);
    send_sub_query(node, broker.peers, query, patience).await
}

/// Sends an attempt to the broker at `address` and waits for its end.
pub(crate) async fn send_sub_query(
    node: &NodeState,
    address: SocketAddr,
    query: SubQuery,
    patience: Duration,
) -> Result<TargetAnswer, TargetError> {
    let call = PeerRequest::SubQuery(Box::new(query));
    let reply = node
        .peers
        .call(address, TrafficClass::Query, &call, patience)
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
