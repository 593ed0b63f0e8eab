//! The announcement of a target.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, TargetName};

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target does not accept requests yet.
    Starting,
    /// The target accepts requests.
    Serving,
    /// The target is stopping: it finishes running requests and accepts no new ones.
    Draining,
}

/// Largest number of shards of an index version.
///
/// The number is bounded because the summary of a data centre holds one bit per shard.
pub const SHARD_COUNT_MAX: u32 = 16_384;

/// One shard of one index version that a target holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardHolding {
    /// Number of the index version (snapshot).
    pub version: u64,
    /// Shard index, below `of`.
    pub shard: u32,
    /// Number of shards of the version.
    pub of: u32,
}

/// The announcement of a target, as sent in the body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Name of the target, unique within the service.
    pub name: TargetName,
    /// Service of the target.
    pub service: ServiceName,
    /// Address that serves `POST /query`.
    pub address: SocketAddr,
    /// Number that increases with every start. A higher incarnation replaces a lower one.
    pub incarnation: u64,
    /// Whether the target accepts requests.
    pub state: TargetState,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts from all VMs together.
    pub connections: u32,
    /// Shards that the target holds, of all its index versions.
    pub versions: Vec<ShardHolding>,
}
