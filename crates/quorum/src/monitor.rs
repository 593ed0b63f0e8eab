//! Decides when a voter that no longer answers is to be replaced, and by which VM.

use std::{collections::BTreeMap, time::Duration};

use fulmarweir_base::MonoTime;

use crate::{
    client::VoterHealth,
    member::{VoterIdentity, VoterMember, VoterSet},
};

/// Tracks the health of the voters and proposes replacements.
///
/// The monitor does no I/O: the caller passes in health reports and the time. Several VMs may
/// propose replacements concurrently; the voters accept only one of them.
#[derive(Debug)]
pub struct VoterMonitor {
    replace_after: Duration,
    /// When each unreachable voter was first seen unreachable.
    unreachable_since: BTreeMap<VoterIdentity, MonoTime>,
}

/// A voter to replace, and the VM that replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterReplacement {
    /// The voter that no longer answers.
    pub failed: VoterIdentity,
    /// The VM that takes its place.
    pub candidate: VoterMember,
}

impl VoterMonitor {
    /// Creates a monitor that replaces a voter once it has been unreachable for `replace_after`.
    #[must_use]
    pub const fn new(replace_after: Duration) -> Self {
        Self {
            replace_after,
            unreachable_since: BTreeMap::new(),
        }
    }

    /// Records a health report on all voters of the latest set.
    ///
    /// If no majority answered, this VM itself is probably cut off, so the time that each voter
    /// has been unreachable starts again at zero.
    pub fn observe(&mut self, now: MonoTime, report: &[VoterHealth]) {
        let answered = report.iter().filter(|health| health.reachable).count();
        if answered <= report.len() / 2 {
            self.unreachable_since.clear();
            return;
        }
        let is_unreachable = |health: &&VoterHealth| !health.reachable;
        let since = |health: &VoterHealth| {
            let identity = health.member.identity;
            let since = self.unreachable_since.get(&identity).copied();
            (identity, since.unwrap_or(now))
        };
        self.unreachable_since = report.iter().filter(is_unreachable).map(since).collect();
    }

    /// Returns the replacement that is due, if there is one.
    ///
    /// `candidates` are VMs with disks in order of preference; members of `set` are skipped.
    #[must_use]
    pub fn replacement(
        &self,
        now: MonoTime,
        set: &VoterSet,
        candidates: &[VoterMember],
    ) -> Option<VoterReplacement> {
        let is_due = |(identity, since): &(&VoterIdentity, &MonoTime)| {
            set.contains(**identity) && now.since(**since) >= self.replace_after
        };
        let (failed, _) = self.unreachable_since.iter().find(is_due)?;
        let candidate = candidates
            .iter()
            .find(|candidate| !set.contains(candidate.identity))?;
        Some(VoterReplacement {
            failed: *failed,
            candidate: candidate.clone(),
        })
    }
}
