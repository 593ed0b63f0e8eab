//! Starts the tasks of the daemon, waits for a signal and stops the tasks in order.

use std::{process, sync::Arc, time::Duration};

use error_stack::ResultExt;
use fulmarweir_base::TimerService;
use fulmarweir_bounds::AnswerMemory;
use fulmarweir_conf::VmSettings;
use fulmarweir_wire::PeerServer;
use slog::{info, warn};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    admission::poll_admission_queues,
    announce_api::announce_router,
    caller_api::caller_router,
    config_change::run_config_reads,
    error::{DaemonError, Result},
    fleet_driver::{leave_fleet, run_fleet},
    lifecycle::LifecycleEvent,
    listener::{
        CALLER_BUFFER_BYTES, CONTROL_BUFFER_BYTES, bind, listener_log, main_connections,
        serve_http, share_of_connections, side_connections,
    },
    logging::build_logger,
    node::NodeState,
    operator_api::operator_router,
    peer_api::handle_peer,
    planned_stop::{StopEnd, finish_in_time},
    voter_repair::run_voter_repair,
};

const EXIT_SECOND_SIGNAL: i32 = 130;
/// Share of the descriptors for connections of targets: one in this many.
const TARGETS_DIVISOR: usize = 8;
/// Most connections of targets.
const TARGETS_MAX: usize = 512;
/// Requests in flight are answered this long before the end of the drain, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the runtime, a listener or the data folder cannot be used.
pub fn run(settings: VmSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(DaemonError::Runtime)?;
    runtime.block_on(run_node(settings))
}

/// The tasks of the daemon, in the order in which they are stopped.
struct DaemonTasks {
    /// Stops the listeners of callers, targets and operators.
    stop: CancellationToken,
    listeners: Vec<JoinHandle<()>>,
    /// Stops the listener of peers, which keeps serving until this VM's connections to targets are
    /// closed.
    stop_peers: CancellationToken,
    peers: JoinHandle<()>,
    loops: Vec<JoinHandle<()>>,
}

async fn run_node(mut settings: VmSettings) -> Result<()> {
    let log = build_logger(settings.log_level, settings.name.as_str());
    let listen = &mut settings.listen;
    let (callers, callers_address) = bind(listen.callers, Some(CALLER_BUFFER_BYTES))?;
    let (targets, targets_address) = bind(listen.targets, Some(CONTROL_BUFFER_BYTES))?;
    let (operators, operators_address) = bind(listen.operators, Some(CONTROL_BUFFER_BYTES))?;
    let (peers, peers_address) = bind(listen.peers, None)?;
    listen.callers = callers_address;
    listen.targets = targets_address;
    listen.operators = operators_address;
    listen.peers = peers_address;
    info!(log, "listening"; "callers" => %callers_address, "targets" => %targets_address,
        "operators" => %operators_address, "peers" => %peers_address);

    let node = NodeState::new(settings, log, TimerService::new())?;
    let stop = CancellationToken::new();
    let serve = |name, listener, connections, router| {
        let answers = AnswerMemory {
            answers: node.answer_memory.clone(),
            replies: None,
        };
        tokio::spawn(serve_http(
            listener,
            connections,
            answers,
            listener_log(&node.log, name),
            router,
            stop.clone(),
        ))
    };
    let listeners = vec![
        serve(
            "callers",
            callers,
            main_connections(),
            caller_router(Arc::clone(&node)),
        ),
        serve(
            "targets",
            targets,
            share_of_connections(TARGETS_DIVISOR, TARGETS_MAX),
            announce_router(Arc::clone(&node)),
        ),
        serve(
            "operators",
            operators,
            side_connections(),
            operator_router(Arc::clone(&node)),
        ),
    ];
    let stop_peers = CancellationToken::new();
    let peers = tokio::spawn(serve_peers(Arc::clone(&node), peers, stop_peers.clone()));
    let loops = vec![
        tokio::spawn(run_fleet(Arc::clone(&node))),
        tokio::spawn(poll_admission_queues(Arc::clone(&node))),
        tokio::spawn(run_config_reads(Arc::clone(&node))),
        tokio::spawn(run_voter_repair(Arc::clone(&node))),
    ];
    let tasks = DaemonTasks {
        stop,
        listeners,
        stop_peers,
        peers,
        loops,
    };
    wait_for_signal().await?;
    shut_down(&node, tasks).await;
    Ok(())
}

async fn serve_peers(node: Arc<NodeState>, listener: TcpListener, stop: CancellationToken) {
    let meter = Arc::clone(&node.meter);
    let handler = move |address, request| handle_peer(&node, address, request);
    PeerServer::new(handler, meter, stop).serve(listener).await;
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).change_context(DaemonError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(DaemonError::Runtime)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        process::exit(EXIT_SECOND_SIGNAL);
    });
    Ok(())
}

/// Stops accepting requests, finishes those in flight, then stops the tasks that they depend on.
async fn shut_down(node: &Arc<NodeState>, tasks: DaemonTasks) {
    let limits = node.settings.shutdown;
    node.lifecycle.handle(&LifecycleEvent::StopRequested);
    info!(node.log, "settling"; "settle_ms" => limits.settle.as_millis());
    sleep(limits.settle).await;
    node.lifecycle.handle(&LifecycleEvent::Settled);
    let margin = Duration::from_millis(ANSWER_MARGIN_MS).min(limits.drain_max);
    let answer_after = limits.drain_max.saturating_sub(margin);
    let answer_rest = || {
        warn!(node.log, "drain-cut-short"; "drain_max_ms" => limits.drain_max.as_millis());
        node.exiting.cancel();
    };
    let finish = finish_tasks(node, tasks);
    if finish_in_time(finish, answer_after, margin, answer_rest).await == StopEnd::CutShort {
        node.halt.cancel();
    }
    info!(node.log, "stopped");
}

async fn finish_tasks(node: &Arc<NodeState>, tasks: DaemonTasks) {
    tasks.stop.cancel();
    for listener in tasks.listeners {
        let _ = listener.await;
    }
    node.body_tasks.close();
    node.body_tasks.wait().await;
    node.act_tasks.close();
    node.act_tasks.wait().await;
    // From here on new attempts of peers are refused, so that the peers use other brokers.
    // Attempts in flight finish.
    node.pools.close().await;
    // Other VMs may take over this VM's share of connections only after the connections are closed.
    leave_fleet(node).await;
    tasks.stop_peers.cancel();
    let _ = tasks.peers.await;
    node.halt.cancel();
    for task in tasks.loops {
        let _ = task.await;
    }
    node.fleet_tasks.close();
    node.fleet_tasks.wait().await;
    node.quorum.close().await;
    node.peers.close().await;
    node.timer.close().await;
}
