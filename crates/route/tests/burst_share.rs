//! Tests of a VM's part of the burst of extra attempts.

use std::{sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{Locality, RelayTarget, TargetSelector};

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

fn target() -> RelayTarget {
    RelayTarget {
        id: "s0-0".into(),
        service: "s0".into(),
        address: ([10, 0, 0, 1], 80).into(),
        centre: "a".into(),
        region: "home".into(),
        locality: Locality::Centre,
        slots: 3,
        born_ms: 1,
        warm_up_ms: 0,
    }
}

/// Returns a selector with one target of the service `s0`, whose budget is the burst alone.
fn selector(burst_from: MonoTime) -> TargetSelector {
    let limits = ExtraAttemptLimits {
        share: 0.0,
        burst: 100.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, burst_from);
    selector.record_vm_count(10, at(0));
    selector.sync(vec![target()], |_| Some(30), at(0));
    selector
}

/// Returns the number of extra attempts that a VM may send now.
fn extra_attempts(selector: &mut TargetSelector, now: MonoTime) -> usize {
    let service: Arc<str> = "s0".into();
    (0..200)
        .take_while(|_| selector.try_acquire_extra(&service, now))
        .count()
}

#[test]
fn a_vm_that_has_just_started_has_no_burst() {
    let mut selector = selector(at(10));
    assert_eq!(extra_attempts(&mut selector, at(9)), 0);
    assert!(extra_attempts(&mut selector, at(11)) > 0);
}

#[test]
fn the_burst_is_divided_by_the_highest_count_until_others_must_have_noticed() {
    let mut selector = selector(at(0));
    // 85% of a tenth of the burst.
    assert_eq!(extra_attempts(&mut selector, at(1)), 8);
    for second in 2..60 {
        selector.record_vm_count(5, at(second));
        if second % 15 == 0 && second < 40 {
            assert_eq!(extra_attempts(&mut selector, at(second)), 8);
        }
    }
    // 85% of a fifth.
    assert_eq!(extra_attempts(&mut selector, at(60)), 17);
}

/// Load pattern: a VM is cut off from all keepers while the others share out its part.
#[test]
fn a_vm_without_keepers_stops_using_its_part_before_others_do() {
    let mut selector = selector(at(0));
    assert!(extra_attempts(&mut selector, at(29)) > 0);
    assert_eq!(extra_attempts(&mut selector, at(45)), 0);
    selector.record_vm_count(10, at(46));
    assert!(extra_attempts(&mut selector, at(46)) > 0);
}

/// Load pattern: keepers fall silent one by one, and the list of targets is replaced for each.
#[test]
fn a_new_list_of_targets_does_not_renew_the_lease() {
    let mut selector = selector(at(0));
    selector.sync(vec![target()], |_| Some(30), at(25));
    assert_eq!(extra_attempts(&mut selector, at(45)), 0);
}
