//! Which configuration is in force here and which one peers have.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::{
    ConfigStamp,
    ready::{ReadyFacts, ReadyMachine, ReadyPhase},
};

/// Peers remembered as holders of the newest configuration.
const SOURCES_MAX: usize = 8;

/// What word of a peer's configuration means here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigNotice {
    /// Nothing to do.
    Known,
    /// The peer is ahead: fetch from it.
    Behind,
    /// The peer has another text under the same number.
    Conflict,
}

/// State of the spread of configurations at one VM.
pub(crate) struct ConfigSpread {
    held: ConfigStamp,
    known: ConfigStamp,
    sources: VecDeque<SocketAddr>,
    retry_at: MonoTime,
    conflict_at: Option<MonoTime>,
    started_at: MonoTime,
    heard: bool,
    machine: StateMachine<ReadyMachine>,
}

impl ConfigSpread {
    pub(crate) fn new(held: ConfigStamp, now: MonoTime) -> Self {
        Self {
            held,
            known: held,
            sources: VecDeque::new(),
            retry_at: now,
            conflict_at: None,
            started_at: now,
            heard: false,
            machine: ReadyMachine.state_machine(),
        }
    }

    pub(crate) fn held(&self) -> ConfigStamp {
        self.held
    }

    pub(crate) fn known(&self) -> ConfigStamp {
        self.known
    }

    /// Records that `stamp` is in force here; false when it is not newer.
    pub(crate) fn apply(&mut self, stamp: ConfigStamp) -> bool {
        if stamp.version <= self.held.version {
            return false;
        }
        self.held = stamp;
        if self.known.version < stamp.version {
            self.learn(stamp);
        }
        true
    }

    /// Takes the result of a quorum read.
    pub(crate) fn on_quorum(&mut self, stamp: ConfigStamp) {
        self.heard = true;
        if stamp.version > self.known.version {
            self.learn(stamp);
        }
    }

    /// Takes word that `peer` has `stamp` in force.
    pub(crate) fn on_peer(
        &mut self,
        peer: SocketAddr,
        stamp: ConfigStamp,
        retry: Duration,
        now: MonoTime,
    ) -> ConfigNotice {
        self.heard = true;
        if stamp.version == self.held.version && stamp != self.held {
            return self.note_conflict(retry, now);
        }
        if stamp.version <= self.held.version || stamp.version < self.known.version {
            return ConfigNotice::Known;
        }
        let first = stamp.version > self.known.version;
        if first {
            self.learn(stamp);
        }
        self.add_source(peer);
        if !first && now < self.retry_at {
            return ConfigNotice::Known;
        }
        self.retry_at = now + retry;
        ConfigNotice::Behind
    }

    /// A source to ask again, if this VM has been behind for `retry`.
    pub(crate) fn retry_source(&mut self, retry: Duration, now: MonoTime) -> Option<SocketAddr> {
        if self.known.version <= self.held.version || now < self.retry_at {
            return None;
        }
        self.retry_at = now + retry;
        self.sources
            .rotate_left(usize::from(!self.sources.is_empty()));
        self.sources.front().copied()
    }

    /// Reviews the phase; returns it when it changed.
    pub(crate) fn review(
        &mut self,
        alone: bool,
        wait: Duration,
        now: MonoTime,
    ) -> Option<ReadyPhase> {
        let before = self.phase();
        let waited = now.since(self.started_at) >= wait && self.held.version > 0;
        let facts = ReadyFacts {
            settled: self.heard || alone || waited,
            held: self.held,
            known: self.known,
        };
        self.machine.handle(&facts);
        let phase = self.phase();
        (phase != before).then_some(phase)
    }

    pub(crate) fn phase(&self) -> ReadyPhase {
        ReadyPhase::from(self.machine.state())
    }

    fn learn(&mut self, stamp: ConfigStamp) {
        self.known = stamp;
        self.sources.clear();
    }

    fn add_source(&mut self, peer: SocketAddr) {
        if !self.sources.contains(&peer) && self.sources.len() < SOURCES_MAX {
            self.sources.push_back(peer);
        }
    }

    fn note_conflict(&mut self, retry: Duration, now: MonoTime) -> ConfigNotice {
        if self.conflict_at.is_some_and(|at| now.since(at) < retry) {
            return ConfigNotice::Known;
        }
        self.conflict_at = Some(now);
        ConfigNotice::Conflict
    }
}
