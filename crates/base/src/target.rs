//! What a target announces about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, TargetName};

/// Whether a target accepts work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Not ready for work yet.
    Starting,
    /// Accepts work.
    Serving,
    /// Leaving: finishes what it has and accepts nothing new.
    Draining,
}

/// Most shards that an index version may have.
///
/// Summaries hold a bit for each shard, so the number must be bounded.
pub const SHARD_COUNT_MAX: u32 = 16_384;

/// One shard of one index version that a target holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardHolding {
    /// Number of the index version (snapshot).
    pub version: u64,
    /// Shard index, below `of`.
    pub shard: u32,
    /// Number of shards that this version has.
    pub of: u32,
}

/// The announcement of a target, the body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Name, unique within the service.
    pub name: TargetName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that serves `POST /query`.
    pub address: SocketAddr,
    /// Grows with every start; a higher one replaces a lower one.
    pub incarnation: u64,
    /// Whether it accepts work.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts over all VMs.
    pub connections: u32,
    /// Shards that it holds.
    pub versions: Vec<ShardHolding>,
}
