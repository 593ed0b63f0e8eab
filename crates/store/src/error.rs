//! The errors of the durable log.

use std::fmt;

use error_stack::Report;

/// The result of a fallible function of this crate.
pub type Result<T> = std::result::Result<T, Report<StoreError>>;

/// An error of the durable log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Another process has locked the folder.
    Locked,
    /// Durable records are unreadable.
    Damaged {
        /// Offset in bytes of the first unreadable frame.
        offset: u64,
    },
    /// A file operation failed while the folder was opened.
    Io,
    /// The command may not be durable: a write or sync has failed, or the store is closed. No
    /// later command becomes durable.
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
