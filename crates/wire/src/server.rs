//! Serves calls of other daemons.

use std::{future::Future, marker::PhantomData, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_bounds::{
    ConnectionTable, MemoryBudget, TrackedConnection, TrackedStream, TransferChannel,
    descriptors_max,
};
use futures::future::poll_fn;
use h2::{
    RecvStream,
    server::{Connection, SendResponse},
};
use http::{Request, Response, StatusCode};
use tokio::{net::TcpListener, task::yield_now, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    body::{BodyFault, message_memory, read_body, write_body},
    message::{PeerMessage, PeerVersion, decode_peer_message, encode_peer_message},
    traffic::{TrafficClass, TrafficMeter},
};

const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
const CONCURRENT_STREAMS_MAX: u32 = 4096;
/// Largest head of a call, as the protocol counts it, in bytes.
const HEAD_LIST_MAX_BYTES: u32 = 16 * 1024;
/// Share of the descriptors of a process for connections of other daemons: one in this many.
const CONNECTIONS_DIVISOR: usize = 4;
/// Time limit for the message of a call, in milliseconds.
const MESSAGE_TIMEOUT_MS: u64 = 10_000;
/// Time limit for writing a reply, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 30_000;
/// Pause after a failed accept, in milliseconds. Accepting fails when the process runs out of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves requests `Q` of other daemons and replies with `R`.
pub struct PeerServer<Q, R, H> {
    shared: Arc<ServerShared<H>>,
    types: PhantomData<fn(Q) -> R>,
}

struct ServerShared<H> {
    handler: H,
    meter: Arc<TrafficMeter>,
    /// Memory of the messages in flight.
    memory: MemoryBudget,
    connections: ConnectionTable,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl<Q, R, H, F> PeerServer<Q, R, H>
where
    Q: PeerMessage + Send + 'static,
    R: PeerMessage + Send + Sync + 'static,
    H: Fn(SocketAddr, Q) -> (TrafficClass, F) + Send + Sync + 'static,
    F: Future<Output = R> + Send + 'static,
{
    /// Creates a server that passes each request to `handler` and counts its traffic in `meter`.
    /// Cancelling `stop` shuts it down gracefully.
    #[must_use]
    pub fn new(handler: H, meter: Arc<TrafficMeter>, stop: CancellationToken) -> Self {
        let shared = ServerShared {
            handler,
            meter,
            memory: message_memory().clone(),
            connections: ConnectionTable::new((descriptors_max() / CONNECTIONS_DIVISOR).max(1)),
            tasks: TaskTracker::new(),
            stop,
        };
        Self {
            shared: Arc::new(shared),
            types: PhantomData,
        }
    }

    /// Accepts connections until stopped, then finishes the streams in flight.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.shared.stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, address)) = accepted else {
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let connections = &self.shared.connections;
            let was_full = connections.is_full();
            if let Some(stream) = connections.admit(stream) {
                let shared = Arc::clone(&self.shared);
                self.shared
                    .tasks
                    .spawn(serve_connection::<Q, R, H, F>(shared, stream, address));
            }
            if was_full {
                // Lets the connection that made way close its descriptor.
                yield_now().await;
            }
        }
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }
}

async fn serve_connection<Q, R, H, F>(
    shared: Arc<ServerShared<H>>,
    stream: TrackedStream,
    address: SocketAddr,
) where
    Q: PeerMessage + Send + 'static,
    R: PeerMessage + Send + Sync + 'static,
    H: Fn(SocketAddr, Q) -> (TrafficClass, F) + Send + Sync + 'static,
    F: Future<Output = R> + Send + 'static,
{
    let tracked = stream.connection();
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(CONCURRENT_STREAMS_MAX)
        .max_header_list_size(HEAD_LIST_MAX_BYTES)
        .handshake(stream);
    let mut connection: Connection<TrackedStream, Bytes> = tokio::select! {
        () = shared.stop.cancelled() => return,
        () = tracked.closed().cancelled() => return,
        done = handshake => match done {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let mut closing = false;
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled(), if !closing => {
                closing = true;
                connection.graceful_shutdown();
                continue;
            }
            () = tracked.closed().cancelled() => return,
            accepted = connection.accept() => accepted,
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        let origin = (address, Arc::clone(&tracked));
        let call = serve_call::<Q, R, H, F>(Arc::clone(&shared), origin, request, respond);
        shared.tasks.spawn(call);
    }
}

async fn serve_call<Q, R, H, F>(
    shared: Arc<ServerShared<H>>,
    (address, connection): (SocketAddr, Arc<TrackedConnection>),
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) where
    Q: PeerMessage,
    R: PeerMessage,
    H: Fn(SocketAddr, Q) -> (TrafficClass, F),
    F: Future<Output = R>,
{
    let path = request.uri().path();
    let Some(version) = PeerVersion::of_path(path) else {
        shared.meter.served().record_unknown(address, path);
        return refuse_call(&mut respond, StatusCode::NOT_FOUND);
    };
    let mut body = request.into_body();
    let time_limit = Duration::from_millis(MESSAGE_TIMEOUT_MS);
    let body = match timeout(time_limit, read_body(&mut body, &shared.memory)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyFault::Broken)) => return refuse_call(&mut respond, StatusCode::BAD_REQUEST),
        Ok(Err(BodyFault::NoMemory)) | Err(_) => {
            return refuse_call(&mut respond, StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    let _run = connection.begin_run();
    let Ok(message) = decode_peer_message::<Q>(&body, version) else {
        return refuse_call(&mut respond, StatusCode::BAD_REQUEST);
    };
    shared.meter.served().record_call(version);
    let (class, reply) = (shared.handler)(address, message);
    let reply = tokio::select! {
        // Checks for a reset first, so that a call that its caller gave up while this process was
        // suspended is not started.
        biased;
        // The caller reset the stream; dropping the handler's future cancels the work.
        _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        reply = reply => reply,
    };
    let Ok(reply) = encode_peer_message(&reply, version) else {
        return refuse_call(&mut respond, StatusCode::INTERNAL_SERVER_ERROR);
    };
    shared.meter.record_call(class, body.len(), reply.len());
    let head = Response::new(());
    let channel = TransferChannel::default();
    let mut transfer = shared.memory.start_transfer_on(channel);
    transfer.grow_beyond_limit(reply.len());
    if let Ok(mut stream) = respond.send_response(head, false) {
        let time_limit = Duration::from_millis(REPLY_TIMEOUT_MS);
        tokio::select! {
            _ = timeout(time_limit, write_body(&mut stream, Bytes::from(reply))) => {}
            // Dropping the stream resets it.
            () = transfer.cancelled() => {}
        }
    }
}

fn refuse_call(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    let _ = respond.send_response(head, true);
}
