//! Callers that send requests to entry VMs over keep-alive connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use fulmarweir_platform::adapter;
use http::{Method, Request};
use http_body_util::Full;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    http_client::{Answer, CallError, KeepAliveClient},
    ledger::{AnswerSeen, Ledger, RequestKind},
    tier::{EntryVm, Tier},
};

pub(crate) const SEARCH_ROUTE: &str = "search";
pub(crate) const LOOK_ROUTE: &str = "look";
pub(crate) const PAY_ROUTE: &str = "pay";
/// Host and path of the searches on a route that has the name of [`SEARCH_ROUTE`].
pub(crate) const TWIN_HOST: &str = "twin";
/// Timeout of a request, both in its route and in its header.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 1_500;
pub(crate) const CALLERS_PER_ENTRY: u64 = 8;
/// Time beyond [`REQUEST_TIMEOUT_MS`] after which an answer counts as missing.
const ANSWER_SLACK_MS: u64 = 700;
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 5..60;

static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

fn new_request_id() -> String {
    let number = NEXT_REQUEST_NUMBER.fetch_add(1, SeqCst);
    format!("q{number:08x}")
}

fn build_request(kind: RequestKind, id: &str) -> Request<Full<Bytes>> {
    let names = adapter().headers;
    let (route, method, body) = match kind {
        RequestKind::Search => (SEARCH_ROUTE, Method::GET, Bytes::new()),
        RequestKind::Twin => (TWIN_HOST, Method::GET, Bytes::new()),
        RequestKind::Look => (LOOK_ROUTE, Method::GET, Bytes::new()),
        RequestKind::Pay => (PAY_ROUTE, Method::POST, Bytes::from_static(b"fee")),
    };
    Request::builder()
        .method(method)
        .uri(format!("/{route}/x"))
        .header("host", route)
        .header(names.request_id, id)
        .header(names.time_left_ms, REQUEST_TIMEOUT_MS)
        .body(Full::new(body))
        .expect("the request is valid")
}

fn observe_answer(id: String, kind: RequestKind, answer: &Answer) -> AnswerSeen {
    let names = adapter().headers;
    let text = |name| answer.headers.get(name).and_then(|v| v.to_str().ok());
    let name = match kind {
        RequestKind::Search | RequestKind::Twin => &names.part_signatures,
        RequestKind::Look | RequestKind::Pay => &names.signature,
    };
    let signatures = text(name).unwrap_or_default().split(',');
    let missing = text(&names.parts_missing).and_then(|v| v.parse().ok());
    AnswerSeen {
        request: id,
        kind,
        status: answer.status.as_u16(),
        signatures: signatures
            .map(|one| one.trim().to_owned())
            .filter(|one| !one.is_empty())
            .collect(),
        missing: missing.unwrap_or_default(),
        body: answer.body.to_vec(),
    }
}

/// A caller that sends requests of one kind to one entry VM.
pub(crate) struct Caller {
    entry: EntryVm,
    client: KeepAliveClient,
    number: u64,
    ledger: Arc<Ledger>,
}

impl Caller {
    pub(crate) fn new(entry: &EntryVm, number: u64, ledger: Arc<Ledger>) -> Self {
        Self {
            client: KeepAliveClient::new(entry.caller_address),
            entry: entry.clone(),
            number,
            ledger,
        }
    }

    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let kind = match self.number % 4 {
            0 => RequestKind::Search,
            1 => RequestKind::Look,
            2 => RequestKind::Twin,
            _ => RequestKind::Pay,
        };
        while !stop.is_cancelled() {
            self.send_request(kind).await;
            sleep(Duration::from_millis(rand::random_range(REQUEST_PAUSE_MS))).await;
        }
    }

    async fn send_request(&mut self, kind: RequestKind) {
        let id = new_request_id();
        let started = Instant::now();
        self.ledger.record_request(&id, kind);
        let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS + ANSWER_SLACK_MS);
        match self.client.call(build_request(kind, &id), timeout).await {
            Ok(answer) => self.ledger.check_answer(&observe_answer(id, kind, &answer)),
            Err(CallError::Connect) => sleep(Duration::from_millis(30)).await,
            Err(CallError::Broken) => {
                if !self.entry.was_disrupted_since(started) && self.ledger.was_run(&id) {
                    let name = &self.entry.name;
                    self.ledger
                        .record_violation(format!("{name} cut {id} off after passing it on"));
                }
            }
            Err(CallError::Timeout) => {
                if !self.entry.was_disrupted_since(started) {
                    let name = &self.entry.name;
                    self.ledger
                        .record_violation(format!("{name} left {id} without an answer"));
                }
            }
        }
    }
}

/// Whether every entry VM serves each kind of request within `timeout`.
pub(crate) async fn all_entries_serve(tier: &Tier, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    for entry in tier.entry_vms() {
        for kind in [RequestKind::Search, RequestKind::Look, RequestKind::Pay] {
            while !is_served(entry.caller_address, kind).await {
                if Instant::now() > until {
                    return false;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    true
}

async fn is_served(caller_address: SocketAddr, kind: RequestKind) -> bool {
    let request = build_request(kind, &new_request_id());
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let answer = KeepAliveClient::new(caller_address)
        .call(request, timeout)
        .await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
