//! Tests of the state machine of a round.

use std::sync::Arc;

use fulmarweir_quorum::{
    AcceptedValue, ActState, Ballot, ProposalRound, ProposerId, RegisterKey, RegisterValue,
    RoundStep, VoterIdentity, VoterMember, VoterReply, VoterSet,
};

const EPOCH: u64 = 3;

fn ballot(epoch: u64, counter: u64) -> Ballot {
    Ballot {
        epoch,
        counter,
        proposer: ProposerId(1),
    }
}

fn three_voters() -> VoterSet {
    let member = |number: u16| VoterMember {
        name: format!("vm-{number}").parse().unwrap(),
        identity: VoterIdentity(number.into()),
        address: ([127, 0, 0, 1], number).into(),
    };
    VoterSet::new(EPOCH, (1..=3).map(member).collect())
}

fn promise(accepted: Option<Ballot>) -> VoterReply {
    let value = Arc::new(RegisterValue::Act(ActState::Released));
    VoterReply::Promised {
        accepted: accepted.map(|ballot| AcceptedValue { ballot, value }),
    }
}

fn round() -> ProposalRound {
    ProposalRound::prepare(three_voters(), RegisterKey::Config, ballot(EPOCH, 9))
}

fn is_chosen_after_promises(accepted: [Option<Ballot>; 2]) -> bool {
    let mut round = round();
    assert_eq!(
        round.on_reply(0, Some(promise(accepted[0]))),
        RoundStep::Wait
    );
    match round.on_reply(2, Some(promise(accepted[1]))) {
        RoundStep::Prepared { chosen, .. } => chosen,
        step => panic!("{step:?}"),
    }
}

#[test]
fn value_accepted_by_a_quorum_in_one_round_is_chosen() {
    let this_epoch = Some(ballot(EPOCH, 5));
    assert!(is_chosen_after_promises([this_epoch, this_epoch]));
    assert!(is_chosen_after_promises([None, None]));
    assert!(!is_chosen_after_promises([this_epoch, None]));
    assert!(!is_chosen_after_promises([
        this_epoch,
        Some(ballot(EPOCH, 6))
    ]));
}

#[test]
fn copies_from_an_earlier_epoch_do_not_count_as_votes() {
    let earlier_epoch = Some(ballot(EPOCH - 1, 5));
    assert!(!is_chosen_after_promises([earlier_epoch, earlier_epoch]));
}

#[test]
fn duplicate_replies_count_once() {
    let mut round = round();
    assert_eq!(round.on_reply(0, Some(promise(None))), RoundStep::Wait);
    assert_eq!(round.on_reply(0, Some(promise(None))), RoundStep::Wait);
    assert_eq!(round.on_reply(1, None), RoundStep::Wait);
    assert!(matches!(round.on_reply(2, None), RoundStep::Failed(_)));
}

#[test]
fn conflict_reports_the_highest_promised_ballot() {
    let mut round = round();
    let conflict = |counter| {
        let promised = ballot(EPOCH, counter);
        Some(VoterReply::Conflict { promised })
    };
    assert_eq!(round.on_reply(0, conflict(12)), RoundStep::Wait);
    let RoundStep::Failed(failure) = round.on_reply(1, conflict(11)) else {
        panic!("two of three refused");
    };
    assert_eq!(failure.conflicting_ballot, Some(ballot(EPOCH, 12)));
}
