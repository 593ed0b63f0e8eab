//! The daemon: carries requests between callers, targets, operators and other
//! daemons. Decisions are made by the `route`, `fleet` and `quorum` crates; the
//! code here performs them.

mod announce_api;
mod caller_api;
mod caller_error;
mod config_keeper;
mod dispatch;
mod error;
mod lifecycle;
mod listener;
mod logging;
mod metrics;
mod node;
mod operator_api;
mod registry;
mod run;
mod search;

pub use error::{DaemonError, Result};
pub use run::run;
