//! Loads of all targets of one service, in a hash table with lock striping.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TargetName, TargetRecord, lock};

use crate::load::{TargetLoad, TargetRating, TargetSignal};

const STRIPE_COUNT: usize = 16;

type LoadMap = HashMap<TargetName, TargetLoad>;

/// Loads by target name, in stripes with a lock each.
#[derive(Debug)]
pub(crate) struct LoadTable {
    hasher: RandomState,
    stripes: [Mutex<LoadMap>; STRIPE_COUNT],
}

impl Default for LoadTable {
    fn default() -> Self {
        Self {
            hasher: RandomState::new(),
            stripes: std::array::from_fn(|_| Mutex::default()),
        }
    }
}

impl LoadTable {
    fn stripe(&self, name: &TargetName) -> MutexGuard<'_, LoadMap> {
        let hash = self.hasher.hash_one(name);
        let index = usize::try_from(hash % STRIPE_COUNT as u64).unwrap_or_default();
        lock(&self.stripes[index])
    }

    fn with_load<T>(
        &self,
        target: &TargetRecord,
        now: MonoTime,
        apply: impl FnOnce(&mut TargetLoad) -> T,
    ) -> T {
        let mut stripe = self.stripe(&target.name);
        if let Some(load) = stripe.get_mut(&target.name) {
            load.reset_if_restarted(target, now);
            return apply(load);
        }
        let load = stripe.entry(target.name.clone());
        apply(load.or_insert_with(|| TargetLoad::new(target, now)))
    }

    pub(crate) fn rate(
        &self,
        target: &TargetRecord,
        version: u64,
        median: Option<Duration>,
        now: MonoTime,
    ) -> TargetRating {
        self.with_load(target, now, |load| load.rate(version, median, now))
    }

    pub(crate) fn attempt_sent(&self, target: &TargetRecord, now: MonoTime) {
        self.with_load(target, now, TargetLoad::attempt_sent);
    }

    pub(crate) fn attempt_ended(&self, target: &TargetRecord, signal: TargetSignal, now: MonoTime) {
        self.with_load(target, now, |load| load.attempt_ended(signal, now));
    }

    /// Passes the load of one target to `read_load`, if the target is known.
    pub(crate) fn read<T>(
        &self,
        name: &TargetName,
        read_load: impl FnOnce(&TargetLoad) -> T,
    ) -> Option<T> {
        self.stripe(name).get(name).map(read_load)
    }

    /// Removes targets that have no attempts in flight and for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&TargetName) -> bool) {
        for stripe in &self.stripes {
            lock(stripe).retain(|name, load| keep(name) || !load.is_idle());
        }
    }
}
