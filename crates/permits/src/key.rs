//! What is limited, and the messages by which VMs ask for permits.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// What a rate limits.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RateKey {
    /// Attempts at an incarnation of a target that is cold.
    Cold {
        /// Id of the target.
        target: Arc<str>,
        /// Distinguishes incarnations of the target.
        born_ms: u64,
    },
    /// Requests of the tenant with this name.
    Tenant(Arc<str>),
}

/// A rate over all VMs, as the VM that asks knows it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    /// Orders what VMs know; the highest version counts.
    pub version: u64,
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once. Not used for cold targets, whose permits are
    /// saved up for a fixed time.
    pub burst: f64,
}

impl RateLimit {
    /// Whether the rate and the burst are numbers that a configuration can hold.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        is_valid(self.per_second) && is_valid(self.burst)
    }
}

/// A VM's request for permits of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateAsk {
    /// What the permits are for.
    pub key: RateKey,
    /// The rate, as the VM knows it.
    pub limit: RateLimit,
    /// Number of permits.
    pub wanted: u32,
    /// Number of permits of earlier replies of this keeper that the VM gives back unused.
    pub returned: u32,
}

/// The reply to a [`RateAsk`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateGrant {
    /// Number of permits.
    pub granted: u32,
    /// Time after which the VM may ask this keeper again.
    pub ask_again_after: Duration,
}
