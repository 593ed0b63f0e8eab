//! Handing shards of searches to brokers near their targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{RunVerdict, lock};
use fulmarweir_route::{GroupOutcome, HandoverOutcome, ShardGroup, UnclearSubRequest};
use fulmarweir_wire::TrafficClass;
use http::HeaderValue;
use slog::{info, warn};

use super::{
    entry::EntryNode,
    handover_message::{GroupReply, decode_reply, encode_search},
    routed::RoutedRequest,
    vm_message::{HandoverReply, HandoverRequest, VmReply, VmRequest},
};

/// Time for which a broker may be silent before it is asked whether it is alive, in milliseconds.
///
/// Most searches have ended by then.
const SILENCE_MS: u64 = 40;
/// Pause between two such questions, in milliseconds.
const PROBE_PERIOD_MS: u64 = 150;
/// Time for the answer, in milliseconds: the way within a region and back, and some lag.
const PROBE_PATIENCE_MS: u64 = 100;

/// Shards of a search and the broker that is asked to see to them.
pub(super) struct Handover {
    hold: BrokerHold,
    pub(super) group: ShardGroup,
    /// The caller's id of the request, for logs.
    request_id: HeaderValue,
    search: HandoverRequest,
}

impl Handover {
    /// The broker's address.
    pub(super) fn broker(&self) -> SocketAddr {
        self.hold.broker
    }
}

/// What a broker said, or that it said nothing.
enum BrokerWord {
    Answer(Box<HandoverReply>),
    NotTaken(Arc<str>),
    Lost(RunVerdict),
}

/// Frees the broker's place when the hand-over ends, also one that never began.
struct BrokerHold {
    node: Arc<EntryNode>,
    broker: SocketAddr,
    end: HandoverOutcome,
}

impl Drop for BrokerHold {
    fn drop(&mut self) {
        let now = self.node.timer.now();
        lock(&self.node.brokers).ended(self.broker, self.end, now);
    }
}

/// Chooses brokers for the shards of a search whose targets are in other data centres.
pub(super) fn plan_handovers(
    node: &Arc<EntryNode>,
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
        let hold = BrokerHold {
            node: Arc::clone(node),
            broker,
            end: HandoverOutcome::Abandoned,
        };
        Some(Handover {
            hold,
            group: group.clone(),
            request_id: routed.message.request_id.clone(),
            search: encode_search(node, routed, &group.sub_requests),
        })
    };
    groups.iter().filter_map(plan).collect()
}

/// Asks a broker for its shards, until it has answered or is lost.
pub(super) async fn hand_over(
    node: Arc<EntryNode>,
    handover: Handover,
) -> (GroupOutcome, Option<GroupReply>) {
    let Handover {
        mut hold,
        group,
        request_id,
        search,
    } = handover;
    let broker = hold.broker;
    let config_version = search.config_version;
    let word = ask_broker(&node, broker, search).await;
    let (end, outcome) = match &word {
        BrokerWord::Answer(_) => (HandoverOutcome::Answered, "answered"),
        BrokerWord::NotTaken(_) => (HandoverOutcome::NotTaken, "not-taken"),
        BrokerWord::Lost(_) => (HandoverOutcome::Failed, "lost"),
    };
    hold.end = end;
    drop(hold);
    node.metrics.count_handover(outcome);
    let (reason, verdict) = match word {
        BrokerWord::Answer(answer) => return decode_reply(*answer),
        BrokerWord::NotTaken(reason) => (reason, RunVerdict::NotRun),
        BrokerWord::Lost(verdict) => ("lost".into(), verdict),
    };
    if node.request_log.take_trouble(node.timer.now()) {
        info!(node.log, "shards-not-handed-over";
            "request" => request_id.to_str().unwrap_or("unreadable"),
            "broker" => %broker, "shards" => group.sub_requests.len(), "reason" => &*reason,
            "run" => verdict.as_str(), "config_version" => config_version);
    } else {
        node.metrics.log_lines_dropped.inc();
    }
    let unclear = match verdict {
        RunVerdict::NotRun => Vec::new(),
        RunVerdict::MayHaveRun | RunVerdict::Ran => unknown_targets(group.sub_requests),
    };
    let end = GroupOutcome {
        answered: Vec::new(),
        unclear,
    };
    (end, None)
}

fn unknown_targets(sub_requests: Vec<usize>) -> Vec<UnclearSubRequest> {
    let sub_requests = sub_requests.into_iter();
    let unclear = sub_requests.map(|sub_request| UnclearSubRequest {
        sub_request,
        ran: Vec::new(),
    });
    unclear.collect()
}

async fn ask_broker(node: &EntryNode, broker: SocketAddr, search: HandoverRequest) -> BrokerWord {
    let patience = Duration::from_millis(search.time_left_ms);
    let call = VmRequest::Search(Box::new(search));
    let search = node
        .peers
        .call(broker, TrafficClass::Query, &call, patience);
    let reply = tokio::select! {
        biased;
        reply = search => reply,
        () = watch_broker(node, broker) => return BrokerWord::Lost(RunVerdict::MayHaveRun),
    };
    match reply {
        Ok(VmReply::Search(answer)) => BrokerWord::Answer(answer),
        Ok(VmReply::NotTaken(reason)) => BrokerWord::NotTaken(reason),
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
        .call(broker, TrafficClass::Control, &VmRequest::Probe, patience);
    match call.await {
        Ok(VmReply::Alive(takes_searches)) => Some(takes_searches),
        _ => None,
    }
}

/// Asks those brokers that are not in use whether they are alive.
pub(super) fn probe_brokers(node: &Arc<EntryNode>) {
    let centres = node.broker_centres();
    let due = lock(&node.brokers).due_probes(&centres, node.timer.now());
    for broker in due {
        let node = Arc::clone(node);
        node.detached_tasks.clone().spawn(async move {
            let answer = probe(&node, broker).await;
            let now = node.timer.now();
            lock(&node.brokers).probed(broker, answer, now);
            if answer == Some(true) {
                info!(node.log, "broker-usable"; "broker" => %broker);
            }
        });
    }
}
