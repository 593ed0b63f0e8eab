//! The operator, who submits configurations and reads them back from the keepers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use fulmarweir_base::lock;
use fulmarweir_platform::stand_in::{
    CONFIG_PATH, NamedRoute, RouteDraft, document_version, named_document_body,
};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    callers::{LOOK_ROUTE, PAY_ROUTE, REQUEST_TIMEOUT_MS, SEARCH_ROUTE, TWIN_HOST},
    http_client::KeepAliveClient,
    ledger::{COVERAGE_MIN, Ledger, RequestKind, TOP_K},
    targets::{DESK_SERVICE, SHARDS},
};

/// Every so many versions, the search on the host [`TWIN_HOST`] is missing.
const TWIN_ABSENT_EVERY: u64 = 3;
/// Host of a route that has the name of [`PAY_ROUTE`] and may run more than once.
const TWIN_LOOK_HOST: &str = "twin-look";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE_MS: u64 = 150;
const READ_PAUSE_MS: u64 = 300;
/// Time from the acknowledgement of a version until no keeper may return an older one.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct OperatorState {
    documents: HashMap<u64, String>,
    /// Acknowledged versions with the times of their acknowledgements.
    acknowledged: Vec<(u64, Instant)>,
    next_version: u64,
}

/// The operator of one run; clones share their state.
#[derive(Clone)]
pub(crate) struct Operator {
    keepers: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    state: Arc<Mutex<OperatorState>>,
}

/// Returns the shards of a version. They differ from those of the previous version, so that an
/// answer that mixes versions is found.
fn shards_of(version: u64) -> Vec<String> {
    let omitted = usize::try_from(version % 3).unwrap_or_default();
    let included = SHARDS
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != omitted + 2);
    included.map(|(_, shard)| (*shard).to_owned()).collect()
}

/// Returns the shards of the search on the host [`TWIN_HOST`], if a version contains it: most versions do. In
/// each place, the other search has another shard.
fn twin_shards_of(version: u64) -> Option<Vec<String>> {
    let others = shards_of(version);
    let omitted = SHARDS
        .iter()
        .find(|shard| !others.iter().any(|o| o == *shard));
    let shards = omitted
        .into_iter()
        .chain([&DESK_SERVICE, &SHARDS[0], &SHARDS[1]]);
    let is_present = !version.is_multiple_of(TWIN_ABSENT_EVERY);
    is_present.then(|| shards.map(|shard| (*shard).to_owned()).collect())
}

fn document(version: u64) -> String {
    let route = |name: &str, idempotent, services: Vec<String>, top_k| RouteDraft {
        name: name.to_owned(),
        idempotent,
        timeout_ms: REQUEST_TIMEOUT_MS,
        services,
        top_k,
        coverage_min: COVERAGE_MIN,
    };
    let desk = || vec![DESK_SERVICE.to_owned()];
    let mut routes: Vec<NamedRoute> = vec![
        route(SEARCH_ROUTE, true, shards_of(version), Some(TOP_K)).into(),
        route(LOOK_ROUTE, true, desk(), None).into(),
        route(PAY_ROUTE, false, desk(), None).into(),
    ];
    if let Some(shards) = twin_shards_of(version) {
        let twin = route(TWIN_HOST, true, shards, Some(TOP_K));
        routes.push(twin.named(SEARCH_ROUTE));
        // An act that is taken for this one may run twice.
        routes.push(route(TWIN_LOOK_HOST, true, desk(), None).named(PAY_ROUTE));
    }
    let services: Vec<String> = SHARDS
        .iter()
        .chain([&DESK_SERVICE])
        .map(|s| (*s).to_owned())
        .collect();
    named_document_body(version, &routes, &services)
}

impl Operator {
    pub(crate) fn new(keepers: Vec<SocketAddr>, ledger: Arc<Ledger>) -> Self {
        Self {
            keepers,
            ledger,
            state: Arc::default(),
        }
    }

    /// Returns a version that is higher than all before, in uneven steps.
    pub(crate) fn new_version(&self) -> u64 {
        let mut state = lock(&self.state);
        state.next_version += 1 + state.next_version % 3;
        state.next_version
    }

    /// Submits the first version until it is acknowledged or a minute has passed.
    pub(crate) async fn submit_until_acknowledged(&self, first: u64) {
        lock(&self.state).next_version = first;
        for attempt in 0..400_usize {
            if self.submit(first, attempt).await {
                return;
            }
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        self.ledger
            .record_violation("the first configuration is not taken".to_owned());
    }

    /// Submits one version to keeper after keeper until it is acknowledged or given up.
    pub(crate) async fn submit_with_retries(self, version: u64, first_keeper: usize) {
        for attempt in 0..8 {
            if self.submit(version, first_keeper + attempt).await {
                return;
            }
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }

    async fn submit(&self, version: u64, keeper: usize) -> bool {
        let document = document(version);
        // From here on answers may follow this version, even if it is never acknowledged.
        let desk = vec![DESK_SERVICE.to_owned()];
        for (kind, services) in [
            (RequestKind::Search, Some(shards_of(version))),
            (RequestKind::Twin, twin_shards_of(version)),
            (RequestKind::Look, Some(desk.clone())),
            (RequestKind::Pay, Some(desk)),
        ] {
            if let Some(services) = services {
                self.ledger.record_services(kind, services);
            }
        }
        lock(&self.state)
            .documents
            .insert(version, document.clone());
        let keeper = self.keepers[keeper % self.keepers.len()];
        let answer = call(keeper, Method::PUT, document.into()).await;
        let is_acknowledged = answer
            .as_ref()
            .is_some_and(|(status, _)| *status == StatusCode::OK);
        if is_acknowledged {
            lock(&self.state)
                .acknowledged
                .push((version, Instant::now()));
        }
        if answer.is_some_and(|(status, _)| status.is_client_error()) {
            self.ledger
                .record_violation(format!("valid configuration {version} is refused"));
        }
        is_acknowledged
    }

    /// Submits a truncated document, which must not be acknowledged.
    pub(crate) async fn submit_invalid(&self, keeper: usize) {
        let keeper = self.keepers[keeper % self.keepers.len()];
        let mut document = document(self.new_version());
        document.truncate(document.len() / 2);
        let answer = call(keeper, Method::PUT, document.into()).await;
        if answer.is_some_and(|(status, _)| status.is_success()) {
            self.ledger
                .record_violation("an invalid configuration is acknowledged".to_owned());
        }
    }

    /// Reads the configuration from one keeper after the other until stopped.
    pub(crate) async fn poll_keepers(self, stop: CancellationToken) {
        for index in 0.. {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(Duration::from_millis(READ_PAUSE_MS)) => {}
            }
            self.read(index).await;
        }
    }

    /// Reads a keeper's configuration, checks its version against the acknowledged ones and its
    /// content against the submitted one, and returns the version.
    async fn read(&self, keeper: usize) -> Option<u64> {
        let asked_at = Instant::now();
        let keeper = self.keepers[keeper % self.keepers.len()];
        let (status, body) = call(keeper, Method::GET, Bytes::new()).await?;
        if status != StatusCode::OK {
            return None;
        }
        let version = document_version(&body).unwrap_or_default();
        let state = lock(&self.state);
        let required = state
            .acknowledged
            .iter()
            .filter(|(_, at)| *at + PROPAGATION_MAX < asked_at);
        let required = required
            .map(|(version, _)| *version)
            .max()
            .unwrap_or_default();
        let is_identical = state.documents.get(&version).map(String::as_bytes) == Some(&*body);
        drop(state);
        if version < required {
            self.ledger
                .record_violation(format!("{keeper} tells version {version} after {required}"));
        }
        if !is_identical {
            self.ledger
                .record_violation(format!("{keeper} tells other content as version {version}"));
        }
        Some(version)
    }

    /// Reads until every keeper has the newest acknowledged version or a newer one.
    pub(crate) async fn check_final_reads(&self, timeout: Duration) {
        let until = Instant::now() + timeout;
        let newest = lock(&self.state).acknowledged.iter().map(|(v, _)| *v).max();
        for index in 0..self.keepers.len() {
            loop {
                let read_version = self.read(index).await;
                if read_version >= newest {
                    break;
                }
                if Instant::now() > until {
                    let keeper = self.keepers[index];
                    self.ledger.record_violation(format!(
                        "{keeper} tells {read_version:?}, acknowledged {newest:?}"
                    ));
                    break;
                }
                sleep(Duration::from_millis(READ_PAUSE_MS)).await;
            }
        }
    }
}

async fn call(keeper: SocketAddr, method: Method, body: Bytes) -> Option<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(CONFIG_PATH)
        .header("host", "keeper")
        .body(Full::new(body))
        .expect("the request is valid");
    let answer = KeepAliveClient::new(keeper)
        .call(request, CALL_TIMEOUT)
        .await;
    answer.ok().map(|answer| (answer.status, answer.body))
}
