//! Stand-in targets, drivers of daemon processes and the load tool.
//!
//! ```
//! use fulmarweir_base::ShardHolding;
//! use fulmarweir_bench::{StandIn, StandInSettings};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let holding = ShardHolding { version: 1, shard: 0, of: 1 };
//! let service = "street-app/pitches".parse().unwrap();
//! let settings = StandInSettings::new("pitches-1".parse().unwrap(), service, holding);
//! let target = StandIn::start(settings).await.unwrap();
//! let counters = target.stop().await;
//! assert_eq!(counters.requests, 0);
//! # });
//! ```

mod client;
mod error;
mod lock;
mod stand_in;
mod tier;

pub use client::{HttpCall, HttpClient, HttpReply};
pub use error::BenchError;
pub use stand_in::{
    AnswerCheck, AnswerCoverage, AnswerFault, ColdStart, FaultShare, HUGE_BODY_BYTES, HitList,
    KeyRuns, ReplyFault, ReportHonesty, SearchAnswer, ServiceTime, StandIn, StandInBehaviour,
    StandInCounters, StandInHit, StandInSettings, shard_hits,
};
pub use tier::{
    CentrePlan, DaemonProcess, LinkProxy, LinkState, ProcessUsage, Tier, TierSettings,
    daemon_program, own_usage,
};
