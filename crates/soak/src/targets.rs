//! Stand-in targets, each behind a proxy, that announce themselves and may crash or leave.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use fulmarweir_base::lock;
use fulmarweir_platform::{
    adapter,
    stand_in::{AnnouncementDraft, NOT_RUN, announcement_body, announcement_path},
};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Semaphore, time::sleep};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    http_client::KeptClient,
    ledger::{Ledger, RunSeen, expected_records, signature},
    proxy::LinkProxy,
    tier::Tier,
};

/// Services: the shards of a search, and one for single requests.
pub(crate) const SHARDS: [&str; 5] = ["s0", "s1", "s2", "s3", "s4"];
pub(crate) const DESK: &str = "desk";
pub(crate) const TARGETS_PER_SERVICE: u8 = 2;
const SLOTS: usize = 3;
const QUEUE_MAX: usize = 9;
const ANNOUNCE_MS: u64 = 400;
const WORK_MS: std::ops::Range<u64> = 3..25;
/// Time that a leaving target goes on serving.
const DRAIN_MS: u64 = 5_000;
const RESTART_MS: u64 = 700;

/// One place where targets of a service run, one after the other.
#[derive(Debug)]
pub(crate) struct TargetPlace {
    service: &'static str,
    centre: String,
    number: u8,
    listen: SocketAddr,
    advertised: SocketAddr,
    pub(crate) proxy: LinkProxy,
    incarnation: AtomicU64,
    leaving: AtomicBool,
    /// Ends the present incarnation at once.
    crash: Mutex<CancellationToken>,
}

impl TargetPlace {
    /// Ends the present incarnation without a word; another one follows.
    pub(crate) fn crash(&self) {
        lock(&self.crash).cancel();
    }

    /// Lets the present incarnation announce that it leaves.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, SeqCst);
    }

    fn id(&self) -> String {
        let incarnation = self.incarnation.load(SeqCst);
        format!("{}-{}-{incarnation}", self.service, self.number)
    }
}

/// All targets.
pub(crate) struct TargetPark {
    pub(crate) places: Vec<Arc<TargetPlace>>,
    stop: CancellationToken,
}

impl TargetPark {
    pub(crate) fn start(tier: &Tier, ledger: &Arc<Ledger>, tasks: &TaskTracker) -> Self {
        let stop = CancellationToken::new();
        let mut places = Vec::new();
        for (service, (number, (listen, advertised, proxy))) in
            services().zip(tier.target_links().iter().enumerate().map(|(place, link)| {
                let number = u8::try_from(place).unwrap_or(u8::MAX) % TARGETS_PER_SERVICE;
                (number, link.clone())
            }))
        {
            let place = Arc::new(TargetPlace {
                service,
                centre: format!("centre-{number}"),
                number,
                listen,
                advertised,
                proxy,
                incarnation: AtomicU64::new(0),
                leaving: AtomicBool::new(false),
                crash: Mutex::default(),
            });
            let keepers = tier.keeper_addresses();
            let run = run_place(
                Arc::clone(&place),
                keepers,
                Arc::clone(ledger),
                stop.clone(),
            );
            tasks.spawn(run);
            places.push(place);
        }
        Self { places, stop }
    }

    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }
}

/// The service of each place.
fn services() -> impl Iterator<Item = &'static str> {
    let all = SHARDS.into_iter().chain([DESK]);
    all.flat_map(|service| std::iter::repeat_n(service, TARGETS_PER_SERVICE.into()))
}

/// Number of places.
pub(crate) fn place_count() -> usize {
    services().count()
}

async fn run_place(
    place: Arc<TargetPlace>,
    keepers: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        place.incarnation.fetch_add(1, SeqCst);
        place.leaving.store(false, SeqCst);
        let crash = stop.child_token();
        *lock(&place.crash) = crash.clone();
        let Ok(listener) = TcpListener::bind(place.listen).await else {
            sleep(Duration::from_millis(RESTART_MS)).await;
            continue;
        };
        let id = place.id();
        tokio::select! {
            () = serve(listener, &place, &id, &ledger) => {}
            () = announce(&place, &id, &keepers, &ledger) => {}
            () = crash.cancelled() => {}
        }
        sleep(Duration::from_millis(RESTART_MS)).await;
    }
}

/// Announces until it has left.
async fn announce(place: &TargetPlace, id: &str, keepers: &[SocketAddr], ledger: &Ledger) {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let born_ms = u64::try_from(wall.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    let mut keeper = usize::from(place.number);
    let mut left_at = None;
    for sequence in 1.. {
        let draining = place.leaving.load(SeqCst);
        let body = announcement_body(&AnnouncementDraft {
            service: place.service,
            address: place.advertised,
            centre: &place.centre,
            slots: u32::try_from(SLOTS).unwrap_or(1),
            draining,
            sequence,
            born_ms,
        });
        let taken = call_keeper(keepers[keeper % keepers.len()], Method::PUT, id, body).await;
        if !taken {
            keeper += 1;
        }
        if taken && draining && left_at.is_none() {
            ledger.drained(id);
            left_at = Some(tokio::time::Instant::now());
        }
        if left_at.is_some_and(|at| at.elapsed() >= Duration::from_millis(DRAIN_MS)) {
            call_keeper(
                keepers[keeper % keepers.len()],
                Method::DELETE,
                id,
                Bytes::new(),
            )
            .await;
            return;
        }
        let pause = if taken { ANNOUNCE_MS } else { ANNOUNCE_MS / 4 };
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn call_keeper(keeper: SocketAddr, method: Method, id: &str, body: Bytes) -> bool {
    let request = Request::builder()
        .method(method)
        .uri(announcement_path(id))
        .header("host", "keeper")
        .body(Full::new(body))
        .expect("a plain request");
    let mut client = KeptClient::new(keeper);
    let answer = client.call(request, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// What a target's handler needs.
struct TargetDesk {
    service: &'static str,
    id: String,
    ledger: Arc<Ledger>,
    slots: Semaphore,
    waiting: Semaphore,
}

/// Serves until dropped, which ends every connection.
async fn serve(listener: TcpListener, place: &TargetPlace, id: &str, ledger: &Arc<Ledger>) {
    let desk = Arc::new(TargetDesk {
        service: place.service,
        id: id.to_owned(),
        ledger: Arc::clone(ledger),
        slots: Semaphore::new(SLOTS),
        waiting: Semaphore::new(QUEUE_MAX),
    });
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let desk = Arc::clone(&desk);
        let service = service_fn(move |request| {
            let desk = Arc::clone(&desk);
            async move { Ok::<_, Infallible>(answer(&desk, &request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            let _ = connection.await;
        });
    }
}

async fn answer(desk: &TargetDesk, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let names = adapter().headers;
    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
    let request_id = header(&names.request_id).unwrap_or_default().to_owned();
    let echo = |status: StatusCode, body: Vec<u8>| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            response
                .headers_mut()
                .insert(names.request_id.clone(), value);
        }
        response
    };
    if header(&names.expected_target).is_some_and(|expected| expected != desk.id) {
        return echo(StatusCode::MISDIRECTED_REQUEST, Vec::new());
    }
    let Ok(_place) = desk.waiting.try_acquire() else {
        let mut full = echo(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        full.headers_mut()
            .insert(NOT_RUN, HeaderValue::from_static("1"));
        return full;
    };
    let Ok(_slot) = desk.slots.acquire().await else {
        return echo(StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
    };
    desk.ledger.ran(RunSeen {
        request: request_id.clone(),
        service: desk.service.to_owned(),
        target: desk.id.clone(),
    });
    let work = rand::random_range(WORK_MS);
    sleep(Duration::from_millis(work)).await;
    let mut whole = echo(StatusCode::OK, expected_records(desk.service, &request_id));
    let signed = signature(desk.service, &desk.id, &request_id);
    if let Ok(value) = HeaderValue::from_str(&signed) {
        whole.headers_mut().insert(names.signature.clone(), value);
    }
    whole
}
