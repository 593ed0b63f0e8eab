//! Merges the fixed-size records of several shards.

/// Size of one record.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top_k` greatest records of all parts in descending order, compared byte by byte.
///
/// Trailing bytes of a part that do not fill a record are ignored. Duplicate records are kept.
///
/// ```
/// use fulmarweir_route::{RECORD_BYTES, merge_records};
///
/// let low = [1_u8; RECORD_BYTES];
/// let high = [9_u8; RECORD_BYTES];
/// let part: Vec<u8> = [low, high].concat();
/// assert_eq!(merge_records([part.as_slice()], 1), high);
/// ```
#[must_use]
pub fn merge_records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top_k: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .into_iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > top_k && top_k > 0 {
        records.select_nth_unstable_by(top_k - 1, |a, b| b.cmp(a));
    }
    records.truncate(top_k);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
