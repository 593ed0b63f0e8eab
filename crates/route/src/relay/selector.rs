//! What is known of all targets, and the choice of a target for one attempt.
//!
//! Load patterns: a replica that pauses, is slow, is near its limit or has just
//! gone, while its siblings can take the work.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAllowance;

use super::{
    attempt_budget::AttemptBudget,
    target_tracker::{AttemptSignal, Locality, TargetTracker},
};

/// Weight of the latest answer in a service's mean latency.
const WORK_WEIGHT: f64 = 0.02;
/// Mean latency of a service before its first answer, in milliseconds.
const WORK_DEFAULT_MS: f64 = 20.0;
/// Expected answer times are rough: only from this multiple of the useful time on is a target not asked.
const HOPELESS_FACTOR: f64 = 1.5;
/// One in so many connections to a target is left to others, since VMs differ on their number.
const CONNECTIONS_KEPT_PART: u32 = 10;

/// Shards for which one message to a broker is cheaper than one to each target.
const GROUP_MIN: usize = 4;

/// Connections of one VM to a target below which they are scarce: idle ones are given up soon.
///
/// The connections of VMs that lost power stay open at the target, and must leave room: so no
/// idle connection is kept for long.
const CONNECTIONS_SCARCE: u32 = 3;
const KEEP_IDLE_MS: u64 = 1_500;
const KEEP_SCARCE_NEAR_MS: u64 = 1_500;
const KEEP_SCARCE_FAR_MS: u64 = 500;

/// A target that may be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayTarget {
    /// Identifies it over all services.
    pub id: Arc<str>,
    /// Service whose requests it runs.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// How far that is.
    pub locality: Locality,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tells its incarnations apart.
    pub born_ms: u64,
    /// For how much longer it was slow when it was first heard of, in milliseconds.
    pub warm_up_ms: u32,
}

/// What a lane needs a target for.
#[derive(Debug)]
pub struct PickCriteria<'a> {
    /// Service that must answer.
    pub service: &'a Arc<str>,
    /// Targets that were asked since the last pause of the lane.
    pub tried: &'a [Arc<str>],
    /// Targets on which the request may have run.
    pub ran: &'a [Arc<str>],
    /// Targets on which it may run at most.
    pub ran_max: usize,
    /// Passes over targets that are down or full: a second attempt is not worth it there.
    pub spare: bool,
    /// Passes over targets outside this data centre.
    pub only_centre: Option<&'a Arc<str>>,
    /// Time in which an answer is of use, if the request can do without this service.
    pub patience: Option<Duration>,
}

/// The target for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetPick {
    /// Ask this one; `again` when the request may have run there already.
    Target {
        /// The target.
        target: Arc<RelayTarget>,
        /// Whether it was asked before.
        again: bool,
        /// How long a connection to it may be kept idle.
        idle_timeout: Duration,
    },
    /// Every target would answer long after the answer is of use.
    Hopeless,
    /// Every target that could be asked has as many open attempts as this VM has connections.
    Full,
    /// All were tried.
    Tried,
    /// The service has no target.
    Unknown,
}

/// Shards of a search whose nearest targets are in one other data centre of the region.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardGroup {
    /// The data centre.
    pub centre: Arc<str>,
    /// Their places in the list of services.
    pub sub_requests: Vec<usize>,
}

/// One target as this VM sees it, for status pages and logs.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSnapshot {
    /// The target.
    pub target: Arc<RelayTarget>,
    /// Requests of this VM that are open there.
    pub in_flight: u32,
    /// Load that is expected there, from all VMs.
    pub load: f64,
    /// Expected time to an answer with penalties, in milliseconds.
    pub score_ms: f64,
    /// Share of recent attempts that failed.
    pub failure_rate: f64,
}

#[derive(Debug)]
struct ServiceDesk {
    cards: Vec<TargetTracker>,
    budget: AttemptBudget,
    work_ms: f64,
}

impl Default for ServiceDesk {
    fn default() -> Self {
        Self {
            cards: Vec::new(),
            budget: AttemptBudget::default(),
            work_ms: WORK_DEFAULT_MS,
        }
    }
}

/// All targets by service.
#[derive(Debug)]
pub struct TargetSelector {
    services: HashMap<Arc<str>, ServiceDesk>,
    allowance: ExtraAllowance,
    vms: u32,
}

impl TargetSelector {
    /// A book without targets.
    #[must_use]
    pub fn new(allowance: ExtraAllowance) -> Self {
        Self {
            services: HashMap::new(),
            allowance,
            vms: 1,
        }
    }

    /// Replaces the targets; what is known of those that stay is kept.
    ///
    /// `connections_max` tells how many connections a target of a service accepts from all
    /// `vms` entry VMs together.
    pub fn sync(
        &mut self,
        targets: Vec<RelayTarget>,
        vms: u32,
        connections_max: impl Fn(&str) -> Option<u32>,
        now: MonoTime,
    ) {
        self.vms = vms.max(1);
        let mut cards: HashMap<Arc<str>, Vec<TargetTracker>> = HashMap::new();
        for target in targets {
            let limit = connections_max(&target.service);
            let share = self.connection_share(&target, limit);
            let known = self.take_card(&target);
            let mut card = match known {
                Some(card) => card,
                None => TargetTracker::new(Arc::new(target), share, now),
            };
            card.connections = share;
            let service = Arc::clone(&card.target.service);
            cards.entry(service).or_default().push(card);
        }
        for desk in self.services.values_mut() {
            desk.cards.clear();
        }
        for (service, cards) in cards {
            self.services.entry(service).or_default().cards = cards;
        }
    }

    fn take_card(&mut self, target: &RelayTarget) -> Option<TargetTracker> {
        let desk = self.services.get_mut(&target.service)?;
        let same = |card: &TargetTracker| {
            let known = &card.target;
            known.id == target.id
                && known.born_ms == target.born_ms
                && known.address == target.address
                && known.slots == target.slots
        };
        let place = desk.cards.iter().position(same)?;
        Some(desk.cards.swap_remove(place))
    }

    /// Connections that this VM may hold to a target.
    ///
    /// Every VM may hold one, also where they are more than the connections: few use the
    /// same target at once, and a target turns away only what is too much.
    fn connection_share(&self, target: &RelayTarget, limit: Option<u32>) -> u32 {
        let Some(limit) = limit.filter(|limit| *limit > 0) else {
            return target.slots.max(1);
        };
        let kept = limit / CONNECTIONS_KEPT_PART;
        ((limit - kept) / self.vms).max(1)
    }

    /// Counts a request that needs an answer of `service`.
    pub fn count_first_attempt(&mut self, service: &Arc<str>, now: MonoTime) {
        let allowance = self.allowance;
        if let Some(desk) = self.services.get_mut(service) {
            desk.budget.count_first_attempt(&allowance, now);
        }
    }

    /// Takes an extra attempt from the budget of `service`.
    pub fn try_acquire_extra(&mut self, service: &Arc<str>, now: MonoTime) -> bool {
        let (allowance, vms) = (self.allowance, self.vms);
        let desk = self.services.get_mut(service);
        desk.is_some_and(|desk| desk.budget.try_acquire_extra(&allowance, vms, now))
    }

    /// Extra attempts that the budget of `service` still allows.
    #[must_use]
    pub fn extra_left(&self, service: &str, now: MonoTime) -> f64 {
        let desk = self.services.get(service);
        desk.map_or(0.0, |desk| {
            desk.budget.remaining(&self.allowance, self.vms, now)
        })
    }

    /// Chooses the target that is expected to answer first.
    #[must_use]
    pub fn pick(&self, ask: &PickCriteria<'_>, now: MonoTime) -> TargetPick {
        let Some(desk) = self.services.get(ask.service) else {
            return TargetPick::Unknown;
        };
        let used_up = ask.ran.len() >= ask.ran_max;
        let mut best: Option<(f64, &TargetTracker, bool)> = None;
        let mut any = false;
        let mut any_untried = false;
        let is_allowed = |card: &&TargetTracker| {
            let only = ask.only_centre;
            !card.moved && only.is_none_or(|centre| *centre == card.target.centre)
        };
        for card in desk.cards.iter().filter(is_allowed) {
            any = true;
            let again = ask.ran.contains(&card.target.id);
            if ask.tried.contains(&card.target.id) || (used_up && !again) {
                continue;
            }
            any_untried = true;
            if !card.has_free_connection()
                || (ask.spare && (card.is_down(now) || card.is_overloaded(now)))
            {
                continue;
            }
            let score = card.score(desk.work_ms, now);
            if best.as_ref().is_none_or(|(lowest, _, _)| score < *lowest) {
                best = Some((score, card, again));
            }
        }
        let is_hopeless = |lowest: f64| {
            let patience = ask.patience.map(|patience| patience.as_secs_f64() * 1000.0);
            patience.is_some_and(|patience| lowest > patience * HOPELESS_FACTOR)
        };
        match best {
            Some((lowest, _, _)) if is_hopeless(lowest) => TargetPick::Hopeless,
            Some((_, card, again)) => TargetPick::Target {
                target: Arc::clone(&card.target),
                again,
                idle_timeout: idle_timeout(card),
            },
            None if any_untried => TargetPick::Full,
            None if any => TargetPick::Tried,
            None => TargetPick::Unknown,
        }
    }

    /// Notes that an attempt was sent.
    pub fn attempt_sent(&mut self, target: &RelayTarget, now: MonoTime) {
        if let Some((card, _)) = self.card(target) {
            card.attempt_sent(now);
        }
    }

    /// Notes how an attempt ended that was sent at `sent_at`.
    pub fn attempt_ended(
        &mut self,
        target: &RelayTarget,
        sent_at: MonoTime,
        signal: AttemptSignal,
        now: MonoTime,
    ) {
        let Some((card, work_ms)) = self.card(target) else {
            return;
        };
        if let AttemptSignal::Answered { latency, .. } = signal
            && target.locality == Locality::Centre
        {
            *work_ms += WORK_WEIGHT * (latency.as_secs_f64() * 1000.0 - *work_ms);
        }
        card.attempt_ended(sent_at, signal, now);
    }

    fn card(&mut self, target: &RelayTarget) -> Option<(&mut TargetTracker, &mut f64)> {
        let desk = self.services.get_mut(&target.service)?;
        let same = |card: &&mut TargetTracker| {
            card.target.id == target.id && card.target.born_ms == target.born_ms
        };
        let card = desk.cards.iter_mut().find(same)?;
        Some((card, &mut desk.work_ms))
    }

    /// Whether any target of `service` is known.
    #[must_use]
    pub fn has_target(&self, service: &str) -> bool {
        let desk = self.services.get(service);
        desk.is_some_and(|desk| desk.cards.iter().any(|card| !card.moved))
    }

    /// The shards of a search that are better asked from another data centre of the region.
    ///
    /// Those without a target in this data centre, by the data centre that has one; a data
    /// centre with too few of them is left out.
    #[must_use]
    pub fn shard_groups(&self, services: &[Arc<str>]) -> Vec<ShardGroup> {
        let mut groups: BTreeMap<Arc<str>, Vec<usize>> = BTreeMap::new();
        for (sub_request, service) in services.iter().enumerate() {
            let desk = self.services.get(service);
            let cards = desk.map_or(&[][..], |desk| &desk.cards);
            let live = cards.iter().filter(|card| !card.moved);
            let nearest = live.min_by_key(|card| (card.target.locality, &card.target.centre));
            let Some(nearest) = nearest.filter(|c| c.target.locality == Locality::Region) else {
                continue;
            };
            let centre = Arc::clone(&nearest.target.centre);
            groups.entry(centre).or_default().push(sub_request);
        }
        let groups = groups.into_iter();
        let groups = groups.map(|(centre, sub_requests)| ShardGroup {
            centre,
            sub_requests,
        });
        groups
            .filter(|g| g.sub_requests.len() >= GROUP_MIN)
            .collect()
    }

    /// How this VM sees the targets of a service.
    #[must_use]
    pub fn target_snapshots(&self, service: &str, now: MonoTime) -> Vec<TargetSnapshot> {
        let Some(desk) = self.services.get(service) else {
            return Vec::new();
        };
        let sight = |card: &TargetTracker| TargetSnapshot {
            target: Arc::clone(&card.target),
            in_flight: card.in_flight(),
            load: card.load(now),
            score_ms: card.score(desk.work_ms, now),
            failure_rate: card.failure_rate(now),
        };
        desk.cards.iter().map(sight).collect()
    }

    /// Time after which work that found every target of a service full may find room.
    #[must_use]
    pub fn relief_after(&self, service: &str, now: MonoTime) -> Duration {
        let Some(desk) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let turns = |card: &TargetTracker| card.load(now) / f64::from(card.target.slots.max(1));
        let least = desk.cards.iter().map(turns).fold(f64::MAX, f64::min);
        Duration::from_secs_f64(desk.work_ms * least.clamp(1.0, 100.0) / 1000.0)
    }
}

/// How long an idle connection to a target may be kept.
fn idle_timeout(card: &TargetTracker) -> Duration {
    let scarce = card.connections < CONNECTIONS_SCARCE;
    Duration::from_millis(match (scarce, card.target.locality) {
        (false, _) => KEEP_IDLE_MS,
        (true, Locality::Far) => KEEP_SCARCE_FAR_MS,
        (true, Locality::Centre | Locality::Region) => KEEP_SCARCE_NEAR_MS,
    })
}
