//! Callers that compete for idempotency keys under link faults, checked for linearizability.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, StandIn, Tier};
use fulmarweir_tests::{
    ActResult, ClaimOp, ClaimSpec, HistoryLog, TestCaller, one_centre, service_text, start_targets,
    under_cuts,
};
use futures::future::join_all;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use todc_utils::WGLChecker;
use tokio::time::sleep;

const VMS: u32 = 4;
const KEYS: u32 = 40;
const RIVALS: u32 = 4;
const ACTS_PER_RIVAL: u32 = 3;
const ACT_PATIENCE_MS: u64 = 4000;
/// Longer than the deadline of an act and the recording of its outcome.
const ACTS_END_MS: u64 = 2500;

type ClaimLog = HistoryLog<ClaimOp>;

/// How an act ended, with the number of the body that ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RivalEnd {
    Ended(ActResult, Option<u32>),
    OtherBody,
    Lost,
}

async fn act_once(caller: &TestCaller, address: SocketAddr, key: &str, body: u32) -> RivalEnd {
    let patience = Duration::from_millis(ACT_PATIENCE_MS);
    let sent = body.to_string();
    let Some(reply) = caller.act_raw(address, key, &sent, patience).await else {
        return RivalEnd::Lost;
    };
    if reply.status == 409 {
        return RivalEnd::OtherBody;
    }
    let ended = match reply.header("fulmarweir-run") {
        Some("ran") => ActResult::Ran,
        Some("not-run") => ActResult::NotRun,
        Some("may-have-run") => ActResult::MayHaveRun,
        other => panic!("{other:?} in {}", reply.text()),
    };
    let answer: Option<serde_json::Value> = serde_json::from_slice(&reply.body).ok();
    let echo = answer.and_then(|answer| answer["echo"].as_str()?.parse().ok());
    RivalEnd::Ended(ended, echo)
}

/// Runs one act and notes in `log` what it may have done to the claim of its key.
async fn act_into(log: &ClaimLog, act: u32, body: u32, run: impl Future<Output = RivalEnd>) {
    let (first, second) = (log.call(), log.call());
    match run.await {
        RivalEnd::Ended(ActResult::Ran, ran) => {
            assert_eq!(ran, Some(body), "an answer for another body");
            log.answer(first, ClaimOp::Ran { body });
        }
        RivalEnd::Ended(ActResult::NotRun, _) => {
            log.answer(first, ClaimOp::Hold { body, act });
            log.leave_pending(second, ClaimOp::Release { act });
        }
        RivalEnd::Ended(ActResult::MayHaveRun, _) => {
            log.leave_pending(first, ClaimOp::Unsettled { body, act });
        }
        RivalEnd::OtherBody => log.answer(first, ClaimOp::OtherBody { body }),
        RivalEnd::Lost => {
            log.leave_pending(first, ClaimOp::Unsettled { body, act });
            log.leave_pending(second, ClaimOp::Release { act });
        }
    }
}

/// Callers that compete for one key with two bodies, at any daemons.
async fn compete(log: &ClaimLog, addresses: &[SocketAddr], key: &str, seed: u64) {
    let rivals = (0..RIVALS).map(|rival| async move {
        let caller = TestCaller::default();
        let mut generator = Pcg64Mcg::seed_from_u64(seed + u64::from(rival));
        for attempt in 0..ACTS_PER_RIVAL {
            let address = addresses[generator.random_range(0..addresses.len())];
            let body = rival % 2;
            let act = rival * ACTS_PER_RIVAL + attempt;
            act_into(log, act, body, act_once(&caller, address, key, body)).await;
            sleep(Duration::from_millis(generator.random_range(0..200))).await;
        }
    });
    join_all(rivals).await;
}

fn truth_of(targets: &[StandIn], key: &str) -> Option<u32> {
    let runs = targets.iter().flat_map(StandIn::runs);
    let runs: Vec<_> = runs.filter(|run| run.key == key).collect();
    let total: u64 = runs.iter().map(|run| run.runs).sum();
    assert!(total <= 1, "{key} ran {total} times: {runs:?}");
    runs.first()
        .map(|run| run.body.parse().expect("a body number"))
}

fn claim_holds(log: &ClaimLog) -> bool {
    WGLChecker::<ClaimSpec>::is_linearizable(log.history())
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_of_idempotency_keys_are_linearizable() {
    const SEED: u64 = 7;
    let mut settings = one_centre(VMS);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    tier.submit_config(&service_text("act", ""), 0)
        .await
        .unwrap();
    let targets = start_targets(&tier, 42, 2, 2).await;
    let addresses: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    sleep(Duration::from_millis(ACTS_END_MS)).await;

    let keys: Vec<_> = (0..KEYS).map(|number| format!("claim-{number}")).collect();
    let logs: Vec<_> = keys.iter().map(|_| ClaimLog::default()).collect();
    let work = async {
        for (keys, logs) in keys.chunks(10).zip(logs.chunks(10)) {
            let contests = keys.iter().zip(logs);
            let contests = contests.enumerate().map(|(number, (key, log))| {
                let seed = SEED * 1000 + number as u64 * 10;
                compete(log, &addresses, key, seed)
            });
            join_all(contests).await;
        }
    };
    under_cuts(&tier, SEED, work).await;
    sleep(Duration::from_millis(ACTS_END_MS)).await;

    let mut ran = 0;
    for (key, log) in keys.iter().zip(&logs) {
        let body = truth_of(&targets, key);
        ran += u32::from(body.is_some());
        log.append(ClaimOp::Truth { body });
        assert!(claim_holds(log), "{key}: {:?}", log.history());
        // Both bodies under one key are found in the same history.
        for body in [0, 1] {
            log.append(ClaimOp::Ran { body });
        }
        assert!(!claim_holds(log), "{key}");
    }
    println!("{ran} of {KEYS} keys ran");
    assert!(ran > KEYS / 2, "{ran} of {KEYS} keys ran");
    tier.stop().await.unwrap();
}

#[test]
fn planted_faults_of_claims_are_found() {
    let holds = |operations: &[ClaimOp]| {
        let log = ClaimLog::default();
        for operation in operations {
            log.append(*operation);
        }
        claim_holds(&log)
    };
    let ran = |body| ClaimOp::Ran { body };
    let truth = |body| ClaimOp::Truth { body };
    let other = |body| ClaimOp::OtherBody { body };
    assert!(holds(&[ran(0), ran(0), other(1), truth(Some(0))]));
    let held = ClaimOp::Hold { body: 0, act: 1 };
    let release = ClaimOp::Release { act: 1 };
    assert!(holds(&[held, other(1), release, ran(1), truth(Some(1))]));
    // Two bodies ran.
    assert!(!holds(&[ran(0), ran(1), truth(Some(0))]));
    // An act that was told as not run did run.
    assert!(!holds(&[held, release, truth(Some(0))]));
    // An act that was told as run did not.
    assert!(!holds(&[ran(0), truth(None)]));
    // A claim that may have run was given to another.
    let unsettled = ClaimOp::Unsettled { body: 0, act: 1 };
    assert!(!holds(&[unsettled, ran(1), truth(Some(1))]));
    // A key is refused for a body that nobody else sent.
    assert!(!holds(&[ran(0), other(0), truth(Some(0))]));
}
