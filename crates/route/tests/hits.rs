//! Parsing and merging of hits.

use bytes::Bytes;
use fulmarweir_route::{HitScore, SearchHit, merge_hits, parse_hits, write_hits};

fn parse(body: &'static str) -> Vec<SearchHit> {
    parse_hits(&Bytes::from_static(body.as_bytes())).unwrap()
}

fn ids(hits: &[SearchHit]) -> Vec<&str> {
    hits.iter().map(|hit| &*hit.id).collect()
}

#[test]
fn raw_json_is_kept_as_written() {
    let body = r#"{"took":3,"hits":[{"id":"a", "score":1,"pitch":{"x":[1, 2]}},{"id":"b"}]}"#;
    let hits = parse(body);
    let mut out = Vec::new();
    write_hits(&hits, &mut out);
    let expected = r#"[{"id":"a", "score":1,"pitch":{"x":[1, 2]}},{"id":"b"}]"#;
    assert_eq!(out, expected.as_bytes());
}

#[test]
fn unusable_scores_come_last() {
    let hits = parse(
        r#"{"hits":[{"id":"e","score":null},{"id":"d","score":"9"},{"id":"c"},
            {"id":"b","score":1e999},{"id":"a","score":-1e300}]}"#,
    );
    assert_eq!(
        ids(&merge_hits(vec![hits], None)),
        ["a", "b", "c", "d", "e"]
    );
    assert_eq!(HitScore::new(f64::NAN), HitScore::MISSING);
    assert_eq!(HitScore::new(-0.0), HitScore::new(0.0));
}

#[test]
fn replies_without_a_list_of_hits_are_errors() {
    for body in [
        "",
        "[]",
        "{}",
        r#"{"hits":3}"#,
        r#"{"hits":[3]}"#,
        r#"{"hits":[{"id":7}]}"#,
        r#"{"hits":[{"score":1}]}"#,
        r#"{"hits":[{"id":"a"}"#,
    ] {
        assert!(
            parse_hits(&Bytes::from_static(body.as_bytes())).is_err(),
            "{body}"
        );
    }
}

#[test]
fn an_id_in_two_replies_is_kept_once_with_its_best_score() {
    let one = parse(r#"{"hits":[{"id":"a","score":2},{"id":"b","score":1}]}"#);
    let two = parse(r#"{"hits":[{"id":"a","score":5},{"id":"b","score":1}]}"#);
    let merged = merge_hits(vec![one, two], None);
    assert_eq!(ids(&merged), ["a", "b"]);
    assert_eq!(merged[0].score, HitScore::new(5.0));
}

#[test]
fn the_limit_takes_the_best_of_unsorted_replies() {
    let one = parse(r#"{"hits":[{"id":"a","score":1},{"id":"b","score":4}]}"#);
    let two = parse(r#"{"hits":[{"id":"d","score":3},{"id":"c","score":3}]}"#);
    let merged = merge_hits(vec![one, two, Vec::new()], Some(3));
    assert_eq!(ids(&merged), ["b", "c", "d"]);
    assert!(merge_hits(Vec::new(), Some(0)).is_empty());
}
