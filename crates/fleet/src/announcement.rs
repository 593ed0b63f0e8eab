//! What a target of an opaque service says about itself.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnnouncedState {
    /// Takes work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Has said that it leaves, or was replaced at its address.
    Gone,
}

/// The latest announcement of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetAnnouncement {
    /// Identifies the target over all services.
    pub id: Arc<str>,
    /// Service whose requests it runs.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: AnnouncedState,
    /// When this incarnation started, in Unix milliseconds by the target's clock.
    pub born_ms: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// For how much longer it is slow after its start, in milliseconds.
    pub warm_up_ms: u32,
}

impl TargetAnnouncement {
    /// Orders the notices of one target: a later one replaces an earlier one.
    ///
    /// A withdrawn incarnation never comes back, so its end sorts after everything it said.
    #[must_use]
    pub fn rank(&self) -> (u64, u64) {
        let sequence = match self.state {
            AnnouncedState::Gone => u64::MAX,
            AnnouncedState::Serving | AnnouncedState::Draining => self.sequence,
        };
        (self.born_ms, sequence)
    }

    /// Whether `other` differs in more than its sequence number.
    #[must_use]
    pub fn differs_from(&self, other: &Self) -> bool {
        self.state != other.state
            || self.born_ms != other.born_ms
            || self.address != other.address
            || self.service != other.service
            || self.slots != other.slots
            || self.centre != other.centre
    }
}
