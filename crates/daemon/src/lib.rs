//! The daemon of the query tier: exchanges requests with callers, targets, operators and other
//! daemons. The `route`, `fleet` and `quorum` crates make the decisions; this crate does the I/O.

mod act;
mod active_config;
mod admission;
mod announce_api;
mod body;
mod caller_api;
mod caller_error;
mod caller_request;
mod config_change;
mod config_store;
mod dispatch;
mod error;
mod fleet_driver;
mod lifecycle;
mod listener;
mod logging;
mod metrics;
mod node;
mod operator_api;
mod peer_api;
mod peer_message;
mod planned_stop;
mod program;
mod relay;
mod remote_centre;
mod request_body;
mod run;
mod run_driver;
mod search;
mod status;
mod views;
mod voter_repair;

pub use error::{DaemonError, Result};
pub use program::run_program;
pub use relay::{ControlCall, HeaderNames, ProtocolAdapter, ReplyClass, ReplyNotice, run_relay};
pub use run::run;
