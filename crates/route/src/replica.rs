//! Replica selection for one attempt.

use std::sync::Arc;

use fulmarweir_base::{MonoTime, TargetRecord, lock};
use rand::{Rng, RngExt};

use crate::{
    ReplicaPolicy, ServiceState,
    load::{TargetEligibility, TargetRating},
};

/// One in this many required attempts is a probe, if one of the holders is due for a probe.
const PROBE_ONE_IN: u32 = 4;

/// Whether an attempt must be sent even if no healthy replica is left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptPriority {
    /// The attempt must be sent to some replica.
    Required,
    /// A hedge, which is not worth queueing: it is sent only to a healthy replica without a queue.
    Optional,
}

struct RatedTarget<'a> {
    target: &'a Arc<TargetRecord>,
    rating: TargetRating,
}

impl RatedTarget<'_> {
    /// Whether the target is neither ejected nor much slower than the service's other targets.
    fn is_healthy(&self) -> bool {
        self.rating.eligibility == TargetEligibility::Normal && !self.rating.slow
    }
}

/// Chooses one of the `holders` of a shard of `version`, except those in `tried`.
///
/// A required attempt goes to an unhealthy target only as a probe, or if no healthy target is left.
/// A shard whose replicas are all ejected is thus still served.
pub(crate) fn choose_replica(
    state: &ServiceState,
    holders: &[Arc<TargetRecord>],
    tried: &[Arc<TargetRecord>],
    version: u64,
    priority: AttemptPriority,
    now: MonoTime,
    rng: &mut dyn Rng,
) -> Option<Arc<TargetRecord>> {
    let median = lock(&state.latency).median();
    let untried =
        |holder: &&Arc<TargetRecord>| tried.iter().all(|target| target.name != holder.name);
    let mut rated: Vec<RatedTarget<'_>> = holders
        .iter()
        .filter(untried)
        .map(|target| RatedTarget {
            target,
            rating: state.table.rate(target, version, median, now),
        })
        .filter(|candidate| !candidate.rating.version_gone)
        .collect();
    if state.settings.replica == ReplicaPolicy::Random {
        return pick_random(&rated, rng);
    }
    if priority == AttemptPriority::Optional {
        rated.retain(|candidate| candidate.is_healthy() && !candidate.rating.saturated);
        return power_of_two_choices(&rated, rng);
    }
    let to_probe = rated
        .iter()
        .find(|candidate| candidate.rating.eligibility == TargetEligibility::ProbeOnly);
    if let Some(probe) = to_probe
        && rng.random_range(0..PROBE_ONE_IN) == 0
    {
        return Some(Arc::clone(probe.target));
    }
    if rated.iter().any(RatedTarget::is_healthy) {
        rated.retain(RatedTarget::is_healthy);
    }
    thin_out_slow_start(&mut rated, rng);
    power_of_two_choices(&rated, rng)
}

/// Whether at least one holder may still hold `version`.
pub(crate) fn has_holder(
    state: &ServiceState,
    holders: &[Arc<TargetRecord>],
    version: u64,
    now: MonoTime,
) -> bool {
    holders
        .iter()
        .any(|target| !state.table.rate(target, version, None, now).version_gone)
}

/// Removes targets in slow start at random, with a probability that falls as their share grows.
/// The targets with the highest share always stay.
fn thin_out_slow_start(rated: &mut Vec<RatedTarget<'_>>, rng: &mut dyn Rng) {
    let highest_share = rated
        .iter()
        .map(|candidate| candidate.rating.slow_start_share)
        .fold(0.0, f64::max);
    rated.retain(|candidate| {
        let share = candidate.rating.slow_start_share / highest_share;
        share >= 1.0 || rng.random_bool(share)
    });
}

fn pick_random(rated: &[RatedTarget<'_>], rng: &mut dyn Rng) -> Option<Arc<TargetRecord>> {
    if rated.is_empty() {
        return None;
    }
    let index = rng.random_range(0..rated.len());
    Some(Arc::clone(rated[index].target))
}

fn power_of_two_choices(rated: &[RatedTarget<'_>], rng: &mut dyn Rng) -> Option<Arc<TargetRecord>> {
    if rated.len() < 2 {
        return rated.first().map(|candidate| Arc::clone(candidate.target));
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
