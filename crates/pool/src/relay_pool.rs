//! A connection pool over all targets, for opaque requests. Each connection carries one request
//! at a time.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
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
/// Time after its deadline for which a connection remembers an unanswered request, in milliseconds. Another
/// VM that hands over the same request may count its time from a little later.
const REMEMBERED_AFTER_MS: u64 = 1_000;
/// Most unanswered requests that a connection remembers. One that has carried more is closed.
const REMEMBERED_REQUESTS_MAX: usize = 128;

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

/// How a request may use connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTerms<'a> {
    /// Which open connections the request may reuse.
    pub reuse: ConnectionReuse,
    /// Longest time for which its connection is kept idle afterwards.
    pub idle_timeout: Duration,
    /// Identifies the request in replies. All its attempts have the same one.
    pub request_id: &'a [u8],
    /// Time after which the request is not sent any more.
    pub deadline: MonoTime,
}

/// What is known of a request once its reply was judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// It was answered and is not sent again.
    Answered,
    /// It was refused or has failed, and may be sent again.
    Unanswered,
}

/// The connection of a complete reply. Dropping it closes the connection; see [`RelayPool::keep`].
#[derive(Debug)]
pub struct ReplyConnection {
    sender: BoundedSender,
    address: SocketAddr,
    history: ConnectionHistory,
    /// The request of the reply.
    request: CarriedRequest,
    /// How long the connection may stay idle; zero if the target closes it.
    usable_for: Duration,
}

/// A request that a connection has carried.
#[derive(Clone, Copy, Debug)]
struct CarriedRequest {
    id_hash: u64,
    /// Time from which on no attempt of it can follow.
    over_at: MonoTime,
}

/// The unanswered requests that a connection has carried.
///
/// Targets may send a reply twice. The second copy bears the id of its request, so only an attempt of
/// that request would take it for its own reply.
#[derive(Debug, Default)]
struct ConnectionHistory {
    unanswered: Vec<CarriedRequest>,
}

impl ConnectionHistory {
    fn contains(&self, id_hash: u64) -> bool {
        self.unanswered
            .iter()
            .any(|carried| carried.id_hash == id_hash)
    }

    /// Adds a request. Returns false if the connection has carried too many to be kept.
    fn record(&mut self, request: CarriedRequest, now: MonoTime) -> bool {
        self.unanswered.retain(|carried| carried.over_at > now);
        self.unanswered.push(request);
        self.unanswered.len() <= REMEMBERED_REQUESTS_MAX
    }
}

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
    history: ConnectionHistory,
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
    history: ConnectionHistory,
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
    id_hasher: RandomState,
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
            id_hasher: RandomState::new(),
        }
    }

    /// Lets all connections come from the address `source` of this VM.
    #[must_use]
    pub fn connecting_from(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Sends one request and reads the whole reply. The connection is closed unless the caller passes it
    /// to [`Self::keep`].
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
        terms: ConnectionTerms<'_>,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<(RelayReply, ReplyConnection), RelayFault> {
        let carried = CarriedRequest {
            id_hash: self.id_hasher.hash_one(terms.request_id),
            over_at: terms.deadline + Duration::from_millis(REMEMBERED_AFTER_MS),
        };
        let reuse = (terms.reuse, carried.id_hash);
        let SentRequest {
            sender,
            response,
            on_reused_connection,
            history,
        } = self.send(address, request, reuse, may_send).await?;
        let (head, incoming) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(RelayFault::Broken);
        }
        let body = read_reply_body(incoming)
            .await
            .map_err(|fault| match fault {
                BodyFault::Broken => RelayFault::Broken,
                BodyFault::TooLarge => RelayFault::TooLarge,
            })?;
        self.record_answer(address);
        let connection = ReplyConnection {
            sender,
            address,
            history,
            request: carried,
            usable_for: idle_time(&head.headers).min(terms.idle_timeout),
        };
        let reply = RelayReply {
            status: head.status,
            headers: head.headers,
            body,
            on_reused_connection,
        };
        Ok((reply, connection))
    }

    /// Keeps the connection of a reply for other requests, and for later attempts of its own request if
    /// that was answered.
    pub fn keep(&self, connection: ReplyConnection, end: RequestEnd) {
        let ReplyConnection {
            sender,
            address,
            mut history,
            request,
            usable_for,
        } = connection;
        let now = self.timer.now();
        let is_full = end == RequestEnd::Unanswered && !history.record(request, now);
        if is_full || usable_for.is_zero() || sender.is_closed() {
            return;
        }
        let idle = IdleConnection {
            sender,
            history,
            idle_since: now,
            usable_until: now + usable_for,
        };
        let mut addresses = lock(&self.addresses);
        addresses.entry(address).or_default().idle.push(idle);
    }

    /// Sends a request on an idle connection, or on a new one if none may be reused or the idle one
    /// turns out to be closed.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        (reuse, id_hash): (ConnectionReuse, u64),
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<SentRequest, RelayFault> {
        if let Some((mut sender, history)) = self.pop_idle(address, reuse, id_hash)
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
                        history,
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
                history: ConnectionHistory::default(),
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
                if !is_final_status(head.status) {
                    return Err(RequestProbe::Connected);
                }
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

    /// Takes the idle connection that is the least likely to have been closed by the target: the most
    /// recently used one that the request may reuse. If there is none, another idle connection is closed,
    /// as a new one takes its place at the target.
    fn pop_idle(
        &self,
        address: SocketAddr,
        reuse: ConnectionReuse,
        id_hash: u64,
    ) -> Option<(BoundedSender, ConnectionHistory)> {
        let now = self.timer.now();
        let recent = Duration::from_millis(RECENT_IDLE_MAX_MS);
        let mut addresses = lock(&self.addresses);
        let state = addresses.get_mut(&address)?;
        state
            .idle
            .retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
        let is_allowed = |idle: &IdleConnection| {
            let is_recent_enough = match reuse {
                ConnectionReuse::Any => true,
                ConnectionReuse::Recent => now.since(idle.idle_since) <= recent,
                ConnectionReuse::Never => false,
            };
            is_recent_enough && !idle.history.contains(id_hash)
        };
        let Some(index) = state.idle.iter().rposition(is_allowed) else {
            state.idle.pop();
            return None;
        };
        let idle = state.idle.remove(index);
        Some((idle.sender, idle.history))
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
}

/// Whether HTTP allows a final reply to have this status. It allows none from 600 on; those below 200 are
/// interim ones, or agree to a switch of protocols that was not asked for.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
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

/// Returns how long a connection may stay idle after a reply with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    if has_connection_close(headers) {
        return Duration::ZERO;
    }
    let idle_max =
        keep_alive_timeout(headers).unwrap_or(Duration::from_millis(IDLE_TIMEOUT_DEFAULT_MS));
    idle_max.saturating_sub(Duration::from_millis(IDLE_TIMEOUT_MARGIN_MS))
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
