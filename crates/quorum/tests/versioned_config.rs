//! Tests of configurations whose submitter assigns the version: the highest version wins.

mod sim;

use std::{sync::Arc, time::Duration};

use sim::{SimNet, for_seeds};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETENTION: Duration = Duration::from_hours(1);

fn text(version: u64) -> Arc<str> {
    format!("document {version}").into()
}

#[test]
fn a_lower_or_equal_version_changes_nothing() {
    for_seeds(2, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        let higher = first.set_config_if_newer(7, text(7), CALL_TIMEOUT).await;
        let higher = higher.unwrap();
        assert_eq!((higher.version, higher.text), (7, text(7)));
        let other: Arc<str> = "other content".into();
        let same = second
            .set_config_if_newer(7, Arc::clone(&other), CALL_TIMEOUT)
            .await;
        // The submitter of other content under the same version learns which content is held.
        let same = same.unwrap();
        assert_eq!((same.version, same.text), (7, text(7)));
        let lower = second.set_config_if_newer(3, other, CALL_TIMEOUT).await;
        assert_eq!(lower.unwrap().version, 7);
        let state = second.read_config(CALL_TIMEOUT).await.unwrap();
        assert_eq!((state.version, state.text), (7, text(7)));
    });
}

#[test]
fn concurrent_submissions_end_with_the_highest_version() {
    for_seeds(4, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let clients: Vec<_> = (1..=3).map(|number| net.client(number)).collect();
        for round in 0..4_u64 {
            let calls = clients.iter().enumerate().map(|(index, client)| {
                let version = round * 10 + index as u64 + 1;
                client.set_config_if_newer(version, text(version), CALL_TIMEOUT)
            });
            for outcome in futures::future::join_all(calls).await {
                outcome.unwrap();
            }
            let state = clients[0].read_config(CALL_TIMEOUT).await.unwrap();
            let highest = round * 10 + 3;
            assert_eq!((state.version, state.text), (highest, text(highest)));
        }
    });
}

#[test]
fn a_voter_with_an_empty_disk_does_not_vote_until_it_is_added() {
    for_seeds(3, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        client
            .set_config_if_newer(5, text(5), CALL_TIMEOUT)
            .await
            .unwrap();
        let lost = net.member(2);
        net.crash(2);
        net.replace_disk(2);
        // The new log is not a member of the voter set, so with a second voter down there is no
        // majority.
        net.crash(1);
        let short = Duration::from_millis(800);
        assert!(net.client(9).read_config(short).await.is_err());
        net.restart(1);
        let fresh = net.member(2);
        assert_ne!(fresh.identity, lost.identity);
        client
            .replace_voter(lost.identity, fresh, CALL_TIMEOUT)
            .await
            .unwrap();
        // Another disk may be lost right after the replacement.
        net.crash(0);
        net.replace_disk(0);
        let state = net.client(8).read_config(CALL_TIMEOUT).await.unwrap();
        assert_eq!((state.version, state.text), (5, text(5)));
    });
}

/// Disks of `lost` voters, which may have acknowledged, are lost right after an acknowledgement, and all
/// other VMs lose power in the same moment, while another change is on its way.
fn survives_lost_disks_and_lost_power(voters: u16, lost: u16) {
    for_seeds(12, |seed| async move {
        let net = SimNet::new(seed, voters, voters, RETENTION);
        let client = net.client(1);
        for version in 1..=3 {
            let later = {
                let (client, version) = (net.client(10 + version), 100 + version);
                tokio::spawn(async move {
                    // Its outcome stays unknown.
                    let _ = client
                        .set_config_if_newer(version, text(version), CALL_TIMEOUT)
                        .await;
                })
            };
            let acknowledged = client
                .set_config_if_newer(version, text(version), CALL_TIMEOUT)
                .await
                .unwrap()
                .version;
            let first_lost = u16::try_from(net.random_below(voters.into())).unwrap();
            for number in 0..voters {
                net.crash(number);
            }
            let is_lost = |number: u16| (number + voters - first_lost) % voters < lost;
            let mut replaced = Vec::new();
            for number in 0..voters {
                if is_lost(number) {
                    replaced.push(net.member(number).identity);
                    net.replace_disk(number);
                } else {
                    net.restart(number);
                }
            }
            later.abort();
            let state = net.client(20 + version).read_config(CALL_TIMEOUT).await;
            let state = state.unwrap();
            assert!(state.version >= acknowledged, "{} is older", state.version);
            assert_eq!(state.text, text(state.version));
            for (identity, offset) in replaced.into_iter().zip(0..) {
                let fresh = net.member((first_lost + offset) % voters);
                let client = net.client(30 + version);
                client
                    .replace_voter(identity, fresh, CALL_TIMEOUT)
                    .await
                    .unwrap();
            }
        }
    });
}

#[test]
fn a_disk_lost_right_after_an_acknowledgement_while_all_others_lose_power_loses_nothing() {
    survives_lost_disks_and_lost_power(3, 1);
}

#[test]
fn two_disks_lost_right_after_an_acknowledgement_while_all_others_lose_power_lose_nothing() {
    survives_lost_disks_and_lost_power(5, 2);
}
