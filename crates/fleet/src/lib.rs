//! Membership, target leases, broker assignment and configuration distribution.
//!
//! [`FleetState`] implements the protocols of one VM as a state machine without I/O: its
//! methods take messages, announcements and ticks with the current [`MonoTime`], and return
//! [`FleetAction`]s. The caller performs the actions and calls [`FleetState::on_tick`] every
//! [`TICK_PERIOD_MS`].
//!
//! ```
//! use fulmarweir_base::{MonoTime, TargetRecord, TargetState};
//! use fulmarweir_fleet::{ConfigStamp, FleetSettings, FleetState, VmIdentity};
//!
//! let identity = VmIdentity {
//!     name: "vm-1".parse().unwrap(),
//!     centre: "centre-a".parse().unwrap(),
//!     region: "region-a".parse().unwrap(),
//!     boot: 1,
//!     peers: "127.0.0.1:7003".parse().unwrap(),
//!     targets: "127.0.0.1:7001".parse().unwrap(),
//! };
//! let start = MonoTime::ZERO;
//! let seed = 7;
//! let mut fleet =
//!     FleetState::new(identity, FleetSettings::default(), ConfigStamp::default(), seed, start);
//!
//! let record = TargetRecord {
//!     name: "pitches-1".parse().unwrap(),
//!     service: "street-app/pitches".parse().unwrap(),
//!     address: "127.0.0.1:9001".parse().unwrap(),
//!     incarnation: 1,
//!     state: TargetState::Serving,
//!     slots: 3,
//!     connections: 30,
//!     versions: Vec::new(),
//! };
//! let service = record.service.clone();
//! let (reply, _actions) = fleet.announce(record, start);
//! assert_eq!(reply.unwrap().lease_ms, 3_000);
//! assert!(fleet.targets().of_service(&service)[0].usable);
//! ```
//!
//! [`MonoTime`]: fulmarweir_base::MonoTime

mod action;
mod announce;
mod announcement;
mod broker;
mod centre;
mod centre_exchange;
mod config_assurance;
mod config_push;
mod config_tracker;
mod gossip;
mod hash;
mod join;
mod lease;
mod member;
mod merged_registry;
mod message;
mod probe;
mod readiness;
mod registry;
mod repair;
mod report;
mod settings;
mod spread_tree;
mod state;
mod target_table;

pub use action::FleetAction;
pub use announce::{AnnounceError, AnnounceReply, AnnounceResult};
pub use announcement::{AnnouncedState, TargetAnnouncement};
pub use broker::{BrokerShare, TargetLimits};
pub use centre::{CentreDigest, CentreRecord, CentreUpdates, ServiceShards, ShardBitmap};
pub use config_assurance::ConfigAssurance;
pub use hash::entry_digest;
pub use lease::TargetKey;
pub use merged_registry::MergedRegistry;
pub use message::{
    CentreProbe, ConfigStamp, FleetMessage, IndirectProbe, JoinRefusal, LeaseHolder, MemberStatus,
    MemberUpdate, ProbeMessage, RepairEntries, RepairRequest, SpreadUpdates, StateDigest,
    TargetChange, VmIdentity,
};
pub use readiness::ReadyPhase;
pub use registry::{AnnounceOutcome, RegistryCursor, RegistryDelta, TargetRegistry};
pub use report::MemberView;
pub use settings::{FleetSettings, TICK_PERIOD_MS};
pub use state::FleetState;
pub use target_table::{TargetEntry, TargetTable};
