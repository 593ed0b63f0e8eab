//! Decisions on opaque requests that are relayed to targets.
//!
//! [`RelayBook`] lives as long as the process and holds what is known of each
//! target. [`RelayRun`] lives for one request: it has one lane for each service
//! that must answer, decides which target each lane asks, when to ask another
//! one, and when the request is over.

mod allowance;
mod book;
mod card;
mod lane;
mod merge;
mod pace;
mod run;

pub use self::{
    book::{Pick, PickAsk, RelayBook, RelayTarget, TargetSight},
    card::{AttemptSignal, Locality},
    merge::{RECORD_BYTES, merge_records},
    pace::PaceTable,
    run::{AttemptEnd, RelayAction, RelayAsk, RelayEnd, RelayRefusal, RelayRun, RelaySend},
};
