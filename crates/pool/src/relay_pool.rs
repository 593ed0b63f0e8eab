//! Connections to targets for opaque requests, one request at a time on each.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use fulmarweir_base::{MonoTime, TimerService, lock};
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Largest answer of a target in bytes.
const REPLY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Time that a new connection may take, in milliseconds: twice the longest way plus a full accept queue's retry.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time that an idle connection is used again where the target states none, in milliseconds.
const IDLE_DEFAULT_MS: u64 = 4_000;
/// Time before the end that a target states from which on a connection is not used, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;
/// Idle time from which on a request that must not run twice gets a new connection.
const IDLE_ONCE_MS: u64 = 250;

type RelaySender = SendRequest<Full<Bytes>>;

/// A whole answer of a target.
#[derive(Clone, Debug)]
pub struct RelayReply {
    /// Status as the target gave it.
    pub status: StatusCode,
    /// Headers as the target gave them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RelayFault {
    /// No connection could be made; the request was not sent.
    Connect,
    /// The connection ended before the request was sent on it.
    NotSent,
    /// A new connection was reset sooner than a target could have run anything: it had too many.
    ///
    /// This is no proof, so the request still may have run.
    Rejected,
    /// The connection broke, or what came was no answer, after the request was sent.
    Broken,
    /// The answer was larger than allowed.
    TooLarge,
}

impl RelayFault {
    /// The label of this fault in metrics and logs; it never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::NotSent => "not-sent",
            Self::Rejected => "rejected",
            Self::Broken => "broken",
            Self::TooLarge => "too-large",
        }
    }
}

/// Time after which a target may have run a request, beyond the way there and back, in milliseconds.
const RUN_MIN_MS: u64 = 4;

/// Time in which a target turns a connection away that is too many, beyond the way, in milliseconds.
const ACCEPT_MS: u64 = 2;

/// A connection that was just opened.
struct NewConnection {
    sender: RelaySender,
    /// Time that opening it took, which is the way there and back.
    way: Duration,
}

/// What a request needs of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionNeed {
    /// Any that is open.
    Any,
    /// One that was in use a moment ago, or a new one: the request must not be lost on a dead one.
    Recent,
    /// A new one.
    Fresh,
}

/// A connection without a request.
struct IdleConnection {
    sender: RelaySender,
    idle_since: MonoTime,
    usable_until: MonoTime,
}

/// Idle connections of one address.
#[derive(Default)]
struct AddressState {
    idle: Vec<IdleConnection>,
}

/// Connections to all targets.
///
/// Dropping the future of an exchange closes its connection, by which the target learns
/// that the request is given up.
pub struct RelayLinks {
    links: Mutex<HashMap<SocketAddr, AddressState>>,
    timer: TimerService,
    tasks: TaskTracker,
    stop: CancellationToken,
    opened: AtomicU64,
}

impl RelayLinks {
    /// No connections yet.
    #[must_use]
    pub fn new(timer: TimerService) -> Self {
        Self {
            links: Mutex::default(),
            timer,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            opened: AtomicU64::new(0),
        }
    }

    /// Sends one request and reads the whole answer. The connection is then kept for at most
    /// `idle_timeout`.
    ///
    /// # Errors
    ///
    /// A fault; only [`RelayFault::Connect`] and [`RelayFault::NotSent`] say that the target
    /// has not seen the request.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        need: ConnectionNeed,
        idle_timeout: Duration,
    ) -> Result<RelayReply, RelayFault> {
        let (sender, response) = self.send(address, request, need).await?;
        let (head, mut incoming) = response.into_parts();
        let mut body = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| RelayFault::Broken)?;
            if let Ok(data) = frame.into_data() {
                if body.len() + data.len() > REPLY_MAX_BYTES {
                    return Err(RelayFault::TooLarge);
                }
                body.extend_from_slice(&data);
            }
        }
        self.give_back(address, sender, &head.headers, idle_timeout);
        Ok(RelayReply {
            status: head.status,
            headers: head.headers,
            body: body.freeze(),
        })
    }

    /// Sends a request on an open connection, or on a new one when that turns out closed.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        need: ConnectionNeed,
    ) -> Result<(RelaySender, Response<Incoming>), RelayFault> {
        if let Some(mut sender) = self.take_idle(address, need)
            && sender.ready().await.is_ok()
        {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                // The library hands the request back only if nothing of it was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(RelayFault::Broken),
                },
            }
        }
        let NewConnection { mut sender, way } = self.connect(address).await?;
        if need != ConnectionNeed::Any {
            // A target with too many connections resets this one about now; the request must
            // not be on its way then.
            tokio::time::sleep(way + Duration::from_millis(ACCEPT_MS)).await;
            if sender.is_closed() {
                return Err(RelayFault::Connect);
            }
        }
        let sent_at = self.timer.now();
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, response)),
            Err(mut error) => {
                let soonest = sent_at + way + Duration::from_millis(RUN_MIN_MS);
                let is_early = self.timer.now() < soonest && !error.error().is_parse();
                Err(match error.take_message() {
                    Some(_) => RelayFault::NotSent,
                    None if is_early => RelayFault::Rejected,
                    None => RelayFault::Broken,
                })
            }
        }
    }

    /// Closes idle connections to `address`, such as after one of them turned out dead.
    pub fn drop_idle(&self, address: SocketAddr) {
        lock(&self.links).remove(&address);
    }

    /// Closes idle connections that are no longer usable.
    pub fn tidy(&self) {
        let now = self.timer.now();
        let mut links = lock(&self.links);
        links.retain(|_, link| {
            let usable =
                |idle: &IdleConnection| idle.usable_until > now && !idle.sender.is_closed();
            link.idle.retain(usable);
            !link.idle.is_empty()
        });
    }

    /// Number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        lock(&self.links).values().map(|link| link.idle.len()).sum()
    }

    /// Connections opened since the start.
    #[must_use]
    pub fn opened_count(&self) -> u64 {
        self.opened.load(Relaxed)
    }

    /// Closes all connections and waits for their tasks.
    pub async fn close(&self) {
        lock(&self.links).clear();
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn take_idle(&self, address: SocketAddr, need: ConnectionNeed) -> Option<RelaySender> {
        let now = self.timer.now();
        let mut links = lock(&self.links);
        let link = links.get_mut(&address)?;
        link.idle
            .retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
        // The one used last is the least likely to have been closed by the target.
        let idle = link.idle.pop()?;
        let recent = now.since(idle.idle_since) <= Duration::from_millis(IDLE_ONCE_MS);
        match need {
            ConnectionNeed::Any => Some(idle.sender),
            ConnectionNeed::Recent if recent => Some(idle.sender),
            // Closed, since the new connection takes its place at the target.
            ConnectionNeed::Recent | ConnectionNeed::Fresh => None,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<NewConnection, RelayFault> {
        let began = self.timer.now();
        let patience = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = timeout(patience, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(RelayFault::Connect);
        };
        let way = self.timer.now().since(began);
        // Without this option small requests only wait longer.
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| RelayFault::Connect)?;
        self.opened.fetch_add(1, Relaxed);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                // A broken connection fails its request, which reports the fault.
                _ = connection => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(NewConnection { sender, way })
    }

    fn give_back(
        &self,
        address: SocketAddr,
        sender: RelaySender,
        headers: &HeaderMap,
        idle_timeout: Duration,
    ) {
        if sender.is_closed() || says_close(headers) {
            return;
        }
        let idle_max = stated_idle(headers).unwrap_or(Duration::from_millis(IDLE_DEFAULT_MS));
        let usable = idle_max.saturating_sub(Duration::from_millis(IDLE_MARGIN_MS));
        let usable = usable.min(idle_timeout);
        if usable.is_zero() {
            return;
        }
        let now = self.timer.now();
        let idle = IdleConnection {
            sender,
            idle_since: now,
            usable_until: now + usable,
        };
        lock(&self.links)
            .entry(address)
            .or_default()
            .idle
            .push(idle);
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values.filter_map(|value| value.to_str().ok()).any(|value| {
        let mut words = value.split(',');
        words.any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}

/// The idle time that a target states in `Keep-Alive: timeout=SECONDS`.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| {
        let (key, number) = part.split_once('=')?;
        let is_timeout = key.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| number.trim().parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(seconds))
}
