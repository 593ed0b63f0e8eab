//! Bounded connections to targets.
//!
//! A [`TargetLink`] is this VM's share of one target: it never holds more
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
mod exchange;
mod link;
mod queue;
mod relay_link;
mod request;
mod slots;
mod table;

pub use link::{LinkShare, LinkUsage, TargetLink};
pub use relay_link::{ConnectionNeed, RelayFault, RelayLinks, RelayReply};
pub use request::{
    ReportedLoad, RequestKind, TargetAnswer, TargetError, TargetFault, TargetRequest,
};
pub use table::LinkTable;
