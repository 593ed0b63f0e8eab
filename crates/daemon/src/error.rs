//! Errors that end the daemon.

use std::fmt;

use error_stack::Report;

/// The daemon could not start or had to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// The asynchronous runtime could not be built.
    Runtime,
    /// A listener could not be bound to its address.
    Listen,
    /// The data folder could not be opened.
    Storage,
    /// The stored configuration does not compile.
    Config,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Runtime => "the runtime could not be started",
            Self::Listen => "an address could not be listened on",
            Self::Storage => "the data folder could not be opened",
            Self::Config => "the stored configuration is not valid",
        };
        f.write_str(text)
    }
}

impl std::error::Error for DaemonError {}

/// Result of starting or running the daemon.
pub type Result<T, E = Report<DaemonError>> = std::result::Result<T, E>;
