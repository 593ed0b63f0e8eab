//! What can go wrong with the data folder.

use std::fmt;

use error_stack::Report;

/// Result of this crate's fallible functions.
pub type Result<T> = std::result::Result<T, Report<StoreError>>;

/// A failure of the durable log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Another process holds the folder.
    Locked,
    /// Records that were durable can no longer be read.
    Damaged {
        /// Offset in bytes of the first unreadable frame.
        offset: u64,
    },
    /// A file operation failed while the folder was opened.
    Io,
    /// A write or sync failed earlier, or the store is closed: nothing is durable from then on.
    Stopped,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked => f.write_str("the data folder is in use by another process"),
            Self::Damaged { offset } => write!(f, "the log is damaged at byte {offset}"),
            Self::Io => f.write_str("a file operation in the data folder failed"),
            Self::Stopped => f.write_str("the store has stopped"),
        }
    }
}

impl std::error::Error for StoreError {}
