//! Keys of registers.

use std::sync::Arc;

use fulmarweir_base::{ServiceName, shard_for_key};
use serde::{Deserialize, Serialize};

/// Number of shards that a voter's registers are split into, each under its own lock.
pub const REGISTER_SHARDS: u32 = 16;

/// Identifies a register.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RegisterKey {
    /// The operators' configuration.
    Config,
    /// The voter set.
    Voters,
    /// The state of one act.
    Act(ActKey),
    /// The evacuated data centres. Builds of protocol version 8 cannot read this key.
    Evacuations,
}

/// Identifies an act by its service and the caller's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ActKey {
    /// Service that runs the act.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: Arc<str>,
}

impl RegisterKey {
    /// Returns the shard that holds the register. It is the same at every voter.
    pub(crate) fn shard(&self) -> u32 {
        match self {
            Self::Config | Self::Voters | Self::Evacuations => 0,
            Self::Act(act) => shard_for_key(&act.key, REGISTER_SHARDS),
        }
    }
}
