//! Tests of the quotas of tenants over all VMs of a deployment.

mod model;

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use fulmarweir_permits::{RateKey, RateLimit};
use model::{Fleet, KeyLog};
use rand::RngExt;

/// Ratio of a tenant's quota to its usual load.
const QUOTA_FACTOR: f64 = 1.6;
const SEEDS: u64 = 30;

fn tenant(number: usize) -> RateKey {
    RateKey::Tenant(format!("t{number}").into())
}

fn quota(per_second: f64) -> RateLimit {
    RateLimit {
        version: 1,
        per_second,
        burst: per_second,
    }
}

/// Returns the most requests in any 5 s that all VMs together may send for a tenant.
fn allowed(limit: RateLimit) -> f64 {
    (limit.per_second * 5.0 + limit.burst) * 1.1 + 20.0
}

/// Sends `per_second` requests at random times to random VMs, most of them in the first data centre.
fn send(fleet: &mut Fleet, key: &RateKey, vms: usize, per_second: f64, span: (u64, u64)) {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (mut at_ms, until_ms) = (span.0 as f64, span.1 as f64);
    loop {
        let gap: f64 = fleet.rng.random();
        at_ms -= (1.0 - gap).ln() * 1_000.0 / per_second;
        if at_ms >= until_ms {
            return;
        }
        let mut vm = fleet.rng.random_range(0..vms);
        if fleet.rng.random_bool(0.4) {
            vm -= vm % 5;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time after zero"
        )]
        let at_ms = at_ms as u64;
        fleet.request(at_ms, vm, key, None);
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn assert_within_bound(fleet: &Fleet, key: &RateKey, limit: RateLimit, from_ms: u64) {
    let most = fleet.logs[key].most_sent(5_000, from_ms);
    assert!(
        most as f64 <= allowed(limit),
        "{most} of {}",
        allowed(limit)
    );
}

/// Returns how many of the requests a token bucket that all VMs share would grant.
fn within_quota(log: &KeyLog, limit: RateLimit) -> usize {
    let (mut tokens, mut at_ms, mut granted) = (limit.burst, 0, 0);
    for arrived_ms in &log.arrived {
        let gained = Duration::from_millis(arrived_ms - at_ms).as_secs_f64() * limit.per_second;
        tokens = (tokens + gained).min(limit.burst);
        at_ms = *arrived_ms;
        if tokens >= 1.0 {
            tokens -= 1.0;
            granted += 1;
        }
    }
    granted
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn served_share(fleet: &Fleet, key: &RateKey, limit: RateLimit) -> f64 {
    let log = &fleet.logs[key];
    log.sent.len() as f64 / within_quota(log, limit) as f64
}

/// Load pattern: tenants of all sizes send their usual load, unevenly over the data centres.
/// Guards against quotas that are lost between the keepers' parts.
#[test]
fn usual_loads_of_all_sizes_are_served() {
    for (vms, far_ms) in [(9, 10), (82, 10), (300, 10), (9, 22), (82, 22), (300, 22)] {
        let mut fleet = Fleet::new(vms, 5, 5, 1);
        fleet.far_ms = far_ms;
        let rates = [
            (5.0, 0.2),
            (5.0, 1.0),
            (5.0, 3.1),
            (12.0, 7.5),
            (53.0, 33.0),
        ];
        for (number, (rate, load)) in rates.into_iter().enumerate() {
            fleet.set_limit(&tenant(number), quota(rate));
            send(&mut fleet, &tenant(number), vms, load, (1_500, 61_500));
        }
        fleet.run_until(62_000);
        for (number, (rate, load)) in rates.into_iter().enumerate() {
            let share = served_share(&fleet, &tenant(number), quota(rate));
            assert!(
                share >= 0.98,
                "{share} of {load} at {rate}, {vms} VMs, {far_ms} ms"
            );
            assert_within_bound(&fleet, &tenant(number), quota(rate), 0);
        }
    }
}

/// Load pattern: one tenant sends 9 times its usual load, the others theirs.
/// Guards against a quota that is exceeded, or that refused callers cannot use up.
#[test]
fn a_quota_is_kept_and_used_up_by_a_tenant_that_sends_too_much() {
    for (vms, rate) in [
        (9, 5.0),
        (82, 5.0),
        (300, 5.0),
        (9, 53.0),
        (82, 53.0),
        (300, 53.0),
    ] {
        let mut fleet = Fleet::new(vms, 5, 5, 2);
        let usual = rate / QUOTA_FACTOR;
        fleet.set_limit(&tenant(0), quota(rate));
        fleet.set_limit(&tenant(1), quota(5.0));
        send(&mut fleet, &tenant(0), vms, usual, (1_500, 10_000));
        send(&mut fleet, &tenant(0), vms, usual * 9.0, (10_000, 30_000));
        send(&mut fleet, &tenant(1), vms, 0.2, (1_500, 30_000));
        fleet.run_until(31_000);
        assert_within_bound(&fleet, &tenant(0), quota(rate), 0);
        let share = served_share(&fleet, &tenant(0), quota(rate));
        assert!(share >= 0.98, "{share} at {rate} with {vms} VMs");
        let share = served_share(&fleet, &tenant(1), quota(5.0));
        assert!(share >= 0.98, "{share} of the small one with {vms} VMs");
    }
}

/// Load pattern: all VMs start at once, e.g. after a total power loss, under the largest load.
/// Guards against credit of the time before the start.
#[test]
fn nothing_is_saved_up_before_the_start() {
    let mut fleet = Fleet::new(82, 5, 5, 3);
    fleet.set_limit(&tenant(0), quota(53.0));
    send(&mut fleet, &tenant(0), 82, 300.0, (0, 10_000));
    for second in 0..5 {
        fleet.run_until(1_000 + second * 1_000);
        for keeper in 0..5 {
            fleet.kill_keeper(keeper);
            fleet.start_keeper(keeper);
        }
    }
    fleet.run_until(11_000);
    assert_within_bound(&fleet, &tenant(0), quota(53.0), 0);
}

/// Load pattern: a part of the VMs, or all of them, reach no keeper while a tenant sends too much.
/// Guards against VMs that are not limited while they are out of touch.
#[test]
fn vms_out_of_touch_stay_within_the_bound() {
    for (vms, cut_off, rate) in [(9, 3, 5.0), (82, 40, 5.0), (82, 40, 53.0), (300, 299, 53.0)] {
        let mut fleet = Fleet::new(vms, 5, 5, 4);
        fleet.set_limit(&tenant(0), quota(rate));
        send(&mut fleet, &tenant(0), vms, rate * 6.0, (0, 30_000));
        fleet.run_until(8_000);
        for vm in 0..cut_off {
            fleet.cut_off(vm, true);
        }
        fleet.run_until(20_000);
        for vm in 0..cut_off {
            fleet.cut_off(vm, false);
        }
        fleet.run_until(31_000);
        assert_within_bound(&fleet, &tenant(0), quota(rate), 0);
    }
}

/// Load pattern: a quota is lowered while its burst is saved up and permits are held.
/// Guards against credit of the earlier quota.
#[test]
fn credit_of_a_higher_quota_ends_with_it() {
    let mut fleet = Fleet::new(82, 5, 5, 5);
    fleet.set_limit(&tenant(0), quota(53.0));
    send(&mut fleet, &tenant(0), 82, 30.0, (1_500, 10_000));
    send(&mut fleet, &tenant(0), 82, 300.0, (10_000, 20_000));
    fleet.run_until(10_000);
    let lowered = RateLimit {
        version: 2,
        ..quota(5.0)
    };
    fleet.set_limit(&tenant(0), lowered);
    fleet.run_until(21_000);
    assert_within_bound(&fleet, &tenant(0), lowered, 10_500);
}

/// Load pattern: one keeper is lost for good, and another one restarts; calls are lost.
/// Guards against requests that wait for a keeper that is gone.
#[test]
fn requests_within_a_quota_are_served_while_a_keeper_is_lost() {
    let mut fleet = Fleet::new(82, 5, 5, 6);
    let rates = [(5.0, 0.2), (12.0, 7.5), (53.0, 33.0)];
    for (number, (rate, load)) in rates.into_iter().enumerate() {
        fleet.set_limit(&tenant(number), quota(rate));
        send(&mut fleet, &tenant(number), 82, load, (1_500, 61_500));
    }
    fleet.run_until(10_000);
    fleet.kill_keeper(1);
    fleet.run_until(20_000);
    fleet.kill_keeper(0);
    fleet.run_until(20_500);
    fleet.start_keeper(0);
    fleet.run_until(62_000);
    for (number, (rate, _)) in rates.into_iter().enumerate() {
        let share = served_share(&fleet, &tenant(number), quota(rate));
        assert!(share >= 0.98, "{share} at {rate}");
        assert_within_bound(&fleet, &tenant(number), quota(rate), 0);
    }
}

/// Quotas, VMs and keepers that change at random.
fn keeps_to_quotas(u: &mut Unstructured<'_>) -> Result<()> {
    let vms = *u.choose(&[9, 75, 300])?;
    let rate = f64::from(*u.choose(&[5_u32, 11, 53])?);
    let keepers = u.int_in_range(1..=5)?;
    let mut fleet = Fleet::new(vms, keepers, 5, u.arbitrary()?);
    fleet.loss = f64::from(u.int_in_range(0..=10_u32)?) / 100.0;
    fleet.set_limit(&tenant(0), quota(rate));
    let load = rate * f64::from(u.int_in_range(1..=9_u32)?);
    send(&mut fleet, &tenant(0), vms, load, (0, 15_000));
    let mut now_ms = 0;
    while now_ms < 15_000 {
        now_ms += u.int_in_range(100..=2_000)?;
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
    assert_within_bound(&fleet, &tenant(0), quota(rate), 0);
    Ok(())
}

/// Guards against sums beyond the bound after any order of losses, restarts and lost messages.
#[test]
fn quotas_are_kept_whatever_fails() {
    for seed in 0..SEEDS {
        arbtest::arbtest(keeps_to_quotas)
            .seed(seed << 32 | 0x400)
            .run();
    }
}
