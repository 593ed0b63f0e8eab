//! Drives the fleet protocols: sends their messages and performs their actions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{TargetRecord, lock};
use fulmarweir_conf::CompiledConfig;
use fulmarweir_fleet::{
    AnnounceResult, ConfigStamp, FleetAction, FleetMessage, ReadyPhase, TICK_PERIOD_MS,
};
use fulmarweir_wire::TrafficClass;
use slog::{debug, error, info, warn};

use crate::{
    lifecycle::LifecycleEvent,
    node::NodeState,
    peer_message::{PeerReply, PeerRequest},
    views::sync_targets,
};

/// Timeout of a fleet message, in milliseconds. A message that arrives later is of no use.
const MESSAGE_TIMEOUT_MS: u64 = 500;
const FETCH_TIMEOUT_MS: u64 = 2000;
/// Ticks between two updates of this VM's shares of targets, which also change over time.
const TICKS_PER_SYNC: u32 = 5;

/// Runs the ticks of the fleet protocols until the process halts.
pub(crate) async fn run_fleet(node: Arc<NodeState>) {
    let mut ticks = node.timer.subscribe(Duration::from_millis(TICK_PERIOD_MS));
    let mut until_sync = 0;
    loop {
        let now = tokio::select! {
            () = node.halt.cancelled() => return,
            tick = ticks.next() => match tick {
                Some(now) => now,
                None => return,
            },
        };
        let actions = lock(&node.fleet).on_tick(now);
        perform_all(&node, actions);
        if until_sync == 0 {
            sync_targets(&node);
            until_sync = TICKS_PER_SYNC;
        }
        until_sync -= 1;
    }
}

/// Handles a fleet message of another VM.
pub(crate) fn receive_message(node: &Arc<NodeState>, from: SocketAddr, message: FleetMessage) {
    let now = node.timer.now();
    let actions = lock(&node.fleet).on_message(from, message, now);
    perform_all(node, actions);
}

/// Applies the announcement of a target.
pub(crate) fn apply_announcement(node: &Arc<NodeState>, record: TargetRecord) -> AnnounceResult {
    let now = node.timer.now();
    let (result, actions) = lock(&node.fleet).announce(record, now);
    perform_all(node, actions);
    result
}

/// Puts a configuration in force and tells the peers. Returns false if its version is not newer
/// than the one in force.
pub(crate) fn apply_config(node: &Arc<NodeState>, config: CompiledConfig) -> bool {
    let stamp = ConfigStamp::of(config.version, &config.text);
    if !node.config.apply(config) {
        return false;
    }
    info!(node.log, "config-in-force"; "version" => stamp.version);
    node.config_store.save(&node.config.current());
    let now = node.timer.now();
    let actions = lock(&node.fleet).on_config_applied(stamp, now);
    perform_all(node, actions);
    sync_targets(node);
    true
}

/// Tells the fleet protocols the newest version that a quorum of voters reported.
pub(crate) fn record_quorum_config(node: &Arc<NodeState>, stamp: ConfigStamp) {
    let now = node.timer.now();
    let actions = lock(&node.fleet).on_quorum_config(stamp, now);
    perform_all(node, actions);
}

/// Tells the peers that this VM leaves, and waits until the messages have been sent.
pub(crate) async fn leave_fleet(node: &Arc<NodeState>) {
    let now = node.timer.now();
    let actions = lock(&node.fleet).leave(now);
    let sends = actions.into_iter().filter_map(|action| match action {
        FleetAction::Send { to, message } => Some(send_message(node, to, message)),
        _ => None,
    });
    futures::future::join_all(sends).await;
}

fn perform_all(node: &Arc<NodeState>, actions: Vec<FleetAction>) {
    for action in actions {
        perform(node, action);
    }
}

fn perform(node: &Arc<NodeState>, action: FleetAction) {
    match action {
        FleetAction::Send { to, message } => {
            let sender = Arc::clone(node);
            node.fleet_tasks
                .spawn(async move { send_message(&sender, to, message).await });
        }
        FleetAction::MemberChanged { identity, status } => {
            info!(node.log, "member-changed"; "member" => %identity.name,
                "address" => %identity.peers, "status" => ?status);
        }
        FleetAction::TargetsChanged => sync_targets(node),
        FleetAction::ConfigOutdated { peer, stamp } => {
            let fetcher = Arc::clone(node);
            node.fleet_tasks
                .spawn(async move { fetch_config(&fetcher, peer, stamp).await });
        }
        FleetAction::ConfigConflict { peer, stamp } => {
            error!(node.log, "config-conflict"; "peer" => %peer, "version" => stamp.version);
        }
        FleetAction::DuplicateName {
            name,
            holder,
            joiner,
        } => {
            error!(node.log, "duplicate-name"; "name" => %name, "holder" => %holder,
                "joiner" => %joiner);
        }
        FleetAction::NameRefused { holder } => {
            error!(node.log, "name-refused"; "holder" => %holder.peers);
            node.lifecycle.handle(&LifecycleEvent::NameLost);
        }
        FleetAction::PhaseChanged(phase) => {
            debug!(node.log, "phase-changed"; "phase" => ?phase);
            if phase == ReadyPhase::Ready {
                node.lifecycle.handle(&LifecycleEvent::ConfigCaughtUp);
                info!(node.log, "ready"; "config_version" => node.config.current().version);
            }
        }
        FleetAction::TargetChangeRefused(refusal) => {
            warn!(node.log, "target-change-refused"; "reason" => %refusal);
        }
    }
}

async fn send_message(node: &NodeState, to: SocketAddr, message: FleetMessage) {
    let request = PeerRequest::Fleet {
        from: node.settings.peer_address(),
        message: Box::new(message),
    };
    let timeout = Duration::from_millis(MESSAGE_TIMEOUT_MS);
    let sending = node
        .peers
        .call(to, TrafficClass::Control, &request, timeout);
    // Errors are ignored: the protocols repeat every message that matters.
    tokio::select! {
        _ = sending => {}
        () = node.halt.cancelled() => {}
    }
}

async fn fetch_config(node: &Arc<NodeState>, peer: SocketAddr, stamp: ConfigStamp) {
    let timeout = Duration::from_millis(FETCH_TIMEOUT_MS);
    let request = PeerRequest::FetchConfig;
    let reply = node
        .peers
        .call(peer, TrafficClass::Control, &request, timeout)
        .await;
    let Ok(PeerReply::Config(copy)) = reply else {
        return;
    };
    if copy.version < stamp.version {
        return;
    }
    match CompiledConfig::compile(copy.version, &copy.text) {
        Ok(config) => {
            apply_config(node, config);
        }
        Err(faults) => {
            error!(node.log, "config-not-valid"; "peer" => %peer, "version" => copy.version,
                "faults" => %faults);
        }
    }
}
