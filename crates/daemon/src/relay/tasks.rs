//! The tasks of a relay process, and the background loops that entry VMs and keepers share.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use fulmarweir_base::{TimerService, lock};
use fulmarweir_conf::RelaySettings;
use fulmarweir_wire::{PeerClient, TrafficMeter};
use slog::Logger;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{
    cold_targets::check_cold_targets,
    entry::EntryNode,
    keeper_poll::{DirectoryOwner, KeeperPoller, PollHooks, RelayPeers, run_polls},
    links::check_links,
    reload::run_reload,
};
use crate::logging::build_relay_logger;

/// Period of the periodic work on leases, keepers and connections, in milliseconds.
const TICK_MS: u64 = 250;
/// Period of the timer that measures the event loop's lag, in milliseconds.
const LAG_PERIOD_MS: u64 = 25;

/// The tasks of a process and the tokens that stop them.
pub(super) struct RelayTasks {
    /// Stops the listeners, which then finish the requests in flight.
    pub(super) stop_listeners: CancellationToken,
    pub(super) listeners: Vec<JoinHandle<()>>,
    /// Stops the background loops.
    pub(super) stop: CancellationToken,
    pub(super) loops: Vec<JoinHandle<()>>,
}

impl RelayTasks {
    pub(super) fn new() -> Self {
        Self {
            stop_listeners: CancellationToken::new(),
            listeners: Vec::new(),
            stop: CancellationToken::new(),
            loops: Vec::new(),
        }
    }

    async fn drain_listeners(&mut self) {
        self.stop_listeners.cancel();
        for task in self.listeners.drain(..) {
            // The panic of a listener has already been logged.
            let _ = task.await;
        }
    }

    /// Finishes the requests in flight, then stops the loops.
    pub(super) async fn shut_down(mut self) {
        self.drain_listeners().await;
        self.stop.cancel();
        for task in self.loops {
            let _ = task.await;
        }
    }
}

/// What the background loops of entry VMs and keepers share.
pub(super) struct RelayContext {
    peers: RelayPeers,
    meter: Arc<TrafficMeter>,
    timer: TimerService,
    pub(super) log: Logger,
    own_address: SocketAddr,
    /// Path of the settings file.
    settings_path: PathBuf,
}

impl RelayContext {
    /// Creates the logger, timers and connections of a process. Starts no loop.
    pub(super) fn new(settings: &RelaySettings, settings_path: PathBuf) -> Self {
        let meter = Arc::new(TrafficMeter::default());
        Self {
            peers: PeerClient::new(Arc::clone(&meter)),
            meter,
            timer: TimerService::new(),
            log: build_relay_logger(settings.log_level, &settings.name),
            own_address: settings.peer_address(),
            settings_path,
        }
    }

    /// Returns the timers, the client for other VMs, and the meter of its traffic.
    pub(super) fn handles(&self) -> (TimerService, RelayPeers, Arc<TrafficMeter>) {
        let (timer, meter) = (self.timer.clone(), Arc::clone(&self.meter));
        (timer, self.peers.clone(), meter)
    }

    /// Starts polling keepers, calling `tick` and reloading the settings.
    pub(super) fn spawn(
        self,
        owner: Arc<dyn DirectoryOwner>,
        hooks: PollHooks,
        tick: impl Fn() + Send + Sync + 'static,
        tasks: &mut RelayTasks,
    ) {
        let stop = &tasks.stop;
        let poller = Arc::new(KeeperPoller {
            peers: self.peers,
            timer: self.timer.clone(),
            log: self.log.clone(),
            hooks,
            own_address: self.own_address,
            stop: stop.clone(),
        });
        let reload_owner = Arc::clone(&owner);
        let apply =
            move |settings: &RelaySettings| reload_owner.directory().set_seeds(&settings.seeds);
        tasks.loops.extend([
            tokio::spawn(run_polls(poller, owner)),
            tokio::spawn(run_ticks(self.timer, stop.clone(), tick)),
            tokio::spawn(run_reload(
                self.settings_path,
                self.log,
                stop.clone(),
                apply,
            )),
        ]);
    }
}

/// Calls `tick` periodically until stopped.
async fn run_ticks(timer: TimerService, stop: CancellationToken, tick: impl Fn() + Send + Sync) {
    let mut ticks = timer.subscribe(Duration::from_millis(TICK_MS));
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            due = ticks.next() => match due {
                Some(_) => tick(),
                None => return,
            },
        }
    }
}

/// Measures the event loop's lag by how late a timer fires, and watches the links to targets.
pub(super) async fn run_lag_probe(node: Arc<EntryNode>, stop: CancellationToken) {
    let period = Duration::from_millis(LAG_PERIOD_MS);
    loop {
        let due = node.timer.now() + period;
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.timer.sleep_until(due) => {}
        }
        let delay = node.timer.now().since(due);
        lock(&node.lag).record(delay);
        check_links(&node);
        check_cold_targets(&node);
    }
}
