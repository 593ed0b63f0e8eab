//! Tests of the limits of targets over all VMs of a deployment, as the targets count requests.

mod relay_fleet;

use std::{cell::RefCell, collections::HashMap, sync::Arc};

use arbtest::arbitrary::{Result, Unstructured};
use fulmarweir_route::{RelayAttemptOutcome, RelayTarget, StatedLimit};
use relay_fleet::{Fleet, LIMIT_SPAN_MS, Reaction, extra_limits};

const ANSWER: Reaction = (RelayAttemptOutcome::Answered { load: None }, 15);
const REFUSAL: Reaction = (RelayAttemptOutcome::Refused, 3);
/// When targets begin to name a limit.
const LIMITED_FROM_MS: u64 = 1_000;
/// From when requests are counted: VMs have been told for half a second.
const COUNTED_FROM_MS: u64 = 2_000;
const SEEDS: u64 = 40;

/// Returns the most requests in any 4 s that a target with this limit may get from all VMs.
fn allowed(limit: f64) -> f64 {
    1.5 * 4.0 * limit + 5.0
}

/// Returns reactions of targets that run one request at a time, which takes them 9 ms.
fn queueing() -> impl Fn(&RelayTarget, u64) -> Reaction {
    const RUN_MS: u64 = 9;
    let free_at: RefCell<HashMap<Arc<str>, u64>> = RefCell::default();
    move |target, now_ms| {
        let mut free_at = free_at.borrow_mut();
        let free_at = free_at.entry(Arc::clone(&target.id)).or_default();
        *free_at = now_ms.max(*free_at) + RUN_MS;
        (ANSWER.0, *free_at - now_ms + 1)
    }
}

/// Returns data centres for this number of VMs; every second one has the targets.
fn centres(vms: usize) -> Vec<&'static str> {
    ["a", "b"].into_iter().cycle().take(vms).collect()
}

/// Returns statements of the first targets of the first shard, which take `limit` from
/// `LIMITED_FROM_MS` on.
fn limited(limit: f64, targets: usize) -> impl Fn(&RelayTarget, u64) -> StatedLimit {
    move |target, now_ms| {
        let is_limited = (0..targets).any(|number| *target.id == format!("s0-{number}"));
        if is_limited && now_ms >= LIMITED_FROM_MS {
            StatedLimit::PerSecond(limit)
        } else {
            StatedLimit::None
        }
    }
}

/// Sends searches to all VMs in turn, some of which hand them over.
fn send_searches(fleet: &mut Fleet, from_ms: u64, until_ms: u64, per_second: u64) {
    let vms = fleet.vm_count();
    for number in 0..(until_ms - from_ms) * per_second / 1_000 {
        fleet.run_until(from_ms + number * 1_000 / per_second);
        let vm = usize::try_from(number).unwrap() * 7 % vms;
        fleet.search(vm, Some((vm + 3) % vms));
    }
    fleet.run_until(until_ms);
}

/// Asserts that a target got no more than its limit in any 4 s, and not much less.
#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn assert_limit_kept_and_used(fleet: &Fleet, target: &str, limit: f64, until_ms: u64) {
    let most = fleet.most_arrivals(target, COUNTED_FROM_MS, until_ms);
    assert!(most as f64 <= allowed(limit), "{most} at {target}");
    let span_s = (until_ms - COUNTED_FROM_MS) as f64 / 1_000.0;
    let used = fleet.arrival_times(target, COUNTED_FROM_MS, until_ms).len() as f64;
    let wanted = 0.8 * limit * span_s;
    assert!(used >= wanted, "{used} of {} at {target}", limit * span_s);
}

/// Load pattern: two of three targets of a shard take a part of what callers want.
#[test]
fn nine_vms_keep_to_the_limits_of_two_of_three_targets_and_fail_nothing() {
    let fleet = Fleet::new(&centres(9), 3, extra_limits(), queueing());
    let mut fleet = fleet.with_limits(3, limited(30.0, 2));
    send_searches(&mut fleet, 0, 12_000, 130);
    for target in ["s0-0", "s0-1"] {
        assert_limit_kept_and_used(&fleet, target, 30.0, 12_000);
    }
    assert_eq!(fleet.refused, 0);
}

/// Load pattern: all targets of a shard take less than callers want.
#[test]
fn three_hundred_vms_keep_to_limits_of_all_targets_and_use_them() {
    for (limit, until_ms) in [(1.0, 40_000), (4.0, 20_000), (20.0, 10_000)] {
        let fleet = Fleet::new(&centres(300), 3, extra_limits(), |_, _| ANSWER);
        let mut fleet = fleet.with_limits(5, limited(limit, 3));
        send_searches(&mut fleet, 0, until_ms, 240);
        for target in ["s0-0", "s0-1", "s0-2"] {
            assert_limit_kept_and_used(&fleet, target, limit, until_ms);
        }
    }
}

/// Load pattern: the limited targets refuse most of what they get, and refused requests count too.
#[test]
fn attempts_that_a_limited_target_refuses_count() {
    let refusing = |target: &RelayTarget, _| match &*target.id {
        "s0-0" => REFUSAL,
        _ => ANSWER,
    };
    let fleet = Fleet::new(&centres(9), 3, extra_limits(), refusing);
    let mut fleet = fleet.with_limits(3, limited(10.0, 1));
    send_searches(&mut fleet, 0, 10_000, 180);
    let most = fleet.most_arrivals("s0-0", COUNTED_FROM_MS, 10_000);
    assert!(most <= 65, "{most}");
}

/// Load pattern: VMs that never sent to a target begin to when the others are gone.
#[test]
fn vms_that_never_heard_a_limit_from_the_target_keep_to_it() {
    let fleet = Fleet::new(&centres(40), 1, extra_limits(), |_, _| ANSWER);
    let mut fleet = fleet.with_limits(3, limited(2.0, 1));
    for number in 0..400 {
        fleet.run_until(number * 10);
        fleet.search(1, None);
    }
    fleet.kill(1);
    send_searches(&mut fleet, 4_000, 10_000, 200);
    let most = fleet.most_arrivals("s0-0", COUNTED_FROM_MS, 10_000);
    assert!(most <= 17, "{most}");
}

/// Load pattern: a limit falls, rises and ends while VMs hold permits for the earlier one.
#[test]
#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn a_limit_that_changes_is_followed() {
    let stated = |target: &RelayTarget, now_ms: u64| match now_ms / 1_000 {
        _ if *target.id != *"s0-0" => StatedLimit::None,
        1..=5 => StatedLimit::PerSecond(40.0),
        6..=11 => StatedLimit::PerSecond(5.0),
        12..=16 => StatedLimit::PerSecond(20.0),
        _ => StatedLimit::None,
    };
    let fleet = Fleet::new(&centres(12), 1, extra_limits(), |_, _| ANSWER);
    let mut fleet = fleet.with_limits(3, stated);
    send_searches(&mut fleet, 0, 20_000, 120);
    for (limit, from_ms, until_ms) in [(40.0, 2_000, 6_000), (5.0, 6_500, 12_000)] {
        let most = fleet.most_arrivals("s0-0", from_ms, until_ms);
        assert!(most as f64 <= allowed(limit), "{most} at {limit}");
    }
    let raised = fleet.arrival_times("s0-0", 13_000, 17_000).len();
    assert!((64..=125).contains(&raised), "{raised}");
    let unlimited = fleet.arrival_times("s0-0", 18_000, 20_000).len();
    assert!(unlimited >= 230, "{unlimited}");
}

/// Load pattern: every VM asks for permits that there are too few of.
#[test]
fn three_hundred_vms_send_keepers_a_bounded_number_of_calls() {
    let fleet = Fleet::new(&centres(300), 3, extra_limits(), |_, _| ANSWER);
    let mut fleet = fleet.with_limits(5, limited(10.0, 3));
    send_searches(&mut fleet, 0, 10_000, 240);
    // Half of the 2 KB a second that a VM may spend on control, at 250 bytes a call.
    let calls = fleet.permit_calls;
    assert!(calls < 300 * 4 * 9, "{calls} calls in 9 s");
}

/// Limits, keepers and VMs that change at random.
#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn keeps_to_limits(u: &mut Unstructured<'_>) -> Result<()> {
    let limit = f64::from(*u.choose(&[1_u32, 2, 5, 15, 40])?);
    let targets = u.int_in_range(1..=3)?;
    let vms = u.int_in_range(3..=40)?;
    let keepers = u.int_in_range(1..=5)?;
    let per_second = u.int_in_range(20..=200)?;
    let fleet = Fleet::new(&centres(vms), targets, extra_limits(), |_, _| ANSWER);
    let mut fleet = fleet.with_limits(keepers, limited(limit, targets));
    let mut now_ms = 0;
    let mut down: Option<usize> = None;
    while now_ms < 14_000 {
        let until_ms = now_ms + u.int_in_range(300..=2_500)?;
        send_searches(&mut fleet, now_ms, until_ms, per_second);
        now_ms = until_ms;
        let vm = u.choose_index(vms)?;
        let keeper = u.choose_index(keepers)?;
        match u.int_in_range(0..=5)? {
            0 => fleet.kill(vm),
            1 => fleet.restart(vm),
            2 => fleet.share_vm_count(),
            3 => {
                if let Some(keeper) = down.replace(keeper) {
                    fleet.restart_keeper(keeper);
                }
                fleet.kill_keeper(keeper);
            }
            4 => fleet.restart_keeper(keeper),
            _ => {}
        }
    }
    for number in 0..targets {
        let target = format!("s0-{number}");
        let most = fleet.most_arrivals(&target, COUNTED_FROM_MS, now_ms);
        assert!(
            most as f64 <= allowed(limit),
            "{most} at {target}, limit {limit}"
        );
    }
    Ok(())
}

#[test]
fn targets_get_no_more_than_their_limits_while_vms_and_keepers_fail() {
    assert_eq!(LIMIT_SPAN_MS, 4_000);
    for seed in 1..=SEEDS {
        // arbtest reads the size of the random input in bytes from the low 32 bits of a seed.
        arbtest::arbtest(keeps_to_limits).seed((seed << 32) | 4_096);
    }
}
