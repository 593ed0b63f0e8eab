//! Starts an entry VM or a keeper, waits for a stop signal and shuts it down gracefully.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use error_stack::ResultExt;
use fulmarweir_base::lock;
use fulmarweir_conf::{RelayRole, RelaySettings};
use fulmarweir_quorum::{QuorumClient, VoterService, VoterTransport};
use fulmarweir_wire::TrafficClass;
use futures::FutureExt;
use slog::{Logger, error, info, warn};
use tokio::signal::unix::{SignalKind, signal};

use super::{
    adapter::ProtocolAdapter,
    crash_news::run_crash_news,
    entry::EntryNode,
    handover::probe_brokers,
    keeper::KeeperNode,
    keeper_poll::{ConfigFetch, DirectoryOwner, KeeperDirectory, PollHooks, RelayPeers},
    listen::{start_entry_listeners, start_keeper_listeners},
    peer_version_log::PeerVersionLog,
    permits::run_permits,
    state_file::{run_evacuations_file, run_quarantine_file, run_target_file},
    tasks::{RelayContext, RelayTasks, run_lag_probe},
    vm_message::{EntryContact, PollRequest, PollSource, VmReply, VmRequest, wire_version},
    voters::{client_settings, open_voter, run_voters},
};
use crate::{
    error::{DaemonError, Result},
    planned_stop::{StopEnd, finish_in_time},
};

/// Time after which a keeper that stops answers calls that are still in flight, in milliseconds.
const KEEPER_ANSWER_MS: u64 = 300;
/// Time limit of the stop of a keeper, in milliseconds.
const KEEPER_DRAIN_MS: u64 = 400;
/// Time limit of a request to the voter of another VM, in milliseconds.
const VOTER_TIMEOUT_MS: u64 = 800;

/// Runs an entry VM or a keeper until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the runtime, a listener or the signal handlers cannot be set up.
pub fn run_relay(
    settings: RelaySettings,
    settings_path: PathBuf,
    adapter: ProtocolAdapter,
) -> Result<()> {
    // One thread: an entry VM has a fraction of one core, and a second thread would only add
    // context switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(DaemonError::Runtime)?;
    let result = runtime.block_on(async {
        match settings.role {
            RelayRole::Entry => run_entry(settings, settings_path, adapter).await,
            RelayRole::Keeper => run_keeper(settings, settings_path, adapter).await,
        }
    });
    // Does not wait for blocking tasks, which could hang on a stalled disk.
    runtime.shutdown_background();
    result
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
    start_entry_listeners(&node, Arc::clone(&meter), &mut tasks)?;
    let versions = PeerVersionLog::new(node.log.clone(), peers.clone(), Arc::clone(&meter));
    let ticking_node = Arc::clone(&node);
    let tick = move || {
        ticking_node.tick();
        versions.update(&ticking_node.metrics, ticking_node.timer.now());
        ticking_node.metrics.update_traffic(&meter);
        probe_brokers(&ticking_node);
    };
    let owner = Arc::clone(&node) as Arc<dyn DirectoryOwner>;
    context.spawn(owner, entry_hooks(&node), tick, &mut tasks);
    let lag_probe = run_lag_probe(Arc::clone(&node), tasks.stop.clone());
    let permits = run_permits(Arc::clone(&node), tasks.stop.clone());
    let crash_news = run_crash_news(Arc::clone(&node), tasks.stop.clone());
    tasks.loops.extend([
        tokio::spawn(lag_probe),
        tokio::spawn(permits),
        tokio::spawn(crash_news),
    ]);
    wait_for_stop_signal().await?;
    let grace = node.settings.bounds.stop_grace;
    info!(node.log, "stopping"; "grace_ms" => grace.as_millis());
    let plan = node.begin_shutdown();
    node.timer.sleep_until(plan.accept_until).await;
    let shutdown = async {
        tasks.shut_down().await;
        node.detached_tasks.close();
        node.detached_tasks.wait().await;
        node.pool.close().await;
        peers.close().await;
        node.timer.close().await;
    };
    let answer_after = plan.answer_by.since(node.timer.now());
    let margin = plan.exit_by.since(plan.answer_by);
    let end = finish_in_time(shutdown, answer_after, margin, || {
        info!(node.log, "requests-ended"; "in_flight" => node.in_flight.load(Relaxed));
        node.exiting.cancel();
    })
    .await;
    if end == StopEnd::CutShort {
        warn!(node.log, "stop-cut-short"; "in_flight" => node.in_flight.load(Relaxed));
    }
    info!(node.log, "stopped"; "all_requests_finished" => end == StopEnd::Finished);
    Ok(())
}

fn entry_hooks(node: &Arc<EntryNode>) -> PollHooks {
    let (request_node, reply_node, config_node) =
        (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    PollHooks {
        request: Box::new(move |keeper, contacts_digest, wait_ms| {
            let (config_version, holds_version_0) = wire_version(request_node.config_version());
            PollRequest {
                source: PollSource::Entry(EntryContact {
                    peers: request_node.settings.peer_address(),
                    centre: Arc::clone(&request_node.settings.centre),
                }),
                cursor: request_node.cursor(keeper),
                config_version,
                holds_version_0,
                voter_epoch: 0,
                contacts_digest,
                brokers_digest: request_node.brokers_digest(keeper),
                limits_revision: request_node.limits_revision(keeper),
                quarantine_revision: request_node.quarantine_revision(keeper),
                wait_ms,
                evacuations_version: Some(request_node.evacuations.version()),
            }
        }),
        reply: Box::new(move |keeper, reply| {
            reply_node.apply_poll_reply(keeper, reply);
            reply_node.config_fetch(keeper, reply.held_version())
        }),
        config: Box::new(move |keeper, version, document| {
            if Some(version) <= config_node.config_version() {
                return;
            }
            match (config_node.adapter.decode_config)(document.as_bytes()) {
                Ok(table) => config_node.apply_table(table),
                Err(fault) => error!(config_node.log, "config-not-valid"; "version" => version,
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
    // Read before the voter creates its log.
    let client = client_settings(&settings);
    let voter = open_voter(&settings, &timer, &log).await;
    let voter = Arc::new(std::sync::Mutex::new(voter));
    let transport = voter_transport(peers.clone(), Arc::clone(&voter), settings.peer_address());
    let quorum = Arc::new(QuorumClient::new(client, transport, timer.clone()));
    let node = KeeperNode::new(settings, adapter, log, timer, peers.clone(), quorum, voter);
    let mut tasks = RelayTasks::new();
    start_keeper_listeners(&node, Arc::clone(&meter), &mut tasks)?;
    let versions = PeerVersionLog::new(node.log.clone(), peers, Arc::clone(&meter));
    let ticking_node = Arc::clone(&node);
    let owner = Arc::clone(&node) as Arc<dyn DirectoryOwner>;
    context.spawn(
        owner,
        keeper_hooks(&node),
        move || {
            ticking_node.tick();
            versions.update(&ticking_node.metrics, ticking_node.timer.now());
            ticking_node.metrics.update_traffic(&meter);
        },
        &mut tasks,
    );
    tasks.loops.extend([
        tokio::spawn(run_voters(Arc::clone(&node), tasks.stop.clone())),
        tokio::spawn(run_target_file(Arc::clone(&node), tasks.stop.clone())),
        tokio::spawn(run_quarantine_file(Arc::clone(&node), tasks.stop.clone())),
        tokio::spawn(run_evacuations_file(Arc::clone(&node), tasks.stop.clone())),
    ]);
    wait_for_stop_signal().await?;
    info!(node.log, "stopping");
    let shutdown = async {
        tasks.shut_down().await;
        node.copy_tasks.close();
        node.copy_tasks.wait().await;
    };
    let answer_after = Duration::from_millis(KEEPER_ANSWER_MS);
    let margin = Duration::from_millis(KEEPER_DRAIN_MS).saturating_sub(answer_after);
    let end = finish_in_time(shutdown, answer_after, margin, || node.exiting.cancel()).await;
    if end == StopEnd::CutShort {
        warn!(node.log, "stop-cut-short"; "drain_ms" => KEEPER_DRAIN_MS);
    }
    info!(node.log, "stopped"; "all_calls_finished" => end == StopEnd::Finished);
    Ok(())
}

fn keeper_hooks(node: &Arc<KeeperNode>) -> PollHooks {
    let (request_node, reply_node, config_node) =
        (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    PollHooks {
        request: Box::new(move |keeper, contacts_digest, wait_ms| {
            let (config_version, holds_version_0) = wire_version(request_node.config_version());
            PollRequest {
                source: PollSource::Keeper(request_node.contact()),
                cursor: None,
                config_version,
                holds_version_0,
                voter_epoch: request_node.quorum.voters().epoch,
                contacts_digest,
                brokers_digest: None,
                limits_revision: 0,
                quarantine_revision: request_node.quarantine_revision(keeper),
                wait_ms,
                evacuations_version: Some(request_node.evacuations.version()),
            }
        }),
        reply: Box::new(move |keeper, reply| {
            reply_node.apply_quarantine(keeper, &reply.quarantine);
            if let Some(evacuations) = &reply.evacuations {
                reply_node.learn_evacuations(evacuations, &keeper.to_string());
            }
            if let Some(voters) = &reply.voters {
                reply_node.quorum.learn_voters(voters);
            }
            if reply.held_version() > reply_node.config_version() {
                ConfigFetch::Now
            } else {
                ConfigFetch::No
            }
        }),
        config: Box::new(move |keeper, version, document| {
            config_node.apply_decided_config(version, document, &keeper.to_string());
        }),
    }
}

/// Returns the transport to voters: the voter of this VM is called directly, others over the
/// network.
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
            let time_limit = Duration::from_millis(VOTER_TIMEOUT_MS);
            let reply = peers
                .call(member.address, TrafficClass::Control, &call, time_limit)
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

async fn wait_for_stop_signal() -> Result<()> {
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
