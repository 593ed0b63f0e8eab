//! The connection pools of one process, by service and target.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasher, RandomState},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use fulmarweir_base::{ServiceName, TargetName, TimerService, lock};
use tokio_util::task::TaskTracker;

use crate::connection_pool::{ConnectionPool, PoolUsage, TargetShare};

const STRIPE_COUNT: usize = 16;

type PoolKey = (ServiceName, TargetName);
type PoolStripe = Mutex<HashMap<PoolKey, ConnectionPool>>;

/// Connection pools by service and target, striped over several locks.
#[derive(Debug)]
pub struct PoolTable {
    stripes: [PoolStripe; STRIPE_COUNT],
    hasher: RandomState,
    timer: TimerService,
    tasks: TaskTracker,
}

impl PoolTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(timer: TimerService) -> Self {
        Self {
            stripes: std::array::from_fn(|_| PoolStripe::default()),
            hasher: RandomState::new(),
            timer,
            tasks: TaskTracker::new(),
        }
    }

    /// Returns the pool of a target, if this VM has a share of the target.
    #[must_use]
    pub fn get(&self, service: &ServiceName, target: &TargetName) -> Option<ConnectionPool> {
        let key = (service.clone(), target.clone());
        self.stripe(&key).get(&key).cloned()
    }

    /// Sets the share of a target.
    ///
    /// Creates a pool when the target has none, or when its address changed; the old pool then
    /// finishes its requests in flight and closes.
    pub fn set_share(
        &self,
        service: &ServiceName,
        target: &TargetName,
        address: SocketAddr,
        share: TargetShare,
    ) {
        let key = (service.clone(), target.clone());
        let mut pools = self.stripe(&key);
        if let Some(pool) = pools.get(&key) {
            if pool.address() == address {
                pool.set_share(share);
                return;
            }
            pool.set_share(TargetShare::default());
        }
        let pool = ConnectionPool::new(address, share, self.timer.clone(), self.tasks.clone());
        pools.insert(key, pool);
    }

    /// Removes every pool that is not in `kept`; requests in flight finish.
    pub fn retain(&self, kept: &HashSet<(ServiceName, TargetName)>) {
        for stripe in &self.stripes {
            let mut pools = lock(stripe);
            pools.retain(|key, pool| {
                let stays = kept.contains(key);
                if !stays {
                    pool.set_share(TargetShare::default());
                }
                stays
            });
        }
    }

    /// Returns the sum of connections and requests in flight over all pools.
    #[must_use]
    pub fn usage(&self) -> PoolUsage {
        let mut total = PoolUsage::default();
        for stripe in &self.stripes {
            for pool in lock(stripe).values() {
                let usage = pool.usage();
                total.connections += usage.connections;
                total.running += usage.running;
            }
        }
        total
    }

    /// Removes all pools and waits until requests in flight are done and connections closed.
    pub async fn close(&self) {
        self.retain(&HashSet::new());
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn stripe(&self, key: &PoolKey) -> MutexGuard<'_, HashMap<PoolKey, ConnectionPool>> {
        let hash = self.hasher.hash_one(key);
        let index = usize::try_from(hash % STRIPE_COUNT as u64).unwrap_or_default();
        lock(&self.stripes[index])
    }
}
