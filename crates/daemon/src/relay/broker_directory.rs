//! The brokers that keepers list: entry VMs to which searches can be handed over.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_route::BrokerEndpoint;

use super::{keeper_poll::vm_list_digest, vm_message::EntryContact};

/// How long a keeper's list is used after its last reply, in milliseconds.
const BROKER_LIST_TTL_MS: u64 = 6_000;

/// The brokers that one keeper lists.
#[derive(Debug)]
struct BrokerList {
    digest: u64,
    endpoints: Vec<BrokerEndpoint>,
    heard_at: MonoTime,
}

/// The brokers that all keepers list, by keeper.
#[derive(Debug, Default)]
pub(crate) struct BrokerDirectory {
    lists: HashMap<SocketAddr, BrokerList>,
}

impl BrokerDirectory {
    /// Returns the digest of a keeper's list, 0 if there is none.
    pub(crate) fn digest(&self, keeper: SocketAddr) -> u64 {
        self.lists.get(&keeper).map_or(0, |list| list.digest)
    }

    /// Applies a reply of a keeper, whose list is `None` if it has not changed. Returns the merged
    /// brokers of all keepers if the reply has a list.
    pub(crate) fn update(
        &mut self,
        keeper: SocketAddr,
        contacts: Option<&[EntryContact]>,
        now: MonoTime,
    ) -> Option<Vec<BrokerEndpoint>> {
        let Some(contacts) = contacts else {
            if let Some(list) = self.lists.get_mut(&keeper) {
                list.heard_at = now;
            }
            return None;
        };
        let endpoints = contacts.iter().map(|contact| BrokerEndpoint {
            address: contact.peers,
            centre: Arc::clone(&contact.centre),
        });
        let list = BrokerList {
            digest: vm_list_digest(contacts),
            endpoints: endpoints.collect(),
            heard_at: now,
        };
        self.lists.insert(keeper, list);
        let ttl = Duration::from_millis(BROKER_LIST_TTL_MS);
        self.lists.retain(|_, list| now.since(list.heard_at) <= ttl);
        let endpoints = self.lists.values().flat_map(|list| &list.endpoints);
        let mut merged: Vec<BrokerEndpoint> = endpoints.cloned().collect();
        merged.sort_unstable();
        merged.dedup();
        Some(merged)
    }
}
