//! Malformed or oversized input from outside is refused as not run, and the daemon keeps serving.

mod support;

use arbtest::{arbitrary::Unstructured, arbtest};
use support::{RefusalCheck, TestDaemon, request, send_raw};

const SEEDS: std::ops::Range<u64> = 0..40;
/// Length of the random data of one run. An arbtest seed holds it in the lower 32 bits.
const RANDOM_DATA_BYTES: u64 = 400;

#[test]
fn malformed_requests_of_callers_are_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    let search = "POST /v1/search/pitches";
    let cases = [
        ("POST /v1/search/none", "", 404),
        ("POST /v1/search/Not%20A%20Name", "", 400),
        ("POST /v1/search/ledger", "", 400),
        ("POST /v1/search/pitches?key=a%0d%0ab", "", 400),
        ("POST /v1/search/pitches?key=%ff", "", 400),
        ("POST /v1/act/ledger", "", 400),
        (search, "fulmarweir-deadline-ms: soon\r\n", 400),
        (search, "fulmarweir-deadline-ms: -1\r\n", 400),
        (
            search,
            "fulmarweir-deadline-ms: 99999999999999999999\r\n",
            400,
        ),
        (search, "fulmarweir-min-version: 1.5\r\n", 400),
        (search, "fulmarweir-from: Not A Name\r\n", 400),
        (search, "fulmarweir-from: ledger\r\n", 403),
        (search, "fulmarweir-request: \u{e9}\r\n", 400),
    ];
    for (line, headers, status) in cases {
        check.refused(daemon.callers, line, headers, b"{}", status);
    }
    let long = format!("idempotency-key: {}\r\n", "k".repeat(300));
    check.refused(
        daemon.callers,
        "POST /v1/act/ledger?key=k",
        &long,
        b"{}",
        400,
    );
    daemon.assert_alive();
    check.finish();
}

#[test]
fn requests_without_targets_are_refused_as_not_run() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    for line in ["POST /v1/search/pitches", "POST /v1/act/ledger?key=k"] {
        check.refused(daemon.callers, line, "", b"{}", 503);
        let longest = "fulmarweir-deadline-ms: 18446744073709551615\r\n";
        check.refused(daemon.callers, line, longest, b"{}", 503);
    }
    daemon.assert_alive();
    check.finish();
}

#[test]
fn malformed_changes_are_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    let put = "PUT /v1/config";
    let cases = [
        "",
        "change-id: c\r\n",
        "if-match: \"1\"\r\n",
        "if-match: one\r\nchange-id: c\r\n",
    ];
    for headers in cases {
        check.refused(daemon.operators, put, headers, b"", 400);
    }
    let faulty = request(
        daemon.operators,
        put,
        "if-match: \"1\"\r\nchange-id: c\r\n",
        b"[service a]\nkind = find\n",
    );
    assert_eq!(faulty.status, 422, "{faulty:?}");
    assert!(faulty.text.contains(r#""line":2"#), "{faulty:?}");
    daemon.assert_alive();
    check.finish();
}

#[test]
fn malformed_announcements_are_refused() {
    let daemon = TestDaemon::start();
    let mut check = RefusalCheck::default();
    let announcement = |holdings: &str| {
        format!(
            r#"{{"name":"t-1","service":"pitches","address":"127.0.0.1:9","incarnation":1,
            "state":"serving","slots":3,"connections":30,"versions":[{holdings}]}}"#
        )
    };
    let many = vec![r#"{"version":1,"shard":0,"of":1}"#; 1900].join(",");
    let bodies = [
        "{".to_owned(),
        "[]".to_owned(),
        "[".repeat(60_000),
        announcement(r#"{"version":1,"shard":3,"of":3}"#),
        announcement(r#"{"version":1,"shard":0,"of":0}"#),
        announcement(r#"{"version":-1,"shard":0,"of":1}"#),
        announcement(&many),
        announcement("").replace("t-1", "T 1"),
        announcement("").replace("127.0.0.1:9", "localhost:9"),
    ];
    for body in &bodies {
        check.refused(
            daemon.targets,
            "POST /v1/announce",
            "",
            body.as_bytes(),
            400,
        );
    }
    daemon.assert_alive();
    check.finish();
}

#[test]
fn random_bytes_on_every_port_leave_the_daemon_serving() {
    let daemon = TestDaemon::start();
    let ports = [
        daemon.callers,
        daemon.targets,
        daemon.operators,
        daemon.peers,
    ];
    for seed in SEEDS {
        let property = |u: &mut Unstructured<'_>| {
            let to = *u.choose(&ports)?;
            let start: &[u8] = u.choose(&[&b""[..], b"POST /v1/search/pitches HTTP/1.1\r\n"])?;
            let message = [start, u.bytes(u.len())?].concat();
            send_raw(to, &message);
            Ok(())
        };
        arbtest(property).seed(seed << 32 | RANDOM_DATA_BYTES).run();
    }
    daemon.assert_alive();
}
