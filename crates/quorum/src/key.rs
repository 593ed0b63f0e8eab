//! Keys of registers.

use std::sync::Arc;

use fulmarweir_base::{ServiceName, shard_for_key};
use serde::{Deserialize, Serialize};

/// Parts that a voter's registers are split into, each under its own lock.
pub const REGISTER_SHARDS: u32 = 16;

/// Identifies a register.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RegisterKey {
    /// The operators' configuration.
    Config,
    /// The voter set.
    Voters,
    /// The run of one act.
    Act(ActKey),
}

/// Identifies an act: a service and the idempotency key of a caller.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ActKey {
    /// Service that runs the act.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: Arc<str>,
}

impl RegisterKey {
    /// The shard that holds the register, the same one at every voter.
    pub(crate) fn shard(&self) -> u32 {
        match self {
            Self::Config | Self::Voters => 0,
            Self::Act(act) => shard_for_key(&act.key, REGISTER_SHARDS),
        }
    }
}
