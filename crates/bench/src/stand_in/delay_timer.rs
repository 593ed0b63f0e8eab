//! A timer for consecutive delays that does not accumulate rounding errors.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Timer for the consecutive delays of one request.
///
/// Tokio's timers round up to whole milliseconds. Each delay starts when the previous delay
/// was due to end, so that only the sum is rounded up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DelayTimer {
    due: Instant,
}

impl DelayTimer {
    pub(crate) fn start() -> Self {
        Self {
            due: Instant::now(),
        }
    }

    /// Waits until `delay` after the time at which the previous delay was due to end.
    pub(crate) async fn sleep(&mut self, delay: Duration) {
        self.due += delay;
        sleep_until(self.due).await;
    }

    /// Postpones the start of the next delay by `waited`, e.g. after a wait for a slot.
    pub(crate) fn advance(&mut self, waited: Duration) {
        self.due += waited;
    }
}
