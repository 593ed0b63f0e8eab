//! Shards that only other data centres hold.
//!
//! A service without a complete version here is completed by stand-in records,
//! one for each data centre that holds missing shards. An attempt at such a
//! record goes to a contact VM of that data centre, which picks the target.

use std::sync::Arc;

use fulmarweir_base::{
    CentreName, ServiceName, ShardHolding, TargetName, TargetRecord, TargetState, shard_for_key,
};
use fulmarweir_fleet::{FleetState, ShardSpan, VmIdentity};
use fulmarweir_route::TargetView;

/// Requests that another data centre is offered at once, for each service and VM.
const SPILL_SLOTS: u32 = 32;
/// Parts of the hash space that names of stand-in records are drawn from.
const SPILL_NAME_PARTS: u32 = u32::MAX;

/// Another data centre that holds shards missing here.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SpillRoute {
    /// Stands for the data centre among the targets.
    pub(crate) record: TargetRecord,
    /// VMs there that take sub-queries.
    pub(crate) contacts: Vec<Arc<VmIdentity>>,
}

/// Routes for the shards of `service` that `local` lacks; none when a version is complete here.
pub(crate) fn spill_routes(
    fleet: &FleetState,
    own: &CentreName,
    service: &ServiceName,
    local: &TargetView,
) -> Vec<SpillRoute> {
    if local.newest_complete().is_some() {
        return Vec::new();
    }
    let others = fleet.centres().filter(|record| record.centre != *own);
    let mut routes = Vec::new();
    for other in others {
        let Some(holding) = fleet.centre_holding(&other.centre, service) else {
            continue;
        };
        let versions = missing_holdings(local, &holding.spans);
        let Some(contact) = other.contacts.first().filter(|_| !versions.is_empty()) else {
            continue;
        };
        let record = TargetRecord {
            name: route_name(&other.centre),
            service: service.clone(),
            address: contact.peers,
            incarnation: 0,
            state: TargetState::Serving,
            slots: SPILL_SLOTS,
            connections: 1,
            versions,
        };
        let contacts = other.contacts.clone();
        routes.push(SpillRoute { record, contacts });
    }
    routes
}

fn missing_holdings(local: &TargetView, spans: &[ShardSpan]) -> Vec<ShardHolding> {
    let mut holdings = Vec::new();
    for span in spans {
        let held_here = local.version(span.version);
        for shard in (0..span.of).filter(|shard| span.has_shard(*shard)) {
            let is_here = held_here.is_some_and(|index| !index.holders(shard).is_empty());
            if !is_here {
                holdings.push(ShardHolding {
                    version: span.version,
                    shard,
                    of: span.of,
                });
            }
        }
    }
    holdings
}

/// A name for the route that no target would give itself, and that fits the length limit.
fn route_name(centre: &CentreName) -> TargetName {
    let hash = shard_for_key(centre.as_str(), SPILL_NAME_PARTS);
    let name = format!("0.other-centre.{hash:08x}");
    name.parse().expect("a constant prefix and a number")
}
