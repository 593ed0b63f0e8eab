//! Rendezvous hashing.

use std::hash::{Hash, Hasher};

use twox_hash::XxHash64;

const SEED: u64 = 1;

/// Returns the weight of `node` for `key`; the nodes with the highest weights are chosen.
#[must_use]
pub fn rendezvous_weight(node: impl Hash, key: impl Hash) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    (node, key).hash(&mut hasher);
    hasher.finish()
}
