//! Stand-in targets, a harness for daemon processes and a load generator.
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

mod bare;
mod client;
mod command;
mod compare;
mod demo;
mod error;
mod flags;
mod load;
mod output;
mod rig;
mod scenario;
mod stand_in;
mod tier;

pub use bare::{BareReport, BareSettings, run_bare};
pub use client::{HttpCall, HttpClient, HttpReply};
pub use command::run_command_line;
pub use compare::{CompareReport, CompareVariant, RatioSpread, compare_table, run_compare};
pub use error::BenchError;
pub use load::{
    ActReport, EventKind, FaultCount, KindReport, LoadEvent, LoadReport, LoadSettings,
    RefusalCount, RequestKind, RequestMix, WorkReport, metric_sum, run_load,
};
pub use output::{report_tables, write_json, write_plot};
pub use rig::TestRig;
pub use scenario::{
    FIRST_VERSION, HITS_PER_SHARD, Scenario, ScenarioName, ScenarioService, ScenarioSettings,
};
pub use stand_in::{
    ActRuns, AnswerCheck, AnswerCoverage, AnswerFault, ColdStart, FaultShare, HUGE_BODY_BYTES,
    HitList, ReplyFault, ReportMode, SearchAnswer, ServiceTime, StandIn, StandInBehaviour,
    StandInCounters, StandInHit, StandInSettings, shard_hits,
};
pub use tier::{
    CentrePlan, DaemonProcess, LinkProxy, LinkState, ProcessUsage, Tier, TierSettings,
    daemon_program, own_usage,
};
