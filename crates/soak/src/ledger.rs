//! Records what callers, targets and operators observe and checks the tier's guarantees against it.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

use fulmarweir_base::lock;
use fulmarweir_route::merge_records;

/// Time after an acknowledged drain in which the target may still get requests.
const DRAIN_MAX: Duration = Duration::from_secs(3);
/// Time after a target first named its limit in which VMs learn of it, and the span over which its
/// requests are counted then.
const LIMIT_LEARNING: Duration = Duration::from_millis(500);
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Time without faults before a drain for [`DRAIN_MAX`] to be checked.
const FAULT_FREE_MIN: Duration = Duration::from_secs(6);

/// Description of a violated guarantee.
pub type Violation = String;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// A search over shards.
    Search,
    /// A search over other shards, on a route of the same name and another host that only some
    /// configurations contain.
    Twin,
    /// A request to one service that may be repeated.
    Look,
    /// A request to one service that must not run twice.
    Pay,
}

/// A run of a request by a target.
#[derive(Clone, Debug)]
pub struct RunSeen {
    /// The caller's ID of the request.
    pub request: String,
    /// The target's service.
    pub service: String,
    /// The target's ID.
    pub target: String,
}

/// An answer that a caller got.
#[derive(Clone, Debug)]
pub struct AnswerSeen {
    /// The caller's ID of the request.
    pub request: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// HTTP status.
    pub status: u16,
    /// Signatures of the targets that answered: one for each part of a search, else just one.
    pub signatures: Vec<String>,
    /// Number of shards that the answer reports as missing.
    pub missing: usize,
    /// Body of the answer.
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
struct LedgerState {
    runs: HashMap<String, Vec<RunSeen>>,
    refused: Vec<String>,
    kinds: HashMap<String, RequestKind>,
    /// The services that a configuration names for a kind of request.
    service_sets: HashMap<RequestKind, Vec<Vec<String>>>,
    /// Statuses with which targets failed a request after they had run it.
    failures: HashMap<String, HashSet<u16>>,
    drained: HashMap<String, Instant>,
    /// Requests that reached targets while they named a limit, by target.
    limited_arrivals: HashMap<String, Vec<Instant>>,
    last_fault: Option<Instant>,
    violations: Vec<Violation>,
    requests: u64,
    served: u64,
}

/// The observations of one run and the violations found in them.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<LedgerState>,
}

/// Returns the signature that a target adds to its answer to a request.
pub(crate) fn signature(service: &str, target: &str, request: &str) -> String {
    format!("{service}.{target}.{request}")
}

/// Returns the records with which a service must answer a request.
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

/// Maximum number of records in a merged answer.
pub(crate) const TOP_K: usize = 6;
/// Minimum share of the shards that a successful answer must cover.
pub(crate) const COVERAGE_MIN: f64 = 0.5;

impl Ledger {
    /// Records a violated guarantee.
    pub fn record_violation(&self, violation: Violation) {
        lock(&self.state).violations.push(violation);
    }

    /// Records the services of a kind of request in a submitted configuration.
    pub fn record_services(&self, kind: RequestKind, mut services: Vec<String>) {
        services.sort();
        let mut state = lock(&self.state);
        state.service_sets.entry(kind).or_default().push(services);
    }

    /// Records that a target fails a request with this status after it has run it.
    pub fn record_failure(&self, request: &str, status: u16) {
        let mut state = lock(&self.state);
        let statuses = state.failures.entry(request.to_owned()).or_default();
        statuses.insert(status);
    }

    /// Records a fault. Runs after a drain are checked only if the drain came more than
    /// `FAULT_FREE_MIN` after the last fault.
    pub fn record_fault(&self) {
        lock(&self.state).last_fault = Some(Instant::now());
    }

    /// Records that a keeper acknowledged a target's announcement that it drains.
    pub fn record_drain(&self, target: &str) {
        let mut state = lock(&self.state);
        state.drained.insert(target.to_owned(), Instant::now());
    }

    /// Records that a target runs a request, and checks the bound on runs after its drain.
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

    /// Records that a request reaches a target which names a limit in requests per second, and checks
    /// the bound on those of all VMs.
    pub fn record_limited_arrival(&self, target: &str, limit: f64) {
        let mut state = lock(&self.state);
        let arrivals = state.limited_arrivals.entry(target.to_owned()).or_default();
        let now = Instant::now();
        let counted_from = arrivals
            .first()
            .map_or(now, |first| *first + LIMIT_LEARNING);
        arrivals.push(now);
        let is_counted = |at: &&Instant| **at >= counted_from && at.elapsed() < LIMIT_SPAN;
        let count = arrivals.iter().filter(is_counted).count();
        let allowed = 1.5 * limit * LIMIT_SPAN.as_secs_f64() + 5.0;
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        if count as f64 > allowed {
            let text = format!("{target} got {count} requests in {LIMIT_SPAN:?}, limit {limit}");
            state.violations.push(text);
        }
    }

    /// Whether any target ran the request.
    #[must_use]
    pub fn was_run(&self, request: &str) -> bool {
        lock(&self.state).runs.contains_key(request)
    }

    /// Records that a caller sends a request.
    pub fn record_request(&self, request: &str, kind: RequestKind) {
        let mut state = lock(&self.state);
        state.requests += 1;
        state.kinds.insert(request.to_owned(), kind);
    }

    /// Counts an answer and checks it without regard to the recorded runs.
    pub fn check_answer(&self, answer: &AnswerSeen) {
        let violation = match answer.status {
            200 => {
                lock(&self.state).served += 1;
                self.answer_violation(answer)
            }
            408 | 421 | 429 | 503 => {
                let mut state = lock(&self.state);
                state.refused.push(answer.request.clone());
                None
            }
            404 if answer.kind != RequestKind::Twin => {
                Some("a route of every configuration is unknown".to_owned())
            }
            _ => None,
        };
        let violation = violation.or_else(|| self.failure_violation(answer));
        if let Some(violation) = violation {
            self.record_violation(format!("{}: {violation}", answer.request));
        }
    }

    /// Checks that a signed failure has the status of a target's failure.
    fn failure_violation(&self, answer: &AnswerSeen) -> Option<String> {
        if answer.status == 200 || answer.signatures.is_empty() {
            return None;
        }
        let state = lock(&self.state);
        let statuses = state.failures.get(&answer.request);
        let is_known = statuses.is_some_and(|statuses| statuses.contains(&answer.status));
        let status = answer.status;
        (!is_known).then(|| format!("no target has failed with the signed status {status}"))
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
        if !matches!(answer.kind, RequestKind::Search | RequestKind::Twin) {
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
        let mut sets = state.service_sets.get(&answer.kind).into_iter().flatten();
        let Some(set) = sets.find(matches_answer) else {
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

    /// Checks the runs against the answers, once no request is in flight.
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
        for (request, kind) in &state.kinds {
            let runs = state.runs.get(request).map_or(&[][..], Vec::as_slice);
            if *kind == RequestKind::Pay && runs.len() > 1 {
                let count = runs.len();
                found.push(format!("{request} must run once, and ran {count} times"));
            }
            let Some(sets) = state.service_sets.get(kind) else {
                continue;
            };
            let is_foreign = |run: &&RunSeen| !sets.iter().flatten().any(|s| *s == run.service);
            if let Some(run) = runs.iter().find(is_foreign) {
                found.push(format!(
                    "no configuration sends {kind:?} {request} there: {run:?}"
                ));
            }
        }
        state.violations.append(&mut found);
    }

    /// Returns the violations found so far.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        lock(&self.state).violations.clone()
    }

    /// Returns the numbers of requests sent and served.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.requests, state.served)
    }
}
