//! The decisions on a query: admission, index version, replica, hedges, retries and answer.
//!
//! A sub-query is the part of a request for one shard; an attempt sends it to one target.
//!
//! This crate does no I/O and reads no clock. [`ServiceState`] lives as long as the process and is
//! shared by all requests of one service. [`SearchRun`] and [`ActRun`] live for one request: their
//! inputs are the ends of attempts, wake-ups and new views, and they return [`RouteAction`]s for
//! their owner to perform. [`TargetSelector`] and [`RelayRun`] are their counterparts for opaque
//! requests, which are relayed to targets.
//!
//! ```
//! use std::sync::Arc;
//!
//! use fulmarweir_base::MonoTime;
//! use fulmarweir_route::{Admission, AdmissionParams, PolicySettings, ServiceState};
//!
//! let state = Arc::new(ServiceState::new(PolicySettings::default()));
//! let now = MonoTime::from_millis(10);
//! let params = AdmissionParams::wide(3, MonoTime::from_millis(310));
//! let Admission::Granted(permit) = state.admit(params, now) else {
//!     panic!("an idle service admits");
//! };
//! assert_eq!(state.gauges().in_flight, 3);
//! drop(permit);
//! assert_eq!(state.gauges().in_flight, 0);
//! ```

mod act;
mod action;
mod admission;
mod attempts;
mod budget;
mod class_queue;
mod eject;
mod hits;
mod latency;
mod limit;
mod load;
mod refusal;
mod relay;
mod replica;
mod search;
mod service;
mod settings;
mod table;
mod view;

pub use act::{ActAction, ActOutcome, ActParams, ActReply, ActRun};
pub use action::{
    AttemptId, AttemptKind, AttemptOutcome, AttemptSpec, ReportedLoad, RetryReason, RouteAction,
};
pub use admission::{AdmissionParams, QueueTicket};
pub use hits::{HitScore, HitsError, SearchHit, merge_hits, parse_hits, write_hits};
pub use refusal::{RefusalReason, RouteRefusal};
pub use relay::{
    AnswerReport, AnswerSource, AttemptCharge, AttemptCounts, AttemptPermits, AttemptSignal,
    BrokerEndpoint, BrokerSelector, BudgetSnapshot, CrashCall, CrashNews, CrashReport, CrashTally,
    EvacuationChange, GRANTORS_MAX, GroupOutcome, GroupRemainder, HandoverOutcome, LatencyTable,
    LimitChange, LimitReport, LimitedCounts, LimitedLoad, LinkChange, LinkExamination, LinkState,
    LinkSuspicion, LinkTarget, LinkTask, LinkWatch, Locality, NoticeChange, PermitAsk, PermitAsker,
    PermitCall, PermitGrant, PermitGrantor, PickCriteria, PlacementRule, QuarantineEntry,
    QuarantineState, QuarantineTable, RECORD_BYTES, RelayAction, RelayAttempt, RelayAttemptOutcome,
    RelayOutcome, RelayParams, RelayRefusal, RelayRun, RelayTarget, RepeatedSubRequest,
    RequestFingerprint, RequestOrigin, RequestRank, SendPermit, SendRule, ShardGroup, StatedLimit,
    StopPlan, TargetChoice, TargetNotice, TargetPick, TargetSelector, TargetSnapshot,
    UnclearSubRequest, WarmUpReport, merge_records,
};
pub use search::{RunStats, SearchAction, SearchAnswer, SearchOutcome, SearchParams, SearchRun};
pub use service::{
    Admission, AdmissionPermit, QueueEvent, ServiceGauges, ServiceState, TargetGauges,
};
pub use settings::{AdmissionPolicy, PolicySettings, ReplicaPolicy, RetryPolicy};
pub use view::{HolderIndex, TargetView};
