//! Sends a request to a VM over a new connection.

use std::{io, time::Duration};

use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

use crate::{
    call::{VmCall, VmReply},
    failure::RequestFailure,
};

const REPLY_MAX_BYTES: usize = 64 * 1024 * 1024;
const CONNECT_TIMEOUT_MS: u64 = 2000;

/// The result of an exchange.
type Result<T> = std::result::Result<T, RequestFailure>;

/// Sends `call` to `vm` and waits up to `timeout` for the complete answer.
pub(crate) async fn exchange(vm: &str, call: &VmCall, timeout: Duration) -> Result<VmReply> {
    let deadline = Instant::now() + timeout;
    let request = build_request(vm, call)?;
    let stream = connect(vm, deadline).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| not_sent(vm, &error))?;
    let driver = tokio::spawn(connection);
    let outcome = timeout_at(deadline, send(&mut sender, vm, call, request)).await;
    driver.abort();
    let _ = driver.await;
    outcome.unwrap_or_else(|_| {
        let message = format!("{vm}: no answer in {} ms", timeout.as_millis());
        Err(RequestFailure::without_answer(
            call.verdict_without_answer(),
            "timeout",
            message,
        ))
    })
}

fn build_request(vm: &str, call: &VmCall) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, vm);
    if let Some(headers) = builder.headers_mut() {
        headers.extend(call.headers.clone());
    }
    let request = builder.body(Full::new(call.body.clone()));
    request.map_err(|error| not_sent(vm, &error))
}

async fn connect(vm: &str, deadline: Instant) -> Result<TcpStream> {
    let connect_deadline = Instant::now() + Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout_at(deadline.min(connect_deadline), TcpStream::connect(vm)).await;
    let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    stream.map_err(|error| not_sent(vm, &error))
}

async fn send(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    vm: &str,
    call: &VmCall,
    request: Request<Full<Bytes>>,
) -> Result<VmReply> {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut failure) => {
            // hyper returns the request only if it has written no part of it.
            if failure.take_message().is_some() {
                return Err(not_sent(vm, failure.error()));
            }
            return Err(answer_lost(vm, call, &failure.error().to_string()));
        }
    };
    let (head, body) = response.into_parts();
    let body = read_body(body)
        .await
        .map_err(|error| answer_lost(vm, call, &error))?;
    Ok(VmReply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

async fn read_body(body: Incoming) -> std::result::Result<Bytes, String> {
    let collected = Limited::new(body, REPLY_MAX_BYTES).collect().await;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(format!("the answer was cut short: {error}")),
    }
}

fn not_sent(vm: &str, error: &dyn std::error::Error) -> RequestFailure {
    let message = format!("{vm}: {error}");
    RequestFailure::without_answer(RunVerdict::NotRun, "unreachable", message)
}

fn answer_lost(vm: &str, call: &VmCall, error: &str) -> RequestFailure {
    let message = format!("{vm}: the answer was lost: {error}");
    RequestFailure::without_answer(call.verdict_without_answer(), "lost-answer", message)
}
