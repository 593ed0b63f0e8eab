//! The verdict that every error carries: may the request have run?

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request has run at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// Certainly not run, and it never will: no byte was sent, or the target said so.
    NotRun,
    /// Unknown: bytes were sent and no usable answer came back.
    MayHaveRun,
    /// Certainly run.
    Ran,
}

impl RunVerdict {
    /// Whether another attempt is safe, given that the request is idempotent or not.
    #[must_use]
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }

    /// The verdict over two attempts of the same request.
    #[must_use]
    pub const fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// The verdict as it stands in headers and bodies.
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
