//! What targets have told this VM about themselves: that they leave, or that they want no requests
//! for some time.
//!
//! Load patterns: a target is replaced while searches go on; a target is so full that even refusing
//! costs it too much. Notices are kept by incarnation, apart from the trackers: a tracker is dropped
//! when keepers stop listing its target, and a late announcement brings the target back.

use std::{collections::HashMap, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;

use super::selector::RelayTarget;

/// Time for which the notice of an incarnation that leaves is kept, in milliseconds. No announcement
/// is delayed for longer.
const LEAVING_TTL_MS: u64 = 600_000;
/// Part of the time that a target asked for by which VMs return later, each by a random share of it,
/// and the upper bound of this delay in milliseconds.
const RETURN_SPREAD_DIVISOR: u32 = 2;
const RETURN_SPREAD_MAX_MS: u64 = 2_000;

/// A notice of a target about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// The target leaves, and gets no new requests after this time.
    pub leaves_within: Option<Duration>,
    /// The target wants no requests of this VM for this time.
    pub closed_for: Option<Duration>,
}

impl TargetNotice {
    /// Whether the notice says nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.leaves_within.is_none() && self.closed_for.is_none()
    }
}

/// What a notice changed in the state of its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoticeChange {
    /// The target was not known to leave before.
    pub leaving: bool,
    /// The target accepted requests before.
    pub closed: bool,
}

/// The notices of one incarnation of a target that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeState {
    /// When a target that leaves gets no more requests at all.
    left_at: Option<MonoTime>,
    /// Until when the target gets no requests.
    closed_until: MonoTime,
    /// Whether the target has been closed and has not answered since.
    is_returning: bool,
}

impl NoticeState {
    /// Whether the target has said that it leaves.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }

    /// Whether the target must get no request any more.
    pub(crate) fn has_left(&self, now: MonoTime) -> bool {
        self.left_at.is_some_and(|left_at| left_at <= now)
    }

    /// Returns until when the target gets no requests, if that is later than `now`.
    pub(crate) fn closed_until(&self, now: MonoTime) -> Option<MonoTime> {
        (self.closed_until > now).then_some(self.closed_until)
    }

    /// Whether a request may be sent to the target now, given the requests of this VM in flight
    /// there.
    ///
    /// After the time that a target asked for, a single request of each VM shows whether it accepts
    /// requests again; all that waited would meet it at once otherwise.
    pub(crate) fn allows(&self, in_flight: u32, now: MonoTime) -> bool {
        !self.has_left(now)
            && self.closed_until(now).is_none()
            && (!self.is_returning || in_flight == 0)
    }

    /// Records that the target has answered a request.
    pub(crate) fn record_answer(&mut self, now: MonoTime) {
        if self.closed_until(now).is_none() {
            self.is_returning = false;
        }
    }

    fn apply(&mut self, notice: TargetNotice, spread: f64, now: MonoTime) -> NoticeChange {
        let mut change = NoticeChange::default();
        if let Some(leaves_within) = notice.leaves_within {
            change.leaving = self.left_at.is_none();
            let left_at = now + leaves_within;
            self.left_at = Some(self.left_at.map_or(left_at, |known| known.min(left_at)));
        }
        if let Some(closed_for) = notice.closed_for {
            change.closed = self.closed_until(now).is_none();
            let until = now + closed_for + return_delay(closed_for, spread);
            self.closed_until = self.closed_until.max(until);
            self.is_returning = true;
        }
        change
    }
}

/// Returns by how much later than a target asked for a VM returns to it.
///
/// VMs do not tell each other when they return, so each one draws its own `spread` from 0 to 1.
fn return_delay(closed_for: Duration, spread: f64) -> Duration {
    let delay_max = closed_for / RETURN_SPREAD_DIVISOR;
    let delay_max = delay_max.min(Duration::from_millis(RETURN_SPREAD_MAX_MS));
    delay_max.mul_f64(spread.clamp(0.0, 1.0))
}

/// An incarnation of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct TargetIncarnation {
    pub(crate) id: Arc<str>,
    pub(crate) born_ms: u64,
}

impl TargetIncarnation {
    pub(crate) fn of(target: &RelayTarget) -> Self {
        Self {
            id: Arc::clone(&target.id),
            born_ms: target.born_ms,
        }
    }
}

/// The notices in force, by incarnation of a target.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    states: HashMap<TargetIncarnation, NoticeState>,
}

impl NoticeTable {
    /// Returns the notices of a target that are in force.
    pub(crate) fn state_of(&self, target: &RelayTarget) -> NoticeState {
        if self.states.is_empty() {
            return NoticeState::default();
        }
        let state = self.states.get(&TargetIncarnation::of(target));
        state.copied().unwrap_or_default()
    }

    /// Records a notice of `target`; returns its state and what has changed.
    pub(crate) fn record(
        &mut self,
        target: &RelayTarget,
        notice: TargetNotice,
        spread: f64,
        now: MonoTime,
    ) -> (NoticeState, NoticeChange) {
        let state = self.states.entry(TargetIncarnation::of(target));
        let state = state.or_default();
        let change = state.apply(notice, spread, now);
        (*state, change)
    }

    /// Records that `target` has answered a request.
    pub(crate) fn record_answer(&mut self, target: &RelayTarget, now: MonoTime) {
        if let Some(state) = self.states.get_mut(&TargetIncarnation::of(target)) {
            state.record_answer(now);
        }
    }

    /// Removes the notices that are no longer in force.
    pub(crate) fn remove_expired(&mut self, now: MonoTime) {
        let ttl = Duration::from_millis(LEAVING_TTL_MS);
        self.states.retain(|_, state| {
            let is_kept = |left_at| now.since(left_at) < ttl;
            state.left_at.is_some_and(is_kept) || state.closed_until(now).is_some()
        });
    }
}
