//! Announces a stand-in target to a VM and follows redirects to other VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time::sleep;

use super::state::TargetShared;
use crate::client::{HttpCall, HttpClient};

const ANNOUNCE_PATH: &str = "/v1/announce";
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;
const RETRY_DELAY_MS: u64 = 200;

/// Reply to an announcement.
#[derive(Debug, Deserialize)]
struct AnnounceReply {
    /// Time until the next announcement.
    next_ms: u64,
    /// VM for the following announcements, if it is another one.
    at: Option<SocketAddr>,
}

/// Selects the VM to announce to: the last redirect, or the next seed after a failure.
struct VmSelector {
    seeds: Vec<SocketAddr>,
    seed_index: usize,
    current: SocketAddr,
}

impl VmSelector {
    fn new(seeds: Vec<SocketAddr>) -> Option<Self> {
        let current = *seeds.first()?;
        Some(Self {
            seeds,
            seed_index: 0,
            current,
        })
    }

    /// Switches to the next seed after a failed announcement.
    fn fail_over(&mut self) {
        self.seed_index = (self.seed_index + 1) % self.seeds.len();
        self.current = self.seeds[self.seed_index];
    }
}

/// Announces the target periodically until it stops.
pub(crate) async fn announce_until_stopped(shared: Arc<TargetShared>) {
    tokio::select! {
        () = announce(&shared) => {}
        () = shared.stop.cancelled() => {}
    }
}

async fn announce(shared: &TargetShared) {
    let client = HttpClient::new();
    let Some(mut selector) = VmSelector::new(shared.settings.vms.clone()) else {
        return;
    };
    loop {
        let reply = announce_once(shared, &client, selector.current).await;
        let accepted = reply.is_some();
        shared.update_counters(|counters| {
            counters.announcements += u64::from(accepted);
            counters.failed_announcements += u64::from(!accepted);
        });
        let pause_ms = if let Some(reply) = reply {
            selector.current = reply.at.unwrap_or(selector.current);
            reply.next_ms
        } else {
            selector.fail_over();
            RETRY_DELAY_MS
        };
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

async fn announce_once(
    shared: &TargetShared,
    client: &HttpClient,
    at: SocketAddr,
) -> Option<AnnounceReply> {
    let body = serde_json::to_vec(&shared.record()).ok()?;
    let mut call = HttpCall::new(Method::POST, at, ANNOUNCE_PATH, body)
        .header("content-type", "application/json");
    call.timeout = Duration::from_millis(ANNOUNCE_TIMEOUT_MS);
    let reply = client.send(call).await.ok()?;
    if reply.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
