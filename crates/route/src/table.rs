//! Loads of all targets of one service, in shards under their own locks.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TargetName, TargetRecord, lock};

use crate::load::{TargetLoad, TargetRating, TargetSignal};

const LOCK_COUNT: usize = 16;

type LoadMap = HashMap<TargetName, TargetLoad>;

/// Loads by target name.
#[derive(Debug)]
pub(crate) struct LoadTable {
    hasher: RandomState,
    shards: [Mutex<LoadMap>; LOCK_COUNT],
}

impl Default for LoadTable {
    fn default() -> Self {
        Self {
            hasher: RandomState::new(),
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }
}

impl LoadTable {
    fn shard(&self, name: &TargetName) -> MutexGuard<'_, LoadMap> {
        let hash = self.hasher.hash_one(name);
        let place = usize::try_from(hash % LOCK_COUNT as u64).unwrap_or_default();
        lock(&self.shards[place])
    }

    fn with<T>(
        &self,
        target: &TargetRecord,
        now: MonoTime,
        use_load: impl FnOnce(&mut TargetLoad) -> T,
    ) -> T {
        let mut shard = self.shard(&target.name);
        if let Some(load) = shard.get_mut(&target.name) {
            load.refresh(target, now);
            return use_load(load);
        }
        let load = shard.entry(target.name.clone());
        use_load(load.or_insert_with(|| TargetLoad::new(target, now)))
    }

    pub(crate) fn rate(
        &self,
        target: &TargetRecord,
        version: u64,
        median: Option<Duration>,
        now: MonoTime,
    ) -> TargetRating {
        self.with(target, now, |load| load.rate(version, median, now))
    }

    pub(crate) fn attempt_sent(&self, target: &TargetRecord, now: MonoTime) {
        self.with(target, now, TargetLoad::attempt_sent);
    }

    pub(crate) fn attempt_ended(&self, target: &TargetRecord, signal: TargetSignal, now: MonoTime) {
        self.with(target, now, |load| load.attempt_ended(signal, now));
    }

    /// Reads one target's load, if it is known.
    pub(crate) fn read<T>(
        &self,
        name: &TargetName,
        read_load: impl FnOnce(&TargetLoad) -> T,
    ) -> Option<T> {
        self.shard(name).get(name).map(read_load)
    }

    /// Drops idle targets that `keep` does not name.
    pub(crate) fn retain(&self, keep: impl Fn(&TargetName) -> bool) {
        for shard in &self.shards {
            lock(shard).retain(|name, load| keep(name) || !load.is_idle());
        }
    }
}
