//! Tracks the configuration applied here and the newest one known from peers.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::{
    ConfigStamp,
    readiness::{ReadyInputs, ReadyMachine, ReadyPhase},
};

/// Maximum number of peers remembered as sources of the newest configuration.
const SOURCES_MAX: usize = 8;

/// What to do about the configuration version of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigAction {
    /// Do nothing.
    Ignore,
    /// Fetch the configuration from the peer, which has a newer version.
    Fetch,
    /// Report that the peer has a different text under the same version number.
    ReportConflict,
}

/// The configuration versions known to one VM, and its readiness phase.
pub(crate) struct ConfigTracker {
    applied: ConfigStamp,
    newest_known: ConfigStamp,
    sources: VecDeque<SocketAddr>,
    retry_at: MonoTime,
    conflict_at: Option<MonoTime>,
    started_at: MonoTime,
    /// Whether any peer or a quorum read has reported a version.
    source_responded: bool,
    machine: StateMachine<ReadyMachine>,
}

impl ConfigTracker {
    pub(crate) fn new(applied: ConfigStamp, now: MonoTime) -> Self {
        Self {
            applied,
            newest_known: applied,
            sources: VecDeque::new(),
            retry_at: now,
            conflict_at: None,
            started_at: now,
            source_responded: false,
            machine: ReadyMachine.state_machine(),
        }
    }

    pub(crate) fn applied(&self) -> ConfigStamp {
        self.applied
    }

    pub(crate) fn newest_known(&self) -> ConfigStamp {
        self.newest_known
    }

    /// Records that `stamp` has been applied here; returns whether it is newer.
    pub(crate) fn apply(&mut self, stamp: ConfigStamp) -> bool {
        if stamp.version <= self.applied.version {
            return false;
        }
        self.applied = stamp;
        if self.newest_known.version < stamp.version {
            self.set_newest_known(stamp);
        }
        true
    }

    /// Handles the result of a quorum read.
    pub(crate) fn on_quorum_read(&mut self, stamp: ConfigStamp) {
        self.source_responded = true;
        if stamp.version > self.newest_known.version {
            self.set_newest_known(stamp);
        }
    }

    /// Handles a message that `peer` has applied `stamp`.
    pub(crate) fn on_peer_config(
        &mut self,
        peer: SocketAddr,
        stamp: ConfigStamp,
        retry: Duration,
        now: MonoTime,
    ) -> ConfigAction {
        self.source_responded = true;
        if stamp.version == self.applied.version && stamp != self.applied {
            return self.note_conflict(retry, now);
        }
        if stamp.version <= self.applied.version || stamp.version < self.newest_known.version {
            return ConfigAction::Ignore;
        }
        let first = stamp.version > self.newest_known.version;
        if first {
            self.set_newest_known(stamp);
        }
        self.add_source(peer);
        if !first && now < self.retry_at {
            return ConfigAction::Ignore;
        }
        self.retry_at = now + retry;
        ConfigAction::Fetch
    }

    /// Returns the next source to fetch from, if the last attempt is at least `retry` ago.
    pub(crate) fn retry_source(&mut self, retry: Duration, now: MonoTime) -> Option<SocketAddr> {
        if self.newest_known.version <= self.applied.version || now < self.retry_at {
            return None;
        }
        self.retry_at = now + retry;
        self.sources
            .rotate_left(usize::from(!self.sources.is_empty()));
        self.sources.front().copied()
    }

    /// Updates the phase; returns the new phase if it changed.
    pub(crate) fn advance_phase(
        &mut self,
        no_seeds: bool,
        wait: Duration,
        now: MonoTime,
    ) -> Option<ReadyPhase> {
        let before = self.phase();
        let waited = now.since(self.started_at) >= wait && self.applied.version > 0;
        let inputs = ReadyInputs {
            learning_done: self.source_responded || no_seeds || waited,
            applied: self.applied,
            newest_known: self.newest_known,
        };
        self.machine.handle(&inputs);
        let phase = self.phase();
        (phase != before).then_some(phase)
    }

    pub(crate) fn phase(&self) -> ReadyPhase {
        ReadyPhase::from(self.machine.state())
    }

    fn set_newest_known(&mut self, stamp: ConfigStamp) {
        self.newest_known = stamp;
        self.sources.clear();
    }

    fn add_source(&mut self, peer: SocketAddr) {
        if !self.sources.contains(&peer) && self.sources.len() < SOURCES_MAX {
            self.sources.push_back(peer);
        }
    }

    fn note_conflict(&mut self, retry: Duration, now: MonoTime) -> ConfigAction {
        if self.conflict_at.is_some_and(|at| now.since(at) < retry) {
            return ConfigAction::Ignore;
        }
        self.conflict_at = Some(now);
        ConfigAction::ReportConflict
    }
}
