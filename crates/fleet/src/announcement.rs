//! Announcements of targets for opaque requests, which the tier relays without interpreting them.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnnouncedState {
    /// Accepts new requests.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has left, or was replaced by another target at its address.
    Gone,
}

/// The latest announcement of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetAnnouncement {
    /// Identifier of the target, unique across all services.
    pub id: Arc<str>,
    /// Service whose requests the target runs.
    pub service: Arc<str>,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub centre: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: AnnouncedState,
    /// Start time of this incarnation by the target's clock, in Unix milliseconds.
    pub born_ms: u64,
    /// Sequence number; increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Remaining warm-up time after the start, in milliseconds.
    pub warm_up_ms: u32,
}

impl TargetAnnouncement {
    /// Returns a key that orders the announcements of one target, the latest one last.
    ///
    /// A withdrawn incarnation never returns, so its withdrawal sorts after all its other
    /// announcements.
    #[must_use]
    pub fn rank(&self) -> (u64, u64) {
        let sequence = match self.state {
            AnnouncedState::Gone => u64::MAX,
            AnnouncedState::Serving | AnnouncedState::Draining => self.sequence,
        };
        (self.born_ms, sequence)
    }

    /// Whether the announcements differ in more than their sequence numbers.
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
