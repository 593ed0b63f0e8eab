//! Callers that compete for idempotency keys under link faults, checked for linearizability.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, StandIn, Tier};
use fulmarweir_tests::{
    ActResult, ClaimOp, ClaimSpec, HistoryLog, TestCaller, run_with_link_cuts, service_config,
    single_centre_settings, start_targets,
};
use futures::future::join_all;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use todc_utils::WGLChecker;
use tokio::time::sleep;

const VMS: u32 = 4;
const KEYS: u32 = 40;
const CALLERS_PER_KEY: u32 = 4;
const ACTS_PER_CALLER: u32 = 3;
const ACT_TIMEOUT_MS: u64 = 4000;
/// Longer than the deadline of an act and the recording of its outcome together.
const ACTS_SETTLE_MS: u64 = 2500;

type ClaimLog = HistoryLog<ClaimOp>;

/// Outcome of an act for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ActOutcome {
    Answered(ActResult, Option<u32>),
    OtherBody,
    NoAnswer,
}

async fn act_once(caller: &TestCaller, address: SocketAddr, key: &str, body: u32) -> ActOutcome {
    let timeout = Duration::from_millis(ACT_TIMEOUT_MS);
    let sent = body.to_string();
    let Some(reply) = caller.act_raw(address, key, &sent, timeout).await else {
        return ActOutcome::NoAnswer;
    };
    if reply.status == 409 {
        return ActOutcome::OtherBody;
    }
    let result = match reply.header("fulmarweir-run") {
        Some("ran") => ActResult::Ran,
        Some("not-run") => ActResult::NotRun,
        Some("may-have-run") => ActResult::MayHaveRun,
        other => panic!("{other:?} in {}", reply.text()),
    };
    let answer: Option<serde_json::Value> = serde_json::from_slice(&reply.body).ok();
    let echo = answer.and_then(|answer| answer["echo"].as_str()?.parse().ok());
    ActOutcome::Answered(result, echo)
}

/// Runs one act and records in `log` its possible effects on the claim of its key.
async fn record_act(log: &ClaimLog, act: u32, body: u32, run: impl Future<Output = ActOutcome>) {
    let (first, second) = (log.record_call(), log.record_call());
    match run.await {
        ActOutcome::Answered(ActResult::Ran, ran) => {
            assert_eq!(ran, Some(body), "an answer for another body");
            log.record_answer(first, ClaimOp::Ran { body });
        }
        ActOutcome::Answered(ActResult::NotRun, _) => {
            log.record_answer(first, ClaimOp::Hold { body, act });
            log.record_pending(second, ClaimOp::Release { act });
        }
        ActOutcome::Answered(ActResult::MayHaveRun, _) => {
            log.record_pending(first, ClaimOp::Unsettled { body, act });
        }
        ActOutcome::OtherBody => log.record_answer(first, ClaimOp::OtherBody { body }),
        ActOutcome::NoAnswer => {
            log.record_pending(first, ClaimOp::Unsettled { body, act });
            log.record_pending(second, ClaimOp::Release { act });
        }
    }
}

/// Runs callers that compete for one key with two bodies, each at random daemons.
async fn compete(log: &ClaimLog, addresses: &[SocketAddr], key: &str, seed: u64) {
    let competitors = (0..CALLERS_PER_KEY).map(|index| async move {
        let caller = TestCaller::default();
        let mut generator = Pcg64Mcg::seed_from_u64(seed + u64::from(index));
        for attempt in 0..ACTS_PER_CALLER {
            let address = addresses[generator.random_range(0..addresses.len())];
            let body = index % 2;
            let act = index * ACTS_PER_CALLER + attempt;
            record_act(log, act, body, act_once(&caller, address, key, body)).await;
            sleep(Duration::from_millis(generator.random_range(0..200))).await;
        }
    });
    join_all(competitors).await;
}

fn body_run_by_targets(targets: &[StandIn], key: &str) -> Option<u32> {
    let runs = targets.iter().flat_map(StandIn::runs);
    let runs: Vec<_> = runs.filter(|run| run.key == key).collect();
    let total: u64 = runs.iter().map(|run| run.runs).sum();
    assert!(total <= 1, "{key} ran {total} times: {runs:?}");
    runs.first()
        .map(|run| run.body.parse().expect("a body number"))
}

fn claim_is_linearizable(log: &ClaimLog) -> bool {
    WGLChecker::<ClaimSpec>::is_linearizable(log.history())
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_of_idempotency_keys_are_linearizable() {
    const SEED: u64 = 7;
    let mut settings = single_centre_settings(VMS);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    tier.submit_config(&service_config("act", ""), 0)
        .await
        .unwrap();
    let targets = start_targets(&tier, 42, 2, 2).await;
    let addresses: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    // Time for the daemons to learn of the targets.
    sleep(Duration::from_millis(ACTS_SETTLE_MS)).await;

    let keys: Vec<_> = (0..KEYS).map(|number| format!("claim-{number}")).collect();
    let logs: Vec<_> = keys.iter().map(|_| ClaimLog::default()).collect();
    let work = async {
        for (keys, logs) in keys.chunks(10).zip(logs.chunks(10)) {
            let competitions = keys.iter().zip(logs);
            let competitions = competitions.enumerate().map(|(number, (key, log))| {
                let seed = SEED * 1000 + number as u64 * 10;
                compete(log, &addresses, key, seed)
            });
            join_all(competitions).await;
        }
    };
    run_with_link_cuts(&tier, SEED, work).await;
    sleep(Duration::from_millis(ACTS_SETTLE_MS)).await;

    let mut ran = 0;
    for (key, log) in keys.iter().zip(&logs) {
        let body = body_run_by_targets(&targets, key);
        ran += u32::from(body.is_some());
        log.append(ClaimOp::TargetRuns { body });
        assert!(claim_is_linearizable(log), "{key}: {:?}", log.history());
        // The checker must reject the same history once both bodies ran under the key.
        for body in [0, 1] {
            log.append(ClaimOp::Ran { body });
        }
        assert!(!claim_is_linearizable(log), "{key}");
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
        claim_is_linearizable(&log)
    };
    let ran = |body| ClaimOp::Ran { body };
    let target_runs = |body| ClaimOp::TargetRuns { body };
    let other = |body| ClaimOp::OtherBody { body };
    assert!(holds(&[ran(0), ran(0), other(1), target_runs(Some(0))]));
    let held = ClaimOp::Hold { body: 0, act: 1 };
    let release = ClaimOp::Release { act: 1 };
    assert!(holds(&[
        held,
        other(1),
        release,
        ran(1),
        target_runs(Some(1))
    ]));
    // Two bodies ran.
    assert!(!holds(&[ran(0), ran(1), target_runs(Some(0))]));
    // An act that was answered as not run did run.
    assert!(!holds(&[held, release, target_runs(Some(0))]));
    // An act that was answered as run did not run.
    assert!(!holds(&[ran(0), target_runs(None)]));
    // The claim of an act that may have run was given to another body.
    let unsettled = ClaimOp::Unsettled { body: 0, act: 1 };
    assert!(!holds(&[unsettled, ran(1), target_runs(Some(1))]));
    // A key is refused as another body's though no other body holds its claim.
    assert!(!holds(&[ran(0), other(0), target_runs(Some(0))]));
}
