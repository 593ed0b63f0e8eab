//! Tests of `fulmarweir explain`, the timeline of a request from the logs of several VMs.

mod support;

use support::{TempFile, run_tool};

const ENTRY_LOG: &str = r#"ts=100.000 level=info event="starting" vm=entry-1 centre=a
ts=100.500 level=info event="config-in-force" vm=entry-1 routes=4 before=0 version=7
ts=101.000 level=warning event="broker-lost" vm=entry-1 broker="10.0.0.2:7804"
ts=102.250 level=info event="request" vm=entry-1 detail="s1: t-9(Far load=5.0/4)" missing=1 status=200 outcome=partial request=ab12
ts=102.300 level=info event="request" vm=entry-1 status=200 outcome=whole request=other
ts=103.000 level=info event="config-in-force" vm=entry-1 routes=4 before=7 version=8
"#;
const BROKER_LOG: &str = r#"collector-7 | ts=102.200 level=info event="request" vm=entry-2 missing=1 outcome=partial other_vm="from:entry-1" request=ab12
a line of something else
ts=99.000 level=info event="targets-changed" vm=entry-2 targets=12 before=0
ts=101.500 level=info event="targets-changed" vm=entry-2 targets=9 before=12
ts=101.500 level=info event="targets-changed" vm=entry-3 targets=1 before=12
ts=102.1
"#;

#[test]
fn lines_of_all_vms_are_merged_in_time_order_and_followed_by_beliefs() {
    let entry = TempFile::new("entry.log", ENTRY_LOG);
    let broker = TempFile::new("broker.log", BROKER_LOG);
    let run = run_tool(&[], &["explain", "ab12", entry.path(), broker.path()]);
    assert_eq!(run.code, 0, "{run:?}");
    let position = |text: &str| {
        run.stdout
            .find(text)
            .unwrap_or_else(|| panic!("{text}: {run:?}"))
    };
    assert!(position("+0.000 s  entry-2") < position("+0.050 s  entry-1"));
    assert!(run.stdout.contains("detail=s1: t-9(Far load=5.0/4)"));
    // The configuration in force at the time of the request, not the later one.
    assert!(
        run.stdout
            .contains("1.750 s old  entry-1  config-in-force  routes=4  before=0  version=7")
    );
    assert!(run.stdout.contains("1.250 s old  entry-1  broker-lost"));
    assert!(
        run.stdout
            .contains("0.750 s old  entry-2  targets-changed  targets=9")
    );
    assert!(!run.stdout.contains("entry-3") && !run.stdout.contains("whole"));
}

#[test]
fn the_timeline_is_one_json_document_with_the_json_flag() {
    let entry = TempFile::new("entry-json.log", ENTRY_LOG);
    let run = run_tool(&[], &["explain", "ab12", entry.path(), "--json"]);
    let json: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(json["request"], "ab12");
    assert_eq!(json["lines"][0]["outcome"], "partial");
    let beliefs = json["beliefs"].as_array().unwrap();
    let lost = beliefs
        .iter()
        .find(|b| b["event"] == "broker-lost")
        .unwrap();
    assert_eq!(lost["age_s"], 1.25);
}

#[test]
fn an_unknown_request_or_file_is_an_error() {
    let entry = TempFile::new("entry-unknown.log", ENTRY_LOG);
    let run = run_tool(&[], &["explain", "ffff", entry.path()]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("request-lines-left-out"), "{run:?}");
    let run = run_tool(&[], &["explain", "ab12", "/nonexistent/x.log"]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("/nonexistent/x.log"), "{run:?}");
}
