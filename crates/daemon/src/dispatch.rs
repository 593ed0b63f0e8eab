//! Sends one attempt to a target.

use fulmarweir_base::TargetRecord;
use fulmarweir_conf::ServicePlan;
use fulmarweir_pool::{LinkShare, TargetAnswer, TargetError, TargetFault, TargetRequest};

use crate::node::NodeState;

/// Sends `request` to `target` over this VM's own link.
pub(crate) async fn send_attempt(
    node: &NodeState,
    plan: &ServicePlan,
    target: &TargetRecord,
    request: TargetRequest,
) -> Result<TargetAnswer, TargetError> {
    let share = LinkShare {
        connections: plan.connections.min(target.connections),
        concurrency: plan.slots.min(target.slots),
    };
    node.links
        .set_share(&target.service, &target.name, target.address, share);
    let Some(link) = node.links.get(&target.service, &target.name) else {
        return Err(TargetError::not_run(TargetFault::NoShare));
    };
    link.send(request).await
}
