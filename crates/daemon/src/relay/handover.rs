//! Hands groups of shards of a search over to brokers near their targets, and probes brokers.
//!
//! A VM that has lost its links to targets hands all of its requests over in the same way, to any VM
//! that has not.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_route::{
    BrokerEndpoint, GroupOutcome, HandoverOutcome, PlacementRule, RepeatedSubRequest, ShardGroup,
    UnclearSubRequest,
};
use fulmarweir_wire::TrafficClass;
use http::HeaderValue;
use slog::{info, warn};
use tokio::sync::mpsc::UnboundedSender;

use super::{
    broker::LINKS_LOST,
    entry::EntryNode,
    handover_message::{GroupReply, decode_reply, encode_request, reserve_travel_time},
    links::probe_helper,
    routed::RoutedRequest,
    target_notices::apply_broker_notices,
    vm_message::{HandoverReply, HandoverRequest, VmReply, VmRequest},
};

/// Time until a broker that has not replied is first probed, in milliseconds.
///
/// Most searches have ended by then.
const FIRST_PROBE_DELAY_MS: u64 = 40;
/// Pause between two probes during a handover, in milliseconds.
const PROBE_PERIOD_MS: u64 = 150;
/// Time limit of a probe, in milliseconds: a round trip within a region, and some lag.
const PROBE_TIMEOUT_MS: u64 = 100;
/// Probes in a row without a reply after which a broker is given up.
const LOST_AFTER_PROBES: u32 = 4;

/// Most VMs that are asked to take a group, one after the other: in the usual case, and if this VM has
/// lost its links to targets.
const BROKERS_TRIED_MAX: usize = 2;
const HELPERS_TRIED_MAX: usize = 3;
/// Most VMs that are probed at once to find some that help this one.
const HELPER_PROBES_MAX: usize = 8;

/// Extra attempts that were charged here for a broker to send. Dropping them refunds them unless
/// the broker may have got them.
struct ExtraLoan {
    node: Arc<EntryNode>,
    lent_at: MonoTime,
    /// The shards by their index in the route, with their services.
    shards: Vec<(usize, Arc<str>)>,
    is_sent: bool,
}

impl ExtraLoan {
    /// Charges an extra attempt for each shard whose budget allows one.
    fn lend(node: &Arc<EntryNode>, services: &[Arc<str>], sub_requests: &[usize]) -> Self {
        let lent_at = node.timer.now();
        let group = sub_requests
            .iter()
            .map(|index| Arc::clone(&services[*index]));
        let group: Vec<_> = group.collect();
        let lent = lock(&node.selector).lend_extra(&group, lent_at);
        let shard = |index: usize| (sub_requests[index], Arc::clone(&group[index]));
        Self {
            node: Arc::clone(node),
            lent_at,
            shards: lent.into_iter().map(shard).collect(),
            is_sent: false,
        }
    }

    fn sub_requests(&self) -> Vec<usize> {
        self.shards.iter().map(|(index, _)| *index).collect()
    }

    /// Refunds the loans of the shards with the indexes `unused`.
    fn refund(&mut self, unused: &[usize]) {
        let is_unused = |(index, _): &mut (usize, Arc<str>)| unused.contains(index);
        let mut selector = lock(&self.node.selector);
        for (_, service) in self.shards.extract_if(.., is_unused) {
            selector.refund_extra(&service, self.lent_at);
        }
    }
}

impl Drop for ExtraLoan {
    fn drop(&mut self) {
        if !self.is_sent {
            self.refund(&self.sub_requests());
        }
    }
}

/// A group of shards of a search, or another request, and the broker chosen for it.
pub(super) struct Handover {
    /// Whether this VM has lost its links to targets.
    is_for_helper: bool,
    permit: BrokerPermit,
    loan: ExtraLoan,
    pub(super) group: ShardGroup,
    /// Regions in which the request may run.
    placement: PlacementRule,
    /// The caller's id of the request, for logs.
    request_id: HeaderValue,
    request: HandoverRequest,
}

impl Handover {
    /// Returns the address of the broker.
    pub(super) fn broker(&self) -> SocketAddr {
        self.permit.broker
    }
}

/// Shards that a broker had in flight when it replied.
pub(super) struct HandoverRest {
    broker: SocketAddr,
    number: u64,
    /// These shards, and where they may have run.
    pending: Vec<UnclearSubRequest>,
    request_id: HeaderValue,
}

/// What came of a handover, or of a part of it.
pub(super) struct FinishedHandover {
    pub(super) outcome: GroupOutcome,
    pub(super) reply: Option<GroupReply>,
    /// Data centre of the VM that was asked last, if any was.
    pub(super) centre: Option<Arc<str>>,
    pub(super) rest: Option<HandoverRest>,
}

impl FinishedHandover {
    /// A group that no VM has taken.
    pub(super) fn not_taken() -> Self {
        Self::unanswered(Vec::new())
    }

    fn answered(
        answer: HandoverReply,
        is_search: bool,
        broker: SocketAddr,
        request_id: &HeaderValue,
    ) -> Self {
        let number = answer.rest;
        let (outcome, reply) = decode_reply(answer, !is_search);
        let rest = number.map(|number| HandoverRest {
            broker,
            number,
            pending: pending_of(&outcome),
            request_id: request_id.clone(),
        });
        Self {
            outcome,
            reply,
            centre: None,
            rest,
        }
    }

    /// A handover without a reply, whose shards in `unclear` may have run.
    fn unanswered(unclear: Vec<UnclearSubRequest>) -> Self {
        let outcome = GroupOutcome {
            unclear,
            ..GroupOutcome::default()
        };
        Self {
            outcome,
            reply: None,
            centre: None,
            rest: None,
        }
    }
}

/// The result of a call to a broker.
enum BrokerReply {
    Answer(Box<HandoverReply>),
    NotTaken(Arc<str>),
    Lost(RunVerdict),
}

/// Counts a handover as in flight at its broker until dropped, even if it was never sent.
struct BrokerPermit {
    node: Arc<EntryNode>,
    broker: SocketAddr,
    centre: Arc<str>,
    outcome: HandoverOutcome,
}

impl BrokerPermit {
    /// Chooses a broker for a group.
    fn acquire(
        node: &Arc<EntryNode>,
        group: &ShardGroup,
        placement: &PlacementRule,
    ) -> Option<Self> {
        let now = node.timer.now();
        let may_take = |vm: &BrokerEndpoint| node.may_hand_to(placement, vm);
        let broker = lock(&node.brokers).choose(&group.centre, &group.key, may_take, now)?;
        Some(Self::new(node, broker, &group.centre))
    }

    /// Chooses any VM that has links to targets, besides those in `tried`.
    fn acquire_helper(
        node: &Arc<EntryNode>,
        placement: &PlacementRule,
        tried: &[SocketAddr],
    ) -> Option<Self> {
        let now = node.timer.now();
        let locality = |centre: &str| node.locality_of(centre);
        let may_take = |vm: &BrokerEndpoint| node.may_hand_to(placement, vm);
        let chosen = lock(&node.brokers).choose_helper(locality, may_take, tried, now)?;
        Some(Self::new(node, chosen.address, &chosen.centre))
    }

    fn new(node: &Arc<EntryNode>, broker: SocketAddr, centre: &Arc<str>) -> Self {
        Self {
            node: Arc::clone(node),
            broker,
            centre: Arc::clone(centre),
            outcome: HandoverOutcome::Abandoned,
        }
    }
}

impl Drop for BrokerPermit {
    fn drop(&mut self) {
        let now = self.node.timer.now();
        lock(&self.node.brokers).record_handover_end(self.broker, self.outcome, now);
    }
}

/// Chooses brokers for the groups of shards of a search that are handed over.
pub(super) fn plan_handovers(
    node: &Arc<EntryNode>,
    routed: &RoutedRequest,
    services: &[Arc<str>],
) -> Vec<Handover> {
    // After a broker is lost, this VM queries its shards itself, so the request must be idempotent.
    if !routed.rule.idempotent || services.len() < 2 || node.is_stopping() {
        return Vec::new();
    }
    // A request on trial is sent by one VM, to one target at a time.
    let fingerprint = routed.message.fingerprint;
    if lock(&node.selector).is_held_back(fingerprint, node.timer.now()) {
        return Vec::new();
    }
    let placement = &routed.message.placement;
    let version = routed.table.version;
    let groups = node.shard_groups(version, &routed.rule, placement, services);
    let plan = |group: &ShardGroup| {
        let permit = BrokerPermit::acquire(node, group, placement)?;
        Some(plan_group(permit, routed, services, group, &[]))
    };
    groups.iter().filter_map(plan).collect()
}

/// Chooses a VM for a group of a request that this VM cannot send to targets, since it has lost its
/// links. Prefers the brokers of the group, which have open connections to its targets.
pub(super) fn plan_for_helper(
    node: &Arc<EntryNode>,
    routed: &RoutedRequest,
    services: &[Arc<str>],
    group: &ShardGroup,
    repeats: &[RepeatedSubRequest],
) -> Option<Handover> {
    let placement = &routed.message.placement;
    let permit = BrokerPermit::acquire(node, group, placement);
    let permit = permit.or_else(|| BrokerPermit::acquire_helper(node, placement, &[]))?;
    let locality = node.locality_of(&permit.centre);
    let mut handover = plan_group(permit, routed, services, group, repeats);
    handover.is_for_helper = true;
    reserve_travel_time(&mut handover.request, locality);
    Some(handover)
}

fn plan_group(
    permit: BrokerPermit,
    routed: &RoutedRequest,
    services: &[Arc<str>],
    group: &ShardGroup,
    repeats: &[RepeatedSubRequest],
) -> Handover {
    let node = Arc::clone(&permit.node);
    let loan = ExtraLoan::lend(&node, services, &group.sub_requests);
    let lent = loan.sub_requests();
    let sub_requests = &group.sub_requests;
    let request = encode_request(&node, routed, services, sub_requests, &lent, repeats);
    Handover {
        is_for_helper: false,
        permit,
        loan,
        group: group.clone(),
        placement: routed.message.placement.clone(),
        request_id: routed.message.request_id.clone(),
        request,
    }
}

/// Hands a group over to its broker; returns once the broker has replied or is lost. Sends the index
/// of the group to `silent` when the broker has not replied to a probe.
pub(super) async fn hand_over(
    node: Arc<EntryNode>,
    handover: Handover,
    (group_index, silent): (usize, UnboundedSender<usize>),
) -> FinishedHandover {
    let Handover {
        is_for_helper,
        permit,
        mut loan,
        group,
        placement,
        request_id,
        request,
    } = handover;
    let config_version = request.config_version;
    let started_at = node.timer.now();
    loan.is_sent = true;
    let mut call = VmRequest::Search(Box::new(request));
    let (mut broker, mut centre) = (permit.broker, Arc::clone(&permit.centre));
    let is_search = is_search(&call);
    let mut tried = vec![broker];
    let mut reply = send_group(permit, &call, group_index, &silent).await;
    while is_untaken(&reply, is_for_helper)
        && let Some(next) = next_broker(&node, (&group, &placement), is_for_helper, &tried)
    {
        (broker, centre) = (next.broker, Arc::clone(&next.centre));
        tried.push(broker);
        prepare_next(&mut call, node.timer.now().since(started_at));
        reply = send_group(next, &call, group_index, &silent).await;
    }
    if is_for_helper
        && is_untaken(&reply, is_for_helper)
        && let Some(last) = BrokerPermit::acquire_helper(&node, &placement, &[])
    {
        (broker, centre) = (last.broker, Arc::clone(&last.centre));
        prepare_next(&mut call, node.timer.now().since(started_at));
        ask_as_last_resort(&mut call);
        reply = send_group(last, &call, group_index, &silent).await;
    }
    let (reason, verdict) = match reply {
        BrokerReply::Answer(answer) => {
            apply_broker_notices(&node, &request_id, broker, &answer.notices);
            if let Some(entry) = &answer.quarantine {
                node.learn_quarantine(broker, entry);
            }
            let mut finished = FinishedHandover::answered(*answer, is_search, broker, &request_id);
            finished.centre = Some(centre);
            loan.refund(&finished.outcome.unused_loans);
            return finished;
        }
        BrokerReply::NotTaken(reason) => (reason, RunVerdict::NotRun),
        BrokerReply::Lost(verdict) => ("lost".into(), verdict),
    };
    if verdict == RunVerdict::NotRun {
        loan.refund(&loan.sub_requests());
    }
    if node.request_log.acquire_degraded_line(node.timer.now()) {
        info!(node.log, "shards-not-handed-over";
            "request" => request_id.to_str().unwrap_or("unreadable"),
            "broker" => %broker, "shards" => group.sub_requests.len(), "reason" => &*reason,
            "run" => verdict.as_str(), "config_version" => config_version);
    } else {
        node.metrics.log_lines_dropped.inc();
    }
    match verdict {
        RunVerdict::NotRun => FinishedHandover::unanswered(Vec::new()),
        RunVerdict::MayHaveRun | RunVerdict::Ran => {
            let mut finished = FinishedHandover::unanswered(all_unclear(group.sub_requests));
            finished.centre = Some(centre);
            finished
        }
    }
}

/// Waits for the shards that a broker still had in flight when it replied.
pub(super) async fn fetch_rest(
    node: Arc<EntryNode>,
    rest: HandoverRest,
    time_left: Duration,
) -> FinishedHandover {
    let call = VmRequest::Rest(rest.number);
    match call_broker(&node, rest.broker, &call, time_left, || {}).await {
        BrokerReply::Answer(answer) => {
            apply_broker_notices(&node, &rest.request_id, rest.broker, &answer.notices);
            FinishedHandover::answered(*answer, true, rest.broker, &rest.request_id)
        }
        // The broker had sent these shards, whatever became of this call.
        BrokerReply::NotTaken(_) | BrokerReply::Lost(_) => {
            FinishedHandover::unanswered(rest.pending)
        }
    }
}

/// Sends a group to the broker of `permit` and waits for the reply.
async fn send_group(
    mut permit: BrokerPermit,
    call: &VmRequest,
    group_index: usize,
    silent: &UnboundedSender<usize>,
) -> BrokerReply {
    let node = Arc::clone(&permit.node);
    let broker = permit.broker;
    let on_silence = || {
        lock(&node.brokers).record_silence(broker, node.timer.now());
        // The search has its outcome if nobody listens.
        let _ = silent.send(group_index);
    };
    let left_ms = match call {
        VmRequest::Search(request) => request.time_left_ms,
        _ => 0,
    };
    let timeout = Duration::from_millis(left_ms);
    let reply = call_broker(&node, broker, call, timeout, on_silence).await;
    let (outcome, label) = match &reply {
        BrokerReply::Answer(_) => (HandoverOutcome::Answered, "answered"),
        BrokerReply::NotTaken(reason) if **reason == *LINKS_LOST => {
            (HandoverOutcome::Stranded, "not-taken")
        }
        BrokerReply::NotTaken(_) => (HandoverOutcome::NotTaken, "not-taken"),
        BrokerReply::Lost(_) => (HandoverOutcome::Failed, "lost"),
    };
    permit.outcome = outcome;
    node.metrics.count_handover(label);
    reply
}

/// Whether nothing has run, so that another VM may be asked.
fn is_untaken(reply: &BrokerReply, is_for_helper: bool) -> bool {
    match reply {
        BrokerReply::NotTaken(_) => true,
        BrokerReply::Lost(verdict) => is_for_helper && *verdict == RunVerdict::NotRun,
        BrokerReply::Answer(_) => false,
    }
}

/// Returns the next VM that is asked to take a group, if there is one.
fn next_broker(
    node: &Arc<EntryNode>,
    (group, placement): (&ShardGroup, &PlacementRule),
    is_for_helper: bool,
    tried: &[SocketAddr],
) -> Option<BrokerPermit> {
    if is_for_helper {
        let may_ask = tried.len() < HELPERS_TRIED_MAX;
        may_ask.then(|| BrokerPermit::acquire_helper(node, placement, tried))?
    } else {
        let may_ask = tried.len() < BROKERS_TRIED_MAX;
        may_ask.then(|| BrokerPermit::acquire(node, group, placement))?
    }
}

fn is_search(call: &VmRequest) -> bool {
    matches!(call, VmRequest::Search(request) if request.service.is_none())
}

/// Has a request taken unless the helper would refuse one of its own callers, since no VM has room.
fn ask_as_last_resort(call: &mut VmRequest) {
    if let VmRequest::Search(request) = call {
        request.is_last_resort = true;
    }
}

/// Takes the time that has passed off the times of a handover, which goes to another VM.
fn prepare_next(call: &mut VmRequest, passed: Duration) {
    if let VmRequest::Search(request) = call {
        let passed_ms = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        request.answer_in_ms = request.answer_in_ms.saturating_sub(passed_ms);
        request.time_left_ms = request.time_left_ms.saturating_sub(passed_ms);
    }
}

/// Returns the shards of an outcome that another one follows for.
fn pending_of(outcome: &GroupOutcome) -> Vec<UnclearSubRequest> {
    let unclear = outcome.unclear.iter();
    let pending = unclear.filter(|unclear| outcome.pending.contains(&unclear.sub_request));
    pending.cloned().collect()
}

fn all_unclear(sub_requests: Vec<usize>) -> Vec<UnclearSubRequest> {
    let sub_requests = sub_requests.into_iter();
    let unclear = sub_requests.map(|sub_request| UnclearSubRequest {
        sub_request,
        ran: Vec::new(),
    });
    unclear.collect()
}

async fn call_broker(
    node: &EntryNode,
    broker: SocketAddr,
    call: &VmRequest,
    timeout: Duration,
    on_silence: impl Fn(),
) -> BrokerReply {
    let search = node.peers.call(broker, TrafficClass::Query, call, timeout);
    let reply = tokio::select! {
        biased;
        reply = search => reply,
        () = watch_broker(node, broker, on_silence) => return BrokerReply::Lost(RunVerdict::MayHaveRun),
    };
    match reply {
        Ok(VmReply::Search(answer)) => BrokerReply::Answer(answer),
        Ok(VmReply::NotTaken(reason)) => BrokerReply::NotTaken(reason),
        Ok(_) => BrokerReply::NotTaken("not-a-broker".into()),
        Err(error) => BrokerReply::Lost(error.verdict),
    }
}

/// Probes a broker repeatedly. Calls `on_silence` when a probe fails, and returns when too many
/// have failed in a row.
async fn watch_broker(node: &EntryNode, broker: SocketAddr, on_silence: impl Fn()) {
    let mut pause = Duration::from_millis(FIRST_PROBE_DELAY_MS);
    let mut failed = 0;
    loop {
        node.timer.sleep_until(node.timer.now() + pause).await;
        pause = Duration::from_millis(PROBE_PERIOD_MS);
        if probe(node, broker).await.is_some() {
            failed = 0;
            continue;
        }
        failed += 1;
        if failed == 1 {
            info!(node.log, "broker-silent"; "broker" => %broker);
            on_silence();
        }
        if failed >= LOST_AFTER_PROBES {
            warn!(node.log, "broker-lost"; "broker" => %broker);
            return;
        }
    }
}

/// Returns whether a broker accepts handovers, or `None` if it does not reply.
async fn probe(node: &EntryNode, broker: SocketAddr) -> Option<bool> {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let call = node
        .peers
        .call(broker, TrafficClass::Control, &VmRequest::Probe, timeout);
    match call.await {
        Ok(VmReply::Alive(accepts_handovers)) => Some(accepts_handovers),
        _ => None,
    }
}

/// Probes each broker that is not yet usable and is due for a probe.
pub(super) fn probe_brokers(node: &Arc<EntryNode>) {
    let centres = node.broker_centres();
    let are_unusable = lock(&node.selector).links().are_unusable();
    let now = node.timer.now();
    let due = if are_unusable {
        let locality = |centre: &str| node.locality_of(centre);
        lock(&node.brokers).due_helper_probes(HELPER_PROBES_MAX, locality, now)
    } else {
        lock(&node.brokers).due_probes(&centres, now)
    };
    for broker in due {
        let node = Arc::clone(node);
        node.detached_tasks.clone().spawn(async move {
            let answer = if are_unusable {
                probe_helper(&node, broker).await
            } else {
                probe(&node, broker).await
            };
            let now = node.timer.now();
            lock(&node.brokers).record_probe(broker, answer, now);
            if answer == Some(true) {
                info!(node.log, "broker-usable"; "broker" => %broker);
            }
        });
    }
}
