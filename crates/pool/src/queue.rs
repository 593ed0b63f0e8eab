//! Slots of one target, granted to waiting attempts in the order of their deadlines.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use fulmarweir_base::{MonoTime, lock};
use tokio::sync::oneshot;

use crate::request::{Result, TargetError, TargetFault};

/// Attempts that may wait for each slot; a longer queue only holds work that misses its deadline.
const WAITING_PER_SLOT: usize = 8;

type WaitKey = (MonoTime, u64);

/// Grants at most a set number of slots at once.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    state: Mutex<QueueState>,
}

#[derive(Debug, Default)]
struct QueueState {
    limit: usize,
    running: usize,
    next_number: u64,
    waiting: BTreeMap<WaitKey, oneshot::Sender<SlotPermit>>,
}

/// A granted slot; dropping it hands the slot to the next attempt.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    queue: Option<Arc<SlotQueue>>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}

/// Takes an abandoned wait out of the queue.
struct WaitGuard<'a> {
    queue: &'a SlotQueue,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.lock().waiting.remove(&self.key);
    }
}

impl SlotQueue {
    pub(crate) fn new(limit: usize) -> Self {
        let state = QueueState {
            limit,
            ..QueueState::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for a slot. The caller bounds the wait by the deadline.
    pub(crate) async fn acquire(self: &Arc<Self>, deadline: MonoTime) -> Result<SlotPermit> {
        let (key, receiver) = {
            let mut state = self.lock();
            if state.limit == 0 {
                return Err(TargetError::not_run(TargetFault::NoShare));
            }
            if state.running < state.limit {
                state.running += 1;
                return Ok(self.permit());
            }
            if state.waiting.len() >= state.limit * WAITING_PER_SLOT {
                return Err(TargetError::not_run(TargetFault::QueueFull));
            }
            let (sender, receiver) = oneshot::channel();
            let key = (deadline, state.next_number);
            state.next_number += 1;
            state.waiting.insert(key, sender);
            (key, receiver)
        };
        let _guard = WaitGuard { queue: self, key };
        receiver
            .await
            .map_err(|_| TargetError::not_run(TargetFault::NoShare))
    }

    /// Changes the number of slots; running requests are not interrupted.
    pub(crate) fn set_limit(self: &Arc<Self>, limit: usize) {
        self.lock().limit = limit;
        if limit == 0 {
            self.lock().waiting.clear();
        }
        self.grant_free_slots();
    }

    pub(crate) fn running(&self) -> usize {
        self.lock().running
    }

    fn release(self: &Arc<Self>) {
        self.lock().running -= 1;
        self.grant_free_slots();
    }

    fn grant_free_slots(self: &Arc<Self>) {
        loop {
            let sender = {
                let mut state = self.lock();
                if state.running >= state.limit {
                    return;
                }
                let Some((_, sender)) = state.waiting.pop_first() else {
                    return;
                };
                state.running += 1;
                sender
            };
            // An abandoned wait drops the permit here, which releases the slot again.
            drop(sender.send(self.permit()));
        }
    }

    fn permit(self: &Arc<Self>) -> SlotPermit {
        SlotPermit {
            queue: Some(Arc::clone(self)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        lock(&self.state)
    }
}
