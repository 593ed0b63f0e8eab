//! Routing of opaque requests that are relayed to targets, without I/O.
//!
//! [`TargetSelector`] lives as long as the process, tracks the state of all targets and selects one
//! for each attempt. [`RelayRun`] lives for one request: it keeps a sub-request for each service
//! that must answer, and decides when to send attempts, hedges and retries and when the request
//! ends. [`BrokerSelector`] selects the VMs to which shards of a search are handed over.

mod attempt_budget;
mod broker_selector;
mod burst_share;
mod cold_table;
mod crash;
mod evacuation_gate;
mod latency_table;
mod limit;
mod limit_table;
mod link_state;
mod link_watch;
mod merge;
mod message;
mod notice_table;
mod permit_grantor;
mod permit_tables;
mod placement;
mod run;
mod selector;
mod shard_group;
mod stop_plan;
mod sub_request;
mod target_tracker;

pub use fulmarweir_permits::{GRANTORS_MAX, PermitAsker, RequestRank, SendPermit};

pub use self::{
    attempt_budget::{AttemptCharge, AttemptCounts, BudgetSnapshot},
    broker_selector::{BrokerEndpoint, BrokerSelector, HandoverOutcome},
    cold_table::WarmUpReport,
    crash::{
        AnswerReport, CrashCall, CrashNews, CrashReport, CrashTally, QuarantineEntry,
        QuarantineState, QuarantineTable, RequestFingerprint, SendRule,
    },
    evacuation_gate::EvacuationChange,
    latency_table::LatencyTable,
    limit::{LimitChange, LimitReport, LimitedCounts, LimitedLoad, StatedLimit},
    limit_table::PermitCall,
    link_state::{LinkChange, LinkExamination, LinkState, LinkSuspicion, LinkTask},
    link_watch::LinkWatch,
    merge::{RECORD_BYTES, merge_records},
    message::{
        AnswerSource, GroupOutcome, GroupRemainder, RelayAction, RelayAttempt, RelayAttemptOutcome,
        RelayOutcome, RelayParams, RelayRefusal, RepeatedSubRequest, RequestOrigin,
        UnclearSubRequest,
    },
    notice_table::{NoticeChange, TargetNotice},
    permit_grantor::{PermitAsk, PermitGrant, PermitGrantor},
    permit_tables::AttemptPermits,
    placement::PlacementRule,
    run::RelayRun,
    selector::{
        LinkTarget, PickCriteria, RelayTarget, TargetChoice, TargetPick, TargetSelector,
        TargetSnapshot,
    },
    shard_group::ShardGroup,
    stop_plan::StopPlan,
    target_tracker::{AttemptSignal, Locality},
};
