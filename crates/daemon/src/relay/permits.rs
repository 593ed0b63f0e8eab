//! Asks keepers for permits: to send to targets with a limit, and for rates over all VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::lock;
use fulmarweir_permits::{RateCall, RateGrant, RateKey};
use fulmarweir_route::{PermitCall, PermitGrant};
use fulmarweir_wire::TrafficClass;
use futures::{StreamExt, stream::FuturesUnordered};
use slog::warn;
use tokio_util::sync::CancellationToken;

use super::{
    entry::EntryNode,
    vm_message::{VmReply, VmRequest},
};

/// Period in which permits are asked for in advance while any target has a limit, in milliseconds.
const PERIOD_MS: u64 = 100;
/// Period of looking for live keepers while no permits are needed, in milliseconds. The first request
/// of a tenant must not find that no keeper is known.
const IDLE_PERIOD_MS: u64 = 250;
/// Time limit of one call, in milliseconds: a round trip between regions, and some lag.
const CALL_TIMEOUT_MS: u64 = 400;

/// Whose ledger a call is of.
#[derive(Clone, Copy, Debug)]
enum RateOwner {
    Tenants,
    ColdTargets,
}

/// Asks keepers for permits as requests need them, until stopped.
pub(super) async fn run_permits(node: Arc<EntryNode>, stop: CancellationToken) {
    let period = Duration::from_millis(PERIOD_MS);
    let idle_period = Duration::from_millis(IDLE_PERIOD_MS);
    let mut limit_calls = FuturesUnordered::new();
    let mut rate_calls = FuturesUnordered::new();
    let mut granted_alone_at = node.timer.now();
    loop {
        let now = node.timer.now();
        let keepers = node.keepers_by_distance();
        let passed = now.since(granted_alone_at).min(period);
        if keepers.is_empty() {
            lock(&node.selector).grant_alone(passed, rand::random, now);
        }
        let vms = {
            let mut selector = lock(&node.selector);
            selector.grant_cold_alone(passed, rand::random, now);
            selector.highest_vm_count()
        };
        if let Some(vms) = vms {
            node.rates.grant_alone(vms, passed, now);
        }
        granted_alone_at = now;
        for call in lock(&node.selector).due_permit_calls(&keepers, now) {
            limit_calls.push(ask_for_limits(&node, call));
        }
        for call in node.rates.due_calls(&keepers, now) {
            rate_calls.push(ask_for_rates(&node, call, RateOwner::Tenants));
        }
        for call in lock(&node.selector).due_cold_calls(&keepers, now) {
            rate_calls.push(ask_for_rates(&node, call, RateOwner::ColdTargets));
        }
        let (limits_period, cold_period) = {
            let selector = lock(&node.selector);
            let limits_period = selector.needs_permits().then_some(period);
            (limits_period, selector.cold_poll_after())
        };
        // Without such rates, nothing but requests for limited targets wakes this loop.
        let has_rates = node.table().is_some_and(|table| table.has_rates());
        let keepers_period = has_rates.then_some(idle_period);
        let due = [
            limits_period,
            cold_period,
            node.rates.poll_after(),
            keepers_period,
        ];
        let due = due.into_iter().flatten().min();
        tokio::select! {
            () = stop.cancelled() => return,
            Some((call, grants)) = limit_calls.next() => {
                apply_limit_reply(&node, &call, grants.as_deref());
            }
            Some((owner, call, grants)) = rate_calls.next() => {
                match owner {
                    RateOwner::Tenants => node.rates.apply_reply(&call, grants.as_deref()),
                    RateOwner::ColdTargets => {
                        let now = node.timer.now();
                        let grants = grants.as_deref();
                        lock(&node.selector).apply_cold_reply(&call, grants, now);
                    }
                }
                count_rate_permits(&node, &call, grants.as_deref());
            }
            () = node.permits_wanted.notified() => {}
            () = node.timer.sleep_until(now + due.unwrap_or_default()), if due.is_some() => {}
        }
    }
}

async fn ask_for_limits(
    node: &EntryNode,
    call: PermitCall,
) -> (PermitCall, Option<Vec<PermitGrant>>) {
    let request = VmRequest::Permits(node.settings.peer_address(), call.asks.clone());
    let grants = match ask_keeper(node, call.keeper, request, call.asks.len()).await {
        Some(VmReply::Permits(grants)) if grants.len() == call.asks.len() => Some(grants),
        _ => None,
    };
    (call, grants)
}

async fn ask_for_rates(
    node: &EntryNode,
    call: RateCall,
    owner: RateOwner,
) -> (RateOwner, RateCall, Option<Vec<RateGrant>>) {
    let request = VmRequest::Rates(node.settings.peer_address(), call.asks.clone());
    let grants = match ask_keeper(node, call.keeper, request, call.asks.len()).await {
        Some(VmReply::Rates(grants)) if grants.len() == call.asks.len() => Some(grants),
        _ => None,
    };
    (owner, call, grants)
}

/// Returns the reply of a keeper to a call for `asks` keys or targets.
async fn ask_keeper(
    node: &EntryNode,
    keeper: SocketAddr,
    request: VmRequest,
    asks: usize,
) -> Option<VmReply> {
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let reply = node
        .peers
        .call(keeper, TrafficClass::Control, &request, timeout);
    match reply.await {
        Ok(reply) => Some(reply),
        Err(error) => {
            if node.request_log.acquire_degraded_line(node.timer.now()) {
                warn!(node.log, "permits-not-granted"; "keeper" => %keeper,
                    "targets" => asks, "fault" => %error);
            } else {
                node.metrics.log_lines_dropped.inc();
            }
            None
        }
    }
}

fn apply_limit_reply(node: &EntryNode, call: &PermitCall, grants: Option<&[PermitGrant]>) {
    let now = node.timer.now();
    let mut selector = lock(&node.selector);
    let Some(grants) = grants else {
        node.metrics.count_permits("failed", call.asks.len());
        return selector.record_failed_call(call, now);
    };
    selector.apply_grants(call, grants, now);
    drop(selector);
    let pairs = call.asks.iter().zip(grants);
    let (mut granted, mut denied) = (0, 0);
    for (ask, grant) in pairs {
        let used = grant.granted.min(ask.wanted);
        granted += used as usize;
        denied += (ask.wanted - used) as usize;
    }
    node.metrics.count_permits("granted", granted);
    node.metrics.count_permits("denied", denied);
}

/// Counts what a keeper was asked for, by the kind of key.
fn count_rate_permits(node: &EntryNode, call: &RateCall, grants: Option<&[RateGrant]>) {
    for (index, ask) in call.asks.iter().enumerate() {
        let key = match ask.key {
            RateKey::Cold { .. } => "cold",
            RateKey::Tenant(_) => "tenant",
        };
        let Some(grant) = grants.and_then(|grants| grants.get(index)) else {
            node.metrics.count_rate_permits(key, "failed", ask.wanted);
            continue;
        };
        let granted = grant.granted.min(ask.wanted);
        let metrics = &node.metrics;
        metrics.count_rate_permits(key, "granted", granted);
        metrics.count_rate_permits(key, "denied", ask.wanted - granted);
        metrics.count_rate_permits(key, "returned", ask.returned);
    }
}

impl EntryNode {
    /// Returns the addresses of the live keepers, ordered by distance.
    pub(super) fn keepers_by_distance(&self) -> Vec<SocketAddr> {
        let now = self.timer.now();
        let mut keepers = self.directory.alive(now);
        keepers.sort_by_key(|contact| (self.locality_of(&contact.centre), contact.peers));
        keepers.into_iter().map(|contact| contact.peers).collect()
    }
}
