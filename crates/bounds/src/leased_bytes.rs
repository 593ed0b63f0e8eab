//! Buffers whose memory is leased from a budget.

use bytes::Bytes;

use crate::memory::{BudgetExhausted, MemoryLease, MemoryTransfer};

/// Bytes whose memory is leased before it is allocated, and given back with the last reference to it.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    transfer: MemoryTransfer,
}

impl LeasedBuffer {
    /// Creates an empty buffer for what `transfer` brings.
    #[must_use]
    pub const fn new(transfer: MemoryTransfer) -> Self {
        Self {
            bytes: Vec::new(),
            transfer,
        }
    }

    /// Returns the transfer that fills the buffer.
    #[must_use]
    pub const fn transfer(&self) -> &MemoryTransfer {
        &self.transfer
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no memory for them.
    pub fn append(&mut self, data: &[u8]) -> Result<(), BudgetExhausted> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let capacity = length.next_power_of_two();
            self.transfer.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.transfer.record(data.len());
        Ok(())
    }

    /// Returns the bytes, which keep their lease. The transfer has ended.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(LeasedBytes {
            bytes: self.bytes,
            _lease: self.transfer.into_lease(),
        })
    }
}

struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
