//! Shards that other data centres hold.
//!
//! Each other data centre that holds shards of a service is represented by one synthetic record
//! among the targets of the service. If the local targets hold no complete index version, these
//! records supply the missing shards. Otherwise they receive only hedges and retries for which no
//! local replica is left. An attempt at a synthetic record goes to a contact VM of its data centre,
//! and the contact VM picks the target.

use std::sync::Arc;

use fulmarweir_base::{
    CentreName, ServiceName, ShardHolding, TargetName, TargetRecord, TargetState, shard_for_key,
};
use fulmarweir_fleet::{FleetState, ShardBitmap, VmIdentity};
use fulmarweir_route::TargetView;

/// Maximum number of concurrent requests to another data centre, per service and VM.
const REMOTE_CENTRE_SLOTS: u32 = 32;
/// Number of distinct hash values in the names of synthetic records.
const NAME_HASH_VALUES: u32 = u32::MAX;

/// Another data centre that holds shards of a service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RemoteCentre {
    /// Synthetic record that represents the data centre among the targets.
    pub(crate) record: TargetRecord,
    /// VMs of the data centre that accept sub-queries.
    pub(crate) contacts: Vec<Arc<VmIdentity>>,
}

/// Returns the data centres other than `own` that hold shards of `service`.
pub(crate) fn find_remote_centres(
    fleet: &FleetState,
    own: &CentreName,
    service: &ServiceName,
) -> Vec<RemoteCentre> {
    let others = fleet.centres().filter(|record| record.centre != *own);
    let mut remote_centres = Vec::new();
    for other in others {
        let Some(shards) = fleet.centre_shards(&other.centre, service) else {
            continue;
        };
        let versions = holdings_of(&shards.spans);
        let Some(contact) = other.contacts.first().filter(|_| !versions.is_empty()) else {
            continue;
        };
        let record = TargetRecord {
            name: synthetic_name(&other.centre),
            service: service.clone(),
            address: contact.peers,
            incarnation: 0,
            state: TargetState::Serving,
            slots: REMOTE_CENTRE_SLOTS,
            connections: 1,
            versions,
        };
        let contacts = other.contacts.clone();
        remote_centres.push(RemoteCentre { record, contacts });
    }
    remote_centres
}

fn holdings_of(bitmaps: &[ShardBitmap]) -> Vec<ShardHolding> {
    let mut holdings = Vec::new();
    for bitmap in bitmaps {
        let held = (0..bitmap.of).filter(|shard| bitmap.has_shard(*shard));
        holdings.extend(held.map(|shard| ShardHolding {
            version: bitmap.version,
            shard,
            of: bitmap.of,
        }));
    }
    holdings
}

/// Returns the synthetic records, reduced to the shards that `local` lacks.
pub(crate) fn records_of_missing_shards(
    remote_centres: &[RemoteCentre],
    local: &TargetView,
) -> Vec<TargetRecord> {
    let is_missing = |holding: &ShardHolding| {
        let index = local.version(holding.version);
        index.is_none_or(|index| index.holders(holding.shard).is_empty())
    };
    let records = remote_centres.iter().map(|centre| {
        let mut record = centre.record.clone();
        record.versions.retain(is_missing);
        record
    });
    records
        .filter(|record| !record.versions.is_empty())
        .collect()
}

/// Returns a name for the synthetic record of `centre`. No target would choose this name for
/// itself, and it fits the length limit.
fn synthetic_name(centre: &CentreName) -> TargetName {
    let hash = shard_for_key(centre.as_str(), NAME_HASH_VALUES);
    let name = format!("0.other-centre.{hash:08x}");
    name.parse().expect("a constant prefix and a number")
}
