//! Digests of replicated tables.

use std::hash::{Hash, Hasher};

use twox_hash::XxHash64;

const DIGEST_SEED: u64 = 2;

fn hash_of(seed: u64, value: impl Hash) -> u64 {
    let mut hasher = XxHash64::with_seed(seed);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the hash of one table entry; the digest of a table is the XOR of its entry hashes.
#[must_use]
pub fn entry_digest(entry: impl Hash) -> u64 {
    hash_of(DIGEST_SEED, entry)
}

/// Returns the index of the bucket of `key` among `buckets`.
pub(crate) fn bucket_of(key: impl Hash, buckets: usize) -> usize {
    let buckets = u64::try_from(buckets).unwrap_or(u64::MAX).max(1);
    usize::try_from(hash_of(DIGEST_SEED, key) % buckets).unwrap_or_default()
}
