//! The error type of the bench.

use std::fmt;

/// Kind of failure; the attached report holds the cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BenchError {
    /// A daemon process did not start, answer or exit.
    Daemon,
    /// A file or socket operation failed.
    Io,
    /// An HTTP call failed before the complete reply was read.
    Http,
    /// A setting or flag is invalid.
    Settings,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Daemon => "daemon process failed",
            Self::Io => "file or socket operation failed",
            Self::Http => "HTTP call failed",
            Self::Settings => "invalid setting",
            Self::Unreachable => "no connection could be opened",
        })
    }
}

impl std::error::Error for BenchError {}
