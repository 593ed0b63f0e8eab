//! Errors of a call to another daemon.

use std::fmt;

use fulmarweir_base::RunVerdict;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WireFault {
    /// No connection could be opened.
    Connect,
    /// The peer refused the stream before it read the message.
    Refused,
    /// The peer uses another version of the protocol.
    Protocol,
    /// The connection or stream broke.
    Broken,
    /// The message or reply could not be encoded or decoded, or was too large.
    Codec,
    /// No reply came before the deadline.
    Timeout,
}

/// A failed call and whether the peer may have run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WireError {
    /// Why the call failed.
    pub fault: WireFault,
    /// Whether the peer may have run the call.
    pub verdict: RunVerdict,
}

impl WireError {
    pub(crate) const fn not_run(fault: WireFault) -> Self {
        let verdict = RunVerdict::NotRun;
        Self { fault, verdict }
    }

    pub(crate) const fn may_have_run(fault: WireFault) -> Self {
        let verdict = RunVerdict::MayHaveRun;
        Self { fault, verdict }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer call failed: {:?}, {}", self.fault, self.verdict)
    }
}

impl std::error::Error for WireError {}

/// Result of a call to another daemon.
pub(crate) type Result<T> = std::result::Result<T, WireError>;
