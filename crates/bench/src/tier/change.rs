//! Submits configurations to a tier and waits until they are in force.

use std::sync::atomic::{AtomicU32, Ordering};

use error_stack::{Report, ResultExt, bail};
use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use super::{DaemonProcess, POLL_INTERVAL, READY_TIMEOUT, Result, Tier};
use crate::{client::HttpCall, error::BenchError};

static NEXT_CHANGE: AtomicU32 = AtomicU32::new(0);

/// Reply to an accepted change of the configuration.
#[derive(Debug, Deserialize)]
struct ConfigAccepted {
    version: u64,
}

impl Tier {
    /// Submits a configuration that replaces version `expected` and waits until the new version is
    /// in force on every running daemon.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the configuration is refused or not in force in time.
    pub async fn submit_config(&self, text: &str, expected: u64) -> Result<u64> {
        let number = NEXT_CHANGE.fetch_add(1, Ordering::Relaxed);
        let change = format!("bench-{}-{number}", std::process::id());
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let daemon = self.first_running()?;
            let call = HttpCall::new(
                Method::PUT,
                daemon.operators(),
                "/v1/config",
                text.to_owned(),
            )
            .header("if-match", &format!("\"{expected}\""))
            .header("change-id", &change);
            let reply = self.client.send(call).await;
            if let Ok(reply) = &reply
                && reply.status == StatusCode::OK
            {
                let accepted: ConfigAccepted =
                    serde_json::from_slice(&reply.body).change_context(BenchError::Daemon)?;
                self.wait_config(accepted.version).await?;
                return Ok(accepted.version);
            }
            let retry = reply
                .as_ref()
                .is_ok_and(|r| r.status == StatusCode::SERVICE_UNAVAILABLE);
            if Instant::now() > deadline || !(retry || reply.is_err()) {
                let refusal = reply?;
                bail!(Report::new(BenchError::Daemon).attach(refusal.text()));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until at least this version of the configuration is in force on every running daemon.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] after 30 seconds.
    pub async fn wait_config(&self, version: u64) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_running()) {
            while self.config_version(daemon).await < Some(version) {
                if Instant::now() > deadline {
                    bail!(Report::new(BenchError::Daemon).attach(format!(
                        "version {version} is not in force on {}",
                        daemon.name()
                    )));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the version of the configuration in force on a daemon, if the daemon answers.
    pub async fn config_version(&self, daemon: &DaemonProcess) -> Option<u64> {
        let call = HttpCall::new(Method::GET, daemon.operators(), "/v1/config", "");
        let reply = self.client.send(call).await.ok()?;
        reply.header("etag")?.trim_matches('"').parse().ok()
    }
}
