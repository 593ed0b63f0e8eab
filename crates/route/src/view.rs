//! An immutable snapshot of the usable targets of one service.

use std::{collections::BTreeMap, sync::Arc};

use fulmarweir_base::{SHARD_COUNT_MAX, ShardHolding, TargetRecord, TargetState};

/// The targets that hold one shard of one version.
#[derive(Clone, Debug)]
pub(crate) struct ShardHolders {
    shard: u32,
    pub(crate) targets: Vec<Arc<TargetRecord>>,
}

/// The targets that hold the shards of one index version.
#[derive(Clone, Debug)]
pub struct HolderIndex {
    /// Index version.
    pub version: u64,
    /// Number of shards of the version.
    pub of: u32,
    shards: Vec<ShardHolders>,
    remote: Vec<Arc<TargetRecord>>,
}

impl HolderIndex {
    fn build(version: u64, holdings: &mut Vec<(u32, Arc<TargetRecord>)>, of: u32) -> Self {
        holdings.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        holdings.dedup_by(|a, b| a.0 == b.0 && a.1.name == b.1.name);
        let mut shards: Vec<ShardHolders> = Vec::new();
        for (shard, target) in holdings.drain(..) {
            match shards.last_mut() {
                Some(last) if last.shard == shard => last.targets.push(target),
                _ => shards.push(ShardHolders {
                    shard,
                    targets: vec![target],
                }),
            }
        }
        Self {
            version,
            of,
            shards,
            remote: Vec::new(),
        }
    }

    /// Returns the number of shards with at least one holder.
    #[must_use]
    pub fn held_shards(&self) -> u32 {
        u32::try_from(self.shards.len()).unwrap_or(u32::MAX)
    }

    /// Whether every shard has a holder.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held_shards() == self.of
    }

    /// Returns the targets that hold `shard`, ordered by name.
    #[must_use]
    pub fn holders(&self, shard: u32) -> &[Arc<TargetRecord>] {
        if self.is_complete() {
            return self
                .shards
                .get(shard as usize)
                .map_or(&[], |entry| &entry.targets);
        }
        self.shards
            .binary_search_by_key(&shard, |entry| entry.shard)
            .map_or(&[], |position| &self.shards[position].targets)
    }

    /// Returns the records of other data centres that hold `shard`, to use if no local target is
    /// left.
    pub(crate) fn remote_holders(&self, shard: u32) -> Vec<Arc<TargetRecord>> {
        let holding = ShardHolding {
            version: self.version,
            shard,
            of: self.of,
        };
        let holds = |record: &&Arc<TargetRecord>| record.versions.contains(&holding);
        self.remote.iter().filter(holds).cloned().collect()
    }

    /// Compares the coverage `held_shards / of` of two versions without rounding.
    fn covers_more_than(&self, other: &Self) -> bool {
        let left = u64::from(self.held_shards()) * u64::from(other.of);
        let right = u64::from(other.held_shards()) * u64::from(self.of);
        left > right
    }
}

/// The usable targets of one service, indexed by version and shard.
///
/// ```
/// use fulmarweir_route::TargetView;
///
/// let view = TargetView::build(Vec::new());
/// assert!(view.newest_complete().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    versions: Vec<HolderIndex>,
    targets: Vec<Arc<TargetRecord>>,
    remote: Vec<Arc<TargetRecord>>,
}

impl TargetView {
    /// Indexes the serving targets among `records`, which must belong to one service.
    ///
    /// Holdings out of range are ignored. If targets disagree on the shard count of a version, the
    /// count with the most holdings is used.
    #[must_use]
    pub fn build(records: Vec<TargetRecord>) -> Self {
        type Groups = BTreeMap<u64, BTreeMap<u32, Vec<(u32, Arc<TargetRecord>)>>>;
        let mut groups: Groups = BTreeMap::new();
        let mut targets = Vec::new();
        for record in records {
            if record.state != TargetState::Serving {
                continue;
            }
            let target = Arc::new(record);
            for holding in &target.versions {
                if holding.of > SHARD_COUNT_MAX || holding.shard >= holding.of {
                    continue;
                }
                let counts = groups.entry(holding.version).or_default();
                let holdings = counts.entry(holding.of).or_default();
                holdings.push((holding.shard, Arc::clone(&target)));
            }
            targets.push(target);
        }
        let mut versions: Vec<HolderIndex> = Vec::with_capacity(groups.len());
        for (version, counts) in groups {
            let most_held = counts
                .into_iter()
                .max_by_key(|(of, holdings)| (holdings.len(), std::cmp::Reverse(*of)));
            if let Some((of, mut holdings)) = most_held {
                versions.push(HolderIndex::build(version, &mut holdings, of));
            }
        }
        versions.reverse();
        Self {
            versions,
            targets,
            remote: Vec::new(),
        }
    }

    /// Adds records that each represent another data centre.
    ///
    /// They get only attempts for which no target of the view is left, such as a hedge or retry of
    /// a shard whose replicas are all saturated, ejected or already tried. Their shards do not
    /// count when a version is checked for completeness.
    #[must_use]
    pub fn with_remote_centres(mut self, records: Vec<TargetRecord>) -> Self {
        self.remote = records.into_iter().map(Arc::new).collect();
        for index in &mut self.versions {
            let has_version = |record: &&Arc<TargetRecord>| {
                let mut versions = record.versions.iter();
                versions.any(|holding| holding.version == index.version)
            };
            index.remote = self.remote.iter().filter(has_version).cloned().collect();
        }
        self
    }

    /// Returns the records that represent other data centres, in the order given.
    #[must_use]
    pub fn remote_targets(&self) -> &[Arc<TargetRecord>] {
        &self.remote
    }

    /// Returns the versions with at least one holder, newest first.
    #[must_use]
    pub fn versions(&self) -> &[HolderIndex] {
        &self.versions
    }

    /// Returns the serving targets, in the order given.
    #[must_use]
    pub fn targets(&self) -> &[Arc<TargetRecord>] {
        &self.targets
    }

    /// Returns the holders of `version`, if any target holds a shard of it.
    #[must_use]
    pub fn version(&self, version: u64) -> Option<&HolderIndex> {
        self.versions.iter().find(|index| index.version == version)
    }

    /// Returns the newest version of which every shard has a holder.
    #[must_use]
    pub fn newest_complete(&self) -> Option<&HolderIndex> {
        self.versions.iter().find(|index| index.is_complete())
    }

    /// Returns the version to pin, not older than `min_version`: the newest complete one, or else
    /// the newest of those with the highest coverage.
    #[must_use]
    pub fn pin(&self, min_version: u64) -> Option<&HolderIndex> {
        let allowed = || {
            self.versions
                .iter()
                .filter(move |index| index.version >= min_version)
        };
        let complete = allowed().find(|index| index.is_complete());
        complete.or_else(|| {
            allowed().reduce(|best, index| {
                if index.covers_more_than(best) {
                    index
                } else {
                    best
                }
            })
        })
    }
}
