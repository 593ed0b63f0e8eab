//! Limits the number of connections that this VM holds to one target.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering::SeqCst},
};

/// Counts the connections to one target and bounds them by a limit.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSlots {
    limit: AtomicU32,
    held: AtomicU32,
}

/// Permission to hold one connection; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.held.fetch_sub(1, SeqCst);
    }
}

impl ConnectionSlots {
    pub(crate) fn set_limit(&self, limit: u32) {
        self.limit.store(limit, SeqCst);
    }

    pub(crate) fn held(&self) -> u32 {
        self.held.load(SeqCst)
    }

    pub(crate) fn is_over_limit(&self) -> bool {
        self.held() > self.limit.load(SeqCst)
    }

    /// Acquires a slot if fewer than the limit minus `reserve` are held.
    pub(crate) fn try_acquire(self: &Arc<Self>, reserve: u32) -> Option<ConnectionSlot> {
        let limit = self.limit.load(SeqCst).saturating_sub(reserve);
        let grow = |held| (held < limit).then_some(held + 1);
        self.held.fetch_update(SeqCst, SeqCst, grow).ok()?;
        let slots = Arc::clone(self);
        Some(ConnectionSlot { slots })
    }
}
