//! Starts a VM that relays requests, waits for a signal and stops it in order.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use error_stack::ResultExt;
use fulmarweir_base::{TimerService, lock};
use fulmarweir_conf::{RelayRole, RelaySettings};
use fulmarweir_quorum::{ClientSettings, QuorumClient, VoterService, VoterTransport};
use fulmarweir_wire::{PeerClient, PeerServer, TrafficClass, TrafficMeter};
use futures::FutureExt;
use http::StatusCode;
use slog::{Logger, error, info};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    caller::answer_caller,
    control::answer_control,
    dialect::RelayDialect,
    entry::EntryNode,
    handover::{answer_handed, probe_brokers},
    keeper::KeeperNode,
    peer::{EntryContact, PollRequest, PollSource, RelayAnswer, RelayCall},
    reload::run_reload,
    response::{come_back, text},
    serve::{ConnectionBounds, serve_calls},
    sync::{AsBoard, ConfigFetch, KeeperBoard, KeeperSync, PollHooks, RelayPeers, run_sync},
    target_file::run_target_file,
    voters::{first_voters, open_voter, run_voters},
};
use crate::{
    error::{DaemonError, Result},
    listener::bind,
    logging::build_relay_logger,
};

/// Time beyond what callers are told for which a connection stays open, in milliseconds, so
/// that it is not closed under a request.
const CALLER_IDLE_SLACK_MS: u64 = 1_000;
/// Bounds of connections while there is no configuration, and of those to other listeners.
const HEAD_MAX_BYTES: usize = 32 * 1024;
const IDLE_MS: u64 = 30_000;
/// Time between two looks at leases, keepers and connections, in milliseconds.
const TICK_MS: u64 = 250;
/// Period of the timer by which the event loop's lag is measured, in milliseconds.
const LAG_PERIOD_MS: u64 = 25;
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
pub fn run_relay(settings: RelaySettings, path: PathBuf, dialect: RelayDialect) -> Result<()> {
    // One thread: an entry VM has a part of one core, and a second thread only adds switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(DaemonError::Runtime)?;
    let ended = runtime.block_on(async {
        match settings.role {
            RelayRole::Entry => run_entry(settings, path, dialect).await,
            RelayRole::Keeper => run_keeper(settings, path, dialect).await,
        }
    });
    // A stalled disk must not hold the end up.
    runtime.shutdown_background();
    ended
}

/// Tasks of a process and what ends them.
struct RelayParts {
    /// Ends the listeners, after which their calls are finished.
    stop_calls: CancellationToken,
    calls: Vec<JoinHandle<()>>,
    /// Ends everything else.
    stop: CancellationToken,
    loops: Vec<JoinHandle<()>>,
}

impl RelayParts {
    fn new() -> Self {
        Self {
            stop_calls: CancellationToken::new(),
            calls: Vec::new(),
            stop: CancellationToken::new(),
            loops: Vec::new(),
        }
    }

    async fn finish_calls(&mut self) {
        self.stop_calls.cancel();
        for task in self.calls.drain(..) {
            // A panicking listener has logged its panic.
            let _ = task.await;
        }
    }

    async fn finish(mut self) {
        self.finish_calls().await;
        self.stop.cancel();
        for task in self.loops {
            let _ = task.await;
        }
    }
}

/// What the loops of entry VMs and keepers have in common.
struct CommonLoops {
    peers: RelayPeers,
    timer: TimerService,
    log: Logger,
    own: SocketAddr,
    /// The settings file.
    path: PathBuf,
}

impl CommonLoops {
    /// Starts asking keepers, ticking, and reading the settings again.
    fn spawn(
        self,
        holder: Arc<dyn AsBoard>,
        hooks: PollHooks,
        tick: impl Fn() + Send + Sync + 'static,
        parts: &mut RelayParts,
    ) {
        let stop = &parts.stop;
        let sync = Arc::new(KeeperSync {
            peers: self.peers,
            timer: self.timer.clone(),
            log: self.log.clone(),
            hooks,
            own: self.own,
            stop: stop.clone(),
        });
        let reloaded = Arc::clone(&holder);
        let apply = move |settings: &RelaySettings| reloaded.board().set_seeds(&settings.seeds);
        parts.loops.extend([
            tokio::spawn(run_sync(sync, holder)),
            tokio::spawn(run_ticks(self.timer, stop.clone(), tick)),
            tokio::spawn(run_reload(self.path, self.log, stop.clone(), apply)),
        ]);
    }
}

async fn run_entry(settings: RelaySettings, path: PathBuf, dialect: RelayDialect) -> Result<()> {
    let log = build_relay_logger(settings.log_level, &settings.name);
    log_start(&log, &settings);
    let timer = TimerService::new();
    let meter = Arc::new(TrafficMeter::default());
    let peers: RelayPeers = PeerClient::new(Arc::clone(&meter));
    let node = EntryNode::new(settings, dialect, log, timer, peers.clone());
    let mut parts = RelayParts::new();
    start_entry_calls(&node, Arc::clone(&meter), &mut parts).await?;
    let common = CommonLoops {
        peers: peers.clone(),
        timer: node.timer.clone(),
        log: node.log.clone(),
        own: node.settings.peer_address(),
        path,
    };
    let ticking = Arc::clone(&node);
    let tick = move || {
        ticking.tick();
        ticking.metrics.note_traffic(&meter);
        probe_brokers(&ticking);
    };
    let holder = Arc::clone(&node) as Arc<dyn AsBoard>;
    common.spawn(holder, entry_hooks(&node), tick, &mut parts);
    let lag_probe = run_lag_probe(Arc::clone(&node), parts.stop.clone());
    parts.loops.push(tokio::spawn(lag_probe));
    wait_for_stop().await?;
    let grace = node.settings.bounds.stop_grace;
    info!(node.log, "stopping"; "grace_ms" => grace.as_millis());
    node.stop_asked();
    // The balancer needs time to notice, and callers go on using open connections.
    sleep(grace.mul_f64(SETTLE_SHARE)).await;
    let rest = grace
        .mul_f64(1.0 - SETTLE_SHARE)
        .saturating_sub(Duration::from_millis(END_MARGIN_MS));
    let finish = async {
        parts.finish().await;
        node.tasks.close();
        node.tasks.wait().await;
        node.links.close().await;
        peers.close().await;
        node.timer.close().await;
    };
    let whole = timeout(rest, finish).await.is_ok();
    info!(node.log, "stopped"; "all_requests_finished" => whole);
    Ok(())
}

async fn start_entry_calls(
    node: &Arc<EntryNode>,
    meter: Arc<TrafficMeter>,
    parts: &mut RelayParts,
) -> Result<()> {
    let shared = Arc::clone(node);
    let answer = move |call: RelayCall| answer_vm(Arc::clone(&shared), call);
    serve_peers(node.settings.peers, answer, meter, parts).await?;
    if let Some(address) = node.settings.callers {
        let (listener, _) = bind(address).await?;
        let shared = Arc::clone(node);
        let handler = move |request| answer_caller(Arc::clone(&shared), request);
        let limited = Arc::clone(node);
        let bounds = move || caller_bounds(&limited);
        let serve = serve_calls(listener, handler, bounds, parts.stop_calls.clone());
        parts.calls.push(tokio::spawn(serve));
    }
    if let Some(address) = node.settings.ready {
        let (listener, _) = bind(address).await?;
        let shared = Arc::clone(node);
        let handler = move |request: http::Request<hyper::body::Incoming>| {
            let is_ready = shared.is_ready();
            let known = request.uri().path() == shared.dialect.ready_path;
            async move {
                match (known, is_ready) {
                    (false, _) => text(StatusCode::NOT_FOUND, "no such page"),
                    (true, true) => text(StatusCode::OK, "ready"),
                    (true, false) => come_back("not ready", Duration::from_secs(1)),
                }
            }
        };
        // Readiness is answered until the very end.
        let serve = serve_calls(listener, handler, other_bounds, parts.stop.clone());
        parts.loops.push(tokio::spawn(serve));
    }
    if let Some(address) = node.settings.metrics {
        let shared = Arc::clone(node);
        serve_metrics(address, parts, move || shared.metrics.render()).await?;
    }
    Ok(())
}

/// Takes the calls of other daemons until the process has finished its own.
async fn serve_peers<F>(
    address: SocketAddr,
    answer: impl Fn(RelayCall) -> F + Send + Sync + 'static,
    meter: Arc<TrafficMeter>,
    parts: &mut RelayParts,
) -> Result<()>
where
    F: Future<Output = RelayAnswer> + Send + 'static,
{
    let (listener, _) = bind(address).await?;
    let answer = move |_from: SocketAddr, call: RelayCall| {
        let class = match &call {
            RelayCall::Search(_) => TrafficClass::Query,
            _ => TrafficClass::Control,
        };
        (class, answer(call))
    };
    let server: PeerServer<RelayCall, RelayAnswer, _> =
        PeerServer::new(answer, meter, parts.stop.clone());
    parts.loops.push(tokio::spawn(server.serve(listener)));
    Ok(())
}

/// Answers a call of another VM to an entry VM.
async fn answer_vm(node: Arc<EntryNode>, call: RelayCall) -> RelayAnswer {
    match call {
        RelayCall::Search(search) => answer_handed(node, *search).await,
        RelayCall::Probe => RelayAnswer::Alive(node.is_ready()),
        RelayCall::Poll(_) | RelayCall::FetchConfig | RelayCall::Voter(_) => RelayAnswer::NotKept,
    }
}

/// Bounds of a new connection of a caller, by the configuration in force.
fn caller_bounds(node: &EntryNode) -> ConnectionBounds {
    let Some(table) = node.table() else {
        return other_bounds();
    };
    let slack = Duration::from_millis(CALLER_IDLE_SLACK_MS);
    ConnectionBounds {
        head_max_bytes: table.limits.head_max_bytes,
        idle_timeout: table.limits.idle_timeout.max(table.limits.head_timeout) + slack,
    }
}

fn other_bounds() -> ConnectionBounds {
    ConnectionBounds {
        head_max_bytes: HEAD_MAX_BYTES,
        idle_timeout: Duration::from_millis(IDLE_MS),
    }
}

async fn serve_metrics(
    address: SocketAddr,
    parts: &mut RelayParts,
    render: impl Fn() -> String + Send + Sync + 'static,
) -> Result<()> {
    let (listener, _) = bind(address).await?;
    let handler = move |_request| {
        let page = render();
        async move { text(StatusCode::OK, page) }
    };
    let serve = serve_calls(listener, handler, other_bounds, parts.stop_calls.clone());
    parts.calls.push(tokio::spawn(serve));
    Ok(())
}

fn entry_hooks(node: &Arc<EntryNode>) -> PollHooks {
    let (asker, taker, holder) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    PollHooks {
        question: Box::new(move |keeper, contacts_digest, wait_ms| PollRequest {
            source: PollSource::Entry(EntryContact {
                peers: asker.settings.peer_address(),
                centre: Arc::clone(&asker.settings.centre),
            }),
            mark: asker.mark(keeper),
            config_version: asker.config_version(),
            voter_epoch: 0,
            contacts_digest,
            brokers_digest: asker.brokers_digest(keeper),
            wait_ms,
        }),
        answer: Box::new(move |keeper, reply| {
            taker.take_news(keeper, reply);
            taker.config_fetch(keeper, reply.config_version)
        }),
        config: Box::new(move |keeper, version, document| {
            if version <= holder.config_version() {
                return;
            }
            match (holder.dialect.decode_config)(document.as_bytes()) {
                Ok(table) => holder.apply_table(table),
                Err(fault) => error!(holder.log, "config-not-valid"; "version" => version,
                    "source" => %keeper, "fault" => fault),
            }
        }),
    }
}

/// Calls `tick` again and again until stopped.
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

/// Measures how late a timer fires, which is how far the event loop is behind.
async fn run_lag_probe(node: Arc<EntryNode>, stop: CancellationToken) {
    let period = Duration::from_millis(LAG_PERIOD_MS);
    loop {
        let due = node.timer.now() + period;
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.timer.sleep_until(due) => {}
        }
        let late = node.timer.now().since(due);
        lock(&node.lag).record(late);
    }
}

async fn run_keeper(settings: RelaySettings, path: PathBuf, dialect: RelayDialect) -> Result<()> {
    let log = build_relay_logger(settings.log_level, &settings.name);
    log_start(&log, &settings);
    let timer = TimerService::new();
    let meter = Arc::new(TrafficMeter::default());
    let peers: RelayPeers = PeerClient::new(Arc::clone(&meter));
    let first_set = first_voters(&settings);
    let voter = open_voter(&settings, &first_set, &timer, &log).await;
    let voter = Arc::new(std::sync::Mutex::new(voter));
    let transport = voter_transport(peers.clone(), Arc::clone(&voter), settings.peer_address());
    let client = ClientSettings::new(first_set);
    let quorum = Arc::new(QuorumClient::new(client, transport, timer.clone()));
    let node = KeeperNode::new(settings, dialect, log, timer, quorum, voter);
    let mut parts = RelayParts::new();
    start_keeper_calls(&node, Arc::clone(&meter), &mut parts).await?;
    let common = CommonLoops {
        peers: peers.clone(),
        timer: node.timer.clone(),
        log: node.log.clone(),
        own: node.settings.peer_address(),
        path,
    };
    let ticking = Arc::clone(&node);
    let holder = Arc::clone(&node) as Arc<dyn AsBoard>;
    common.spawn(
        holder,
        keeper_hooks(&node),
        move || {
            ticking.tick();
            ticking.metrics.note_traffic(&meter);
        },
        &mut parts,
    );
    parts.loops.extend([
        tokio::spawn(run_voters(Arc::clone(&node), parts.stop.clone())),
        tokio::spawn(run_target_file(Arc::clone(&node), parts.stop.clone())),
    ]);
    wait_for_stop().await?;
    info!(node.log, "stopping");
    let drain = Duration::from_millis(KEEPER_DRAIN_MS);
    let whole = timeout(drain, parts.finish()).await.is_ok();
    info!(node.log, "stopped"; "all_calls_finished" => whole);
    Ok(())
}

async fn start_keeper_calls(
    node: &Arc<KeeperNode>,
    meter: Arc<TrafficMeter>,
    parts: &mut RelayParts,
) -> Result<()> {
    let shared = Arc::clone(node);
    let answer = move |call| Arc::clone(&shared).answer(call);
    serve_peers(node.settings.peers, answer, meter, parts).await?;
    if let Some(address) = node.settings.control {
        let (listener, _) = bind(address).await?;
        let shared = Arc::clone(node);
        let handler = move |request| answer_control(Arc::clone(&shared), request);
        let serve = serve_calls(listener, handler, other_bounds, parts.stop_calls.clone());
        parts.calls.push(tokio::spawn(serve));
    }
    if let Some(address) = node.settings.metrics {
        let shared = Arc::clone(node);
        serve_metrics(address, parts, move || shared.metrics.render()).await?;
    }
    Ok(())
}

fn keeper_hooks(node: &Arc<KeeperNode>) -> PollHooks {
    let (asker, taker, holder) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    PollHooks {
        question: Box::new(move |_, contacts_digest, wait_ms| PollRequest {
            source: PollSource::Keeper(asker.contact()),
            mark: None,
            config_version: asker.config_version(),
            voter_epoch: asker.quorum.voters().epoch,
            contacts_digest,
            brokers_digest: None,
            wait_ms,
        }),
        answer: Box::new(move |_, reply| {
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
            holder.take_decided(version, document, &keeper.to_string());
        }),
    }
}

/// Carries a request to a voter: over the network, or within this process.
fn voter_transport(
    peers: RelayPeers,
    voter: Arc<std::sync::Mutex<Option<Arc<VoterService>>>>,
    own: SocketAddr,
) -> VoterTransport {
    Arc::new(move |member, request| {
        let peers = peers.clone();
        let own_voter = (member.address == own).then(|| lock(&voter).clone());
        async move {
            if let Some(voter) = own_voter {
                return Some(voter?.handle(request).await);
            }
            let call = RelayCall::Voter(Box::new(request));
            let patience = Duration::from_millis(VOTER_TIMEOUT_MS);
            let reply = peers
                .call(member.address, TrafficClass::Control, &call, patience)
                .await;
            match reply {
                Ok(RelayAnswer::Voter(reply)) => reply.map(|reply| *reply),
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

impl AsBoard for EntryNode {
    fn board(&self) -> &KeeperBoard {
        &self.board
    }
}
