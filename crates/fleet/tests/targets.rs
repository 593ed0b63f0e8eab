//! Leases of targets: announcement, drain, lapse, failure of the lease holder, and cuts.

mod net;

use std::sync::Arc;

use fulmarweir_base::{ShardHolding, TargetRecord, TargetState};
use fulmarweir_fleet::{AnnounceError, FleetSettings};
use net::{TestNet, key, record};

const SEEDS: u64 = 6;
/// Sum of the lease, the failure detection time and the grace period of a lease holder.
const LEAVING_BOUND_MS: u64 = 6_000;

/// Returns three VMs with one target, and the index of the VM that holds the lease.
fn settled_net(seed: u64) -> (TestNet, usize) {
    let mut net = TestNet::new(&[3], seed);
    net.run(2_000);
    net.add_target(record(0), 0);
    net.run(4_000);
    let at = net.targets[0].at;
    let holder = net
        .vms
        .iter()
        .position(|vm| vm.identity.targets == at)
        .unwrap();
    (net, holder)
}

fn refusal(net: &mut TestNet, record: TargetRecord) -> Option<AnnounceError> {
    let mut result = None;
    net.with(0, |state, now| {
        let (reply, actions) = state.announce(record, now);
        result = reply.err();
        actions
    });
    result
}

#[test]
fn a_target_is_usable_at_once_where_it_announced_itself() {
    let mut net = TestNet::new(&[1], 1);
    net.add_target(record(0), 0);
    net.announce_target(0);
    assert!(net.is_usable(0, 0));
}

#[test]
fn all_vms_learn_of_a_target_within_a_second() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[5], seed);
        net.run(2_000);
        net.add_target(record(0), 0);
        net.announce_target(0);
        net.run(1_000);
        assert!((0..5).all(|vm| net.is_usable(vm, 0)), "seed {seed}");
    }
}

#[test]
fn loss_delays_updates_but_a_repair_delivers_them() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[5], seed);
        net.loss = 0.3;
        net.run(3_000);
        for index in 0..20 {
            net.add_target(record(index), 0);
        }
        net.run(4_000);
        net.loss = 0.0;
        net.run(4_000);
        let usable = |vm| (0..20).all(|target| net.is_usable(vm, target));
        assert!((0..5).all(usable), "seed {seed}");
    }
}

#[test]
fn draining_ends_the_use_everywhere_at_once() {
    for seed in 0..SEEDS {
        let (mut net, _) = settled_net(seed);
        net.targets[0].record.state = TargetState::Draining;
        net.announce_target(0);
        net.run(200);
        assert!((0..3).all(|vm| !net.is_usable(vm, 0)));
    }
}

#[test]
fn a_lapsed_lease_ends_the_use_everywhere() {
    for seed in 0..SEEDS {
        let (mut net, _) = settled_net(seed);
        net.targets[0].running = false;
        net.run(3_300);
        assert!((0..3).all(|vm| !net.is_usable(vm, 0)));
    }
}

#[test]
fn a_restarted_target_replaces_its_previous_incarnation() {
    let (mut net, _) = settled_net(1);
    let old = net.targets[0].record.clone();
    net.targets[0].record.incarnation = 2;
    net.announce_target(0);
    net.run(1_000);
    assert!((0..3).all(|vm| net.is_usable(vm, 0)));
    assert_eq!(
        refusal(&mut net, old),
        Some(AnnounceError::StaleIncarnation(2))
    );
}

#[test]
fn malformed_announcements_are_refused() {
    let mut net = TestNet::new(&[1], 1);
    let most = FleetSettings::default().holdings_max;
    let mut many = record(0);
    many.versions = vec![
        ShardHolding {
            version: 1,
            shard: 0,
            of: 1
        };
        most + 1
    ];
    assert_eq!(
        refusal(&mut net, many),
        Some(AnnounceError::TooManyHoldings(most))
    );
    let mut outside = record(0);
    outside.versions = vec![ShardHolding {
        version: 1,
        shard: 3,
        of: 3,
    }];
    let expected = AnnounceError::ShardOutOfRange {
        version: 1,
        shard: 3,
        of: 3,
    };
    assert_eq!(refusal(&mut net, outside), Some(expected));
    let mut idle = record(0);
    idle.slots = 0;
    assert_eq!(refusal(&mut net, idle), Some(AnnounceError::NoCapacity));
}

#[test]
fn the_death_of_a_lease_holder_does_not_take_its_targets_out_of_use() {
    for seed in 0..SEEDS {
        let (mut net, holder) = settled_net(seed);
        net.stop(holder);
        let others: Vec<_> = (0..3).filter(|vm| *vm != holder).collect();
        net.run_checked(15_000, |net| {
            assert!(others.iter().all(|vm| net.is_usable(*vm, 0)), "seed {seed}");
        });
    }
}

#[test]
fn a_restart_of_the_lease_holder_does_not_take_its_targets_out_of_use() {
    for seed in (0..SEEDS).chain([26]) {
        let (mut net, holder) = settled_net(seed);
        net.restart(holder);
        let others: Vec<_> = (0..3).filter(|vm| *vm != holder).collect();
        net.run_checked(15_000, |net| {
            assert!(others.iter().all(|vm| net.is_usable(*vm, 0)), "seed {seed}");
        });
        assert!(net.is_usable(holder, 0));
    }
}

#[test]
fn a_target_that_leaves_while_its_lease_holder_dies_is_not_used_for_long() {
    for seed in 0..SEEDS {
        let (mut net, holder) = settled_net(seed);
        net.stop(holder);
        net.targets[0].running = false;
        net.run(LEAVING_BOUND_MS);
        let mut others = (0..3).filter(|vm| *vm != holder);
        assert!(others.all(|vm| !net.is_usable(vm, 0)), "seed {seed}");
    }
}

#[test]
fn a_drain_announced_to_another_vm_after_the_holder_died_takes_effect_at_once() {
    for seed in 0..SEEDS {
        let (mut net, holder) = settled_net(seed);
        net.stop(holder);
        let others: Vec<_> = (0..3).filter(|vm| *vm != holder).collect();
        net.targets[0].record.state = TargetState::Draining;
        net.targets[0].at = net.vms[others[0]].identity.targets;
        net.announce_target(0);
        net.run(200);
        assert!(
            others.iter().all(|vm| !net.is_usable(*vm, 0)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_vm_cut_off_stops_using_what_it_cannot_confirm() {
    for seed in 0..SEEDS {
        for one_way in [None, Some(true), Some(false)] {
            let (mut net, holder) = settled_net(seed);
            let cut_off = (holder + 1) % 3;
            for other in (0..3).filter(|vm| *vm != cut_off) {
                match one_way {
                    None => net.cut(cut_off, other),
                    Some(true) => net.cut_one_way(cut_off, other),
                    Some(false) => net.cut_one_way(other, cut_off),
                }
            }
            net.targets[0].record.state = TargetState::Draining;
            net.run(LEAVING_BOUND_MS);
            assert!(!net.is_usable(cut_off, 0), "seed {seed}, {one_way:?}");
        }
    }
}

#[test]
fn a_vm_cut_off_from_many_does_not_wait_until_it_has_probed_all_of_them() {
    let mut net = TestNet::new(&[40], 1);
    net.run(4_000);
    for index in 0..20 {
        net.add_target(record(index), 0);
    }
    net.run(4_000);
    assert!((0..20).all(|target| net.is_usable(7, target)));
    net.cut_group(&[7]);
    net.run(LEAVING_BOUND_MS);
    let own = net.vms[7].identity.targets;
    let held_elsewhere = (0..20).filter(|target| net.targets[*target].at != own);
    assert!(
        held_elsewhere
            .into_iter()
            .all(|target| !net.is_usable(7, target))
    );
}

#[test]
fn a_vm_cut_off_keeps_using_a_target_that_answers_it() {
    for seed in 0..SEEDS {
        let (mut net, holder) = settled_net(seed);
        let cut_off = (holder + 1) % 3;
        net.cut_group(&[cut_off]);
        let target = key(&net.targets[0].record);
        for _ in 0..40 {
            net.with(cut_off, |state, now| {
                state.on_target_alive(&target, now);
                Vec::new()
            });
            net.run(500);
            assert!(net.is_usable(cut_off, 0), "seed {seed}");
        }
        net.run(3_100);
        assert!(!net.is_usable(cut_off, 0), "seed {seed}");
    }
}

#[test]
fn a_stale_target_does_not_return_when_a_cut_heals() {
    for seed in 0..SEEDS {
        for cut_ms in [6_000, 8_000, 40_000] {
            let (mut net, holder) = settled_net(seed);
            let cut_off = (holder + 1) % 3;
            net.cut_group(&[cut_off]);
            net.targets[0].running = false;
            net.run(cut_ms);
            net.delay_ms = 60;
            net.heal();
            net.run_checked(20_000, |net| {
                assert!(
                    (0..3).all(|vm| !net.is_usable(vm, 0)),
                    "seed {seed}, {cut_ms} ms"
                );
            });
        }
    }
}

#[test]
fn snapshots_are_shared_until_something_changes() {
    let (mut net, _) = settled_net(2);
    let before = net.state(0).targets();
    net.run(5_000);
    assert!(Arc::ptr_eq(&before, &net.state(0).targets()));
}
