//! Decides when a voter that is gone is to be replaced.

use std::{collections::BTreeMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{
    client::VoterHealth,
    member::{VoterIdentity, VoterMember, VoterSet},
};

/// Watches the health of the voters.
///
/// Pure: reports and time come in, replacements come out. Several VMs may
/// watch and decide at once; the voters take only one of their changes.
#[derive(Debug)]
pub struct VoterMonitor {
    replace_after: Duration,
    /// Voters that did not answer, and since when.
    missing: BTreeMap<VoterIdentity, MonoTime>,
}

/// A voter to replace, and by whom.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterReplacement {
    /// The voter that is gone.
    pub gone: VoterIdentity,
    /// The VM that takes its place.
    pub spare: VoterMember,
}

impl VoterMonitor {
    /// A watch that gives a voter up once it has been missing for `replace_after`.
    #[must_use]
    pub const fn new(replace_after: Duration) -> Self {
        Self {
            replace_after,
            missing: BTreeMap::new(),
        }
    }

    /// Takes a report on all voters of the latest set.
    ///
    /// A report in which no majority answered says more about this VM's links than about the
    /// voters: it starts the wait anew.
    pub fn observe(&mut self, now: MonoTime, report: &[VoterHealth]) {
        let answered = report.iter().filter(|health| health.reachable).count();
        if answered <= report.len() / 2 {
            self.missing.clear();
            return;
        }
        let missing = |health: &&VoterHealth| !health.reachable;
        let since = |health: &VoterHealth| {
            let identity = health.member.identity;
            let since = self.missing.get(&identity).copied();
            (identity, since.unwrap_or(now))
        };
        self.missing = report.iter().filter(missing).map(since).collect();
    }

    /// The replacement that is due, if there is one.
    ///
    /// `spares` are VMs with disks in the order of preference; those that vote already are
    /// passed over.
    #[must_use]
    pub fn replacement(
        &self,
        now: MonoTime,
        set: &VoterSet,
        spares: &[VoterMember],
    ) -> Option<VoterReplacement> {
        let is_due = |(identity, since): &(&VoterIdentity, &MonoTime)| {
            set.contains(**identity) && now.since(**since) >= self.replace_after
        };
        let (gone, _) = self.missing.iter().find(is_due)?;
        let spare = spares.iter().find(|spare| !set.contains(spare.identity))?;
        Some(VoterReplacement {
            gone: *gone,
            spare: spare.clone(),
        })
    }
}
