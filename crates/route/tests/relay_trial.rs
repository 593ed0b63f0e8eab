//! Tests of how one request is sent that may end its targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    AttemptPermits, CrashCall, GroupOutcome, Locality, QuarantineEntry, QuarantineState,
    RefusalReason, RelayAction, RelayAttempt, RelayAttemptOutcome, RelayOutcome, RelayParams,
    RelayRefusal, RelayRun, RelayTarget, RequestFingerprint, RequestOrigin, ShardGroup,
    TargetSelector, UnclearSubRequest,
};

const SHARDS: usize = 5;
const DEADLINE_MS: u64 = 2_000;
const CRASHED: RelayAttemptOutcome = RelayAttemptOutcome::Crashed;
const ANSWERED: RelayAttemptOutcome = RelayAttemptOutcome::Answered { load: None };

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::of("GET", "caller", "/a", b"")
}

fn keeper() -> SocketAddr {
    ([10, 0, 0, 9], 1).into()
}

fn shard(number: usize) -> Arc<str> {
    format!("s{number}").into()
}

fn target(shard_number: usize, number: usize, born_ms: u64) -> RelayTarget {
    let port = u16::try_from(100 * shard_number + number).unwrap();
    RelayTarget {
        id: format!("t{shard_number}-{number}-{born_ms}").into(),
        service: shard(shard_number),
        address: ([10, 0, 0, 1], port).into(),
        centre: "here".into(),
        locality: Locality::Centre,
        slots: 3,
        born_ms,
        warm_up_ms: 0,
    }
}

fn all_targets() -> Vec<RelayTarget> {
    let pairs = (0..SHARDS).flat_map(|shard| (0..3).map(move |number| (shard, number)));
    pairs
        .map(|(shard, number)| target(shard, number, 1))
        .collect()
}

fn selector() -> TargetSelector {
    let limits = ExtraAttemptLimits {
        share: 1.0,
        burst: 1_000.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, at(0));
    selector.record_vm_count(1, at(0));
    selector.sync(all_targets(), |_| Some(300), at(0));
    selector.apply_quarantine(keeper(), (1, 0), &[], at(0));
    selector
}

fn params(shards: usize) -> RelayParams {
    RelayParams {
        fingerprint: fingerprint(),
        services: (0..shards).map(shard).collect(),
        idempotent: true,
        targets_max: 3,
        priority: 0,
        coverage_min: 1.0,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(1_000),
        deadline: at(DEADLINE_MS),
        hedge_delay: Duration::from_millis(100),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: 0.0,
    }
}

fn entry(state: QuarantineState) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: fingerprint(),
        epoch: 1,
        state,
        by_operator: false,
        crashes: 3,
        blocks: 1,
        spared: Vec::new(),
        age: Duration::ZERO,
        ends_after: Duration::from_mins(10),
    }
}

fn sends(actions: &[RelayAction]) -> Vec<RelayAttempt> {
    let sends = actions.iter().filter_map(|action| match action {
        RelayAction::Send(attempt) => Some(attempt.clone()),
        _ => None,
    });
    sends.collect()
}

fn refusal(actions: &[RelayAction]) -> Option<RelayRefusal> {
    actions.iter().find_map(|action| match action {
        RelayAction::Finish(RelayOutcome::Refused(refusal)) => Some(*refusal),
        _ => None,
    })
}

/// Ends an attempt and returns the actions.
fn end(
    run: &mut RelayRun,
    attempt: &RelayAttempt,
    outcome: RelayAttemptOutcome,
    selector: &mut TargetSelector,
    now_ms: u64,
) -> Vec<RelayAction> {
    let (sub_request, number) = (attempt.sub_request, attempt.attempt);
    run.on_attempt_end(sub_request, number, outcome, selector, at(now_ms))
}

/// Returns what the selector tells keepers.
fn news(selector: &mut TargetSelector, now_ms: u64) -> Option<CrashCall> {
    selector.due_crash_calls(&[keeper()], at(now_ms)).pop()
}

#[test]
fn a_lookup_gives_up_after_its_second_target() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let actions = end(&mut run, &first, CRASHED, &mut selector, 50);
    let second = sends(&actions).remove(0);
    assert_ne!(first.target.id, second.target.id);
    let actions = end(&mut run, &second, CRASHED, &mut selector, 100);
    assert!(
        sends(&actions).is_empty(),
        "a third target would end as well"
    );
    let refusal = refusal(&actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Undecided);
    let told = news(&mut selector, 120).unwrap().news;
    assert_eq!(told.crashes.len(), 2);
    assert_eq!(told.crashes[0].ended_age, Duration::from_millis(70));
}

/// A search has ended a target of each shard. A single attempt shows whether it does so again.
#[test]
fn a_search_that_lost_several_targets_sends_one_attempt_first() {
    for outcome in [CRASHED, ANSWERED] {
        let mut selector = selector();
        let (mut run, actions) = RelayRun::start(params(SHARDS), &mut selector, at(0));
        let first_wave = sends(&actions);
        assert_eq!(first_wave.len(), SHARDS);
        let mut in_flight = Vec::new();
        for attempt in &first_wave {
            let actions = end(&mut run, attempt, CRASHED, &mut selector, 50);
            in_flight.extend(sends(&actions));
        }
        assert_eq!(in_flight.len(), 1);
        let actions = end(&mut run, &in_flight[0], outcome, &mut selector, 100);
        if outcome == ANSWERED {
            assert_eq!(sends(&actions).len(), SHARDS - 1, "the others go on");
        } else {
            assert!(sends(&actions).is_empty());
            assert!(refusal(&actions).is_some(), "it is given up at once");
        }
    }
}

#[test]
fn a_request_on_trial_is_sent_to_one_target_at_a_time() {
    let mut selector = selector();
    let trial = entry(QuarantineState::Trial);
    selector.apply_quarantine(keeper(), (1, 1), &[trial], at(0));
    let (mut run, actions) = RelayRun::start(params(SHARDS), &mut selector, at(1));
    let attempts = sends(&actions);
    assert_eq!(attempts.len(), 1);
    for now_ms in 2..150 {
        let actions = run.on_wake(&mut selector, at(now_ms));
        assert!(sends(&actions).is_empty(), "no hedge at {now_ms} ms");
    }
    let actions = end(&mut run, &attempts[0], ANSWERED, &mut selector, 150);
    assert_eq!(sends(&actions).len(), SHARDS - 1);
    let told = news(&mut selector, 160).unwrap().news;
    assert_eq!(told.answers.len(), 1, "keepers hear of the answer");
}

#[test]
fn a_blocked_request_is_refused_at_once_as_not_run() {
    let mut selector = selector();
    let blocked = entry(QuarantineState::Blocked);
    selector.apply_quarantine(keeper(), (1, 1), &[blocked], at(0));
    for shards in [1, SHARDS] {
        let (_, actions) = RelayRun::start(params(shards), &mut selector, at(1_000));
        assert!(sends(&actions).is_empty());
        let refusal = refusal(&actions).unwrap();
        assert_eq!(refusal.reason, RefusalReason::Quarantined);
        assert_eq!(refusal.verdict, fulmarweir_base::RunVerdict::NotRun);
        assert_eq!(refusal.retry_after, Some(Duration::from_secs(599)));
    }
}

/// Every way past the block: hedges, retries, attempts that wait for a connection.
#[test]
fn nothing_more_is_sent_of_a_request_that_is_blocked_while_it_runs() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    assert!(selector.may_send(
        &first.target,
        fingerprint(),
        AttemptPermits::default(),
        at(1)
    ));
    let blocked = entry(QuarantineState::Blocked);
    selector.apply_quarantine(keeper(), (1, 1), &[blocked], at(2));
    assert!(!selector.may_send(
        &first.target,
        fingerprint(),
        AttemptPermits::default(),
        at(3)
    ));
    let other = RequestFingerprint::of("GET", "caller", "/b", b"");
    assert!(selector.may_send(&first.target, other, AttemptPermits::default(), at(3)));
    for now_ms in 4..300 {
        let actions = run.on_wake(&mut selector, at(now_ms));
        assert!(sends(&actions).is_empty(), "no hedge");
    }
    let outcome = RelayAttemptOutcome::Broken;
    let actions = end(&mut run, &first, outcome, &mut selector, 300);
    assert!(sends(&actions).is_empty(), "no retry");
    let refusal = refusal(&actions).unwrap();
    assert_eq!(refusal.verdict, fulmarweir_base::RunVerdict::MayHaveRun);
}

/// The shards of a search ended targets at a broker, some of them twice.
#[test]
fn shards_that_ended_targets_at_a_broker_are_not_sent_again() {
    let mut selector = selector();
    let group = ShardGroup {
        centre: "there".into(),
        key: shard(0),
        sub_requests: (0..SHARDS).collect(),
    };
    let params = RelayParams {
        handover_groups: vec![group],
        ..params(SHARDS)
    };
    let (mut run, actions) = RelayRun::start(params, &mut selector, at(0));
    assert!(sends(&actions).is_empty());
    let unclear = (0..SHARDS).map(|sub_request| UnclearSubRequest {
        sub_request,
        ran: vec![format!("t{sub_request}-0-1").into()],
    });
    let crashes = (0..SHARDS).map(|index| (index, 1 + u32::from(index == 0)));
    let outcome = GroupOutcome {
        accepted: true,
        unclear: unclear.collect(),
        crashes: crashes.collect(),
        ..GroupOutcome::default()
    };
    let actions = run.on_group_end(0, &outcome, &mut selector, at(200));
    assert!(sends(&actions).is_empty());
    assert!(refusal(&actions).is_some(), "it is given up at once");
}

/// The caller left before the target ended. That its address is refused comes to light later.
#[test]
fn an_attempt_that_was_given_up_before_its_target_ended_is_reported() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let attempt = sends(&actions).remove(0);
    run.abandon(&mut selector, at(20));
    assert!(selector.has_unanswered(&attempt.target));
    selector.record_target_end(&attempt.target, at(400));
    let told = news(&mut selector, 400).unwrap().news;
    assert_eq!(told.crashes.len(), 1);
    assert_eq!(told.crashes[0].target, attempt.target.id);
}

/// Another incarnation took the address of a target that was in use until then.
#[test]
fn a_target_that_is_replaced_without_leaving_has_ended() {
    for is_listed_in_between in [true, false] {
        let mut selector = selector();
        let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
        let attempt = sends(&actions).remove(0);
        let broken = RelayAttemptOutcome::Broken;
        end(&mut run, &attempt, broken, &mut selector, 50);
        let others: Vec<RelayTarget> = all_targets()
            .into_iter()
            .filter(|target| target.id != attempt.target.id)
            .collect();
        if !is_listed_in_between {
            // It left as planned.
            selector.sync(others.clone(), |_| Some(300), at(500));
        }
        let successor = RelayTarget {
            id: "successor".into(),
            born_ms: 2,
            ..(*attempt.target).clone()
        };
        let targets = [others, vec![successor]].concat();
        selector.sync(targets, |_| Some(300), at(1_000));
        let told = news(&mut selector, 1_000).map_or(0, |call| call.news.crashes.len());
        assert_eq!(told, usize::from(is_listed_in_between));
    }
}

/// A reset connection is no end of the target: it answers others afterwards.
#[test]
fn a_target_that_answers_after_a_lost_attempt_has_not_ended() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let lost = sends(&actions).remove(0);
    let actions = end(
        &mut run,
        &lost,
        RelayAttemptOutcome::Broken,
        &mut selector,
        50,
    );
    let retry = sends(&actions).remove(0);
    end(&mut run, &retry, ANSWERED, &mut selector, 80);
    let only = vec![(*lost.target).clone()];
    selector.sync(only, |_| Some(300), at(90));
    for now_ms in 100..120 {
        let other = RelayParams {
            fingerprint: RequestFingerprint::of("GET", "caller", "/other", b""),
            ..params(1)
        };
        let (mut run, actions) = RelayRun::start(other, &mut selector, at(now_ms));
        let attempt = sends(&actions).remove(0);
        end(&mut run, &attempt, ANSWERED, &mut selector, now_ms);
    }
    selector.record_target_end(&lost.target, at(1_500));
    let told = news(&mut selector, 1_500).map_or(0, |call| call.news.crashes.len());
    assert_eq!(told, 0);
}

/// A target that has said that it leaves may stop while requests run there.
#[test]
fn a_target_that_leaves_is_not_taken_for_one_that_ended() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let attempt = sends(&actions).remove(0);
    let notice = fulmarweir_route::TargetNotice {
        leaves_within: Some(Duration::from_secs(3)),
        closed_for: None,
    };
    selector.record_notice(&attempt.target, notice, 0.0, at(10));
    assert!(!selector.is_in_service(&attempt.target, at(20)));
    end(
        &mut run,
        &attempt,
        RelayAttemptOutcome::Broken,
        &mut selector,
        50,
    );
    selector.record_target_end(&attempt.target, at(60));
    assert!(news(&mut selector, 70).is_none());
}

/// A keeper that was down, and one that has started anew, are told what they do not know.
#[test]
fn keepers_are_told_until_they_know() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let attempt = sends(&actions).remove(0);
    end(&mut run, &attempt, CRASHED, &mut selector, 50);
    let call = news(&mut selector, 60).unwrap();
    assert!(news(&mut selector, 61).is_none(), "one call at a time");
    selector.record_crash_call_end(&call, false, at(100));
    assert!(
        news(&mut selector, 200).is_none(),
        "a pause after a failure"
    );
    let call = news(&mut selector, 700).unwrap();
    selector.record_crash_call_end(&call, true, at(701));
    assert!(news(&mut selector, 800).is_none());
    selector.apply_quarantine(keeper(), (2, 0), &[], at(900));
    let call = news(&mut selector, 900).unwrap();
    assert_eq!(call.news.crashes.len(), 1, "the keeper has started anew");
}

/// An attempt that was not sent says nothing about whether the target survived the one before.
#[test]
fn an_attempt_that_was_not_sent_does_not_clear_one_that_was_lost() {
    let mut selector = selector();
    let (mut run, actions) = RelayRun::start(params(1), &mut selector, at(0));
    let lost = sends(&actions).remove(0);
    let broken = RelayAttemptOutcome::Broken;
    end(&mut run, &lost, broken, &mut selector, 50);
    selector.sync(vec![(*lost.target).clone()], |_| Some(300), at(90));
    let other = RelayParams {
        fingerprint: RequestFingerprint::of("GET", "caller", "/other", b""),
        ..params(1)
    };
    let (mut other, actions) = RelayRun::start(other, &mut selector, at(100));
    let unsent = sends(&actions).remove(0);
    let unreachable = RelayAttemptOutcome::Unreachable;
    end(&mut other, &unsent, unreachable, &mut selector, 150);
    selector.record_target_end(&lost.target, at(400));
    let told = news(&mut selector, 400).map_or(0, |call| call.news.crashes.len());
    assert_eq!(told, 1);
}
