//! Voters that are lost for good, replaced by spares, and come back with old disks.

use std::{fs, net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, Tier};
use fulmarweir_tests::{SubmitEnd, TestOperator, VersionWatch, marked_text, one_centre};
use futures::future::join_all;
use tokio::time::sleep;

/// Settings that replace a lost voter soon enough for a test.
const SOON_REPLACED: &str = "[voters]\ngone-ms = 3000\n";
const REPLACED_POLLS_MAX: u32 = 600;
const POLL_PAUSE_MS: u64 = 100;

/// Operators that change the configuration and know what was accepted.
struct ChangeLine {
    operator: TestOperator,
    addresses: Vec<SocketAddr>,
    accepted: Vec<String>,
}

impl ChangeLine {
    /// Makes `count` changes at the daemons in turn, resending each until it is accepted.
    async fn extend(&mut self, count: usize, running: &[usize]) {
        for _ in 0..count {
            let at = self.accepted.len();
            let id = format!("change-{at}");
            self.submit_decided(at, &id, running).await;
            self.accepted.push(id);
        }
    }

    async fn submit_decided(&self, at: usize, id: &str, running: &[usize]) {
        let text = marked_text(at as u64);
        for attempt in 0..30 {
            let address = self.addresses[running[(at + attempt) % running.len()]];
            let end = self.operator.submit(address, at as u64, id, &text).await;
            match end {
                SubmitEnd::Accepted(version) => {
                    assert_eq!(version, at as u64 + 1);
                    return;
                }
                SubmitEnd::Conflict(current) => panic!("{id} met version {current}"),
                SubmitEnd::NotRun | SubmitEnd::Undecided => {}
            }
        }
        panic!("{id} is not accepted");
    }

    /// Checks that the voters know exactly the accepted changes.
    async fn check(&self, index: usize) {
        let accepted = self.operator.accepted(self.addresses[index]).await;
        assert_eq!(accepted.as_ref(), Some(&self.accepted));
    }

    /// Waits until all voters of a set without `gone` hold everything; its epoch.
    async fn wait_replaced(&self, index: usize, gone: &str) -> u64 {
        for _ in 0..REPLACED_POLLS_MAX {
            let status = self.operator.status(self.addresses[index]).await;
            if let Some(voters) = status.map(|status| status.voters) {
                let is_whole = voters.set.iter().all(|voter| voter.state == "ok");
                if is_whole && voters.set.iter().all(|voter| voter.vm != gone) {
                    return voters.epoch;
                }
            }
            sleep(Duration::from_millis(POLL_PAUSE_MS)).await;
        }
        panic!("{gone} is not replaced");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_voters_are_replaced_and_old_disks_have_no_say() {
    let mut settings = one_centre(5);
    settings.voter_candidates = 2;
    settings.extra_settings = SOON_REPLACED.to_owned();
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
    let mut line = ChangeLine {
        operator: TestOperator::default(),
        addresses,
        accepted: Vec::new(),
    };
    line.extend(5, &[0, 1, 2, 3, 4]).await;

    // The first voter is lost with its disk; changes go on meanwhile.
    tier.daemon_mut(0).kill().await.unwrap();
    let folder = tier.daemons()[0].data_folder().unwrap().to_owned();
    let aside = folder.with_extension("aside");
    fs::rename(&folder, &aside).unwrap();
    line.extend(5, &[1, 2, 3, 4]).await;
    let first_epoch = line.wait_replaced(2, &names[0]).await;
    assert!(replacements(&tier) > 0);

    // A second one is lost right after the repair.
    tier.daemon_mut(1).kill().await.unwrap();
    line.check(2).await;
    line.extend(5, &[2, 3, 4]).await;
    let second_epoch = line.wait_replaced(2, &names[1]).await;
    assert!(second_epoch > first_epoch);
    line.check(3).await;

    // Both return with their old disks, so that all of the first set is up again.
    fs::rename(&aside, &folder).unwrap();
    for index in [0, 1] {
        tier.restart(index).await.unwrap();
        let version = line.operator.version(line.addresses[index]).await;
        assert_eq!(version, Some(line.accepted.len() as u64));
    }
    check_without_majority(&mut tier, &line).await;
    line.check(0).await;
    line.extend(5, &[0, 1, 2, 3, 4]).await;
    line.check(4).await;
    assert!(watch.stop().await > 0);
    tier.stop().await.unwrap();
}

/// Takes the majority of the present voters away: the first set must not decide in its place.
async fn check_without_majority(tier: &mut Tier, line: &ChangeLine) {
    for index in [3, 4] {
        tier.daemon_mut(index).kill().await.unwrap();
    }
    let at = line.accepted.len() as u64;
    let text = marked_text(900);
    // Submitted on a version that will not be, so that it never takes effect later.
    let submits = [0, 1, 2].map(|index| {
        let address = line.addresses[index];
        line.operator.submit(address, at + 100, "old-set", &text)
    });
    for end in join_all(submits).await {
        let is_refused = matches!(end, SubmitEnd::NotRun | SubmitEnd::Undecided);
        assert!(is_refused, "{end:?}");
    }
    for index in [0, 1, 2] {
        let read = line.operator.accepted(line.addresses[index]).await;
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
