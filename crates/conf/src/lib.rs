//! The two INI texts of the product: the settings of one VM, and the
//! configuration of all services that operators submit.
//!
//! Both are parsed and checked in full, every fault at once, before anything
//! uses them. A checked text is frozen into an immutable value.

mod settings;
mod version;

pub use settings::{ListenSettings, PeerSettings, VmSettings, VoterAddress};
pub use version::{AnswerPreference, ConfigVersion, ServiceKind, ServicePlan};
