//! Calls to other daemons over one multiplexed HTTP/2 connection per peer.

use std::{
    collections::{BTreeMap, HashMap},
    marker::PhantomData,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use fulmarweir_base::lock;
use fulmarweir_bounds::MemoryBudget;
use h2::client::{ResponseFuture, SendRequest};
use http::{Request, StatusCode};
use tokio::{net::TcpStream, sync::Mutex, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    body::{BodyFault, message_memory, read_body, write_body},
    error::{Result, WireError, WireFault},
    message::{PeerMessage, PeerVersion, decode_peer_message, encode_peer_message},
    peer_versions::PeerVersionTable,
    traffic::{TrafficClass, TrafficMeter},
};

/// Time limit for opening a connection, in milliseconds: several times the longest network latency
/// between regions.
///
/// A VM that is powered off does not reply at all, and must be reached soon after it restarts.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Longest time for which a connection that is no longer used for new calls stays open for the calls
/// in flight, in milliseconds.
const RETIRED_MAX_MS: u64 = 10_000;
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// An HTTP/2 connection to one peer.
#[derive(Clone, Debug)]
struct PeerConnection {
    request_sender: SendRequest<Bytes>,
    /// Later connections of this process have higher numbers.
    number: u64,
    /// Replies received so far, to distinguish a dead connection from one slow call.
    reply_count: Arc<AtomicU64>,
    /// Whether the peer has refused the newest protocol version.
    is_older: Arc<AtomicBool>,
    /// Cancelled when the connection must take no further calls.
    retired: CancellationToken,
}

impl PeerConnection {
    /// Returns the protocol version of the next call.
    fn version(&self) -> PeerVersion {
        if self.is_older.load(Relaxed) {
            PeerVersion::V8
        } else {
            PeerVersion::NEWEST
        }
    }
}

type ConnectionSlot = Arc<Mutex<Option<PeerConnection>>>;

/// Sends requests `Q` to other daemons and returns their replies `R`.
///
/// Clones share the connections.
#[derive(Debug)]
pub struct PeerClient<Q, R> {
    shared: Arc<ClientShared>,
    types: PhantomData<fn(Q) -> R>,
}

#[derive(Debug)]
struct ClientShared {
    slots: std::sync::Mutex<HashMap<SocketAddr, ConnectionSlot>>,
    versions: PeerVersionTable,
    connection_count: AtomicU64,
    meter: Arc<TrafficMeter>,
    /// Memory of the messages in flight.
    memory: MemoryBudget,
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

impl<Q: PeerMessage, R: PeerMessage> PeerClient<Q, R> {
    /// Creates a client without connections that counts its traffic in `meter`.
    #[must_use]
    pub fn new(meter: Arc<TrafficMeter>) -> Self {
        let shared = ClientShared {
            slots: std::sync::Mutex::default(),
            versions: PeerVersionTable::default(),
            connection_count: AtomicU64::default(),
            meter,
            memory: message_memory().clone(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        Self {
            shared: Arc::new(shared),
            types: PhantomData,
        }
    }

    /// Sends `request` to the peer at `address` and waits at most `time_limit` for the reply.
    ///
    /// Dropping the returned future resets the stream.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] whose verdict says whether the peer may have run the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        request: &Q,
        time_limit: Duration,
    ) -> Result<R> {
        let mut sent_on = None;
        let exchange = self.exchange(address, class, request, &mut sent_on);
        match timeout(time_limit, exchange).await {
            Ok(result) => result,
            Err(_) => match sent_on {
                Some((connection, reply_count)) => {
                    if connection.reply_count.load(Relaxed) == reply_count {
                        // No call on this connection got a reply meanwhile: it may be dead. The
                        // peer may also be slow, so calls in flight keep it.
                        self.shared.retire_connection(address, &connection).await;
                    }
                    Err(WireError::may_have_run(WireFault::Timeout))
                }
                None => Err(WireError::not_run(WireFault::Timeout)),
            },
        }
    }

    /// Returns the protocol version of the last reply of the peer at `address`.
    ///
    /// It is `None` if the peer has not replied yet or for a long time, or has refused the version that it
    /// used before. Since the reply, the peer may have been replaced by another build.
    #[must_use]
    pub fn version_of(&self, address: SocketAddr) -> Option<PeerVersion> {
        self.shared.versions.version_of(address, Instant::now())
    }

    /// Returns the peers whose version is known, with the version.
    #[must_use]
    pub fn known_versions(&self) -> BTreeMap<SocketAddr, PeerVersion> {
        self.shared.versions.current(Instant::now())
    }

    /// Closes all connections and waits for their tasks.
    pub async fn close(&self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        request: &Q,
        sent_on: &mut Option<(PeerConnection, u64)>,
    ) -> Result<R> {
        let connection = self.shared.connection(address).await?;
        let version = connection.version();
        let call = (request, version);
        let sent = self.exchange_on(&connection, address, class, call, sent_on);
        let result = sent.await;
        let is_refused = matches!(&result, Err(error) if error.fault == WireFault::Protocol);
        if !is_refused || version == PeerVersion::V8 {
            return result;
        }
        // The peer has read nothing of a call in a version that it does not know. Calls that were
        // refused at the same time each get here, whichever of them marks the connection first.
        connection.is_older.store(true, Relaxed);
        connection.reply_count.fetch_add(1, Relaxed);
        self.shared.versions.forget(address, connection.number);
        *sent_on = None;
        let call = (request, PeerVersion::V8);
        self.exchange_on(&connection, address, class, call, sent_on)
            .await
    }

    async fn exchange_on(
        &self,
        connection: &PeerConnection,
        address: SocketAddr,
        class: TrafficClass,
        (request, version): (&Q, PeerVersion),
        sent_on: &mut Option<(PeerConnection, u64)>,
    ) -> Result<R> {
        let body = Bytes::from(encode_peer_message(request, version)?);
        let request_bytes = body.len();
        let mut lease = self.shared.memory.lease();
        if lease.grow_to(request_bytes).is_err() {
            return Err(WireError::not_run(WireFault::Refused));
        }
        let Ok(mut request_sender) = connection.request_sender.clone().ready().await else {
            self.shared.retire_connection(address, connection).await;
            return Err(WireError::not_run(WireFault::Broken));
        };
        let (response, mut stream) = request_sender
            .send_request(request_head(version), false)
            .map_err(|_| WireError::not_run(WireFault::Broken))?;
        *sent_on = Some((connection.clone(), connection.reply_count.load(Relaxed)));
        if write_body(&mut stream, body).await.is_none() {
            return Err(write_error(response, &self.shared.memory).await);
        }
        let reply = read_reply(response, &self.shared.memory).await?;
        connection.reply_count.fetch_add(1, Relaxed);
        let (number, now) = (connection.number, Instant::now());
        self.shared.versions.record(address, number, version, now);
        self.shared
            .meter
            .record_call(class, request_bytes, reply.len());
        decode_peer_message(&reply, version).map_err(|_| WireError::may_have_run(WireFault::Codec))
    }
}

impl ClientShared {
    /// Returns the shared connection to `address`, opened if there is none.
    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection> {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref() {
            return Ok(connection.clone());
        }
        let connecting = timeout(
            Duration::from_millis(CONNECT_TIMEOUT_MS),
            self.connect(address, self.slot(address)),
        );
        let Ok(Ok(connection)) = connecting.await else {
            return Err(WireError::not_run(WireFault::Connect));
        };
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Lets a connection end with its last call, and a new one be opened for further calls unless
    /// that has happened already.
    async fn retire_connection(&self, address: SocketAddr, retired: &PeerConnection) {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if slot
            .as_ref()
            .is_some_and(|connection| Arc::ptr_eq(&connection.reply_count, &retired.reply_count))
        {
            *slot = None;
        }
        retired.retired.cancel();
    }

    fn slot(&self, address: SocketAddr) -> ConnectionSlot {
        let mut slots = lock(&self.slots);
        Arc::clone(slots.entry(address).or_default())
    }

    async fn connect(
        &self,
        address: SocketAddr,
        slot: ConnectionSlot,
    ) -> std::result::Result<PeerConnection, h2::Error> {
        let stream = TcpStream::connect(address).await.map_err(h2_io_error)?;
        stream.set_nodelay(true).map_err(h2_io_error)?;
        let (request_sender, driver) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(stream)
            .await?;
        let (stop, retired) = (self.stop.clone(), CancellationToken::new());
        let connection = PeerConnection {
            request_sender,
            number: self.connection_count.fetch_add(1, Relaxed),
            reply_count: Arc::default(),
            is_older: Arc::default(),
            retired: retired.clone(),
        };
        let reply_count = Arc::clone(&connection.reply_count);
        self.tasks.spawn(async move {
            tokio::select! {
                _ = driver => {}
                () = stop.cancelled() => {}
                () = retired_for(&retired, Duration::from_millis(RETIRED_MAX_MS)) => {}
            }
            let mut slot = slot.lock().await;
            let is_own =
                |connection: &PeerConnection| Arc::ptr_eq(&connection.reply_count, &reply_count);
            if slot.as_ref().is_some_and(is_own) {
                *slot = None;
            }
        });
        Ok(connection)
    }
}

/// Returns once a connection has been retired for `time`.
async fn retired_for(retired: &CancellationToken, time: Duration) {
    retired.cancelled().await;
    tokio::time::sleep(time).await;
}

fn h2_io_error(_: std::io::Error) -> h2::Error {
    h2::Error::from(h2::Reason::CONNECT_ERROR)
}

fn request_head(version: PeerVersion) -> Request<()> {
    let uri = format!("http://peer{}", version.path());
    Request::post(uri).body(()).expect("a constant request")
}

/// Returns the error of a call whose request body could not be sent in full.
async fn write_error(response: ResponseFuture, memory: &MemoryBudget) -> WireError {
    // A peer that refuses a call does not read its body, so the refusal may come before the end of
    // a large one.
    match read_reply(response, memory).await {
        Ok(_) => WireError::may_have_run(WireFault::Broken),
        Err(error) => error,
    }
}

async fn read_reply(response: ResponseFuture, memory: &MemoryBudget) -> Result<Bytes> {
    let response = response.await.map_err(|error| stream_error(&error))?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(WireError::not_run(WireFault::Protocol)),
        StatusCode::SERVICE_UNAVAILABLE => return Err(WireError::not_run(WireFault::Refused)),
        StatusCode::BAD_REQUEST => return Err(WireError::not_run(WireFault::Codec)),
        // The peer could not encode its reply, after it ran the call.
        _ => return Err(WireError::may_have_run(WireFault::Codec)),
    }
    read_body(&mut response.into_body(), memory)
        .await
        .map_err(|fault| match fault {
            BodyFault::Broken | BodyFault::NoMemory => WireError::may_have_run(WireFault::Broken),
        })
}

/// Returns the error of a failed stream. A refused stream never reached the peer's handler.
fn stream_error(error: &h2::Error) -> WireError {
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return WireError::not_run(WireFault::Refused);
    }
    WireError::may_have_run(WireFault::Broken)
}
