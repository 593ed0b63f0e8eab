//! Tests of how one VM treats cold targets: which targets count as cold, and what attempts need.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_permits::RateGrant;
use fulmarweir_route::{
    AttemptSignal, Locality, RefusalReason, RelayAction, RelayAttempt, RelayOutcome, RelayParams,
    RelayRun, RelayTarget, RequestFingerprint, RequestOrigin, TargetSelector, WarmUpReport,
};

const RATE: f64 = 10.0;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn keeper() -> SocketAddr {
    ([10, 0, 1, 1], 1).into()
}

fn target(name: &str, born_ms: u64, warm_up_ms: u32) -> RelayTarget {
    RelayTarget {
        id: name.into(),
        service: "s0".into(),
        address: ([10, 0, 0, 1], 80).into(),
        centre: "here".into(),
        locality: Locality::Centre,
        slots: 3,
        born_ms,
        warm_up_ms,
    }
}

/// Returns a selector with a rate for cold targets of `s0`.
fn selector(targets: Vec<RelayTarget>) -> TargetSelector {
    let limits = ExtraAttemptLimits {
        share: 0.2,
        burst: 1_000.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, at(0));
    selector.record_vm_count(4, at(0));
    selector.set_cold_rates(1, HashMap::from([("s0".into(), RATE)]));
    selector.sync(targets, |_| Some(300), at(0));
    selector
}

fn report(name: &str, sequence: Option<u64>, cold_ms: u64) -> WarmUpReport {
    WarmUpReport {
        target: name.into(),
        born_ms: 1,
        sequence,
        cold_for: Duration::from_millis(cold_ms),
    }
}

/// Returns a request that starts at `now_ms`.
fn params(now_ms: u64) -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        services: vec!["s0".into()],
        idempotent: true,
        targets_max: 2,
        priority: 0,
        coverage_min: 1.0,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(now_ms + 300),
        deadline: at(now_ms + 2_000),
        hedge_delay: Duration::from_millis(500),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: 0.0,
    }
}

/// Starts a request, and lets it try again after `granted` permits for each target were granted.
fn attempts(selector: &mut TargetSelector, granted: u32, now_ms: u64) -> Vec<RelayAttempt> {
    let (mut run, mut actions) = RelayRun::start(params(now_ms), selector, at(now_ms));
    selector.take_permit_urgency();
    for call in selector.due_cold_calls(&[keeper()], at(now_ms + 1)) {
        let grants = call.asks.iter().map(|ask| RateGrant {
            granted: granted.min(ask.wanted),
            ask_again_after: Duration::from_secs(2),
        });
        let grants: Vec<RateGrant> = grants.collect();
        selector.apply_cold_reply(&call, Some(&grants), at(now_ms + 2));
    }
    actions.extend(run.on_wake(selector, at(now_ms + 15)));
    let sends = actions.into_iter().filter_map(|action| match action {
        RelayAction::Send(attempt) => Some(attempt),
        _ => None,
    });
    sends.collect()
}

fn is_cold(selector: &TargetSelector, now_ms: u64) -> bool {
    selector.has_cold_target("s0", at(now_ms))
}

/// Guards against attempts at a cold target that no keeper has granted.
#[test]
fn an_attempt_at_a_cold_target_needs_a_permit() {
    let mut selector = selector(vec![target("a", 1, 5_000)]);
    assert!(attempts(&mut selector, 0, 1_000).is_empty());
    let sent = attempts(&mut selector, 1, 3_100);
    assert_eq!(sent.len(), 1);
    let (only, permits) = (&sent[0].target, sent[0].permits);
    assert!(permits.cold.is_some());
    let fingerprint = RequestFingerprint::default();
    assert!(selector.may_send(only, fingerprint, permits, at(3_250)));
    assert!(
        !selector.may_send(only, fingerprint, permits, at(3_350)),
        "too old"
    );
    assert_eq!(
        attempts(&mut selector, 0, 5_000).len(),
        1,
        "it is warm by now"
    );
}

/// Guards against a cold target that is waited for while another one has room.
#[test]
fn a_warm_target_is_preferred() {
    let mut selector = selector(vec![target("a", 1, 5_000), target("b", 1, 0)]);
    for number in 0..10 {
        let sent = attempts(&mut selector, 0, 1_000 + 20 * number);
        assert!(sent.iter().all(|attempt| *attempt.target.id == *"b"));
        assert_eq!(sent.len(), 1);
    }
}

/// Guards against requests that are held until their deadline, or refused for a reason that misleads.
#[test]
fn requests_beyond_the_rate_are_refused_with_its_reason() {
    let mut selector = selector(vec![target("a", 1, 60_000)]);
    assert!(attempts(&mut selector, 0, 1_000).is_empty());
    let (_, actions) = RelayRun::start(params(1_100), &mut selector, at(1_100));
    let [RelayAction::Finish(RelayOutcome::Refused(refusal))] = actions.as_slice() else {
        panic!("not refused: {actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::ColdRate);
}

/// Guards against a warm-up that is read only when a target is first seen.
#[test]
fn a_target_may_turn_cold_again_without_a_new_incarnation() {
    let mut selector = selector(vec![target("a", 1, 0)]);
    assert!(!is_cold(&selector, 10));
    let news = selector.record_warm_up(&report("a", Some(2), 6_000), at(1_000));
    assert_eq!(news, Some(at(7_000)));
    selector.record_warm_up(&report("a", Some(1), 0), at(1_100));
    assert!(
        is_cold(&selector, 6_999),
        "an older announcement changes nothing"
    );
    assert!(!is_cold(&selector, 7_000));
}

/// Guards against VMs that flood a target which has become cold while they could not reach it.
#[test]
fn a_target_that_was_out_of_reach_counts_as_cold_until_it_is_heard_from() {
    let only = target("a", 1, 0);
    let mut selector = selector(vec![only.clone()]);
    selector.attempt_ended(&only, at(5), AttemptSignal::Unreachable, at(10));
    assert!(
        is_cold(&selector, 60_000),
        "nobody knows how it will return"
    );
    let answer = AttemptSignal::Answered {
        latency: Duration::from_millis(5),
        load: None,
    };
    selector.attempt_ended(&only, at(60_000), answer, at(60_005));
    assert!(is_cold(&selector, 64_000));
    assert!(!is_cold(&selector, 64_005), "keepers would have told");
    selector.record_return(Some("elsewhere"), at(70_000));
    assert!(!is_cold(&selector, 70_000));
    selector.record_return(Some("here"), at(70_000));
    assert!(is_cold(&selector, 70_000));
    selector.record_warm_up(&report("a", None, 0), at(70_100));
    assert!(!is_cold(&selector, 70_100), "it has told this VM itself");
}

/// Guards against a target that is not listed for a time and counts as warm when it returns.
#[test]
fn a_target_that_is_listed_again_counts_as_cold_at_first() {
    let only = target("a", 1, 0);
    let mut selector = selector(vec![only.clone()]);
    selector.sync(Vec::new(), |_| Some(300), at(1_000));
    selector.sync(vec![only.clone()], |_| Some(300), at(30_000));
    assert!(is_cold(&selector, 33_999));
    assert!(!is_cold(&selector, 34_000));
    selector.sync(vec![target("a", 2, 9_000)], |_| Some(300), at(40_000));
    assert!(is_cold(&selector, 48_999), "another incarnation");
}

/// Guards against VMs without keepers, which nobody tells that a target has become cold.
#[test]
fn a_vm_without_keepers_checks_the_targets_that_it_uses() {
    let mut selector = selector(vec![target("a", 1, 0), target("b", 1, 0)]);
    assert!(selector.due_cold_checks(|| 0.5, at(10)).is_empty());
    selector.set_keepers_lost(true);
    assert!(is_cold(&selector, 1_000));
    assert!(attempts(&mut selector, 0, 1_000).is_empty());
    let due = selector.due_cold_checks(|| 0.5, at(1_020));
    assert_eq!(due.len(), 1, "only the one that a request needs");
    let name = due[0].id.to_string();
    assert!(
        selector.due_cold_checks(|| 0.5, at(1_040)).is_empty(),
        "not again at once"
    );
    selector.record_warm_up(&report(&name, None, 0), at(1_050));
    let sent = attempts(&mut selector, 0, 1_100);
    assert_eq!((sent.len(), &*sent[0].target.id), (1, &*name));
    assert!(is_cold(&selector, 2_550), "the check is old by then");
}

/// Guards against permits for services whose cold targets take any rate.
#[test]
fn without_a_rate_nothing_needs_a_permit() {
    let mut selector = selector(vec![target("a", 1, 60_000)]);
    selector.set_cold_rates(2, HashMap::new());
    selector.set_keepers_lost(true);
    assert!(!is_cold(&selector, 1_000));
    assert_eq!(attempts(&mut selector, 0, 1_000).len(), 1);
    assert!(selector.due_cold_calls(&[keeper()], at(1_500)).is_empty());
}
