//! Calls to other daemons over one multiplexed connection per peer.

use std::{
    collections::HashMap,
    marker::PhantomData,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::lock;
use h2::client::{ResponseFuture, SendRequest};
use http::{Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::Mutex, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    PROTOCOL_PATH,
    body::{read_body, write_body},
    codec::{decode_message, encode_message},
    error::{Result, WireError, WireFault},
    traffic::{TrafficClass, TrafficMeter},
};

/// Time for a new connection, in milliseconds: several times the longest way between regions.
///
/// A VM without power answers nothing, and is to be found soon after it is back.
const CONNECT_TIMEOUT_MS: u64 = 300;
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// The connection to one peer.
#[derive(Clone, Debug)]
struct Sender {
    requests: SendRequest<Bytes>,
    /// Replies received so far, to tell a silent connection from one slow call.
    replies: Arc<AtomicU64>,
    /// Ends the connection's task.
    stop: CancellationToken,
}

type PeerSlot = Arc<Mutex<Option<Sender>>>;

/// Calls other daemons with requests `Q` and reads replies `R`.
///
/// Cloning shares the connections.
#[derive(Debug)]
pub struct PeerClient<Q, R> {
    shared: Arc<ClientShared>,
    types: PhantomData<fn(Q) -> R>,
}

#[derive(Debug)]
struct ClientShared {
    slots: std::sync::Mutex<HashMap<SocketAddr, PeerSlot>>,
    meter: Arc<TrafficMeter>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl<Q, R> Clone for PeerClient<Q, R> {
    fn clone(&self) -> Self {
        let shared = Arc::clone(&self.shared);
        Self {
            shared,
            types: PhantomData,
        }
    }
}

impl<Q: Serialize, R: DeserializeOwned> PeerClient<Q, R> {
    /// A client without connections that counts its traffic in `meter`.
    #[must_use]
    pub fn new(meter: Arc<TrafficMeter>) -> Self {
        let shared = ClientShared {
            slots: std::sync::Mutex::default(),
            meter,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        Self {
            shared: Arc::new(shared),
            types: PhantomData,
        }
    }

    /// Sends `request` to the peer at `address` and waits at most `patience` for its reply.
    ///
    /// Dropping the returned future resets the stream.
    ///
    /// # Errors
    ///
    /// A [`WireError`] whose verdict tells whether the peer may have acted on the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        request: &Q,
        patience: Duration,
    ) -> Result<R> {
        let body = Bytes::from(encode_message(request)?);
        let mut used = None;
        let exchange = self.exchange(address, class, body, &mut used);
        match timeout(patience, exchange).await {
            Ok(result) => result,
            Err(_) => match used {
                Some((sender, replies)) => {
                    if sender.replies.load(Relaxed) == replies {
                        // Nothing came back in all this time: the connection may be dead.
                        self.shared.drop_sender(address, &sender).await;
                    }
                    Err(WireError::may_have_run(WireFault::Timeout))
                }
                None => Err(WireError::not_run(WireFault::Timeout)),
            },
        }
    }

    /// Drops all connections and waits for their tasks.
    pub async fn close(&self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        body: Bytes,
        used: &mut Option<(Sender, u64)>,
    ) -> Result<R> {
        let request_bytes = body.len();
        let sender = self.shared.sender(address).await?;
        let Ok(mut requests) = sender.requests.clone().ready().await else {
            self.shared.drop_sender(address, &sender).await;
            return Err(WireError::not_run(WireFault::Broken));
        };
        let (response, mut stream) = requests
            .send_request(request_head(), false)
            .map_err(|_| WireError::not_run(WireFault::Broken))?;
        *used = Some((sender.clone(), sender.replies.load(Relaxed)));
        if write_body(&mut stream, body).await.is_none() {
            return Err(broken_stream(response).await);
        }
        let reply = read_reply(response).await?;
        sender.replies.fetch_add(1, Relaxed);
        self.shared
            .meter
            .record_call(class, request_bytes, reply.len());
        decode_message(&reply).map_err(|_| WireError::may_have_run(WireFault::Codec))
    }
}

impl ClientShared {
    /// The shared connection to `address`, opened when there is none.
    async fn sender(&self, address: SocketAddr) -> Result<Sender> {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(sender) = slot.as_ref() {
            return Ok(sender.clone());
        }
        let connecting = timeout(
            Duration::from_millis(CONNECT_TIMEOUT_MS),
            self.connect(address, self.slot(address)),
        );
        let Ok(Ok(sender)) = connecting.await else {
            return Err(WireError::not_run(WireFault::Connect));
        };
        *slot = Some(sender.clone());
        Ok(sender)
    }

    /// Ends a connection, unless another one has taken its place.
    async fn drop_sender(&self, address: SocketAddr, used: &Sender) {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if slot
            .as_ref()
            .is_some_and(|sender| Arc::ptr_eq(&sender.replies, &used.replies))
        {
            *slot = None;
        }
        used.stop.cancel();
    }

    fn slot(&self, address: SocketAddr) -> PeerSlot {
        let mut slots = lock(&self.slots);
        Arc::clone(slots.entry(address).or_default())
    }

    async fn connect(
        &self,
        address: SocketAddr,
        slot: PeerSlot,
    ) -> std::result::Result<Sender, h2::Error> {
        let stream = TcpStream::connect(address).await.map_err(h2_io_error)?;
        stream.set_nodelay(true).map_err(h2_io_error)?;
        let (requests, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(stream)
            .await?;
        let stop = self.stop.child_token();
        let sender = Sender {
            requests,
            replies: Arc::default(),
            stop: stop.clone(),
        };
        let replies = Arc::clone(&sender.replies);
        self.tasks.spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = stop.cancelled() => {}
            }
            let mut slot = slot.lock().await;
            let is_own = |sender: &Sender| Arc::ptr_eq(&sender.replies, &replies);
            if slot.as_ref().is_some_and(is_own) {
                *slot = None;
            }
        });
        Ok(sender)
    }
}

fn h2_io_error(_: std::io::Error) -> h2::Error {
    h2::Error::from(h2::Reason::CONNECT_ERROR)
}

fn request_head() -> Request<()> {
    let uri = format!("http://peer{PROTOCOL_PATH}");
    Request::post(uri).body(()).expect("a constant request")
}

/// The verdict of a stream whose request body could not be sent in full.
async fn broken_stream(response: ResponseFuture) -> WireError {
    match response.await {
        Ok(_) => WireError::may_have_run(WireFault::Broken),
        Err(error) => stream_error(&error),
    }
}

async fn read_reply(response: ResponseFuture) -> Result<Bytes> {
    let response = response.await.map_err(|error| stream_error(&error))?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(WireError::not_run(WireFault::Protocol)),
        StatusCode::SERVICE_UNAVAILABLE => return Err(WireError::not_run(WireFault::Refused)),
        _ => return Err(WireError::not_run(WireFault::Codec)),
    }
    read_body(&mut response.into_body())
        .await
        .ok_or(WireError::may_have_run(WireFault::Broken))
}

/// A stream that the peer refused was never handed to its handler.
fn stream_error(error: &h2::Error) -> WireError {
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return WireError::not_run(WireFault::Refused);
    }
    WireError::may_have_run(WireFault::Broken)
}
