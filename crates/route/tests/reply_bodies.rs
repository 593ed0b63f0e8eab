//! A damaged reply body yields an error or intact hits, and an answer merged from such bodies is
//! valid JSON that contains each id once.

use std::collections::HashSet;

use arbtest::{arbitrary::Unstructured, arbtest};
use bytes::Bytes;
use fulmarweir_route::{merge_hits, parse_hits, write_hits};
use serde::Deserialize;

const SEEDS: std::ops::Range<u64> = 0..200;
/// Size of the random input, which arbtest reads from the low 32 bits of a seed.
const INPUT_BYTES: u64 = 600;

const BODY: &str = r#"{"hits":[{"id":"p-1","score":0.5,"ward":"\u00e9"},{"id":"p-2","score":-0.0},
{"id":"p-3","score":null},{"score":7,"id":"p-4","more":{"id":"p-9"}}],"took":3}"#;

/// Fragments that change the type or the end of a JSON value.
const FRAGMENTS: [&str; 18] = [
    "\"",
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "1e999",
    "-1",
    "null",
    "\\ud800",
    "\\u0000",
    "\0",
    "p-1",
    "\"id\":\"p-1\",",
    "\"hits\":[],",
    "NaN",
    " ",
];

/// The field of a hit that callers rely on. Other fields only have to be valid JSON.
#[derive(Deserialize)]
struct HitHead {
    id: String,
}

/// Runs a property on fixed seeds, so that every test run has the same result.
fn check_property(property: fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

fn damaged_body(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Bytes> {
    let mut body = BODY.as_bytes().to_vec();
    for _ in 0..u.int_in_range(0..=2)? {
        let start = u.choose_index(body.len())?;
        let end = (start + u.int_in_range(0..=6_usize)?).min(body.len());
        let fragment = u.choose(&FRAGMENTS)?;
        body.splice(start..end, fragment.bytes());
    }
    Ok(body.into())
}

#[test]
fn hits_of_damaged_bodies_are_json_objects_with_their_id() {
    check_property(|u| {
        for hit in parse_hits(&damaged_body(u)?).unwrap_or_default() {
            let head: HitHead = serde_json::from_slice(&hit.raw).unwrap();
            assert_eq!(head.id, &*hit.id);
        }
        Ok(())
    });
}

#[test]
fn answers_made_of_damaged_bodies_are_valid() {
    check_property(|u| {
        let mut replies = Vec::new();
        for _ in 0..u.int_in_range(0..=4)? {
            replies.extend(parse_hits(&damaged_body(u)?));
        }
        let limit: Option<u8> = u.arbitrary()?;
        let merged = merge_hits(replies, limit.map(usize::from));
        let mut answer = Vec::new();
        write_hits(&merged, &mut answer);
        let heads: Vec<HitHead> = serde_json::from_slice(&answer).unwrap();
        let ids: HashSet<&str> = heads.iter().map(|head| head.id.as_str()).collect();
        assert_eq!((ids.len(), heads.len()), (merged.len(), merged.len()));
        assert!(merged.is_sorted_by(|a, b| a.score >= b.score));
        Ok(())
    });
}

#[test]
fn deep_nesting_is_passed_through_or_refused() {
    let depth = 200_000;
    let deep = "[".repeat(depth) + &"]".repeat(depth);
    for body in [
        format!(r#"{{"hits":[{{"id":"p-1","deep":{deep}}}]}}"#),
        format!(r#"{{"hits":{deep}}}"#),
        deep,
    ] {
        let _ = parse_hits(&Bytes::from(body));
    }
}
