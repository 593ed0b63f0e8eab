//! Voters that are lost, replaced, and come back.

mod sim;

use std::{sync::Arc, time::Duration};

use fulmarweir_quorum::{
    ActClaim, ActKey, ClaimOutcome, QuorumClient, QuorumError, RequestBody, SubmitOutcome,
    VoterReply, VoterRequest,
};
use sim::{SimNet, for_seeds, vm};

const PATIENCE: Duration = Duration::from_secs(10);
const RETENTION: Duration = Duration::from_hours(1);

async fn submit(client: &QuorumClient, at: u64) -> SubmitOutcome {
    let change: Arc<str> = format!("change-{at}").into();
    let submitted = client.submit_config(at, Arc::clone(&change), change, PATIENCE);
    submitted.await.unwrap()
}

fn act(number: u64) -> ActKey {
    ActKey {
        service: "fees/pay".parse().unwrap(),
        key: format!("key-{number}").into(),
    }
}

fn claim(attempt: u64) -> ActClaim {
    ActClaim {
        vm: vm(1),
        incarnation: 1,
        attempt,
        body: [0; 32],
    }
}

#[test]
fn second_voter_lost_right_after_a_repair_loses_nothing() {
    for_seeds(3, |seed| async move {
        let net = SimNet::new(seed, 4, 3, RETENTION);
        let client = net.client(1);
        submit(&client, 0).await;
        net.crash(0);
        submit(&client, 1).await;
        let gone = net.member(0).identity;
        let outcome = client.replace_voter(gone, net.member(3), PATIENCE).await;
        assert_eq!(outcome.unwrap().set.epoch, 2);
        net.crash(1);
        assert_eq!(client.read_config(PATIENCE).await.unwrap().version, 2);
        let accepted = SubmitOutcome::Accepted { version: 3 };
        assert_eq!(submit(&client, 2).await, accepted);
    });
}

#[test]
fn returning_old_voter_neither_votes_nor_serves() {
    for_seeds(3, |seed| async move {
        let net = SimNet::new(seed, 5, 3, RETENTION);
        let client = net.client(1);
        submit(&client, 0).await;
        net.crash(0);
        for (gone, spare) in [(0, 3), (1, 4)] {
            let gone = net.member(gone).identity;
            let changed = client.replace_voter(gone, net.member(spare), PATIENCE);
            changed.await.unwrap();
        }
        submit(&client, 1).await;
        net.restart(0);
        let old = net.member(0);
        assert!(client.inform_voter(&old).await);
        let request = VoterRequest {
            to: old.identity,
            epoch: 1,
            body: RequestBody::Read {
                key: fulmarweir_quorum::RegisterKey::Config,
            },
        };
        let now = net.timer.now();
        let reply = net.with_acceptor(0, |voter| voter.handle(now, &request, &mut |_| {}));
        assert!(matches!(reply, VoterReply::Moved { .. }), "{reply:?}");
        // A client that knows only the settings finds the present voters through the old ones.
        let newcomer = net.client(2);
        assert_eq!(newcomer.read_config(PATIENCE).await.unwrap().version, 2);
        assert_eq!(newcomer.voters().epoch, 3);
    });
}

#[test]
fn voter_that_lost_its_disk_is_a_stranger_until_it_is_taken_in() {
    for_seeds(3, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        submit(&client, 0).await;
        let lost = net.member(2).identity;
        net.replace_disk(2);
        net.crash(0);
        // One voter of the set is left; the fresh disk does not make a majority.
        let refused = client.read_config(Duration::from_secs(2)).await;
        assert!(refused.is_err());
        net.restart(0);
        let healed = client.replace_voter(lost, net.member(2), PATIENCE).await;
        assert!(healed.unwrap().lagging.is_empty());
        net.crash(0);
        assert_eq!(client.read_config(PATIENCE).await.unwrap().version, 1);
    });
}

#[test]
fn racing_repairs_have_one_winner() {
    for_seeds(5, |seed| async move {
        let net = SimNet::new(seed, 5, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        submit(&first, 0).await;
        second.read_config(PATIENCE).await.unwrap();
        net.crash(0);
        let gone = net.member(0).identity;
        let (one, other) = tokio::join!(
            first.replace_voter(gone, net.member(3), PATIENCE),
            second.replace_voter(gone, net.member(4), PATIENCE),
        );
        let lost = |result: &fulmarweir_quorum::Result<_>| {
            let error = result
                .as_ref()
                .err()
                .map(|report| *report.current_context());
            error == Some(QuorumError::ConflictingChange)
        };
        assert!(one.is_ok() != other.is_ok());
        assert!(lost(&one) || lost(&other));
        assert_eq!(first.read_config(PATIENCE).await.unwrap().version, 1);
        assert_eq!(first.voters(), second.voters());
    });
}

#[test]
fn every_register_reaches_a_new_voter() {
    const ACTS: u64 = 1500;
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 4, 3, RETENTION);
        let client = net.client(1);
        for number in 0..ACTS {
            let own = claim(number);
            let granted = client.claim(act(number), &own, PATIENCE).await;
            assert_eq!(granted.unwrap(), ClaimOutcome::Granted);
        }
        let gone = net.member(0).identity;
        let changed = client.replace_voter(gone, net.member(3), PATIENCE);
        changed.await.unwrap();
        // With the acts, the configuration is not set, and the voter set is.
        let held = net.with_acceptor(3, fulmarweir_quorum::Acceptor::register_count);
        assert_eq!(held as u64, ACTS + 1);
        net.crash(1);
        let late = client.claim(act(7), &claim(ACTS), PATIENCE).await.unwrap();
        assert_eq!(late, ClaimOutcome::HeldBy(claim(7)));
    });
}
