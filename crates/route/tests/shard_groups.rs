//! Tests of how the shards of a search are divided among brokers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_conf::ExtraAttemptLimits;
use fulmarweir_route::{Locality, PlacementRule, RelayTarget, ShardGroup, TargetSelector};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn services(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|shard| format!("s{shard}").into()).collect()
}

/// Returns the groups of a search over `count` shards with a near target in the data centre and at
/// the distance that `place` returns, and a far one.
fn groups(
    count: usize,
    place: impl Fn(usize) -> Option<(&'static str, Locality)>,
) -> Vec<ShardGroup> {
    let limits = ExtraAttemptLimits {
        share: 0.2,
        burst: 50.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(limits, at(0));
    let target = |service: &Arc<str>, centre: &str, locality| RelayTarget {
        id: format!("{service}-{centre}").into(),
        service: Arc::clone(service),
        address: ([10, 0, 0, 1], 80).into(),
        centre: centre.into(),
        region: "home".into(),
        locality,
        slots: 7,
        born_ms: 1,
        warm_up_ms: 0,
    };
    let services = services(count);
    let mut targets = Vec::new();
    for (index, service) in services.iter().enumerate() {
        targets.push(target(service, "far", Locality::Far));
        targets.extend(place(index).map(|(centre, locality)| target(service, centre, locality)));
    }
    selector.sync(targets, |_| Some(194), at(0));
    selector.shard_groups(&services, &PlacementRule::default(), at(0))
}

fn by_key(groups: &[ShardGroup]) -> BTreeMap<Arc<str>, Vec<usize>> {
    let entries = groups.iter();
    let entries = entries.map(|group| (Arc::clone(&group.key), group.sub_requests.clone()));
    entries.collect()
}

/// Load pattern: a search over more shards than a small VM can query within the time that its
/// caller waits, while other VMs of the data centre are idle.
#[test]
fn a_search_over_many_shards_is_divided_evenly_wherever_its_targets_are() {
    for locality in [Locality::Centre, Locality::Region] {
        for count in [90, 135] {
            let groups = groups(count, |_| Some(("a", locality)));
            let sizes: Vec<usize> = groups.iter().map(|g| g.sub_requests.len()).collect();
            assert!(
                sizes.iter().all(|size| (8..=10).contains(size)),
                "{sizes:?}"
            );
            assert_eq!(sizes.iter().sum::<usize>(), count);
        }
    }
}

#[test]
fn a_vm_queries_a_few_near_shards_itself() {
    assert!(groups(16, |_| Some(("a", Locality::Centre))).is_empty());
    assert!(groups(3, |_| Some(("a", Locality::Region))).is_empty());
    assert!(groups(90, |_| None).is_empty());
}

#[test]
fn shards_of_two_data_centres_are_not_mixed() {
    let place = |index: usize| match index % 2 {
        0 => Some(("a", Locality::Centre)),
        _ => Some(("b", Locality::Region)),
    };
    let groups = groups(36, place);
    assert_eq!(groups.len(), 4);
    for group in groups {
        let odd = usize::from(&*group.centre == "b");
        assert_eq!(group.sub_requests.len(), 9);
        assert!(group.sub_requests.iter().all(|index| index % 2 == odd));
    }
}

/// Load pattern: some near targets crash. The other shards keep their groups, and with them the
/// brokers that have connections to their targets.
#[test]
fn shards_without_a_near_target_do_not_move_the_others() {
    let whole = by_key(&groups(90, |_| Some(("a", Locality::Centre))));
    let lost = [0, 1, 17, 42, 89];
    let place = |index| (!lost.contains(&index)).then_some(("a", Locality::Centre));
    let partial = by_key(&groups(90, place));
    assert_eq!(
        whole.keys().collect::<Vec<_>>(),
        partial.keys().collect::<Vec<_>>()
    );
    for (key, shards) in whole {
        let kept: Vec<usize> = shards.into_iter().filter(|s| !lost.contains(s)).collect();
        assert_eq!(partial[&key], kept);
    }
}
