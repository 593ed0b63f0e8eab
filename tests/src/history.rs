//! Concurrent histories and the sequential specifications that they are checked against.

mod claim_spec;
mod config_spec;
mod log;

pub use self::{
    claim_spec::{ClaimOp, ClaimSpec, ClaimState},
    config_spec::{ConfigOp, ConfigSpec},
    log::{HistoryLog, OperationId},
};
