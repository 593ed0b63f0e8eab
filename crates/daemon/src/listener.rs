//! HTTP listeners that stop gracefully.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Extension, Router,
    body::Body,
    extract::{Request, State},
    middleware::{Next, from_fn_with_state},
    response::Response,
};
use error_stack::ResultExt;
use fulmarweir_bounds::{
    AnswerMemory, ConnectionTable, TrackedConnection, TrackedStream, descriptors_max,
};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    service::{Service, service_fn},
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use slog::{Logger, o, warn};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::yield_now,
    time::{MissedTickBehavior, interval},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::error::{DaemonError, Result};

/// Timeout for receiving a request head, in seconds.
const HEADER_TIMEOUT_S: u64 = 10;
/// Largest request head, in bytes. A larger one is answered with status 431.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// The same over HTTP/2, as the protocol counts it.
const HEAD_LIST_MAX_BYTES: u32 = 16 * 1024;
/// Pause after a failed accept, in milliseconds. Accepting fails when the process runs out of file
/// descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Time for which connections stay open after the last one was accepted, in milliseconds, so that a
/// request that was sent before its caller could learn of the stop is read.
const LAST_REQUESTS_MS: u64 = 300;

/// Receive buffer of a connection of a caller, in bytes. What has arrived and was not read counts as memory of the
/// process.
pub(crate) const CALLER_BUFFER_BYTES: u32 = 32 * 1024;
/// Receive buffer of a connection of a target or an operator, whose configurations are larger, in bytes.
pub(crate) const CONTROL_BUFFER_BYTES: u32 = 128 * 1024;
/// Connections that wait to be accepted.
const ACCEPT_QUEUE: u32 = 1024;
/// Period of the check for answers that are not read, and of the line on closed connections, in milliseconds.
const CHECK_PERIOD_MS: u64 = 5_000;
/// Most connections of callers, or of targets and operators.
const CONNECTIONS_MAX: usize = 1_536;
/// Share of the descriptors of a process that each listener for callers, or for targets and operators, may use:
/// one in this many.
const MAIN_DIVISOR: usize = 2;
/// The same for listeners of readiness checks and metrics.
const SIDE_DIVISOR: usize = 16;
/// Most connections for readiness checks, or for metrics.
const SIDE_CONNECTIONS_MAX: usize = 64;

/// Returns a table for the connections of callers, or of targets and operators.
pub(crate) fn main_connections() -> ConnectionTable {
    share_of_connections(MAIN_DIVISOR, CONNECTIONS_MAX)
}

/// Returns a table for one in `divisor` of the descriptors of this process, at most `connections_max`.
pub(crate) fn share_of_connections(divisor: usize, connections_max: usize) -> ConnectionTable {
    let share = descriptors_max() / divisor;
    ConnectionTable::new(share.clamp(1, connections_max))
}

/// Returns a table for the connections of readiness checks, or for metrics.
pub(crate) fn side_connections() -> ConnectionTable {
    share_of_connections(SIDE_DIVISOR, SIDE_CONNECTIONS_MAX)
}

/// Binds a listener to `address` and returns it with the bound address. Its connections have a receive buffer of
/// `buffer_bytes`, or one that the system sizes.
pub(crate) fn bind(
    address: SocketAddr,
    buffer_bytes: Option<u32>,
) -> Result<(TcpListener, SocketAddr)> {
    let listener = listen(address, buffer_bytes)
        .change_context(DaemonError::Listen)
        .attach_with(|| address.to_string())?;
    let bound = listener.local_addr().change_context(DaemonError::Listen)?;
    Ok((listener, bound))
}

fn listen(address: SocketAddr, buffer_bytes: Option<u32>) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = buffer_bytes {
        // Accepted connections inherit it.
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Serves `router` until `stop` is cancelled, then finishes the requests in flight.
///
/// What answers hold until they were written counts in `answers`.
pub(crate) async fn serve_http(
    listener: TcpListener,
    connections: ConnectionTable,
    answers: AnswerMemory,
    log: Logger,
    router: Router,
    stop: CancellationToken,
) {
    let router = router.layer(from_fn_with_state(answers, track_answer));
    let serve = move |stream: TrackedStream, graceful: &GracefulShutdown, tasks: &TaskTracker| {
        serve_connection(stream, router.clone(), graceful, tasks);
    };
    accept_until(listener, connections, log, serve, stop).await;
}

/// Passes accepted connections to `serve` until `stop` is cancelled, then finishes the requests in
/// flight and closes idle connections.
///
/// Load pattern: connections arrive until the last moment. Those that the system has accepted for
/// this process are served as well, and have time to send their request.
pub(crate) async fn accept_until(
    listener: TcpListener,
    connections: ConnectionTable,
    log: Logger,
    serve: impl Fn(TrackedStream, &GracefulShutdown, &TaskTracker),
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    let tasks = TaskTracker::new();
    let mut checks = interval(Duration::from_millis(CHECK_PERIOD_MS));
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
            _ = checks.tick() => {
                connections.close_unread();
                log_closed(&log, &connections);
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        // If this fails, small responses are only delayed.
        let _ = stream.set_nodelay(true);
        let was_full = connections.is_full();
        if let Some(stream) = connections.admit(stream) {
            serve(stream, &graceful, &tasks);
        }
        if was_full {
            // Lets the connection that made way close its descriptor.
            yield_now().await;
        }
    }
    for stream in queued_connections(listener) {
        let _ = stream.set_nodelay(true);
        if let Some(stream) = connections.admit(stream) {
            serve(stream, &graceful, &tasks);
        }
    }
    tokio::time::sleep(Duration::from_millis(LAST_REQUESTS_MS)).await;
    graceful.shutdown().await;
    tasks.close();
    tasks.wait().await;
}

/// Returns a logger whose lines name a listener.
pub(crate) fn listener_log(log: &Logger, listener: &'static str) -> Logger {
    log.new(o!("listener" => listener))
}

fn log_closed(log: &Logger, connections: &ConnectionTable) {
    let closed = connections.take_closed_count();
    if closed > 0 {
        warn!(log, "connections-closed"; "closed" => closed, "open" => connections.open_count());
    }
}

/// Closes a listener and returns the connections that wait to be accepted.
///
/// These are accepted without the runtime, whose knowledge of the socket lags behind the kernel:
/// closing the listener would reset a connection that the runtime has not been told of.
fn queued_connections(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        streams.extend(stream.ok());
    }
    streams
}

/// Has the body of an answer count in `answers` until it was written.
async fn track_answer(
    State(answers): State<AnswerMemory>,
    Extension(connection): Extension<Arc<TrackedConnection>>,
    request: Request,
    next: Next,
) -> Response {
    let (head, body) = next.run(request).await.into_parts();
    // Answers are in memory, so this does not wait and does not fail.
    let Ok(body) = body.collect().await else {
        return Response::from_parts(head, Body::empty());
    };
    let body = connection.track_answer(body.to_bytes(), &answers);
    Response::from_parts(head, Body::from(body))
}

fn serve_connection(
    stream: TrackedStream,
    router: Router,
    graceful: &GracefulShutdown,
    tasks: &TaskTracker,
) {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEADER_TIMEOUT_S))
        .max_buf_size(HEAD_MAX_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(HEAD_LIST_MAX_BYTES);
    let connection = stream.connection();
    let closed = connection.closed().clone();
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(Arc::clone(&connection));
        router.call(request)
    });
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tasks.spawn(async move {
        tokio::select! {
            _ = watched => {}
            () = closed.cancelled() => {}
        }
    });
}
