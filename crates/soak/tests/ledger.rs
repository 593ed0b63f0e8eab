//! Checks that the ledger finds one planted violation of each guarantee.

use fulmarweir_route::merge_records;
use fulmarweir_soak::{AnswerSeen, Ledger, RequestKind, RunSeen, expected_records};

/// Returns the correct answer to a search, with at most 6 records like the soak's `TOP_K`.
fn search(services: &[&str], missing: usize) -> AnswerSeen {
    let parts: Vec<Vec<u8>> = services.iter().map(|s| expected_records(s, "q1")).collect();
    AnswerSeen {
        request: "q1".to_owned(),
        kind: RequestKind::Search,
        status: 200,
        signatures: services.iter().map(|s| format!("{s}.t.q1")).collect(),
        missing,
        body: merge_records(parts.iter().map(Vec::as_slice), 6),
    }
}

fn violations(answer: &AnswerSeen) -> Vec<String> {
    let ledger = Ledger::default();
    for shards in [["a", "b", "c", "d"], ["a", "b", "e", "f"]] {
        ledger.record_services(RequestKind::Search, shards.map(str::to_owned).to_vec());
    }
    let twin = ["a", "b"].map(str::to_owned).to_vec();
    ledger.record_services(RequestKind::Twin, twin);
    ledger.check_answer(answer);
    ledger.violations()
}

#[test]
fn correct_answers_pass() {
    assert!(violations(&search(&["a", "b", "c", "d"], 0)).is_empty());
    assert!(violations(&search(&["a", "c", "d"], 1)).is_empty());
}

#[test]
fn planted_faults_in_searches_are_found() {
    let mixed = search(&["a", "b", "c", "e"], 0);
    let low = search(&["a"], 3);
    let miscounted = search(&["a", "b", "c"], 0);
    let mut doubled = search(&["a", "b", "c"], 0);
    doubled.signatures.push("a.t2.q1".to_owned());
    let mut crossed = search(&["a", "b", "c", "d"], 0);
    crossed.signatures[1] = "b.t.q2".to_owned();
    let mut spoiled = search(&["a", "b", "c", "d"], 0);
    spoiled.body[3] ^= 1;
    // The shards of the route with the same name.
    let twin = search(&["a", "b"], 0);
    for (name, answer) in [
        ("twin", twin),
        ("mixed", mixed),
        ("low coverage", low),
        ("miscounted", miscounted),
        ("doubled", doubled),
        ("crossed", crossed),
        ("spoiled", spoiled),
    ] {
        assert_eq!(violations(&answer).len(), 1, "{name}");
    }
}

#[test]
fn planted_faults_in_runs_are_found() {
    let ledger = Ledger::default();
    ledger.record_request("q1", RequestKind::Pay);
    let run = RunSeen {
        request: "q1".to_owned(),
        service: "desk".to_owned(),
        target: "t".to_owned(),
    };
    ledger.record_run(run.clone());
    ledger.check_runs();
    assert!(ledger.violations().is_empty());
    ledger.record_run(run);
    ledger.check_runs();
    assert_eq!(ledger.violations().len(), 1);

    let refused = AnswerSeen {
        status: 503,
        ..search(&[], 0)
    };
    let ledger = Ledger::default();
    ledger.check_answer(&refused);
    ledger.record_run(RunSeen {
        request: "q1".to_owned(),
        service: "a".to_owned(),
        target: "t".to_owned(),
    });
    ledger.check_runs();
    assert_eq!(ledger.violations().len(), 1);
}

#[test]
fn a_success_without_a_signature_is_found() {
    let mut answer = search(&[], 0);
    answer.kind = RequestKind::Look;
    assert_eq!(violations(&answer).len(), 1);
}

#[test]
fn a_run_by_a_service_of_another_route_is_found() {
    let run_of = |kind| {
        let ledger = Ledger::default();
        ledger.record_services(RequestKind::Search, vec!["a".to_owned(), "b".to_owned()]);
        ledger.record_services(RequestKind::Twin, vec!["a".to_owned()]);
        ledger.record_request("q1", kind);
        ledger.record_run(RunSeen {
            request: "q1".to_owned(),
            service: "b".to_owned(),
            target: "t".to_owned(),
        });
        ledger.check_runs();
        ledger.violations().len()
    };
    assert_eq!(run_of(RequestKind::Search), 0);
    assert_eq!(run_of(RequestKind::Twin), 1);
}

#[test]
fn a_signed_failure_with_another_status_is_found() {
    let violations = |status| {
        let ledger = Ledger::default();
        ledger.record_failure("q1", 500);
        ledger.check_answer(&AnswerSeen {
            status,
            ..search(&["a"], 0)
        });
        ledger.violations().len()
    };
    assert_eq!(violations(500), 0);
    assert_eq!(violations(502), 1);
}
