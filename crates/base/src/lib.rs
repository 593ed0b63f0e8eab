//! Types shared by every crate: names, run verdicts, monotonic time, the timer
//! service, the placement of keys on shards and the announcements of targets.
//!
//! ```
//! use fulmarweir_base::{RunVerdict, ServiceName};
//!
//! let service: ServiceName = "street-app/pitches".parse().unwrap();
//! assert_eq!(service.as_str(), "street-app/pitches");
//! assert!(RunVerdict::NotRun.allows_retry(false));
//! assert!(!RunVerdict::MayHaveRun.allows_retry(false));
//! ```

mod lock;
mod name;
mod rendezvous;
mod shard;
mod target;
mod time;
mod timer;
mod verdict;

pub use lock::lock;
pub use name::{
    CentreName, NAME_MAX_BYTES, NameError, RegionName, ServiceName, TargetName, VmName,
};
pub use rendezvous::rendezvous_weight;
pub use shard::shard_for_key;
pub use target::{SHARD_COUNT_MAX, ShardHolding, TargetRecord, TargetState};
pub use time::MonoTime;
pub use timer::{TimerService, TimerTicks};
pub use verdict::RunVerdict;
