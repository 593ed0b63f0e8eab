//! When a missing voter is replaced.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_quorum::{VoterHealth, VoterIdentity, VoterMember, VoterMonitor, VoterSet};

const GONE_AFTER: Duration = Duration::from_mins(5);

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

/// A report in which only the voters `present` answered.
fn report(present: &[u16]) -> Vec<VoterHealth> {
    let health = |number| VoterHealth {
        member: member(number),
        reachable: present.contains(&number),
        caught_up: present.contains(&number),
    };
    (1..=3).map(health).collect()
}

#[test]
fn missing_voter_is_replaced_by_the_first_free_spare() {
    let mut watch = VoterMonitor::new(GONE_AFTER);
    watch.observe(MonoTime::ZERO, &report(&[1, 3]));
    let spares = [member(1), member(8), member(9)];
    let early = MonoTime::from_millis(299_999);
    assert_eq!(watch.replacement(early, &three_voters(), &spares), None);
    let due = MonoTime::ZERO + GONE_AFTER;
    watch.observe(due, &report(&[1, 3]));
    let replacement = watch.replacement(due, &three_voters(), &spares).unwrap();
    assert_eq!(replacement.gone, VoterIdentity(2));
    assert_eq!(replacement.spare, member(8));
    assert_eq!(watch.replacement(due, &three_voters(), &spares[..1]), None);
}

#[test]
fn voter_that_answers_again_is_kept() {
    let mut watch = VoterMonitor::new(GONE_AFTER);
    let due = MonoTime::ZERO + GONE_AFTER;
    watch.observe(MonoTime::ZERO, &report(&[1, 3]));
    watch.observe(MonoTime::from_millis(1), &report(&[1, 2, 3]));
    watch.observe(due, &report(&[1, 3]));
    assert_eq!(watch.replacement(due, &three_voters(), &[member(8)]), None);
}

#[test]
fn vm_that_is_cut_off_itself_replaces_nobody() {
    let mut watch = VoterMonitor::new(GONE_AFTER);
    let due = MonoTime::ZERO + GONE_AFTER;
    watch.observe(MonoTime::ZERO, &report(&[1]));
    watch.observe(due, &report(&[1]));
    assert_eq!(watch.replacement(due, &three_voters(), &[member(8)]), None);
}
