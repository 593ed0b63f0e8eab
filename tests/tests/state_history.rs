//! Concurrent changes of the configuration under link faults, checked for linearizability.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, Tier};
use fulmarweir_tests::{
    ConfigOp, ConfigSpec, HistoryLog, OperationId, SubmitOutcome, TestOperator, numbered_config,
    run_with_link_cuts, single_centre_settings,
};
use futures::future::join_all;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use todc_utils::WGLChecker;
use tokio::time::sleep;

const VMS: u32 = 4;
const OPERATORS: u32 = 5;
const CHANGES_PER_OPERATOR: u32 = 10;
const ATTEMPTS_MAX: u32 = 3;
/// Share of submissions whose operator disconnects before the answer.
const SHORT_TIMEOUT_SHARE: f64 = 0.25;
const SHORT_TIMEOUT_MS: u64 = 4;
const SUBMIT_TIMEOUT_MS: u64 = 8000;

type ConfigLog = HistoryLog<ConfigOp>;

/// A submission whose outcome its operator does not know.
struct UndecidedChange {
    operation_id: OperationId,
    change: u32,
    at: u64,
}

/// An operator that records its operations in a log.
struct RecordingOperator<'a> {
    operator: TestOperator,
    addresses: &'a [SocketAddr],
    log: &'a ConfigLog,
    generator: Pcg64Mcg,
    undecided: Vec<UndecidedChange>,
}

impl RecordingOperator<'_> {
    fn random_address(&mut self) -> SocketAddr {
        self.addresses[self.generator.random_range(0..self.addresses.len())]
    }

    /// Reads at a random daemon and returns the number of accepted changes.
    async fn read(&mut self) -> Option<u64> {
        let address = self.random_address();
        let operation_id = self.log.record_call();
        let accepted = self.operator.accepted(address).await?;
        let accepted = change_numbers(&accepted);
        let count = accepted.len() as u64;
        self.log
            .record_answer(operation_id, ConfigOp::Read { accepted });
        Some(count)
    }

    async fn change(&mut self, change: u32) {
        let Some(read) = self.read().await else {
            return;
        };
        let is_stale = self.generator.random_bool(0.1);
        let at = read.saturating_sub(u64::from(is_stale));
        for _ in 0..ATTEMPTS_MAX {
            if self.submit(change, at).await {
                return;
            }
        }
    }

    /// Submits once and returns whether the outcome is known.
    async fn submit(&mut self, change: u32, at: u64) -> bool {
        let address = self.random_address();
        let uses_short_timeout = self.generator.random_bool(SHORT_TIMEOUT_SHARE);
        let timeout_ms = if uses_short_timeout {
            SHORT_TIMEOUT_MS
        } else {
            SUBMIT_TIMEOUT_MS
        };
        let timeout = Duration::from_millis(timeout_ms);
        let (id, text) = (format!("h-{change}"), numbered_config(u64::from(change)));
        let operation_id = self.log.record_call();
        let outcome = self
            .operator
            .submit_within(address, at, &id, &text, timeout)
            .await;
        match outcome {
            SubmitOutcome::Accepted(version) => {
                let accepted = ConfigOp::Accepted {
                    change,
                    at,
                    version,
                };
                self.log.record_answer(operation_id, accepted);
                true
            }
            SubmitOutcome::Conflict(current) => {
                let conflict = ConfigOp::Conflict {
                    change,
                    at,
                    current,
                };
                self.log.record_answer(operation_id, conflict);
                true
            }
            // The history gets no operation, so that a read which shows the change is a violation.
            SubmitOutcome::NotRun => false,
            SubmitOutcome::Undecided => {
                self.undecided.push(UndecidedChange {
                    operation_id,
                    change,
                    at,
                });
                false
            }
        }
    }
}

fn change_numbers(ids: &[String]) -> Vec<u32> {
    let number = |id: &String| id.strip_prefix("h-")?.parse().ok();
    ids.iter()
        .map(|id| number(id).expect("a change of this test"))
        .collect()
}

/// Records as pending each undecided change that the last read returned. The others never took
/// effect.
fn record_pending_changes(log: &ConfigLog, undecided: &[UndecidedChange], accepted: &[u32]) {
    for undecided in undecided {
        let index = accepted
            .iter()
            .position(|change| *change == undecided.change);
        if let Some(index) = index {
            let accepted = ConfigOp::Accepted {
                change: undecided.change,
                at: undecided.at,
                version: index as u64 + 1,
            };
            log.record_pending(undecided.operation_id, accepted);
        }
    }
}

async fn record_config_history(seed: u64) -> ConfigLog {
    let mut settings = single_centre_settings(VMS);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    let addresses: Vec<_> = tier
        .daemons()
        .iter()
        .map(DaemonProcess::operators)
        .collect();
    let log = ConfigLog::default();
    let operators = (0..OPERATORS).map(|number| {
        let mut operator = RecordingOperator {
            operator: TestOperator::default(),
            addresses: &addresses,
            log: &log,
            generator: Pcg64Mcg::seed_from_u64(seed * 100 + u64::from(number)),
            undecided: Vec::new(),
        };
        async move {
            for change in 0..CHANGES_PER_OPERATOR {
                operator
                    .change(number * CHANGES_PER_OPERATOR + change)
                    .await;
            }
            operator.undecided
        }
    });
    let undecided = run_with_link_cuts(&tier, seed, join_all(operators)).await;
    let undecided: Vec<_> = undecided.into_iter().flatten().collect();
    let accepted = read_accepted(&log, &addresses).await;
    record_pending_changes(&log, &undecided, &accepted);
    println!(
        "seed {seed}: {} operations, {} undecided, {} changes accepted",
        log.count(),
        undecided.len(),
        accepted.len()
    );
    tier.stop().await.unwrap();
    log
}

async fn read_accepted(log: &ConfigLog, addresses: &[SocketAddr]) -> Vec<u32> {
    let operator = TestOperator::default();
    for attempt in 0..100 {
        let address = addresses[attempt % addresses.len()];
        let operation_id = log.record_call();
        if let Some(accepted) = operator.accepted(address).await {
            let accepted = change_numbers(&accepted);
            let read = ConfigOp::Read {
                accepted: accepted.clone(),
            };
            log.record_answer(operation_id, read);
            return accepted;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no majority after the links are healed");
}

fn config_is_linearizable(log: &ConfigLog) -> bool {
    WGLChecker::<ConfigSpec>::is_linearizable(log.history())
}

#[tokio::test(flavor = "multi_thread")]
async fn config_changes_are_linearizable() {
    for seed in [1, 2] {
        let log = record_config_history(seed).await;
        assert!(log.count() > 50, "{} operations", log.count());
        assert!(
            config_is_linearizable(&log),
            "seed {seed}: {:?}",
            log.history()
        );
        // The checker must reject the same history with a second change based on version 0.
        let second = ConfigOp::Accepted {
            change: u32::MAX,
            at: 0,
            version: 1,
        };
        log.append(second);
        assert!(!config_is_linearizable(&log));
    }
}

#[test]
fn planted_faults_of_changes_are_found() {
    let accepted = |change, at| ConfigOp::Accepted {
        change,
        at,
        version: at + 1,
    };
    let read = |accepted: &[u32]| ConfigOp::Read {
        accepted: accepted.to_vec(),
    };
    let conflict = |change, at, current| ConfigOp::Conflict {
        change,
        at,
        current,
    };
    let holds = |operations: &[ConfigOp]| {
        let log = ConfigLog::default();
        // All operations but the last read overlap, so that only their results order them.
        let (last, first) = operations.split_last().unwrap();
        let operation_ids: Vec<_> = first.iter().map(|_| log.record_call()).collect();
        for (operation_id, operation) in operation_ids.into_iter().zip(first) {
            log.record_answer(operation_id, operation.clone());
        }
        log.append(last.clone());
        config_is_linearizable(&log)
    };
    assert!(holds(&[
        accepted(1, 0),
        conflict(2, 0, 1),
        accepted(3, 1),
        read(&[1, 3])
    ]));
    // A resent change gets its first outcome.
    assert!(holds(&[
        accepted(1, 0),
        accepted(2, 1),
        accepted(1, 0),
        read(&[1, 2])
    ]));
    // Two changes based on the same version are accepted.
    assert!(!holds(&[accepted(1, 0), accepted(2, 0), read(&[1])]));
    // An accepted change is lost.
    assert!(!holds(&[accepted(1, 0), accepted(2, 1), read(&[1])]));
    // A change that was not run is read.
    assert!(!holds(&[accepted(1, 0), read(&[1, 2])]));
    // A change that was answered as a conflict was made.
    assert!(!holds(&[
        accepted(1, 0),
        conflict(2, 1, 2),
        accepted(2, 1),
        read(&[1, 2])
    ]));
    // A later read returns fewer changes.
    let log = ConfigLog::default();
    for operation in [accepted(1, 0), read(&[1]), read(&[])] {
        log.append(operation);
    }
    assert!(!config_is_linearizable(&log));
}
