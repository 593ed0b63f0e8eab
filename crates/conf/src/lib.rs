//! Parsing and validation of the settings file of a VM and of the configuration that operators
//! submit for all services.
//!
//! VMs that relay opaque requests, which the tier does not interpret, have other types:
//! [`RelaySettings`] is parsed from their settings file, and [`RouteTable`] is compiled from rules
//! that a protocol adapter decodes from the operators' document.
//!
//! A text is checked as a whole before it is used, and all of its faults are reported together. A
//! valid text becomes an immutable value.
//!
//! ```
//! use fulmarweir_conf::{CompiledConfig, FaultReason};
//!
//! let text = "[service pitches]\nkind = search\ndeadline-ms = 300\n";
//! let config = CompiledConfig::compile(1, text).unwrap();
//! assert_eq!(config.services.len(), 1);
//!
//! let list = CompiledConfig::compile(2, "[service pitches]\nkind = find\n").unwrap_err();
//! assert_eq!(list.faults()[0].reason, FaultReason::MissingKey);
//! assert_eq!(list.faults()[1].line, 2);
//! ```

mod caller_identity;
mod compiled_config;
mod depends;
mod digest;
mod fault;
mod ini;
mod reader;
mod relay_settings;
mod route_table;
mod service_parse;
mod settings;
mod settings_parse;
mod settings_value;
mod tenant_table;
mod value;

pub use caller_identity::{CallerIdentity, KeyFault};
pub use compiled_config::{AnswerPreference, CompiledConfig, ServiceConfig, ServiceKind};
pub use digest::{ConfigDigest, DIGEST_BYTES};
pub use fault::{ConfigFault, FAULTS_MAX, FaultList, FaultReason, Result};
pub use ini::TEXT_MAX_BYTES;
pub use relay_settings::{ExtraAttemptLimits, RelayBounds, RelayRole, RelaySettings};
pub use route_table::{
    CallerLimits, GatherRule, RouteDestination, RouteFault, RouteKey, RouteRule, RouteTable,
    ServiceRule, WarmUpRule, WeightedService,
};
pub use service_parse::SERVICES_MAX;
pub use settings::{
    ListenSettings, PeerSettings, PolicySwitches, ShutdownSettings, VmSettings, VoterAddress,
    VoterRepairSettings,
};
pub use tenant_table::{TenantQuota, TenantRule, TenantTable};
