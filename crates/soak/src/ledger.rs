//! What callers and targets saw, and whether it keeps the promises.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

use fulmarweir_base::lock;
use fulmarweir_route::merge_records;

/// Time after an acknowledged drain in which requests may still arrive.
const DRAIN_MAX: Duration = Duration::from_secs(3);
/// Quiet time before a drain for its bound to hold.
const FAULT_FREE_MIN: Duration = Duration::from_secs(6);

/// A broken promise, in words.
pub type Violation = String;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A search over shards.
    Search,
    /// A request that may be repeated.
    Look,
    /// A request that must not run twice.
    Pay,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct RunSeen {
    /// The caller's id.
    pub request: String,
    /// Service.
    pub service: String,
    /// The target's id.
    pub target: String,
}

/// An answer that a caller got.
#[derive(Clone, Debug)]
pub struct AnswerSeen {
    /// The caller's id of the request.
    pub request: String,
    /// What it asks for.
    pub kind: RequestKind,
    /// Status.
    pub status: u16,
    /// Signatures: of the parts of a search, or the one of the target.
    pub signatures: Vec<String>,
    /// Shards that the answer says are left out.
    pub missing: usize,
    /// Body.
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
struct LedgerState {
    runs: HashMap<String, Vec<RunSeen>>,
    refused: Vec<String>,
    pay_requests: HashSet<String>,
    shard_sets: Vec<Vec<String>>,
    drained: HashMap<String, Instant>,
    last_fault: Option<Instant>,
    violations: Vec<Violation>,
    requests: u64,
    served: u64,
}

/// Everything seen in one run.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<LedgerState>,
}

/// The signature of a target under its answer.
pub(crate) fn signature(service: &str, target: &str, request: &str) -> String {
    format!("{service}.{target}.{request}")
}

/// The records that a shard answers a request with.
#[must_use]
pub fn expected_records(service: &str, request: &str) -> Vec<u8> {
    let mut records = Vec::new();
    for number in 0..4_u8 {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ u64::from(number);
        for byte in service.bytes().chain(request.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        records.extend_from_slice(&hash.to_be_bytes());
        records.extend_from_slice(&(!hash).to_be_bytes());
    }
    records
}

/// Records in a merged answer.
pub(crate) const TOP_K: usize = 6;
/// Least share of the shards in an answer.
pub(crate) const COVERAGE_MIN: f64 = 0.5;

impl Ledger {
    /// Notes a broken promise.
    pub fn record_violation(&self, violation: Violation) {
        lock(&self.state).violations.push(violation);
    }

    /// Notes a set of shards that a submitted configuration names.
    pub fn record_shard_set(&self, mut shards: Vec<String>) {
        shards.sort();
        lock(&self.state).shard_sets.push(shards);
    }

    /// Notes a fault: time-bound promises hold only a while after it.
    pub fn record_fault(&self) {
        lock(&self.state).last_fault = Some(Instant::now());
    }

    /// Notes that a target's word that it leaves was acknowledged.
    pub fn record_drain(&self, target: &str) {
        let mut state = lock(&self.state);
        state.drained.insert(target.to_owned(), Instant::now());
    }

    /// Notes that a target runs a request.
    pub fn record_run(&self, run: RunSeen) {
        let mut state = lock(&self.state);
        if let Some(at) = state.drained.get(&run.target) {
            let is_fault_free = state
                .last_fault
                .is_none_or(|fault| fault + FAULT_FREE_MIN < *at);
            if at.elapsed() > DRAIN_MAX && is_fault_free {
                let late = at.elapsed().as_millis();
                let text = format!(
                    "{} got {} {late} ms after its drain",
                    run.target, run.request
                );
                state.violations.push(text);
            }
        }
        state.runs.entry(run.request.clone()).or_default().push(run);
    }

    /// Whether any target ran a request.
    #[must_use]
    pub fn was_run(&self, request: &str) -> bool {
        lock(&self.state).runs.contains_key(request)
    }

    /// Notes that a request is sent.
    pub fn record_request(&self, request: &str, kind: RequestKind) {
        let mut state = lock(&self.state);
        state.requests += 1;
        if kind == RequestKind::Pay {
            state.pay_requests.insert(request.to_owned());
        }
    }

    /// Checks an answer by itself.
    pub fn check_answer(&self, answer: &AnswerSeen) {
        let fault = match answer.status {
            200 => {
                lock(&self.state).served += 1;
                self.answer_violation(answer)
            }
            429 | 503 => {
                let mut state = lock(&self.state);
                state.refused.push(answer.request.clone());
                None
            }
            404 => Some("a route of every configuration is unknown".to_owned()),
            _ => None,
        };
        if let Some(fault) = fault {
            self.record_violation(format!("{}: {fault}", answer.request));
        }
    }

    fn answer_violation(&self, answer: &AnswerSeen) -> Option<String> {
        let mut services = HashSet::new();
        for signature in &answer.signatures {
            let mut fields = signature.split('.');
            let (service, _target, request) = (fields.next()?, fields.next(), fields.next());
            if request != Some(answer.request.as_str()) {
                return Some(format!("signature {signature} belongs to another request"));
            }
            if !services.insert(service.to_owned()) {
                return Some(format!("two parts of {service}"));
            }
        }
        if answer.kind != RequestKind::Search {
            let service = services.iter().next().map(String::as_str);
            let Some(service) = service else {
                return Some("a success without a signature".to_owned());
            };
            let expected = expected_records(service, &answer.request);
            return (answer.body != expected).then(|| "not the target's body".to_owned());
        }
        self.search_violation(answer, &services)
    }

    fn search_violation(&self, answer: &AnswerSeen, services: &HashSet<String>) -> Option<String> {
        let state = lock(&self.state);
        let matches_answer = |set: &&Vec<String>| {
            set.len() == services.len() + answer.missing
                && services.iter().all(|service| set.contains(service))
        };
        let Some(set) = state.shard_sets.iter().find(matches_answer) else {
            return Some(format!(
                "parts {services:?} and {} more are no set",
                answer.missing
            ));
        };
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let coverage = services.len() as f64 / set.len() as f64;
        if coverage < COVERAGE_MIN {
            return Some(format!("coverage of {coverage} is too low for a success"));
        }
        let parts: Vec<Vec<u8>> = services
            .iter()
            .map(|service| expected_records(service, &answer.request))
            .collect();
        let merged = merge_records(parts.iter().map(Vec::as_slice), TOP_K);
        (merged != answer.body).then(|| "not the greatest records of its parts".to_owned())
    }

    /// Checks runs against answers, once nothing is under way.
    pub fn check_runs(&self) {
        let mut state = lock(&self.state);
        let mut found = Vec::new();
        for request in &state.refused {
            if let Some(runs) = state.runs.get(request) {
                found.push(format!(
                    "{request} was refused as not run, and ran: {runs:?}"
                ));
            }
        }
        for request in &state.pay_requests {
            let runs = state.runs.get(request).map_or(0, Vec::len);
            if runs > 1 {
                found.push(format!("{request} must run once, and ran {runs} times"));
            }
        }
        state.violations.append(&mut found);
    }

    /// Broken promises so far.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        lock(&self.state).violations.clone()
    }

    /// Requests sent and served.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.requests, state.served)
    }
}
