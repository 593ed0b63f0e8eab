//! Measures the cost of one claim and its outcome at a voter: processing time, message and log
//! bytes, and the time with a synced log.
//!
//! Run with `cargo run --release -p fulmarweir-quorum --example register_cost`.

use std::{sync::Arc, time::Duration, time::Instant};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, TimerService};
use fulmarweir_quorum::{
    Acceptor, ActClaim, ActKey, ActOutcome, ActState, Ballot, EpochState, ProposerId, RegisterKey,
    RegisterValue, RequestBody, VoterIdentity, VoterMember, VoterRecord, VoterRequest,
    VoterService, VoterSet, VoterSettings,
};

const ACTS: u64 = 100_000;
const SYNCED_LOG_ACTS: u64 = 2_000;
const CONCURRENT_ACTS: u64 = 64;
const BODY_BYTES: usize = 200;
const RETENTION: Duration = Duration::from_hours(1);

fn main() {
    let set = one_voter(VoterIdentity(1));
    let acceptor = Acceptor::new(
        "vm-1".parse().unwrap(),
        VoterIdentity(1),
        set.clone(),
        RETENTION,
    );
    acceptor.replay(MonoTime::ZERO, VoterRecord::Epoch(EpochState::settled(set)));
    let (mut message_bytes, mut records, mut record_bytes) = (0, 0_u64, 0);
    let mut busy = Duration::ZERO;
    for number in 0..ACTS {
        for request in requests(VoterIdentity(1), number) {
            message_bytes += encoded_len(&request);
            let mut out = Vec::new();
            let start = Instant::now();
            let reply = acceptor.handle(MonoTime::ZERO, &request, &mut |record| out.push(record));
            busy += start.elapsed();
            message_bytes += encoded_len(&reply);
            records += out.len() as u64;
            record_bytes += out.iter().map(encoded_len).sum::<u64>();
        }
    }
    println!("acts: {ACTS}, three requests each, outcome body {BODY_BYTES} bytes");
    println!(
        "state machine: {} ns an act",
        busy.as_nanos() / u128::from(ACTS)
    );
    println!("messages: {} bytes an act and voter", message_bytes / ACTS);
    println!(
        "log: {} records, {} bytes an act",
        records / ACTS,
        record_bytes / ACTS
    );
    let start = Instant::now();
    let snapshot = acceptor.snapshot(|records| records.len());
    println!(
        "snapshot of {snapshot} records: {:?} with registers locked",
        start.elapsed()
    );
    measure_synced_log();
}

/// Measures the time per act at a voter with a data folder, with one and with several acts at a
/// time.
fn measure_synced_log() {
    let folder = std::env::temp_dir().join(format!("register-cost-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(async {
        let settings = VoterSettings::new("vm-1".parse().unwrap(), &folder, VoterSet::default());
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let voter = VoterService::open(settings, TimerService::new(), logger).unwrap();
        let identity = voter.identity();
        let next = one_voter(identity);
        for body in [
            RequestBody::Seal {
                next,
                previous: None,
            },
            RequestBody::Complete,
        ] {
            let request = VoterRequest {
                to: identity,
                epoch: 1,
                body,
            };
            voter.handle(request).await;
        }
        for concurrency in [1, CONCURRENT_ACTS] {
            let start = Instant::now();
            for first in (0..SYNCED_LOG_ACTS).step_by(usize::try_from(concurrency).unwrap()) {
                let acts = (first..first + concurrency).map(|number| {
                    let (voter, base) = (Arc::clone(&voter), concurrency * ACTS);
                    async move {
                        for request in requests(identity, base + number) {
                            voter.handle(request).await;
                        }
                    }
                });
                futures::future::join_all(acts).await;
            }
            let time_per_act = start.elapsed() / u32::try_from(SYNCED_LOG_ACTS).unwrap();
            println!("with synced log, {concurrency} at a time: {time_per_act:?} an act");
        }
    });
    std::fs::remove_dir_all(&folder).unwrap();
}

fn one_voter(identity: VoterIdentity) -> VoterSet {
    let member = VoterMember {
        name: "vm-1".parse().unwrap(),
        identity,
        address: ([127, 0, 0, 1], 7003).into(),
    };
    VoterSet::new(1, vec![member])
}

/// Returns the requests of one act: prepare and accept for its claim, accept for its outcome.
fn requests(to: VoterIdentity, number: u64) -> [VoterRequest; 3] {
    let key = RegisterKey::Act(ActKey {
        service: "fee-ledger".parse().unwrap(),
        key: format!("01890a5d-ac96-774b-bcce-{number:012}").into(),
    });
    let ballot = |step| Ballot {
        epoch: 1,
        counter: 3 * number + step,
        proposer: ProposerId(77),
    };
    let claim = ActClaim {
        vm: "ub-1".parse().unwrap(),
        incarnation: 1_700_000_000,
        attempt: number,
        body: [7; 32],
    };
    let outcome = ActOutcome {
        status: 200,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
    };
    let claimed = ActState::Claimed(claim.clone());
    let finished = ActState::Finished { claim, outcome };
    let accept = |ballot, state, next| RequestBody::Accept {
        key: key.clone(),
        ballot,
        value: Arc::new(RegisterValue::Act(state)),
        next,
    };
    let prepare = RequestBody::Prepare {
        key: key.clone(),
        ballot: ballot(1),
    };
    [
        prepare,
        accept(ballot(1), claimed, Some(ballot(2))),
        accept(ballot(2), finished, None),
    ]
    .map(|body| VoterRequest { to, epoch: 1, body })
}

fn encoded_len<T: serde::Serialize>(message: &T) -> u64 {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.unwrap().len() as u64
}
