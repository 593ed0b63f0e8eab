//! The listeners of entry VMs and keepers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_bounds::{AnswerMemory, MemoryBudget};
use fulmarweir_pool::reply_memory;
use fulmarweir_wire::{PeerServer, TrafficClass, TrafficMeter};
use http::StatusCode;
use slog::Logger;

use super::{
    broker::serve_handover,
    caller::handle_caller,
    control::handle_control,
    entry::EntryNode,
    keeper::KeeperNode,
    links::probe_for_other,
    response::{retry_later, text},
    serve::{ConnectionBounds, ListenerBounds, serve_http},
    tasks::RelayTasks,
    vm_message::{VmReply, VmRequest},
};
use crate::{
    error::Result,
    listener::{
        CALLER_BUFFER_BYTES, CONTROL_BUFFER_BYTES, bind, listener_log, main_connections,
        side_connections,
    },
};

/// Added to the idle timeout that callers are told, in milliseconds, so that a connection is not
/// closed while a caller sends a request on it.
const CALLER_IDLE_SLACK_MS: u64 = 1_000;
/// Memory of the answers of a listener that were not written yet, in bytes.
const ANSWERS_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The same for readiness checks and metrics.
const SIDE_ANSWERS_MAX_BYTES: usize = 2 * 1024 * 1024;
/// Limits of connections of callers while there is no configuration, and of all other connections.
const HEAD_MAX_BYTES: usize = 32 * 1024;
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Starts the listeners of an entry VM.
pub(super) fn start_entry_listeners(
    node: &Arc<EntryNode>,
    meter: Arc<TrafficMeter>,
    tasks: &mut RelayTasks,
) -> Result<()> {
    let shared = Arc::clone(node);
    let handle = move |request: VmRequest| handle_peer(Arc::clone(&shared), request);
    serve_peers(node.settings.peers, handle, meter, tasks)?;
    if let Some(address) = node.settings.callers {
        let (listener, _) = bind(address, Some(CALLER_BUFFER_BYTES))?;
        let shared = Arc::clone(node);
        let handler = move |request| handle_caller(Arc::clone(&shared), request);
        let bounds_node = Arc::clone(node);
        let bounds = move || caller_bounds(&bounds_node);
        let serve = serve_http(
            listener,
            handler,
            main_bounds(listener_log(&node.log, "callers")),
            bounds,
            tasks.stop_listeners.clone(),
        );
        tasks.listeners.push(tokio::spawn(serve));
    }
    if let Some(address) = node.settings.ready {
        let (listener, _) = bind(address, Some(CALLER_BUFFER_BYTES))?;
        let shared = Arc::clone(node);
        let handler = move |request: http::Request<hyper::body::Incoming>| {
            let is_ready = shared.is_ready();
            let known = request.uri().path() == shared.adapter.ready_path;
            async move {
                match (known, is_ready) {
                    (false, _) => text(StatusCode::NOT_FOUND, "no such page"),
                    (true, true) => text(StatusCode::OK, "ready"),
                    (true, false) => retry_later("not ready", Duration::from_secs(1)),
                }
            }
        };
        // Stopped with the loops, so that readiness checks are answered until the end.
        let serve = serve_http(
            listener,
            handler,
            side_bounds(listener_log(&node.log, "ready")),
            default_bounds,
            tasks.stop.clone(),
        );
        tasks.loops.push(tokio::spawn(serve));
    }
    if let Some(address) = node.settings.metrics {
        let shared = Arc::clone(node);
        serve_metrics(address, &node.log, tasks, move || shared.metrics.render())?;
    }
    Ok(())
}

/// Starts the listeners of a keeper.
pub(super) fn start_keeper_listeners(
    node: &Arc<KeeperNode>,
    meter: Arc<TrafficMeter>,
    tasks: &mut RelayTasks,
) -> Result<()> {
    let shared = Arc::clone(node);
    let handle = move |request| Arc::clone(&shared).handle(request);
    serve_peers(node.settings.peers, handle, meter, tasks)?;
    if let Some(address) = node.settings.control {
        let (listener, _) = bind(address, Some(CONTROL_BUFFER_BYTES))?;
        let shared = Arc::clone(node);
        let handler = move |request| handle_control(Arc::clone(&shared), request);
        let serve = serve_http(
            listener,
            handler,
            main_bounds(listener_log(&node.log, "control")),
            default_bounds,
            tasks.stop_listeners.clone(),
        );
        tasks.listeners.push(tokio::spawn(serve));
    }
    if let Some(address) = node.settings.metrics {
        let shared = Arc::clone(node);
        serve_metrics(address, &node.log, tasks, move || shared.metrics.render())?;
    }
    Ok(())
}

/// Serves requests of other VMs. This is stopped with the loops, after the listeners have finished
/// the requests of callers.
fn serve_peers<F>(
    address: SocketAddr,
    handle: impl Fn(VmRequest) -> F + Send + Sync + 'static,
    meter: Arc<TrafficMeter>,
    tasks: &mut RelayTasks,
) -> Result<()>
where
    F: Future<Output = VmReply> + Send + 'static,
{
    let (listener, _) = bind(address, None)?;
    let handle = move |_from: SocketAddr, request: VmRequest| {
        let class = match &request {
            VmRequest::Search(_) => TrafficClass::Query,
            _ => TrafficClass::Control,
        };
        (class, handle(request))
    };
    let server: PeerServer<VmRequest, VmReply, _> =
        PeerServer::new(handle, meter, tasks.stop.clone());
    tasks.loops.push(tokio::spawn(server.serve(listener)));
    Ok(())
}

/// Replies to a request of another VM to an entry VM.
async fn handle_peer(node: Arc<EntryNode>, request: VmRequest) -> VmReply {
    match request {
        VmRequest::Search(search) => serve_handover(node, *search).await,
        VmRequest::Rest(number) => node.rests.fetch(number).await,
        VmRequest::Probe => VmReply::Alive(node.accepts_handovers()),
        VmRequest::ProbeTargets(targets, with_request) => {
            probe_for_other(&node, &targets, with_request).await
        }
        VmRequest::Poll(_)
        | VmRequest::FetchConfig
        | VmRequest::Voter(_)
        | VmRequest::Permits(..)
        | VmRequest::EntryVms(..)
        | VmRequest::Crashes(_)
        | VmRequest::Rates(..)
        | VmRequest::Replicate(_) => VmReply::NotKept,
    }
}

/// Returns the limits of a caller's new connection by the configuration in force.
fn caller_bounds(node: &EntryNode) -> ConnectionBounds {
    let Some(table) = node.table() else {
        return default_bounds();
    };
    let slack = Duration::from_millis(CALLER_IDLE_SLACK_MS);
    ConnectionBounds {
        head_max_bytes: table.limits.head_max_bytes,
        idle_timeout: table.limits.idle_timeout.max(table.limits.head_timeout) + slack,
    }
}

/// Returns what connections of callers, or of targets and operators, may hold.
fn main_bounds(log: Logger) -> ListenerBounds {
    ListenerBounds {
        connections: main_connections(),
        answers: AnswerMemory {
            answers: MemoryBudget::new(ANSWERS_MAX_BYTES, 0),
            replies: Some(reply_memory().clone()),
        },
        log,
    }
}

/// Returns what connections of readiness checks, or of readers of metrics, may hold.
fn side_bounds(log: Logger) -> ListenerBounds {
    ListenerBounds {
        connections: side_connections(),
        answers: AnswerMemory {
            answers: MemoryBudget::new(SIDE_ANSWERS_MAX_BYTES, 0),
            replies: None,
        },
        log,
    }
}

fn default_bounds() -> ConnectionBounds {
    ConnectionBounds {
        head_max_bytes: HEAD_MAX_BYTES,
        idle_timeout: Duration::from_millis(IDLE_TIMEOUT_MS),
    }
}

fn serve_metrics(
    address: SocketAddr,
    log: &Logger,
    tasks: &mut RelayTasks,
    render: impl Fn() -> String + Send + Sync + 'static,
) -> Result<()> {
    let (listener, _) = bind(address, Some(CALLER_BUFFER_BYTES))?;
    let handler = move |_request| {
        let page = render();
        async move { text(StatusCode::OK, page) }
    };
    let serve = serve_http(
        listener,
        handler,
        side_bounds(listener_log(log, "metrics")),
        default_bounds,
        tasks.stop_listeners.clone(),
    );
    tasks.listeners.push(tokio::spawn(serve));
    Ok(())
}
