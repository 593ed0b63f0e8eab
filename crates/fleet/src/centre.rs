//! The replicated table of data centres: their contacts and the shards that they hold.

use std::{collections::BTreeMap, sync::Arc};

use fulmarweir_base::{CentreName, MonoTime, ServiceName, TargetState, rendezvous_weight};
use serde::{Deserialize, Serialize};

use crate::{VmIdentity, hash::entry_digest, lease::LeaseTable};

const SHARDS_PER_WORD: u32 = 64;

/// Summary of a data centre, written by one of its contacts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CentreRecord {
    /// The data centre.
    pub centre: CentreName,
    /// Version of this summary; a higher version replaces a lower one.
    pub stamp: u64,
    /// VMs that communicate with other data centres.
    pub contacts: Vec<Arc<VmIdentity>>,
    /// Number of live VMs.
    pub live_vms: u32,
    /// Configuration version that the writer of the summary has applied.
    pub config_version: u64,
}

/// Bitmap of the shards of one index version that a data centre holds.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ShardBitmap {
    /// Number of the index version.
    pub version: u64,
    /// Total number of shards of the version.
    pub of: u32,
    /// One bit per shard, the lowest shard in the lowest bit.
    pub shards: Vec<u64>,
}

impl ShardBitmap {
    /// Whether a serving target of the data centre holds `shard`.
    #[must_use]
    pub fn has_shard(&self, shard: u32) -> bool {
        let word = usize::try_from(shard / SHARDS_PER_WORD).unwrap_or(usize::MAX);
        self.shards
            .get(word)
            .is_some_and(|bits| bits >> (shard % SHARDS_PER_WORD) & 1 == 1)
    }

    fn add(&mut self, shard: u32) {
        let word = usize::try_from(shard / SHARDS_PER_WORD).unwrap_or(usize::MAX);
        if let Some(bits) = self.shards.get_mut(word) {
            *bits |= 1 << (shard % SHARDS_PER_WORD);
        }
    }
}

/// Shards of one service that a data centre holds.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServiceShards {
    /// The data centre.
    pub centre: CentreName,
    /// The service.
    pub service: ServiceName,
    /// Version of this summary; a higher version replaces a lower one.
    pub stamp: u64,
    /// Shards per index version; empty if no target is left.
    pub spans: Vec<ShardBitmap>,
}

/// Digest of all records of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreDigest {
    /// The data centre.
    pub centre: CentreName,
    /// XOR of the hashes of the records.
    pub digest: u64,
}

/// Records of data centres that are sent to other VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreUpdates {
    /// Summaries of data centres.
    pub centres: Vec<CentreRecord>,
    /// Shards of each service and data centre.
    pub holdings: Vec<ServiceShards>,
}

impl CentreUpdates {
    pub(crate) fn is_empty(&self) -> bool {
        self.centres.is_empty() && self.holdings.is_empty()
    }
}

/// All known data centres, including that of this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct CentreTable {
    centres: BTreeMap<CentreName, CentreRecord>,
    holdings: BTreeMap<CentreName, BTreeMap<ServiceName, ServiceShards>>,
    heard: BTreeMap<CentreName, MonoTime>,
    probed: BTreeMap<CentreName, MonoTime>,
    digest: u64,
}

impl CentreTable {
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn get(&self, centre: &CentreName) -> Option<&CentreRecord> {
        self.centres.get(centre)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &CentreRecord> {
        self.centres.values()
    }

    pub(crate) fn holdings(&self, centre: &CentreName) -> impl Iterator<Item = &ServiceShards> {
        self.holdings
            .get(centre)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    pub(crate) fn holding(
        &self,
        centre: &CentreName,
        service: &ServiceName,
    ) -> Option<&ServiceShards> {
        self.holdings.get(centre)?.get(service)
    }

    pub(crate) fn record_heard(&mut self, centre: &CentreName, now: MonoTime) {
        self.heard.insert(centre.clone(), now);
    }

    pub(crate) fn heard_at(&self, centre: &CentreName) -> Option<MonoTime> {
        self.heard.get(centre).copied()
    }

    pub(crate) fn record_probe(&mut self, centre: &CentreName, now: MonoTime) {
        self.probed.insert(centre.clone(), now);
    }

    pub(crate) fn probed_at(&self, centre: &CentreName) -> Option<MonoTime> {
        self.probed.get(centre).copied()
    }

    /// Merges the records that are newer than the known ones, and returns those.
    pub(crate) fn merge(&mut self, updates: CentreUpdates) -> CentreUpdates {
        let mut accepted = CentreUpdates::default();
        for record in updates.centres {
            if self.merge_centre(&record) {
                accepted.centres.push(record);
            }
        }
        for record in updates.holdings {
            if self.merge_holding(&record) {
                accepted.holdings.push(record);
            }
        }
        accepted
    }

    pub(crate) fn digests(&self) -> Vec<CentreDigest> {
        let mut digests: BTreeMap<&CentreName, u64> = BTreeMap::new();
        for (name, record) in &self.centres {
            *digests.entry(name).or_default() ^= entry_digest(record);
        }
        for (name, records) in &self.holdings {
            for record in records.values() {
                *digests.entry(name).or_default() ^= entry_digest(record);
            }
        }
        let pairs = digests.into_iter();
        pairs
            .map(|(centre, digest)| CentreDigest {
                centre: centre.clone(),
                digest,
            })
            .collect()
    }

    /// Returns the records of every data centre whose digest is not among `others`.
    pub(crate) fn differing(&self, others: &[CentreDigest]) -> CentreUpdates {
        let mut updates = CentreUpdates::default();
        for own in self.digests() {
            if others.contains(&own) {
                continue;
            }
            updates
                .centres
                .extend(self.centres.get(&own.centre).cloned());
            updates.holdings.extend(self.holdings(&own.centre).cloned());
        }
        updates
    }

    /// Returns all records of one data centre.
    pub(crate) fn of_centre(&self, centre: &CentreName) -> CentreUpdates {
        CentreUpdates {
            centres: self.centres.get(centre).cloned().into_iter().collect(),
            holdings: self.holdings(centre).cloned().collect(),
        }
    }

    fn merge_centre(&mut self, record: &CentreRecord) -> bool {
        let known = self.centres.get(&record.centre);
        let rank = |record: &CentreRecord| (record.stamp, entry_digest(record));
        if known.is_some_and(|known| rank(known) >= rank(record)) {
            return false;
        }
        self.digest ^= known.map_or(0, entry_digest) ^ entry_digest(record);
        self.centres.insert(record.centre.clone(), record.clone());
        true
    }

    fn merge_holding(&mut self, record: &ServiceShards) -> bool {
        let services = self.holdings.entry(record.centre.clone()).or_default();
        let known = services.get(&record.service);
        let rank = |record: &ServiceShards| (record.stamp, entry_digest(record));
        if known.is_some_and(|known| rank(known) >= rank(record)) {
            return false;
        }
        self.digest ^= known.map_or(0, entry_digest) ^ entry_digest(record);
        services.insert(record.service.clone(), record.clone());
        true
    }
}

/// Chooses the contacts of a data centre by rendezvous hashing; the first one writes its
/// summary.
pub(crate) fn choose_contacts(live: &[Arc<VmIdentity>], count: usize) -> Vec<Arc<VmIdentity>> {
    let mut contacts = live.to_vec();
    contacts.sort_by_cached_key(|vm| std::cmp::Reverse(rendezvous_weight(&vm.name, &vm.centre)));
    contacts.truncate(count);
    contacts
}

/// Returns the shards that usable targets hold, by service.
pub(crate) fn summarize_holdings(leases: &LeaseTable) -> BTreeMap<ServiceName, Vec<ShardBitmap>> {
    let mut spans: BTreeMap<ServiceName, BTreeMap<(u64, u32), ShardBitmap>> = BTreeMap::new();
    for (_, entry) in leases.entries() {
        let record = &entry.change.record;
        if entry.change.gone || record.state != TargetState::Serving {
            continue;
        }
        let versions = spans.entry(record.service.clone()).or_default();
        for holding in &record.versions {
            let key = (holding.version, holding.of);
            let words = usize::try_from(holding.of.div_ceil(SHARDS_PER_WORD)).unwrap_or_default();
            let span = versions.entry(key).or_insert_with(|| ShardBitmap {
                version: holding.version,
                of: holding.of,
                shards: vec![0; words],
            });
            span.add(holding.shard);
        }
    }
    let services = spans.into_iter();
    services
        .map(|(service, versions)| (service, versions.into_values().collect()))
        .collect()
}
