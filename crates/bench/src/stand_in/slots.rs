//! Concurrency limit of a stand-in target: slots with a bounded queue.

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limits the number of running and waiting requests.
#[derive(Clone, Debug)]
pub(crate) struct SlotLimiter {
    state: Arc<LimiterState>,
}

#[derive(Debug)]
struct LimiterState {
    slots: u32,
    queue: usize,
    semaphore: Arc<Semaphore>,
    waiting: AtomicUsize,
    running: AtomicU64,
    running_max: AtomicU64,
}

/// One occupied slot, released on drop.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    state: Arc<LimiterState>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One occupied place in the queue, released on drop.
struct QueueGuard<'a>(&'a LimiterState);

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Load at one point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SlotLoad {
    pub(crate) running: u64,
    pub(crate) slots: u32,
    pub(crate) waiting: usize,
}

impl SlotLimiter {
    pub(crate) fn new(slots: u32, queue: usize) -> Self {
        let state = LimiterState {
            slots,
            queue,
            semaphore: Arc::new(Semaphore::new(slots as usize)),
            waiting: AtomicUsize::new(0),
            running: AtomicU64::new(0),
            running_max: AtomicU64::new(0),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Waits for a slot; returns `None` when the queue is full.
    pub(crate) async fn acquire(&self) -> Option<SlotGuard> {
        let state = &self.state;
        if let Ok(permit) = Arc::clone(&state.semaphore).try_acquire_owned() {
            return Some(self.occupy(permit));
        }
        let waiting_before = state.waiting.fetch_add(1, Ordering::Relaxed);
        let guard = QueueGuard(state);
        if waiting_before >= state.queue {
            return None;
        }
        let permit = Arc::clone(&state.semaphore).acquire_owned().await.ok()?;
        drop(guard);
        Some(self.occupy(permit))
    }

    pub(crate) fn load(&self) -> SlotLoad {
        SlotLoad {
            running: self.state.running.load(Ordering::Relaxed),
            slots: self.state.slots,
            waiting: self.state.waiting.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn running_max(&self) -> u64 {
        self.state.running_max.load(Ordering::Relaxed)
    }

    fn occupy(&self, permit: OwnedSemaphorePermit) -> SlotGuard {
        let state = Arc::clone(&self.state);
        let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
        state.running_max.fetch_max(running, Ordering::Relaxed);
        SlotGuard {
            state,
            _permit: permit,
        }
    }
}
