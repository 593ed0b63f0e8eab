//! The choice of brokers, replayed on VMs that come, go and fall silent.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::MonoTime;
use fulmarweir_route::{BrokerEndpoint, BrokerSelector, HandoverOutcome};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7_804).into()
}

fn place(host: u8, centre: &str) -> BrokerEndpoint {
    BrokerEndpoint {
        address: address(host),
        centre: centre.into(),
    }
}

/// Brokers 1 to 3 in `next` and 9 in `other`, those in `next` proven.
fn desk() -> BrokerSelector {
    let mut desk = BrokerSelector::default();
    let places = [
        place(1, "next"),
        place(2, "next"),
        place(3, "next"),
        place(9, "other"),
    ];
    desk.sync(&places, at(0));
    let centres: [Arc<str>; 1] = ["next".into()];
    for broker in desk.due_probes(&centres, at(0)) {
        desk.probed(broker, Some(true), at(1));
    }
    desk
}

#[test]
fn only_proven_brokers_of_the_data_centre_are_chosen() {
    let mut desk = desk();
    assert_eq!(desk.usable_count(at(2)), 3);
    assert!(desk.choose("other", at(2)).is_none());
    assert!(desk.choose("next", at(2)).is_some());
}

/// Load pattern: many searches at once are spread, and a stalled broker gets no more of them.
#[test]
fn the_broker_with_the_fewest_open_searches_is_next() {
    let mut desk = desk();
    let mut chosen: Vec<SocketAddr> = (0..3).filter_map(|_| desk.choose("next", at(2))).collect();
    chosen.sort_unstable();
    assert_eq!(chosen, [address(1), address(2), address(3)]);
    desk.ended(address(2), HandoverOutcome::Answered, at(10));
    desk.ended(address(3), HandoverOutcome::Abandoned, at(10));
    for _ in 0..2 {
        assert_ne!(desk.choose("next", at(11)), Some(address(1)));
    }
}

#[test]
fn a_broker_that_does_not_take_searches_rests() {
    let mut desk = desk();
    let broker = desk.choose("next", at(2)).expect("one is fit");
    desk.ended(broker, HandoverOutcome::NotTaken, at(5));
    assert_eq!(desk.usable_count(at(6)), 2);
    assert_eq!(desk.usable_count(at(300)), 3);
}

/// Load pattern: a frozen broker. No further search pays for finding out that it is back.
#[test]
fn a_lost_broker_comes_back_by_probes_alone() {
    let mut desk = desk();
    let centres: [Arc<str>; 1] = ["next".into()];
    let broker = desk.choose("next", at(2)).expect("one is fit");
    desk.ended(broker, HandoverOutcome::Failed, at(100));
    assert_eq!(desk.usable_count(at(101)), 2);
    assert!(desk.due_probes(&centres, at(101)).is_empty());
    let mut now = 100;
    let mut probes = 0;
    while now < 4_000 {
        now += 250;
        for address in desk.due_probes(&centres, at(now)) {
            assert_eq!(address, broker);
            probes += 1;
            desk.probed(address, None, at(now + 100));
        }
        assert_eq!(desk.usable_count(at(now)), 2);
    }
    // The pauses between probes grow.
    assert!((3..=6).contains(&probes), "{probes} probes in four seconds");
    let due = loop {
        now += 250;
        let due = desk.due_probes(&centres, at(now));
        if !due.is_empty() {
            break due;
        }
    };
    assert_eq!(due, [broker]);
    desk.probed(broker, Some(true), at(now));
    assert_eq!(desk.usable_count(at(now)), 3);
}

#[test]
fn brokers_that_stay_keep_their_state() {
    let mut desk = desk();
    desk.sync(&[place(2, "next"), place(4, "next")], at(20));
    assert_eq!(desk.usable_count(at(21)), 1);
    assert_eq!(desk.choose("next", at(21)), Some(address(2)));
}
