//! Replays the load of all tenants on a model of all VMs and keepers.
//!
//! Load pattern: 84 tenants of very different sizes share 82 VMs, and one of them sends 9 times its
//! usual rate. VMs restart, are cut off and lose keepers meanwhile.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, FleetLoad, HOT, TENANTS, VMS, at, quota_bound};

/// Share of the requests within the quotas of other tenants that are admitted at least.
const ADMITTED_MIN: f64 = 0.98;
const RUN: Duration = Duration::from_secs(40);
const SEEDS: u64 = 2;

/// Asserts that each tenant stays within its bound in each window of 5 s.
fn assert_bounds(fleet: &Fleet) {
    for tenant in 0..TENANTS {
        let most = fleet.most_in_a_window(tenant, at(0.0));
        let bound = quota_bound(fleet.load.limit(tenant));
        assert!(
            f64::from(most) <= bound,
            "tenant {tenant}: {most} requests in 5 s, bound {bound:.1}"
        );
    }
}

fn assert_others_are_served(fleet: &Fleet) {
    let share = fleet.admitted_share(|tenant| tenant != HOT);
    println!("admitted of the others: {share:.4}");
    assert!(share >= ADMITTED_MIN, "{share:.4} of the others' requests");
}

/// Guards against other tenants that suffer from one that sends 9 times its usual rate, against
/// quotas that do not hold or are not used, and against calls for each request over a quota.
#[test]
fn other_tenants_are_served_while_one_sends_nine_times_its_usual_rate() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, FleetLoad::with_hot_tenant());
        fleet.run(RUN);
        assert_bounds(&fleet);
        assert_others_are_served(&fleet);
        let used = fleet.used_share(HOT);
        let asks = fleet.asks_per_s(HOT);
        println!("used of the quota: {used:.3}, asks per s for it: {asks:.0}");
        assert!(used >= 0.8, "{used:.3} of the quota of the tenant over it");
        assert!(fleet.longest_hold() <= Duration::from_millis(60));
        // If refusals were not remembered, each of the 250 requests per second over the quota would
        // cost 5 asks.
        assert!(asks <= 350.0, "{asks:.0} asks per s for one tenant");
    }
}

/// Guards against quotas that are exceeded by VMs that restart with an empty memory.
#[test]
fn quotas_hold_while_vms_restart() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, FleetLoad::with_hot_tenant());
        for round in 0..VMS {
            let when = Duration::from_millis(2_000 + 450 * round as u64);
            fleet.restart_vm(round * 7 % VMS, at(0.0) + when);
        }
        fleet.run(RUN);
        assert_bounds(&fleet);
        assert_others_are_served(&fleet);
    }
}

/// Guards against VMs without keepers that send without a limit, or nothing at all.
#[test]
fn quotas_hold_while_vms_are_cut_off() {
    for seed in 0..SEEDS {
        for cut in [1, VMS / 3, VMS] {
            let mut fleet = Fleet::new(seed, FleetLoad::with_hot_tenant());
            for vm in 0..cut {
                let from = at(8.0) + Duration::from_millis(100 * vm as u64);
                fleet.cut_off(vm, from, at(25.0));
            }
            fleet.run(RUN);
            assert_bounds(&fleet);
            let alone = fleet.admitted_by(HOT, 0..cut, at(17.0), at(25.0));
            println!("{cut} VMs cut off admit {alone} in 8 s");
            assert!(
                cut == 1 || alone > 0,
                "{cut} VMs without keepers serve nothing"
            );
            let after = fleet.admitted_by(HOT, 0..cut, at(27.0), at(40.0));
            assert!(after > 0, "{cut} VMs serve nothing after they were cut off");
        }
    }
}

/// Guards against quotas that depend on one keeper.
#[test]
fn quotas_hold_and_others_are_served_while_a_keeper_dies_and_returns() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, FleetLoad::with_hot_tenant());
        fleet.kill_keeper(1, at(10.0), at(22.0));
        fleet.run(RUN);
        assert_bounds(&fleet);
        assert_others_are_served(&fleet);
    }
}

/// Guards against quotas that are exceeded when keepers restart, one after the other.
#[test]
fn quotas_hold_while_keepers_restart() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, FleetLoad::with_hot_tenant());
        for round in 0..10 {
            let killed_at = at(5.0) + Duration::from_secs(3) * round;
            let returns_at = killed_at + Duration::from_secs(1);
            fleet.kill_keeper(round as usize % 5, killed_at, returns_at);
        }
        fleet.run(RUN);
        assert_bounds(&fleet);
    }
}

/// Guards against credit of an earlier quota that outlives it.
#[test]
fn a_lower_quota_holds_5_s_after_all_vms_have_it() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, FleetLoad::with_hot_tenant());
        let lowered = fleet.load.lowered(HOT, 5.0);
        fleet.change_quota(lowered, at(15.0), Duration::from_secs(2));
        fleet.run(RUN);
        let most = fleet.most_in_a_window(HOT, at(17.0 + 5.0));
        let bound = quota_bound(lowered);
        println!("{most} in 5 s of at most {bound:.1} after the change");
        assert!(f64::from(most) <= bound, "{most} in 5 s, bound {bound:.1}");
        let after = fleet.admitted_by(HOT, 0..VMS, at(25.0), at(35.0));
        assert!(after >= 30, "{after} of 50 requests in 10 s");
        assert_others_are_served(&fleet);
    }
}

/// Guards against callers that are told to return when there is no permit for them.
#[test]
fn most_callers_that_return_when_told_are_admitted() {
    for seed in 0..SEEDS {
        for vms in [1, 3, VMS] {
            let mut fleet = Fleet::new(seed, FleetLoad::one_burst(20.0, 20.0, 60));
            fleet.callers_return = true;
            fleet.vms_in_use = vms;
            fleet.run(Duration::from_secs(15));
            let (returned, admitted) = fleet.returned_callers();
            println!("{vms} VMs: {admitted} of {returned} callers that returned were admitted");
            assert!(returned >= 10, "{returned} callers returned");
            let share = f64::from(admitted) / f64::from(returned);
            assert!(share >= 0.5, "{vms} VMs: {admitted} of {returned} callers");
            assert_bounds(&fleet);
        }
    }
}
