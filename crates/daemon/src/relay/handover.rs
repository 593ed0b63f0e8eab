//! Handing shards of searches to brokers near their targets, and asking shards for other VMs.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{RunVerdict, lock};
use fulmarweir_conf::{RouteDestination, RouteRule};
use fulmarweir_route::{AnswerPart, GroupEnd, HandoverEnd, RelayEnd, ShardGroup, UnclearLane};
use fulmarweir_wire::TrafficClass;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use slog::{info, warn};

use super::{
    answer::merge_parts,
    carrier::{RelayCarrier, RelayMessage, RelayResult},
    entry::EntryNode,
    peer::{HandedAnswer, HandedSearch, RelayAnswer, RelayCall},
    request_account::{LineContext, OtherVm, RequestTimes, log_request},
    routed::{RoutedRequest, relay_ask},
};

/// Time for which a broker may be silent before it is asked whether it is alive, in milliseconds.
///
/// Most searches have ended by then.
const SILENCE_MS: u64 = 40;
/// Pause between two such questions, in milliseconds.
const PROBE_PERIOD_MS: u64 = 150;
/// Time for the answer, in milliseconds: the way within a region and back, and some lag.
const PROBE_PATIENCE_MS: u64 = 100;
/// Time kept for the way back from a broker and for merging, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 8;

/// Shards of a search and the broker that is asked to see to them.
pub(super) struct Handover {
    pub(super) broker: SocketAddr,
    pub(super) group: ShardGroup,
    /// The caller's id of the request, for logs.
    request_id: HeaderValue,
    search: HandedSearch,
}

/// What a broker brought.
pub(super) struct GroupReply {
    pub(super) signatures: Vec<Vec<u8>>,
    pub(super) records: Vec<u8>,
}

/// What a broker said, or that it said nothing.
enum BrokerWord {
    Answer(Box<HandedAnswer>),
    NotTaken(Arc<str>),
    Lost(RunVerdict),
}

/// Frees the broker's place when the hand-over ends, also by a caller that leaves.
struct BrokerHold<'a> {
    node: &'a EntryNode,
    broker: SocketAddr,
    end: HandoverEnd,
}

impl Drop for BrokerHold<'_> {
    fn drop(&mut self) {
        let now = self.node.timer.now();
        lock(&self.node.brokers).ended(self.broker, self.end, now);
    }
}

/// Chooses brokers for the shards of a search whose targets are in other data centres.
pub(super) fn plan_handovers(
    node: &EntryNode,
    routed: &RoutedRequest,
    services: &[Arc<str>],
) -> Vec<Handover> {
    // Only what may run again can be asked from here after a broker was lost.
    if !routed.rule.repeatable || services.len() < 2 || node.is_stopping() {
        return Vec::new();
    }
    let groups = node.shard_groups(&routed.rule.name, services);
    let now = node.timer.now();
    let plan = |group: &ShardGroup| {
        let broker = lock(&node.brokers).choose(&group.centre, now)?;
        Some(Handover {
            broker,
            group: group.clone(),
            request_id: routed.message.request_id.clone(),
            search: write_search(node, routed, &group.lanes),
        })
    };
    groups.iter().filter_map(plan).collect()
}

/// Asks a broker for its shards, until it has answered or is lost.
pub(super) async fn hand_over(
    node: Arc<EntryNode>,
    handover: Handover,
) -> (GroupEnd, Option<GroupReply>) {
    let Handover {
        broker,
        group,
        request_id,
        search,
    } = handover;
    let config_version = search.config_version;
    let mut hold = BrokerHold {
        node: &node,
        broker,
        end: HandoverEnd::Abandoned,
    };
    let word = ask_broker(&node, broker, search).await;
    let (end, outcome) = match &word {
        BrokerWord::Answer(_) => (HandoverEnd::Answered, "answered"),
        BrokerWord::NotTaken(_) => (HandoverEnd::NotTaken, "not-taken"),
        BrokerWord::Lost(_) => (HandoverEnd::Failed, "lost"),
    };
    hold.end = end;
    drop(hold);
    node.metrics.count_handover(outcome);
    let (reason, verdict) = match word {
        BrokerWord::Answer(answer) => return read_answer(*answer),
        BrokerWord::NotTaken(reason) => (reason, RunVerdict::NotRun),
        BrokerWord::Lost(verdict) => ("lost".into(), verdict),
    };
    if node.requests.take_trouble(node.timer.now()) {
        info!(node.log, "shards-not-handed-over";
            "request" => request_id.to_str().unwrap_or("unreadable"),
            "broker" => %broker, "shards" => group.lanes.len(), "reason" => &*reason,
            "run" => verdict.as_str(), "config_version" => config_version);
    } else {
        node.metrics.log_lines_dropped.inc();
    }
    let unclear = match verdict {
        RunVerdict::NotRun => Vec::new(),
        RunVerdict::MayHaveRun | RunVerdict::Ran => unknown_targets(group.lanes),
    };
    let end = GroupEnd {
        answered: Vec::new(),
        unclear,
    };
    (end, None)
}

fn unknown_targets(lanes: Vec<usize>) -> Vec<UnclearLane> {
    let lanes = lanes.into_iter();
    let unclear = lanes.map(|lane| UnclearLane {
        lane,
        ran: Vec::new(),
    });
    unclear.collect()
}

async fn ask_broker(node: &EntryNode, broker: SocketAddr, search: HandedSearch) -> BrokerWord {
    let patience = Duration::from_millis(search.time_left_ms);
    let call = RelayCall::Search(Box::new(search));
    let search = node
        .peers
        .call(broker, TrafficClass::Query, &call, patience);
    let reply = tokio::select! {
        biased;
        reply = search => reply,
        () = watch_broker(node, broker) => return BrokerWord::Lost(RunVerdict::MayHaveRun),
    };
    match reply {
        Ok(RelayAnswer::Search(answer)) => BrokerWord::Answer(answer),
        Ok(RelayAnswer::NotTaken(reason)) => BrokerWord::NotTaken(reason),
        Ok(_) => BrokerWord::NotTaken("not-a-broker".into()),
        Err(error) => BrokerWord::Lost(error.verdict),
    }
}

/// Returns once a broker that has been silent does not answer a probe either.
async fn watch_broker(node: &EntryNode, broker: SocketAddr) {
    let mut pause = Duration::from_millis(SILENCE_MS);
    loop {
        node.timer.sleep_until(node.timer.now() + pause).await;
        if probe(node, broker).await.is_none() {
            warn!(node.log, "broker-lost"; "broker" => %broker);
            return;
        }
        pause = Duration::from_millis(PROBE_PERIOD_MS);
    }
}

/// Whether a broker takes searches; `None` if it does not answer.
async fn probe(node: &EntryNode, broker: SocketAddr) -> Option<bool> {
    let patience = Duration::from_millis(PROBE_PATIENCE_MS);
    let call = node
        .peers
        .call(broker, TrafficClass::Control, &RelayCall::Probe, patience);
    match call.await {
        Ok(RelayAnswer::Alive(takes_searches)) => Some(takes_searches),
        _ => None,
    }
}

/// Asks those brokers that are not in use whether they are alive.
pub(super) fn probe_brokers(node: &Arc<EntryNode>) {
    let centres = node.broker_centres();
    let due = lock(&node.brokers).due_probes(&centres, node.timer.now());
    for broker in due {
        let node = Arc::clone(node);
        node.tasks.clone().spawn(async move {
            let answer = probe(&node, broker).await;
            let now = node.timer.now();
            lock(&node.brokers).probed(broker, answer, now);
            if answer == Some(true) {
                info!(node.log, "broker-usable"; "broker" => %broker);
            }
        });
    }
}

fn write_search(node: &EntryNode, routed: &RoutedRequest, lanes: &[usize]) -> HandedSearch {
    let now = node.timer.now();
    let message = &routed.message;
    let millis = |left: Duration| u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let margin = Duration::from_millis(ANSWER_MARGIN_MS);
    let answer_in = routed.times.soft_deadline.since(now).saturating_sub(margin);
    HandedSearch {
        origin: Arc::clone(&node.settings.name),
        config_version: routed.table.version,
        route: Arc::clone(&routed.rule.name),
        lanes: write_places(lanes),
        method: message.method.as_str().to_owned(),
        uri: message.uri.to_string(),
        headers: write_headers(&message.headers),
        body: message.body.to_vec(),
        answer_in_ms: millis(answer_in),
        time_left_ms: millis(routed.times.deadline.since(now)),
    }
}

/// No route has more shards than this type can count: the document's limit is far below.
fn write_places(places: &[usize]) -> Vec<u16> {
    let places = places.iter().map(|place| u16::try_from(*place));
    places.filter_map(std::result::Result::ok).collect()
}

fn read_places(places: &[u16]) -> Vec<usize> {
    places.iter().map(|place| usize::from(*place)).collect()
}

fn write_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(pair).collect()
}

fn read_headers(pairs: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

fn read_answer(answer: HandedAnswer) -> (GroupEnd, Option<GroupReply>) {
    let unclear = answer.unclear.into_iter();
    let unclear = unclear.map(|(lane, ran)| UnclearLane {
        lane: usize::from(lane),
        ran,
    });
    let end = GroupEnd {
        answered: read_places(&answer.answered),
        unclear: unclear.collect(),
    };
    let reply = GroupReply {
        signatures: answer.signatures,
        records: answer.records,
    };
    (end, Some(reply))
}

/// Asks shards for another VM, or says why it does not.
pub(super) async fn answer_handed(node: Arc<EntryNode>, search: HandedSearch) -> RelayAnswer {
    let routed = match take_search(&node, &search) {
        Ok(routed) => routed,
        Err(reason) => {
            node.metrics.count_handover("refused-for-others");
            return RelayAnswer::NotTaken(reason.into());
        }
    };
    let RouteDestination::Gather(gather) = &routed.rule.destination else {
        return RelayAnswer::NotTaken("no-search".into());
    };
    let places = read_places(&search.lanes);
    if places.iter().any(|place| *place >= gather.shards.len()) {
        return RelayAnswer::NotTaken("unreadable".into());
    }
    let _open = node.open_request();
    let mut ask = relay_ask(&node, &routed.rule, routed.times);
    ask.services = places
        .iter()
        .map(|place| Arc::clone(&gather.shards[*place]))
        .collect();
    ask.is_part = true;
    // What is missing then, the asker may ask for itself.
    ask.deadline = ask.soft_deadline;
    let services = ask.services.clone();
    let message = Arc::clone(&routed.message);
    let (carrier, actions) = RelayCarrier::start(Arc::clone(&node), message, ask, Vec::new());
    let result = carrier.finish(actions).await;
    log_handed(&node, &routed, &search.origin, &services, &result);
    let answer = write_result(&node, &result, &search.lanes, gather.top);
    RelayAnswer::Search(Box::new(answer))
}

fn log_handed(
    node: &EntryNode,
    routed: &RoutedRequest,
    origin: &str,
    services: &[Arc<str>],
    result: &RelayResult,
) {
    let (outcome, status) = match &result.end {
        RelayEnd::Answered(_) if result.stats.missing == 0 => ("whole", StatusCode::OK),
        RelayEnd::Answered(_) => ("partial", StatusCode::OK),
        RelayEnd::PassOn(_) => ("target-failure", StatusCode::BAD_GATEWAY),
        RelayEnd::Refused(refusal) => (refusal.reason.as_str(), StatusCode::BAD_GATEWAY),
    };
    let context = LineContext {
        table: &routed.table,
        rule: &routed.rule,
        request_id: &routed.message.request_id,
        times: routed.times,
        lanes: services.len(),
        services,
        other_vm: OtherVm::From(origin),
    };
    log_request(node, &context, outcome, status, &result.stats);
}

fn write_result(node: &EntryNode, result: &RelayResult, lanes: &[u16], top: usize) -> HandedAnswer {
    let parts: &[Option<AnswerPart>] = match &result.end {
        RelayEnd::Answered(parts) => parts,
        RelayEnd::PassOn(_) | RelayEnd::Refused(_) => &[],
    };
    let answered = lanes.iter().zip(parts).filter(|(_, part)| part.is_some());
    let unclear = result.unclear.iter();
    let unclear = unclear.map(|unclear| (lanes[unclear.lane], unclear.ran.clone()));
    let merged = merge_parts(node, parts, result, top);
    HandedAnswer {
        answered: answered.map(|(lane, _)| *lane).collect(),
        unclear: unclear.collect(),
        signatures: merged.signatures,
        records: merged.records,
    }
}

fn take_search(
    node: &Arc<EntryNode>,
    search: &HandedSearch,
) -> Result<RoutedRequest, &'static str> {
    if node.is_stopping() {
        return Err("stopping");
    }
    let table = node.table().ok_or("no-config")?;
    // An answer by another version could be older than what this caller has seen.
    if table.version != search.config_version {
        return Err("other-config-version");
    }
    let rule = table
        .routes()
        .find(|rule| rule.name == search.route)
        .cloned()
        .ok_or("no-route")?;
    let open = node.open.load(Relaxed);
    if lock(&node.lag).refuse_for(rule.rank, open).is_some() {
        return Err("vm-overloaded");
    }
    let (message, times) = read_search(node, search, &rule).ok_or("unreadable")?;
    Ok(RoutedRequest {
        table,
        rule,
        message: Arc::new(message),
        times,
    })
}

fn read_search(
    node: &EntryNode,
    search: &HandedSearch,
    rule: &RouteRule,
) -> Option<(RelayMessage, RequestTimes)> {
    let now = node.timer.now();
    let headers = read_headers(&search.headers)?;
    let request_id = headers.get(&node.dialect.headers.request_id)?.clone();
    let deadline = now + Duration::from_millis(search.time_left_ms);
    let message = RelayMessage {
        method: Method::from_bytes(search.method.as_bytes()).ok()?,
        uri: search.uri.parse().ok()?,
        headers,
        body: Bytes::copy_from_slice(&search.body),
        request_id,
        route: Arc::clone(&rule.name),
        repeatable: rule.repeatable,
        deadline,
    };
    let times = RequestTimes {
        arrived_at: now,
        soft_deadline: now + Duration::from_millis(search.answer_in_ms),
        deadline,
        objective: rule.objective,
    };
    Some((message, times))
}
