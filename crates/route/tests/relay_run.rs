//! Scenario tests of the state machine of relayed requests.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_conf::{ExtraAttemptLimits, RouteKey};
use fulmarweir_route::{
    AnswerSource, AttemptCharge, AttemptKind, GroupOutcome, LatencyTable, Locality, PlacementRule,
    RefusalReason, RelayAction, RelayAttempt, RelayAttemptOutcome, RelayOutcome, RelayParams,
    RelayRun, RelayTarget, ReportedLoad, RequestFingerprint, RequestOrigin, ShardGroup,
    TargetSelector, UnclearSubRequest,
};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn target(service: &str, name: &str, locality: Locality) -> RelayTarget {
    RelayTarget {
        id: format!("{service}-{name}").into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 80).into(),
        centre: match locality {
            Locality::Centre => "here".into(),
            Locality::Region => "next".into(),
            Locality::Far => "far".into(),
        },
        region: match locality {
            Locality::Centre | Locality::Region => "home".into(),
            Locality::Far => "abroad".into(),
        },
        locality,
        slots: 3,
        born_ms: 1,
        warm_up_ms: 0,
    }
}

fn limits() -> ExtraAttemptLimits {
    ExtraAttemptLimits {
        share: 0.2,
        burst: 50.0,
        window: Duration::from_secs(10),
    }
}

/// Returns a selector with the shards `s0`, `s1` etc., each with a near and a far target.
fn selector(shards: usize) -> TargetSelector {
    let mut selector = TargetSelector::new(limits(), at(0));
    let targets = (0..shards).flat_map(|shard| {
        let service = format!("s{shard}");
        [
            target(&service, "near", Locality::Centre),
            target(&service, "far", Locality::Far),
        ]
    });
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    selector
}

/// Returns a selector with one shard `s0` and three near targets.
fn replica_selector(limits: ExtraAttemptLimits) -> TargetSelector {
    let mut selector = TargetSelector::new(limits, at(0));
    let targets = ["a", "b", "c"].map(|name| target("s0", name, Locality::Centre));
    selector.record_vm_count(1, at(0));
    selector.sync(targets.into(), |_| Some(30), at(0));
    selector
}

fn params(shards: usize, idempotent: bool) -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        services: (0..shards)
            .map(|shard| format!("s{shard}").into())
            .collect(),
        idempotent,
        targets_max: 2,
        priority: 0,
        coverage_min: 0.75,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(200),
        deadline: at(2_000),
        hedge_delay: Duration::from_millis(40),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        placement: PlacementRule::default(),
        retry_spread: 0.0,
    }
}

fn sends(actions: &[RelayAction]) -> Vec<RelayAttempt> {
    let send = |action: &RelayAction| match action {
        RelayAction::Send(send) => Some(send.clone()),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn finish(actions: &[RelayAction]) -> Option<RelayOutcome> {
    actions.iter().find_map(|action| match action {
        RelayAction::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    })
}

fn wake(actions: &[RelayAction]) -> Option<MonoTime> {
    let mut wakes = actions.iter().filter_map(|action| match action {
        RelayAction::Wake(at) => Some(*at),
        _ => None,
    });
    wakes.next_back()
}

const ANSWER: RelayAttemptOutcome = RelayAttemptOutcome::Answered { load: None };

#[test]
fn near_targets_are_preferred_and_a_complete_answer_is_returned_at_once() {
    let mut selector = selector(4);
    let (mut run, actions) = RelayRun::start(params(4, true), &mut selector, at(0));
    let sent = sends(&actions);
    assert_eq!(sent.len(), 4);
    assert!(
        sent.iter()
            .all(|send| send.target.locality == Locality::Centre)
    );
    let mut last = Vec::new();
    for send in &sent {
        assert!(finish(&last).is_none());
        last = run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
    }
    let sources = (0..4)
        .map(|number| Some(AnswerSource::Attempt(number)))
        .collect();
    assert_eq!(finish(&last), Some(RelayOutcome::Answered(sources)));
}

/// Load pattern: one replica of a shard pauses while the other one is idle.
#[test]
fn a_paused_replica_is_hedged_on_another_one() {
    let mut selector = selector(4);
    let (mut run, actions) = RelayRun::start(params(4, true), &mut selector, at(0));
    let sent = sends(&actions);
    assert_eq!(wake(&actions), Some(at(40)));
    for send in &sent[1..] {
        run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
    }
    let hedges = sends(&run.on_wake(&mut selector, at(40)));
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].kind, AttemptKind::Hedge);
    assert_eq!(&*hedges[0].target.id, "s0-far");
    let actions = run.on_attempt_end(0, hedges[0].attempt, ANSWER, &mut selector, at(80));
    assert!(matches!(finish(&actions), Some(RelayOutcome::Answered(_))));
    assert_eq!(run.hedges(), (1, 1));
    // The answer of the paused replica arrives late and changes nothing.
    assert!(
        run.on_attempt_end(0, sent[0].attempt, ANSWER, &mut selector, at(250))
            .is_empty()
    );
}

/// Load pattern: all replicas of one shard stop responding, while the other shards answer in time.
#[test]
fn an_unresponsive_shard_is_left_out_at_the_soft_deadline() {
    let mut selector = selector(4);
    let (mut run, actions) = RelayRun::start(params(4, true), &mut selector, at(0));
    for send in &sends(&actions)[1..] {
        run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
    }
    let mut now = 40;
    let outcome = loop {
        let actions = run.on_wake(&mut selector, at(now));
        if let Some(outcome) = finish(&actions) {
            break outcome;
        }
        now = wake(&actions).unwrap().as_micros() / 1000;
        assert!(now <= 200);
    };
    assert_eq!(now, 200);
    assert_eq!(
        outcome,
        RelayOutcome::Answered(vec![
            None,
            Some(AnswerSource::Attempt(1)),
            Some(AnswerSource::Attempt(2)),
            Some(AnswerSource::Attempt(3))
        ])
    );
}

/// Load pattern: too many shards have no target when the search starts.
#[test]
fn a_search_that_cannot_cover_enough_is_refused_at_once() {
    let mut selector = selector(2);
    let (_, actions) = RelayRun::start(params(4, true), &mut selector, at(0));
    assert!(sends(&actions).is_empty());
    let Some(RelayOutcome::Refused(refusal)) = finish(&actions) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.reason, RefusalReason::NoTargets);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Load pattern: every replica of a service sheds load.
#[test]
fn a_request_that_no_target_accepts_is_refused_as_not_run() {
    let mut selector = selector(1);
    let (mut run, mut actions) = RelayRun::start(params(1, false), &mut selector, at(0));
    let mut now = 0;
    let refusal = loop {
        for send in sends(&actions) {
            now += 1;
            let outcome = RelayAttemptOutcome::Refused;
            actions = run.on_attempt_end(
                send.sub_request,
                send.attempt,
                outcome,
                &mut selector,
                at(now),
            );
        }
        if let Some(outcome) = finish(&actions) {
            break outcome;
        }
        if sends(&actions).is_empty() {
            now = wake(&actions).map_or(now + 1, |at| at.as_micros() / 1000);
            actions = run.on_wake(&mut selector, at(now));
        }
    };
    let RelayOutcome::Refused(refusal) = refusal else {
        panic!("expected a refusal, got {refusal:?}");
    };
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(now <= 250, "refused only after {now} ms");
}

/// A request that must not run twice is retried after a refusal, but not after a lost answer.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let mut selector = selector(1);
    let (mut run, actions) = RelayRun::start(params(1, false), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    assert_eq!(
        wake(&actions).map(|at| at > MonoTime::from_millis(40)),
        Some(true)
    );
    let outcome = RelayAttemptOutcome::Refused;
    let actions = run.on_attempt_end(0, first.attempt, outcome, &mut selector, at(5));
    let second = sends(&actions).remove(0);
    assert_ne!(second.target.id, first.target.id);
    let actions = run.on_attempt_end(
        0,
        second.attempt,
        RelayAttemptOutcome::Broken,
        &mut selector,
        at(9),
    );
    assert!(sends(&actions).is_empty());
    let Some(RelayOutcome::Refused(refusal)) = finish(&actions) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
    assert_eq!(refusal.reason, RefusalReason::Undecided);
}

#[test]
fn a_request_with_a_hedge_in_flight_may_have_run() {
    let mut selector = selector(1);
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let hedge = sends(&run.on_wake(&mut selector, at(40))).remove(0);
    let outcome = RelayAttemptOutcome::Refused;
    run.on_attempt_end(0, first.attempt, outcome, &mut selector, at(50));
    assert_eq!(run.verdict(), RunVerdict::MayHaveRun);
    run.on_attempt_end(0, hedge.attempt, outcome, &mut selector, at(60));
    assert_eq!(run.verdict(), RunVerdict::NotRun);
}

#[test]
fn a_request_runs_on_no_more_targets_than_allowed() {
    let mut selector = TargetSelector::new(limits(), at(0));
    let names = ["a", "b", "c", "d"];
    let targets = names.map(|name| target("s0", name, Locality::Centre));
    selector.record_vm_count(1, at(0));
    selector.sync(targets.to_vec(), |_| Some(30), at(0));
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let mut target_ids: Vec<Arc<str>> = Vec::new();
    let mut open = sends(&actions);
    let mut now = 0;
    while now < 2_000 {
        for send in open.drain(..) {
            target_ids.push(Arc::clone(&send.target.id));
        }
        now += 5;
        let actions = run.on_wake(&mut selector, at(now));
        open = sends(&actions);
        if finish(&actions).is_some() {
            break;
        }
    }
    target_ids.sort();
    target_ids.dedup();
    assert_eq!(target_ids.len(), 2, "{target_ids:?}");
}

/// Load pattern: all targets of a service are slow, so that every request is due for a hedge.
#[test]
fn extra_attempts_stay_within_the_budget() {
    let mut selector = selector(1);
    let mut extra_attempts = 0;
    let requests = 2_000_u64;
    for number in 0..requests {
        let now = number * 5;
        let mut request = params(1, true);
        request.soft_deadline = at(now + 200);
        request.deadline = at(now + 2_000);
        let (mut run, actions) = RelayRun::start(request, &mut selector, at(now));
        let mut open = sends(&actions);
        open.extend(sends(&run.on_wake(&mut selector, at(now + 40))));
        extra_attempts += open.len() as u64 - 1;
        for send in open {
            run.on_attempt_end(0, send.attempt, ANSWER, &mut selector, at(now + 90));
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let granted = requests as f64 * 0.2 + 50.0;
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    let used = extra_attempts as f64;
    assert!(used <= granted, "{used} of {granted}");
    assert!(used >= granted * 0.5, "{used} of {granted}");
}

/// Load pattern: the near replica is slow for seconds. Traffic must move to the other replica, and
/// back.
#[test]
fn traffic_leaves_a_slow_replica_and_returns() {
    let mut selector = selector(1);
    let mut near_while_slow = 0;
    let mut near_recovered = 0;
    for number in 0..600_u64 {
        let now = number * 20;
        let mut request = params(1, false);
        request.soft_deadline = at(now + 500);
        request.deadline = at(now + 2_000);
        let (mut run, actions) = RelayRun::start(request, &mut selector, at(now));
        let send = sends(&actions).remove(0);
        let near = send.target.locality == Locality::Centre;
        let slow = (100..300).contains(&number);
        let latency_ms = match (near, slow) {
            (true, true) => 160,
            (true, false) => 20,
            (false, _) => 50,
        };
        near_while_slow += u32::from(near && (150..300).contains(&number));
        near_recovered += u32::from(near && number >= 500);
        let load = ReportedLoad {
            in_flight: 0,
            slots: 3,
            queued: 0,
        };
        let outcome = RelayAttemptOutcome::Answered { load: Some(load) };
        run.on_attempt_end(
            0,
            send.attempt,
            outcome,
            &mut selector,
            at(now + latency_ms),
        );
    }
    assert!(
        near_while_slow < 40,
        "{near_while_slow} of 150 went to the slow replica"
    );
    assert!(
        near_recovered > 80,
        "{near_recovered} of 100 went to the recovered replica"
    );
}

/// Load pattern: a single pause of the near replica. It must not send traffic to the far one for
/// seconds.
#[test]
fn a_single_pause_does_not_move_the_traffic() {
    let mut selector = selector(1);
    let mut far = 0;
    for number in 0..300_u64 {
        let now = number * 20;
        let mut request = params(1, false);
        request.soft_deadline = at(now + 500);
        request.deadline = at(now + 2_000);
        let (mut run, actions) = RelayRun::start(request, &mut selector, at(now));
        let send = sends(&actions).remove(0);
        let near = send.target.locality == Locality::Centre;
        far += u32::from(!near);
        let latency_ms = if near && number == 100 { 260 } else { 20 };
        run.on_attempt_end(0, send.attempt, ANSWER, &mut selector, at(now + latency_ms));
    }
    assert!(far <= 15, "{far} of 300 went to the far replica");
}

#[test]
fn a_target_at_a_reused_address_is_not_selected_again() {
    let mut selector = selector(1);
    let (mut run, actions) = RelayRun::start(params(1, false), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let actions = run.on_attempt_end(
        0,
        first.attempt,
        RelayAttemptOutcome::Moved,
        &mut selector,
        at(2),
    );
    let second = sends(&actions).remove(0);
    assert_eq!(&*second.target.id, "s0-far");
    let (_, actions) = RelayRun::start(params(1, false), &mut selector, at(10));
    assert_eq!(&*sends(&actions).remove(0).target.id, "s0-far");
}

#[test]
fn a_failure_reply_of_the_target_is_forwarded() {
    let mut selector = selector(1);
    let (mut run, actions) = RelayRun::start(params(1, false), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let actions = run.on_attempt_end(
        0,
        first.attempt,
        RelayAttemptOutcome::FailureReply,
        &mut selector,
        at(30),
    );
    assert_eq!(
        finish(&actions),
        Some(RelayOutcome::TargetFailure(AnswerSource::Attempt(
            first.attempt
        )))
    );
}

#[test]
fn the_hedge_delay_follows_the_latencies() {
    let mut latency_table = LatencyTable::default();
    let route = RouteKey {
        host: "pitches.example".into(),
        prefix: "/browse/".into(),
    };
    let soft = Duration::from_millis(400);
    assert_eq!(
        latency_table.hedge_delay(&route, soft),
        Duration::from_millis(180)
    );
    for number in 0..1_000_u64 {
        let latency = if number % 50 == 0 { 300 } else { 20 };
        latency_table.record(&route, Duration::from_millis(latency));
    }
    let delay = latency_table.hedge_delay(&route, soft);
    assert!((20..=30).contains(&delay.as_millis()), "{delay:?}");
    // A route of another host has latencies of its own, whatever its name.
    let other = RouteKey {
        host: "permits.example".into(),
        ..route
    };
    let delay = latency_table.hedge_delay(&other, soft);
    assert_eq!(delay, Duration::from_millis(180));
}

/// Guards against the refusal of a later attempt at the same target being taken as proof that an
/// earlier attempt did not run (soak test, seed 100).
#[test]
fn a_later_refusal_does_not_undo_an_earlier_run() {
    let mut selector = selector(1);
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let mut open = sends(&run.on_attempt_end(
        0,
        first.attempt,
        RelayAttemptOutcome::Broken,
        &mut selector,
        at(5),
    ));
    let outcomes = [
        RelayAttemptOutcome::Unreachable,
        RelayAttemptOutcome::NoConnection,
        RelayAttemptOutcome::Moved,
    ];
    let mut sent_again = false;
    let mut now = 5;
    for number in 0..40 {
        now += 10;
        let mut actions = run.on_wake(&mut selector, at(now));
        for send in open.drain(..) {
            sent_again |= send.target.id == first.target.id;
            let outcome = outcomes[number % 2];
            actions.extend(run.on_attempt_end(0, send.attempt, outcome, &mut selector, at(now)));
        }
        open = sends(&actions);
        assert_eq!(run.verdict(), RunVerdict::MayHaveRun);
    }
    assert!(sent_again);
}

/// Load pattern: after a power loss, stale connections of the previous VMs use up the connection
/// limit of a target, so that every attempt is reset at first. This must not use up the budget of
/// extra attempts, which is needed later.
#[test]
fn attempts_over_a_connection_limit_do_not_use_up_the_budget() {
    let mut selector = selector(1);
    let before = selector.extra_left("s0", at(0));
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let mut open = sends(&actions);
    let mut now = 0;
    let mut attempts = 0;
    while attempts < 4 {
        now += 20;
        let mut actions = run.on_wake(&mut selector, at(now));
        for send in open.drain(..) {
            attempts += 1;
            let outcome = RelayAttemptOutcome::OverLimit;
            actions.extend(run.on_attempt_end(0, send.attempt, outcome, &mut selector, at(now)));
        }
        open = sends(&actions);
        assert!(now < 2_000);
    }
    assert!(selector.extra_left("s0", at(now)) >= before);
    // None of the attempts was sent.
    assert_eq!(run.verdict(), RunVerdict::NotRun);
}

/// Load pattern: crashing targets reset new connections at once, as targets over their connection
/// limit do, though the request has run.
#[test]
fn an_attempt_that_was_reset_early_counts_as_run() {
    let mut selector = replica_selector(limits());
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let mut target_ids = Vec::new();
    let mut open = sends(&actions);
    let mut now = 0;
    while now < 200 {
        now += 5;
        let mut actions = run.on_wake(&mut selector, at(now));
        for send in open.drain(..) {
            target_ids.push(Arc::clone(&send.target.id));
            let is_first = target_ids.len() == 1;
            assert_eq!(send.charge == AttemptCharge::First, is_first);
            assert_eq!(send.charge == AttemptCharge::Extra, !is_first);
            let outcome = RelayAttemptOutcome::Rejected;
            actions.extend(run.on_attempt_end(0, send.attempt, outcome, &mut selector, at(now)));
        }
        open = sends(&actions);
    }
    assert!(target_ids.len() > 2);
    target_ids.sort();
    target_ids.dedup();
    assert_eq!(target_ids.len(), 2, "the limit of targets holds");
    assert_eq!(run.verdict(), RunVerdict::MayHaveRun);
}

#[test]
fn an_extra_attempt_that_was_not_sent_is_refunded() {
    let mut selector = selector(1);
    let (mut run, _) = RelayRun::start(params(1, true), &mut selector, at(0));
    let before = selector.extra_left("s0", at(41));
    let hedge = sends(&run.on_wake(&mut selector, at(41)));
    assert_eq!(hedge[0].charge, AttemptCharge::Extra);
    assert!(selector.extra_left("s0", at(41)) < before);
    let outcome = RelayAttemptOutcome::Unreachable;
    run.on_attempt_end(0, hedge[0].attempt, outcome, &mut selector, at(42));
    assert!((selector.extra_left("s0", at(42)) - before).abs() < 1e-9);
}

/// Load pattern: two of three replicas are over their connection limit, and the third one is not.
#[test]
fn a_target_over_its_connection_limit_does_not_count_towards_the_target_limit() {
    let mut selector = replica_selector(limits());
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let mut target_ids = Vec::new();
    let mut open = sends(&actions);
    for now in 1..=2 {
        let send = open.remove(0);
        target_ids.push(Arc::clone(&send.target.id));
        open = sends(&run.on_attempt_end(
            0,
            send.attempt,
            RelayAttemptOutcome::OverLimit,
            &mut selector,
            at(now),
        ));
    }
    target_ids.push(Arc::clone(&open[0].target.id));
    target_ids.sort();
    target_ids.dedup();
    assert_eq!(target_ids.len(), 3);
    let outcome = RelayAttemptOutcome::Refused;
    run.on_attempt_end(0, open[0].attempt, outcome, &mut selector, at(4));
    assert_eq!(run.verdict(), RunVerdict::NotRun);
}

/// Load pattern: every target is over its connection limit for a second after all VMs restarted.
#[test]
fn a_search_is_retried_until_targets_are_below_their_connection_limit() {
    let mut selector = selector(4);
    let (mut run, actions) = RelayRun::start(params(4, true), &mut selector, at(0));
    let mut open = sends(&actions);
    let mut now = 0;
    let outcome = loop {
        let mut actions = Vec::new();
        now += 2;
        for send in open.drain(..) {
            let full = now < 1_000;
            let outcome = if full {
                RelayAttemptOutcome::OverLimit
            } else {
                ANSWER
            };
            actions.extend(run.on_attempt_end(
                send.sub_request,
                send.attempt,
                outcome,
                &mut selector,
                at(now),
            ));
        }
        actions.extend(run.on_wake(&mut selector, at(now)));
        open = sends(&actions);
        if let Some(outcome) = finish(&actions) {
            break outcome;
        }
        assert!(now < 2_500);
    };
    assert!(
        matches!(outcome, RelayOutcome::Answered(_)),
        "{outcome:?} at {now}"
    );
    assert!(run.attempts() < 200, "{} attempts", run.attempts());
}

/// Load pattern: all replicas of one shard are overloaded. Searches leave out the shard, so that
/// they are answered in time, and include it again after its recovery.
#[test]
fn an_overloaded_shard_is_left_out_until_it_recovers() {
    let mut selector = selector(4);
    let overloaded = ReportedLoad {
        in_flight: 3,
        slots: 3,
        queued: 18,
    };
    let mut attempt_counts = [0_u32; 2];
    for number in 0..400_u64 {
        let now = number * 10;
        let mut request = params(4, true);
        request.soft_deadline = at(now + 200);
        request.deadline = at(now + 2_000);
        let (mut run, actions) = RelayRun::start(request, &mut selector, at(now));
        let slow = now < 2_000;
        for send in sends(&actions) {
            let is_slow = slow && send.sub_request == 0;
            if send.sub_request == 0 && (1_000..2_000).contains(&now) {
                attempt_counts[0] += 1;
            }
            if send.sub_request == 0 && now >= 3_500 {
                attempt_counts[1] += 1;
            }
            let load = is_slow.then_some(overloaded);
            let latency_ms = if is_slow { 900 } else { 20 };
            let outcome = RelayAttemptOutcome::Answered { load };
            run.on_attempt_end(
                send.sub_request,
                send.attempt,
                outcome,
                &mut selector,
                at(now + latency_ms),
            );
        }
        run.abandon(&mut selector, at(now + 900));
    }
    assert!(
        attempt_counts[0] < 60,
        "{} attempts in 100 searches while overloaded",
        attempt_counts[0]
    );
    assert!(
        attempt_counts[1] >= 45,
        "{} attempts in 50 searches after the recovery",
        attempt_counts[1]
    );
}

/// Load pattern: the only target of a shard pauses for a second while dozens of searches wait for it.
///
/// Guards against a shard that is left out for good: its average latency is above what searches wait for, and
/// only their attempts can lower it.
#[test]
fn a_shard_that_was_slow_is_asked_again() {
    let mut selector = TargetSelector::new(limits(), at(0));
    let targets = (0..4).map(|shard| target(&format!("s{shard}"), "near", Locality::Centre));
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(100), at(0));
    let start = |selector: &mut TargetSelector, now: u64| {
        let mut request = params(4, true);
        request.soft_deadline = at(now + 200);
        request.deadline = at(now + 2_000);
        let (run, actions) = RelayRun::start(request, selector, at(now));
        (run, sends(&actions))
    };
    let paused: Vec<_> = (0..50).map(|now| start(&mut selector, now)).collect();
    for (mut run, sent) in paused {
        for send in &sent {
            let end = at(if send.sub_request == 0 { 1_000 } else { 70 });
            run.on_attempt_end(send.sub_request, send.attempt, ANSWER, &mut selector, end);
        }
    }
    let mut search = |now: u64| {
        let (mut run, sent) = start(&mut selector, now);
        for send in &sent {
            let end = at(now + 20);
            run.on_attempt_end(send.sub_request, send.attempt, ANSWER, &mut selector, end);
        }
        sent.len()
    };
    // One search in 2 s, so that nothing but its own attempt tells of the target.
    let sent: Vec<usize> = (0..50).map(|n| search(30_000 + 2_000 * n)).collect();
    assert!(sent.iter().all(|attempts| *attempts == 4), "{sent:?}");
    // Many searches at once keep the estimate up to date.
    let sent: Vec<usize> = (0..50).map(|n| search(150_000 + 10 * n)).collect();
    assert!(sent.iter().all(|attempts| *attempts == 4), "{sent:?}");
}

/// Returns a selector with the shards `s0` to `s3`. The nearest target of the last two is in
/// another data centre of the region.
fn regional_selector() -> TargetSelector {
    let mut selector = TargetSelector::new(limits(), at(0));
    let targets = (0..4).flat_map(|shard| {
        let service = format!("s{shard}");
        let near = if shard < 2 {
            Locality::Centre
        } else {
            Locality::Region
        };
        [
            target(&service, "near", near),
            target(&service, "far", Locality::Far),
        ]
    });
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    selector
}

fn unclear(sub_request: usize, ran: &[&str]) -> UnclearSubRequest {
    UnclearSubRequest {
        sub_request,
        ran: ran.iter().map(|id| (*id).into()).collect(),
    }
}

fn regional_params() -> RelayParams {
    RelayParams {
        handover_groups: vec![ShardGroup {
            key: "s0".into(),
            centre: "next".into(),
            sub_requests: vec![2, 3],
        }],
        ..params(4, true)
    }
}

#[test]
fn a_denying_budget_shows_how_attempts_were_charged() {
    let mut no_burst = limits();
    no_burst.burst = 0.0;
    let mut selector = replica_selector(no_burst);
    let (mut run, actions) = RelayRun::start(params(1, true), &mut selector, at(0));
    let first = &sends(&actions)[0];
    assert_eq!(first.charge, AttemptCharge::First);
    let unreachable = RelayAttemptOutcome::Unreachable;
    let actions = run.on_attempt_end(0, first.attempt, unreachable, &mut selector, at(1));
    assert_eq!(sends(&actions)[0].charge, AttemptCharge::AfterUnreachable);
    assert!(selector.denying_budgets(at(2)).is_empty());
    run.on_wake(&mut selector, at(60));
    let budgets = selector.denying_budgets(at(61));
    assert_eq!(budgets.len(), 1);
    assert_eq!(budgets[0].counts.first, 1);
    assert_eq!(budgets[0].counts.extra, 0);
    assert_eq!(budgets[0].counts.after_unreachable, 1);
    assert_eq!(budgets[0].counts.denied, 1);
    assert!(budgets[0].burst_part.abs() < 1e-9);
}

/// Load pattern: the nearest targets of many shards are in another data centre.
#[test]
fn shards_of_another_data_centre_are_grouped_unless_they_are_few() {
    let mut selector = TargetSelector::new(limits(), at(0));
    let targets = (0..9).flat_map(|shard| {
        let service = format!("s{shard}");
        let near = match shard {
            0..3 => Locality::Centre,
            3..8 => Locality::Region,
            _ => Locality::Far,
        };
        [
            target(&service, "near", near),
            target(&service, "far", Locality::Far),
        ]
    });
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    let services: Vec<Arc<str>> = (0..9).map(|shard| format!("s{shard}").into()).collect();
    let groups = selector.shard_groups(&services, &PlacementRule::default(), at(0));
    assert_eq!(groups.len(), 1);
    assert_eq!(&*groups[0].centre, "next");
    assert_eq!(groups[0].sub_requests, [3, 4, 5, 6, 7]);
    assert!(
        selector
            .shard_groups(&services[..5], &PlacementRule::default(), at(0))
            .is_empty()
    );
}

#[test]
fn a_search_is_answered_by_own_attempts_and_by_a_broker() {
    let mut selector = regional_selector();
    let (mut run, actions) = RelayRun::start(regional_params(), &mut selector, at(0));
    let sent = sends(&actions);
    assert_eq!(sent.len(), 2);
    for send in &sent {
        let actions = run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
        assert!(finish(&actions).is_none());
    }
    let outcome = GroupOutcome {
        answered: vec![2, 3],
        unclear: Vec::new(),
        ..GroupOutcome::default()
    };
    let actions = run.on_group_end(0, &outcome, &mut selector, at(30));
    let group = Some(AnswerSource::Group(0));
    let sources = vec![
        Some(AnswerSource::Attempt(0)),
        Some(AnswerSource::Attempt(1)),
        group,
        group,
    ];
    assert_eq!(finish(&actions), Some(RelayOutcome::Answered(sources)));
    assert_eq!(run.missing(), 0);
}

/// Load pattern: a broker is leaving or uses another configuration version.
#[test]
fn shards_that_a_broker_declined_are_sent_as_first_attempts() {
    let mut selector = regional_selector();
    let (mut run, _) = RelayRun::start(regional_params(), &mut selector, at(0));
    let before = selector.extra_left("s2", at(0));
    let actions = run.on_group_end(0, &GroupOutcome::default(), &mut selector, at(5));
    let sent = sends(&actions);
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|send| send.kind == AttemptKind::First));
    assert!(
        sent.iter()
            .all(|send| send.target.locality == Locality::Region)
    );
    assert!(selector.extra_left("s2", at(5)) >= before);
    // A duplicate report of the group changes nothing.
    let repeated = run.on_group_end(0, &GroupOutcome::default(), &mut selector, at(6));
    assert!(sends(&repeated).is_empty());
}

/// Load pattern: all connections of a broker to the targets of two shards are in use.
#[test]
fn shards_that_a_broker_could_not_send_are_not_counted_twice() {
    let mut selector = regional_selector();
    let (mut run, _) = RelayRun::start(regional_params(), &mut selector, at(0));
    let before = selector.extra_left("s2", at(5));
    let outcome = GroupOutcome {
        accepted: true,
        ..GroupOutcome::default()
    };
    let sent = sends(&run.on_group_end(0, &outcome, &mut selector, at(5)));
    assert_eq!(sent.len(), 2);
    let after_handover = AttemptCharge::AfterHandover;
    assert!(sent.iter().all(|send| send.charge == after_handover));
    assert!((selector.extra_left("s2", at(5)) - before).abs() < 1e-9);
}

/// Load pattern: a broker stops responding, and its shards may have run.
#[test]
fn shards_that_a_failed_broker_may_have_run_are_extra_attempts_to_the_same_targets() {
    let mut selector = regional_selector();
    let (mut run, _) = RelayRun::start(regional_params(), &mut selector, at(0));
    let before = selector.extra_left("s2", at(100));
    let outcome = GroupOutcome {
        answered: vec![3],
        unclear: vec![unclear(2, &[])],
        ..GroupOutcome::default()
    };
    let sent = sends(&run.on_group_end(0, &outcome, &mut selector, at(100)));
    assert_eq!(sent.len(), 1);
    assert_eq!(&*sent[0].target.id, "s2-near");
    assert!(selector.extra_left("s2", at(100)) <= before - 1.0);
    // The far target is not used later either, since the shard may run on at most two targets.
    let hedges = sends(&run.on_wake(&mut selector, at(145)));
    assert!(hedges.iter().all(|send| &*send.target.id != "s2-far"));
    assert_eq!(run.verdict(), RunVerdict::MayHaveRun);
}

/// Load pattern: a broker is slow for a moment. What it answers is used, whatever this VM has sent
/// meanwhile, and no shard is in the answer twice.
#[test]
fn the_late_answer_of_a_silent_broker_is_used() {
    let mut selector = regional_selector();
    let (mut run, actions) = RelayRun::start(regional_params(), &mut selector, at(0));
    for send in sends(&actions) {
        run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
    }
    let sent = sends(&run.on_group_silent(0, &mut selector, at(140)));
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|send| send.charge == AttemptCharge::Extra));
    assert!(
        sent.iter()
            .all(|send| send.target.locality == Locality::Region)
    );
    let first = &sent[0];
    assert!(run.on_group_silent(0, &mut selector, at(141)).is_empty());
    let actions = run.on_attempt_end(
        first.sub_request,
        first.attempt,
        ANSWER,
        &mut selector,
        at(150),
    );
    assert!(finish(&actions).is_none());
    assert_eq!(run.missing(), 1);
    let outcome = GroupOutcome {
        accepted: true,
        answered: vec![2, 3],
        ..GroupOutcome::default()
    };
    let actions = run.on_group_end(0, &outcome, &mut selector, at(160));
    let group = Some(AnswerSource::Group(0));
    let sources = vec![
        Some(AnswerSource::Attempt(0)),
        Some(AnswerSource::Attempt(1)),
        group,
        group,
    ];
    assert_eq!(finish(&actions), Some(RelayOutcome::Answered(sources)));
}

/// The broker answers a part; own attempts answer the rest, on no more targets than allowed.
#[test]
fn own_attempts_answer_what_a_silent_broker_leaves_open() {
    let mut selector = regional_selector();
    let (mut run, _) = RelayRun::start(regional_params(), &mut selector, at(0));
    let sent = sends(&run.on_group_silent(0, &mut selector, at(100)));
    let outcome = GroupOutcome {
        accepted: true,
        answered: vec![3],
        unclear: vec![unclear(2, &["s2-near", "s2-far"])],
        ..GroupOutcome::default()
    };
    run.on_group_end(0, &outcome, &mut selector, at(120));
    let open = sent.iter().find(|send| send.sub_request == 2).unwrap();
    let broken = RelayAttemptOutcome::Broken;
    let retries = run.on_attempt_end(2, open.attempt, broken, &mut selector, at(130));
    let ran = ["s2-near", "s2-far"];
    assert!(sends(&retries).iter().all(|s| ran.contains(&&*s.target.id)));
    assert_eq!(run.verdict(), RunVerdict::MayHaveRun);
}

/// Load pattern: a broker is slow and the budgets of its shards are empty. The request waits for
/// the broker in place of failing, and fails once the broker is given up.
#[test]
fn a_search_without_a_budget_waits_for_a_silent_broker() {
    let mut no_burst = limits();
    no_burst.burst = 0.0;
    let (mut run, mut selector) = handed_over_run(no_burst);
    let actions = run.on_group_silent(0, &mut selector, at(140));
    assert!(sends(&actions).is_empty() && finish(&actions).is_none());
    assert!(finish(&run.on_wake(&mut selector, at(200))).is_none());
    let mut late = run;
    let outcome = GroupOutcome {
        accepted: true,
        answered: vec![0, 1, 2, 3],
        ..GroupOutcome::default()
    };
    let actions = late.on_group_end(0, &outcome, &mut selector, at(400));
    assert!(matches!(finish(&actions), Some(RelayOutcome::Answered(_))));

    let (mut lost, mut selector) = handed_over_run(no_burst);
    lost.on_group_silent(0, &mut selector, at(140));
    let outcome = GroupOutcome {
        unclear: (0..4).map(|index| unclear(index, &[])).collect(),
        ..GroupOutcome::default()
    };
    let actions = lost.on_group_end(0, &outcome, &mut selector, at(900));
    let Some(RelayOutcome::Refused(refusal)) = finish(&actions) else {
        panic!("given up: {actions:?}");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
}

/// Load pattern: a target pauses for longer than a search waits. The broker returns what it has and
/// goes on with the rest, and the search, which cannot be answered without it, waits for that.
#[test]
fn the_rest_of_a_handover_completes_a_search() {
    let (mut origin, mut selector) = handed_over_run(limits());
    let mut at_broker = regional_selector();
    let params = RelayParams {
        origin: RequestOrigin::default(),
        is_handover: true,
        soft_deadline: at(190),
        deadline: at(190),
        ..params(4, true)
    };
    let (mut broker, actions) = RelayRun::start(params, &mut at_broker, at(0));
    let sent = sends(&actions);
    for send in &sent[..2] {
        broker.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut at_broker,
            at(20),
        );
    }
    let actions = broker.on_wake(&mut at_broker, at(190));
    assert!(matches!(finish(&actions), Some(RelayOutcome::Answered(_))));
    let first_part = broker.group_outcome();
    assert_eq!(first_part.answered, [0, 1]);
    assert_eq!(first_part.pending, [2, 3]);
    assert_eq!(first_part.unclear.len(), 2);

    // The origin does not send the pending shards itself, and does not give up.
    let actions = origin.on_group_end(0, &first_part, &mut selector, at(192));
    assert!(sends(&actions).is_empty());
    assert!(finish(&origin.on_wake(&mut selector, at(200))).is_none());

    assert!(sends(&broker.resume(at(290), at(1_900), &mut at_broker, at(190))).is_empty());
    let last = &sent[2];
    let actions = broker.on_attempt_end(
        last.sub_request,
        last.attempt,
        ANSWER,
        &mut at_broker,
        at(240),
    );
    assert!(finish(&actions).is_none(), "more may come until 290 ms");
    let actions = broker.on_wake(&mut at_broker, at(290));
    assert!(finish(&actions).is_some());
    let second_part = broker.group_outcome();
    assert_eq!(second_part.pending, [3]);

    // Three of four are enough for the caller.
    let actions = origin.on_group_end(0, &second_part, &mut selector, at(292));
    let group = Some(AnswerSource::Group(0));
    let sources = vec![group, group, group, None];
    assert_eq!(finish(&actions), Some(RelayOutcome::Answered(sources)));
}

/// What is not in flight at the broker is left to the origin, so that both do not send it.
#[test]
fn a_resumed_handover_sends_nothing_that_was_not_in_flight() {
    let mut at_broker = regional_selector();
    let params = RelayParams {
        origin: RequestOrigin::default(),
        is_handover: true,
        soft_deadline: at(50),
        deadline: at(50),
        hedge_delay: Duration::from_millis(500),
        ..params(4, true)
    };
    let (mut broker, actions) = RelayRun::start(params, &mut at_broker, at(0));
    let sent = sends(&actions);
    let refused = RelayAttemptOutcome::Refused;
    let mut open = vec![(sent[0].sub_request, sent[0].attempt)];
    while let Some((sub_request, attempt)) = open.pop() {
        let actions = broker.on_attempt_end(sub_request, attempt, refused, &mut at_broker, at(49));
        open.extend(sends(&actions).iter().map(|s| (s.sub_request, s.attempt)));
    }
    broker.on_attempt_end(1, sent[1].attempt, ANSWER, &mut at_broker, at(49));
    broker.on_wake(&mut at_broker, at(50));
    let outcome = broker.group_outcome();
    assert_eq!(outcome.refused, [0]);
    assert_eq!(outcome.pending, [2, 3]);
    assert!(sends(&broker.resume(at(150), at(1_900), &mut at_broker, at(50))).is_empty());
    for now_ms in [100, 150, 250] {
        let actions = broker.on_wake(&mut at_broker, at(now_ms));
        assert!(sends(&actions).is_empty(), "{now_ms}");
    }
}

/// Returns a search whose four shards are all handed over, with its selector.
fn handed_over_run(limits: ExtraAttemptLimits) -> (RelayRun, TargetSelector) {
    let mut selector = TargetSelector::new(limits, at(0));
    let targets = (0..4).map(|shard| target(&format!("s{shard}"), "near", Locality::Region));
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    let params = RelayParams {
        handover_groups: vec![ShardGroup {
            key: "s0".into(),
            centre: "next".into(),
            sub_requests: vec![0, 1, 2, 3],
        }],
        ..params(4, true)
    };
    let (run, _) = RelayRun::start(params, &mut selector, at(0));
    (run, selector)
}

#[test]
fn shards_of_a_failed_broker_without_a_budget_are_refused_at_once() {
    let mut no_burst = limits();
    no_burst.burst = 0.0;
    let (mut run, mut selector) = handed_over_run(no_burst);
    let outcome = GroupOutcome {
        answered: Vec::new(),
        unclear: (0..4)
            .map(|sub_request| unclear(sub_request, &[]))
            .collect(),
        ..GroupOutcome::default()
    };
    let actions = run.on_group_end(0, &outcome, &mut selector, at(150));
    let Some(RelayOutcome::Refused(refusal)) = finish(&actions) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
}

/// Load pattern: a shard stalls at a broker. It must not delay the answers of the other shards
/// there.
#[test]
fn a_broker_returns_all_available_answers_at_the_soft_deadline() {
    let mut selector = selector(4);
    let handover_params = RelayParams {
        origin: RequestOrigin::default(),
        is_handover: true,
        deadline: at(200),
        ..params(4, true)
    };
    let (mut run, actions) = RelayRun::start(handover_params.clone(), &mut selector, at(0));
    let sent = sends(&actions);
    run.on_attempt_end(0, sent[0].attempt, ANSWER, &mut selector, at(20));
    let actions = run.on_wake(&mut selector, at(200));
    let sources = vec![Some(AnswerSource::Attempt(0)), None, None, None];
    assert_eq!(finish(&actions), Some(RelayOutcome::Answered(sources)));
    let unanswered: Vec<UnclearSubRequest> = (1..4)
        .map(|sub_request| unclear(sub_request, &[&format!("s{sub_request}-near")]))
        .collect();
    assert_eq!(run.group_outcome().unclear, unanswered);
    // Without any answer, the request is refused at the soft deadline too.
    let later = RelayParams {
        soft_deadline: at(500),
        deadline: at(500),
        ..handover_params
    };
    let (mut run, _) = RelayRun::start(later, &mut selector, at(300));
    let actions = run.on_wake(&mut selector, at(500));
    assert!(matches!(finish(&actions), Some(RelayOutcome::Refused(_))));
}

/// Guards against a shard running on a third target after the broker has used two others.
#[test]
fn shards_left_unanswered_by_a_broker_do_not_exceed_the_target_limit() {
    let mut selector = TargetSelector::new(limits(), at(0));
    let targets = (0..4).flat_map(|shard| {
        let service = format!("s{shard}");
        [
            target(&service, "near", Locality::Region),
            target(&service, "far", Locality::Far),
            target(&service, "farther", Locality::Far),
        ]
    });
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    let params = RelayParams {
        coverage_min: 1.0,
        ..regional_params()
    };
    let (mut run, first) = RelayRun::start(params, &mut selector, at(0));
    for send in sends(&first) {
        run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
    }
    let outcome = GroupOutcome {
        answered: vec![2],
        unclear: vec![unclear(3, &["s3-far", "s3-farther"])],
        ..GroupOutcome::default()
    };
    let mut actions = run.on_group_end(0, &outcome, &mut selector, at(190));
    for millis in (200..1_900).step_by(20) {
        for send in sends(&actions) {
            assert_ne!(&*send.target.id, "s3-near");
        }
        actions = run.on_wake(&mut selector, at(millis));
    }
}

/// Load pattern: many shards are slow at once and their budgets are empty. Guards against searches
/// that wait for the budget until their deadline, so that their callers have no time left to retry.
#[test]
fn a_late_search_without_a_budget_is_refused_at_once() {
    let mut empty_limits = limits();
    empty_limits.share = 0.0;
    empty_limits.burst = 0.0;
    let mut selector = TargetSelector::new(empty_limits, at(0));
    let targets = (0..4).flat_map(|shard| {
        let service = format!("s{shard}");
        [
            target(&service, "near", Locality::Centre),
            target(&service, "far", Locality::Far),
        ]
    });
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    let (mut run, actions) = RelayRun::start(params(4, true), &mut selector, at(0));
    let sent = sends(&actions);
    for send in &sent[2..] {
        run.on_attempt_end(
            send.sub_request,
            send.attempt,
            ANSWER,
            &mut selector,
            at(20),
        );
    }
    // Before the soft deadline the budget may still recover in time.
    let actions = run.on_attempt_end(
        0,
        sent[0].attempt,
        RelayAttemptOutcome::Broken,
        &mut selector,
        at(150),
    );
    assert!(finish(&actions).is_none());
    let mut now = 150;
    let outcome = loop {
        now += 5;
        assert!(now < 300, "still waiting at {now} ms");
        let actions = run.on_wake(&mut selector, at(now));
        if now == 210 {
            let late = run.on_attempt_end(
                1,
                sent[1].attempt,
                RelayAttemptOutcome::Broken,
                &mut selector,
                at(now),
            );
            if let Some(outcome) = finish(&late) {
                break outcome;
            }
        }
        if let Some(outcome) = finish(&actions) {
            break outcome;
        }
    };
    let RelayOutcome::Refused(refusal) = outcome else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
}

/// Guards against reporting a refused search as possibly run because of handovers that were
/// planned, but not sent.
#[test]
fn a_search_without_enough_targets_is_refused_before_any_handover() {
    let mut selector = TargetSelector::new(limits(), at(0));
    let targets = (0..2).map(|shard| target(&format!("s{shard}"), "near", Locality::Region));
    selector.record_vm_count(1, at(0));
    selector.sync(targets.collect(), |_| Some(30), at(0));
    let (_, actions) = RelayRun::start(regional_params(), &mut selector, at(0));
    let Some(RelayOutcome::Refused(refusal)) = finish(&actions) else {
        panic!("expected a refusal, since half of the shards have no target");
    };
    assert_eq!(refusal.reason, RefusalReason::NoTargets);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
}
