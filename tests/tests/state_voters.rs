//! Voters that are lost, replaced by other VMs, and return with their old disks.

use std::{fs, net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, Tier};
use fulmarweir_tests::{
    SubmitOutcome, TestOperator, VersionWatch, numbered_config, single_centre_settings,
};
use futures::future::join_all;
use tokio::time::sleep;

/// Settings with which a lost voter is replaced soon enough for a test.
const FAST_REPLACEMENT: &str = "[voters]\ngone-ms = 3000\n";
const REPLACED_POLLS_MAX: u32 = 600;
const POLL_PAUSE_MS: u64 = 100;

/// Submits changes of the configuration and keeps the identifiers of the accepted ones.
struct ChangeSequence {
    operator: TestOperator,
    addresses: Vec<SocketAddr>,
    accepted: Vec<String>,
}

impl ChangeSequence {
    /// Submits `count` changes to the running daemons in turn, each until it is accepted.
    async fn extend(&mut self, count: usize, running: &[usize]) {
        for _ in 0..count {
            let at = self.accepted.len();
            let id = format!("change-{at}");
            self.submit_until_accepted(at, &id, running).await;
            self.accepted.push(id);
        }
    }

    async fn submit_until_accepted(&self, at: usize, id: &str, running: &[usize]) {
        let text = numbered_config(at as u64);
        for attempt in 0..30 {
            let address = self.addresses[running[(at + attempt) % running.len()]];
            let outcome = self.operator.submit(address, at as u64, id, &text).await;
            match outcome {
                SubmitOutcome::Accepted(version) => {
                    assert_eq!(version, at as u64 + 1);
                    return;
                }
                SubmitOutcome::Conflict(current) => panic!("{id} met version {current}"),
                SubmitOutcome::NotRun | SubmitOutcome::Undecided => {}
            }
        }
        panic!("{id} is not accepted");
    }

    /// Checks that a read at a daemon returns exactly the accepted changes.
    async fn check_accepted(&self, index: usize) {
        let accepted = self.operator.accepted(self.addresses[index]).await;
        assert_eq!(accepted.as_ref(), Some(&self.accepted));
    }

    /// Waits until a voter set without `lost_vm` has only caught-up voters, and returns its epoch.
    async fn wait_until_replaced(&self, index: usize, lost_vm: &str) -> u64 {
        for _ in 0..REPLACED_POLLS_MAX {
            let status = self.operator.status(self.addresses[index]).await;
            if let Some(voters) = status.map(|status| status.voters) {
                let are_caught_up = voters.set.iter().all(|voter| voter.state == "ok");
                if are_caught_up && voters.set.iter().all(|voter| voter.vm != lost_vm) {
                    return voters.epoch;
                }
            }
            sleep(Duration::from_millis(POLL_PAUSE_MS)).await;
        }
        panic!("{lost_vm} is not replaced");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_voters_are_replaced_and_old_disks_have_no_say() {
    let mut settings = single_centre_settings(5);
    settings.voter_candidates = 2;
    settings.extra_settings = FAST_REPLACEMENT.to_owned();
    let mut tier = Tier::start(&settings).await.unwrap();
    let addresses: Vec<_> = tier
        .daemons()
        .iter()
        .map(DaemonProcess::operators)
        .collect();
    let names: Vec<_> = tier
        .daemons()
        .iter()
        .map(|vm| vm.name().to_string())
        .collect();
    let watch = VersionWatch::start(addresses.clone());
    let mut changes = ChangeSequence {
        operator: TestOperator::default(),
        addresses,
        accepted: Vec::new(),
    };
    changes.extend(5, &[0, 1, 2, 3, 4]).await;

    // The first voter is lost together with its disk, while changes go on.
    tier.daemon_mut(0).kill().await.unwrap();
    let folder = tier.daemons()[0].data_folder().unwrap().to_owned();
    let aside = folder.with_extension("aside");
    fs::rename(&folder, &aside).unwrap();
    changes.extend(5, &[1, 2, 3, 4]).await;
    let first_epoch = changes.wait_until_replaced(2, &names[0]).await;
    assert!(replacements(&tier) > 0);

    // A second voter is lost right after the first one was replaced.
    tier.daemon_mut(1).kill().await.unwrap();
    changes.check_accepted(2).await;
    changes.extend(5, &[2, 3, 4]).await;
    let second_epoch = changes.wait_until_replaced(2, &names[1]).await;
    assert!(second_epoch > first_epoch);
    changes.check_accepted(3).await;

    // Both return with their old disks, so that the whole first voter set is up again.
    fs::rename(&aside, &folder).unwrap();
    for index in [0, 1] {
        tier.restart(index).await.unwrap();
        let version = changes.operator.version(changes.addresses[index]).await;
        assert_eq!(version, Some(changes.accepted.len() as u64));
    }
    check_without_majority(&mut tier, &changes).await;
    changes.check_accepted(0).await;
    changes.extend(5, &[0, 1, 2, 3, 4]).await;
    changes.check_accepted(4).await;
    assert!(watch.stop().await > 0);
    tier.stop().await.unwrap();
}

/// Stops a majority of the current voters and checks that the first voter set decides nothing.
async fn check_without_majority(tier: &mut Tier, changes: &ChangeSequence) {
    for index in [3, 4] {
        tier.daemon_mut(index).kill().await.unwrap();
    }
    let at = changes.accepted.len() as u64;
    let text = numbered_config(900);
    // No such base version will ever be in force, so that the change can't take effect later.
    let submits = [0, 1, 2].map(|index| {
        let address = changes.addresses[index];
        changes.operator.submit(address, at + 100, "old-set", &text)
    });
    for outcome in join_all(submits).await {
        let is_refused = matches!(outcome, SubmitOutcome::NotRun | SubmitOutcome::Undecided);
        assert!(is_refused, "{outcome:?}");
    }
    for index in [0, 1, 2] {
        let read = changes.operator.accepted(changes.addresses[index]).await;
        assert_eq!(read, None);
    }
    for index in [3, 4] {
        tier.restart(index).await.unwrap();
    }
}

fn replacements(tier: &Tier) -> usize {
    let logs = tier.daemons().iter().map(DaemonProcess::log);
    logs.map(|log| log.matches("voter-replaced").count()).sum()
}
