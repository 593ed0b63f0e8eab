//! The timer service: one clock per process that parts subscribe to.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{MonoTime, lock};

/// Ticks that may wait unread; a subscriber that lags loses the older ones' spacing, not the newest.
const TICK_BACKLOG: usize = 1;

/// The clock of the process and the source of periodic ticks.
///
/// Cloning shares the same clock. [`TimerService::close`] ends all tick
/// streams and waits for their tasks.
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
    /// Waits for the next tick; `None` once the service has closed.
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
    /// Starts a clock at [`MonoTime::ZERO`].
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

    /// The present time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.shared.start.elapsed()
    }

    /// Waits until `deadline`; returns at once when it has passed.
    pub async fn sleep_until(&self, deadline: MonoTime) {
        let delay = deadline.since(MonoTime::ZERO);
        tokio::time::sleep_until(self.shared.start + delay).await;
    }

    /// Ticks every `period` until the service closes or the subscription is dropped.
    ///
    /// Must be called inside a tokio runtime.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> TimerTicks {
        let (sender, receiver) = mpsc::channel(TICK_BACKLOG);
        let service = self.clone();
        let task = tokio::spawn(async move { service.send_ticks(period, sender).await });
        let mut tasks = lock(&self.shared.tasks);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
        TimerTicks { receiver }
    }

    /// Ends every subscription and waits for their tasks.
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
            // A full channel means the subscriber has not read the last tick yet.
            let _ = sender.try_send(self.now());
        }
    }
}
