//! The choice of a replica for one attempt.

use std::sync::Arc;

use fulmarweir_base::{MonoTime, TargetRecord, lock};
use rand::{Rng, RngExt};

use crate::{
    ReplicaPolicy, ServiceState,
    load::{TargetRating, TargetStanding},
};

/// One in so many choices goes to a target that is to be probed.
const PROBE_CHANCE: u32 = 4;

/// What the chosen replica is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChoicePurpose {
    /// An attempt that must be sent somewhere.
    Needed,
    /// A hedge, which is not worth a place in a target's queue.
    Spare,
}

struct RatedTarget<'a> {
    target: &'a Arc<TargetRecord>,
    rating: TargetRating,
}

impl RatedTarget<'_> {
    /// Neither ejected nor much slower than the others.
    fn is_healthy(&self) -> bool {
        self.rating.standing == TargetStanding::Normal && !self.rating.slow
    }
}

/// Chooses among `holders` of a shard of `version`, leaving out `tried`.
///
/// Ejected targets are passed over while another holder is left, so that no
/// shard loses all its replicas to ejection.
pub(crate) fn choose_replica(
    state: &ServiceState,
    holders: &[Arc<TargetRecord>],
    tried: &[Arc<TargetRecord>],
    version: u64,
    purpose: ChoicePurpose,
    now: MonoTime,
    rng: &mut dyn Rng,
) -> Option<Arc<TargetRecord>> {
    let median = lock(&state.latency).median();
    let untried = |holder: &&Arc<TargetRecord>| tried.iter().all(|one| one.name != holder.name);
    let mut rated: Vec<RatedTarget<'_>> = holders
        .iter()
        .filter(untried)
        .map(|target| RatedTarget {
            target,
            rating: state.table.rate(target, version, median, now),
        })
        .filter(|one| !one.rating.gone)
        .collect();
    if state.settings.replica == ReplicaPolicy::Random {
        return pick_any(&rated, rng);
    }
    if purpose == ChoicePurpose::Spare {
        rated.retain(|one| one.is_healthy() && !one.rating.loaded);
        return lower_of_two(&rated, rng);
    }
    let to_probe = rated
        .iter()
        .find(|one| one.rating.standing == TargetStanding::Probe);
    if let Some(probe) = to_probe
        && rng.random_range(0..PROBE_CHANCE) == 0
    {
        return Some(Arc::clone(probe.target));
    }
    if rated.iter().any(RatedTarget::is_healthy) {
        rated.retain(RatedTarget::is_healthy);
    }
    pass_over_cold(&mut rated, rng);
    lower_of_two(&rated, rng)
}

/// Whether any holder has not said that it lacks `version`.
pub(crate) fn has_holder(
    state: &ServiceState,
    holders: &[Arc<TargetRecord>],
    version: u64,
    now: MonoTime,
) -> bool {
    holders
        .iter()
        .any(|target| !state.table.rate(target, version, None, now).gone)
}

/// Leaves out targets in slow start, the colder the more often; the warmest always stay.
fn pass_over_cold(rated: &mut Vec<RatedTarget<'_>>, rng: &mut dyn Rng) {
    let warmest = rated
        .iter()
        .map(|one| one.rating.warmth)
        .fold(0.0, f64::max);
    rated.retain(|one| {
        let share = one.rating.warmth / warmest;
        share >= 1.0 || rng.random_bool(share)
    });
}

fn pick_any(rated: &[RatedTarget<'_>], rng: &mut dyn Rng) -> Option<Arc<TargetRecord>> {
    if rated.is_empty() {
        return None;
    }
    let place = rng.random_range(0..rated.len());
    Some(Arc::clone(rated[place].target))
}

fn lower_of_two(rated: &[RatedTarget<'_>], rng: &mut dyn Rng) -> Option<Arc<TargetRecord>> {
    if rated.len() < 2 {
        return rated.first().map(|one| Arc::clone(one.target));
    }
    let first = rng.random_range(0..rated.len());
    let step = rng.random_range(1..rated.len());
    let second = (first + step) % rated.len();
    let (a, b) = (&rated[first], &rated[second]);
    let lower = if b.rating.score < a.rating.score {
        b
    } else {
        a
    };
    Some(Arc::clone(lower.target))
}
