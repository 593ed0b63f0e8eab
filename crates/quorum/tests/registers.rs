//! Operations on registers while voters are up or crashed.

mod sim;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use fulmarweir_quorum::{ActClaim, ActKey, ActOutcome, ClaimOutcome, SettleOutcome, SubmitOutcome};
use sim::{SimNet, address, for_seeds, vm};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETENTION: Duration = Duration::from_hours(1);

fn act(key: &str) -> ActKey {
    ActKey {
        service: "fees/pay".parse().unwrap(),
        key: key.into(),
    }
}

fn claim(number: u16, attempt: u64) -> ActClaim {
    ActClaim {
        vm: vm(number),
        incarnation: 1,
        attempt,
        body: [7; 32],
    }
}

fn outcome(text: &'static str) -> ActOutcome {
    ActOutcome {
        status: 200,
        body: Bytes::from_static(text.as_bytes()),
    }
}

#[test]
fn config_change_is_conditional_and_idempotent() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        let submit =
            |client: &Arc<fulmarweir_quorum::QuorumClient>, expected_version, change: &str| {
                let (client, change) = (Arc::clone(client), change.into());
                async move {
                    client
                        .submit_config(expected_version, change, "text".into(), CALL_TIMEOUT)
                        .await
                        .unwrap()
                        .outcome
                }
            };
        let accepted = SubmitOutcome::Accepted { version: 1 };
        assert_eq!(submit(&first, 0, "a").await, accepted);
        assert_eq!(
            submit(&second, 0, "b").await,
            SubmitOutcome::Conflict { current: 1 }
        );
        assert_eq!(
            submit(&second, 1, "c").await,
            SubmitOutcome::Accepted { version: 2 }
        );
        assert_eq!(submit(&second, 0, "a").await, accepted, "a repeated change");
        // A refused change stays refused even after its expected version is reached.
        assert_eq!(
            submit(&first, 3, "d").await,
            SubmitOutcome::Conflict { current: 2 }
        );
        assert_eq!(
            submit(&first, 2, "e").await,
            SubmitOutcome::Accepted { version: 3 }
        );
        assert_eq!(
            submit(&first, 3, "d").await,
            SubmitOutcome::Conflict { current: 2 }
        );
        assert_eq!(second.read_config(CALL_TIMEOUT).await.unwrap().version, 3);
    });
}

#[test]
fn act_is_claimed_once_and_its_outcome_is_kept() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        let (mine, theirs) = (claim(1, 1), claim(2, 1));
        let granted = first.claim(act("k"), &mine, CALL_TIMEOUT).await.unwrap();
        assert_eq!(granted, ClaimOutcome::Granted);
        let held = second.claim(act("k"), &theirs, CALL_TIMEOUT).await.unwrap();
        assert_eq!(held, ClaimOutcome::HeldBy(mine.clone()));
        let other_body = ActClaim {
            body: [8; 32],
            ..theirs.clone()
        };
        let refused = second
            .claim(act("k"), &other_body, CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(refused, ClaimOutcome::OtherBody);
        let release = second
            .release(act("k"), &theirs, CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(release, SettleOutcome::NotHolder);
        first
            .record(act("k"), &mine, &outcome("paid"), CALL_TIMEOUT)
            .await
            .unwrap();
        let finished = second.claim(act("k"), &theirs, CALL_TIMEOUT).await.unwrap();
        assert_eq!(finished, ClaimOutcome::Finished(outcome("paid")));
    });
}

#[test]
fn released_act_can_be_claimed_again() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        first
            .claim(act("k"), &claim(1, 1), CALL_TIMEOUT)
            .await
            .unwrap();
        first
            .release(act("k"), &claim(1, 1), CALL_TIMEOUT)
            .await
            .unwrap();
        let granted = second
            .claim(act("k"), &claim(2, 1), CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(granted, ClaimOutcome::Granted);
    });
}

#[test]
fn recording_after_a_claim_takes_one_round_trip() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        client.read_config(CALL_TIMEOUT).await.unwrap();
        let start = net.lock().requests;
        client
            .claim(act("k"), &claim(1, 1), CALL_TIMEOUT)
            .await
            .unwrap();
        let claimed = net.lock().requests;
        client
            .record(act("k"), &claim(1, 1), &outcome("paid"), CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(claimed - start, 6);
        assert_eq!(net.lock().requests - claimed, 3);
    });
}

#[test]
fn without_a_majority_calls_fail_and_change_nothing() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        client
            .submit_config(0, "a".into(), "text".into(), CALL_TIMEOUT)
            .await
            .unwrap();
        net.crash(0);
        net.crash(1);
        let stuck = client
            .claim(act("k"), &claim(1, 1), CALL_TIMEOUT)
            .await
            .unwrap_err();
        assert_eq!(stuck.current_context().verdict(), RunVerdict::NotRun);
        assert!(client.read_config(CALL_TIMEOUT).await.is_err());
        net.restart(0);
        assert_eq!(client.read_config(CALL_TIMEOUT).await.unwrap().version, 1);
    });
}

#[test]
fn accept_at_a_minority_leaves_the_change_undecided_until_it_is_repeated() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        first
            .submit_config(0, "a".into(), "one".into(), CALL_TIMEOUT)
            .await
            .unwrap();
        net.crash(0);
        net.crash(1);
        // The promise from the first change lets the accept reach the only voter that is up.
        let undecided = first
            .submit_config(1, "b".into(), "two".into(), CALL_TIMEOUT)
            .await;
        let verdict = undecided.unwrap_err().current_context().verdict();
        assert_eq!(verdict, RunVerdict::MayHaveRun);
        net.restart(0);
        net.restart(1);
        let repeated = second
            .submit_config(1, "b".into(), "two".into(), CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(repeated.outcome, SubmitOutcome::Accepted { version: 2 });
        assert_eq!(first.read_config(CALL_TIMEOUT).await.unwrap().version, 2);
    });
}

/// Guards against a submitter that takes its own text for the accepted one, although an earlier change
/// with the same ID had another text.
#[test]
fn a_change_whose_id_was_used_before_is_told_the_accepted_text() {
    for_seeds(2, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        let own = first.submit_config(0, "a".into(), "one".into(), CALL_TIMEOUT);
        assert_eq!(own.await.unwrap().text, Some("one".into()));
        let other = second.submit_config(0, "a".into(), "two".into(), CALL_TIMEOUT);
        let other = other.await.unwrap();
        assert_eq!(other.outcome, SubmitOutcome::Accepted { version: 1 });
        assert_eq!(other.text, Some("one".into()));
        let later = first.submit_config(1, "b".into(), "three".into(), CALL_TIMEOUT);
        later.await.unwrap();
        let late = second.submit_config(0, "a".into(), "two".into(), CALL_TIMEOUT);
        let late = late.await.unwrap();
        assert_eq!(late.outcome, SubmitOutcome::Accepted { version: 1 });
        assert_eq!(late.text, None);
    });
}

#[test]
fn initial_voters_must_all_answer_once() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        net.crash(2);
        let client = net.client(1);
        assert!(client.read_config(CALL_TIMEOUT).await.is_err());
        net.restart(2);
        assert_eq!(client.read_config(CALL_TIMEOUT).await.unwrap().version, 0);
        assert_eq!(client.voters().epoch, 1);
        net.crash(2);
        assert_eq!(
            net.client(2)
                .read_config(CALL_TIMEOUT)
                .await
                .unwrap()
                .version,
            0
        );
    });
}

#[test]
fn finished_acts_are_removed_only_after_the_retention() {
    for_seeds(1, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        client
            .claim(act("done"), &claim(1, 1), CALL_TIMEOUT)
            .await
            .unwrap();
        client
            .claim(act("lost"), &claim(1, 2), CALL_TIMEOUT)
            .await
            .unwrap();
        client
            .record(act("done"), &claim(1, 1), &outcome("paid"), CALL_TIMEOUT)
            .await
            .unwrap();
        let again = claim(2, 1);
        tokio::time::sleep(RETENTION.saturating_sub(Duration::from_secs(1))).await;
        let kept = client
            .claim(act("done"), &again, CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(kept, ClaimOutcome::Finished(outcome("paid")));
        tokio::time::sleep(Duration::from_secs(2)).await;
        for number in 0..3 {
            let removed = net.with_acceptor(number, |acceptor| {
                acceptor.remove_expired(net.timer.now(), 100, &mut |_| {})
            });
            assert_eq!(removed, 1);
        }
        // An act that is claimed and has no outcome may have run, so its register is never removed.
        let lost = client
            .claim(act("lost"), &again, CALL_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(lost, ClaimOutcome::HeldBy(claim(1, 2)));
        assert!(net.lock().voters.contains_key(&address(0)));
    });
}
