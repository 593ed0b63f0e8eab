//! Decisions on opaque requests that are relayed to targets.
//!
//! [`TargetSelector`] lives as long as the process and holds what is known of each
//! target. [`RelayRun`] lives for one request: it has one lane for each service
//! that must answer, decides which target each lane asks, when to ask another
//! one, and when the request is over. [`BrokerSelector`] knows the VMs to which shards of a
//! search can be handed over.

mod attempt_budget;
mod broker_selector;
mod latency_table;
mod merge;
mod run;
mod selector;
mod sub_request;
mod target_tracker;

pub use self::{
    broker_selector::{BrokerEndpoint, BrokerSelector, HandoverOutcome},
    latency_table::LatencyTable,
    merge::{RECORD_BYTES, merge_records},
    run::{
        AnswerSource, GroupOutcome, RelayAction, RelayAttempt, RelayAttemptOutcome, RelayOutcome,
        RelayParams, RelayRefusal, RelayRun, UnclearSubRequest,
    },
    selector::{PickCriteria, RelayTarget, ShardGroup, TargetPick, TargetSelector, TargetSnapshot},
    target_tracker::{AttemptSignal, Locality},
};
