//! Joins, failure detection, healed partitions, restarts and duplicate names.

mod net;

use fulmarweir_base::MonoTime;
use fulmarweir_fleet::{FleetAction, FleetState, MemberStatus};
use net::{TestNet, identity, peer_address};

const SEEDS: u64 = 6;

fn alive_names(net: &TestNet, vm: usize) -> Vec<String> {
    let members = net.state(vm).members();
    let live = members
        .iter()
        .filter(|view| view.status == MemberStatus::Alive);
    live.map(|view| view.identity.name.to_string()).collect()
}

fn assert_all_alive(net: &TestNet, vms: &[usize]) {
    let names: Vec<_> = vms.iter().map(|vm| format!("vm-{vm}")).collect();
    for vm in vms {
        assert_eq!(alive_names(net, *vm), names, "at vm-{vm}");
    }
}

#[test]
fn a_state_may_move_between_threads() {
    fn check<T: Send>() {}
    check::<FleetState>();
}

#[test]
fn all_vms_of_a_centre_find_each_other() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[5], seed);
        net.loss = 0.1;
        net.run(4_000);
        assert_all_alive(&net, &[0, 1, 2, 3, 4]);
    }
}

#[test]
fn a_stopped_vm_is_removed_and_returns_under_a_new_boot() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[4], seed);
        net.run(2_000);
        net.stop(2);
        net.run(5_000);
        assert_all_alive(&net, &[0, 1, 3]);
        net.restart(2);
        net.run(2_000);
        assert_all_alive(&net, &[0, 1, 2, 3]);
    }
}

#[test]
fn a_restart_too_quick_to_be_detected_replaces_the_old_process() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[3], seed);
        net.run(2_000);
        net.restart(1);
        net.run(2_000);
        assert_all_alive(&net, &[0, 1, 2]);
        let members = net.state(0).members();
        assert_eq!(members[1].identity.boot, 1_001);
    }
}

#[test]
fn a_restart_with_a_lower_boot_is_admitted() {
    let mut net = TestNet::new(&[3], 1);
    net.run(2_000);
    net.restart(1);
    net.run(2_000);
    net.vms[1].identity.boot = 500;
    net.start(1);
    net.run(2_000);
    assert_all_alive(&net, &[0, 1, 2]);
    assert_eq!(net.state(0).members()[1].identity.boot, 500);
}

#[test]
fn loss_does_not_remove_a_live_vm_permanently() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[3], seed);
        net.loss = 0.2;
        net.run(20_000);
        net.loss = 0.0;
        net.run(5_000);
        assert_all_alive(&net, &[0, 1, 2]);
    }
}

#[test]
fn a_cut_between_two_vms_is_bridged_by_indirect_probes() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[4], seed);
        net.run(2_000);
        net.cut(0, 1);
        net.run_checked(20_000, |net| {
            assert!(!alive_names(net, 2).is_empty());
        });
        assert_all_alive(&net, &[0, 1, 2, 3]);
    }
}

#[test]
fn a_partition_heals_within_five_seconds() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[5], seed);
        net.run(2_000);
        net.cut_group(&[3, 4]);
        net.run(60_000);
        assert_all_alive(&net, &[0, 1, 2]);
        assert_all_alive(&net, &[3, 4]);
        net.heal();
        net.run(5_000);
        assert_all_alive(&net, &[0, 1, 2, 3, 4]);
    }
}

#[test]
fn a_one_way_cut_heals_within_five_seconds() {
    for (seed, outgoing) in [(1, true), (2, false), (3, true), (4, false)] {
        let mut net = TestNet::new(&[3], seed);
        net.run(2_000);
        for other in [0, 1] {
            let (from, to) = if outgoing { (2, other) } else { (other, 2) };
            net.cut_one_way(from, to);
        }
        net.run(30_000);
        assert_all_alive(&net, &[0, 1]);
        net.heal();
        net.run(5_000);
        assert_all_alive(&net, &[0, 1, 2]);
    }
}

#[test]
fn a_leaving_vm_is_removed_at_once() {
    let mut net = TestNet::new(&[4], 1);
    net.run(2_000);
    net.with(3, FleetState::leave);
    net.run(100);
    assert_all_alive(&net, &[0, 1, 2]);
    net.run(5_000);
    assert_all_alive(&net, &[0, 1, 2]);
}

#[test]
fn the_later_of_two_vms_with_one_name_is_refused_and_reported() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[3], seed);
        net.run(2_000);
        let mut duplicate = identity(7, "centre-0", 50);
        duplicate.name = "vm-1".parse().unwrap();
        let duplicate = net.add_vm(duplicate);
        net.run(3_000);
        assert_eq!(
            net.state(duplicate).name_holder().map(|vm| vm.peers),
            Some(peer_address(1))
        );
        assert_all_alive(&net, &[0, 1, 2]);
        assert_eq!(net.state(0).members()[1].identity.peers, peer_address(1));
        let is_report = |action: &FleetAction| matches!(action, FleetAction::DuplicateName { .. });
        assert!(net.count_reports(is_report) > 0);
    }
}

#[test]
fn a_name_is_free_again_once_its_owner_is_dead() {
    let mut net = TestNet::new(&[3], 3);
    net.run(2_000);
    let mut duplicate = identity(7, "centre-0", 50);
    duplicate.name = "vm-1".parse().unwrap();
    let duplicate = net.add_vm(duplicate);
    net.run(3_000);
    net.stop(1);
    net.run(8_000);
    assert_eq!(net.state(duplicate).name_holder(), None);
    assert_eq!(net.state(0).members()[1].identity.peers, peer_address(7));
}

#[test]
fn duplicates_started_during_a_partition_are_detected_after_it_heals() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[4], seed);
        net.stop(3);
        net.cut_group(&[2]);
        net.run(3_000);
        let mut duplicate = identity(7, "centre-0", 50);
        duplicate.name = "vm-2".parse().unwrap();
        let duplicate = net.add_vm(duplicate);
        net.cut(2, duplicate);
        net.run(5_000);
        assert_eq!(net.state(duplicate).name_holder(), None);
        net.heal();
        net.run(6_000);
        assert!(net.state(duplicate).name_holder().is_some(), "seed {seed}");
        assert_all_alive(&net, &[0, 1, 2]);
        assert_eq!(net.state(0).members()[2].identity.peers, peer_address(2));
    }
}

#[test]
fn ticks_of_a_lone_vm_send_nothing() {
    let mut net = TestNet::new(&[1], 1);
    net.settings.seeds.clear();
    net.start(0);
    net.observe = Box::new(|_, message, _| panic!("sent {message:?}"));
    net.run(5_000);
    assert_eq!(net.now, MonoTime::from_millis(5_000));
}
