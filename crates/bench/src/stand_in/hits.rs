//! Deterministic hits of stand-in targets, and the check of an answer built from them.

use std::{
    collections::{BTreeSet, HashSet},
    fmt,
};

use fulmarweir_base::ShardHolding;
use serde::{Deserialize, Serialize};

/// Scores are multiples of 1 / 2^14, which survive the conversion to JSON text exactly.
const SCORE_STEPS: u64 = 1 << 14;
const SCORE_MULTIPLIER: u64 = 6_364_136_223_846_793_005;

/// One hit of a stand-in target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StandInHit {
    /// `v{version}-s{shard}of{of}-{number}`.
    pub id: String,
    /// Score, computed from version, shard and number of the hit.
    pub score: f64,
    /// Version of the index that the hit comes from.
    pub version: u64,
    /// Shard that the hit comes from.
    pub shard: u32,
    /// Number of shards of that version.
    pub of: u32,
    /// Request body of the caller, which identifies the request that the hit answers.
    pub echo: String,
}

/// Body of a target's reply to a search.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HitList {
    /// Hits of one shard.
    pub hits: Vec<StandInHit>,
}

/// Returns the hits of one shard for a request with body `echo`.
#[must_use]
pub fn shard_hits(holding: ShardHolding, count: u32, echo: &str) -> HitList {
    let hit = |number| StandInHit {
        id: format!(
            "v{}-s{}of{}-{number}",
            holding.version, holding.shard, holding.of
        ),
        score: hit_score(holding, number),
        version: holding.version,
        shard: holding.shard,
        of: holding.of,
        echo: echo.to_owned(),
    };
    HitList {
        hits: (0..count).map(hit).collect(),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the remainder is far below 2^52"
)]
fn hit_score(holding: ShardHolding, number: u32) -> f64 {
    let identity = (holding.version << 32) ^ (u64::from(holding.shard) << 16) ^ u64::from(number);
    let mixed = identity.wrapping_add(1).wrapping_mul(SCORE_MULTIPLIER) >> 16;
    (mixed % SCORE_STEPS) as f64 / SCORE_STEPS as f64
}

/// Coverage of an index that the tier reports in an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerCoverage {
    /// Number of shards requested.
    pub shards: u32,
    /// Number of shards in the answer.
    pub answered: u32,
    /// Shards missing from the answer.
    pub missing: Vec<u32>,
}

/// The tier's answer to a search over stand-in targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SearchAnswer {
    /// Version of the index.
    pub version: u64,
    /// Reported coverage.
    pub coverage: AnswerCoverage,
    /// Merged hits.
    pub hits: Vec<StandInHit>,
}

/// An inconsistency of an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// The body cannot be parsed as an answer.
    Unreadable,
    /// The version of a hit differs from the version of the answer.
    MixedVersions,
    /// The hits have different shard counts.
    MixedShardCounts,
    /// A hit belongs to another request.
    OtherRequest,
    /// A hit appears twice.
    RepeatedHit,
    /// The hits are not in descending order of score.
    Unsorted,
    /// The shards of the hits contradict the reported coverage.
    WrongCoverage,
    /// A shard that is reported as answered lacks some of its hits.
    PartialShard,
    /// The coverage or version in the headers differs from the body.
    HeaderDiffers,
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Expected values for the check of an answer to a search without a limit on hits.
#[derive(Clone, Debug)]
pub struct AnswerCheck<'a> {
    /// Request body that the caller sent.
    pub sent: &'a str,
    /// Number of hits of each shard.
    pub hits_per_shard: u32,
    /// Header `fulmarweir-coverage`, if any.
    pub coverage_header: Option<&'a str>,
    /// Header `fulmarweir-version`, if any.
    pub version_header: Option<&'a str>,
}

impl AnswerCheck<'_> {
    /// Returns the set of faults of an answer.
    #[must_use]
    pub fn faults(&self, answer: &SearchAnswer) -> BTreeSet<AnswerFault> {
        let checks = [
            (AnswerFault::MixedVersions, mixed_versions(answer)),
            (AnswerFault::MixedShardCounts, mixed_shard_counts(answer)),
            (AnswerFault::OtherRequest, self.other_request(answer)),
            (AnswerFault::RepeatedHit, repeated_hit(answer)),
            (AnswerFault::Unsorted, unsorted(answer)),
            (AnswerFault::WrongCoverage, wrong_coverage(answer)),
            (AnswerFault::PartialShard, self.partial_shard(answer)),
            (AnswerFault::HeaderDiffers, self.header_differs(answer)),
        ];
        let found = checks.into_iter().filter(|(_, found)| *found);
        found.map(|(fault, _)| fault).collect()
    }

    fn other_request(&self, answer: &SearchAnswer) -> bool {
        answer.hits.iter().any(|hit| hit.echo != self.sent)
    }

    fn partial_shard(&self, answer: &SearchAnswer) -> bool {
        let expected = u64::from(answer.coverage.answered) * u64::from(self.hits_per_shard);
        answer.hits.len() as u64 != expected
    }

    fn header_differs(&self, answer: &SearchAnswer) -> bool {
        let coverage = &answer.coverage;
        let coverage_text = format!("{}/{}", coverage.answered, coverage.shards);
        let version = answer.version.to_string();
        self.coverage_header != Some(coverage_text.as_str())
            || self.version_header != Some(version.as_str())
    }
}

fn mixed_versions(answer: &SearchAnswer) -> bool {
    answer.hits.iter().any(|hit| hit.version != answer.version)
}

fn mixed_shard_counts(answer: &SearchAnswer) -> bool {
    let counts: HashSet<u32> = answer.hits.iter().map(|hit| hit.of).collect();
    counts.len() > 1
}

fn repeated_hit(answer: &SearchAnswer) -> bool {
    let ids: HashSet<&str> = answer.hits.iter().map(|hit| hit.id.as_str()).collect();
    ids.len() != answer.hits.len()
}

fn unsorted(answer: &SearchAnswer) -> bool {
    !answer.hits.is_sorted_by(|a, b| a.score >= b.score)
}

fn wrong_coverage(answer: &SearchAnswer) -> bool {
    let coverage = &answer.coverage;
    let present: BTreeSet<u32> = answer.hits.iter().map(|hit| hit.shard).collect();
    let missing = coverage.missing.iter().collect::<BTreeSet<_>>();
    let overlap = present.iter().any(|shard| missing.contains(shard));
    let sum = coverage.answered as usize + missing.len();
    overlap || present.len() != coverage.answered as usize || sum != coverage.shards as usize
}
