//! Tests of the retries at other VMs and of the exit codes.

mod support;

use std::io::{Read, Write};

use support::{FakeAnswer, FakeVm, closed_address, ok, refuse, run_tool};

const ACT: [&str; 4] = ["act", "fee-ledger", "--key", "k"];
const KEYED_ACT: [&str; 6] = [
    "act",
    "fee-ledger",
    "--key",
    "k",
    "--idempotency-key",
    "i-1",
];
const SEARCH: [&str; 2] = ["search", "street-app/pitches"];

#[test]
fn an_act_is_sent_to_the_next_vm_after_a_not_run_refusal() {
    let first = FakeVm::start(|_, _| refuse(503, "not-run"));
    let second = FakeVm::start(|_, _| ok(r#"{"paid":true}"#));
    let run = run_tool(&[closed_address(), first.address, second.address], &ACT);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
    assert_eq!(second.requests()[0].line, "POST /v1/act/fee-ledger?key=k");
}

#[test]
fn an_act_that_may_have_run_is_never_sent_again() {
    for lost in ["hangup", "refused"] {
        let first = FakeVm::start(move |_, _| match lost {
            "hangup" => FakeAnswer::Hangup,
            _ => refuse(503, "may-have-run"),
        });
        let second = FakeVm::start(|_, _| ok("{}"));
        let run = run_tool(&[first.address, second.address], &ACT);
        assert_eq!(run.code, 3, "{run:?}");
        assert!(run.stderr.contains("may have run"), "{run:?}");
        assert_eq!((first.requests().len(), second.requests().len()), (1, 0));
    }
}

#[test]
fn a_keyed_act_is_resent_with_its_key_after_a_lost_answer() {
    let first = FakeVm::start(|_, _| FakeAnswer::Hangup);
    let second = FakeVm::start(|_, _| ok(r#"{"paid":true}"#));
    let run = run_tool(&[first.address, second.address], &KEYED_ACT);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(first.requests()[0].header("idempotency-key"), "i-1");
    assert_eq!(second.requests()[0].header("idempotency-key"), "i-1");
}

#[test]
fn a_lost_answer_stays_undecided_after_not_run_refusals_of_other_vms() {
    let first = FakeVm::start(|_, _| FakeAnswer::Hangup);
    let second = FakeVm::start(|_, _| refuse(503, "not-run"));
    let run = run_tool(&[first.address, second.address], &KEYED_ACT);
    assert_eq!(run.code, 3, "{run:?}");
    assert_eq!(first.requests().len(), 3);
}

#[test]
fn a_truncated_answer_is_a_lost_answer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"paid\"";
        stream.write_all(answer).unwrap();
    });
    let run = run_tool(&[address], &ACT);
    server.join().unwrap();
    assert_eq!(run.code, 3, "{run:?}");
}

#[test]
fn a_refusal_of_the_request_itself_is_final() {
    for status in [400, 404, 409] {
        let first = FakeVm::start(move |_, _| refuse(status, "not-run"));
        let second = FakeVm::start(|_, _| ok("{}"));
        let run = run_tool(&[first.address, second.address], &ACT);
        assert_eq!(run.code, 1, "{run:?}");
        assert!(second.requests().is_empty());
    }
}

#[test]
fn a_refusal_without_a_verdict_may_have_run() {
    let vm = FakeVm::start(|_, _| FakeAnswer::Reply(502, &[], "gateway".to_owned()));
    assert_eq!(run_tool(&[vm.address], &ACT).code, 3);
}

#[test]
fn an_act_that_ran_without_a_usable_answer_is_undecided() {
    for answer in ["ran", "garbage"] {
        let vm = FakeVm::start(move |_, _| match answer {
            "ran" => refuse(504, "ran"),
            _ => ok("not json"),
        });
        let run = run_tool(&[vm.address], &ACT);
        assert_eq!(run.code, 3, "{run:?}");
        assert!(
            run.stderr.contains("ran, but its answer is lost"),
            "{run:?}"
        );
    }
}

#[test]
fn a_search_is_sent_to_the_next_vm_after_a_lost_answer() {
    let first = FakeVm::start(|_, _| FakeAnswer::Hangup);
    let second = FakeVm::start(|_, _| {
        ok(
            r#"{"version":42,"coverage":{"shards":3,"answered":2,"missing":[1]},
               "hits":[{"id":"p-1","score":0.5,"ward":"\u001b[2J"}]}"#,
        )
    });
    let args = [
        &SEARCH[..],
        &["--key", "a b&c", "--limit", "5", "--deadline-ms", "2000"],
    ]
    .concat();
    let run = run_tool(&[first.address, second.address], &args);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.stdout.contains("coverage 2/3, missing shards 1"),
        "{run:?}"
    );
    assert!(!run.stdout.contains('\u{1b}'), "{run:?}");
    let request = &second.requests()[0];
    assert_eq!(
        request.line,
        "POST /v1/search/street-app/pitches?key=a%20b%26c&limit=5"
    );
    let left: u64 = request.header("fulmarweir-deadline-ms").parse().unwrap();
    assert!((1..=2000).contains(&left));
}

#[test]
fn a_command_is_not_run_if_no_vm_is_reachable() {
    for args in [&ACT[..], &SEARCH[..], &["status"], &["config", "show"]] {
        let run = run_tool(&[closed_address()], args);
        assert_eq!(run.code, 1, "{run:?}");
    }
}

#[test]
fn bad_usage_exits_with_code_2() {
    let cases: [&[&str]; 8] = [
        &[],
        &["frobnicate"],
        &["act", "fee-ledger"],
        &["search", "Not A Name"],
        &["search", "a", "--body", "{"],
        &["--at-vm", "nowhere", "status"],
        &["config", "submit", "/nonexistent", "--at", "1"],
        &["act", "a", "--key", "k", "--idempotency-key", "line\nbreak"],
    ];
    for args in cases {
        let run = run_tool(&[], args);
        assert_eq!(run.code, 2, "{args:?} {run:?}");
    }
    let help = run_tool(&[], &["--help"]);
    assert_eq!(help.code, 0);
    assert!(help.stdout.contains("callers' port"));
}

#[test]
fn the_json_output_of_an_error_has_the_verdict() {
    let vm = FakeVm::start(|_, _| refuse(503, "not-run"));
    let run = run_tool(
        &[vm.address],
        &["--json", "act", "fee-ledger", "--key", "k"],
    );
    let json: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(json["error"]["run"], "not-run");
    assert_eq!(json["error"]["reason"], "scripted");
}
