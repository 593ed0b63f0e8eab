//! Relays opaque HTTP requests. Entry VMs accept requests and send them to targets; keepers hold
//! the registry of targets and the configuration that entry VMs need.
//!
//! An entry VM long-polls every keeper, merges their registries of targets, and applies the
//! configuration with the highest version. A keeper receives the announcements of targets. It also
//! receives the configurations of operators, and has the voters decide them. Header names, paths
//! and formats of the deployment come from a [`ProtocolAdapter`].

mod adapter;
mod answer;
mod attempt_loss;
mod broker;
mod broker_directory;
mod budget_log;
mod caller;
mod cold_targets;
mod control;
mod crash_news;
mod driver;
mod entry;
mod entry_quarantine;
mod evacuations;
mod handover;
mod handover_message;
mod home_bound;
mod identify;
mod keeper;
mod keeper_poll;
mod keeper_quarantine;
mod limit_log;
mod links;
mod listen;
mod metrics;
mod overload;
mod peer_version_log;
mod permits;
mod quarantine_api;
mod quarantine_log;
mod quota;
mod rate_grants;
mod rate_permits;
#[cfg(test)]
mod recorded_frames;
mod reload;
mod replicate;
mod request_account;
mod request_log;
mod response;
mod rest_table;
mod routed;
mod serve;
mod start;
mod state_file;
mod target_notices;
mod tasks;
mod vm_message;
mod voters;

pub use self::{
    adapter::{ControlCall, HeaderNames, ProtocolAdapter, ReplyClass, ReplyNotice},
    start::run_relay,
};
