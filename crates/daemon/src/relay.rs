//! Relaying opaque requests: entry VMs take them, keepers hold what entry VMs must know.
//!
//! An entry VM asks every keeper for news in long calls, merges what they say of
//! targets, and applies the highest configuration. A keeper hears of targets and
//! operators, and lets the voters decide configurations. What the outside world
//! calls things is in a [`ProtocolAdapter`], which an adapter supplies.

mod adapter;
mod answer;
mod body;
mod broker;
mod broker_directory;
mod caller;
mod control;
mod driver;
mod entry;
mod handover;
mod handover_message;
mod keeper;
mod keeper_poll;
mod listen;
mod metrics;
mod overload;
mod reload;
mod request_account;
mod request_log;
mod response;
mod routed;
mod serve;
mod start;
mod target_file;
mod tasks;
mod vm_message;
mod voters;

pub use self::{
    adapter::{ControlCall, HeaderNames, ProtocolAdapter, ReplyClass},
    start::run_relay,
};
