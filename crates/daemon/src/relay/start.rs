//! Starts a VM that relays requests, waits for a signal and stops it in order.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use error_stack::ResultExt;
use fulmarweir_base::lock;
use fulmarweir_conf::{RelayRole, RelaySettings};
use fulmarweir_quorum::{ClientSettings, QuorumClient, VoterService, VoterTransport};
use fulmarweir_wire::TrafficClass;
use futures::FutureExt;
use slog::{Logger, error, info};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

use super::{
    adapter::ProtocolAdapter,
    entry::EntryNode,
    handover::probe_brokers,
    keeper::KeeperNode,
    keeper_poll::{ConfigFetch, DirectoryOwner, KeeperDirectory, PollHooks, RelayPeers},
    listen::{start_entry_listeners, start_keeper_listeners},
    target_file::run_target_file,
    tasks::{RelayContext, RelayTasks, run_lag_probe},
    vm_message::{EntryContact, PollRequest, PollSource, VmReply, VmRequest},
    voters::{first_voters, open_voter, run_voters},
};
use crate::error::{DaemonError, Result};

/// Part of the stop grace in which callers still find their connections open.
const SETTLE_SHARE: f64 = 0.5;
/// Time before the end of the stop grace at which the process ends by itself, in milliseconds.
const END_MARGIN_MS: u64 = 400;
/// Time that a stopping keeper gives to calls in flight, in milliseconds.
const KEEPER_DRAIN_MS: u64 = 400;
/// Time that a voter gets for its answer on the network, in milliseconds.
const VOTER_TIMEOUT_MS: u64 = 800;

/// Runs a VM until SIGTERM or SIGINT.
///
/// # Errors
///
/// When the runtime or a listener cannot be used.
pub fn run_relay(
    settings: RelaySettings,
    settings_path: PathBuf,
    adapter: ProtocolAdapter,
) -> Result<()> {
    // One thread: an entry VM has a part of one core, and a second thread only adds switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(DaemonError::Runtime)?;
    let ended = runtime.block_on(async {
        match settings.role {
            RelayRole::Entry => run_entry(settings, settings_path, adapter).await,
            RelayRole::Keeper => run_keeper(settings, settings_path, adapter).await,
        }
    });
    // A stalled disk must not hold the end up.
    runtime.shutdown_background();
    ended
}

async fn run_entry(
    settings: RelaySettings,
    settings_path: PathBuf,
    adapter: ProtocolAdapter,
) -> Result<()> {
    let context = RelayContext::new(&settings, settings_path);
    log_start(&context.log, &settings);
    let (timer, peers, meter) = context.handles();
    let node = EntryNode::new(settings, adapter, context.log.clone(), timer, peers.clone());
    let mut tasks = RelayTasks::new();
    start_entry_listeners(&node, Arc::clone(&meter), &mut tasks).await?;
    let ticking = Arc::clone(&node);
    let tick = move || {
        ticking.tick();
        ticking.metrics.note_traffic(&meter);
        probe_brokers(&ticking);
    };
    let owner = Arc::clone(&node) as Arc<dyn DirectoryOwner>;
    context.spawn(owner, entry_hooks(&node), tick, &mut tasks);
    let lag_probe = run_lag_probe(Arc::clone(&node), tasks.stop.clone());
    tasks.loops.push(tokio::spawn(lag_probe));
    wait_for_stop().await?;
    let grace = node.settings.bounds.stop_grace;
    info!(node.log, "stopping"; "grace_ms" => grace.as_millis());
    node.begin_shutdown();
    // The balancer needs time to notice, and callers go on using open connections.
    sleep(grace.mul_f64(SETTLE_SHARE)).await;
    let rest = grace
        .mul_f64(1.0 - SETTLE_SHARE)
        .saturating_sub(Duration::from_millis(END_MARGIN_MS));
    let finish = async {
        tasks.shut_down().await;
        node.detached_tasks.close();
        node.detached_tasks.wait().await;
        node.links.close().await;
        peers.close().await;
        node.timer.close().await;
    };
    let whole = timeout(rest, finish).await.is_ok();
    info!(node.log, "stopped"; "all_requests_finished" => whole);
    Ok(())
}

fn entry_hooks(node: &Arc<EntryNode>) -> PollHooks {
    let (asker, taker, owner) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    PollHooks {
        request: Box::new(move |keeper, contacts_digest, wait_ms| PollRequest {
            source: PollSource::Entry(EntryContact {
                peers: asker.settings.peer_address(),
                centre: Arc::clone(&asker.settings.centre),
            }),
            cursor: asker.cursor(keeper),
            config_version: asker.config_version(),
            voter_epoch: 0,
            contacts_digest,
            brokers_digest: asker.brokers_digest(keeper),
            wait_ms,
        }),
        reply: Box::new(move |keeper, reply| {
            taker.apply_poll_reply(keeper, reply);
            taker.config_fetch(keeper, reply.config_version)
        }),
        config: Box::new(move |keeper, version, document| {
            if version <= owner.config_version() {
                return;
            }
            match (owner.adapter.decode_config)(document.as_bytes()) {
                Ok(table) => owner.apply_table(table),
                Err(fault) => error!(owner.log, "config-not-valid"; "version" => version,
                    "source" => %keeper, "fault" => fault),
            }
        }),
    }
}

async fn run_keeper(
    settings: RelaySettings,
    settings_path: PathBuf,
    adapter: ProtocolAdapter,
) -> Result<()> {
    let context = RelayContext::new(&settings, settings_path);
    log_start(&context.log, &settings);
    let (timer, peers, meter) = context.handles();
    let log = context.log.clone();
    let first_set = first_voters(&settings);
    let voter = open_voter(&settings, &first_set, &timer, &log).await;
    let voter = Arc::new(std::sync::Mutex::new(voter));
    let transport = voter_transport(peers, Arc::clone(&voter), settings.peer_address());
    let client = ClientSettings::new(first_set);
    let quorum = Arc::new(QuorumClient::new(client, transport, timer.clone()));
    let node = KeeperNode::new(settings, adapter, log, timer, quorum, voter);
    let mut tasks = RelayTasks::new();
    start_keeper_listeners(&node, Arc::clone(&meter), &mut tasks).await?;
    let ticking = Arc::clone(&node);
    let owner = Arc::clone(&node) as Arc<dyn DirectoryOwner>;
    context.spawn(
        owner,
        keeper_hooks(&node),
        move || {
            ticking.tick();
            ticking.metrics.note_traffic(&meter);
        },
        &mut tasks,
    );
    tasks.loops.extend([
        tokio::spawn(run_voters(Arc::clone(&node), tasks.stop.clone())),
        tokio::spawn(run_target_file(Arc::clone(&node), tasks.stop.clone())),
    ]);
    wait_for_stop().await?;
    info!(node.log, "stopping");
    let drain = Duration::from_millis(KEEPER_DRAIN_MS);
    let whole = timeout(drain, tasks.shut_down()).await.is_ok();
    info!(node.log, "stopped"; "all_calls_finished" => whole);
    Ok(())
}

fn keeper_hooks(node: &Arc<KeeperNode>) -> PollHooks {
    let (asker, taker, owner) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    PollHooks {
        request: Box::new(move |_, contacts_digest, wait_ms| PollRequest {
            source: PollSource::Keeper(asker.contact()),
            cursor: None,
            config_version: asker.config_version(),
            voter_epoch: asker.quorum.voters().epoch,
            contacts_digest,
            brokers_digest: None,
            wait_ms,
        }),
        reply: Box::new(move |_, reply| {
            if let Some(voters) = &reply.voters {
                taker.quorum.learn_voters(voters);
            }
            if reply.config_version > taker.config_version() {
                ConfigFetch::Now
            } else {
                ConfigFetch::No
            }
        }),
        config: Box::new(move |keeper, version, document| {
            owner.apply_decided_config(version, document, &keeper.to_string());
        }),
    }
}

/// Carries a request to a voter: over the network, or within this process.
fn voter_transport(
    peers: RelayPeers,
    voter: Arc<std::sync::Mutex<Option<Arc<VoterService>>>>,
    own_address: SocketAddr,
) -> VoterTransport {
    Arc::new(move |member, request| {
        let peers = peers.clone();
        let own_voter = (member.address == own_address).then(|| lock(&voter).clone());
        async move {
            if let Some(voter) = own_voter {
                return Some(voter?.handle(request).await);
            }
            let call = VmRequest::Voter(Box::new(request));
            let patience = Duration::from_millis(VOTER_TIMEOUT_MS);
            let reply = peers
                .call(member.address, TrafficClass::Control, &call, patience)
                .await;
            match reply {
                Ok(VmReply::Voter(reply)) => reply.map(|reply| *reply),
                _ => None,
            }
        }
        .boxed()
    })
}

fn log_start(log: &Logger, settings: &RelaySettings) {
    info!(log, "starting"; "role" => ?settings.role, "centre" => &*settings.centre,
        "peers" => %settings.peer_address(), "seeds" => format!("{:?}", settings.seeds),
        "first_start" => settings.first_start, "losses_max" => settings.losses_max,
        "data_folder" => settings.data_folder.is_some());
}

async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).change_context(DaemonError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(DaemonError::Runtime)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

impl DirectoryOwner for EntryNode {
    fn directory(&self) -> &KeeperDirectory {
        &self.directory
    }
}
