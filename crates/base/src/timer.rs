//! The timer service: the clock of the process and its periodic ticks.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{MonoTime, lock};

/// Unread ticks that are queued per subscription. A subscriber that falls behind loses the spacing
/// of older ticks, not the newest tick.
const TICK_QUEUE_CAPACITY: usize = 1;

/// The clock of the process and the source of periodic ticks.
///
/// Clones share the clock and the subscriptions.
#[derive(Clone, Debug)]
pub struct TimerService {
    shared: Arc<TimerShared>,
}

#[derive(Debug)]
struct TimerShared {
    start: Instant,
    stop: CancellationToken,
    tasks: std::sync::Mutex<Vec<JoinHandle<()>>>,
}

/// A subscription to periodic ticks.
#[derive(Debug)]
pub struct TimerTicks {
    receiver: mpsc::Receiver<MonoTime>,
}

impl TimerTicks {
    /// Waits for the next tick. Returns `None` once the service is closed.
    pub async fn next(&mut self) -> Option<MonoTime> {
        self.receiver.recv().await
    }
}

impl Default for TimerService {
    fn default() -> Self {
        Self::new()
    }
}

impl TimerService {
    /// Creates a clock that starts at [`MonoTime::ZERO`].
    #[must_use]
    pub fn new() -> Self {
        let shared = TimerShared {
            start: Instant::now(),
            stop: CancellationToken::new(),
            tasks: std::sync::Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.shared.start.elapsed()
    }

    /// Waits until `deadline`, or not at all if it has passed.
    pub async fn sleep_until(&self, deadline: MonoTime) {
        let delay = deadline.since(MonoTime::ZERO);
        tokio::time::sleep_until(self.shared.start + delay).await;
    }

    /// Subscribes to a tick every `period`, until the service is closed or the ticks are dropped.
    ///
    /// Must be called within a tokio runtime.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> TimerTicks {
        let (sender, receiver) = mpsc::channel(TICK_QUEUE_CAPACITY);
        let service = self.clone();
        let task = tokio::spawn(async move { service.send_ticks(period, sender).await });
        let mut tasks = lock(&self.shared.tasks);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
        TimerTicks { receiver }
    }

    /// Ends all subscriptions and waits until their tasks have finished.
    pub async fn close(&self) {
        self.shared.stop.cancel();
        let tasks = std::mem::take(&mut *lock(&self.shared.tasks));
        for task in tasks {
            let _ = task.await;
        }
    }

    async fn send_ticks(&self, period: Duration, sender: mpsc::Sender<MonoTime>) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.shared.stop.cancelled() => return,
                () = sender.closed() => return,
                _ = ticks.tick() => {}
            }
            // The channel is full if the subscriber has not read the previous tick yet.
            let _ = sender.try_send(self.now());
        }
    }
}
