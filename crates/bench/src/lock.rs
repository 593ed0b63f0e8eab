//! Locks that outlive a panic of another holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; a panic of another holder is not a reason to stop counting.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
