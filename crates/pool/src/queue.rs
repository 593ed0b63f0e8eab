//! Limits the requests in flight at one target and grants free request slots by deadline.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use fulmarweir_base::{MonoTime, lock};
use tokio::sync::oneshot;

use crate::request::{Result, TargetError, TargetFault};

/// Attempts that may wait per slot; those further back would miss their deadlines.
const WAITERS_PER_SLOT_MAX: usize = 8;

type WaitKey = (MonoTime, u64);

/// A semaphore that serves waiting attempts earliest deadline first.
#[derive(Debug)]
pub(crate) struct RequestQueue {
    state: Mutex<QueueState>,
}

#[derive(Debug, Default)]
struct QueueState {
    limit: usize,
    running: usize,
    next_sequence: u64,
    waiting: BTreeMap<WaitKey, oneshot::Sender<RequestPermit>>,
}

/// A granted slot; dropping it grants the slot to the next attempt in the queue.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    queue: Option<Arc<RequestQueue>>,
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}

/// Removes a waiting attempt from the queue when its wait ends or is dropped.
struct WaitGuard<'a> {
    queue: &'a RequestQueue,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.lock().waiting.remove(&self.key);
    }
}

impl RequestQueue {
    pub(crate) fn new(limit: usize) -> Self {
        let state = QueueState {
            limit,
            ..QueueState::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for a slot. `deadline` only orders the queue: the caller limits the wait.
    pub(crate) async fn acquire(self: &Arc<Self>, deadline: MonoTime) -> Result<RequestPermit> {
        let (key, receiver) = {
            let mut state = self.lock();
            if state.limit == 0 {
                return Err(TargetError::not_run(TargetFault::NoShare));
            }
            if state.running < state.limit {
                state.running += 1;
                return Ok(self.permit());
            }
            if state.waiting.len() >= state.limit * WAITERS_PER_SLOT_MAX {
                return Err(TargetError::not_run(TargetFault::QueueFull));
            }
            let (sender, receiver) = oneshot::channel();
            let key = (deadline, state.next_sequence);
            state.next_sequence += 1;
            state.waiting.insert(key, sender);
            (key, receiver)
        };
        let _guard = WaitGuard { queue: self, key };
        receiver
            .await
            .map_err(|_| TargetError::not_run(TargetFault::NoShare))
    }

    /// Changes the number of slots. Requests in flight go on; a limit of 0 fails the waiting ones.
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
            // If the wait was dropped, so is the permit here, which releases the slot again.
            drop(sender.send(self.permit()));
        }
    }

    fn permit(self: &Arc<Self>) -> RequestPermit {
        RequestPermit {
            queue: Some(Arc::clone(self)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        lock(&self.state)
    }
}
