//! Selection of brokers that are added, removed or stop responding.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use fulmarweir_base::MonoTime;
use fulmarweir_route::{BrokerEndpoint, BrokerSelector, HandoverOutcome, Locality};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7_804).into()
}

fn endpoint(host: u8, centre: &str) -> BrokerEndpoint {
    BrokerEndpoint {
        address: address(host),
        centre: centre.into(),
    }
}

/// Returns a selector with brokers 1 to 3 in `next` and 9 in `other`; only those in `next` have
/// answered a probe.
fn selector() -> BrokerSelector {
    let mut selector = BrokerSelector::default();
    let endpoints = [
        endpoint(1, "next"),
        endpoint(2, "next"),
        endpoint(3, "next"),
        endpoint(9, "other"),
    ];
    selector.sync(&endpoints, at(0));
    let centres: [Arc<str>; 1] = ["next".into()];
    for broker in selector.due_probes(&centres, at(0)) {
        selector.record_probe(broker, Some(true), at(1));
    }
    selector
}

#[test]
fn only_probed_brokers_of_the_data_centre_are_chosen() {
    let mut selector = selector();
    assert_eq!(selector.usable_count(at(2)), 3);
    assert!(
        selector
            .choose(&"other".into(), &"s0".into(), |_| true, at(2))
            .is_none()
    );
    assert!(
        selector
            .choose(&"next".into(), &"s0".into(), |_| true, at(2))
            .is_some()
    );
}

/// Load pattern: many searches at once. They are spread over the brokers, and a stalled broker gets
/// no further ones.
#[test]
fn the_broker_with_the_fewest_searches_in_flight_is_chosen() {
    let mut selector = selector();
    let mut chosen: Vec<SocketAddr> = (0..3)
        .filter_map(|_| selector.choose(&"next".into(), &"s0".into(), |_| true, at(2)))
        .collect();
    chosen.sort_unstable();
    assert_eq!(chosen, [address(1), address(2), address(3)]);
    selector.record_handover_end(address(2), HandoverOutcome::Answered, at(10));
    selector.record_handover_end(address(3), HandoverOutcome::Abandoned, at(10));
    for _ in 0..2 {
        assert_ne!(
            selector.choose(&"next".into(), &"s0".into(), |_| true, at(11)),
            Some(address(1))
        );
    }
}

#[test]
fn a_broker_that_declines_a_search_is_not_chosen_for_a_while() {
    let mut selector = selector();
    let broker = selector
        .choose(&"next".into(), &"s0".into(), |_| true, at(2))
        .expect("a usable broker");
    selector.record_handover_end(broker, HandoverOutcome::NotTaken, at(5));
    assert_eq!(selector.usable_count(at(6)), 2);
    assert_eq!(selector.usable_count(at(300)), 3);
}

/// Load pattern: a broker is frozen. Its recovery is detected by probes only, so that no search is
/// delayed by it.
#[test]
fn a_failed_broker_is_chosen_again_only_after_a_probe() {
    let mut selector = selector();
    let centres: [Arc<str>; 1] = ["next".into()];
    let broker = selector
        .choose(&"next".into(), &"s0".into(), |_| true, at(2))
        .expect("a usable broker");
    selector.record_handover_end(broker, HandoverOutcome::Failed, at(100));
    assert_eq!(selector.usable_count(at(101)), 2);
    assert!(selector.due_probes(&centres, at(101)).is_empty());
    let mut now = 100;
    let mut probes = 0;
    while now < 4_000 {
        now += 250;
        for address in selector.due_probes(&centres, at(now)) {
            assert_eq!(address, broker);
            probes += 1;
            selector.record_probe(address, None, at(now + 100));
        }
        assert_eq!(selector.usable_count(at(now)), 2);
    }
    // The delay between probes grows.
    assert!((3..=6).contains(&probes), "{probes} probes in four seconds");
    let due = loop {
        now += 250;
        let due = selector.due_probes(&centres, at(now));
        if !due.is_empty() {
            break due;
        }
    };
    assert_eq!(due, [broker]);
    selector.record_probe(broker, Some(true), at(now));
    assert_eq!(selector.usable_count(at(now)), 3);
}

#[test]
fn brokers_that_stay_keep_their_state() {
    let mut selector = selector();
    selector.sync(&[endpoint(2, "next"), endpoint(4, "next")], at(20));
    assert_eq!(selector.usable_count(at(21)), 1);
    assert_eq!(
        selector.choose(&"next".into(), &"s0".into(), |_| true, at(21)),
        Some(address(2))
    );
}

/// Returns a selector of `hosts` in `next`, all of which have answered a probe.
fn large_selector(hosts: impl Iterator<Item = u8>) -> BrokerSelector {
    let mut selector = BrokerSelector::default();
    let endpoints: Vec<_> = hosts.map(|host| endpoint(host, "next")).collect();
    selector.sync(&endpoints, at(0));
    for broker in selector.due_probes(&["next".into()], at(0)) {
        selector.record_probe(broker, Some(true), at(1));
    }
    selector
}

/// Returns the brokers that get 200 searches over the group `key`, one after the other.
fn brokers_of(selector: &mut BrokerSelector, key: &str) -> BTreeSet<SocketAddr> {
    let (centre, key) = ("next".into(), key.into());
    let search = |_| {
        let broker = selector.choose(&centre, &key, |_| true, at(2)).unwrap();
        selector.record_handover_end(broker, HandoverOutcome::Answered, at(2));
        broker
    };
    (0..200).map(search).collect()
}

/// Load pattern: more VMs than a target has connections. All of them use the same few brokers for a
/// shard, so that these keep their connections open and know the target.
#[test]
fn vms_agree_on_the_few_brokers_of_a_group() {
    let mut one = large_selector(1..=50);
    let mut other = large_selector((1..=50).rev());
    let brokers = brokers_of(&mut one, "s30");
    assert_eq!(brokers.len(), 4);
    assert_eq!(brokers_of(&mut other, "s30"), brokers);
    let all: BTreeSet<SocketAddr> = (0..9)
        .flat_map(|group| brokers_of(&mut one, &format!("s{group}0")))
        .collect();
    assert!(all.len() >= 20, "{} brokers of nine groups", all.len());
}

/// Load pattern: a broker fails. The groups of the others keep their brokers.
#[test]
fn only_the_groups_of_a_failed_broker_move() {
    let mut selector = large_selector(1..=50);
    let before = brokers_of(&mut selector, "s30");
    let failed = *before.first().unwrap();
    let unaffected: Vec<String> = (0..40)
        .map(|group| format!("g{group}"))
        .filter(|key| !brokers_of(&mut selector, key).contains(&failed))
        .collect();
    let expected: Vec<_> = unaffected
        .iter()
        .map(|key| brokers_of(&mut selector, key))
        .collect();
    selector.record_handover_end(failed, HandoverOutcome::Failed, at(2));
    let after = brokers_of(&mut selector, "s30");
    assert!(!after.contains(&failed));
    assert_eq!(after.intersection(&before).count(), 3);
    for (key, expected) in unaffected.iter().zip(expected) {
        assert_eq!(brokers_of(&mut selector, key), expected);
    }
}

fn locality(centre: &str) -> Locality {
    match centre {
        "here" => Locality::Centre,
        "next" => Locality::Region,
        _ => Locality::Far,
    }
}

/// Returns a selector with one VM in each of three distances, all of which have answered a probe.
fn helpers() -> BrokerSelector {
    let mut selector = BrokerSelector::default();
    let endpoints = [endpoint(1, "here"), endpoint(2, "next")];
    selector.sync(&endpoints, at(0));
    selector.add_helpers(&[endpoint(3, "far")], at(0));
    for helper in selector.due_helper_probes(8, locality, at(0)) {
        selector.record_probe(helper, Some(true), at(1));
    }
    selector
}

/// Load pattern: all requests of a VM without links to targets go to others, which have callers of their own.
#[test]
fn near_helpers_come_first_and_requests_spread_once_they_have_many() {
    let mut selector = helpers();
    let mut counts = [0; 3];
    for _ in 0..60 {
        let chosen = selector
            .choose_helper(locality, |_| true, &[], at(2))
            .unwrap();
        let hosts = [1, 2, 3].map(address);
        let index = hosts.iter().position(|host| *host == chosen.address);
        counts[index.unwrap()] += 1;
    }
    assert!(counts[0] > counts[1] && counts[1] > counts[2], "{counts:?}");
    assert!(counts[2] > 0, "{counts:?}");
}

/// Guards against callers that are refused for 0.2 s since the only helper has declined one request.
#[test]
fn a_helper_that_declined_is_asked_again_if_there_is_no_other() {
    let mut selector = helpers();
    for host in [1, 2, 3] {
        let declined = HandoverOutcome::NotTaken;
        selector.record_handover_end(address(host), declined, at(2));
    }
    assert!(
        selector
            .choose_helper(locality, |_| true, &[], at(3))
            .is_some()
    );
    selector.record_handover_end(address(1), HandoverOutcome::Stranded, at(4));
    selector.record_handover_end(address(2), HandoverOutcome::Failed, at(4));
    let chosen = selector
        .choose_helper(locality, |_| true, &[], at(5))
        .unwrap();
    assert_eq!(chosen.address, address(3));
    assert_eq!(
        selector.choose_helper(locality, |_| true, &[address(3)], at(5)),
        None
    );
}

/// Load pattern: many VMs lose their links at once, and some of them do not know yet.
#[test]
fn only_vms_that_have_just_reached_targets_help_at_first() {
    let mut selector = helpers();
    selector.require_new_probes(&[address(3)], at(10));
    let chosen = selector
        .choose_helper(locality, |_| true, &[], at(10))
        .unwrap();
    assert_eq!(chosen.address, address(3));
    let due = selector.due_helper_probes(8, locality, at(10));
    assert_eq!(due, [address(1), address(2)], "near ones first");
}

#[test]
fn helpers_of_other_regions_are_forgotten_after_a_while() {
    let mut selector = helpers();
    let listed = [endpoint(1, "here"), endpoint(2, "next")];
    selector.sync(&listed, at(4_000));
    assert_eq!(selector.endpoints().count(), 3);
    selector.sync(&listed, at(6_000));
    assert_eq!(selector.endpoints().count(), 2);
}
