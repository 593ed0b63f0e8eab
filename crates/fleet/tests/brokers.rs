//! Shares of a target's connections, also while VMs disagree on the members.

mod net;

use fulmarweir_base::TargetRecord;
use fulmarweir_fleet::{FleetState, TargetLimits};
use net::{TestNet, key, record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SETTLED_MS: u64 = 25_000;

fn with_limits(connections: u32, slots: u32) -> TargetRecord {
    TargetRecord {
        connections,
        slots,
        ..record(0)
    }
}

fn settled_net(centres: &[usize], target: TargetRecord, seed: u64) -> TestNet {
    let mut net = TestNet::new(centres, seed);
    net.run(1_000);
    net.add_target(target, 0);
    net.run(SETTLED_MS);
    net
}

fn shares(net: &TestNet) -> Vec<u32> {
    let record = &net.targets[0].record;
    let share = |state: &FleetState| {
        let share = state.broker_share(&key(record), TargetLimits::of(record), net.now);
        share.map(|share| share.concurrency)
    };
    net.vms
        .iter()
        .filter_map(|vm| share(vm.state.as_ref()?))
        .collect()
}

#[test]
fn a_lone_vm_has_its_share_at_once() {
    let mut net = TestNet::new(&[1], 1);
    net.settings.seeds.clear();
    net.start(0);
    net.add_target(record(0), 0);
    net.announce_target(0);
    assert_eq!(net.connections(0), 23);
    assert_eq!(shares(&net), [3]);
}

#[test]
fn vms_that_start_together_have_their_shares_in_seconds() {
    for seed in 0..10 {
        let mut net = TestNet::new(&[3, 3], seed);
        net.add_target(with_limits(30, 3), 0);
        net.run(4_000);
        assert_eq!(net.connections(0), 21, "seed {seed}");
    }
}

#[test]
fn a_vm_that_misses_a_seed_waits_for_the_handover_delay() {
    let mut net = TestNet::new(&[3], 1);
    net.settings.seeds.push(net::peer_address(9));
    for index in 0..3 {
        net.restart(index);
    }
    net.add_target(with_limits(30, 3), 0);
    net.run(10_000);
    assert!(net.connections(0) <= 7);
    net.run(10_000);
    assert_eq!(net.connections(0), 21);
}

#[test]
fn in_a_small_centre_every_vm_is_a_broker() {
    let net = settled_net(&[3], with_limits(30, 3), 1);
    assert_eq!(net.connections(0), 21);
    assert_eq!(shares(&net), [1, 1, 1]);
}

#[test]
fn in_a_large_centre_slots_and_connections_bound_the_brokers() {
    let net = settled_net(&[30], with_limits(30, 3), 1);
    assert_eq!(shares(&net).len(), 3);
    let net = settled_net(&[30], with_limits(16, 6), 1);
    assert_eq!(shares(&net).len(), 3);
    assert_eq!(
        net.state(0).targets().iter().next().unwrap().brokers.len(),
        3
    );
}

#[test]
fn the_live_brokers_share_all_slots() {
    let mut net = settled_net(&[3], with_limits(30, 3), 1);
    net.stop(2);
    net.run(5_000);
    assert_eq!(shares(&net).iter().sum::<u32>(), 3);
}

#[test]
fn connections_of_a_dead_vm_are_eventually_given_to_others() {
    let mut net = settled_net(&[3], with_limits(30, 3), 2);
    net.stop(2);
    net.run(95_000);
    assert_eq!(net.connections(0), 22);
}

#[test]
fn a_minority_falls_back_to_the_reserve() {
    let mut net = settled_net(&[3], with_limits(30, 3), 3);
    net.cut_group(&[2]);
    let target = key(&net.targets[0].record);
    let limits = TargetLimits::of(&net.targets[0].record);
    net.run(12_000);
    let share = net.state(2).broker_share(&target, limits, net.now).unwrap();
    assert_eq!(share.connections, 1);
}

/// Guards against exceeding the limit around a partition with a large minority. The minority
/// must fall back to the reserve before the majority takes over its shares, and must not open
/// its shares again before the majority has closed its surplus connections.
#[test]
fn a_large_minority_and_the_majority_never_exceed_the_limit() {
    for (seed, cut_ms) in [(1, 10_000), (2, 30_000), (3, 90_000), (4, 200_000)] {
        let mut net = settled_net(&[7], with_limits(100, 7), seed);
        net.cut_group(&[4, 5, 6]);
        let check = |net: &TestNet| assert!(net.connections(0) <= 100, "at {:?}", net.now);
        net.run_checked(cut_ms, check);
        net.heal();
        net.delay_ms = 100;
        net.loss = 0.3;
        net.run_checked(5_000, check);
        net.loss = 0.0;
        net.run_checked(30_000, check);
        assert_eq!(net.connections(0), 70);
    }
}

/// The sum of all shares stays within the limit during random cuts, restarts, leaves and joins.
#[test]
fn differing_views_never_exceed_the_limit() {
    for seed in 0..8 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let vms = rng.random_range(2..8);
        let limit = rng.random_range(4..100);
        let slots = rng.random_range(1..7);
        let mut net = TestNet::new(&[vms], seed);
        net.loss = rng.random_range(0.0..0.1);
        net.add_target(with_limits(limit, slots), 0);
        for _ in 0..12 {
            inject_event(&mut net, &mut rng);
            let pause_ms = rng.random_range(500..40_000);
            net.run_checked(pause_ms, |net| {
                let sum = net.connections(0);
                assert!(
                    sum <= limit,
                    "seed {seed}: {sum} of {limit} at {:?}",
                    net.now
                );
            });
        }
    }
}

fn inject_event(net: &mut TestNet, rng: &mut Pcg64) {
    let vm = rng.random_range(0..net.vms.len());
    let other = rng.random_range(0..net.vms.len());
    match rng.random_range(0..8) {
        0 => net.stop(vm),
        1 | 2 => net.restart(vm),
        3 if vm != other => net.cut_one_way(vm, other),
        4 => net.cut_group(&[vm]),
        5 => net.cut_group(&(0..=vm).collect::<Vec<_>>()),
        6 => {
            net.with(vm, FleetState::leave);
            net.stop(vm);
        }
        _ => net.heal(),
    }
}
