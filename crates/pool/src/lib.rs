//! Bounded connection pools to targets.
//!
//! A [`ConnectionPool`] sends attempts to one target. It never holds more
//! connections and never runs more requests than this VM's share of the target
//! allows, queues further attempts by deadline, checks that each reply echoes
//! its own attempt, and reuses a connection only after an answer or a refusal
//! that says the request has not run. [`PoolTable`] holds the pools of the
//! process. [`RelayPool`] is one pool over all targets, for opaque requests.
//!
//! ```
//! use fulmarweir_pool::TargetShare;
//!
//! let share = TargetShare { connections: 10, concurrency: 3 };
//! assert_eq!(share.request_connections(), 9);
//! ```

mod bounded_reply;
mod cancel;
mod connection;
mod connection_pool;
mod exchange;
mod queue;
mod relay_pool;
mod request;
mod slots;
mod table;

pub use bounded_reply::reply_memory;
pub use connection_pool::{ConnectionPool, PoolUsage, TargetShare};
pub use relay_pool::{
    AddressProbe, ConnectionReuse, ConnectionTerms, RelayFault, RelayPool, RelayReply,
    ReplyConnection, RequestEnd, RequestProbe, is_final_status,
};
pub use request::{
    ReportedLoad, RequestKind, TargetAnswer, TargetError, TargetFault, TargetRequest,
};
pub use table::PoolTable;
