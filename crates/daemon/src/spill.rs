//! Shards that other data centres hold.
//!
//! Each data centre that holds shards of a service is one stand-in record among
//! the service's targets. A service without a complete version here is completed
//! by them; else they get only hedges and retries for which no replica here is
//! left. An attempt at such a record goes to a contact VM of that data centre,
//! which picks the target.

use std::sync::Arc;

use fulmarweir_base::{
    CentreName, ServiceName, ShardHolding, TargetName, TargetRecord, TargetState, shard_for_key,
};
use fulmarweir_fleet::{FleetState, ShardBitmap, VmIdentity};
use fulmarweir_route::TargetView;

/// Requests that another data centre is offered at once, for each service and VM.
const SPILL_SLOTS: u32 = 32;
/// Parts of the hash space that names of stand-in records are drawn from.
const SPILL_NAME_PARTS: u32 = u32::MAX;

/// Another data centre that holds shards of a service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SpillRoute {
    /// Stands for the data centre among the targets.
    pub(crate) record: TargetRecord,
    /// VMs there that take sub-queries.
    pub(crate) contacts: Vec<Arc<VmIdentity>>,
}

/// Routes to all data centres but `own` that hold shards of `service`.
pub(crate) fn spill_routes(
    fleet: &FleetState,
    own: &CentreName,
    service: &ServiceName,
) -> Vec<SpillRoute> {
    let others = fleet.centres().filter(|record| record.centre != *own);
    let mut routes = Vec::new();
    for other in others {
        let Some(holding) = fleet.centre_shards(&other.centre, service) else {
            continue;
        };
        let versions = holdings_of(&holding.spans);
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

fn holdings_of(spans: &[ShardBitmap]) -> Vec<ShardHolding> {
    let mut holdings = Vec::new();
    for span in spans {
        let held = (0..span.of).filter(|shard| span.has_shard(*shard));
        holdings.extend(held.map(|shard| ShardHolding {
            version: span.version,
            shard,
            of: span.of,
        }));
    }
    holdings
}

/// The stand-in records with only those shards that `local` lacks.
pub(crate) fn missing_records(routes: &[SpillRoute], local: &TargetView) -> Vec<TargetRecord> {
    let is_missing = |holding: &ShardHolding| {
        let index = local.version(holding.version);
        index.is_none_or(|index| index.holders(holding.shard).is_empty())
    };
    let records = routes.iter().map(|route| {
        let mut record = route.record.clone();
        record.versions.retain(is_missing);
        record
    });
    records
        .filter(|record| !record.versions.is_empty())
        .collect()
}

/// A name for the route that no target would give itself, and that fits the length limit.
fn route_name(centre: &CentreName) -> TargetName {
    let hash = shard_for_key(centre.as_str(), SPILL_NAME_PARTS);
    let name = format!("0.other-centre.{hash:08x}");
    name.parse().expect("a constant prefix and a number")
}
