//! Tests of targets that say that they leave, and of targets that ask for time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{
    AnswerSource, AttemptPermits, Locality, NoticeChange, PickCriteria, RefusalReason, RelayAction,
    RelayAttempt, RelayAttemptOutcome, RelayOutcome, RelayParams, RelayRefusal, RelayRun,
    RelayTarget, RequestFingerprint, RequestOrigin, RequestRank, TargetChoice, TargetNotice,
    TargetPick, TargetSelector,
};

const DRAIN: Duration = Duration::from_secs(5);
const ANSWER: RelayAttemptOutcome = RelayAttemptOutcome::Answered { load: None };

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
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

fn targets(service: &str, names: &[&str]) -> Vec<RelayTarget> {
    names.iter().map(|name| target(service, name)).collect()
}

/// Returns a selector with the given targets and a large budget.
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

fn leaving() -> TargetNotice {
    TargetNotice {
        leaves_within: Some(DRAIN),
        closed_for: None,
    }
}

fn closed_for(millis: u64) -> TargetNotice {
    TargetNotice {
        leaves_within: None,
        closed_for: Some(Duration::from_millis(millis)),
    }
}

fn pick(selector: &mut TargetSelector, now: MonoTime) -> TargetPick {
    let criteria = PickCriteria {
        service: &"s0".into(),
        tried: &[],
        ran: &[],
        targets_max: 2,
        skip_overloaded: false,
        choice: TargetChoice::Any,
        rank: RequestRank::FIRST,
        is_new: true,
        time_limit: None,
    };
    selector.pick(&criteria, now)
}

fn picked_id(selector: &mut TargetSelector, now: MonoTime) -> Option<Arc<str>> {
    match pick(selector, now) {
        TargetPick::Target { target, .. } => Some(Arc::clone(&target.id)),
        _ => None,
    }
}

fn params(shards: usize, start_ms: u64) -> RelayParams {
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
        soft_deadline: at(start_ms + 200),
        deadline: at(start_ms + 2_000),
        hedge_delay: Duration::from_millis(40),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
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

fn refusal(actions: &[RelayAction]) -> Option<RelayRefusal> {
    actions.iter().find_map(|action| match action {
        RelayAction::Finish(RelayOutcome::Refused(refusal)) => Some(*refusal),
        _ => None,
    })
}

#[test]
fn a_leaving_target_is_used_only_until_its_drain_and_only_without_another_one() {
    let mut selector = selector(targets("s0", &["a", "b"]));
    let change = selector.record_notice(&target("s0", "a"), leaving(), 0.5, at(1_000));
    assert_eq!(
        change,
        NoticeChange {
            leaving: true,
            closed: false
        }
    );
    // Far more load than on the other one does not bring it back.
    for _ in 0..50 {
        assert_eq!(picked_id(&mut selector, at(1_001)).as_deref(), Some("s0-b"));
        selector.attempt_sent(&target("s0", "b"), at(1_001));
    }
    selector.sync(targets("s0", &["a"]), |_| Some(300), at(1_100));
    assert_eq!(picked_id(&mut selector, at(5_999)).as_deref(), Some("s0-a"));
    assert_eq!(pick(&mut selector, at(6_000)), TargetPick::NoTarget);
    assert!(!selector.has_target("s0", at(6_000)));
}

#[test]
fn a_later_notice_does_not_let_a_leaving_target_stay_longer() {
    let mut selector = selector(targets("s0", &["a"]));
    for heard_ms in [1_000, 3_000, 5_999] {
        selector.record_notice(&target("s0", "a"), leaving(), 0.5, at(heard_ms));
    }
    assert_eq!(pick(&mut selector, at(6_000)), TargetPick::NoTarget);
}

/// Guards against late announcements: keepers stop listing a target that leaves, and an old
/// announcement, a change of its slots or a new list brings it back.
#[test]
fn an_incarnation_that_left_stays_left_whatever_keepers_list() {
    let mut selector = selector(targets("s0", &["a", "b"]));
    selector.record_notice(&target("s0", "a"), leaving(), 0.5, at(1_000));
    selector.sync(targets("s0", &["b"]), |_| Some(300), at(7_000));
    selector.sync(Vec::new(), |_| Some(300), at(8_000));
    selector.sync(targets("s0", &["a"]), |_| Some(300), at(9_000));
    assert_eq!(pick(&mut selector, at(9_001)), TargetPick::NoTarget);
    let more_slots = RelayTarget {
        slots: 9,
        ..target("s0", "a")
    };
    selector.sync(vec![more_slots], |_| Some(300), at(60_000));
    assert_eq!(pick(&mut selector, at(60_001)), TargetPick::NoTarget);
    let next = RelayTarget {
        born_ms: 2,
        ..target("s0", "a")
    };
    selector.sync(vec![next], |_| Some(300), at(61_000));
    assert_eq!(
        picked_id(&mut selector, at(61_001)).as_deref(),
        Some("s0-a")
    );
}

#[test]
fn a_notice_about_an_unlisted_target_holds_once_it_is_listed() {
    let mut selector = selector(targets("s0", &["b"]));
    selector.record_notice(&target("s0", "a"), leaving(), 0.5, at(1_000));
    selector.sync(targets("s0", &["a"]), |_| Some(300), at(7_000));
    assert_eq!(pick(&mut selector, at(7_001)), TargetPick::NoTarget);
}

#[test]
fn an_attempt_that_waits_for_a_connection_is_withheld_after_a_notice() {
    let mut selector = selector(targets("s0", &["a", "b"]));
    let (waiting, other) = (target("s0", "a"), target("s0", "b"));
    assert!(selector.may_send(
        &waiting,
        RequestFingerprint::default(),
        AttemptPermits::default(),
        at(10)
    ));
    selector.record_notice(&waiting, closed_for(2_000), 0.0, at(10));
    assert!(!selector.may_send(
        &waiting,
        RequestFingerprint::default(),
        AttemptPermits::default(),
        at(300)
    ));
    assert!(selector.may_send(
        &other,
        RequestFingerprint::default(),
        AttemptPermits::default(),
        at(300)
    ));
    assert!(selector.may_send(
        &waiting,
        RequestFingerprint::default(),
        AttemptPermits::default(),
        at(2_010)
    ));
    selector.record_notice(&waiting, leaving(), 0.0, at(3_000));
    assert!(selector.may_send(
        &waiting,
        RequestFingerprint::default(),
        AttemptPermits::default(),
        at(3_100)
    ));
    assert!(!selector.may_send(
        &waiting,
        RequestFingerprint::default(),
        AttemptPermits::default(),
        at(8_000)
    ));
}

/// A withheld attempt has not reached its target: the sub-request goes to another one, uncharged.
#[test]
fn a_withheld_attempt_is_sent_to_another_target() {
    let mut selector = selector(targets("s0", &["a", "b"]));
    let (mut run, actions) = RelayRun::start(params(1, 0), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let before = selector.extra_left("s0", at(1));
    selector.record_notice(&first.target, closed_for(3_000), 0.0, at(1));
    let withheld = RelayAttemptOutcome::Withheld;
    let actions = run.on_attempt_end(0, first.attempt, withheld, &mut selector, at(2));
    let second = sends(&actions).remove(0);
    assert_ne!(second.target.id, first.target.id);
    assert!(selector.extra_left("s0", at(2)) >= before);
}

#[test]
fn the_longest_time_asked_for_holds() {
    let mut selector = selector(targets("s0", &["a"]));
    let only = target("s0", "a");
    let first = selector.record_notice(&only, closed_for(5_000), 0.0, at(100));
    assert!(first.closed);
    let again = selector.record_notice(&only, closed_for(200), 0.0, at(200));
    assert_eq!(again, NoticeChange::default());
    // A refusal without a time, and a late answer, do not shorten it either.
    let sent_at = at(50);
    selector.attempt_sent(&only, sent_at);
    selector.attempt_sent(&only, sent_at);
    let refused = fulmarweir_route::AttemptSignal::Refused;
    selector.attempt_ended(&only, sent_at, refused, at(300));
    let answered = fulmarweir_route::AttemptSignal::Answered {
        latency: Duration::from_millis(20),
        load: None,
    };
    selector.attempt_ended(&only, sent_at, answered, at(400));
    assert_eq!(
        pick(&mut selector, at(5_099)),
        TargetPick::AllClosed(at(5_100))
    );
    assert_eq!(picked_id(&mut selector, at(5_100)).as_deref(), Some("s0-a"));
}

#[test]
fn hours_are_not_cut() {
    let mut selector = selector(targets("s0", &["a"]));
    let hours = closed_for(3 * 3_600_000);
    selector.record_notice(&target("s0", "a"), hours, 0.0, at(0));
    for now_ms in [1_000, 60_000, 3 * 3_600_000 - 1] {
        selector.sync(targets("s0", &["a"]), |_| Some(300), at(now_ms));
        assert!(matches!(
            pick(&mut selector, at(now_ms)),
            TargetPick::AllClosed(_)
        ));
    }
}

#[test]
fn hedges_and_retries_go_past_targets_that_have_asked_for_time() {
    let mut selector = selector(targets("s0", &["a", "b", "c"]));
    let (mut run, actions) = RelayRun::start(params(1, 0), &mut selector, at(0));
    let first = sends(&actions).remove(0);
    let closed = ["a", "b", "c"].map(|name| target("s0", name));
    let closed = closed.iter().find(|t| t.id != first.target.id).unwrap();
    selector.record_notice(closed, closed_for(5_000), 0.0, at(10));
    let mut asked = vec![Arc::clone(&first.target.id)];
    for now_ms in [40, 120, 200, 300, 400] {
        let actions = run.on_wake(&mut selector, at(now_ms));
        asked.extend(sends(&actions).iter().map(|s| Arc::clone(&s.target.id)));
    }
    assert!(asked.len() > 1, "a hedge is sent");
    assert!(!asked.contains(&closed.id), "{asked:?}");
}

#[test]
fn a_request_whose_targets_all_asked_for_time_is_refused_at_once_with_that_time() {
    let mut selector = selector(targets("s0", &["a", "b"]));
    selector.record_notice(&target("s0", "a"), closed_for(4_000), 0.0, at(0));
    selector.record_notice(&target("s0", "b"), closed_for(3_000), 0.0, at(0));
    let (_, actions) = RelayRun::start(params(1, 1_000), &mut selector, at(1_000));
    assert!(sends(&actions).is_empty());
    let refused = RelayRefusal {
        reason: RefusalReason::TargetsClosed,
        verdict: RunVerdict::NotRun,
        retry_after: Some(Duration::from_secs(2)),
    };
    assert_eq!(refusal(&actions), Some(refused));
}

/// A target that asks for time without saying that the request did not run leaves it unclear.
#[test]
fn a_failure_that_asks_for_time_may_have_run() {
    let mut selector = selector(targets("s0", &["a"]));
    let act = RelayParams {
        idempotent: false,
        ..params(1, 0)
    };
    let (mut run, actions) = RelayRun::start(act, &mut selector, at(0));
    let first = sends(&actions).remove(0);
    selector.record_notice(&first.target, closed_for(1_000), 0.0, at(5));
    let failed = RelayAttemptOutcome::FailureReply;
    let actions = run.on_attempt_end(0, first.attempt, failed, &mut selector, at(5));
    assert!(sends(&actions).is_empty());
    let forwarded = RelayOutcome::TargetFailure(AnswerSource::Attempt(first.attempt));
    assert!(matches!(&actions[..], [RelayAction::Finish(outcome)] if *outcome == forwarded));
    assert_eq!(run.verdict(), RunVerdict::MayHaveRun);
}

#[test]
fn a_request_waits_for_a_target_that_accepts_requests_soon() {
    let mut selector = selector(targets("s0", &["a"]));
    selector.record_notice(&target("s0", "a"), closed_for(60), 0.0, at(0));
    let (mut run, actions) = RelayRun::start(params(1, 0), &mut selector, at(0));
    assert!(refusal(&actions).is_none());
    let sent = sends(&run.on_wake(&mut selector, at(60)));
    assert_eq!(sent.len(), 1);
}

fn closed_shards(closed: usize) -> TargetSelector {
    let all = (0..4).flat_map(|shard| targets(&format!("s{shard}"), &["a", "b"]));
    let mut selector = selector(all.collect());
    for shard in 0..closed {
        for target in targets(&format!("s{shard}"), &["a", "b"]) {
            selector.record_notice(&target, closed_for(3_000), 0.0, at(0));
        }
    }
    selector
}

#[test]
fn a_search_goes_out_without_a_closed_shard_if_coverage_allows() {
    let mut selector = closed_shards(1);
    let (mut run, actions) = RelayRun::start(params(4, 100), &mut selector, at(100));
    let sent = sends(&actions);
    assert_eq!(sent.len(), 3);
    let mut last = Vec::new();
    for send in &sent {
        let (index, number) = (send.sub_request, send.attempt);
        last = run.on_attempt_end(index, number, ANSWER, &mut selector, at(120));
    }
    let answered = |action: &RelayAction| {
        matches!(action, RelayAction::Finish(RelayOutcome::Answered(parts))
            if parts.iter().flatten().count() == 3)
    };
    assert!(last.iter().any(answered), "no wait until the soft deadline");
}

/// Load pattern: half of the shards are closed. Searches that cannot be answered cost the other
/// half nothing.
#[test]
fn a_search_that_needs_closed_shards_is_refused_before_anything_is_sent() {
    let mut selector = closed_shards(2);
    let (_, actions) = RelayRun::start(params(4, 100), &mut selector, at(100));
    assert!(sends(&actions).is_empty());
    let refused = refusal(&actions).unwrap();
    assert_eq!(refused.reason, RefusalReason::TargetsClosed);
    assert_eq!(refused.verdict, RunVerdict::NotRun);
    assert_eq!(refused.retry_after, Some(Duration::from_millis(2_900)));
}

#[test]
fn refused_callers_are_told_different_times() {
    let mut selector = closed_shards(2);
    let mut times = Vec::new();
    for step in 0..=10_u32 {
        let spread = RelayParams {
            retry_spread: f64::from(step) / 10.0,
            ..params(4, 0)
        };
        let (_, actions) = RelayRun::start(spread, &mut selector, at(0));
        times.push(refusal(&actions).unwrap().retry_after.unwrap());
    }
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
    assert!(times[0] >= Duration::from_secs(3), "never too early");
    assert!(times[10] <= Duration::from_secs(4), "not much too late");
}

/// Load pattern: one target serves many VMs, each with requests waiting, and has asked all of them
/// for two seconds at the same moment.
#[test]
fn vms_return_one_request_at_a_time_and_not_in_the_same_moment() {
    const VMS: u32 = 60;
    const CLOSED_MS: u64 = 2_000;
    const WORK_MS: u64 = 20;
    let only = target("s0", "a");
    let mut vms: Vec<_> = (0..VMS).map(|_| selector(vec![only.clone()])).collect();
    for (number, vm) in (0_u32..).zip(&mut vms) {
        let spread = f64::from(number * 37 % VMS) / f64::from(VMS);
        vm.record_notice(&only, closed_for(CLOSED_MS), spread, at(0));
    }
    let mut arrivals: BTreeMap<u64, usize> = BTreeMap::new();
    let mut closed_arrivals = 0;
    for now_ms in 0..4_000 {
        for vm in &mut vms {
            // Each VM has several requests waiting for the target at every moment.
            for _ in 0..5 {
                if picked_id(vm, at(now_ms)).is_none() {
                    break;
                }
                closed_arrivals += usize::from(now_ms < CLOSED_MS);
                *arrivals.entry(now_ms / WORK_MS).or_default() += 1;
                vm.attempt_sent(&only, at(now_ms));
            }
        }
        if now_ms >= CLOSED_MS + 1_000 {
            break;
        }
    }
    assert_eq!(closed_arrivals, 0);
    // 60 VMs return within a second, each with one request until the target answers.
    let most = arrivals.values().max().copied().unwrap_or_default();
    assert!(most <= 3, "{most} requests within {WORK_MS} ms");
    assert_eq!(arrivals.values().sum::<usize>(), 60);
    let vm = &mut vms[0];
    let answered = fulmarweir_route::AttemptSignal::Answered {
        latency: Duration::from_millis(20),
        load: None,
    };
    vm.attempt_ended(&only, at(CLOSED_MS), answered, at(3_100));
    vm.attempt_sent(&only, at(3_100));
    assert!(picked_id(vm, at(3_101)).is_some(), "open again");
}
