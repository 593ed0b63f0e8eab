//! The evacuation register: the data centres whose targets must get no new requests.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::value::{RegisterChange, RegisterValue};

/// The value of the evacuation register. Version 0 names no data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationSet {
    /// Version number, which rises with each change of the set.
    pub version: u64,
    /// The evacuated data centres.
    pub centres: BTreeSet<Arc<str>>,
}

/// Whether an order begins or ends the evacuation of a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationOrder {
    /// Adds the data centre to the set.
    Begin,
    /// Removes the data centre from the set.
    End,
}

impl EvacuationOrder {
    /// Returns the name of the order in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Begin => "begin",
            Self::End => "end",
        }
    }

    /// Applies the order to the register's value. An order that changes nothing keeps the version,
    /// so that it can be repeated after a lost reply.
    ///
    /// The outcome is the set that the register holds afterwards.
    pub(crate) fn apply(
        self,
        centre: &Arc<str>,
        value: Option<&RegisterValue>,
    ) -> RegisterChange<EvacuationSet> {
        let mut set = evacuation_set(value).cloned().unwrap_or_default();
        let is_changed = match self {
            Self::Begin => set.centres.insert(Arc::clone(centre)),
            Self::End => set.centres.remove(centre),
        };
        if !is_changed {
            return RegisterChange::Keep(set);
        }
        set.version += 1;
        RegisterChange::Write(RegisterValue::Evacuations(set.clone()), set)
    }
}

/// Returns the set that a register's value holds.
pub(crate) const fn evacuation_set(value: Option<&RegisterValue>) -> Option<&EvacuationSet> {
    match value {
        Some(RegisterValue::Evacuations(set)) => Some(set),
        _ => None,
    }
}

/// Reads the set without changing it.
pub(crate) fn read_evacuations(value: Option<&RegisterValue>) -> RegisterChange<EvacuationSet> {
    RegisterChange::Keep(evacuation_set(value).cloned().unwrap_or_default())
}
