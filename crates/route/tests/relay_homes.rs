//! Tests of the rule for home regions, and of the parts that choose targets and VMs by it.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_conf::{
    ExtraAttemptLimits, RouteDestination, RouteRule, TenantRule, WeightedService,
};
use fulmarweir_route::{
    AttemptPermits, AttemptSignal, BrokerEndpoint, BrokerSelector, GroupOutcome, LinkExamination,
    LinkTask, Locality, PlacementRule, RefusalReason, RelayAction, RelayAttempt,
    RelayAttemptOutcome, RelayOutcome, RelayParams, RelayRun, RelayTarget, RequestFingerprint,
    RequestOrigin, TargetSelector,
};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn names(regions: &[&str]) -> Vec<Arc<str>> {
    regions.iter().map(|region| (*region).into()).collect()
}

fn rule(route: &[&str], tenant: &[&str]) -> PlacementRule {
    PlacementRule::within(&names(route), &names(tenant))
}

/// Returns a target whose data centre has the name of its region.
fn target(service: &str, region: &str, locality: Locality) -> RelayTarget {
    let port = 100 * u16::from(service.as_bytes()[1]) + u16::from(region.as_bytes()[0]);
    RelayTarget {
        id: format!("{service}-{region}").into(),
        service: service.into(),
        address: ([10, 0, 0, 1], port).into(),
        centre: region.into(),
        region: region.into(),
        locality,
        slots: 3,
        born_ms: 1,
        warm_up_ms: 0,
    }
}

fn selector(targets: Vec<RelayTarget>) -> TargetSelector {
    let limits = ExtraAttemptLimits {
        share: 0.2,
        burst: 50.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, at(0));
    selector.sync(targets, |_| None, at(0));
    selector
}

fn params(services: &[&str], placement: PlacementRule) -> RelayParams {
    RelayParams {
        fingerprint: RequestFingerprint::default(),
        placement,
        services: names(services),
        idempotent: true,
        targets_max: 2,
        priority: 0,
        coverage_min: 1.0,
        origin: RequestOrigin::default(),
        is_handover: false,
        soft_deadline: at(200),
        deadline: at(1_000),
        hedge_delay: Duration::from_millis(40),
        handover_groups: Vec::new(),
        lent_extra: Vec::new(),
        reserved_centre: None,
        retry_spread: 0.0,
    }
}

fn sent(actions: &[RelayAction]) -> Vec<&RelayAttempt> {
    let sent = actions.iter().filter_map(|action| match action {
        RelayAction::Send(attempt) => Some(attempt),
        _ => None,
    });
    sent.collect()
}

fn refusal(actions: &[RelayAction]) -> Option<(RefusalReason, RunVerdict, Duration)> {
    actions.iter().find_map(|action| match action {
        RelayAction::Finish(RelayOutcome::Refused(refusal)) => {
            let retry_after = refusal.retry_after.unwrap();
            Some((refusal.reason, refusal.verdict, retry_after))
        }
        _ => None,
    })
}

const HOME_BOUND: (RefusalReason, RunVerdict, Duration) = (
    RefusalReason::HomeBound,
    RunVerdict::NotRun,
    Duration::from_secs(1),
);

#[test]
fn an_empty_rule_allows_all_regions() {
    let anywhere = rule(&[], &[]);
    assert!(anywhere.is_unrestricted() && anywhere.allows("north"));
    assert!(anywhere.allows_vm("north", || false));
    assert_eq!(anywhere, PlacementRule::default());
}

/// Guards against an intersection without regions that is taken for a rule without regions.
#[test]
fn a_rule_allows_the_regions_that_route_and_tenant_have_in_common() {
    for (route, tenant, allowed) in [
        (&["north"][..], &[][..], &["north"][..]),
        (&[], &["south"], &["south"]),
        (&["north", "south"], &["south", "west"], &["south"]),
        (&["north"], &["south"], &[]),
        (&["north", "north"], &["north"], &["north"]),
    ] {
        let rule = rule(route, tenant);
        assert!(!rule.is_unrestricted());
        for region in ["north", "south", "west", "", "nort"] {
            assert_eq!(
                rule.allows(region),
                allowed.contains(&region),
                "{route:?} {tenant:?} {region}"
            );
        }
    }
    assert_eq!(rule(&["a", "b"], &[]), rule(&[], &["b", "a", "b"]));
    assert_eq!(rule(&["b", "a"], &[]).label(), "a,b");
}

#[test]
fn the_rule_of_a_request_comes_from_its_route_and_its_tenant() {
    let service = WeightedService {
        service: "s0".into(),
        weight: 1.0,
    };
    let route = RouteRule {
        name: "r".into(),
        host: "r".into(),
        prefix: "/".into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        priority: 0,
        targets_max: 1,
        anonymous: false,
        home_regions: names(&["north", "south"]),
        destination: RouteDestination::Split(vec![service]),
    };
    let tenant = TenantRule {
        ordinal: 0,
        name: "t".into(),
        keys: Vec::new(),
        priority: None,
        quota: None,
        home_regions: names(&["south"]),
    };
    let alone = PlacementRule::of(&route, None);
    assert_eq!(alone, rule(&["north", "south"], &[]));
    let both = PlacementRule::of(&route, Some(&tenant));
    assert_eq!(both, rule(&["south"], &[]));
}

/// Guards against a request with home regions at a VM that does not know them.
#[test]
fn a_vm_takes_a_request_with_homes_only_in_these_and_with_the_newest_protocol() {
    let rule = rule(&["north"], &[]);
    assert!(rule.allows_vm("north", || true));
    assert!(!rule.allows_vm("north", || false));
    assert!(!rule.allows_vm("south", || true));
}

/// Guards against an attempt that waited for a connection when its target's region was found to be
/// another one.
#[test]
fn the_check_before_sending_stops_attempts_at_targets_outside() {
    let outside = target("s0", "south", Locality::Far);
    let mut selector = selector(vec![outside.clone()]);
    let fingerprint = RequestFingerprint::default();
    let mut may_send = |rule: &PlacementRule| {
        selector.may_send(
            &outside,
            (fingerprint, rule),
            AttemptPermits::default(),
            at(1),
        )
    };
    assert!(!may_send(&rule(&["north"], &[])));
    assert!(may_send(&rule(&["south"], &[])));
    assert!(may_send(&PlacementRule::default()));
}

#[test]
fn brokers_and_helpers_are_chosen_among_those_that_may_take_a_request() {
    let mut brokers = BrokerSelector::default();
    let endpoint = |host: u8, centre: &str| BrokerEndpoint {
        address: ([10, 0, 0, host], 7_904).into(),
        centre: centre.into(),
    };
    let known = [
        endpoint(1, "north"),
        endpoint(2, "north"),
        endpoint(3, "south"),
    ];
    brokers.sync(&known, at(0));
    for broker in &known {
        brokers.record_probe(broker.address, Some(true), at(1));
    }
    let speaks_newest = |vm: &BrokerEndpoint| vm.address != known[0].address;
    let rule = rule(&["north"], &[]);
    let may_take = |vm: &BrokerEndpoint| rule.allows_vm(&vm.centre, || speaks_newest(vm));
    for _ in 0..20 {
        let broker = brokers.choose(&"north".into(), &"s0".into(), may_take, at(2));
        assert_eq!(broker, Some(known[1].address));
        let helper = brokers.choose_helper(|_| Locality::Centre, may_take, &[], at(2));
        assert_eq!(helper, Some(known[1].clone()));
        assert_eq!(
            brokers.choose(&"south".into(), &"s0".into(), may_take, at(2)),
            None
        );
    }
    let tried = [known[1].address];
    let none = brokers.choose_helper(|_| Locality::Centre, may_take, &tried, at(2));
    assert_eq!(none, None);
}

#[test]
fn shards_are_grouped_by_their_nearest_targets_at_home() {
    let services = names(&["s0", "s1", "s2", "s3"]);
    let near = services
        .iter()
        .map(|s| target(s, "south", Locality::Region));
    let far = services.iter().map(|s| target(s, "north", Locality::Far));
    let selector = selector(near.chain(far).collect());
    let groups = |rule: &PlacementRule| {
        let usual = selector.shard_groups(&services, rule, at(0));
        let for_helpers = selector.helper_groups(&services, rule, at(0));
        (
            usual.len(),
            for_helpers.first().map(|group| group.centre.to_string()),
        )
    };
    assert_eq!(groups(&PlacementRule::default()), (1, Some("south".into())));
    assert_eq!(groups(&rule(&["north"], &[])), (0, Some("north".into())));
    assert_eq!(groups(&rule(&["west"], &[])), (0, None));
}

/// Guards against a fallback target outside, which this VM uses while a broker is silent.
#[test]
fn the_fallback_target_is_at_home() {
    let selector = selector(vec![target("s0", "south", Locality::Centre)]);
    let fallback = |rule: &PlacementRule| selector.fallback_target("s0", "south", rule, at(0));
    assert_eq!(fallback(&rule(&["south"], &[])), Some("s0-south".into()));
    assert_eq!(fallback(&rule(&["north"], &[])), None);
}

/// Guards against a retry or hedge that goes to the nearer target of another region.
#[test]
fn attempts_after_failures_stay_at_home_and_the_last_one_refuses() {
    let targets = vec![
        target("s0", "south", Locality::Centre),
        target("s0", "north", Locality::Far),
    ];
    let mut selector = selector(targets);
    let params = params(&["s0"], rule(&["north"], &[]));
    let (mut run, actions) = RelayRun::start(params, &mut selector, at(0));
    let first = sent(&actions);
    assert_eq!(first.len(), 1);
    assert_eq!(&*first[0].target.id, "s0-north");
    let hedges = run.on_wake(&mut selector, at(40));
    assert!(sent(&hedges).is_empty(), "{hedges:?}");
    let unreachable = RelayAttemptOutcome::Unreachable;
    let actions = run.on_attempt_end(0, 0, unreachable, &mut selector, at(41));
    assert_eq!(refusal(&actions), Some(HOME_BOUND));
    assert_eq!(run.home_bound_services().count(), 1);
}

/// Load pattern: a target closes each new connection, as one over its connection limit does. It counts as
/// out of reach unless it works on another attempt, and until it replies to one.
#[test]
fn a_target_that_closes_connections_is_out_of_reach_until_it_replies() {
    let only = target("s0", "north", Locality::Centre);
    let homes = rule(&["north"], &[]);
    let mut selector = selector(vec![only.clone()]);
    let out_of_reach =
        |selector: &TargetSelector, ms| selector.is_out_of_reach("s0", &homes, at(ms));
    let end = |selector: &mut TargetSelector, sent_ms: u64, signal, ms: u64| {
        selector.attempt_ended(&only, at(sent_ms), signal, at(ms));
    };
    selector.attempt_sent(&only, at(0));
    selector.attempt_sent(&only, at(1));
    end(&mut selector, 1, AttemptSignal::OverLimit, 2);
    assert!(!out_of_reach(&selector, 2), "it works on another attempt");
    end(&mut selector, 0, AttemptSignal::OverLimit, 3);
    assert!(out_of_reach(&selector, 3));
    assert!(!out_of_reach(&selector, 200), "one attempt finds out");
    selector.attempt_sent(&only, at(200));
    assert!(out_of_reach(&selector, 201), "the others do not wait");
    end(&mut selector, 200, AttemptSignal::Refused, 202);
    assert!(!out_of_reach(&selector, 202), "it has replied");
    let anywhere = PlacementRule::default();
    assert!(!selector.is_out_of_reach("unknown", &anywhere, at(0)));
}

/// Guards against a search whose caller is told that it may have run, since one shard was found to be
/// out of reach while others waited for connections.
#[test]
fn a_search_whose_targets_go_down_waits_for_its_attempts_and_has_not_run() {
    let services = ["s0", "s1"];
    let targets = services.map(|service| target(service, "north", Locality::Centre));
    let mut selector = selector(targets.to_vec());
    let params = params(&services, rule(&["north"], &[]));
    let (mut run, actions) = RelayRun::start(params, &mut selector, at(0));
    assert_eq!(sent(&actions).len(), 2);
    let unreachable = RelayAttemptOutcome::Unreachable;
    let actions = run.on_attempt_end(0, 0, unreachable, &mut selector, at(1));
    assert_eq!(refusal(&actions), None, "the other one may be running");
    let actions = run.on_attempt_end(1, 1, unreachable, &mut selector, at(2));
    assert_eq!(refusal(&actions), Some(HOME_BOUND));
}

/// Guards against a request at a VM without links that goes to any VM, or waits, if none at home takes it.
#[test]
fn a_request_at_a_vm_without_links_is_refused_if_no_vm_at_home_takes_it() {
    let targets = vec![
        target("s0", "north", Locality::Far),
        target("s0", "south", Locality::Centre),
    ];
    let mut selector = selector(targets);
    lose_links(&mut selector);
    let mut params = params(&["s0"], rule(&["north"], &[]));
    params.soft_deadline = at(5_200);
    params.deadline = at(6_000);
    let (mut run, actions) = RelayRun::start(params, &mut selector, at(5_000));
    assert!(
        matches!(actions[0], RelayAction::HandOver(0)),
        "{actions:?}"
    );
    assert_eq!(&*run.handover_group(0).centre, "north");
    let not_taken = GroupOutcome::default();
    let actions = run.on_group_end(0, &not_taken, &mut selector, at(5_001));
    assert_eq!(refusal(&actions), Some(HOME_BOUND));
}

/// Has the selector find out that its VM reaches no target, while another VM does.
fn lose_links(selector: &mut TargetSelector) {
    for number in 0..4 {
        let now_ms = 10 * number;
        let params = params(&["s0"], PlacementRule::default());
        let (mut run, actions) = RelayRun::start(params, selector, at(now_ms));
        let attempts: Vec<u32> = sent(&actions).iter().map(|a| a.attempt).collect();
        for attempt in attempts {
            let unreachable = RelayAttemptOutcome::Unreachable;
            run.on_attempt_end(0, attempt, unreachable, selector, at(now_ms + 1));
        }
    }
    let task = (0..500).find_map(|step| selector.next_link_task(at(50 + step)));
    assert!(matches!(task, Some(LinkTask::Examine(_))), "{task:?}");
    let found = LinkExamination {
        probed: 2,
        connected: 0,
        replied: 0,
        connected_by_others: 2,
        replied_by_others: 2,
        witnesses: 1,
    };
    selector.record_examination(found, at(600));
    assert!(selector.links().are_unusable());
}
