//! Tells whether a VM is sure that the configuration it holds is the one in force.
//!
//! Load pattern: a VM that has just started, or is cut off from the keepers, while keys are added and
//! withdrawn. A key that it does not know may be valid by now, so it must not be rejected for good.

use std::time::Duration;

use fulmarweir_base::MonoTime;

/// How long the answer of a keeper counts, in milliseconds.
///
/// Polls return every 1.5 s at least, so that an answer is missing after two lost ones. Changes must
/// be in force within 4 s.
const CONFIRMATION_TTL_MS: u64 = 3_500;

/// What keepers have told about the configuration in force since the start of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigAssurance {
    /// The highest version that a keeper has told.
    told: Option<u64>,
    /// When a keeper last told this version.
    told_at: MonoTime,
}

impl ConfigAssurance {
    /// Records the version that a keeper has told. A keeper that knows no configuration yet tells none.
    pub fn record(&mut self, version: Option<u64>, now: MonoTime) {
        if version.is_some() && version >= self.told {
            self.told = version;
            self.told_at = now;
        }
    }

    /// Whether `held` is the version in force, as far as a VM can know.
    #[must_use]
    pub fn is_sure_of(&self, held: u64, now: MonoTime) -> bool {
        let ttl = Duration::from_millis(CONFIRMATION_TTL_MS);
        self.told.is_some_and(|told| held >= told) && now.since(self.told_at) <= ttl
    }
}
