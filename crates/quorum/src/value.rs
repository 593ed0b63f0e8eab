//! Values of registers, and the result of applying a change function to one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    act::ActState, ballot::Ballot, config::ConfigState, evacuation::EvacuationSet, member::VoterSet,
};

/// The value of a register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RegisterValue {
    /// Value of [`crate::RegisterKey::Act`].
    Act(ActState),
    /// Value of [`crate::RegisterKey::Config`].
    Config(ConfigState),
    /// Value of [`crate::RegisterKey::Voters`]: the latest decided set.
    Voters(VoterSet),
    /// Value of [`crate::RegisterKey::Evacuations`].
    Evacuations(EvacuationSet),
}

impl RegisterValue {
    /// Whether a voter may remove the register once the retention has passed since its last change.
    pub(crate) const fn expires(&self) -> bool {
        match self {
            Self::Act(ActState::Finished { .. } | ActState::Released) => true,
            Self::Act(ActState::Claimed(_))
            | Self::Config(_)
            | Self::Evacuations(_)
            | Self::Voters(_) => false,
        }
    }
}

/// A value that a voter accepted, and the ballot of the round that proposed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedValue {
    /// Ballot of the round.
    pub ballot: Ballot,
    /// The value.
    pub value: Arc<RegisterValue>,
}

/// The result of applying a change function to the current value of a register.
#[derive(Clone, Debug)]
pub(crate) enum RegisterChange<T> {
    /// Keeps the current value.
    Keep(T),
    /// Replaces the current value.
    Write(RegisterValue, T),
}
