//! HTTP/1 servers with a plain function as request handler.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_bounds::{AnswerMemory, ConnectionTable, TrackedStream};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use slog::Logger;
use tokio::net::TcpListener;
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

/// What the connections to a listener may hold.
pub(crate) struct ListenerBounds {
    pub(crate) connections: ConnectionTable,
    /// Memory of answers until they were written.
    pub(crate) answers: AnswerMemory,
    /// Log that names the listener.
    pub(crate) log: Logger,
}

/// Serves the requests of all connections to `listener` until `stop`. Each request has its
/// [`fulmarweir_bounds::TrackedConnection`] as an extension.
///
/// Then requests in flight are finished with `Connection: close`, and idle connections are closed.
/// `bounds` is called for each new connection.
pub(crate) async fn serve_http<H, F>(
    listener: TcpListener,
    handler: H,
    listener_bounds: ListenerBounds,
    bounds: impl Fn() -> ConnectionBounds,
    stop: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let ListenerBounds {
        connections,
        answers,
        log,
    } = listener_bounds;
    let serve = |stream: TrackedStream, graceful: &GracefulShutdown, tasks: &TaskTracker| {
        let (handler, answers) = (Arc::clone(&handler), answers.clone());
        serve_connection(stream, handler, answers, bounds(), graceful, tasks);
    };
    accept_until(listener, connections, log, serve, stop).await;
}

fn serve_connection<H, F>(
    stream: TrackedStream,
    handler: Arc<H>,
    answers: AnswerMemory,
    bounds: ConnectionBounds,
    graceful: &GracefulShutdown,
    tasks: &TaskTracker,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let tracked = stream.connection();
    let closed = tracked.closed().clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(Arc::clone(&tracked));
        let answer = handler(request);
        let (tracked, answers) = (Arc::clone(&tracked), answers.clone());
        async move {
            let answer = answer.await;
            let body = |body| Full::new(tracked.track_answer(body, &answers));
            Ok::<_, Infallible>(answer.map(body))
        }
    });
    // The timeout for reading a request head also runs while the connection is idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(bounds.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tasks.spawn(async move {
        tokio::select! {
            // A caller that closed its connection cannot be told of an error.
            _ = watched => {}
            () = closed.cancelled() => {}
        }
    });
}
