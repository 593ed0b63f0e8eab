//! Budgets for the memory that connections of a process hold together.
//!
//! Load pattern: many senders stop short of the end of a large body, or many readers do not read a large
//! answer. Each one is within its own limit.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use fulmarweir_base::lock;
use tokio_util::sync::CancellationToken;

/// Age from which a transfer may be cancelled while the budget is not used up, in milliseconds.
const TRANSFER_GRACE_MS: u64 = 250;

/// Memory up to which a transfer is not registered, in bytes.
pub(crate) const LITTLE_BYTES: usize = 4 * 1024;

/// A budget was used up, so the memory must not be allocated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetExhausted;

/// The memory that one kind of work of a process may hold. Clones share it.
///
/// Leases of at most `small_bytes` may use all of it, larger ones three quarters. Once half of it is used,
/// transfers are cancelled, those with the fewest bytes per second first.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    limit: AtomicUsize,
    small_bytes: usize,
    used: AtomicUsize,
    next_number: AtomicU64,
    transfers: Mutex<BTreeMap<u64, Arc<TransferEntry>>>,
}

#[derive(Debug)]
struct TransferEntry {
    started_at: Instant,
    /// Counter of the bytes transferred, and its value at the start. A connection may share the counter.
    moved: Arc<AtomicU64>,
    moved_before: u64,
    held: AtomicUsize,
    cancelled: CancellationToken,
}

impl TransferEntry {
    fn bytes_per_second(&self, age: Duration) -> f64 {
        let moved = self.moved.load(Relaxed).saturating_sub(self.moved_before);
        // The loss of precision does not change the order of rates that differ noticeably.
        #[expect(clippy::cast_precision_loss)]
        let moved = moved as f64;
        moved / age.as_secs_f64().max(f64::EPSILON)
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize, small_bytes: usize) -> Self {
        let state = BudgetState {
            limit: AtomicUsize::new(limit),
            small_bytes,
            used: AtomicUsize::new(0),
            next_number: AtomicU64::new(0),
            transfers: Mutex::default(),
        };
        Self(Arc::new(state))
    }

    /// Raises the limit so that a buffer of `bytes` fits, but not beyond `limit_max`.
    pub fn make_room_for(&self, bytes: usize, limit_max: usize) {
        let capacity = bytes.checked_next_power_of_two().unwrap_or(usize::MAX);
        let limit = capacity.saturating_mul(2).min(limit_max);
        self.0.limit.fetch_max(limit, Relaxed);
    }

    /// Returns a lease of no memory.
    #[must_use]
    pub fn lease(&self) -> MemoryLease {
        MemoryLease {
            budget: self.clone(),
            held: 0,
        }
    }

    /// Returns how many bytes are leased.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(Relaxed)
    }

    /// Starts a transfer that nobody else ends.
    #[must_use]
    pub fn start_transfer(&self) -> MemoryTransfer {
        self.start_transfer_on(TransferChannel::default())
    }

    /// Starts a transfer over `channel`.
    #[must_use]
    pub fn start_transfer_on(&self, channel: TransferChannel) -> MemoryTransfer {
        MemoryTransfer {
            lease: self.lease(),
            channel: Some(channel),
            registered: None,
        }
    }

    /// Registers a transfer whose `held` bytes are leased from this budget by what it transfers.
    #[must_use]
    pub fn watch(&self, channel: TransferChannel, held: usize) -> RegisteredTransfer {
        let entry = Arc::new(TransferEntry {
            started_at: Instant::now(),
            moved_before: channel.moved.load(Relaxed),
            moved: channel.moved,
            held: AtomicUsize::new(held),
            cancelled: channel.cancelled,
        });
        let number = self.0.next_number.fetch_add(1, Relaxed);
        lock(&self.0.transfers).insert(number, Arc::clone(&entry));
        RegisteredTransfer {
            budget: self.clone(),
            number,
            entry,
        }
    }

    /// Leases `more` bytes for a lease that then has `total`.
    fn take(&self, more: usize, total: usize) -> Result<(), BudgetExhausted> {
        let limit = self.0.limit.load(Relaxed);
        let allowed = if total <= self.0.small_bytes {
            limit
        } else {
            limit - limit / 4
        };
        let within = |used: usize| Some(used + more).filter(|used| *used <= allowed);
        let taken = self.0.used.fetch_update(Relaxed, Relaxed, within);
        let wanted = taken.unwrap_or_else(|used| used) + more;
        if wanted > limit / 2 {
            self.cancel_slowest(wanted - limit / 2);
        }
        taken.map(|_| ()).map_err(|_| BudgetExhausted)
    }

    /// Cancels the slowest transfers until they hold at least `excess` bytes, together with those that were
    /// cancelled before and have not ended.
    fn cancel_slowest(&self, excess: usize) {
        let is_exhausted = self.used() > self.0.limit.load(Relaxed);
        let grace = if is_exhausted {
            Duration::ZERO
        } else {
            Duration::from_millis(TRANSFER_GRACE_MS)
        };
        let now = Instant::now();
        let transfers = lock(&self.0.transfers);
        let mut ending = 0;
        let mut slowest: Vec<(f64, &Arc<TransferEntry>)> = Vec::new();
        for entry in transfers.values() {
            let age = now.duration_since(entry.started_at);
            if entry.cancelled.is_cancelled() {
                ending += entry.held.load(Relaxed);
            } else if age >= grace {
                slowest.push((entry.bytes_per_second(age), entry));
            }
        }
        slowest.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let mut entries = slowest.into_iter().map(|(_, entry)| entry);
        while ending < excess
            && let Some(entry) = entries.next()
        {
            let held = entry.held.load(Relaxed);
            if held > 0 {
                ending += held;
                entry.cancelled.cancel();
            }
        }
    }

    fn give_back(&self, bytes: usize) {
        self.0.used.fetch_sub(bytes, Relaxed);
    }
}

/// A part of a [`MemoryBudget`], given back when dropped.
#[derive(Debug)]
pub struct MemoryLease {
    budget: MemoryBudget,
    held: usize,
}

impl MemoryLease {
    /// Raises the lease to `bytes`, before they are allocated.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not allow it; the lease is as before then.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let more = bytes.saturating_sub(self.held);
        if more > 0 {
            self.budget.take(more, bytes)?;
            self.held = bytes;
        }
        Ok(())
    }

    /// Raises the lease to `bytes` of memory that is already in use, even beyond the limit.
    pub fn grow_beyond_limit(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.held);
        if more > 0 && self.budget.take(more, bytes).is_err() {
            self.budget.0.used.fetch_add(more, Relaxed);
            self.budget.cancel_slowest(more);
        }
        self.held += more;
    }

    /// Returns the bytes of this lease.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.budget.give_back(self.held);
    }
}

/// Counts the bytes of a transfer, and ends it.
#[derive(Clone, Debug, Default)]
pub struct TransferChannel {
    /// Counter of the bytes transferred. Several transfers may share it.
    pub moved: Arc<AtomicU64>,
    /// Cancelled when others need the memory.
    pub cancelled: CancellationToken,
}

/// A transfer that may be cancelled for the sake of others until this is dropped.
#[derive(Debug)]
pub struct RegisteredTransfer {
    budget: MemoryBudget,
    number: u64,
    entry: Arc<TransferEntry>,
}

impl Drop for RegisteredTransfer {
    fn drop(&mut self) {
        lock(&self.budget.0.transfers).remove(&self.number);
    }
}

/// A transfer whose memory is leased while it lasts, and that is cancelled if it is slow and others need the
/// memory. Dropping it ends it.
///
/// Transfers that hold little are never cancelled, and cost nothing beyond their lease.
#[derive(Debug)]
pub struct MemoryTransfer {
    lease: MemoryLease,
    /// Present until the transfer is registered.
    channel: Option<TransferChannel>,
    registered: Option<RegisteredTransfer>,
}

impl MemoryTransfer {
    /// Raises the lease of the transfer to `bytes`, before they are allocated.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not allow it.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.lease.grow_to(bytes)?;
        self.update_held();
        Ok(())
    }

    /// Raises the lease of the transfer to `bytes` of memory that is already in use, even beyond the limit.
    pub fn grow_beyond_limit(&mut self, bytes: usize) {
        self.lease.grow_beyond_limit(bytes);
        self.update_held();
    }

    fn update_held(&mut self) {
        let held = self.lease.held();
        if let Some(transfer) = &self.registered {
            transfer.entry.held.store(held, Relaxed);
        } else if held > LITTLE_BYTES
            && let Some(channel) = self.channel.take()
        {
            self.registered = Some(self.lease.budget.watch(channel, held));
        }
    }

    /// Counts bytes that were transferred.
    pub fn record(&self, bytes: usize) {
        if let Some(transfer) = &self.registered {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            transfer.entry.moved.fetch_add(bytes, Relaxed);
        }
    }

    /// Waits until others need the memory of this transfer. Does not return while it holds little.
    pub async fn cancelled(&self) {
        match &self.registered {
            Some(transfer) => transfer.entry.cancelled.cancelled().await,
            None => std::future::pending().await,
        }
    }

    /// Ends the transfer and returns its lease, which nobody cancels any more.
    #[must_use]
    pub fn into_lease(mut self) -> MemoryLease {
        let empty = self.lease.budget.lease();
        std::mem::replace(&mut self.lease, empty)
    }
}
