//! The configuration register.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::value::{RegisterChange, RegisterValue};

/// Outcomes of changes that the register remembers.
pub const CONFIG_OUTCOMES_MAX: usize = 512;

/// The value of the configuration register. Version 0 is the empty text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    /// Version number.
    pub version: u64,
    /// The operators' text.
    pub text: Arc<str>,
    /// Outcomes of the latest changes, oldest first.
    pub outcomes: VecDeque<ChangeRecord>,
}

/// A change that was decided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Identifier that the operator gave to the change.
    pub change: Arc<str>,
    /// What the operator was told.
    pub outcome: SubmitOutcome,
}

/// The outcome of submitting a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitOutcome {
    /// The change became this version.
    Accepted {
        /// Its version number.
        version: u64,
    },
    /// The configuration is not at the expected version.
    Conflict {
        /// The present version number.
        current: u64,
    },
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigChange {
    pub(crate) expected_version: u64,
    pub(crate) change: Arc<str>,
    pub(crate) text: Arc<str>,
}

impl ConfigChange {
    /// Decides the change on the register's value.
    pub(crate) fn apply(&self, value: Option<&RegisterValue>) -> RegisterChange<SubmitOutcome> {
        let state = config_state(value);
        let known = state
            .outcomes
            .iter()
            .find(|known| known.change == self.change);
        if let Some(known) = known {
            return RegisterChange::Keep(known.outcome);
        }
        let current = state.version;
        if self.expected_version == current {
            let version = current + 1;
            let outcome = SubmitOutcome::Accepted { version };
            let text = Arc::clone(&self.text);
            return self.write(state, version, text, outcome);
        }
        let outcome = SubmitOutcome::Conflict { current };
        if self.expected_version < current {
            // Versions only grow, so this change can never be accepted later.
            return RegisterChange::Keep(outcome);
        }
        let text = Arc::clone(&state.text);
        self.write(state, current, text, outcome)
    }

    fn write(
        &self,
        state: &ConfigState,
        version: u64,
        text: Arc<str>,
        outcome: SubmitOutcome,
    ) -> RegisterChange<SubmitOutcome> {
        let mut outcomes = state.outcomes.clone();
        while outcomes.len() >= CONFIG_OUTCOMES_MAX {
            outcomes.pop_front();
        }
        outcomes.push_back(ChangeRecord {
            change: Arc::clone(&self.change),
            outcome,
        });
        let state = ConfigState {
            version,
            text,
            outcomes,
        };
        RegisterChange::Write(RegisterValue::Config(state), outcome)
    }
}

fn config_state(value: Option<&RegisterValue>) -> &ConfigState {
    static EMPTY: std::sync::LazyLock<ConfigState> = std::sync::LazyLock::new(ConfigState::default);
    match value {
        Some(RegisterValue::Config(state)) => state,
        _ => &EMPTY,
    }
}

/// A configuration that brings its own version number, of which the highest counts.
#[derive(Clone, Debug)]
pub(crate) struct VersionedConfig {
    pub(crate) version: u64,
    pub(crate) text: Arc<str>,
}

impl VersionedConfig {
    /// Stores the configuration unless the register holds the same or a higher version.
    ///
    /// The outcome is the version that the register holds then.
    pub(crate) fn apply(&self, value: Option<&RegisterValue>) -> RegisterChange<u64> {
        let held = config_state(value).version;
        if self.version <= held {
            return RegisterChange::Keep(held);
        }
        let state = ConfigState {
            version: self.version,
            text: Arc::clone(&self.text),
            outcomes: VecDeque::new(),
        };
        RegisterChange::Write(RegisterValue::Config(state), self.version)
    }
}

/// Reads the configuration without changing it.
pub(crate) fn read_config(value: Option<&RegisterValue>) -> RegisterChange<ConfigState> {
    RegisterChange::Keep(config_state(value).clone())
}
