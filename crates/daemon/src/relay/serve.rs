//! HTTP/1 listeners whose requests a plain function answers.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::listener::accept_until;

/// Least room for a request head that the HTTP library works with, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8 * 1024;

/// What a connection may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionBounds {
    /// Largest request head in bytes; a larger one is answered with 431.
    pub(crate) head_max_bytes: usize,
    /// Time from one answer to the end of the next request head.
    pub(crate) idle_timeout: Duration,
}

/// Answers the requests of all connections to `listener` until `stop`.
///
/// Then requests in flight are finished, each with an announcement that its connection
/// closes, and idle connections are closed. `bounds` is asked for each new connection.
pub(crate) async fn serve_http<H, F>(
    listener: TcpListener,
    handler: H,
    bounds: impl Fn() -> ConnectionBounds,
    stop: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let serve = |stream, graceful: &GracefulShutdown, tasks: &TaskTracker| {
        serve_connection(stream, Arc::clone(&handler), bounds(), graceful, tasks);
    };
    accept_until(listener, serve, stop).await;
}

fn serve_connection<H, F>(
    stream: TcpStream,
    handler: Arc<H>,
    bounds: ConnectionBounds,
    graceful: &GracefulShutdown,
    tasks: &TaskTracker,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // The timeout for a request head also runs while a connection is idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(bounds.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tasks.spawn(async move {
        // A caller that breaks its connection off has no answer to be told of.
        let _ = watched.await;
    });
}
