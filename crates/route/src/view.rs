//! An immutable snapshot of the targets that one service may use now.

use std::{collections::BTreeMap, sync::Arc};

use fulmarweir_base::{SHARD_COUNT_MAX, ShardHolding, TargetRecord, TargetState};

/// The holders of one shard of one version.
#[derive(Clone, Debug)]
pub(crate) struct ShardHolders {
    shard: u32,
    pub(crate) targets: Vec<Arc<TargetRecord>>,
}

/// Where the shards of one index version are.
#[derive(Clone, Debug)]
pub struct VersionIndex {
    /// Number of the version.
    pub version: u64,
    /// Shards that the version has.
    pub of: u32,
    shards: Vec<ShardHolders>,
    far: Vec<Arc<TargetRecord>>,
}

impl VersionIndex {
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
            far: Vec::new(),
        }
    }

    /// Shards that have at least one holder.
    #[must_use]
    pub fn held(&self) -> u32 {
        u32::try_from(self.shards.len()).unwrap_or(u32::MAX)
    }

    /// Whether every shard has a holder.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held() == self.of
    }

    /// The targets that hold `shard`, ordered by name.
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
            .map_or(&[], |place| &self.shards[place].targets)
    }

    /// Stand-ins of other data centres that hold `shard`, for when no target here can be asked.
    pub(crate) fn far_holders(&self, shard: u32) -> Vec<Arc<TargetRecord>> {
        let holding = ShardHolding {
            version: self.version,
            shard,
            of: self.of,
        };
        let holds = |record: &&Arc<TargetRecord>| record.versions.contains(&holding);
        self.far.iter().filter(holds).cloned().collect()
    }

    /// Compares held shares `held / of` without rounding.
    fn covers_more_than(&self, other: &Self) -> bool {
        let left = u64::from(self.held()) * u64::from(other.of);
        let right = u64::from(other.held()) * u64::from(self.of);
        left > right
    }
}

/// The targets of one service that may be used now, by version and shard.
///
/// ```
/// use fulmarweir_route::TargetView;
///
/// let view = TargetView::build(Vec::new());
/// assert!(view.newest_complete().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    versions: Vec<VersionIndex>,
    targets: Vec<Arc<TargetRecord>>,
    far: Vec<Arc<TargetRecord>>,
}

impl TargetView {
    /// Indexes the serving targets among `records`; all belong to one service.
    ///
    /// Holdings out of range are ignored. Where targets disagree on the shard
    /// count of a version, the count with most holdings stands.
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
        let mut versions: Vec<VersionIndex> = Vec::with_capacity(groups.len());
        for (version, counts) in groups {
            let most = counts
                .into_iter()
                .max_by_key(|(of, holdings)| (holdings.len(), std::cmp::Reverse(*of)));
            if let Some((of, mut holdings)) = most {
                versions.push(VersionIndex::build(version, &mut holdings, of));
            }
        }
        versions.reverse();
        Self {
            versions,
            targets,
            far: Vec::new(),
        }
    }

    /// Adds records that stand for other data centres.
    ///
    /// They get only attempts for which no target of the view is left: a hedge or retry of a
    /// shard whose other replicas are loaded, ejected or tried. They complete no version.
    #[must_use]
    pub fn with_remote_centres(mut self, records: Vec<TargetRecord>) -> Self {
        self.far = records.into_iter().map(Arc::new).collect();
        for index in &mut self.versions {
            let has_version = |record: &&Arc<TargetRecord>| {
                let mut versions = record.versions.iter();
                versions.any(|holding| holding.version == index.version)
            };
            index.far = self.far.iter().filter(has_version).cloned().collect();
        }
        self
    }

    /// The records that stand for other data centres, in the order given.
    #[must_use]
    pub fn far(&self) -> &[Arc<TargetRecord>] {
        &self.far
    }

    /// The versions held, newest first.
    #[must_use]
    pub fn versions(&self) -> &[VersionIndex] {
        &self.versions
    }

    /// The serving targets, in the order given.
    #[must_use]
    pub fn targets(&self) -> &[Arc<TargetRecord>] {
        &self.targets
    }

    /// The index of `version`, if any target holds a shard of it.
    #[must_use]
    pub fn version(&self, version: u64) -> Option<&VersionIndex> {
        self.versions.iter().find(|index| index.version == version)
    }

    /// The newest version of which every shard has a holder.
    #[must_use]
    pub fn newest_complete(&self) -> Option<&VersionIndex> {
        self.versions.iter().find(|index| index.is_complete())
    }

    /// The version to pin: the newest complete one that is at least `min_version`,
    /// else the newest of those with the most coverage.
    #[must_use]
    pub fn pin(&self, min_version: u64) -> Option<&VersionIndex> {
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
