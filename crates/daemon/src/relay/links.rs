//! Finds out whether this VM has lost its links to targets, and which VMs can help it then.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_base::lock;
use fulmarweir_pool::{AddressProbe, RequestProbe};
use fulmarweir_route::{
    BrokerEndpoint, LinkChange, LinkExamination, LinkState, LinkSuspicion, LinkTarget, LinkTask,
};
use fulmarweir_wire::TrafficClass;
use futures::future::{join, join_all};
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use rand::seq::SliceRandom as _;
use slog::{info, warn};

use super::{
    entry::EntryNode,
    handover::probe_brokers,
    vm_message::{EntryContact, TargetProbe, VmReply, VmRequest},
};

/// Other VMs that are asked to probe targets: in this data centre, and in others.
const NEAR_WITNESSES: usize = 2;
const OTHER_WITNESSES: usize = 2;
/// Time limit of a call to a witness, in milliseconds: its probes and a round trip between regions.
const WITNESS_TIMEOUT_MS: u64 = 400;
/// Most targets that this VM probes for another one at once.
const PROBES_FOR_OTHER_MAX: usize = 16;
/// Targets that a VM must reach one of to help this one.
const HELPER_TARGETS: usize = 2;
/// Shortest time between two calls for the names of other VMs, in milliseconds.
const HELPERS_PERIOD_MS: u64 = 1_000;
/// Time limit of such a call, in milliseconds: a round trip between regions, and some lag.
const HELPERS_TIMEOUT_MS: u64 = 200;
/// Keepers that are asked for the names of other VMs, one after the other.
const KEEPERS_ASKED_MAX: usize = 2;

/// Starts what is due to find out about the links.
pub(super) fn check_links(node: &Arc<EntryNode>) {
    let now = node.timer.now();
    let Some(task) = lock(&node.selector).next_link_task(now) else {
        return;
    };
    let task_node = Arc::clone(node);
    node.detached_tasks.spawn(async move {
        match task {
            LinkTask::Examine(suspicion) => examine(&task_node, suspicion).await,
            LinkTask::ProbeReturn {
                wanted,
                with_request,
            } => probe_return(&task_node, wanted, with_request).await,
        }
    });
}

/// Probes targets of all data centres from here, and from other VMs if this one reaches none.
async fn examine(node: &Arc<EntryNode>, suspicion: LinkSuspicion) {
    let sample = sample(node, suspicion.wanted);
    let with_request = suspicion.with_request;
    let own_probes = probe_all(node, &sample, with_request);
    let (own, mut others) = if with_request {
        let witnesses = ask_witnesses(node, &sample, with_request);
        join(own_probes, witnesses).await
    } else {
        (own_probes.await, Witnesses::default())
    };
    let connected = count_at_least(&own, TargetProbe::Connected);
    if connected == 0 && !with_request {
        others = ask_witnesses(node, &sample, with_request).await;
    }
    let found = LinkExamination {
        probed: sample.len(),
        connected,
        replied: count_at_least(&own, TargetProbe::Replied),
        connected_by_others: count_at_least(&others.best, TargetProbe::Connected),
        replied_by_others: count_at_least(&others.best, TargetProbe::Replied),
        witnesses: others.answered,
    };
    let now = node.timer.now();
    let (change, before) = {
        let mut selector = lock(&node.selector);
        let before = selector.links().state();
        (selector.record_examination(found, now), before)
    };
    // In a state that lasts, only what changes is worth a line.
    if change.is_some() || before != LinkState::TargetsDown {
        log_examination(node, suspicion, found, change);
    }
    node.metrics.count_link_examination(change);
    if let Some(change) = change {
        apply_change(node, change, &others);
    }
}

fn log_examination(
    node: &EntryNode,
    suspicion: LinkSuspicion,
    found: LinkExamination,
    change: Option<LinkChange>,
) {
    let now = node.timer.now();
    let state = lock(&node.selector).links().state();
    info!(node.log, "target-links-examined"; "state" => state.as_str(),
        "silent" => suspicion.silent, "unconnected" => suspicion.unconnected,
        "silence_ms" => suspicion.silence.as_millis(), "with_request" => suspicion.with_request,
        "probed" => found.probed, "connected" => found.connected, "replied" => found.replied,
        "connected_by_others" => found.connected_by_others,
        "replied_by_others" => found.replied_by_others, "witnesses" => found.witnesses,
        "since_ms" => change.map_or(0, |change| now.since(change.since).as_millis()));
}

/// Acts on a new state of the links, and logs it.
fn apply_change(node: &Arc<EntryNode>, change: LinkChange, others: &Witnesses) {
    let lasted_ms = node.timer.now().since(change.since).as_millis();
    match change.after {
        LinkState::Lost | LinkState::TargetsDown => {
            warn!(node.log, "target-links-lost"; "state" => change.after.as_str(),
                "before" => change.before.as_str(), "since_ms" => lasted_ms,
                "config_version" => node.config_version().unwrap_or_default());
            let now = node.timer.now();
            lock(&node.brokers).require_new_probes(&others.reaching, now);
            node.link_losses.send_modify(|count| *count += 1);
            probe_brokers(node);
        }
        LinkState::Up if matches!(change.before, LinkState::Lost | LinkState::TargetsDown) => {
            info!(node.log, "target-links-regained"; "before" => change.before.as_str(),
                "lost_ms" => lasted_ms);
        }
        LinkState::Up | LinkState::Suspected => {}
    }
}

/// Probes some targets to find out whether the links are back, and keeps the list of helpers fresh.
async fn probe_return(node: &Arc<EntryNode>, wanted: usize, with_request: bool) {
    let sample = sample(node, wanted);
    let probes = probe_all(node, &sample, with_request);
    let (probes, ()) = join(probes, learn_helpers(node, true)).await;
    let reached = count_at_least(&probes, needed_probe(with_request));
    let now = node.timer.now();
    let change = lock(&node.selector).record_return_probe(sample.len(), reached, now);
    if let Some(change) = change {
        node.metrics.count_link_examination(Some(change));
        apply_change(node, change, &Witnesses::default());
    }
}

/// Returns the result of a probe that shows that there is a link.
const fn needed_probe(with_request: bool) -> TargetProbe {
    if with_request {
        TargetProbe::Replied
    } else {
        TargetProbe::Connected
    }
}

/// Returns whether another VM reaches targets, or `None` if it does not answer.
pub(super) async fn probe_helper(node: &EntryNode, vm: SocketAddr) -> Option<bool> {
    let with_request = lock(&node.selector).links().needs_reply();
    let sample = sample(node, HELPER_TARGETS);
    let addresses = sample.into_iter().map(|target| target.address).collect();
    let call = VmRequest::ProbeTargets(addresses, with_request);
    let timeout = Duration::from_millis(WITNESS_TIMEOUT_MS);
    let reply = node.peers.call(vm, TrafficClass::Control, &call, timeout);
    match reply.await {
        Ok(VmReply::Probed(probes)) => {
            Some(count_at_least(&probes, needed_probe(with_request)) > 0)
        }
        Ok(_) => Some(false),
        Err(_) => None,
    }
}

fn sample(node: &EntryNode, count: usize) -> Vec<LinkTarget> {
    let now = node.timer.now();
    lock(&node.selector).link_sample(count, rand::random(), now)
}

fn count_at_least(probes: &[TargetProbe], least: TargetProbe) -> usize {
    probes.iter().filter(|probe| **probe >= least).count()
}

async fn probe_all(
    node: &EntryNode,
    targets: &[LinkTarget],
    with_request: bool,
) -> Vec<TargetProbe> {
    join_all(
        targets
            .iter()
            .map(|target| probe(node, target, with_request)),
    )
    .await
}

async fn probe(node: &EntryNode, target: &LinkTarget, with_request: bool) -> TargetProbe {
    if !with_request {
        // A target that closes connections at once is at its limit, or it is not the target that does.
        return match node.pool.probe(target.address).await {
            AddressProbe::Listening => TargetProbe::Connected,
            AddressProbe::Closing | AddressProbe::Refusing | AddressProbe::Silent => {
                TargetProbe::Unreached
            }
        };
    }
    let Some(request) = health_request(node, target) else {
        return TargetProbe::Unreached;
    };
    match node.pool.probe_with_request(target.address, request).await {
        RequestProbe::Unreached => TargetProbe::Unreached,
        RequestProbe::Connected => TargetProbe::Connected,
        RequestProbe::Replied => {
            lock(&node.selector).record_health_reply(target.address);
            TargetProbe::Replied
        }
    }
}

/// Returns a request that any target replies to, whatever it serves.
pub(super) fn health_request(
    node: &EntryNode,
    target: &LinkTarget,
) -> Option<Request<Full<Bytes>>> {
    let table = node.table()?;
    let path = table.health_path(&target.service)?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(request)
}

/// Probes targets for another VM, which reaches none.
pub(super) async fn probe_for_other(
    node: &EntryNode,
    targets: &[SocketAddr],
    with_request: bool,
) -> VmReply {
    // What this VM does not reach either would tell nothing.
    let links = lock(&node.selector).links().state();
    if node.is_stopping() || links != LinkState::Up {
        return VmReply::NotTaken("stopping-or-doubtful".into());
    }
    let targets = targets.iter().take(PROBES_FOR_OTHER_MAX);
    let probes = targets.map(async |address| {
        let known = lock(&node.selector).link_target_at(*address, node.timer.now());
        match known {
            Some(target) => probe(node, &target, with_request).await,
            None => TargetProbe::Unreached,
        }
    });
    VmReply::Probed(join_all(probes).await)
}

/// What other VMs have found.
#[derive(Default)]
struct Witnesses {
    /// The VMs that have probed.
    answered: usize,
    /// Those that have reached a target.
    reaching: Vec<SocketAddr>,
    /// The best result for each target.
    best: Vec<TargetProbe>,
}

/// Has other VMs probe targets.
async fn ask_witnesses(
    node: &Arc<EntryNode>,
    targets: &[LinkTarget],
    with_request: bool,
) -> Witnesses {
    learn_helpers(node, false).await;
    let addresses = targets.iter().map(|target| target.address).collect();
    let call = VmRequest::ProbeTargets(addresses, with_request);
    let timeout = Duration::from_millis(WITNESS_TIMEOUT_MS);
    let ask = async |vm: SocketAddr| {
        let reply = node.peers.call(vm, TrafficClass::Control, &call, timeout);
        match reply.await {
            Ok(VmReply::Probed(probes)) if probes.len() == targets.len() => Some((vm, probes)),
            _ => None,
        }
    };
    let replies = join_all(choose_witnesses(node).into_iter().map(ask)).await;
    let mut witnesses = Witnesses {
        answered: 0,
        reaching: Vec::new(),
        best: vec![TargetProbe::Unreached; targets.len()],
    };
    for (vm, probes) in replies.into_iter().flatten() {
        witnesses.answered += 1;
        let needed = needed_probe(with_request);
        if count_at_least(&probes, needed) > 0 {
            witnesses.reaching.push(vm);
        }
        for (best, probe) in witnesses.best.iter_mut().zip(probes) {
            *best = (*best).max(probe);
        }
    }
    witnesses
}

/// Returns some VMs at random, of this data centre and of others.
fn choose_witnesses(node: &EntryNode) -> Vec<SocketAddr> {
    let mut known: Vec<BrokerEndpoint> = lock(&node.brokers).endpoints().cloned().collect();
    known.shuffle(&mut rand::rng());
    let is_near = |vm: &BrokerEndpoint| *vm.centre == *node.settings.centre;
    let (near, other): (Vec<_>, Vec<_>) = known.into_iter().partition(is_near);
    let near = near.into_iter().take(NEAR_WITNESSES);
    let other = other.into_iter().take(OTHER_WITNESSES);
    near.chain(other).map(|vm| vm.address).collect()
}

/// Asks a keeper for VMs in all data centres, unless one was asked a moment ago.
async fn learn_helpers(node: &EntryNode, links_lost: bool) {
    let now = node.timer.now();
    let period = Duration::from_millis(HELPERS_PERIOD_MS);
    {
        let mut asked_at = lock(&node.helpers_asked_at);
        if asked_at.is_some_and(|at| now.since(at) < period) {
            return;
        }
        *asked_at = Some(now);
    }
    let own = EntryContact {
        peers: node.settings.peer_address(),
        centre: Arc::clone(&node.settings.centre),
    };
    let call = VmRequest::EntryVms(own, links_lost);
    let timeout = Duration::from_millis(HELPERS_TIMEOUT_MS);
    let keepers = node.keepers_by_distance();
    for keeper in keepers.into_iter().take(KEEPERS_ASKED_MAX) {
        let reply = node
            .peers
            .call(keeper, TrafficClass::Control, &call, timeout);
        if let Ok(VmReply::EntryVms(contacts)) = reply.await {
            let endpoints = contacts.into_iter().map(|contact| BrokerEndpoint {
                address: contact.peers,
                centre: contact.centre,
            });
            let endpoints: Vec<BrokerEndpoint> = endpoints.collect();
            lock(&node.brokers).add_helpers(&endpoints, node.timer.now());
            return;
        }
    }
    warn!(node.log, "helpers-not-learnt"; "links_lost" => links_lost);
}
