//! Tests of shards that return from a broker, and of where they may run then.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    AttemptSignal, GroupOutcome, Locality, PlacementRule, RelayAction, RelayAttempt,
    RelayAttemptOutcome, RelayParams, RelayRun, RelayTarget, RequestFingerprint, RequestOrigin,
    ShardGroup, TargetSelector, UnclearSubRequest,
};

/// Soft deadline of a search, and that of its broker.
const SOFT_MS: u64 = 50_000;
const BROKER_SOFT_MS: u64 = 300;
const DEADLINE_MS: u64 = 60_000;
/// Targets on which a request may run.
const TARGETS_MAX: usize = 2;
const BROKEN: RelayAttemptOutcome = RelayAttemptOutcome::Broken;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn target(name: &str) -> RelayTarget {
    RelayTarget {
        id: name.into(),
        service: "s0".into(),
        address: ([10, 0, 0, 1], 80).into(),
        centre: "there".into(),
        region: "home".into(),
        locality: Locality::Region,
        slots: 3,
        born_ms: 1,
        warm_up_ms: 0,
    }
}

/// Returns a selector with three targets of one shard and this many extra attempts.
fn selector(extra: f64) -> TargetSelector {
    let limits = ExtraAttemptLimits {
        share: 0.0,
        // A VM uses 85% of its grant.
        burst: extra / 0.85,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, at(0));
    selector.record_vm_count(1, at(0));
    let targets = ["a", "b", "c"].map(target).to_vec();
    selector.sync(targets, |_| Some(300), at(0));
    selector
}

fn params() -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        services: vec!["s0".into()],
        idempotent: true,
        targets_max: u32::try_from(TARGETS_MAX).unwrap(),
        priority: 0,
        coverage_min: 1.0,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(SOFT_MS),
        deadline: at(DEADLINE_MS),
        hedge_delay: Duration::from_secs(1),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        placement: PlacementRule::default(),
        retry_spread: 0.0,
    }
}

/// Starts a search whose only shard is handed over.
fn handed_over(selector: &mut TargetSelector) -> RelayRun {
    let group = ShardGroup {
        centre: "there".into(),
        key: "s0".into(),
        sub_requests: vec![0],
    };
    let params = RelayParams {
        handover_groups: vec![group],
        ..params()
    };
    RelayRun::start(params, selector, at(0)).0
}

fn sends(actions: &[RelayAction]) -> Vec<RelayAttempt> {
    let sends = actions.iter().filter_map(|action| match action {
        RelayAction::Send(attempt) => Some(attempt.clone()),
        _ => None,
    });
    sends.collect()
}

/// Fails every attempt of `run` until it sends none for a second, and returns the targets that it used.
fn fail_all(
    run: &mut RelayRun,
    mut sent: Vec<RelayAttempt>,
    selector: &mut TargetSelector,
    from_ms: u64,
) -> BTreeSet<Arc<str>> {
    let mut used = BTreeSet::new();
    for now_ms in from_ms..from_ms + 1_000 {
        if let Some(attempt) = sent.pop() {
            used.insert(Arc::clone(&attempt.target.id));
            let (number, now) = (attempt.attempt, at(now_ms));
            sent.extend(sends(&run.on_attempt_end(0, number, BROKEN, selector, now)));
        } else {
            sent.extend(sends(&run.on_wake(selector, at(now_ms))));
        }
    }
    used
}

fn unclear_at(names: &[&str]) -> GroupOutcome {
    GroupOutcome {
        accepted: true,
        unclear: vec![UnclearSubRequest {
            sub_request: 0,
            ran: names.iter().map(|name| Arc::from(*name)).collect(),
        }],
        ..GroupOutcome::default()
    }
}

/// Load pattern: a broker is silent, the attempt that replaces it fails, and no further one is allowed
/// until the broker's outcome comes.
#[test]
fn a_late_outcome_of_a_broker_does_not_make_its_origin_forget_where_it_sent_the_shard() {
    let mut selector = selector(1.5);
    let mut run = handed_over(&mut selector);
    let sent = sends(&run.on_group_silent(0, &mut selector, at(100)));
    assert_eq!(sent.len(), 1);
    let own = fail_all(&mut run, sent, &mut selector, 101);
    assert_eq!(own.len(), 1, "the budget is used up");
    let elsewhere = ["c", "b", "a"]
        .into_iter()
        .find(|name| !own.contains(*name));
    let broker_ran = elsewhere.unwrap();
    // By now, the budget allows attempts again.
    let outcome = unclear_at(&[broker_ran]);
    let sent = sends(&run.on_group_end(0, &outcome, &mut selector, at(11_000)));
    let mut used = fail_all(&mut run, sent, &mut selector, 11_001);
    used.extend(own);
    used.insert(broker_ran.into());
    assert!(used.len() <= TARGETS_MAX, "{used:?}");
}

/// Load pattern: a broker falls silent again and again.
#[test]
fn a_second_silence_of_a_broker_does_not_make_its_origin_forget_where_it_sent_the_shard() {
    let mut selector = selector(1.5);
    let mut run = handed_over(&mut selector);
    let sent = sends(&run.on_group_silent(0, &mut selector, at(100)));
    let mut used = fail_all(&mut run, sent, &mut selector, 101);
    for now_ms in [11_000, 22_000] {
        let sent = sends(&run.on_group_silent(0, &mut selector, at(now_ms)));
        used.extend(fail_all(&mut run, sent, &mut selector, now_ms + 1));
    }
    assert!(used.len() <= TARGETS_MAX, "{used:?}");
}

/// Load pattern: a broker has returned a part, what was in flight fails, and the rest is lost with the
/// broker. Its origin knows only where the shard had run when the part was returned.
#[test]
fn a_resumed_handover_does_not_send_what_fails_again() {
    let mut at_broker = selector(10.0);
    let params = RelayParams {
        origin: RequestOrigin::default(),
        is_handover: true,
        soft_deadline: at(BROKER_SOFT_MS),
        deadline: at(BROKER_SOFT_MS),
        ..params()
    };
    let (mut broker, actions) = RelayRun::start(params, &mut at_broker, at(0));
    let sent = sends(&actions);
    assert_eq!(sent.len(), 1);
    broker.on_wake(&mut at_broker, at(BROKER_SOFT_MS));
    let part = broker.group_outcome();
    assert_eq!((part.pending.len(), part.unclear[0].ran.len()), (1, 1));
    broker.resume(at(400), at(DEADLINE_MS), &mut at_broker, at(BROKER_SOFT_MS));
    let again = broker.on_attempt_end(0, sent[0].attempt, BROKEN, &mut at_broker, at(350));
    assert!(sends(&again).is_empty(), "{again:?}");
    let rest = broker.group_outcome();
    assert!(rest.pending.is_empty(), "{rest:?}");
    assert_eq!(rest.unclear, part.unclear);
}

/// Load pattern: a broker prefers other targets to the one next to it, and falls silent; its origin sends
/// the shard itself.
#[test]
fn a_silent_broker_and_its_origin_together_use_no_more_targets_than_allowed() {
    let (mut at_origin, mut at_broker) = (mixed_selector(), mixed_selector());
    // The broker knows the target next to it as failing, its origin does not.
    let near = at_broker.find_target("s0", "near", 1).unwrap();
    for now_ms in 0..20 {
        at_broker.attempt_sent(&near, at(now_ms));
        at_broker.attempt_ended(&near, at(now_ms), AttemptSignal::Unreachable, at(now_ms));
    }
    let mut origin = handed_over(&mut at_origin);
    let params = RelayParams {
        origin: RequestOrigin::default(),
        is_handover: true,
        reserved_centre: Some("there".into()),
        ..params()
    };
    let (mut broker, actions) = RelayRun::start(params, &mut at_broker, at(50));
    let mut used = fail_all(&mut broker, sends(&actions), &mut at_broker, 51);
    let sent = sends(&origin.on_group_silent(0, &mut at_origin, at(200)));
    used.extend(fail_all(&mut origin, sent, &mut at_origin, 201));
    assert!(used.len() <= TARGETS_MAX, "{used:?}");
}

/// Returns a selector with one target in the data centre of the group and two elsewhere.
fn mixed_selector() -> TargetSelector {
    let mut selector = selector(20.0);
    let elsewhere = ["far-1", "far-2"].map(|name| RelayTarget {
        centre: "elsewhere".into(),
        ..target(name)
    });
    let targets = [vec![target("near")], elsewhere.to_vec()].concat();
    selector.sync(targets, |_| Some(300), at(0));
    selector
}
