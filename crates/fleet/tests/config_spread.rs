//! Distribution of configurations, and readiness after a start.

mod net;

use fulmarweir_base::MonoTime;
use fulmarweir_fleet::{ConfigStamp, FleetAction, FleetState, ReadyPhase};
use net::{TestNet, peer_address};

fn stamp(version: u64) -> ConfigStamp {
    ConfigStamp::of(version, &format!("text {version}"))
}

fn apply(net: &mut TestNet, vm: usize, version: u64) {
    net.with(vm, |state, now| {
        state.on_config_applied(stamp(version), now)
    });
}

fn versions(net: &TestNet) -> Vec<u64> {
    let running = net.vms.iter().filter_map(|vm| vm.state.as_ref());
    running
        .map(|state| state.applied_config().version)
        .collect()
}

#[test]
fn nine_vms_in_three_centres_have_a_change_within_a_second() {
    for seed in 0..6 {
        let mut net = TestNet::new(&[3, 3, 3], seed);
        net.delay_ms = 20;
        net.run(5_000);
        for version in 1..10 {
            let origin = usize::try_from(version).unwrap() % 9;
            apply(&mut net, origin, version);
            net.run(1_000);
            assert_eq!(versions(&net), vec![version; 9], "seed {seed}");
        }
    }
}

#[test]
fn versions_only_grow_under_loss_and_racing_changes() {
    for seed in 0..6 {
        let mut net = TestNet::new(&[4, 3], seed);
        net.loss = 0.3;
        net.run(3_000);
        let mut before = versions(&net);
        for version in 1..30 {
            apply(&mut net, 0, version);
            apply(&mut net, 5, version.saturating_sub(3));
            net.run(300);
            let present = versions(&net);
            assert!(before.iter().zip(&present).all(|(old, new)| old <= new));
            before = present;
        }
        net.loss = 0.0;
        net.run(6_000);
        assert_eq!(versions(&net), vec![29; 7], "seed {seed}");
    }
}

#[test]
fn a_centre_cut_off_catches_up_within_five_seconds_of_healing() {
    for seed in 0..6 {
        let mut net = TestNet::new(&[3, 3, 3], seed);
        net.run(3_000);
        net.cut_group(&[6, 7, 8]);
        for version in 1..=500 {
            apply(&mut net, 0, version);
            net.run(50);
        }
        assert_eq!(versions(&net)[6..], [0, 0, 0]);
        net.heal();
        net.run(5_000);
        assert_eq!(versions(&net), vec![500; 9], "seed {seed}");
    }
}

#[test]
fn a_vm_without_disk_is_ready_only_once_it_holds_what_its_peers_have() {
    let mut net = TestNet::new(&[3], 1);
    net.run(2_000);
    apply(&mut net, 0, 7);
    net.run(2_000);
    net.restart(2);
    assert_eq!(net.state(2).phase(), ReadyPhase::Learning);
    net.run_checked(3_000, |net| {
        let state = net.state(2);
        assert!(state.phase() != ReadyPhase::Ready || state.applied_config().version == 7);
    });
    assert_eq!(net.state(2).phase(), ReadyPhase::Ready);
}

#[test]
fn a_vm_without_disk_and_peers_is_not_ready() {
    let mut net = TestNet::new(&[3], 1);
    net.run(1_000);
    net.cut_group(&[2]);
    net.restart(2);
    net.run(20_000);
    assert_eq!(net.state(2).phase(), ReadyPhase::Learning);
    net.heal();
    net.run(5_000);
    assert_eq!(net.state(2).phase(), ReadyPhase::Ready);
}

#[test]
fn a_vm_with_a_disk_waits_for_peers_and_then_serves_what_it_has() {
    let mut net = TestNet::new(&[3], 1);
    net.run(1_000);
    net.cut_group(&[2]);
    net.vms[2].stored_config = stamp(4);
    net.restart(2);
    net.run(4_000);
    assert_eq!(net.state(2).phase(), ReadyPhase::Learning);
    net.run(2_000);
    assert_eq!(net.state(2).phase(), ReadyPhase::Ready);
}

#[test]
fn a_quorum_read_determines_the_newest_version() {
    let mut net = TestNet::new(&[3], 1);
    net.stop(0);
    net.stop(1);
    net.run(100);
    net.with(2, |state, now| state.on_quorum_config(stamp(3), now));
    assert_eq!(net.state(2).phase(), ReadyPhase::Fetching);
    apply(&mut net, 2, 3);
    assert_eq!(net.state(2).phase(), ReadyPhase::Ready);
}

#[test]
fn members_know_each_others_version() {
    let mut net = TestNet::new(&[4], 1);
    net.run(2_000);
    apply(&mut net, 1, 5);
    net.run(3_000);
    let members = net.state(0).members();
    assert!(members.iter().all(|view| view.config == stamp(5)));
}

#[test]
fn two_texts_under_one_number_are_reported() {
    let mut net = TestNet::new(&[2], 1);
    net.run(2_000);
    net.cut(0, 1);
    apply(&mut net, 0, 1);
    net.with(1, |state, now| {
        state.on_config_applied(ConfigStamp::of(1, "other"), now)
    });
    net.heal();
    net.run(3_000);
    let is_conflict = |action: &FleetAction| matches!(action, FleetAction::ConfigConflict { .. });
    assert!(net.count_reports(is_conflict) > 0);
}

#[test]
fn a_failed_fetch_is_retried() {
    let mut net = TestNet::new(&[1], 1);
    net.run(100);
    let from = peer_address(40);
    let mut asked = 0;
    let mut ask = |actions: Vec<FleetAction>| {
        let wanted = |action: &&FleetAction| matches!(action, FleetAction::ConfigOutdated { .. });
        asked += actions.iter().filter(wanted).count();
        Vec::new()
    };
    net.with(0, |state, now| {
        let news = fulmarweir_fleet::FleetMessage::ConfigNews(stamp(2));
        ask(state.on_message(from, news, now))
    });
    for step in 1..=20 {
        let at = MonoTime::from_millis(100 + step * 100);
        net.with(0, |state, _| ask(FleetState::on_tick(state, at)));
    }
    assert_eq!(asked, 5);
}
