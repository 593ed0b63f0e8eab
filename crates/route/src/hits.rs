//! Parsing and merging of search hits, which are kept as raw JSON.

use std::{cmp::Ordering, collections::BinaryHeap, collections::HashSet};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The result of parsing a target's reply.
pub(crate) type Result<T> = std::result::Result<T, Report<HitsError>>;

/// The body of a reply is not a list of hits with string ids.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HitsError;

impl std::fmt::Display for HitsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("reply body is not of the form {\"hits\": [{\"id\": ...}]}")
    }
}

impl std::error::Error for HitsError {}

/// One hit: the fields needed for merging, and the raw JSON from the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchHit {
    /// Identifier of the hit. An answer contains each id once.
    pub id: Box<str>,
    /// Score of the hit, or [`HitScore::MISSING`] if it is not a finite number.
    pub score: HitScore,
    /// The whole JSON object, as a slice of the reply's body.
    pub raw: Bytes,
}

/// A score with a total order. A missing score is lower than all others.
#[derive(Clone, Copy, Debug)]
pub struct HitScore(f64);

impl HitScore {
    /// The score of a hit without a finite score.
    pub const MISSING: Self = Self(f64::NEG_INFINITY);

    /// Creates a score. A `score` that is not finite counts as missing.
    #[must_use]
    pub fn new(score: f64) -> Self {
        if score.is_finite() {
            // Adding zero turns -0.0 into 0.0, so that the two compare as equal.
            Self(score + 0.0)
        } else {
            Self::MISSING
        }
    }
}

impl Eq for HitScore {}

impl Ord for HitScore {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialEq for HitScore {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl PartialOrd for HitScore {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Deserialize)]
struct HitsBody<'a> {
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct HitFields<'a> {
    id: Box<str>,
    #[serde(borrow, default)]
    score: Option<&'a RawValue>,
}

/// Parses the body of a target's reply. The hits share the memory of `body`.
///
/// # Errors
///
/// Fails if the body is not JSON of the expected form or a hit has no id.
pub fn parse_hits(body: &Bytes) -> Result<Vec<SearchHit>> {
    let parsed: HitsBody<'_> = serde_json::from_slice(body).change_context(HitsError)?;
    let mut hits = Vec::with_capacity(parsed.hits.len());
    for raw in parsed.hits {
        let fields: HitFields<'_> = serde_json::from_str(raw.get()).change_context(HitsError)?;
        let score = fields
            .score
            .and_then(|score| score.get().parse::<f64>().ok());
        hits.push(SearchHit {
            id: fields.id,
            score: score.map_or(HitScore::MISSING, HitScore::new),
            raw: body.slice_ref(raw.get().as_bytes()),
        });
    }
    Ok(hits)
}

/// Orders hits by descending score, then by id.
fn compare_hits(a: &SearchHit, b: &SearchHit) -> Ordering {
    b.score.cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}

/// The next hit of one reply. The index of the reply breaks ties of score and id.
struct MergeHead {
    hit: SearchHit,
    reply: usize,
}

impl Eq for MergeHead {}

impl Ord for MergeHead {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, because `BinaryHeap` pops its greatest element first.
        compare_hits(&other.hit, &self.hit).then_with(|| other.reply.cmp(&self.reply))
    }
}

impl PartialEq for MergeHead {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl PartialOrd for MergeHead {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Merges the hits of all replies by descending score, then by id, up to `limit` hits.
///
/// An id that occurs several times is kept once, with its best score. Costs one pass over each
/// reply, a sort of each unsorted reply, and a heap operation of `log2(replies)` per merged hit.
#[must_use]
pub fn merge_hits(replies: Vec<Vec<SearchHit>>, limit: Option<usize>) -> Vec<SearchHit> {
    let limit = limit.unwrap_or(usize::MAX);
    let total = replies.iter().map(Vec::len).sum::<usize>();
    let mut heap = BinaryHeap::with_capacity(replies.len());
    let mut remaining = Vec::with_capacity(replies.len());
    for (reply, mut hits) in replies.into_iter().enumerate() {
        if !hits.is_sorted_by(|a, b| compare_hits(a, b).is_le()) {
            hits.sort_by(compare_hits);
        }
        let mut tail = hits.into_iter();
        heap.extend(tail.next().map(|hit| MergeHead { hit, reply }));
        remaining.push(tail);
    }
    let mut merged = Vec::with_capacity(limit.min(total));
    let mut seen = HashSet::with_capacity(limit.min(total));
    while merged.len() < limit {
        let Some(MergeHead { hit, reply }) = heap.pop() else {
            break;
        };
        heap.extend(remaining[reply].next().map(|hit| MergeHead { hit, reply }));
        if seen.insert(hit.id.clone()) {
            merged.push(hit);
        }
    }
    merged
}

/// Appends the hits to `out` as a JSON array.
pub fn write_hits(hits: &[SearchHit], out: &mut Vec<u8>) {
    out.push(b'[');
    for (position, hit) in hits.iter().enumerate() {
        if position > 0 {
            out.push(b',');
        }
        out.extend_from_slice(&hit.raw);
    }
    out.push(b']');
}
