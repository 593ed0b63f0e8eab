//! Reports which protocol versions other VMs speak: gauges, one log line for each change of a peer, and
//! bounded log lines for calls in unknown versions.
//!
//! Load pattern: a rolling upgrade, in which every VM sees all others change within minutes, and a VM
//! of a forgotten build that calls all keepers without end.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{MonoTime, lock};
use fulmarweir_wire::{PeerVersion, TrafficMeter};
use slog::{Logger, info, warn};

use super::{keeper_poll::RelayPeers, metrics::RelayMetrics};

/// How long the version of a peer that is not known any more is kept for comparison, in seconds. A
/// peer that is replaced is unknown for less than that.
const KEPT_FOR_S: u64 = 600;
/// Shortest time between two log lines about calls in unknown versions, in milliseconds.
const UNKNOWN_PERIOD_MS: u64 = 10_000;

/// A peer that speaks another version than before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PeerVersionChange {
    peer: SocketAddr,
    /// `None` for a peer that was not known.
    before: Option<PeerVersion>,
    after: PeerVersion,
}

/// The last known version of each peer.
#[derive(Debug, Default)]
struct PeerVersionHistory {
    last: HashMap<SocketAddr, (PeerVersion, MonoTime)>,
}

impl PeerVersionHistory {
    /// Applies the versions that are known now; returns what has changed.
    fn update(
        &mut self,
        known: &BTreeMap<SocketAddr, PeerVersion>,
        now: MonoTime,
    ) -> Vec<PeerVersionChange> {
        let mut changes = Vec::new();
        for (peer, after) in known {
            let before = self.last.insert(*peer, (*after, now));
            let before = before.map(|(version, _)| version);
            if before != Some(*after) {
                changes.push(PeerVersionChange {
                    peer: *peer,
                    before,
                    after: *after,
                });
            }
        }
        let kept_for = Duration::from_secs(KEPT_FOR_S);
        self.last
            .retain(|_, (_, known_at)| now.since(*known_at) < kept_for);
        changes
    }
}

/// Calls in unknown versions that were logged.
#[derive(Debug, Default)]
struct UnknownCallReport {
    logged_count: u64,
    logged_at: Option<MonoTime>,
}

impl UnknownCallReport {
    /// Returns the number of calls to log now, if any: the first call at once, then at most once per
    /// period all that have come since.
    fn take_due(&mut self, count: u64, now: MonoTime) -> Option<u64> {
        let period = Duration::from_millis(UNKNOWN_PERIOD_MS);
        let is_early = self.logged_at.is_some_and(|at| now.since(at) < period);
        if count == self.logged_count || is_early {
            return None;
        }
        let calls = count - self.logged_count;
        (self.logged_count, self.logged_at) = (count, Some(now));
        Some(calls)
    }
}

/// Reports the protocol versions of the peers of this VM.
pub(super) struct PeerVersionLog {
    log: Logger,
    peers: RelayPeers,
    meter: Arc<TrafficMeter>,
    state: Mutex<(PeerVersionHistory, UnknownCallReport)>,
}

impl PeerVersionLog {
    pub(super) fn new(log: Logger, peers: RelayPeers, meter: Arc<TrafficMeter>) -> Self {
        Self {
            log,
            peers,
            meter,
            state: Mutex::default(),
        }
    }

    /// Writes what has changed since the last call, and updates the gauges.
    pub(super) fn update(&self, metrics: &RelayMetrics, now: MonoTime) {
        let known = self.peers.known_versions();
        metrics.update_versions(&known, self.meter.served());
        let (history, unknown_report) = &mut *lock(&self.state);
        for change in history.update(&known, now) {
            let before = change.before.map_or(0, PeerVersion::number);
            info!(self.log, "peer-version"; "peer" => %change.peer,
                "version" => change.after.number(), "before" => before);
        }
        let unknown = self.meter.served().unknown();
        let due = unknown_report.take_due(unknown.count, now);
        if let (Some(calls), Some((from, path))) = (due, &unknown.last) {
            warn!(self.log, "peer-version-unknown"; "calls" => calls, "from" => %from,
                "path" => path);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn at(secs: u64) -> MonoTime {
        MonoTime::default() + Duration::from_secs(secs)
    }

    /// Guards against a line for every call, and against a change that is missed because the peer's version
    /// was unknown for a moment while it was replaced.
    #[test]
    fn each_change_of_a_peer_is_reported_once() {
        let mut history = PeerVersionHistory::default();
        let known = |versions: &[(u16, PeerVersion)]| {
            let versions = versions.iter();
            versions
                .map(|(port, version)| (peer(*port), *version))
                .collect()
        };
        let (v8, v9) = (PeerVersion::V8, PeerVersion::V9);
        let change = |port, before, after| PeerVersionChange {
            peer: peer(port),
            before,
            after,
        };
        let first = history.update(&known(&[(1, v8), (2, v9)]), at(1));
        assert_eq!(first, [change(1, None, v8), change(2, None, v9)]);
        assert!(
            history
                .update(&known(&[(1, v8), (2, v9)]), at(2))
                .is_empty()
        );
        assert!(history.update(&known(&[(2, v9)]), at(3)).is_empty());
        let replaced = history.update(&known(&[(1, v9), (2, v9)]), at(4));
        assert_eq!(replaced, [change(1, Some(v8), v9)]);
        assert!(
            history
                .update(&known(&[(2, v9)]), at(KEPT_FOR_S + 5))
                .is_empty()
        );
        assert_eq!(history.last.len(), 1);
    }

    /// Guards against a VM of a forgotten build that fills the log.
    #[test]
    fn calls_in_unknown_versions_are_logged_at_once_and_then_summed_up() {
        let mut report = UnknownCallReport::default();
        assert_eq!(report.take_due(0, at(1)), None);
        assert_eq!(report.take_due(3, at(2)), Some(3));
        assert_eq!(report.take_due(500, at(11)), None);
        assert_eq!(report.take_due(900, at(12)), Some(897));
        assert_eq!(report.take_due(900, at(60)), None);
    }
}
