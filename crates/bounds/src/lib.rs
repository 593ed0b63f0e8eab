//! Bounds on what senders and readers outside of a process take of its memory and its descriptors, all of
//! them together.
//!
//! A [`MemoryBudget`] is shared by what connections hold: bodies that arrive, answers that wait for their
//! readers. A [`ConnectionTable`] holds the connections of one listener. Both make room by ending what has
//! made the least progress.
//!
//! ```
//! use fulmarweir_bounds::MemoryBudget;
//!
//! let budget = MemoryBudget::new(1_000, 100);
//! let mut lease = budget.lease();
//! assert!(lease.grow_to(600).is_ok());
//! assert!(budget.lease().grow_to(600).is_err());
//! drop(lease);
//! assert_eq!(budget.used(), 0);
//! ```

mod connection;
mod leased_bytes;
mod memory;

pub use connection::{
    AnswerMemory, ConnectionTable, RunGuard, TrackedConnection, TrackedStream, descriptors_max,
};
pub use leased_bytes::LeasedBuffer;
pub use memory::{
    BudgetExhausted, MemoryBudget, MemoryLease, MemoryTransfer, RegisteredTransfer, TransferChannel,
};
