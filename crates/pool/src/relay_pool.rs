//! A connection pool over all targets, for opaque requests. Each connection carries one request
//! at a time.

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, TimerService, lock};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::bounded_reply::{BodyFault, BoundedSender, read_reply_body};

/// Time limit for opening a connection, in milliseconds: twice the longest network latency plus
/// the time to retry after the target's accept queue was full.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time limit of a probe of an address, in milliseconds: a round trip between regions, and some lag.
const PROBE_TIMEOUT_MS: u64 = 100;
/// Time limit of a probe that sends a request, in milliseconds: targets may be busy.
const REQUEST_PROBE_TIMEOUT_MS: u64 = 250;
/// Time for which a connection of a probe must stay open, in milliseconds. A process that is ending
/// may still accept one.
const PROBE_HOLD_MS: u64 = 5;
/// Idle timeout of a connection whose target states none, in milliseconds.
const IDLE_TIMEOUT_DEFAULT_MS: u64 = 4_000;
/// Time before the target's idle timeout from which a connection is not reused, in milliseconds.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 700;
/// Longest idle time of a connection that may carry a request which must not run twice, in
/// milliseconds.
const RECENT_IDLE_MAX_MS: u64 = 250;

/// A complete reply of a target.
#[derive(Clone, Debug)]
pub struct RelayReply {
    /// Status of the target's reply.
    pub status: StatusCode,
    /// Headers of the target's reply.
    pub headers: HeaderMap,
    /// Body of the target's reply.
    pub body: Bytes,
    /// Whether the connection had carried another request before. A late copy of an earlier reply can
    /// arrive in place of the reply then.
    pub on_reused_connection: bool,
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RelayFault {
    /// No connection could be opened; the request was not sent.
    Connect,
    /// Nothing listens at the address; the request was not sent.
    ConnectRefused,
    /// The connection closed before the request was sent on it.
    NotSent,
    /// The target closed a new connection before the request was sent on it, as a target over its
    /// connection limit does.
    OverLimit,
    /// The target reset a new connection sooner than it could have run the request, as a target
    /// over its connection limit does.
    ///
    /// The timing is no proof: the request may have run.
    Rejected,
    /// The request was withheld by its owner before it was sent.
    Withheld,
    /// The connection broke, or the reply was not valid HTTP, after the request was sent.
    Broken,
    /// The reply was larger than the limit.
    TooLarge,
}

impl RelayFault {
    /// Returns the label of this fault in metrics and logs; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect | Self::ConnectRefused => "connect",
            Self::NotSent => "not-sent",
            Self::OverLimit => "over-limit",
            Self::Rejected => "rejected",
            Self::Withheld => "withheld",
            Self::Broken => "broken",
            Self::TooLarge => "too-large",
        }
    }
}

/// Whether a process listens at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressProbe {
    /// A connection could be opened and stays open.
    Listening,
    /// Connections are accepted and closed at once, as by a process that is ending, or one that is over
    /// its connection limit.
    Closing,
    /// Connections are refused.
    Refusing,
    /// There was no reply in time.
    Silent,
}

impl AddressProbe {
    /// Returns the label of this result in metrics and logs; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listening => "listening",
            Self::Closing => "closing",
            Self::Refusing => "refusing",
            Self::Silent => "silent",
        }
    }
}

/// What became of a request that probes a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestProbe {
    /// No connection could be opened, or it was closed at once.
    Unreached,
    /// A connection could be opened, but no reply came in time.
    Connected,
    /// The target replied.
    Replied,
}

/// Time after a target reset a new connection in which it is expected to reset others, in
/// milliseconds.
const RESET_TTL_MS: u64 = 2_000;
/// Time after the start of the process in which connections of an earlier one may still use up the
/// limit of a target, in milliseconds.
const STARTUP_MS: u64 = 5_000;

/// Shortest time in which a target could run a request, in addition to the round trip, in
/// milliseconds.
const PROCESSING_MIN_MS: u64 = 4;

/// Time in which a target over its connection limit resets a new connection, in addition to the
/// round trip, in milliseconds.
const REJECT_DELAY_MAX_MS: u64 = 2;

/// A connection that was just opened.
struct NewConnection {
    sender: BoundedSender,
    /// Time that opening the connection took, which is one network round trip.
    round_trip: Duration,
}

/// A request whose reply has begun to arrive.
struct SentRequest {
    sender: BoundedSender,
    response: Response<Incoming>,
    on_reused_connection: bool,
}

/// Which open connections a request may reuse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// Any connection that is still usable.
    Any,
    /// Only a connection that was in use a moment ago: an older one may be dead and lose the
    /// request.
    Recent,
    /// No open connection: a new one is opened.
    Never,
}

/// An open connection that carries no request.
struct IdleConnection {
    sender: BoundedSender,
    idle_since: MonoTime,
    usable_until: MonoTime,
}

/// Idle connections of one address, and what is known of its connection limit.
#[derive(Default)]
struct AddressState {
    idle: Vec<IdleConnection>,
    /// When the target last reset a new connection.
    reset_at: Option<MonoTime>,
    /// Whether the target has answered since the start of the process.
    has_answered: bool,
}

/// The connections to all targets.
///
/// Dropping the future of an exchange closes its connection, which tells the target that the
/// request was abandoned.
pub struct RelayPool {
    addresses: Mutex<HashMap<SocketAddr, AddressState>>,
    timer: TimerService,
    tasks: TaskTracker,
    stop: CancellationToken,
    opened: AtomicU64,
    /// Address of this VM that connections come from; `None` lets the system choose.
    source: Option<IpAddr>,
    started_at: MonoTime,
}

impl RelayPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(timer: TimerService) -> Self {
        Self {
            addresses: Mutex::default(),
            started_at: timer.now(),
            timer,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            opened: AtomicU64::new(0),
            source: None,
        }
    }

    /// Lets all connections come from the address `source` of this VM.
    #[must_use]
    pub fn connecting_from(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Sends one request and reads the whole reply. The connection is then kept idle for at most
    /// `idle_timeout`.
    ///
    /// `may_send` is asked when a connection is ready. If it returns false, nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns a [`RelayFault`]. Only [`RelayFault::Connect`], [`RelayFault::ConnectRefused`],
    /// [`RelayFault::NotSent`], [`RelayFault::OverLimit`] and [`RelayFault::Withheld`] prove that the target has not seen the
    /// request.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        idle_timeout: Duration,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<RelayReply, RelayFault> {
        let SentRequest {
            sender,
            response,
            on_reused_connection,
        } = self.send(address, request, reuse, may_send).await?;
        let (head, incoming) = response.into_parts();
        let body = read_reply_body(incoming)
            .await
            .map_err(|fault| match fault {
                BodyFault::Broken => RelayFault::Broken,
                BodyFault::TooLarge => RelayFault::TooLarge,
            })?;
        self.record_answer(address);
        self.return_connection(address, sender, &head.headers, idle_timeout);
        Ok(RelayReply {
            status: head.status,
            headers: head.headers,
            body,
            on_reused_connection,
        })
    }

    /// Sends a request on an idle connection, or on a new one if none may be reused or the idle one
    /// turns out to be closed.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<SentRequest, RelayFault> {
        if let Some(mut sender) = self.pop_idle(address, reuse)
            && sender.is_usable().await
        {
            if !may_send() {
                return Err(RelayFault::Withheld);
            }
            match sender.send(request).await {
                Ok(response) => {
                    return Ok(SentRequest {
                        sender,
                        response,
                        on_reused_connection: true,
                    });
                }
                // Hyper hands the request back only if nothing of it was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(RelayFault::Broken),
                },
            }
        }
        let NewConnection {
            mut sender,
            round_trip,
        } = self.connect(address).await?;
        if reuse != ConnectionReuse::Any || self.may_be_over_limit(address) {
            // A target over its connection limit resets a new connection within this time, so the
            // request is sent only after it.
            tokio::time::sleep(round_trip + Duration::from_millis(REJECT_DELAY_MAX_MS)).await;
            if sender.is_closed() {
                self.record_reset(address);
                return Err(RelayFault::OverLimit);
            }
        }
        if !may_send() {
            return Err(RelayFault::Withheld);
        }
        let sent_at = self.timer.now();
        match sender.send(request).await {
            Ok(response) => Ok(SentRequest {
                sender,
                response,
                on_reused_connection: false,
            }),
            // The target did not reset the connection, however soon this was.
            Err(_) if sender.is_used_up() => Err(RelayFault::TooLarge),
            Err(mut error) => {
                self.record_reset(address);
                let earliest_reply =
                    sent_at + round_trip + Duration::from_millis(PROCESSING_MIN_MS);
                let is_early = self.timer.now() < earliest_reply && !error.error().is_parse();
                Err(match error.take_message() {
                    Some(_) => RelayFault::NotSent,
                    None if is_early => RelayFault::Rejected,
                    None => RelayFault::Broken,
                })
            }
        }
    }

    /// Opens a connection to find out whether a process still listens at `address`.
    pub async fn probe(&self, address: SocketAddr) -> AddressProbe {
        let time_limit = Duration::from_millis(PROBE_TIMEOUT_MS);
        let probe = timeout(time_limit, self.probe_twice(address)).await;
        probe.unwrap_or(AddressProbe::Silent)
    }

    /// Sends `request` on a connection of its own to find out whether there is a link to the target at
    /// `address`. Any reply will do.
    pub async fn probe_with_request(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> RequestProbe {
        let reply = self.request_head(address, request).await;
        reply.map_or_else(|probe| probe, |_| RequestProbe::Replied)
    }

    /// Sends `request` on a connection of its own and returns the status and the headers of the reply.
    /// The body is left empty.
    ///
    /// # Errors
    ///
    /// Returns what became of the request if no reply came in time.
    pub async fn request_head(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<RelayReply, RequestProbe> {
        let end = self.timer.now() + Duration::from_millis(REQUEST_PROBE_TIMEOUT_MS);
        let time_left = || end.since(self.timer.now());
        let connected = timeout(time_left(), self.connect(address)).await;
        let Ok(Ok(NewConnection { mut sender, .. })) = connected else {
            return Err(RequestProbe::Unreached);
        };
        match timeout(time_left(), sender.send(request)).await {
            Ok(Ok(response)) => {
                let (head, _) = response.into_parts();
                Ok(RelayReply {
                    status: head.status,
                    headers: head.headers,
                    body: Bytes::new(),
                    on_reused_connection: false,
                })
            }
            Ok(Err(_)) => Err(RequestProbe::Unreached),
            Err(_) => Err(RequestProbe::Connected),
        }
    }

    /// Closes all idle connections to `address`, e.g. after one of them turned out to be dead.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(state) = lock(&self.addresses).get_mut(&address) {
            state.idle.clear();
        }
    }

    /// Whether the target at `address` may reset a new connection because of its connection limit.
    fn may_be_over_limit(&self, address: SocketAddr) -> bool {
        let now = self.timer.now();
        let is_starting = self.is_starting(now);
        let addresses = lock(&self.addresses);
        let Some(state) = addresses.get(&address) else {
            return is_starting;
        };
        has_reset_recently(state, now) || (is_starting && !state.has_answered)
    }

    fn is_starting(&self, now: MonoTime) -> bool {
        now.since(self.started_at) < Duration::from_millis(STARTUP_MS)
    }

    fn record_answer(&self, address: SocketAddr) {
        let mut addresses = lock(&self.addresses);
        addresses.entry(address).or_default().has_answered = true;
    }

    fn record_reset(&self, address: SocketAddr) {
        let reset_at = Some(self.timer.now());
        let mut addresses = lock(&self.addresses);
        addresses.entry(address).or_default().reset_at = reset_at;
    }

    /// Closes idle connections that have expired or that the target has closed.
    pub fn close_expired(&self) {
        let now = self.timer.now();
        let is_starting = self.is_starting(now);
        let mut addresses = lock(&self.addresses);
        addresses.retain(|_, state| {
            let is_usable =
                |idle: &IdleConnection| idle.usable_until > now && !idle.sender.is_closed();
            state.idle.retain(is_usable);
            is_starting || has_reset_recently(state, now) || !state.idle.is_empty()
        });
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        lock(&self.addresses)
            .values()
            .map(|state| state.idle.len())
            .sum()
    }

    /// Returns the number of connections opened since the pool was created.
    #[must_use]
    pub fn opened_count(&self) -> u64 {
        self.opened.load(Relaxed)
    }

    /// Closes all connections and waits for their tasks.
    pub async fn close(&self) {
        lock(&self.addresses).clear();
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn pop_idle(&self, address: SocketAddr, reuse: ConnectionReuse) -> Option<BoundedSender> {
        let now = self.timer.now();
        let mut addresses = lock(&self.addresses);
        let state = addresses.get_mut(&address)?;
        state
            .idle
            .retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
        // The most recently used connection is the least likely to have been closed by the target.
        let idle = state.idle.pop()?;
        let is_recent = now.since(idle.idle_since) <= Duration::from_millis(RECENT_IDLE_MAX_MS);
        match reuse {
            ConnectionReuse::Any => Some(idle.sender),
            ConnectionReuse::Recent if is_recent => Some(idle.sender),
            // The idle connection is closed, as the new one takes its place at the target.
            ConnectionReuse::Recent | ConnectionReuse::Never => None,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<NewConnection, RelayFault> {
        let started_at = self.timer.now();
        let time_limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = timeout(time_limit, self.open_stream(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(RelayFault::ConnectRefused);
            }
            Ok(Err(_)) | Err(_) => return Err(RelayFault::Connect),
        };
        let round_trip = self.timer.now().since(started_at);
        // If the option cannot be set, small requests are only delayed.
        let _ = stream.set_nodelay(true);
        let started = BoundedSender::start(stream).await;
        let (sender, connection) = started.map_err(|_| RelayFault::Connect)?;
        self.opened.fetch_add(1, Relaxed);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                // If the connection breaks, its request fails and reports the fault.
                _ = connection => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(NewConnection { sender, round_trip })
    }

    async fn open_stream(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let Some(source) = self.source else {
            return TcpStream::connect(address).await;
        };
        let socket = match source {
            IpAddr::V4(_) => TcpSocket::new_v4()?,
            IpAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }

    /// Opens a connection, and another one if the first is closed at once.
    async fn probe_twice(&self, address: SocketAddr) -> AddressProbe {
        match self.probe_once(address).await {
            AddressProbe::Closing => self.probe_once(address).await,
            probe => probe,
        }
    }

    async fn probe_once(&self, address: SocketAddr) -> AddressProbe {
        match self.open_stream(address).await {
            Ok(stream) => {
                let hold = Duration::from_millis(PROBE_HOLD_MS);
                let is_open = timeout(hold, stream.readable()).await.is_err();
                if is_open || stream.try_read(&mut [0]).is_ok_and(|length| length > 0) {
                    AddressProbe::Listening
                } else {
                    AddressProbe::Closing
                }
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => AddressProbe::Refusing,
            Err(_) => AddressProbe::Closing,
        }
    }

    fn return_connection(
        &self,
        address: SocketAddr,
        sender: BoundedSender,
        headers: &HeaderMap,
        idle_timeout: Duration,
    ) {
        if sender.is_closed() || has_connection_close(headers) {
            return;
        }
        let idle_max =
            keep_alive_timeout(headers).unwrap_or(Duration::from_millis(IDLE_TIMEOUT_DEFAULT_MS));
        let usable_for = idle_max.saturating_sub(Duration::from_millis(IDLE_TIMEOUT_MARGIN_MS));
        let usable_for = usable_for.min(idle_timeout);
        if usable_for.is_zero() {
            return;
        }
        let now = self.timer.now();
        let idle = IdleConnection {
            sender,
            idle_since: now,
            usable_until: now + usable_for,
        };
        lock(&self.addresses)
            .entry(address)
            .or_default()
            .idle
            .push(idle);
    }
}

fn has_reset_recently(state: &AddressState, now: MonoTime) -> bool {
    let ttl = Duration::from_millis(RESET_TTL_MS);
    state.reset_at.is_some_and(|at| now.since(at) < ttl)
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values.filter_map(|value| value.to_str().ok()).any(|value| {
        let mut options = value.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns the idle timeout that a target states in `Keep-Alive: timeout=SECONDS`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| {
        let (key, number) = part.split_once('=')?;
        let is_timeout = key.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| number.trim().parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(seconds))
}
