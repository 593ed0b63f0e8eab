//! Tests of the conditions under which an unreachable voter is replaced.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_quorum::{VoterHealth, VoterIdentity, VoterMember, VoterMonitor, VoterSet};

const REPLACE_AFTER: Duration = Duration::from_mins(5);

fn member(number: u16) -> VoterMember {
    VoterMember {
        name: format!("vm-{number}").parse().unwrap(),
        identity: VoterIdentity(number.into()),
        address: ([127, 0, 0, 1], number).into(),
    }
}

fn three_voters() -> VoterSet {
    VoterSet::new(1, (1..=3).map(member).collect())
}

/// Returns a health report in which only the voters `present` answered.
fn report(present: &[u16]) -> Vec<VoterHealth> {
    let health = |number| VoterHealth {
        member: member(number),
        reachable: present.contains(&number),
        caught_up: present.contains(&number),
    };
    (1..=3).map(health).collect()
}

#[test]
fn unreachable_voter_is_replaced_by_the_first_nonvoting_candidate() {
    let mut monitor = VoterMonitor::new(REPLACE_AFTER);
    monitor.observe(MonoTime::ZERO, &report(&[1, 3]));
    let candidates = [member(1), member(8), member(9)];
    let early = MonoTime::from_millis(299_999);
    assert_eq!(
        monitor.replacement(early, &three_voters(), &candidates),
        None
    );
    let due = MonoTime::ZERO + REPLACE_AFTER;
    monitor.observe(due, &report(&[1, 3]));
    let replacement = monitor
        .replacement(due, &three_voters(), &candidates)
        .unwrap();
    assert_eq!(replacement.failed, VoterIdentity(2));
    assert_eq!(replacement.candidate, member(8));
    assert_eq!(
        monitor.replacement(due, &three_voters(), &candidates[..1]),
        None
    );
}

#[test]
fn voter_that_answers_again_is_kept() {
    let mut monitor = VoterMonitor::new(REPLACE_AFTER);
    let due = MonoTime::ZERO + REPLACE_AFTER;
    monitor.observe(MonoTime::ZERO, &report(&[1, 3]));
    monitor.observe(MonoTime::from_millis(1), &report(&[1, 2, 3]));
    monitor.observe(due, &report(&[1, 3]));
    assert_eq!(
        monitor.replacement(due, &three_voters(), &[member(8)]),
        None
    );
}

#[test]
fn vm_without_a_majority_replaces_no_voter() {
    let mut monitor = VoterMonitor::new(REPLACE_AFTER);
    let due = MonoTime::ZERO + REPLACE_AFTER;
    monitor.observe(MonoTime::ZERO, &report(&[1]));
    monitor.observe(due, &report(&[1]));
    assert_eq!(
        monitor.replacement(due, &three_voters(), &[member(8)]),
        None
    );
}
