//! Locking of state that no panic can leave half-changed.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread panicked while it held the lock.
///
/// Use it for state that every critical section leaves consistent at each step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
