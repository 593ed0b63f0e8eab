//! Accepts the connections of a stand-in target and dispatches requests by path.

use std::{io, sync::Arc};

use bytes::Bytes;
use fulmarweir_base::TargetState;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    query::{reported_load, serve_query},
    reply::{CancelVerdict, TargetResponse, json_reply, plain_reply},
    settings::ReportMode,
    state::TargetShared,
    stream::{FaultStream, StreamFault},
};

/// Body of `POST /cancel`.
#[derive(Debug, Deserialize)]
struct CancelCall {
    attempt: String,
}

/// Counts one open connection until it is dropped.
struct ConnectionGuard(Arc<tokio::sync::Semaphore>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

/// Accepts connections until the target stops.
pub(crate) async fn accept_connections(shared: Arc<TargetShared>, listener: TcpListener) {
    let limit = shared.settings.connections as usize;
    let semaphore = Arc::new(tokio::sync::Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(permit) = semaphore.try_acquire() else {
            shared.update_counters(|counters| counters.connections_refused += 1);
            continue;
        };
        permit.forget();
        let guard = ConnectionGuard(Arc::clone(&semaphore));
        let open_count = (limit - semaphore.available_permits()) as u64;
        shared.update_counters(|counters| {
            counters.connections_opened += 1;
            counters.connections_max = counters.connections_max.max(open_count);
        });
        let task_shared = Arc::clone(&shared);
        shared.tasks.spawn(async move {
            tokio::select! {
                () = serve_connection(&task_shared, stream) => {}
                () = task_shared.stop.cancelled() => {}
            }
            drop(guard);
        });
    }
}

async fn serve_connection(shared: &Arc<TargetShared>, stream: TcpStream) {
    sleep(shared.settings.connect_delay).await;
    let _ = stream.set_nodelay(true);
    let fault = StreamFault::default();
    let stream = FaultStream::new(stream, fault.clone());
    let service = service_fn(|request| dispatch(Arc::clone(shared), request, fault.clone()));
    // Injected faults break connections, so errors are expected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn dispatch(
    shared: Arc<TargetShared>,
    request: Request<Incoming>,
    fault: StreamFault,
) -> Result<TargetResponse, io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let result = match (&head.method, head.uri.path()) {
        (&Method::POST, "/query") => serve_query(shared, head.headers, body, fault).await?,
        (&Method::POST, "/cancel") => serve_cancel(&shared, &body).await,
        (&Method::GET, "/health") => serve_health(&shared),
        (&Method::GET, "/load") => serve_load(&shared),
        _ => plain_reply(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(result)
}

async fn serve_cancel(shared: &TargetShared, body: &Bytes) -> TargetResponse {
    sleep(shared.settings.link_delay).await;
    let Ok(cancel) = serde_json::from_slice::<CancelCall>(body) else {
        return plain_reply(StatusCode::BAD_REQUEST, "expected {\"attempt\":\"...\"}");
    };
    let in_time = shared.attempts().cancel(&cancel.attempt);
    shared.update_counters(|counters| {
        counters.cancels += 1;
        counters.cancels_in_time += u64::from(in_time);
    });
    shared.signal_cancel(&cancel.attempt);
    sleep(shared.settings.link_delay).await;
    json_reply(StatusCode::OK, &CancelVerdict { ran: !in_time })
}

fn serve_health(shared: &TargetShared) -> TargetResponse {
    let serving = shared.state() == TargetState::Serving;
    let reported_healthy = match shared.report_mode() {
        ReportMode::Accurate | ReportMode::Silent => serving,
        ReportMode::AlwaysIdle => true,
        ReportMode::AlwaysFull => false,
    };
    if reported_healthy {
        plain_reply(StatusCode::OK, "serving")
    } else {
        plain_reply(StatusCode::SERVICE_UNAVAILABLE, "not serving")
    }
}

fn serve_load(shared: &TargetShared) -> TargetResponse {
    match reported_load(shared) {
        Some(load) => json_reply(StatusCode::OK, &load),
        None => plain_reply(StatusCode::NOT_FOUND, "no report"),
    }
}
