//! HTTP/1 servers with a plain function as request handler.

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

/// Smallest read buffer that the HTTP library accepts, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionBounds {
    /// Largest request head, in bytes. A larger one is answered with status 431.
    pub(crate) head_max_bytes: usize,
    /// Longest time from a response to the end of the next request head.
    pub(crate) idle_timeout: Duration,
}

/// Serves the requests of all connections to `listener` until `stop`.
///
/// Then requests in flight are finished with `Connection: close`, and idle connections are closed.
/// `bounds` is called for each new connection.
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
    // The timeout for reading a request head also runs while the connection is idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(bounds.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tasks.spawn(async move {
        // A caller that closed its connection cannot be told of an error.
        let _ = watched.await;
    });
}
