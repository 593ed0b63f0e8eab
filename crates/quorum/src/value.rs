//! Values of registers and the outcome of a change function.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{act::ActState, ballot::Ballot, config::ConfigState, member::VoterSet};

/// The value of a register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RegisterValue {
    /// Value of [`crate::RegisterKey::Act`].
    Act(ActState),
    /// Value of [`crate::RegisterKey::Config`].
    Config(ConfigState),
    /// Value of [`crate::RegisterKey::Voters`]: the latest decided set.
    Voters(VoterSet),
}

impl RegisterValue {
    /// Whether a voter may forget the value some time after it was accepted.
    pub(crate) const fn expires(&self) -> bool {
        match self {
            Self::Act(ActState::Finished { .. } | ActState::Released) => true,
            Self::Act(ActState::Claimed(_)) | Self::Config(_) | Self::Voters(_) => false,
        }
    }
}

/// A value and the round that a voter accepted it in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedValue {
    /// Ballot of the round.
    pub ballot: Ballot,
    /// The value.
    pub value: Arc<RegisterValue>,
}

/// What a change function makes of the present value.
#[derive(Clone, Debug)]
pub(crate) enum RegisterChange<T> {
    /// Leaves the value as it is.
    Keep(T),
    /// Replaces the value.
    Write(RegisterValue, T),
}
