//! Decisions on opaque requests that are relayed to targets.
//!
//! [`RelayBook`] lives as long as the process and holds what is known of each
//! target. [`RelayRun`] lives for one request: it has one lane for each service
//! that must answer, decides which target each lane asks, when to ask another
//! one, and when the request is over. [`BrokerDesk`] knows the VMs to which shards of a
//! search can be handed over.

mod allowance;
mod book;
mod card;
mod lane;
mod merge;
mod pace;
mod placement;
mod run;

pub use self::{
    book::{Pick, PickAsk, RelayBook, RelayTarget, ShardGroup, TargetSight},
    card::{AttemptSignal, Locality},
    merge::{RECORD_BYTES, merge_records},
    pace::PaceTable,
    placement::{BrokerDesk, BrokerPlace, HandoverEnd},
    run::{
        AnswerPart, AttemptEnd, GroupEnd, RelayAction, RelayAsk, RelayEnd, RelayRefusal, RelayRun,
        RelaySend, UnclearLane,
    },
};
