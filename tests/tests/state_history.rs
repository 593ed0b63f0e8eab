//! Concurrent changes of the configuration under link faults, checked for linearizability.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, Tier};
use fulmarweir_tests::{
    ConfigOp, ConfigSpec, HistoryLog, OpNumber, SubmitEnd, TestOperator, marked_text, one_centre,
    under_cuts,
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
/// Share of submissions whose operator leaves before the answer.
const LOST_SHARE: f64 = 0.25;
const LOST_AFTER_MS: u64 = 4;
const SUBMIT_PATIENCE_MS: u64 = 8000;

type ConfigLog = HistoryLog<ConfigOp>;

/// A submission whose outcome its operator does not know.
struct OpenChange {
    number: OpNumber,
    change: u32,
    at: u64,
}

/// One operator of a history.
struct HistoryOperator<'a> {
    operator: TestOperator,
    addresses: &'a [SocketAddr],
    log: &'a ConfigLog,
    generator: Pcg64Mcg,
    open: Vec<OpenChange>,
}

impl HistoryOperator<'_> {
    fn any_address(&mut self) -> SocketAddr {
        self.addresses[self.generator.random_range(0..self.addresses.len())]
    }

    /// Reads at any daemon; the number of accepted changes.
    async fn read(&mut self) -> Option<u64> {
        let address = self.any_address();
        let number = self.log.call();
        let accepted = self.operator.accepted(address).await?;
        let accepted = change_numbers(&accepted);
        let count = accepted.len() as u64;
        self.log.answer(number, ConfigOp::Read { accepted });
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

    /// Submits once; whether the outcome is known.
    async fn submit(&mut self, change: u32, at: u64) -> bool {
        let address = self.any_address();
        let is_lost = self.generator.random_bool(LOST_SHARE);
        let patience_ms = if is_lost {
            LOST_AFTER_MS
        } else {
            SUBMIT_PATIENCE_MS
        };
        let patience = Duration::from_millis(patience_ms);
        let (id, text) = (format!("h-{change}"), marked_text(u64::from(change)));
        let number = self.log.call();
        let end = self
            .operator
            .submit_within(address, at, &id, &text, patience)
            .await;
        match end {
            SubmitEnd::Accepted(version) => {
                let accepted = ConfigOp::Accepted {
                    change,
                    at,
                    version,
                };
                self.log.answer(number, accepted);
                true
            }
            SubmitEnd::Conflict(current) => {
                let conflict = ConfigOp::Conflict {
                    change,
                    at,
                    current,
                };
                self.log.answer(number, conflict);
                true
            }
            // Without an operation in the history, a read that shows the change is a violation.
            SubmitEnd::NotRun => false,
            SubmitEnd::Undecided => {
                self.open.push(OpenChange { number, change, at });
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

/// Counts undecided changes that the last read shows as pending; the others never took effect.
fn settle_changes(log: &ConfigLog, open: &[OpenChange], accepted: &[u32]) {
    for open in open {
        let index = accepted.iter().position(|change| *change == open.change);
        if let Some(index) = index {
            let accepted = ConfigOp::Accepted {
                change: open.change,
                at: open.at,
                version: index as u64 + 1,
            };
            log.leave_pending(open.number, accepted);
        }
    }
}

async fn config_history(seed: u64) -> ConfigLog {
    let mut settings = one_centre(VMS);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    let addresses: Vec<_> = tier
        .daemons()
        .iter()
        .map(DaemonProcess::operators)
        .collect();
    let log = ConfigLog::default();
    let operators = (0..OPERATORS).map(|number| {
        let mut operator = HistoryOperator {
            operator: TestOperator::default(),
            addresses: &addresses,
            log: &log,
            generator: Pcg64Mcg::seed_from_u64(seed * 100 + u64::from(number)),
            open: Vec::new(),
        };
        async move {
            for change in 0..CHANGES_PER_OPERATOR {
                operator
                    .change(number * CHANGES_PER_OPERATOR + change)
                    .await;
            }
            operator.open
        }
    });
    let open = under_cuts(&tier, seed, join_all(operators)).await;
    let open: Vec<_> = open.into_iter().flatten().collect();
    let accepted = last_read(&log, &addresses).await;
    settle_changes(&log, &open, &accepted);
    println!(
        "seed {seed}: {} operations, {} undecided, {} changes accepted",
        log.count(),
        open.len(),
        accepted.len()
    );
    tier.stop().await.unwrap();
    log
}

async fn last_read(log: &ConfigLog, addresses: &[SocketAddr]) -> Vec<u32> {
    let operator = TestOperator::default();
    for attempt in 0..100 {
        let address = addresses[attempt % addresses.len()];
        let number = log.call();
        if let Some(accepted) = operator.accepted(address).await {
            let accepted = change_numbers(&accepted);
            let read = ConfigOp::Read {
                accepted: accepted.clone(),
            };
            log.answer(number, read);
            return accepted;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no majority after the links are whole");
}

fn config_holds(log: &ConfigLog) -> bool {
    WGLChecker::<ConfigSpec>::is_linearizable(log.history())
}

#[tokio::test(flavor = "multi_thread")]
async fn config_changes_are_linearizable() {
    for seed in [1, 2] {
        let log = config_history(seed).await;
        assert!(log.count() > 50, "{} operations", log.count());
        assert!(config_holds(&log), "seed {seed}: {:?}", log.history());
        // A second change at version 0 in the same history is found.
        let second = ConfigOp::Accepted {
            change: u32::MAX,
            at: 0,
            version: 1,
        };
        log.append(second);
        assert!(!config_holds(&log));
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
        // All but the last read overlap, so that only their outcomes order them.
        let (last, first) = operations.split_last().unwrap();
        let numbers: Vec<_> = first.iter().map(|_| log.call()).collect();
        for (number, operation) in numbers.into_iter().zip(first) {
            log.answer(number, operation.clone());
        }
        log.append(last.clone());
        config_holds(&log)
    };
    assert!(holds(&[
        accepted(1, 0),
        conflict(2, 0, 1),
        accepted(3, 1),
        read(&[1, 3])
    ]));
    // A resent change is told its first outcome.
    assert!(holds(&[
        accepted(1, 0),
        accepted(2, 1),
        accepted(1, 0),
        read(&[1, 2])
    ]));
    // Two changes at one version.
    assert!(!holds(&[accepted(1, 0), accepted(2, 0), read(&[1])]));
    // An accepted change is lost.
    assert!(!holds(&[accepted(1, 0), accepted(2, 1), read(&[1])]));
    // A change that was not run appears.
    assert!(!holds(&[accepted(1, 0), read(&[1, 2])]));
    // A change told as conflict was made.
    assert!(!holds(&[
        accepted(1, 0),
        conflict(2, 1, 2),
        accepted(2, 1),
        read(&[1, 2])
    ]));
    // A read goes back.
    let log = ConfigLog::default();
    for operation in [accepted(1, 0), read(&[1]), read(&[])] {
        log.append(operation);
    }
    assert!(!config_holds(&log));
}
