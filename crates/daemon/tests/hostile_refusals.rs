//! Invalid input is refused in the form that callers rely on, and counted.

mod support;

use support::{RefusalCheck, TestDaemon};

const PUT_CONFIG: &str = "PUT /v1/config";
const CHANGE_HEADERS: &str = "if-match: \"1\"\r\nchange-id: c\r\n";

#[test]
fn malformed_paths_and_queries_are_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    for line in [
        "POST /v1/search/%ff%fe",
        "POST /v1/search/pitches?limit=x",
        "POST /v1/search/pitches?limit=-1",
    ] {
        check.refused(daemon.callers, line, "", b"{}", 400);
    }
    daemon.assert_alive();
    check.finish();
}

#[test]
fn bodies_over_the_limit_are_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    let body = vec![b'x'; 1024 * 1024 + 1];
    check.refused(daemon.callers, "POST /v1/search/pitches", "", &body, 413);
    check.refused(daemon.targets, "POST /v1/announce", "", &body, 413);
    let text = vec![b';'; 2 * 1024 * 1024];
    check.refused(daemon.operators, PUT_CONFIG, CHANGE_HEADERS, &text, 413);
    daemon.assert_alive();
    check.finish();
}

#[test]
fn texts_that_are_not_utf8_are_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    check.refused(
        daemon.operators,
        PUT_CONFIG,
        CHANGE_HEADERS,
        b"\xff\xfe",
        400,
    );
    daemon.assert_alive();
    check.finish();
}

#[test]
fn the_last_version_number_is_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    let last = "if-match: \"18446744073709551615\"\r\nchange-id: c\r\n";
    check.refused(daemon.operators, PUT_CONFIG, last, b"", 400);
    daemon.assert_alive();
    check.finish();
}

/// Summaries of data centres hold one bit per shard, so the number of shards must be bounded.
#[test]
fn a_shard_count_beyond_the_limit_is_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    let body = br#"{"name":"t-1","service":"pitches","address":"127.0.0.1:9","incarnation":1,
        "state":"serving","slots":3,"connections":30,
        "versions":[{"version":1,"shard":0,"of":4294967295}]}"#;
    check.refused(daemon.targets, "POST /v1/announce", "", body, 400);
    daemon.assert_alive();
    check.finish();
}
