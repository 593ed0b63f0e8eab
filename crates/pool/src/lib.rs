//! Bounded connections to targets.
//!
//! A [`ConnectionPool`] is this VM's share of one target: it never holds more
//! connections and never runs more requests than the share allows, queues the
//! rest by deadline, checks that each reply echoes its own attempt, and closes
//! a connection that can no longer be trusted. [`LinkTable`] holds the links of
//! the process.
//!
//! ```
//! use fulmarweir_pool::LinkShare;
//!
//! let share = LinkShare { connections: 10, concurrency: 3 };
//! assert_eq!(share.request_connections(), 9);
//! ```

mod cancel;
mod connection;
mod connection_pool;
mod exchange;
mod queue;
mod relay_pool;
mod request;
mod slots;
mod table;

pub use connection_pool::{ConnectionPool, LinkShare, PoolUsage};
pub use relay_pool::{ConnectionNeed, RelayFault, RelayLinks, RelayReply};
pub use request::{
    ReportedLoad, RequestKind, TargetAnswer, TargetError, TargetFault, TargetRequest,
};
pub use table::LinkTable;
