//! Targets for opaque requests: leases at keepers, and the merged registries of several keepers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_fleet::{
    AnnounceOutcome, AnnouncedState, MergedRegistry, RegistryDelta, TargetAnnouncement,
    TargetRegistry,
};

const PERIOD: Duration = Duration::from_secs(1);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn announcement(id: &str, port: u16, born_ms: u64, sequence: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        id: id.into(),
        service: "shard-1".into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        centre: "east".into(),
        slots: 3,
        state: AnnouncedState::Serving,
        born_ms,
        sequence,
        warm_up_ms: 0,
    }
}

fn draining(announcement: TargetAnnouncement) -> TargetAnnouncement {
    TargetAnnouncement {
        state: AnnouncedState::Draining,
        ..announcement
    }
}

fn keeper(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1], number))
}

fn serving(merged: &MergedRegistry) -> Vec<String> {
    let serving = merged.serving();
    serving
        .iter()
        .map(|announcement| announcement.id.to_string())
        .collect()
}

/// Makes a registry settled, so that its readers remove targets that it does not list.
fn mark_settled(registry: &mut TargetRegistry, now: MonoTime) {
    registry.expire(now);
}

fn read(registry: &TargetRegistry, merged: &mut MergedRegistry, keeper: SocketAddr, now: MonoTime) {
    let delta: RegistryDelta = registry.changes_since(merged.cursor(keeper));
    merged.apply_delta(keeper, delta, now);
}

#[test]
fn late_announcements_change_nothing() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    assert_eq!(
        registry.announce(announcement("i-1", 1, 5, 4), at(0)),
        AnnounceOutcome::Changed
    );
    assert_eq!(
        registry.announce(announcement("i-1", 1, 5, 6), at(1)),
        AnnounceOutcome::Renewed
    );
    let late = draining(announcement("i-1", 1, 5, 5));
    assert_eq!(registry.announce(late, at(2)), AnnounceOutcome::Stale);
    assert_eq!(
        registry.withdraw(&"i-1".into(), 9, at(3)),
        AnnounceOutcome::Changed
    );
    // A partition may delay an announcement until after the target has left.
    assert_eq!(
        registry.announce(announcement("i-1", 1, 5, 99), at(4)),
        AnnounceOutcome::Stale
    );
    assert_eq!(registry.targets().count(), 0);
    // The target restarts under the same id, with its sequence numbers from the beginning.
    assert_eq!(
        registry.announce(announcement("i-1", 1, 70, 1), at(5)),
        AnnounceOutcome::Changed
    );
    assert_eq!(registry.targets().count(), 1);
}

#[test]
fn a_withdrawn_target_that_never_announced_here_stays_gone() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.withdraw(&"i-1".into(), 1_000, at(0));
    assert_eq!(
        registry.announce(announcement("i-1", 1, 900, 8), at(1)),
        AnnounceOutcome::Stale
    );
    assert_eq!(
        registry.announce(announcement("i-1", 1, 1_500, 1), at(2)),
        AnnounceOutcome::Changed
    );
}

/// Guards against a departure that is acknowledged and has no effect, as the keeper knows an earlier incarnation
/// of the target only: one that has left, or one that has not announced itself for a while.
#[test]
fn the_departure_of_an_incarnation_that_announced_itself_elsewhere_has_effect() {
    let (first, second) = (
        announcement("i-1", 1, 5_000, 1),
        announcement("i-1", 1, 9_000, 1),
    );
    let mut has_left = TargetRegistry::new(1, PERIOD, at(0));
    has_left.announce(first.clone(), at(0));
    has_left.withdraw(&"i-1".into(), 6_000, at(100));
    let mut is_silent = TargetRegistry::new(2, PERIOD, at(0));
    is_silent.announce(first, at(0));
    for mut keeper in [has_left, is_silent] {
        let mut other = TargetRegistry::new(3, PERIOD, at(0));
        other.announce(second.clone(), at(4_000));
        let outcome = keeper.withdraw(&"i-1".into(), 9_900, at(4_900));
        assert_eq!(outcome, AnnounceOutcome::Changed);
        let departure = keeper.unreplicated_departure("i-1").unwrap();
        assert_eq!(
            other.adopt_departure(departure, at(4_910)),
            AnnounceOutcome::Changed
        );
        assert_eq!(other.targets().count(), 0);
        // One that starts after the departure is used.
        let third = announcement("i-1", 1, 9_950, 1);
        assert_eq!(other.announce(third, at(5_000)), AnnounceOutcome::Changed);
    }
}

/// Guards against a target whose clock is behind the keeper's and that is not used when it starts again.
#[test]
fn the_departure_of_a_known_incarnation_covers_no_later_one() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(announcement("i-1", 1, 5, 1), at(0));
    registry.announce(announcement("i-1", 1, 5, 2), at(1_000));
    registry.withdraw(&"i-1".into(), 90_000, at(2_000));
    registry.withdraw(&"i-1".into(), 90_100, at(2_100));
    let again = registry.announce(announcement("i-1", 1, 6, 1), at(3_000));
    assert_eq!(again, AnnounceOutcome::Changed);
}

#[test]
fn a_lapsed_lease_is_reported_to_readers() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    mark_settled(&mut registry, at(6_000));
    registry.announce(announcement("i-1", 1, 5, 1), at(6_000));
    read(&registry, &mut merged, keeper(1), at(6_000));
    assert_eq!(serving(&merged), ["i-1"]);
    assert!(!registry.has_changes(merged.cursor(keeper(1))));
    let lapsed = registry.expire(at(11_001));
    assert_eq!(lapsed.len(), 1);
    assert!(registry.has_changes(merged.cursor(keeper(1))));
    let delta = registry.changes_since(merged.cursor(keeper(1)));
    assert!(!delta.whole);
    merged.apply_delta(keeper(1), delta, at(11_001));
    assert!(serving(&merged).is_empty());
}

#[test]
fn the_latest_announcement_at_any_keeper_wins() {
    let mut first = TargetRegistry::new(1, PERIOD, at(0));
    let mut second = TargetRegistry::new(2, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    first.announce(announcement("i-1", 1, 5, 4), at(0));
    read(&first, &mut merged, keeper(1), at(0));
    // The first keeper does not answer, so the target announces the drain to another keeper.
    second.announce(draining(announcement("i-1", 1, 5, 9)), at(10));
    read(&second, &mut merged, keeper(2), at(10));
    assert!(serving(&merged).is_empty());
}

#[test]
fn an_address_belongs_to_the_target_that_started_there_last() {
    let mut first = TargetRegistry::new(1, PERIOD, at(0));
    let mut second = TargetRegistry::new(2, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    first.announce(announcement("i-old", 1, 5, 400), at(0));
    second.announce(announcement("i-new", 1, 90, 1), at(0));
    read(&first, &mut merged, keeper(1), at(0));
    read(&second, &mut merged, keeper(2), at(0));
    assert_eq!(serving(&merged), ["i-new"]);
}

#[test]
fn a_restarted_keeper_does_not_take_targets_away() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    mark_settled(&mut registry, at(6_000));
    registry.announce(announcement("i-1", 1, 5, 1), at(6_000));
    registry.announce(announcement("i-2", 2, 5, 1), at(6_000));
    read(&registry, &mut merged, keeper(1), at(6_000));

    let mut restarted = TargetRegistry::new(2, PERIOD, at(7_000));
    read(&restarted, &mut merged, keeper(1), at(7_000));
    assert_eq!(serving(&merged), ["i-1", "i-2"]);
    restarted.announce(announcement("i-2", 2, 5, 7), at(7_500));
    read(&restarted, &mut merged, keeper(1), at(7_500));
    assert_eq!(serving(&merged), ["i-1", "i-2"]);
    // Once the keeper has been up for a lease, targets that it does not list are removed.
    restarted.announce(announcement("i-2", 2, 5, 9), at(11_500));
    mark_settled(&mut restarted, at(12_000));
    read(&restarted, &mut merged, keeper(1), at(12_000));
    assert_eq!(serving(&merged), ["i-2"]);
}

#[test]
fn targets_from_disk_are_dropped_unless_they_announce_themselves() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    let held = vec![
        announcement("i-1", 1, 5, 1),
        announcement("i-2", 2, 5, 1),
        draining(announcement("i-3", 3, 5, 1)),
    ];
    registry.restore(held, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    read(&registry, &mut merged, keeper(1), at(0));
    assert_eq!(serving(&merged), ["i-1", "i-2"]);
    registry.announce(announcement("i-2", 2, 5, 2), at(1_500));
    registry.expire(at(2_001));
    read(&registry, &mut merged, keeper(1), at(2_001));
    assert_eq!(serving(&merged), ["i-2"]);
}

/// Guards against a delayed announcement that arrives after the keeper was restarted: it brought a
/// target back that had withdrawn.
#[test]
fn a_target_that_has_left_does_not_come_back_after_a_restart_of_its_keeper() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(announcement("i-1", 1, 5, 1), at(0));
    registry.withdraw(&"i-1".into(), 100, at(10));
    let mut restarted = TargetRegistry::new(2, PERIOD, at(0));
    restarted.restore(registry.snapshot(), PERIOD, at(0));
    for now_ms in [2_001, 10_000, 59_000] {
        restarted.expire(at(now_ms));
        let late = restarted.announce(announcement("i-1", 1, 5, 1), at(now_ms));
        assert_eq!(late, AnnounceOutcome::Stale, "after {now_ms} ms");
    }
}

/// The same without a restart, for a target that drains and ends without a last word.
#[test]
fn a_draining_target_whose_lease_has_lapsed_does_not_come_back() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    mark_settled(&mut registry, at(6_000));
    registry.announce(announcement("i-1", 1, 5, 1), at(6_000));
    registry.announce(draining(announcement("i-1", 1, 5, 3)), at(6_100));
    let lapsed = registry.expire(at(60_000));
    assert_eq!(lapsed.len(), 1);
    let late = registry.announce(announcement("i-1", 1, 5, 2), at(60_001));
    assert_eq!(late, AnnounceOutcome::Stale);
    read(&registry, &mut merged, keeper(1), at(60_002));
    assert!(serving(&merged).is_empty());
    // The next incarnation is another one.
    registry.announce(announcement("i-1", 1, 6, 1), at(60_003));
    read(&registry, &mut merged, keeper(1), at(60_004));
    assert_eq!(serving(&merged), ["i-1"]);
}

#[test]
fn silent_keepers_are_kept_while_no_other_answers() {
    let mut first = TargetRegistry::new(1, PERIOD, at(0));
    let mut merged = MergedRegistry::default();
    first.announce(announcement("i-1", 1, 5, 1), at(0));
    read(&first, &mut merged, keeper(1), at(0));
    assert!(!merged.remove_silent_keepers(at(100_000)));
    assert_eq!(serving(&merged), ["i-1"]);

    let mut second = TargetRegistry::new(2, PERIOD, at(90_000));
    mark_settled(&mut second, at(96_000));
    second.announce(announcement("i-2", 2, 5, 1), at(100_000));
    read(&second, &mut merged, keeper(2), at(100_000));
    assert!(merged.remove_silent_keepers(at(100_001)));
    assert_eq!(serving(&merged), ["i-2"]);
}

#[test]
fn a_reader_far_behind_gets_everything() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    mark_settled(&mut registry, at(6_000));
    registry.announce(announcement("keep", 9_999, 5, 1), at(6_000));
    let cursor = registry.changes_since(None).cursor;
    for number in 0..1_100_u16 {
        let id: Arc<str> = format!("i-{number}").into();
        registry.announce(announcement(&id, number, 5, 1), at(6_001));
    }
    registry.announce(announcement("keep", 9_999, 5, 2), at(12_000));
    assert_eq!(registry.expire(at(12_002)).len(), 1_100);
    let delta = registry.changes_since(Some(cursor));
    assert!(delta.whole);
    assert_eq!(delta.announcements.len(), 1);
}

fn cold(sequence: u64, warm_up_ms: u32) -> TargetAnnouncement {
    TargetAnnouncement {
        warm_up_ms,
        ..announcement("a", 1, 1, sequence)
    }
}

/// Guards against a change for each announcement while a target warms up as expected.
#[test]
fn a_warm_up_that_goes_on_as_expected_is_no_change() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(cold(1, 10_000), at(0));
    for (sequence, now_ms) in (2..).zip((1_200..10_000).step_by(1_200)) {
        let left_ms = 10_000 - now_ms;
        let announced = cold(sequence, u32::try_from(left_ms).unwrap());
        let outcome = registry.announce(announced, at(now_ms));
        assert_eq!(outcome, AnnounceOutcome::Renewed, "at {now_ms}");
    }
    let whole = registry.changes_since(None);
    assert_eq!(
        whole.announcements[0].warm_up_ms, 400,
        "not the first value"
    );
}

/// Guards against VMs that flood a target which has become cold without a restart.
#[test]
fn a_target_that_turns_cold_or_warm_unexpectedly_is_a_change() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(cold(1, 0), at(0));
    assert_eq!(
        registry.announce(cold(2, 0), at(1_000)),
        AnnounceOutcome::Renewed
    );
    let turned = registry.announce(cold(3, 9_000), at(2_000));
    assert_eq!(turned, AnnounceOutcome::Changed);
    let warm = registry.announce(cold(4, 0), at(3_000));
    assert_eq!(warm, AnnounceOutcome::Changed, "8 s earlier than told");
}

/// Guards against a target that counts as warm between the end that was told and the next one.
#[test]
fn a_longer_warm_up_is_passed_on_before_the_earlier_one_ends() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(cold(1, 5_000), at(0));
    assert_eq!(
        registry.announce(cold(2, 5_000), at(1_200)),
        AnnounceOutcome::Renewed
    );
    assert_eq!(
        registry.announce(cold(3, 5_000), at(2_400)),
        AnnounceOutcome::Changed
    );
    assert_eq!(
        registry.announce(cold(4, 5_000), at(3_600)),
        AnnounceOutcome::Renewed
    );
}

/// Guards against a departure that only the lost keeper which was told of it could pass on.
#[test]
fn a_departure_that_another_keeper_was_told_counts_without_that_keeper() {
    for departure in [
        draining(announcement("a", 1, 100, 8)),
        TargetAnnouncement {
            state: AnnouncedState::Gone,
            ..announcement("a", 1, 100, 7)
        },
    ] {
        let mut survivor = TargetRegistry::new(2, PERIOD, at(0));
        let mut merged = MergedRegistry::default();
        // A keeper that missed the departure still lists the target.
        let mut unaware = TargetRegistry::new(3, PERIOD, at(0));
        unaware.announce(announcement("a", 1, 100, 7), at(100));
        read(&unaware, &mut merged, keeper(3), at(100));
        assert_eq!(serving(&merged), ["a"]);
        let adopted = survivor.adopt_departure(departure.clone(), at(200));
        assert_eq!(adopted, AnnounceOutcome::Changed);
        assert!(survivor.has_changes(merged.cursor(keeper(2))));
        read(&survivor, &mut merged, keeper(2), at(300));
        assert!(serving(&merged).is_empty(), "{departure:?}");
        // Delayed announcements from before the departure change nothing, also after the lease.
        survivor.expire(at(8_000));
        let late = survivor.announce(announcement("a", 1, 100, 6), at(8_100));
        assert_eq!(late, AnnounceOutcome::Stale);
        // The next incarnation is used.
        survivor.announce(announcement("a", 1, 200, 1), at(8_200));
        read(&survivor, &mut merged, keeper(2), at(8_300));
        assert_eq!(serving(&merged), ["a"]);
    }
}

/// Guards against a copy that undoes what this keeper knows better.
#[test]
fn only_departures_that_are_later_than_the_known_announcement_are_adopted() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(announcement("a", 1, 200, 5), at(100));
    let earlier = TargetAnnouncement {
        state: AnnouncedState::Gone,
        ..announcement("a", 1, 100, 9)
    };
    let serving = announcement("a", 1, 300, 1);
    let repeated = draining(announcement("a", 1, 200, 5));
    for ignored in [earlier, serving, repeated] {
        let outcome = registry.adopt_departure(ignored, at(200));
        assert_eq!(outcome, AnnounceOutcome::Stale);
    }
    assert_eq!(registry.targets().count(), 1);
}

/// Guards against a resent departure that is acknowledged although the first call could not be
/// replicated, and against one that is replicated again and again.
#[test]
fn a_departure_is_to_be_replicated_until_it_was() {
    let mut registry = TargetRegistry::new(1, PERIOD, at(0));
    registry.announce(announcement("a", 1, 100, 1), at(0));
    assert_eq!(registry.unreplicated_departure("a"), None);
    registry.announce(draining(announcement("a", 1, 100, 2)), at(100));
    let first = registry.unreplicated_departure("a").unwrap();
    assert_eq!(registry.unreplicated_departure("a"), Some(first.clone()));
    registry.record_replicated(&first);
    assert_eq!(registry.unreplicated_departure("a"), None);
    // A repeated announcement is no further departure, the withdrawal is.
    registry.announce(draining(announcement("a", 1, 100, 3)), at(200));
    assert_eq!(registry.unreplicated_departure("a"), None);
    registry.withdraw(&"a".into(), 1_000, at(300));
    let withdrawn = registry.unreplicated_departure("a").unwrap();
    assert_eq!(withdrawn.state, AnnouncedState::Gone);
    registry.withdraw(&"a".into(), 1_000, at(400));
    assert!(registry.unreplicated_departure("a").is_some());
    registry.record_replicated(&withdrawn);
    registry.withdraw(&"a".into(), 1_000, at(500));
    assert_eq!(registry.unreplicated_departure("a"), None);
}
