//! Tests of evacuated data centres, and of those that have returned.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    GroupOutcome, Locality, PickCriteria, RefusalReason, RelayAction, RelayAttempt,
    RelayAttemptOutcome, RelayOutcome, RelayParams, RelayRefusal, RelayRun, RelayTarget,
    RepeatedSubRequest, RequestFingerprint, RequestOrigin, RequestRank, ShardGroup, StatedLimit,
    TargetChoice, TargetNotice, TargetPick, TargetSelector,
};

const ANSWER: RelayAttemptOutcome = RelayAttemptOutcome::Answered { load: None };
const EAST: &str = "east";
const WEST: &str = "west";

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns the target of the service `s{shard}` in a data centre.
fn target(shard: usize, centre: &str) -> RelayTarget {
    let host = if centre == EAST { 1 } else { 2 };
    RelayTarget {
        id: format!("s{shard}-{centre}").into(),
        service: format!("s{shard}").into(),
        address: ([10, 0, host, u8::try_from(shard).unwrap()], 80).into(),
        centre: centre.into(),
        locality: if centre == EAST {
            Locality::Centre
        } else {
            Locality::Region
        },
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
    selector.record_vm_count(1, at(0));
    selector.sync(targets, |_| Some(300), at(0));
    selector
}

/// Returns a selector with a target of each shard in both data centres.
fn both(shards: usize) -> TargetSelector {
    let targets = (0..shards).flat_map(|shard| [target(shard, EAST), target(shard, WEST)]);
    selector(targets.collect())
}

fn evacuate(selector: &mut TargetSelector, centres: &[&str], now: MonoTime) {
    let centres: Vec<Arc<str>> = centres.iter().map(|centre| (*centre).into()).collect();
    selector.set_evacuated(&centres, now);
}

fn params(shards: usize) -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        services: (0..shards)
            .map(|shard| format!("s{shard}").into())
            .collect(),
        idempotent: true,
        targets_max: 2,
        priority: 0,
        coverage_min: if shards == 1 { 1.0 } else { 0.75 },
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(10_200),
        deadline: at(12_000),
        hedge_delay: Duration::from_millis(40),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: 0.0,
    }
}

fn start(params: RelayParams, selector: &mut TargetSelector) -> (RelayRun, Vec<RelayAction>) {
    RelayRun::start(params, selector, at(10_000))
}

fn sends(actions: &[RelayAction]) -> Vec<RelayAttempt> {
    let send = |action: &RelayAction| match action {
        RelayAction::Send(send) => Some(send.clone()),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn sent_centres(actions: &[RelayAction]) -> Vec<String> {
    let sends = sends(actions).into_iter();
    sends.map(|send| send.target.centre.to_string()).collect()
}

fn refusal(actions: &[RelayAction]) -> Option<RelayRefusal> {
    actions.iter().find_map(|action| match action {
        RelayAction::Finish(RelayOutcome::Refused(refusal)) => Some(*refusal),
        _ => None,
    })
}

fn pick_with(selector: &mut TargetSelector, ticket: u64, now: MonoTime) -> TargetPick {
    let criteria = PickCriteria {
        service: &"s0".into(),
        tried: &[],
        ran: &[],
        targets_max: 2,
        skip_overloaded: false,
        choice: TargetChoice::Any,
        rank: RequestRank {
            ticket,
            ..RequestRank::FIRST
        },
        is_new: true,
        time_limit: None,
    };
    selector.pick(&criteria, now)
}

fn picked_centre(selector: &mut TargetSelector, ticket: u64, now: MonoTime) -> String {
    match pick_with(selector, ticket, now) {
        TargetPick::Target { target, .. } => target.centre.to_string(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn first_attempts_go_past_an_evacuated_data_centre() {
    let mut selector = both(3);
    let (_, actions) = start(params(3), &mut selector);
    assert_eq!(sent_centres(&actions), [EAST, EAST, EAST]);
    evacuate(&mut selector, &[EAST], at(10_000));
    let (_, actions) = start(params(3), &mut selector);
    assert_eq!(sent_centres(&actions), [WEST, WEST, WEST]);
}

/// Guards against targets that are announced or change while the order is in force.
#[test]
fn targets_that_are_listed_later_are_evacuated_too() {
    let mut selector = selector(vec![target(0, WEST)]);
    evacuate(&mut selector, &[EAST], at(1));
    let next = RelayTarget {
        born_ms: 2,
        ..target(0, EAST)
    };
    for listed in [target(0, EAST), next] {
        selector.sync(vec![listed, target(0, WEST)], |_| Some(300), at(2));
        assert_eq!(picked_centre(&mut selector, 1, at(3)), WEST);
    }
}

#[test]
fn hedges_and_retries_go_past_an_evacuated_data_centre() {
    let mut selector = both(1);
    let (mut run, actions) = start(params(1), &mut selector);
    let first = sends(&actions).remove(0);
    assert_eq!(&*first.target.centre, EAST);
    // With the only other target evacuated, there is no hedge, and the attempt in flight answers.
    evacuate(&mut selector, &[WEST], at(10_010));
    let actions = run.on_wake(&mut selector, at(10_045));
    assert!(sends(&actions).is_empty());
    let actions = run.on_attempt_end(0, first.attempt, ANSWER, &mut selector, at(10_080));
    assert!(matches!(
        actions.as_slice(),
        [RelayAction::Finish(RelayOutcome::Answered(_))]
    ));

    evacuate(&mut selector, &[], at(10_100));
    let (mut run, actions) = start(params(1), &mut selector);
    let first = sends(&actions).remove(0);
    evacuate(&mut selector, &[EAST], at(10_110));
    let refused = RelayAttemptOutcome::Refused;
    let actions = run.on_attempt_end(0, first.attempt, refused, &mut selector, at(10_120));
    assert_eq!(sent_centres(&actions), [WEST]);
}

/// Guards against an attempt that was placed before the order and gets its connection after it.
#[test]
fn an_attempt_that_waits_for_a_connection_is_withheld_and_placed_anew() {
    let mut selector = both(1);
    let (mut run, actions) = start(params(1), &mut selector);
    let first = sends(&actions).remove(0);
    let budget = selector.extra_left("s0", at(10_001));
    evacuate(&mut selector, &[EAST], at(10_001));
    let fingerprint = RequestFingerprint::default();
    assert!(!selector.may_send(&first.target, fingerprint, None, at(10_002)));
    let withheld = RelayAttemptOutcome::Withheld;
    let actions = run.on_attempt_end(0, first.attempt, withheld, &mut selector, at(10_002));
    let second = sends(&actions).remove(0);
    assert_eq!(&*second.target.centre, WEST);
    assert!(selector.may_send(&second.target, fingerprint, None, at(10_003)));
    assert!(selector.extra_left("s0", at(10_003)) >= budget);
}

#[test]
fn a_request_that_waits_for_a_target_to_reopen_is_placed_elsewhere() {
    let mut selector = both(1);
    let asks = TargetNotice {
        leaves_within: None,
        closed_for: Some(Duration::from_millis(30)),
    };
    for centre in [EAST, WEST] {
        selector.record_notice(&target(0, centre), asks, 0.0, at(10_000));
    }
    let (mut run, actions) = start(params(1), &mut selector);
    assert!(sends(&actions).is_empty());
    evacuate(&mut selector, &[EAST], at(10_010));
    let actions = run.on_wake(&mut selector, at(10_031));
    assert_eq!(sent_centres(&actions), [WEST]);
}

#[test]
fn a_request_that_waits_for_a_permit_of_an_evacuated_target_is_placed_elsewhere() {
    let mut selector = both(1);
    let limit = StatedLimit::PerSecond(1.0);
    selector.record_limit(&target(0, EAST), limit, at(9_000), at(9_010));
    evacuate(&mut selector, &[EAST], at(9_500));
    let (_, actions) = start(params(1), &mut selector);
    assert_eq!(sent_centres(&actions), [WEST]);
}

/// Guards against a link examination or a witness that sends health requests to evacuated targets.
#[test]
fn probes_go_past_an_evacuated_data_centre() {
    let mut selector = both(4);
    evacuate(&mut selector, &[EAST], at(1));
    let sample = selector.link_sample(8, 7, at(2));
    assert_eq!(sample.len(), 4);
    for probed in sample {
        assert_eq!(probed.address.ip().to_string().split('.').nth(2), Some("2"));
    }
    let east = target(0, EAST).address;
    assert_eq!(selector.link_target_at(east, at(2)), None);
    assert!(
        selector
            .link_target_at(target(0, WEST).address, at(2))
            .is_some()
    );
}

#[test]
fn a_request_on_trial_goes_past_an_evacuated_data_centre() {
    let mut selector = both(2);
    let (mut run, actions) = start(params(2), &mut selector);
    let first = sends(&actions);
    evacuate(&mut selector, &[EAST], at(10_010));
    let crashed = RelayAttemptOutcome::Crashed;
    let mut repeated = Vec::new();
    for attempt in &first {
        let end = (attempt.sub_request, attempt.attempt);
        let actions = run.on_attempt_end(end.0, end.1, crashed, &mut selector, at(10_020));
        repeated.extend(sent_centres(&actions));
    }
    assert!(!repeated.is_empty());
    assert!(repeated.iter().all(|centre| centre == WEST), "{repeated:?}");
}

/// Guards against requests that are held back since an operator stops the targets of an evacuated data
/// centre while they run there.
#[test]
fn the_end_of_an_evacuated_target_is_no_crash() {
    let mut selector = both(1);
    assert!(selector.is_in_service(&target(0, EAST), at(1)));
    evacuate(&mut selector, &[EAST], at(2));
    assert!(!selector.is_in_service(&target(0, EAST), at(3)));
    assert!(selector.is_in_service(&target(0, WEST), at(3)));
}

#[test]
fn shards_are_grouped_by_data_centres_that_are_not_evacuated() {
    let targets = (0..10).flat_map(|shard| {
        let near = RelayTarget {
            id: format!("s{shard}-mid").into(),
            centre: "mid".into(),
            locality: Locality::Region,
            ..target(shard, EAST)
        };
        [near, target(shard, WEST)]
    });
    let mut selector = selector(targets.collect());
    let services: Vec<Arc<str>> = (0..10).map(|shard| format!("s{shard}").into()).collect();
    let centres = |groups: Vec<ShardGroup>| -> Vec<String> {
        groups
            .iter()
            .map(|group| group.centre.to_string())
            .collect()
    };
    assert_eq!(centres(selector.shard_groups(&services, at(1))), ["mid"]);
    assert_eq!(centres(selector.helper_groups(&services, at(1))), ["mid"]);
    evacuate(&mut selector, &["mid"], at(2));
    assert_eq!(centres(selector.shard_groups(&services, at(3))), [WEST]);
    assert_eq!(centres(selector.helper_groups(&services, at(3))), [WEST]);
}

/// Guards against a shard that its broker returns after the order and that its origin sends there.
#[test]
fn what_a_broker_returns_goes_past_an_evacuated_data_centre() {
    let mut selector = both(2);
    let mut params = params(2);
    params.handover_groups = vec![ShardGroup {
        key: "group".into(),
        centre: EAST.into(),
        sub_requests: vec![0, 1],
    }];
    let (mut run, actions) = start(params, &mut selector);
    assert!(sends(&actions).is_empty());
    evacuate(&mut selector, &[EAST], at(10_010));
    let not_taken = GroupOutcome::default();
    let actions = run.on_group_end(0, &not_taken, &mut selector, at(10_020));
    assert_eq!(sent_centres(&actions), [WEST, WEST]);
}

/// Guards against a broker in the evacuated data centre that refuses work, or sends it there.
#[test]
fn a_broker_there_runs_handed_over_work_elsewhere() {
    let mut selector = both(1);
    evacuate(&mut selector, &[EAST], at(1));
    let mut params = params(1);
    params.reserved_centre = Some(EAST.into());
    params.is_handover = true;
    params.origin = RequestOrigin::OtherVm {
        repeats: Vec::new(),
    };
    let (_, actions) = start(params, &mut selector);
    assert_eq!(sent_centres(&actions), [WEST]);
}

/// Guards against a shard whose broker fell silent and that is restricted to a fallback target there.
#[test]
fn no_fallback_target_is_named_in_an_evacuated_data_centre() {
    let mut selector = both(1);
    let fallback = selector.fallback_target("s0", EAST, at(1));
    assert_eq!(fallback.as_deref(), Some("s0-east"));
    evacuate(&mut selector, &[EAST], at(2));
    assert_eq!(selector.fallback_target("s0", EAST, at(3)), None);
    let mut params = params(1);
    params.origin = RequestOrigin::OtherVm {
        repeats: vec![RepeatedSubRequest {
            sub_request: 0,
            ran: Vec::new(),
            only_fallback_in: Some(EAST.into()),
        }],
    };
    let (_, actions) = start(params, &mut selector);
    assert!(!sent_centres(&actions).contains(&EAST.to_owned()));
}

/// Guards against a shard that is given up although its broker, which is only silent, may still answer:
/// the fallback target that its origin may use is in the evacuated data centre.
#[test]
fn a_shard_of_a_silent_broker_there_waits_for_the_broker() {
    let mut selector = both(2);
    let mut params = params(2);
    params.handover_groups = vec![ShardGroup {
        key: "group".into(),
        centre: EAST.into(),
        sub_requests: vec![0, 1],
    }];
    let (mut run, _) = start(params, &mut selector);
    evacuate(&mut selector, &[EAST], at(10_010));
    let actions = run.on_group_silent(0, &mut selector, at(10_020));
    assert!(sends(&actions).is_empty());
    assert_eq!(refusal(&actions), None);
    let answered = GroupOutcome {
        accepted: true,
        answered: vec![0, 1],
        ..GroupOutcome::default()
    };
    let actions = run.on_group_end(0, &answered, &mut selector, at(10_030));
    assert!(matches!(
        actions.as_slice(),
        [RelayAction::Finish(RelayOutcome::Answered(_))]
    ));
}

#[test]
fn a_request_whose_targets_are_all_evacuated_is_refused_at_once() {
    let mut selector = both(1);
    evacuate(&mut selector, &[EAST, WEST], at(1));
    let (_, actions) = start(params(1), &mut selector);
    let refusal = refusal(&actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Evacuated);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(1));
    // Without any target, the reason is the other one.
    selector.sync(Vec::new(), |_| Some(300), at(2));
    let (_, actions) = start(params(1), &mut selector);
    let reason = self::refusal(&actions).unwrap().reason;
    assert_eq!(reason, RefusalReason::NoTargets);
}

#[test]
fn a_request_in_flight_that_loses_its_last_target_is_refused_at_once() {
    let mut selector = both(1);
    let (mut run, actions) = start(params(1), &mut selector);
    let first = sends(&actions).remove(0);
    evacuate(&mut selector, &[EAST, WEST], at(10_001));
    let withheld = RelayAttemptOutcome::Withheld;
    let actions = run.on_attempt_end(0, first.attempt, withheld, &mut selector, at(10_002));
    let refusal = refusal(&actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Evacuated);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
}

#[test]
fn a_search_omits_evacuated_shards_if_its_coverage_allows_it() {
    let targets = [WEST, WEST, WEST, EAST];
    let targets = targets.iter().enumerate();
    let mut selector = selector(
        targets
            .map(|(shard, centre)| target(shard, centre))
            .collect(),
    );
    evacuate(&mut selector, &[EAST], at(1));
    let (mut run, actions) = start(params(4), &mut selector);
    let attempts = sends(&actions);
    assert_eq!(attempts.len(), 3);
    let mut last = Vec::new();
    for attempt in attempts {
        let (index, number) = (attempt.sub_request, attempt.attempt);
        last = run.on_attempt_end(index, number, ANSWER, &mut selector, at(10_050));
    }
    assert!(matches!(
        last.as_slice(),
        [RelayAction::Finish(RelayOutcome::Answered(_))]
    ));
    let mut strict = params(4);
    strict.coverage_min = 0.9;
    let (_, actions) = start(strict, &mut selector);
    let reason = refusal(&actions).unwrap().reason;
    assert_eq!(reason, RefusalReason::Evacuated);
}

/// Guards against a data centre that gets its whole load in the moment in which all VMs learn of the
/// end.
#[test]
fn the_load_of_a_returned_data_centre_rises_over_seconds() {
    let mut selector = both(1);
    evacuate(&mut selector, &[EAST], at(1_000));
    evacuate(&mut selector, &[], at(10_000));
    let mut share = |now: MonoTime| {
        let sent = (0..1_000).filter(|t| picked_centre(&mut selector, *t, now) == EAST);
        sent.count()
    };
    let shares = [10_000, 11_000, 12_000, 13_000, 14_000].map(|millis| share(at(millis)));
    assert_eq!(shares[0], 0);
    for (share, expected) in shares[1..4].iter().zip([250, 500, 750]) {
        assert!(share.abs_diff(expected) < 60, "{shares:?}");
    }
    assert_eq!(shares[4], 1_000);
}

#[test]
fn a_returned_data_centre_is_used_at_once_without_another_target() {
    let mut selector = selector(vec![target(0, EAST)]);
    evacuate(&mut selector, &[EAST], at(1_000));
    evacuate(&mut selector, &[], at(2_000));
    for ticket in 0..50 {
        assert_eq!(picked_centre(&mut selector, ticket, at(2_000)), EAST);
    }
}

#[test]
fn a_target_is_possibly_cold_after_the_end_until_it_is_heard_of() {
    let mut selector = both(2);
    let targets = || vec![target(0, EAST), target(1, EAST), target(0, WEST)];
    let (first, second) = (target(0, EAST), target(1, EAST));
    // A VM that has never known of an evacuation waits for nothing.
    assert_eq!(selector.returned_at(&first), None);
    evacuate(&mut selector, &[EAST], at(1_000));
    assert_eq!(selector.returned_at(&first), None);
    evacuate(&mut selector, &[], at(5_000));
    assert_eq!(selector.returned_at(&first), Some(at(5_000)));
    assert_eq!(selector.returned_at(&target(0, WEST)), None);
    // A list without a change is no announcement.
    selector.sync(targets(), |_| Some(300), at(5_100));
    assert_eq!(selector.returned_at(&first), Some(at(5_000)));
    selector.record_health_reply(first.address);
    assert_eq!(selector.returned_at(&first), None);
    assert_eq!(selector.returned_at(&second), Some(at(5_000)));
    selector.record_announced(&second);
    assert_eq!(selector.returned_at(&second), None);
    let next = RelayTarget {
        born_ms: 2,
        ..target(1, EAST)
    };
    selector.sync(vec![first.clone(), next.clone()], |_| Some(300), at(5_200));
    assert_eq!(selector.returned_at(&next), None);
    // What was heard before a later end does not count after it.
    evacuate(&mut selector, &[EAST], at(6_000));
    evacuate(&mut selector, &[], at(7_000));
    assert_eq!(selector.returned_at(&first), Some(at(7_000)));
}
