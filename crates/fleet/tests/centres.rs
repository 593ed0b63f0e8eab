//! Exchange of contacts and shards between data centres.

mod net;

use fulmarweir_base::{CentreName, TargetState};
use net::{TestNet, record};

const SEEDS: u64 = 4;

fn centre(index: usize) -> CentreName {
    format!("centre-{index}").parse().unwrap()
}

#[test]
fn every_vm_learns_contacts_of_all_centres() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[5, 4, 3], seed);
        net.run(5_000);
        for vm in 0..12 {
            let counts: Vec<_> = net
                .state(vm)
                .centres()
                .map(|known| known.live_vms)
                .collect();
            let contacts = net.state(vm).centres().map(|known| known.contacts.len());
            assert_eq!(counts.len(), 3, "seed {seed}, vm-{vm}");
            assert!(contacts.into_iter().all(|count| count == 3));
        }
    }
}

#[test]
fn every_vm_learns_which_shards_other_centres_hold() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[3, 3], seed);
        net.run(3_000);
        let target = net.add_target(record(5), 4);
        net.announce_target(target);
        net.run(2_000);
        let service = record(5).service;
        for vm in 0..3 {
            let holding = net.state(vm).centre_shards(&centre(1), &service).unwrap();
            assert!(holding.spans[0].has_shard(5));
            assert!(!holding.spans[0].has_shard(4));
        }
        net.targets[target].record.state = TargetState::Draining;
        net.announce_target(target);
        net.run(2_000);
        let holding = net.state(0).centre_shards(&centre(1), &service).unwrap();
        assert!(holding.spans.is_empty());
    }
}

#[test]
fn centres_find_each_other_again_after_a_cut() {
    for seed in 0..SEEDS {
        let mut net = TestNet::new(&[3, 3], seed);
        net.run(3_000);
        net.cut_group(&[3, 4, 5]);
        let target = net.add_target(record(5), 4);
        net.announce_target(target);
        net.run(30_000);
        let service = record(5).service;
        assert!(net.state(0).centre_shards(&centre(1), &service).is_none());
        net.heal();
        net.run(5_000);
        assert!(
            net.state(0).centre_shards(&centre(1), &service).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_centre_whose_vms_all_restarted_is_discovered_again() {
    let mut net = TestNet::new(&[2, 2], 1);
    net.run(5_000);
    for vm in [2, 3] {
        net.stop(vm);
    }
    net.run(10_000);
    for vm in [2, 3] {
        net.restart(vm);
    }
    net.run(8_000);
    let known = net
        .state(0)
        .centres()
        .find(|known| known.centre == centre(1))
        .unwrap();
    assert!(known.contacts.iter().all(|contact| contact.boot > 1));
}
