//! What keepers say of the VMs that searches can be handed to.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_route::BrokerEndpoint;

use super::{keeper_poll::contacts_digest, vm_message::EntryContact};

/// Time that the word of a keeper counts after its last answer, in milliseconds.
const FRESH_MS: u64 = 6_000;

/// The brokers that one keeper names.
#[derive(Debug)]
struct BrokerView {
    digest: u64,
    places: Vec<BrokerEndpoint>,
    heard_at: MonoTime,
}

/// The brokers that all keepers name.
#[derive(Debug, Default)]
pub(crate) struct BrokerViews {
    views: HashMap<SocketAddr, BrokerView>,
}

impl BrokerViews {
    /// Digest of what a keeper has named, 0 for nothing yet.
    pub(crate) fn digest(&self, keeper: SocketAddr) -> u64 {
        self.views.get(&keeper).map_or(0, |view| view.digest)
    }

    /// Takes in an answer of a keeper; returns all brokers if it names them anew.
    pub(crate) fn take(
        &mut self,
        keeper: SocketAddr,
        contacts: Option<&[EntryContact]>,
        now: MonoTime,
    ) -> Option<Vec<BrokerEndpoint>> {
        let Some(contacts) = contacts else {
            if let Some(view) = self.views.get_mut(&keeper) {
                view.heard_at = now;
            }
            return None;
        };
        let places = contacts.iter().map(|contact| BrokerEndpoint {
            address: contact.peers,
            centre: Arc::clone(&contact.centre),
        });
        let view = BrokerView {
            digest: contacts_digest(contacts),
            places: places.collect(),
            heard_at: now,
        };
        self.views.insert(keeper, view);
        let fresh = Duration::from_millis(FRESH_MS);
        self.views
            .retain(|_, view| now.since(view.heard_at) <= fresh);
        let places = self.views.values().flat_map(|view| &view.places);
        let mut all: Vec<BrokerEndpoint> = places.cloned().collect();
        all.sort_unstable();
        all.dedup();
        Some(all)
    }
}
