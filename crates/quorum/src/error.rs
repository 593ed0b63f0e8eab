//! Errors of proposals and voters.

use std::fmt;

use error_stack::Report;
use fulmarweir_base::RunVerdict;

/// Result of this crate's fallible functions.
pub type Result<T> = std::result::Result<T, Report<QuorumError>>;

/// The reason why an operation on the registers failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuorumError {
    /// The voter's log could not be opened or read.
    Log,
    /// No voters are known.
    NoVoters,
    /// The proposed voter set is empty, too large or names an unknown identity.
    InvalidVoterSet,
    /// Another change of the voter set was decided first and is finished; the requested change has
    /// no effect.
    ConflictingChange,
    /// No quorum answered in time.
    Timeout {
        /// Whether the requested change may have been made, or may still be made.
        verdict: RunVerdict,
    },
}

impl QuorumError {
    /// Returns whether the requested change was made.
    #[must_use]
    pub const fn verdict(self) -> RunVerdict {
        match self {
            Self::Log | Self::NoVoters | Self::InvalidVoterSet | Self::ConflictingChange => {
                RunVerdict::NotRun
            }
            Self::Timeout { verdict } => verdict,
        }
    }
}

impl fmt::Display for QuorumError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log => f.write_str("the voter's log is unusable"),
            Self::NoVoters => f.write_str("no voters are known"),
            Self::InvalidVoterSet => f.write_str("the voter set is not usable"),
            Self::ConflictingChange => f.write_str("another change of voters came first"),
            Self::Timeout { verdict } => {
                write!(f, "no quorum of voters answered in time ({verdict})")
            }
        }
    }
}

impl std::error::Error for QuorumError {}
