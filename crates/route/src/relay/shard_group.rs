//! How the shards of a search are divided among brokers.
//!
//! Load patterns: the nearest targets of many shards are in another data centre, so one message to
//! a VM there replaces many; a search over many shards would keep a single small VM busy for longer
//! than its callers wait, while the VMs around it are idle.

use std::{collections::BTreeMap, sync::Arc};

use super::target_tracker::Locality;

/// Minimum number of shards for which messages to brokers in another data centre are cheaper than
/// one message to each target.
const HANDOVER_MIN: usize = 4;
/// Most shards near this VM that it queries by itself.
const DIRECT_MAX: usize = 16;
/// Most shards that one broker is given of a search, if these are spread evenly over its shards.
const GROUP_MAX: usize = 10;

/// Shards of a search whose nearest targets are in the same data centre, for one broker there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardGroup {
    /// Data centre of the nearest targets.
    pub centre: Arc<str>,
    /// Identifies the group on all VMs. It does not change when a few shards lose their targets, so
    /// that the same brokers keep serving the group with their open connections.
    pub key: Arc<str>,
    /// Indexes of the shards in the list of services.
    pub sub_requests: Vec<usize>,
}

/// Where the nearest target of a shard is.
#[derive(Clone, Debug)]
pub(crate) struct NearestTarget {
    pub(crate) centre: Arc<str>,
    pub(crate) locality: Locality,
}

/// Returns the groups in which the shards of a search are handed over, given the nearest target of
/// each. This VM queries the other shards itself.
pub(crate) fn group_shards(
    services: &[Arc<str>],
    nearest: &[Option<NearestTarget>],
) -> Vec<ShardGroup> {
    group_shards_if(services, nearest, |locality, count| match locality {
        Locality::Centre => count > DIRECT_MAX,
        Locality::Region => count >= HANDOVER_MIN,
        Locality::Far => false,
    })
}

/// Returns the groups in which all shards of a search are handed over.
pub(crate) fn group_all_shards(
    services: &[Arc<str>],
    nearest: &[Option<NearestTarget>],
) -> Vec<ShardGroup> {
    group_shards_if(services, nearest, |_, _| true)
}

/// Groups the shards for which `is_handed_over` returns true, given how far the nearest target is and
/// for how many shards it is in the same data centre.
fn group_shards_if(
    services: &[Arc<str>],
    nearest: &[Option<NearestTarget>],
    is_handed_over: impl Fn(Locality, usize) -> bool,
) -> Vec<ShardGroup> {
    let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for target in nearest.iter().flatten() {
        *counts.entry(&target.centre).or_default() += 1;
    }
    let mut groups: BTreeMap<(&Arc<str>, usize), ShardGroup> = BTreeMap::new();
    for (index, target) in nearest.iter().enumerate() {
        let Some(target) = target else { continue };
        let count = counts[&target.centre];
        if !is_handed_over(target.locality, count) {
            continue;
        }
        // Blocks of the whole list, so that a shard without a target does not move the others.
        let blocks = count.div_ceil(GROUP_MAX);
        let block = index * blocks / services.len();
        let first = (block * services.len()).div_ceil(blocks);
        let group = groups.entry((&target.centre, block));
        let group = group.or_insert_with(|| ShardGroup {
            centre: Arc::clone(&target.centre),
            key: Arc::clone(&services[first]),
            sub_requests: Vec::new(),
        });
        group.sub_requests.push(index);
    }
    groups.into_values().collect()
}
