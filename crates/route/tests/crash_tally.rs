//! Tests of which requests a keeper holds back, by what VMs report.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_route::{
    AnswerReport, CrashNews, CrashReport, CrashTally, QuarantineEntry, QuarantineState,
    QuarantineTable, RequestFingerprint, SendRule,
};

const SERVICE: &str = "s0";
/// Time in which reports settle.
const SETTLED_MS: u64 = 200;
const BLOCK_S: u64 = 600;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn fingerprint(path: &str) -> RequestFingerprint {
    RequestFingerprint::of("GET", "caller", path, b"")
}

/// Returns a report that is told at `now_ms` of a target of `service` that ended under a request.
fn crash_of(
    path: &str,
    service: &str,
    target: &str,
    (sent_ms, ended_ms, now_ms): (u64, u64, u64),
) -> CrashReport {
    CrashReport {
        fingerprint: fingerprint(path),
        service: service.into(),
        target: target.into(),
        born_ms: 1,
        sent_age: Duration::from_millis(now_ms - sent_ms),
        ended_age: Duration::from_millis(now_ms - ended_ms),
    }
}

fn tell_crash(tally: &mut CrashTally, path: &str, target: &str, sent_ms: u64, ended_ms: u64) {
    let crash = crash_of(path, SERVICE, target, (sent_ms, ended_ms, ended_ms));
    let news = CrashNews {
        crashes: vec![crash],
        ..CrashNews::default()
    };
    tally.record(&news, at(ended_ms));
}

fn tell_answer(tally: &mut CrashTally, path: &str, service: &str, now_ms: u64) {
    let answer = AnswerReport {
        fingerprint: fingerprint(path),
        service: service.into(),
        age: Duration::ZERO,
    };
    let news = CrashNews {
        answers: vec![answer],
        ..CrashNews::default()
    };
    tally.record(&news, at(now_ms));
}

fn state(tally: &CrashTally, path: &str, now_ms: u64) -> Option<QuarantineState> {
    let entry = tally.table().get(fingerprint(path), at(now_ms));
    entry.map(|entry| entry.state)
}

/// Returns a tally that has blocked a request, and the time.
fn blocked_tally(path: &str) -> (CrashTally, u64) {
    let mut tally = CrashTally::new(1);
    for number in 0..3 {
        let sent_ms = 1_000 + number * 500;
        tell_crash(
            &mut tally,
            path,
            &format!("t{number}"),
            sent_ms,
            sent_ms + 50,
        );
    }
    let now_ms = 2_050 + SETTLED_MS;
    tally.decide(at(now_ms));
    assert_eq!(state(&tally, path, now_ms), Some(QuarantineState::Blocked));
    (tally, now_ms)
}

#[test]
fn a_request_is_blocked_after_its_third_target() {
    let mut tally = CrashTally::new(1);
    tell_crash(&mut tally, "/a", "t0", 1_000, 1_050);
    tally.decide(at(1_300));
    assert_eq!(state(&tally, "/a", 1_300), None);
    tell_crash(&mut tally, "/a", "t1", 2_000, 2_050);
    tally.decide(at(2_300));
    assert_eq!(state(&tally, "/a", 2_300), Some(QuarantineState::Watched));
    tell_crash(&mut tally, "/a", "t2", 3_000, 3_050);
    tally.decide(at(3_300));
    assert_eq!(state(&tally, "/a", 3_300), Some(QuarantineState::Blocked));
    let rule = tally.table().rule(fingerprint("/a"), SERVICE, at(3_300));
    assert_eq!(rule, SendRule::Blocked(at(3_300 + BLOCK_S * 1_000)));
    let other = tally.table().rule(fingerprint("/b"), SERVICE, at(3_300));
    assert_eq!(other, SendRule::Unrestricted);
}

/// Two VMs, or a VM and its broker, saw the same target end.
#[test]
fn a_target_that_several_vms_saw_end_counts_once() {
    let mut tally = CrashTally::new(1);
    for sent_ms in [1_000, 1_010, 1_020, 1_030] {
        tell_crash(&mut tally, "/a", "t0", sent_ms, 1_050);
    }
    tell_crash(&mut tally, "/a", "t1", 2_000, 2_050);
    tally.decide(at(2_300));
    assert_eq!(state(&tally, "/a", 2_300), Some(QuarantineState::Watched));
}

/// Many targets end together, under one search.
#[test]
fn targets_that_end_at_once_put_a_request_on_trial_only() {
    let mut tally = CrashTally::new(1);
    for number in 0..10 {
        tell_crash(
            &mut tally,
            "/a",
            &format!("t{number}"),
            1_000,
            1_050 + number,
        );
    }
    tally.decide(at(1_300));
    assert_eq!(state(&tally, "/a", 1_300), Some(QuarantineState::Trial));
    let rule = tally.table().rule(fingerprint("/a"), SERVICE, at(1_300));
    assert_eq!(rule, SendRule::OneAtATime);
    tell_crash(&mut tally, "/a", "next", 1_400, 1_450);
    tally.decide(at(1_700));
    assert_eq!(state(&tally, "/a", 1_700), Some(QuarantineState::Blocked));
}

/// Targets end at the same moment under a search that brokers ran as well; the reports of VMs in
/// other regions take longer, so what they tell seems to be later.
#[test]
fn reports_that_take_longer_do_not_make_a_second_round() {
    let mut tally = CrashTally::new(1);
    for (number, delay_ms) in [1, 1, 20, 20, 45].into_iter().enumerate() {
        let (sent_ms, ended_ms) = (1_020 + delay_ms, 1_025 + delay_ms);
        tell_crash(&mut tally, "/a", &format!("t{number}"), sent_ms, ended_ms);
    }
    tally.decide(at(1_300));
    assert_eq!(state(&tally, "/a", 1_300), Some(QuarantineState::Trial));
}

#[test]
fn an_answer_releases_a_request() {
    let (mut tally, now_ms) = blocked_tally("/a");
    tell_answer(&mut tally, "/a", SERVICE, now_ms);
    let changed = tally.decide(at(now_ms + SETTLED_MS));
    assert_eq!(changed.len(), 1);
    let now_ms = now_ms + SETTLED_MS;
    assert_eq!(state(&tally, "/a", now_ms), Some(QuarantineState::Released));
}

/// What has just run can hardly be to blame, but what ran long ago may be by now.
#[test]
fn an_answer_counts_for_some_seconds_before_the_end_of_a_target() {
    for (answered_ms, expected) in [(2_000, None), (20_000, Some(QuarantineState::Blocked))] {
        let mut tally = CrashTally::new(1);
        tell_crash(&mut tally, "/a", "first", 900, 950);
        tell_answer(&mut tally, "/a", SERVICE, 1_000);
        for number in 0..3 {
            let sent_ms = answered_ms + number * 500;
            tell_crash(
                &mut tally,
                "/a",
                &format!("t{number}"),
                sent_ms,
                sent_ms + 50,
            );
        }
        let now_ms = answered_ms + 1_500;
        tally.decide(at(now_ms));
        assert_eq!(state(&tally, "/a", now_ms), expected, "{answered_ms}");
    }
}

/// A request ends the targets of one shard, while the other shards answer it.
#[test]
fn services_that_answer_still_get_a_blocked_request() {
    let (mut tally, now_ms) = blocked_tally("/a");
    tell_answer(&mut tally, "/a", "other", now_ms);
    let now_ms = now_ms + SETTLED_MS;
    tally.decide(at(now_ms));
    let rule = |service| tally.table().rule(fingerprint("/a"), service, at(now_ms));
    assert!(matches!(rule(SERVICE), SendRule::Blocked(_)));
    assert!(matches!(rule("unknown"), SendRule::Blocked(_)));
    assert_eq!(rule("other"), SendRule::Unrestricted);
}

/// An innocent request was lost at some of the targets that a deadly one ended.
#[test]
fn what_a_blocked_request_explains_does_not_count_against_others() {
    let mut tally = CrashTally::new(1);
    for number in 0..5 {
        let (sent_ms, target) = (1_000 + number * 500, format!("t{number}"));
        tell_crash(&mut tally, "/deadly", &target, sent_ms, sent_ms + 50);
        if number < 3 {
            tell_crash(&mut tally, "/innocent", &target, sent_ms, sent_ms + 50);
        }
    }
    tally.decide(at(4_000));
    assert_eq!(
        state(&tally, "/deadly", 4_000),
        Some(QuarantineState::Blocked)
    );
    assert_eq!(state(&tally, "/innocent", 4_000), None);
}

/// Two requests were lost with just the same targets, so either may be to blame.
#[test]
fn requests_that_cannot_be_told_apart_are_blocked_for_a_short_time() {
    let mut tally = CrashTally::new(1);
    for number in 0..3 {
        let (sent_ms, target) = (1_000 + number * 500, format!("t{number}"));
        for path in ["/a", "/b"] {
            tell_crash(&mut tally, path, &target, sent_ms, sent_ms + 50);
        }
    }
    tally.decide(at(2_300));
    for path in ["/a", "/b"] {
        let entry = tally.table().get(fingerprint(path), at(2_300)).unwrap();
        assert_eq!(entry.state, QuarantineState::Blocked);
        assert_eq!(entry.ends_after, Duration::from_secs(10));
    }
}

#[test]
fn after_its_block_a_request_is_tried_and_blocked_for_twice_as_long() {
    let (mut tally, now_ms) = blocked_tally("/a");
    let over_ms = now_ms + BLOCK_S * 1_000 + 1;
    let rule = tally.table().rule(fingerprint("/a"), SERVICE, at(over_ms));
    assert_eq!(rule, SendRule::OneAtATime);
    tell_crash(&mut tally, "/a", "later", over_ms, over_ms + 50);
    tally.decide(at(over_ms + 300));
    let entry = tally
        .table()
        .get(fingerprint("/a"), at(over_ms + 300))
        .unwrap();
    assert_eq!(entry.state, QuarantineState::Blocked);
    assert_eq!(
        (entry.blocks, entry.ends_after),
        (2, Duration::from_secs(2 * BLOCK_S))
    );
}

#[test]
fn operators_decide_over_reports() {
    let mut tally = CrashTally::new(1);
    let blocked_for = Some(Duration::from_mins(1));
    tally.set_by_operator(fingerprint("/a"), blocked_for, at(1_000));
    tell_crash(&mut tally, "/a", "t0", 900, 950);
    tell_answer(&mut tally, "/a", SERVICE, 1_500);
    tally.decide(at(2_000));
    assert_eq!(state(&tally, "/a", 2_000), Some(QuarantineState::Blocked));
    tally.set_by_operator(fingerprint("/a"), None, at(2_500));
    assert_eq!(state(&tally, "/a", 2_500), Some(QuarantineState::Released));
}

/// Another keeper still has the reports that led to the block.
#[test]
fn a_release_by_an_operator_settles_the_reports_at_all_keepers() {
    let (mut first, now_ms) = blocked_tally("/a");
    let (mut second, _) = blocked_tally("/a");
    let released = first.set_by_operator(fingerprint("/a"), None, at(now_ms));
    let news = CrashNews {
        entries: vec![released],
        ..CrashNews::default()
    };
    second.record(&news, at(now_ms));
    // After the release is forgotten, something else is added up.
    let later_ms = now_ms + 61_000;
    second.decide(at(later_ms));
    tell_crash(&mut second, "/b", "t9", later_ms, later_ms + 50);
    second.decide(at(later_ms + 300));
    assert_eq!(state(&second, "/a", later_ms + 300), None);
}

/// Load pattern: a caller sends thousands of different requests that end targets.
#[test]
fn many_different_requests_are_kept_within_bounds() {
    let mut tally = CrashTally::new(1);
    for number in 0..20_000_u64 {
        let path = format!("/{number}");
        tell_crash(&mut tally, &path, &format!("t{number}"), number, number + 1);
    }
    tally.set_by_operator(
        fingerprint("/kept"),
        Some(Duration::from_mins(10)),
        at(20_000),
    );
    for number in 0..2_000_u64 {
        let now_ms = 30_000 + number;
        let path = format!("/{number}");
        tally.set_by_operator(fingerprint(&path), None, at(now_ms));
    }
    assert_eq!(tally.table().entries(at(33_000)).len(), 512);
    assert_eq!(
        state(&tally, "/kept", 33_000),
        Some(QuarantineState::Blocked)
    );
}

fn entry(path: &str, epoch: u64, state: QuarantineState) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: fingerprint(path),
        epoch,
        state,
        by_operator: false,
        crashes: 3,
        blocks: 1,
        spared: Vec::new(),
        age: Duration::ZERO,
        ends_after: Duration::from_mins(1),
    }
}

#[test]
fn tables_agree_whatever_the_order_of_what_they_are_told() {
    let entries = [
        entry("/a", 1, QuarantineState::Watched),
        entry("/a", 2, QuarantineState::Blocked),
        entry("/a", 2, QuarantineState::Trial),
        entry("/b", 3, QuarantineState::Released),
        entry("/b", 2, QuarantineState::Blocked),
    ];
    let (mut forwards, mut backwards) = (QuarantineTable::default(), QuarantineTable::default());
    for (first, last) in entries.iter().zip(entries.iter().rev()) {
        forwards.merge(std::slice::from_ref(first), at(1));
        backwards.merge(std::slice::from_ref(last), at(1));
    }
    assert_eq!(forwards.digest(), backwards.digest());
    assert_eq!(forwards.entries(at(1)), backwards.entries(at(1)));
    assert_ne!(forwards.digest(), 0);
}

/// A malformed message must not end a process.
#[test]
fn entries_with_extreme_times_are_bounded() {
    let mut extreme = entry("/a", 1, QuarantineState::Blocked);
    extreme.ends_after = Duration::MAX;
    extreme.age = Duration::MAX;
    extreme.spared = vec![Arc::from("s"); 100_000];
    let mut table = QuarantineTable::default();
    table.merge(&[extreme], at(1));
    table.remove_expired(at(2));
    assert_eq!(table.blocked_count(at(3)), 1);
    assert!(table.entries(at(4))[0].spared.len() <= 1_024);
    let mut tally = CrashTally::new(1);
    let crash = CrashReport {
        sent_age: Duration::MAX,
        ended_age: Duration::MAX,
        ..crash_of("/a", SERVICE, "t0", (0, 0, 0))
    };
    let news = CrashNews {
        crashes: vec![crash],
        entries: vec![entry("/a", u64::MAX, QuarantineState::Blocked)],
        ..CrashNews::default()
    };
    tally.record(&news, at(5));
    assert_eq!(state(&tally, "/a", 5), None, "no request changes so often");
    tally.set_by_operator(fingerprint("/a"), None, at(6));
    tally.decide(at(1_000));
}

#[test]
fn fingerprints_tell_method_caller_path_and_body_apart() {
    let same = RequestFingerprint::of("GET", "Host:80", "/a?q=1", b"x");
    assert_eq!(same, RequestFingerprint::of("GET", "host", "/a?q=1", b"x"));
    for other in [
        RequestFingerprint::of("POST", "host", "/a?q=1", b"x"),
        RequestFingerprint::of("GET", "host2", "/a?q=1", b"x"),
        RequestFingerprint::of("GET", "host", "/a?q=2", b"x"),
        RequestFingerprint::of("GET", "host", "/a?q=1", b"y"),
        RequestFingerprint::of("GET", "host", "/a?q=", b"1x"),
        RequestFingerprint::of("GET", "host/a?q=1", "", b"x"),
    ] {
        assert_ne!(same, other);
    }
    assert_eq!(same.to_string().parse(), Ok(same));
}

/// All targets end at once, under thousands of different requests.
#[test]
fn the_end_of_many_targets_at_once_does_not_flood_vms() {
    let mut tally = CrashTally::new(7);
    for number in 0..3_000 {
        let path = format!("/{number}");
        for target in ["t0", "t1", "t2"] {
            tell_crash(&mut tally, &path, target, 1_000, 1_050);
        }
    }
    tally.decide(at(1_300));
    assert_eq!(tally.table().entries(at(1_300)).len(), 256);
    for (sent_ms, target) in [(2_000, "t3"), (2_500, "t4")] {
        tell_crash(&mut tally, "/0", target, sent_ms, sent_ms + 50);
    }
    tally.decide(at(3_000));
    assert_eq!(state(&tally, "/0", 3_000), Some(QuarantineState::Blocked));
}

#[test]
fn pollers_get_what_has_changed_since_their_last_poll() {
    let mut tally = CrashTally::new(7);
    assert_eq!(tally.entries_since(0, at(1)).len(), 0);
    tally.set_by_operator(fingerprint("/a"), None, at(1));
    let known = tally.revision();
    tally.set_by_operator(fingerprint("/b"), None, at(2));
    assert_eq!(tally.entries_since(0, at(3)).len(), 2);
    assert_eq!(tally.entries_since(known, at(3)).len(), 1);
    assert_eq!(tally.entries_since(tally.revision(), at(3)).len(), 0);
    assert_eq!(
        tally.entries_since(tally.revision() + 1, at(3)).len(),
        2,
        "another process"
    );
}

/// A search that has ended more targets than are kept, and ends one more after its block.
#[test]
fn a_request_with_many_ended_targets_is_blocked_again() {
    let mut tally = CrashTally::new(1);
    for number in 0..100 {
        let sent_ms = 1_000 + number;
        tell_crash(
            &mut tally,
            "/a",
            &format!("t{number}"),
            sent_ms,
            sent_ms + 50,
        );
    }
    tell_crash(&mut tally, "/a", "second round", 2_000, 2_050);
    tally.decide(at(2_300));
    assert_eq!(state(&tally, "/a", 2_300), Some(QuarantineState::Blocked));
    let over_ms = 2_300 + BLOCK_S * 1_000 + 1;
    tell_crash(&mut tally, "/a", "later", over_ms, over_ms + 50);
    tally.decide(at(over_ms + 300));
    let entry = tally.table().get(fingerprint("/a"), at(over_ms + 300));
    assert_eq!(entry.unwrap().blocks, 2);
}
