//! Tests of requests with home regions, over all VMs of a deployment.

mod relay_fleet;

use std::{sync::Arc, time::Duration};

use fulmarweir_base::RunVerdict;
use fulmarweir_route::{
    PlacementRule, RefusalReason, RelayAttemptOutcome, RelayTarget, StatedLimit,
};
use relay_fleet::{Fleet, ModelOutcome, ModelRequest, Reaction, SHARDS, extra_limits};

const SEEDS: u64 = 20;
const VMS: usize = 12;
const DISTURBED_FROM_MS: u64 = 12_000;
const DISTURBED_UNTIL_MS: u64 = 20_000;
const END_MS: u64 = 24_000;
const EVERY_MS: u64 = 6;
/// Time until a refusal that must come at once; a connection is refused within 1 ms, and each of the
/// targets of a region may be tried once.
const AT_ONCE_MS: u64 = 10;
/// Time after which a VM gives up to open a connection.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Longest time until a target that was down is tried again.
const DOWN_MAX_MS: u64 = 2_000;

fn homes(regions: &[&str]) -> Vec<Arc<str>> {
    regions.iter().map(|region| (*region).into()).collect()
}

/// Returns the rule of a route with these home regions.
fn within(regions: &[&str]) -> PlacementRule {
    PlacementRule::within(&homes(regions), &[])
}

/// Targets of which one in 12 attempts is refused, one in 40 breaks, one in 40 fails and one in 10
/// pauses for longer than a hedge waits.
fn troubled(seed: u64) -> impl Fn(&RelayTarget, u64) -> Reaction {
    move |target, now_ms| {
        let mixed =
            (now_ms * 2_654_435_761 + u64::from(target.address.port()) * 40_503 + seed) % 1_000_003;
        match mixed % 120 {
            0..10 => (RelayAttemptOutcome::Refused, 2),
            10..13 => (RelayAttemptOutcome::Broken, 5),
            13..16 => (RelayAttemptOutcome::FailureReply, 5),
            16..28 => (RelayAttemptOutcome::Answered { load: None }, 250),
            _ => (RelayAttemptOutcome::Answered { load: None }, 8 + mixed % 23),
        }
    }
}

fn healthy(_: &RelayTarget, now_ms: u64) -> Reaction {
    (
        RelayAttemptOutcome::Answered { load: None },
        8 + now_ms % 13,
    )
}

/// Data centres of the VMs, of which two are in each region.
const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns VMs in all data centres, and targets in `targets`.
fn fleet(
    targets: &[&'static str],
    reactions: impl Fn(&RelayTarget, u64) -> Reaction + 'static,
) -> Fleet {
    let vms: Vec<&str> = CENTRES.into_iter().cycle().take(VMS).collect();
    let mut fleet = Fleet::new(&vms, 4, extra_limits(), reactions);
    fleet.homes.target_centres = targets.to_vec();
    fleet.share_vm_count();
    fleet
}

/// Sends searches, lookups and acts to all VMs in turn, with the given rules in turn.
fn send(fleet: &mut Fleet, rules: &[PlacementRule], from_ms: u64, until_ms: u64) {
    for number in 0..(until_ms - from_ms) / EVERY_MS {
        fleet.run_until(from_ms + number * EVERY_MS);
        let number = usize::try_from(number).unwrap();
        let path = format!("/{from_ms}/{number}");
        let placement = rules[number % (VMS + 1) % rules.len()].clone();
        let kind = match (number / VMS) % 3 {
            0 => ModelRequest::search(&path),
            1 => ModelRequest::lookup(&path),
            _ => ModelRequest {
                idempotent: false,
                ..ModelRequest::lookup(&path)
            },
        };
        let request = ModelRequest { placement, ..kind };
        fleet.request(number % VMS, Some((number + 1) % VMS), &request);
    }
}

/// Guards against a path out of a VM that does not check the rule: hedges, retries, brokers that are
/// killed, helpers of VMs without links, VMs of an old build, and targets with a limit.
#[test]
fn requests_with_home_regions_reach_no_target_or_vm_elsewhere() {
    let rules = [
        within(&["north"]),
        PlacementRule::default(),
        within(&["south"]),
        PlacementRule::within(&homes(&["north", "south"]), &homes(&["south"])),
    ];
    for seed in 0..SEEDS {
        let limited = move |target: &RelayTarget, _: u64| {
            if seed % 4 == 3 && target.address.port().is_multiple_of(100) {
                StatedLimit::PerSecond(20.0)
            } else {
                StatedLimit::None
            }
        };
        // Without targets of their own, the VMs in `a` and `c` hand searches over.
        let targets: &[&str] = if seed % 2 == 0 { &CENTRES } else { &["b", "d"] };
        let fleet = fleet(targets, troubled(seed));
        let mut fleet = fleet.with_limits(3, limited).with_links();
        // One of each data centre, so that brokers remain.
        fleet.homes.old_vms = (0..4).collect();
        let old_vms = fleet.homes.old_vms.clone();
        send(&mut fleet, &rules, 0, DISTURBED_FROM_MS);
        let is_cut = |vm: &usize| (*vm as u64 + seed) % 3 == 1 && !old_vms.contains(vm);
        fleet.links.cut = (0..VMS).filter(is_cut).collect();
        for step in 0..8 {
            let from_ms = DISTURBED_FROM_MS + step * 1_000;
            let killed = usize::try_from((step * 5 + seed) % VMS as u64).unwrap();
            fleet.kill(killed);
            send(&mut fleet, &rules, from_ms, from_ms + 500);
            fleet.restart(killed);
            fleet.share_vm_count();
            send(&mut fleet, &rules, from_ms + 500, from_ms + 1_000);
        }
        fleet.links.cut.clear();
        send(&mut fleet, &rules, DISTURBED_UNTIL_MS, END_MS);
        fleet.run_until(END_MS + 12_000);
        fleet.assert_within_homes();
        fleet.assert_targets_max(2);
        fleet.assert_acts_run_once();
        fleet.assert_not_run_is_true();
        let handed_over = fleet.homes.handed_over();
        assert!(
            fleet.home_arrivals() > 2_000 && handed_over > 100 && fleet.links.handovers > 100,
            "seed {seed}: {} arrivals, {handed_over} and {} handovers test nothing",
            fleet.home_arrivals(),
            fleet.links.handovers
        );
        let answered = fleet.outcomes.iter().filter(|o| o.is_answered).count();
        assert!(
            10 * answered > 8 * fleet.outcomes.len(),
            "seed {seed}: {answered} of {} answered",
            fleet.outcomes.len()
        );
    }
}

fn assert_home_bound(outcome: &ModelOutcome) {
    let refusal = outcome.refusal.expect("refused");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (RefusalReason::HomeBound, RunVerdict::NotRun),
        "at {} ms",
        outcome.started_ms
    );
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(1));
}

/// Runs requests for `north`, whose targets accept no connections for a time, and returns the outcomes
/// of those that started a second or more after the start of that.
fn play_outage(seed: u64, connect_ms: u64) -> Vec<ModelOutcome> {
    let reactions = move |target: &RelayTarget, now_ms: u64| {
        let is_down = (DISTURBED_FROM_MS..DISTURBED_UNTIL_MS).contains(&now_ms);
        if is_down && &*target.region == "north" {
            return (RelayAttemptOutcome::Unreachable, connect_ms);
        }
        healthy(target, now_ms + seed)
    };
    let mut fleet = fleet(&CENTRES, reactions);
    send(&mut fleet, &[within(&["north"])], 0, END_MS);
    fleet.run_until(END_MS + 2_000);
    fleet.assert_within_homes();
    fleet.assert_not_run_is_true();
    let back_ms = DISTURBED_UNTIL_MS + DOWN_MAX_MS + CONNECT_TIMEOUT_MS;
    let mut late = fleet.outcomes.iter().filter(|o| o.started_ms > back_ms);
    assert!(late.all(|o| o.is_answered), "seed {seed}: targets are back");
    let judged = DISTURBED_FROM_MS + 1_000..DISTURBED_UNTIL_MS - 1_000;
    let outcomes = std::mem::take(&mut fleet.outcomes).into_iter();
    outcomes
        .filter(|outcome| judged.contains(&outcome.started_ms))
        .collect()
}

/// Guards against requests that wait for targets of their home regions until their deadline.
#[test]
fn requests_are_refused_at_once_while_all_targets_at_home_refuse_connections() {
    for seed in 0..SEEDS {
        let outcomes = play_outage(seed, 1);
        assert!(outcomes.len() > 900);
        for outcome in &outcomes {
            assert_home_bound(outcome);
            let took_ms = outcome.took_ms;
            assert!(took_ms <= AT_ONCE_MS, "seed {seed}: {took_ms} ms");
        }
    }
}

/// Load pattern: connections to a whole region hang, so an attempt fails after 400 ms only. One request
/// at a time finds out whether a target is back; the others are refused at once.
#[test]
fn requests_are_refused_at_once_while_connections_to_targets_at_home_hang() {
    for seed in 0..SEEDS {
        let outcomes = play_outage(seed, CONNECT_TIMEOUT_MS);
        let (at_once, late): (Vec<_>, Vec<_>) =
            outcomes.iter().partition(|o| o.took_ms <= AT_ONCE_MS);
        at_once.iter().copied().for_each(assert_home_bound);
        assert!(
            10 * late.len() < outcomes.len(),
            "seed {seed}: {} of {} waited",
            late.len(),
            outcomes.len()
        );
    }
}

/// Guards against a search that waits for shards without a target at home, or has them answered from
/// elsewhere.
#[test]
fn a_search_omits_shards_without_targets_at_home_if_its_coverage_allows() {
    let mut fleet = fleet(&["b", "d"], healthy);
    fleet.homes.without = vec![(3, "south")];
    fleet.share_vm_count();
    for number in 0..600_u64 {
        fleet.run_until(number * EVERY_MS);
        let vm = usize::try_from(number).unwrap() % (VMS + 1) % VMS;
        let request = ModelRequest {
            placement: within(&["south"]),
            coverage_min: if number % 2 == 0 { 0.75 } else { 0.95 },
            ..ModelRequest::search(&format!("/{number}"))
        };
        fleet.request(vm, Some((vm + 1) % VMS), &request);
    }
    fleet.run_until(10_000);
    fleet.assert_within_homes();
    let (answered, refused): (Vec<_>, Vec<_>) = fleet.outcomes.iter().partition(|o| o.is_answered);
    assert_eq!((answered.len(), refused.len()), (300, 300));
    for outcome in answered {
        assert_eq!(outcome.missing, 1, "of {SHARDS} shards");
        assert!(outcome.took_ms < 100, "{} ms", outcome.took_ms);
    }
    let arrived = fleet.arrived_requests();
    for outcome in refused {
        assert_home_bound(outcome);
        assert_eq!(outcome.took_ms, 0);
        assert!(!arrived.contains(&outcome.request));
    }
}

/// Guards against a rule without a region in common that allows all regions.
#[test]
fn requests_whose_route_and_tenant_have_no_region_in_common_run_nowhere() {
    let mut fleet = fleet(&CENTRES, healthy).with_links();
    let nowhere = PlacementRule::within(&homes(&["north"]), &homes(&["south"]));
    send(&mut fleet, &[nowhere], 0, 2_000);
    fleet.run_until(4_000);
    assert_eq!((fleet.home_arrivals(), fleet.homes.handed_over()), (0, 0));
    for outcome in &fleet.outcomes {
        assert_home_bound(outcome);
        assert_eq!(outcome.took_ms, 0);
    }
}
