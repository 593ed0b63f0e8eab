//! Checks that the version of the configuration never decreases on any daemon.

use std::{net::SocketAddr, time::Duration};

use tokio::{sync::watch, task::JoinSet, time::sleep};

use crate::operator::TestOperator;

const POLL_PAUSE_MS: u64 = 25;

/// Polls the version in force on each daemon until the watch is stopped.
///
/// Versions on a daemon that is not ready are ignored, since it takes no requests.
#[derive(Debug)]
pub struct VersionWatch {
    stop: watch::Sender<bool>,
    polls: JoinSet<u64>,
}

impl VersionWatch {
    /// Starts to poll the daemons at their addresses for operators.
    #[must_use]
    pub fn start(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let stop = watch::Sender::new(false);
        let mut polls = JoinSet::new();
        for address in addresses {
            polls.spawn(poll_versions(address, stop.subscribe()));
        }
        Self { stop, polls }
    }

    /// Stops the watch and returns the number of versions read.
    ///
    /// # Panics
    ///
    /// When a version was lower than an earlier one on the same daemon.
    pub async fn stop(self) -> u64 {
        self.stop.send_replace(true);
        self.polls.join_all().await.into_iter().sum()
    }
}

async fn poll_versions(address: SocketAddr, stop: watch::Receiver<bool>) -> u64 {
    let operator = TestOperator::default();
    let mut highest = 0;
    let mut reads = 0;
    while !*stop.borrow() {
        if let Some(version) = ready_version(&operator, address).await {
            assert!(version >= highest, "{address}: {version} after {highest}");
            highest = version;
            reads += 1;
        }
        sleep(Duration::from_millis(POLL_PAUSE_MS)).await;
    }
    reads
}

/// Returns the version if the daemon was ready both before and after the read.
async fn ready_version(operator: &TestOperator, address: SocketAddr) -> Option<u64> {
    if !operator.is_ready(address).await {
        return None;
    }
    let version = operator.version(address).await?;
    operator.is_ready(address).await.then_some(version)
}
