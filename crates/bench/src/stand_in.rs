//! Stand-in targets: small back ends with configurable delays, limits and injected faults.

mod announce;
mod call;
mod counters;
mod delay_timer;
mod hits;
mod query;
mod reply;
mod server;
mod settings;
mod slots;
mod state;
mod stream;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use fulmarweir_base::{ShardHolding, TargetName, TargetState};
use tokio::{net::TcpListener, time::sleep};

use self::{announce::announce_until_stopped, server::accept_connections, state::TargetShared};
use crate::error::BenchError;

pub use self::{
    counters::{ActRuns, StandInCounters},
    hits::{
        AnswerCheck, AnswerCoverage, AnswerFault, HitList, SearchAnswer, StandInHit, shard_hits,
    },
    settings::{
        ColdStart, FaultShare, HUGE_BODY_BYTES, ReplyFault, ReportMode, ServiceTime,
        StandInBehaviour, StandInSettings,
    },
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

/// Interval at which the load of a draining target is polled.
const DRAIN_POLL_MS: u64 = 5;

/// A running stand-in target on a loopback port.
///
/// [`StandIn::stop`] ends the target immediately, as a crash would; [`StandIn::drain`] shuts it
/// down gracefully first. Dropping the value stops the target without waiting.
#[derive(Debug)]
pub struct StandIn {
    shared: Arc<TargetShared>,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.shared.stop.cancel();
    }
}

impl StandIn {
    /// Listens on a free loopback port and starts to announce the target to its VMs.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when no port can be bound.
    pub async fn start(settings: StandInSettings) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .change_context(BenchError::Io)?;
        let address = listener.local_addr().change_context(BenchError::Io)?;
        let shared = Arc::new(TargetShared::new(settings, address));
        let tasks = &shared.tasks;
        tasks.spawn(accept_connections(Arc::clone(&shared), listener));
        tasks.spawn(announce_until_stopped(Arc::clone(&shared)));
        Ok(Self { shared })
    }

    /// Returns the address that serves `/query`.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the name of the target.
    #[must_use]
    pub fn name(&self) -> &TargetName {
        &self.shared.settings.name
    }

    /// Returns the settings with which the target was started.
    #[must_use]
    pub fn settings(&self) -> &StandInSettings {
        &self.shared.settings
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> StandInCounters {
        self.shared.counters()
    }

    /// Returns the number of runs of each act, by key and body.
    #[must_use]
    pub fn runs(&self) -> Vec<ActRuns> {
        self.shared.runs().list()
    }

    /// Changes service times, faults and reported load.
    pub fn set_behaviour(&self, behaviour: StandInBehaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Sets the state and announces it.
    pub fn set_state(&self, state: TargetState) {
        self.shared.set_state(state);
    }

    /// Returns the shard of a version that the target holds, if any.
    #[must_use]
    pub fn holding_of(&self, version: u64) -> Option<ShardHolding> {
        let record = self.shared.record();
        let mut holdings = record.versions.into_iter();
        holdings.find(|holding| holding.version == version)
    }

    /// Adds a shard and announces it.
    pub fn add_holding(&self, holding: ShardHolding) {
        self.shared
            .change_holdings(|holdings| holdings.push(holding));
    }

    /// Drops all shards of a version; further queries for the version are answered with 410.
    pub fn drop_version(&self, version: u64) {
        self.shared
            .change_holdings(|holdings| holdings.retain(|holding| holding.version != version));
    }

    /// Announces that the target is draining and waits until no request is running or queued.
    pub async fn drain(&self) {
        self.shared.set_state(TargetState::Draining);
        loop {
            let load = self.shared.limiter.load();
            if load.running == 0 && load.waiting == 0 {
                return;
            }
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }

    /// Closes all connections and stops the announcements, without waiting.
    pub fn crash(&self) {
        self.shared.stop.cancel();
    }

    /// Closes all connections, waits for all tasks and returns the final counters.
    pub async fn stop(self) -> StandInCounters {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
        self.shared.counters()
    }
}
