//! Delays in a row that add up without the rounding of each.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// The time at which the next delay of a request starts.
///
/// Timers round up to whole milliseconds. Each delay here starts where the one
/// before should have ended, so that the sum is rounded only once.
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

    /// Waits until `delay` after the end of the last one.
    pub(crate) async fn sleep(&mut self, delay: Duration) {
        self.due += delay;
        sleep_until(self.due).await;
    }

    /// Takes a wait of real time, such as that for a slot, into account.
    pub(crate) fn advance(&mut self, waited: Duration) {
        self.due += waited;
    }
}
