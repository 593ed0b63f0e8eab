//! Tests of the budget of extra attempts over all VMs of a deployment, as its targets count them.

mod relay_fleet;

use arbtest::arbitrary::{Result, Unstructured};
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{RelayAttemptOutcome, RelayTarget};
use relay_fleet::{Fleet, Reaction, extra_limits};

const ANSWER: Reaction = (RelayAttemptOutcome::Answered { load: None }, 10);
const REFUSAL: Reaction = (RelayAttemptOutcome::Refused, 2);
/// A reset that came too soon for a run, though the target had read the request.
const EARLY_RESET: Reaction = (RelayAttemptOutcome::Rejected, 2);
const OVER_LIMIT: Reaction = (RelayAttemptOutcome::OverLimit, 5);
const HANG: Reaction = (RelayAttemptOutcome::Broken, 3_000);
/// The data centres of eight VMs; those in `a` hand searches over.
const CENTRES: [&str; 8] = ["a", "b", "a", "b", "a", "b", "a", "b"];
/// Pause between two searches at which the burst is most of the budget.
const SPARSE_MS: u64 = 50;
const DENSE_MS: u64 = 8;
/// Seeds of the property of the whole fleet.
const SEEDS: u64 = 60;

/// Returns reactions of targets that answer, but those of the first shard from a time on.
fn first_shard(reaction: Reaction, from_ms: u64) -> impl Fn(&RelayTarget, u64) -> Reaction {
    move |target, now_ms| match &*target.service {
        "s0" if now_ms >= from_ms => reaction,
        _ => ANSWER,
    }
}

/// Sends searches to all VMs in turn.
fn send_searches(fleet: &mut Fleet, from_ms: u64, until_ms: u64, period_ms: u64) {
    let vms = fleet.vm_count();
    let mut now_ms = from_ms;
    for number in 0.. {
        if now_ms >= until_ms {
            break;
        }
        fleet.run_until(now_ms);
        fleet.search(number % vms, Some((number * 7 + 3) % vms));
        now_ms += period_ms;
    }
    fleet.run_until(until_ms);
}

/// Load pattern: the last target of a shard refuses most attempts, so that brokers return the shard
/// unanswered.
#[test]
fn shards_refused_at_a_broker_are_charged_when_their_origin_sends_them_again() {
    let mut fleet = Fleet::new(&CENTRES, 1, extra_limits(), first_shard(REFUSAL, 0));
    send_searches(&mut fleet, 0, 25_000, DENSE_MS);
    fleet.assert_within_budget();
    assert!(fleet.extra_count(0) > 300, "the budget is used");
}

/// Load pattern: targets hang, and VMs fail and restart while others send hedges.
#[test]
fn a_restarted_vm_does_not_spend_the_burst_again() {
    let mut fleet = Fleet::new(&CENTRES, 3, extra_limits(), first_shard(HANG, 20_000));
    send_searches(&mut fleet, 0, 23_000, SPARSE_MS);
    for vm in 0..fleet.vm_count() {
        fleet.restart(vm);
    }
    fleet.share_vm_count();
    send_searches(&mut fleet, 23_000, 45_000, SPARSE_MS);
    fleet.assert_within_budget();
    assert!(fleet.extra_count(0) > 70, "the budget is used");
}

/// Load pattern: targets hang, and all searches reach VMs that hand them over. The brokers may send
/// what the burst allows all VMs.
#[test]
fn brokers_use_the_burst_of_the_vms_that_hand_over() {
    let limits = ExtraAttemptLimits {
        share: 0.0,
        ..extra_limits()
    };
    let mut fleet = Fleet::new(&CENTRES, 3, limits, first_shard(HANG, 0));
    for number in 0..60 {
        fleet.run_until(number * 100);
        let vm = usize::try_from(number).unwrap() * 2 % CENTRES.len();
        fleet.search(vm, Some(vm + 1));
    }
    fleet.run_until(10_000);
    fleet.assert_within_budget();
    // Without loans, brokers send at most 85% of their own parts, which are half of the burst.
    let sent = fleet.extra_by_brokers(0);
    assert!(sent > 26, "{sent} extra arrivals from brokers");
}

/// Load pattern: half of the VMs fail while targets hang.
#[test]
fn the_burst_of_failed_vms_is_not_spent_again_within_the_window() {
    let mut fleet = Fleet::new(&CENTRES, 3, extra_limits(), first_shard(HANG, 20_000));
    send_searches(&mut fleet, 0, 23_000, SPARSE_MS);
    for vm in (0..fleet.vm_count()).step_by(2) {
        fleet.kill(vm);
    }
    fleet.share_vm_count();
    send_searches(&mut fleet, 23_000, 45_000, SPARSE_MS);
    fleet.assert_within_budget();
    assert!(fleet.extra_count(0) > 70, "the budget is used");
}

/// Load pattern: crashing targets reset new connections at once, as targets over their connection
/// limit do.
#[test]
fn attempts_after_an_early_reset_are_charged() {
    let mut fleet = Fleet::new(&CENTRES, 3, extra_limits(), first_shard(EARLY_RESET, 0));
    send_searches(&mut fleet, 0, 25_000, DENSE_MS);
    fleet.assert_within_budget();
    assert!(fleet.extra_count(0) > 300, "the budget is used");
}

/// A shard that is in trouble and VMs that fail, restart and learn late how many there are.
fn stays_within_budget(u: &mut Unstructured<'_>) -> Result<()> {
    let reaction = *u.choose(&[REFUSAL, EARLY_RESET, OVER_LIMIT, HANG])?;
    let trouble_from_ms = u.int_in_range(0..=15_000)?;
    let targets = u.int_in_range(1..=3)?;
    let vms = u.int_in_range(4..=CENTRES.len())?;
    let limits = ExtraAttemptLimits {
        burst: f64::from(u.int_in_range(40_u32..=80)?),
        ..extra_limits()
    };
    let reactions = first_shard(reaction, trouble_from_ms);
    let mut fleet = Fleet::new(&CENTRES[..vms], targets, limits, reactions);
    let period_ms = u.int_in_range(DENSE_MS..=SPARSE_MS)?;
    let mut now_ms = 0;
    while now_ms < 30_000 {
        let until_ms = now_ms + u.int_in_range(500..=6_000)?;
        send_searches(&mut fleet, now_ms, until_ms, period_ms);
        now_ms = until_ms;
        let vm = u.choose_index(vms)?;
        match u.int_in_range(0..=3)? {
            0 => fleet.kill(vm),
            1 => fleet.restart(vm),
            _ => fleet.share_vm_count(),
        }
    }
    fleet.assert_within_budget();
    Ok(())
}

#[test]
fn extra_attempts_of_all_vms_stay_within_the_budget() {
    for seed in 1..=SEEDS {
        // arbtest reads the size of the random input in bytes from the low 32 bits of a seed.
        arbtest::arbtest(stays_within_budget).seed((seed << 32) | 4_096);
    }
}
