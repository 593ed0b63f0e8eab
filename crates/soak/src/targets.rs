//! Stand-in targets, each behind a proxy, that announce themselves and can be crashed or drained.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use fulmarweir_base::lock;
use fulmarweir_platform::{
    adapter,
    stand_in::{
        AnnouncementDraft, HEALTH_PATH, LIMIT, NOT_RUN, announcement_body, announcement_path,
    },
};
use http::{HeaderValue, Method, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Semaphore, time::sleep};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    http_client::KeepAliveClient,
    ledger::{Ledger, RunSeen, expected_records, signature},
    proxy::LinkProxy,
    tier::Tier,
};

/// Services that are the shards of a search.
pub(crate) const SHARDS: [&str; 5] = ["s0", "s1", "s2", "s3", "s4"];
/// Service of the requests that go to one target only.
pub(crate) const DESK_SERVICE: &str = "desk";
pub(crate) const TARGETS_PER_SERVICE: u8 = 2;
const SLOTS: usize = 3;
/// Running and queued requests of a target; further ones are refused.
const ADMITTED_MAX: usize = 9;
const ANNOUNCE_MS: u64 = 400;
const WORK_MS: std::ops::Range<u64> = 3..25;
/// Requests per second that a target in need takes from all VMs, and the part of its life in which it
/// says so.
const LIMIT_PER_S: u32 = 8;
const LIMITED_MS: std::ops::Range<u64> = 1_000..9_000;
/// Every so many incarnations are in need.
const LIMITED_EVERY: u64 = 2;
/// Time for which a draining target keeps serving after its drain was acknowledged.
const DRAIN_MS: u64 = 5_000;
const RESTART_MS: u64 = 700;
/// Share of the requests that a failing target fails.
const FAILED_SHARE: f64 = 0.4;

/// An address at which incarnations of a target run one after the other.
#[derive(Debug)]
pub(crate) struct TargetHost {
    service: &'static str,
    centre: String,
    /// Number of the target within its service, which is also the number of its data centre.
    number: u8,
    listen: SocketAddr,
    advertised: SocketAddr,
    pub(crate) proxy: LinkProxy,
    incarnation: AtomicU64,
    drain_requested: AtomicBool,
    /// Status with which the target fails a part of its requests after it has run them.
    failure: Arc<Mutex<Option<StatusCode>>>,
    /// Cancelling the token ends the current incarnation at once.
    crash: Mutex<CancellationToken>,
}

impl TargetHost {
    /// Ends the current incarnation without an announcement; another one follows.
    pub(crate) fn crash(&self) {
        lock(&self.crash).cancel();
    }

    /// Makes the target fail a part of its requests after it has run them, or no longer.
    pub(crate) fn set_failure(&self, status: Option<StatusCode>) {
        *lock(&self.failure) = status;
    }

    /// Makes the current incarnation announce that it drains, and end later.
    pub(crate) fn request_drain(&self) {
        self.drain_requested.store(true, SeqCst);
    }

    fn id(&self) -> String {
        let incarnation = self.incarnation.load(SeqCst);
        format!("{}-{}-{incarnation}", self.service, self.number)
    }
}

/// All stand-in targets.
pub(crate) struct TargetSet {
    pub(crate) hosts: Vec<Arc<TargetHost>>,
    stop: CancellationToken,
}

impl TargetSet {
    pub(crate) fn start(tier: &Tier, ledger: &Arc<Ledger>, tasks: &TaskTracker) -> Self {
        let stop = CancellationToken::new();
        let mut hosts = Vec::new();
        for (service, (number, (listen, advertised, proxy))) in
            services().zip(tier.target_links().iter().enumerate().map(|(index, link)| {
                let number = u8::try_from(index).unwrap_or(u8::MAX) % TARGETS_PER_SERVICE;
                (number, link.clone())
            }))
        {
            let host = Arc::new(TargetHost {
                service,
                centre: format!("centre-{number}"),
                number,
                listen,
                advertised,
                proxy,
                incarnation: AtomicU64::new(0),
                drain_requested: AtomicBool::new(false),
                failure: Arc::default(),
                crash: Mutex::default(),
            });
            let keepers = tier.keeper_addresses();
            let run = run_host(Arc::clone(&host), keepers, Arc::clone(ledger), stop.clone());
            tasks.spawn(run);
            hosts.push(host);
        }
        Self { hosts, stop }
    }

    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }
}

/// Returns the service of each target host.
fn services() -> impl Iterator<Item = &'static str> {
    let all = SHARDS.into_iter().chain([DESK_SERVICE]);
    all.flat_map(|service| std::iter::repeat_n(service, TARGETS_PER_SERVICE.into()))
}

/// Returns the number of target hosts.
pub(crate) fn host_count() -> usize {
    services().count()
}

async fn run_host(
    host: Arc<TargetHost>,
    keepers: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        host.incarnation.fetch_add(1, SeqCst);
        host.drain_requested.store(false, SeqCst);
        let crash = stop.child_token();
        *lock(&host.crash) = crash.clone();
        let Ok(listener) = TcpListener::bind(host.listen).await else {
            sleep(Duration::from_millis(RESTART_MS)).await;
            continue;
        };
        let id = host.id();
        tokio::select! {
            () = serve(listener, &host, &id, &ledger) => {}
            () = announce(&host, &id, &keepers, &ledger) => {}
            () = crash.cancelled() => {}
        }
        sleep(Duration::from_millis(RESTART_MS)).await;
    }
}

/// Announces an incarnation until it has drained and unregistered.
async fn announce(host: &TargetHost, id: &str, keepers: &[SocketAddr], ledger: &Ledger) {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    let born_ms = u64::try_from(unix_time.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    let mut keeper = usize::from(host.number);
    let mut drain_acknowledged_at = None;
    for sequence in 1.. {
        let draining = host.drain_requested.load(SeqCst);
        let body = announcement_body(&AnnouncementDraft {
            service: host.service,
            address: host.advertised,
            centre: &host.centre,
            slots: u32::try_from(SLOTS).unwrap_or(1),
            draining,
            sequence,
            born_ms,
        });
        let is_acknowledged =
            call_keeper(keepers[keeper % keepers.len()], Method::PUT, id, body).await;
        if !is_acknowledged {
            keeper += 1;
        }
        if is_acknowledged && draining && drain_acknowledged_at.is_none() {
            ledger.record_drain(id);
            drain_acknowledged_at = Some(tokio::time::Instant::now());
        }
        if drain_acknowledged_at.is_some_and(|at| at.elapsed() >= Duration::from_millis(DRAIN_MS)) {
            call_keeper(
                keepers[keeper % keepers.len()],
                Method::DELETE,
                id,
                Bytes::new(),
            )
            .await;
            return;
        }
        let pause = if is_acknowledged {
            ANNOUNCE_MS
        } else {
            ANNOUNCE_MS / 4
        };
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn call_keeper(keeper: SocketAddr, method: Method, id: &str, body: Bytes) -> bool {
    let request = Request::builder()
        .method(method)
        .uri(announcement_path(id))
        .header("host", "keeper")
        .body(Full::new(body))
        .expect("the request is valid");
    let mut client = KeepAliveClient::new(keeper);
    let answer = client.call(request, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// State shared by the requests to one incarnation.
struct TargetHandler {
    service: &'static str,
    id: String,
    ledger: Arc<Ledger>,
    slots: Semaphore,
    admission: Semaphore,
    started: Instant,
    failure: Arc<Mutex<Option<StatusCode>>>,
    /// Whether this incarnation names a limit for a while.
    is_in_need: bool,
}

impl TargetHandler {
    /// Whether the target names its limit now.
    fn is_limited(&self) -> bool {
        let age_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.is_in_need && LIMITED_MS.contains(&age_ms)
    }
}

/// Serves requests until dropped, which closes every connection.
async fn serve(listener: TcpListener, host: &TargetHost, id: &str, ledger: &Arc<Ledger>) {
    let handler = Arc::new(TargetHandler {
        service: host.service,
        id: id.to_owned(),
        ledger: Arc::clone(ledger),
        slots: Semaphore::new(SLOTS),
        admission: Semaphore::new(ADMITTED_MAX),
        started: Instant::now(),
        failure: Arc::clone(&host.failure),
        is_in_need: (host.incarnation.load(SeqCst) + u64::from(host.number))
            .is_multiple_of(LIMITED_EVERY),
    });
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(answer(&handler, &request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            let _ = connection.await;
        });
    }
}

async fn answer(handler: &TargetHandler, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let names = adapter().headers;
    if request.uri().path() == HEALTH_PATH {
        return Response::new(Full::default());
    }
    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
    let request_id = header(&names.request_id).unwrap_or_default().to_owned();
    let is_limited = handler.is_limited();
    let respond = |status: StatusCode, body: Vec<u8>| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        if is_limited {
            let headers = response.headers_mut();
            headers.insert(LIMIT, HeaderValue::from(LIMIT_PER_S));
        }
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            response
                .headers_mut()
                .insert(names.request_id.clone(), value);
        }
        response
    };
    if header(&names.expected_target).is_some_and(|expected| expected != handler.id) {
        return respond(StatusCode::MISDIRECTED_REQUEST, Vec::new());
    }
    if is_limited {
        let limit = f64::from(LIMIT_PER_S);
        handler.ledger.record_limited_arrival(&handler.id, limit);
    }
    let Ok(_permit) = handler.admission.try_acquire() else {
        let mut refusal = respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        refusal
            .headers_mut()
            .insert(NOT_RUN, HeaderValue::from_static("1"));
        return refusal;
    };
    let Ok(_slot) = handler.slots.acquire().await else {
        return respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
    };
    handler.ledger.record_run(RunSeen {
        request: request_id.clone(),
        service: handler.service.to_owned(),
        target: handler.id.clone(),
    });
    let work = rand::random_range(WORK_MS);
    sleep(Duration::from_millis(work)).await;
    let failure = *lock(&handler.failure);
    let failure = failure.filter(|_| rand::random_bool(FAILED_SHARE));
    let mut response = if let Some(status) = failure {
        handler.ledger.record_failure(&request_id, status.as_u16());
        respond(status, Vec::new())
    } else {
        let records = expected_records(handler.service, &request_id);
        respond(StatusCode::OK, records)
    };
    let headers = response.headers_mut();
    if failure.is_some() {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    }
    let signed = signature(handler.service, &handler.id, &request_id);
    if let Ok(value) = HeaderValue::from_str(&signed) {
        headers.insert(names.signature.clone(), value);
    }
    response
}
