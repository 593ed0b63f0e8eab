//! Schedules probes of members, and tracks unacknowledged probes and piggybacked updates.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fulmarweir_base::{MonoTime, VmName};
use rand::RngExt;
use rand_pcg::Pcg64;

/// Maximum number of updates on one probe message.
pub(crate) const PIGGYBACK_PER_PROBE_MAX: usize = 4;
const RETRANSMIT_FACTOR: u32 = 2;
/// Maximum number of queued updates; after many changes at once, repairs deliver the rest.
const PIGGYBACK_QUEUE_MAX: usize = 32;

/// A probe that has not been acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) peer: VmName,
    pub(crate) sent_at: MonoTime,
    /// Whether other VMs have been asked for indirect probes.
    pub(crate) indirect_requested: bool,
    /// Peer address of the VM that requested this probe, and the sequence number it chose.
    pub(crate) requester: Option<(SocketAddr, u64)>,
}

/// What to do about a probe that has timed out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ProbeTimeout {
    /// Ask other VMs to probe the VM.
    Indirect(VmName, u64),
    /// Mark the VM as suspect.
    Suspect(VmName),
}

/// State of the prober of one VM.
#[derive(Clone, Debug)]
pub(crate) struct ProbeState {
    next_at: MonoTime,
    order: Vec<VmName>,
    sequence: u64,
    pending: BTreeMap<u64, PendingProbe>,
    /// Last acknowledgement, direct or indirect, of a probe that no other VM requested.
    pub(crate) acked_at: MonoTime,
}

impl ProbeState {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            next_at: now,
            order: Vec::new(),
            sequence: 0,
            pending: BTreeMap::new(),
            acked_at: now,
        }
    }

    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        now >= self.next_at
    }

    /// Returns the next member of a randomly ordered round over all of `peers`.
    pub(crate) fn next_peer(
        &mut self,
        peers: &[VmName],
        period: Duration,
        rng: &mut Pcg64,
        now: MonoTime,
    ) -> Option<VmName> {
        self.next_at = now + period;
        while let Some(name) = self.order.pop() {
            if peers.binary_search(&name).is_ok() {
                return Some(name);
            }
        }
        self.order = peers.to_vec();
        shuffle(&mut self.order, rng);
        self.order.pop()
    }

    /// Registers a probe and returns its sequence number.
    pub(crate) fn start(
        &mut self,
        peer: VmName,
        requester: Option<(SocketAddr, u64)>,
        now: MonoTime,
    ) -> u64 {
        self.sequence += 1;
        let probe = PendingProbe {
            peer,
            sent_at: now,
            indirect_requested: false,
            requester,
        };
        self.pending.insert(self.sequence, probe);
        self.sequence
    }

    /// Removes an acknowledged probe; `None` if the probe is unknown or was sent to another VM.
    pub(crate) fn acknowledge(
        &mut self,
        sequence: u64,
        sender: &VmName,
        now: MonoTime,
    ) -> Option<PendingProbe> {
        if self.pending.get(&sequence)?.peer != *sender {
            return None;
        }
        let probe = self.pending.remove(&sequence)?;
        if probe.requester.is_none() {
            self.acked_at = now;
        }
        Some(probe)
    }

    /// Returns the probes without an acknowledgement for one timeout (indirect probes are due) or
    /// two (the VM becomes suspect).
    pub(crate) fn timeouts(&mut self, timeout: Duration, now: MonoTime) -> Vec<ProbeTimeout> {
        let mut due = Vec::new();
        self.pending.retain(|sequence, probe| {
            let waited = now.since(probe.sent_at);
            if waited >= timeout * 2 {
                if probe.requester.is_none() {
                    due.push(ProbeTimeout::Suspect(probe.peer.clone()));
                }
                return false;
            }
            if waited >= timeout && !probe.indirect_requested && probe.requester.is_none() {
                probe.indirect_requested = true;
                due.push(ProbeTimeout::Indirect(probe.peer.clone(), *sequence));
            }
            true
        });
        due
    }
}

/// Members whose updates are piggybacked on probes, each a bounded number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct PiggybackQueue {
    repeats: BTreeMap<VmName, u32>,
}

impl PiggybackQueue {
    pub(crate) fn push(&mut self, name: VmName) {
        if self.repeats.len() >= PIGGYBACK_QUEUE_MAX {
            let most = self.repeats.iter().max_by_key(|(_, repeats)| **repeats);
            if let Some(name) = most.map(|(name, _)| name.clone()) {
                self.repeats.remove(&name);
            }
        }
        self.repeats.insert(name, 0);
    }

    /// Returns the updates repeated least often; each is dropped after `2 log2(members)` repeats.
    pub(crate) fn next_batch(&mut self, members: usize) -> Vec<VmName> {
        let mut names: Vec<_> = self
            .repeats
            .iter()
            .map(|(name, repeats)| (*repeats, name.clone()))
            .collect();
        names.sort();
        names.truncate(PIGGYBACK_PER_PROBE_MAX);
        let limit = RETRANSMIT_FACTOR * (members.max(1).ilog2() + 1);
        for (repeats, name) in &names {
            if repeats + 1 >= limit {
                self.repeats.remove(name);
            } else {
                self.repeats.insert(name.clone(), repeats + 1);
            }
        }
        names.into_iter().map(|(_, name)| name).collect()
    }
}

/// Shuffles `items`.
pub(crate) fn shuffle<T>(items: &mut [T], rng: &mut Pcg64) {
    for last in (1..items.len()).rev() {
        items.swap(last, rng.random_range(0..=last));
    }
}
