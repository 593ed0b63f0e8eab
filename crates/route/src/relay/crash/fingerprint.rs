//! What makes two requests the same one, whatever their ids.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies requests with the same method, caller, path and body.
///
/// The digest is collision resistant, so nobody can craft a request with the fingerprint of another
/// one. It is the same on all VMs.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Returns the fingerprint of a request. `host` names the caller's organisation; its case and
    /// port make no difference, as they make none to routes. `path` includes the query.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let mut digest = Sha256::new();
        // Lengths separate the parts, so that moving bytes between them changes the digest.
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        let folded = digest.iter().take(size_of::<u128>());
        Self(folded.fold(0, |number, byte| (number << 8) | u128::from(*byte)))
    }

    pub(super) const fn to_bytes(self) -> [u8; size_of::<u128>()] {
        self.0.to_le_bytes()
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
