//! Tests of how one VM keeps to the limits of targets: what it knows, and which request gets a permit.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    LimitChange, LimitReport, Locality, PermitAsk, PermitAsker, PermitGrant, PermitGrantor,
    RefusalReason, RelayAction, RelayAttemptOutcome, RelayOutcome, RelayParams, RelayRun,
    RelayTarget, RequestFingerprint, RequestOrigin, StatedLimit, TargetSelector,
};

const ANSWER: RelayAttemptOutcome = RelayAttemptOutcome::Answered { load: None };
const LIMIT: f64 = 10.0;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn keeper() -> SocketAddr {
    ([10, 0, 1, 1], 1).into()
}

fn target(service: &str, name: &str) -> RelayTarget {
    RelayTarget {
        id: format!("{service}-{name}").into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 80).into(),
        centre: "here".into(),
        locality: Locality::Centre,
        slots: 3,
        born_ms: 1,
        warm_up_ms: 0,
    }
}

fn selector(targets: Vec<RelayTarget>) -> TargetSelector {
    let limits = ExtraAttemptLimits {
        share: 0.2,
        burst: 1_000.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, at(0));
    selector.record_vm_count(4, at(0));
    selector.sync(targets, |_| Some(300), at(0));
    selector
}

/// Returns a selector with one target, which has a limit.
fn limited_selector() -> (TargetSelector, RelayTarget) {
    let only = target("s0", "a");
    let mut selector = selector(vec![only.clone()]);
    let stated = StatedLimit::PerSecond(LIMIT);
    selector.record_limit(&only, stated, at(0), at(10));
    (selector, only)
}

fn params(priority: u32) -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        services: vec!["s0".into()],
        idempotent: true,
        targets_max: 2,
        priority,
        coverage_min: 1.0,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(1_300),
        deadline: at(3_000),
        hedge_delay: Duration::from_millis(500),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: 0.0,
    }
}

/// Starts a request at 1,000 ms.
fn start(selector: &mut TargetSelector, priority: u32) -> (RelayRun, Vec<RelayAction>) {
    RelayRun::start(params(priority), selector, at(1_000))
}

/// Lets the keeper grant permits for all that is asked for, up to `granted` for each target.
fn grant(selector: &mut TargetSelector, granted: u32, now: MonoTime) -> usize {
    let calls = selector.due_permit_calls(&[keeper()], now);
    for call in &calls {
        let grants = call.asks.iter().map(|ask| PermitGrant {
            granted: granted.min(ask.wanted),
            ask_again_after: Duration::from_millis(100),
        });
        selector.apply_grants(call, &grants.collect::<Vec<_>>(), now);
    }
    calls.len()
}

fn sent(actions: &[RelayAction]) -> usize {
    let sends = actions.iter().filter(|a| matches!(a, RelayAction::Send(_)));
    sends.count()
}

fn stated(limit: f64) -> StatedLimit {
    StatedLimit::PerSecond(limit)
}

#[test]
fn a_request_without_a_permit_waits_for_one_and_is_sent_with_it() {
    let (mut selector, _) = limited_selector();
    let (mut run, actions) = start(&mut selector, 0);
    assert_eq!(sent(&actions), 0);
    assert!(selector.take_permit_urgency());
    assert_eq!(grant(&mut selector, 1, at(1_002)), 1);
    let actions = run.on_wake(&mut selector, at(1_015));
    assert_eq!(sent(&actions), 1);
}

/// Load pattern: more urgent requests come while others wait for the same permits.
#[test]
fn the_most_urgent_request_gets_the_permit() {
    let (mut selector, _) = limited_selector();
    let (mut later, _) = start(&mut selector, 2);
    let (mut first, _) = start(&mut selector, 0);
    grant(&mut selector, 1, at(1_002));
    assert_eq!(sent(&later.on_wake(&mut selector, at(1_015))), 0);
    assert_eq!(sent(&first.on_wake(&mut selector, at(1_015))), 1);
}

/// Load pattern: callers want far more than the only target takes.
#[test]
fn a_request_that_cannot_expect_a_permit_is_refused_at_once_as_not_run() {
    let (mut selector, _) = limited_selector();
    let (_first, _) = start(&mut selector, 0);
    let calls = selector.due_permit_calls(&[keeper()], at(1_001));
    let denied = PermitGrant {
        granted: 0,
        ask_again_after: Duration::from_secs(2),
    };
    selector.apply_grants(&calls[0], &[denied], at(1_003));
    let (_, actions) = RelayRun::start(params(0), &mut selector, at(1_004));
    let [RelayAction::Finish(RelayOutcome::Refused(refusal))] = actions.as_slice() else {
        panic!("not refused: {actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::TargetsLimited);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(refusal.retry_after.unwrap() >= Duration::from_millis(1_900));
}

/// Load pattern: many callers are refused at once, and honour the time that they are told.
#[test]
fn callers_refused_because_of_a_limit_do_not_return_together() {
    let (mut selector, _) = limited_selector();
    let (_first, _) = start(&mut selector, 0);
    let calls = selector.due_permit_calls(&[keeper()], at(1_001));
    let denied = PermitGrant {
        granted: 0,
        ask_again_after: Duration::from_secs(1),
    };
    selector.apply_grants(&calls[0], &[denied], at(1_003));
    let mut returns = Vec::new();
    for _ in 0..6 {
        let (_, actions) = RelayRun::start(params(0), &mut selector, at(1_004));
        let [RelayAction::Finish(RelayOutcome::Refused(refusal))] = actions.as_slice() else {
            panic!("not refused: {actions:?}");
        };
        returns.push(refusal.retry_after.unwrap());
    }
    // One of four VMs can expect 2.5 permits a second.
    let gaps = returns
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]));
    assert!(
        gaps.into_iter()
            .all(|gap| gap == Duration::from_millis(400)),
        "{returns:?}"
    );
}

/// Load pattern: a target has named a limit, another one has room.
#[test]
fn a_request_goes_to_another_target_when_the_keeper_has_no_permit() {
    let limited = target("s0", "a");
    let mut selector = selector(vec![limited.clone(), target("s0", "b")]);
    selector.record_limit(&limited, stated(LIMIT), at(0), at(10));
    let (mut run, actions) = start(&mut selector, 0);
    let actions = if sent(&actions) == 0 {
        grant(&mut selector, 0, at(1_002));
        run.on_wake(&mut selector, at(1_004))
    } else {
        actions
    };
    let [RelayAction::Send(attempt), ..] = actions.as_slice() else {
        panic!("not sent: {actions:?}");
    };
    assert_eq!(&*attempt.target.id, "s0-b");
}

#[test]
fn an_attempt_that_waited_for_its_connection_when_the_limit_came_needs_a_permit() {
    let only = target("s0", "a");
    let mut selector = selector(vec![only.clone()]);
    let (_run, actions) = start(&mut selector, 0);
    let [RelayAction::Send(attempt), ..] = actions.as_slice() else {
        panic!("not sent: {actions:?}");
    };
    assert!(selector.may_send(
        &only,
        RequestFingerprint::default(),
        attempt.permits,
        at(1_001)
    ));
    selector.record_limit(&only, stated(LIMIT), at(900), at(1_002));
    assert!(!selector.may_send(
        &only,
        RequestFingerprint::default(),
        attempt.permits,
        at(1_003)
    ));
}

#[test]
fn a_permit_expires_and_one_of_an_attempt_that_was_not_sent_is_used_again() {
    let (mut selector, only) = limited_selector();
    let (mut run, _) = start(&mut selector, 0);
    grant(&mut selector, 1, at(1_002));
    let actions = run.on_wake(&mut selector, at(1_015));
    let [RelayAction::Send(attempt), ..] = actions.as_slice() else {
        panic!("not sent: {actions:?}");
    };
    let (number, permit) = (attempt.attempt, attempt.permits);
    assert!(selector.may_send(&only, RequestFingerprint::default(), permit, at(1_100)));
    assert!(
        !selector.may_send(&only, RequestFingerprint::default(), permit, at(2_000)),
        "expired"
    );
    let outcome = RelayAttemptOutcome::NoConnection;
    run.on_attempt_end(0, number, outcome, &mut selector, at(1_020));
    let (_, actions) = start(&mut selector, 0);
    assert_eq!(sent(&actions), 1, "the permit is used again");
}

#[test]
fn replies_that_overtake_each_other_do_not_lift_or_raise_a_limit() {
    let (mut selector, only) = limited_selector();
    let late = selector.record_limit(&only, StatedLimit::None, at(5), at(20));
    assert_eq!(late, None, "sent before the limit was named");
    assert_eq!(
        selector.record_limit(&only, stated(20.0), at(5), at(21)),
        None
    );
    let lower = selector.record_limit(&only, stated(5.0), at(5), at(22));
    let change = |before, after| Some(LimitChange { before, after });
    assert_eq!(lower, change(Some(LIMIT), Some(5.0)));
    let raised = selector.record_limit(&only, stated(20.0), at(23), at(40));
    assert_eq!(raised, change(Some(5.0), Some(20.0)));
    let lifted = selector.record_limit(&only, StatedLimit::None, at(41), at(60));
    assert_eq!(lifted, change(Some(20.0), None));
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let (mut selector, only) = limited_selector();
    let unreadable = StatedLimit::Unreadable;
    assert_eq!(
        selector.record_limit(&only, unreadable, at(20), at(30)),
        None
    );
    let (_, actions) = start(&mut selector, 0);
    assert_eq!(sent(&actions), 0, "the limit is still known");
}

#[test]
fn another_incarnation_of_a_target_starts_without_a_limit() {
    let (mut selector, only) = limited_selector();
    let reborn = RelayTarget { born_ms: 2, ..only };
    selector.sync(vec![reborn], |_| Some(300), at(500));
    let (_, actions) = start(&mut selector, 0);
    assert_eq!(sent(&actions), 1);
}

#[test]
fn a_limit_is_kept_while_keepers_do_not_list_its_target() {
    let (mut selector, only) = limited_selector();
    selector.sync(Vec::new(), |_| Some(300), at(100));
    selector.sync(vec![only], |_| Some(300), at(600));
    let (_, actions) = start(&mut selector, 0);
    assert_eq!(sent(&actions), 0);
}

#[test]
fn a_vm_keeps_to_a_limit_that_a_keeper_reports() {
    let only = target("s0", "a");
    let mut selector = selector(vec![only.clone()]);
    let report = |limit, age_ms| LimitReport {
        target: Arc::clone(&only.id),
        born_ms: 1,
        limit,
        age: Duration::from_millis(age_ms),
    };
    selector.record_limit_report(&report(Some(LIMIT), 5), at(500));
    assert_eq!(sent(&start(&mut selector, 0).1), 0);
    // Older evidence than what is known.
    assert_eq!(
        selector.record_limit_report(&report(None, 400), at(600)),
        None
    );
    selector.record_limit_report(&report(None, 5), at(900));
    assert_eq!(sent(&start(&mut selector, 0).1), 1);
}

#[test]
fn malformed_limits_of_other_vms_are_ignored() {
    let mut grantor = PermitGrantor::new(1);
    let (mut selector, only) = limited_selector();
    let asker = PermitAsker {
        vm: keeper(),
        spread: 0.5,
    };
    for limit in [f64::NAN, f64::INFINITY, -1.0] {
        let known = LimitReport {
            target: Arc::clone(&only.id),
            born_ms: 1,
            limit: Some(limit),
            age: Duration::ZERO,
        };
        assert_eq!(selector.record_limit_report(&known, at(100)), None);
        let ask = PermitAsk { known, wanted: 3 };
        let (grant, is_changed) = grantor.ask(asker, &ask, Some(1), at(5_000));
        assert_eq!((grant.granted, is_changed), (0, false));
    }
    assert!(grantor.reports(at(5_000)).is_empty());
}

#[test]
fn a_keeper_that_grants_more_than_was_asked_for_does_not_fill_the_memory() {
    let (mut selector, _) = limited_selector();
    let (_run, _) = start(&mut selector, 0);
    let calls = selector.due_permit_calls(&[keeper()], at(1_001));
    let malformed = PermitGrant {
        granted: u32::MAX,
        ask_again_after: Duration::MAX,
    };
    selector.apply_grants(&calls[0], &[malformed], at(1_002));
    let loads = selector.take_limited_loads(at(1_002));
    assert_eq!(loads[0].granted, loads[0].asked);
}

#[test]
fn vms_without_a_keeper_use_half_of_the_limit_together() {
    let (mut selector, _) = limited_selector();
    let mut sends = 0;
    let mut random = 0.0;
    for step in 0..200 {
        let now = at(1_000 + step * 50);
        random = f64::fract(random + 0.618);
        selector.grant_alone(Duration::from_millis(50), || random, now);
        let mut params = params(0);
        (params.soft_deadline, params.deadline) = (now, now + Duration::from_millis(10));
        sends += sent(&RelayRun::start(params, &mut selector, now).1);
    }
    // Four VMs share half of 10 a second, for 10 s.
    assert!((6..=14).contains(&sends), "{sends}");
}

/// Load pattern: many VMs ask keepers, which have no permits; one VM is gone.
#[test]
fn keepers_grant_equal_parts_and_tell_vms_when_to_ask_again() {
    let mut grantor = PermitGrantor::new(1);
    let known = LimitReport {
        target: "s0-a".into(),
        born_ms: 1,
        limit: Some(30.0),
        age: Duration::ZERO,
    };
    let mut granted = 0;
    let mut last = PermitGrant::default();
    for step in 0..1_000 {
        let asker = PermitAsker {
            vm: ([10, 0, 2, 1], u16::try_from(step % 20).unwrap()).into(),
            spread: 1.0,
        };
        let ask = PermitAsk {
            known: known.clone(),
            wanted: 2,
        };
        last = grantor.ask(asker, &ask, Some(3), at(step * 10)).0;
        granted += last.granted;
    }
    // A third of 30 a second, for 10 s.
    assert!((90..=105).contains(&granted), "{granted}");
    assert_eq!(
        last.ask_again_after,
        Duration::from_secs(2),
        "20 VMs at 10 a second"
    );
    let other = PermitAsker {
        vm: keeper(),
        spread: 0.0,
    };
    let ask = PermitAsk { known, wanted: 1 };
    assert_eq!(
        grantor.ask(other, &ask, None, at(10_000)).0.granted,
        0,
        "not a grantor"
    );
}

#[test]
fn an_answer_is_delivered_although_its_target_is_at_its_limit() {
    let (mut selector, only) = limited_selector();
    let (mut run, _) = start(&mut selector, 0);
    grant(&mut selector, 1, at(1_002));
    run.on_wake(&mut selector, at(1_015));
    selector.record_limit(&only, stated(0.0), at(1_015), at(1_050));
    let actions = run.on_attempt_end(0, 0, ANSWER, &mut selector, at(1_050));
    let is_answered =
        |action: &RelayAction| matches!(action, RelayAction::Finish(RelayOutcome::Answered(_)));
    assert!(actions.iter().any(is_answered));
}
