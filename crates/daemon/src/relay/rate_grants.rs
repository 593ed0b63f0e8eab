//! Grants this keeper's part of the rates that hold for all VMs together.

use std::{net::SocketAddr, sync::Mutex};

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_permits::{PermitAsker, RateAsk, RateGrant, RateGrantor};

/// The rates that VMs ask a keeper for.
///
/// Load pattern: each VM asks for all its keys in one call, up to some hundred times a second.
#[derive(Debug)]
pub(crate) struct RateGrants {
    grantor: Mutex<RateGrantor>,
}

impl RateGrants {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            grantor: Mutex::new(RateGrantor::new(now)),
        }
    }

    /// Grants permits to a VM, in the order of `asks`. `grantors` is the number of keepers that
    /// grant permits, `None` if this keeper does not.
    pub(crate) fn grant(
        &self,
        vm: SocketAddr,
        asks: &[RateAsk],
        grantors: Option<usize>,
        now: MonoTime,
    ) -> Vec<RateGrant> {
        let spread = rand::random();
        let asker = PermitAsker { vm, spread };
        let mut grantor = lock(&self.grantor);
        let grant = |ask| grantor.ask(asker, ask, grantors, now);
        asks.iter().map(grant).collect()
    }

    /// Forgets rates that nobody asks for.
    pub(crate) fn remove_expired(&self, now: MonoTime) {
        lock(&self.grantor).remove_expired(now);
    }
}
