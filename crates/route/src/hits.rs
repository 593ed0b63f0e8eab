//! Hits of a search: parsed once, kept as raw JSON, merged by score.

use std::{cmp::Ordering, collections::BinaryHeap, collections::HashSet};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Result of parsing a target's reply.
pub(crate) type Result<T> = std::result::Result<T, Report<HitsError>>;

/// A reply whose body is not a list of hits with string ids.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HitsError;

impl std::fmt::Display for HitsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("reply is not {\"hits\": [{\"id\": ...}]}")
    }
}

impl std::error::Error for HitsError {}

/// One hit: what merging needs, and the rest as the target wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchHit {
    /// Identity of the hit; an answer holds each id once.
    pub id: Box<str>,
    /// Score, if the hit carries a finite number.
    pub score: HitScore,
    /// The whole JSON object, a slice of the reply's body.
    pub raw: Bytes,
}

/// A score in total order; a missing one is below all others.
#[derive(Clone, Copy, Debug)]
pub struct HitScore(f64);

impl HitScore {
    /// The score of a hit without a usable one.
    pub const MISSING: Self = Self(f64::NEG_INFINITY);

    /// Takes `score`; anything that is not finite counts as missing.
    #[must_use]
    pub fn new(score: f64) -> Self {
        if score.is_finite() {
            // Adding zero turns -0.0 into 0.0, so that both tie.
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
struct HitHead<'a> {
    id: Box<str>,
    #[serde(borrow, default)]
    score: Option<&'a RawValue>,
}

/// Parses a target's body. Hits share the memory of `body`.
///
/// # Errors
///
/// Fails when the body is not JSON of the expected form or a hit has no id.
pub fn parse_hits(body: &Bytes) -> Result<Vec<SearchHit>> {
    let parsed: HitsBody<'_> = serde_json::from_slice(body).change_context(HitsError)?;
    let mut hits = Vec::with_capacity(parsed.hits.len());
    for raw in parsed.hits {
        let head: HitHead<'_> = serde_json::from_str(raw.get()).change_context(HitsError)?;
        let score = head.score.and_then(|score| score.get().parse::<f64>().ok());
        hits.push(SearchHit {
            id: head.id,
            score: score.map_or(HitScore::MISSING, HitScore::new),
            raw: body.slice_ref(raw.get().as_bytes()),
        });
    }
    Ok(hits)
}

/// Best first: score descending, then id.
fn answer_order(a: &SearchHit, b: &SearchHit) -> Ordering {
    b.score.cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}

/// The next hit of one reply, with the reply's number to break exact ties.
struct MergeHead {
    hit: SearchHit,
    reply: usize,
}

impl Eq for MergeHead {}

impl Ord for MergeHead {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap yields its greatest element, which must be the best hit.
        answer_order(&other.hit, &self.hit).then_with(|| other.reply.cmp(&self.reply))
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

/// Merges replies by score descending, ties by id, each id once, up to `limit` hits.
///
/// An id that stands in several replies keeps its best score. Costs one pass
/// over each reply, a sort of those that are out of order, and a heap step of
/// `log2(replies)` for each hit that is taken.
#[must_use]
pub fn merge_hits(replies: Vec<Vec<SearchHit>>, limit: Option<usize>) -> Vec<SearchHit> {
    let limit = limit.unwrap_or(usize::MAX);
    let total = replies.iter().map(Vec::len).sum::<usize>();
    let mut heap = BinaryHeap::with_capacity(replies.len());
    let mut rests = Vec::with_capacity(replies.len());
    for (reply, mut hits) in replies.into_iter().enumerate() {
        if !hits.is_sorted_by(|a, b| answer_order(a, b).is_le()) {
            hits.sort_by(answer_order);
        }
        let mut rest = hits.into_iter();
        heap.extend(rest.next().map(|hit| MergeHead { hit, reply }));
        rests.push(rest);
    }
    let mut merged = Vec::with_capacity(limit.min(total));
    let mut seen = HashSet::with_capacity(limit.min(total));
    while merged.len() < limit {
        let Some(MergeHead { hit, reply }) = heap.pop() else {
            break;
        };
        heap.extend(rests[reply].next().map(|hit| MergeHead { hit, reply }));
        if seen.insert(hit.id.clone()) {
            merged.push(hit);
        }
    }
    merged
}

/// Appends the hits as a JSON array.
pub fn write_hits(hits: &[SearchHit], out: &mut Vec<u8>) {
    out.push(b'[');
    for (place, hit) in hits.iter().enumerate() {
        if place > 0 {
            out.push(b',');
        }
        out.extend_from_slice(&hit.raw);
    }
    out.push(b']');
}
