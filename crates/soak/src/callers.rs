//! Callers that keep their connections until the process is gone.

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
    http_client::{Answer, CallFault, KeptClient},
    ledger::{AnswerSeen, Ledger, RequestKind},
    tier::{EntryState, Tier},
};

pub(crate) const SEARCH: &str = "search";
pub(crate) const LOOK: &str = "look";
pub(crate) const PAY: &str = "pay";
/// Longest time of a request, by its route and by its caller.
pub(crate) const TIMEOUT_MS: u64 = 1_500;
pub(crate) const CALLERS_PER_ENTRY: u64 = 6;
/// Time beyond it after which an answer is missing.
const ANSWER_SLACK_MS: u64 = 700;
const PAUSE_MS: std::ops::Range<u64> = 5..60;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

fn new_request_id() -> String {
    let number = NEXT_REQUEST.fetch_add(1, SeqCst);
    format!("q{number:08x}")
}

fn build_request(kind: RequestKind, id: &str) -> Request<Full<Bytes>> {
    let names = adapter().headers;
    let (route, method, body) = match kind {
        RequestKind::Search => (SEARCH, Method::GET, Bytes::new()),
        RequestKind::Look => (LOOK, Method::GET, Bytes::new()),
        RequestKind::Pay => (PAY, Method::POST, Bytes::from_static(b"fee")),
    };
    Request::builder()
        .method(method)
        .uri(format!("/{route}/x"))
        .header("host", route)
        .header(names.request_id, id)
        .header(names.time_left_ms, TIMEOUT_MS)
        .body(Full::new(body))
        .expect("a plain request")
}

fn seen(id: String, kind: RequestKind, answer: &Answer) -> AnswerSeen {
    let names = adapter().headers;
    let text = |name| answer.headers.get(name).and_then(|v| v.to_str().ok());
    let name = match kind {
        RequestKind::Search => &names.part_signatures,
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

/// One caller of one entry VM.
pub(crate) struct Caller {
    entry: EntryState,
    client: KeptClient,
    number: u64,
    ledger: Arc<Ledger>,
}

impl Caller {
    pub(crate) fn new(entry: &EntryState, number: u64, ledger: Arc<Ledger>) -> Self {
        Self {
            client: KeptClient::new(entry.callers),
            entry: entry.clone(),
            number,
            ledger,
        }
    }

    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let kind = match self.number % 3 {
            0 => RequestKind::Search,
            1 => RequestKind::Look,
            _ => RequestKind::Pay,
        };
        while !stop.is_cancelled() {
            self.ask(kind).await;
            sleep(Duration::from_millis(rand::random_range(PAUSE_MS))).await;
        }
    }

    async fn ask(&mut self, kind: RequestKind) {
        let id = new_request_id();
        let started = Instant::now();
        self.ledger.asked(&id, kind);
        let patience = Duration::from_millis(TIMEOUT_MS + ANSWER_SLACK_MS);
        match self.client.call(build_request(kind, &id), patience).await {
            Ok(answer) => self.ledger.answered(&seen(id, kind, &answer)),
            Err(CallFault::Connect) => sleep(Duration::from_millis(30)).await,
            Err(CallFault::Broken) => {
                if !self.entry.was_hurt_since(started) && self.ledger.has_run(&id) {
                    let name = &self.entry.name;
                    self.ledger
                        .note(format!("{name} cut {id} off after passing it on"));
                }
            }
            Err(CallFault::Timeout) => {
                if !self.entry.was_hurt_since(started) {
                    let name = &self.entry.name;
                    self.ledger
                        .note(format!("{name} left {id} without an answer"));
                }
            }
        }
    }
}

/// Whether every entry VM answers each kind of request within `patience`.
pub(crate) async fn served_everywhere(tier: &Tier, patience: Duration) -> bool {
    let until = Instant::now() + patience;
    for entry in tier.entry_states() {
        for kind in [RequestKind::Search, RequestKind::Look, RequestKind::Pay] {
            while !is_served(entry.callers, kind).await {
                if Instant::now() > until {
                    return false;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    true
}

async fn is_served(callers: SocketAddr, kind: RequestKind) -> bool {
    let request = build_request(kind, &new_request_id());
    let patience = Duration::from_millis(TIMEOUT_MS);
    let answer = KeptClient::new(callers).call(request, patience).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
