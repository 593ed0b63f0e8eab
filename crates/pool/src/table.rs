//! The links of one process.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasher, RandomState},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use fulmarweir_base::{ServiceName, TargetName, TimerService, lock};
use tokio_util::task::TaskTracker;

use crate::link::{LinkShare, LinkUsage, TargetLink};

const SHARD_COUNT: usize = 16;

type LinkKey = (ServiceName, TargetName);
type LinkShard = Mutex<HashMap<LinkKey, TargetLink>>;

/// Links by service and target, in shards under their own locks.
#[derive(Debug)]
pub struct LinkTable {
    shards: [LinkShard; SHARD_COUNT],
    hasher: RandomState,
    timer: TimerService,
    tasks: TaskTracker,
}

impl LinkTable {
    /// A table without links.
    #[must_use]
    pub fn new(timer: TimerService) -> Self {
        Self {
            shards: std::array::from_fn(|_| LinkShard::default()),
            hasher: RandomState::new(),
            timer,
            tasks: TaskTracker::new(),
        }
    }

    /// The link to a target, if this VM has a share of it.
    #[must_use]
    pub fn get(&self, service: &ServiceName, target: &TargetName) -> Option<TargetLink> {
        let key = (service.clone(), target.clone());
        self.shard(&key).get(&key).cloned()
    }

    /// Sets the share of a target and opens a link when there is none; a new address starts a new link.
    pub fn set_share(
        &self,
        service: &ServiceName,
        target: &TargetName,
        address: SocketAddr,
        share: LinkShare,
    ) {
        let key = (service.clone(), target.clone());
        let mut links = self.shard(&key);
        if let Some(link) = links.get(&key) {
            if link.address() == address {
                link.set_share(share);
                return;
            }
            link.set_share(LinkShare::default());
        }
        let link = TargetLink::new(address, share, self.timer.clone(), self.tasks.clone());
        links.insert(key, link);
    }

    /// Removes every link that is not in `kept`; their requests in flight finish.
    pub fn retain(&self, kept: &HashSet<(ServiceName, TargetName)>) {
        for shard in &self.shards {
            let mut links = lock(shard);
            links.retain(|key, link| {
                let stays = kept.contains(key);
                if !stays {
                    link.set_share(LinkShare::default());
                }
                stays
            });
        }
    }

    /// The sum over all links.
    #[must_use]
    pub fn usage(&self) -> LinkUsage {
        let mut total = LinkUsage::default();
        for shard in &self.shards {
            for link in lock(shard).values() {
                let usage = link.usage();
                total.connections += usage.connections;
                total.running += usage.running;
            }
        }
        total
    }

    /// Gives up all shares and waits until requests in flight are done and connections closed.
    pub async fn close(&self) {
        self.retain(&HashSet::new());
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn shard(&self, key: &LinkKey) -> MutexGuard<'_, HashMap<LinkKey, TargetLink>> {
        let hash = self.hasher.hash_one(key);
        let index = usize::try_from(hash % SHARD_COUNT as u64).unwrap_or_default();
        lock(&self.shards[index])
    }
}
