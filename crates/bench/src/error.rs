//! The error of every part of the bench.

use std::fmt;

/// What the bench could not do; the report attached to it says why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BenchError {
    /// A daemon process did not start, answer or end.
    Daemon,
    /// A file or socket failed.
    Io,
    /// An HTTP call failed before a whole reply was read.
    Http,
    /// A setting or flag cannot be used.
    Settings,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Daemon => "daemon process failed",
            Self::Io => "file or socket failed",
            Self::Http => "HTTP call failed",
            Self::Settings => "setting cannot be used",
            Self::Unreachable => "no connection could be opened",
        })
    }
}

impl std::error::Error for BenchError {}
