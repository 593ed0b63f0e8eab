//! Which requests a VM still takes in a planned stop, and by when it answers all of them.
//!
//! Load pattern: callers send on open connections until late in the grace period. What is passed on then
//! would be cut off with the process, with no answer, and may not be repeated.

use std::time::Duration;

use fulmarweir_base::MonoTime;

/// Fraction of the grace period in which a VM takes requests as ever. The load balancer needs time to
/// notice, and callers still use open connections.
const ACCEPT_SHARE: f64 = 0.5;
/// The process exits this long before the end of the grace period, in milliseconds.
const EXIT_MARGIN_MS: u64 = 400;
/// Requests are answered this long before the exit, in milliseconds, so that the answers are delivered.
const ANSWER_MARGIN_MS: u64 = 150;

/// The phases of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// Until when all requests are taken and connections accepted.
    pub accept_until: MonoTime,
    /// When requests in flight are answered with what there is.
    pub answer_by: MonoTime,
    /// When the process exits at the latest.
    pub exit_by: MonoTime,
}

impl StopPlan {
    /// Returns the plan of a VM that was asked to stop at `asked_at` and is killed `grace` later.
    #[must_use]
    pub fn new(asked_at: MonoTime, grace: Duration) -> Self {
        let accept_until = asked_at + grace.mul_f64(ACCEPT_SHARE);
        let before_end = |margin_ms| {
            let time = grace.saturating_sub(Duration::from_millis(margin_ms));
            (asked_at + time).max(accept_until)
        };
        Self {
            accept_until,
            answer_by: before_end(EXIT_MARGIN_MS + ANSWER_MARGIN_MS),
            exit_by: before_end(EXIT_MARGIN_MS),
        }
    }

    /// Whether a request that arrives now and ends at `deadline` is taken. One that is not can run at
    /// another VM.
    #[must_use]
    pub fn admits(&self, now: MonoTime, deadline: MonoTime) -> bool {
        now < self.accept_until || deadline <= self.answer_by
    }
}
