//! Selection and health checks of the brokers to which shards of a search are handed over.
//!
//! Load pattern: searches need many shards whose nearest targets are in another data centre.
//! Querying each shard directly costs one cross-centre message per shard, and each of many VMs
//! sends a target too few requests to keep a connection open or to estimate its load. A broker is an
//! entry VM, i.e. one to which callers send requests, in the data centre of the targets: a handover
//! is a single message. All VMs rank the brokers of a group of shards alike, so the few first ones
//! observe all requests of these targets and keep their connections in use.

use std::{cmp::Reverse, collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, rendezvous_weight};

use super::target_tracker::Locality;

/// Time for which no further search is sent to a broker that declined one.
const DECLINED_PAUSE_MS: u64 = 200;
/// First and longest delay before a failed broker is probed; doubles with each failure.
const PROBE_PAUSE_MIN_MS: u64 = 250;
const PROBE_PAUSE_MAX_MS: u64 = 2_000;
/// Delay before a broker that answered a probe but accepts no searches is probed again.
const DECLINED_PROBE_PAUSE_MS: u64 = 1_000;
/// Time for which VMs that keepers have named as helpers are kept, in milliseconds.
const HELPER_TTL_MS: u64 = 5_000;
/// Requests in flight that a near VM may have more than one in another data centre of the region, or in
/// another region, before that is preferred.
const REGION_HEAD_START: u32 = 4;
const FAR_HEAD_START: u32 = 16;
/// The same for one that declined a request a moment ago: there may be no other.
const DECLINED_HEAD_START: u32 = 64;
/// Number of brokers among which the searches of one group of shards are spread.
const BROKERS_PER_GROUP: usize = 4;

/// Address and data centre of an entry VM that can act as a broker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BrokerEndpoint {
    /// Address for calls between VMs.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub centre: Arc<str>,
}

/// How a handover to a broker ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverOutcome {
    /// The broker answered.
    Answered,
    /// The broker declined the handover and ran nothing.
    NotTaken,
    /// The broker was unreachable, closed the connection or stopped responding.
    Failed,
    /// The broker has lost its links to targets, and ran nothing.
    Stranded,
    /// The caller disconnected before the broker answered.
    Abandoned,
}

/// Health and load of one broker, as observed by this VM.
#[derive(Debug)]
struct BrokerState {
    endpoint: BrokerEndpoint,
    /// Searches of this VM that are in flight at the broker.
    in_flight: u32,
    /// Whether the broker has answered a probe since its last failure.
    probe_passed: bool,
    /// When a broker that declined a search may be sent another one.
    retry_at: MonoTime,
    /// When the next probe is due.
    probe_at: MonoTime,
    /// Whether a probe is in flight.
    probing: bool,
    /// Failures since the last answered search.
    failures: u32,
    /// Until when the broker is kept although keepers do not list it for searches.
    helper_until: MonoTime,
}

impl BrokerState {
    fn new(endpoint: BrokerEndpoint, now: MonoTime) -> Self {
        Self {
            endpoint,
            in_flight: 0,
            probe_passed: false,
            retry_at: MonoTime::ZERO,
            probe_at: now,
            probing: false,
            failures: 0,
            helper_until: MonoTime::ZERO,
        }
    }

    fn record_failure(&mut self, now: MonoTime) {
        let pause_ms = (PROBE_PAUSE_MIN_MS << self.failures.min(6)).min(PROBE_PAUSE_MAX_MS);
        self.failures += 1;
        self.probe_passed = false;
        self.probe_at = now + Duration::from_millis(pause_ms);
    }
}

/// Identifies a group of shards by its data centre and its key.
#[derive(Debug, Eq, Hash, PartialEq)]
struct GroupId {
    centre: Arc<str>,
    key: Arc<str>,
}

/// Chooses the brokers to which this VM hands over shards of searches.
#[derive(Debug, Default)]
pub struct BrokerSelector {
    brokers: Vec<BrokerState>,
    /// Indexes of the brokers by group, the first one ranked highest. Cleared when the list of
    /// brokers changes.
    rankings: HashMap<GroupId, Arc<[usize]>>,
    /// Advances with each choice, so that equally loaded brokers take turns.
    rotation: usize,
}

impl BrokerSelector {
    /// Replaces the list of brokers, and keeps the state of those that are still listed.
    pub fn sync(&mut self, endpoints: &[BrokerEndpoint], now: MonoTime) {
        self.rankings.clear();
        self.brokers
            .retain(|known| endpoints.contains(&known.endpoint) || now < known.helper_until);
        for endpoint in endpoints {
            if !self.brokers.iter().any(|known| known.endpoint == *endpoint) {
                self.brokers.push(BrokerState::new(endpoint.clone(), now));
            }
        }
    }

    /// Adds VMs that may help this one while it has lost its links to targets, in any data centre.
    pub fn add_helpers(&mut self, endpoints: &[BrokerEndpoint], now: MonoTime) {
        self.rankings.clear();
        for endpoint in endpoints {
            if !self.brokers.iter().any(|known| known.endpoint == *endpoint) {
                self.brokers.push(BrokerState::new(endpoint.clone(), now));
            }
            if let Some(broker) = self.broker_mut(endpoint.address) {
                broker.helper_until = now + Duration::from_millis(HELPER_TTL_MS);
            }
        }
    }

    /// Has all VMs probed again before they are used, but those in `verified`.
    ///
    /// Load pattern: many VMs lose their links to targets at once, and those that get few requests do not
    /// know yet.
    pub fn require_new_probes(&mut self, verified: &[SocketAddr], now: MonoTime) {
        for broker in &mut self.brokers {
            broker.probe_passed = verified.contains(&broker.endpoint.address);
            broker.failures = 0;
            broker.probe_at = now;
        }
    }

    /// Returns the known VMs, in no order.
    pub fn endpoints(&self) -> impl Iterator<Item = &BrokerEndpoint> {
        self.brokers.iter().map(|broker| &broker.endpoint)
    }

    /// Returns the VM that takes a request of this one, which has lost its links to targets: the one
    /// with the fewest requests of this VM in flight, where a distant one must have fewer. `excluded`
    /// are those that have not taken it, and `may_take` returns whether a VM may take it at all.
    ///
    /// Counts the request as in flight there.
    pub fn choose_helper(
        &mut self,
        locality: impl Fn(&str) -> Locality,
        may_take: impl Fn(&BrokerEndpoint) -> bool,
        excluded: &[SocketAddr],
        now: MonoTime,
    ) -> Option<BrokerEndpoint> {
        self.rotation = self.rotation.wrapping_add(1);
        let (rotation, count) = (self.rotation, self.brokers.len());
        let cost = |(index, broker): &(usize, &mut BrokerState)| {
            let head_start = match locality(&broker.endpoint.centre) {
                Locality::Centre => 0,
                Locality::Region => REGION_HEAD_START,
                Locality::Far => FAR_HEAD_START,
            };
            let pause = if now < broker.retry_at {
                DECLINED_HEAD_START
            } else {
                0
            };
            let cost = broker.in_flight + head_start + pause;
            (cost, (index + rotation) % count)
        };
        let usable = self.brokers.iter_mut().enumerate().filter(|(_, broker)| {
            let is_excluded = excluded.contains(&broker.endpoint.address);
            broker.probe_passed && !is_excluded && may_take(&broker.endpoint)
        });
        let (_, chosen) = usable.min_by_key(cost)?;
        chosen.in_flight += 1;
        Some(chosen.endpoint.clone())
    }

    /// Returns up to `count` VMs that must be probed now to find some that take requests, near ones
    /// first, and marks them as being probed.
    pub fn due_helper_probes(
        &mut self,
        count: usize,
        locality: impl Fn(&str) -> Locality,
        now: MonoTime,
    ) -> Vec<SocketAddr> {
        let mut due: Vec<&mut BrokerState> = self
            .brokers
            .iter_mut()
            .filter(|broker| !broker.probe_passed && !broker.probing && now >= broker.probe_at)
            .collect();
        due.sort_by_key(|broker| (locality(&broker.endpoint.centre), broker.failures));
        due.truncate(count);
        let begin = |broker: &mut BrokerState| {
            broker.probing = true;
            broker.endpoint.address
        };
        due.into_iter().map(begin).collect()
    }

    /// Returns the broker for the group of shards with this key in the data centre `centre`: of the
    /// first usable ones in its ranking, the one with the fewest searches of this VM in flight.
    ///
    /// Counts the search as in flight at that broker. No search is sent to a broker before it has
    /// answered a probe, or if `may_take` returns false for it.
    pub fn choose(
        &mut self,
        centre: &Arc<str>,
        key: &Arc<str>,
        may_take: impl Fn(&BrokerEndpoint) -> bool,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let ranking = self.ranking(centre, key);
        let is_usable = |index: &usize| {
            let broker = &self.brokers[*index];
            broker.probe_passed && now >= broker.retry_at && may_take(&broker.endpoint)
        };
        let candidates = ranking.iter().copied().filter(is_usable);
        let candidates: Vec<usize> = candidates.take(BROKERS_PER_GROUP).collect();
        self.rotation = self.rotation.wrapping_add(1);
        let count = candidates.len();
        let order = (0..count).map(|step| candidates[(self.rotation + step) % count]);
        let chosen = order.min_by_key(|index| self.brokers[*index].in_flight)?;
        let broker = &mut self.brokers[chosen];
        broker.in_flight += 1;
        Some(broker.endpoint.address)
    }

    /// Returns the indexes of the brokers in `centre`, ordered by their weight for `key`.
    fn ranking(&mut self, centre: &Arc<str>, key: &Arc<str>) -> Arc<[usize]> {
        let group = GroupId {
            centre: Arc::clone(centre),
            key: Arc::clone(key),
        };
        let ranking = self.rankings.entry(group).or_insert_with(|| {
            let brokers = self.brokers.iter().enumerate();
            let in_centre = brokers.filter(|(_, broker)| broker.endpoint.centre == *centre);
            let mut ranked: Vec<(u64, usize)> = in_centre
                .map(|(index, broker)| (rendezvous_weight(broker.endpoint.address, key), index))
                .collect();
            ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
            ranked.into_iter().map(|(_, index)| index).collect()
        });
        Arc::clone(ranking)
    }

    /// Records the outcome of a search that was handed over to the broker at `address`.
    pub fn record_handover_end(
        &mut self,
        address: SocketAddr,
        outcome: HandoverOutcome,
        now: MonoTime,
    ) {
        let Some(broker) = self.broker_mut(address) else {
            return;
        };
        broker.in_flight = broker.in_flight.saturating_sub(1);
        match outcome {
            HandoverOutcome::Answered => broker.failures = 0,
            HandoverOutcome::NotTaken => {
                broker.retry_at = now + Duration::from_millis(DECLINED_PAUSE_MS);
            }
            HandoverOutcome::Failed | HandoverOutcome::Stranded if broker.probe_passed => {
                broker.record_failure(now);
            }
            HandoverOutcome::Failed | HandoverOutcome::Stranded | HandoverOutcome::Abandoned => {}
        }
    }

    /// Records that a broker with a search in flight has not replied to a probe. It gets no further
    /// searches before it does.
    pub fn record_silence(&mut self, address: SocketAddr, now: MonoTime) {
        if let Some(broker) = self.broker_mut(address)
            && broker.probe_passed
        {
            broker.record_failure(now);
        }
    }

    /// Returns the brokers in `centres` that must be probed now, and marks them as being probed.
    pub fn due_probes(&mut self, centres: &[Arc<str>], now: MonoTime) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for broker in &mut self.brokers {
            let is_wanted = centres.contains(&broker.endpoint.centre);
            if is_wanted && !broker.probe_passed && !broker.probing && now >= broker.probe_at {
                broker.probing = true;
                due.push(broker.endpoint.address);
            }
        }
        due
    }

    /// Records the result of a probe: whether the broker accepts searches, or `None` if it did
    /// not respond.
    pub fn record_probe(
        &mut self,
        address: SocketAddr,
        accepts_searches: Option<bool>,
        now: MonoTime,
    ) {
        let Some(broker) = self.broker_mut(address) else {
            return;
        };
        broker.probing = false;
        match accepts_searches {
            Some(true) => broker.probe_passed = true,
            Some(false) => broker.probe_at = now + Duration::from_millis(DECLINED_PROBE_PAUSE_MS),
            None => broker.record_failure(now),
        }
    }

    /// Returns the number of brokers that may be sent a search now.
    #[must_use]
    pub fn usable_count(&self, now: MonoTime) -> usize {
        let usable = |broker: &&BrokerState| broker.probe_passed && now >= broker.retry_at;
        self.brokers.iter().filter(usable).count()
    }

    fn broker_mut(&mut self, address: SocketAddr) -> Option<&mut BrokerState> {
        let mut brokers = self.brokers.iter_mut();
        brokers.find(|broker| broker.endpoint.address == address)
    }
}
