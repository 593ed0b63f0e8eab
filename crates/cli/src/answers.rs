//! The parts of the daemon's JSON answers that are printed as text.
//!
//! All fields are optional, so that the tool works with older and newer daemons.

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;

/// The answer to `GET /v1/status`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StatusAnswer {
    pub(crate) vm: Option<String>,
    pub(crate) centre: Option<String>,
    pub(crate) region: Option<String>,
    pub(crate) ready: Option<bool>,
    pub(crate) phase: Option<String>,
    pub(crate) config: ConfigState,
    pub(crate) members: Vec<MemberState>,
    pub(crate) centres: Vec<CentreState>,
    pub(crate) voters: VoterSet,
    pub(crate) targets: TargetCounts,
}

/// The configuration in force on the VM that sent the answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ConfigState {
    pub(crate) version: Option<u64>,
    pub(crate) digest: Option<String>,
    pub(crate) highest_known: Option<u64>,
}

/// Another VM of the data centre.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct MemberState {
    pub(crate) vm: Option<String>,
    pub(crate) centre: Option<String>,
    pub(crate) address: Option<String>,
    pub(crate) state: Option<String>,
    pub(crate) config_version: Option<u64>,
}

/// Another data centre.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CentreState {
    pub(crate) centre: Option<String>,
    pub(crate) live_vms: Option<u64>,
    pub(crate) config_version: Option<u64>,
    pub(crate) contacts: Vec<String>,
}

/// The voters of an epoch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct VoterSet {
    pub(crate) epoch: Option<u64>,
    pub(crate) set: Vec<VoterState>,
}

/// A voter.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct VoterState {
    pub(crate) vm: Option<String>,
    pub(crate) address: Option<String>,
    pub(crate) state: Option<String>,
}

/// The numbers of known and usable targets.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TargetCounts {
    pub(crate) usable: Option<u64>,
    pub(crate) known: Option<u64>,
}

/// The answer to `GET /v1/targets`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TargetsAnswer {
    pub(crate) targets: Vec<TargetRow>,
}

/// A target.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TargetRow {
    pub(crate) name: Option<String>,
    pub(crate) service: Option<String>,
    pub(crate) address: Option<String>,
    pub(crate) state: Option<String>,
    pub(crate) usable: Option<bool>,
    pub(crate) incarnation: Option<u64>,
    pub(crate) versions: Vec<Value>,
    pub(crate) brokers: Vec<String>,
    pub(crate) owner: Option<String>,
}

/// The answer to `GET /v1/config/history`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct HistoryAnswer {
    pub(crate) changes: Vec<ChangeRow>,
}

/// A change of the configuration.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ChangeRow {
    pub(crate) version: Option<u64>,
    pub(crate) change_id: Option<String>,
    pub(crate) outcome: Option<String>,
}

/// The answer to a search.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct SearchAnswer {
    pub(crate) version: Option<u64>,
    pub(crate) coverage: CoverageState,
    pub(crate) hits: Vec<Value>,
}

/// The shards of the index that an answer covers.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CoverageState {
    pub(crate) shards: Option<u64>,
    pub(crate) answered: Option<u64>,
    pub(crate) missing: Vec<u64>,
}

/// Decodes an answer. An answer of an unknown structure results in the default value.
pub(crate) fn read_answer<T: Default + DeserializeOwned>(json: &Value) -> T {
    T::deserialize(json).unwrap_or_default()
}

/// Returns the text of a table cell, `-` if the field is absent.
pub(crate) fn cell_text<T: ToString>(field: Option<&T>) -> String {
    field.map_or_else(|| "-".to_owned(), ToString::to_string)
}
