//! Placement of keys on shards.

use twox_hash::XxHash64;

const KEY_HASH_SEED: u64 = 0;

/// Returns the shard of `key` in an index of `shard_count` shards, `xxh64(key) mod shard_count`.
///
/// A `shard_count` of zero is treated as one.
#[must_use]
pub fn shard_for_key(key: &str, shard_count: u32) -> u32 {
    let hash = XxHash64::oneshot(KEY_HASH_SEED, key.as_bytes());
    let shard = hash % u64::from(shard_count.max(1));
    u32::try_from(shard).unwrap_or_default()
}
