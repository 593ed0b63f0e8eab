//! The run verdict, which every error carries.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The request did not run and never will: no byte was sent, or the target said that it did
    /// not run.
    NotRun,
    /// Unknown: bytes were sent and no usable answer was received.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RunVerdict {
    /// Whether a retry is safe, for a request that is idempotent or not.
    #[must_use]
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }

    /// Combines the verdicts of two attempts of the same request.
    #[must_use]
    pub const fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// Returns the verdict as written in headers and bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
