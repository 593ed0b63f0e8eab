//! HTTP listeners that stop gracefully.

use std::{net::SocketAddr, time::Duration};

use axum::Router;
use error_stack::ResultExt;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::error::{DaemonError, Result};

/// Timeout for receiving a request head, in seconds.
const HEADER_TIMEOUT_S: u64 = 10;
/// Pause after a failed accept, in milliseconds. Accepting fails when the process runs out of file
/// descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Time for which connections stay open after the last one was accepted, in milliseconds, so that a
/// request that was sent before its caller could learn of the stop is read.
const LAST_REQUESTS_MS: u64 = 300;

/// Binds a listener to `address` and returns it with the bound address.
pub(crate) async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)
        .await
        .change_context(DaemonError::Listen)
        .attach_with(|| address.to_string())?;
    let bound = listener.local_addr().change_context(DaemonError::Listen)?;
    Ok((listener, bound))
}

/// Serves `router` until `stop` is cancelled, then finishes the requests in flight.
pub(crate) async fn serve_http(listener: TcpListener, router: Router, stop: CancellationToken) {
    let serve = move |stream, graceful: &GracefulShutdown, tasks: &TaskTracker| {
        serve_connection(stream, router.clone(), graceful, tasks);
    };
    accept_until(listener, serve, stop).await;
}

/// Passes accepted connections to `serve` until `stop` is cancelled, then finishes the requests in
/// flight and closes idle connections.
///
/// Load pattern: connections arrive until the last moment. Those that the system has accepted for
/// this process are served as well, and have time to send their request.
pub(crate) async fn accept_until(
    listener: TcpListener,
    serve: impl Fn(TcpStream, &GracefulShutdown, &TaskTracker),
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        // If this fails, small responses are only delayed.
        let _ = stream.set_nodelay(true);
        serve(stream, &graceful, &tasks);
    }
    for stream in queued_connections(listener) {
        let _ = stream.set_nodelay(true);
        serve(stream, &graceful, &tasks);
    }
    tokio::time::sleep(Duration::from_millis(LAST_REQUESTS_MS)).await;
    graceful.shutdown().await;
    tasks.close();
    tasks.wait().await;
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

fn serve_connection(
    stream: TcpStream,
    router: Router,
    graceful: &GracefulShutdown,
    tasks: &TaskTracker,
) {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEADER_TIMEOUT_S));
    builder.http2().timer(TokioTimer::new());
    let service = TowerToHyperService::new(router);
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tasks.spawn(async move {
        let _ = watched.await;
    });
}
