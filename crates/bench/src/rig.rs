//! Runs the daemons, configuration and stand-in targets of a scenario on one machine.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::{
    client::{HttpCall, HttpClient},
    error::BenchError,
    scenario::Scenario,
    stand_in::{StandIn, StandInCounters},
    tier::{DaemonProcess, Tier},
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The part of an answer that holds its coverage.
#[derive(Debug, Deserialize)]
struct SettledAnswer {
    coverage: SettledCoverage,
}

#[derive(Debug, Deserialize)]
struct SettledCoverage {
    shards: u32,
    answered: u32,
}

/// Running daemons and stand-in targets of one scenario.
#[derive(Debug)]
pub struct TestRig {
    /// The daemons.
    pub tier: Tier,
    /// The stand-in targets of all data centres.
    pub targets: Vec<StandIn>,
    /// Scenario that the rig runs.
    pub scenario: Scenario,
    /// Time from the start of the last target until every daemon gave answers with full coverage.
    pub settle_time: Duration,
}

impl TestRig {
    /// Starts the daemons, submits the configuration, starts the targets and waits until every
    /// daemon gives answers with full coverage for every search service.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when the daemons do not become ready or do not reach full coverage in
    /// time.
    pub async fn start(scenario: Scenario, program: PathBuf) -> Result<Self> {
        let settings = scenario.tier_settings(program);
        let tier = Tier::start(&settings).await?;
        tier.submit_config(&scenario.config_text(), 0).await?;
        let mut targets = Vec::new();
        for (index, centre) in settings.centres.iter().enumerate() {
            let of_centre = tier.daemons().iter().filter(|d| d.centre() == &centre.name);
            let vms: Vec<SocketAddr> = of_centre.map(DaemonProcess::targets).collect();
            for target in scenario.target_settings(index, &vms)? {
                targets.push(StandIn::start(target).await?);
            }
        }
        let mut rig = Self {
            tier,
            targets,
            scenario,
            settle_time: Duration::ZERO,
        };
        let start = Instant::now();
        rig.wait_for_full_coverage().await?;
        rig.settle_time = start.elapsed();
        Ok(rig)
    }

    /// Returns the address for callers of each daemon.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.tier.daemons().iter();
        daemons.map(DaemonProcess::callers).collect()
    }

    /// Returns the counters of each target.
    #[must_use]
    pub fn target_counters(&self) -> Vec<StandInCounters> {
        self.targets.iter().map(StandIn::counters).collect()
    }

    /// Stops the daemons, then the targets.
    ///
    /// # Errors
    ///
    /// [`BenchError::Daemon`] when a daemon did not shut down gracefully.
    pub async fn stop(self) -> Result<()> {
        let stopped = self.tier.stop().await;
        for target in self.targets {
            target.stop().await;
        }
        stopped
    }

    async fn wait_for_full_coverage(&self) -> Result<()> {
        let client = HttpClient::new();
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for address in self.caller_addresses() {
            for service in self.scenario.services().iter().filter(|s| !s.is_act) {
                let path = format!("/v1/search/{}", service.name);
                let mut last_reply = String::new();
                while !has_full_coverage(&client, address, &path, service.shards, &mut last_reply)
                    .await
                {
                    if Instant::now() > deadline {
                        return Err(Report::new(BenchError::Daemon)).attach_with(|| {
                            format!(
                                "{} lacks coverage at {address}; last reply: {last_reply}",
                                service.name
                            )
                        });
                    }
                    sleep(SETTLE_POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }
}

async fn has_full_coverage(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    shards: u32,
    last_reply: &mut String,
) -> bool {
    let call = HttpCall::new(Method::POST, address, path, "{}");
    let Ok(reply) = client.send(call).await else {
        "no reply".clone_into(last_reply);
        return false;
    };
    *last_reply = reply.text();
    if reply.status != StatusCode::OK {
        return false;
    }
    let answer: std::result::Result<SettledAnswer, _> =
        serde_json::from_slice(&reply.body).change_context(BenchError::Http);
    answer
        .is_ok_and(|answer| answer.coverage.shards == shards && answer.coverage.answered == shards)
}
