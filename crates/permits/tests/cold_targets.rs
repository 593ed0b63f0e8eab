//! Tests of the rates of cold targets over all VMs of a deployment.

mod model;

use arbtest::arbitrary::{Result, Unstructured};
use fulmarweir_permits::{RateKey, RateLimit};
use model::Fleet;
use rand::RngExt;

/// Time for which a request waits for a target, in milliseconds.
const WAIT_MS: u64 = 300;
const SEEDS: u64 = 15;

fn cold(number: usize) -> RateKey {
    RateKey::Cold {
        target: format!("s0-{number}").into(),
        born_ms: 7,
    }
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit {
        version: 1,
        per_second,
        burst: 0.0,
    }
}

/// Returns the most requests in any second that all VMs together may send to a cold target.
fn allowed(per_second: f64) -> f64 {
    per_second * 1.5 + 5.0
}

/// Sends requests at random times to random VMs.
fn send(fleet: &mut Fleet, key: &RateKey, vms: usize, per_second: u64, span: (u64, u64)) {
    for _ in 0..(span.1 - span.0) * per_second / 1_000 {
        let at_ms = fleet.rng.random_range(span.0..span.1);
        let vm = fleet.rng.random_range(0..vms);
        fleet.request(at_ms, vm, key, Some(WAIT_MS));
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn assert_within_bound(fleet: &Fleet, key: &RateKey, per_second: f64) {
    let most = fleet.logs[key].most_sent(1_000, 0);
    let allowed = allowed(per_second);
    assert!(most as f64 <= allowed, "{most} of {allowed}");
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn used_share(fleet: &Fleet, key: &RateKey, per_second: f64, span: (u64, u64)) -> f64 {
    let sent = fleet.logs[key].sent.iter();
    let sent = sent
        .filter(|at_ms| (span.0..span.1).contains(*at_ms))
        .count();
    sent as f64 / (per_second * (span.1 - span.0) as f64 / 1_000.0)
}

/// Load pattern: demand is three times what a cold target takes.
/// Guards against a rate that is exceeded, or that is lost between the keepers' parts.
#[test]
fn the_rate_of_a_cold_target_is_kept_and_used() {
    for (vms, far_ms) in [(9, 10), (75, 10), (300, 10), (9, 22), (75, 22)] {
        for per_second in [2_u32, 5, 20, 60] {
            let mut fleet = Fleet::new(vms, 5, 5, 1);
            fleet.far_ms = far_ms;
            let rate = f64::from(per_second);
            fleet.set_limit(&cold(0), limit(rate));
            send(
                &mut fleet,
                &cold(0),
                vms,
                u64::from(per_second) * 3,
                (2_000, 22_000),
            );
            fleet.run_until(23_000);
            assert_within_bound(&fleet, &cold(0), rate);
            let share = used_share(&fleet, &cold(0), rate, (2_000, 22_000));
            assert!(share >= 0.8, "{share} of {rate}, {vms} VMs, {far_ms} ms");
        }
    }
}

/// Guards against a rate that fewer keepers than usual cannot hand out.
#[test]
fn the_rate_is_used_whatever_the_number_of_keepers() {
    for keepers in [1, 3] {
        let mut fleet = Fleet::new(9, keepers, 3, 4);
        fleet.set_limit(&cold(0), limit(20.0));
        send(&mut fleet, &cold(0), 9, 60, (2_000, 12_000));
        fleet.run_until(13_000);
        assert_within_bound(&fleet, &cold(0), 20.0);
        let share = used_share(&fleet, &cold(0), 20.0, (2_000, 12_000));
        assert!(share >= 0.8, "{share} with {keepers} keepers");
    }
}

/// Load pattern: the targets of a data centre return at once, and all VMs find them within 100 ms.
/// Guards against permits that were saved up for all of them.
#[test]
fn targets_that_return_at_once_are_not_flooded() {
    for vms in [9, 75, 300] {
        let mut fleet = Fleet::new(vms, 5, 5, 2);
        for number in 0..6 {
            fleet.set_limit(&cold(number), limit(20.0));
            for vm in 0..vms {
                let at_ms = fleet.rng.random_range(30_000..30_100);
                fleet.request(at_ms, vm, &cold(number), Some(WAIT_MS));
            }
            send(&mut fleet, &cold(number), vms, 200, (30_100, 36_000));
        }
        fleet.run_until(37_000);
        for number in 0..6 {
            assert_within_bound(&fleet, &cold(number), 20.0);
            let share = used_share(&fleet, &cold(number), 20.0, (31_000, 36_000));
            assert!(share >= 0.8, "{share} with {vms} VMs");
        }
    }
}

/// Load pattern: a part of the VMs, or all of them, reach no keeper and send what they can.
/// Guards against VMs that flood a target because nobody tells them the sum.
#[test]
fn vms_out_of_touch_stay_within_the_bound() {
    for (vms, cut_off) in [(9, 4), (75, 30), (75, 75), (300, 150), (300, 300)] {
        for rate in [2.0, 20.0, 60.0] {
            let mut fleet = Fleet::new(vms, 5, 5, 3);
            fleet.set_limit(&cold(0), limit(rate));
            send(&mut fleet, &cold(0), vms, 400, (2_000, 16_000));
            fleet.run_until(5_000);
            for vm in 0..cut_off {
                fleet.cut_off(vm, true);
            }
            fleet.run_until(17_000);
            assert_within_bound(&fleet, &cold(0), rate);
        }
    }
}

/// Rates, VMs and keepers that change at random.
fn keeps_to_rates(u: &mut Unstructured<'_>) -> Result<()> {
    let vms = *u.choose(&[9, 75, 300])?;
    let rate = f64::from(*u.choose(&[1_u32, 5, 20, 60])?);
    let keepers = u.int_in_range(1..=5)?;
    let mut fleet = Fleet::new(vms, keepers, 5, u.arbitrary()?);
    fleet.loss = f64::from(u.int_in_range(0..=10_u32)?) / 100.0;
    fleet.set_limit(&cold(0), limit(rate));
    send(
        &mut fleet,
        &cold(0),
        vms,
        u.int_in_range(20..=400)?,
        (0, 10_000),
    );
    let mut now_ms = 0;
    while now_ms < 10_000 {
        now_ms += u.int_in_range(100..=1_500)?;
        fleet.run_until(now_ms);
        let vm = u.choose_index(vms)?;
        let keeper = u.choose_index(keepers)?;
        match u.int_in_range(0..=4)? {
            0 => (0..vm).for_each(|vm| fleet.cut_off(vm, true)),
            1 => (vm..vms).for_each(|vm| fleet.cut_off(vm, false)),
            2 => (0..vm).for_each(|vm| fleet.restart(vm)),
            3 => fleet.kill_keeper(keeper),
            _ => fleet.start_keeper(keeper),
        }
    }
    assert_within_bound(&fleet, &cold(0), rate);
    Ok(())
}

/// Guards against sums beyond the bound after any order of losses, restarts and lost messages.
#[test]
fn rates_are_kept_whatever_fails() {
    for seed in 0..SEEDS {
        arbtest::arbtest(keeps_to_rates).seed((seed << 32) | 4_096);
    }
}
